// Tests FleetOwner against a store in memory and a machines API that answers when the test says so.

#include "fleet_fixtures.h"
#include "fleet_owner.h"
#include "unreliable_store.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

using namespace briarvane;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds ConditionTimeout{60};
const std::string StatusPrefix = "status/wave/";

struct OpenOrder
{
    std::string executor;
    std::function<void(OrderResult)> answer;
};

/// An owner of the fleet with six instances of the pool "orders". The list of instances is answered at once.
struct FleetFixture
{
    FleetFixture()
        : token(store.put(keys::owner(keys::FleetPartition), "e1"))
    {
        for (int i = 0; i < 6; ++i) {
            instances.push_back(makeInstance("m" + std::to_string(i), "orders"));
        }
        settings.listPeriod = 5ms;
        settings.idleListPeriod = 5ms;
        settings.poolSettings.scaleDownWindow = 0ms;
        settings.poolSettings.minSizeShare = 0.5;
        settings.poolSettings.retryInterval = 1ms;
        settings.poolSettings.maxLoadAge = 1h;
    }

    void start(bool hadOwner)
    {
        FleetOwnerHooks hooks;
        hooks.list = [this](const FleetOwnerHooks::Listed &done) {
            ++lists;
            timers.at(steadyNow(), [this, done] { done(instances); });
        };
        hooks.maintain
            = [this](const MaintenanceRequest &request, std::uint64_t, std::function<void(OrderResult)> done) {
                  orders.push_back({request.executor, std::move(done)});
              };
        hooks.move = [this](const MoveRequest &request, std::uint64_t, std::function<void(OrderResult)> done) {
            orders.push_back({request.executor, std::move(done)});
        };
        hooks.statusPrefix = StatusPrefix;
        hooks.status = [](std::int64_t wave, bool completed) {
            return StoreWrite{statusKey(wave), completed ? "completed" : "running", 0};
        };
        hooks.parseStatus = [](const StoreItem &item) -> Result<WaveStatus> {
            return WaveStatus{std::stoll(item.key.substr(StatusPrefix.size())), item.value == "completed"};
        };
        hooks.ownershipLost = [this](std::string_view) { ownershipLost = true; };
        owner.emplace(store, timers, token, hadOwner, settings, std::move(hooks), bootNow());
        owner->setSparePools(SparePools);
        owner->start();
    }

    void runUntil(const std::function<bool()> &condition)
    {
        const auto limit = std::chrono::steady_clock::now() + ConditionTimeout;
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < limit);
            io.run_one_for(std::chrono::milliseconds(10));
        }
    }
    void runForLists(int count)
    {
        runUntil([this, end = lists + count] { return lists >= end; });
    }
    static std::string statusKey(std::int64_t wave)
    {
        return StatusPrefix + std::to_string(wave);
    }
    /// Adds the waves 1 to `count`, each of the instance m0.
    void addWaves(int count)
    {
        for (int wave = 1; wave <= count; ++wave) {
            MaintenanceWave added = makeWave(1, 1);
            added.id = wave;
            owner->addWave(added);
        }
    }
    std::set<std::string> vacating() const
    {
        const auto parsed = boost::json::parse(store.value(keys::FleetVacating));
        return boost::json::value_to<std::set<std::string>>(parsed);
    }
    /// Reports all executors of the stored list as vacated.
    void reportVacated()
    {
        std::map<std::string, std::uint64_t> reports;
        for (const std::string &executor : vacating()) {
            reports[executor] = store.item(keys::FleetVacating).revision;
        }
        owner->setVacated(reports, {});
    }

    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
    Timers timers{io};
    UnreliableStore store{io};
    std::uint64_t token = 0;
    FleetOwnerSettings settings;
    std::vector<PooledInstance> instances;
    std::vector<OpenOrder> orders;
    int lists = 0;
    bool ownershipLost = false;
    std::optional<FleetOwner<UnreliableStore>> owner;
};

}

TEST_CASE("A new owner of the fleet gives no executor work that an order of its predecessor may end")
{
    FleetFixture fixture;
    fixture.settings.takeoverDelay = 1h;
    fixture.store.put(keys::FleetVacating, R"(["i-m0","i-m4"])");
    fixture.start(true);
    fixture.runForLists(10);
    CHECK(fixture.vacating() == std::set<std::string>{"i-m0", "i-m4"});
}

TEST_CASE("No executor is given work while an order that ends it is open")
{
    FleetFixture fixture;
    fixture.start(false);
    PoolLoad load;
    load.receivedAt = bootNow();
    for (const PooledInstance &instance : fixture.instances) {
        load.idle.insert(instance.executor);
    }
    fixture.owner->setLoad("orders", load);
    fixture.runUntil([&] { return !fixture.store.value(keys::FleetVacating).empty() && !fixture.vacating().empty(); });
    fixture.reportVacated();
    fixture.runUntil([&] { return !fixture.orders.empty(); });
    fixture.runForLists(30);  // long enough for the repetition of an order that is not answered
    const auto first = fixture.orders.front();
    fixture.orders.erase(fixture.orders.begin());
    first.answer(OrderResult::Refused);
    fixture.runForLists(30);
    const std::set<std::string> vacating = fixture.vacating();
    for (const OpenOrder &order : fixture.orders) {
        CHECK(vacating.contains(order.executor));
    }
}

TEST_CASE("Maintenance does not begin on a report from before the executor was to be vacated")
{
    FleetFixture fixture;
    fixture.start(false);
    fixture.owner->addWave(makeWave(1, 1));
    fixture.runUntil([&] { return fixture.store.value(keys::FleetVacating) == R"(["i-m0"])"; });
    const std::uint64_t listRevision = fixture.store.item(keys::FleetVacating).revision;
    fixture.owner->setVacated({{"i-m0", listRevision - 1}}, {});
    fixture.runForLists(50);
    CHECK(fixture.orders.empty());
    fixture.owner->setVacated({{"i-m0", listRevision}}, {});
    fixture.runUntil([&] { return !fixture.orders.empty(); });
    CHECK(fixture.orders.front().executor == "i-m0");
}

// Guards against a transaction that grows with the number of waves until the store rejects it, and then for ever.
TEST_CASE("The owner of the fleet publishes beside any number of waves")
{
    constexpr int waves = 40;  // the status of 16 takes more rows than a transaction has
    FleetFixture fixture;
    fixture.settings.orderTimeout = fixture.settings.orderMargin = 0ms;
    fixture.settings.takeoverDelay = 0ms;
    fixture.settings.maxProofAge = 50ms;  // orders of the predecessor, and this owner without a proof, end after this
    fixture.store.put(keys::FleetVacating, R"(["i-m0"])");

    SECTION("that earlier owners have completed: it writes no status again, and closes no executor that is not leaving")
    {
        std::vector<std::uint64_t> revisions;
        for (int wave = 1; wave <= waves; ++wave) {
            revisions.push_back(fixture.store.put(FleetFixture::statusKey(wave), "completed"));
        }
        fixture.start(true);
        fixture.addWaves(waves);
        fixture.runUntil([&] { return fixture.vacating().empty(); });
        fixture.runForLists(50);
        for (int wave = 1; wave <= waves; ++wave) {
            CHECK(fixture.store.item(FleetFixture::statusKey(wave)).revision
                  == revisions[static_cast<std::size_t>(wave - 1)]);
        }
        CHECK(fixture.orders.empty());
    }
    SECTION("that are new: each of them is shown as running")
    {
        fixture.start(false);
        fixture.addWaves(waves);
        const auto isShown = [&](int wave) { return fixture.store.value(FleetFixture::statusKey(wave)) == "running"; };
        for (int wave = 1; wave <= waves; ++wave) {
            fixture.runUntil([&] { return isShown(wave); });
        }
    }
}

// Guards against a write that the store rejects holding up the others, and being repeated at the rate of the passes.
TEST_CASE("A status that the store rejects holds up no list of vacating executors")
{
    FleetFixture fixture;
    fixture.settings.rejectedPause = 1h;
    fixture.store.rejectWrites(StatusPrefix);
    fixture.start(false);
    fixture.owner->addWave(makeWave(2, 2));
    fixture.runUntil([&] { return fixture.store.value(keys::FleetVacating) == R"(["i-m0"])"; });
    fixture.runUntil([&] { return fixture.store.rejectedWrites() > 0; });
    fixture.runForLists(50);
    CHECK(fixture.store.rejectedWrites() == 1);
}

// Guards against a record that grows with all waves of the past, and against one that an older build misreads.
TEST_CASE("The record of begun instances leaves out completed waves once all entries read their status")
{
    FleetFixture fixture;
    fixture.store.put(FleetFixture::statusKey(7), "completed");
    fixture.store.put(keys::FleetMaintenanceBegun, R"({"7":["m0","m1"]})");
    fixture.start(false);
    fixture.owner->addWave(makeWave(2, 2));
    fixture.runForLists(10);
    CHECK(fixture.store.value(keys::FleetMaintenanceBegun) == R"({"7":["m0","m1"]})");
    fixture.owner->setStatusTrusted(true);
    fixture.runUntil([&] { return fixture.store.value(keys::FleetMaintenanceBegun) == "{}"; });
    fixture.owner->setStatusTrusted(false);
    fixture.runUntil([&] { return fixture.store.value(keys::FleetMaintenanceBegun) == R"({"7":["m0","m1"]})"; });
}
