#pragma once

// Decides which instances change their pool, so that capacity follows the demand of the queues. Takes its time from
// the caller and does no input or output.
//
// Expected load: the queues have demand peaks one after another. In its peak a queue demands for some seconds about
// five times its mean, which is more than its pool holds; between peaks it demands about a twentieth of the mean.
// Costs: an instance in a pool costs for every second, and a move costs about as much as one second of an instance.
// A move takes 1.5 s and ends the tasks on the instance, so only empty instances are moved.
// A pool with more instances than it requires releases those without long-running tasks: their executors get no new
// work until they are empty, and the instances then move to a pool that requires more, or else to a spare pool, where
// they cost nothing. A pool with a backlog that the spare pools cannot cover borrows from pools that do not use theirs.
// A peak that recurs is expected, and instances move into its pool before it begins.
//
// Index
// [1] Settings and inputs
// [2] The planner

#include "demand_forecast.h"
#include "deployment.h"
#include "vacated_reports.h"

#include <deque>
#include <functional>
#include <limits>
#include <set>
#include <tuple>

namespace briarvane
{

// [1] Settings and inputs ---------------------------------------------------------------------------------------------

struct PoolPlannerSettings
{
    /// The demanded cores are multiplied by this factor, because placement cannot fill every instance.
    double headroom = 1.1;
    /// Minimum size of a pool, as a share of the mean pool size, which counts the spare instances too. A pool has to
    /// serve the first moments of a demand peak with this size.
    double minSizeShare = 0.85;
    /// Minimum size of a pool while it lends to a pool with a backlog, as a share of the mean pool size. It serves the
    /// first moments of the pool's own peak, also while the store or the machines API is down and nothing can move.
    double lendingSizeShare = 0.5;
    /// A pool that lends keeps at least this many instances, or its minimum size if that is less: a few jobs take all
    /// room of fewer, and the loan has to be replaced at once.
    int minLendingSize = 10;
    /// A pool borrows only if it lacks more than this share of its instances: each loan takes an instance out of use
    /// for the time of a move.
    double minLoanShare = 0.1;
    /// Time before an expected peak from which on a pool requires the instances for it: the time to vacate and to move
    /// them.
    Duration peakLead{3'000'000};
    /// Share of the demand of its last peak that a pool requires ahead of the next one. The rest follows the demand.
    double peakShare = 0.7;
    /// Time over which the rise of the demand is measured.
    Duration trendWindow{500'000};
    /// The measured rise is extrapolated over this time, which a move takes, to at most twice the present demand.
    Duration trendHorizon{1'500'000};
    /// A pool releases only instances that it did not require at any moment of this window, since demand falls and
    /// rises again between the steps of a job.
    Duration scaleDownWindow{1'500'000};
    /// Pause after a refused move: the instance is busy, or the minimum time between the requests of two successive
    /// owners for one instance has not passed.
    Duration refusalBackoff{2'000'000};
    /// A move that was not answered is requested again after this time.
    Duration retryInterval{1'500'000};
    /// An accepted move whose instance has not come up in its new pool within this time is dropped.
    Duration arrivalTimeout{6'000'000};
    /// A pool whose last load is older than this is sized as the mean of the pools: the owner that reported the load
    /// may have ended.
    Duration maxLoadAge{3'000'000};
};

/// Load of one pool as the owner of its partition reports it.
struct PoolLoad
{
    int demandMilliCores = 0;                  // demand of tasks that run, wait or become ready soon
    int inTimeMilliCores = 0;                  // the part of jobs that can still meet their latency objective
    std::map<std::string, int> demandByLabel;  // the part of the demand that requires a label: milli-cores by label
    int minExecutors = 0;                      // minimum number of executors for the steps of long-running tasks
    std::set<std::string> idle;                // executors without runs
    std::set<std::string> withoutLongRunning;  // other executors, without runs of long-running tasks
    std::set<std::string> emptySoon;           // those of the latter whose runs are about to end, by the declared times
    TimePoint receivedAt;                      // when this process received the report
};

enum class MoveReason {
    Demand,   // the target pool demands more than it has, and the instance was spare or about to become spare
    Loan,     // as Demand, but the instance comes from a pool that keeps less than its minimum size meanwhile
    Peak,     // the target pool is expected to have a demand peak soon
    MinSize,  // the target pool is below its minimum size
    Label,    // jobs of the target pool require a label of the instance
    Excess,   // the source pool does not require the instance, and it moves to a spare pool
};

template<>
struct EnumNames<MoveReason>
{
    static constexpr std::array<EnumName<MoveReason>, 6> names = {{{MoveReason::Demand, "demand"},
                                                                   {MoveReason::Loan, "loan"},
                                                                   {MoveReason::Peak, "peak"},
                                                                   {MoveReason::MinSize, "min-size"},
                                                                   {MoveReason::Label, "label"},
                                                                   {MoveReason::Excess, "excess"}}};
};

struct MoveRequest
{
    std::string instance;
    std::string pool;
    std::string sourcePool;
    MoveReason reason = MoveReason::Excess;
    std::string executor;  // incarnation that the move ends; empty: the instance was spare
};

/// Load of a pool from the loads of the partitions of its service. It is as old as the oldest of them.
PoolLoad combineLoads(const std::vector<PoolLoad> &partitions);
std::string encodePoolLoad(const PoolLoad &load);
Result<PoolLoad> parsePoolLoad(std::string_view text, TimePoint now);

// [2] The planner -----------------------------------------------------------------------------------------------------

class PoolPlanner
{
public:
    explicit PoolPlanner(PoolPlannerSettings settings);

    void setInstances(const std::vector<PooledInstance> &instances, const std::set<std::string> &sparePools,
                      TimePoint now);
    void setLoad(const std::string &pool, PoolLoad load);
    /// Vacated executors, each with the revision of the list of vacating executors that its owner reported on.
    void setVacated(std::map<std::string, std::uint64_t> executors);
    /// Blocked executors, each with the revision of the list that its owner reported on, see VacatedReport.
    void setBlocked(std::map<std::string, std::uint64_t> executors);
    /// The stored list of vacating executors and its revision, see VacatedReports.
    void setPublishedVacating(const std::set<std::string> &executors, std::uint64_t revision);
    /// Instances that a maintenance wave is emptying or has taken down; the planner leaves these alone.
    void setInMaintenance(std::set<std::string> instances);
    void moveAccepted(const std::string &instanceId, TimePoint now);
    /// `permanent`: the target pool takes no instances of this kind, that is, with the same first label.
    void moveRefused(const std::string &instanceId, bool permanent, TimePoint now);

    /// Returns the moves that are to be requested now, at most `limit`.
    std::vector<MoveRequest> tick(TimePoint now, std::size_t limit = std::numeric_limits<std::size_t>::max());
    std::set<std::string> vacating() const;         // executors that must get no new work
    std::set<std::string> movingInstances() const;  // instances with a planned, requested or accepted move
    bool hasMoves() const;

private:
    struct Move
    {
        std::string targetPool;
        std::string sourcePool;
        std::string executor;  // incarnation that must be vacated before the move; empty for a spare instance
        TimePoint requestedAt;
        MoveReason reason = MoveReason::Excess;
        bool accepted = false;
    };

    /// What a pool keeps while others need instances.
    enum class Floor { MinSize, Lending };

    struct DemandSample
    {
        TimePoint time;
        int milliCores = 0;
        int inTimeMilliCores = 0;
    };

    /// Instances that a pool lacks after all planned moves.
    struct Shortage
    {
        int forDemand = 0;        // to run the jobs that can still meet their latency objective
        int total = 0;            // to run all jobs, and to have the minimum size
        bool isExpected = false;  // the pool lacks instances for an expected peak, not for its present demand
        std::string pool;

        /// Orders by urgency: the largest shortage for jobs that can be in time comes first.
        bool operator<(const Shortage &other) const
        {
            return std::tuple(other.forDemand, other.total, other.pool) < std::tuple(forDemand, total, pool);
        }
    };

    /// Number of instances of the pool after all planned moves, without instances that are down.
    int instanceCount(const std::string &pool) const;
    /// As instanceCount(), without the instances that a maintenance wave empties or has taken down.
    int usableInstances(const std::string &pool) const;
    int largestInstance(const std::string &pool) const;                    // milli-cores
    const std::string &plannedPool(const PooledInstance &instance) const;  // the instance's pool after its move
    /// Milli-cores of the pool's instances with the label after all planned moves, without instances that are down.
    int milliCoresWithLabel(const std::string &pool, const std::string &label) const;
    /// Whether the pool needs the instance: the instance is the last one in its pool with its first label (its kind),
    /// or the pool's jobs require a label of the instance and the other instances with the label have too few cores.
    /// `kinds`: kindsAfterMoves() of its pool.
    bool isRequiredByPool(const PooledInstance &instance, const std::map<std::string, int> &kinds) const;
    /// Numbers of instances of each kind that the pool has after all planned moves, without instances that are down.
    std::map<std::string, int> kindsAfterMoves(const std::string &pool) const;
    int instancesForDemand(const std::string &pool, int milliCores) const;
    /// Number of instances that a pool requires for the given demand; none while the pool has reported no load.
    std::optional<int> requiredInstances(const std::string &pool, int milliCores, Floor floor, TimePoint now) const;
    /// Instances that the pool has beyond those that it required at any moment of the scale-down window.
    int excessInstances(const std::string &pool, TimePoint now) const;
    /// Milli-cores that the pool is expected to demand when an instance whose move is requested now has come up.
    int expectedDemand(const std::string &pool, int DemandSample::*demand) const;
    /// Instances that each pool should have for the jobs that can still meet their latency objective. If there are too
    /// few instances for all pools, those that need the least get all they need, and the others equal numbers.
    std::map<std::string, int> fairShares(TimePoint now) const;
    /// Milli-cores that the pool requires for a peak that is expected to begin within the lead time, else 0.
    int expectedPeak(const std::string &pool, TimePoint now) const;
    std::vector<Shortage> shortages(const std::map<std::string, int> &shares, TimePoint now) const;
    /// All instances, the spare ones included, divided by the number of pools that are not spare.
    int meanPoolSize() const;
    bool mayMove(const PooledInstance &instance, const std::string &pool, TimePoint now) const;
    std::optional<std::string> sparePoolFor(const PooledInstance &instance, TimePoint now) const;
    bool isVacated(const Move &move) const;
    bool isRequested(const Move &move) const;
    enum class BusyInstances { Stay, MayLeave };

    /// Calls `release` with the instances that may leave the pool, those that are empty first, until it has accepted
    /// `count`. Instances are busy if they have tasks that are not about to end.
    void releaseInstances(const std::string &pool, int count, BusyInstances busy,
                          const std::function<bool(const PooledInstance &)> &release);
    void planScaleDown(TimePoint now);
    void planScaleUp(TimePoint now);
    void planLoans(std::vector<Shortage> shortages, const std::map<std::string, int> &shares, TimePoint now);
    void planLabelDemand(std::vector<std::string> &available, TimePoint now);
    /// Cancels planned moves out of pools that require the instances again, and loans that are not required any more.
    void dropBlockedMoves(TimePoint now);
    void cancelMoves(const std::map<std::string, int> &shares, TimePoint now);

    PoolPlannerSettings m_settings;
    std::map<std::string, PooledInstance> m_instances;
    std::set<std::string> m_sparePools;
    std::map<std::string, PoolLoad> m_loads;
    std::map<std::string, std::deque<DemandSample>> m_demandHistory;  // by pool, latest last
    DemandForecast m_forecast;
    VacatedReports m_vacated;
    std::set<std::string> m_inMaintenance;
    std::map<std::string, Move> m_moves;                           // by instance
    std::map<std::string, TimePoint> m_backoffUntil;               // by instance whose move was refused
    std::set<std::pair<std::string, std::string>> m_incompatible;  // kind (first label), and pool that refuses it
    std::map<std::string, std::string> m_originalPools;            // pool of each instance when it was first listed
};

}
