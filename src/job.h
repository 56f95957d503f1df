#pragma once

// Jobs as callers submit them and as the store keeps them.
//
// Index
// [1] What a job asks for
// [2] Names of tasks
// [3] States
// [4] Records in the store

#include "types.h"

#include <map>

namespace briarvane
{

// [1] What a job asks for ---------------------------------------------------------------------------------------------

struct Resources
{
    int milliCores = 0;
    int memoryMb = 0;
    int gpus = 0;

    bool operator==(const Resources &) const = default;
    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
    bool fitsInto(const Resources &room) const;
};

struct StepSpec
{
    int count = 0;  // tasks
    Resources each;
    Duration estimate{0};    // of one task, declared by the caller and rough
    std::vector<int> after;  // earlier steps whose tasks must all be done
    bool gang = false;       // all tasks run at the same time or not at all
    bool sameRack = false;   // slower when spread over racks
    std::string requiredLabel;
    std::string dataRack;      // slower on any other rack
    int perExecutorLimit = 0;  // tasks of this step on one executor; 0: no limit
    bool speculative = false;  // copies may run in parallel
    bool longRunning = false;  // runs until the job is cancelled
    bool checkpointing = false;
    bool fills = false;  // takes only the processor time that others leave
    std::string image;
    Duration latencyTarget{0};  // of the users that a long-running task serves; 0: none
    int mayMiss = 0;            // long-running tasks that may be away because of us at the same time
};

/// What one task counts against its executor.
Resources wantedBy(const StepSpec &step);

/// Only some executors may run the steps of such a queue's jobs, and only a service outside knows which.
struct AdvicePolicy
{
    bool required = false;
    Duration decide{0};       // of one call to the service
    Duration perExecutor{0};  // and for each executor that the call names
    Duration valid{0};        // of a ticket; what an answer says goes first
};

struct JobSpec
{
    std::string id;
    std::string queue;    // route name
    std::string service;  // whose executors run it
    std::string payload;  // passed to each start as it came
    std::vector<StepSpec> steps;
    int occurrences = 0;  // 0: once, at once
    std::int64_t firstDueMs = 0;
    std::int64_t intervalMs = 0;
    int priority = 0;  // 0 first
    int maxAttempts = 1;
    double stretch = 1;           // objective: stretch x longest chain + targetLatency
    Duration targetLatency{0};    // see stretch
    std::int64_t acceptedMs = 0;  // Unix time at the accepting entry; orders jobs, never decides safety
    AdvicePolicy advice;
    bool operator==(const JobSpec &) const = delete;
};

/// Longest chain of declared work, with the time for advice that the users' objective grants each step.
Duration longestChain(const JobSpec &spec);
Duration adviceTime(const AdvicePolicy &policy);  // for one step

// [2] Names of tasks --------------------------------------------------------------------------------------------------

struct TaskName
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;
};

std::string formatTaskName(const TaskName &name);  // JOB.OCCURRENCE.STEP.INDEX
std::optional<TaskName> parseTaskName(std::string_view text);

// [3] States ----------------------------------------------------------------------------------------------------------

enum class JobState { Pending, Running, Completed, Failed, Cancelled };

template<>
struct EnumNames<JobState>
{
    static constexpr std::array<EnumName<JobState>, 5> names = {{{JobState::Pending, "pending"},
                                                                 {JobState::Running, "running"},
                                                                 {JobState::Completed, "completed"},
                                                                 {JobState::Failed, "failed"},
                                                                 {JobState::Cancelled, "cancelled"}}};
};

constexpr bool isFinal(JobState state)
{
    return state != JobState::Pending && state != JobState::Running;
}

// [4] Records in the store --------------------------------------------------------------------------------------------

/// An open job with what it asks for, or a final state alone.
struct JobRecord
{
    JobState state = JobState::Pending;
    JobSpec spec;              // empty when final
    std::int64_t endedMs = 0;  // Unix time of the final state, for garbage collection
};

std::string encodeJobRecord(const JobRecord &record);
Result<JobRecord> parseJobRecord(std::string_view id, std::string_view text);

/// What must survive the loss of an owner, for one task that has been started.
struct TaskProgress
{
    int run = 0;                  // highest run known to have been used
    std::vector<int> failedRuns;  // counted against the attempts; ends may be listed again and in any order
    bool done = false;
    std::string executor;  // long-running tasks: recorded before the start is sent
    std::string checkpoint;

    bool operator==(const TaskProgress &) const = default;
};

/// Keyed by (occurrence, step, index).
using JobProgress = std::map<std::tuple<int, int, int>, TaskProgress>;

std::string encodeProgress(const JobProgress &progress);
Result<JobProgress> parseProgress(std::string_view text);

}
