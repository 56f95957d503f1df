#include "entry.h"

#include "entry_control.h"
#include "entry_metrics.h"
#include "entry_requests.h"
#include "log.h"
#include "operator_api.h"

#include <boost/asio/signal_set.hpp>

#include <random>

namespace briarvane
{

namespace
{

constexpr Duration StopPollPeriod{50'000};

std::uint64_t randomStartId()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

ClusterSettings clusterSettings(const EntrySettings &settings, std::uint64_t startId)
{
    ClusterSettings cluster;
    cluster.self = settings.id;
    cluster.startId = startId;
    cluster.dataCentre = settings.dataCentre;
    cluster.peerEndpoint = "tcp://" + formatEndpoint(settings.peerListen);
    for (const NamedEndpoint &peer : settings.peers) {
        cluster.peers[EntryId{peer.name}] = "tcp://" + formatEndpoint(peer.endpoint);
    }
    return cluster;
}

HttpServerSettings callerServerSettings(const EntrySettings &settings)
{
    HttpServerSettings server;
    server.address = settings.listen.address;
    server.port = settings.listen.port;
    server.bodyLimit = settings.bodyLimit;
    server.connections = settings.maxCallerConnections;
    server.idleTimeout = settings.idleTimeout;
    server.writeTimeout = settings.slowCallerTimeout;
    return server;
}

HttpServerSettings operatorServerSettings(const EntrySettings &settings)
{
    HttpServerSettings server;
    server.address = settings.operatorListen.address;
    server.port = settings.operatorListen.port;
    server.bodyLimit = 8UL << 20U;  // a sheet of the size expected in two years has less than 1 MB
    server.connections = 256;
    return server;
}

RequestSettings requestSettings(const EntrySettings &settings, std::uint64_t startId)
{
    RequestSettings requests;
    requests.startId = startId;
    requests.slowCallerTimeout = settings.slowCallerTimeout;
    return requests;
}

/// Owns and connects the components of an entry. All its functions run on the I/O thread.
template<CoordinationService S>
class Entry
{
public:
    Entry(boost::asio::io_context &io, S &coordination, const EntrySettings &settings);

    int run();

private:
    bool open();
    void connectHandlers();
    void reconfigure();
    void handleOperator(const std::shared_ptr<HttpExchange> &exchange);
    std::map<InstanceId, int> inFlight() const;
    std::map<PoolId, int> inServicePerPool() const;
    static boost::json::array requestSummary(const MetricList &list);
    void waitForSignal();
    void beginStop();
    void finishStop();
    void waitForOpenRequests();

    boost::asio::io_context &m_io;
    EntrySettings m_settings;
    std::uint64_t m_startId = randomStartId();
    Peers m_peers;
    Cluster<S> m_cluster;
    PermitClient<S> m_permits;
    IdempotencyClient<S> m_idempotency;
    UpstreamClient m_upstreams;
    RequestPath<S> m_path;
    EntryMetrics<S> m_metrics;
    Controller<S> m_control;
    OperatorApi<S> m_api;
    HttpServer m_callers;
    HttpServer m_operators;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_stopTimer;
    boost::asio::steady_timer m_stopTimeoutTimer;
    bool m_stopping = false;
    bool m_callersClosed = false;
    int m_exitCode = 0;
};

template<CoordinationService S>
Entry<S>::Entry(boost::asio::io_context &io, S &coordination, const EntrySettings &settings)
    : m_io(io)
    , m_settings(settings)
    , m_peers(io, {settings.id, m_startId, "tcp://" + formatEndpoint(settings.peerListen)})
    , m_cluster(io, coordination, m_peers, clusterSettings(settings, m_startId))
    , m_permits(m_cluster)
    , m_idempotency(m_cluster, settings.idempotency)
    , m_upstreams(io, {})
    , m_path(io, m_permits, m_idempotency, m_upstreams, requestSettings(settings, m_startId))
    , m_metrics(m_cluster)
    , m_control(m_cluster,
                {.inFlight = [this] { return inFlight(); },
                 .samples =
                     [this](TimePoint now) {
                         m_metrics.setLoad(m_path.load(), inServicePerPool());
                         return m_metrics.samples(now);
                     }})
    , m_api(m_cluster, settings.operatorToken,
            {.stopping = [this] { return m_stopping; },
             .metricsText = [this] { return m_metrics.exposition(); },
             .metricsSummary =
                 [this](std::function<void(boost::json::array)> done) {
                     m_metrics.sumOverEntries(
                         [done = std::move(done)](const MetricList &list) { done(requestSummary(list)); });
                 }})
    , m_callers(io, callerServerSettings(settings), [this](const auto &exchange) { m_path.handle(exchange); })
    , m_operators(io, operatorServerSettings(settings), [this](const auto &exchange) { handleOperator(exchange); })
    , m_signals(io, SIGTERM, SIGINT)
    , m_stopTimer(io)
    , m_stopTimeoutTimer(io)
{
    connectHandlers();
}

template<CoordinationService S>
void Entry<S>::connectHandlers()
{
    const auto changed = [this](const StoreValue &) { reconfigure(); };
    m_cluster.onChanged("config/sheet", changed);
    m_cluster.onChanged("fleet", changed);
    m_cluster.onInstances([this] { reconfigure(); });
    m_path.onFinished([this](const FinishedRequest &finished) { m_metrics.count(finished); });
}

template<CoordinationService S>
int Entry<S>::run()
{
    if (!open()) {
        return 1;
    }
    waitForSignal();
    m_cluster.start();
    m_idempotency.start();
    m_metrics.start();
    m_control.start();
    logEvent(LogLevel::Info, "entry-started",
             {{"entry", m_settings.id.value},
              {"listen", formatEndpoint(m_settings.listen)},
              {"operator_listen", formatEndpoint(m_settings.operatorListen)}});
    m_io.run();
    logEvent(LogLevel::Info, "entry-ended",
             {{"entry", m_settings.id.value}, {"exit_code", std::to_string(m_exitCode)}});
    return m_exitCode;
}

template<CoordinationService S>
bool Entry<S>::open()
{
    const auto peers = m_peers.open();
    if (!peers) {
        logEvent(LogLevel::Error, "listen-failed", {{"port", "peer"}, {"reason", peers.error().message}});
        return false;
    }
    for (const auto &[name, server] : {std::pair{"callers", &m_callers}, std::pair{"operators", &m_operators}}) {
        const auto port = server->open();
        if (!port) {
            logEvent(LogLevel::Error, "listen-failed", {{"port", name}, {"reason", port.error().message}});
            return false;
        }
    }
    return true;
}

/// Called on each change of the sheet, the fleet value or the instance list, before the next event is handled.
template<CoordinationService S>
void Entry<S>::reconfigure()
{
    m_permits.configure(m_control.sheet(), m_control.fleet());
    const int entries = static_cast<int>(m_cluster.membership().listed().size());
    m_path.configure(m_control.sheet(), m_control.fleet(), m_cluster.instances(), std::max(1, entries));
}

template<CoordinationService S>
std::map<InstanceId, int> Entry<S>::inFlight() const
{
    std::map<InstanceId, int> counts = m_permits.inFlight();
    for (const auto &[id, count] : m_path.inFlight()) {
        counts[id] = std::max(counts[id], count);
    }
    return counts;
}

template<CoordinationService S>
std::map<PoolId, int> Entry<S>::inServicePerPool() const
{
    std::map<PoolId, int> pools;
    for (const PoolSpec &pool : m_control.sheet().pools) {
        pools[pool.id] = 0;
    }
    for (const auto &[id, count] : m_path.inFlight()) {
        const auto member = m_control.fleet().instances.find(id);
        if (member != m_control.fleet().instances.end()) {
            pools[member->second.pool] += count;
        }
    }
    return pools;
}

template<CoordinationService S>
boost::json::array Entry<S>::requestSummary(const MetricList &list)
{
    std::map<std::pair<std::string, std::string>, boost::json::object> rows;
    for (const auto &[name, value] : list) {
        const auto series = parseSeries(name);
        if (!series || series.value().name != metric::Requests) {
            continue;
        }
        const MetricLabels &labels = series.value().labels;
        boost::json::object &row = rows[{labels.at("service"), labels.at("class")}];
        const std::string &outcome = labels.at("outcome");
        const double before = row.contains(outcome) ? row.at(outcome).as_double() : 0.0;
        row[outcome] = before + value;
    }
    constexpr double msPerSecond = 1000.0;
    boost::json::array summary;
    for (auto &[key, row] : rows) {
        const MetricLabels filter{{"service", key.first}, {"class", key.second}};
        row["service"] = key.first;
        row["class"] = key.second;
        row["wait_p50_ms"] = metricQuantile(list, metric::Wait, filter, 0.5).value_or(0) * msPerSecond;
        row["wait_p99_ms"] = metricQuantile(list, metric::Wait, filter, 0.99).value_or(0) * msPerSecond;
        summary.push_back(row);
    }
    return summary;
}

template<CoordinationService S>
void Entry<S>::handleOperator(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    const std::string *authorization = request.fields.find("Authorization");
    m_api.handle(
        {request.method, request.target, authorization == nullptr ? std::string() : *authorization, request.body},
        [exchange](const OperatorReply &reply) { exchange->respond(reply.status, reply.contentType, reply.body); });
}

// Planned stop

template<CoordinationService S>
void Entry<S>::waitForSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int) {
        if (error) {
            return;
        }
        if (m_stopping) {
            std::string open;
            for (const std::string &request : m_callers.load().activeRequests) {
                open += (open.empty() ? "" : ", ") + request;
            }
            logEvent(LogLevel::Warn, "stop-waits",
                     {{"requests", std::to_string(m_path.open())},
                      {"unsettled_keys", std::to_string(m_idempotency.unconfirmedUpdates())},
                      {"open", open}});
        } else {
            beginStop();
        }
        waitForSignal();
    });
}

/// From this call on, readiness checks fail, so the load balancer sends no new requests. With the next heartbeat, the
/// work that this entry is responsible for moves to other entries.
template<CoordinationService S>
void Entry<S>::beginStop()
{
    m_stopping = true;
    m_cluster.membership().setStopping();
    logEvent(LogLevel::Info, "stop-begun",
             {{"entry", m_settings.id.value}, {"requests", std::to_string(m_path.open())}});
    m_stopTimeoutTimer.expires_after(m_settings.stopTimeout);
    m_stopTimeoutTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            logEvent(LogLevel::Error, "stop-limit", {{"cut_requests", std::to_string(m_path.open())}});
            m_exitCode = 1;
            m_io.stop();
        }
    });
    m_stopTimer.expires_after(m_settings.grace);
    m_stopTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            m_callers.stop([this] { m_callersClosed = true; });
            waitForOpenRequests();
        }
    });
}

/// Waits until all caller connections are closed, all requests have finished and all updates of idempotency records are
/// confirmed. A request whose caller has disconnected may still wait for its upstream; its claim is settled after that.
template<CoordinationService S>
void Entry<S>::waitForOpenRequests()
{
    if (m_callersClosed && m_path.open() == 0 && m_idempotency.unconfirmedUpdates() == 0) {
        finishStop();
        return;
    }
    m_stopTimer.expires_after(StopPollPeriod);
    m_stopTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            waitForOpenRequests();
        }
    });
}

template<CoordinationService S>
void Entry<S>::finishStop()
{
    m_control.stop();
    m_cluster.stop([this] {
        m_operators.closeAll();
        m_io.stop();
    });
}

}

int runEntry(const EntrySettings &settings)
{
    openLog(settings.logLevel);
    boost::asio::io_context io(1);
    if (settings.embedded) {
        EmbeddedCoordination coordination(io);
        for (const NamedEndpoint &instance : settings.instances) {
            coordination.records.push_back(
                {{instance.name}, instance.endpoint.address, instance.endpoint.port, settings.dataCentre, "rack-1"});
        }
        return Entry<EmbeddedCoordination>(io, coordination, settings).run();
    }
    HttpCoordination coordination(io, {settings.coordination.address, settings.coordination.port});
    return Entry<HttpCoordination>(io, coordination, settings).run();
}

}
