#include "entry_requests.h"
#include "wire_peer.h"

#include <catch2/catch.hpp>

using namespace briarvane;
using namespace briarvane::testing;

namespace
{

struct FakePermits
{
    using Granted = std::function<void(Result<GrantedPermit>)>;
    struct Asked
    {
        PoolId pool;
        RequestInfo info;
        std::vector<InstanceId> avoid;
        Granted granted;
    };

    void request(const PoolId &pool, const RequestInfo &info, std::vector<InstanceId> avoid, Granted granted)
    {
        asked.push_back({pool, info, std::move(avoid), std::move(granted)});
        if (automatic) {
            grant();
        }
    }
    void grant()
    {
        const Asked next = asked.back();
        asked.pop_back();
        served.push_back(next);
        for (const InstanceId &instance : instances) {
            if (std::find(next.avoid.begin(), next.avoid.end(), instance) == next.avoid.end()) {
                next.granted(GrantedPermit{++granted, next.pool, instance});
                return;
            }
        }
        next.granted(refusal);
    }
    void cancel(const PoolId &, std::uint64_t requestId)
    {
        cancelled += std::erase_if(asked, [&](const Asked &one) { return one.info.id == requestId; });
    }
    void release(const GrantedPermit &permit, const RequestInfo &, UpstreamResult result, Duration)
    {
        ++releases[permit.id];
        results.push_back(result);
    }
    bool mayRetry(const RequestInfo &)
    {
        return budget-- > 0;
    }
    bool eachReleasedOnce() const
    {
        return releases.size() == granted
            && std::all_of(releases.begin(), releases.end(), [](const auto &one) { return one.second == 1; });
    }

    bool automatic = true;
    std::vector<InstanceId> instances{{"i1"}, {"i2"}};
    Error refusal{ErrorCode::Refused, "no instance is left"};
    int budget = 10;
    std::vector<Asked> asked;
    std::vector<Asked> served;
    std::uint64_t granted = 0;
    std::size_t cancelled = 0;
    std::map<std::uint64_t, int> releases;
    std::vector<UpstreamResult> results;
};

struct FakeIdempotency
{
    void claim(const IdempotencyKeyHash &, std::uint64_t, std::int64_t, TimePoint,
               std::function<void(ClaimResult)> done)
    {
        claims.push_back(std::move(done));
    }
    void decide(Verdict verdict, KeptAnswer answer = {})
    {
        const auto done = claims.back();
        claims.pop_back();
        done({verdict, {0, {}, ++decided}, std::move(answer)});
    }
    void settle(const HeldClaim &claim, IdempotencyState state, KeptAnswer answer)
    {
        settled.push_back({claim.sequence, state});
        kept = std::move(answer);
    }

    std::vector<std::function<void(ClaimResult)>> claims;
    std::uint64_t decided = 0;
    std::vector<std::pair<std::uint64_t, IdempotencyState>> settled;
    KeptAnswer kept;
};

Sheet testSheet()
{
    Sheet sheet;
    sheet.pools = {PoolSpec{PoolId{"p"}}, PoolSpec{PoolId{"q"}}};
    ServiceSpec orders;
    orders.id = {"orders"};
    orders.pool = {"p"};
    orders.route = "/orders";
    ServiceSpec reports = orders;
    reports.id = {"reports"};
    reports.pool = {"q"};
    reports.route = "/orders/reports/";
    reports.requestClass = RequestClass::Long;
    ServiceSpec quotes = orders;
    quotes.id = {"quotes"};
    quotes.route = "/quotes";
    quotes.idempotent = true;
    sheet.services = {orders, reports, quotes};
    return sheet;
}

RequestSettings testSettings()
{
    RequestSettings settings;
    settings.slowCaller = Duration{50'000};
    return settings;
}

struct PathBench
{
    PathBench()
        : upstreams(io, {})
        , path(io, permits, idempotency, upstreams, testSettings())
        , server(io, {}, [this](const auto &exchange) { path.handle(exchange); })
    {
        path.configure(testSheet(), {},
                       {{{"i1"}, "127.0.0.1", one.port(), "", "", Presence::Live},
                        {{"i2"}, "127.0.0.1", two.port(), "", "", Presence::Live}},
                       1);
        path.onFinished([this](const FinishedRequest &report) { reports.push_back(report); });
        caller.emplace(io, server.open().value());
    }
    void ask(const std::string &line, const std::string &fields = "", const std::string &body = "")
    {
        caller->send(line + " HTTP/1.1\r\nHost: x\r\n" + fields
                     + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body);
    }
    bool told(int status, std::string_view outcome)
    {
        return caller->waitFor("HTTP/1.1 " + std::to_string(status) + " ")
            && caller->waitFor("Briarvane-Outcome: " + std::string(outcome) + "\r\n") && finished();
    }
    bool finished()
    {
        return pumpUntil(io, [&] { return reports.size() == 1; }) && path.open() == 0 && path.inFlight().empty()
            && permits.eachReleasedOnce();
    }
    /// Takes the request at an upstream and answers it.
    WirePeer serve(WireListener &upstream, const std::string &answer)
    {
        WirePeer peer = upstream.accept();
        CHECK(peer.waitFor("\r\n\r\n"));
        peer.send(answer);
        return peer;
    }

    boost::asio::io_context io;
    WireListener one{io};
    WireListener two{io};
    FakePermits permits;
    FakeIdempotency idempotency;
    UpstreamClient upstreams;
    BasicRequestPath<FakePermits, FakeIdempotency> path;
    HttpServer server;
    std::optional<WirePeer> caller;
    std::vector<FinishedRequest> reports;
};

const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
const std::string Key = "Idempotency-Key: k1\r\n";
using Results = std::vector<UpstreamResult>;

}

TEST_CASE("A request is answered by its upstream", "[requests]")
{
    PathBench bench;
    bench.ask("GET /orders/reports/7?x=1", "Briarvane-Tenant: t1\r\nBriarvane-Request-Id: r1\r\n");
    WirePeer peer = bench.serve(bench.one, "");
    CHECK(peer.received().starts_with("GET /orders/reports/7?x=1 HTTP/1.1\r\n"));
    CHECK(peer.received().find("Briarvane-Request-Id: r1\r\n") != std::string::npos);
    CHECK(bench.path.inFlight() == std::map<InstanceId, int>{{{"i1"}, 1}});
    peer.send("HTTP/1.1 418 Teapot\r\nBriarvane-Outcome: forged\r\nX-End: 1\r\nContent-Length: 2\r\n\r\nab");
    CHECK(bench.told(418, "answered"));
    CHECK(bench.caller->waitFor("Briarvane-Request-Id: r1\r\n"));
    CHECK(bench.caller->waitFor("X-End: 1\r\n"));
    CHECK(bench.caller->received().find("forged") == std::string::npos);
    CHECK(bench.caller->received().ends_with("\r\n\r\nab"));

    // The longest route wins, so that long reports do not count as short orders.
    CHECK(bench.permits.served[0].pool == PoolId{"q"});
    CHECK(bench.permits.served[0].info.requestClass == RequestClass::Long);
    CHECK(bench.permits.served[0].info.tenant == TenantId{"t1"});
    CHECK(bench.permits.results == Results{UpstreamResult::Completed});
    CHECK(bench.reports[0].service == ServiceId{"reports"});
    CHECK(bench.reports[0].outcome == Outcome::Answered);
    CHECK(bench.reports[0].upstreamStatus == 418);
}

TEST_CASE("Not-run is told only when no byte reached an upstream", "[requests]")
{
    PathBench bench;
    SECTION("no service, also when a route is only the beginning of a path segment")
    {
        bench.ask("GET /ordersx");
        CHECK(bench.told(404, "not-run"));
    }
    SECTION("a timeout that is no number")
    {
        bench.ask("GET /orders", "Briarvane-Timeout-Ms: 1e9\r\n");
        CHECK(bench.told(400, "not-run"));
    }
    SECTION("refused permits")
    {
        bench.permits.instances.clear();
        SECTION("by a quota")
        {
            bench.permits.refusal = {ErrorCode::Refused, "the tenant's quota is used up"};
            bench.ask("POST /orders");
            CHECK(bench.told(429, "not-run"));
        }
        SECTION("for want of a usable view")
        {
            bench.permits.refusal = {ErrorCode::Unavailable, "the view is stale"};
            bench.ask("POST /orders");
            CHECK(bench.told(503, "not-run"));
            CHECK(bench.caller->waitFor("Retry-After: "));
        }
    }
    SECTION("upstreams that refuse connections; another one may be tried, since nothing was sent")
    {
        const WireListener closed(bench.io);
        std::uint16_t port = 0;
        {
            const WireListener gone(bench.io);
            port = gone.port();
        }
        const bool both = GENERATE(true, false);
        bench.path.configure(testSheet(), {},
                             {{{"i1"}, "127.0.0.1", port, "", "", Presence::Live},
                              {{"i2"}, "127.0.0.1", both ? port : bench.two.port(), "", "", Presence::Live}},
                             1);
        bench.ask("POST /orders");
        if (both) {
            CHECK(bench.told(503, "not-run"));
            CHECK(bench.permits.results == Results{UpstreamResult::ConnectFailed, UpstreamResult::ConnectFailed});
        } else {
            const WirePeer peer = bench.serve(bench.two, Ok);
            CHECK(bench.told(200, "answered"));
            CHECK(bench.reports[0].retries == 1);
        }
    }
}

TEST_CASE("A non-idempotent request is never sent a second time", "[requests]")
{
    PathBench bench;
    SECTION("after a reset")
    {
        bench.ask("POST /orders", "", "body");
        bench.serve(bench.one, "").close(true);
        CHECK(bench.told(502, "unknown"));
        CHECK(bench.permits.results == Results{UpstreamResult::Reset});
    }
    SECTION("after an answer that was cut; a small one is not passed on in part")
    {
        bench.ask("POST /orders", "", "body");
        bench.serve(bench.one, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab").close();
        CHECK(bench.told(502, "unknown"));
        CHECK(bench.permits.results == Results{UpstreamResult::Truncated});
    }
    SECTION("after the deadline")
    {
        bench.ask("POST /orders", "Briarvane-Timeout-Ms: 30\r\n", "body");
        WirePeer peer = bench.serve(bench.one, "");
        CHECK(bench.told(504, "unknown"));
        CHECK(peer.waitClosed());
        CHECK(bench.permits.results == Results{UpstreamResult::TimedOut});
    }
    settleLoop(bench.io);
    CHECK_FALSE(bench.one.pending());
    CHECK_FALSE(bench.two.pending());
}

TEST_CASE("An idempotent request is retried on another instance", "[requests]")
{
    PathBench bench;
    bench.ask("POST /quotes", "", "body");
    SECTION("within the budget")
    {
        bench.serve(bench.one, "").close(true);
        WirePeer second = bench.serve(bench.two, Ok);
        CHECK(second.waitFor("body"));
        CHECK(bench.told(200, "answered"));
        CHECK(bench.permits.served[1].avoid == std::vector<InstanceId>{{"i1"}});
        CHECK(bench.permits.results == Results{UpstreamResult::Reset, UpstreamResult::Completed});
        CHECK(bench.reports[0].retries == 1);
    }
    SECTION("not beyond the budget, since retries would multiply the load of a failing pool")
    {
        bench.permits.budget = 0;
        bench.serve(bench.one, "").close(true);
        CHECK(bench.told(502, "unknown"));
        CHECK(bench.permits.served.size() == 1);
    }
    SECTION("and is unknown, not not-run, when no permit is left for the retry")
    {
        bench.permits.instances = {{"i1"}};
        bench.serve(bench.one, "").close(true);
        CHECK(bench.told(502, "unknown"));
    }
}

TEST_CASE("An answer that breaks off after its head is visibly cut", "[requests]")
{
    PathBench bench;
    bench.ask("GET /orders");
    WirePeer peer = bench.serve(bench.one, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
    CHECK(bench.caller->waitFor("2\r\nab\r\n"));
    peer.close();
    CHECK(bench.caller->waitClosed());
    CHECK(bench.caller->received().ends_with("2\r\nab\r\n"));
    CHECK(bench.finished());
    CHECK(bench.reports[0].outcome == Outcome::Unknown);
    CHECK(bench.reports[0].truncated);
    CHECK(bench.permits.served.size() == 1);
}

TEST_CASE("A caller that goes away takes its request along", "[requests]")
{
    PathBench bench;
    SECTION("while it waits for a permit: it leaves the queue")
    {
        bench.permits.automatic = false;
        bench.ask("GET /orders");
        CHECK(pumpUntil(bench.io, [&] { return bench.permits.asked.size() == 1; }));
        bench.caller->close();
        CHECK(bench.finished());
        CHECK(bench.permits.cancelled == 1);
        CHECK(bench.reports[0].outcome == Outcome::NotRun);
    }
    SECTION("while it runs: the upstream's connection is closed and the permit released")
    {
        bench.ask("POST /orders");
        WirePeer peer = bench.serve(bench.one, "");
        bench.caller->close();
        CHECK(peer.waitClosed());
        CHECK(bench.finished());
        CHECK(bench.permits.results == Results{UpstreamResult::Cancelled});
        CHECK(bench.reports[0].outcome == Outcome::Unknown);
    }
    SECTION("or stops reading: the upstream is held up only for a set time")
    {
        bench.ask("GET /orders");
        WirePeer peer = bench.serve(bench.one, "HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n");
        const std::string piece(1'000'000, 'a');
        for (int i = 0; i < 29 && bench.reports.empty(); ++i) {
            boost::system::error_code error;
            peer.socket().write_some(boost::asio::buffer(piece), error);
            settleLoop(bench.io);
        }
        CHECK(bench.finished());
        CHECK(bench.permits.results == Results{UpstreamResult::Cancelled});
        CHECK(bench.reports[0].truncated);
    }
}

TEST_CASE("A keyed request runs at most once", "[requests]")
{
    PathBench bench;
    bench.ask("POST /orders", Key, "body");
    CHECK(pumpUntil(bench.io, [&] { return bench.idempotency.claims.size() == 1; }));
    settleLoop(bench.io);
    CHECK(bench.permits.served.empty());  // nothing goes out before the key is recorded
    const auto settledAs = [&](IdempotencyState state) {
        return bench.idempotency.settled == std::vector<std::pair<std::uint64_t, IdempotencyState>>{{1, state}};
    };

    SECTION("the first claim runs, and its answer is kept")
    {
        bench.idempotency.decide(Verdict::Run);
        const WirePeer peer = bench.serve(
            bench.one,
            "HTTP/1.1 201 Created\r\nContent-Type: a/b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
        CHECK(bench.told(201, "answered"));
        CHECK(settledAs(IdempotencyState::Finished));
        CHECK(bench.idempotency.kept.status == 201);
        CHECK(bench.idempotency.kept.contentType == "a/b");
        CHECK(bench.idempotency.kept.body == "ab");
        CHECK(bench.idempotency.kept.bodyKept);
    }
    SECTION("every other verdict sends nothing")
    {
        const auto [verdict, status, outcome] = GENERATE(
            table<Verdict, int, std::string>({{Verdict::InProgress, 409, "in-progress"},
                                              {Verdict::KeyConflict, 422, "key-conflict"},
                                              {Verdict::Busy, 503, "not-run"},
                                              {Verdict::Unknown, 502, "unknown"},
                                              {Verdict::Replay, 502, "unknown"}}));  // a replay whose body was not kept
        bench.idempotency.decide(verdict);
        CHECK(bench.told(status, outcome));
        CHECK(bench.permits.served.empty());
        CHECK(bench.idempotency.settled.empty());
    }
    SECTION("a replay is the first answer")
    {
        bench.idempotency.decide(Verdict::Replay, {201, "a/b", "first", true});
        CHECK(bench.told(201, "answered"));
        CHECK(bench.caller->waitFor("\r\n\r\nfirst"));
        CHECK(bench.permits.served.empty());
    }
    SECTION("a claim that sent no byte is abandoned, so that a retry may run")
    {
        bench.permits.instances.clear();
        bench.idempotency.decide(Verdict::Run);
        CHECK(bench.told(503, "not-run"));
        CHECK(settledAs(IdempotencyState::Abandoned));
    }
    SECTION("a claim whose answer was lost is unknown for ever")
    {
        bench.idempotency.decide(Verdict::Run);
        bench.serve(bench.one, "").close(true);
        CHECK(bench.told(502, "unknown"));
        CHECK(settledAs(IdempotencyState::Unknown));
    }
    SECTION("a caller that goes away before the verdict leaves no claim behind")
    {
        bench.caller->close();
        CHECK(bench.finished());
        bench.idempotency.decide(Verdict::Run);
        CHECK(settledAs(IdempotencyState::Abandoned));
        CHECK(bench.permits.served.empty());
    }
    SECTION("a caller that goes away in the queue leaves no claim behind")
    {
        bench.permits.automatic = false;
        bench.idempotency.decide(Verdict::Run);
        bench.caller->close();
        CHECK(bench.finished());
        CHECK(settledAs(IdempotencyState::Abandoned));
    }
    SECTION("once it is sent, the answer is awaited for the caller's retry")
    {
        bench.idempotency.decide(Verdict::Run);
        WirePeer peer = bench.serve(bench.one, "");
        bench.caller->close();
        settleLoop(bench.io);
        CHECK(bench.reports.empty());
        CHECK(bench.path.inFlight().size() == 1);
        peer.send(Ok);
        CHECK(bench.finished());
        CHECK(settledAs(IdempotencyState::Finished));
        CHECK(bench.idempotency.kept.body == "ab");
        CHECK(bench.reports[0].callerDisconnected);
    }
}
