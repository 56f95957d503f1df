// Measures what one planning pass of the fleet's owner costs by the size of the fleet: a maintenance wave in progress,
// one pool in its demand peak, and the others lending. Network and store are not included.
// Usage: fleet_plan_bench

#include "fleet_planner.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

using namespace briarvane;
using namespace std::chrono_literals;

namespace
{

constexpr int Pools = 4;  // and a spare pool
constexpr int MilliCores = 16'000;
constexpr Duration PassInterval{250'000};
constexpr Duration PeakTime{4'500'000};  // the pools have their peaks in turns

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
        instance.state = InstanceAvailability::Up;
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

/// Carries out the orders at once, as the machines API does.
void carryOut(FleetPlanner &planner, std::vector<PooledInstance> &fleet, std::size_t &orders, TimePoint now)
{
    for (auto due = planner.takeOrders(now); !due.empty(); due = planner.takeOrders(now)) {
        for (const FleetOrder &order : due) {
            const auto instance = std::find_if(fleet.begin(), fleet.end(), [&order](const PooledInstance &candidate) {
                return candidate.id == order.instance();
            });
            if (const auto *move = std::get_if<MoveRequest>(&order.request)) {
                instance->pool = move->pool;
            }
            instance->executor += '+';
            planner.answered(order, OrderResult::Begun, now);
            ++orders;
        }
    }
}

void measure(int instances)
{
    std::vector<PooledInstance> fleet = fleetOf(instances);
    TimePoint now{1h};
    MaintenanceWave wave;
    wave.id = 1;
    wave.maxConcurrent = instances / 6;
    wave.instances.reserve(fleet.size());
    for (const PooledInstance &instance : fleet) {
        if (wave.instances.size() * 5 < fleet.size() * 2) {
            wave.instances.push_back(instance.id);
        }
    }
    FleetPlanner planner({}, false, now);
    planner.setSparePools({"spare"});
    planner.waves().addWave(wave, {}, now);
    constexpr int passes = 100;
    std::chrono::duration<double, std::micro> total{0};
    std::chrono::duration<double, std::micro> longest{0};
    std::size_t orders = 0;
    std::uint64_t revision = 1;
    for (int pass = 0; pass < passes; ++pass, now += PassInterval) {
        planner.confirmed(now);
        planner.setInstances(fleet, now, now);
        for (int pool = 0; pool < Pools; ++pool) {
            const std::string name = "pool-" + std::to_string(pool);
            planner.setLoad(name, loadOf(fleet, name, (now.time_since_epoch() / PeakTime) % Pools == pool, now));
        }
        const auto startedAt = std::chrono::steady_clock::now();
        planner.plan(now);
        const std::set<std::string> vacating = planner.vacating(now);
        const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - startedAt;
        total += time;
        longest = std::max(longest, time);
        carryOut(planner, fleet, orders, now);
        std::map<std::string, std::uint64_t> reports;
        planner.published(vacating, ++revision);
        for (const std::string &executor : vacating) {
            reports[executor] = revision;
        }
        planner.setVacated(reports);
    }
    std::printf("%9d %13.0f %16.0f %7zu\n", instances, total.count() / passes, longest.count(), orders);
}

}

int main()
{
    std::printf("instances  mean pass, us  longest pass, us  orders\n");
    for (const int instances : {100, 300, 1'100, 3'200}) {
        measure(instances);
    }
    return 0;
}
