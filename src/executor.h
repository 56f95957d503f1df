#pragma once

// Messages between the scheduler and executors: registration records, reports, commands, and calls for advice.
//
// Index
// [1] Records
// [2] Reports
// [3] Commands
// [4] Advice

#include "job.h"

#include <algorithm>

namespace briarvane
{

// [1] Records ---------------------------------------------------------------------------------------------------------

/// Registration record of one incarnation of a worker.
struct ExecutorRecord
{
    std::string id;
    std::string service;
    std::string address;  // IP address
    std::uint16_t port = 0;
    std::string dataCentre;
    std::string rack;
    std::vector<std::string> labels;  // kind of machine first, then the rack
    Resources capacity;
    bool draining = false;
    /// Unix time in ms at which the process started. Identifies the incarnation under the id; 0: unknown.
    std::int64_t startedMs = 0;

    /// Always true for the empty label.
    bool hasLabel(const std::string &label) const
    {
        return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
    }
};

// [2] Reports ---------------------------------------------------------------------------------------------------------

struct RunningReport
{
    std::string task;
    int run = 0;  // run number
    std::string checkpoint;
    int percent = 0;  // long-running tasks: 100 when the task serves its users
    double load = 0;  // tail latency in ms of a long-running task with a latency target; else milli-cores in use
};

/// How a run ended. Only Failed counts against the attempts of the task. After any end but Done the task needs another
/// run; a long-running task needs one after every end.
enum class RunEnd {
    Done,
    Failed,
    Stopped,
    Lapsed,          // the lease was not renewed in time
    Broken,          // another member of the task's gang ended
    GangIncomplete,  // the other members of the gang did not start in time
};

template<>
struct EnumNames<RunEnd>
{
    static constexpr std::array<EnumName<RunEnd>, 6> names = {{{RunEnd::Done, "done"},
                                                               {RunEnd::Failed, "failed"},
                                                               {RunEnd::Stopped, "stopped"},
                                                               {RunEnd::Lapsed, "lapsed"},
                                                               {RunEnd::Broken, "broken"},
                                                               {RunEnd::GangIncomplete, "alone"}}};
};

struct EndReport
{
    std::uint64_t number = 0;  // sequence number of the end within the incarnation of the executor
    std::string task;
    int run = 0;  // run number
    RunEnd how = RunEnd::Lapsed;
    std::string checkpoint;
};

struct ExecutorReport
{
    std::int64_t clockMs = 0;    // reading of the executor's own clock
    std::int64_t startedMs = 0;  // incarnation, see ExecutorRecord
    std::vector<RunningReport> running;
    std::vector<EndReport> ended;  // ends that are not acknowledged, by rising number
    /// The list of ends is full, so the executor may have further ends with higher numbers. A run that the report does
    /// not list may have ended then.
    bool endsIncomplete = false;
};

// [3] Commands --------------------------------------------------------------------------------------------------------

enum class CommandResult {
    Done,
    Fenced,      // the executor has received a higher fencing token
    Superseded,  // this run or a higher run of the task was stopped or has ended at the executor
    Late,        // the lease of the start had already ended by the executor's clock
    NoRoom,
    NoTicket,  // the advice ticket is missing or has expired
    Malformed,
    Unhealthy,    // the executor refused the command, which had no effect
    Replaced,     // another incarnation serves the address
    NotSent,      // no byte of the command was sent, because no connection was free in time
    Unreachable,  // no byte of the command was sent, because no connection to the executor could be established
    Unanswered,   // the executor may still carry out the command
};

template<>
struct EnumNames<CommandResult>
{
    static constexpr std::array<EnumName<CommandResult>, 12> names = {{{CommandResult::Done, "done"},
                                                                       {CommandResult::Fenced, "fenced"},
                                                                       {CommandResult::Superseded, "superseded"},
                                                                       {CommandResult::Late, "late"},
                                                                       {CommandResult::NoRoom, "no-room"},
                                                                       {CommandResult::NoTicket, "no-ticket"},
                                                                       {CommandResult::Malformed, "malformed"},
                                                                       {CommandResult::Unhealthy, "unhealthy"},
                                                                       {CommandResult::Replaced, "replaced"},
                                                                       {CommandResult::NotSent, "not-sent"},
                                                                       {CommandResult::Unreachable, "unreachable"},
                                                                       {CommandResult::Unanswered, "unanswered"}}};
};

enum class CommandKind { Start, Stop, RenewLeases, Pace };

/// One call to an executor. Where only some kinds of command use a field, its comment names them; in commands of
/// other kinds the field keeps its default.
struct ExecutorCommand
{
    CommandKind kind = CommandKind::RenewLeases;
    std::string executor;
    std::uint64_t fencingToken = 0;
    std::string task;               // Start, Stop, Pace
    int run = 0;                    // Start, Stop, Pace: run number
    std::string payload;            // Start
    std::string checkpoint;         // Start; empty: the task starts from the beginning
    std::string ticket;             // Start; advice ticket; empty: the queue requires no advice
    std::int64_t leaseUntilMs = 0;  // Start, RenewLeases: lease end on the executor's clock; 0: no extension
    /// Start, RenewLeases: incarnation that `leaseUntilMs` and `observed` refer to. A later one under the same id may
    /// carry the command out.
    std::int64_t startedMs = 0;
    std::uint64_t observed = 0;  // RenewLeases: acknowledges the ends up to this number, which are in the store
    Duration wait{0};            // RenewLeases: longest time that the executor delays its report to await an end
    /// RenewLeases: the poll is sent beside the regular one, which may wait for an end, to settle starts and stops. It
    /// renews no lease and acknowledges nothing.
    bool settles = false;
    int percent = 0;  // Pace: percentage of full speed
    Duration timeout{0};
};

// [4] Advice ----------------------------------------------------------------------------------------------------------

/// A call to the advice service: which of these executors may run a step.
struct AdviceRequest
{
    static constexpr std::size_t MaxExecutors = 100;  // maximum that the service accepts in one call

    std::string job;
    int occurrence = 0;
    int step = 0;
    std::vector<std::string> executors;
    Duration timeout{0};
};

/// Answer of the advice service: the allowed executors, each with the ticket that a start there must carry.
struct Advice
{
    std::map<std::string, std::string> tickets;  // by executor
    Duration valid{0};                           // validity of the tickets, counted from the answer; 0: not stated
};

}
