// Waves of maintenance and moves between pools, planned without sockets or clocks.

#include "pool_planner.h"
#include "wave_planner.h"

#include <catch2/catch.hpp>

#include <numeric>

using namespace briarvane;
using namespace std::chrono_literals;

namespace
{

PooledInstance instance(const std::string &id, const std::string &pool)
{
    PooledInstance one;
    one.id = id;
    one.pool = pool;
    one.state = InstanceState::Up;
    one.executor = "i-" + id;
    one.capacity = {16'000, 32'768, 0};
    return one;
}

std::vector<PooledInstance> fleet(int busy, int spare)
{
    std::vector<PooledInstance> all;
    all.reserve(static_cast<std::size_t>(busy) + static_cast<std::size_t>(spare));
    for (int i = 0; i < busy; ++i) {
        all.push_back(instance("m" + std::to_string(i), "orders"));
    }
    for (int i = 0; i < spare; ++i) {
        all.push_back(instance("s" + std::to_string(i), "spare"));
    }
    return all;
}

const std::set<std::string> Spare{"spare"};

MaintenanceWave wave(int instances, int atOnce)
{
    MaintenanceWave one;
    one.instances.reserve(static_cast<std::size_t>(instances));
    one.id = 7;
    one.atOnce = atOnce;
    one.within = 24s;
    for (int i = 0; i < instances; ++i) {
        one.instances.push_back("m" + std::to_string(i));
    }
    return one;
}

std::set<std::string> allCleared()
{
    std::set<std::string> ids;
    for (int i = 0; i < 12; ++i) {
        ids.insert("i-m" + std::to_string(i));
    }
    return ids;
}

PoolLoad load(int cores, TimePoint now, std::set<std::string> idle = {})
{
    PoolLoad one;
    one.wantedMilliCores = cores * 1000;
    one.idle = std::move(idle);
    one.learned = now;
    return one;
}

}

TEST_CASE("A wave takes its instances down a few at a time, each only when it is empty")
{
    TimePoint now{1h};
    WavePlanner planner({});
    planner.addWave(wave(12, 2), {}, now);
    planner.setInstances(fleet(12, 0), Spare, now);

    SECTION("nothing goes down before its owner says that it is empty")
    {
        CHECK(planner.tick(now).empty());
        CHECK(planner.vacating().size() == 3);  // a quarter of the pool
    }
    SECTION("no more are down at once than the wave allows, also while answers are missing")
    {
        planner.tick(now);
        planner.setCleared(allCleared());
        const auto orders = planner.tick(now + 1s);
        REQUIRE(orders.size() == 2);

        SECTION("an order without an answer is repeated and counts as down meanwhile")
        {
            CHECK(planner.tick(now + 2s).empty());
            CHECK(planner.tick(now + 4s).size() == 2);
        }
        SECTION("an instance counts as down until it is back as another incarnation")
        {
            planner.begun(7, orders[0].instance, now + 1s);
            planner.setInstances(fleet(12, 0), Spare, now + 2s);
            CHECK(planner.tick(now + 2s).empty());
            auto listed = fleet(12, 0);
            for (PooledInstance &one : listed) {
                one.executor += one.id == orders[0].instance ? "-new" : "";
            }
            planner.setInstances(listed, Spare, now + 4s);
            CHECK(planner.tick(now + 4s).size() == 2);  // one new, one repeated
        }
        SECTION("a refusal lets another one go first")
        {
            planner.refused(7, orders[0].instance, false, now + 1s);
            CHECK(planner.tick(now + 1100ms).size() == 1);
        }
    }
    SECTION("it is completed when each instance has begun, and not before")
    {
        CHECK(planner.completedWaves().empty());
        for (int i = 0; i < 12; ++i) {
            CHECK(planner.completedWaves().empty());
            planner.begun(7, "m" + std::to_string(i), now);
        }
        CHECK(planner.completedWaves() == std::vector<std::int64_t>{7});
        planner.reportedCompleted(7);
        CHECK(planner.idle());
    }
    SECTION("an instance that was taken away does not hold the wave up")
    {
        auto listed = fleet(12, 0);
        listed.pop_back();
        for (int i = 0; i < 11; ++i) {
            planner.begun(7, "m" + std::to_string(i), now);
        }
        planner.setInstances(listed, Spare, now);
        CHECK(planner.completedWaves().size() == 1);
    }
    SECTION("a new owner does not repeat what had begun")
    {
        WavePlanner next({});
        next.addWave(wave(2, 2), {"m0"}, now);
        next.setInstances(fleet(12, 0), Spare, now + 20s);
        next.setCleared(allCleared());
        const auto orders = next.tick(now + 20s);
        REQUIRE(orders.size() == 1);
        CHECK(orders[0].instance == "m1");
    }
    SECTION("an instance that is being moved is left alone")
    {
        planner.setReserved({"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9", "m10", "m11"});
        planner.tick(now);
        CHECK(planner.vacating().empty());
    }
}

TEST_CASE("Spare instances follow the queue whose turn it is")
{
    TimePoint now{1h};
    PoolPlanner planner({});
    planner.setInstances(fleet(4, 3), Spare, now);

    SECTION("a pool that wants more cores gets spare instances at once")
    {
        planner.setLoad("orders", load(80, now));
        const auto orders = planner.tick(now);
        CHECK(orders.size() == 2);  // 80 cores with headroom need 6 of 16 cores
        CHECK(planner.vacating().empty());

        SECTION("they count as arriving, so that no more are sent after them")
        {
            for (const MoveOrder &order : orders) {
                planner.moved(order.instance, now);
            }
            CHECK(planner.tick(now + 1s).empty());
        }
        SECTION("a refused move is planned again")
        {
            planner.refused(orders[0].instance, now);
            CHECK(planner.tick(now + 2s).size() == 2);
        }
    }
    SECTION("a load that nobody has renewed moves nothing")
    {
        planner.setLoad("orders", load(160, now));
        CHECK(planner.tick(now + 4s).empty());
    }
    SECTION("what has been idle goes back, and only after its owner has emptied it")
    {
        auto listed = fleet(4, 2);
        listed.push_back(instance("s2", "orders"));
        planner.setInstances(listed, Spare, now);
        planner.setLoad("orders", load(10, now, {"i-s2"}));
        planner.setLoad("orders", load(10, now + 3s, {"i-s2"}));
        CHECK(planner.tick(now + 3s).empty());
        CHECK(planner.vacating() == std::set<std::string>{"i-s2"});
        planner.setCleared({"i-s2"});
        const auto orders = planner.tick(now + 3100ms);
        REQUIRE(orders.size() == 1);
        CHECK(orders[0].pool == "spare");
    }
    SECTION("a pool keeps its own size while it is idle")
    {
        planner.setLoad("orders", load(0, now, {"i-m0", "i-m1", "i-m2", "i-m3"}));
        planner.setLoad("orders", load(0, now + 3s, {"i-m0", "i-m1", "i-m2", "i-m3"}));
        planner.tick(now + 3s);
        CHECK(planner.vacating().empty());
    }
    SECTION("an instance in a wave is left alone")
    {
        planner.setReserved({"s0", "s1", "s2"});
        planner.setLoad("orders", load(160, now));
        CHECK(planner.tick(now).empty());
    }
}

TEST_CASE("A pool's load survives the store")
{
    const PoolLoad before = load(33, TimePoint{1s}, {"i-1", "i-2"});
    const auto after = parsePoolLoad(encodePoolLoad(before), TimePoint{2s});
    REQUIRE(after);
    CHECK(after.value().wantedMilliCores == 33'000);
    CHECK(after.value().idle == before.idle);
    CHECK(after.value().learned == TimePoint{2s});
    CHECK_FALSE(parsePoolLoad("[]", TimePoint{2s}));
    CHECK_FALSE(parsePoolLoad("{\"wanted\":\"x\"}", TimePoint{2s}));
}
