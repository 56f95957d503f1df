#pragma once

// Jobs: the specification that a caller submits, task names, job states, and the records in the store.
//
// Index
// [1] Job specification
// [2] Task names
// [3] Job states
// [4] Stored records

#include "types.h"

#include <map>

namespace briarvane
{

// [1] Job specification -----------------------------------------------------------------------------------------------

struct Resources
{
    int milliCores = 0;
    int memoryMb = 0;
    int gpus = 0;

    bool operator==(const Resources &) const = default;
    Resources &operator+=(const Resources &other);  // sums beyond the range of int become its largest value
    Resources &operator-=(const Resources &other);
    bool fitsInto(const Resources &available) const;
};

/// Number of tasks that fit into `capacity` beside `used`, at most `limit`. The cost does not depend on the limit,
/// which callers choose freely; tasks without resources always fit.
int tasksThatFit(const Resources &each, const Resources &used, const Resources &capacity, int limit);

struct StepSpec
{
    int count = 0;              // number of tasks
    Resources each;             // resources of one task
    Duration estimate{0};       // run time of one task as declared by the caller, a rough value
    std::vector<int> after;     // indices of earlier steps whose tasks must all be done first
    bool gang = false;          // all tasks run at the same time or not at all
    bool sameRack = false;      // tasks run slower when spread over several racks
    std::string requiredLabel;  // label that an executor must have; empty: any executor
    std::string dataRack;       // rack that holds the input data; tasks run slower elsewhere
    int perExecutorLimit = 0;   // maximum number of tasks of this step on one executor, at most `count`; 0: no limit
    bool speculative = false;   // a task may have several runs in parallel
    bool longRunning = false;   // tasks run until the job is cancelled
    bool checkpointing = false;
    bool bestEffort = false;  // tasks use only processor time that other tasks leave idle
    std::string image;
    Duration latencyTarget{0};  // tail latency that users of a long-running task expect; 0: none
    /// Most tasks of a long-running step that may be unavailable once the scheduler interrupts one. Stops on an
    /// executor that drains without being vacated are not limited.
    int maxUnavailable = 0;
};

/// Resources that the executor of one task of the step must set aside. A step that only uses idle processor time
/// reserves no cores.
Resources requestedResources(const StepSpec &step);

/// Policy of a queue whose tasks may run only on executors that an external advice service allows. The service answers
/// each call with tickets, which starts of the tasks must carry.
struct AdvicePolicy
{
    bool required = false;
    Duration callTime{0};     // time that the service needs for one call
    Duration perExecutor{0};  // additional time for each executor that the call names
    Duration valid{0};        // validity of a ticket when the answer does not state one
};

struct JobSpec
{
    std::string id;
    std::string queue;      // name of the route that accepted the job
    std::string service;    // service whose executors run the job
    std::string workspace;  // workspace of the caller; empty: the queue is public or there are no workspaces
    std::string payload;    // passed unchanged to each start
    std::vector<StepSpec> steps;
    int occurrences = 0;          // scheduled executions of all steps; 0: one execution, immediately
    std::int64_t firstDueMs = 0;  // Unix time of the first scheduled occurrence
    std::int64_t intervalMs = 0;  // time between scheduled occurrences
    /// Jobs are ordered for placement by whether their latency objective can still be met, then by this number, lowest
    /// first.
    int priority = 0;
    int maxAttempts = 1;  // failed runs of one task after which the job fails
    double stretch = 1;   // the latency objective is stretch * longestChain + targetLatency
    Duration targetLatency{0};
    std::int64_t acceptedMs = 0;  // Unix time at the accepting entry; used for objectives only, never for safety
    AdvicePolicy advice;
    bool operator==(const JobSpec &) const = delete;
};

/// Declared time of the longest chain of dependent steps. Includes the advice time that the latency objective allows
/// for each step.
Duration longestChain(const JobSpec &spec);
Duration adviceTime(const AdvicePolicy &policy);  // advice time that the latency objective allows for one step

// [2] Task names ------------------------------------------------------------------------------------------------------

struct TaskName
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;
};

std::string formatTaskName(const TaskName &name);  // JOB.OCCURRENCE.STEP.INDEX
std::optional<TaskName> parseTaskName(std::string_view text);

// [3] Job states ------------------------------------------------------------------------------------------------------

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

// [4] Stored records --------------------------------------------------------------------------------------------------

/// An open job is stored with its specification, an ended job with its final state only.
struct JobRecord
{
    JobState state = JobState::Pending;
    JobSpec spec;              // empty when the state is final, except for the workspace
    std::int64_t endedMs = 0;  // Unix time of the final state, for garbage collection
    /// Workspaces that cancelled the id before a job was submitted under it; an empty name stands for callers without a
    /// workspace. Empty: the job was submitted, or the id is taken for every caller, as earlier builds do it.
    std::vector<std::string> takenFor;
    /// The job came from another partition together with its progress, which is stored in one transaction with the
    /// record. An owner must read it before it schedules the job.
    bool hasProgress = false;

    /// Whether a cancelled id that no job was submitted under is taken for a job of this workspace. A job without a
    /// workspace is open to every caller, so it is cancelled by any of them.
    bool isTakenFor(const std::string &workspace) const;
};

std::string encodeJobRecord(const JobRecord &record);
Result<JobRecord> parseJobRecord(std::string_view id, std::string_view text);

/// Progress of one started task that a new owner of the partition needs.
struct TaskProgress
{
    int run = 0;                  // highest run number that is recorded as used
    std::vector<int> failedRuns;  // run numbers, since executors may report an end repeatedly and in any order
    bool done = false;
    std::string executor;  // executor of a long-running task, recorded before the start is sent; else empty
    std::string checkpoint;

    bool operator==(const TaskProgress &) const = default;
};

/// Keyed by (occurrence, step, index).
using JobProgress = std::map<std::tuple<int, int, int>, TaskProgress>;

std::string encodeProgress(const JobProgress &progress);
Result<JobProgress> parseProgress(std::string_view text);

}
