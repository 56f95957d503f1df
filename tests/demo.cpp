// The main job on loopback, as separate processes: stand-in of the coordination service, a Swan Coast-shaped fleet, 8
// entries, a sheet, requests of three classes, a move, a maintenance wave, an alarm. Prints a table and fails when a
// guarantee broke.

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

struct Kind
{
    std::string name;
    std::string method;
    std::string target;
    int workMs = 0;
    int threads = 0;
    int pauseMs = 0;  // between two requests of a thread
    bool keyed = false;
};

const Kind Kinds[] = {
    {"rosters, short", "GET", "/rosters/today", 20, 6, 10, false},
    {"spinheads, urgent", "POST", "/spinheads/service", 10, 2, 20, false},
    {"orders, keyed", "POST", "/orders/sugar", 30, 6, 15, true},
    {"takings, long", "POST", "/takings/reconcile", 1500, 4, 50, false},
};

/// Raised by the drain that the demo makes.
constexpr const char *DemoRule
    = "spinhead-down: briarvane_instances_disrupted{pool=spinheads} >= 1 for 1s clear < 1 for 1s severity page\n";

struct Tally
{
    int sent = 0;
    std::map<std::string, int> outcomes;
    int notWhole = 0;            // another request's answer or a partial one
    std::vector<double> waitMs;  // total time without the work itself
};

struct Shared
{
    std::mutex mutex;
    std::map<std::string, Tally> tallies;
    std::set<std::string> notRun;  // request ids told "not-run"
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

void record(Shared &shared, const Kind &kind, const Response &response, double totalMs)
{
    const std::lock_guard lock(shared.mutex);
    Tally &tally = shared.tallies[kind.name];
    ++tally.sent;
    const std::string outcome = response.status == 0 ? "connection lost" : header(response, "briarvane-outcome");
    ++tally.outcomes[outcome];
    const std::string id = header(response, "briarvane-request-id");
    if (outcome == "answered") {
        const bool isReplay = header(response, "briarvane-replayed") == "true";
        if (!isReplay && response.body.find("request=" + id + " ") == std::string::npos) {
            ++tally.notWhole;
        }
        if (!isReplay) {
            tally.waitMs.push_back(totalMs - kind.workMs);
        }
    } else if (outcome == "not-run") {
        shared.notRun.insert(id);
    }
}

void callerLoop(const harness::Fleet &fleet, const Kind &kind, int number, Shared &shared)
{
    constexpr int timeoutMs = 60'000;
    std::mt19937 random(static_cast<unsigned>(number));
    for (int i = 0; !shared.stop; ++i) {
        std::map<std::string, std::string> headers{{"X-Work-Ms", std::to_string(kind.workMs)},
                                                   {"Briarvane-Tenant", "vendor-" + std::to_string(number % 3)}};
        std::string key;
        if (kind.keyed) {
            key = "key-" + std::to_string(number) + "-" + std::to_string(i);
            headers["Idempotency-Key"] = key;
        }
        // A caller that is unsure sends the same order again through another entry, at the same time or later.
        const int copies = kind.keyed && i % 3 == 0 ? 2 : 1;
        std::vector<std::thread> threads;
        for (int copy = 0; copy < copies; ++copy) {
            const int entry = static_cast<int>(random() % static_cast<unsigned>(fleet.entries()));
            threads.emplace_back([&, entry] {
                const auto begun = std::chrono::steady_clock::now();
                const Response response
                    = harness::request(fleet.callerPort(entry), kind.method, kind.target, headers, "body", timeoutMs);
                record(shared, kind, response, elapsedMs(begun));
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(kind.pauseMs));
    }
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

void printTable(const Shared &shared)
{
    std::cout << "\n" << std::left << std::setw(20) << "class" << std::right;
    for (const char *column :
         {"sent", "answered", "not run", "unknown", "in progress", "lost", "wait p50 ms", "wait p99 ms"}) {
        std::cout << std::setw(13) << column;
    }
    std::cout << '\n' << std::fixed << std::setprecision(1);
    for (const auto &item : shared.tallies) {
        const std::string &name = item.first;
        const Tally &tally = item.second;
        const auto count = [&tally](const std::string &outcome) {
            const auto it = tally.outcomes.find(outcome);
            return it == tally.outcomes.end() ? 0 : it->second;
        };
        std::cout << std::left << std::setw(20) << name << std::right << std::setw(13) << tally.sent << std::setw(13)
                  << count("answered") << std::setw(13) << count("not-run") << std::setw(13) << count("unknown")
                  << std::setw(13) << count("in-progress") << std::setw(13) << count("connection lost") << std::setw(13)
                  << quantile(tally.waitMs, 0.5) << std::setw(13) << quantile(tally.waitMs, 0.99) << '\n';
    }
}

/// Collects what broke; an empty result means that every guarantee that this run can see held.
class Verdict
{
public:
    void require(bool held, const std::string &what)
    {
        if (!held) {
            m_broken.push_back(what);
        }
    }
    int print() const
    {
        for (const std::string &what : m_broken) {
            std::cout << "BROKEN: " << what << '\n';
        }
        std::cout << (m_broken.empty() ? "every guarantee checked in this run held\n" : "") << std::flush;
        return m_broken.empty() ? 0 : 1;
    }

private:
    std::vector<std::string> m_broken;
};

void checkExecutions(const harness::Fleet &fleet, const Shared &shared, Verdict &verdict)
{
    std::map<std::string, int> perKey;
    std::map<std::string, int> perRequest;
    int cut = 0;
    int ranButToldNot = 0;
    const boost::json::value executions = fleet.upstream("/executions");
    if (!executions.is_array()) {
        verdict.require(false, "the upstream stand-in gave no record of executions");
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
        ranButToldNot += shared.notRun.count(request) != 0 ? 1 : 0;
    }
    const auto most = [](const std::map<std::string, int> &counts) {
        int highest = 0;
        for (const auto &[name, count] : counts) {
            highest = std::max(highest, count);
        }
        return highest;
    };
    std::cout << "executions per order key: at most " << most(perKey) << " over " << perKey.size()
              << " keys; per unkeyed POST: at most " << most(perRequest) << " over " << perRequest.size()
              << "; cut by planned stops: " << cut << '\n';
    verdict.require(!perKey.empty() && most(perKey) == 1, "an order key ran more than once or none ran");
    verdict.require(!perRequest.empty() && most(perRequest) == 1, "an unkeyed POST ran more than once or none ran");
    verdict.require(cut == 0, "a planned stop cut a request");
    verdict.require(ranButToldNot == 0, "a caller was told that its request was not run, but it ran");
    int highest = 0;
    const boost::json::value stats = fleet.upstream("/stats");
    for (const boost::json::value &executor : stats.at("executors").as_array()) {
        highest = std::max(highest, static_cast<int>(executor.at("max_in_service").as_int64()));
    }
    std::cout << "most requests in service at one executor: " << highest << " of 8 slots\n";
    verdict.require(highest <= 8, "an executor had more requests than slots");
}

/// The example sheet without its maintenance windows, so that the wave may start at any time of the day.
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

bool step(const harness::Fleet &fleet, int entry, const std::vector<std::string> &arguments, std::string &output)
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

/// Polls the status until the demo's alarm is raised or cleared.
bool waitAlarm(const harness::Fleet &fleet, bool raised)
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
    std::cout << "starting 8 entries and " << options.instances.size() << " executors; logs in " << options.work
              << std::endl;
    harness::Fleet fleet(options);
    Verdict verdict;
    std::string output;
    if (!fleet.start()) {
        return 1;
    }
    verdict.require(step(fleet, 0, {"sheet", "apply", sheetFile}, output),
                    "the sheet was not applied everywhere in time");
    const std::string rulesFile = options.work + "/rules.alerts";
    std::ofstream(rulesFile, std::ios::binary) << readFile(examples + "/swan-coast.alerts") << DemoRule;
    verdict.require(step(fleet, 1, {"alerts", "apply", rulesFile}, output),
                    "the alert rules were not applied everywhere in time");
    for (int i = 0; i < fleet.entries(); ++i) {
        verdict.require(fleet.waitReady(i, 10'000), "entry " + std::to_string(i) + " did not become ready");
    }

    Shared shared;
    std::vector<std::thread> callers;
    int number = 0;
    for (const Kind &kind : Kinds) {
        for (int i = 0; i < kind.threads; ++i) {
            callers.emplace_back(
                [&fleet, &kind, &shared, caller = ++number] { callerLoop(fleet, kind, caller, shared); });
        }
    }
    std::this_thread::sleep_for(std::chrono::seconds(seconds / 2));
    verdict.require(step(fleet, 2, {"instance", "move", "depot-9", "--to", "takings", "--wait-s", "60"}, output),
                    "the move did not end");
    verdict.require(step(fleet, 5, {"instance", "drain", "spinheads-1", "--wait-s", "30"}, output),
                    "the drain did not end");
    verdict.require(waitAlarm(fleet, true), "the alarm was not raised");
    verdict.require(step(fleet, 6, {"instance", "drain", "spinheads-1", "--undo"}, output), "the drain was not undone");
    verdict.require(waitAlarm(fleet, false), "the alarm was not cleared");
    const auto waveBegun = std::chrono::steady_clock::now();
    verdict.require(step(fleet, 3, {"wave", "start", "friday", "--pool", "rosters", "--wait-s", "300"}, output),
                    "the wave did not end");
    const double waveSeconds = elapsedMs(waveBegun) / 1000.0;
    std::this_thread::sleep_for(std::chrono::seconds(seconds / 2));
    shared.stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    verdict.require(step(fleet, 4, {"status"}, output), "the status was not shown");
    printTable(shared);
    std::cout << "moves: 1; wave over the pool rosters: " << waveSeconds << " s\n";
    checkExecutions(fleet, shared, verdict);
    for (const auto &[name, tally] : shared.tallies) {
        verdict.require(tally.notWhole == 0, name + ": a caller got a partial answer or another request's answer");
        const auto lost = tally.outcomes.find("connection lost");
        verdict.require(lost == tally.outcomes.end(), name + ": a caller lost its connection");
    }
    std::cout << "store calls: " << boost::json::serialize(fleet.coordinationStats()) << '\n';
    return verdict.print();
}
