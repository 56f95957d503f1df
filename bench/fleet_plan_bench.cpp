// Measures what one planning pass of the fleet's owner costs by the size of the fleet: a maintenance wave in progress,
// one pool in its demand peak, and the others lending. Network and store are not included.
// Usage: fleet_plan_bench

#include "pool_planner.h"
#include "wave_planner.h"

#include <chrono>
#include <cstdio>

using namespace briarvane;
using namespace std::chrono_literals;

namespace
{

constexpr int Pools = 4;  // and a spare pool
constexpr int MilliCores = 16'000;
constexpr Duration PassInterval{250'000};

std::vector<PooledInstance> fleetOf(int instances)
{
    std::vector<PooledInstance> fleet;
    fleet.reserve(static_cast<std::size_t>(instances));
    for (int i = 0; i < instances; ++i) {
        PooledInstance instance;
        instance.id = "instance-" + std::to_string(i);
        instance.pool = i % (Pools + 1) == Pools ? "spare" : "pool-" + std::to_string(i % (Pools + 1));
        instance.executor = "executor-" + std::to_string(i);
        instance.labels = {"a", "rack-" + std::to_string(i / 8)};
        instance.capacity = {MilliCores, 32'768, 0};
        fleet.push_back(std::move(instance));
    }
    return fleet;
}

PoolLoad loadOf(const std::vector<PooledInstance> &fleet, const std::string &pool, bool isPeaking, TimePoint now)
{
    PoolLoad load;
    load.receivedAt = now;
    int size = 0;
    for (const PooledInstance &instance : fleet) {
        if (instance.pool == pool) {
            load.idle.insert(instance.executor);
            ++size;
        }
    }
    if (isPeaking) {
        load.idle.clear();
    }
    load.demandMilliCores = size * MilliCores * (isPeaking ? 2 : 0);
    load.inTimeMilliCores = load.demandMilliCores;
    return load;
}

void measure(int instances)
{
    const std::vector<PooledInstance> fleet = fleetOf(instances);
    const std::set<std::string> spare{"spare"};
    TimePoint now{1h};
    MaintenanceWave wave;
    wave.id = 1;
    wave.maxConcurrent = instances / 6;
    for (const PooledInstance &instance : fleet) {
        if (wave.instances.size() * 5 < fleet.size() * 2) {
            wave.instances.push_back(instance.id);
        }
    }
    WavePlanner waves({});
    PoolPlanner pools({});
    waves.addWave(wave, {}, now);
    constexpr int passes = 20;
    std::chrono::duration<double, std::micro> waveTime{0};
    std::chrono::duration<double, std::micro> poolTime{0};
    std::size_t requests = 0;
    for (int pass = 0; pass < passes; ++pass, now += PassInterval) {
        waves.setInstances(fleet, spare, now);
        pools.setInstances(fleet, spare, now);
        for (int pool = 0; pool < Pools; ++pool) {
            const std::string name = "pool-" + std::to_string(pool);
            pools.setLoad(name, loadOf(fleet, name, pool == 0, now));
        }
        const auto startedAt = std::chrono::steady_clock::now();
        waves.setMoving(pools.movingInstances());
        requests += waves.tick(now).size();
        const auto wavesDoneAt = std::chrono::steady_clock::now();
        pools.setInMaintenance(waves.instancesInMaintenance());
        requests += pools.tick(now).size();
        waveTime += wavesDoneAt - startedAt;
        poolTime += std::chrono::steady_clock::now() - wavesDoneAt;
    }
    std::printf("%9d %14.0f %14.0f %9zu\n", instances, waveTime.count() / passes, poolTime.count() / passes, requests);
}

}

int main()
{
    std::printf("instances  wave pass, us  pool pass, us  requests\n");
    for (const int instances : {100, 300, 1'100, 3'200}) {
        measure(instances);
    }
    return 0;
}
