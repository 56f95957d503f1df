#pragma once

// Which instances of the maintenance waves must become empty now, and which may go down. Decisions only.
//
// Index
// [1] Settings and state
// [2] The planner

#include "deployment.h"

#include <set>

namespace briarvane
{

// [1] Settings and state ----------------------------------------------------------------------------------------------

struct WavePlannerSettings
{
    int emptyAhead = 2;                // instances that are being emptied beyond those that may be down
    int poolShare = 4;                 // at most one in this many of a pool is away at once
    Duration requestRepeat{700'000};   // a refused request is repeated after this
    Duration returnLimit{15'000'000};  // an instance that is not back by then no longer holds a wave up
};

enum class WaveStep {
    Waiting,    // not begun
    Emptying,   // its tasks are moved away
    Requested,  // the request is on its way, or its answer is missing
    Away,       // down for its maintenance
    Back,       // up again, or gone for good
};

struct WaveInstance
{
    WaveStep step = WaveStep::Waiting;
    std::string executor;  // incarnation before the maintenance
    TimePoint since;
    TimePoint requestedAt;
};

struct WaveState
{
    MaintenanceWave wave;
    TimePoint learned;
    std::map<std::string, WaveInstance> instances;
    bool reported = false;   // the status in the store says completed
    bool announced = false;  // the status in the store says running
};

struct MaintenanceRequest
{
    std::string instance;
    std::int64_t wave = 0;
};

// [2] The planner -----------------------------------------------------------------------------------------------------

class WavePlanner
{
public:
    explicit WavePlanner(WavePlannerSettings settings);

    void addWave(const MaintenanceWave &wave, const std::set<std::string> &begun, TimePoint now);
    void setInstances(std::vector<PooledInstance> instances, const std::set<std::string> &sparePools, TimePoint now);
    void setVacated(std::set<std::string> executors);   // empty, by their owners' word
    void setReserved(std::set<std::string> instances);  // that are being moved
    std::set<std::string> busy() const;                 // instances that are being emptied or are away
    void begun(std::int64_t wave, const std::string &instance, TimePoint now);
    void refused(std::int64_t wave, const std::string &instance, bool forGood, TimePoint now);

    /// Requests that are due now. Each is answered by begun() or refused(), or repeated when neither comes.
    std::vector<MaintenanceRequest> tick(TimePoint now);
    std::set<std::string> vacating() const;  // executors that must take no work
    std::map<std::int64_t, std::set<std::string>> begunInstances() const;
    /// Waves whose every instance has begun its maintenance, and which are not reported yet.
    std::vector<std::int64_t> completedWaves() const;
    std::vector<std::int64_t> unannouncedWaves() const;
    void announced(std::int64_t wave);
    void reportedCompleted(std::int64_t wave);
    bool idle() const;  // no wave has anything left to do

private:
    const PooledInstance *instance(const std::string &id) const;
    bool isEmpty(const PooledInstance &instance) const;
    std::map<std::string, int> awayPerPool() const;

    WavePlannerSettings m_settings;
    std::map<std::int64_t, WaveState> m_waves;
    std::map<std::string, PooledInstance> m_instances;
    std::map<std::string, int> m_poolSizes;
    std::set<std::string> m_sparePools;
    std::set<std::string> m_vacated;
    std::set<std::string> m_reserved;
};

}
