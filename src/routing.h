#pragma once

// Decisions on slots and queues of one pool: class queues, learned sizes, permits, ejection, retry budget.

#include "sheet.h"

namespace briarvane
{

/// How an attempt at an upstream ended.
enum class UpstreamResult {
    Completed,      // whole answer, any status below 500
    ServerError,    // whole answer with status 500 or above
    ConnectFailed,  // no byte was sent
    Reset,          // the connection broke after a byte was sent
    Truncated,      // the answer ended early
    TimedOut,       // no whole answer before the deadline
    Cancelled,      // the caller went away; says nothing about the instance
    NotSent,        // the permit was given back unused
};

template<>
struct EnumNames<UpstreamResult>
{
    static constexpr std::array<EnumName<UpstreamResult>, 8> names
        = {{{UpstreamResult::Completed, "completed"},
            {UpstreamResult::ServerError, "server-error"},
            {UpstreamResult::ConnectFailed, "connect-failed"},
            {UpstreamResult::Reset, "reset"},
            {UpstreamResult::Truncated, "truncated"},
            {UpstreamResult::TimedOut, "timed-out"},
            {UpstreamResult::Cancelled, "cancelled"},
            {UpstreamResult::NotSent, "not-sent"}}};
};

}
