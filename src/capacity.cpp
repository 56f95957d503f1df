#include "capacity.h"

#include <algorithm>
#include <cmath>

namespace briarvane
{

namespace
{

constexpr std::size_t HistoryLength = 600;    // periods: some ten turns of all queues
constexpr std::size_t LeastHistory = 120;     // periods before the first move: two turns of all queues
constexpr Duration PlanPeriod{10'000'000};    // replays are much slower than the demand they describe
constexpr std::size_t PoolsPerPlanMove = 10;  // more moves at once in larger fleets
constexpr double GainHorizon = 300;           // seconds over which a move must pay: five minimum stays

double utilization(const CapacityPool &pool)
{
    const double capacity = static_cast<double>(pool.instances + pool.arriving) * pool.slots;
    return capacity > 0 ? (pool.slotsInUse + pool.queued) / capacity : 2.0;
}

bool mayGive(const CapacityPool &pool)
{
    return pool.mayLeave > 0 && pool.instances > std::max(1, pool.minInstances);
}

bool mayTake(const CapacityPool &pool)
{
    return pool.maxInstances == 0 || pool.instances + pool.arriving < pool.maxInstances;
}

/// Whether an instance has stayed long enough to move, and the pool may do without it. A pool whose budget lets no
/// instance down could neither be maintained nor give an instance back.
bool mayLend(const CapacityPool &pool)
{
    return mayGive(pool) && allowedDown(pool.instances + pool.arriving - 1, pool.availability) > 0
        && std::any_of(pool.stays.begin(), pool.stays.end(), [](Duration stay) { return stay >= MinimumStay; });
}

}

std::vector<CapacityMove> ThresholdPolicy::decide(const std::vector<CapacityPool> &pools, TimePoint /*now*/)
{
    std::vector<CapacityMove> moves;
    std::vector<CapacityPool> rest = pools;
    const auto spare = std::find_if(rest.begin(), rest.end(), [](const CapacityPool &pool) { return pool.spare; });
    const auto move = [&](CapacityPool &from, CapacityPool &to) {
        moves.push_back({from.id, to.id, 1});
        --from.instances;
        --from.mayLeave;
        ++to.arriving;
    };
    for (CapacityPool &pool : rest) {
        if (utilization(pool) > high && mayTake(pool)) {
            CapacityPool *from = spare != rest.end() && &*spare != &pool && mayGive(*spare) ? &*spare : nullptr;
            for (CapacityPool &other : rest) {
                const bool better = from == nullptr || (!from->spare && utilization(other) < utilization(*from));
                if (&other != &pool && mayGive(other) && utilization(other) < high && better) {
                    from = &other;
                }
            }
            if (from != nullptr) {
                move(*from, pool);
            }
        } else if (utilization(pool) < low && !pool.spare && spare != rest.end() && mayGive(pool) && mayTake(*spare)) {
            move(pool, *spare);
        }
    }
    return moves;
}

// Turns ---------------------------------------------------------------------------------------------------------------

namespace
{

constexpr double LevelDecay = 0.05;  // of means over periods: some 20 periods
constexpr double MeanDecay = 0.005;  // some four turns of all queues
constexpr double TurnDecay = 0.2;    // over turns
constexpr double BurstFactor = 2.0;  // times the mean: bursts are at about 5, the time in between at a twentieth
constexpr double ReliableHits = 0.8;
constexpr std::size_t LeastObserved = 120;

void decayTowards(double &mean, double value, double decay)
{
    mean = mean == 0 ? value : mean + decay * (value - mean);
}

}

void TurnForecast::observe(const std::vector<double> &demand, TimePoint now)
{
    m_pools.resize(demand.size());
    m_now = now;
    ++m_observed;
    for (std::size_t i = 0; i < demand.size(); ++i) {
        PoolTurns &pool = m_pools[i];
        // The first periods weigh the same, so that the mean is usable early.
        pool.mean += std::max(MeanDecay, 1.0 / static_cast<double>(m_observed)) * (demand[i] - pool.mean);
        const bool bursting = demand[i] > BurstFactor * pool.mean;
        decayTowards(bursting ? pool.high : pool.low, demand[i], LevelDecay);
        if (bursting && !pool.bursting && m_current != i) {
            if (m_current) {
                const double length = std::chrono::duration<double>(now - m_currentSince).count();
                decayTowards(m_length, length, TurnDecay);
                m_hits += TurnDecay * ((m_pools[*m_current].successor == i ? 1.0 : 0.0) - m_hits);
                m_pools[*m_current].successor = i;
            }
            m_current = i;
            m_currentSince = now;
        }
        pool.bursting = bursting;
    }
}

bool TurnForecast::reliable() const
{
    return m_current && m_observed >= LeastObserved && m_hits >= ReliableHits;
}

std::vector<std::vector<double>> TurnForecast::forecast(std::size_t periods, double stretch) const
{
    const double period = std::chrono::duration<double>(CapacityPeriod).count();
    std::vector<std::vector<double>> demand;
    for (const PoolTurns &pool : m_pools) {
        demand.emplace_back(periods, pool.low);
    }
    if (!m_current) {
        return demand;
    }
    std::optional<std::size_t> turn = m_current;
    const double elapsed = std::chrono::duration<double>(m_now - m_currentSince).count();
    double end = std::max(period, m_length * stretch - elapsed);
    for (std::size_t i = 0; i < periods && turn; ++i) {
        if (static_cast<double>(i) * period >= end) {
            turn = m_pools[*turn].successor;
            end += m_length * stretch;
        }
        if (turn) {
            demand[*turn][i] = m_pools[*turn].high;
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

constexpr std::size_t MovePeriods = 5;     // drain and confirmation
constexpr std::size_t StayPeriods = 60;    // MinimumStay
constexpr std::size_t LendsPerPeriod = 8;  // bounds the work of one decision

double forecastCost(const CapacityWeights &weights, const CapacityPool &pool, const std::vector<double> &demand,
                    int before, int after)
{
    const double period = std::chrono::duration<double>(CapacityPeriod).count();
    // The queue at present counts as short work: its classes are not known here.
    double shortBacklog
        = pool.queued * std::chrono::duration<double>(pool.meanService).count() / std::max(1, pool.slots);
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

/// Takes the move with the largest gain again and again, as long as the gain is above `least`.
/// `cost(index, before, after)` is the cost of a pool with `before` instances during a move and `after` from then on.
template<class Cost>
std::vector<CapacityMove> chooseMoves(const std::vector<CapacityPool> &pools, const Cost &cost, double least,
                                      std::size_t most)
{
    std::vector<CapacityPool> rest = pools;
    std::vector<double> gain(pools.size(), 0.0);
    std::vector<double> loss(pools.size(), 0.0);
    const auto weigh = [&](std::size_t i) {
        const int size = rest[i].instances + rest[i].arriving;
        const double present = cost(i, size, size);
        gain[i] = present - cost(i, size, size + 1);
        loss[i] = cost(i, size - 1, size - 1) - present;
    };
    for (std::size_t i = 0; i < pools.size(); ++i) {
        weigh(i);
    }
    std::vector<CapacityMove> moves;
    while (moves.size() < most) {
        double best = least;
        std::optional<std::pair<std::size_t, std::size_t>> chosen;
        for (std::size_t from = 0; from < pools.size(); ++from) {
            if (!mayLend(rest[from])) {
                continue;
            }
            for (std::size_t to = 0; to < pools.size(); ++to) {
                if (to != from && gain[to] - loss[from] > best && mayTake(rest[to])) {
                    best = gain[to] - loss[from];
                    chosen = {from, to};
                }
            }
        }
        if (!chosen) {
            break;
        }
        CapacityPool &giver = rest[chosen->first];
        --giver.instances;
        --giver.mayLeave;
        giver.stays.erase(std::max_element(giver.stays.begin(), giver.stays.end()));
        ++rest[chosen->second].arriving;
        moves.push_back({giver.id, rest[chosen->second].id, 1});
        weigh(chosen->first);
        weigh(chosen->second);
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
    // Backlogs are in instance-seconds of work. Short work goes first, as in routing.
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
    const int down = allowedDown(size, pool.availability);
    const double rounds = down > 0 ? std::ceil(static_cast<double>(size) / down) : size + 1;
    return (waiting + (pool.spare ? 0 : m_weights.buffer * idle)) / seconds + m_weights.rollOut * rounds;
}

std::vector<CapacityMove> ReplayPolicy::decide(const std::vector<CapacityPool> &pools, TimePoint now)
{
    if (!m_begun) {
        m_begun = true;
        m_started = now;
    }
    std::vector<double> demands;
    demands.reserve(pools.size());
    for (const CapacityPool &pool : pools) {
        History &history = m_histories[pool.id.value];
        const double demand
            = pool.arrivals * std::chrono::duration<double>(pool.meanService).count() / std::max(1, pool.slots);
        if (history.demand.size() < HistoryLength) {
            history.demand.push_back(static_cast<float>(demand));
        } else {
            history.demand[history.next] = static_cast<float>(demand);
            history.next = (history.next + 1) % HistoryLength;
        }
        demands.push_back(demand);
    }
    m_turns.observe(demands, now);
    if (m_weights.lend && m_turns.reliable()) {
        return lend(pools);
    }
    if (m_lastPlan && now - *m_lastPlan < PlanPeriod) {
        return {};
    }
    m_lastPlan = now;
    if (now - m_started < CapacityPeriod * static_cast<std::int64_t>(LeastHistory)) {
        return {};
    }
    return plan(pools);
}

/// Moves by the replay, the largest gains first; the next plan sees their effect.
std::vector<CapacityMove> ReplayPolicy::plan(const std::vector<CapacityPool> &pools) const
{
    const auto cost = [&](std::size_t index, int /*before*/, int after) {
        return replayCost(pools[index], m_histories.at(pools[index].id.value), after);
    };
    return chooseMoves(pools, cost, m_weights.move / GainHorizon, 1 + pools.size() / PoolsPerPlanMove);
}

/// Moves whose gain over the move and the minimum stay, by the forecast of turns, exceeds their cost.
std::vector<CapacityMove> ReplayPolicy::lend(const std::vector<CapacityPool> &pools) const
{
    // Lengths of turns vary: gains are means over shorter, mean and longer ones.
    constexpr std::array<double, 3> stretches = {0.8, 1.0, 1.2};
    std::vector<std::vector<std::vector<double>>> scenarios;
    scenarios.reserve(stretches.size());
    for (const double stretch : stretches) {
        scenarios.push_back(m_turns.forecast(StayPeriods + MovePeriods, stretch));
    }
    const auto cost = [&](std::size_t index, int before, int after) {
        double sum = 0;
        for (const auto &demand : scenarios) {
            sum += forecastCost(m_weights, pools[index], demand[index], before, after);
        }
        return sum / static_cast<double>(stretches.size());
    };
    return chooseMoves(pools, cost, m_weights.move, LendsPerPeriod);
}

}
