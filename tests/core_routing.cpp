#include "routing.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace briarvane;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start{100s};
const Requester Self{EntryId{"a"}, 1};

std::vector<PoolInstance> instances(int count)
{
    std::vector<PoolInstance> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        list.push_back({InstanceId{"i" + std::to_string(index)}, "rack" + std::to_string(index / 2)});
    }
    return list;
}

PermitRequest request(std::uint64_t id, TimePoint now, RequestClass requestClass = RequestClass::Short,
                      Duration timeout = 60s, const std::string &tenant = "t")
{
    PermitRequest result;
    result.requester = Self;
    result.info = {id, ServiceId{"s"}, "/" + std::string(toString(requestClass)), TenantId{tenant}, requestClass, true};
    result.info.arrived = now;
    result.info.deadline = now + timeout;
    return result;
}

/// Releases a granted permit with the given result and service time.
PoolRouter::Decisions finish(PoolRouter &router, const PermitDecision &grant, const RequestInfo &info,
                             UpstreamResult result, Duration time, TimePoint now)
{
    return router.release(grant.key.requester, grant.permit, grant.instance, info.service, info.route,
                          info.requestClass, result, time, now);
}

/// Reference model: a list of all requests with their grants, to check that the decisions of a router are valid.
struct Model
{
    struct TrackedRequest
    {
        PermitRequest request;
        int decisions = 0;
        bool cancelled = false;
        std::optional<PermitDecision> grant;
        bool released = false;
    };
    std::map<std::uint64_t, TrackedRequest> requests;
    std::set<InstanceId> admitted;
    std::size_t pool = 0;

    int inService(const InstanceId &instance) const
    {
        return static_cast<int>(std::count_if(requests.begin(), requests.end(), [&](const auto &item) {
            return item.second.grant && !item.second.released && item.second.grant->instance == instance;
        }));
    }
    int inService(const TenantId &tenant) const
    {
        return static_cast<int>(std::count_if(requests.begin(), requests.end(), [&](const auto &item) {
            return item.second.grant && !item.second.released && item.second.request.info.tenant == tenant;
        }));
    }
    void apply(const PoolRouter::Decisions &decisions)
    {
        for (const PermitDecision &decision : decisions) {
            TrackedRequest &tracked = requests.at(decision.key.request);
            RC_ASSERT(!tracked.cancelled);
            RC_ASSERT(++tracked.decisions == 1);
            if (decision.permit != 0) {
                RC_ASSERT(admitted.contains(decision.instance));
                tracked.grant = decision;
            }
        }
    }
};

constexpr int Slots = 2;
constexpr int Quota = 3;

void runCommands(const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>> &commands)
{
    RouterSettings settings;
    settings.slots = Slots;
    PoolRouter router(settings);
    Model model;
    TimePoint now = Start;
    std::uint64_t nextId = 1;
    const auto setInstanceCount = [&](std::size_t count) {
        const std::vector<PoolInstance> list = instances(static_cast<int>(count));
        model.admitted.clear();
        for (const PoolInstance &instance : list) {
            model.admitted.insert(instance.id);
        }
        model.apply(router.setInstances(list, 6, now));
    };
    router.setQuotas({{TenantId{"limited"}, Quota}});
    setInstanceCount(4);
    for (const auto &[command, choice, detail] : commands) {
        if (command % 8 < 3) {
            const auto requestClass = EnumNames<RequestClass>::names[choice % 3].first;
            const std::string tenant = detail % 3 == 0 ? "limited" : detail % 3 == 1 ? "t" : "u";
            PermitRequest newRequest = request(nextId, now, requestClass, 100ms * (1 + choice), tenant);
            if (detail > 200) {
                newRequest.avoid = {InstanceId{"i0"}, InstanceId{"i" + std::to_string(choice % 4)}};
            }
            model.requests[nextId++].request = newRequest;
            model.apply(router.enqueue(newRequest, now));
        } else if (command % 8 == 3 && nextId > 1) {
            const std::uint64_t id = 1 + choice % (nextId - 1);
            Model::TrackedRequest &tracked = model.requests.at(id);
            tracked.cancelled = tracked.decisions == 0;
            model.apply(router.cancel({Self, id}, now));
        } else if (command % 8 < 6 && nextId > 1) {
            // The picked request is released if it is running, otherwise the oldest running one.
            auto picked = model.requests.find(1 + choice % (nextId - 1));
            if (!picked->second.grant || picked->second.released) {
                picked = std::find_if(model.requests.begin(), model.requests.end(),
                                      [](const auto &item) { return item.second.grant && !item.second.released; });
            }
            if (picked != model.requests.end()) {
                Model::TrackedRequest &tracked = picked->second;
                tracked.released = true;
                // Most requests on i0 and i1 fail, so that instances are ejected.
                const bool fails = tracked.grant->instance.value <= "i1" && detail % 8 != 0;
                model.apply(finish(router, *tracked.grant, tracked.request.info,
                                   fails ? UpstreamResult::Reset : UpstreamResult::Completed, 1ms * detail, now));
            }
        } else if (command % 8 == 6) {
            now += 1ms * (choice * detail / 8);
            model.apply(router.tick(now));
        } else if (command % 16 == 7) {
            setInstanceCount(choice % 7);
        } else if (nextId > 1) {
            // A duplicate of a granted request gets the same grant, a duplicate of a queued one gets no decision.
            const Model::TrackedRequest &tracked = model.requests.at(1 + choice % (nextId - 1));
            if (!tracked.released && !tracked.cancelled && (tracked.grant || tracked.decisions == 0)) {
                const PoolRouter::Decisions decisions = router.enqueue(tracked.request, now);
                for (const PermitDecision &decision : decisions) {
                    if (tracked.grant && decision.key.request == tracked.request.info.id) {
                        RC_ASSERT(decision.permit == tracked.grant->permit);
                    } else {
                        model.apply({decision});
                    }
                }
            }
        }
        for (int index = 0; index < 7; ++index) {
            RC_ASSERT(model.inService(InstanceId{"i" + std::to_string(index)}) <= Slots);
        }
        RC_ASSERT(model.inService(TenantId{"limited"}) <= Quota);
        RC_ASSERT(3 * router.ejected() <= static_cast<int>(model.admitted.size()));
    }
    now += 60s;
    model.apply(router.tick(now));
    for (auto &[id, tracked] : model.requests) {
        RC_ASSERT(tracked.decisions == (tracked.cancelled ? 0 : 1));
        if (tracked.grant && !tracked.released) {
            tracked.released = true;
            model.apply(finish(router, *tracked.grant, tracked.request.info, UpstreamResult::Completed, 1ms, now));
        }
    }
    RC_ASSERT(router.inService() == 0U);
    RC_ASSERT(router.queued() == 0U);
}

}

TEST_CASE("Router decisions respect all limits under any order of events", "[routing]")
{
    // Guards against more requests than slots on an instance, more than one decision or none for a request, exceeded
    // quotas, grants on instances that are not admitted, ejection of more than a third of the pool, and requests that
    // remain queued or in service after all requests have been decided and released.
    CHECK(rc::check("state test", [] {
        runCommands(*rc::gen::scale(
            4.0, rc::gen::arbitrary<std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>>()));
    }));
}

TEST_CASE("With one tenant, route and class the router is a plain queue", "[routing]")
{
    // Differential test against a FIFO queue with a count of free slots.
    CHECK(rc::check("grants come in order of arrival", [](const std::vector<bool> &arrivals) {
        PoolRouter router;
        router.setInstances(instances(2), 2, Start);
        std::deque<std::uint64_t> reference;
        std::deque<PermitDecision> running;
        int freeSlots = 16;
        TimePoint now = Start;
        std::uint64_t id = 0;
        for (std::size_t step = 0; step < 4 * arrivals.size(); ++step) {
            now += 1ms;
            PoolRouter::Decisions decisions;
            if (arrivals[step % arrivals.size()] || running.empty()) {
                reference.push_back(++id);
                decisions = router.enqueue(request(id, now), now);
            } else {
                ++freeSlots;
                const PermitDecision grant = running.front();
                running.pop_front();
                decisions
                    = finish(router, grant, request(grant.key.request, now).info, UpstreamResult::Completed, 10ms, now);
            }
            for (const PermitDecision &decision : decisions) {
                RC_ASSERT(decision.permit != 0U);
                RC_ASSERT(decision.key.request == reference.front());
                reference.pop_front();
                --freeSlots;
                running.push_back(decision);
            }
            RC_ASSERT(freeSlots >= 0);
            RC_ASSERT(freeSlots == 0 || reference.empty());
        }
    }));
}

TEST_CASE("Order of dispatch by class, service time and tenant", "[routing]")
{
    RouterSettings settings;
    settings.longShare = 0.75;
    PoolRouter router(settings);
    router.setInstances(instances(1), 1, Start);
    TimePoint now = Start;
    std::uint64_t id = 0;
    std::map<std::uint64_t, PermitDecision> grants;
    const auto recordGrants = [&](const PoolRouter::Decisions &decisions) {
        for (const PermitDecision &decision : decisions) {
            grants[decision.key.request] = decision;
        }
    };
    const auto addRequest = [&](RequestClass requestClass, Duration timeout = 100s, const std::string &tenant = "t") {
        recordGrants(router.enqueue(request(++id, now, requestClass, timeout, tenant), now));
        return id;
    };
    const auto finishRequest = [&](std::uint64_t ended, RequestClass requestClass, Duration time) {
        const PermitDecision grant = grants.at(ended);
        grants.erase(ended);
        recordGrants(
            finish(router, grant, request(ended, now, requestClass).info, UpstreamResult::Completed, time, now));
    };

    SECTION("long work leaves a quarter of the slots to short work")
    {
        for (int count = 0; count < 10; ++count) {
            addRequest(RequestClass::Long);
        }
        CHECK(grants.size() == 6);
        addRequest(RequestClass::Short);
        addRequest(RequestClass::Short);
        CHECK(grants.size() == 8);
    }
    SECTION("a burst of short work keeps long work from taking the slots that it needs")
    {
        for (int count = 0; count < 150; ++count) {
            for (int together = 0; together < 4; ++together) {
                finishRequest(addRequest(RequestClass::Short), RequestClass::Short, 4ms);
            }
            now += 4ms;
        }
        // The short work needs four slots on average. RouterSettings::shortMargin keeps some more for it, so that two
        // to four of the eight slots remain for long work.
        for (int count = 0; count < 8; ++count) {
            addRequest(RequestClass::Long);
        }
        CHECK(router.longInService() >= 2);
        CHECK(router.longInService() <= 4);
        now += 1s;
        recordGrants(router.tick(now));
        CHECK(router.longInService() == 6);
    }
    SECTION("stragglers of short work count as long, so that stragglers and long work cannot occupy all slots")
    {
        for (int count = 0; count < 4; ++count) {
            addRequest(RequestClass::Short);
        }
        now += 10s;
        for (int count = 0; count < 4; ++count) {
            addRequest(RequestClass::Long);
        }
        CHECK(router.inService() == 6);
        CHECK(router.longInService() == 6);
    }
    SECTION("estimated service times replace a declared class that is wrong")
    {
        for (int count = 0; count < 30; ++count) {
            finishRequest(addRequest(RequestClass::Long), RequestClass::Long, 1ms);
        }
        for (int count = 0; count < 8; ++count) {
            addRequest(RequestClass::Long);
        }
        CHECK(grants.size() == 8);
    }
    SECTION("urgent work goes first, and long work is not starved by a steady excess of short work")
    {
        std::deque<std::uint64_t> running;
        for (int count = 0; count < 8; ++count) {
            running.push_back(addRequest(RequestClass::Short));
        }
        const std::uint64_t longId = addRequest(RequestClass::Long);
        addRequest(RequestClass::Short);
        const std::uint64_t urgentId = addRequest(RequestClass::Urgent);
        finishRequest(running.front(), RequestClass::Short, 10ms);
        running.pop_front();
        CHECK(grants.contains(urgentId));
        CHECK_FALSE(grants.contains(longId));
        const TimePoint begin = now;
        while (!grants.contains(longId) && now - begin < 60s) {
            now += 10ms;
            for (int count = 0; count < 2; ++count) {
                running.push_back(addRequest(RequestClass::Short));
            }
            const auto next = std::find_if(running.begin(), running.end(),
                                           [&](std::uint64_t candidate) { return grants.contains(candidate); });
            const std::uint64_t ended = *next;
            running.erase(next);
            finishRequest(ended, RequestClass::Short, 10ms);
        }
        CHECK(now - begin <= 3s);
    }
    SECTION("a tenant with many queued requests does not delay a tenant with few")
    {
        std::vector<std::uint64_t> first;
        first.reserve(100);
        for (int count = 0; count < 100; ++count) {
            first.push_back(addRequest(RequestClass::Short, 100s, "many"));
        }
        const std::uint64_t few = addRequest(RequestClass::Short, 100s, "few");
        finishRequest(first[0], RequestClass::Short, 10ms);
        CHECK(grants.contains(few));
    }
}

TEST_CASE("Refusal of requests and avoidance of instances", "[routing]")
{
    PoolRouter router;
    TimePoint now = Start;

    SECTION("requests are refused if the pool has no instances, and queued if none is admitted at present")
    {
        router.setInstances({}, 0, now);
        const auto refused = router.enqueue(request(1, now), now);
        REQUIRE(refused.size() == 1);
        CHECK(refused[0].refusal == Refusal::NoInstance);
        router.setInstances({}, 2, now);
        CHECK(router.enqueue(request(2, now), now).empty());
        CHECK(router.setInstances(instances(1), 2, now).size() == 1);
    }
    SECTION("a request that cannot start before its deadline is refused when queued, or at its deadline at the latest")
    {
        router.setInstances(instances(1), 1, now);
        router.setDeclared(ServiceId{"s"}, 1s);
        std::uint64_t id = 0;
        for (int count = 0; count < 88; ++count) {
            router.enqueue(request(++id, now), now);
        }
        const auto refused = router.enqueue(request(++id, now, RequestClass::Short, 5s), now);
        REQUIRE(refused.size() == 1);
        CHECK(refused[0].refusal == Refusal::Deadline);
        CHECK(router.enqueue(request(++id, now, RequestClass::Short, 30s), now).empty());
        const auto late = router.tick(now + 30s);
        REQUIRE(late.size() == 1);
        CHECK(late[0].key.request == id);
        CHECK(late[0].refusal == Refusal::Deadline);
    }
    SECTION("a retry goes to another instance, and to the same one only when there is no other")
    {
        router.setInstances(instances(2), 2, now);
        PermitRequest retry = request(1, now);
        retry.avoid = {InstanceId{"i0"}};
        CHECK(router.enqueue(retry, now).at(0).instance == InstanceId{"i1"});
        router.setInstances(instances(1), 1, now);
        retry.info.id = 2;
        CHECK(router.enqueue(retry, now).at(0).instance == InstanceId{"i0"});
    }
}

TEST_CASE("Failing instances are ejected, but never most of a pool", "[routing]")
{
    Ejection ejection;
    std::set<InstanceId> pool;
    for (const PoolInstance &instance : instances(6)) {
        pool.insert(instance.id);
    }
    ejection.setInstances(pool);
    const InstanceId bad{"i0"};
    const auto fail = [&](const InstanceId &instance, TimePoint now) {
        for (int count = 0; count < 5; ++count) {
            ejection.recordOutcome(instance, UpstreamResult::Reset, now);
        }
    };
    fail(bad, Start);

    SECTION("the duration of ejections doubles from 1 s up to 60 s, and each ends with a probe")
    {
        TimePoint now = Start;
        for (const Duration time : {1s, 2s, 4s, 8s, 16s, 32s, 60s, 60s}) {
            CHECK(ejection.instanceState(bad, now + time - 1ms) == Ejection::InstanceState::Ejected);
            now += time;
            CHECK(ejection.instanceState(bad, now) == Ejection::InstanceState::Probe);
            ejection.recordOutcome(bad, UpstreamResult::ConnectFailed, now);
        }
        now += 60s;
        ejection.recordOutcome(bad, UpstreamResult::Completed, now);
        CHECK(ejection.instanceState(bad, now) == Ejection::InstanceState::Normal);
    }
    SECTION("cancelled requests and unused permits do not count as failures")
    {
        for (int count = 0; count < 20; ++count) {
            ejection.recordOutcome(InstanceId{"i1"}, UpstreamResult::Cancelled, Start);
            ejection.recordOutcome(InstanceId{"i1"}, UpstreamResult::NotSent, Start);
        }
        CHECK(ejection.instanceState(InstanceId{"i1"}, Start) == Ejection::InstanceState::Normal);
    }
    SECTION("when all instances fail, two thirds of them are not ejected")
    {
        for (const InstanceId &instance : pool) {
            fail(instance, Start);
        }
        CHECK(ejection.ejected() == 2);
        CHECK(ejection.instanceState(InstanceId{"i5"}, Start) == Ejection::InstanceState::Suspect);
    }
    SECTION("an instance on probe gets one request at a time")
    {
        PoolRouter router;
        router.setInstances(instances(3), 3, Start);
        for (int count = 0; count < 5; ++count) {
            router.release(Self, 0, bad, ServiceId{"s"}, "/", RequestClass::Short, UpstreamResult::Reset, 1ms, Start);
        }
        std::uint64_t id = 0;
        const auto toBad = [&](TimePoint now) {
            for (int count = 0; count < 6; ++count) {
                router.enqueue(request(++id, now), now);
            }
            return router.inService(bad);
        };
        CHECK(toBad(Start + 500ms) == 0);
        CHECK(toBad(Start + 1100ms) == 1);
    }
}

TEST_CASE("The retry budget bounds retries and still lets small services retry", "[routing]")
{
    RetryBudget budget;
    TimePoint now = Start;
    const auto takeAll = [&] {
        int count = 0;
        while (budget.tryTake(now)) {
            ++count;
        }
        return count;
    };
    SECTION("without traffic ten retries per second, so that a service with few requests can still retry")
    {
        CHECK(takeAll() == 10);
        now += 1s;
        CHECK(takeAll() == 10);
    }
    SECTION("with traffic a tenth of the requests, so that retries cannot amplify an overload")
    {
        takeAll();
        for (int count = 0; count < 1000; ++count) {
            budget.recordRequest(now);
        }
        CHECK(takeAll() == 100);
    }
}

TEST_CASE("Estimated service times follow the recent samples", "[routing]")
{
    ServiceTimeEstimate estimate(10s, 60s);
    std::mt19937 random(20261204);
    std::lognormal_distribution<double> times(10, 1);
    std::vector<double> exact;
    for (int count = 0; count < 5000; ++count) {
        exact.push_back(times(random));
        estimate.add(Duration{static_cast<std::int64_t>(exact.back())}, Start);
    }
    std::sort(exact.begin(), exact.end());

    SECTION("quantiles agree with the sorted samples within the width of a bucket, whatever time was declared")
    {
        for (const double probability : {0.1, 0.5, 0.9, 0.99}) {
            const double ratio = static_cast<double>(estimate.quantile(probability).count())
                / exact[static_cast<std::size_t>(probability * 5000)];
            CHECK(ratio > 0.7);
            CHECK(ratio < 1.45);
        }
    }
    SECTION("old samples lose their weight")
    {
        const TimePoint later = Start + 20min;
        for (int count = 0; count < 100; ++count) {
            estimate.add(1s, later);
        }
        CHECK(estimate.quantile(0.05) > 800ms);
        CHECK(estimate.weight(later) == Approx(100).margin(2));
    }
}
