// Stand-in for many upstream instances in one process. Each instance has its own port, slots and faults. Each request
// that an instance begins to serve is recorded.
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
    bool queue = false;  // requests beyond the slots wait instead of getting 503
    std::string prefix = "i";
    std::vector<std::string> names;      // names of the first instances; the others are named by prefix and number
    std::size_t maxRecords = 1'000'000;  // further executions are not recorded
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
    double sinceDrainMs = -1;  // time from the start of the drain to startMs; -1: the instance was not draining
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

struct OpenRequest
{
    std::shared_ptr<HttpExchange> exchange;
    std::size_t record = 0;  // index in m_executions; past its end if the execution is not recorded
    Timers::Key timer;
};

struct UpstreamInstance
{
    int index = 0;
    std::unique_ptr<HttpServer> server;
    Fault fault = Fault::None;
    double value = 0;     // extra time in ms of the fault `late`; other faults ignore it
    int faultCount = -1;  // number of further requests that the fault applies to; -1: all
    double drainStartMs = -1;
    std::map<std::uint64_t, OpenRequest> running;
    std::deque<std::shared_ptr<HttpExchange>> queued;
    int maxInService = 0;
    int maxDemand = 0;  // highest number of requests in service and queued, counting one that was rejected
    std::uint64_t rejected = 0;
    std::uint64_t cut = 0;
    std::uint64_t cancelled = 0;
};

class UpstreamStandIn
{
public:
    UpstreamStandIn(boost::asio::io_context &io, Options options)
        : m_io(io)
        , m_options(std::move(options))
        , m_timers(io)
        , m_control(io, controlSettings(), [this](const auto &exchange) { control(exchange); })
    {
    }

    bool open()
    {
        m_instances.resize(static_cast<std::size_t>(m_options.count));
        for (int i = 0; i < m_options.count; ++i) {
            UpstreamInstance &upstream = m_instances[static_cast<std::size_t>(i)];
            upstream.index = i;
            HttpServerSettings settings = controlSettings();
            settings.port
                = m_options.basePort == 0 ? std::uint16_t{0} : static_cast<std::uint16_t>(m_options.basePort + i);
            settings.bodyLimit = 64UL << 20U;
            settings.totalBodyLimit = 1UL << 30U;
            upstream.server = std::make_unique<HttpServer>(
                m_io, settings, [this, &upstream](const auto &exchange) { handleRequest(upstream, exchange); });
            if (!report(upstream.server->open(), nameOf(i))) {
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
        const auto position = static_cast<std::size_t>(index);
        return position < m_options.names.size() ? m_options.names[position] : m_options.prefix + std::to_string(index);
    }

    /// Index of the instance with this configured name, else the number at the end of `name`. The result is not below
    /// the number of instances if there is no such instance.
    std::size_t indexOf(const std::string &name) const
    {
        const auto found = std::find(m_options.names.begin(), m_options.names.end(), name);
        if (found != m_options.names.end()) {
            return static_cast<std::size_t>(found - m_options.names.begin());
        }
        const std::size_t digits = name.find_last_not_of("0123456789") + 1;  // "i7" and "7" are the same instance
        return digits == name.size() ? m_instances.size() : std::strtoul(name.c_str() + digits, nullptr, 10);
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

    void handleRequest(UpstreamInstance &upstream, const std::shared_ptr<HttpExchange> &exchange)
    {
        if (static_cast<int>(upstream.running.size()) >= m_options.slots) {
            upstream.maxDemand
                = std::max(upstream.maxDemand, static_cast<int>(upstream.running.size() + upstream.queued.size()) + 1);
            if (!m_options.queue) {
                ++upstream.rejected;
                exchange->respond(503, "text/plain", "no free slot\n");
                return;
            }
            upstream.queued.push_back(exchange);
            return;
        }
        startRequest(upstream, exchange);
    }

    void startRequest(UpstreamInstance &upstream, const std::shared_ptr<HttpExchange> &exchange)
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
        execution.instance = upstream.index;
        execution.startMs = wallMs();
        if (upstream.drainStartMs >= 0) {
            execution.sinceDrainMs = execution.startMs - upstream.drainStartMs;
        }
        OpenRequest &openRequest = upstream.running[id];
        openRequest.exchange = exchange;
        openRequest.record = m_executions.size();
        if (m_executions.size() < m_options.maxRecords) {
            m_executions.push_back(std::move(execution));
        }
        upstream.maxInService = std::max(upstream.maxInService, static_cast<int>(upstream.running.size()));
        upstream.maxDemand = std::max(upstream.maxDemand, upstream.maxInService);
        exchange->onDisconnect([this, &upstream, id] { finish(upstream, id, RunState::Cancelled); });

        Fault fault = upstream.fault;
        if (fault != Fault::None && upstream.faultCount >= 0 && upstream.faultCount-- == 0) {
            fault = upstream.fault = Fault::None;
        }
        const std::string work = text("X-Work-Ms");
        double workMs = work.empty() ? 0 : std::strtod(work.c_str(), nullptr);
        if (fault == Fault::Late) {
            workMs += upstream.value;
        }
        if (fault == Fault::Hang) {
            return;
        }
        if (workMs <= 0) {
            reply(upstream, id, fault);
            return;
        }
        openRequest.timer = m_timers.at(steadyNow() + Duration{static_cast<std::int64_t>(workMs * 1000)},
                                        [this, &upstream, id, fault] { reply(upstream, id, fault); });
    }

    void reply(UpstreamInstance &upstream, std::uint64_t id, Fault fault)
    {
        const auto exchange = upstream.running[id].exchange;
        const HttpRequest &request = exchange->request();
        const std::string *requestId = request.fields.find("Briarvane-Request-Id");
        const std::string *size = request.fields.find("X-Reply-Bytes");
        std::string body = "request=" + (requestId == nullptr ? std::string() : *requestId)
            + " instance=" + std::to_string(upstream.index) + "\n";
        if (size != nullptr) {
            body.resize(std::max<std::size_t>(body.size(), std::strtoul(size->c_str(), nullptr, 10)), 'x');
        }
        switch (fault) {
        case Fault::Fail:
            finish(upstream, id, RunState::Failed);
            exchange->respond(500, "text/plain", "failed\n");
            return;
        case Fault::ResetBefore:
            finish(upstream, id, RunState::Done);
            exchange->reset();
            return;
        case Fault::Truncate:
        case Fault::ResetAfter: {
            finish(upstream, id, RunState::Done);
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
            finish(upstream, id, RunState::Done);
            exchange->respond(200, "text/plain", body);
        }
    }

    void finish(UpstreamInstance &upstream, std::uint64_t id, RunState state)
    {
        const auto found = upstream.running.find(id);
        if (found == upstream.running.end()) {
            return;
        }
        OpenRequest openRequest = std::move(found->second);
        upstream.running.erase(found);
        m_timers.cancel(openRequest.timer);
        if (openRequest.record < m_executions.size()) {
            m_executions[openRequest.record].endMs = wallMs();
            m_executions[openRequest.record].state = state;
        }
        upstream.cut += state == RunState::Cut ? 1 : 0;
        upstream.cancelled += state == RunState::Cancelled ? 1 : 0;
        while (!upstream.queued.empty() && static_cast<int>(upstream.running.size()) < m_options.slots) {
            const auto next = upstream.queued.front();
            upstream.queued.pop_front();
            if (!next->disconnected()) {
                startRequest(upstream, next);
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
            m_executions.clear();  // allowed only while no request is open: open requests refer to records by index
            exchange->respond(200, "application/json", "{}");
        } else if (path == "POST /fault") {
            setFault(exchange);
        } else {
            exchange->respond(404, "text/plain", "not found\n");
        }
    }

    void setFault(const std::shared_ptr<HttpExchange> &exchange)
    {
        const HttpRequest &request = exchange->request();
        const std::string name = request.query("instance");
        const auto kind = parseEnum<Fault>(request.query("kind"));
        const std::size_t index = indexOf(name);
        if (!kind || index >= m_instances.size()) {
            exchange->respond(400, "text/plain", "instance and kind (" + acceptedNames<Fault>() + ") are required\n");
            return;
        }
        UpstreamInstance &upstream = m_instances[index];
        const double value = std::strtod(request.query("value").c_str(), nullptr);
        const std::string count = request.query("count");
        if (*kind == Fault::Reboot) {
            reboot(upstream, value);
        } else if (*kind == Fault::Drain) {
            upstream.drainStartMs = value < 0 ? -1 : wallMs();  // a negative value ends the drain
        } else {
            upstream.fault = *kind;
            upstream.value = value;
            upstream.faultCount = count.empty() ? -1 : std::atoi(count.c_str());
        }
        exchange->respond(200, "application/json", "{}");
    }

    void reboot(UpstreamInstance &upstream, double downMs)
    {
        upstream.queued.clear();
        while (!upstream.running.empty()) {
            finish(upstream, upstream.running.begin()->first, RunState::Cut);
        }
        upstream.server->closeAll();
        upstream.drainStartMs = -1;
        upstream.fault = Fault::None;
        m_timers.at(steadyNow() + Duration{static_cast<std::int64_t>(downMs * 1000)}, [&upstream] {
            if (const auto port = upstream.server->open(); !port) {
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
        for (const UpstreamInstance &upstream : m_instances) {
            json::array whileDraining;
            for (const Execution &execution : m_executions) {
                if (execution.instance == upstream.index && execution.sinceDrainMs >= 0) {
                    whileDraining.push_back(
                        {{"request", execution.request}, {"since_drain_ms", execution.sinceDrainMs}});
                }
            }
            list.push_back({{"instance", nameOf(upstream.index)},
                            {"in_service", upstream.running.size()},
                            {"max_in_service", upstream.maxInService},
                            {"max_asked", upstream.maxDemand},
                            {"rejected", upstream.rejected},
                            {"cut", upstream.cut},
                            {"cancelled", upstream.cancelled},
                            {"connections", upstream.server->load().connections},
                            {"requests", upstream.server->load().requests},
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
    std::vector<UpstreamInstance> m_instances;
};

}

int main(int argc, char **argv)
{
    Options options;
    CLI::App app{"Stand-in for upstream instances"};
    app.add_option("--address", options.address, "listen address");
    app.add_option("--base-port", options.basePort, "port of the first instance; 0: free ports");
    app.add_option("--control-port", options.controlPort, "port for faults and records; 0: a free one");
    app.add_option("--count", options.count, "number of instances")->check(CLI::Range(1, 4000));
    app.add_option("--slots", options.slots, "requests in service per instance");
    app.add_flag("--queue", options.queue, "queue requests above the slots instead of answering 503");
    app.add_option("--names", options.names, "names of the instances in order")->delimiter(',');
    app.add_option("--prefix", options.prefix, "instance names are the prefix and a number");
    app.add_option("--records", options.maxRecords, "highest number of executions recorded");
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context io(1);
    UpstreamStandIn standIn(io, options);
    if (!standIn.open()) {
        return 1;
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const auto &, int) { io.stop(); });
    io.run();
    return 0;
}
