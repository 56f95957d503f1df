#pragma once

// Slot permits between entries, over any cluster type: asks the entry responsible for a pool, or grants when this entry
// is responsible. Runs on the I/O thread.
//
// Index
// [1] Values
// [2] The exchange
// [3] Its state
// [4] Requests and releases
// Responsibility, decisions, messages and the timer are in permit_exchange_impl.h.

#include "peers.h"
#include "routing.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <set>

namespace briarvane
{

// [1] Values ----------------------------------------------------------------------------------------------------------

struct GrantedPermit
{
    std::uint64_t id = 0;  // of this use; a permit that is used again gets another one
    PoolId pool;
    InstanceId instance;
};

/// What the exchange needs to know of a pool.
struct PermitPool
{
    PoolId id;
    int slots = 8;
    std::vector<PoolInstance> admitted;
    std::size_t members = 0;  // all instances of the pool
    std::vector<ServiceSpec> services;
    std::map<TenantId, int> quotas;  // this pool's part
};

namespace permit_times
{
constexpr Duration Tick{25'000};            // resolution of deadlines and aging
constexpr Duration ResendUnheard{300'000};  // to a responsible entry that has not shown that it has the request
constexpr Duration Resend{1'000'000};       // to one that has; covers lost messages
constexpr Duration Fallback{1'000'000};     // without any sign for this long: static share
constexpr Duration Probe{500'000};          // between attempts to reach the responsible entry during static share
}

// [2] The exchange ----------------------------------------------------------------------------------------------------

/// `C` has the members of Cluster<S> that are used here: membership(), peers(), io(), now().
template<class C>
class PermitExchange
{
public:
    /// Errors: Refused (deadline, quota, nothing can run it; the message begins with the name of a `Refusal`),
    /// Unavailable (view not usable). Called from the event loop, never from inside `request`.
    using Granted = std::function<void(Result<GrantedPermit>)>;

    explicit PermitExchange(C &cluster);

    void configurePools(std::vector<PermitPool> pools);
    void request(const PoolId &pool, const RequestInfo &info, const std::vector<InstanceId> &avoid, Granted granted);
    void cancel(const PoolId &pool, std::uint64_t requestId);  // the callback of the request is not called any more
    void release(const GrantedPermit &permit, const RequestInfo &info, UpstreamResult result, Duration serviceTime);
    bool mayRetry(const RequestInfo &info);      // takes one from the service's retry budget
    std::map<InstanceId, int> inFlight() const;  // permits in use by this entry

    void tick();                                         // the timer's work; tests call it instead of the timer
    void startTimer();                                   // ticks until the exchange is destroyed
    const PoolRouter *router(const PoolId &pool) const;  // while this entry grants for the pool

protected:
    struct State;
    std::shared_ptr<State> m_state;
};

// [3] Its state -------------------------------------------------------------------------------------------------------

template<class C>
struct PermitExchange<C>::State : std::enable_shared_from_this<State>
{
    enum class Mode { Remote, Responsible, StaticShare };

    struct Pending
    {
        RequestInfo info;
        std::vector<InstanceId> avoid;
        Granted granted;
        EntryId sentTo;
        TimePoint firstSent;  // to `sentTo`
        TimePoint sent;
        std::uint64_t permit = 0;  // granted, and the callback is about to run
        InstanceId instance;
        TimePoint grantedAt;
    };
    struct Held
    {
        PoolId pool;
        std::uint64_t permit = 0;
        RequestInfo info;
        InstanceId instance;
        EntryId grantedBy;
        TimePoint since;
        TimePoint validUntil;
        bool reusable = false;
        bool idle = false;
    };
    struct Pool
    {
        PermitPool config;
        std::set<InstanceId> admitted;
        Mode mode = Mode::Remote;
        EntryId responsible;
        TimePoint heard;  // last sign of the responsible entry for this pool
        TimePoint probed;
        std::optional<PoolRouter> router;
        int routerSlots = 0;
        std::map<std::uint64_t, Pending> pending;
    };

    explicit State(C &clusterArgument)
        : cluster(clusterArgument)
        , timer(clusterArgument.io())
    {
    }

    Requester self() const
    {
        return {cluster.membership().self(), cluster.membership().startId()};
    }

    int listedCount() const
    {
        return std::max(1, static_cast<int>(cluster.membership().listed().size()));
    }

    /// Slots per instance that this entry may grant. One that hears only a minority may not be the only one that
    /// believes to be responsible, so it keeps to its static share.
    int grantableSlots(const Pool &pool, Mode mode, TimePoint now) const
    {
        const int live = static_cast<int>(cluster.membership().live(now).size());
        if (mode == Mode::Responsible && 2 * live >= listedCount()) {
            return pool.config.slots;
        }
        return std::max(1, pool.config.slots / listedCount());
    }

    void sendPending(Pool &pool, Pending &pending, TimePoint now);
    void sendTo(const EntryId &entry, wire::Envelope message);
    void sendCancel(const Pool &pool, std::uint64_t requestId, const EntryId &entry);
    void sendState(const PoolId &id, const EntryId &entry, TimePoint now);
    void returnPermit(const Held &held, bool freesSlot, UpstreamResult result, Duration serviceTime, TimePoint now);
    void refuse(Pool &pool, std::uint64_t requestId, ErrorCode code, std::string message, TimePoint now);
    void refresh(Pool &pool, TimePoint now);
    void enter(Pool &pool, Mode mode, const EntryId &responsible, TimePoint now);
    void useStaticShareIfSilent(Pool &pool, TimePoint now);
    void heardResponsible(Pool &pool, const EntryId &sender, TimePoint now);
    void deliver(Pool &pool, const std::vector<PermitDecision> &decisions, TimePoint now);
    void decide(const PoolId &id, const PermitDecision &decision, const EntryId &from, TimePoint now);
    void start(const PoolId &id, std::uint64_t requestId, std::uint64_t permit, bool reusable, TimePoint validUntil,
               const EntryId &from);
    void receive(const wire::Envelope &message);
    void tickAll();
    void query(Pool &pool, TimePoint now);
    void arm();
    std::vector<HeldPermit> heldOf(const PoolId &id, TimePoint now) const;
    Pool *find(const std::string &id);
    RetryBudget &budget(const ServiceId &service);

    C &cluster;
    boost::asio::steady_timer timer;
    std::map<PoolId, Pool> pools;
    std::map<std::uint64_t, Held> held;  // by the id of the use
    std::map<ServiceId, RetryBudget> budgets;
    std::set<EntryId> live;
    std::uint64_t nextUse = 1;
    std::uint64_t routerSerial = 0;
};

template<class C>
PermitExchange<C>::PermitExchange(C &cluster)
    : m_state(std::make_shared<State>(cluster))
{
    cluster.peers().onMessage([weak = std::weak_ptr<State>(m_state)](const wire::Envelope &message) {
        if (const auto state = weak.lock()) {
            state->receive(message);
        }
    });
}

// [4] Requests and releases -------------------------------------------------------------------------------------------

template<class C>
void PermitExchange<C>::configurePools(std::vector<PermitPool> pools)
{
    State &state = *m_state;
    const TimePoint now = state.cluster.now();
    std::set<PoolId> present;
    for (PermitPool &config : pools) {
        present.insert(config.id);
        typename State::Pool &pool = state.pools[config.id];
        pool.admitted.clear();
        for (const PoolInstance &instance : config.admitted) {
            pool.admitted.insert(instance.id);
        }
        pool.config = std::move(config);
        if (pool.router) {
            pool.router->setQuotas(pool.config.quotas);
            state.deliver(pool, pool.router->setInstances(pool.config.admitted, pool.config.members, now), now);
        }
    }
    for (auto &[id, pool] : state.pools) {
        while (!present.contains(id) && !pool.pending.empty()) {
            state.refuse(pool, pool.pending.begin()->first, ErrorCode::Refused, "no-instance: the pool was removed",
                         now);
        }
    }
    std::erase_if(state.pools, [&](const auto &line) { return !present.contains(line.first); });
    // Idle permits of instances that left would only delay their release.
    std::vector<typename State::Held> left;
    std::erase_if(state.held, [&](const auto &line) {
        const typename State::Pool *pool = state.find(line.second.pool.value);
        const bool gone = line.second.idle && (!pool || !pool->admitted.contains(line.second.instance));
        if (gone) {
            left.push_back(line.second);
        }
        return gone;
    });
    for (const auto &permit : left) {
        state.returnPermit(permit, true, UpstreamResult::NotSent, Duration{0}, now);
    }
}

template<class C>
void PermitExchange<C>::request(const PoolId &poolId, const RequestInfo &info, const std::vector<InstanceId> &avoid,
                                Granted granted)
{
    State &state = *m_state;
    const TimePoint now = state.cluster.now();
    const auto fail = [&](ErrorCode code, std::string message) {
        boost::asio::post(state.cluster.io(), [granted, code, text = std::move(message)] {
            granted(Error{code, text});
        });
    };
    if (!state.cluster.membership().mayStartWork(now)) {
        return fail(ErrorCode::Unavailable, "this entry's view of the fleet is too old to start work");
    }
    typename State::Pool *pool = state.find(poolId.value);
    if (!pool) {
        return fail(ErrorCode::Refused, "no-instance: there is no such pool");
    }
    state.budget(info.service).request(now);
    typename State::Pending &pending = pool->pending[info.id];
    pending.info = info;
    pending.avoid = avoid;
    pending.granted = std::move(granted);
    for (auto line = state.held.begin(); line != state.held.end(); ++line) {
        const typename State::Held &idle = line->second;
        const bool fits = idle.idle && idle.pool == poolId && idle.info.service == info.service
            && idle.info.tenant == info.tenant && idle.info.requestClass == info.requestClass && now < idle.validUntil
            && std::find(pending.avoid.begin(), pending.avoid.end(), idle.instance) == pending.avoid.end();
        if (fits) {
            const typename State::Held kept = idle;
            state.held.erase(line);
            pending.permit = kept.permit;
            pending.instance = kept.instance;
            pending.grantedAt = kept.since;
            boost::asio::post(state.cluster.io(), [weak = std::weak_ptr<State>(m_state), kept, id = info.id] {
                if (const auto locked = weak.lock()) {
                    locked->start(kept.pool, id, kept.permit, kept.reusable, kept.validUntil, kept.grantedBy);
                }
            });
            return;
        }
    }
    state.refresh(*pool, now);
    state.sendPending(*pool, pending, now);
}

template<class C>
void PermitExchange<C>::cancel(const PoolId &poolId, std::uint64_t requestId)
{
    State &state = *m_state;
    const TimePoint now = state.cluster.now();
    typename State::Pool *pool = state.find(poolId.value);
    const auto found = pool ? pool->pending.find(requestId) : typename decltype(pool->pending)::iterator{};
    if (!pool || found == pool->pending.end()) {
        return;
    }
    const typename State::Pending pending = found->second;
    pool->pending.erase(found);
    if (pending.permit != 0) {
        const typename State::Held unused{poolId, pending.permit, pending.info, pending.instance, pending.sentTo};
        state.returnPermit(unused, true, UpstreamResult::NotSent, Duration{0}, now);
        return;
    }
    if (pool->router) {
        state.deliver(*pool, pool->router->cancel({state.self(), requestId}, now), now);
    }
    if (!pending.sentTo.empty()) {
        state.sendCancel(*pool, requestId, pending.sentTo);
    }
}

template<class C>
void PermitExchange<C>::release(const GrantedPermit &permit, const RequestInfo &info, UpstreamResult result,
                                Duration serviceTime)
{
    State &state = *m_state;
    const TimePoint now = state.cluster.now();
    const auto found = state.held.find(permit.id);
    if (found == state.held.end() || found->second.idle) {
        return;
    }
    typename State::Held &held = found->second;
    held.info = info;
    const typename State::Pool *pool = state.find(held.pool.value);
    const bool keep = held.reusable && held.grantedBy != state.self().entry && result == UpstreamResult::Completed
        && now < held.validUntil && pool && pool->pending.empty() && pool->admitted.contains(held.instance);
    if (keep) {
        const typename State::Held reported = held;
        typename State::Held idle = held;
        idle.idle = true;
        state.held.erase(found);
        state.held.emplace(state.nextUse++, std::move(idle));
        state.returnPermit(reported, false, result, serviceTime, now);
        return;
    }
    const typename State::Held ended = held;
    state.held.erase(found);
    state.returnPermit(ended, true, result, serviceTime, now);
}

template<class C>
bool PermitExchange<C>::mayRetry(const RequestInfo &info)
{
    return m_state->budget(info.service).take(m_state->cluster.now());
}

template<class C>
std::map<InstanceId, int> PermitExchange<C>::inFlight() const
{
    std::map<InstanceId, int> counts;
    for (const auto &[use, held] : m_state->held) {
        if (!held.idle) {
            ++counts[held.instance];
        }
    }
    return counts;
}

template<class C>
const PoolRouter *PermitExchange<C>::router(const PoolId &id) const
{
    const typename State::Pool *pool = m_state->find(id.value);
    return pool && pool->router ? &*pool->router : nullptr;
}

template<class C>
RetryBudget &PermitExchange<C>::State::budget(const ServiceId &service)
{
    // The floor of 10 a second holds for the service, and each entry takes its part.
    RetryBudget &found = budgets.try_emplace(service).first->second;
    found.setFloor(std::max(1.0, 10.0 / listedCount()));
    return found;
}

template<class C>
typename PermitExchange<C>::State::Pool *PermitExchange<C>::State::find(const std::string &id)
{
    const auto found = pools.find(PoolId{id});
    return found == pools.end() ? nullptr : &found->second;
}

/// Reports how a use ended; with `freesSlot` false the permit is kept for another use.
template<class C>
void PermitExchange<C>::State::returnPermit(const Held &ended, bool freesSlot, UpstreamResult result,
                                            Duration serviceTime, TimePoint now)
{
    wire::Envelope message;
    wire::PermitRelease &release = *message.mutable_permit_release();
    release.set_pool(ended.pool.value);
    release.set_permit_id(freesSlot ? ended.permit : 0);
    release.set_instance(ended.instance.value);
    release.set_service(ended.info.service.value);
    release.set_route(ended.info.route);
    release.set_tenant(ended.info.tenant.value);
    release.set_result(std::string(toString(result)));
    release.set_service_time_us(static_cast<std::uint64_t>(serviceTime.count()));

    std::set<EntryId> receivers;
    if (!ended.grantedBy.empty()) {
        receivers.insert(ended.grantedBy);
    }
    Pool *pool = find(ended.pool.value);
    if (pool) {
        if (!pool->responsible.empty()) {
            receivers.insert(pool->responsible);
        }
        if (pool->router) {
            deliver(*pool,
                    pool->router->release(self(), release.permit_id(), ended.instance, ended.info.service,
                                          ended.info.route, ended.info.requestClass, result, serviceTime, now),
                    now);
        }
    }
    receivers.erase(self().entry);
    for (const EntryId &entry : receivers) {
        sendTo(entry, message);
    }
}

}

#include "permit_exchange_impl.h"
