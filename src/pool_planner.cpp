#include "pool_planner.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace briarvane
{

namespace json = boost::json;

std::string encodePoolLoad(const PoolLoad &load)
{
    return json::serialize(json::object{{"wanted", load.wantedMilliCores},
                                        {"long", load.longMilliCores},
                                        {"widest", load.widestStep},
                                        {"idle", json::value_from(load.idle)}});
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
    for (const auto &[name, field] : {std::pair{"wanted", &load.wantedMilliCores},
                                      std::pair{"long", &load.longMilliCores}, std::pair{"widest", &load.widestStep}}) {
        const json::value *number = object.if_contains(name);
        if (number == nullptr || !number->is_int64()) {
            return Error{ErrorCode::Invalid, "a pool's load cannot be read"};
        }
        *field = static_cast<int>(number->get_int64());
    }
    if (const json::value *idle = object.if_contains("idle"); idle != nullptr && idle->is_array()) {
        for (const json::value &id : idle->get_array()) {
            load.idle.insert(std::string(id.as_string()));
        }
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
    const bool first = m_baseSizes.empty();
    for (const PooledInstance &one : instances) {
        m_instances[one.id] = one;
        m_homes.try_emplace(one.id, one.pool);
        if (first) {
            ++m_baseSizes[one.pool];
        }
    }
    std::erase_if(m_moves, [&](const auto &entry) {
        const auto &[id, move] = entry;
        const auto present = m_instances.find(id);
        if (present == m_instances.end()) {
            return true;
        }
        const bool arrived = present->second.pool == move.pool && present->second.state == InstanceState::Up;
        return arrived || (move.accepted && now - move.orderedAt > m_settings.arrivalLimit);
    });
}

void PoolPlanner::setLoad(const std::string &pool, PoolLoad load)
{
    for (const std::string &id : load.idle) {
        m_idleSince.try_emplace(id, load.learned);
    }
    if (const auto before = m_loads.find(pool); before != m_loads.end()) {
        for (const std::string &id : before->second.idle) {
            if (!load.idle.contains(id)) {
                m_idleSince.erase(id);
            }
        }
    }
    m_loads[pool] = std::move(load);
}

void PoolPlanner::setCleared(std::set<std::string> executors)
{
    m_cleared = std::move(executors);
}

void PoolPlanner::setReserved(std::set<std::string> instances)
{
    m_reserved = std::move(instances);
}

void PoolPlanner::moved(const std::string &instance, TimePoint now)
{
    if (const auto move = m_moves.find(instance); move != m_moves.end()) {
        move->second.accepted = true;
        move->second.orderedAt = now;
    }
}

void PoolPlanner::refused(const std::string &instance, TimePoint /*now*/)
{
    m_moves.erase(instance);
}

int PoolPlanner::instancesOf(const std::string &pool) const
{
    int count = 0;
    for (const auto &[id, one] : m_instances) {
        const auto move = m_moves.find(id);
        const std::string &at = move == m_moves.end() ? one.pool : move->second.pool;
        count += at == pool && one.state != InstanceState::Down ? 1 : 0;
    }
    return count;
}

int PoolPlanner::wantedOf(const std::string &pool, TimePoint now) const
{
    const auto load = m_loads.find(pool);
    const auto base = m_baseSizes.find(pool);
    const int home = base == m_baseSizes.end() ? 0 : base->second;
    if (load == m_loads.end() || now - load->second.learned > m_settings.loadAge) {
        return home;
    }
    int milliCores = 0;
    for (const auto &[id, one] : m_instances) {
        milliCores = std::max(milliCores, one.pool == pool ? one.capacity.milliCores : 0);
    }
    if (milliCores == 0) {
        return home;
    }
    const double wanted = load->second.wantedMilliCores * m_settings.headroom / milliCores;
    return std::max({static_cast<int>(std::ceil(wanted)), load->second.widestStep, home});
}

bool PoolPlanner::isEmpty(const Move &move) const
{
    return move.executor.empty() || m_cleared.contains(move.executor);
}

/// Instances for pools that want more than they have.
void PoolPlanner::planArrivals(TimePoint now)
{
    std::vector<std::pair<int, std::string>> wants;  // missing instances, most first
    for (const auto &[pool, load] : m_loads) {
        const int missing = m_sparePools.contains(pool) ? 0 : wantedOf(pool, now) - instancesOf(pool);
        if (missing > 0) {
            wants.emplace_back(missing, pool);
        }
    }
    std::sort(wants.rbegin(), wants.rend());
    std::vector<std::string> free;
    for (const auto &[id, one] : m_instances) {
        if (m_sparePools.contains(one.pool) && one.state == InstanceState::Up && !m_moves.contains(id)
            && !m_reserved.contains(id)) {
            free.push_back(id);
        }
    }
    while (!free.empty() && !wants.empty()) {
        auto &[missing, pool] = wants.front();
        const std::string id = free.back();
        free.pop_back();
        m_moves[id] = {pool, m_instances[id].pool, {}, now, {}, false};
        if (--missing == 0) {
            wants.erase(wants.begin());
        }
        std::sort(wants.rbegin(), wants.rend());
    }
}

/// Instances that their pool has not needed for a while go back to the spare pool.
void PoolPlanner::planParking(TimePoint now)
{
    if (m_sparePools.empty()) {
        return;
    }
    std::map<std::string, int> surplus;
    for (const auto &[pool, load] : m_loads) {
        surplus[pool] = instancesOf(pool) - wantedOf(pool, now);
    }
    for (const auto &[id, one] : m_instances) {
        const auto idle = m_idleSince.find(one.executor);
        const bool parked = m_sparePools.contains(one.pool) || m_moves.contains(id) || m_reserved.contains(id);
        if (parked || one.state != InstanceState::Up || surplus[one.pool] <= 0 || idle == m_idleSince.end()
            || now - idle->second < m_settings.idleBeforeParking) {
            continue;
        }
        --surplus[one.pool];
        const auto home = m_homes.find(id);
        const bool wasSpare = home != m_homes.end() && m_sparePools.contains(home->second);
        m_moves[id] = {wasSpare ? home->second : *m_sparePools.begin(), one.pool, one.executor, now, {}, false};
    }
}

std::vector<MoveOrder> PoolPlanner::tick(TimePoint now)
{
    planArrivals(now);
    planParking(now);
    std::vector<MoveOrder> orders;
    for (auto &[id, move] : m_moves) {
        const auto present = m_instances.find(id);
        const bool due = !move.accepted && now - move.orderedAt > m_settings.orderRepeat;
        if (due && isEmpty(move) && present != m_instances.end() && present->second.state == InstanceState::Up) {
            move.orderedAt = now;
            orders.push_back({id, move.pool});
        }
    }
    return orders;
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
