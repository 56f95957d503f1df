#include "capacity.h"

#include <algorithm>
#include <cmath>

namespace briarvane
{

namespace
{

constexpr std::size_t HistoryLength = 600;  // number of periods; each pool bursts about ten times in them
constexpr std::size_t MinHistory = 120;     // periods before the first move; each pool bursts about twice in them
/// Time between two plans by replay. The result of a replay over minutes changes much more slowly than the present
/// demand.
constexpr Duration PlanPeriod{10'000'000};
constexpr std::size_t PoolsPerPlanMove = 10;  // a plan has at most 1 + pools / PoolsPerPlanMove moves
constexpr double GainHorizon = 300;           // seconds in which a move must pay for itself: five minimum stays

double utilization(const CapacityPool &pool)
{
    const double capacity = static_cast<double>(pool.instances + pool.arriving) * pool.slots;
    return capacity > 0 ? (pool.slotsInUse + pool.queued) / capacity : 2.0;
}

bool canGiveInstance(const CapacityPool &pool)
{
    return pool.allowedDepartures > 0 && pool.instances > std::max(1, pool.minInstances);
}

bool canTakeInstance(const CapacityPool &pool)
{
    return pool.maxInstances == 0 || pool.instances + pool.arriving < pool.maxInstances;
}

/// Whether the pool may lose an instance and has one whose minimum stay is over. The pool must stay large enough that
/// its disruption budget allows one instance to be down: otherwise no maintenance wave could reboot its instances, and
/// no instance could leave it again.
bool canMoveInstance(const CapacityPool &pool)
{
    return canGiveInstance(pool) && maxInstancesDown(pool.instances + pool.arriving - 1, pool.availability) > 0
        && std::any_of(pool.timesSinceMove.begin(), pool.timesSinceMove.end(),
                       [](Duration time) { return time >= MinimumStay; });
}

}

std::vector<CapacityMove> ThresholdPolicy::decide(const std::vector<CapacityPool> &pools, TimePoint /*now*/)
{
    std::vector<CapacityMove> moves;
    std::vector<CapacityPool> remaining = pools;
    const auto spare
        = std::find_if(remaining.begin(), remaining.end(), [](const CapacityPool &pool) { return pool.spare; });
    const auto move = [&](CapacityPool &from, CapacityPool &to) {
        moves.push_back({from.id, to.id, 1});
        --from.instances;
        --from.allowedDepartures;
        ++to.arriving;
    };
    for (CapacityPool &pool : remaining) {
        if (utilization(pool) > high && canTakeInstance(pool)) {
            CapacityPool *from
                = spare != remaining.end() && &*spare != &pool && canGiveInstance(*spare) ? &*spare : nullptr;
            for (CapacityPool &other : remaining) {
                const bool better = from == nullptr || (!from->spare && utilization(other) < utilization(*from));
                if (&other != &pool && canGiveInstance(other) && utilization(other) < high && better) {
                    from = &other;
                }
            }
            if (from != nullptr) {
                move(*from, pool);
            }
        } else if (utilization(pool) < low && !pool.spare && spare != remaining.end() && canGiveInstance(pool)
                   && canTakeInstance(*spare)) {
            move(pool, *spare);
        }
    }
    return moves;
}

// Forecast of bursts --------------------------------------------------------------------------------------------------

namespace
{

/// Weight of one period in the mean demand in bursts and in the mean demand between bursts. Each of the two means
/// covers about 20 periods.
constexpr double LevelDecay = 0.05;
/// Weight of one period in the mean demand, after the first 200 periods. The mean covers about 200 periods, in which
/// each pool bursts about four times.
constexpr double MeanDecay = 0.005;
constexpr double BurstDecay = 0.2;  // weight of one burst in the mean burst length and in the hit rate
/// Demand above this multiple of the mean is a burst. In bursts the demand is about 5 times the mean, between bursts
/// about a twentieth of it.
constexpr double BurstFactor = 2.0;
constexpr double MinHitRate = 0.8;        // hit rate from which the forecast is reliable
constexpr std::size_t MinObserved = 120;  // periods observed before the forecast is reliable

void decayTowards(double &mean, double value, double decay)
{
    mean = mean == 0 ? value : mean + decay * (value - mean);
}

}

void BurstForecast::observe(const std::vector<double> &demand, TimePoint now)
{
    m_bursts.resize(demand.size());
    m_now = now;
    ++m_observed;
    for (std::size_t i = 0; i < demand.size(); ++i) {
        PoolBursts &pool = m_bursts[i];
        // The first periods are weighted equally, later ones exponentially, so that the mean is usable early.
        pool.mean += std::max(MeanDecay, 1.0 / static_cast<double>(m_observed)) * (demand[i] - pool.mean);
        const bool bursting = demand[i] > BurstFactor * pool.mean;
        decayTowards(bursting ? pool.burstDemand : pool.quietDemand, demand[i], LevelDecay);
        if (bursting && !pool.bursting && m_burstingPool != i) {
            if (m_burstingPool) {
                const double length = std::chrono::duration<double>(now - m_burstSince).count();
                decayTowards(m_meanBurstLength, length, BurstDecay);
                m_hitRate += BurstDecay * ((m_bursts[*m_burstingPool].successor == i ? 1.0 : 0.0) - m_hitRate);
                m_bursts[*m_burstingPool].successor = i;
            }
            m_burstingPool = i;
            m_burstSince = now;
        }
        pool.bursting = bursting;
    }
}

bool BurstForecast::reliable() const
{
    return m_burstingPool && m_observed >= MinObserved && m_hitRate >= MinHitRate;
}

std::vector<std::vector<double>> BurstForecast::forecast(std::size_t periods, double lengthFactor) const
{
    const double period = std::chrono::duration<double>(CapacityPeriod).count();
    std::vector<std::vector<double>> demand;
    for (const PoolBursts &pool : m_bursts) {
        demand.emplace_back(periods, pool.quietDemand);
    }
    if (!m_burstingPool) {
        return demand;
    }
    std::optional<std::size_t> burstingPool = m_burstingPool;
    const double elapsed = std::chrono::duration<double>(m_now - m_burstSince).count();
    double end = std::max(period, m_meanBurstLength * lengthFactor - elapsed);
    for (std::size_t i = 0; i < periods && burstingPool; ++i) {
        if (static_cast<double>(i) * period >= end) {
            burstingPool = m_bursts[*burstingPool].successor;
            end += m_meanBurstLength * lengthFactor;
        }
        if (burstingPool) {
            demand[*burstingPool][i] = m_bursts[*burstingPool].burstDemand;
        }
    }
    return demand;
}

// Replay --------------------------------------------------------------------------------------------------------------

CapacityWeights capacityWeights(Profile profile)
{
    switch (profile) {
    case Profile::SwanCoast:
        return {0.075, 0.0008, 1.0, 5.0, true, 0.0};
    case Profile::Saaristo:
        return {0.3, 0.003, 1.0, 100.0, false, 0.5};
    }
    return {};
}

namespace
{

constexpr std::size_t MovePeriods = 5;     // periods that a move takes for the drain and its confirmation
constexpr std::size_t StayPeriods = 60;    // number of periods in MinimumStay
constexpr std::size_t MovesPerPeriod = 8;  // limits the computing time of one decision

/// Weighted cost of the pool under the forecast demand, with `before` instances during a move and `after` from then on.
double forecastCost(const CapacityWeights &weights, const CapacityPool &pool, const std::vector<double> &demand,
                    int before, int after)
{
    const double period = std::chrono::duration<double>(CapacityPeriod).count();
    // All queued requests count as short work: their classes are not part of the input.
    double shortBacklog
        = pool.queued * std::chrono::duration<double>(pool.meanServiceTime).count() / std::max(1, pool.slots);
    double longBacklog = 0;
    double cost = 0;
    for (std::size_t i = 0; i < demand.size(); ++i) {
        const double capacity = (i < MovePeriods ? before : after) * period;
        shortBacklog += demand[i] * period * pool.shortShare;
        longBacklog += demand[i] * period * (1 - pool.shortShare);
        const double served = std::min(shortBacklog, capacity);
        shortBacklog -= served;
        const double servedLong = std::min(longBacklog, capacity - served);
        longBacklog -= servedLong;
        cost += (weights.wait * shortBacklog + weights.longWait * longBacklog) * pool.slots * period;
        cost += pool.spare ? 0 : weights.buffer * (capacity - served - servedLong);
    }
    return cost;
}

/// Repeatedly chooses the move with the largest gain, as long as the gain is above `minGain` and fewer than `maxMoves`
/// moves are chosen. `cost(index, before, after)` is the cost of a pool with `before` instances during a move and
/// `after` from then on.
template<class Cost>
std::vector<CapacityMove> chooseMoves(const std::vector<CapacityPool> &pools, const Cost &cost, double minGain,
                                      std::size_t maxMoves)
{
    std::vector<CapacityPool> remaining = pools;
    std::vector<double> gain(pools.size(), 0.0);
    std::vector<double> loss(pools.size(), 0.0);
    const auto updateGains = [&](std::size_t i) {
        const int size = remaining[i].instances + remaining[i].arriving;
        const double present = cost(i, size, size);
        gain[i] = present - cost(i, size, size + 1);
        loss[i] = cost(i, size - 1, size - 1) - present;
    };
    for (std::size_t i = 0; i < pools.size(); ++i) {
        updateGains(i);
    }
    std::vector<CapacityMove> moves;
    while (moves.size() < maxMoves) {
        double best = minGain;
        std::optional<std::pair<std::size_t, std::size_t>> chosen;
        for (std::size_t from = 0; from < pools.size(); ++from) {
            if (!canMoveInstance(remaining[from])) {
                continue;
            }
            for (std::size_t to = 0; to < pools.size(); ++to) {
                if (to != from && gain[to] - loss[from] > best && canTakeInstance(remaining[to])) {
                    best = gain[to] - loss[from];
                    chosen = {from, to};
                }
            }
        }
        if (!chosen) {
            break;
        }
        CapacityPool &source = remaining[chosen->first];
        --source.instances;
        --source.allowedDepartures;
        source.timesSinceMove.erase(std::max_element(source.timesSinceMove.begin(), source.timesSinceMove.end()));
        ++remaining[chosen->second].arriving;
        moves.push_back({source.id, remaining[chosen->second].id, 1});
        updateGains(chosen->first);
        updateGains(chosen->second);
    }
    return moves;
}

}

ReplayPolicy::ReplayPolicy(CapacityWeights weights)
    : m_weights(weights)
{
}

double ReplayPolicy::replayCost(const CapacityPool &pool, const History &history, int size) const
{
    const double period = std::chrono::duration<double>(CapacityPeriod).count();
    const std::size_t length = history.demand.size();
    const double capacity = size * period;
    // Backlogs are in instance-seconds of work. Short work is served first, as in routing.
    double shortBacklog = 0;
    double longBacklog = 0;
    double shortWait = 0;
    double longWait = 0;
    double idle = 0;
    for (std::size_t i = 0; i < length; ++i) {
        const double work = history.demand[(history.next + i) % length] * period;
        shortBacklog += work * pool.shortShare;
        longBacklog += work * (1 - pool.shortShare);
        const double served = std::min(shortBacklog, capacity);
        shortBacklog -= served;
        const double servedLong = std::min(longBacklog, capacity - served);
        longBacklog -= servedLong;
        shortWait += shortBacklog * period;
        longWait += longBacklog * period;
        idle += capacity - served - servedLong;
    }
    const double seconds = static_cast<double>(std::max<std::size_t>(length, 1)) * period;
    const double waiting = (m_weights.wait * shortWait + m_weights.longWait * longWait) * pool.slots;
    const int down = maxInstancesDown(size, pool.availability);
    const double rebootRounds = down > 0 ? std::ceil(static_cast<double>(size) / down) : size + 1;
    return (waiting + (pool.spare ? 0 : m_weights.buffer * idle)) / seconds + m_weights.rollOut * rebootRounds;
}

std::vector<CapacityMove> ReplayPolicy::decide(const std::vector<CapacityPool> &pools, TimePoint now)
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_startedAt = now;
    }
    std::vector<double> demands;
    demands.reserve(pools.size());
    for (const CapacityPool &pool : pools) {
        History &history = m_histories[pool.id.value];
        const double demand
            = pool.arrivals * std::chrono::duration<double>(pool.meanServiceTime).count() / std::max(1, pool.slots);
        if (history.demand.size() < HistoryLength) {
            history.demand.push_back(static_cast<float>(demand));
        } else {
            history.demand[history.next] = static_cast<float>(demand);
            history.next = (history.next + 1) % HistoryLength;
        }
        demands.push_back(demand);
    }
    m_burstForecast.observe(demands, now);
    if (m_weights.anticipateBursts && m_burstForecast.reliable()) {
        return planByForecast(pools);
    }
    if (m_lastPlan && now - *m_lastPlan < PlanPeriod) {
        return {};
    }
    m_lastPlan = now;
    if (now - m_startedAt < CapacityPeriod * static_cast<std::int64_t>(MinHistory)) {
        return {};
    }
    return planByReplay(pools);
}

/// Chooses moves by the replayed cost, the largest gains first. The next plan takes their effect into account.
std::vector<CapacityMove> ReplayPolicy::planByReplay(const std::vector<CapacityPool> &pools) const
{
    const auto cost = [&](std::size_t index, int /*before*/, int after) {
        return replayCost(pools[index], m_histories.at(pools[index].id.value), after);
    };
    return chooseMoves(pools, cost, m_weights.move / GainHorizon, 1 + pools.size() / PoolsPerPlanMove);
}

/// Chooses moves whose gain exceeds their cost. The gain is computed from the forecast demand during the move and the
/// minimum stay that follows.
std::vector<CapacityMove> ReplayPolicy::planByForecast(const std::vector<CapacityPool> &pools) const
{
    // Burst lengths vary, so the gain is averaged over shorter, mean and longer bursts.
    constexpr std::array<double, 3> lengthFactors = {0.8, 1.0, 1.2};
    std::vector<std::vector<std::vector<double>>> scenarios;
    scenarios.reserve(lengthFactors.size());
    for (const double lengthFactor : lengthFactors) {
        scenarios.push_back(m_burstForecast.forecast(StayPeriods + MovePeriods, lengthFactor));
    }
    const auto cost = [&](std::size_t index, int before, int after) {
        double sum = 0;
        for (const auto &demand : scenarios) {
            sum += forecastCost(m_weights, pools[index], demand[index], before, after);
        }
        return sum / static_cast<double>(lengthFactors.size());
    };
    return chooseMoves(pools, cost, m_weights.move, MovesPerPeriod);
}

}
