#include "routing.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace briarvane
{

namespace
{

/// With at least this many recent samples, the estimated service time decides whether work is long, instead of
/// the declared class.
constexpr double TrustedSamples = 20;
/// Shortest time between two queries to the same entry.
constexpr Duration QueryPeriod{500'000};
/// All live entries are queried this often, because an entry without queued requests may still hold permits that
/// another entry granted, or that the entry granted to itself from its static share.
constexpr Duration QueryAllPeriod{10'000'000};
/// Deadline of a permit that was taken over from its holder's report, which contains no deadline. Later reports
/// of the holder end the permit long before this deadline.
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
    , m_shortTimes(settings.shortBoundMin, settings.serviceTimeHalfLife)
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
    std::erase_if(m_instances, [](const auto &item) { return !item.second.admitted && item.second.inService == 0; });
    m_admitted = ids.size();
    m_members = std::max(members, ids.size());
    m_ejection.setInstances(ids);
    Decisions out;
    if (m_members == 0) {
        while (!m_queuedRequests.empty()) {
            const RequestKey key = m_queuedRequests.begin()->first;
            removeQueued(key);
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
    orphanEarlierStarts(request.requester, now);
    if (m_queuedRequests.contains(key)) {
        return out;
    }
    if (const auto granted = m_granted.find(key); granted != m_granted.end()) {
        const Permit &permit = m_permits.at({request.requester, granted->second});
        out.push_back({key, granted->second, permit.instance, permit.validity, permit.reusable, Refusal::None});
        return out;
    }
    const EstimateKey estimateKey{request.info.service, request.info.route, request.info.requestClass};
    WorkEstimate &estimate = estimateFor(estimateKey);
    if (const Refusal refusal = admissionRefusal(request, estimate, now); refusal != Refusal::None) {
        out.push_back(refuse(key, refusal));
        return out;
    }
    const GroupKey groupKey{request.info.tenant, estimateKey, request.avoid.empty() ? RequestKey{} : key};
    const auto group = m_groups.try_emplace(groupKey).first;
    group->second.estimate = &estimate;
    const double work = micros(estimate.serviceTime.mean());
    const auto item = group->second.queue.insert(group->second.queue.end(), {request, now, work});
    m_queuedRequests[key] = {group, item};
    m_deadlines.emplace(request.info.deadline, key);
    Tenant &tenant = tenantOf(request.info.tenant);
    ++tenant.queued;
    tenant.queuedWork += work;
    m_queuedWork[classIndex(request.info.requestClass)] += work;
    if (!isLong(estimate, now)) {
        m_shortArrived = shortDemand(now) * micros(m_settings.demandTimeConstant);
        m_shortArrived += micros(estimate.serviceTime.meanUpTo(shortBound()));
        m_shortArrivedUpdated = now;
    }
    dispatch(now, out);
    return out;
}

PoolRouter::Decisions PoolRouter::cancel(const RequestKey &key, TimePoint now)
{
    Decisions out;
    removeQueued(key);
    dispatch(now, out);
    return out;
}

PoolRouter::Decisions PoolRouter::release(const Requester &requester, std::uint64_t permit, const InstanceId &instance,
                                          const ServiceId &service, const std::string &route, RequestClass requestClass,
                                          UpstreamResult result, Duration serviceTime, TimePoint now)
{
    Decisions out;
    m_ejection.recordOutcome(instance, result, now);
    // The time of a request that timed out is only a lower bound of its service time. Leaving it out would keep the
    // slowest requests out of the estimate altogether.
    const bool measured = result == UpstreamResult::Completed || result == UpstreamResult::ServerError
        || result == UpstreamResult::TimedOut;
    EstimateKey estimateKey{service, route, requestClass};
    if (const auto found = m_permits.find({requester, permit}); permit != 0 && found != m_permits.end()) {
        if (!found->second.adopted) {
            estimateKey = found->second.estimateKey;
        }
        removePermit(found);
    }
    if (measured) {
        estimateFor(estimateKey).serviceTime.add(serviceTime, now);
        if (std::get<RequestClass>(estimateKey) != RequestClass::Long) {
            m_shortTimes.add(serviceTime, now);
        }
    }
    dispatch(now, out);
    return out;
}

PoolRouter::Decisions PoolRouter::entryLost(const EntryId &entry, TimePoint now)
{
    Decisions out;
    m_unreported.erase(entry);
    m_openQueries.erase(entry);
    m_lastQuery.erase(entry);
    m_requesterEntries.erase(entry);
    orphanRequesters(now, [&](const Requester &requester) { return requester.entry == entry; });
    dispatch(now, out);
    return out;
}

PoolRouter::Decisions PoolRouter::tick(TimePoint now)
{
    Decisions out;
    dispatch(now, out);
    return out;
}

void PoolRouter::entryRecovered(const EntryId &entry)
{
    m_requesterEntries.insert(entry);
    m_lastQuery.erase(entry);
}

/// Orphans the work of earlier starts of the requester's entry: their processes have ended.
void PoolRouter::orphanEarlierStarts(const Requester &requester, TimePoint now)
{
    m_requesterEntries.insert(requester.entry);
    const auto [current, isNew] = m_currentStarts.try_emplace(requester.entry, requester.startId);
    if (isNew || current->second == requester.startId) {
        return;
    }
    current->second = requester.startId;
    orphanRequesters(now, [&](const Requester &other) {
        return other.entry == requester.entry && other.startId != requester.startId;
    });
}

/// Drops the queued requests of lost requesters and limits the time that their permits occupy slots.
template<class Predicate>
void PoolRouter::orphanRequesters(TimePoint now, Predicate isLost)
{
    std::vector<RequestKey> dropped;
    for (const auto &[key, position] : m_queuedRequests) {
        if (isLost(key.requester)) {
            dropped.push_back(key);
        }
    }
    for (const RequestKey &key : dropped) {
        removeQueued(key);
    }
    for (auto &[key, permit] : m_permits) {
        if (!isLost(key.first) || permit.orphan) {
            continue;
        }
        const Duration remaining = 3 * estimateFor(permit.estimateKey).serviceTime.remaining(now - permit.granted);
        const Duration retention = std::min(m_settings.orphanRetention, std::max(m_settings.confirmAfter, remaining));
        permit.orphan = true;
        // Makes entriesToQuery() include the holder at once, because perhaps only its heartbeats were lost.
        permit.confirmed = TimePoint{};
        permit.orphanUntil = std::min(permit.deadline, now + retention);
    }
}

// Reports of held permits ---------------------------------------------------------------------------------------------

void PoolRouter::awaitReports(const std::set<EntryId> &entries, TimePoint now)
{
    m_unreported = entries;
    m_requesterEntries.insert(entries.begin(), entries.end());
    m_reportDeadline = now + m_settings.reportTimeout;
}

PoolRouter::Decisions PoolRouter::applyReport(const Requester &requester, const std::vector<HeldPermit> &held,
                                              TimePoint now)
{
    Decisions out;
    orphanEarlierStarts(requester, now);
    m_unreported.erase(requester.entry);
    std::set<std::uint64_t> listed;
    for (const HeldPermit &reported : held) {
        listed.insert(reported.permit);
        if (const auto found = m_permits.find({requester, reported.permit}); found != m_permits.end()) {
            found->second.confirmed = now;
            found->second.orphan = false;
            continue;
        }
        Permit permit;
        permit.key = {requester, reported.request};
        permit.instance = reported.instance;
        permit.estimateKey = {ServiceId{}, std::string{}, reported.requestClass};
        permit.granted = now - reported.running;
        permit.confirmed = now;
        permit.deadline = now + AdoptedDeadline;
        permit.adopted = true;
        permit.countsLong = reported.requestClass == RequestClass::Long || reported.running > shortBound();
        removeQueued(permit.key);
        addPermit(reported.permit, permit);
    }
    // A permit that the report does not list is freed only if it was granted before the oldest unanswered query was
    // sent. Messages to one entry keep their order, so the entry received that grant before the query, or the grant
    // was lost. A newer grant may still be on its way.
    if (const auto query = m_openQueries.find(requester.entry); query != m_openQueries.end()) {
        const TimePoint queriedAt = query->second;
        m_openQueries.erase(query);
        for (auto permit = m_permits.lower_bound({requester, 0}); permit != m_permits.end();) {
            const auto current = permit++;
            if (current->first.first != requester) {
                break;
            }
            if (!listed.contains(current->first.second) && current->second.granted < queriedAt) {
                removePermit(current);
            }
        }
    }
    dispatch(now, out);
    return out;
}

std::vector<EntryId> PoolRouter::entriesToQuery(TimePoint now)
{
    std::set<EntryId> candidates = m_unreported;
    for (const auto &[key, permit] : m_permits) {
        if (now - permit.confirmed >= m_settings.confirmAfter) {
            candidates.insert(key.first.entry);
        }
    }
    for (const EntryId &entry : m_requesterEntries) {
        const auto last = m_lastQuery.find(entry);
        if (last == m_lastQuery.end() || now - last->second >= QueryAllPeriod) {
            candidates.insert(entry);
        }
    }
    // To an entry with queued requests, the query shows that the responsible entry is working.
    for (const auto &[key, position] : m_queuedRequests) {
        candidates.insert(key.requester.entry);
    }
    std::vector<EntryId> due;
    for (const EntryId &entry : candidates) {
        TimePoint &last = m_lastQuery[entry];
        if (now - last >= QueryPeriod) {
            last = now;
            m_openQueries.try_emplace(entry, now);
            due.push_back(entry);
        }
    }
    return due;
}

// State ---------------------------------------------------------------------------------------------------------------

std::size_t PoolRouter::queued() const
{
    return m_queuedRequests.size();
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

bool PoolRouter::awaitingReports() const
{
    return !m_unreported.empty();
}

int PoolRouter::totalSlots() const
{
    return static_cast<int>(m_admitted) * m_settings.slots;
}

int PoolRouter::longLimit() const
{
    return std::max(1, static_cast<int>(m_settings.longShare * totalSlots()));
}

/// Average number of slots that the recent arrivals of short work occupy.
double PoolRouter::shortDemand(TimePoint now) const
{
    const double timeConstants = micros(now - m_shortArrivedUpdated) / micros(m_settings.demandTimeConstant);
    return m_shortArrived * std::exp(-timeConstants) / micros(m_settings.demandTimeConstant);
}

/// Slots that long work may occupy at present: longLimit(), reduced by the slots that a burst of short work needs. Long
/// work is not preempted, so a slot that it takes at the beginning of a burst is missing during the whole burst.
int PoolRouter::currentLongLimit(TimePoint now) const
{
    const int available = totalSlots() - static_cast<int>(std::ceil(m_settings.shortMargin * shortDemand(now)));
    return std::clamp(available, std::min(reservedLongSlots(), longLimit()), longLimit());
}

int PoolRouter::reservedLongSlots() const
{
    return std::max(1, static_cast<int>(m_settings.longReserve * totalSlots()));
}

Duration PoolRouter::shortBound() const
{
    const double bound = m_settings.shortFactor * micros(m_shortTimes.quantile(0.5));
    return std::max(m_settings.shortBoundMin, Duration{static_cast<std::int64_t>(bound)});
}

// Queue ---------------------------------------------------------------------------------------------------------------

PoolRouter::WorkEstimate &PoolRouter::estimateFor(const EstimateKey &key)
{
    const auto found = m_estimates.find(key);
    if (found != m_estimates.end()) {
        return found->second;
    }
    const auto declared = m_declared.find(std::get<ServiceId>(key));
    const Duration initial = declared != m_declared.end() ? declared->second : m_settings.shortBoundMin;
    return m_estimates
        .try_emplace(
            key,
            WorkEstimate{ServiceTimeEstimate(initial, m_settings.serviceTimeHalfLife), std::get<RequestClass>(key)})
        .first->second;
}

bool PoolRouter::isLong(const WorkEstimate &estimate, TimePoint now) const
{
    if (estimate.serviceTime.weight(now) < TrustedSamples) {
        return estimate.declaredClass == RequestClass::Long;
    }
    return estimate.serviceTime.quantile(0.5) > shortBound();
}

PoolRouter::Tenant &PoolRouter::tenantOf(const TenantId &id)
{
    // A tenant that was idle starts with as much attained work as the others have. Starting from zero would let it
    // starve the others until it has caught up.
    return m_tenants.try_emplace(id, Tenant{.attained = m_fairFloor}).first->second;
}

Refusal PoolRouter::admissionRefusal(const PermitRequest &request, const WorkEstimate &estimate, TimePoint now) const
{
    if (m_members == 0 || m_settings.slots <= 0) {
        return Refusal::NoInstance;
    }
    if (m_queuedRequests.size() >= m_settings.queueLimit) {
        return Refusal::QueueFull;
    }
    const double remaining = micros(request.info.deadline - now);
    if (remaining <= 0) {
        return Refusal::Deadline;
    }
    const auto tenant = m_tenants.find(request.info.tenant);
    const double ownWork = tenant == m_tenants.end() ? 0 : tenant->second.queuedWork;
    const auto quota = m_quotas.find(request.info.tenant);
    if (quota != m_quotas.end() && (quota->second <= 0 || ownWork / quota->second > remaining)) {
        return Refusal::Quota;
    }
    const bool isLongWork = isLong(estimate, now);
    const auto &queued = m_queuedWork;
    double ahead = queued[classIndex(RequestClass::Urgent)];
    if (isLongWork) {
        ahead = queued[classIndex(RequestClass::Long)];
    } else if (request.info.requestClass != RequestClass::Urgent) {
        ahead += queued[classIndex(RequestClass::Short)];
    }
    // Tenants are served in turn, so each other tenant gets about as much work done ahead of this request as this
    // tenant itself has queued.
    ahead = std::min(ahead, ownWork * static_cast<double>(m_tenants.size()));
    const int slots = isLongWork ? longLimit() : totalSlots();
    return slots > 0 && ahead / slots > remaining ? Refusal::Deadline : Refusal::None;
}

void PoolRouter::removeQueued(const RequestKey &key)
{
    const auto found = m_queuedRequests.find(key);
    if (found == m_queuedRequests.end()) {
        return;
    }
    const auto [group, item] = found->second;
    m_queuedRequests.erase(found);
    const TenantId id = item->request.info.tenant;
    Tenant &tenant = m_tenants.at(id);
    --tenant.queued;
    tenant.queuedWork = tenant.queued == 0 ? 0 : tenant.queuedWork - item->work;
    double &queued = m_queuedWork[classIndex(item->request.info.requestClass)];
    queued = m_queuedRequests.empty() ? 0 : queued - item->work;
    group->second.queue.erase(item);
    if (group->second.queue.empty()) {
        m_groups.erase(group);
    }
    eraseIfIdle(id);
}

void PoolRouter::eraseIfIdle(const TenantId &id)
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
        m_stragglerTimes.emplace(permit.granted + shortBound(), PermitKey{permit.key.requester, id});
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
        eraseIfIdle(permit.tenant);
    }
    if (const auto granted = m_granted.find(permit.key);
        granted != m_granted.end() && granted->second == position->first.second) {
        m_granted.erase(granted);
    }
    m_permits.erase(position);
}

/// Counts running short work as long once it runs for longer than shortBound().
void PoolRouter::markStragglers(TimePoint now)
{
    while (!m_stragglerTimes.empty() && m_stragglerTimes.begin()->first <= now) {
        const PermitKey key = m_stragglerTimes.begin()->second;
        m_stragglerTimes.erase(m_stragglerTimes.begin());
        const auto found = m_permits.find(key);
        if (found != m_permits.end() && !found->second.countsLong) {
            found->second.countsLong = true;
            ++m_instances.at(found->second.instance).longInService;
        }
    }
}

/// Refuses queued requests at their deadline and frees the slots of orphaned permits at the end of their retention.
void PoolRouter::expire(TimePoint now, Decisions &out)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const RequestKey key = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        const auto found = m_queuedRequests.find(key);
        if (found != m_queuedRequests.end() && found->second.item->request.info.deadline <= now) {
            const auto quota = m_quotas.find(found->second.item->request.info.tenant);
            const bool atQuota
                = quota != m_quotas.end() && inService(found->second.item->request.info.tenant) >= quota->second;
            removeQueued(key);
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

// Dispatch ------------------------------------------------------------------------------------------------------------

void PoolRouter::dispatch(TimePoint now, Decisions &out)
{
    markStragglers(now);
    expire(now, out);
    if (!m_unreported.empty()) {
        if (now < m_reportDeadline) {
            return;
        }
        m_unreported.clear();
    }
    while (!m_queuedRequests.empty()) {
        const std::optional<Choice> choice = chooseNext(now);
        if (!choice) {
            return;
        }
        const QueuedRequest queued = choice->group->second.queue.front();
        const RequestInfo &info = queued.request.info;
        const RequestKey key{queued.request.requester, info.id};
        Tenant &tenant = m_tenants.at(info.tenant);
        m_fairFloor[choice->rank] = std::max(m_fairFloor[choice->rank], tenant.attained[choice->rank]);
        tenant.attained[choice->rank] += std::max(1.0, queued.work);

        Permit permit;
        permit.key = key;
        permit.instance = choice->instance;
        permit.tenant = info.tenant;
        permit.estimateKey = {info.service, info.route, info.requestClass};
        permit.granted = now;
        permit.confirmed = now;
        permit.deadline = info.deadline;
        permit.countsLong = choice->isLong;
        permit.grantedLong = choice->isLong;
        addPermit(m_nextPermit, permit);
        removeQueued(key);
        Permit &stored = m_permits.at({key.requester, m_nextPermit});
        m_instances.at(choice->instance).lastGrant = m_nextPermit;
        // An idle reusable permit occupies a slot, so permits are only reusable while at least half of the slots are
        // free.
        stored.reusable = m_queuedRequests.empty() && !choice->isLong
            && m_ejection.instanceState(choice->instance, now) == Ejection::InstanceState::Normal
            && 2 * m_permits.size() <= static_cast<std::size_t>(totalSlots());
        stored.validity = stored.reusable ? m_settings.reuseValidity : m_settings.validity;
        out.push_back({key, m_nextPermit, choice->instance, stored.validity, stored.reusable, Refusal::None});
        ++m_nextPermit;
    }
}

std::optional<PoolRouter::Choice> PoolRouter::chooseNext(TimePoint now)
{
    const bool anyFree = std::any_of(m_instances.begin(), m_instances.end(),
                                     [&](const auto &item) { return usable(item.first, item.second, now); });
    if (!anyFree) {
        return std::nullopt;
    }
    const int longCount = longInService();
    int grantedLong = 0;  // stragglers of short work do not use up the slots that are reserved for long work
    for (const auto &[id, instance] : m_instances) {
        grantedLong += instance.admitted ? instance.grantedLong : 0;
    }
    const int longSlots = currentLongLimit(now);
    const int reservedSlots = reservedLongSlots();
    using Rank = std::tuple<int, double, double, TimePoint>;
    std::vector<std::tuple<Rank, std::map<GroupKey, Group>::iterator, bool>> candidates;
    for (auto group = m_groups.begin(); group != m_groups.end(); ++group) {
        const QueuedRequest &head = group->second.queue.front();
        const RequestInfo &info = head.request.info;
        const Tenant &tenant = m_tenants.at(info.tenant);
        const auto quota = m_quotas.find(info.tenant);
        if (quota != m_quotas.end() && tenant.inService >= quota->second) {
            continue;
        }
        const bool longWork = isLong(*group->second.estimate, now);
        const bool reserved = longWork && grantedLong < reservedSlots;
        const Duration waited = now - head.queuedAt;
        // A long request within the reserve counts as aged after longAging, or after half of its timeout if that is
        // shorter, so that enough time is left to serve the request.
        const Duration aging = std::min(m_settings.longAging, (info.deadline - head.queuedAt) / 2);
        const bool aged = reserved && waited >= aging;
        if (longWork && longCount >= longSlots && !aged) {
            continue;
        }
        int rank = info.requestClass == RequestClass::Urgent ? 1 : longWork ? 4 : 3;
        if (waited >= m_settings.starvation && (!longWork || reserved)) {
            rank = 0;
        } else if (rank == 4 && aged) {
            rank = 2;
        }
        // Within one rank and tenant, short work is served in order of the highest response ratio. Long work is served
        // smallest first, which delays the other long work least. Starving work is served in order of arrival.
        double order = 0;
        if (rank != 0) {
            order = longWork ? head.work : head.work / (head.work + micros(waited) + 1);
        }
        const double attained = tenant.attained[static_cast<std::size_t>(rank)];
        candidates.push_back({Rank{rank, attained, order, head.queuedAt}, group, longWork});
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
    const Ejection::InstanceState state = m_ejection.instanceState(id, now);
    return state != Ejection::InstanceState::Ejected
        && (state != Ejection::InstanceState::Probe || instance.inService == 0);
}

std::optional<InstanceId> PoolRouter::chooseInstance(const PermitRequest &request, TimePoint now) const
{
    const auto avoided = [&](const InstanceId &id) {
        return std::find(request.avoid.begin(), request.avoid.end(), id) != request.avoid.end();
    };
    const bool othersExist
        = request.avoid.empty() || std::any_of(m_instances.begin(), m_instances.end(), [&](const auto &item) {
              return item.second.admitted && !avoided(item.first)
                  && m_ejection.instanceState(item.first, now) != Ejection::InstanceState::Ejected;
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
        const Ejection::InstanceState state = m_ejection.instanceState(id, now);
        // A request to a suspect or probed instance may well fail. Suspect instances, and for non-idempotent requests
        // also probed ones, are chosen only if no other usable instance has a free slot.
        const bool risky = state == Ejection::InstanceState::Suspect
            || (state == Ejection::InstanceState::Probe && !request.info.idempotent);
        const Rank rank{risky, instance.inService, rackLoad[instance.rack], instance.lastGrant};
        if (!best || rank < best->first) {
            best.emplace(rank, id);
        }
    }
    return best ? std::optional(best->second) : std::nullopt;
}

}
