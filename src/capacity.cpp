#include "capacity.h"

#include <algorithm>
#include <cmath>

namespace briarvane
{

namespace
{

constexpr std::size_t HistoryLength = 600;  // periods: some ten turns of all queues
constexpr std::size_t LeastHistory = 120;   // periods before the first move: two turns of all queues
constexpr Duration PlanPeriod{10'000'000};  // replays are much slower than the demand they describe
constexpr double GainHorizon = 300;         // seconds over which a move must pay: five minimum stays

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

/// Instances that have stayed long enough to move.
int settled(const CapacityPool &pool)
{
    return static_cast<int>(
        std::count_if(pool.stays.begin(), pool.stays.end(), [](Duration stay) { return stay >= MinimumStay; }));
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

CapacityWeights capacityWeights(Profile profile)
{
    switch (profile) {
    case Profile::SwanCoast:
        return {1.0, 0.01, 1.0, 30.0, 0.0};
    case Profile::Saaristo:
        return {1.0, 0.01, 0.2, 300.0, 1.0};
    }
    return {};
}

ReplayPolicy::ReplayPolicy(CapacityWeights weights)
    : m_weights(weights)
{
}

std::vector<double> ReplayPolicy::costs(const CapacityPool &pool, const History &history, int largest) const
{
    const double period = std::chrono::duration<double>(CapacityPeriod).count();
    const std::size_t length = history.demand.size();
    std::vector<double> costs(static_cast<std::size_t>(largest) + 1, 0.0);
    for (int size = 0; size <= largest; ++size) {
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
        costs[static_cast<std::size_t>(size)]
            = (waiting + (pool.spare ? 0 : m_weights.buffer * idle)) / seconds + m_weights.rollOut * rounds;
    }
    return costs;
}

std::vector<CapacityMove> ReplayPolicy::decide(const std::vector<CapacityPool> &pools, TimePoint now)
{
    if (!m_begun) {
        m_begun = true;
        m_started = now;
    }
    int total = 0;
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
        total += pool.instances + pool.arriving;
    }
    if (m_lastPlan && now - *m_lastPlan < PlanPeriod) {
        return {};
    }
    m_lastPlan = now;
    if (now - m_started < CapacityPeriod * static_cast<std::int64_t>(LeastHistory)) {
        return {};
    }
    std::vector<std::vector<double>> cost;
    for (const CapacityPool &pool : pools) {
        cost.push_back(costs(pool, m_histories[pool.id.value], total));
    }
    // One move at a time, the one with the largest gain; the next plan sees its effect.
    double best = m_weights.move / GainHorizon;
    std::vector<CapacityMove> moves;
    for (std::size_t from = 0; from < pools.size(); ++from) {
        const CapacityPool &giver = pools[from];
        if (!mayGive(giver) || settled(giver) == 0) {
            continue;
        }
        // A pool whose budget lets no instance down could neither be maintained nor give an instance back.
        if (allowedDown(giver.instances + giver.arriving - 1, giver.availability) == 0) {
            continue;
        }
        const auto have = static_cast<std::size_t>(giver.instances + giver.arriving);
        const double loss = cost[from][have - 1] - cost[from][have];
        for (std::size_t to = 0; to < pools.size(); ++to) {
            const CapacityPool &taker = pools[to];
            if (to == from || !mayTake(taker)) {
                continue;
            }
            const auto size = static_cast<std::size_t>(taker.instances + taker.arriving);
            const double gain = cost[to][size] - cost[to][size + 1] - loss;
            if (gain > best) {
                best = gain;
                moves = {{giver.id, taker.id, 1}};
            }
        }
    }
    return moves;
}

}
