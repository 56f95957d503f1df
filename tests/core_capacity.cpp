#include "capacity.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace briarvane;

namespace
{

constexpr Duration Settled{600'000'000};

CapacityPool pool(const std::string &name, int instances, double demand, bool spare = false)
{
    CapacityPool pool;
    pool.id.value = name;
    pool.instances = instances;
    pool.arrivals = demand * pool.slots / 0.05;  // instances' worth of work
    pool.slotsInUse = std::min(demand, static_cast<double>(instances)) * pool.slots;
    pool.minInstances = 1;
    pool.availability = 0.8;
    pool.spare = spare;
    pool.mayLeave = 2;
    pool.stays.assign(static_cast<std::size_t>(instances), Settled);
    return pool;
}

TimePoint second(int s)
{
    return TimePoint(Duration(std::int64_t{1'000'000} * s));
}

/// Demand that bursts in turns of `turn` seconds; the moves of all decisions, without carrying them out.
std::vector<CapacityMove> runTurns(ReplayPolicy &policy, int seconds, int turn, int instances, Duration stay = Settled,
                                   int minimum = 1)
{
    std::vector<CapacityMove> all;
    for (int s = 0; s < seconds; ++s) {
        std::vector<CapacityPool> pools;
        for (int p = 0; p < 5; ++p) {
            const double demand = s / turn % 5 == p ? 15.0 : 0.15;
            pools.push_back(pool(std::string(1, static_cast<char>('a' + p)), p == 4 ? 20 : instances, demand, p == 4));
            pools.back().stays.assign(pools.back().stays.size(), stay);
            pools.back().minInstances = p == 4 ? minimum : 1;
        }
        const auto moves = policy.decide(pools, second(s));
        all.insert(all.end(), moves.begin(), moves.end());
    }
    return all;
}

}

static_assert(CapacityPolicy<ThresholdPolicy> && CapacityPolicy<ReplayPolicy>);

TEST_CASE("The threshold policy follows present utilization", "[capacity]")
{
    ThresholdPolicy policy;
    SECTION("it takes from the spare pool first and gives back to it")
    {
        const auto moves = policy.decide({pool("a", 5, 5), pool("b", 5, 0), pool("s", 5, 2, true)}, second(0));
        CHECK(moves == std::vector<CapacityMove>{{PoolId{"s"}, PoolId{"a"}, 1}, {PoolId{"b"}, PoolId{"s"}, 1}});
    }
    SECTION("bounds of pools and budgets hold")
    {
        auto full = pool("a", 5, 5);
        full.maxInstances = 5;
        auto held = pool("s", 5, 2, true);
        CHECK(policy.decide({full, held}, second(0)).empty());
        held.mayLeave = 0;
        CHECK(policy.decide({pool("a", 5, 5), held}, second(0)).empty());
        held.mayLeave = 2;
        held.minInstances = 5;
        CHECK(policy.decide({pool("a", 5, 5), held}, second(0)).empty());
    }
}

TEST_CASE("Turns of bursts are foreseen only when they are regular", "[capacity]")
{
    const auto run = [](TurnForecast &turns, const std::vector<std::size_t> &order) {
        int s = 0;
        for (const std::size_t pool : order) {
            for (int i = 0; i < 10; ++i, ++s) {
                std::vector<double> demand(4, 0.1);
                demand[pool] = 10;
                turns.observe(demand, second(s));
            }
        }
    };
    TurnForecast turns;
    SECTION("after several rounds, the next burst is where and when it was before")
    {
        run(turns, {0, 1, 2, 3, 0, 1, 2, 3, 0, 1, 2, 3, 0, 1, 2, 3, 0, 1, 2, 3});
        REQUIRE(turns.reliable());
        const auto demand = turns.forecast(20, 1.0);
        CHECK(demand[0][0] == Approx(0.1).margin(0.2));
        CHECK(demand[0][5] == Approx(10).margin(0.5));
        CHECK(demand[1][15] == Approx(10).margin(0.5));
    }
    SECTION("an order that keeps changing is not relied on")
    {
        run(turns, {0, 1, 2, 3, 1, 0, 2, 1, 3, 0, 3, 2, 0, 2, 3, 1, 2, 0, 1, 3});
        CHECK_FALSE(turns.reliable());
    }
}

TEST_CASE("The replay policy moves instances only for a lasting gain", "[capacity]")
{
    const CapacityWeights wait{1.0, 0.01, 0.1, 30, false, 0};
    SECTION("not before it knows the demand, then to where bursts wait")
    {
        ReplayPolicy policy(wait);
        CHECK(runTurns(policy, 119, 10, 6).empty());
        ReplayPolicy later(wait);
        const auto moves = runTurns(later, 300, 10, 6);
        REQUIRE_FALSE(moves.empty());
        CHECK(std::all_of(moves.begin(), moves.end(), [](const CapacityMove &m) { return m.from == PoolId{"e"}; }));
    }
    SECTION("no instance moves within its minimum stay")
    {
        ReplayPolicy policy(wait);
        CHECK(runTurns(policy, 300, 10, 6, MinimumStay - Duration(1)).empty());
    }
    SECTION("no pool falls below its minimum")
    {
        ReplayPolicy policy(wait);
        const auto moves = runTurns(policy, 300, 10, 6, Settled, 20);
        CHECK(std::none_of(moves.begin(), moves.end(), [](const CapacityMove &m) { return m.from == PoolId{"e"}; }));
    }
    SECTION("a high cost of moves keeps everything in place")
    {
        ReplayPolicy policy({1.0, 0.01, 0.1, 1e9, false, 0});
        CHECK(runTurns(policy, 300, 10, 6).empty());
    }
    SECTION("a pool is not shrunk to a size at which its budget lets no instance down, or a wave would never end")
    {
        ReplayPolicy policy({0.0, 0.0, 1.0, 1, false, 0});  // only idle instances cost
        CHECK(runTurns(policy, 300, 10, 5).empty());
        ReplayPolicy larger({0.0, 0.0, 1.0, 1, false, 0});
        CHECK_FALSE(runTurns(larger, 300, 10, 6).empty());
    }
    SECTION("lending begins before the burst that it is for")
    {
        ReplayPolicy policy({1.0, 0.01, 1.0, 5, true, 0});
        (void)runTurns(policy, 392, 10, 6);  // pool e bursts until 400 s, then pool a
        std::vector<CapacityPool> pools;
        pools.reserve(5);
        for (int p = 0; p < 5; ++p) {
            pools.push_back(
                pool(std::string(1, static_cast<char>('a' + p)), p == 4 ? 20 : 6, p == 4 ? 15.0 : 0.15, p == 4));
        }
        const auto moves = policy.decide(pools, second(392));
        REQUIRE_FALSE(moves.empty());
        CHECK(moves.front().to == PoolId{"a"});
    }
}
