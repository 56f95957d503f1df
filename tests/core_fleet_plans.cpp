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
    one.state = InstanceAvailability::Up;
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

std::set<std::string> allVacated()
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
        planner.setVacated(allVacated());
        const auto requests = planner.tick(now + 1s);
        REQUIRE(requests.size() == 2);

        SECTION("an order without an answer is repeated and counts as down meanwhile")
        {
            CHECK(planner.tick(now + 2s).empty());
            CHECK(planner.tick(now + 4s).size() == 2);
        }
        SECTION("an instance counts as down until it is back as another incarnation")
        {
            planner.begun(7, requests[0].instance, now + 1s);
            planner.setInstances(fleet(12, 0), Spare, now + 2s);
            CHECK(planner.tick(now + 2s).empty());
            auto listed = fleet(12, 0);
            for (PooledInstance &one : listed) {
                one.executor += one.id == requests[0].instance ? "-new" : "";
            }
            planner.setInstances(listed, Spare, now + 4s);
            CHECK(planner.tick(now + 4s).size() == 2);  // one new, one repeated
        }
        SECTION("a refusal lets another one go first")
        {
            planner.refused(7, requests[0].instance, false, now + 1s);
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
        next.setVacated(allVacated());
        const auto requests = next.tick(now + 20s);
        REQUIRE(requests.size() == 1);
        CHECK(requests[0].instance == "m1");
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
    auto both = fleet(6, 3);  // and three of another pool: a pool's part of the fleet is 6
    for (int i = 0; i < 3; ++i) {
        both.push_back(instance("b" + std::to_string(i), "bills"));
    }
    planner.setInstances(both, Spare, now);

    SECTION("a pool that wants more cores gets spare instances at once")
    {
        planner.setLoad("orders", load(110, now));
        const auto requests = planner.tick(now);
        CHECK(requests.size() == 2);  // 110 cores with headroom need 8 of 16 cores
        CHECK(planner.vacating().empty());

        SECTION("they count as arriving, so that no more are sent after them")
        {
            for (const MoveRequest &request : requests) {
                planner.moved(request.instance, now);
            }
            CHECK(planner.tick(now + 1s).empty());
        }
        SECTION("a refused move is planned again")
        {
            planner.refused(requests[0].instance, false, now);
            CHECK(planner.tick(now + 2s).size() == 2);
        }
        SECTION("but not at once: another instance goes, and the refused one is left alone for a while")
        {
            planner.moved(requests[1].instance, now);
            planner.refused(requests[0].instance, false, now);
            const auto next = planner.tick(now + 100ms);
            REQUIRE(next.size() == 1);
            CHECK(next[0].instance != requests[0].instance);
        }
        SECTION("a pool that takes no such instances is not asked again")
        {
            planner.refused(requests[0].instance, true, now);
            planner.refused(requests[1].instance, true, now);
            CHECK(planner.tick(now + 3s).size() == 1);  // instances of a test have no kind: the third is still tried
            planner.setLoad("bills", load(110, now + 3s));
            CHECK_FALSE(planner.tick(now + 3s).empty());  // another pool may get them
        }
    }
    SECTION("demand that rises is met ahead, for the time that a move takes")
    {
        planner.setLoad("orders", load(80, now));
        CHECK(planner.tick(now).empty());
        planner.setLoad("orders", load(86, now + 500ms));
        CHECK(planner.tick(now + 500ms).size() == 2);  // for 86 and three times the 6 of half a second
    }
    SECTION("a load that nobody has renewed counts no more: the pool is kept at its part of the fleet")
    {
        planner.setLoad("orders", load(160, now));
        CHECK(planner.tick(now + 4s).empty());
        SECTION("also when it had given instances up: its next owner finds a backlog")
        {
            planner.setLoad("bills", load(0, now));
            CHECK(planner.tick(now + 4s).size() == 3);
        }
    }
    SECTION("what has been idle goes back, and only after its owner has emptied it")
    {
        // Ten instances, of which the other pool has five: the floor of a pool is 5 x 0.85, so 5 stay in each.
        auto listed = fleet(5, 0);
        listed.push_back(instance("s2", "orders"));
        for (int i = 0; i < 4; ++i) {
            listed.push_back(instance("b" + std::to_string(i), "bills"));
        }
        planner.setInstances(listed, Spare, now);
        planner.setLoad("orders", load(80, now, {"i-s2"}));
        planner.setLoad("orders", load(60, now + 1s, {"i-s2"}));
        planner.tick(now + 1s);
        CHECK(planner.vacating().empty());  // a moment ago it was needed
        planner.setLoad("orders", load(60, now + 3s, {"i-s2"}));
        CHECK(planner.tick(now + 3s).empty());
        CHECK(planner.vacating() == std::set<std::string>{"i-s2"});
        SECTION("its owner tells that it is empty")
        {
            planner.setVacatePublished({"i-s2"}, 20);
            planner.setVacated({{"i-s2", 20}});
            const auto requests = planner.tick(now + 3100ms);
            REQUIRE(requests.size() == 1);
            CHECK(requests[0].pool == "spare");
        }
        SECTION("a word that it was empty before the list named it does not count")
        {
            planner.setVacated({{"i-s2", 19}});
            CHECK(planner.tick(now + 3100ms).empty());
            planner.setVacatePublished({"i-s2"}, 20);
            CHECK(planner.tick(now + 3200ms).empty());
        }
        SECTION("the pool needs it again before it is empty: it stays, and an old word moves it no more")
        {
            planner.setVacatePublished({"i-s2"}, 20);
            planner.setLoad("orders", load(80, now + 3100ms));
            CHECK(planner.tick(now + 3100ms).empty());
            CHECK(planner.vacating().empty());
            planner.setVacatePublished({}, 21);
            planner.setLoad("orders", load(60, now + 3200ms, {"i-s2"}));
            planner.setLoad("orders", load(60, now + 5s, {"i-s2"}));
            planner.tick(now + 5s);
            REQUIRE(planner.vacating() == std::set<std::string>{"i-s2"});
            planner.setVacatePublished({"i-s2"}, 22);
            planner.setVacated({{"i-s2", 20}});
            CHECK(planner.tick(now + 5100ms).empty());
            planner.setVacated({{"i-s2", 22}});
            CHECK(planner.tick(now + 5200ms).size() == 1);
        }
        SECTION("another pool needs more: it goes there, not to the spare pool")
        {
            planner.setLoad("bills", load(70, now + 3s));
            planner.setVacatePublished({"i-s2"}, 20);
            planner.setVacated({{"i-s2", 20}});
            const auto requests = planner.tick(now + 3100ms);
            REQUIRE(requests.size() == 1);
            CHECK(requests[0].instance == "s2");
            CHECK(requests[0].pool == "bills");
        }
    }
    SECTION("an idle pool shrinks to its share of the fleet, and what holds long-running tasks stays")
    {
        // Two pools, ten instances in all: 5 stay of the 8.
        auto listed = fleet(8, 1);
        listed.push_back(instance("b0", "bills"));
        planner.setInstances(listed, Spare, now);
        PoolLoad quiet = load(0, now, {"i-m0"});
        quiet.light = {"i-m1", "i-m2"};  // the others hold long-running tasks
        planner.setLoad("orders", quiet);
        quiet.learned = now + 3s;
        planner.setLoad("orders", quiet);
        planner.tick(now + 3s);
        CHECK(planner.vacating() == std::set<std::string>{"i-m0", "i-m1", "i-m2"});
        SECTION("a step that needs distinct executors keeps them")
        {
            PoolPlanner wide({});
            wide.setInstances(listed, Spare, now);
            quiet.widestStep = 7;
            wide.setLoad("orders", quiet);
            wide.tick(now + 3s);
            CHECK(wide.vacating() == std::set<std::string>{"i-m0"});
        }
    }
    SECTION("an instance in a wave is left alone")
    {
        planner.setReserved({"s0", "s1", "s2"});
        planner.setLoad("orders", load(160, now));
        CHECK(planner.tick(now).empty());
    }
}

TEST_CASE("Pools have the kinds of instance that their jobs require")
{
    TimePoint now{10s};
    PoolPlanner planner({});
    const auto ofKind = [](PooledInstance one, const std::string &kind) {
        one.labels = {kind, "r1"};
        return one;
    };
    std::vector<PooledInstance> all;
    for (int i = 0; i < 4; ++i) {
        all.push_back(ofKind(instance("o" + std::to_string(i), "orders"), "small"));
        all.push_back(ofKind(instance("p" + std::to_string(i), "stems"), i < 2 ? "large" : "small"));
    }
    PoolLoad wants = load(40, now);
    wants.wantedWithLabel["large"] = 16'000;

    SECTION("a spare one of the kind comes, though the pool has cores enough")
    {
        all.push_back(ofKind(instance("s0", "spare"), "small"));
        all.push_back(ofKind(instance("s1", "spare"), "large"));
        all.push_back(ofKind(instance("s2", "spare"), "small"));
        planner.setInstances(all, Spare, now);
        planner.setLoad("orders", wants);
        const std::vector<MoveRequest> requests = planner.tick(now);
        const auto large = std::find_if(requests.begin(), requests.end(),
                                        [](const MoveRequest &request) { return request.instance == "s1"; });
        REQUIRE(large != requests.end());
        CHECK(large->pool == "orders");
    }
    SECTION("no spare one has it: a pool that does not require the kind gives one up, once it is empty")
    {
        planner.setInstances(all, Spare, now);
        planner.setLoad("orders", wants);
        planner.setLoad("stems", load(40, now, {"i-p1", "i-p2"}));
        CHECK(planner.tick(now).empty());
        CHECK(planner.vacating() == std::set<std::string>{"i-p1"});
    }
    SECTION("a pool whose own jobs require the kind keeps it")
    {
        PoolLoad stems = load(40, now, {"i-p1", "i-p2"});
        stems.wantedWithLabel["large"] = 24'000;
        planner.setInstances(all, Spare, now);
        planner.setLoad("orders", wants);
        planner.setLoad("stems", stems);
        planner.tick(now);
        CHECK(planner.vacating().empty());
    }
    SECTION("an idle pool keeps one of each kind")
    {
        all.push_back(ofKind(instance("s0", "spare"), "small"));
        planner.setInstances(all, Spare, now);
        PoolPlannerSettings few;
        few.floorShare = 0.1;
        PoolPlanner small(few);
        small.setInstances(all, Spare, now);
        small.setLoad("stems", load(0, now, {"i-p0", "i-p1", "i-p2", "i-p3"}));
        small.tick(now);
        const std::set<std::string> leaving = small.vacating();
        CHECK(leaving.size() == 2);
        CHECK(leaving.contains("i-p0") != leaving.contains("i-p1"));
        CHECK(leaving.contains("i-p2") != leaving.contains("i-p3"));
    }
}

TEST_CASE("A pool's load survives the store")
{
    PoolLoad before = load(33, TimePoint{1s}, {"i-1", "i-2"});
    before.light = {"i-3"};
    before.wantedWithLabel = {{"large", 8000}};
    const auto after = parsePoolLoad(encodePoolLoad(before), TimePoint{2s});
    REQUIRE(after);
    CHECK(after.value().wantedMilliCores == 33'000);
    CHECK(after.value().idle == before.idle);
    CHECK(after.value().light == before.light);
    CHECK(after.value().wantedWithLabel == before.wantedWithLabel);
    CHECK(after.value().learned == TimePoint{2s});
    CHECK_FALSE(parsePoolLoad("[]", TimePoint{2s}));
    CHECK_FALSE(parsePoolLoad("{\"wanted\":\"x\"}", TimePoint{2s}));
    CHECK_FALSE(parsePoolLoad(R"({"wanted":1,"widest":0,"labels":{"large":"x"},"idle":[],"light":[]})", TimePoint{2s}));
}

TEST_CASE("The word of empty executors survives the store")
{
    const auto after = parseVacatedReport(encodeVacatedReport({77, {"i-1", "i-2"}}));
    REQUIRE(after);
    CHECK(after.value().listRevision == 77);
    CHECK(after.value().executors == std::set<std::string>{"i-1", "i-2"});
    CHECK_FALSE(parseVacatedReport("[]"));
    CHECK_FALSE(parseVacatedReport(R"({"list":1,"executors":[3]})"));
    CHECK_FALSE(parseVacatedReport(R"({"list":"x","executors":[]})"));
}
