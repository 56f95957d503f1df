// Compares capacity policies on seeded demand series with injected time.
// Usage: capacity_bench [seed] [seconds] [wait longWait buffer move anticipateBursts rollOut]
// The last six arguments replace the CapacityWeights of the profiles; anticipateBursts is 0 or 1.
//
// Each pool is a fluid queue. The queues burst one after another: in a burst, which lasts some seconds, the demand is
// about 5 times the mean, otherwise about a twentieth of the mean. After half of the time, two pools exchange their
// mean demand. A move or a reboot takes an instance out of service for a fixed time. A wave reboots every instance
// once. A wave starts every ten minutes, or later if the previous wave is not complete by then. The availability
// budget limits both moves and reboots.

#include "capacity.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <random>

using namespace briarvane;

namespace
{

constexpr double Tick = 0.1;            // seconds
constexpr double MoveSeconds = 5.0;     // time for drain and confirmation by all entries
constexpr double WavePeriod = 600.0;    // seconds
constexpr double ShortShare = 0.6;      // fraction of the work, in slot-seconds, that short requests make up
constexpr double RebootSeconds = 10.0;  // time for drain, reboot and check

struct PoolModel
{
    std::string name;
    int instances;
    int minInstances;
    double mean;  // number of instances that the mean demand keeps busy
    double availability;
    bool spare;
};

struct FleetModel
{
    Profile profile;
    std::vector<PoolModel> pools;
    double burstLow;   // shortest burst, seconds
    double burstHigh;  // longest burst, seconds
};

FleetModel swanCoast()
{
    return {Profile::SwanCoast,
            {{"orders", 12, 2, 4.0, 0.80, false},
             {"rosters", 10, 2, 2.6, 0.80, false},
             {"spinheads", 9, 2, 3.0, 0.80, false},
             {"takings", 9, 2, 2.2, 0.775, false},
             {"depot", 10, 2, 1.2, 0.70, true}},
            6,
            14};
}

FleetModel saaristo()
{
    return {Profile::Saaristo,
            {{"quotes", 12, 2, 4.0, 0.75, false},
             {"stems", 10, 2, 3.2, 0.80, false},
             {"barges", 9, 2, 2.4, 0.775, false},
             {"documents", 9, 2, 2.6, 0.666, false},
             {"backoffice", 10, 2, 1.0, 0.60, true}},
            4,
            12};
}

struct Instance
{
    std::size_t pool = 0;
    std::size_t previous = 0;  // pool from which the last move took the instance
    double movedAt = -1e9;     // end of the last move, seconds
    double busyUntil = -1;     // end of the current move or reboot, seconds
    bool moving = false;
    bool rebooting = false;
    bool rebooted = false;  // the reboot of this instance in the current wave has begun
};

struct Measures
{
    double buffer = 0;  // mean number of idle or moving instances outside the spare pool
    int moves = 0;
    int movesBack = 0;   // moves that return an instance to its previous pool within a minute
    double wait = 0;     // mean wait of the arriving short work, seconds
    double wait99 = 0;   // 99th percentile of the wait, seconds
    double rollOut = 0;  // mean duration of a wave, seconds
    int waves = 0;
};

template<CapacityPolicy P>
Measures simulate(const FleetModel &fleet, P policy, unsigned seed, double seconds, bool randomOrder = false)
{
    std::mt19937 random(seed);
    const std::size_t count = fleet.pools.size();
    std::vector<double> mean;
    std::vector<Instance> instances;
    for (std::size_t p = 0; p < count; ++p) {
        mean.push_back(fleet.pools[p].mean);
        for (int i = 0; i < fleet.pools[p].instances; ++i) {
            Instance instance;
            instance.pool = instance.previous = p;
            instances.push_back(instance);
        }
    }
    constexpr int slots = 8;
    constexpr double service = 0.05;          // service time, seconds
    std::vector<double> backlog(count, 0.0);  // waiting short work by pool, instance-seconds
    std::vector<double> backlogLong(count, 0.0);
    std::vector<double> arrived(count, 0.0);  // work that arrived since the last decision, by pool, instance-seconds
    std::vector<double> used(count, 0.0);     // busy instances by pool
    std::vector<std::pair<double, double>> waits;  // wait in seconds and amount of arriving work with this wait
    std::size_t bursting = 0;
    double burstEnd = 0;
    double waveStart = 0;
    double nextWave = WavePeriod / 2;
    bool waveRuns = false;
    double nextDecision = 0;
    Measures result;
    const auto uniform
        = [&](double low, double high) { return low + (high - low) * (static_cast<double>(random()) / 4294967296.0); };
    const auto serving = [&](std::size_t p) {
        return static_cast<int>(std::count_if(instances.begin(), instances.end(), [&](const Instance &i) {
            return i.pool == p && !i.moving && !i.rebooting;
        }));
    };
    bool exchanged = false;
    const auto steps = static_cast<std::int64_t>(seconds / Tick);
    std::vector<int> leaving(count, 0);  // moves in progress, by the pool that the instance leaves
    for (std::int64_t step = 0; step < steps; ++step) {
        const double now = static_cast<double>(step) * Tick;
        if (!exchanged && now > seconds / 2) {
            std::swap(mean[1], mean[2]);
            exchanged = true;
        }
        if (now >= burstEnd) {
            bursting = (bursting + 1) % count;
            if (randomOrder) {
                bursting = (bursting + random() % (count - 1)) % count;  // any pool but the one that burst last
            }
            burstEnd = now + uniform(fleet.burstLow, fleet.burstHigh);
        }
        for (Instance &i : instances) {
            if ((i.moving || i.rebooting) && now >= i.busyUntil) {
                if (i.moving) {
                    --leaving[i.previous];
                    i.movedAt = now;
                }
                i.moving = i.rebooting = false;
            }
        }
        // The availability budget counts rebooting instances and those that are leaving the pool.
        std::vector<int> down(count, 0);  // rebooting instances by pool
        std::vector<int> size(count, 0);
        for (const Instance &i : instances) {
            ++size[i.pool];
            down[i.pool] += i.rebooting ? 1 : 0;
        }
        const auto budget = [&](std::size_t p) {
            return maxInstancesDown(size[p] + leaving[p], fleet.pools[p].availability) - down[p] - leaving[p];
        };
        if (!waveRuns && now >= nextWave) {
            waveRuns = true;
            waveStart = now;
            nextWave += WavePeriod;
        }
        // The wave may use the budget before capacity moves do, since its time was announced and moves can wait.
        for (Instance &i : instances) {
            if (waveRuns && !i.rebooted && !i.moving && !i.rebooting && budget(i.pool) > 0) {
                i.rebooting = i.rebooted = true;
                i.busyUntil = now + RebootSeconds;
                ++down[i.pool];
            }
        }
        if (waveRuns && std::all_of(instances.begin(), instances.end(), [](const Instance &i) {
                return i.rebooted && !i.rebooting;
            })) {
            result.rollOut += now - waveStart;
            ++result.waves;
            waveRuns = false;
            for (Instance &i : instances) {
                i.rebooted = false;
            }
        }
        for (std::size_t p = 0; p < count; ++p) {
            const double rate = mean[p] * (p == bursting ? 5.0 : 0.05) * uniform(0.9, 1.1);
            const int capacity = serving(p);
            const double work = rate * ShortShare * Tick;
            const double longWork = rate * Tick - work;
            const double wait = capacity > 0 ? backlog[p] / capacity : backlog[p] / 0.1;
            waits.emplace_back(wait, work);
            arrived[p] += work + longWork;
            backlog[p] += work;
            double served = std::min(backlog[p], capacity * Tick);
            backlog[p] -= served;
            backlogLong[p] += longWork;
            const double servedLong = std::min(backlogLong[p], capacity * Tick - served);
            backlogLong[p] -= servedLong;
            served += servedLong;
            used[p] = served / Tick;
            const auto moving = std::count_if(instances.begin(), instances.end(),
                                              [&](const Instance &i) { return i.pool == p && i.moving; });
            if (!fleet.pools[p].spare) {
                result.buffer += capacity * Tick - served + static_cast<double>(moving) * Tick;
            }
        }
        if (now < nextDecision) {
            continue;
        }
        nextDecision += 1.0;
        std::vector<CapacityPool> pools;
        for (std::size_t p = 0; p < count; ++p) {
            CapacityPool pool;
            pool.id.value = fleet.pools[p].name;
            pool.queued = (backlog[p] + backlogLong[p]) * slots / service;
            pool.shortShare = ShortShare;
            pool.arrivals = arrived[p] * slots / service;
            arrived[p] = 0;
            pool.slotsInUse = used[p] * slots;
            pool.meanServiceTime = Duration(static_cast<std::int64_t>(service * 1e6));
            pool.slots = slots;
            pool.minInstances = fleet.pools[p].minInstances;
            pool.spare = fleet.pools[p].spare;
            pool.availability = fleet.pools[p].availability;
            pool.allowedDepartures = std::max(0, budget(p));
            for (const Instance &i : instances) {
                if (i.pool == p && !i.moving && !i.rebooting) {
                    pool.timesSinceMove.emplace_back(static_cast<std::int64_t>(std::min(now - i.movedAt, 1e6) * 1e6));
                }
                pool.arriving += i.pool == p && (i.moving || i.rebooting) ? 1 : 0;
            }
            pool.instances = static_cast<int>(pool.timesSinceMove.size());
            pools.push_back(std::move(pool));
        }
        for (const CapacityMove &move :
             policy.decide(pools, TimePoint(Duration(static_cast<std::int64_t>(now * 1e6))))) {
            const auto index = [&](const PoolId &id) {
                return static_cast<std::size_t>(
                    std::find_if(pools.begin(), pools.end(), [&](const CapacityPool &p) { return p.id == id; })
                    - pools.begin());
            };
            const std::size_t from = index(move.from);
            for (int n = 0; n < move.count; ++n) {
                Instance *chosen = nullptr;
                for (Instance &i : instances) {
                    if (i.pool == from && !i.moving && !i.rebooting
                        && (chosen == nullptr || i.movedAt < chosen->movedAt)) {
                        chosen = &i;
                    }
                }
                if (chosen == nullptr || budget(from) <= 0) {
                    continue;
                }
                const std::size_t to = index(move.to);
                result.movesBack += to == chosen->previous && now - chosen->movedAt < 60 ? 1 : 0;
                chosen->previous = from;
                chosen->pool = to;
                chosen->moving = true;
                chosen->busyUntil = now + MoveSeconds;
                --size[from];
                ++size[to];
                ++leaving[from];
                ++result.moves;
            }
        }
    }
    std::sort(waits.begin(), waits.end());
    double weight = 0;
    for (const auto &[wait, work] : waits) {
        result.wait += wait * work;
        weight += work;
    }
    result.wait /= weight;
    double below = 0;
    for (const auto &[wait, work] : waits) {
        below += work;
        if (below >= 0.99 * weight) {
            result.wait99 = wait;
            break;
        }
    }
    result.buffer /= seconds;
    result.rollOut = result.waves > 0 ? result.rollOut / result.waves : seconds;
    return result;
}

void print(const char *name, const Measures &m)
{
    std::printf("  %-10s buffer %6.2f instances  moves %5d (back within a minute %4d)  wait mean %6.3f s p99 %7.3f s  "
                "roll-out %6.1f s (%d waves)\n",
                name, m.buffer, m.moves, m.movesBack, m.wait, m.wait99, m.rollOut, m.waves);
}

/// Makes no moves, as the baseline of a fleet without a capacity policy.
struct FixedPolicy
{
    std::vector<CapacityMove> decide(const std::vector<CapacityPool> & /*pools*/, TimePoint /*now*/)
    {
        return {};
    }
};

}

int main(int argc, char **argv)
{
    const unsigned seed = argc > 1 ? static_cast<unsigned>(std::strtoul(argv[1], nullptr, 10)) : 1;
    const double seconds = argc > 2 ? std::strtod(argv[2], nullptr) : 3600;
    for (const FleetModel &fleet : {swanCoast(), saaristo()}) {
        std::printf("%s, seed %u, %.0f s\n", std::string(toString(fleet.profile)).c_str(), seed, seconds);
        print("fixed", simulate(fleet, FixedPolicy{}, seed, seconds));
        print("threshold", simulate(fleet, ThresholdPolicy{}, seed, seconds));
        ThresholdPolicy withoutReturns;
        withoutReturns.low = 0;  // moves no instance back to the spare pool
        print("keeping", simulate(fleet, withoutReturns, seed, seconds));
        CapacityWeights weights = capacityWeights(fleet.profile);
        if (argc > 8) {
            const auto number = [&](int index) { return std::strtod(argv[index], nullptr); };
            weights = {number(3), number(4), number(5), number(6), number(7) != 0, number(8)};
        }
        print("replay", simulate(fleet, ReplayPolicy(weights), seed, seconds));
        // Bursts in random order cannot be predicted; the replay policy must then plan by the replay alone.
        std::printf("%s, bursts in random order\n", std::string(toString(fleet.profile)).c_str());
        print("threshold", simulate(fleet, ThresholdPolicy{}, seed, seconds, true));
        print("replay", simulate(fleet, ReplayPolicy(weights), seed, seconds, true));
    }
    return 0;
}
