// Tests of the decisions of the fleet's owner: which orders are sent, and which executors stay vacating meanwhile.

#include "fleet_fixtures.h"
#include "fleet_planner.h"

#include <catch2/catch.hpp>

#include <memory>
#include <random>

using namespace briarvane;
using namespace std::chrono_literals;

namespace
{

FleetOrder moveOf(const std::string &id)
{
    return {MoveRequest{id, "bills", "orders", MoveReason::Demand, "i-" + id}};
}

/// A fleet whose owner is deposed again and again without noticing. Its orders take up to the time-out, are refused,
/// get lost, or are carried out without an answer. The owners of partitions use each executor that is not vacating.
class FleetModel
{
public:
    explicit FleetModel(unsigned seed)
        : m_random(seed)
    {
        m_settings.poolSettings.minSizeShare = 0.3;
        m_settings.poolSettings.lendingSizeShare = 0.2;
        m_settings.poolSettings.minLendingSize = 1;
        m_settings.poolSettings.scaleDownWindow = 500ms;
        for (int i = 0; i < 8; ++i) {
            m_instances.push_back(makeInstance("m" + std::to_string(i), "orders"));
            m_instances.push_back(makeInstance("b" + std::to_string(i), "bills"));
        }
        m_owners.push_back(std::make_unique<Owner>(m_settings, false, m_now, ++m_token));
        startOwner();
    }

    void run(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += 50ms) {
            deliver();
            usePartitions();
            for (const auto &owner : m_owners) {
                step(*owner);
            }
            if (draw(250) == 0) {
                takeOver();
            }
        }
    }

    int ended = 0;       // executors that orders have ended
    int endedInUse = 0;  // of these, executors with runs

private:
    struct Owner
    {
        Owner(const FleetPlannerSettings &settings, bool hadOwner, TimePoint now, std::uint64_t token)
            : planner(settings, hadOwner, now)
            , token(token)
        {
        }
        FleetPlanner planner;
        std::uint64_t token;
        TimePoint listedAt;
    };
    struct Order
    {
        Owner *owner;
        FleetOrder order;
        TimePoint sentAt;
        TimePoint arrivesAt;
        bool lost = false;     // never arrives
        bool answered = true;  // otherwise the answer is lost
        bool refused = false;
        bool arrived = false;
        bool over = false;  // answered or given up by its owner
        OrderResult result = OrderResult::Unknown;
    };

    int draw(int end)
    {
        return std::uniform_int_distribution<int>(0, end - 1)(m_random);
    }

    void startOwner()
    {
        FleetPlanner &planner = m_owners.back()->planner;
        planner.setSparePools(SparePools);
        planner.waves().addWave(makeWave(8, 4), {}, m_now);
        planner.confirmed(m_now);
    }

    /// The former owner's proofs end here, but it goes on until they are too old.
    void takeOver()
    {
        m_owners.push_back(std::make_unique<Owner>(m_settings, true, m_now, ++m_token));
        m_owners.back()->planner.inheritVacating(m_vacating, m_revision);
        startOwner();
    }

    void step(Owner &owner)
    {
        FleetPlanner &planner = owner.planner;
        const bool isOwner = owner.token == m_token;
        if (isOwner) {
            planner.confirmed(m_now);
        }
        if (m_now - owner.listedAt >= 1s) {
            owner.listedAt = m_now;
            planner.setInstances(m_instances, m_now, m_now);
        }
        for (const std::string pool : {"orders", "bills"}) {
            PoolLoad load;
            load.receivedAt = m_now;
            for (const PooledInstance &instance : m_instances) {
                if (instance.pool == pool) {
                    load.emptySoon.insert(instance.executor);
                }
            }
            // The pools have their peaks in turns of three seconds.
            const bool isPeaking = (m_now.time_since_epoch() / 3s) % 2 == (pool == "orders" ? 0 : 1);
            load.demandMilliCores = isPeaking ? 180'000 : 8'000;
            load.inTimeMilliCores = load.demandMilliCores;
            planner.setLoad(pool, std::move(load));
        }
        planner.setVacated(m_reports);
        planner.plan(m_now);
        for (FleetOrder &order : planner.takeOrders(m_now)) {
            Order sent{&owner, std::move(order), m_now, m_now + 10ms * draw(180)};
            sent.lost = draw(8) == 0;
            sent.answered = draw(8) != 0;
            sent.refused = draw(4) == 0;
            m_orders.push_back(std::move(sent));
        }
        const std::set<std::string> vacating = planner.vacating(m_now);
        if (isOwner && vacating != planner.publishedVacating()) {
            m_vacating = vacating;
            planner.published(vacating, ++m_revision);
        }
    }

    void deliver()
    {
        for (Order &order : m_orders) {
            if (!order.lost && !order.arrived && m_now >= order.arrivesAt) {
                order.arrived = true;
                order.result = carryOut(order);
            }
        }
        for (Order &order : m_orders) {
            const bool isTimedOut = m_now - order.sentAt >= m_settings.orderTimeout;
            const bool isAnswered = order.arrived && order.answered && !isTimedOut;
            if (!order.over && (isAnswered || isTimedOut)) {
                order.over = true;
                order.owner->planner.answered(order.order, isAnswered ? order.result : OrderResult::Unknown, m_now);
            }
        }
        std::erase_if(m_orders, [](const Order &order) { return order.over && (order.lost || order.arrived); });
    }

    OrderResult carryOut(const Order &order)
    {
        const auto instance
            = std::find_if(m_instances.begin(), m_instances.end(),
                           [&](const PooledInstance &candidate) { return candidate.id == order.order.instance(); });
        std::uint64_t &fence = m_fences[instance->id];
        if (order.owner->token < fence) {
            return OrderResult::Refused;
        }
        fence = order.owner->token;
        const auto *move = std::get_if<MoveRequest>(&order.order.request);
        const bool isDone = move != nullptr ? instance->pool == move->pool : m_maintained.contains(instance->id);
        if (isDone || order.refused) {
            return isDone ? OrderResult::Begun : OrderResult::Refused;
        }
        ++ended;
        endedInUse += m_inUse.contains(instance->executor) ? 1 : 0;
        m_inUse.erase(instance->executor);
        m_reports.erase(instance->executor);
        instance->executor += '+';
        if (move != nullptr) {
            instance->pool = move->pool;
        } else {
            m_maintained.insert(instance->id);
        }
        return OrderResult::Begun;
    }

    void usePartitions()
    {
        for (const PooledInstance &instance : m_instances) {
            const std::string &executor = instance.executor;
            if (SparePools.contains(instance.pool)) {
                continue;
            }
            if (!m_vacating.contains(executor)) {
                m_inUse.insert(executor);
                m_reports.erase(executor);
            } else if (draw(4) == 0) {
                m_inUse.erase(executor);
                m_reports[executor] = m_revision;
            }
        }
    }

    FleetPlannerSettings m_settings;
    std::mt19937 m_random;
    TimePoint m_now{1h};
    std::uint64_t m_token = 0;
    std::vector<std::unique_ptr<Owner>> m_owners;
    std::vector<PooledInstance> m_instances;
    std::set<std::string> m_maintained;
    std::map<std::string, std::uint64_t> m_fences;
    std::vector<Order> m_orders;
    std::set<std::string> m_inUse;     // executors with runs
    std::set<std::string> m_vacating;  // stored list of vacating executors
    std::uint64_t m_revision = 10;
    std::map<std::string, std::uint64_t> m_reports;
};

}

TEST_CASE("No order ends an executor that is in use, whoever owns the fleet")
{
    int ended = 0;
    for (unsigned seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        FleetModel model(seed);
        model.run(60s);
        CHECK(model.endedInUse == 0);
        ended += model.ended;
    }
    CHECK(ended > 1000);
}

TEST_CASE("A new owner of the fleet waits until its predecessor's orders are over")
{
    const TimePoint acquired{1h};
    FleetPlannerSettings settings;
    FleetPlanner planner(settings, true, acquired);
    planner.setSparePools(SparePools);
    planner.inheritVacating({"i-m0", "i-m1"}, 20);
    std::vector<PooledInstance> instances;
    instances.reserve(8);
    for (int i = 0; i < 8; ++i) {
        instances.push_back(makeInstance("m" + std::to_string(i), "spare"));
    }
    planner.waves().addWave(makeWave(8, 4), {}, acquired);

    SECTION("the executors that these may end stay vacating until then, and no longer")
    {
        const TimePoint over = acquired + settings.maxProofAge + settings.orderTimeout + settings.orderMargin;
        CHECK(planner.vacating(over - 1ms) == std::set<std::string>{"i-m0", "i-m1"});
        CHECK(planner.vacating(over).empty());
    }
    SECTION("orders need a list of instances that the predecessor's orders do not change any more")
    {
        const TimePoint now = acquired + settings.takeoverDelay;
        planner.confirmed(now);
        planner.setInstances(instances, acquired + settings.maxProofAge - 1ms, now);
        planner.plan(now);
        CHECK(planner.takeOrders(now).empty());
        planner.setInstances(instances, acquired + settings.maxProofAge, now);
        planner.plan(now);
        CHECK_FALSE(planner.takeOrders(now).empty());
    }
    SECTION("no order is sent with an old list or an old proof of ownership")
    {
        const TimePoint now = acquired + settings.takeoverDelay;
        planner.confirmed(now);
        planner.setInstances(instances, now, now);
        planner.plan(now);
        CHECK(planner.takeOrders(now + settings.maxProofAge).empty());
        planner.confirmed(now + settings.maxListAge);
        CHECK(planner.takeOrders(now + settings.maxListAge).empty());
        planner.setInstances(instances, now + settings.maxListAge, now + settings.maxListAge);
        CHECK_FALSE(planner.takeOrders(now + settings.maxListAge).empty());
    }
}

TEST_CASE("Orders to the machines API wait in a queue of bounded length")
{
    OrderBook book({.maxOpen = 2, .maxQueued = 3});
    for (const char *id : {"a", "b", "c", "d"}) {
        book.add(moveOf(id));
    }
    CHECK(book.room() == 0);
    const std::vector<FleetOrder> due = book.takeDue();
    REQUIRE(due.size() == 2);
    CHECK(book.takeDue().empty());
    CHECK(book.executors() == std::set<std::string>{"i-a", "i-b", "i-c"});

    SECTION("an instance has one order at a time")
    {
        book.add(moveOf("a"));
        book.add(moveOf("c"));
        CHECK(book.room() == 2);
    }
    SECTION("an answer makes room for the next order, and settles its executor")
    {
        CHECK(book.answered(due[0], OrderResult::Refused) == OrderResult::Refused);
        CHECK(book.executors() == std::set<std::string>{"i-b", "i-c"});
        CHECK(book.takeDue().size() == 1);
    }
    SECTION("an order without an answer may be carried out late")
    {
        CHECK(book.answered(due[0], OrderResult::Unknown) == OrderResult::Unknown);
        CHECK(book.executors().contains("i-a"));
        SECTION("a refusal of its repetition does not rule that out")
        {
            book.add(moveOf("a"));
            CHECK(book.answered(moveOf("a"), OrderResult::Refused) == OrderResult::Unknown);
            CHECK(book.executors().contains("i-a"));
        }
        SECTION("a repetition that is accepted settles it")
        {
            book.add(moveOf("a"));
            CHECK(book.answered(moveOf("a"), OrderResult::Begun) == OrderResult::Begun);
            CHECK_FALSE(book.executors().contains("i-a"));
        }
        SECTION("a list with another executor settles it, one with the same executor does not")
        {
            book.setInstances({makeInstance("a", "orders")});
            CHECK(book.executors().contains("i-a"));
            PooledInstance moved = makeInstance("a", "bills");
            moved.executor = "i-a2";
            book.setInstances({moved});
            CHECK_FALSE(book.executors().contains("i-a"));
        }
    }
}

TEST_CASE("Planning takes a bounded share of the time, however long a pass is")
{
    const PlanPace pace;
    const TimePoint now{1h};
    CHECK(pace.next(now, now + 100us) == now + pace.minGap);
    CHECK(pace.next(now, now + 20ms) == now + 200ms);
}
