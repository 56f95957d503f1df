#pragma once

// Executors as the scheduler sees them: records, commands, and what they report.
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

/// One incarnation of a worker, as it registers itself.
struct ExecutorRecord
{
    std::string id;
    std::string service;
    std::string address;  // IP number
    std::uint16_t port = 0;
    std::string dataCentre;
    std::string rack;
    std::vector<std::string> labels;  // kind and rack
    Resources capacity;
    bool draining = false;
    std::int64_t born = 0;  // Unix ms of the start; changes when the id comes back with nothing known

    /// An empty label asks for nothing.
    bool hasLabel(const std::string &label) const
    {
        return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
    }
};

// [2] Reports ---------------------------------------------------------------------------------------------------------

struct RunningReport
{
    std::string task;
    int run = 0;
    std::string checkpoint;
    int percent = 0;  // 100: at work
    double load = 0;  // long-running with a latency target: tail in ms; others: milli-cores in use
};

enum class RunEnd { Done, Failed, Stopped, Lapsed, Broken, Alone };

template<>
struct EnumNames<RunEnd>
{
    static constexpr std::array<EnumName<RunEnd>, 6> names = {{{RunEnd::Done, "done"},
                                                               {RunEnd::Failed, "failed"},
                                                               {RunEnd::Stopped, "stopped"},
                                                               {RunEnd::Lapsed, "lapsed"},
                                                               {RunEnd::Broken, "broken"},
                                                               {RunEnd::Alone, "alone"}}};
};

struct EndReport
{
    std::uint64_t number = 0;  // rises within an incarnation
    std::string task;
    int run = 0;
    RunEnd how = RunEnd::Lapsed;
    std::string checkpoint;
};

struct ExecutorReport
{
    std::int64_t clockMs = 0;  // the executor's clock
    std::int64_t born = 0;
    std::vector<RunningReport> running;
    std::vector<EndReport> ended;
};

// [3] Commands --------------------------------------------------------------------------------------------------------

enum class CommandResult {
    Done,
    Fenced,      // a higher fencing token was seen there
    Superseded,  // that run or a higher one was stopped or has ended there
    Late,        // the lease time of the command has passed
    NoRoom,
    NoTicket,  // the advice ticket is missing or has lapsed
    Malformed,
    Unhealthy,   // refused without effect
    Replaced,    // another incarnation answers there
    NotSent,     // no byte left
    Unanswered,  // may still be carried out
};

template<>
struct EnumNames<CommandResult>
{
    static constexpr std::array<EnumName<CommandResult>, 11> names = {{{CommandResult::Done, "done"},
                                                                       {CommandResult::Fenced, "fenced"},
                                                                       {CommandResult::Superseded, "superseded"},
                                                                       {CommandResult::Late, "late"},
                                                                       {CommandResult::NoRoom, "no-room"},
                                                                       {CommandResult::NoTicket, "no-ticket"},
                                                                       {CommandResult::Malformed, "malformed"},
                                                                       {CommandResult::Unhealthy, "unhealthy"},
                                                                       {CommandResult::Replaced, "replaced"},
                                                                       {CommandResult::NotSent, "not-sent"},
                                                                       {CommandResult::Unanswered, "unanswered"}}};
};

enum class CommandKind { Start, Stop, RenewLeases, Pace };

/// One call to an executor. Fields that a kind does not use stay at their defaults.
struct ExecutorCommand
{
    CommandKind kind = CommandKind::RenewLeases;
    std::string executor;
    std::uint64_t fencingToken = 0;
    std::string task;               // Start, Stop, Pace
    int run = 0;                    // Start, Stop, Pace
    std::string payload;            // Start
    std::string checkpoint;         // Start; empty: from the beginning
    std::string ticket;             // Start; of the advice that allows it; empty: the queue needs none
    std::int64_t leaseUntilMs = 0;  // Start, RenewLeases; on the executor's clock; 0: not extended
    std::uint64_t observed = 0;     // RenewLeases: ends up to this one are durable here
    Duration wait{0};               // RenewLeases: the answer waits this long for an end
    int percent = 0;                // Pace
    Duration timeout{0};
};

// [4] Advice ----------------------------------------------------------------------------------------------------------

/// Asks which of these executors may run a step.
struct AdviceRequest
{
    static constexpr std::size_t MostExecutors = 100;  // limit of the service

    std::string job;
    int occurrence = 0;
    int step = 0;
    std::vector<std::string> executors;
    Duration timeout{0};
};

/// The executors that may, each with the ticket that a start must carry.
struct Advice
{
    std::map<std::string, std::string> tickets;  // by executor
    Duration valid{0};                           // of the tickets, from the answer on; 0: not told
};

}
