// Tests the detection of a process that stood still, with times that the test chooses.

#include "standstill.h"

#include <catch2/catch.hpp>

using namespace briarvane;
using namespace std::chrono_literals;

TEST_CASE("Requests that are read after a long standstill are not taken for new ones")
{
    // Guards against this failure: a job is cancelled at another entry while this one stands still, the id that the
    // cancellation took is freed after its time, and this entry wakes up, reads the request and runs the job.
    StandstillDetector detector(30s, 10s);
    const TimePoint start{1000s};
    detector.alive(start);
    CHECK_FALSE(detector.mayReadLate(start));

    SECTION("short pauses are harmless, since the id is still taken")
    {
        detector.alive(start + 30s);
        CHECK_FALSE(detector.mayReadLate(start + 30s));
    }
    SECTION("after a long one, requests may be late until all that waited are read")
    {
        const TimePoint woken = start + 200s;
        detector.alive(woken);
        CHECK(detector.mayReadLate(woken));
        detector.alive(woken + 5s);
        CHECK(detector.mayReadLate(woken + 9s));
        detector.alive(woken + 10s);
        CHECK_FALSE(detector.mayReadLate(woken + 10s));
    }
    SECTION("the first call tells nothing about the time before")
    {
        StandstillDetector fresh(30s, 10s);
        fresh.alive(start + 500s);
        CHECK_FALSE(fresh.mayReadLate(start + 500s));
    }
}
