// Compares the waiting time of short requests and the completion time of long ones under three routing policies, on the
// same seeded arrivals. Calls the decision functions directly, in simulated time.
//
//   wait_bench [seed] [load] [setting=value ...]
//
// load: mean demand of a pool as a share of its slots; in a burst the demand is 5 times as large.
// setting: a field of RouterSettings that applySetting() accepts; times are in milliseconds.

#include "policies.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <queue>
#include <random>

using namespace briarvane;
using namespace std::chrono_literals;

namespace
{

struct FleetShape
{
    std::string name;
    std::vector<int> instances;  // number of instances in each pool
    Duration burst;              // length of a burst; the pools burst one after another
    double longShare;            // fraction of the requests that are long
    double stragglers;           // fraction of the requests that take 50 to 200 times as long as others
};

const std::vector<FleetShape> Fleets = {
    {"swan-coast", {12, 10, 10, 9, 8}, 4s, 0.04, 0.015},
    {"saaristo", {11, 10, 12, 8, 9}, 6s, 0.06, 0.01},
};

constexpr double BurstFactor = 5;
constexpr double QuietFactor = 0.05;   // demand between bursts as a fraction of the mean demand
constexpr int Cycles = 10;             // number of bursts of each pool
constexpr double ShortMedian = 0.030;  // seconds; typical of a cart request or a quote
constexpr double LongMedian = 1.5;     // seconds; typical of a reconciliation or a document run
/// Factor between the median service times of successive routes. Those of the four routes of a class are 0.5, 1, 2 and
/// 4 times the median of the class.
constexpr double RouteSpread = 2;
constexpr Duration TickPeriod{25'000};

struct Arrival
{
    PermitRequest request;
    Duration size{0};
    bool straggler = false;
};

struct Series
{
    std::vector<Arrival> arrivals;  // sorted by time of arrival
    std::map<std::uint64_t, Duration> sizes;
    std::map<ServiceId, Duration> declared;
};

Duration micros(double seconds)
{
    return Duration{static_cast<std::int64_t>(seconds * 1e6)};
}

/// Generates the arrivals of one pool. With `steadyLong`, about the same amount of long work arrives evenly instead of
/// in bursts, so that at the start of each burst of short work the slots are partly occupied by long work.
Series makeSeries(const FleetShape &fleet, std::size_t pool, double load, bool steadyLong, std::uint64_t seed)
{
    std::mt19937_64 random(seed * 1000 + pool);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::lognormal_distribution<double> spread(0, 0.6);
    Series series;
    const std::array<ServiceId, 2> services = {ServiceId{"short"}, ServiceId{"long"}};
    // Declared service times are up to ten times too long or too short.
    for (const ServiceId &service : services) {
        const double median = service.value == "short" ? ShortMedian : LongMedian;
        series.declared[service] = micros(median * std::pow(10.0, 2 * uniform(random) - 1));
    }
    const auto meanOf = [&](double median) {
        const double routes = (0.5 + 1 + 2 + 4) / 4 * std::exp(0.6 * 0.6 / 2);
        return median * routes * (1 + fleet.stragglers * 124);
    };
    const double meanSize = (1 - fleet.longShare) * meanOf(ShortMedian) + fleet.longShare * meanOf(LongMedian);
    const double rate = load * 8 * fleet.instances[pool] / meanSize;
    const double cycle
        = std::chrono::duration<double>(fleet.burst).count() * static_cast<double>(fleet.instances.size());
    const double burstSeconds = std::chrono::duration<double>(fleet.burst).count();
    double time = 0;
    std::uint64_t id = 0;
    while (time < Cycles * cycle) {
        // Thinning: arrivals are drawn at the highest rate, and most of those between bursts are dropped.
        time += -std::log(1 - uniform(random)) / (rate * BurstFactor);
        const double phase = std::fmod(time, cycle) - static_cast<double>(pool) * burstSeconds;
        const bool burst = phase >= 0 && phase < burstSeconds;
        const bool isLong = uniform(random) < fleet.longShare;
        const double keepProbability = isLong && steadyLong ? 1 / BurstFactor : burst ? 1 : QuietFactor / BurstFactor;
        if (uniform(random) > keepProbability) {
            continue;
        }
        const int route = static_cast<int>(uniform(random) * 4);
        Arrival arrival;
        arrival.straggler = uniform(random) < fleet.stragglers;
        double size = (isLong ? LongMedian : ShortMedian) * 0.5 * std::pow(RouteSpread, route) * spread(random);
        size *= arrival.straggler ? 50 + 150 * uniform(random) : 1;
        arrival.size = std::max(Duration{100}, micros(size));
        arrival.request.requester = {EntryId{"e"}, 1};
        RequestInfo &info = arrival.request.info;
        info.id = ++id;
        info.service = services[isLong ? 1 : 0];
        info.route = "/" + std::to_string(route);
        info.tenant = TenantId{"t"};
        info.requestClass = isLong ? RequestClass::Long : RequestClass::Short;
        info.arrived = TimePoint{100s} + micros(time);
        info.deadline = info.arrived + 24h;
        series.sizes[id] = arrival.size;
        series.arrivals.push_back(std::move(arrival));
    }
    return series;
}

struct Figures
{
    std::vector<double> shortWaits;  // waits of the requests of class Short that are no stragglers, seconds
    double longTotal = 0;  // sum of the times from arrival to completion of the requests of class Long, seconds
    double longWait = 0;   // sum of the waits of the requests of class Long, seconds
    double longWaitMax = 0;
    std::size_t longs = 0;
    std::size_t requests = 0;
};

template<RouterPolicy R>
void run(R &router, const Series &series, int instances, Figures &figures)
{
    std::vector<PoolInstance> pool;
    pool.reserve(static_cast<std::size_t>(instances));
    for (int index = 0; index < instances; ++index) {
        pool.push_back({InstanceId{"i" + std::to_string(index)}, "rack" + std::to_string(index / 4)});
    }
    struct Ending
    {
        TimePoint at;
        std::size_t arrival;
        PermitDecision grant;
    };
    const auto endsLater
        = [](const Ending &a, const Ending &b) { return std::pair(a.at, a.arrival) > std::pair(b.at, b.arrival); };
    std::priority_queue<Ending, std::vector<Ending>, decltype(endsLater)> running(endsLater);
    TimePoint now{100s};
    TimePoint nextTick = now;
    const auto recordDecisions = [&](const std::vector<PermitDecision> &decisions) {
        for (const PermitDecision &decision : decisions) {
            const std::size_t index = decision.key.request - 1;
            const Arrival &arrival = series.arrivals[index];
            if (decision.permit == 0) {
                std::fprintf(stderr, "request %zu was refused\n", index);
                std::exit(1);
            }
            const double wait = std::chrono::duration<double>(now - arrival.request.info.arrived).count();
            ++figures.requests;
            if (arrival.request.info.requestClass == RequestClass::Long) {
                ++figures.longs;
                figures.longWait += wait;
                figures.longTotal += wait + std::chrono::duration<double>(arrival.size).count();
                figures.longWaitMax = std::max(figures.longWaitMax, wait);
            } else if (!arrival.straggler) {
                figures.shortWaits.push_back(wait);
            }
            running.push({now + arrival.size, index, decision});
        }
    };
    recordDecisions(router.setInstances(pool, pool.size(), now));
    std::size_t next = 0;
    while (next < series.arrivals.size() || !running.empty()) {
        TimePoint at = nextTick;
        if (next < series.arrivals.size()) {
            at = std::min(at, series.arrivals[next].request.info.arrived);
        }
        if (!running.empty()) {
            at = std::min(at, running.top().at);
        }
        now = at;
        if (now == nextTick) {
            nextTick += TickPeriod;
            recordDecisions(router.tick(now));
        } else if (!running.empty() && running.top().at == now) {
            const Ending ending = running.top();
            running.pop();
            const Arrival &arrival = series.arrivals[ending.arrival];
            const RequestInfo &info = arrival.request.info;
            recordDecisions(router.release(arrival.request.requester, ending.grant.permit, ending.grant.instance,
                                           info.service, info.route, info.requestClass, UpstreamResult::Completed,
                                           arrival.size, now));
        } else {
            recordDecisions(router.enqueue(series.arrivals[next++].request, now));
        }
    }
}

double quantile(const std::vector<double> &sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

struct Row
{
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double longTotal = 0;
};

Row report(const std::string &fleet, const char *policy, Figures &figures)
{
    std::sort(figures.shortWaits.begin(), figures.shortWaits.end());
    const Row row{quantile(figures.shortWaits, 0.5), quantile(figures.shortWaits, 0.99),
                  quantile(figures.shortWaits, 0.999), figures.longTotal};
    const auto longs = static_cast<double>(figures.longs);
    std::printf("%-23s %-12s %8.1f %9.1f %9.1f %12.3f %12.3f %12.3f %12.0f\n", fleet.c_str(), policy, row.p50 * 1e3,
                row.p99 * 1e3, row.p999 * 1e3, figures.longTotal / longs, figures.longWait / longs, figures.longWaitMax,
                figures.longTotal);
    return row;
}

bool applySetting(RouterSettings &settings, const std::string &text)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos) {
        return false;
    }
    const std::string name = text.substr(0, equals);
    const double value = std::strtod(text.c_str() + equals + 1, nullptr);
    const Duration time = micros(value / 1e3);
    if (name == "longShare") {
        settings.longShare = value;
    } else if (name == "longReserve") {
        settings.longReserve = value;
    } else if (name == "shortFactor") {
        settings.shortFactor = value;
    } else if (name == "shortMargin") {
        settings.shortMargin = value;
    } else if (name == "demandTime") {
        settings.demandTimeConstant = time;
    } else if (name == "longAging") {
        settings.longAging = time;
    } else if (name == "starvation") {
        settings.starvation = time;
    } else {
        return false;
    }
    return true;
}

void compare(const FleetShape &fleet, double load, bool steadyLong, std::uint64_t seed, const RouterSettings &settings)
{
    Figures fifoFigures;
    Figures routerFigures;
    Figures clairvoyantFigures;
    for (std::size_t pool = 0; pool < fleet.instances.size(); ++pool) {
        const Series series = makeSeries(fleet, pool, load, steadyLong, seed);
        FifoRouter fifo;
        run(fifo, series, fleet.instances[pool], fifoFigures);
        PoolRouter router(settings);
        for (const auto &[service, time] : series.declared) {
            router.setDeclared(service, time);
        }
        run(router, series, fleet.instances[pool], routerFigures);
        ClairvoyantRouter clairvoyantRouter(series.sizes, micros(ShortMedian * 10));
        run(clairvoyantRouter, series, fleet.instances[pool], clairvoyantFigures);
    }
    const std::string name = fleet.name + (steadyLong ? "/steady-long" : "");
    const Row fifoRow = report(name, "naive", fifoFigures);
    const Row routerRow = report(name, "ours", routerFigures);
    const Row clairvoyantRow = report(name, "clairvoyant", clairvoyantFigures);
    std::printf("%-23s short p99 ours/naive %.3f (goal 0.1), ours/clairvoyant %.2f (goal 2), long total ours/naive "
                "%.3f (goal 1.05), %zu requests, %zu long\n",
                name.c_str(), routerRow.p99 / fifoRow.p99, routerRow.p99 / std::max(1e-6, clairvoyantRow.p99),
                routerRow.longTotal / fifoRow.longTotal, routerFigures.requests, routerFigures.longs);
}

}

int main(int count, char **arguments)
{
    const std::uint64_t seed = count > 1 ? std::strtoull(arguments[1], nullptr, 10) : 20261204;
    const double load = count > 2 ? std::strtod(arguments[2], nullptr) : 0.6;
    RouterSettings settings;
    for (int index = 3; index < count; ++index) {
        if (!applySetting(settings, arguments[index])) {
            std::fprintf(stderr, "unknown setting: %s\n", arguments[index]);
            return 2;
        }
    }
    std::printf("seed %llu, mean load %.2f of the slots, bursts of %.0f times that\n",
                static_cast<unsigned long long>(seed), load, BurstFactor);
    std::printf("%-23s %-12s %8s %9s %9s %12s %12s %12s %12s\n", "fleet", "policy", "p50 ms", "p99 ms", "p99.9 ms",
                "long mean s", "long wait s", "long worst s", "long total s");
    for (const bool steadyLong : {false, true}) {
        for (const FleetShape &fleet : Fleets) {
            compare(fleet, load, steadyLong, seed, settings);
        }
    }
    return 0;
}
