// Times how long an entry needs to take over a configuration and to find a request's queue and workspace in it.
// Arguments: number of queues, number of workspaces.

#include "caller_access.h"
#include "wire.h"

#include <boost/json.hpp>

#include <chrono>
#include <cstdlib>
#include <ctime>
#include <iostream>

using namespace briarvane;
namespace json = boost::json;

namespace
{

/// Processor time of this process in seconds, which other load on the machine changes less than the time of day.
double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

std::string configuration(int queues, int workspaces)
{
    json::array routes;
    for (int i = 0; i < queues; ++i) {
        const std::string number = std::to_string(i);
        routes.push_back(json::object{{"name", "queue-" + number},
                                      {"host", "host-" + std::to_string(i % 8) + ".example"},
                                      {"prefix", "/queue-" + number + "/"},
                                      {"service", "service-" + std::to_string(i % 5)},
                                      {"timeout_ms", 3000},
                                      {"target_latency_ms", 600},
                                      {"max_attempts", 4},
                                      {"stretch", 1.6}});
    }
    json::array tenants;
    for (int i = 0; i < workspaces; ++i) {
        const std::string number = std::to_string(i);
        tenants.push_back(json::object{{"name", "workspace-" + number},
                                       {"api_keys", json::array{"key-a-" + number, "key-b-" + number}},
                                       {"weight", 10 + i}});
    }
    return json::serialize(
        json::object{{"version", 1}, {"routes", routes}, {"services", json::array{}}, {"tenants", tenants}});
}

}

int main(int argc, char **argv)
{
    const int queues = argc > 1 ? std::atoi(argv[1]) : 1400;
    const int workspaces = argc > 2 ? std::atoi(argv[2]) : 20;
    const std::string text = configuration(queues, workspaces);
    constexpr int decodes = 20;
    DeploymentConfig config;
    double began = processorSeconds();
    for (int i = 0; i < decodes; ++i) {
        auto decoded = platform::decodeDeploymentConfig(text);
        if (!decoded) {
            std::cerr << decoded.error().message << '\n';
            return 1;
        }
        config = std::move(decoded.value());
    }
    const double decodeMs = 1e3 * (processorSeconds() - began) / decodes;

    constexpr int lookups = 200'000;
    int found = 0;
    began = processorSeconds();
    for (int i = 0; i < lookups; ++i) {
        const int number = i * 37 % queues;
        const std::string path = "/queue-" + std::to_string(number) + "/0123456789abcdef";
        const Queue *queue = config.queueFor("host-" + std::to_string(number % 8) + ".example", path);
        const std::string key = "key-b-" + std::to_string(i % workspaces);
        found += queue != nullptr && decideAccess(config, *queue, &key).outcome == AccessOutcome::Allowed ? 1 : 0;
    }
    const double lookupUs = 1e6 * (processorSeconds() - began) / lookups;
    std::cout << queues << " queues, " << workspaces << " workspaces, " << text.size() << " bytes: decoding "
              << decodeMs << " ms of processor time, lookup of queue and workspace " << lookupUs << " us, " << found
              << " of " << lookups << " found\n";
    return found == lookups ? 0 : 1;
}
