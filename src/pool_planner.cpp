#include "pool_planner.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace briarvane
{

namespace json = boost::json;

namespace
{

/// Instances of one kind can change places.
std::string kindOf(const PooledInstance &one)
{
    return one.labels.empty() ? one.id : one.labels.front();
}

}

std::string encodePoolLoad(const PoolLoad &load)
{
    return json::serialize(json::object{{"wanted", load.wantedMilliCores},
                                        {"labels", json::value_from(load.wantedWithLabel)},
                                        {"widest", load.widestStep},
                                        {"idle", json::value_from(load.idle)},
                                        {"light", json::value_from(load.light)}});
}

Result<PoolLoad> parsePoolLoad(std::string_view text, TimePoint now)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return Error{ErrorCode::Invalid, "a pool's load cannot be read"};
    }
    const json::object &object = value.get_object();
    PoolLoad load;
    load.learned = now;
    for (const auto &[name, field] :
         {std::pair{"wanted", &load.wantedMilliCores}, std::pair{"widest", &load.widestStep}}) {
        const json::value *number = object.if_contains(name);
        if (number == nullptr || !number->is_int64()) {
            return Error{ErrorCode::Invalid, "a pool's load cannot be read"};
        }
        *field = static_cast<int>(number->get_int64());
    }
    if (const json::value *labels = object.if_contains("labels"); labels != nullptr) {
        const auto cores = json::try_value_to<std::map<std::string, int>>(*labels);
        if (!cores) {
            return Error{ErrorCode::Invalid, "a pool's load cannot be read"};
        }
        load.wantedWithLabel = *cores;
    }
    for (const auto &[name, field] : {std::pair{"idle", &load.idle}, std::pair{"light", &load.light}}) {
        const auto ids = parseIds(object.if_contains(name));
        if (!ids) {
            return Error{ErrorCode::Invalid, "a pool's load cannot be read"};
        }
        *field = ids.value();
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
    for (const PooledInstance &one : instances) {
        m_instances[one.id] = one;
        m_homes.try_emplace(one.id, one.pool);
    }
    std::erase_if(m_moves, [&](const auto &entry) {
        const auto &[id, move] = entry;
        const auto present = m_instances.find(id);
        if (present == m_instances.end()) {
            return true;
        }
        const bool arrived = present->second.pool == move.pool && present->second.state == InstanceAvailability::Up;
        return arrived || (move.accepted && now - move.requestedAt > m_settings.arrivalLimit);
    });
}

void PoolPlanner::setLoad(const std::string &pool, PoolLoad load)
{
    std::deque<std::pair<TimePoint, int>> &recent = m_recent[pool];
    recent.emplace_back(load.learned, load.wantedMilliCores);
    while (recent.size() > 1 && load.learned - recent[1].first > m_settings.surplusFor) {
        recent.pop_front();  // the first one that is kept still held when the window began
    }
    m_loads[pool] = std::move(load);
}

void PoolPlanner::setVacated(std::map<std::string, std::uint64_t> executors)
{
    m_vacated = std::move(executors);
}

void PoolPlanner::setVacatePublished(const std::set<std::string> &executors, std::uint64_t revision)
{
    for (auto &[id, move] : m_moves) {
        if (!executors.contains(move.executor)) {
            move.vacateRevision = 0;
        } else if (move.vacateRevision == 0) {
            move.vacateRevision = revision;
        }
    }
}

void PoolPlanner::setReserved(std::set<std::string> instances)
{
    m_reserved = std::move(instances);
}

void PoolPlanner::moved(const std::string &instance, TimePoint now)
{
    if (const auto move = m_moves.find(instance); move != m_moves.end()) {
        move->second.accepted = true;
        move->second.requestedAt = now;
    }
}

void PoolPlanner::refused(const std::string &instance, bool forGood, TimePoint now)
{
    const auto move = m_moves.find(instance);
    if (move == m_moves.end()) {
        return;
    }
    const auto present = m_instances.find(instance);
    if (forGood && present != m_instances.end()) {
        m_impossible.emplace(kindOf(present->second), move->second.pool);
    }
    m_pausedUntil[instance] = now + m_settings.refusedPause;
    m_moves.erase(move);
}

bool PoolPlanner::mayMove(const PooledInstance &one, const std::string &pool, TimePoint now) const
{
    const auto paused = m_pausedUntil.find(one.id);
    return (paused == m_pausedUntil.end() || now >= paused->second) && !m_impossible.contains({kindOf(one), pool});
}

/// The spare pool that it came from, or else any that takes its kind.
std::optional<std::string> PoolPlanner::sparePoolFor(const PooledInstance &one, TimePoint now) const
{
    const auto home = m_homes.find(one.id);
    if (home != m_homes.end() && m_sparePools.contains(home->second) && mayMove(one, home->second, now)) {
        return home->second;
    }
    const auto found = std::find_if(m_sparePools.begin(), m_sparePools.end(),
                                    [&](const std::string &pool) { return mayMove(one, pool, now); });
    return found == m_sparePools.end() ? std::nullopt : std::optional(*found);
}

const std::string &PoolPlanner::poolOf(const PooledInstance &one) const
{
    const auto move = m_moves.find(one.id);
    return move == m_moves.end() ? one.pool : move->second.pool;
}

int PoolPlanner::instancesOf(const std::string &pool) const
{
    int count = 0;
    for (const auto &[id, one] : m_instances) {
        count += poolOf(one) == pool && one.state != InstanceAvailability::Down ? 1 : 0;
    }
    return count;
}

int PoolPlanner::coresWithLabel(const std::string &pool, const std::string &label) const
{
    int cores = 0;
    for (const auto &[id, one] : m_instances) {
        const bool counts = poolOf(one) == pool && one.state != InstanceAvailability::Down && one.hasLabel(label);
        cores += counts ? one.capacity.milliCores : 0;
    }
    return cores;
}

bool PoolPlanner::wouldMiss(const PooledInstance &one) const
{
    const bool sameKind
        = one.labels.empty() || std::any_of(m_instances.begin(), m_instances.end(), [&](const auto &entry) {
              const auto &[id, other] = entry;
              return id != one.id && other.state != InstanceAvailability::Down && !other.labels.empty()
                  && other.labels.front() == one.labels.front() && poolOf(other) == one.pool;
          });
    const auto load = m_loads.find(one.pool);
    if (!sameKind || load == m_loads.end()) {
        return !sameKind;
    }
    const auto &wanted = load->second.wantedWithLabel;
    return std::any_of(wanted.begin(), wanted.end(), [&](const auto &want) {
        const auto &[label, cores] = want;
        return one.hasLabel(label)
            && coresWithLabel(one.pool, label) - one.capacity.milliCores < cores * m_settings.headroom;
    });
}

std::optional<int> PoolPlanner::neededFor(const std::string &pool, int milliCores, TimePoint now) const
{
    const auto load = m_loads.find(pool);
    if (load == m_loads.end()) {
        return std::nullopt;
    }
    if (now - load->second.learned > m_settings.loadAge) {
        return meanSize();
    }
    int each = 0;
    for (const auto &[id, one] : m_instances) {
        each = std::max(each, one.pool == pool ? one.capacity.milliCores : 0);
    }
    const int cores = each == 0 ? 0 : static_cast<int>(std::ceil(milliCores * m_settings.headroom / each));
    return std::max({cores, load->second.widestStep, static_cast<int>(std::ceil(meanSize() * m_settings.floorShare))});
}

int PoolPlanner::meanSize() const
{
    std::set<std::string> pools;
    for (const auto &[id, one] : m_instances) {
        if (!m_sparePools.contains(one.pool)) {
            pools.insert(one.pool);
        }
    }
    const double mean = static_cast<double>(m_instances.size()) / std::max(1.0, static_cast<double>(pools.size()));
    return static_cast<int>(mean);
}

bool PoolPlanner::isEmpty(const Move &move) const
{
    if (move.executor.empty()) {
        return true;
    }
    const auto vacated = m_vacated.find(move.executor);
    return move.vacateRevision != 0 && vacated != m_vacated.end() && vacated->second >= move.vacateRevision;
}

bool PoolPlanner::isSent(const Move &move) const
{
    return move.accepted || move.requestedAt != TimePoint{};
}

int PoolPlanner::expectedOf(const std::string &pool) const
{
    const std::deque<std::pair<TimePoint, int>> &recent = m_recent.at(pool);
    const auto &[latest, wanted] = recent.back();
    auto before = recent.rbegin();
    while (std::next(before) != recent.rend() && latest - before->first < m_settings.riseOver) {
        ++before;
    }
    const double rise = std::max(0, wanted - before->second);
    const double over = static_cast<double>(std::max(latest - before->first, m_settings.riseOver).count());
    const double ahead = rise * static_cast<double>(m_settings.riseAhead.count()) / over;
    return wanted + static_cast<int>(std::min(ahead, static_cast<double>(wanted)));
}

/// Instances that their pool has not needed for a while leave it: idle ones first, then those with short tasks only.
void PoolPlanner::planParking(TimePoint now)
{
    if (m_sparePools.empty()) {
        return;
    }
    for (const auto &[pool, load] : m_loads) {
        int peak = 0;
        for (const auto &[time, milliCores] : m_recent[pool]) {
            peak = std::max(peak, milliCores);
        }
        const std::optional<int> needed = neededFor(pool, peak, now);
        int surplus = needed && !m_sparePools.contains(pool) ? instancesOf(pool) - *needed : 0;
        for (const std::set<std::string> *executors : {&load.idle, &load.light}) {
            for (const auto &[id, one] : m_instances) {
                if (surplus <= 0) {
                    break;
                }
                if (one.pool != pool || one.state != InstanceAvailability::Up || m_moves.contains(id)
                    || m_reserved.contains(id) || !executors->contains(one.executor) || wouldMiss(one)) {
                    continue;
                }
                if (const std::optional<std::string> spare = sparePoolFor(one, now)) {
                    --surplus;
                    m_moves[id] = {*spare, pool, one.executor};
                }
            }
        }
    }
}

/// A pool that needs its leaving instances again keeps them.
void PoolPlanner::keep(const std::string &pool, int &missing)
{
    std::erase_if(m_moves, [&](const auto &entry) {
        const Move &move = entry.second;
        const bool kept = missing > 0 && move.from == pool && !move.executor.empty() && !isSent(move);
        missing -= kept ? 1 : 0;
        return kept;
    });
}

/// Instances for pools whose jobs require a label that too few of their instances have.
void PoolPlanner::planLabels(std::vector<std::string> &free, TimePoint now)
{
    for (const auto &[pool, load] : m_loads) {
        if (m_sparePools.contains(pool) || now - load.learned > m_settings.loadAge) {
            continue;
        }
        for (const auto &[label, wanted] : load.wantedWithLabel) {
            int cores = coresWithLabel(pool, label);
            for (auto id = free.rbegin(); id != free.rend() && cores < wanted;) {
                const PooledInstance &one = m_instances[*id];
                if (!one.hasLabel(label) || !mayMove(one, pool, now) || one.pool == pool) {
                    ++id;
                    continue;
                }
                m_moves.try_emplace(one.id, Move{pool, one.pool, {}}).first->second.pool = pool;
                cores += one.capacity.milliCores;
                id = std::make_reverse_iterator(free.erase(std::next(id).base()));
            }
            for (const auto &[id, one] : m_instances) {  // others give up what another kind can do for them as well
                const auto other = m_loads.find(one.pool);
                const bool light = other != m_loads.end()
                    && (other->second.idle.contains(one.executor) || other->second.light.contains(one.executor));
                if (cores < wanted && one.pool != pool && light && one.state == InstanceAvailability::Up
                    && one.hasLabel(label) && !m_moves.contains(id) && !m_reserved.contains(id)
                    && mayMove(one, pool, now) && !wouldMiss(one)) {
                    m_moves[id] = {pool, one.pool, one.executor};
                    cores += one.capacity.milliCores;
                }
            }
        }
    }
}

/// Instances for pools that need more than they have: spare ones, then those that are leaving other pools.
void PoolPlanner::planArrivals(TimePoint now)
{
    std::vector<std::pair<int, std::string>> wants;  // missing instances, most first
    for (const auto &[pool, load] : m_loads) {
        const std::optional<int> needed = neededFor(pool, expectedOf(pool), now);
        int missing = needed && !m_sparePools.contains(pool) ? *needed - instancesOf(pool) : 0;
        keep(pool, missing);
        if (missing > 0) {
            wants.emplace_back(missing, pool);
        }
    }
    std::vector<std::string> leaving;
    std::vector<std::string> free;  // taken from the end
    for (const auto &[id, one] : m_instances) {
        const auto move = m_moves.find(id);
        if (move != m_moves.end()) {
            if (m_sparePools.contains(move->second.pool) && !isSent(move->second)) {
                leaving.push_back(id);
            }
        } else if (m_sparePools.contains(one.pool) && one.state == InstanceAvailability::Up
                   && !m_reserved.contains(id)) {
            free.push_back(id);
        }
    }
    free.insert(free.begin(), leaving.begin(), leaving.end());
    planLabels(free, now);
    for (; !free.empty() && !wants.empty(); free.pop_back()) {
        std::sort(wants.rbegin(), wants.rend());
        const PooledInstance &one = m_instances[free.back()];
        const auto want = std::find_if(wants.begin(), wants.end(),
                                       [&](const auto &item) { return mayMove(one, item.second, now); });
        if (want == wants.end()) {
            continue;
        }
        const auto [move, added] = m_moves.try_emplace(one.id, Move{want->second, one.pool, {}});
        move->second.pool = want->second;
        if (--want->first == 0) {
            wants.erase(want);
        }
    }
}

std::vector<MoveRequest> PoolPlanner::tick(TimePoint now)
{
    planParking(now);
    planArrivals(now);
    std::vector<MoveRequest> requests;
    for (auto &[id, move] : m_moves) {
        const auto present = m_instances.find(id);
        const bool due = !move.accepted && now - move.requestedAt > m_settings.requestRepeat;
        if (due && isEmpty(move) && present != m_instances.end() && present->second.state == InstanceAvailability::Up) {
            move.requestedAt = now;
            requests.push_back({id, move.pool});
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

std::set<std::string> PoolPlanner::busy() const
{
    std::set<std::string> instances;
    for (const auto &[id, move] : m_moves) {
        instances.insert(id);
    }
    return instances;
}

bool PoolPlanner::active() const
{
    return !m_moves.empty();
}

}
