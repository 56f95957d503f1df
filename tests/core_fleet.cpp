#include "fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace briarvane;

namespace
{

constexpr std::int64_t StartMs = 1'000'000;

Sheet twoPoolSheet(double availability)
{
    Sheet sheet;
    sheet.pools = {{.id = {"orders"}}, {.id = {"rosters"}}};
    sheet.services = {{.id = {"order"}, .pool = {"orders"}, .route = "/order", .availability = availability},
                      {.id = {"roster"}, .pool = {"rosters"}, .route = "/roster", .availability = availability}};
    for (int i = 1; i <= 10; ++i) {
        sheet.instances.push_back({{"orders-" + std::to_string(i)}, {"orders"}});
        sheet.instances.push_back({{"rosters-" + std::to_string(i)}, {"rosters"}});
    }
    return sheet;
}

std::vector<InstanceRecord> allLive(const Sheet &sheet)
{
    std::vector<InstanceRecord> records;
    for (std::size_t i = 0; i < sheet.instances.size(); ++i) {
        const std::string rack = "rack-" + std::to_string(i / 4);
        records.push_back({sheet.instances[i].id, "127.0.0.1", static_cast<std::uint16_t>(9000 + i), "perth", rack});
    }
    return records;
}

struct Scene
{
    Sheet sheet = twoPoolSheet(0.8);
    FleetObservation seen{.records = allLive(sheet)};
    Fleet fleet;
    std::int64_t nowMs = StartMs;

    void step()
    {
        fleet = stepFleet(fleet, sheet, "digest-1", seen, nowMs).next;
        ++nowMs;
    }
    /// Confirms every drain, reboot and check of the present value.
    void confirmAll(bool verified = true)
    {
        seen.released.clear();
        seen.rebooted.clear();
        seen.verified.clear();
        for (const auto &[id, instance] : fleet.instances) {
            if (instance.state == InstanceState::Draining) {
                seen.released.insert(id);
            } else if (instance.state == InstanceState::Rebooting) {
                seen.rebooted.insert(id);
            } else if (instance.state == InstanceState::Verifying) {
                seen.verified[id] = verified;
            }
        }
    }
    int stateCount(InstanceState state) const
    {
        return static_cast<int>(std::count_if(fleet.instances.begin(), fleet.instances.end(),
                                              [&](const auto &item) { return item.second.state == state; }));
    }
};

}

TEST_CASE("An instance moves between pools", "[fleet]")
{
    Scene scene;
    scene.step();
    REQUIRE(scene.fleet.instances.size() == 20);
    const InstanceId id{"orders-1"};

    SECTION("it drains first, since requests are in flight")
    {
        const auto moved = moveInstance(scene.fleet, id, {"rosters"}, scene.sheet, scene.seen.records, scene.nowMs);
        REQUIRE(moved);
        scene.fleet = moved.value();
        CHECK(scene.fleet.instances.at(id).state == InstanceState::Draining);
        CHECK(scene.fleet.instances.at(id).pool == PoolId{"orders"});
        CHECK(admitted(scene.fleet, {"orders"}, scene.seen.records).size() == 9);

        SECTION("and stays until every entry has confirmed, else a request in flight would be cut")
        {
            scene.step();
            scene.step();
            CHECK(scene.fleet.instances.at(id).state == InstanceState::Draining);
        }
        SECTION("then it belongs to the other pool, in one change")
        {
            scene.confirmAll();
            scene.step();
            CHECK(scene.fleet.instances.at(id).pool == PoolId{"rosters"});
            CHECK(admitted(scene.fleet, {"rosters"}, scene.seen.records).size() == 11);
        }
        SECTION("an undrain returns it to its pool")
        {
            const auto returned = undrainInstance(scene.fleet, id, scene.nowMs);
            REQUIRE(returned);
            CHECK(returned.value().instances.at(id).state == InstanceState::Active);
            CHECK(returned.value().instances.at(id).pool == PoolId{"orders"});
        }
    }
    SECTION("moves beyond the budget are refused, failed instances counted")
    {
        scene.seen.records[0].presence = Presence::Gone;  // orders-1
        const auto first
            = moveInstance(scene.fleet, {"orders-2"}, {"rosters"}, scene.sheet, scene.seen.records, scene.nowMs);
        REQUIRE(first);
        const auto second
            = moveInstance(first.value(), {"orders-3"}, {"rosters"}, scene.sheet, scene.seen.records, scene.nowMs);
        REQUIRE_FALSE(second);
        CHECK(second.error().code == ErrorCode::Refused);
    }
    SECTION("unknown names are refused")
    {
        CHECK_FALSE(moveInstance(scene.fleet, {"nobody"}, {"rosters"}, scene.sheet, scene.seen.records, scene.nowMs));
        CHECK_FALSE(moveInstance(scene.fleet, id, {"nowhere"}, scene.sheet, scene.seen.records, scene.nowMs));
    }
}

TEST_CASE("A maintenance wave", "[fleet]")
{
    Scene scene;
    scene.step();
    scene.fleet = startWave(scene.fleet, "w1", {"orders"}, scene.seen.records, scene.nowMs).value();
    scene.step();

    SECTION("starts with two canaries in different racks")
    {
        const Wave &wave = scene.fleet.waves.at("w1");
        CHECK(wave.state == WaveState::Canary);
        REQUIRE(wave.running.size() == 2);
        const auto rackOf = [&](const InstanceId &id) {
            return std::find_if(scene.seen.records.begin(), scene.seen.records.end(),
                                [&](const InstanceRecord &r) { return r.id == id; })
                ->rack;
        };
        CHECK(rackOf(wave.running[0]) != rackOf(wave.running[1]));
    }
    SECTION("reboots every instance of the pool within the budget")
    {
        for (int i = 0; i < 100 && scene.fleet.waves.at("w1").state != WaveState::Done; ++i) {
            scene.confirmAll();
            scene.step();
            CHECK(disrupted(scene.fleet, {"orders"}, scene.seen.records) <= 2);
        }
        CHECK(scene.fleet.waves.at("w1").state == WaveState::Done);
        CHECK(scene.fleet.waves.at("w1").finished.size() == 10);
    }
    SECTION("pauses when a canary fails")
    {
        for (int i = 0; i < 10; ++i) {
            scene.confirmAll(false);
            scene.step();
        }
        CHECK(scene.fleet.waves.at("w1").state == WaveState::Paused);
        CHECK(scene.stateCount(InstanceState::Failed) == 2);

        SECTION("and goes on where it was after a resume, failed instances still counting against the budget")
        {
            scene.fleet = resumeWave(scene.fleet, "w1").value();
            scene.confirmAll();
            scene.step();
            CHECK(scene.fleet.waves.at("w1").state == WaveState::Rolling);
            CHECK(scene.fleet.waves.at("w1").running.empty());
        }
    }
    SECTION("pauses when instances fail after they served again, as failures within a wave are correlated")
    {
        while (scene.fleet.waves.at("w1").finished.size() < 4) {
            scene.confirmAll();
            scene.step();
        }
        for (InstanceRecord &record : scene.seen.records) {
            const auto &finished = scene.fleet.waves.at("w1").finished;
            if (record.id == finished[2].id || record.id == finished[3].id) {
                record.presence = Presence::Gone;
            }
        }
        scene.step();
        CHECK(scene.fleet.waves.at("w1").state == WaveState::Paused);
    }
    SECTION("does not start outside the pool's window")
    {
        Scene closed;
        closed.sheet.windows
            = {{.pool = {"orders"}, .timeZone = "UTC", .days = 127, .startMinute = 60, .endMinute = 120}};
        closed.step();
        closed.fleet = startWave(closed.fleet, "w2", {"orders"}, closed.seen.records, closed.nowMs).value();
        closed.step();
        CHECK(closed.fleet.waves.at("w2").state == WaveState::Planned);
        closed.seen.wallNow = WallTime(std::chrono::minutes(90));
        closed.step();
        CHECK(closed.fleet.waves.at("w2").running.size() == 2);
    }
    SECTION("an abort lets instances serve again that are not rebooting yet")
    {
        scene.fleet = abortWave(scene.fleet, "w1", scene.nowMs).value();
        CHECK(scene.stateCount(InstanceState::Draining) == 0);
        CHECK(scene.fleet.waves.at("w1").state == WaveState::Aborted);
    }
}

TEST_CASE("A new sheet is carried out under the budgets", "[fleet]")
{
    Scene scene;
    scene.step();

    SECTION("instances that it leaves out are removed a few at a time")
    {
        scene.sheet.instances.erase(scene.sheet.instances.begin(), scene.sheet.instances.begin() + 10);
        scene.fleet = stepFleet(scene.fleet, scene.sheet, "digest-2", scene.seen, scene.nowMs).next;
        CHECK(disrupted(scene.fleet, {"orders"}, scene.seen.records) <= 2);
        for (int i = 0; i < 50; ++i) {
            scene.confirmAll();
            scene.fleet = stepFleet(scene.fleet, scene.sheet, "digest-2", scene.seen, scene.nowMs).next;
        }
        CHECK(scene.fleet.instances.size() == 10);
        CHECK(scene.fleet.intended.empty());
    }
    SECTION("the same sheet again changes nothing")
    {
        const Fleet before = scene.fleet;
        scene.step();
        CHECK(scene.fleet == before);
    }
}

TEST_CASE("The fleet value keeps its invariants under any sequence of changes", "[fleet]")
{
    const bool passed = rc::check("budgets, one pool, JSON form", [] {
        Scene scene;
        scene.step();
        const int steps = *rc::gen::inRange(10, 60);
        for (int i = 0; i < steps; ++i) {
            const auto id = InstanceId{(*rc::gen::arbitrary<bool>() ? "orders-" : "rosters-")
                                       + std::to_string(*rc::gen::inRange(1, 11))};
            const PoolId pool{*rc::gen::arbitrary<bool>() ? "orders" : "rosters"};
            std::optional<Result<Fleet>> changed;
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                changed = moveInstance(scene.fleet, id, pool, scene.sheet, scene.seen.records, scene.nowMs);
                break;
            case 1:
                changed = drainInstance(scene.fleet, id, scene.sheet, scene.seen.records, scene.nowMs);
                break;
            case 2:
                changed = undrainInstance(scene.fleet, id, scene.nowMs);
                break;
            case 3:
                changed = startWave(scene.fleet, "w" + std::to_string(i), pool, scene.seen.records, scene.nowMs);
                break;
            case 4:
                scene.confirmAll(*rc::gen::arbitrary<bool>());
                break;
            case 5:
                for (const auto &[name, wave] : scene.fleet.waves) {
                    if (wave.state == WaveState::Paused) {
                        changed = resumeWave(scene.fleet, name);
                    }
                }
                break;
            default:
                break;
            }
            if (changed && *changed) {
                scene.fleet = changed->value();
            }
            scene.step();
            const char *pools[] = {"orders", "rosters"};
            for (int p = 0; p < 2; ++p) {
                const int now = disrupted(scene.fleet, {pools[p]}, scene.seen.records);
                RC_ASSERT(now <= disruptionLimit(scene.fleet, {pools[p]}, scene.sheet));
            }
            RC_ASSERT(scene.fleet.instances.size() == 20U);
            const auto parsed = parseFleet(formatFleet(scene.fleet));
            RC_ASSERT(parsed.has_value());
            RC_ASSERT(parsed.value() == scene.fleet);
        }
    });
    CHECK(passed);
}

TEST_CASE("A malformed fleet value is refused", "[fleet]")
{
    CHECK_FALSE(parseFleet("[]"));
    CHECK_FALSE(parseFleet(R"({"instances":{"a":{"pool":"p","state":"sleeping"}}})"));
    CHECK_FALSE(parseFleet(R"({"instances":{},"intended":{"a":"p"}})"));
}
