#pragma once

// Decides which instances of the maintenance waves are to be vacated now and which may go down. Takes its time from the
// caller and does no input or output.
//
// Index
// [1] Settings and state
// [2] The planner

#include "deployment.h"
#include "vacated_reports.h"

#include <limits>
#include <set>

namespace briarvane
{

// [1] Settings and state ----------------------------------------------------------------------------------------------

struct WavePlannerSettings
{
    /// Instances of a wave that may be vacating or vacated in addition to those that may be down.
    int maxVacatingAhead = 2;
    /// Divides the size of a pool to give the number of its instances that may be vacating or down at once, at least
    /// one. Spare pools are exempt.
    int poolDivisor = 4;
    /// A refused request is repeated after this time, an unanswered request after three times this time.
    Duration retryInterval{700'000};
    /// An instance whose executor cannot be vacated now is tried again after this time, which doubles with each
    /// attempt.
    Duration blockedBackoff{5'000'000};
    int maxBackoffDoublings = 4;
    /// An instance that is not up again within this time after its maintenance began no longer delays its wave.
    Duration returnTimeout{15'000'000};
};

enum class MaintenancePhase {
    Waiting,    // not begun
    Vacating,   // the instance's executor gets no new work and must become empty
    Requested,  // the maintenance was requested and the request is not answered yet
    Down,       // down for its maintenance
    Finished,   // up again, no longer listed, permanently refused, or not up within the return timeout
};

struct WaveInstance
{
    MaintenancePhase phase = MaintenancePhase::Waiting;
    std::string executor;  // incarnation before the maintenance
    TimePoint phaseSince;
    TimePoint requestedAt;
    TimePoint notBefore;  // no attempt to vacate the instance before this time
    int blockedAttempts = 0;
};

struct WaveProgress
{
    MaintenanceWave wave;
    TimePoint addedAt;
    std::map<std::string, WaveInstance> instances;
    bool isCompletionPublished = false;  // the status in the store says that the wave is completed
    bool isRunningPublished = false;     // the status in the store says that the wave is running
};

struct MaintenanceRequest
{
    std::string instance;
    std::int64_t wave = 0;
    std::string executor;  // incarnation that the maintenance ends; empty: the instance is listed without one
};

// [2] The planner -----------------------------------------------------------------------------------------------------

class WavePlanner
{
public:
    explicit WavePlanner(WavePlannerSettings settings);

    /// `begunInstances`: instances whose maintenance has begun under an earlier owner.
    void addWave(const MaintenanceWave &wave, const std::set<std::string> &begunInstances, TimePoint now);
    /// All instances, as listed by a call that was sent at `askedAt`.
    void setInstances(std::vector<PooledInstance> instances, const std::set<std::string> &sparePools,
                      TimePoint askedAt);
    /// Vacated executors, each with the revision of the list of vacating executors that its owner reported on.
    void setVacated(std::map<std::string, std::uint64_t> executors);
    /// Blocked executors, each with the revision of the list that its owner reported on, see VacatedReport.
    void setBlocked(std::map<std::string, std::uint64_t> executors);
    /// The stored list of vacating executors and its revision, see VacatedReports.
    void setPublishedVacating(const std::set<std::string> &executors, std::uint64_t revision);
    /// Sets the instances that are moving between pools. Waves do not start to vacate them during the move.
    void setMoving(std::set<std::string> instances);
    /// Milli-cores that the pool's jobs demand. Instances of pools that use little of their room are vacated first.
    void setDemand(const std::string &pool, int milliCores);
    std::set<std::string> instancesInMaintenance() const;  // instances that are vacating, requested or down
    void maintenanceBegun(std::int64_t wave, const std::string &id, TimePoint now);
    /// `permanent`: the instance will never accept; the wave continues without it.
    void maintenanceRefused(std::int64_t wave, const std::string &id, bool permanent, TimePoint now);

    /// Returns the requests that are due now, at most `limit`. Each is answered by maintenanceBegun() or
    /// maintenanceRefused(), or repeated while no answer comes.
    std::vector<MaintenanceRequest> tick(TimePoint now, std::size_t limit = std::numeric_limits<std::size_t>::max());
    std::set<std::string> vacating() const;  // executors that must get no new work
    /// Instances whose maintenance has begun or that are finished, by wave; `withCompleted`: also of waves whose
    /// completion is published.
    std::map<std::int64_t, std::set<std::string>> begunInstances(bool withCompleted) const;
    /// Waves in which the maintenance of every instance has begun, and whose status in the store does not say so yet.
    std::vector<std::int64_t> unpublishedCompletions() const;
    /// Waves whose status in the store does not say yet that they are running.
    std::vector<std::int64_t> unpublishedStarts() const;
    void runningPublished(std::int64_t wave);
    void completionPublished(std::int64_t wave);
    bool allWavesCompleted() const;  // true once the completion of every wave is published

private:
    const PooledInstance *findInstance(const std::string &id) const;
    bool isVacated(const PooledInstance &instance) const;
    void postponeBlockedInstances(TimePoint now);
    std::map<std::string, int> disruptedPerPool() const;
    /// The instances of a wave in the order in which they are to be vacated.
    std::vector<std::string> vacatingOrder(const WaveProgress &progress) const;

    WavePlannerSettings m_settings;
    std::map<std::int64_t, WaveProgress> m_waves;
    std::map<std::string, PooledInstance> m_instances;
    std::map<std::string, int> m_poolSizes;
    std::map<std::string, double> m_poolRoom;  // milli-cores
    std::map<std::string, double> m_demand;    // milli-cores by pool
    std::set<std::string> m_sparePools;
    VacatedReports m_vacated;
    std::set<std::string> m_moving;
};

}
