#pragma once

// How many instances each pool should have.
// Bursts last seconds and take turns, and a move takes a drain and a confirmation, so that an instance that is moved
// when a burst is seen mostly arrives after it. The policy here sizes pools for the demand of the last minutes and
// moves an instance only for a gain that outlasts its minimum stay.
//
// Index
// [1] Input and output
// [2] The CapacityPolicy concept
// [3] Threshold policy (baseline)
// [4] Turns of bursts
// [5] Replay policy

#include "sheet.h"

#include <map>

namespace briarvane
{

// [1] Input and output ------------------------------------------------------------------------------------------------

/// One pool as seen at the time of a decision.
struct CapacityPool
{
    PoolId id;
    double queued = 0;    // requests that wait
    double arrivals = 0;  // requests per second since the decision before
    double slotsInUse = 0;
    Duration meanService{50'000};  // learned mean service time
    double shortShare = 1;         // share of the arriving work (requests x service time) that is urgent or short
    int slots = 8;                 // per instance
    int instances = 0;             // that serve now; those on the way to the pool are in `arriving`
    int arriving = 0;
    int minInstances = 0;
    int maxInstances = 0;       // 0: no bound
    double availability = 0.9;  // strictest of its services, 0..1
    bool spare = false;
    int mayLeave = 0;             // instances that the disruption budget lets out now
    std::vector<Duration> stays;  // time since the last move, one for each instance that serves
};

struct CapacityMove
{
    PoolId from;
    PoolId to;
    int count = 1;  // the instances with the longest stay

    bool operator==(const CapacityMove &) const = default;
};

constexpr Duration MinimumStay{60'000'000};    // an instance that moves back within a minute is a fault
constexpr Duration CapacityPeriod{1'000'000};  // time between decisions

// [2] The CapacityPolicy concept --------------------------------------------------------------------------------------

/// Called once every CapacityPeriod with all pools. A policy may learn from its input; it starts without knowledge
/// after a restart.
template<class P>
concept CapacityPolicy = requires(P policy, const std::vector<CapacityPool> &pools, TimePoint now)
{
    {
        policy.decide(pools, now)
        } -> std::same_as<std::vector<CapacityMove>>;
};

// [3] Threshold policy (baseline) -------------------------------------------------------------------------------------

/// Takes one instance from the spare pool, or else from the least utilized one, while a pool's utilization is above
/// `high`, and gives one back to the spare pool while it is below `low`. Knows neither stays nor bursts.
class ThresholdPolicy
{
public:
    double high = 0.8;
    double low = 0.2;

    std::vector<CapacityMove> decide(const std::vector<CapacityPool> &pools, TimePoint now);
};

// [4] Turns of bursts -------------------------------------------------------------------------------------------------

/// Learns in which order pools burst and for how long, as far as they take turns.
class TurnForecast
{
public:
    /// One period's demand of each pool, in instances' worth of arriving work.
    void observe(const std::vector<double> &demand, TimePoint now);

    /// True once the last turns were foreseen and each pool's burst was seen.
    bool reliable() const;

    /// Expected demand of each pool for the periods after the last one, one list a pool. `stretch` scales the length of
    /// turns.
    std::vector<std::vector<double>> forecast(std::size_t periods, double stretch) const;

private:
    struct PoolTurns
    {
        double mean = 0;  // decaying
        double high = 0;  // decaying mean while it bursts
        double low = 0;   // decaying mean in between
        bool bursting = false;
        std::optional<std::size_t> successor;
    };

    std::vector<PoolTurns> m_pools;
    std::optional<std::size_t> m_current;  // pool whose burst began last
    TimePoint m_currentSince;
    TimePoint m_now;
    double m_length = 0;  // decaying mean of a turn, seconds
    double m_hits = 0;    // decaying share of turns that were foreseen
    std::size_t m_observed = 0;
};

// [5] Replay policy ---------------------------------------------------------------------------------------------------

/// What one unit of each measure costs, in the same unit for all.
struct CapacityWeights
{
    double wait = 1;         // one short request waiting for one second
    double longWait = 0.01;  // one long request waiting for one second
    double buffer = 1;       // one instance idle outside the spare pool for one second
    double move = 1;         // one move
    bool lend = false;       // move instances ahead of predicted bursts, at many more moves
    double rollOut = 0;      // one round of reboots more in a wave over a pool, for each second of its size
};

/// Weights of the users' profiles.
CapacityWeights capacityWeights(Profile profile);

/// Keeps the demand of the last minutes, replays it for each possible size of each pool, and moves one instance at a
/// time to where the replay says that the profile's weighted cost falls by more than the move costs.
class ReplayPolicy
{
public:
    explicit ReplayPolicy(CapacityWeights weights);

    std::vector<CapacityMove> decide(const std::vector<CapacityPool> &pools, TimePoint now);

private:
    struct History
    {
        std::vector<float> demand;  // instances' worth of arriving work, one value a period; a ring
        std::size_t next = 0;
    };

    /// Weighted cost per second of running the pool with `size` instances.
    double replayCost(const CapacityPool &pool, const History &history, int size) const;

    CapacityWeights m_weights;
    std::vector<CapacityMove> plan(const std::vector<CapacityPool> &pools) const;
    std::vector<CapacityMove> lend(const std::vector<CapacityPool> &pools) const;

    TurnForecast m_turns;
    std::map<std::string, History> m_histories;
    std::optional<TimePoint> m_lastPlan;
    TimePoint m_started;
    bool m_begun = false;
};

}
