#include "routing.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace briarvane
{

namespace
{

/// Learned times decide over the declared class from this many recent samples on.
constexpr double TrustedSamples = 20;
/// Time between two queries to the same entry.
constexpr Duration QueryPeriod{500'000};
/// Entries without queued requests or old permits are asked this often, because they may hold permits that another
/// entry or their static share gave them.
constexpr Duration AskEverybodyPeriod{10'000'000};
/// Adopted permits carry no deadline; reconciliation ends them long before.
constexpr Duration AdoptedDeadline{3'600'000'000};

double micros(Duration duration)
{
    return static_cast<double>(duration.count());
}

PermitDecision refuse(const RequestKey &key, Refusal refusal)
{
    PermitDecision decision;
    decision.key = key;
    decision.refusal = refusal;
    return decision;
}

std::size_t classIndex(RequestClass requestClass)
{
    return static_cast<std::size_t>(requestClass);
}

}

PoolRouter::PoolRouter(RouterSettings settings)
    : m_settings(settings)
    , m_shortSizes(settings.shortBoundMin, settings.sizeHalfLife)
    , m_nextPermit(settings.permitBase)
{
}

// Configuration -------------------------------------------------------------------------------------------------------

PoolRouter::Decisions PoolRouter::setInstances(const std::vector<PoolInstance> &admitted, std::size_t members,
                                               TimePoint now)
{
    std::set<InstanceId> ids;
    for (const PoolInstance &instance : admitted) {
        ids.insert(instance.id);
    }
    for (auto &[id, instance] : m_instances) {
        instance.admitted = ids.contains(id);
    }
    for (const PoolInstance &instance : admitted) {
        m_instances[instance.id].admitted = true;
        m_instances[instance.id].rack = instance.rack;
    }
    std::erase_if(m_instances, [](const auto &line) { return !line.second.admitted && line.second.inService == 0; });
    m_admitted = ids.size();
    m_members = std::max(members, ids.size());
    m_ejection.setInstances(ids);
    Decisions out;
    if (m_members == 0) {
        while (!m_waiting.empty()) {
            const RequestKey key = m_waiting.begin()->first;
            removeWaiting(key);
            out.push_back(refuse(key, Refusal::NoInstance));
        }
    }
    dispatch(now, out);
    return out;
}

PoolRouter::Decisions PoolRouter::setSlots(int slots, TimePoint now)
{
    Decisions out;
    m_settings.slots = slots;
    dispatch(now, out);
    return out;
}

void PoolRouter::setDeclared(const ServiceId &service, Duration declared)
{
    m_declared[service] = declared;
}

void PoolRouter::setQuotas(std::map<TenantId, int> slots)
{
    m_quotas = std::move(slots);
}

// Events --------------------------------------------------------------------------------------------------------------

PoolRouter::Decisions PoolRouter::enqueue(const PermitRequest &request, TimePoint now)
{
    Decisions out;
    const RequestKey key{request.requester, request.info.id};
    supersede(request.requester, now);
    if (m_waiting.contains(key)) {
        return out;
    }
    if (const auto granted = m_granted.find(key); granted != m_granted.end()) {
        const Permit &permit = m_permits.at({request.requester, granted->second});
        out.push_back({key, granted->second, permit.instance, permit.validity, permit.reusable, Refusal::None});
        return out;
    }
    const SizeKey sizeKey{request.info.service, request.info.route, request.info.requestClass};
    Sizes &sizes = sizesOf(sizeKey);
    if (const Refusal refusal = admission(request, sizes, now); refusal != Refusal::None) {
        out.push_back(refuse(key, refusal));
        return out;
    }
    const GroupKey groupKey{request.info.tenant, sizeKey, request.avoid.empty() ? RequestKey{} : key};
    const auto group = m_groups.try_emplace(groupKey).first;
    group->second.sizes = &sizes;
    const double work = micros(sizes.estimate.mean());
    const auto item = group->second.queue.insert(group->second.queue.end(), {request, now, work});
    m_waiting[key] = {group, item};
    m_deadlines.emplace(request.info.deadline, key);
    Tenant &tenant = tenantOf(request.info.tenant);
    ++tenant.queued;
    tenant.queuedWork += work;
    m_queuedWork[classIndex(request.info.requestClass)] += work;
    if (!isLong(sizes, now)) {
        m_shortArrived = shortDemand(now) * micros(m_settings.demandTime);
        m_shortArrived += micros(sizes.estimate.meanUpTo(shortBound()));
        m_shortArrivedAt = now;
    }
    dispatch(now, out);
    return out;
}

PoolRouter::Decisions PoolRouter::cancel(const RequestKey &key, TimePoint now)
{
    Decisions out;
    removeWaiting(key);
    dispatch(now, out);
    return out;
}

PoolRouter::Decisions PoolRouter::release(const Requester &requester, std::uint64_t permit, const InstanceId &instance,
                                          const ServiceId &service, const std::string &route, RequestClass requestClass,
                                          UpstreamResult result, Duration serviceTime, TimePoint now)
{
    Decisions out;
    m_ejection.outcome(instance, result, now);
    // A request that timed out ran at least this long, which is better than to learn nothing of stragglers.
    const bool measured = result == UpstreamResult::Completed || result == UpstreamResult::ServerError
        || result == UpstreamResult::TimedOut;
    SizeKey size{service, route, requestClass};
    if (const auto found = m_permits.find({requester, permit}); permit != 0 && found != m_permits.end()) {
        if (!found->second.adopted) {
            size = found->second.size;
        }
        removePermit(found);
    }
    if (measured) {
        sizesOf(size).estimate.add(serviceTime, now);
        if (std::get<RequestClass>(size) != RequestClass::Long) {
            m_shortSizes.add(serviceTime, now);
        }
    }
    dispatch(now, out);
    return out;
}

PoolRouter::Decisions PoolRouter::entryLost(const EntryId &entry, TimePoint now)
{
    Decisions out;
    m_awaited.erase(entry);
    m_asked.erase(entry);
    m_lastQuery.erase(entry);
    m_known.erase(entry);
    orphan(now, [&](const Requester &requester) { return requester.entry == entry; });
    dispatch(now, out);
    return out;
}

PoolRouter::Decisions PoolRouter::tick(TimePoint now)
{
    Decisions out;
    dispatch(now, out);
    return out;
}

void PoolRouter::entryFound(const EntryId &entry)
{
    m_known.insert(entry);
    m_lastQuery.erase(entry);
}

/// A new start of an entry means that the process of the older start has ended.
void PoolRouter::supersede(const Requester &requester, TimePoint now)
{
    m_known.insert(requester.entry);
    const auto [known, isNew] = m_starts.try_emplace(requester.entry, requester.startId);
    if (isNew || known->second == requester.startId) {
        return;
    }
    known->second = requester.startId;
    orphan(now, [&](const Requester &other) {
        return other.entry == requester.entry && other.startId != requester.startId;
    });
}

template<class Predicate>
void PoolRouter::orphan(TimePoint now, Predicate isLost)
{
    std::vector<RequestKey> dropped;
    for (const auto &[key, place] : m_waiting) {
        if (isLost(key.requester)) {
            dropped.push_back(key);
        }
    }
    for (const RequestKey &key : dropped) {
        removeWaiting(key);
    }
    for (auto &[key, permit] : m_permits) {
        if (!isLost(key.first) || permit.orphan) {
            continue;
        }
        const Duration rest = 3 * sizesOf(permit.size).estimate.remaining(now - permit.granted);
        const Duration hold = std::min(m_settings.orphanHold, std::max(m_settings.confirmAfter, rest));
        permit.orphan = true;
        permit.confirmed = TimePoint{};  // asked after at once, in case only the heartbeats are lost
        permit.orphanUntil = std::min(permit.deadline, now + hold);
    }
}

// Permits after a change of responsibility, lost releases -------------------------------------------------------------

void PoolRouter::gather(const std::set<EntryId> &entries, TimePoint now)
{
    m_awaited = entries;
    m_known.insert(entries.begin(), entries.end());
    m_gatherUntil = now + m_settings.gatherTimeout;
}

PoolRouter::Decisions PoolRouter::adopt(const Requester &requester, const std::vector<HeldPermit> &held, TimePoint now)
{
    Decisions out;
    supersede(requester, now);
    m_awaited.erase(requester.entry);
    std::set<std::uint64_t> listed;
    for (const HeldPermit &line : held) {
        listed.insert(line.permit);
        if (const auto known = m_permits.find({requester, line.permit}); known != m_permits.end()) {
            known->second.confirmed = now;
            known->second.orphan = false;
            continue;
        }
        Permit permit;
        permit.key = {requester, line.request};
        permit.instance = line.instance;
        permit.size = {ServiceId{}, std::string{}, line.requestClass};
        permit.granted = now - line.running;
        permit.confirmed = now;
        permit.deadline = now + AdoptedDeadline;
        permit.adopted = true;
        permit.countsLong = line.requestClass == RequestClass::Long || line.running > shortBound();
        removeWaiting(permit.key);
        addPermit(line.permit, permit);
    }
    // Only permits that were granted before the oldest open query are covered by its answer: messages to one entry
    // keep their order, so that entry had seen the grant, or the grant was lost.
    if (const auto asked = m_asked.find(requester.entry); asked != m_asked.end()) {
        const TimePoint since = asked->second;
        m_asked.erase(asked);
        for (auto permit = m_permits.lower_bound({requester, 0}); permit != m_permits.end();) {
            const auto current = permit++;
            if (current->first.first != requester) {
                break;
            }
            if (!listed.contains(current->first.second) && current->second.granted < since) {
                removePermit(current);
            }
        }
    }
    dispatch(now, out);
    return out;
}

std::vector<EntryId> PoolRouter::queries(TimePoint now)
{
    std::set<EntryId> wanted = m_awaited;
    for (const auto &[key, permit] : m_permits) {
        if (now - permit.confirmed >= m_settings.confirmAfter) {
            wanted.insert(key.first.entry);
        }
    }
    for (const EntryId &entry : m_known) {
        const auto last = m_lastQuery.find(entry);
        if (last == m_lastQuery.end() || now - last->second >= AskEverybodyPeriod) {
            wanted.insert(entry);
        }
    }
    // Entries with queued requests see by the query that this router is at work.
    for (const auto &[key, place] : m_waiting) {
        wanted.insert(key.requester.entry);
    }
    std::vector<EntryId> due;
    for (const EntryId &entry : wanted) {
        TimePoint &last = m_lastQuery[entry];
        if (now - last >= QueryPeriod) {
            last = now;
            m_asked.try_emplace(entry, now);
            due.push_back(entry);
        }
    }
    return due;
}

// State ---------------------------------------------------------------------------------------------------------------

std::size_t PoolRouter::queued() const
{
    return m_waiting.size();
}

std::size_t PoolRouter::inService() const
{
    return m_permits.size();
}

int PoolRouter::longInService() const
{
    int count = 0;
    for (const auto &[id, instance] : m_instances) {
        count += instance.admitted ? instance.longInService : 0;
    }
    return count;
}

int PoolRouter::inService(const InstanceId &instance) const
{
    const auto found = m_instances.find(instance);
    return found == m_instances.end() ? 0 : found->second.inService;
}

int PoolRouter::inService(const TenantId &tenant) const
{
    const auto found = m_tenants.find(tenant);
    return found == m_tenants.end() ? 0 : found->second.inService;
}

int PoolRouter::ejected() const
{
    return m_ejection.ejected();
}

bool PoolRouter::gathering() const
{
    return !m_awaited.empty();
}

int PoolRouter::totalSlots() const
{
    return static_cast<int>(m_admitted) * m_settings.slots;
}

int PoolRouter::longLimit() const
{
    return std::max(1, static_cast<int>(m_settings.longShare * totalSlots()));
}

/// Slots that the recent arrivals of short work keep busy.
double PoolRouter::shortDemand(TimePoint now) const
{
    const double elapsed = micros(now - m_shortArrivedAt) / micros(m_settings.demandTime);
    return m_shortArrived * std::exp(-elapsed) / micros(m_settings.demandTime);
}

/// Slots that long work may hold now: its share, less what a burst of short work needs. Long work is not preempted, so
/// a slot that it takes at the begin of a burst is lost for all of it.
int PoolRouter::longCap(TimePoint now) const
{
    const int left = totalSlots() - static_cast<int>(std::ceil(m_settings.shortMargin * shortDemand(now)));
    return std::clamp(left, std::min(longReserved(), longLimit()), longLimit());
}

int PoolRouter::longReserved() const
{
    return std::max(1, static_cast<int>(m_settings.longReserve * totalSlots()));
}

Duration PoolRouter::shortBound() const
{
    const double bound = m_settings.shortFactor * micros(m_shortSizes.quantile(0.5));
    return std::max(m_settings.shortBoundMin, Duration{static_cast<std::int64_t>(bound)});
}

// Queue ---------------------------------------------------------------------------------------------------------------

PoolRouter::Sizes &PoolRouter::sizesOf(const SizeKey &key)
{
    const auto found = m_sizes.find(key);
    if (found != m_sizes.end()) {
        return found->second;
    }
    const auto declared = m_declared.find(std::get<ServiceId>(key));
    const Duration start = declared != m_declared.end() ? declared->second : m_settings.shortBoundMin;
    return m_sizes.try_emplace(key, Sizes{SizeEstimate(start, m_settings.sizeHalfLife), std::get<RequestClass>(key)})
        .first->second;
}

bool PoolRouter::isLong(const Sizes &sizes, TimePoint now) const
{
    if (sizes.estimate.weight(now) < TrustedSamples) {
        return sizes.declaredClass == RequestClass::Long;
    }
    return sizes.estimate.quantile(0.5) > shortBound();
}

PoolRouter::Tenant &PoolRouter::tenantOf(const TenantId &id)
{
    // A tenant that comes back starts level with the others; credit from idle time would starve them.
    return m_tenants.try_emplace(id, Tenant{.attained = m_fairFloor}).first->second;
}

Refusal PoolRouter::admission(const PermitRequest &request, const Sizes &sizes, TimePoint now) const
{
    if (m_members == 0 || m_settings.slots <= 0) {
        return Refusal::NoInstance;
    }
    if (m_waiting.size() >= m_settings.queueLimit) {
        return Refusal::QueueFull;
    }
    const double rest = micros(request.info.deadline - now);
    if (rest <= 0) {
        return Refusal::Deadline;
    }
    const auto tenant = m_tenants.find(request.info.tenant);
    const double own = tenant == m_tenants.end() ? 0 : tenant->second.queuedWork;
    const auto quota = m_quotas.find(request.info.tenant);
    if (quota != m_quotas.end() && (quota->second <= 0 || own / quota->second > rest)) {
        return Refusal::Quota;
    }
    const bool isLongWork = isLong(sizes, now);
    const auto &queued = m_queuedWork;
    double ahead = queued[classIndex(RequestClass::Urgent)];
    if (isLongWork) {
        ahead = queued[classIndex(RequestClass::Long)];
    } else if (request.info.requestClass != RequestClass::Urgent) {
        ahead += queued[classIndex(RequestClass::Short)];
    }
    // The fair share bounds what others can put ahead of this tenant's own queue.
    ahead = std::min(ahead, own * static_cast<double>(m_tenants.size()));
    const int slots = isLongWork ? longLimit() : totalSlots();
    return slots > 0 && ahead / slots > rest ? Refusal::Deadline : Refusal::None;
}

void PoolRouter::removeWaiting(const RequestKey &key)
{
    const auto found = m_waiting.find(key);
    if (found == m_waiting.end()) {
        return;
    }
    const auto [group, item] = found->second;
    m_waiting.erase(found);
    const TenantId id = item->request.info.tenant;
    Tenant &tenant = m_tenants.at(id);
    --tenant.queued;
    tenant.queuedWork = tenant.queued == 0 ? 0 : tenant.queuedWork - item->work;
    double &queued = m_queuedWork[classIndex(item->request.info.requestClass)];
    queued = m_waiting.empty() ? 0 : queued - item->work;
    group->second.queue.erase(item);
    if (group->second.queue.empty()) {
        m_groups.erase(group);
    }
    forgetIdle(id);
}

void PoolRouter::forgetIdle(const TenantId &id)
{
    const auto found = m_tenants.find(id);
    if (found != m_tenants.end() && found->second.queued == 0 && found->second.inService == 0) {
        m_tenants.erase(found);
    }
}

// Permits -------------------------------------------------------------------------------------------------------------

void PoolRouter::addPermit(std::uint64_t id, const Permit &permit)
{
    Instance &instance = m_instances[permit.instance];
    ++instance.inService;
    instance.longInService += permit.countsLong ? 1 : 0;
    instance.grantedLong += permit.grantedLong ? 1 : 0;
    if (!permit.adopted) {
        ++tenantOf(permit.tenant).inService;
    }
    if (!permit.countsLong) {
        m_promotions.emplace(permit.granted + shortBound(), PermitKey{permit.key.requester, id});
    }
    m_granted[permit.key] = id;
    m_permits[{permit.key.requester, id}] = permit;
}

void PoolRouter::removePermit(std::map<PermitKey, Permit>::iterator position)
{
    const Permit permit = position->second;
    const auto instance = m_instances.find(permit.instance);
    --instance->second.inService;
    instance->second.longInService -= permit.countsLong ? 1 : 0;
    instance->second.grantedLong -= permit.grantedLong ? 1 : 0;
    if (!instance->second.admitted && instance->second.inService == 0) {
        m_instances.erase(instance);
    }
    if (!permit.adopted) {
        --m_tenants.at(permit.tenant).inService;
        forgetIdle(permit.tenant);
    }
    if (const auto granted = m_granted.find(permit.key);
        granted != m_granted.end() && granted->second == position->first.second) {
        m_granted.erase(granted);
    }
    m_permits.erase(position);
}

void PoolRouter::promote(TimePoint now)
{
    while (!m_promotions.empty() && m_promotions.begin()->first <= now) {
        const PermitKey key = m_promotions.begin()->second;
        m_promotions.erase(m_promotions.begin());
        const auto found = m_permits.find(key);
        if (found != m_permits.end() && !found->second.countsLong) {
            found->second.countsLong = true;
            ++m_instances.at(found->second.instance).longInService;
        }
    }
}

void PoolRouter::expire(TimePoint now, Decisions &out)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const RequestKey key = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        const auto found = m_waiting.find(key);
        if (found != m_waiting.end() && found->second.item->request.info.deadline <= now) {
            const auto quota = m_quotas.find(found->second.item->request.info.tenant);
            const bool atQuota
                = quota != m_quotas.end() && inService(found->second.item->request.info.tenant) >= quota->second;
            removeWaiting(key);
            out.push_back(refuse(key, atQuota ? Refusal::Quota : Refusal::Deadline));
        }
    }
    for (auto permit = m_permits.begin(); permit != m_permits.end();) {
        const auto current = permit++;
        if (current->second.orphan && current->second.orphanUntil <= now) {
            removePermit(current);
        }
    }
}

// Choice --------------------------------------------------------------------------------------------------------------

void PoolRouter::dispatch(TimePoint now, Decisions &out)
{
    promote(now);
    expire(now, out);
    if (!m_awaited.empty()) {
        if (now < m_gatherUntil) {
            return;
        }
        m_awaited.clear();
    }
    while (!m_waiting.empty()) {
        const std::optional<Choice> choice = choose(now);
        if (!choice) {
            return;
        }
        const Waiting waiting = choice->group->second.queue.front();
        const RequestInfo &info = waiting.request.info;
        const RequestKey key{waiting.request.requester, info.id};
        Tenant &tenant = m_tenants.at(info.tenant);
        m_fairFloor[choice->rank] = std::max(m_fairFloor[choice->rank], tenant.attained[choice->rank]);
        tenant.attained[choice->rank] += std::max(1.0, waiting.work);

        Permit permit;
        permit.key = key;
        permit.instance = choice->instance;
        permit.tenant = info.tenant;
        permit.size = {info.service, info.route, info.requestClass};
        permit.granted = now;
        permit.confirmed = now;
        permit.deadline = info.deadline;
        permit.countsLong = choice->isLong;
        permit.grantedLong = choice->isLong;
        addPermit(m_nextPermit, permit);
        removeWaiting(key);
        Permit &stored = m_permits.at({key.requester, m_nextPermit});
        m_instances.at(choice->instance).lastGrant = m_nextPermit;
        // Kept permits keep slots from others, so they are given out only while most slots are free.
        stored.reusable = m_waiting.empty() && !choice->isLong
            && m_ejection.use(choice->instance, now) == Ejection::Use::Normal
            && 2 * m_permits.size() <= static_cast<std::size_t>(totalSlots());
        stored.validity = stored.reusable ? m_settings.reuseValidity : m_settings.validity;
        out.push_back({key, m_nextPermit, choice->instance, stored.validity, stored.reusable, Refusal::None});
        ++m_nextPermit;
    }
}

std::optional<PoolRouter::Choice> PoolRouter::choose(TimePoint now)
{
    const bool anyFree = std::any_of(m_instances.begin(), m_instances.end(),
                                     [&](const auto &line) { return usable(line.first, line.second, now); });
    if (!anyFree) {
        return std::nullopt;
    }
    const int longs = longInService();
    int grantedLong = 0;  // the reserve is for work known to be long; stragglers of short work do not use it up
    for (const auto &[id, instance] : m_instances) {
        grantedLong += instance.admitted ? instance.grantedLong : 0;
    }
    const int longMost = longCap(now);
    const int reservedSlots = longReserved();
    using Rank = std::tuple<int, double, double, TimePoint>;
    std::vector<std::tuple<Rank, std::map<GroupKey, Group>::iterator, bool>> candidates;
    for (auto group = m_groups.begin(); group != m_groups.end(); ++group) {
        const Waiting &head = group->second.queue.front();
        const RequestInfo &info = head.request.info;
        const Tenant &tenant = m_tenants.at(info.tenant);
        const auto quota = m_quotas.find(info.tenant);
        if (quota != m_quotas.end() && tenant.inService >= quota->second) {
            continue;
        }
        const bool longWork = isLong(*group->second.sizes, now);
        const bool reserved = longWork && grantedLong < reservedSlots;
        const Duration waited = now - head.since;
        // Half of the time until the deadline is the last moment at which aging still helps.
        const Duration aging = std::min(m_settings.longAging, (info.deadline - head.since) / 2);
        const bool aged = reserved && waited >= aging;
        if (longWork && longs >= longMost && !aged) {
            continue;
        }
        int rank = info.requestClass == RequestClass::Urgent ? 1 : longWork ? 4 : 3;
        if (waited >= m_settings.starvation && (!longWork || reserved)) {
            rank = 0;
        } else if (rank == 4 && aged) {
            rank = 2;
        }
        // Among short work the highest response ratio goes first; among long work the smallest, which costs the others
        // least; what waited longest among the starving.
        double order = 0;
        if (rank != 0) {
            order = longWork ? head.work : head.work / (head.work + micros(waited) + 1);
        }
        const double attained = tenant.attained[static_cast<std::size_t>(rank)];
        candidates.push_back({Rank{rank, attained, order, head.since}, group, longWork});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto &a, const auto &b) { return std::get<0>(a) < std::get<0>(b); });
    for (const auto &[rank, group, longWork] : candidates) {
        const std::optional<InstanceId> instance = chooseInstance(group->second.queue.front().request, now);
        if (instance) {
            return Choice{group, *instance, longWork, static_cast<std::size_t>(std::get<0>(rank))};
        }
    }
    return std::nullopt;
}

bool PoolRouter::usable(const InstanceId &id, const Instance &instance, TimePoint now) const
{
    if (!instance.admitted || instance.inService >= m_settings.slots) {
        return false;
    }
    const Ejection::Use use = m_ejection.use(id, now);
    return use != Ejection::Use::Ejected && (use != Ejection::Use::Probe || instance.inService == 0);
}

std::optional<InstanceId> PoolRouter::chooseInstance(const PermitRequest &request, TimePoint now) const
{
    const auto avoided = [&](const InstanceId &id) {
        return std::find(request.avoid.begin(), request.avoid.end(), id) != request.avoid.end();
    };
    const bool othersExist
        = request.avoid.empty() || std::any_of(m_instances.begin(), m_instances.end(), [&](const auto &line) {
              return line.second.admitted && !avoided(line.first)
                  && m_ejection.use(line.first, now) != Ejection::Use::Ejected;
          });
    std::map<std::string, int> rackLoad;
    for (const auto &[id, instance] : m_instances) {
        rackLoad[instance.rack] += instance.inService;
    }
    using Rank = std::tuple<bool, int, int, std::uint64_t>;
    std::optional<std::pair<Rank, InstanceId>> best;
    for (const auto &[id, instance] : m_instances) {
        if (!usable(id, instance, now) || (othersExist && avoided(id))) {
            continue;
        }
        const Ejection::Use use = m_ejection.use(id, now);
        // A probe risks a request, so only one that may be sent again is used for it while others can run it.
        const bool risky = use == Ejection::Use::Suspect || (use == Ejection::Use::Probe && !request.info.idempotent);
        const Rank rank{risky, instance.inService, rackLoad[instance.rack], instance.lastGrant};
        if (!best || rank < best->first) {
            best.emplace(rank, id);
        }
    }
    return best ? std::optional(best->second) : std::nullopt;
}

}
