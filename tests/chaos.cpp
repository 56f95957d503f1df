// Runs the real processes, injects faults by a seeded schedule and checks the recorded history against the guarantees.
// Usage: chaos --bin DIR [--seed N] [--seconds N] [--entries N]

#include "alerts.h"
#include "fleet.h"
#include "harness.h"
#include "history.h"

#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

using namespace briarvane;
using harness::Response;

namespace
{

constexpr int LongPauseMs = 7000;  // longer than the lease of an entry, 5 s
constexpr int RequestTimeoutMs = 30'000;

struct Options
{
    std::string bin = "build/release";
    unsigned seed = 1;
    int seconds = 30;
    int entries = 8;
};

/// Unix time, so that times of this process can be compared with those that the upstream stand-in reports.
TimePoint unixNow()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

TimePoint fromUnixMs(double milliseconds)
{
    return TimePoint(Duration(static_cast<std::int64_t>(milliseconds * 1000.0)));
}

void sleepMs(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/// A period in which an instance was drained. It starts at `from`, when the drain command has returned, and ends at
/// `until`, just before the drain is undone. In this period no execution may begin on the instance later than
/// history::DrainingLimit after `from`.
struct DrainRecord
{
    std::string instance;
    TimePoint from;
    TimePoint until = TimePoint::max();
};

/// A move between pools as read from the coordination service: at `lastBefore` the instance was last seen in pool
/// `before`, and at `firstAfter` it was first seen in pool `after`.
struct PoolChange
{
    std::string instance;
    std::string before;
    std::string after;
    TimePoint lastBefore;
    TimePoint firstAfter;
};

struct Recorder
{
    std::mutex mutex;
    history::History history;
    std::vector<DrainRecord> drains;
    std::vector<PoolChange> poolChanges;
    std::map<std::string, int> outcomes;
    std::map<std::string, int> faults;
    std::vector<std::string> otherViolations;  // violations found during the run, not by the history checker
    std::atomic<bool> stop = false;

    void fault(const std::string &name)
    {
        const std::lock_guard lock(mutex);
        ++faults[name];
    }
};

std::string sheetText(int perPool, int sheetNumber)
{
    // The number is part of the deadline of the service "documents", so that each sheet is different.
    std::string text = "kind,name,pool,profile,time_zone,min_instances,spare,route,class,deadline_s,declared_s,"
                       "availability_pct,idempotent,count\n"
                       "fleet,,,saaristo,Europe/Helsinki,,,,,,,,,\n";
    int rows = 1;
    for (const std::string pool : {"quotes", "stems", "documents"}) {
        text += "pool," + pool + ",,,,2,no,,,,,,,\n";
        ++rows;
    }
    text += "service,quotes,quotes,,,,,/quotes,short,5,0.02,65,yes,\n";
    text += "service,stems,stems,,,,,/stems,short,5,0.02,65,no,\n";
    text += "service,documents,documents,,,,,/documents,long," + std::to_string(60 + sheetNumber) + ",1,65,no,\n";
    rows += 3;
    for (const std::string pool : {"quotes", "stems", "documents"}) {
        for (int i = 1; i <= perPool; ++i) {
            text.append("instance,").append(pool).append("-").append(std::to_string(i));
            text.append(",").append(pool).append(",,,,,,,,,,,\n");
            ++rows;
        }
    }
    return text + "end,,,,,,,,,,,,," + std::to_string(rows) + "\n";
}

std::string header(const Response &response, const std::string &name)
{
    const auto it = response.headers.find(name);
    return it == response.headers.end() ? std::string() : it->second;
}

// Callers -------------------------------------------------------------------------------------------------------------

struct RequestKind
{
    std::string service;
    std::string method;
    std::string target;
    int workMs = 0;
    bool idempotent = false;
    bool keyed = false;
};

const RequestKind RequestKinds[] = {
    {"quotes", "GET", "/quotes/fuel", 15, true, false},
    {"stems", "POST", "/stems/confirm", 25, false, true},
    {"stems", "POST", "/stems/unkeyed", 25, false, false},
    {"documents", "POST", "/documents/chase", 900, false, false},
};

void send(const harness::Fleet &fleet, const RequestKind &kind, const std::string &id, const std::string &key,
          int entry, Recorder &recorder)
{
    std::map<std::string, std::string> headers{
        {"X-Work-Ms", std::to_string(kind.workMs)}, {"Briarvane-Request-Id", id}, {"Briarvane-Tenant", "agent"}};
    if (!key.empty()) {
        headers["Idempotency-Key"] = key;
    }
    history::CallerEvent event{
        .requestId = id, .service = {kind.service}, .tenant = {"agent"}, .key = key, .idempotent = kind.idempotent};
    event.sent = unixNow();
    const Response response
        = harness::request(fleet.callerPort(entry), kind.method, kind.target, headers, key, RequestTimeoutMs);
    event.receivedAt = unixNow();
    event.outcome = response.status == 0 ? std::nullopt : parseEnum<Outcome>(header(response, "briarvane-outcome"));
    event.complete = response.status != 0;
    event.requestDigest = kind.method + " " + kind.target;
    event.responseDigest = response.body;
    const std::lock_guard lock(recorder.mutex);
    ++recorder.outcomes[event.outcome            ? std::string(toString(*event.outcome))
                            : response.connected ? "connection lost"
                                                 : "not connected"];
    recorder.history.callers.push_back(std::move(event));
}

/// Sends requests until the run stops. Many keyed requests are sent several times with the same key through random
/// entries, like those of a caller that received no outcome and retries.
void callerLoop(const harness::Fleet &fleet, const RequestKind &kind, int number, unsigned seed, Recorder &recorder)
{
    std::mt19937 random(seed * 1000 + static_cast<unsigned>(number));
    for (int i = 0; !recorder.stop; ++i) {
        const std::string name = std::to_string(number) + "-" + std::to_string(i);
        const std::string key = kind.keyed ? "key-" + name : "";
        const int attempts = kind.keyed ? 1 + static_cast<int>(random() % 3) : 1;
        std::vector<std::thread> sends;
        for (int attempt = 0; attempt < attempts; ++attempt) {
            const int entry = static_cast<int>(random() % static_cast<unsigned>(fleet.entries()));
            sends.emplace_back([&, entry, attempt] {
                send(fleet, kind, "r" + name + "-" + std::to_string(attempt), key, entry, recorder);
            });
            sleepMs(static_cast<int>(random() % 40));
        }
        for (std::thread &thread : sends) {
            thread.join();
        }
        sleepMs(5);
    }
}

// Observers -----------------------------------------------------------------------------------------------------------

/// Records the versions of the sheet and the alert rules that each entry reports as in force while it may start work.
void recordVersions(const harness::Fleet &fleet, const std::vector<std::atomic<int>> &startCounts, Recorder &recorder)
{
    while (!recorder.stop) {
        for (int i = 0; i < fleet.entries(); ++i) {
            const auto start = static_cast<std::uint64_t>(startCounts[static_cast<std::size_t>(i)].load());
            const auto status = fleet.operatorGet(i, "/v1/status");
            if (!status.is_object()
                || static_cast<std::uint64_t>(startCounts[static_cast<std::size_t>(i)].load()) != start) {
                continue;
            }
            const std::string view(status.at("view").as_string());
            if (view != "usable" && view != "store-outage") {
                continue;
            }
            const TimePoint at = unixNow();
            const std::lock_guard lock(recorder.mutex);
            for (const char *key : {"sheet", "alerts"}) {
                const auto version = status.at(key).at("version").to_number<std::uint64_t>();
                if (version > 0) {
                    recorder.history.seen.push_back({{"e" + std::to_string(i)}, start, key, version, at});
                }
            }
        }
        sleepMs(50);
    }
}

/// Records the pool of each instance in the fleet value, and each change of an instance's pool.
void recordPoolChanges(const harness::Fleet &fleet, Recorder &recorder)
{
    std::map<std::string, std::string> pools;
    TimePoint lastReadAt = unixNow();
    while (!recorder.stop) {
        const TimePoint requestedAt = unixNow();
        const auto value = fleet.storeValue("fleet");
        const TimePoint answeredAt = unixNow();
        const auto parsed = value ? parseFleet(*value) : Result<Fleet>(Error{});
        if (parsed) {
            const std::lock_guard lock(recorder.mutex);
            for (const auto &[id, instance] : parsed.value().instances) {
                std::string &before = pools[id.value];
                if (!before.empty() && before != instance.pool.value) {
                    recorder.poolChanges.push_back({id.value, before, instance.pool.value, lastReadAt, answeredAt});
                }
                before = instance.pool.value;
                recorder.history.pools.push_back({parsed.value().change, id, instance.pool});
            }
            lastReadAt = requestedAt;
        }
        sleepMs(20);
    }
}

// Faults and operators ------------------------------------------------------------------------------------------------

class Schedule
{
public:
    Schedule(harness::Fleet &fleet, std::vector<std::atomic<int>> &startCounts, Recorder &recorder,
             const Options &options, std::string work)
        : m_fleet(fleet)
        , m_startCounts(startCounts)
        , m_recorder(recorder)
        , m_options(options)
        , m_work(std::move(work))
        , m_random(options.seed)
    {
    }

    void run()
    {
        const std::vector<std::function<void()>> faults{
            [this] { kill(); },
            [this] { pauseEntry(LongPauseMs); },
            [this] { pauseEntry(1500); },
            [this] { coordinationDown(); },
            [this] { storeSlow(); },
            [this] { loseResponses(); },
            [this] { cutWatches(); },
            [this] { upstreamFault("truncate"); },
            [this] { upstreamFault("reset-before"); },
            [this] { upstreamFault("reset-after"); },
            [this] { upstreamFault("fail"); },
            [this] { plannedStop(); },
        };
        const std::vector<std::function<void()>> operations{
            [this] { drain(); },       [this] { move(); },        [this] { wave(); },
            [this] { applySheets(); }, [this] { applyAlerts(); },
        };
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(m_options.seconds);
        std::vector<std::function<void()>> order = faults;
        while (std::chrono::steady_clock::now() < end) {
            if (m_nextFault == 0) {
                std::shuffle(order.begin(), order.end(), m_random);
            }
            // An operator command runs during the fault, and with probability 1/2 a second fault is injected.
            std::thread operation(operations[pickIndex(operations.size())]);
            std::vector<std::thread> active;
            active.emplace_back(order[m_nextFault]);
            m_nextFault = (m_nextFault + 1) % order.size();
            if (pickIndex(2) == 0) {
                active.emplace_back(faults[3 + pickIndex(8)]);
            }
            operation.join();
            for (std::thread &thread : active) {
                thread.join();
            }
            sleepMs(500);
        }
    }

private:
    std::size_t pickIndex(std::size_t count)
    {
        const std::lock_guard lock(m_randomMutex);
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }
    int pickEntry()
    {
        return static_cast<int>(pickIndex(static_cast<std::size_t>(m_fleet.entries())));
    }
    std::string pickInstance()
    {
        return m_fleet.instances()[pickIndex(m_fleet.instances().size())].id;
    }

    void restart(int entry)
    {
        ++m_startCounts[static_cast<std::size_t>(entry)];
        m_fleet.startEntry(entry);
    }
    void kill()
    {
        m_recorder.fault("entry killed");
        const int entry = pickEntry();
        const std::lock_guard lock(m_entryMutex);
        m_fleet.entry(entry).signal(SIGKILL);
        m_fleet.entry(entry).wait(5000);
        m_fleet.publishEntryPresence(entry, "gone");
        sleepMs(1000);
        restart(entry);
    }
    void pauseEntry(int milliseconds)
    {
        m_recorder.fault(milliseconds > 5000 ? "entry paused beyond its lease" : "entry paused briefly");
        const int entry = pickEntry();
        const std::lock_guard lock(m_entryMutex);
        m_fleet.entry(entry).signal(SIGSTOP);
        sleepMs(milliseconds);
        m_fleet.entry(entry).signal(SIGCONT);
    }
    void plannedStop()
    {
        m_recorder.fault("entry stopped as planned");
        const int entry = pickEntry();
        const std::lock_guard lock(m_entryMutex);
        m_fleet.entry(entry).signal(SIGTERM);
        const auto code = m_fleet.entry(entry).wait(70'000);
        if (code != 0) {
            const std::lock_guard recorderLock(m_recorder.mutex);
            m_recorder.otherViolations.push_back("P7: a planned stop of an entry ended with "
                                                 + std::to_string(code.value_or(-1)));
        }
        m_fleet.publishEntryPresence(entry, "gone");
        restart(entry);
    }
    void coordinationDown()
    {
        m_recorder.fault("store down");
        m_fleet.coordinationFault("down=1");
        sleepMs(4500);
        m_fleet.coordinationFault("down=0");
    }
    void storeSlow()
    {
        m_recorder.fault("store slow");
        m_fleet.coordinationFault("slow_ms=400");
        sleepMs(3000);
        m_fleet.coordinationFault("slow_ms=0");
    }
    void loseResponses()
    {
        m_recorder.fault("answers of writes lost");
        m_fleet.coordinationFault("lose_answers=20");
        sleepMs(1000);
    }
    void cutWatches()
    {
        m_recorder.fault("watches cut");
        m_fleet.coordinationFault("cut_watches=1");
    }
    void upstreamFault(const std::string &kind)
    {
        m_recorder.fault("upstream " + kind);
        const std::string instance = pickInstance();
        m_fleet.upstreamFault(instance, kind, 0);
        sleepMs(2500);
        m_fleet.upstreamFault(instance, "none", 0);
    }

    void drain()
    {
        m_recorder.fault("operator drains");
        const std::string instance = pickInstance();
        const int exit = m_fleet.command(pickEntry(), {"instance", "drain", instance}).exitCode;
        if (exit != 0 && exit != 6) {
            return;
        }
        {
            const std::lock_guard lock(m_recorder.mutex);
            m_recorder.drains.push_back({instance, unixNow()});
        }
        sleepMs(5000);
        const TimePoint before = unixNow();
        for (int i = 0; i < 40; ++i) {
            if (m_fleet.command(pickEntry(), {"instance", "drain", instance, "--undo"}).exitCode % 6 == 0) {
                break;
            }
            sleepMs(250);
        }
        const std::lock_guard lock(m_recorder.mutex);
        for (DrainRecord &item : m_recorder.drains) {
            if (item.instance == instance && item.until == TimePoint::max()) {
                item.until = before;
            }
        }
    }
    void move()
    {
        m_recorder.fault("operator moves");
        const char *pools[] = {"quotes", "stems", "documents"};
        m_fleet.command(pickEntry(),
                        {"instance", "move", pickInstance(), "--to", pools[pickIndex(3)], "--wait-s", "5"});
    }
    void wave()
    {
        m_recorder.fault("operator starts a wave");
        const char *pools[] = {"quotes", "stems", "documents"};
        m_fleet.command(
            pickEntry(),
            {"wave", "start", "w" + std::to_string(++m_waves), "--pool", pools[pickIndex(3)], "--wait-s", "6"});
    }
    /// Two operators apply different sheets at the same time through random entries.
    void applySheets()
    {
        m_recorder.fault("two operators apply sheets");
        std::vector<std::thread> operators;
        operators.reserve(2);
        for (int i = 0; i < 2; ++i) {
            operators.emplace_back([this, number = ++m_sheets] {
                apply("sheet", sheetText(static_cast<int>(m_fleet.instances().size()) / 3, number), number);
            });
        }
        for (std::thread &thread : operators) {
            thread.join();
        }
    }
    void applyAlerts()
    {
        m_recorder.fault("operator applies rules");
        const int number = ++m_sheets;
        apply("alerts", "queue: briarvane_queue_length > " + std::to_string(number) + " for 1m severity page\n",
              number);
    }
    void apply(const std::string &kind, const std::string &text, int number)
    {
        const std::string file = m_work + "/" + kind + "-" + std::to_string(number);
        std::ofstream(file, std::ios::binary) << text;
        const auto result = m_fleet.command(pickEntry(), {"--output", "json", kind, "apply", file});
        boost::system::error_code error;
        const boost::json::value reply = boost::json::parse(result.output, error);
        if (!error && result.exitCode == 0 && reply.is_object()) {
            const std::lock_guard lock(m_recorder.mutex);
            m_recorder.history.accepted.push_back({kind, reply.at("version").to_number<std::uint64_t>(), unixNow()});
        }
    }

    harness::Fleet &m_fleet;
    std::vector<std::atomic<int>> &m_startCounts;
    Recorder &m_recorder;
    const Options &m_options;
    std::string m_work;
    std::mt19937 m_random;
    std::mutex m_randomMutex;
    std::mutex m_entryMutex;  // only one entry at a time is killed, paused or stopped
    std::size_t m_nextFault = 0;
    std::atomic<int> m_waves = 0;
    std::atomic<int> m_sheets = 1;
};

// Evaluation ----------------------------------------------------------------------------------------------------------

void addExecutions(const harness::Fleet &fleet, Recorder &recorder)
{
    std::map<std::string, int> instanceNumbers;
    for (const harness::Instance &instance : fleet.instances()) {
        instanceNumbers.emplace(instance.id, static_cast<int>(instanceNumbers.size()));
    }
    for (std::size_t i = 0; i < fleet.instances().size(); ++i) {
        instanceNumbers[fleet.instances()[i].id] = static_cast<int>(i);
    }
    const boost::json::value executions = fleet.upstream("/executions");
    for (const boost::json::value &item : executions.as_array()) {
        history::Execution execution;
        const std::string target(item.at("target").as_string());
        const std::string instance(item.at("instance").as_string());
        execution.requestId = std::string(item.at("request").as_string());
        if (execution.requestId.empty()) {
            continue;  // a health check after a reboot
        }
        execution.service = {target.substr(1, target.find('/', 1) - 1)};
        execution.tenant = {"agent"};
        execution.key = std::string(item.at("key").as_string());
        execution.instance = {instance};
        execution.start = fromUnixMs(item.at("start_ms").to_number<double>());
        execution.end = fromUnixMs(item.at("end_ms").to_number<double>());
        execution.cut = item.at("state").as_string() == "cut";
        execution.planned = true;  // in this run only maintenance waves reboot instances
        execution.requestDigest = std::string(item.at("method").as_string()) + " " + target;
        execution.responseDigest = item.at("state").as_string() == "failed"
            ? std::string("failed\n")
            : "request=" + execution.requestId + " instance=" + std::to_string(instanceNumbers[instance]) + "\n";
        for (const DrainRecord &drain : recorder.drains) {
            if (drain.instance == instance && execution.start > drain.from && execution.start < drain.until) {
                execution.drainAge = execution.start - drain.from;
            }
        }
        recorder.history.executions.push_back(std::move(execution));
    }
}

/// Checks guarantee P2 on the executions at the upstreams: no service runs on an instance of another pool.
history::Violations findWrongPoolExecutions(const Recorder &recorder)
{
    history::Violations violationsFound;
    for (const PoolChange &change : recorder.poolChanges) {
        for (const history::Execution &execution : recorder.history.executions) {
            const bool endsAfterMove = execution.service.value == change.before && execution.end > change.firstAfter
                && execution.start < change.firstAfter;
            const bool startsBeforeMove = execution.service.value == change.after && execution.start < change.lastBefore
                && execution.end > change.lastBefore;
            if (execution.instance.value == change.instance && (endsAfterMove || startsBeforeMove)) {
                violationsFound.push_back({"P2",
                                           "request " + execution.requestId + " of service " + execution.service.value
                                               + " ran on " + change.instance + " over its move from " + change.before
                                               + " to " + change.after});
            }
        }
    }
    return violationsFound;
}

int printReport(const Recorder &recorder, const Options &options)
{
    history::Violations violations = history::check(recorder.history);
    const history::Violations wrongPool = findWrongPoolExecutions(recorder);
    violations.insert(violations.end(), wrongPool.begin(), wrongPool.end());
    std::cout << "seed " << options.seed << ", " << options.seconds << " s, " << options.entries
              << " entries\nfaults and operations:\n";
    for (const auto &[name, count] : recorder.faults) {
        std::cout << "  " << name << ": " << count << '\n';
    }
    std::cout << "outcomes:\n";
    for (const auto &[name, count] : recorder.outcomes) {
        std::cout << "  " << name << ": " << count << '\n';
    }
    std::cout << recorder.history.executions.size() << " executions, " << recorder.poolChanges.size()
              << " pool changes, " << recorder.drains.size() << " drains, " << recorder.history.accepted.size()
              << " accepted configurations, " << recorder.history.seen.size() << " versions seen\n";
    for (const std::string &description : recorder.otherViolations) {
        std::cout << "VIOLATION " << description << '\n';
    }
    constexpr std::size_t maxShown = 20;
    for (std::size_t i = 0; i < violations.size() && i < maxShown; ++i) {
        std::cout << "VIOLATION " << violations[i].guarantee << ": " << violations[i].description << '\n';
    }
    const std::size_t count = violations.size() + recorder.otherViolations.size();
    std::cout << count << " violations" << std::endl;
    // A run with too few answered requests does not prove that the guarantees hold.
    const bool hasEnoughWork = recorder.outcomes.count("answered") != 0 && recorder.history.executions.size() > 100;
    if (!hasEnoughWork) {
        std::cout << "too little work was done for a verdict\n";
    }
    return count == 0 && hasEnoughWork ? 0 : 1;
}

}

int main(int argc, char **argv)
{
    Options options;
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string name = argv[i];
        const std::string value = argv[i + 1];
        if (name == "--bin") {
            options.bin = value;
        } else if (name == "--seed") {
            options.seed = static_cast<unsigned>(std::stoul(value));
        } else if (name == "--seconds") {
            options.seconds = std::stoi(value);
        } else if (name == "--entries") {
            options.entries = std::stoi(value);
        }
    }
    constexpr int perPool = 6;
    harness::FleetOptions fleetOptions;
    fleetOptions.bin = std::filesystem::absolute(options.bin).string();
    fleetOptions.work
        = (std::filesystem::temp_directory_path() / ("briarvane-chaos-" + std::to_string(::getpid()))).string();

    fleetOptions.entries = options.entries;
    std::filesystem::create_directories(fleetOptions.work);
    for (const std::string pool : {"quotes", "stems", "documents"}) {
        for (int i = 1; i <= perPool; ++i) {
            fleetOptions.instances.push_back({pool + "-" + std::to_string(i), pool, 0});
        }
    }
    std::cout << "logs in " << fleetOptions.work << std::endl;
    harness::Fleet fleet(fleetOptions);
    if (!fleet.start()) {
        return 1;
    }
    const std::string sheet = fleetOptions.work + "/sheet-0";
    std::ofstream(sheet, std::ios::binary) << sheetText(perPool, 0);
    const auto applied = fleet.command(0, {"sheet", "apply", sheet});
    if (applied.exitCode != 0) {
        std::cerr << applied.output;
        return 1;
    }
    Recorder recorder;
    std::vector<std::atomic<int>> startCounts(static_cast<std::size_t>(options.entries));
    std::vector<std::thread> threads;
    int number = 0;
    for (const RequestKind &kind : RequestKinds) {
        for (int i = 0; i < 3; ++i) {
            threads.emplace_back([&, caller = ++number] { callerLoop(fleet, kind, caller, options.seed, recorder); });
        }
    }
    threads.emplace_back([&] { recordVersions(fleet, startCounts, recorder); });
    threads.emplace_back([&] { recordPoolChanges(fleet, recorder); });
    Schedule(fleet, startCounts, recorder, options, fleetOptions.work).run();
    fleet.coordinationFault("down=0&slow_ms=0");
    sleepMs(2000);
    recorder.stop = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    addExecutions(fleet, recorder);
    return printReport(recorder, options);
}
