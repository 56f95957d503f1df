#include "pool_planner.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace briarvane
{

namespace json = boost::json;

namespace
{

/// The kind of an instance is its first label. Instances of one kind are interchangeable; an instance without labels is
/// a kind of its own.
std::string instanceKind(const PooledInstance &instance)
{
    return instance.labels.empty() ? instance.id : instance.labels.front();
}

}

PoolLoad combineLoads(const std::vector<PoolLoad> &partitions)
{
    PoolLoad sum;
    sum.receivedAt = TimePoint::max();
    for (const PoolLoad &load : partitions) {
        sum.demandMilliCores += load.demandMilliCores;
        sum.inTimeMilliCores += load.inTimeMilliCores;
        for (const auto &[label, milliCores] : load.demandByLabel) {
            sum.demandByLabel[label] += milliCores;
        }
        sum.minExecutors += load.minExecutors;  // a step spreads over the executors of its own partition only
        sum.idle.insert(load.idle.begin(), load.idle.end());
        sum.emptySoon.insert(load.emptySoon.begin(), load.emptySoon.end());
        sum.withoutLongRunning.insert(load.withoutLongRunning.begin(), load.withoutLongRunning.end());
        sum.receivedAt = std::min(sum.receivedAt, load.receivedAt);
    }
    return sum;
}

std::string encodePoolLoad(const PoolLoad &load)
{
    return json::serialize(json::object{{"wanted", load.demandMilliCores},
                                        {"in_time", load.inTimeMilliCores},
                                        {"labels", json::value_from(load.demandByLabel)},
                                        {"widest", load.minExecutors},
                                        {"idle", json::value_from(load.idle)},
                                        {"soon", json::value_from(load.emptySoon)},
                                        {"light", json::value_from(load.withoutLongRunning)}});
}

Result<PoolLoad> parsePoolLoad(std::string_view text, TimePoint now)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return Error{ErrorCode::Invalid, "the load of a pool is not a JSON object"};
    }
    const json::object &object = value.get_object();
    PoolLoad load;
    load.receivedAt = now;
    for (const auto &[name, field] :
         {std::pair{"wanted", &load.demandMilliCores}, std::pair{"widest", &load.minExecutors}}) {
        const json::value *number = object.if_contains(name);
        if (number == nullptr || !number->is_int64()) {
            return Error{ErrorCode::Invalid, "the load of a pool has no integer '" + std::string(name) + "'"};
        }
        *field = static_cast<int>(number->get_int64());
    }
    load.inTimeMilliCores = load.demandMilliCores;  // an earlier version did not report it
    if (const json::value *inTime = object.if_contains("in_time"); inTime != nullptr && inTime->is_int64()) {
        load.inTimeMilliCores = static_cast<int>(inTime->get_int64());
    }
    if (const json::value *labels = object.if_contains("labels"); labels != nullptr) {
        const auto cores = json::try_value_to<std::map<std::string, int>>(*labels);
        if (!cores) {
            return Error{ErrorCode::Invalid, "the field 'labels' of a pool's load is not a map of integers"};
        }
        load.demandByLabel = *cores;
    }
    for (const auto &[name, field] : {std::pair{"idle", &load.idle}, std::pair{"light", &load.withoutLongRunning}}) {
        const auto ids = parseIds(object.if_contains(name));
        if (!ids) {
            return Error{ErrorCode::Invalid,
                         "the field '" + std::string(name) + "' of a pool's load is not a list of strings"};
        }
        *field = ids.value();
    }
    if (const json::value *soon = object.if_contains("soon"); soon != nullptr) {  // not reported by earlier versions
        const auto ids = parseIds(soon);
        if (!ids) {
            return Error{ErrorCode::Invalid, "the field 'soon' of a pool's load is not a list of strings"};
        }
        load.emptySoon = ids.value();
    }
    return load;
}

PoolPlanner::PoolPlanner(PoolPlannerSettings settings)
    : m_settings(settings)
{
}

void PoolPlanner::setInstances(const std::vector<PooledInstance> &instances, const std::set<std::string> &sparePools,
                               TimePoint now)
{
    m_sparePools = sparePools;
    m_instances.clear();
    for (const PooledInstance &instance : instances) {
        m_instances[instance.id] = instance;
        m_originalPools.try_emplace(instance.id, instance.pool);
    }
    std::erase_if(m_moves, [&](const auto &entry) {
        const auto &[id, move] = entry;
        const auto present = m_instances.find(id);
        if (present == m_instances.end()) {
            return true;
        }
        const bool arrived
            = present->second.pool == move.targetPool && present->second.state == InstanceAvailability::Up;
        return arrived || (move.accepted && now - move.requestedAt > m_settings.arrivalTimeout);
    });
}

void PoolPlanner::setLoad(const std::string &pool, PoolLoad load)
{
    std::deque<DemandSample> &history = m_demandHistory[pool];
    history.push_back({load.receivedAt, load.demandMilliCores, load.inTimeMilliCores});
    while (history.size() > 1 && load.receivedAt - history[1].time > m_settings.scaleDownWindow) {
        history.pop_front();  // keeps the demand that was in force when the window began
    }
    if (!m_instances.empty() && !m_sparePools.contains(pool)) {
        const int smallestPeak = meanPoolSize() * largestInstance(pool) / 2;  // a pool of the minimum size holds less
        m_forecast.observe(pool, load.inTimeMilliCores, smallestPeak, load.receivedAt);
    }
    m_loads[pool] = std::move(load);
}

void PoolPlanner::setVacated(std::map<std::string, std::uint64_t> executors)
{
    m_vacated.setVacated(std::move(executors));
}

void PoolPlanner::setBlocked(std::map<std::string, std::uint64_t> executors)
{
    m_vacated.setBlocked(std::move(executors));
}

void PoolPlanner::setPublishedVacating(const std::set<std::string> &executors, std::uint64_t revision)
{
    m_vacated.setPublished(executors, revision);
}

void PoolPlanner::setInMaintenance(std::set<std::string> instances)
{
    m_inMaintenance = std::move(instances);
}

void PoolPlanner::moveAccepted(const std::string &instanceId, TimePoint now)
{
    if (const auto move = m_moves.find(instanceId); move != m_moves.end()) {
        move->second.accepted = true;
        move->second.requestedAt = now;
    }
}

void PoolPlanner::moveRefused(const std::string &instanceId, bool permanent, TimePoint now)
{
    const auto move = m_moves.find(instanceId);
    if (move == m_moves.end()) {
        return;
    }
    const auto present = m_instances.find(instanceId);
    if (permanent && present != m_instances.end()) {
        m_incompatible.emplace(instanceKind(present->second), move->second.targetPool);
    }
    m_backoffUntil[instanceId] = now + m_settings.refusalBackoff;
    m_moves.erase(move);
}

bool PoolPlanner::mayMove(const PooledInstance &instance, const std::string &pool, TimePoint now) const
{
    const auto backoff = m_backoffUntil.find(instance.id);
    return (backoff == m_backoffUntil.end() || now >= backoff->second)
        && !m_incompatible.contains({instanceKind(instance), pool});
}

/// The spare pool that the instance came from, or else any spare pool that takes its kind.
std::optional<std::string> PoolPlanner::sparePoolFor(const PooledInstance &instance, TimePoint now) const
{
    const auto original = m_originalPools.find(instance.id);
    if (original != m_originalPools.end() && m_sparePools.contains(original->second)
        && mayMove(instance, original->second, now)) {
        return original->second;
    }
    const auto found = std::find_if(m_sparePools.begin(), m_sparePools.end(),
                                    [&](const std::string &pool) { return mayMove(instance, pool, now); });
    return found == m_sparePools.end() ? std::nullopt : std::optional(*found);
}

const std::string &PoolPlanner::plannedPool(const PooledInstance &instance) const
{
    const auto move = m_moves.find(instance.id);
    return move == m_moves.end() ? instance.pool : move->second.targetPool;
}

int PoolPlanner::instanceCount(const std::string &pool) const
{
    int count = 0;
    for (const auto &[id, instance] : m_instances) {
        count += plannedPool(instance) == pool && instance.state != InstanceAvailability::Down ? 1 : 0;
    }
    return count;
}

int PoolPlanner::usableInstances(const std::string &pool) const
{
    int count = 0;
    for (const auto &[id, instance] : m_instances) {
        count += plannedPool(instance) == pool && instance.state != InstanceAvailability::Down
                && instance.state != InstanceAvailability::Maintenance && !m_inMaintenance.contains(id)
            ? 1
            : 0;
    }
    return count;
}

int PoolPlanner::largestInstance(const std::string &pool) const
{
    int largest = 0;
    for (const auto &[id, instance] : m_instances) {
        largest = std::max(largest, instance.pool == pool ? instance.capacity.milliCores : 0);
    }
    return largest;
}

int PoolPlanner::milliCoresWithLabel(const std::string &pool, const std::string &label) const
{
    int milliCores = 0;
    for (const auto &[id, instance] : m_instances) {
        const bool isCounted
            = plannedPool(instance) == pool && instance.state != InstanceAvailability::Down && instance.hasLabel(label);
        milliCores += isCounted ? instance.capacity.milliCores : 0;
    }
    return milliCores;
}

std::map<std::string, int> PoolPlanner::kindsAfterMoves(const std::string &pool) const
{
    std::map<std::string, int> kinds;
    for (const auto &[id, instance] : m_instances) {
        if (instance.state != InstanceAvailability::Down && !instance.labels.empty() && plannedPool(instance) == pool) {
            ++kinds[instance.labels.front()];
        }
    }
    return kinds;
}

bool PoolPlanner::isRequiredByPool(const PooledInstance &instance, const std::map<std::string, int> &kinds) const
{
    if (!instance.labels.empty()) {
        const auto kind = kinds.find(instance.labels.front());
        const int itself
            = instance.state != InstanceAvailability::Down && plannedPool(instance) == instance.pool ? 1 : 0;
        if (kind == kinds.end() || kind->second <= itself) {
            return true;
        }
    }
    const auto load = m_loads.find(instance.pool);
    if (load == m_loads.end()) {
        return false;
    }
    const auto &demand = load->second.demandByLabel;
    return std::any_of(demand.begin(), demand.end(), [&](const auto &entry) {
        const auto &[label, milliCores] = entry;
        return instance.hasLabel(label)
            && milliCoresWithLabel(instance.pool, label) - instance.capacity.milliCores
            < milliCores * m_settings.headroom;
    });
}

int PoolPlanner::instancesForDemand(const std::string &pool, int milliCores) const
{
    const int largest = largestInstance(pool);
    return largest == 0 ? 0 : static_cast<int>(std::ceil(milliCores * m_settings.headroom / largest));
}

std::optional<int> PoolPlanner::requiredInstances(const std::string &pool, int milliCores, Floor floor,
                                                  TimePoint now) const
{
    const auto load = m_loads.find(pool);
    if (load == m_loads.end()) {
        return std::nullopt;
    }
    if (now - load->second.receivedAt > m_settings.maxLoadAge) {
        return meanPoolSize();
    }
    const double mean = meanPoolSize();
    const int minSize = static_cast<int>(std::ceil(mean * m_settings.minSizeShare));
    const int lendingSize
        = std::max(static_cast<int>(std::ceil(mean * m_settings.lendingSizeShare)), m_settings.minLendingSize);
    return std::max({instancesForDemand(pool, milliCores), load->second.minExecutors,
                     floor == Floor::MinSize ? minSize : std::min(minSize, lendingSize)});
}

int PoolPlanner::excessInstances(const std::string &pool, TimePoint now) const
{
    const auto history = m_demandHistory.find(pool);
    if (history == m_demandHistory.end() || m_sparePools.contains(pool)) {
        return 0;
    }
    int peak = expectedPeak(pool, now);
    for (const DemandSample &sample : history->second) {
        peak = std::max(peak, sample.milliCores);
    }
    const std::optional<int> needed = requiredInstances(pool, peak, Floor::MinSize, now);
    return needed ? std::max(0, instanceCount(pool) - *needed) : 0;
}

int PoolPlanner::expectedPeak(const std::string &pool, TimePoint now) const
{
    const std::optional<ExpectedPeak> peak = m_forecast.nextPeak(pool, now);
    return peak && peak->begin - now <= m_settings.peakLead ? static_cast<int>(peak->milliCores * m_settings.peakShare)
                                                            : 0;
}

/// Expected load: two pools have peaks at the same time, for example while the backlog of one peak lasts into the next,
/// and each needs most of the instances.
std::map<std::string, int> PoolPlanner::fairShares(TimePoint now) const
{
    std::vector<std::pair<int, std::string>> needs;
    int available = 0;
    for (const auto &[id, instance] : m_instances) {
        available += instance.state != InstanceAvailability::Down && !m_inMaintenance.contains(id) ? 1 : 0;
    }
    for (const auto &[pool, load] : m_loads) {
        if (m_sparePools.contains(pool)) {
            continue;
        }
        int demand = std::max(expectedPeak(pool, now), expectedDemand(pool, &DemandSample::inTimeMilliCores));
        for (const DemandSample &sample : m_demandHistory.at(pool)) {
            demand = std::max(demand, sample.inTimeMilliCores);
        }
        needs.emplace_back(requiredInstances(pool, demand, Floor::Lending, now).value_or(0), pool);
    }
    std::sort(needs.begin(), needs.end());
    std::map<std::string, int> shares;
    for (std::size_t i = 0; i < needs.size(); ++i) {
        const int share = std::min(needs[i].first, available / static_cast<int>(needs.size() - i));
        shares[needs[i].second] = share;
        available -= share;
    }
    return shares;
}

std::vector<PoolPlanner::Shortage> PoolPlanner::shortages(const std::map<std::string, int> &shares, TimePoint now) const
{
    std::vector<Shortage> shortages;
    for (const auto &[pool, load] : m_loads) {
        if (m_sparePools.contains(pool)) {
            continue;
        }
        const int needed
            = requiredInstances(pool, expectedDemand(pool, &DemandSample::milliCores), Floor::MinSize, now).value_or(0);
        const bool isCurrent = now - load.receivedAt <= m_settings.maxLoadAge;
        const int demand = isCurrent ? expectedDemand(pool, &DemandSample::inTimeMilliCores) : 0;
        const int peak = isCurrent ? expectedPeak(pool, now) : 0;
        const int neededInTime = std::min(instancesForDemand(pool, std::max(demand, peak)), shares.at(pool));
        Shortage shortage;
        shortage.pool = pool;
        shortage.isExpected = peak > demand;
        shortage.forDemand = std::max(0, neededInTime - usableInstances(pool));
        shortage.total = std::max(shortage.forDemand, needed - instanceCount(pool));
        if (shortage.total > 0) {
            shortages.push_back(std::move(shortage));
        }
    }
    return shortages;
}

int PoolPlanner::meanPoolSize() const
{
    std::set<std::string> pools;
    for (const auto &[id, instance] : m_instances) {
        if (!m_sparePools.contains(instance.pool)) {
            pools.insert(instance.pool);
        }
    }
    const double mean = static_cast<double>(m_instances.size()) / std::max(1.0, static_cast<double>(pools.size()));
    return static_cast<int>(mean);
}

bool PoolPlanner::isVacated(const Move &move) const
{
    return move.executor.empty() || m_vacated.isVacated(move.executor);
}

bool PoolPlanner::isRequested(const Move &move) const
{
    return move.accepted || move.requestedAt != TimePoint{};
}

int PoolPlanner::expectedDemand(const std::string &pool, int DemandSample::*demand) const
{
    const std::deque<DemandSample> &history = m_demandHistory.at(pool);
    const DemandSample &latest = history.back();
    auto before = history.rbegin();
    while (std::next(before) != history.rend() && latest.time - before->time < m_settings.trendWindow) {
        ++before;
    }
    const double rise = std::max(0, latest.*demand - (*before).*demand);
    const double riseTime = static_cast<double>(std::max(latest.time - before->time, m_settings.trendWindow).count());
    const double expectedRise = rise * static_cast<double>(m_settings.trendHorizon.count()) / riseTime;
    return latest.*demand + static_cast<int>(std::min(expectedRise, static_cast<double>(latest.*demand)));
}

void PoolPlanner::releaseInstances(const std::string &pool, int count, BusyInstances busy,
                                   const std::function<bool(const PooledInstance &)> &release)
{
    const PoolLoad &load = m_loads.at(pool);
    std::map<std::string, int> kinds = kindsAfterMoves(pool);
    for (const std::set<std::string> *executors : {&load.idle, &load.emptySoon, &load.withoutLongRunning}) {
        for (const auto &[id, instance] : m_instances) {
            if (count <= 0 || (busy == BusyInstances::Stay && executors == &load.withoutLongRunning)) {
                return;
            }
            if (instance.pool == pool && instance.state == InstanceAvailability::Up && !m_moves.contains(id)
                && !m_inMaintenance.contains(id) && executors->contains(instance.executor)
                && !isRequiredByPool(instance, kinds) && release(instance)) {
                --count;
                if (!instance.labels.empty()) {
                    --kinds[instance.labels.front()];
                }
            }
        }
    }
}

/// Plans moves to spare pools for the instances that their pool has not required during the scale-down window: idle
/// instances first, then those that run short tasks only.
void PoolPlanner::planScaleDown(TimePoint now)
{
    if (m_sparePools.empty()) {
        return;
    }
    for (const auto &[pool, load] : m_loads) {
        releaseInstances(pool, excessInstances(pool, now), BusyInstances::MayLeave,
                         [&](const PooledInstance &instance) {
                             const std::optional<std::string> spare = sparePoolFor(instance, now);
                             if (spare) {
                                 m_moves[instance.id] = {*spare, instance.pool, instance.executor};
                             }
                             return spare.has_value();
                         });
    }
}

void PoolPlanner::cancelMoves(const std::map<std::string, int> &shares, TimePoint now)
{
    for (const auto &[name, load] : m_loads) {
        const std::string &pool = name;
        if (m_sparePools.contains(pool)) {
            continue;
        }
        const int demand = std::max(expectedDemand(pool, &DemandSample::milliCores), expectedPeak(pool, now));
        const int count = instanceCount(pool);
        int missing = requiredInstances(pool, demand, Floor::MinSize, now).value_or(0) - count;
        int missingForLending = shares.at(pool) - count;
        int surplus = excessInstances(pool, now);
        std::erase_if(m_moves, [&](const auto &entry) {
            const Move &move = entry.second;
            if (move.executor.empty() || isRequested(move)) {
                return false;
            }
            const bool isLoan = !m_sparePools.contains(move.targetPool);
            const bool isNeededBySource = move.sourcePool == pool && (isLoan ? missingForLending : missing) > 0;
            const bool isUnneededLoan = isLoan && move.targetPool == pool && surplus > 0;
            missing -= isNeededBySource ? 1 : 0;
            missingForLending -= isNeededBySource ? 1 : 0;
            surplus -= isUnneededLoan ? 1 : 0;
            return isNeededBySource || isUnneededLoan;
        });
    }
}

/// Plans moves into pools whose jobs require a label for which the pool has too few cores. Takes instances from
/// `available` first, then idle ones and ones without long-running tasks from pools that do not require them.
void PoolPlanner::planLabelDemand(std::vector<std::string> &available, TimePoint now)
{
    for (const auto &[pool, load] : m_loads) {
        if (m_sparePools.contains(pool) || now - load.receivedAt > m_settings.maxLoadAge) {
            continue;
        }
        for (const auto &[label, demand] : load.demandByLabel) {
            int milliCores = milliCoresWithLabel(pool, label);
            for (auto id = available.rbegin(); id != available.rend() && milliCores < demand;) {
                const PooledInstance &instance = m_instances[*id];
                if (!instance.hasLabel(label) || !mayMove(instance, pool, now) || instance.pool == pool) {
                    ++id;
                    continue;
                }
                Move &move = m_moves.try_emplace(instance.id, Move{pool, instance.pool, {}}).first->second;
                move.targetPool = pool;
                move.reason = MoveReason::Label;
                milliCores += instance.capacity.milliCores;
                id = std::make_reverse_iterator(available.erase(std::next(id).base()));
            }
            for (const auto &[id, instance] : m_instances) {
                const auto source = m_loads.find(instance.pool);
                const bool isReleasable = source != m_loads.end()
                    && (source->second.idle.contains(instance.executor)
                        || source->second.withoutLongRunning.contains(instance.executor));
                if (milliCores < demand && instance.pool != pool && isReleasable
                    && instance.state == InstanceAvailability::Up && instance.hasLabel(label) && !m_moves.contains(id)
                    && !m_inMaintenance.contains(id) && mayMove(instance, pool, now)
                    && !isRequiredByPool(instance, kindsAfterMoves(instance.pool))) {
                    m_moves[id] = {pool, instance.pool, instance.executor, {}, MoveReason::Label};
                    milliCores += instance.capacity.milliCores;
                }
            }
        }
    }
}

/// Plans moves into pools that require more instances than they have: spare instances first, then those that are about
/// to leave other pools for a spare pool, then loans.
void PoolPlanner::planScaleUp(TimePoint now)
{
    const std::map<std::string, int> shares = fairShares(now);
    cancelMoves(shares, now);
    std::vector<Shortage> open = shortages(shares, now);
    std::vector<std::string> leaving;
    std::vector<std::string> available;  // spare and leaving instances; the last one is used first
    for (const auto &[id, instance] : m_instances) {
        const auto move = m_moves.find(id);
        if (move != m_moves.end()) {
            if (m_sparePools.contains(move->second.targetPool) && !isRequested(move->second)) {
                leaving.push_back(id);
            }
        } else if (m_sparePools.contains(instance.pool) && instance.state == InstanceAvailability::Up
                   && !m_inMaintenance.contains(id)) {
            available.push_back(id);
        }
    }
    available.insert(available.begin(), leaving.begin(), leaving.end());
    planLabelDemand(available, now);
    for (; !available.empty() && !open.empty(); available.pop_back()) {
        std::sort(open.begin(), open.end());
        const PooledInstance &instance = m_instances[available.back()];
        const auto shortage = std::find_if(open.begin(), open.end(),
                                           [&](const Shortage &item) { return mayMove(instance, item.pool, now); });
        if (shortage == open.end()) {
            continue;
        }
        if (instance.pool == shortage->pool) {
            m_moves.erase(instance.id);  // it was about to leave the pool that lacks instances now
        } else {
            Move &move = m_moves.try_emplace(instance.id, Move{shortage->pool, instance.pool, {}}).first->second;
            move.targetPool = shortage->pool;
            move.reason = shortage->forDemand <= 0 ? MoveReason::MinSize
                : shortage->isExpected             ? MoveReason::Peak
                                                   : MoveReason::Demand;
        }
        --shortage->forDemand;
        if (--shortage->total == 0) {
            open.erase(shortage);
        }
    }
    planLoans(std::move(open), shares, now);
}

/// Plans moves into pools whose jobs that can still meet their latency objective demand more than the pool has, from
/// pools that can lend. Only instances that are empty or about to be: vacating a busy one takes longer than the rest of
/// most peaks, and its room is lost meanwhile.
///
/// Expected load: one pool has a backlog while the others use a tenth of their cores, and no instance is spare.
void PoolPlanner::planLoans(std::vector<Shortage> shortages, const std::map<std::string, int> &shares, TimePoint now)
{
    for (Shortage &shortage : shortages) {  // for a rise that is only expected, no pool gives up instances
        const int demand
            = std::max(m_demandHistory.at(shortage.pool).back().inTimeMilliCores, expectedPeak(shortage.pool, now));
        const int lacking = instancesForDemand(shortage.pool, demand) - usableInstances(shortage.pool);
        shortage.forDemand = std::min(shortage.forDemand, lacking);
    }
    std::erase_if(shortages, [&](const Shortage &shortage) {
        return shortage.forDemand <= m_settings.minLoanShare * usableInstances(shortage.pool);
    });
    std::sort(shortages.begin(), shortages.end());
    std::vector<std::pair<int, std::string>> lenders;  // instances to lend, and pool
    for (const auto &[name, load] : m_loads) {
        const std::string &pool = name;
        if (m_sparePools.contains(pool)) {
            continue;
        }
        const bool isShort = std::any_of(shortages.begin(), shortages.end(),
                                         [&](const Shortage &shortage) { return shortage.pool == pool; });
        const bool isCurrent = now - load.receivedAt <= m_settings.maxLoadAge;
        const int count = isShort || !isCurrent ? 0 : instanceCount(pool) - shares.at(pool);
        if (count > 0) {
            lenders.emplace_back(count, pool);
        }
    }
    std::sort(lenders.rbegin(), lenders.rend());
    for (const auto &[count, lender] : lenders) {
        releaseInstances(lender, count, BusyInstances::Stay, [&](const PooledInstance &instance) {
            const auto shortage = std::find_if(shortages.begin(), shortages.end(), [&](const Shortage &item) {
                return item.forDemand > 0 && mayMove(instance, item.pool, now);
            });
            if (shortage == shortages.end()) {
                return false;
            }
            --shortage->forDemand;
            m_moves[instance.id] = {shortage->pool,
                                    instance.pool,
                                    instance.executor,
                                    {},
                                    shortage->isExpected ? MoveReason::Peak : MoveReason::Loan};
            return true;
        });
    }
}

/// Gives up the moves of instances whose executors cannot be vacated. Otherwise they would count as instances of the
/// pool that they never reach.
void PoolPlanner::dropBlockedMoves(TimePoint now)
{
    std::erase_if(m_moves, [&](const auto &entry) {
        const auto &[id, move] = entry;
        const bool isBlocked = !isRequested(move) && m_vacated.isBlocked(move.executor);
        if (isBlocked) {
            m_backoffUntil[id] = now + m_settings.refusalBackoff;
        }
        return isBlocked;
    });
}

std::vector<MoveRequest> PoolPlanner::tick(TimePoint now, std::size_t limit)
{
    dropBlockedMoves(now);
    planScaleDown(now);
    planScaleUp(now);
    std::vector<MoveRequest> requests;
    for (auto &[id, move] : m_moves) {
        const auto present = m_instances.find(id);
        const bool isDue = !move.accepted && now - move.requestedAt > m_settings.retryInterval;
        if (requests.size() < limit && isDue && isVacated(move) && present != m_instances.end()
            && present->second.state == InstanceAvailability::Up) {
            move.requestedAt = now;
            requests.push_back({id, move.targetPool, move.sourcePool, move.reason, move.executor});
        }
    }
    return requests;
}

std::set<std::string> PoolPlanner::vacating() const
{
    std::set<std::string> executors;
    for (const auto &[id, move] : m_moves) {
        if (!move.executor.empty()) {
            executors.insert(move.executor);
        }
    }
    return executors;
}

std::set<std::string> PoolPlanner::movingInstances() const
{
    std::set<std::string> instances;
    for (const auto &[id, move] : m_moves) {
        instances.insert(id);
    }
    return instances;
}

bool PoolPlanner::hasMoves() const
{
    return !m_moves.empty();
}
}
