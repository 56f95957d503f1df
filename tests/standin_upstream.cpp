// Stand-in for many executors in one process. Each has a port, slots, a record of what it ran and faults on command.
// Control port: GET /executions, GET /stats, POST /fault?instance=I&kind=K&value=V&count=N, POST /clear.

#include "http.h"
#include "http_timers.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>

#include <deque>
#include <iostream>

using namespace briarvane;
namespace json = boost::json;

namespace
{

enum class Fault { None, Truncate, Late, Hang, ResetBefore, ResetAfter, Fail, Reboot, Drain };

}

template<>
struct briarvane::EnumNames<Fault>
{
    static constexpr std::array<EnumName<Fault>, 9> names = {{{Fault::None, "none"},
                                                              {Fault::Truncate, "truncate"},
                                                              {Fault::Late, "late"},
                                                              {Fault::Hang, "hang"},
                                                              {Fault::ResetBefore, "reset-before"},
                                                              {Fault::ResetAfter, "reset-after"},
                                                              {Fault::Fail, "fail"},
                                                              {Fault::Reboot, "reboot"},
                                                              {Fault::Drain, "drain"}}};
};

namespace
{

struct Options
{
    std::string address = "127.0.0.1";
    std::uint16_t basePort = 0;
    std::uint16_t controlPort = 0;
    int count = 1;
    int slots = 8;
    bool queue = false;  // above the slots: wait instead of 503
    std::string prefix = "i";
    std::vector<std::string> names;  // of the executors in order; without them the prefix and a number
    std::size_t records = 1'000'000;
};

enum class RunState { Running, Done, Failed, Cut, Cancelled };

template<class Number>
double toMs(Number microseconds)
{
    return static_cast<double>(microseconds) / 1000.0;
}

double wallMs()
{
    return toMs(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()).count());
}

struct Execution
{
    std::string request;
    std::string key;
    std::string method;
    std::string target;
    int instance = 0;
    double startMs = 0;
    double endMs = 0;
    RunState state = RunState::Running;
    double drainedForMs = -1;  // time since the drain began when it arrived
};

const char *stateName(RunState state)
{
    switch (state) {
    case RunState::Running:
        return "running";
    case RunState::Done:
        return "done";
    case RunState::Failed:
        return "failed";
    case RunState::Cut:
        return "cut";
    case RunState::Cancelled:
        break;
    }
    return "cancelled";
}

struct Running
{
    std::shared_ptr<HttpExchange> exchange;
    std::size_t record = 0;
    Timers::Key timer;
};

struct Executor
{
    int index = 0;
    std::unique_ptr<HttpServer> server;
    Fault fault = Fault::None;
    double value = 0;
    int faultCount = -1;  // requests still to be hit; -1: all
    double drainStartMs = -1;
    std::map<std::uint64_t, Running> running;
    std::deque<std::shared_ptr<HttpExchange>> queued;
    int maxInService = 0;
    int maxAsked = 0;  // in service, queued and rejected at once
    std::uint64_t rejected = 0;
    std::uint64_t cut = 0;
    std::uint64_t cancelled = 0;
};

class StandIn
{
public:
    StandIn(boost::asio::io_context &io, Options options)
        : m_io(io)
        , m_options(std::move(options))
        , m_timers(io)
        , m_control(io, controlSettings(), [this](const auto &exchange) { control(exchange); })
    {
    }

    bool open()
    {
        m_executors.resize(static_cast<std::size_t>(m_options.count));
        for (int i = 0; i < m_options.count; ++i) {
            Executor &executor = m_executors[static_cast<std::size_t>(i)];
            executor.index = i;
            HttpServerSettings settings = controlSettings();
            settings.port
                = m_options.basePort == 0 ? std::uint16_t{0} : static_cast<std::uint16_t>(m_options.basePort + i);
            settings.bodyLimit = 64UL << 20U;
            settings.bodiesLimit = 1UL << 30U;
            executor.server = std::make_unique<HttpServer>(
                m_io, settings, [this, &executor](const auto &exchange) { arrive(executor, exchange); });
            if (!report(executor.server->open(), nameOf(i))) {
                return false;
            }
        }
        return report(m_control.open(), "control");
    }

private:
    HttpServerSettings controlSettings() const
    {
        HttpServerSettings settings;
        settings.address = m_options.address;
        settings.port = m_options.controlPort;
        settings.idleTimeout = Duration{600'000'000};
        return settings;
    }

    std::string nameOf(int index) const
    {
        const auto place = static_cast<std::size_t>(index);
        return place < m_options.names.size() ? m_options.names[place] : m_options.prefix + std::to_string(index);
    }

    /// Index of an executor by its name or number; the number of executors when there is none.
    std::size_t indexOf(const std::string &name) const
    {
        const auto found = std::find(m_options.names.begin(), m_options.names.end(), name);
        if (found != m_options.names.end()) {
            return static_cast<std::size_t>(found - m_options.names.begin());
        }
        const std::size_t digits = name.find_last_not_of("0123456789") + 1;  // "i7" and "7" are the same executor
        return digits == name.size() ? m_executors.size() : std::strtoul(name.c_str() + digits, nullptr, 10);
    }

    static bool report(const Result<std::uint16_t> &port, const std::string &name)
    {
        if (!port) {
            std::cerr << port.error().message << "\n";
            return false;
        }
        std::cout << "listening " << name << " " << port.value() << std::endl;
        return true;
    }

    void arrive(Executor &executor, const std::shared_ptr<HttpExchange> &exchange)
    {
        if (static_cast<int>(executor.running.size()) >= m_options.slots) {
            executor.maxAsked
                = std::max(executor.maxAsked, static_cast<int>(executor.running.size() + executor.queued.size()) + 1);
            if (!m_options.queue) {
                ++executor.rejected;
                exchange->respond(503, "text/plain", "no free slot\n");
                return;
            }
            executor.queued.push_back(exchange);
            return;
        }
        begin(executor, exchange);
    }

    void begin(Executor &executor, const std::shared_ptr<HttpExchange> &exchange)
    {
        const HttpRequest &request = exchange->request();
        const auto text = [&](std::string_view name) {
            const std::string *value = request.fields.find(name);
            return value == nullptr ? std::string() : *value;
        };
        const std::uint64_t id = ++m_sequence;
        Execution execution;
        execution.request = text("Briarvane-Request-Id");
        execution.key = text("Idempotency-Key");
        execution.method = request.method;
        execution.target = request.target;
        execution.instance = executor.index;
        execution.startMs = wallMs();
        if (executor.drainStartMs >= 0) {
            execution.drainedForMs = execution.startMs - executor.drainStartMs;
        }
        Running &run = executor.running[id];
        run.exchange = exchange;
        run.record = m_executions.size();
        if (m_executions.size() < m_options.records) {
            m_executions.push_back(std::move(execution));
        }
        executor.maxInService = std::max(executor.maxInService, static_cast<int>(executor.running.size()));
        executor.maxAsked = std::max(executor.maxAsked, executor.maxInService);
        exchange->onGone([this, &executor, id] { finish(executor, id, RunState::Cancelled); });

        Fault fault = executor.fault;
        if (fault != Fault::None && executor.faultCount >= 0 && executor.faultCount-- == 0) {
            fault = executor.fault = Fault::None;
        }
        const std::string work = text("X-Work-Ms");
        double workMs = work.empty() ? 0 : std::strtod(work.c_str(), nullptr);
        if (fault == Fault::Late) {
            workMs += executor.value;
        }
        if (fault == Fault::Hang) {
            return;
        }
        if (workMs <= 0) {
            reply(executor, id, fault);
            return;
        }
        run.timer = m_timers.at(steadyNow() + Duration{static_cast<std::int64_t>(workMs * 1000)},
                                [this, &executor, id, fault] { reply(executor, id, fault); });
    }

    void reply(Executor &executor, std::uint64_t id, Fault fault)
    {
        const auto exchange = executor.running[id].exchange;
        const HttpRequest &request = exchange->request();
        const std::string *requestId = request.fields.find("Briarvane-Request-Id");
        const std::string *size = request.fields.find("X-Reply-Bytes");
        std::string body = "request=" + (requestId == nullptr ? std::string() : *requestId)
            + " instance=" + std::to_string(executor.index) + "\n";
        if (size != nullptr) {
            body.resize(std::max<std::size_t>(body.size(), std::strtoul(size->c_str(), nullptr, 10)), 'x');
        }
        switch (fault) {
        case Fault::Fail:
            finish(executor, id, RunState::Failed);
            exchange->respond(500, "text/plain", "failed\n");
            return;
        case Fault::ResetBefore:
            finish(executor, id, RunState::Done);
            exchange->reset();
            return;
        case Fault::Truncate:
        case Fault::ResetAfter: {
            finish(executor, id, RunState::Done);
            HttpResponseHead head;
            head.length = body.size();
            exchange->head(std::move(head));
            exchange->body(fault == Fault::Truncate ? std::string_view(body).substr(0, body.size() / 2)
                                                    : std::string_view(body));
            exchange->flush();
            fault == Fault::Truncate ? exchange->abort() : exchange->reset();
            return;
        }
        default:
            finish(executor, id, RunState::Done);
            exchange->respond(200, "text/plain", body);
        }
    }

    void finish(Executor &executor, std::uint64_t id, RunState state)
    {
        const auto found = executor.running.find(id);
        if (found == executor.running.end()) {
            return;
        }
        Running run = std::move(found->second);
        executor.running.erase(found);
        m_timers.cancel(run.timer);
        if (run.record < m_executions.size()) {
            m_executions[run.record].endMs = wallMs();
            m_executions[run.record].state = state;
        }
        executor.cut += state == RunState::Cut ? 1 : 0;
        executor.cancelled += state == RunState::Cancelled ? 1 : 0;
        while (!executor.queued.empty() && static_cast<int>(executor.running.size()) < m_options.slots) {
            const auto next = executor.queued.front();
            executor.queued.pop_front();
            if (!next->gone()) {
                begin(executor, next);
            }
        }
    }

    // Control port ----------------------------------------------------------------------------------------------------

    void control(const std::shared_ptr<HttpExchange> &exchange)
    {
        const HttpRequest &request = exchange->request();
        const std::string path = request.method + " " + std::string(request.path());
        if (path == "GET /executions") {
            exchange->respond(200, "application/json", json::serialize(executions()));
        } else if (path == "GET /stats") {
            exchange->respond(200, "application/json", json::serialize(stats()));
        } else if (path == "POST /clear") {
            m_executions.clear();  // only while nothing runs: records are found by their position
            exchange->respond(200, "application/json", "{}");
        } else if (path == "POST /fault") {
            command(exchange);
        } else {
            exchange->respond(404, "text/plain", "not found\n");
        }
    }

    void command(const std::shared_ptr<HttpExchange> &exchange)
    {
        const HttpRequest &request = exchange->request();
        const std::string name = request.query("instance");
        const auto kind = parseEnum<Fault>(request.query("kind"));
        const std::size_t index = indexOf(name);
        if (!kind || index >= m_executors.size()) {
            exchange->respond(400, "text/plain", "instance and kind (" + acceptedNames<Fault>() + ") are required\n");
            return;
        }
        Executor &executor = m_executors[index];
        const double value = std::strtod(request.query("value").c_str(), nullptr);
        const std::string count = request.query("count");
        if (*kind == Fault::Reboot) {
            reboot(executor, value);
        } else if (*kind == Fault::Drain) {
            executor.drainStartMs = value < 0 ? -1 : wallMs();  // a negative value ends the drain
        } else {
            executor.fault = *kind;
            executor.value = value;
            executor.faultCount = count.empty() ? -1 : std::atoi(count.c_str());
        }
        exchange->respond(200, "application/json", "{}");
    }

    void reboot(Executor &executor, double downMs)
    {
        executor.queued.clear();
        while (!executor.running.empty()) {
            finish(executor, executor.running.begin()->first, RunState::Cut);
        }
        executor.server->closeAll();
        executor.drainStartMs = -1;
        executor.fault = Fault::None;
        m_timers.at(steadyNow() + Duration{static_cast<std::int64_t>(downMs * 1000)}, [&executor] {
            if (const auto port = executor.server->open(); !port) {
                std::cerr << port.error().message << "\n";
            }
        });
    }

    json::array executions() const
    {
        json::array list;
        for (const Execution &execution : m_executions) {
            list.push_back({{"request", execution.request},
                            {"key", execution.key},
                            {"method", execution.method},
                            {"target", execution.target},
                            {"instance", nameOf(execution.instance)},
                            {"start_ms", execution.startMs},
                            {"end_ms", execution.endMs},
                            {"state", stateName(execution.state)}});
        }
        return list;
    }

    json::object stats() const
    {
        json::array list;
        for (const Executor &executor : m_executors) {
            json::array whileDraining;
            for (const Execution &execution : m_executions) {
                if (execution.instance == executor.index && execution.drainedForMs >= 0) {
                    whileDraining.push_back(
                        {{"request", execution.request}, {"since_drain_ms", execution.drainedForMs}});
                }
            }
            list.push_back({{"instance", nameOf(executor.index)},
                            {"in_service", executor.running.size()},
                            {"max_in_service", executor.maxInService},
                            {"max_asked", executor.maxAsked},
                            {"rejected", executor.rejected},
                            {"cut", executor.cut},
                            {"cancelled", executor.cancelled},
                            {"connections", executor.server->load().connections},
                            {"requests", executor.server->load().requests},
                            {"while_draining", std::move(whileDraining)}});
        }
        return {{"executors", std::move(list)}};
    }

    boost::asio::io_context &m_io;
    Options m_options;
    Timers m_timers;
    HttpServer m_control;
    std::deque<Execution> m_executions;
    std::uint64_t m_sequence = 0;
    std::vector<Executor> m_executors;
};

}

int main(int argc, char **argv)
{
    Options options;
    CLI::App app{"Stand-in for upstream executors"};
    app.add_option("--address", options.address, "listen address");
    app.add_option("--base-port", options.basePort, "port of the first executor; 0: free ports");
    app.add_option("--control-port", options.controlPort, "port for faults and records; 0: a free one");
    app.add_option("--count", options.count, "executors")->check(CLI::Range(1, 4000));
    app.add_option("--slots", options.slots, "requests in service per executor");
    app.add_flag("--queue", options.queue, "queue requests above the slots instead of answering 503");
    app.add_option("--names", options.names, "names of the executors in order")->delimiter(',');
    app.add_option("--prefix", options.prefix, "instance names are the prefix and a number");
    app.add_option("--records", options.records, "most executions recorded");
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context io(1);
    StandIn standIn(io, options);
    if (!standIn.open()) {
        return 1;
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const auto &, int) { io.stop(); });
    io.run();
    return 0;
}
