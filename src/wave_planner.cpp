#include "wave_planner.h"

#include <algorithm>

namespace briarvane
{

WavePlanner::WavePlanner(WavePlannerSettings settings)
    : m_settings(settings)
{
}

void WavePlanner::addWave(const MaintenanceWave &wave, const std::set<std::string> &begun, TimePoint now)
{
    WaveState &state = m_waves[wave.id];
    if (!state.instances.empty()) {
        return;
    }
    state.wave = wave;
    state.learned = now;
    for (const std::string &id : wave.instances) {
        state.instances[id].step = begun.contains(id) ? WaveStep::Away : WaveStep::Waiting;
        state.instances[id].since = now;
    }
}

void WavePlanner::setInstances(std::vector<PooledInstance> instances, const std::set<std::string> &sparePools,
                               TimePoint now)
{
    m_instances.clear();
    m_poolSizes.clear();
    m_sparePools = sparePools;
    for (PooledInstance &one : instances) {
        ++m_poolSizes[one.pool];
        const std::string id = one.id;
        m_instances[id] = std::move(one);
    }
    for (auto &[number, state] : m_waves) {
        for (auto &[id, member] : state.instances) {
            const PooledInstance *present = instance(id);
            if (present == nullptr) {
                member.step = WaveStep::Back;  // taken away
            } else if (member.step == WaveStep::Away) {
                const bool isUp = present->state == InstanceAvailability::Up
                    && (present->executor != member.executor || m_sparePools.contains(present->pool));
                const bool tooLong = now - member.since > m_settings.returnLimit;
                member.step = isUp || tooLong ? WaveStep::Back : WaveStep::Away;
            }
        }
    }
}

void WavePlanner::setVacated(std::set<std::string> executors)
{
    m_vacated = std::move(executors);
}

void WavePlanner::setReserved(std::set<std::string> instances)
{
    m_reserved = std::move(instances);
}

std::set<std::string> WavePlanner::busy() const
{
    std::set<std::string> instances;
    for (const auto &[number, state] : m_waves) {
        for (const auto &[id, member] : state.instances) {
            if (member.step != WaveStep::Waiting && member.step != WaveStep::Back) {
                instances.insert(id);
            }
        }
    }
    return instances;
}

void WavePlanner::begun(std::int64_t wave, const std::string &id, TimePoint now)
{
    WaveInstance &member = m_waves[wave].instances[id];
    member.step = WaveStep::Away;
    member.since = now;
}

void WavePlanner::refused(std::int64_t wave, const std::string &id, bool forGood, TimePoint now)
{
    WaveInstance &member = m_waves[wave].instances[id];
    member.step = forGood ? WaveStep::Back : WaveStep::Emptying;
    member.requestedAt = now;
}

const PooledInstance *WavePlanner::instance(const std::string &id) const
{
    const auto found = m_instances.find(id);
    return found == m_instances.end() ? nullptr : &found->second;
}

bool WavePlanner::isEmpty(const PooledInstance &one) const
{
    return one.executor.empty() || m_sparePools.contains(one.pool) || m_vacated.contains(one.executor);
}

std::map<std::string, int> WavePlanner::awayPerPool() const
{
    std::map<std::string, int> away;
    for (const auto &[number, state] : m_waves) {
        for (const auto &[id, member] : state.instances) {
            const PooledInstance *present = instance(id);
            if (present != nullptr && member.step != WaveStep::Waiting && member.step != WaveStep::Back) {
                ++away[present->pool];
            }
        }
    }
    return away;
}

std::vector<MaintenanceRequest> WavePlanner::tick(TimePoint now)
{
    std::vector<MaintenanceRequest> requests;
    std::map<std::string, int> away = awayPerPool();
    for (auto &[number, state] : m_waves) {
        int down = 0;
        int emptying = 0;
        for (const auto &[id, member] : state.instances) {
            down += member.step == WaveStep::Requested || member.step == WaveStep::Away ? 1 : 0;
            emptying += member.step == WaveStep::Emptying ? 1 : 0;
        }
        for (auto &[id, member] : state.instances) {
            const PooledInstance *present = instance(id);
            if (present == nullptr) {
                continue;
            }
            if (member.step == WaveStep::Waiting && present->state == InstanceAvailability::Up
                && !m_reserved.contains(id)) {
                const bool spare = m_sparePools.contains(present->pool);
                const int bound = std::max(1, m_poolSizes[present->pool] / m_settings.poolShare);
                if (emptying + down < state.wave.atOnce + m_settings.emptyAhead
                    && (spare || away[present->pool] < bound)) {
                    member.step = WaveStep::Emptying;
                    member.executor = present->executor;
                    member.since = now;
                    ++emptying;
                    ++away[present->pool];
                }
            }
            const bool repeat
                = member.step == WaveStep::Requested && now - member.requestedAt > 3 * m_settings.requestRepeat;
            const bool due = member.step == WaveStep::Emptying && now - member.requestedAt > m_settings.requestRepeat
                && present->state == InstanceAvailability::Up && isEmpty(*present) && down < state.wave.atOnce;
            if (repeat || due) {
                down += due ? 1 : 0;
                member.executor = present->executor;
                member.step = WaveStep::Requested;
                member.requestedAt = now;
                requests.push_back({id, number});
            }
        }
    }
    return requests;
}

std::set<std::string> WavePlanner::vacating() const
{
    std::set<std::string> executors;
    for (const auto &[number, state] : m_waves) {
        for (const auto &[id, member] : state.instances) {
            if ((member.step == WaveStep::Emptying || member.step == WaveStep::Requested) && !member.executor.empty()) {
                executors.insert(member.executor);
            }
        }
    }
    return executors;
}

std::map<std::int64_t, std::set<std::string>> WavePlanner::begunInstances() const
{
    std::map<std::int64_t, std::set<std::string>> begun;
    for (const auto &[number, state] : m_waves) {
        for (const auto &[id, member] : state.instances) {
            if (member.step == WaveStep::Away || member.step == WaveStep::Back) {
                begun[number].insert(id);
            }
        }
    }
    return begun;
}

std::vector<std::int64_t> WavePlanner::completedWaves() const
{
    std::vector<std::int64_t> complete;
    for (const auto &[number, state] : m_waves) {
        const bool all = std::all_of(state.instances.begin(), state.instances.end(), [](const auto &entry) {
            return entry.second.step == WaveStep::Away || entry.second.step == WaveStep::Back;
        });
        if (all && !state.reported) {
            complete.push_back(number);
        }
    }
    return complete;
}

std::vector<std::int64_t> WavePlanner::unannouncedWaves() const
{
    std::vector<std::int64_t> waves;
    for (const auto &[number, state] : m_waves) {
        if (!state.announced) {
            waves.push_back(number);
        }
    }
    return waves;
}

void WavePlanner::announced(std::int64_t wave)
{
    m_waves[wave].announced = true;
}

void WavePlanner::reportedCompleted(std::int64_t wave)
{
    m_waves[wave].reported = true;
}

bool WavePlanner::idle() const
{
    return std::all_of(m_waves.begin(), m_waves.end(), [](const auto &entry) { return entry.second.reported; });
}

}
