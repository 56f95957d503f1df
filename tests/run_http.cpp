#include "http.h"
#include "upstream.h"
#include "wire_peer.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace briarvane;
using namespace briarvane::testing;

namespace
{

/// A server whose handler only queues each request in `requests`; the test takes the requests from there and answers.
struct ServerFixture
{
    explicit ServerFixture(const HttpServerSettings &settings = {})
        : server(io, settings, [this](const auto &exchange) { requests.push_back(exchange); })
    {
        port = server.open().value();
    }
    std::shared_ptr<HttpExchange> nextRequest()
    {
        if (!pumpUntil(io, [&] { return !requests.empty(); })) {
            throw std::runtime_error("no request arrived");
        }
        auto exchange = requests.front();
        requests.pop_front();
        return exchange;
    }

    boost::asio::io_context io;
    std::deque<std::shared_ptr<HttpExchange>> requests;
    HttpServer server;
    std::uint16_t port = 0;
};

const std::string Get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

}

TEST_CASE("Requests that two parsers could interpret differently are refused", "[http]")
{
    // Guards against request smuggling: an upstream could divide an ambiguous request in another way than this server.
    struct RefusedRequest
    {
        const char *name;
        std::string bytes;
        int status;
    };
    const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<RefusedRequest> refusedRequests = {
        {"length and coding", post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", 400},
        {"coding and length", post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc", 400},
        {"two equal lengths", post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
        {"two lengths", post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400},
        {"length list", post + "Content-Length: 3, 3\r\n\r\nabc", 400},
        {"signed length", post + "Content-Length: +3\r\n\r\nabc", 400},
        {"hexadecimal length", post + "Content-Length: 0x3\r\n\r\nabc", 400},
        {"empty length", post + "Content-Length:\r\n\r\n", 400},
        {"huge length", post + "Content-Length: 99999999999999999999\r\n\r\n", 400},
        {"bare LF", "GET / HTTP/1.1\nHost: x\n\n", 400},
        {"bare LF at the end", "GET / HTTP/1.1\r\nHost: x\r\n\n", 400},
        {"bare CR", "GET / HTTP/1.1\r\nHost: x\rA: b\r\n\r\n", 400},
        {"folded line", "GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n", 400},
        {"folded line with tab", "GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n\tc\r\n\r\n", 400},
        {"space before the colon", "GET / HTTP/1.1\r\nHost: x\r\nContent-Length : 3\r\n\r\nabc", 400},
        {"NUL", std::string("GET / HTTP/1.1\r\nHost: x\r\nA: b") + '\0' + "c\r\n\r\n", 400},
        {"no host", "GET / HTTP/1.1\r\n\r\n", 400},
        {"two hosts", "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400},
        {"absolute target", "GET http://y/ HTTP/1.1\r\nHost: x\r\n\r\n", 400},
        {"unknown coding", post + "Transfer-Encoding: gzip\r\n\r\n", 501},
        {"coding chain", post + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
        {"chunked twice", post + "Transfer-Encoding: chunked, chunked\r\n\r\n", 501},
        {"two coding fields", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
        {"coding in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
        {"bare LF in a chunk header", chunked + "3\nabc\r\n0\r\n\r\n", 400},
        {"signed chunk size", chunked + "+3\r\nabc\r\n0\r\n\r\n", 400},
        {"chunk size with prefix", chunked + "0x3\r\nabc\r\n0\r\n\r\n", 400},
        {"chunk size overflow", chunked + "10000000000000003\r\nabc\r\n0\r\n\r\n", 400},
        {"chunk longer than its size", chunked + "3\r\nabcd\r\n0\r\n\r\n", 400},
        {"header section too large", "GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(17'000, 'a'), 431},
        {"declared body too large", post + "Content-Length: 2000\r\n\r\n", 413},
        {"chunked body too large", chunked + "7d0\r\n" + std::string(2000, 'a') + "\r\n0\r\n\r\n", 413},
        {"tunnel", "CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", 405},
        {"unknown expectation", post + "Expect: x\r\nContent-Length: 1\r\n\r\na", 417},
        {"unknown version", "GET / HTTP/2.0\r\nHost: x\r\n\r\n", 505},
    };
    HttpServerSettings settings;
    settings.bodyLimit = 1000;
    ServerFixture fixture(settings);
    // Sends each request in one piece and, if it has at most 1000 bytes, also byte by byte, because the checks must not
    // depend on where a read ends.
    const bool whole = GENERATE(true, false);
    for (const RefusedRequest &refusedRequest : refusedRequests) {
        INFO(refusedRequest.name);
        WirePeer caller(fixture.io, fixture.port);
        if (whole || refusedRequest.bytes.size() > 1000) {
            caller.send(refusedRequest.bytes);
        }
        for (std::size_t i = 0; !whole && i < refusedRequest.bytes.size() && refusedRequest.bytes.size() <= 1000; ++i) {
            caller.send(std::string_view(refusedRequest.bytes).substr(i, 1));
        }
        CHECK(caller.waitFor("HTTP/1.1 " + std::to_string(refusedRequest.status) + " "));
        CHECK(caller.waitFor("Connection: close"));
        CHECK(caller.waitClosed());
        CHECK(fixture.requests.empty());
    }
}

TEST_CASE("Requests on one connection are parsed and answered in order", "[http]")
{
    ServerFixture fixture;
    WirePeer caller(fixture.io, fixture.port);

    SECTION("pipelined requests are answered in order")
    {
        caller.send("POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcPOST /2 HTTP/1.1\r\nHost: x\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1;e=1\r\nf\r\n0\r\nT: 1\r\n\r\nHEAD /3 "
                    "HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto first = fixture.nextRequest();
        CHECK(first->request().body == "abc");
        settleLoop(fixture.io);
        CHECK(fixture.requests.empty());
        first->respond(200, "", "one");
        const auto second = fixture.nextRequest();
        CHECK(second->request().body == "def");
        CHECK(second->request().fields.find("T") == nullptr);
        second->respond(201, "", "two");
        const auto third = fixture.nextRequest();
        third->respond(200, "", "three");
        CHECK(caller.waitFor("Content-Length: 5\r\n\r\n"));
        CHECK(caller.received()
              == "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 201 Created\r\nContent-Length: 3\r\n\r\ntwo"
                 "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    }
    SECTION("a request that arrives byte by byte is parsed")
    {
        for (const char c :
             "PUT /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n" + Get) {
            caller.send(std::string_view(&c, 1));
            settleLoop(fixture.io);
            if (!fixture.requests.empty() && fixture.requests.front()->request().method == "PUT") {
                CHECK(fixture.nextRequest()->request().body == "abcd");
                break;
            }
        }
    }
    SECTION("hop-by-hop fields are removed, also those that Connection names")
    {
        caller.send(
            "GET / HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTE: a\r\n"
            "Upgrade: b\r\nX-End: 2\r\n\r\n");
        const auto exchange = fixture.nextRequest();
        REQUIRE(exchange->request().fields.list.size() == 2);
        CHECK(exchange->request().fields.list[1].name == "X-End");
    }
    SECTION("a caller that expects 100 Continue receives it before it sends the body")
    {
        caller.send("POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        CHECK(caller.waitFor("HTTP/1.1 100 Continue\r\n\r\n"));
        caller.send("ab");
        CHECK(fixture.nextRequest()->request().body == "ab");
    }
    SECTION("the handler is notified once when the caller disconnects, so that it can cancel its work")
    {
        caller.send(Get);
        const auto exchange = fixture.nextRequest();
        int notices = 0;
        exchange->onDisconnect([&] { ++notices; });
        caller.close();
        CHECK(pumpUntil(fixture.io, [&] { return notices == 1; }));
        exchange->respond(200, "", "late");
        settleLoop(fixture.io);
        CHECK(notices == 1);
        CHECK(fixture.server.load().inFlight == 0);
    }
}

TEST_CASE("A caller can detect that a response is incomplete", "[http]")
{
    ServerFixture fixture;
    WirePeer caller(fixture.io, fixture.port);
    HttpResponseHead head;

    SECTION("with a declared length, the connection closes before all bytes are sent")
    {
        caller.send(Get + Get);
        auto exchange = fixture.nextRequest();
        head.length = 10;
        exchange->head(head);
        exchange->body("12345");
        GIVEN("an abort")
        {
            exchange->abort();
        }
        GIVEN("an end before the declared length")
        {
            exchange->end();
        }
        GIVEN("more bytes than the declared length")
        {
            exchange->body("1234567890");
        }
        GIVEN("an exchange that the handler drops")
        {
            exchange = nullptr;
        }
        CHECK(caller.waitClosed());
        const std::string &text = caller.received();
        CHECK(text.size() - std::min(text.size(), text.find("\r\n\r\n") + 4) < 10);
        CHECK(fixture.requests.empty());
    }
    SECTION("with chunked coding, the last chunk is missing")
    {
        caller.send(Get);
        const auto exchange = fixture.nextRequest();
        exchange->head(head);
        exchange->body("12345");
        exchange->abort();
        CHECK(caller.waitClosed());
        CHECK(caller.received().ends_with("5\r\n12345\r\n"));
    }
    SECTION("an HTTP/1.0 response without a length ends with a TCP reset")
    {
        caller.send("GET / HTTP/1.0\r\n\r\n");
        const auto exchange = fixture.nextRequest();
        exchange->head(head);
        exchange->body("12345");
        exchange->flush();
        exchange->abort();
        CHECK(caller.waitClosed());
        CHECK(caller.wasReset());
    }
    SECTION("an aborted response whose declared bytes were all written ends with a TCP reset")
    {
        caller.send(Get);
        const auto exchange = fixture.nextRequest();
        head.length = 5;
        exchange->head(head);
        exchange->body("12345");
        exchange->abort();
        CHECK(caller.waitClosed());
        CHECK(caller.received().empty());
        CHECK(caller.wasReset());
    }
}

TEST_CASE("Slow and idle callers are disconnected", "[http]")
{
    HttpServerSettings settings;
    settings.idleTimeout = settings.readTimeout = settings.writeTimeout = Duration{40'000};
    ServerFixture fixture(settings);
    WirePeer caller(fixture.io, fixture.port);

    SECTION("an idle connection is closed")
    {
        CHECK(caller.waitClosed());
        CHECK(caller.received().empty());
    }
    SECTION("a request that is not complete in time is refused")
    {
        caller.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na");
        CHECK(caller.waitFor("HTTP/1.1 408 "));
        CHECK(caller.waitClosed());
    }
    SECTION("a caller that does not read its response is disconnected, and the handler is notified")
    {
        caller.send(Get);
        const auto exchange = fixture.nextRequest();
        bool disconnected = false;
        exchange->onDisconnect([&] { disconnected = true; });
        exchange->head({});
        while (exchange->unsentBytes() < 1'000'000) {
            exchange->body(std::string(100'000, 'a'));
        }
        CHECK(pumpUntil(fixture.io, [&] { return disconnected; }));
    }
    SECTION("no timeout applies while the handler has the request")
    {
        caller.send(Get);
        const auto exchange = fixture.nextRequest();
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        settleLoop(fixture.io);
        exchange->respond(200, "", "done");
        CHECK(caller.waitFor("done"));
    }
}

TEST_CASE("A stopping server completes requests in flight and accepts those of queued connections", "[http]")
{
    HttpServerSettings settings;
    settings.stopGrace = Duration{50'000};
    ServerFixture fixture(settings);
    WirePeer busy(fixture.io, fixture.port);
    WirePeer idle(fixture.io, fixture.port);
    busy.send("GET /busy HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto exchange = fixture.nextRequest();
    bool stopped = false;
    // The event loop does not run before stop(), so this connection is still in the listen queue.
    WirePeer early(fixture.io, fixture.port);
    early.socket().write_some(boost::asio::buffer(Get));
    fixture.server.stop([&] { stopped = true; });
    const auto other = fixture.nextRequest();
    other->respond(200, "", "early");
    CHECK(early.waitFor("Connection: close"));
    CHECK(idle.waitClosed());
    settleLoop(fixture.io);
    CHECK_FALSE(stopped);
    CHECK(fixture.server.load().activeRequests == std::vector<std::string>{"GET /busy"});
    exchange->respond(200, "", "whole");
    CHECK(busy.waitFor("whole"));
    busy.close();
    early.close();
    CHECK(pumpUntil(fixture.io, [&] { return stopped; }));
}

// Upstream client -----------------------------------------------------------------------------------------------------

namespace
{

struct CallRecord
{
    UpstreamCall call;
    int status = 0;
    std::string body;
    std::vector<UpstreamResult> ends;
};

struct ClientFixture
{
    ClientFixture()
        : listener(io)
        , client(io, {})
    {
        client.configure({{instance, {"127.0.0.1", listener.port(), 2}}});
    }
    std::shared_ptr<CallRecord> send(std::string_view method = "POST", Duration timeout = Duration{9'000'000},
                                     bool urgent = false)
    {
        auto record = std::make_shared<CallRecord>();
        const HttpFields fields{{{"Host", "x"}}};
        record->call = client.send(instance, {method, "/", fields, nullptr, urgent},
                                   std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()) + timeout,
                                   {[record](const HttpHead &head) { record->status = head.status; },
                                    [record](std::string_view piece) { record->body += piece; }, [] {},
                                    [record](UpstreamResult result) { record->ends.push_back(result); }});
        return record;
    }
    /// Accepts a connection, checks that a request arrives on it and answers with `bytes`.
    WirePeer answer(std::string_view bytes)
    {
        WirePeer peer = listener.accept();
        CHECK(peer.waitFor("\r\n\r\n"));
        peer.send(bytes);
        return peer;
    }
    bool ended(const std::shared_ptr<CallRecord> &record, UpstreamResult result)
    {
        return pumpUntil(io, [&] { return !record->ends.empty(); })
            && record->ends == std::vector<UpstreamResult>{result};
    }

    boost::asio::io_context io;
    InstanceId instance{"i1"};
    WireListener listener;
    UpstreamClient client;
};

}

TEST_CASE("A response from an upstream is checked strictly", "[upstream]")
{
    ClientFixture fixture;
    const std::string ok = "HTTP/1.1 200 OK\r\n";

    SECTION("complete responses")
    {
        const std::vector<std::pair<std::string, UpstreamResult>> answers = {
            {ok + "Content-Length: 2\r\n\r\nab", UpstreamResult::Completed},
            {ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n", UpstreamResult::Completed},
            {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nab",
             UpstreamResult::Completed},
            {"HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nab", UpstreamResult::ServerError},
        };
        for (const auto &[bytes, result] : answers) {
            ClientFixture fresh;
            const auto call = fresh.send();
            const WirePeer peer = fresh.answer(bytes);
            CHECK(fresh.ended(call, result));
            CHECK(call->body == "ab");
            CHECK(fresh.client.load()[fresh.instance].idle == 1);
        }
    }
    SECTION("a response that is truncated, malformed or without a declared end is not taken for a complete one")
    {
        const std::vector<std::string> answers = {
            ok + "Content-Length: 5\r\n\r\nab",
            ok + "Content-Length: 5\r\n",
            ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
            ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
            ok + "\r\nab",
            ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab",
            ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nab",
            "HTTP/1.1 101 Switching\r\n\r\n",
            "nonsense\r\n\r\n",
        };
        for (const std::string &bytes : answers) {
            INFO(bytes);
            ClientFixture fresh;
            const auto call = fresh.send();
            fresh.answer(bytes).close();
            CHECK(fresh.ended(call, UpstreamResult::Truncated));
            CHECK(call->call.sent());
            CHECK(fresh.client.load()[fresh.instance].open == 0);
            // The client passes on only a well-formed head that declares where the body ends. A caller that had already
            // received a head without a declared end could not detect that the response was truncated.
            CHECK((call->status != 0)
                  == (bytes.find("Content-Length: 5\r\n\r\n") != std::string::npos
                      || bytes.find("chunked\r\n\r\n5") != std::string::npos
                      || bytes.find("chunked\r\n\r\n2") != std::string::npos));
        }
    }
    SECTION("a connection that breaks before the response gives Reset, and the request is not sent again")
    {
        const auto call = fixture.send("GET");
        fixture.answer("").close(true);
        CHECK(fixture.ended(call, UpstreamResult::Reset));
        CHECK(call->call.sent());
        settleLoop(fixture.io);
        CHECK_FALSE(fixture.listener.pending());
    }
    SECTION("a refused connection gives ConnectFailed, and no byte was sent")
    {
        std::uint16_t closedPort = 0;
        {
            const WireListener other(fixture.io);
            closedPort = other.port();
        }
        fixture.client.configure({{fixture.instance, {"127.0.0.1", closedPort, 2}}});
        const auto call = fixture.send();
        CHECK(call->ends.empty());
        CHECK(fixture.ended(call, UpstreamResult::ConnectFailed));
        CHECK_FALSE(call->call.sent());
    }
    SECTION("a call that times out closes its connection, so that a late response cannot reach another caller")
    {
        const auto call = fixture.send("POST", Duration{30'000});
        WirePeer peer = fixture.answer("");
        CHECK(fixture.ended(call, UpstreamResult::TimedOut));
        peer.send(ok + "Content-Length: 2\r\n\r\nab");
        CHECK(peer.waitClosed());
        settleLoop(fixture.io);
        CHECK(call->body.empty());
        CHECK(fixture.client.load()[fixture.instance].open == 0);
    }
    SECTION("a cancelled call closes its connection and calls back no more")
    {
        const auto call = fixture.send();
        WirePeer peer = fixture.answer(ok + "Content-Length: 5\r\n\r\nab");
        CHECK(pumpUntil(fixture.io, [&] { return call->body == "ab"; }));
        call->call.cancel();
        CHECK(peer.waitClosed());
        CHECK(call->ends.empty());
        CHECK(fixture.client.load()[fixture.instance].open == 0);
    }
}

TEST_CASE("A connection to an upstream is reused only while its state is certain", "[upstream]")
{
    ClientFixture fixture;
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
    const auto first = fixture.send();

    SECTION("a connection is reused after a complete response")
    {
        WirePeer peer = fixture.answer(ok + "ab");
        CHECK(fixture.ended(first, UpstreamResult::Completed));
        peer.discardReceived();
        const auto second = fixture.send();
        CHECK(peer.waitFor("\r\n\r\n"));
        peer.send(ok + "cd");
        CHECK(fixture.ended(second, UpstreamResult::Completed));
        CHECK(second->body == "cd");
        CHECK_FALSE(fixture.listener.pending());
    }
    SECTION("bytes that follow a response, at once or later, are not taken for the next response")
    {
        const bool together = GENERATE(true, false);
        WirePeer peer = fixture.answer(ok + "ab" + (together ? ok + "zz" : ""));
        CHECK(fixture.ended(first, UpstreamResult::Completed));
        if (!together) {
            peer.send(ok + "zz");  // stays unread in the socket: the client does not read from an idle connection
        }
        const auto second = fixture.send();
        WirePeer other = fixture.answer(ok + "cd");
        CHECK(fixture.ended(second, UpstreamResult::Completed));
        CHECK(second->body == "cd");
        CHECK(peer.waitClosed());
    }
    SECTION("a connection that the upstream closed while idle is replaced before a byte is sent")
    {
        fixture.answer(ok + "ab").close();
        CHECK(fixture.ended(first, UpstreamResult::Completed));
        const auto second = fixture.send();
        WirePeer other = fixture.answer(ok + "cd");
        CHECK(fixture.ended(second, UpstreamResult::Completed));
    }
    SECTION(
        "a connection that the upstream closes on receipt of a request gives Reset, and the request is not sent again")
    {
        WirePeer peer = fixture.answer(ok + "ab");
        CHECK(fixture.ended(first, UpstreamResult::Completed));
        peer.discardReceived();
        const auto second = fixture.send();
        CHECK(peer.waitFor("\r\n\r\n"));
        peer.close();
        CHECK(fixture.ended(second, UpstreamResult::Reset));
        CHECK(second->call.sent());
        settleLoop(fixture.io);
        CHECK_FALSE(fixture.listener.pending());
    }
    SECTION("a connection whose close the upstream announced is not reused")
    {
        WirePeer peer = fixture.answer("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab");
        CHECK(fixture.ended(first, UpstreamResult::Completed));
        CHECK(fixture.client.load()[fixture.instance].open == 0);
    }
    SECTION("connections stay within the limit; a further call waits for one or ends with NotSent")
    {
        WirePeer peer = fixture.answer("");
        const auto second = fixture.send();
        const WirePeer otherPeer = fixture.answer("");
        const auto third = fixture.send();
        const auto fourth = fixture.send("POST", Duration{20'000});
        CHECK(fixture.ended(fourth, UpstreamResult::NotSent));
        CHECK_FALSE(fixture.listener.pending());
        peer.discardReceived();
        peer.send(ok + "ab");
        CHECK(peer.waitFor("\r\n\r\n"));
        CHECK(first->ends.size() == 1);
        peer.send(ok + "cd");
        CHECK(fixture.ended(third, UpstreamResult::Completed));
        CHECK(second->ends.empty());
    }
}

TEST_CASE("Calls do not wait behind calls that get no answer", "[upstream]")
{
    // Guards against this failure: a few silent calls held all connections to an executor, and the starts behind them
    // ended unsent although the executor was well.
    ClientFixture fixture;
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    fixture.client.configure({{fixture.instance, {"127.0.0.1", fixture.listener.port(), 2, 3}}});
    const auto silent = fixture.send();
    const auto otherSilent = fixture.send();
    const WirePeer peer = fixture.answer("");
    const WirePeer otherPeer = fixture.answer("");
    const auto third = fixture.send();
    const auto fourth = fixture.send();
    const auto fifth = fixture.send("POST", Duration{200'000});

    SECTION("one further connection serves the waiting calls one after another")
    {
        WirePeer further = fixture.answer("");
        further.discardReceived();
        further.send(ok);
        CHECK(further.waitFor("\r\n\r\n"));
        CHECK(fixture.ended(third, UpstreamResult::Completed));
        further.send(ok);
        CHECK(fixture.ended(fourth, UpstreamResult::Completed));
        CHECK(fixture.client.counts().further == 1);
        CHECK(silent->ends.empty());
    }
    // Guards against renewals of leases that wait behind many starts.
    SECTION("an urgent call takes the next connection")
    {
        WirePeer further = fixture.answer("");
        further.discardReceived();
        const auto urgent = fixture.send("PUT", Duration{9'000'000}, true);
        const auto laterUrgent = fixture.send("PATCH", Duration{9'000'000}, true);
        further.send(ok);
        CHECK(further.waitFor("PUT / HTTP/1.1"));
        CHECK(fixture.ended(third, UpstreamResult::Completed));
        further.send(ok);
        CHECK(further.waitFor("PATCH / HTTP/1.1"));
        CHECK(fixture.ended(urgent, UpstreamResult::Completed));
        further.send(ok);
        CHECK(fixture.ended(laterUrgent, UpstreamResult::Completed));
        CHECK(fourth->ends.empty());
    }
    SECTION("the limit for times of waiting calls holds, and a call that gets no connection is counted")
    {
        const WirePeer further = fixture.answer("");
        CHECK(fixture.ended(fifth, UpstreamResult::NotSent));
        CHECK_FALSE(fixture.listener.pending());
        CHECK(fixture.client.counts().opened == 3);
        CHECK(fixture.client.counts().unserved == 1);
    }
    CHECK(otherSilent->ends.empty());
    // A call without an end and its callbacks keep each other alive.
    for (const auto &record : {silent, otherSilent, third, fourth, fifth}) {
        record->call.cancel();
        record->call = {};
    }
}

// Guards against calls that are lost one after another to connections that went silent at the same moment.
TEST_CASE("After a call without an answer, only connections that have answered since are used again", "[upstream]")
{
    ClientFixture fixture;
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    constexpr Duration longTime{1'000'000};
    constexpr Duration shortTime{100'000};
    constexpr int connections = 4;
    fixture.client.configure({{fixture.instance, {"127.0.0.1", fixture.listener.port(), connections}}});
    std::vector<std::shared_ptr<CallRecord>> calls;
    std::vector<WirePeer> peers;
    for (int i = 0; i < connections; ++i) {
        calls.push_back(fixture.send());
        peers.push_back(fixture.answer(""));
    }
    for (int i = 0; i < connections; ++i) {
        peers[static_cast<std::size_t>(i)].discardReceived();
        peers[static_cast<std::size_t>(i)].send(ok);
        REQUIRE(fixture.ended(calls[static_cast<std::size_t>(i)], UpstreamResult::Completed));
    }
    REQUIRE(fixture.client.load()[fixture.instance].idle == connections);

    SECTION("all of them are silent: the next call has a new connection")
    {
        CHECK(fixture.ended(fixture.send("POST", longTime), UpstreamResult::TimedOut));
        CHECK(fixture.client.load()[fixture.instance].open == 0);
        CHECK(fixture.client.counts().unproven == connections - 1);
        const auto next = fixture.send();
        const WirePeer fresh = fixture.answer(ok);
        CHECK(fixture.ended(next, UpstreamResult::Completed));
    }
    SECTION("one has answered a later call: it is kept")
    {
        const auto silent = fixture.send("POST", longTime);
        REQUIRE(peers[3].waitFor("\r\n\r\n"));  // the connection used last is the first to be used again
        const auto answered = fixture.send();
        REQUIRE(peers[2].waitFor("\r\n\r\n"));
        peers[2].send(ok);
        CHECK(fixture.ended(answered, UpstreamResult::Completed));
        CHECK(fixture.ended(silent, UpstreamResult::TimedOut));
        CHECK(fixture.client.load()[fixture.instance].idle == 1);
        peers[2].discardReceived();
        const auto next = fixture.send();
        CHECK(peers[2].waitFor("\r\n\r\n"));
        peers[2].send(ok);
        CHECK(fixture.ended(next, UpstreamResult::Completed));
    }
    SECTION("the call had little time, so the instance may only be slow: the others are kept")
    {
        CHECK(fixture.ended(fixture.send("POST", shortTime), UpstreamResult::TimedOut));
        CHECK(fixture.client.load()[fixture.instance].idle == connections - 1);
    }
}
