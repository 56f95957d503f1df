#pragma once

// Clocks of the job entry. Decisions about leases and ownership use the boot clock: the steady clock stands still while
// the machine is suspended, so that a lapsed lease would look valid after the machine resumes.

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

/// Unix time in ms. Only for due times and for times in records, since it may jump forwards and backwards.
inline std::int64_t wallNowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}
