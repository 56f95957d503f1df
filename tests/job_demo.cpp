// Demonstration of `briarvane serve`: three entries and a stand-in of a deployment run as separate processes on
// loopback while callers submit jobs. One entry is killed, an instance crashes, a maintenance wave is requested, and
// the store fails for a while. Prints a table with one row per queue and the log lines of one refused, one failed and
// one late job. An access key is withdrawn while its holder goes on sending. The exit code is 1 when a guarantee was
// violated.

#include "harness.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

using harness::Response;
namespace json = boost::json;

namespace
{

constexpr int Entries = 3;
constexpr int CallTimeoutMs = 3000;
constexpr int EndLimitMs = 60'000;  // bound on the time until all accepted jobs have ended; only a stuck job exceeds it

struct JobKind
{
    std::string queue;
    std::string service;
    std::string payload;
    std::string steps;  // JSON array
    int perSecond = 0;
    /// The latency objective is `stretch` * duration of the longest chain of steps + `targetMs`.
    int targetMs = 600;
    double stretch = 2;
    bool advised = false;  // only executors that the advice service names may run tasks of the job
    int times = 0;         // occurrences of a scheduled job; 0: the job has no schedule and runs once
};

constexpr int ReportTimes = 2;
constexpr int ReportIntervalMs = 1000;

const JobKind JobKinds[] = {
    {"rosters", "vendors", "work_ms=300 cpu=900 fails=3", R"([{"count":4,"cpu":900,"mem_mb":64,"estimate_ms":300}])",
     5},
    {"sugar", "supplies", "work_ms=500 cpu=1500 fails=3",
     R"([{"count":3,"cpu":1500,"mem_mb":64,"estimate_ms":500},{"count":3,"cpu":1500,"mem_mb":64,"estimate_ms":500,)"
     R"("after":[0]}])",
     2},
    // Every run fails, so these jobs end as failed once their attempts are used up.
    {"audits", "supplies", "work_ms=200 cpu=500 fails=100", R"([{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":200}])",
     1},
    // The latency objective is computed from the declared estimate. The work takes fifteen times as long as declared,
    // so these jobs are always late.
    {"late", "vendors", "work_ms=1500 cpu=900", R"([{"count":1,"cpu":900,"mem_mb":64,"estimate_ms":100}])", 1, 50, 1},
    {"permits", "vendors", "work_ms=300 cpu=500 ticket=1",
     R"([{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":300},{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":300,)"
     R"("after":[0]}])",
     1, 600, 2, true},
    {"reports", "supplies", "work_ms=200 cpu=500", R"([{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":200}])", 1, 600,
     2, false, ReportTimes},
};

/// The callers' keys. Each service's queues are called by one workspace. The second key of "mills" is withdrawn.
const std::string MillsKey = "demo-key-mills-1";
const std::string WithdrawnKey = "demo-key-mills-2";
const std::string QuarriesKey = "demo-key-quarries";
constexpr int ConfigApplyMs = 3000;  // time within which a version of the configuration must be in force

std::string keyOf(const JobKind &jobKind)
{
    return jobKind.service == "vendors" ? MillsKey : QuarriesKey;
}

enum class Acceptance { Accepted, Refused, Unknown };

struct JobCall
{
    std::string id;
    const JobKind *jobKind = nullptr;
    Acceptance acceptance = Acceptance::Unknown;
    std::string state;

    bool hasEnded() const
    {
        return state == "completed" || state == "failed";
    }
};

class Deployment
{
public:
    Deployment(std::string bin, std::string work, unsigned seed, int perPool)
        : m_bin(std::move(bin))
        , m_work(std::move(work))
        , m_seed(seed)
        , m_perPool(perPool)
    {
    }

    bool start()
    {
        m_standIn
            = harness::Process({m_bin + "/standin_deployment", "--store-port", std::to_string(storePort()),
                                "--machines-port", std::to_string(machinesPort()), "--executor-port",
                                std::to_string(m_ports.first() + 40), "--pools", "vendors,supplies,spare", "--per-pool",
                                std::to_string(m_perPool), "--spare", "spare", "--seed", std::to_string(m_seed)},
                               {}, m_work + "/deployment.log");
        return waitStatus(machinesPort(), "/machines", 200);
    }
    void startEntry(int index)
    {
        const std::string ip = "127.0.0.1:";
        const std::string number = std::to_string(index);
        m_entries[index] = harness::Process(
            {m_bin + "/briarvane", "serve", "--node", "e" + number, "--data-centre", "dc-" + number, "--listen",
             ip + std::to_string(callerPort(index)), "--readiness", ip + std::to_string(readinessPort(index)),
             "--store", ip + std::to_string(storePort()), "--machines", ip + std::to_string(machinesPort()), "--advice",
             ip + std::to_string(machinesPort()), "--metrics", ip + std::to_string(metricsPort(index))},
            {}, logFile(index, ++m_starts[index]));
    }
    bool waitListening(int index) const
    {
        return waitStatus(readinessPort(index), "/ready", 503);
    }
    bool waitReady(int index) const
    {
        return waitStatus(readinessPort(index), "/ready", 200);
    }
    harness::Process &entry(int index)
    {
        return m_entries[index];
    }
    /// All log lines of the entries that mention the job, in the order of time.
    std::vector<std::string> logLinesOf(const std::string &job) const
    {
        std::vector<std::string> lines;
        for (int index = 0; index < Entries; ++index) {
            for (int number = 1; number <= m_starts[index]; ++number) {
                std::ifstream file(logFile(index, number));
                for (std::string line; std::getline(file, line);) {
                    if (line.find(job) != std::string::npos) {
                        lines.push_back(std::move(line));
                    }
                }
            }
        }
        std::sort(lines.begin(), lines.end());
        return lines;
    }
    Response call(int entry, const std::string &method, const JobKind &jobKind, const std::string &id,
                  const std::string &body) const
    {
        return call(entry, method, jobKind, id, body, keyOf(jobKind));
    }
    Response call(int entry, const std::string &method, const JobKind &jobKind, const std::string &id,
                  const std::string &body, const std::string &key) const
    {
        return harness::request(callerPort(entry), method, "/" + jobKind.queue + "/" + id,
                                {{"Host", "demo.example"}, {"X-Key", key}}, body, CallTimeoutMs);
    }
    Response control(const std::string &method, const std::string &target, const std::string &body = {}) const
    {
        return harness::request(machinesPort(), method, target, {}, body, CallTimeoutMs);
    }

private:
    std::uint16_t storePort() const
    {
        return m_ports.first();
    }
    std::uint16_t machinesPort() const
    {
        return static_cast<std::uint16_t>(m_ports.first() + 1);
    }
    std::uint16_t callerPort(int index) const
    {
        return static_cast<std::uint16_t>(m_ports.first() + 10 + 2 * index);
    }
    std::uint16_t readinessPort(int index) const
    {
        return static_cast<std::uint16_t>(callerPort(index) + 1);
    }
    std::uint16_t metricsPort(int index) const
    {
        return static_cast<std::uint16_t>(m_ports.first() + 10 + 2 * Entries + index);
    }
    std::string logFile(int index, int number) const
    {
        return m_work + "/entry-" + std::to_string(index) + "-" + std::to_string(number) + ".log";
    }
    static bool waitStatus(std::uint16_t port, const std::string &target, int status)
    {
        constexpr int maxAttempts = 400;
        constexpr std::chrono::milliseconds pause{50};
        for (int i = 0; i < maxAttempts; ++i) {
            if (harness::request(port, "GET", target, {}, "", CallTimeoutMs).status == status) {
                return true;
            }
            std::this_thread::sleep_for(pause);
        }
        std::cerr << "port " << port << " does not answer " << target << " with " << status << '\n';
        return false;
    }

    std::string m_bin;
    std::string m_work;
    unsigned m_seed = 1;
    int m_perPool = 4;
    harness::PortBlock m_ports;
    harness::Process m_standIn;
    harness::Process m_entries[Entries];
    int m_starts[Entries] = {};
};

std::string configuration(int version, const std::vector<std::string> &millsKeys)
{
    json::array routes;
    for (const JobKind &jobKind : JobKinds) {
        json::object route{{"name", jobKind.queue},
                           {"host", "demo.example"},
                           {"prefix", "/" + jobKind.queue + "/"},
                           {"service", jobKind.service},
                           {"timeout_ms", CallTimeoutMs},
                           {"max_attempts", 4},
                           {"stretch", jobKind.stretch},
                           {"target_latency_ms", jobKind.targetMs}};
        if (jobKind.advised) {
            route["advice"] = json::object{{"decide_ms", 40}, {"period_ms", 2}, {"valid_ms", 3000}};
        }
        routes.push_back(std::move(route));
    }
    json::array services;
    for (const std::string name : {"vendors", "supplies", "spare"}) {
        services.push_back(json::object{{"name", name}, {"max_conns", 8}, {"spare", name == "spare"}});
    }
    const json::array tenants{json::object{{"name", "mills"}, {"api_keys", json::value_from(millsKeys)}},
                              json::object{{"name", "quarries"}, {"api_keys", json::array{QuarriesKey}}}};
    return json::serialize(json::object{{"version", version},
                                        {"routes", routes},
                                        {"services", services},
                                        {"tenants", tenants},
                                        {"limits", json::object{{"body_bytes", 65'536}}}});
}

std::string newId(std::mt19937_64 &random)
{
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << random();
    return text.str();
}

bool anyContains(const std::vector<std::string> &lines, const std::string &text)
{
    return std::any_of(lines.begin(), lines.end(),
                       [&text](const std::string &line) { return line.find(text) != std::string::npos; });
}

/// Sends a job to an entry. Until the job is accepted or refused, the request is repeated with the same id through the
/// next entry, up to 5 requests in all. A refusal counts only if no earlier request may have been accepted. The request
/// is then not repeated, so that the demonstration can check that refused jobs never run.
Acceptance submitJob(const Deployment &deployment, const JobKind &jobKind, const std::string &id, int entry)
{
    constexpr int maxAttempts = 5;
    std::string body = R"({"spec":")" + jobKind.payload + R"(","steps":)" + jobKind.steps;
    if (jobKind.times > 0) {
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        body += R"(,"times":)" + std::to_string(jobKind.times) + R"(,"start_at_ms":)" + std::to_string(now.count())
            + R"(,"interval_ms":)" + std::to_string(ReportIntervalMs);
    }
    body += "}";
    bool mayBeAccepted = false;
    for (int i = 0; i < maxAttempts; ++i) {
        const Response response = deployment.call((entry + i) % Entries, "POST", jobKind, id, body);
        if (response.status == 200) {
            return Acceptance::Accepted;
        }
        if (response.status == 503 && !mayBeAccepted) {
            return Acceptance::Refused;
        }
        mayBeAccepted = mayBeAccepted || response.status == 504 || (response.status == 0 && response.connected);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return mayBeAccepted ? Acceptance::Unknown : Acceptance::Refused;
}

struct Calls
{
    std::mutex mutex;
    std::vector<JobCall> all;
};

void callerLoop(const Deployment &deployment, const JobKind &jobKind, unsigned seed,
                std::chrono::steady_clock::time_point end, Calls &calls)
{
    std::mt19937_64 random(seed);
    std::vector<std::thread> waiting;
    while (std::chrono::steady_clock::now() < end) {
        const std::string id = newId(random);
        const int entry = static_cast<int>(random() % Entries);
        waiting.emplace_back([&deployment, &jobKind, &calls, id, entry] {
            const Acceptance acceptance = submitJob(deployment, jobKind, id, entry);
            const std::lock_guard lock(calls.mutex);
            calls.all.push_back({id, &jobKind, acceptance, {}});
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(1000 / jobKind.perSecond));
    }
    for (std::thread &thread : waiting) {
        thread.join();
    }
}

/// Reads the states of accepted jobs until all are final. Returns false if EndLimitMs was not enough.
bool awaitEnds(const Deployment &deployment, std::vector<JobCall> &calls)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::milliseconds(EndLimitMs);
    while (std::chrono::steady_clock::now() < limit) {
        int open = 0;
        for (JobCall &call : calls) {
            if (call.hasEnded() || call.acceptance != Acceptance::Accepted) {
                continue;
            }
            const Response response = deployment.call(1, "GET", *call.jobKind, call.id, {});
            boost::system::error_code error;
            const json::value body = json::parse(response.body, error);
            if (response.status == 200 && !error) {
                call.state = std::string(body.at("state").as_string());
            }
            open += call.hasEnded() ? 0 : 1;
        }
        if (open == 0) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    return false;
}

struct QueueSummary
{
    int accepted = 0;
    int refused = 0;
    int unknown = 0;
    int completed = 0;
    int failed = 0;
    int inTime = 0;  // completed within the latency objective
    int tasks = 0;
    int runs = 0;
    int maxRuns = 0;  // highest number of runs of one task
};

/// Records whether all guarantees checked so far held, and prints those that were violated.
class GuaranteeChecks
{
public:
    void require(bool held, const std::string &violation)
    {
        if (!held) {
            std::cout << "BROKEN: " << violation << '\n';
            m_held = false;
        }
    }
    bool held() const
    {
        return m_held;
    }

private:
    bool m_held = true;
};

/// An entry that has started before it has a configuration refuses jobs. Callers can reach it in that time after each
/// restart, and its log must name the job and the reason.
void checkRefusalWithoutConfiguration(const Deployment &deployment, GuaranteeChecks &checks)
{
    const std::string id = "00000000000000c0";
    const Response response = deployment.call(0, "POST", JobKinds[0], id, "{}");
    checks.require(response.status == 503, "an entry without a configuration does not answer 503");
    checks.require(anyContains(deployment.logLinesOf(id), "outcome=refused"),
                   "no log line says why a job was refused before the configuration was known");
}

/// Withdraws a key while its holder goes on sending to all entries. Once the version must be in force, no entry may
/// serve the key, and the workspace's other key must hold all the time. Entries that cannot tell may answer 503.
void checkWithdrawnKey(const Deployment &deployment, GuaranteeChecks &checks)
{
    const JobKind &jobKind = JobKinds[0];
    const auto length
        = [&](int entry, const std::string &key) { return deployment.call(entry, "GET", jobKind, {}, {}, key).status; };
    for (int entry = 0; entry < Entries; ++entry) {
        checks.require(length(entry, WithdrawnKey) == 200, "a key is refused though the configuration has it");
        checks.require(length(entry, "demo-key-invented") == 401, "a key that nobody has is served");
        checks.require(length(entry, QuarriesKey) == 200, "another workspace cannot use the queue");
    }
    checks.require(deployment.control("PUT", "/test/put?key=op/config", configuration(2, {MillsKey})).status == 200,
                   "the second configuration was not stored");
    const auto storedAt = std::chrono::steady_clock::now();
    const auto sinceStored = [storedAt] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - storedAt)
            .count();
    };
    long lastServedMs = 0;
    while (sinceStored() < 2L * ConfigApplyMs) {
        for (int entry = 0; entry < Entries; ++entry) {
            const auto sentMs = sinceStored();
            if (length(entry, WithdrawnKey) == 200) {
                lastServedMs = std::max(lastServedMs, static_cast<long>(sentMs));
            }
            checks.require(length(entry, MillsKey) != 401, "the other key of a workspace is refused");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    std::cout << "a withdrawn key was last served " << lastServedMs << " ms after the version was stored" << std::endl;
    checks.require(lastServedMs <= ConfigApplyMs, "a key was served too long after it was withdrawn");
    for (int entry = 0; entry < Entries; ++entry) {
        checks.require(length(entry, WithdrawnKey) == 401, "a withdrawn key is not refused with 401");
    }
}

/// A job does not exist for callers of another workspace, and they cannot take its id.
void checkForeignCaller(const Deployment &deployment, const std::vector<JobCall> &calls, GuaranteeChecks &checks)
{
    const auto own = std::find_if(calls.begin(), calls.end(), [](const JobCall &call) {
        return call.acceptance == Acceptance::Accepted && call.jobKind == &JobKinds[0];
    });
    if (own == calls.end()) {
        return;
    }
    const std::string body
        = R"({"spec":")" + own->jobKind->payload + R"(","steps":)" + std::string(own->jobKind->steps) + "}";
    const auto status = [&](const std::string &method, const std::string &key) {
        return deployment.call(1, method, *own->jobKind, own->id, method == "POST" ? body : std::string(), key).status;
    };
    checks.require(status("GET", QuarriesKey) == 410, "a job is shown to another workspace");
    checks.require(status("DELETE", QuarriesKey) == 410, "a job is cancelled by another workspace");
    checks.require(status("POST", QuarriesKey) == 403, "the id of a job is taken by another workspace");
    checks.require(status("POST", MillsKey) == 200, "a job that is submitted again is not the same job");
    checks.require(status("GET", MillsKey) == 200, "a job is not shown to its workspace");
}

QueueSummary summarizeQueue(const Deployment &deployment, const std::vector<JobCall> &calls, const JobKind &jobKind,
                            const json::object &tasks, GuaranteeChecks &checks)
{
    QueueSummary summary;
    for (const JobCall &call : calls) {
        if (call.jobKind != &jobKind) {
            continue;
        }
        summary.accepted += call.acceptance == Acceptance::Accepted ? 1 : 0;
        summary.refused += call.acceptance == Acceptance::Refused ? 1 : 0;
        summary.unknown += call.acceptance == Acceptance::Unknown ? 1 : 0;
        summary.completed += call.state == "completed" ? 1 : 0;
        summary.failed += call.state == "failed" ? 1 : 0;
        int declared = 0;
        const json::value steps = json::parse(jobKind.steps);
        for (const json::value &step : steps.as_array()) {
            declared += std::max(1, jobKind.times) * static_cast<int>(step.at("count").as_int64());
        }
        int done = 0;
        int startedTasks = 0;
        for (auto task = tasks.begin(); task != tasks.end(); ++task) {
            if (!std::string_view(task->key()).starts_with(call.id)) {
                continue;
            }
            const int starts = static_cast<int>(task->value().at("starts").as_int64());
            ++startedTasks;
            done += task->value().at("done").as_bool() ? 1 : 0;
            summary.runs += starts;
            summary.maxRuns = std::max(summary.maxRuns, starts);
        }
        summary.tasks += startedTasks;
        checks.require(call.acceptance != Acceptance::Refused || startedTasks == 0,
                       "job " + call.id + " ran though refused");
        checks.require(call.state != "completed" || done == declared,
                       "job " + call.id + " is shown as completed with " + std::to_string(done) + " of "
                           + std::to_string(declared) + " tasks done");
        const std::vector<std::string> lines = deployment.logLinesOf(call.id);
        summary.inTime += call.state == "completed" && anyContains(lines, "in_time=yes") ? 1 : 0;
    }
    return summary;
}

void printTable(const std::vector<std::pair<std::string, QueueSummary>> &rows)
{
    constexpr int nameWidth = 10;
    constexpr int width = 11;
    std::cout << '\n' << std::left << std::setw(nameWidth) << "queue" << std::right;
    for (const char *column :
         {"accepted", "refused", "unknown", "completed", "failed", "in time", "tasks", "runs", "most runs"}) {
        std::cout << std::setw(width) << column;
    }
    std::cout << '\n';
    for (const auto &[name, summary] : rows) {
        std::cout << std::left << std::setw(nameWidth) << name << std::right;
        for (const int value : {summary.accepted, summary.refused, summary.unknown, summary.completed, summary.failed,
                                summary.inTime, summary.tasks, summary.runs, summary.maxRuns}) {
            std::cout << std::setw(width) << value;
        }
        std::cout << '\n';
    }
    std::cout << '\n';
}

/// Prints the log lines of the first job that matches. One of the lines must contain `expectedText`.
template<class F>
void printJobLog(const Deployment &deployment, const std::vector<JobCall> &calls, const std::string &title,
                 const std::string &expectedText, GuaranteeChecks &checks, F matches)
{
    for (const JobCall &call : calls) {
        if (!matches(call)) {
            continue;
        }
        const std::vector<std::string> lines = deployment.logLinesOf(call.id);
        const bool found = anyContains(lines, expectedText);
        std::cout << "a " << title << " job, $ grep " << call.id << " logs | sort\n";
        for (const std::string &line : lines) {
            std::cout << "    " << line << '\n';
        }
        checks.require(found, "no log line says why job " + call.id + " was " + title);
        return;
    }
    checks.require(false, "this run has no " + title + " job");
}

}

int main(int argc, char **argv)
{
    std::string bin = "build/release";
    int seconds = 12;
    unsigned seed = 20261204;
    int partitions = 1;
    CLI::App app("Jobs through three entries, one of them killed");
    app.add_option("--bin", bin, "folder of the programs")->capture_default_str();
    app.add_option("--seconds", seconds, "time for which jobs are submitted, seconds")
        ->check(CLI::Range(8, 3600))
        ->capture_default_str();
    app.add_option("--seed", seed, "seed of ids, entries and durations")->capture_default_str();
    app.add_option("--partitions", partitions, "partitions of each service")
        ->check(CLI::Range(1, 4))
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    const std::string work
        = (std::filesystem::temp_directory_path() / ("briarvane-jobs-" + std::to_string(::getpid()))).string();
    std::filesystem::create_directories(work);
    // Pools of several partitions have enough instances that no partition is left without one.
    const int perPool = partitions == 1 ? 4 : 20;
    std::cout << "three entries, " << 3 * perPool << " instances in 3 pools, " << partitions
              << " partitions a service; logs in " << work << std::endl;
    Deployment deployment(std::filesystem::absolute(bin).string(), work, seed, perPool);
    if (!deployment.start()) {
        return 1;
    }
    GuaranteeChecks checks;
    deployment.startEntry(0);
    checks.require(deployment.waitListening(0), "entry 0 does not listen");
    checkRefusalWithoutConfiguration(deployment, checks);
    for (const std::string service : {"vendors", "supplies"}) {
        if (partitions > 1) {
            checks.require(
                deployment.control("PUT", "/test/put?key=m/parts/" + service, std::to_string(partitions)).status == 200,
                "the number of partitions was not stored");
        }
    }
    checks.require(
        deployment.control("PUT", "/test/put?key=op/config", configuration(1, {MillsKey, WithdrawnKey})).status == 200,
        "the configuration was not stored");
    for (int index = 1; index < Entries; ++index) {
        deployment.startEntry(index);
    }
    for (int index = 0; index < Entries; ++index) {
        checks.require(deployment.waitReady(index), "entry " + std::to_string(index) + " did not become ready");
    }

    Calls calls;
    const auto startedAt = std::chrono::steady_clock::now();
    const auto sleepUntilFraction = [startedAt, seconds](double fraction) {
        std::this_thread::sleep_until(startedAt
                                      + std::chrono::milliseconds(static_cast<int>(fraction * 1000 * seconds)));
    };
    std::vector<std::thread> callers;
    for (const JobKind &jobKind : JobKinds) {
        callers.emplace_back(
            [&deployment, &jobKind, &calls, callerSeed = ++seed, end = startedAt + std::chrono::seconds(seconds)] {
                callerLoop(deployment, jobKind, callerSeed, end, calls);
            });
    }
    sleepUntilFraction(0.2);
    std::cout << "entry 0 is killed" << std::endl;
    deployment.entry(0).signal(SIGKILL);
    sleepUntilFraction(0.35);
    std::cout << "a maintenance wave over two instances begins, and a third instance crashes" << std::endl;
    const std::string wave = R"({"wave":1,"machines":["vendors-0","supplies-1"],"within_s":30,"cap":1})";
    checks.require(deployment.control("PUT", "/test/put?key=op/wave/1", wave).status == 200, "the wave was not stored");
    deployment.control("POST", "/test/crash?instance=vendors-2");
    sleepUntilFraction(0.5);
    deployment.startEntry(0);
    sleepUntilFraction(0.6);
    std::cout << "the store loses the answers of five writes, then fails for 1.5 s" << std::endl;
    deployment.control("POST", "/test/store?lose_answers=5");
    sleepUntilFraction(0.7);
    deployment.control("POST", "/test/store?down=1");
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    deployment.control("POST", "/test/store?down=0&compact=1");
    for (std::thread &caller : callers) {
        caller.join();
    }
    std::cout << "a key is withdrawn" << std::endl;
    checkWithdrawnKey(deployment, checks);
    checks.require(awaitEnds(deployment, calls.all), "accepted jobs did not end");
    checkForeignCaller(deployment, calls.all, checks);
    for (const std::string &key : {MillsKey, WithdrawnKey, QuarriesKey, std::string("demo-key-invented")}) {
        checks.require(deployment.logLinesOf(key).empty(), "a log line contains an access key");
    }
    for (int index = 0; index < Entries; ++index) {
        checks.require(deployment.entry(index).wait(0) == std::nullopt,
                       "entry " + std::to_string(index) + " ended by itself");
    }
    constexpr int wavePolls = 100;
    std::string waveState;
    for (int i = 0; i < wavePolls && waveState.find("completed") == std::string::npos; ++i) {
        waveState = deployment.control("GET", "/test/value?key=status/wave/1").body;
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    checks.require(waveState.find("completed") != std::string::npos, "the wave was not completed: " + waveState);

    boost::system::error_code error;
    const json::value record = json::parse(deployment.control("GET", "/test/record").body, error);
    if (error) {
        std::cerr << "the stand-in did not return its record of runs\n";
        return 1;
    }
    for (const json::value &broken : record.at("broken").as_array()) {
        checks.require(false, std::string(broken.as_string()));
    }
    std::vector<std::pair<std::string, QueueSummary>> rows;
    for (const JobKind &jobKind : JobKinds) {
        rows.emplace_back(jobKind.queue,
                          summarizeQueue(deployment, calls.all, jobKind, record.at("tasks").as_object(), checks));
        checks.require(rows.back().second.accepted > 0, "no job of " + jobKind.queue + " was accepted");
    }
    printTable(rows);
    std::cout << "instances moved: " << record.at("moves") << ", maintained: " << record.at("maintained")
              << ", guarantees violated at executors: " << record.at("broken").as_array().size() << "\n\n";
    printJobLog(deployment, calls.all, "refused", "outcome=refused", checks,
                [](const JobCall &call) { return call.acceptance == Acceptance::Refused; });
    printJobLog(deployment, calls.all, "failed", "event=task-failed", checks,
                [](const JobCall &call) { return call.state == "failed"; });
    printJobLog(deployment, calls.all, "late", "in_time=no", checks,
                [](const JobCall &call) { return call.state == "completed" && call.jobKind->queue == "late"; });
    std::cout << (checks.held() ? "every guarantee checked in this run held\n" : "") << std::flush;
    return checks.held() ? 0 : 1;
}
