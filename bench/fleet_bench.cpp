// Measures the cost of the fleet value by the size of the fleet: bytes, parsing, formatting, one fleet step without
// anything to do, and one with a maintenance wave in every tenth pool. Network and store are not included.
// Usage: fleet_bench

#include "fleet.h"

#include <chrono>
#include <cstdio>
#include <functional>

using namespace briarvane;

namespace
{

constexpr int InstancesPerPool = 11;       // rounded mean of 3,200 instances in 299 pools
constexpr double StepsPerSecond = 5;       // the controller makes one step per ControlPeriod
constexpr double ChangesPerSecond = 0.03;  // about 2,600 changes of the fleet value a day

Sheet sheetOf(int instances)
{
    Sheet sheet;
    for (int i = 0; i < instances; ++i) {
        const std::string pool = "pool-" + std::to_string(i / InstancesPerPool);
        if (i % InstancesPerPool == 0) {
            sheet.pools.push_back({.id = {pool}});
            sheet.services.push_back(
                {.id = {"service-" + pool}, .pool = {pool}, .route = "/" + pool, .availability = 0.8});
        }
        sheet.instances.push_back({{pool + "-instance-" + std::to_string(i % InstancesPerPool)}, {pool}});
    }
    return sheet;
}

double microsecondsOf(const std::function<void()> &work)
{
    constexpr int repeats = 20;
    const auto startedAt = std::chrono::steady_clock::now();
    for (int i = 0; i < repeats; ++i) {
        work();
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - startedAt).count() / repeats;
}

void measure(int instances)
{
    const Sheet sheet = sheetOf(instances);
    FleetObservation observation;
    for (int i = 0; i < instances; ++i) {
        observation.records.push_back({sheet.instances[static_cast<std::size_t>(i)].id, "10.0.0.1", 8080,
                                       "dc-" + std::to_string(i % 5), "rack-" + std::to_string(i / 4)});
    }
    std::int64_t nowMs = 1'000'000;
    const Fleet fleet = stepFleet({}, sheet, "digest", observation, nowMs).next;
    Fleet busy = fleet;
    for (std::size_t i = 0; i < sheet.pools.size(); i += 10) {
        busy = startWave(busy, "wave-" + std::to_string(i), sheet.pools[i].id, observation.records, nowMs).value();
    }
    busy = stepFleet(busy, sheet, "digest", observation, nowMs).next;
    const std::string text = formatFleet(fleet);
    std::size_t checksum = 0;
    const double parse = microsecondsOf([&] { checksum += parseFleet(text).value().instances.size(); });
    const double format = microsecondsOf([&] { checksum += formatFleet(fleet).size(); });
    const double idleStep
        = microsecondsOf([&] { checksum += stepFleet(fleet, sheet, "digest", observation, nowMs).notices.size(); });
    const double waveStep
        = microsecondsOf([&] { checksum += stepFleet(busy, sheet, "digest", observation, nowMs).notices.size(); });
    const double corePercent = (waveStep * StepsPerSecond + (parse + format) * ChangesPerSecond) / 1e6 * 100;
    std::printf("%9d %6zu %11zu %10.1f %9.0f %9.0f %12.0f %12.0f %9.3f%s\n", instances, sheet.pools.size(), text.size(),
                static_cast<double>(text.size()) / instances, parse, format, idleStep, waveStep, corePercent,
                checksum == 0 ? " nothing" : "");
}

}

int main()
{
    std::printf("%9s %6s %11s %10s %9s %9s %12s %12s %9s\n", "instances", "pools", "value bytes", "bytes each",
                "parse us", "format us", "step idle us", "step wave us", "core %");
    for (const int scale : {1, 4, 16, 64}) {
        measure(50 * scale);
    }
    return 0;
}
