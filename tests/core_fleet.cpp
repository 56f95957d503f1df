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

struct FleetFixture
{
    Sheet sheet = twoPoolSheet(0.8);
    FleetObservation observation{.records = allLive(sheet)};
    Fleet fleet;
    std::int64_t nowMs = StartMs;

    void step()
    {
        fleet = stepFleet(fleet, sheet, "digest-1", observation, nowMs).next;
        ++nowMs;
    }
    /// Reports every drain and reboot in progress as completed, and every check in progress with the given outcome.
    void confirmAll(bool verified = true)
    {
        observation.released.clear();
        observation.rebooted.clear();
        observation.verified.clear();
        for (const auto &[id, instance] : fleet.instances) {
            if (instance.state == InstanceState::Draining) {
                observation.released.insert(id);
            } else if (instance.state == InstanceState::Rebooting) {
                observation.rebooted.insert(id);
            } else if (instance.state == InstanceState::Verifying) {
                observation.verified[id] = verified;
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
    FleetFixture fixture;
    fixture.step();
    REQUIRE(fixture.fleet.instances.size() == 20);
    const InstanceId id{"orders-1"};

    SECTION("the instance drains first, since requests are in flight")
    {
        const auto moved
            = moveInstance(fixture.fleet, id, {"rosters"}, fixture.sheet, fixture.observation.records, fixture.nowMs);
        REQUIRE(moved);
        fixture.fleet = moved.value();
        CHECK(fixture.fleet.instances.at(id).state == InstanceState::Draining);
        CHECK(fixture.fleet.instances.at(id).pool == PoolId{"orders"});
        CHECK(admitted(fixture.fleet, {"orders"}, fixture.observation.records).size() == 9);

        SECTION(
            "it keeps draining until every entry has confirmed, since requests in flight would be aborted otherwise")
        {
            fixture.step();
            fixture.step();
            CHECK(fixture.fleet.instances.at(id).state == InstanceState::Draining);
        }
        SECTION("after the confirmations it belongs to the other pool with a single change of the fleet value")
        {
            fixture.confirmAll();
            fixture.step();
            CHECK(fixture.fleet.instances.at(id).pool == PoolId{"rosters"});
            CHECK(admitted(fixture.fleet, {"rosters"}, fixture.observation.records).size() == 11);
        }
        SECTION("an undrain makes it active in its former pool")
        {
            const auto returned = undrainInstance(fixture.fleet, id, fixture.nowMs);
            REQUIRE(returned);
            CHECK(returned.value().instances.at(id).state == InstanceState::Active);
            CHECK(returned.value().instances.at(id).pool == PoolId{"orders"});
        }
    }
    SECTION("moves beyond the disruption budget are refused, and failed instances count against it")
    {
        fixture.observation.records[0].presence = Presence::Gone;  // the record of orders-1
        const auto firstMove = moveInstance(fixture.fleet, {"orders-2"}, {"rosters"}, fixture.sheet,
                                            fixture.observation.records, fixture.nowMs);
        REQUIRE(firstMove);
        const auto secondMove = moveInstance(firstMove.value(), {"orders-3"}, {"rosters"}, fixture.sheet,
                                             fixture.observation.records, fixture.nowMs);
        REQUIRE_FALSE(secondMove);
        CHECK(secondMove.error().code == ErrorCode::Refused);
    }
    SECTION("unknown instances and pools are refused")
    {
        CHECK_FALSE(moveInstance(fixture.fleet, {"nobody"}, {"rosters"}, fixture.sheet, fixture.observation.records,
                                 fixture.nowMs));
        CHECK_FALSE(
            moveInstance(fixture.fleet, id, {"nowhere"}, fixture.sheet, fixture.observation.records, fixture.nowMs));
    }
}

TEST_CASE("A maintenance wave stays within the disruption budget and pauses after failures", "[fleet]")
{
    FleetFixture fixture;
    fixture.step();
    fixture.fleet = startWave(fixture.fleet, "w1", {"orders"}, fixture.observation.records, fixture.nowMs).value();
    fixture.step();

    SECTION("it starts with two canaries in different racks")
    {
        const Wave &wave = fixture.fleet.waves.at("w1");
        CHECK(wave.state == WaveState::Canary);
        REQUIRE(wave.running.size() == 2);
        const auto rackOf = [&](const InstanceId &id) {
            return std::find_if(fixture.observation.records.begin(), fixture.observation.records.end(),
                                [&](const InstanceRecord &r) { return r.id == id; })
                ->rack;
        };
        CHECK(rackOf(wave.running[0]) != rackOf(wave.running[1]));
    }
    SECTION("it reboots every instance of the pool within the disruption budget")
    {
        for (int i = 0; i < 100 && fixture.fleet.waves.at("w1").state != WaveState::Done; ++i) {
            fixture.confirmAll();
            fixture.step();
            CHECK(disrupted(fixture.fleet, {"orders"}, fixture.observation.records) <= 2);
        }
        CHECK(fixture.fleet.waves.at("w1").state == WaveState::Done);
        CHECK(fixture.fleet.waves.at("w1").finished.size() == 10);
    }
    SECTION("it pauses when a canary fails")
    {
        for (int i = 0; i < 10; ++i) {
            fixture.confirmAll(false);
            fixture.step();
        }
        CHECK(fixture.fleet.waves.at("w1").state == WaveState::Paused);
        CHECK(fixture.stateCount(InstanceState::Failed) == 2);

        SECTION("after a resume it continues, and failed instances still count against the disruption budget")
        {
            fixture.fleet = resumeWave(fixture.fleet, "w1").value();
            fixture.confirmAll();
            fixture.step();
            CHECK(fixture.fleet.waves.at("w1").state == WaveState::Rolling);
            CHECK(fixture.fleet.waves.at("w1").running.empty());
        }
    }
    SECTION("it pauses when instances fail after their successful check, since failures within a wave are correlated")
    {
        while (fixture.fleet.waves.at("w1").finished.size() < 4) {
            fixture.confirmAll();
            fixture.step();
        }
        for (InstanceRecord &record : fixture.observation.records) {
            const auto &finished = fixture.fleet.waves.at("w1").finished;
            if (record.id == finished[2].id || record.id == finished[3].id) {
                record.presence = Presence::Gone;
            }
        }
        fixture.step();
        CHECK(fixture.fleet.waves.at("w1").state == WaveState::Paused);
    }
    SECTION("it does not start outside the pool's maintenance window")
    {
        FleetFixture windowed;
        windowed.sheet.windows
            = {{.pool = {"orders"}, .timeZone = "UTC", .days = 127, .startMinute = 60, .endMinute = 120}};
        windowed.step();
        windowed.fleet
            = startWave(windowed.fleet, "w2", {"orders"}, windowed.observation.records, windowed.nowMs).value();
        windowed.step();
        CHECK(windowed.fleet.waves.at("w2").state == WaveState::Planned);
        windowed.observation.wallNow = WallTime(std::chrono::minutes(90));
        windowed.step();
        CHECK(windowed.fleet.waves.at("w2").running.size() == 2);
    }
    SECTION("an abort makes the instances active again that are not rebooting yet")
    {
        fixture.fleet = abortWave(fixture.fleet, "w1", fixture.nowMs).value();
        CHECK(fixture.stateCount(InstanceState::Draining) == 0);
        CHECK(fixture.fleet.waves.at("w1").state == WaveState::Aborted);
    }
}

TEST_CASE("A new sheet is applied within the disruption budgets", "[fleet]")
{
    FleetFixture fixture;
    fixture.step();

    SECTION("instances that the sheet no longer lists are removed within the disruption budget")
    {
        fixture.sheet.instances.erase(fixture.sheet.instances.begin(), fixture.sheet.instances.begin() + 10);
        fixture.fleet = stepFleet(fixture.fleet, fixture.sheet, "digest-2", fixture.observation, fixture.nowMs).next;
        CHECK(disrupted(fixture.fleet, {"orders"}, fixture.observation.records) <= 2);
        for (int i = 0; i < 50; ++i) {
            fixture.confirmAll();
            fixture.fleet
                = stepFleet(fixture.fleet, fixture.sheet, "digest-2", fixture.observation, fixture.nowMs).next;
        }
        CHECK(fixture.fleet.instances.size() == 10);
        CHECK(fixture.fleet.intended.empty());
    }
    SECTION("a sheet that is already applied changes nothing")
    {
        const Fleet before = fixture.fleet;
        fixture.step();
        CHECK(fixture.fleet == before);
    }
}

TEST_CASE("The fleet value keeps its invariants under any sequence of changes", "[fleet]")
{
    const bool passed = rc::check("disruption budgets, one pool per instance, JSON form", [] {
        FleetFixture fixture;
        fixture.step();
        const int steps = *rc::gen::inRange(10, 60);
        for (int i = 0; i < steps; ++i) {
            const auto id = InstanceId{(*rc::gen::arbitrary<bool>() ? "orders-" : "rosters-")
                                       + std::to_string(*rc::gen::inRange(1, 11))};
            const PoolId pool{*rc::gen::arbitrary<bool>() ? "orders" : "rosters"};
            std::optional<Result<Fleet>> changed;
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                changed
                    = moveInstance(fixture.fleet, id, pool, fixture.sheet, fixture.observation.records, fixture.nowMs);
                break;
            case 1:
                changed = drainInstance(fixture.fleet, id, fixture.sheet, fixture.observation.records, fixture.nowMs);
                break;
            case 2:
                changed = undrainInstance(fixture.fleet, id, fixture.nowMs);
                break;
            case 3:
                changed = startWave(fixture.fleet, "w" + std::to_string(i), pool, fixture.observation.records,
                                    fixture.nowMs);
                break;
            case 4:
                fixture.confirmAll(*rc::gen::arbitrary<bool>());
                break;
            case 5:
                for (const auto &[name, wave] : fixture.fleet.waves) {
                    if (wave.state == WaveState::Paused) {
                        changed = resumeWave(fixture.fleet, name);
                    }
                }
                break;
            default:
                break;
            }
            if (changed && *changed) {
                fixture.fleet = changed->value();
            }
            fixture.step();
            const char *pools[] = {"orders", "rosters"};
            for (int p = 0; p < 2; ++p) {
                const int disruptedNow = disrupted(fixture.fleet, {pools[p]}, fixture.observation.records);
                RC_ASSERT(disruptedNow <= disruptionLimit(fixture.fleet, {pools[p]}, fixture.sheet));
            }
            RC_ASSERT(fixture.fleet.instances.size() == 20U);
            const auto parsed = parseFleet(formatFleet(fixture.fleet));
            RC_ASSERT(parsed.has_value());
            RC_ASSERT(parsed.value() == fixture.fleet);
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
