#pragma once

// Token bucket with injected time.

#include "types.h"

#include <algorithm>

namespace briarvane
{

/// Allows `perSecond` actions a second in the long run, and up to `burst` at once after a pause.
class RateLimit
{
public:
    RateLimit(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// Returns false when the action must be refused. A time before the previous one counts as the previous one.
    bool take(TimePoint now)
    {
        if (m_last && now > *m_last) {
            const double seconds = std::chrono::duration<double>(now - *m_last).count();
            m_tokens = std::min(m_burst, m_tokens + seconds * m_perSecond);
        }
        m_last = m_last ? std::max(*m_last, now) : now;
        if (m_tokens < 1) {
            return false;
        }
        --m_tokens;
        return true;
    }

private:
    double m_perSecond = 0;
    double m_burst = 0;
    double m_tokens = 0;
    std::optional<TimePoint> m_last;
};

}
