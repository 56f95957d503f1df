#include "coordination.h"
#include "standin_coordination.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

using namespace briarvane;

namespace
{

constexpr std::chrono::seconds ConditionTimeout{60};
constexpr Duration CallTimeout{300'000};

struct Fixture
{
    void until(const std::function<bool()> &condition)
    {
        const auto limit = std::chrono::steady_clock::now() + ConditionTimeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > limit) {
                FAIL("the condition was not met within the failure limit");
            }
            io.run_one_for(std::chrono::milliseconds(10));
        }
    }

    /// Makes a call and waits for its completion. Checks that the completion does not run inside the call.
    template<class T, class F>
    Result<T> wait(F call)
    {
        std::optional<Result<T>> completed;
        call([&completed](Result<T> result) { completed = std::move(result); });
        CHECK_FALSE(completed.has_value());
        until([&] { return completed.has_value(); });
        return *completed;
    }
    template<class S>
    Result<std::uint64_t> swap(S &coordination, const SwapRequest &request)
    {
        return wait<std::uint64_t>([&](auto done) { coordination.swap(request, done); });
    }
    template<class S>
    Result<StoreValue> read(S &coordination, const std::string &key)
    {
        return wait<StoreValue>([&](auto done) { coordination.read(key, done); });
    }

    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
};

/// Runs the stand-in of the coordination service in this process.
struct StandInFixture : Fixture
{
    StandInFixture()
        : coordination(io, {})
        , acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        coordination.start();
        standin::accept(acceptor, coordination);
    }

    standin::CoordinationStandIn coordination;
    boost::asio::ip::tcp::acceptor acceptor;
};

/// Behaviour that every implementation of the CoordinationService concept must share.
template<class S>
void checkContract(Fixture &fixture, S &coordination)
{
    SECTION("a swap or removal takes effect only if the expected version is the current one")
    {
        const auto first = fixture.swap(coordination, {"a/b c%&", 0, "one \"quoted\" \u00e4", ""});
        REQUIRE(first);
        CHECK(fixture.swap(coordination, {"a/b c%&", 0, "two", ""}).error().code == ErrorCode::Conflict);
        CHECK(fixture.read(coordination, "a/b c%&").value().value == "one \"quoted\" \u00e4");
        const auto second = fixture.swap(coordination, {"a/b c%&", first.value(), "two", ""});
        REQUIRE(second);
        CHECK(second.value() > first.value());
        CHECK(fixture.wait<bool>([&](auto done) { coordination.remove("a/b c%&", first.value(), done); }).error().code
              == ErrorCode::Conflict);
        CHECK(fixture.wait<bool>([&](auto done) { coordination.remove("a/b c%&", second.value(), done); }).value());
        CHECK(fixture.read(coordination, "a/b c%&").value().version == 0);
    }
    SECTION("a value of 1 MB is stored, a larger one is refused")
    {
        CHECK(fixture.swap(coordination, {"large", 0, std::string(1 << 20, 'x'), ""}));
        CHECK(fixture.read(coordination, "large").value().value.size() == 1 << 20);
        CHECK(fixture.swap(coordination, {"larger", 0, std::string((1 << 20) + 1, 'x'), ""}).error().code
              == ErrorCode::Invalid);
    }
    SECTION("a watch reports changes and deletions under several prefixes and nothing of other keys")
    {
        const auto first = fixture.swap(coordination, {"a/1", 0, "one", ""});
        REQUIRE(fixture.swap(coordination, {"other", 0, "x", ""}));
        const auto all = fixture.wait<WatchBatch>([&](auto done) { coordination.watch("a/,fleet", 0, done); });
        REQUIRE(all);
        CHECK(all.value().values.size() == 1);
        std::optional<Result<WatchBatch>> batch;
        coordination.watch("a/,fleet", all.value().version,
                           [&](Result<WatchBatch> result) { batch = std::move(result); });
        REQUIRE(fixture.swap(coordination, {"other2", 0, "x", ""}));
        CHECK_FALSE(batch.has_value());
        REQUIRE(fixture.swap(coordination, {"fleet", 0, "f", ""}));
        fixture.until([&] { return batch.has_value(); });
        REQUIRE(*batch);
        CHECK((*batch).value().values.at(0).value == "f");
        const std::uint64_t seen = (*batch).value().version;
        batch.reset();
        coordination.watch("a/,fleet", seen, [&](Result<WatchBatch> result) { batch = std::move(result); });
        REQUIRE(fixture.wait<bool>([&](auto done) { coordination.remove("a/1", first.value(), done); }));
        fixture.until([&] { return batch.has_value(); });
        REQUIRE(*batch);
        CHECK((*batch).value().values.at(0).key == "a/1");
        CHECK((*batch).value().values.at(0).version == 0);
    }
    SECTION("a watch without changes returns at its end, which keeps the entry's view fresh")
    {
        const auto batch = fixture.wait<WatchBatch>([&](auto done) { coordination.watch("nothing", 0, done); });
        REQUIRE(batch);
        CHECK(batch.value().values.empty());
    }
    SECTION("a value under a lease is deleted after the lease is no longer renewed")
    {
        const auto lease
            = fixture.wait<std::string>([&](auto done) { coordination.grantLease(Duration{200'000}, done); });
        REQUIRE(fixture.swap(coordination, {"entries/one", 0, "here", lease.value()}));
        CHECK(fixture.wait<bool>([&](auto done) { coordination.renewLease(lease.value(), done); }).value());
        fixture.until([&] {
            fixture.io.run_for(std::chrono::milliseconds(20));  // stays below the rate limit on reads
            return fixture.read(coordination, "entries/one").value().version == 0;
        });
        CHECK_FALSE(fixture.wait<bool>([&](auto done) { coordination.renewLease(lease.value(), done); }).value());
        CHECK_FALSE(fixture.swap(coordination, {"entries/one", 0, "here", lease.value()}));
    }
}

/// A server that answers each request with the next answer of `script` and keeps the connection open.
struct ScriptedServer : Fixture
{
    /// For an empty answer the server sends nothing; for "close" it closes the connection after it has read the
    /// request.
    explicit ScriptedServer(std::vector<std::string> answers)
        : acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , script(std::move(answers))
    {
        accept();
    }
    void accept()
    {
        acceptor.async_accept([this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
            if (!error) {
                ++connections;
                serve(std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket)));
                accept();
            }
        });
    }
    void serve(const std::shared_ptr<boost::asio::ip::tcp::socket> &socket)
    {
        const auto buffer = std::make_shared<boost::beast::flat_buffer>();
        const auto request = std::make_shared<standin::Request>();
        boost::beast::http::async_read(
            *socket, *buffer, *request,
            [this, socket, buffer, request](const boost::system::error_code &error, std::size_t) {
                if (error) {
                    return;
                }
                requests.push_back(std::string(request->target()));
                const std::string answer = script.empty() ? "" : script.front();
                if (script.size() > 1) {
                    script.erase(script.begin());
                }
                if (answer == "close") {
                    return;
                }
                boost::asio::write(*socket, boost::asio::buffer(answer));
                serve(socket);
            });
    }
    /// Checks that as many calls were sent as failed with Unknown. A call may be sent so late that its request arrives
    /// only after the caller has timed out, hence the wait for `unknown` requests. The 20 ms that follow reveal a call
    /// that was sent although it failed with Unavailable.
    void checkSent(int unknown)
    {
        until([&] { return static_cast<int>(requests.size()) >= unknown; });
        io.run_for(std::chrono::milliseconds(20));
        CHECK(unknown == static_cast<int>(requests.size()));
    }
    static std::string answer(const std::string &status, const std::string &body, const std::string &head = "")
    {
        return "HTTP/1.1 " + status + "\r\n" + head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    }
    HttpCoordination client()
    {
        return HttpCoordination(io, settings());
    }
    CoordinationSettings settings() const
    {
        CoordinationSettings values;
        values.port = acceptor.local_endpoint().port();
        values.callTimeout = CallTimeout;
        return values;
    }

    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<std::string> script;  // answers still to be sent; the last one is repeated
    std::vector<std::string> requests;
    int connections = 0;
};

}

TEST_CASE("The embedded coordination service meets the CoordinationService concept", "[coordination]")
{
    Fixture fixture;
    EmbeddedCoordination coordination(fixture.io);
    checkContract(fixture, coordination);
    SECTION("injected faults take effect")
    {
        coordination.faults.loseResponses = 1;
        CHECK(fixture.swap(coordination, {"key", 0, "one", ""}).error().code == ErrorCode::Unknown);
        CHECK(fixture.read(coordination, "key").value().value == "one");
        coordination.faults.failWrites = 1;
        CHECK(fixture.swap(coordination, {"other", 0, "one", ""}).error().code == ErrorCode::Unavailable);
        CHECK(fixture.read(coordination, "other").value().version == 0);
        coordination.faults.deferCalls = true;
        std::optional<Result<StoreValue>> deferred;
        coordination.read("key", [&](Result<StoreValue> result) { deferred = std::move(result); });
        fixture.io.run_for(std::chrono::milliseconds(20));
        CHECK_FALSE(deferred.has_value());
        coordination.faults.deferCalls = false;
        coordination.runDeferredCalls();
        fixture.until([&] { return deferred.has_value(); });
        coordination.faults.down = true;
        CHECK(fixture.read(coordination, "key").error().code == ErrorCode::Unavailable);
    }
}

TEST_CASE("The HTTP client with the stand-in meets the CoordinationService concept", "[coordination]")
{
    StandInFixture served;
    CoordinationSettings settings;
    settings.port = served.acceptor.local_endpoint().port();
    HttpCoordination coordination(served.io, settings);
    checkContract(served, coordination);
    SECTION("instances are listed, and a rebooting instance is listed as gone and then as live")
    {
        standin::Request record{boost::beast::http::verb::put, "/v1/instances/i-1", 11};
        record.body() = R"({"address":"127.0.0.1","port":8080,"data_centre":"dc-1","rack":"r-1"})";
        served.coordination.handle(record, [](const auto &answer) { CHECK(answer->status == 200); });
        served.coordination.handle({boost::beast::http::verb::post, "/fault?reboot_ms=300", 11}, [](const auto &) {});
        const auto list = [&] {
            return served.wait<std::vector<InstanceRecord>>([&](auto done) { coordination.instances(done); }).value();
        };
        CHECK(list()
              == std::vector<InstanceRecord>{{InstanceId{"i-1"}, "127.0.0.1", 8080, "dc-1", "r-1", Presence::Live}});
        CHECK(served.wait<bool>([&](auto done) { coordination.reboot(InstanceId{"i-1"}, done); }).value());
        CHECK(list().at(0).presence == Presence::Gone);
        served.until([&] {
            served.io.run_for(std::chrono::milliseconds(20));  // stays below the rate limit on reads
            return list().at(0).presence == Presence::Live;
        });
        CHECK(served.wait<bool>([&](auto done) { coordination.reboot(InstanceId{"none"}, done); }).error().code
              == ErrorCode::NotFound);
    }
    SECTION("each of many concurrent calls gets its own response")
    {
        int matching = 0;
        int answered = 0;
        for (int i = 0; i < 100; ++i) {
            const std::string key = "key-" + std::to_string(i);
            coordination.swap({key, 0, "value of " + key, ""}, [&, key](const Result<std::uint64_t> &swapped) {
                REQUIRE(swapped);
                coordination.read(key, [&, key](Result<StoreValue> found) {
                    ++answered;
                    matching += found && found.value().value == "value of " + key ? 1 : 0;
                });
            });
        }
        served.until([&] { return answered == 100; });
        CHECK(matching == 100);
    }
}

TEST_CASE("A write without a response fails with Unknown, an unsent one with Unavailable", "[coordination]")
{
    const std::string ok = ScriptedServer::answer("200 OK", R"({"version":7})");
    const auto code = [](const std::string &answer) {
        ScriptedServer server({answer});
        HttpCoordination coordination(server.io, server.settings());
        const auto result = server.swap(coordination, {"key", 0, "value", ""});
        CHECK(server.requests.size() == 1);  // a write is never sent twice
        return result ? std::nullopt : std::optional(result.error().code);
    };
    SECTION("each kind of response gives its result")
    {
        CHECK(code(ok) == std::nullopt);
        CHECK(code("close") == ErrorCode::Unknown);
        CHECK(code("") == ErrorCode::Unknown);
        CHECK(code("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"ver") == ErrorCode::Unknown);
        CHECK(code(ScriptedServer::answer("200 OK", "no json")) == ErrorCode::Unknown);
        CHECK(code(ScriptedServer::answer("200 OK", R"({"version":"x"})")) == ErrorCode::Unknown);
        CHECK(code(ScriptedServer::answer("500 Internal Server Error", "")) == ErrorCode::Unknown);
        CHECK(code(ScriptedServer::answer("429 Too Many Requests", "")) == ErrorCode::Unavailable);
        CHECK(code(ScriptedServer::answer("503 Service Unavailable", "")) == ErrorCode::Unavailable);
        CHECK(code(ScriptedServer::answer("409 Conflict", "")) == ErrorCode::Conflict);
    }
    SECTION("no server listens at the address")
    {
        ScriptedServer server({ok});
        const CoordinationSettings settings = server.settings();
        server.acceptor.close();
        HttpCoordination coordination(server.io, settings);
        CHECK(server.swap(coordination, {"key", 0, "value", ""}).error().code == ErrorCode::Unavailable);
        CHECK(server.read(coordination, "key").error().code == ErrorCode::Unavailable);
    }
    SECTION("with more calls than connections and no responses, the calls left in the queue were not sent")
    {
        ScriptedServer server({""});
        HttpCoordination coordination(server.io, server.settings());
        std::map<ErrorCode, int> codes;
        for (int i = 0; i < 10; ++i) {
            coordination.swap({"key", 0, "value", ""},
                              [&](Result<std::uint64_t> result) { ++codes[result.error().code]; });
        }
        server.until([&] { return codes[ErrorCode::Unknown] + codes[ErrorCode::Unavailable] == 10; });
        server.checkSent(codes[ErrorCode::Unknown]);
    }
    SECTION("calls time out while their requests are being written")
    {
        // Guards against a socket write that still uses the buffer of its request after the call has timed out. The
        // calls start 50 us apart, so that the deadlines of the last ones pass while their requests are being written.
        ScriptedServer server({""});
        HttpCoordination coordination(server.io, server.settings());
        std::map<ErrorCode, int> codes;
        for (int i = 0; i < 10; ++i) {
            const auto next = std::chrono::steady_clock::now() + std::chrono::microseconds(50);
            while (std::chrono::steady_clock::now() < next) { }
            coordination.swap({"key", 0, "value", ""},
                              [&](Result<std::uint64_t> result) { ++codes[result.error().code]; });
        }
        server.until([&] { return codes[ErrorCode::Unknown] + codes[ErrorCode::Unavailable] == 10; });
        server.checkSent(codes[ErrorCode::Unknown]);
    }
    SECTION("a late response is not taken for the response to the next call")
    {
        ScriptedServer server({"", ScriptedServer::answer("200 OK", R"({"key":"key","value":"right","version":3})")});
        HttpCoordination coordination(server.io, server.settings());
        CHECK(server.read(coordination, "key").error().code == ErrorCode::Unavailable);
        CHECK(server.read(coordination, "key").value().value == "right");
        CHECK(server.connections == 2);
    }
    SECTION("a write after the server closed the connection uses a new connection and succeeds")
    {
        ScriptedServer server({ScriptedServer::answer("200 OK", R"({"version":7})"), "close", ok});
        HttpCoordination coordination(server.io, server.settings());
        CHECK(server.swap(coordination, {"key", 0, "value", ""}));
        CHECK(server.swap(coordination, {"key", 7, "value", ""}).error().code == ErrorCode::Unknown);
        CHECK(server.swap(coordination, {"key", 7, "value", ""}));
    }
}
