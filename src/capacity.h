#pragma once

// Policies that decide how many instances each pool should have.
//
// The demand of a pool bursts for some seconds, in one pool after another. A move needs a drain and the confirmation of
// all entries, so an instance that is moved when a burst is observed mostly arrives after the burst. The replay policy
// therefore sizes pools for the demand of the last minutes, and moves an instance only for a gain that outlasts its
// minimum stay in the new pool.
//
// Index
// [1] Input and output
// [2] The CapacityPolicy concept
// [3] Threshold policy (baseline)
// [4] Forecast of bursts
// [5] Replay policy

#include "sheet.h"

#include <map>

namespace briarvane
{

// [1] Input and output ------------------------------------------------------------------------------------------------

/// State of one pool at the time of a decision.
struct CapacityPool
{
    PoolId id;
    double queued = 0;    // waiting requests
    double arrivals = 0;  // requests per second since the previous decision
    double slotsInUse = 0;
    Duration meanServiceTime{50'000};  // estimated from completed requests
    double shortShare = 1;             // share of the arriving work (requests x service time) that is urgent or short
    int slots = 8;                     // slots per instance
    int instances = 0;                 // instances that serve now
    int arriving = 0;                  // instances that are moving into the pool or rebooting
    int minInstances = 0;
    int maxInstances = 0;       // 0: no limit
    double availability = 0.9;  // availability objective, 0..1: the strictest one of the pool's services
    bool spare = false;
    int allowedDepartures = 0;             // number of instances that the disruption budget allows to leave now
    std::vector<Duration> timesSinceMove;  // one value for each serving instance
};

struct CapacityMove
{
    PoolId from;
    PoolId to;
    int count = 1;  // instances to move: those with the longest time since their last move

    bool operator==(const CapacityMove &) const = default;
};

/// Minimum time between two moves of an instance. An instance that moves back within a minute is a fault.
constexpr Duration MinimumStay{60'000'000};
constexpr Duration CapacityPeriod{1'000'000};  // time between decisions

// [2] The CapacityPolicy concept --------------------------------------------------------------------------------------

/// decide() is called once every CapacityPeriod with all pools. A policy may keep a history of its input; the history
/// is empty after a restart of the process.
template<class P>
concept CapacityPolicy = requires(P policy, const std::vector<CapacityPool> &pools, TimePoint now)
{
    {
        policy.decide(pools, now)
        } -> std::same_as<std::vector<CapacityMove>>;
};

// [3] Threshold policy (baseline) -------------------------------------------------------------------------------------

/// Moves one instance into each pool whose utilization is above `high`, from the spare pool or else from the least
/// utilized pool, and one instance to the spare pool from each pool whose utilization is below `low`. Does not consider
/// the minimum stay and does not predict bursts.
class ThresholdPolicy
{
public:
    /// Bounds of the utilization of a pool: (slots in use + queued requests) / slots of all instances, including those
    /// that are arriving.
    double high = 0.8;
    double low = 0.2;

    std::vector<CapacityMove> decide(const std::vector<CapacityPool> &pools, TimePoint now);
};

// [4] Forecast of bursts ----------------------------------------------------------------------------------------------

/// Predicts the bursts of pools that burst one after another in a recurring order, from the observed order and lengths.
class BurstForecast
{
public:
    /// Records the demand of each pool in one period, as the number of instances that the arriving work keeps busy.
    void observe(const std::vector<double> &demand, TimePoint now);

    /// Whether enough periods were observed and most of the recent bursts were predicted.
    bool reliable() const;

    /// Returns the expected demand of each pool, one list per pool, for the periods after the last observed one.
    /// `lengthFactor` scales the mean length of bursts.
    std::vector<std::vector<double>> forecast(std::size_t periods, double lengthFactor) const;

private:
    struct PoolBursts
    {
        /// Mean of the demand. The first periods are weighted equally, later ones exponentially.
        double mean = 0;
        double burstDemand = 0;  // exponentially weighted mean of the demand in bursts
        double quietDemand = 0;  // exponentially weighted mean of the demand between bursts
        bool bursting = false;
        std::optional<std::size_t> successor;  // pool that burst next after the last burst of this pool
    };

    std::vector<PoolBursts> m_bursts;
    std::optional<std::size_t> m_burstingPool;  // pool whose burst began last
    TimePoint m_burstSince;
    TimePoint m_now;
    /// Exponentially weighted mean time in seconds from the start of a burst to the start of the next one.
    double m_meanBurstLength = 0;
    double m_hitRate = 0;        // exponentially weighted fraction of bursts that began in the predicted pool
    std::size_t m_observed = 0;  // number of observed periods
};

// [5] Replay policy ---------------------------------------------------------------------------------------------------

/// Cost of one unit of each measure. All weights have the same unit, so that the replay policy can add the costs up.
struct CapacityWeights
{
    double wait = 1;                // one short request waiting for one second
    double longWait = 0.01;         // one long request waiting for one second
    double buffer = 1;              // one instance idle outside the spare pool for one second
    double move = 1;                // one move
    bool anticipateBursts = false;  // whether to move instances before predicted bursts; needs many more moves
    double rollOut = 0;  // cost per second for each round of reboots that a maintenance wave needs in the pool
};

/// Weights for a user's profile.
CapacityWeights capacityWeights(Profile profile);

/// Keeps the demand of the last minutes and simulates each pool under that demand with one instance more and one less.
/// Moves one instance at a time to where the simulated weighted cost falls by more than the move costs.
class ReplayPolicy
{
public:
    explicit ReplayPolicy(CapacityWeights weights);

    std::vector<CapacityMove> decide(const std::vector<CapacityPool> &pools, TimePoint now);

private:
    struct History
    {
        std::vector<float> demand;  // ring buffer of the demand in each period, in instances
        std::size_t next = 0;       // index of the oldest value once the ring buffer is full
    };

    /// Weighted cost per second of the pool under the recorded demand if it had `size` instances.
    double replayCost(const CapacityPool &pool, const History &history, int size) const;

    CapacityWeights m_weights;
    std::vector<CapacityMove> planByReplay(const std::vector<CapacityPool> &pools) const;
    std::vector<CapacityMove> planByForecast(const std::vector<CapacityPool> &pools) const;

    BurstForecast m_burstForecast;
    std::map<std::string, History> m_histories;
    std::optional<TimePoint> m_lastPlan;
    TimePoint m_startedAt;
    bool m_hasStarted = false;
};

}
