#pragma once

// Stand-in of the users' instances: one executor a port, the machines API and the advice service, over their published
// protocol. What a task does stands in the job's payload, "work_ms=300 cpu=900 fails=100 lasts=1 ticket=1". It judges
// each start as it comes.
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
    std::uint16_t firstPort = 0;  // of the executors; the k-th instance listens on firstPort + k
    std::vector<std::string> pools;
    int perPool = 3;
    std::string sparePool;  // its instances are off
    int milliCores = 4000;  // of each instance
    unsigned seed = 1;      // of how long tasks take
};

struct Worker
{
    std::string instance;
    std::string pool;
    std::string rack;
    std::string dataCentre;
    InstanceAvailability state = InstanceAvailability::Up;
    TimePoint backAt;         // of a move, maintenance or crash
    int lives = 0;            // executors so far; part of the executor's id
    std::uint64_t fence = 0;  // of requests for the instance
    model::ModelExecutor executor;
};

class WorkersStandIn
{
public:
    static constexpr Duration MoveTime{1'500'000};  // as on the users' sites
    static constexpr Duration MaintenanceTime{2'000'000};
    static constexpr Duration CrashTime{3'000'000};
    static constexpr std::size_t PageInstances = 8;
    static constexpr std::size_t WaitingAdvice = 32;  // calls beyond these are refused
    static constexpr Duration AdviceDecide{40'000};
    static constexpr Duration AdvicePerExecutor{2'000};
    static constexpr Duration TicketValid{3'000'000};

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
            join(worker);
        }
    }

    std::size_t size() const
    {
        return m_workers.size();
    }

    /// Ends of runs, instances that come back, report polls that have waited long enough.
    void tick()
    {
        const TimePoint now = steadyNow();
        for (Worker &worker : m_workers) {
            if (worker.state != InstanceAvailability::Up && worker.backAt <= now) {
                worker.state = InstanceAvailability::Up;
                join(worker);
            }
            worker.executor.advance(now, {}, [&](const std::string &task, const model::ModelRun &, RunEnd how) {
                m_tasks[task].done = m_tasks[task].done || how == RunEnd::Done;
            });
        }
        while (!m_advice.empty() && m_advice.front().dueAt <= now) {
            const Answer answer = advise(m_advice.front());
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
            answerPoll({index, executor.record.born, command, steadyNow() + wait, reply});
            return;
        }
        if (command.kind == CommandKind::Start && !hasTicket(executor, command)) {
            reply(Answer{409, json::object{{"clock_ms", executor.clockMs(steadyNow())}, {"reason", "ticket"}}});
            return;
        }
        const CommandResult result = executor.carryOut(
            command, steadyNow(), {}, [&](const ExecutorCommand &start) { return run(worker, start); });
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
            reply(page(target.number("page_token")));
            return;
        }
        if (target.path == "/advise") {
            queueAdvice(request, reply);
            return;
        }
        // Not of the users' protocol: what a driver of tests asks for.
        if (target.path.starts_with("/test/")) {
            reply(control(request, target));
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
        bool done = false;       // an end with success came
        bool forgotten = false;  // that end was noted by the owner
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
        std::int64_t born = 0;
        ExecutorCommand command;
        TimePoint until;
        Reply reply;
    };

    void join(Worker &worker)
    {
        if (worker.pool == m_options.sparePool) {
            return;
        }
        model::ModelExecutor &executor = worker.executor;
        executor.bear(steadyNow(), wallMs());
        executor.record.id = "x-" + worker.instance + "-" + std::to_string(++worker.lives);
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
                                         {"born", executor.record.born}}));
    }

    void leave(Worker &worker, InstanceAvailability state, Duration time)
    {
        worker.executor.crash();
        m_store.remove(std::string(platform::ExecutorPrefix) + worker.executor.record.id);
        worker.state = state;
        worker.backAt = steadyNow() + time;
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

    /// `name=number` in the payload; 0 without it.
    static int setting(const std::string &payload, const std::string &name)
    {
        std::istringstream words(payload);
        for (std::string word; words >> word;) {
            if (word.starts_with(name + "=")) {
                return std::stoi(word.substr(name.size() + 1));
            }
        }
        return 0;
    }

    // [4] The advice service: all calls on loopback come from one address, so one is handled at a time.

    void queueAdvice(const Request &request, const Reply &reply)
    {
        boost::system::error_code error;
        const json::value body = json::parse(request.body(), error);
        const json::object *call = error ? nullptr : body.if_object();
        const json::value *step = call == nullptr ? nullptr : call->if_contains("step");
        const json::value *named = call == nullptr ? nullptr : call->if_contains("workers");
        if (step == nullptr || !step->is_string() || named == nullptr || !named->is_array()
            || named->get_array().size() > AdviceRequest::MostExecutors) {
            reply(errorAnswer(400, "no step, or no list of executors"));
            return;
        }
        if (m_advice.size() >= WaitingAdvice) {
            reply(errorAnswer(429, "too many calls wait"));
            return;
        }
        AdviceCall made{std::string(step->get_string()), {}, {}, reply};
        for (const json::value &id : named->get_array()) {
            made.executors.emplace_back(id.as_string());
        }
        made.dueAt = (m_advice.empty() ? steadyNow() : m_advice.back().dueAt) + AdviceDecide
            + static_cast<int>(made.executors.size()) * AdvicePerExecutor;
        m_advice.push_back(std::move(made));
    }

    /// Half of the executors may run a step.
    static Answer advise(const AdviceCall &call)
    {
        json::array good;
        const std::string until = std::to_string((steadyNow() + TicketValid).time_since_epoch().count());
        for (const std::string &id : call.executors) {
            if (std::hash<std::string>{}(call.step + id) % 2 == 0) {
                std::string ticket = call.step;
                ticket.append("/").append(id).append("/").append(until);
                good.push_back(json::array{id, ticket});
            }
        }
        return {200, json::object{{"good", std::move(good)}, {"valid_ms", TicketValid.count() / 1000}}};
    }

    static bool hasTicket(const model::ModelExecutor &executor, const ExecutorCommand &start)
    {
        if (setting(start.payload, "ticket") == 0) {
            return true;
        }
        const std::string step = start.task.substr(0, start.task.rfind('.'));
        const std::string wanted = step + '/' + executor.record.id + '/';
        return start.ticket.starts_with(wanted)
            && steadyNow().time_since_epoch().count() < std::stoll(start.ticket.substr(wanted.size()));
    }

    /// What the start runs. A start that breaks a promise is noted and runs all the same.
    model::ModelRun run(const Worker &worker, const ExecutorCommand &start)
    {
        const TimePoint now = steadyNow();
        TaskRecord &record = m_tasks[start.task];
        ++record.starts;
        if (record.forgotten) {
            m_broken.push_back("a start after the end was noted: " + start.task);
        }
        model::ModelRun made;
        made.run = start.run;
        made.startedAt = now;
        made.held.milliCores = setting(start.payload, "cpu");
        const int spread = static_cast<int>(m_random() % 40);  // percent
        made.endsAt = setting(start.payload, "lasts") != 0
            ? TimePoint::max()
            : now + std::chrono::milliseconds(setting(start.payload, "work_ms") * (80 + spread) / 100);
        made.fails = static_cast<int>(m_random() % 100) < setting(start.payload, "fails");
        int used = made.held.milliCores;
        for (const auto &[task, other] : worker.executor.runs) {
            used += other.held.milliCores;
        }
        if (used > m_options.milliCores) {
            m_broken.push_back("over capacity: " + start.task + " on " + worker.instance);
        }
        for (const Worker &other : m_workers) {
            if (other.executor.runs.contains(start.task)) {
                m_broken.push_back("two runs at once: " + start.task + " on " + other.instance + " and "
                                   + worker.instance);
            }
        }
        return made;
    }

    void answerPoll(ReportPoll poll)
    {
        model::ModelExecutor &executor = m_workers.at(poll.worker).executor;
        if (!executor.up || executor.record.born != poll.born) {
            poll.reply(std::nullopt);
            return;
        }
        const TimePoint now = steadyNow();
        if (!executor.admits(poll.command, {})) {
            poll.reply(Answer{409, json::object{{"clock_ms", executor.clockMs(now)}, {"reason", "fence"}}});
            return;
        }
        if (!executor.hasNewEnds(poll.command) && now < poll.until) {
            m_polls.push_back(std::move(poll));
            return;
        }
        constexpr Duration startup{300'000};  // of long-running tasks
        const ExecutorReport report = executor.report(
            poll.command, now, startup, 0, {}, [this](const std::string &task) { m_tasks[task].forgotten = true; });
        json::array running;
        for (const RunningReport &one : report.running) {
            running.push_back(json::array{one.task, one.run, one.checkpoint, one.percent, one.load});
        }
        json::array ended;
        for (const EndReport &end : report.ended) {
            ended.push_back(json::array{end.number, end.task, end.run, toString(end.how), end.checkpoint});
        }
        poll.reply(Answer{200,
                          json::object{{"clock_ms", report.clockMs},
                                       {"born", report.born},
                                       {"running", std::move(running)},
                                       {"ended", std::move(ended)}}});
    }

    Answer page(std::size_t from) const
    {
        json::array rows;
        std::size_t next = from;
        for (; next < m_workers.size() && rows.size() < PageInstances; ++next) {
            const Worker &worker = m_workers[next];
            const std::string_view state = worker.state == InstanceAvailability::Up ? "up"
                : worker.state == InstanceAvailability::Moving                      ? "moving"
                : worker.state == InstanceAvailability::Upkeep                      ? "upkeep"
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
        Worker *worker = name != nullptr && name->is_string() ? find(std::string(name->get_string())) : nullptr;
        if (worker == nullptr) {
            return errorAnswer(400, "no such machine");
        }
        if (token < worker->fence) {
            return {409, json::object{{"reason", "fence"}}};
        }
        worker->fence = token;
        const bool move = path == "/machine-move";
        const std::string pool = move ? std::string(body.at("pool").as_string()) : worker->pool;
        if (move && worker->pool == pool) {
            return {};  // already done
        }
        if (worker->state != InstanceAvailability::Up) {
            return {409, json::object{{"reason", "busy"}}};
        }
        leave(*worker, move ? InstanceAvailability::Moving : InstanceAvailability::Upkeep,
              move ? MoveTime : MaintenanceTime);
        worker->pool = pool;
        ++(move ? m_moves : m_maintained);
        return {};
    }

    Worker *find(const std::string &instance)
    {
        for (Worker &worker : m_workers) {
            if (worker.instance == instance) {
                return &worker;
            }
        }
        return nullptr;
    }

    Answer control(const Request &request, const Target &target)
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
            Worker *worker = find(target.text("instance"));
            if (worker == nullptr || worker->state != InstanceAvailability::Up) {
                return errorAnswer(400, "no such instance, or it is not up");
            }
            leave(*worker, InstanceAvailability::Down, CrashTime);
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
                    m_store.faults.loseAnswers = value;
                } else if (name == "compact") {
                    m_store.compact();
                } else {
                    return errorAnswer(400, "no such fault: " + name);
                }
            }
            return {};
        }
        return target.path == "/test/record" ? record() : errorAnswer(400, "no such call");
    }

    Answer record() const
    {
        json::object tasks;
        for (const auto &[name, task] : m_tasks) {
            tasks[name] = json::object{{"starts", task.starts}, {"done", task.done}};
        }
        json::array broken;
        for (const std::string &what : m_broken) {
            broken.push_back(json::string(what));
        }
        return {200,
                json::object{{"tasks", std::move(tasks)},
                             {"broken", std::move(broken)},
                             {"moves", m_moves},
                             {"maintained", m_maintained}}};
    }

    StoreStandIn &m_store;
    WorkerOptions m_options;
    std::mt19937 m_random;
    std::vector<Worker> m_workers;
    std::vector<ReportPoll> m_polls;
    std::deque<AdviceCall> m_advice;  // the first one is being handled
    std::map<std::string, TaskRecord> m_tasks;
    std::vector<std::string> m_broken;
    int m_moves = 0;
    int m_maintained = 0;
};

}
