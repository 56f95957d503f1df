// Demonstrates the entries on loopback with separate processes: the stand-in of the coordination service, a fleet as in
// the Swan Coast example and 8 entries. Applies a sheet, sends four kinds of requests, moves one instance, drains
// another, which raises an alarm, and runs a maintenance wave. Prints a table; the exit code is 1 if a guarantee was
// broken.

#include "harness.h"
#include "sheet.h"

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <thread>

using harness::Response;

namespace
{

struct RequestKind
{
    std::string name;
    std::string method;
    std::string target;
    int workMs = 0;
    int threads = 0;
    int pauseMs = 0;  // pause of a thread between two requests
    bool keyed = false;
};

const RequestKind RequestKinds[] = {
    {"rosters, short", "GET", "/rosters/today", 20, 6, 10, false},
    {"spinheads, urgent", "POST", "/spinheads/service", 10, 2, 20, false},
    {"orders, keyed", "POST", "/orders/sugar", 30, 6, 15, true},
    {"takings, long", "POST", "/takings/reconcile", 1500, 4, 50, false},
};

/// Alert rule that the drain of this demo triggers.
constexpr const char *DemoRule
    = "spinhead-down: briarvane_instances_disrupted{pool=spinheads} >= 1 for 1s clear < 1 for 1s severity page\n";

struct CallerStats
{
    int sent = 0;
    std::map<std::string, int> outcomes;
    int invalidAnswers = 0;           // partial answers and answers to another request
    std::vector<double> waitTimesMs;  // total time minus the work time of the request
};

struct SharedState
{
    std::mutex mutex;
    std::map<std::string, CallerStats> statsByKind;
    std::set<std::string> notRunIds;  // ids of the requests with the outcome "not-run"
    std::atomic<bool> stop = false;
};

double elapsedMs(std::chrono::steady_clock::time_point since)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - since).count();
}

std::string header(const Response &response, const std::string &name)
{
    const auto it = response.headers.find(name);
    return it == response.headers.end() ? std::string() : it->second;
}

void record(SharedState &state, const RequestKind &kind, const Response &response, double totalMs)
{
    const std::lock_guard lock(state.mutex);
    CallerStats &callerStats = state.statsByKind[kind.name];
    ++callerStats.sent;
    const std::string outcome = response.status == 0 ? "connection lost" : header(response, "briarvane-outcome");
    ++callerStats.outcomes[outcome];
    const std::string id = header(response, "briarvane-request-id");
    if (outcome == "answered") {
        const bool isReplay = header(response, "briarvane-replayed") == "true";
        if (!isReplay && response.body.find("request=" + id + " ") == std::string::npos) {
            ++callerStats.invalidAnswers;
        }
        if (!isReplay) {
            callerStats.waitTimesMs.push_back(totalMs - kind.workMs);
        }
    } else if (outcome == "not-run") {
        state.notRunIds.insert(id);
    }
}

void callerLoop(const harness::Fleet &fleet, const RequestKind &kind, int number, SharedState &state)
{
    constexpr int timeoutMs = 60'000;
    std::mt19937 random(static_cast<unsigned>(number));
    for (int i = 0; !state.stop; ++i) {
        std::map<std::string, std::string> headers{{"X-Work-Ms", std::to_string(kind.workMs)},
                                                   {"Briarvane-Tenant", "vendor-" + std::to_string(number % 3)}};
        std::string key;
        if (kind.keyed) {
            key = "key-" + std::to_string(number) + "-" + std::to_string(i);
            headers["Idempotency-Key"] = key;
        }
        // Every third keyed request is sent twice at the same time with the same key.
        const int sendCount = kind.keyed && i % 3 == 0 ? 2 : 1;
        std::vector<std::thread> threads;
        for (int sendIndex = 0; sendIndex < sendCount; ++sendIndex) {
            const int entry = static_cast<int>(random() % static_cast<unsigned>(fleet.entries()));
            threads.emplace_back([&, entry] {
                const auto startedAt = std::chrono::steady_clock::now();
                const Response response
                    = harness::request(fleet.callerPort(entry), kind.method, kind.target, headers, "body", timeoutMs);
                record(state, kind, response, elapsedMs(startedAt));
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(kind.pauseMs));
    }
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

void printTable(const SharedState &state)
{
    std::cout << "\n" << std::left << std::setw(20) << "class" << std::right;
    for (const char *column :
         {"sent", "answered", "not run", "unknown", "in progress", "lost", "wait p50 ms", "wait p99 ms"}) {
        std::cout << std::setw(13) << column;
    }
    std::cout << '\n' << std::fixed << std::setprecision(1);
    for (const auto &item : state.statsByKind) {
        const std::string &name = item.first;
        const CallerStats &callerStats = item.second;
        const auto count = [&callerStats](const std::string &outcome) {
            const auto it = callerStats.outcomes.find(outcome);
            return it == callerStats.outcomes.end() ? 0 : it->second;
        };
        std::cout << std::left << std::setw(20) << name << std::right << std::setw(13) << callerStats.sent
                  << std::setw(13) << count("answered") << std::setw(13) << count("not-run") << std::setw(13)
                  << count("unknown") << std::setw(13) << count("in-progress") << std::setw(13)
                  << count("connection lost") << std::setw(13) << quantile(callerStats.waitTimesMs, 0.5)
                  << std::setw(13) << quantile(callerStats.waitTimesMs, 0.99) << '\n';
    }
}

/// Collects the checks that failed. If no check failed, every guarantee that this run can check held.
class GuaranteeChecks
{
public:
    void require(bool holds, const std::string &description)
    {
        if (!holds) {
            m_failures.push_back(description);
        }
    }
    int print() const
    {
        for (const std::string &description : m_failures) {
            std::cout << "BROKEN: " << description << '\n';
        }
        std::cout << (m_failures.empty() ? "every guarantee checked in this run held\n" : "") << std::flush;
        return m_failures.empty() ? 0 : 1;
    }

private:
    std::vector<std::string> m_failures;
};

void checkExecutions(const harness::Fleet &fleet, const SharedState &state, GuaranteeChecks &checks)
{
    std::map<std::string, int> perKey;
    std::map<std::string, int> perRequest;
    int cut = 0;
    int ranDespiteNotRun = 0;
    const boost::json::value executions = fleet.upstream("/executions");
    if (!executions.is_array()) {
        checks.require(false, "the upstream stand-in returned no list of executions");
        return;
    }
    for (const boost::json::value &item : executions.as_array()) {
        const std::string key(item.at("key").as_string());
        const std::string request(item.at("request").as_string());
        if (!key.empty()) {
            ++perKey[key];
        } else if (item.at("method").as_string() == "POST") {
            ++perRequest[request];
        }
        cut += item.at("state").as_string() == "cut" ? 1 : 0;
        ranDespiteNotRun += state.notRunIds.count(request) != 0 ? 1 : 0;
    }
    const auto highestCount = [](const std::map<std::string, int> &counts) {
        int highest = 0;
        for (const auto &[name, count] : counts) {
            highest = std::max(highest, count);
        }
        return highest;
    };
    std::cout << "executions per idempotency key: at most " << highestCount(perKey) << " over " << perKey.size()
              << " keys; per unkeyed POST: at most " << highestCount(perRequest) << " over " << perRequest.size()
              << "; aborted by planned stops: " << cut << '\n';
    checks.require(!perKey.empty() && highestCount(perKey) == 1, "a keyed request ran more than once, or none ran");
    checks.require(!perRequest.empty() && highestCount(perRequest) == 1,
                   "an unkeyed POST ran more than once, or none ran");
    checks.require(cut == 0, "a planned stop aborted a request");
    checks.require(ranDespiteNotRun == 0, "a request ran although its outcome was not-run");
    int highest = 0;
    const boost::json::value stats = fleet.upstream("/stats");
    for (const boost::json::value &upstream : stats.at("executors").as_array()) {
        highest = std::max(highest, static_cast<int>(upstream.at("max_in_service").as_int64()));
    }
    std::cout << "most requests in service on one instance: " << highest << " of 8 slots\n";
    checks.require(highest <= 8, "an instance had more requests than slots");
}

/// Removes the maintenance windows from the example sheet, so that the wave may start at any time of day.
std::string withoutWindows(const std::string &sheet)
{
    std::istringstream lines(sheet);
    std::string text;
    std::string line;
    int removed = 0;
    while (std::getline(lines, line)) {
        if (line.rfind("window,", 0) == 0) {
            ++removed;
        } else if (line.rfind("end,", 0) == 0) {
            const std::size_t digit = line.find_first_of("0123456789");
            const std::size_t end = line.find_first_not_of("0123456789", digit);
            text += line.substr(0, digit) + std::to_string(std::stoi(line.substr(digit)) - removed) + line.substr(end)
                + "\n";
        } else {
            text += line + "\n";
        }
    }
    return text;
}

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path, std::ios::binary).rdbuf();
    return text.str();
}

bool runCommand(const harness::Fleet &fleet, int entry, const std::vector<std::string> &arguments, std::string &output)
{
    const auto result = fleet.command(entry, arguments);
    std::string line = "$ briarvane";
    for (const std::string &argument : arguments) {
        line += " " + argument;
    }
    std::cout << line << "\n" << result.output << std::flush;
    output = result.output;
    return result.exitCode == 0;
}

/// Polls the status until the demo's alarm is raised or cleared; returns false after 60 attempts, at least 15 s.
bool waitForAlarm(const harness::Fleet &fleet, bool raised)
{
    constexpr int attempts = 60;
    for (int i = 0; i < attempts; ++i) {
        const auto status = fleet.command(7, {"--output", "json", "status"});
        if (status.exitCode == 0 && (status.output.find("spinhead-down") != std::string::npos) == raised) {
            std::cout << "alarm spinhead-down is " << (raised ? "raised" : "cleared") << std::endl;
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
    }
    return false;
}

}

int main(int argc, char **argv)
{
    std::string bin = "build/release";
    std::string examples = "examples";
    int seconds = 8;
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string name = argv[i];
        if (name == "--bin") {
            bin = argv[i + 1];
        } else if (name == "--examples") {
            examples = argv[i + 1];
        } else if (name == "--seconds") {
            seconds = std::atoi(argv[i + 1]);
        }
    }
    const std::string sheetText = withoutWindows(readFile(examples + "/swan-coast.csv"));
    const briarvane::SheetCheck sheet = briarvane::parseSheet(sheetText);
    for (const briarvane::SheetError &error : sheet.errors) {
        std::cerr << "examples/swan-coast.csv: " << describe(error) << '\n';
    }
    if (!sheet.errors.empty()) {
        return 1;
    }
    harness::FleetOptions options;
    options.bin = std::filesystem::absolute(bin).string();
    options.work = (std::filesystem::temp_directory_path() / ("briarvane-demo-" + std::to_string(::getpid()))).string();
    std::filesystem::create_directories(options.work);
    const std::string sheetFile = options.work + "/sheet.csv";
    std::ofstream(sheetFile, std::ios::binary) << sheetText;
    for (const briarvane::InstanceSpec &instance : sheet.sheet.instances) {
        options.instances.push_back({instance.id.value, instance.pool.value, 0});
    }
    std::cout << "starting 8 entries and " << options.instances.size() << " instances; logs in " << options.work
              << std::endl;
    harness::Fleet fleet(options);
    GuaranteeChecks checks;
    std::string output;
    if (!fleet.start()) {
        return 1;
    }
    checks.require(runCommand(fleet, 0, {"sheet", "apply", sheetFile}, output),
                   "the sheet was not applied everywhere in time");
    const std::string rulesFile = options.work + "/rules.alerts";
    std::ofstream(rulesFile, std::ios::binary) << readFile(examples + "/swan-coast.alerts") << DemoRule;
    checks.require(runCommand(fleet, 1, {"alerts", "apply", rulesFile}, output),
                   "the alert rules were not applied everywhere in time");
    for (int i = 0; i < fleet.entries(); ++i) {
        checks.require(fleet.waitReady(i, 10'000), "entry " + std::to_string(i) + " did not become ready");
    }

    SharedState state;
    std::vector<std::thread> callers;
    int number = 0;
    for (const RequestKind &kind : RequestKinds) {
        for (int i = 0; i < kind.threads; ++i) {
            callers.emplace_back(
                [&fleet, &kind, &state, caller = ++number] { callerLoop(fleet, kind, caller, state); });
        }
    }
    std::this_thread::sleep_for(std::chrono::seconds(seconds / 2));
    checks.require(runCommand(fleet, 2, {"instance", "move", "depot-9", "--to", "takings", "--wait-s", "60"}, output),
                   "the move did not end");
    checks.require(runCommand(fleet, 5, {"instance", "drain", "spinheads-1", "--wait-s", "30"}, output),
                   "the drain did not end");
    checks.require(waitForAlarm(fleet, true), "the alarm was not raised");
    checks.require(runCommand(fleet, 6, {"instance", "drain", "spinheads-1", "--undo"}, output),
                   "the drain was not undone");
    checks.require(waitForAlarm(fleet, false), "the alarm was not cleared");
    const auto waveStartedAt = std::chrono::steady_clock::now();
    checks.require(runCommand(fleet, 3, {"wave", "start", "friday", "--pool", "rosters", "--wait-s", "300"}, output),
                   "the wave did not end");
    const double waveSeconds = elapsedMs(waveStartedAt) / 1000.0;
    std::this_thread::sleep_for(std::chrono::seconds(seconds / 2));
    state.stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    checks.require(runCommand(fleet, 4, {"status"}, output), "the status was not shown");
    printTable(state);
    std::cout << "moves: 1; wave over the pool rosters: " << waveSeconds << " s\n";
    checkExecutions(fleet, state, checks);
    for (const auto &[name, callerStats] : state.statsByKind) {
        checks.require(callerStats.invalidAnswers == 0,
                       name + ": a caller got a partial answer or another request's answer");
        const auto lost = callerStats.outcomes.find("connection lost");
        checks.require(lost == callerStats.outcomes.end(), name + ": a caller lost its connection");
    }
    std::cout << "store calls: " << boost::json::serialize(fleet.coordinationStats()) << '\n';
    return checks.print();
}
