#pragma once

// Detects that the process stood still, so that requests which it reads late are not taken for new ones.
//
// Load that this answers: a process is stopped for longer than the ids of cancelled unknown jobs are kept. A request
// that waited in its buffers meanwhile would find the id free and run a job that was cancelled long ago.

#include "types.h"

#include <algorithm>

namespace briarvane
{

class StandstillDetector
{
public:
    /// `longest`: standstill up to which late requests are harmless. `drainTime`: time after a longer one within which
    /// all requests that arrived before its end are read.
    StandstillDetector(Duration longest, Duration drainTime)
        : m_longest(longest)
        , m_drainTime(drainTime)
    {
    }

    /// Records that the process runs at this time of the boot clock. Called much more often than `longest`.
    void alive(TimePoint now)
    {
        if (m_aliveAt != TimePoint{} && now - m_aliveAt > m_longest) {
            m_lateUntil = now + m_drainTime;
        }
        m_aliveAt = std::max(m_aliveAt, now);
    }
    /// Whether a request that is read now may have been sent before a long standstill.
    bool mayReadLate(TimePoint now) const
    {
        return now < m_lateUntil;
    }

private:
    Duration m_longest;
    Duration m_drainTime;
    TimePoint m_aliveAt;
    TimePoint m_lateUntil;
};

}
