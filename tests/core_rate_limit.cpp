// Tests the rate limit with times that the test chooses.

#include "rate_limit.h"

#include <catch2/catch.hpp>

using namespace briarvane;
using namespace std::chrono_literals;

TEST_CASE("A rate limit allows a burst and then a steady rate")
{
    // Guards against a limit that a clock or a long pause lifts.
    RateLimit limit(5, 10);
    const TimePoint start{100s};
    const auto taken = [&limit](TimePoint now) {
        int count = 0;
        while (count < 1000 && limit.take(now)) {
            ++count;
        }
        return count;
    };
    CHECK(taken(start) == 10);
    CHECK(taken(start) == 0);
    CHECK(taken(start + 1s) == 5);

    SECTION("a pause fills it up to the burst and no further")
    {
        CHECK(taken(start + 3600s) == 10);
    }
    SECTION("a time that goes back gives nothing")
    {
        CHECK(taken(start) == 0);
        CHECK(taken(start + 1s) == 0);
    }
    SECTION("many small steps add up")
    {
        int count = 0;
        for (int step = 1; step <= 1000; ++step) {
            count += taken(start + 1s + 10ms * step);
        }
        CHECK(count >= 49);
        CHECK(count <= 50);
    }
}
