#pragma once

// Stand-in of the instances of a deployment: one executor per port, the machines API and the advice service, over their
// published protocols. The payload of a job sets what its tasks do, for example
// "work_ms=300 cpu=900 fails=100 lasts=1 ticket=1": the duration, the milli-cores, the percentage of runs that fail,
// whether a run lasts until it is stopped, and whether a start needs a ticket. Each start is checked against
// guarantees that must hold: no second run of a task at the same time, no start of a task whose successful end the
// owner has acknowledged, and no overload of an instance.
//
// Index
// [1] Workers
// [2] The executors' interface
// [3] The machines API
// [4] The advice service

#include "model_executor.h"
#include "standin_store.h"

#include <random>
#include <sstream>

namespace briarvane::standin
{

// [1] Workers ---------------------------------------------------------------------------------------------------------

struct WorkerOptions
{
    std::uint16_t firstPort = 0;  // the executor of instance k, counted from 0, listens on firstPort + k
    std::vector<std::string> pools;
    int perPool = 3;
    std::string sparePool;  // pool whose instances have no executor
    int milliCores = 4000;  // capacity of each instance
    unsigned seed = 1;      // seed of the random task durations and failures
};

struct Worker
{
    std::string instance;
    std::string pool;
    std::string rack;
    std::string dataCentre;
    InstanceAvailability state = InstanceAvailability::Up;
    TimePoint availableAt;           // time at which the move, the maintenance or the outage after a crash ends
    int incarnations = 0;            // number of executors started on the instance so far; part of the executor's id
    std::uint64_t highestToken = 0;  // highest fencing token in move and maintenance requests for the instance
    model::ModelExecutor executor;
};

class WorkersStandIn
{
public:
    static constexpr Duration MoveTime{1'500'000};  // time that a move takes, as in real deployments
    static constexpr Duration MaintenanceTime{2'000'000};
    static constexpr Duration CrashTime{3'000'000};
    static constexpr std::size_t PageSize = 8;
    static constexpr std::size_t MaxWaitingAdvice = 32;  // calls waiting or being handled; further calls are refused
    static constexpr Duration AdviceBaseTime{40'000};
    static constexpr Duration AdviceTimePerExecutor{2'000};
    static constexpr Duration TicketValidity{3'000'000};

    WorkersStandIn(StoreStandIn &store, const WorkerOptions &options)
        : m_store(store)
        , m_options(options)
        , m_random(options.seed)
    {
        for (const std::string &pool : options.pools) {
            for (int i = 0; i < options.perPool; ++i) {
                Worker worker;
                worker.instance = pool + "-" + std::to_string(i);
                worker.pool = pool;
                worker.rack = "r" + std::to_string(i / 2);
                worker.dataCentre = "dc-" + std::to_string(i % 2);
                worker.executor.up = false;
                m_workers.push_back(std::move(worker));
            }
        }
        for (Worker &worker : m_workers) {
            startExecutor(worker);
        }
    }

    std::size_t size() const
    {
        return m_workers.size();
    }

    /// Ends the runs that are due, makes instances whose outage is over available again, and answers the advice calls
    /// and report polls that are due.
    void tick()
    {
        const TimePoint now = steadyNow();
        for (Worker &worker : m_workers) {
            if (worker.state != InstanceAvailability::Up && worker.availableAt <= now) {
                worker.state = InstanceAvailability::Up;
                startExecutor(worker);
            }
            worker.executor.advance(now, {}, [&](const std::string &task, const model::ModelRun &, RunEnd how) {
                m_tasks[task].done = m_tasks[task].done || how == RunEnd::Done;
            });
        }
        while (!m_advice.empty() && m_advice.front().dueAt <= now) {
            const Answer answer = decideAdvice(m_advice.front());
            const Reply reply = std::move(m_advice.front().reply);
            m_advice.pop_front();
            reply(answer);
        }
        std::vector<ReportPoll> waiting;
        waiting.swap(m_polls);
        for (ReportPoll &poll : waiting) {
            answerPoll(std::move(poll));
        }
    }

    // [2] The executors' interface ------------------------------------------------------------------------------------

    void handleCommand(std::size_t index, const Request &request, const Reply &reply)
    {
        Worker &worker = m_workers.at(index);
        model::ModelExecutor &executor = worker.executor;
        if (!executor.up) {
            reply(std::nullopt);
            return;
        }
        const auto expected = request.find("X-Expect-Instance");
        if (expected != request.end() && expected->value() != executor.record.id) {
            reply(errorAnswer(421, "another executor"));
            return;
        }
        const Target target = parseTarget({request.target().data(), request.target().size()});
        boost::system::error_code error;
        const json::value body = json::parse(request.body(), error);
        if (error || !body.is_object()) {
            reply(errorAnswer(400, "the body is not a JSON object"));
            return;
        }
        const ExecutorCommand command = decodeCommand(target.path, body.get_object());
        if (command.kind == CommandKind::RenewLeases) {
            const Duration wait = command.wait;
            answerPoll({index, executor.record.startedMs, command, steadyNow() + wait, reply});
            return;
        }
        if (command.kind == CommandKind::Start && !hasTicket(executor, command)) {
            reply(Answer{409, json::object{{"clock_ms", executor.clockMs(steadyNow())}, {"reason", "ticket"}}});
            return;
        }
        const CommandResult result = executor.carryOut(
            command, steadyNow(), {}, [&](const ExecutorCommand &start) { return prepareRun(worker, start); });
        json::object answer{{"clock_ms", executor.clockMs(steadyNow())}};
        if (result != CommandResult::Done) {
            answer["reason"] = result == CommandResult::Fenced ? "fence"
                : result == CommandResult::Late                ? "late"
                                                               : "old";
        }
        reply(Answer{result == CommandResult::Done ? 200U : 409U, std::move(answer)});
    }

    // [3] The machines API --------------------------------------------------------------------------------------------

    void handle(const Request &request, const Reply &reply)
    {
        const Target target = parseTarget({request.target().data(), request.target().size()});
        if (target.path == "/machines") {
            reply(instancePage(target.number("page_token")));
            return;
        }
        if (target.path == "/advise") {
            queueAdvice(request, reply);
            return;
        }
        // Only test drivers make these calls; they are not part of the machines API.
        if (target.path.starts_with("/test/")) {
            reply(handleTestCall(request, target));
            return;
        }
        boost::system::error_code error;
        const json::value body = json::parse(request.body(), error);
        const auto token = request.find("X-Fencing-Token");
        if (error || !body.is_object() || token == request.end()) {
            reply(errorAnswer(400, "the call is incomplete"));
            return;
        }
        reply(handleInstanceRequest(target.path, body.get_object(),
                                    std::strtoull(std::string(token->value()).c_str(), nullptr, 10)));
    }

private:
    struct TaskRecord
    {
        int starts = 0;
        bool done = false;             // a run ended successfully
        bool endAcknowledged = false;  // the owner has acknowledged a successful end
    };
    struct AdviceCall
    {
        std::string step;
        std::vector<std::string> executors;
        TimePoint dueAt;
        Reply reply;
    };
    struct ReportPoll
    {
        std::size_t worker = 0;
        std::int64_t startedMs = 0;
        ExecutorCommand command;
        TimePoint until;  // time at which the report poll is answered if there are no new ends
        Reply reply;
    };

    void startExecutor(Worker &worker)
    {
        if (worker.pool == m_options.sparePool) {
            return;
        }
        model::ModelExecutor &executor = worker.executor;
        executor.restart(steadyNow(), wallMs());
        executor.record.id = "x-" + worker.instance + "-" + std::to_string(++worker.incarnations);
        executor.record.service = worker.pool;
        executor.record.capacity = {m_options.milliCores, 16'000, 0};
        const auto index = static_cast<std::size_t>(&worker - m_workers.data());
        m_store.put(
            std::string(platform::ExecutorPrefix) + executor.record.id,
            json::serialize(json::object{{"service", worker.pool},
                                         {"address", "127.0.0.1:" + std::to_string(m_options.firstPort + index)},
                                         {"zone", worker.dataCentre},
                                         {"state", "ready"},
                                         {"labels", json::array{"a", worker.rack}},
                                         {"capacity", json::object{{"cpu", m_options.milliCores}, {"mem_mb", 16'000}}},
                                         {"born", executor.record.startedMs}}));
    }

    void stopExecutor(Worker &worker, InstanceAvailability state, Duration time)
    {
        worker.executor.crash();
        m_store.remove(std::string(platform::ExecutorPrefix) + worker.executor.record.id);
        worker.state = state;
        worker.availableAt = steadyNow() + time;
    }

    static std::int64_t wallMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    static ExecutorCommand decodeCommand(const std::string &path, const json::object &body)
    {
        const auto text = [&body](std::string_view name) {
            const json::value *value = body.if_contains(name);
            return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
        };
        const auto number = [&body](std::string_view name) {
            const json::value *value = body.if_contains(name);
            return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : 0;
        };
        ExecutorCommand command;
        for (const CommandKind kind : {CommandKind::Start, CommandKind::Stop, CommandKind::Pace}) {
            command.kind = path == platform::commandTarget(kind) ? kind : command.kind;
        }
        command.fencingToken = static_cast<std::uint64_t>(number("fencing_token"));
        command.task = text("task");
        command.run = static_cast<int>(number("run"));
        command.payload = text("spec");
        command.checkpoint = text("checkpoint");
        command.ticket = text("ticket");
        command.leaseUntilMs = number("until_ms");
        command.observed = static_cast<std::uint64_t>(number("observed"));
        command.wait = std::chrono::milliseconds(number("wait_ms"));
        command.percent = static_cast<int>(number("percent"));
        return command;
    }

    /// Value of `name=number` in the payload; 0 if it is missing.
    static int payloadNumber(const std::string &payload, const std::string &name)
    {
        std::istringstream words(payload);
        for (std::string word; words >> word;) {
            if (word.starts_with(name + "=")) {
                return std::stoi(word.substr(name.size() + 1));
            }
        }
        return 0;
    }

    // [4] The advice service ------------------------------------------------------------------------------------------
    // The service handles the calls from one address one after another. All calls on loopback come from one address.

    void queueAdvice(const Request &request, const Reply &reply)
    {
        boost::system::error_code error;
        const json::value body = json::parse(request.body(), error);
        const json::object *call = error ? nullptr : body.if_object();
        const json::value *step = call == nullptr ? nullptr : call->if_contains("step");
        const json::value *executorIds = call == nullptr ? nullptr : call->if_contains("workers");
        if (step == nullptr || !step->is_string() || executorIds == nullptr || !executorIds->is_array()
            || executorIds->get_array().size() > AdviceRequest::MaxExecutors) {
            reply(errorAnswer(400, "no step, or no list of executors"));
            return;
        }
        if (m_advice.size() >= MaxWaitingAdvice) {
            reply(errorAnswer(429, "too many calls wait"));
            return;
        }
        AdviceCall adviceCall{std::string(step->get_string()), {}, {}, reply};
        for (const json::value &id : executorIds->get_array()) {
            adviceCall.executors.emplace_back(id.as_string());
        }
        adviceCall.dueAt = (m_advice.empty() ? steadyNow() : m_advice.back().dueAt) + AdviceBaseTime
            + static_cast<int>(adviceCall.executors.size()) * AdviceTimePerExecutor;
        m_advice.push_back(std::move(adviceCall));
    }

    /// Gives tickets for about half of the executors; a hash of step and executor decides.
    static Answer decideAdvice(const AdviceCall &call)
    {
        json::array good;
        const std::string until = std::to_string((steadyNow() + TicketValidity).time_since_epoch().count());
        for (const std::string &id : call.executors) {
            if (std::hash<std::string>{}(call.step + id) % 2 == 0) {
                std::string ticket = call.step;
                ticket.append("/").append(id).append("/").append(until);
                good.push_back(json::array{id, ticket});
            }
        }
        return {200, json::object{{"good", std::move(good)}, {"valid_ms", TicketValidity.count() / 1000}}};
    }

    static bool hasTicket(const model::ModelExecutor &executor, const ExecutorCommand &start)
    {
        if (payloadNumber(start.payload, "ticket") == 0) {
            return true;
        }
        const std::string step = start.task.substr(0, start.task.rfind('.'));
        const std::string ticketPrefix = step + '/' + executor.record.id + '/';
        return start.ticket.starts_with(ticketPrefix)
            && steadyNow().time_since_epoch().count() < std::stoll(start.ticket.substr(ticketPrefix.size()));
    }

    /// Returns the run for a start. A start that violates a guarantee is recorded and still runs.
    model::ModelRun prepareRun(const Worker &worker, const ExecutorCommand &start)
    {
        const TimePoint now = steadyNow();
        TaskRecord &record = m_tasks[start.task];
        ++record.starts;
        if (record.endAcknowledged) {
            m_violations.push_back("a start after the end was noted: " + start.task);
        }
        model::ModelRun newRun;
        newRun.run = start.run;
        newRun.startedAt = now;
        newRun.allocated.milliCores = payloadNumber(start.payload, "cpu");
        const int spread = static_cast<int>(m_random() % 40);  // percent; a run takes 80 % to 119 % of work_ms
        newRun.endsAt = payloadNumber(start.payload, "lasts") != 0
            ? TimePoint::max()
            : now + std::chrono::milliseconds(payloadNumber(start.payload, "work_ms") * (80 + spread) / 100);
        newRun.fails = static_cast<int>(m_random() % 100) < payloadNumber(start.payload, "fails");
        int used = newRun.allocated.milliCores;
        for (const auto &[task, other] : worker.executor.runs) {
            used += other.allocated.milliCores;
        }
        if (used > m_options.milliCores) {
            m_violations.push_back("over capacity: " + start.task + " on " + worker.instance);
        }
        for (const Worker &other : m_workers) {
            if (other.executor.runs.contains(start.task)) {
                m_violations.push_back("two runs at once: " + start.task + " on " + other.instance + " and "
                                       + worker.instance);
            }
        }
        return newRun;
    }

    void answerPoll(ReportPoll poll)
    {
        model::ModelExecutor &executor = m_workers.at(poll.worker).executor;
        if (!executor.up || executor.record.startedMs != poll.startedMs) {
            poll.reply(std::nullopt);
            return;
        }
        const TimePoint now = steadyNow();
        if (!executor.acceptsToken(poll.command, {})) {
            poll.reply(Answer{409, json::object{{"clock_ms", executor.clockMs(now)}, {"reason", "fence"}}});
            return;
        }
        if (!executor.hasNewEnds(poll.command) && now < poll.until) {
            m_polls.push_back(std::move(poll));
            return;
        }
        constexpr Duration startup{300'000};  // startup time of long-running tasks
        const ExecutorReport report
            = executor.report(poll.command, now, startup, 0, {},
                              [this](const std::string &task) { m_tasks[task].endAcknowledged = true; });
        json::array running;
        for (const RunningReport &runningReport : report.running) {
            running.push_back(json::array{runningReport.task, runningReport.run, runningReport.checkpoint,
                                          runningReport.percent, runningReport.load});
        }
        json::array ended;
        for (const EndReport &end : report.ended) {
            ended.push_back(json::array{end.number, end.task, end.run, toString(end.how), end.checkpoint});
        }
        poll.reply(Answer{200,
                          json::object{{"clock_ms", report.clockMs},
                                       {"born", report.startedMs},
                                       {"running", std::move(running)},
                                       {"ended", std::move(ended)}}});
    }

    Answer instancePage(std::size_t from) const
    {
        json::array rows;
        std::size_t next = from;
        for (; next < m_workers.size() && rows.size() < PageSize; ++next) {
            const Worker &worker = m_workers[next];
            const std::string_view state = worker.state == InstanceAvailability::Up ? "up"
                : worker.state == InstanceAvailability::Moving                      ? "moving"
                : worker.state == InstanceAvailability::Maintenance                 ? "upkeep"
                                                                                    : "down";
            rows.push_back(json::object{{"machine", worker.instance},
                                        {"pool", worker.pool},
                                        {"state", state},
                                        {"zone", worker.dataCentre},
                                        {"labels", json::array{"a", worker.rack}},
                                        {"capacity", json::object{{"cpu", m_options.milliCores}, {"mem_mb", 16'000}}},
                                        {"id", worker.executor.up ? worker.executor.record.id : std::string()}});
        }
        json::object body{{"machines", std::move(rows)}};
        if (next < m_workers.size()) {
            body["next_token"] = std::to_string(next);
        }
        return {200, std::move(body)};
    }

    Answer handleInstanceRequest(const std::string &path, const json::object &body, std::uint64_t token)
    {
        const json::value *name = body.if_contains("machine");
        Worker *worker = name != nullptr && name->is_string() ? findWorker(std::string(name->get_string())) : nullptr;
        if (worker == nullptr) {
            return errorAnswer(400, "no such machine");
        }
        if (token < worker->highestToken) {
            return {409, json::object{{"reason", "fence"}}};
        }
        worker->highestToken = token;
        const bool move = path == "/machine-move";
        const std::string pool = move ? std::string(body.at("pool").as_string()) : worker->pool;
        if (move && worker->pool == pool) {
            return {};  // the instance is in this pool or on its way there, as after a repeated request
        }
        if (worker->state != InstanceAvailability::Up) {
            return {409, json::object{{"reason", "busy"}}};
        }
        stopExecutor(*worker, move ? InstanceAvailability::Moving : InstanceAvailability::Maintenance,
                     move ? MoveTime : MaintenanceTime);
        worker->pool = pool;
        ++(move ? m_moves : m_maintained);
        return {};
    }

    Worker *findWorker(const std::string &instance)
    {
        for (Worker &worker : m_workers) {
            if (worker.instance == instance) {
                return &worker;
            }
        }
        return nullptr;
    }

    Answer handleTestCall(const Request &request, const Target &target)
    {
        if (target.path == "/test/put") {
            m_store.put(target.text("key"), request.body());
            return {};
        }
        if (target.path == "/test/value") {
            const std::string *value = m_store.value(target.text("key"));
            return value == nullptr ? errorAnswer(404, "no such key") : Answer{200, json::value(*value)};
        }
        if (target.path == "/test/crash") {
            Worker *worker = findWorker(target.text("instance"));
            if (worker == nullptr || worker->state != InstanceAvailability::Up) {
                return errorAnswer(400, "no such instance, or it is not up");
            }
            stopExecutor(*worker, InstanceAvailability::Down, CrashTime);
            return {};
        }
        if (target.path == "/test/store") {
            for (const auto &[name, text] : target.query) {
                const int value = static_cast<int>(target.number(name));
                if (name == "down") {
                    m_store.faults.down = value != 0;
                } else if (name == "fail_writes") {
                    m_store.faults.failWrites = value;
                } else if (name == "lose_answers") {
                    m_store.faults.loseResponses = value;
                } else if (name == "compact") {
                    m_store.compact();
                } else {
                    return errorAnswer(400, "no such fault: " + name);
                }
            }
            return {};
        }
        return target.path == "/test/record" ? testRecord() : errorAnswer(400, "no such call");
    }

    Answer testRecord() const
    {
        json::object tasks;
        for (const auto &[name, task] : m_tasks) {
            tasks[name] = json::object{{"starts", task.starts}, {"done", task.done}};
        }
        json::array violations;
        for (const std::string &violation : m_violations) {
            violations.push_back(json::string(violation));
        }
        return {200,
                json::object{{"tasks", std::move(tasks)},
                             {"broken", std::move(violations)},
                             {"moves", m_moves},
                             {"maintained", m_maintained}}};
    }

    StoreStandIn &m_store;
    WorkerOptions m_options;
    std::mt19937 m_random;
    std::vector<Worker> m_workers;
    std::vector<ReportPoll> m_polls;
    std::deque<AdviceCall> m_advice;  // the first call is being handled, the others wait
    std::map<std::string, TaskRecord> m_tasks;
    std::vector<std::string> m_violations;
    int m_moves = 0;
    int m_maintained = 0;
};

}
