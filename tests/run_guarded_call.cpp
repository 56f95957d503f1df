// Guards against a report of other operators: one malformed message or unexpected error took a whole process down, or
// stopped a loop that has to go on. Each test lets one callback throw and checks that the next one is called.

#include "guarded_call.h"
#include "http.h"
#include "store_view.h"
#include "wire_peer.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>

using namespace briarvane;
using namespace briarvane::testing;
using namespace std::chrono_literals;

namespace
{

/// Answers a range with three items, and each of the first two watches with one more item.
struct ListingStore
{
    void read(const std::string &, Duration, const StoreDone &)
    {
    }
    void range(const std::string &, const std::string &, bool, Duration, const StoreDone &done)
    {
        StoreReply reply{.outcome = StoreOutcome::Done, .items = {}, .revision = 3};
        for (const std::uint64_t revision : {1, 2, 3}) {
            reply.items.push_back({"k/" + std::to_string(revision), "v", revision, revision, false});
        }
        boost::asio::post(io, [done, reply] { done(reply); });
    }
    void watch(const std::string &, std::uint64_t after, Duration, const StoreDone &done)
    {
        if (after >= 5) {
            return;
        }
        const std::uint64_t revision = after + 1;
        StoreReply reply{.outcome = StoreOutcome::Done, .items = {}, .revision = revision};
        reply.items.push_back({"k/" + std::to_string(revision), "v", revision, revision, false});
        boost::asio::post(io, [done, reply] { done(reply); });
    }
    void commit(const StoreTxn &, Duration, const StoreDone &)
    {
    }
    void grantLease(Duration, const StoreDone &)
    {
    }
    void renewLease(std::uint64_t, const StoreDone &)
    {
    }
    void revokeLease(std::uint64_t, const StoreDone &)
    {
    }

    boost::asio::io_context &io;
};

}

TEST_CASE("A guarded call counts an exception and reports it to its caller")
{
    const std::uint64_t before = stoppedExceptions();
    CHECK(callGuarded("test", [] {}));
    CHECK(stoppedExceptions() == before);
    CHECK_FALSE(callGuarded("test", [] { throw std::length_error("too long"); }));
    CHECK_FALSE(callGuarded("test", [] { throw 7; }));
    CHECK(stoppedExceptions() == before + 2);
}

TEST_CASE("A timer whose function throws does not stop the other timers")
{
    boost::asio::io_context io;
    Timers timers(io);
    std::vector<int> called;
    const TimePoint now = steadyNow();
    timers.at(now, [] { throw std::runtime_error("first"); });
    timers.at(now, [&] { called.push_back(2); });
    timers.at(now + 1ms, [&] { called.push_back(3); });
    CHECK(pumpUntil(io, [&] { return called.size() == 2; }));
}

TEST_CASE("An item that its reader cannot handle does not end the view of the other items")
{
    boost::asio::io_context io;
    Timers timers(io);
    ListingStore store{io};
    std::vector<std::string> keys;
    StoreView<ListingStore> view(
        store, timers, "k/", {},
        [&](const StoreItem &item) {
            if (item.key == "k/2" || item.key == "k/4") {
                throw std::invalid_argument("odd item");
            }
            keys.push_back(item.key);
        },
        [] { throw std::runtime_error("refreshed"); });
    view.start();
    REQUIRE(pumpUntil(io, [&] { return keys.size() == 3; }));
    CHECK(keys == std::vector<std::string>{"k/1", "k/3", "k/5"});
}

TEST_CASE("A request whose handler throws is left without an answer, and the next request is served")
{
    // The caller must not be told that the request did not run: the handler may have begun to carry it out.
    boost::asio::io_context io;
    HttpServer server(io, {}, [](const std::shared_ptr<HttpExchange> &exchange) {
        if (exchange->request().target == "/odd") {
            throw std::runtime_error("odd request");
        }
        exchange->respond(200, "", "fine");
    });
    const std::uint16_t port = server.open().value();
    WirePeer odd(io, port);
    odd.send("GET /odd HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(odd.waitClosed());
    CHECK(odd.received().find("HTTP/1.1") == std::string::npos);
    WirePeer next(io, port);
    next.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(next.waitFor("fine"));
}
