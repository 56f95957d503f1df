#pragma once

// Exchange of slot permits between entries, over any cluster type: requests permits from the entry that is responsible
// for a pool, and grants them while this entry is responsible. Runs on the I/O thread.
//
// Index
// [1] Values
// [2] The exchange
// [3] State of the exchange
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
    std::uint64_t id = 0;  // identifies the use of a permit by one request; each reuse of the permit gets a new id
    PoolId pool;
    InstanceId instance;
};

/// The part of a pool's configuration that the exchange needs.
struct PermitPool
{
    PoolId id;
    int slots = 8;
    std::vector<PoolInstance> admitted;
    std::size_t members = 0;  // all instances of the pool
    std::vector<ServiceSpec> services;
    std::map<TenantId, int> quotas;  // slots of this pool per tenant
};

namespace permit_times
{
constexpr Duration Tick{25'000};  // resolution of deadlines and aging
/// A request is sent again after this time if the responsible entry has sent nothing since the request was first sent.
constexpr Duration ResendUnconfirmed{300'000};
/// If the responsible entry has sent a message since then, a request is sent again only after this time, in case
/// the request or its answer was lost.
constexpr Duration ResendConfirmed{1'000'000};
/// After this time without a message from the responsible entry, this entry grants permits from its static share.
constexpr Duration StaticShareAfter{1'000'000};
/// Time between attempts to reach the responsible entry while the static share is in use.
constexpr Duration ProbePeriod{500'000};
}

// [2] The exchange ----------------------------------------------------------------------------------------------------

/// `C` is Cluster<S> or a type with the same membership(), peers(), io() and now().
template<class C>
class PermitExchange
{
public:
    /// Errors: Refused, with a message that begins with the name of a `Refusal`, and Unavailable, if this entry's view
    /// may not be acted on. The callback runs in the event loop, never from inside request().
    using Granted = std::function<void(Result<GrantedPermit>)>;

    explicit PermitExchange(C &cluster);

    void configurePools(std::vector<PermitPool> pools);
    void request(const PoolId &pool, const RequestInfo &info, const std::vector<InstanceId> &avoid, Granted granted);
    void cancel(const PoolId &pool, std::uint64_t requestId);  // the callback of the request is no longer called
    void release(const GrantedPermit &permit, const RequestInfo &info, UpstreamResult result, Duration serviceTime);
    bool mayRetry(const RequestInfo &info);      // takes one retry from the service's budget; false: none is left
    std::map<InstanceId, int> inFlight() const;  // permits in use by this entry, without idle ones

    void tick();                                         // called by the timer; tests call it without a timer
    void startTimer();                                   // calls tick() periodically until the exchange is destroyed
    const PoolRouter *router(const PoolId &pool) const;  // null while this entry grants no permits of the pool

protected:
    struct State;
    std::shared_ptr<State> m_state;
};

// [3] State of the exchange -------------------------------------------------------------------------------------------

template<class C>
struct PermitExchange<C>::State : std::enable_shared_from_this<State>
{
    enum class Mode {
        Remote,       // another entry grants the permits
        Responsible,  // this entry grants the permits for all entries
        /// The responsible entry does not answer. This entry grants permits only to itself and only for its static
        /// share: 1/n of the slots of each instance, but at least one slot, where n is the number of listed entries.
        StaticShare,
    };

    /// A request whose callback has not run.
    struct Pending
    {
        RequestInfo info;
        std::vector<InstanceId> avoid;
        Granted granted;
        EntryId sentTo;
        TimePoint firstSent;       // when the request was first sent to `sentTo`
        TimePoint sent;            // when the request was last sent
        std::uint64_t permit = 0;  // nonzero: granted, and the callback is about to run
        InstanceId instance;
        TimePoint grantedAt;
    };
    /// A permit of this entry, in use by a request or idle until it is reused.
    struct Held
    {
        PoolId pool;
        std::uint64_t permit = 0;
        RequestInfo info;
        InstanceId instance;
        EntryId grantedBy;
        TimePoint grantedAt;
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
        /// Time of the responsible entry's last message about this pool, or of a later mode change.
        TimePoint lastMessage;
        TimePoint lastProbe;
        std::optional<PoolRouter> router;
        int routerSlots = 0;
        std::map<std::uint64_t, Pending> pending;
    };

    explicit State(C &entryCluster)
        : cluster(entryCluster)
        , timer(entryCluster.io())
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

    /// Slots per instance that this entry may grant: all of them in mode Responsible, otherwise its static share. While
    /// fewer than half of the listed entries are live in this entry's view, another entry may consider itself
    /// responsible as well, so this entry is then limited to its static share in mode Responsible, too.
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
    void sendRelease(const Held &held, bool freesSlot, UpstreamResult result, Duration serviceTime, TimePoint now);
    void refuse(Pool &pool, std::uint64_t requestId, ErrorCode code, std::string message, TimePoint now);
    void updateResponsibility(Pool &pool, TimePoint now);
    void enterMode(Pool &pool, Mode mode, const EntryId &responsible, TimePoint now);
    void useStaticShareIfUnanswered(Pool &pool, TimePoint now);
    void onResponsibleMessage(Pool &pool, const EntryId &sender, TimePoint now);
    void deliverDecisions(Pool &pool, const std::vector<PermitDecision> &decisions, TimePoint now);
    void handleDecision(const PoolId &id, const PermitDecision &decision, const EntryId &from, TimePoint now);
    void start(const PoolId &id, std::uint64_t requestId, std::uint64_t permit, bool reusable, TimePoint validUntil,
               const EntryId &from);
    void receive(const wire::Envelope &message);
    void tickAll();
    void sendQueries(Pool &pool, TimePoint now);
    void arm();
    std::vector<HeldPermit> heldPermits(const PoolId &id, TimePoint now) const;
    Pool *find(const std::string &id);
    RetryBudget &retryBudget(const ServiceId &service);

    C &cluster;
    boost::asio::steady_timer timer;
    std::map<PoolId, Pool> pools;
    std::map<std::uint64_t, Held> held;  // by GrantedPermit::id
    std::map<ServiceId, RetryBudget> retryBudgets;
    std::set<EntryId> live;  // entries that were live at the last tick
    std::uint64_t nextUseId = 1;
    std::uint64_t routerCount = 0;
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
            state.deliverDecisions(pool, pool.router->setInstances(pool.config.admitted, pool.config.members, now),
                                   now);
        }
    }
    for (auto &[id, pool] : state.pools) {
        while (!present.contains(id) && !pool.pending.empty()) {
            state.refuse(pool, pool.pending.begin()->first, ErrorCode::Refused, "no-instance: the pool was removed",
                         now);
        }
    }
    std::erase_if(state.pools, [&](const auto &item) { return !present.contains(item.first); });
    // Idle permits of instances that are no longer admitted are released: they would delay the drain of the instance.
    std::vector<typename State::Held> released;
    std::erase_if(state.held, [&](const auto &item) {
        const typename State::Pool *pool = state.find(item.second.pool.value);
        const bool unusable = item.second.idle && (!pool || !pool->admitted.contains(item.second.instance));
        if (unusable) {
            released.push_back(item.second);
        }
        return unusable;
    });
    for (const auto &permit : released) {
        state.sendRelease(permit, true, UpstreamResult::NotSent, Duration{0}, now);
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
    state.retryBudget(info.service).recordRequest(now);
    typename State::Pending &pending = pool->pending[info.id];
    pending.info = info;
    pending.avoid = avoid;
    pending.granted = std::move(granted);
    for (auto item = state.held.begin(); item != state.held.end(); ++item) {
        const typename State::Held &held = item->second;
        const bool reusable = held.idle && held.pool == poolId && held.info.service == info.service
            && held.info.tenant == info.tenant && held.info.requestClass == info.requestClass && now < held.validUntil
            && std::find(pending.avoid.begin(), pending.avoid.end(), held.instance) == pending.avoid.end();
        if (reusable) {
            const typename State::Held reused = held;
            state.held.erase(item);
            pending.permit = reused.permit;
            pending.instance = reused.instance;
            pending.grantedAt = reused.grantedAt;
            boost::asio::post(state.cluster.io(), [weak = std::weak_ptr<State>(m_state), reused, id = info.id] {
                if (const auto locked = weak.lock()) {
                    locked->start(reused.pool, id, reused.permit, reused.reusable, reused.validUntil, reused.grantedBy);
                }
            });
            return;
        }
    }
    state.updateResponsibility(*pool, now);
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
        state.sendRelease(unused, true, UpstreamResult::NotSent, Duration{0}, now);
        return;
    }
    if (pool->router) {
        state.deliverDecisions(*pool, pool->router->cancel({state.self(), requestId}, now), now);
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
    const bool keepForReuse = held.reusable && held.grantedBy != state.self().entry
        && result == UpstreamResult::Completed && now < held.validUntil && pool && pool->pending.empty()
        && pool->admitted.contains(held.instance);
    if (keepForReuse) {
        const typename State::Held ended = held;
        typename State::Held idle = held;
        idle.idle = true;
        state.held.erase(found);
        state.held.emplace(state.nextUseId++, std::move(idle));
        state.sendRelease(ended, false, result, serviceTime, now);
        return;
    }
    const typename State::Held ended = held;
    state.held.erase(found);
    state.sendRelease(ended, true, result, serviceTime, now);
}

template<class C>
bool PermitExchange<C>::mayRetry(const RequestInfo &info)
{
    return m_state->retryBudget(info.service).tryTake(m_state->cluster.now());
}

template<class C>
std::map<InstanceId, int> PermitExchange<C>::inFlight() const
{
    std::map<InstanceId, int> counts;
    for (const auto &[useId, held] : m_state->held) {
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
RetryBudget &PermitExchange<C>::State::retryBudget(const ServiceId &service)
{
    // The floor of 10 retries per second applies to the whole service and is divided among the entries.
    RetryBudget &budget = retryBudgets.try_emplace(service).first->second;
    budget.setFloor(std::max(1.0, 10.0 / listedCount()));
    return budget;
}

template<class C>
typename PermitExchange<C>::State::Pool *PermitExchange<C>::State::find(const std::string &id)
{
    const auto found = pools.find(PoolId{id});
    return found == pools.end() ? nullptr : &found->second;
}

/// Reports the result of a request to the granting and to the responsible entry. With `freesSlot` false, this entry
/// keeps the permit for reuse.
template<class C>
void PermitExchange<C>::State::sendRelease(const Held &ended, bool freesSlot, UpstreamResult result,
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
            deliverDecisions(*pool,
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
