#include "capacity.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace briarvane;

namespace
{

constexpr Duration LongStay{600'000'000};

CapacityPool makePool(const std::string &name, int instances, double demand, bool spare = false)
{
    CapacityPool pool;
    pool.id.value = name;
    pool.instances = instances;
    pool.arrivals = demand * pool.slots / 0.05;  // arrival rate that keeps `demand` instances busy
    pool.slotsInUse = std::min(demand, static_cast<double>(instances)) * pool.slots;
    pool.minInstances = 1;
    pool.availability = 0.8;
    pool.spare = spare;
    pool.allowedDepartures = 2;
    pool.timesSinceMove.assign(static_cast<std::size_t>(instances), LongStay);
    return pool;
}

TimePoint second(int s)
{
    return TimePoint(Duration(std::int64_t{1'000'000} * s));
}

/// Returns the moves that the policy decides on while five pools burst one after another for `burstSeconds` each. The
/// moves are not carried out.
std::vector<CapacityMove> runBursts(ReplayPolicy &policy, int seconds, int burstSeconds, int instances,
                                    Duration stay = LongStay, int minimum = 1)
{
    std::vector<CapacityMove> decided;
    for (int s = 0; s < seconds; ++s) {
        std::vector<CapacityPool> pools;
        for (int p = 0; p < 5; ++p) {
            const double demand = s / burstSeconds % 5 == p ? 15.0 : 0.15;
            pools.push_back(
                makePool(std::string(1, static_cast<char>('a' + p)), p == 4 ? 20 : instances, demand, p == 4));
            pools.back().timesSinceMove.assign(pools.back().timesSinceMove.size(), stay);
            pools.back().minInstances = p == 4 ? minimum : 1;
        }
        const auto moves = policy.decide(pools, second(s));
        decided.insert(decided.end(), moves.begin(), moves.end());
    }
    return decided;
}

}

static_assert(CapacityPolicy<ThresholdPolicy> && CapacityPolicy<ReplayPolicy>);

TEST_CASE("The threshold policy follows present utilization", "[capacity]")
{
    ThresholdPolicy policy;
    SECTION("it moves instances from the spare pool first, and back to it")
    {
        const auto moves
            = policy.decide({makePool("a", 5, 5), makePool("b", 5, 0), makePool("s", 5, 2, true)}, second(0));
        CHECK(moves == std::vector<CapacityMove>{{PoolId{"s"}, PoolId{"a"}, 1}, {PoolId{"b"}, PoolId{"s"}, 1}});
    }
    SECTION("the limits of pools and the disruption budgets hold")
    {
        auto full = makePool("a", 5, 5);
        full.maxInstances = 5;
        auto spare = makePool("s", 5, 2, true);
        CHECK(policy.decide({full, spare}, second(0)).empty());
        spare.allowedDepartures = 0;
        CHECK(policy.decide({makePool("a", 5, 5), spare}, second(0)).empty());
        spare.allowedDepartures = 2;
        spare.minInstances = 5;
        CHECK(policy.decide({makePool("a", 5, 5), spare}, second(0)).empty());
    }
}

TEST_CASE("Bursts are predicted only when their order is regular", "[capacity]")
{
    const auto run = [](BurstForecast &forecast, const std::vector<std::size_t> &order) {
        int s = 0;
        for (const std::size_t pool : order) {
            for (int i = 0; i < 10; ++i, ++s) {
                std::vector<double> demand(4, 0.1);
                demand[pool] = 10;
                forecast.observe(demand, second(s));
            }
        }
    };
    BurstForecast forecast;
    SECTION("after several rounds, the next burst is predicted in the pool and at the time of the earlier rounds")
    {
        run(forecast, {0, 1, 2, 3, 0, 1, 2, 3, 0, 1, 2, 3, 0, 1, 2, 3, 0, 1, 2, 3});
        REQUIRE(forecast.reliable());
        const auto demand = forecast.forecast(20, 1.0);
        CHECK(demand[0][0] == Approx(0.1).margin(0.2));
        CHECK(demand[0][5] == Approx(10).margin(0.5));
        CHECK(demand[1][15] == Approx(10).margin(0.5));
    }
    SECTION("the forecast of an order that keeps changing is not reliable")
    {
        run(forecast, {0, 1, 2, 3, 1, 0, 2, 1, 3, 0, 3, 2, 0, 2, 3, 1, 2, 0, 1, 3});
        CHECK_FALSE(forecast.reliable());
    }
}

TEST_CASE("The replay policy moves instances only for a lasting gain", "[capacity]")
{
    const CapacityWeights waitWeights{1.0, 0.01, 0.1, 30, false, 0};
    SECTION("no moves before enough demand is recorded, then moves to the pools with waiting requests in bursts")
    {
        ReplayPolicy policy(waitWeights);
        CHECK(runBursts(policy, 119, 10, 6).empty());
        ReplayPolicy longRun(waitWeights);
        const auto moves = runBursts(longRun, 300, 10, 6);
        REQUIRE_FALSE(moves.empty());
        CHECK(std::all_of(moves.begin(), moves.end(), [](const CapacityMove &m) { return m.from == PoolId{"e"}; }));
    }
    SECTION("no instance moves within its minimum stay")
    {
        ReplayPolicy policy(waitWeights);
        CHECK(runBursts(policy, 300, 10, 6, MinimumStay - Duration(1)).empty());
    }
    SECTION("no pool falls below its minimum")
    {
        ReplayPolicy policy(waitWeights);
        const auto moves = runBursts(policy, 300, 10, 6, LongStay, 20);
        CHECK(std::none_of(moves.begin(), moves.end(), [](const CapacityMove &m) { return m.from == PoolId{"e"}; }));
    }
    SECTION("a high cost of moves prevents all moves")
    {
        ReplayPolicy policy({1.0, 0.01, 0.1, 1e9, false, 0});
        CHECK(runBursts(policy, 300, 10, 6).empty());
    }
    SECTION(
        "no pool shrinks to a size at which its disruption budget lets no instance down, since a wave would never end")
    {
        // Only moves and instances that are idle outside the spare pool have a cost.
        ReplayPolicy policy({0.0, 0.0, 1.0, 1, false, 0});
        CHECK(runBursts(policy, 300, 10, 5).empty());
        ReplayPolicy larger({0.0, 0.0, 1.0, 1, false, 0});
        CHECK_FALSE(runBursts(larger, 300, 10, 6).empty());
    }
    SECTION("with predicted bursts, moves begin before the burst")
    {
        ReplayPolicy policy({1.0, 0.01, 1.0, 5, true, 0});
        (void)runBursts(policy, 392, 10, 6);  // the burst of pool e lasts until 400 s; the next burst is in pool a
        std::vector<CapacityPool> pools;
        pools.reserve(5);
        for (int p = 0; p < 5; ++p) {
            pools.push_back(
                makePool(std::string(1, static_cast<char>('a' + p)), p == 4 ? 20 : 6, p == 4 ? 15.0 : 0.15, p == 4));
        }
        const auto moves = policy.decide(pools, second(392));
        REQUIRE_FALSE(moves.empty());
        CHECK(moves.front().to == PoolId{"a"});
    }
}
