// Measures the cost of the control part of one entry (heartbeats, views, drains, the fleet value and the instance list)
// by the size of the fleet and the number of entries. Covers decisions and message encoding in simulated time, without
// network and store.
// Usage: control_bench [simulated seconds per case]

#include "peers_messages.h"

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <unistd.h>

using namespace briarvane;

namespace
{

constexpr int InstancesToday = 50;
constexpr int ValueBytesPerInstance = 80;          // the design estimates a value below 256 KB for 3,200 instances
constexpr Duration FleetChangePeriod{30'000'000};  // 2,880 changes a day; 2,600 a day are expected in two years
// 859 failures or restarts of instances a day are expected; each changes the instance list twice.
constexpr Duration InstanceChangePeriod{50'000'000};
constexpr Duration InstancePeriod{1'000'000};
constexpr int ResponsibilityLookups = 40;  // lookups of responsible entries in each InstancePeriod
constexpr Duration Step{100'000};

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double residentMegabytes()
{
    std::ifstream file("/proc/self/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

struct Figures
{
    double coreShare = 0;      // percent of one core
    double heartbeatRate = 0;  // bytes per second that the entry sends for heartbeats
    double valueRate = 0;      // bytes per second that an entry sends for the fleet value, mean over the entries
    double listRate = 0;       // bytes per second that an entry sends for the instance list, mean over the entries
    double resident = 0;       // resident memory of the process with the data of this case, MB
};

EntryId entryId(int index)
{
    return EntryId{"entry-" + std::to_string(index)};
}

/// Simulates one entry in a cluster of `entries`. The time for making the other entries' messages is not measured.
Figures run(int instances, int entries, int seconds)
{
    const TimePoint start{Duration{1'000'000'000}};
    std::vector<InstanceRecord> records;
    records.reserve(static_cast<std::size_t>(instances));
    for (int i = 0; i < instances; ++i) {
        records.push_back({InstanceId{"instance-" + std::to_string(10'000 + i)},
                           "10.0." + std::to_string(i / 250) + ".7", 8080, "dc-" + std::to_string(i % 5),
                           "rack-" + std::to_string(i / 20), Presence::Live});
    }
    StoreValue fleet{"fleet", std::string(static_cast<std::size_t>(instances) * ValueBytesPerInstance, 'f'), 1};
    Membership membership(entryId(0), 7'000'000'000'000'000'007ULL, start);
    std::set<EntryId> listed;
    for (int i = 0; i < entries; ++i) {
        listed.insert(entryId(i));
    }
    membership.setListed(listed, start);
    const std::vector<std::string> keys = {"config/sheet", "config/alerts", "alarms", "fleet"};
    for (const std::string &key : keys) {
        membership.setInForce(key, 1);
    }

    double measured = 0;
    double heartbeatBytes = 0;
    double valueBytes = 0;
    double listBytes = 0;
    std::uint64_t checksum = 0;
    std::uint64_t round = 0;
    const auto timed = [&measured](const auto &work) {
        const double startedAt = processorSeconds();
        work();
        measured += processorSeconds() - startedAt;
    };
    const auto header = [](wire::Envelope &message, int sender, std::uint64_t sequence) {
        message.set_sender(entryId(sender).value);
        message.set_start_id(7'000'000'000'000'000'007ULL + static_cast<std::uint64_t>(sender));
        message.set_sequence(sequence);
    };
    const std::int64_t steps = std::int64_t{seconds} * 1'000'000 / Step.count();
    for (std::int64_t step = 1; step <= steps; ++step) {
        const TimePoint now = start + step * Step;
        const Duration elapsed = step * Step;
        timed([&] { membership.tick(now); });
        if (elapsed % HeartbeatPeriod == Duration::zero()) {
            timed([&] {
                membership.heartbeatSent(++round, now);
                wire::Envelope message;
                fillHeartbeat(*message.mutable_heartbeat(), membership, now);
                message.mutable_heartbeat()->set_round(round);
                message.mutable_heartbeat()->set_address("tcp://10.0.0.1:7000");
                message.mutable_heartbeat()->set_data_centre("dc-1");
                for (int peer = 1; peer < entries; ++peer) {
                    message.mutable_heartbeat()->clear_echo();
                    wire::HeartbeatEcho &echo = *message.mutable_heartbeat()->add_echo();
                    echo.set_entry(entryId(peer).value);
                    echo.set_start_id(7'000'000'000'000'000'007ULL + static_cast<std::uint64_t>(peer));
                    echo.set_round(round);
                    header(message, 0, round);
                    heartbeatBytes += static_cast<double>(message.SerializeAsString().size());
                }
            });
            for (int peer = 1; peer < entries; ++peer) {
                wire::Envelope message;
                fillHeartbeat(*message.mutable_heartbeat(), membership, now);
                wire::HeartbeatEcho &echo = *message.mutable_heartbeat()->add_echo();
                echo.set_entry(entryId(0).value);
                echo.set_start_id(membership.startId());
                echo.set_round(round);
                message.mutable_heartbeat()->set_round(round);
                message.mutable_heartbeat()->set_store_contact_age_us(100'000);
                header(message, peer, round);
                const std::string bytes = message.SerializeAsString();
                timed([&] {
                    wire::Envelope received;
                    received.ParseFromString(bytes);
                    membership.heartbeat(parseHeartbeat(received, membership), Duration{100'000}, now);
                });
            }
            timed([&] {
                checksum += membership.mayStartWork(now) ? 1 : 0;
                checksum += membership.mayAcceptDrain(now) ? 1 : 0;
                checksum += membership.drainBlockers(InstanceId{"instance-1"}, fleet.version, now).size();
            });
        }
        if (elapsed % FleetChangePeriod == Duration::zero()) {
            ++fleet.version;
            std::string bytes;
            // One entry writes each change and sends it to all others, so the cost of sending is divided by `entries`.
            const double startedAt = processorSeconds();
            for (int peer = 1; peer < entries; ++peer) {
                wire::Envelope message = makeConfigUpdate(fleet);
                header(message, 0, 1);
                bytes = message.SerializeAsString();
                valueBytes += static_cast<double>(bytes.size()) / entries;
            }
            measured += (processorSeconds() - startedAt) / entries;
            timed([&] {
                wire::Envelope received;
                received.ParseFromString(bytes);
                const StoreValue copy{received.config_update().key(), received.config_update().value(),
                                      received.config_update().version()};
                membership.setInForce(copy.key, copy.version);
                checksum += copy.value.size();
            });
        }
        if (elapsed % InstancePeriod == Duration::zero()) {
            const std::vector<InstanceRecord> before = records;
            if (elapsed % InstanceChangePeriod == Duration::zero()) {
                Presence &presence = records[static_cast<std::size_t>(step) % records.size()].presence;
                presence = presence == Presence::Live ? Presence::Gone : Presence::Live;
            }
            std::string bytes;
            const double startedAt = processorSeconds();
            wire::Envelope message;
            fillInstanceList(*message.mutable_instance_list(), records, before);
            header(message, 0, 1);
            bytes = message.SerializeAsString();
            listBytes += static_cast<double>(bytes.size()) * (entries - 1) / entries;
            measured += (processorSeconds() - startedAt) / entries;
            timed([&] {
                wire::Envelope received;
                received.ParseFromString(bytes);
                checksum += applyInstanceList(received.instance_list(), before) ? 1 : 0;
                for (int lookup = 0; lookup < ResponsibilityLookups; ++lookup) {
                    checksum += membership.responsible("pool/" + std::to_string(lookup), now).value.size();
                }
            });
        }
    }
    if (checksum == 0) {
        std::puts("nothing was decided");
    }
    return {measured / seconds * 100, heartbeatBytes / seconds, valueBytes / seconds, listBytes / seconds,
            residentMegabytes()};
}

/// Exponent e of the fit y = c * x^e, by least squares of the logarithms; 1 is linear growth.
double exponent(const std::vector<std::pair<double, double>> &points)
{
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (const auto &[x, y] : points) {
        const double lx = std::log(x);
        const double ly = std::log(y);
        sx += lx;
        sy += ly;
        sxx += lx * lx;
        sxy += lx * ly;
    }
    const auto count = static_cast<double>(points.size());
    return (count * sxy - sx * sy) / (count * sxx - sx * sx);
}

}

int main(int argc, char **argv)
{
    const int seconds = argc > 1 ? std::max(1, std::atoi(argv[1])) : 600;
    std::printf("simulated %d s per case\n", seconds);
    std::printf("%9s %7s %8s %13s %11s %11s %11s %9s\n", "instances", "entries", "core %", "heartbeat B/s", "value B/s",
                "list B/s", "total B/s", "RSS MB");
    std::vector<std::pair<double, double>> cpuBySize;
    std::vector<std::pair<double, double>> bytesBySize;
    std::vector<std::pair<double, double>> cpuByEntries;
    std::vector<std::pair<double, double>> bytesByEntries;
    for (const int entries : {8, 16, 32}) {
        for (const int scale : {1, 4, 16, 64}) {
            const Figures figures = run(scale * InstancesToday, entries, seconds);
            const double total = figures.heartbeatRate + figures.valueRate + figures.listRate;
            std::printf("%9d %7d %8.3f %13.0f %11.0f %11.0f %11.0f %9.1f\n", scale * InstancesToday, entries,
                        figures.coreShare, figures.heartbeatRate, figures.valueRate, figures.listRate, total,
                        figures.resident);
            if (entries == 8) {
                cpuBySize.emplace_back(scale, figures.coreShare);
                bytesBySize.emplace_back(scale, total);
            }
            if (scale == 1) {
                cpuByEntries.emplace_back(entries, figures.coreShare);
                bytesByEntries.emplace_back(entries, total);
            }
        }
    }
    std::printf("exponent over instances (8 entries): processor time %.2f, bytes %.2f\n", exponent(cpuBySize),
                exponent(bytesBySize));
    std::printf("exponent over entries (50 instances): processor time %.2f, bytes %.2f\n", exponent(cpuByEntries),
                exponent(bytesByEntries));
    return 0;
}
