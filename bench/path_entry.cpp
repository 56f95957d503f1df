// A process with only the request path of an entry, for benchmarks. Permits are granted by a local counter, so the
// figures cover the server, the request path and the upstream client without messages between entries.

#include "entry_requests.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include <deque>
#include <iostream>

using namespace briarvane;

namespace
{

class LocalPermits
{
public:
    using Granted = std::function<void(Result<GrantedPermit>)>;

    LocalPermits(int instances, int slots)
        : m_slots(slots)
        , m_used(static_cast<std::size_t>(instances))
    {
    }

    void request(const PoolId &pool, const RequestInfo &info, const std::vector<InstanceId> &, Granted granted)
    {
        for (std::size_t i = 0; i < m_used.size(); ++i) {
            m_last = (m_last + 1) % m_used.size();
            if (m_used[m_last] < m_slots) {
                ++m_used[m_last];
                granted(GrantedPermit{m_last, pool, InstanceId{"i" + std::to_string(m_last)}});
                return;
            }
        }
        m_waiting.push_back({pool, info.id, std::move(granted)});
    }
    void cancel(const PoolId &, std::uint64_t requestId)
    {
        std::erase_if(m_waiting, [&](const Waiting &pending) { return pending.request == requestId; });
    }
    void release(const GrantedPermit &permit, const RequestInfo &, UpstreamResult, Duration)
    {
        if (m_waiting.empty()) {
            --m_used[permit.id];
            return;
        }
        const Waiting next = std::move(m_waiting.front());
        m_waiting.pop_front();
        next.granted(GrantedPermit{permit.id, next.pool, permit.instance});
    }
    bool mayRetry(const RequestInfo &)
    {
        return true;
    }

private:
    struct Waiting
    {
        PoolId pool;
        std::uint64_t request = 0;
        Granted granted;
    };
    int m_slots;
    std::vector<int> m_used;
    std::size_t m_last = 0;
    std::deque<Waiting> m_waiting;
};

struct NoIdempotency
{
    void claim(const IdempotencyKeyHash &, std::uint64_t, std::int64_t, TimePoint,
               const std::function<void(ClaimResult)> &done)
    {
        done({Verdict::Run, {}, {}});
    }
    void settle(const HeldClaim &, IdempotencyState, const StoredAnswer &)
    {
    }
};

}

int main(int argc, char **argv)
{
    HttpServerSettings settings;
    std::uint16_t upstreamPort = 0;
    int upstreams = 1;
    CLI::App app{"Request path of an entry with local permits"};
    app.add_option("--port", settings.port, "port for callers");
    app.add_option("--upstream-port", upstreamPort, "port of the first upstream instance")->required();
    app.add_option("--upstreams", upstreams, "number of upstream instances, on consecutive ports");
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context io(1);
    LocalPermits permits(upstreams, PoolSpec().slots);
    NoIdempotency idempotency;
    UpstreamClient client(io, {});
    BasicRequestPath<LocalPermits, NoIdempotency> path(io, permits, idempotency, client, {});
    Sheet sheet;
    sheet.pools = {PoolSpec{PoolId{"p"}}};
    ServiceSpec service;
    service.id = {"s"};
    service.pool = {"p"};
    service.route = "/";
    sheet.services = {service};
    std::vector<InstanceRecord> records;
    records.reserve(static_cast<std::size_t>(upstreams));
    for (int i = 0; i < upstreams; ++i) {
        records.push_back({{"i" + std::to_string(i)}, "127.0.0.1", static_cast<std::uint16_t>(upstreamPort + i)});
    }
    path.configure(sheet, {}, records, 1);
    HttpServer server(io, settings, [&](const auto &exchange) { path.handle(exchange); });
    const auto port = server.open();
    if (!port) {
        std::cerr << port.error().message << "\n";
        return 1;
    }
    std::cout << "listening entry " << port.value() << std::endl;
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const auto &, int) { io.stop(); });
    io.run();
    return 0;
}
