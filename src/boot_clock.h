#pragma once

// The clock of every decision about leases and ownership. A steady clock stands still while the instance is suspended,
// so a process that wakes up would take a lapsed lease for a valid one.

#include "types.h"

#include <ctime>

namespace briarvane
{

inline TimePoint bootNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                          + std::chrono::nanoseconds(time.tv_nsec)));
}

/// Unix time in ms. For due times and records only: it may jump both ways.
inline std::int64_t wallNowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}
