#include "wave_planner.h"

#include <algorithm>

namespace briarvane
{

WavePlanner::WavePlanner(WavePlannerSettings settings)
    : m_settings(settings)
{
}

void WavePlanner::addWave(const MaintenanceWave &wave, const std::set<std::string> &begunInstances, TimePoint now)
{
    WaveProgress &progress = m_waves[wave.id];
    if (!progress.instances.empty()) {
        return;
    }
    progress.wave = wave;
    progress.addedAt = now;
    for (const std::string &id : wave.instances) {
        progress.instances[id].phase = begunInstances.contains(id) ? MaintenancePhase::Down : MaintenancePhase::Waiting;
        progress.instances[id].phaseSince = now;
    }
}

void WavePlanner::setInstances(std::vector<PooledInstance> instances, const std::set<std::string> &sparePools,
                               TimePoint askedAt)
{
    m_instances.clear();
    m_poolSizes.clear();
    m_poolRoom.clear();
    m_sparePools = sparePools;
    for (PooledInstance &instance : instances) {
        ++m_poolSizes[instance.pool];
        m_poolRoom[instance.pool] += instance.capacity.milliCores;
        const std::string id = instance.id;
        m_instances[id] = std::move(instance);
    }
    for (auto &[waveId, progress] : m_waves) {
        for (auto &[id, member] : progress.instances) {
            const PooledInstance *present = findInstance(id);
            if (present == nullptr) {
                member.phase = MaintenancePhase::Finished;  // no longer part of the fleet
            } else if (member.phase == MaintenancePhase::Vacating) {
                member.executor = present->executor;  // a restart gives the instance another one
            } else if (member.phase == MaintenancePhase::Down) {
                const bool isUp = present->state == InstanceAvailability::Up && askedAt >= member.phaseSince
                    && (present->executor != member.executor || m_sparePools.contains(present->pool));
                const bool isOverdue = askedAt - member.phaseSince > m_settings.returnTimeout;
                member.phase = isUp || isOverdue ? MaintenancePhase::Finished : MaintenancePhase::Down;
            }
        }
    }
}

void WavePlanner::setVacated(std::map<std::string, std::uint64_t> executors)
{
    m_vacated.setVacated(std::move(executors));
}

void WavePlanner::setBlocked(std::map<std::string, std::uint64_t> executors)
{
    m_vacated.setBlocked(std::move(executors));
}

void WavePlanner::setPublishedVacating(const std::set<std::string> &executors, std::uint64_t revision)
{
    m_vacated.setPublished(executors, revision);
}

void WavePlanner::setMoving(std::set<std::string> instances)
{
    m_moving = std::move(instances);
}

void WavePlanner::setDemand(const std::string &pool, int milliCores)
{
    m_demand[pool] = milliCores;
}

/// Expected load: a wave of half of all instances during a demand peak of one pool, which uses all its instances while
/// the others are nearly idle. Spare instances come first, then those of the pools with the most free room.
std::vector<std::string> WavePlanner::vacatingOrder(const WaveProgress &progress) const
{
    const auto use = [this](const std::string &id) {
        const PooledInstance *present = findInstance(id);
        if (present == nullptr || m_sparePools.contains(present->pool)) {
            return 0.0;
        }
        const auto demand = m_demand.find(present->pool);
        return demand == m_demand.end() ? 1.0 : std::min(1.0, demand->second / m_poolRoom.at(present->pool));
    };
    std::vector<std::pair<double, std::string>> order;
    order.reserve(progress.instances.size());
    for (const auto &[id, member] : progress.instances) {
        order.emplace_back(use(id), id);
    }
    std::sort(order.begin(), order.end());
    std::vector<std::string> ids;
    ids.reserve(order.size());
    for (auto &[share, id] : order) {
        ids.push_back(std::move(id));
    }
    return ids;
}

std::set<std::string> WavePlanner::instancesInMaintenance() const
{
    std::set<std::string> instances;
    for (const auto &[waveId, progress] : m_waves) {
        for (const auto &[id, member] : progress.instances) {
            if (member.phase != MaintenancePhase::Waiting && member.phase != MaintenancePhase::Finished) {
                instances.insert(id);
            }
        }
    }
    return instances;
}

void WavePlanner::maintenanceBegun(std::int64_t wave, const std::string &id, TimePoint now)
{
    WaveInstance &member = m_waves[wave].instances[id];
    member.phase = MaintenancePhase::Down;
    member.phaseSince = now;
}

void WavePlanner::maintenanceRefused(std::int64_t wave, const std::string &id, bool permanent, TimePoint now)
{
    WaveInstance &member = m_waves[wave].instances[id];
    member.phase = permanent ? MaintenancePhase::Finished : MaintenancePhase::Vacating;
    member.requestedAt = now;
}

const PooledInstance *WavePlanner::findInstance(const std::string &id) const
{
    const auto found = m_instances.find(id);
    return found == m_instances.end() ? nullptr : &found->second;
}

bool WavePlanner::isVacated(const PooledInstance &instance) const
{
    return instance.executor.empty() || m_sparePools.contains(instance.pool) || m_vacated.isVacated(instance.executor);
}

std::map<std::string, int> WavePlanner::disruptedPerPool() const
{
    std::map<std::string, int> disrupted;
    for (const auto &[waveId, progress] : m_waves) {
        for (const auto &[id, member] : progress.instances) {
            const PooledInstance *present = findInstance(id);
            if (present != nullptr && member.phase != MaintenancePhase::Waiting
                && member.phase != MaintenancePhase::Finished) {
                ++disrupted[present->pool];
            }
        }
    }
    return disrupted;
}

/// Lets the other instances of a wave go first while an executor cannot be vacated.
void WavePlanner::postponeBlockedInstances(TimePoint now)
{
    for (auto &[waveId, progress] : m_waves) {
        for (auto &[id, member] : progress.instances) {
            if (member.phase == MaintenancePhase::Vacating && m_vacated.isBlocked(member.executor)) {
                const int doublings = std::min(member.blockedAttempts++, m_settings.maxBackoffDoublings);
                member.phase = MaintenancePhase::Waiting;
                member.notBefore = now + m_settings.blockedBackoff * (1 << doublings);
            }
        }
    }
}

std::vector<MaintenanceRequest> WavePlanner::tick(TimePoint now, std::size_t limit)
{
    postponeBlockedInstances(now);
    std::vector<MaintenanceRequest> requests;
    std::map<std::string, int> disrupted = disruptedPerPool();
    for (auto &[waveId, progress] : m_waves) {
        int downCount = 0;
        int vacatingCount = 0;
        for (const auto &[id, member] : progress.instances) {
            const PooledInstance *present = findInstance(id);
            const bool isCountedByPhase
                = member.phase == MaintenancePhase::Requested || member.phase == MaintenancePhase::Down;
            const bool isListedDown = present != nullptr && present->state == InstanceAvailability::Maintenance
                && member.phase != MaintenancePhase::Finished;
            downCount += isCountedByPhase || isListedDown ? 1 : 0;
            vacatingCount += member.phase == MaintenancePhase::Vacating ? 1 : 0;
        }
        for (const std::string &id : vacatingOrder(progress)) {
            WaveInstance &member = progress.instances.at(id);
            const PooledInstance *present = findInstance(id);
            if (present == nullptr) {
                continue;
            }
            if (member.phase == MaintenancePhase::Waiting && present->state == InstanceAvailability::Up
                && now >= member.notBefore && !m_moving.contains(id)) {
                const bool isSpare = m_sparePools.contains(present->pool);
                const int disruptionLimit = std::max(1, m_poolSizes[present->pool] / m_settings.poolDivisor);
                if (vacatingCount + downCount < progress.wave.maxConcurrent + m_settings.maxVacatingAhead
                    && (isSpare || disrupted[present->pool] < disruptionLimit)) {
                    member.phase = MaintenancePhase::Vacating;
                    member.executor = present->executor;
                    member.phaseSince = now;
                    ++vacatingCount;
                    ++disrupted[present->pool];
                }
            }
            const bool isRepetition = member.phase == MaintenancePhase::Requested
                && now - member.requestedAt > 3 * m_settings.retryInterval;
            const bool isDue = member.phase == MaintenancePhase::Vacating
                && now - member.requestedAt > m_settings.retryInterval && present->state == InstanceAvailability::Up
                && isVacated(*present) && downCount < progress.wave.maxConcurrent;
            if ((isRepetition || isDue) && requests.size() < limit) {
                downCount += isDue ? 1 : 0;
                member.executor = present->executor;
                member.phase = MaintenancePhase::Requested;
                member.requestedAt = now;
                requests.push_back({id, waveId, present->executor});
            }
        }
    }
    return requests;
}

std::set<std::string> WavePlanner::vacating() const
{
    std::set<std::string> executors;
    for (const auto &[waveId, progress] : m_waves) {
        for (const auto &[id, member] : progress.instances) {
            if ((member.phase == MaintenancePhase::Vacating || member.phase == MaintenancePhase::Requested)
                && !member.executor.empty()) {
                executors.insert(member.executor);
            }
        }
    }
    return executors;
}

std::map<std::int64_t, std::set<std::string>> WavePlanner::begunInstances(bool withCompleted) const
{
    std::map<std::int64_t, std::set<std::string>> begun;
    for (const auto &[waveId, progress] : m_waves) {
        if (progress.isCompletionPublished && !withCompleted) {
            continue;
        }
        for (const auto &[id, member] : progress.instances) {
            if (member.phase == MaintenancePhase::Down || member.phase == MaintenancePhase::Finished) {
                begun[waveId].insert(id);
            }
        }
    }
    return begun;
}

std::vector<std::int64_t> WavePlanner::unpublishedCompletions() const
{
    std::vector<std::int64_t> waves;
    for (const auto &[waveId, progress] : m_waves) {
        const bool allBegun = std::all_of(progress.instances.begin(), progress.instances.end(), [](const auto &entry) {
            return entry.second.phase == MaintenancePhase::Down || entry.second.phase == MaintenancePhase::Finished;
        });
        if (allBegun && !progress.isCompletionPublished) {
            waves.push_back(waveId);
        }
    }
    return waves;
}

std::vector<std::int64_t> WavePlanner::unpublishedStarts() const
{
    std::vector<std::int64_t> waves;
    for (const auto &[waveId, progress] : m_waves) {
        if (!progress.isRunningPublished) {
            waves.push_back(waveId);
        }
    }
    return waves;
}

void WavePlanner::runningPublished(std::int64_t wave)
{
    m_waves[wave].isRunningPublished = true;
}

void WavePlanner::completionPublished(std::int64_t wave)
{
    m_waves[wave].isRunningPublished = true;
    m_waves[wave].isCompletionPublished = true;
}

bool WavePlanner::allWavesCompleted() const
{
    return std::all_of(m_waves.begin(), m_waves.end(),
                       [](const auto &entry) { return entry.second.isCompletionPublished; });
}

}
