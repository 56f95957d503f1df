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
    struct QueuedRequest
    {
        PoolId pool;
        RequestInfo info;
        std::vector<InstanceId> avoid;
        Granted granted;
    };

    void request(const PoolId &pool, const RequestInfo &info, std::vector<InstanceId> avoid, Granted granted)
    {
        queued.push_back({pool, info, std::move(avoid), std::move(granted)});
        if (automatic) {
            grant();
        }
    }
    void grant()
    {
        const QueuedRequest next = queued.back();
        queued.pop_back();
        decidedRequests.push_back(next);
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
        cancelled += std::erase_if(queued, [&](const QueuedRequest &item) { return item.info.id == requestId; });
    }
    void release(const GrantedPermit &permit, const RequestInfo &, UpstreamResult result, Duration)
    {
        ++releases[permit.id];
        results.push_back(result);
    }
    bool mayRetry(const RequestInfo &)
    {
        return retryBudget-- > 0;
    }
    bool eachReleasedOnce() const
    {
        return releases.size() == granted
            && std::all_of(releases.begin(), releases.end(), [](const auto &item) { return item.second == 1; });
    }

    bool automatic = true;
    std::vector<InstanceId> instances{{"i1"}, {"i2"}};
    Error refusal{ErrorCode::Refused, "no instance is left"};
    int retryBudget = 10;
    std::vector<QueuedRequest> queued;
    std::vector<QueuedRequest> decidedRequests;
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
    void decide(Verdict verdict, StoredAnswer answer = {})
    {
        const auto done = claims.back();
        claims.pop_back();
        done({verdict, {0, {}, ++verdicts}, std::move(answer)});
    }
    void settle(const HeldClaim &claim, IdempotencyState state, StoredAnswer answer)
    {
        claimUpdates.push_back({claim.sequence, state});
        keptAnswer = std::move(answer);
    }

    std::vector<std::function<void(ClaimResult)>> claims;
    std::uint64_t verdicts = 0;
    std::vector<std::pair<std::uint64_t, IdempotencyState>> claimUpdates;
    StoredAnswer keptAnswer;
};

Sheet testSheet()
{
    Sheet sheet;
    sheet.pools = {PoolSpec{PoolId{"p"}}, PoolSpec{PoolId{"q"}}};
    ServiceSpec orderService;
    orderService.id = {"orders"};
    orderService.pool = {"p"};
    orderService.route = "/orders";
    ServiceSpec reportService = orderService;
    reportService.id = {"reports"};
    reportService.pool = {"q"};
    reportService.route = "/orders/reports/";
    reportService.requestClass = RequestClass::Long;
    ServiceSpec quoteService = orderService;
    quoteService.id = {"quotes"};
    quoteService.route = "/quotes";
    quoteService.idempotent = true;
    sheet.services = {orderService, reportService, quoteService};
    return sheet;
}

RequestSettings testSettings()
{
    RequestSettings settings;
    settings.slowCallerTimeout = Duration{50'000};
    return settings;
}

struct PathFixture
{
    PathFixture()
        : upstreams(io, {})
        , path(io, permits, idempotency, upstreams, testSettings())
        , server(io, {}, [this](const auto &exchange) { path.handle(exchange); })
    {
        path.configure(testSheet(), {},
                       {{{"i1"}, "127.0.0.1", upstreamOne.port(), "", "", Presence::Live},
                        {{"i2"}, "127.0.0.1", upstreamTwo.port(), "", "", Presence::Live}},
                       1);
        path.onFinished([this](const FinishedRequest &report) { reports.push_back(report); });
        caller.emplace(io, server.open().value());
    }
    void sendRequest(const std::string &line, const std::string &fields = "", const std::string &body = "")
    {
        caller->send(line + " HTTP/1.1\r\nHost: x\r\n" + fields
                     + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body);
    }
    bool callerReceives(int status, std::string_view outcome)
    {
        return caller->waitFor("HTTP/1.1 " + std::to_string(status) + " ")
            && caller->waitFor("Briarvane-Outcome: " + std::string(outcome) + "\r\n") && finished();
    }
    bool finished()
    {
        return pumpUntil(io, [&] { return reports.size() == 1; }) && path.open() == 0 && path.inFlight().empty()
            && permits.eachReleasedOnce();
    }
    /// Accepts the request at an upstream and sends the answer.
    WirePeer serveRequest(WireListener &upstream, const std::string &answer)
    {
        WirePeer peer = upstream.accept();
        CHECK(peer.waitFor("\r\n\r\n"));
        peer.send(answer);
        return peer;
    }

    boost::asio::io_context io;
    WireListener upstreamOne{io};
    WireListener upstreamTwo{io};
    FakePermits permits;
    FakeIdempotency idempotency;
    UpstreamClient upstreams;
    BasicRequestPath<FakePermits, FakeIdempotency> path;
    HttpServer server;
    std::optional<WirePeer> caller;
    std::vector<FinishedRequest> reports;
};

const std::string OkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
const std::string KeyField = "Idempotency-Key: k1\r\n";
using UpstreamResults = std::vector<UpstreamResult>;

}

TEST_CASE("A request is answered by its upstream", "[requests]")
{
    PathFixture fixture;
    fixture.sendRequest("GET /orders/reports/7?x=1", "Briarvane-Tenant: t1\r\nBriarvane-Request-Id: r1\r\n");
    WirePeer peer = fixture.serveRequest(fixture.upstreamOne, "");
    CHECK(peer.received().starts_with("GET /orders/reports/7?x=1 HTTP/1.1\r\n"));
    CHECK(peer.received().find("Briarvane-Request-Id: r1\r\n") != std::string::npos);
    CHECK(fixture.path.inFlight() == std::map<InstanceId, int>{{{"i1"}, 1}});
    peer.send("HTTP/1.1 418 Teapot\r\nBriarvane-Outcome: forged\r\nX-End: 1\r\nContent-Length: 2\r\n\r\nab");
    CHECK(fixture.callerReceives(418, "answered"));
    CHECK(fixture.caller->waitFor("Briarvane-Request-Id: r1\r\n"));
    CHECK(fixture.caller->waitFor("X-End: 1\r\n"));
    CHECK(fixture.caller->received().find("forged") == std::string::npos);
    CHECK(fixture.caller->received().ends_with("\r\n\r\nab"));

    // The longest matching route wins, so a report request is routed as a long report and not as a short order.
    CHECK(fixture.permits.decidedRequests[0].pool == PoolId{"q"});
    CHECK(fixture.permits.decidedRequests[0].info.requestClass == RequestClass::Long);
    CHECK(fixture.permits.decidedRequests[0].info.tenant == TenantId{"t1"});
    CHECK(fixture.permits.results == UpstreamResults{UpstreamResult::Completed});
    CHECK(fixture.reports[0].service == ServiceId{"reports"});
    CHECK(fixture.reports[0].outcome == Outcome::Answered);
    CHECK(fixture.reports[0].upstreamStatus == 418);
}

TEST_CASE("The outcome is not-run only if no byte reached an upstream", "[requests]")
{
    PathFixture fixture;
    SECTION("no service matches, also when a route ends inside a path segment")
    {
        fixture.sendRequest("GET /ordersx");
        CHECK(fixture.callerReceives(404, "not-run"));
    }
    SECTION("the timeout is not a whole number")
    {
        fixture.sendRequest("GET /orders", "Briarvane-Timeout-Ms: 1e9\r\n");
        CHECK(fixture.callerReceives(400, "not-run"));
    }
    SECTION("the permit is refused")
    {
        fixture.permits.instances.clear();
        SECTION("because of a quota")
        {
            fixture.permits.refusal = {ErrorCode::Refused, "the tenant's quota is used up"};
            fixture.sendRequest("POST /orders");
            CHECK(fixture.callerReceives(429, "not-run"));
        }
        SECTION("because the view is not usable")
        {
            fixture.permits.refusal = {ErrorCode::Unavailable, "the view is stale"};
            fixture.sendRequest("POST /orders");
            CHECK(fixture.callerReceives(503, "not-run"));
            CHECK(fixture.caller->waitFor("Retry-After: "));
        }
    }
    SECTION("upstreams refuse connections; another one may be tried, because nothing was sent")
    {
        const WireListener closed(fixture.io);
        std::uint16_t port = 0;
        {
            const WireListener closedListener(fixture.io);
            port = closedListener.port();
        }
        const bool bothRefuse = GENERATE(true, false);
        fixture.path.configure(
            testSheet(), {},
            {{{"i1"}, "127.0.0.1", port, "", "", Presence::Live},
             {{"i2"}, "127.0.0.1", bothRefuse ? port : fixture.upstreamTwo.port(), "", "", Presence::Live}},
            1);
        fixture.sendRequest("POST /orders");
        if (bothRefuse) {
            CHECK(fixture.callerReceives(503, "not-run"));
            CHECK(fixture.permits.results
                  == UpstreamResults{UpstreamResult::ConnectFailed, UpstreamResult::ConnectFailed});
        } else {
            const WirePeer peer = fixture.serveRequest(fixture.upstreamTwo, OkResponse);
            CHECK(fixture.callerReceives(200, "answered"));
            CHECK(fixture.reports[0].retries == 1);
        }
    }
}

TEST_CASE("A non-idempotent request is never sent a second time", "[requests]")
{
    PathFixture fixture;
    SECTION("after a reset")
    {
        fixture.sendRequest("POST /orders", "", "body");
        fixture.serveRequest(fixture.upstreamOne, "").close(true);
        CHECK(fixture.callerReceives(502, "unknown"));
        CHECK(fixture.permits.results == UpstreamResults{UpstreamResult::Reset});
    }
    SECTION("after a truncated answer, of which the caller receives no part if it is small")
    {
        fixture.sendRequest("POST /orders", "", "body");
        fixture.serveRequest(fixture.upstreamOne, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab").close();
        CHECK(fixture.callerReceives(502, "unknown"));
        CHECK(fixture.permits.results == UpstreamResults{UpstreamResult::Truncated});
    }
    SECTION("after the deadline")
    {
        fixture.sendRequest("POST /orders", "Briarvane-Timeout-Ms: 30\r\n", "body");
        WirePeer peer = fixture.serveRequest(fixture.upstreamOne, "");
        CHECK(fixture.callerReceives(504, "unknown"));
        CHECK(peer.waitClosed());
        CHECK(fixture.permits.results == UpstreamResults{UpstreamResult::TimedOut});
    }
    settleLoop(fixture.io);
    CHECK_FALSE(fixture.upstreamOne.pending());
    CHECK_FALSE(fixture.upstreamTwo.pending());
}

TEST_CASE("An idempotent request is retried on another instance", "[requests]")
{
    PathFixture fixture;
    fixture.sendRequest("POST /quotes", "", "body");
    SECTION("within the retry budget")
    {
        fixture.serveRequest(fixture.upstreamOne, "").close(true);
        WirePeer retryPeer = fixture.serveRequest(fixture.upstreamTwo, OkResponse);
        CHECK(retryPeer.waitFor("body"));
        CHECK(fixture.callerReceives(200, "answered"));
        CHECK(fixture.permits.decidedRequests[1].avoid == std::vector<InstanceId>{{"i1"}});
        CHECK(fixture.permits.results == UpstreamResults{UpstreamResult::Reset, UpstreamResult::Completed});
        CHECK(fixture.reports[0].retries == 1);
    }
    SECTION("not beyond the retry budget, because retries would multiply the load of a failing pool")
    {
        fixture.permits.retryBudget = 0;
        fixture.serveRequest(fixture.upstreamOne, "").close(true);
        CHECK(fixture.callerReceives(502, "unknown"));
        CHECK(fixture.permits.decidedRequests.size() == 1);
    }
    SECTION("if the retry gets no permit, the outcome is unknown and never not-run")
    {
        fixture.permits.instances = {{"i1"}};
        fixture.serveRequest(fixture.upstreamOne, "").close(true);
        CHECK(fixture.callerReceives(502, "unknown"));
    }
}

TEST_CASE("An answer that ends early after its head is visibly truncated for the caller", "[requests]")
{
    PathFixture fixture;
    fixture.sendRequest("GET /orders");
    WirePeer peer
        = fixture.serveRequest(fixture.upstreamOne, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
    CHECK(fixture.caller->waitFor("2\r\nab\r\n"));
    peer.close();
    CHECK(fixture.caller->waitClosed());
    CHECK(fixture.caller->received().ends_with("2\r\nab\r\n"));
    CHECK(fixture.finished());
    CHECK(fixture.reports[0].outcome == Outcome::Unknown);
    CHECK(fixture.reports[0].truncated);
    CHECK(fixture.permits.decidedRequests.size() == 1);
}

TEST_CASE("The request of a caller that disconnects is cancelled", "[requests]")
{
    PathFixture fixture;
    SECTION("while it waits for a permit: it is removed from the queue")
    {
        fixture.permits.automatic = false;
        fixture.sendRequest("GET /orders");
        CHECK(pumpUntil(fixture.io, [&] { return fixture.permits.queued.size() == 1; }));
        fixture.caller->close();
        CHECK(fixture.finished());
        CHECK(fixture.permits.cancelled == 1);
        CHECK(fixture.reports[0].outcome == Outcome::NotRun);
    }
    SECTION("while it runs: the connection to the upstream is closed and the permit released")
    {
        fixture.sendRequest("POST /orders");
        WirePeer peer = fixture.serveRequest(fixture.upstreamOne, "");
        fixture.caller->close();
        CHECK(peer.waitClosed());
        CHECK(fixture.finished());
        CHECK(fixture.permits.results == UpstreamResults{UpstreamResult::Cancelled});
        CHECK(fixture.reports[0].outcome == Outcome::Unknown);
    }
    SECTION("if the caller stops reading and keeps the upstream waiting for too long")
    {
        fixture.sendRequest("GET /orders");
        WirePeer peer
            = fixture.serveRequest(fixture.upstreamOne, "HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n");
        const std::string chunk(1'000'000, 'a');
        for (int i = 0; i < 29 && fixture.reports.empty(); ++i) {
            boost::system::error_code error;
            peer.socket().write_some(boost::asio::buffer(chunk), error);
            settleLoop(fixture.io);
        }
        CHECK(fixture.finished());
        CHECK(fixture.permits.results == UpstreamResults{UpstreamResult::Cancelled});
        CHECK(fixture.reports[0].truncated);
    }
}

TEST_CASE("A keyed request runs at most once", "[requests]")
{
    PathFixture fixture;
    fixture.sendRequest("POST /orders", KeyField, "body");
    CHECK(pumpUntil(fixture.io, [&] { return fixture.idempotency.claims.size() == 1; }));
    settleLoop(fixture.io);
    CHECK(fixture.permits.decidedRequests.empty());  // no permit is granted before the claim is decided
    const auto claimEndedAs = [&](IdempotencyState state) {
        return fixture.idempotency.claimUpdates == std::vector<std::pair<std::uint64_t, IdempotencyState>>{{1, state}};
    };

    SECTION("the first claim runs and its answer is kept")
    {
        fixture.idempotency.decide(Verdict::Run);
        const WirePeer peer = fixture.serveRequest(
            fixture.upstreamOne,
            "HTTP/1.1 201 Created\r\nContent-Type: a/b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
        CHECK(fixture.callerReceives(201, "answered"));
        CHECK(claimEndedAs(IdempotencyState::Finished));
        CHECK(fixture.idempotency.keptAnswer.status == 201);
        CHECK(fixture.idempotency.keptAnswer.contentType == "a/b");
        CHECK(fixture.idempotency.keptAnswer.body == "ab");
        CHECK(fixture.idempotency.keptAnswer.bodyStored);
    }
    SECTION("with any other verdict nothing is sent")
    {
        const auto [verdict, status, outcome] = GENERATE(
            table<Verdict, int, std::string>({{Verdict::InProgress, 409, "in-progress"},
                                              {Verdict::KeyConflict, 422, "key-conflict"},
                                              {Verdict::Busy, 503, "not-run"},
                                              {Verdict::Unknown, 502, "unknown"},
                                              {Verdict::Replay, 502, "unknown"}}));  // a replay whose body was not kept
        fixture.idempotency.decide(verdict);
        CHECK(fixture.callerReceives(status, outcome));
        CHECK(fixture.permits.decidedRequests.empty());
        CHECK(fixture.idempotency.claimUpdates.empty());
    }
    SECTION("a replay returns the first answer")
    {
        fixture.idempotency.decide(Verdict::Replay, {201, "a/b", "first", true});
        CHECK(fixture.callerReceives(201, "answered"));
        CHECK(fixture.caller->waitFor("\r\n\r\nfirst"));
        CHECK(fixture.permits.decidedRequests.empty());
    }
    SECTION("a claim whose request sent no byte is abandoned, so that a retry may run")
    {
        fixture.permits.instances.clear();
        fixture.idempotency.decide(Verdict::Run);
        CHECK(fixture.callerReceives(503, "not-run"));
        CHECK(claimEndedAs(IdempotencyState::Abandoned));
    }
    SECTION("a claim whose answer was lost stays unknown for ever")
    {
        fixture.idempotency.decide(Verdict::Run);
        fixture.serveRequest(fixture.upstreamOne, "").close(true);
        CHECK(fixture.callerReceives(502, "unknown"));
        CHECK(claimEndedAs(IdempotencyState::Unknown));
    }
    SECTION("the claim of a caller that disconnects before the verdict is abandoned")
    {
        fixture.caller->close();
        CHECK(fixture.finished());
        fixture.idempotency.decide(Verdict::Run);
        CHECK(claimEndedAs(IdempotencyState::Abandoned));
        CHECK(fixture.permits.decidedRequests.empty());
    }
    SECTION("the claim of a caller that disconnects while queued is abandoned")
    {
        fixture.permits.automatic = false;
        fixture.idempotency.decide(Verdict::Run);
        fixture.caller->close();
        CHECK(fixture.finished());
        CHECK(claimEndedAs(IdempotencyState::Abandoned));
    }
    SECTION("if the caller disconnects after the request was sent, the answer is kept for a retry")
    {
        fixture.idempotency.decide(Verdict::Run);
        WirePeer peer = fixture.serveRequest(fixture.upstreamOne, "");
        fixture.caller->close();
        settleLoop(fixture.io);
        CHECK(fixture.reports.empty());
        CHECK(fixture.path.inFlight().size() == 1);
        peer.send(OkResponse);
        CHECK(fixture.finished());
        CHECK(claimEndedAs(IdempotencyState::Finished));
        CHECK(fixture.idempotency.keptAnswer.body == "ab");
        CHECK(fixture.reports[0].callerDisconnected);
    }
}
