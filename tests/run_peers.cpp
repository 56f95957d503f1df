#include "peers.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>
#include <zmq.hpp>

#include <boost/asio/steady_timer.hpp>

using namespace briarvane;

namespace
{

constexpr std::chrono::seconds FailureLimit{60};

wire::Envelope message(std::uint64_t number, std::size_t size = 0)
{
    wire::Envelope envelope;
    envelope.mutable_config_update()->set_version(number);
    envelope.mutable_config_update()->set_value(std::string(size, 'x'));
    return envelope;
}

struct End
{
    End(boost::asio::io_context &io, const std::string &name, std::uint64_t start,
        const std::string &bind = "tcp://127.0.0.1:0")
        : peers(io, {EntryId{name}, start, bind})
        , endpoint(peers.open().value())
    {
        peers.onMessage(
            [this](const wire::Envelope &envelope) { received.push_back(envelope.config_update().version()); });
    }

    Peers peers;
    std::string endpoint;
    std::vector<std::uint64_t> received;
};

struct Fixture
{
    void until(const std::function<bool()> &condition)
    {
        const auto limit = std::chrono::steady_clock::now() + FailureLimit;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > limit) {
                FAIL("the condition does not come to hold");
            }
            io.run_one_for(std::chrono::milliseconds(10));
        }
    }
    /// Sends number 0 until it arrives: messages before the connection is established are dropped.
    void join(End &from, const EntryId &to, End &target)
    {
        target.received.clear();
        until([&] {
            from.peers.send(to, message(0));
            io.run_for(std::chrono::milliseconds(5));
            return !target.received.empty();
        });
        io.run_for(std::chrono::milliseconds(20));
        target.received.clear();
    }

    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
};

}

TEST_CASE("Messages between entries", "[peers]")
{
    Fixture fixture;
    End one(fixture.io, "one", 11);
    auto two = std::make_unique<End>(fixture.io, "two", 22);
    one.peers.connect(EntryId{"two"}, two->endpoint);
    fixture.join(one, EntryId{"two"}, *two);

    SECTION("a burst arrives whole and in order: the edge-triggered descriptor must not leave messages behind")
    {
        for (int burst = 0; burst < 20; ++burst) {
            for (std::uint64_t i = 0; i < 300; ++i) {
                one.peers.send(EntryId{"two"}, message(i));
            }
            fixture.until([&] { return two->received.size() == 300; });
            CHECK(std::is_sorted(two->received.begin(), two->received.end()));
            two->received.clear();
        }
    }
    SECTION("a message to itself comes from the loop, not from inside the call")
    {
        one.peers.send(EntryId{"one"}, message(5));
        CHECK(one.received.empty());
        fixture.until([&] { return one.received == std::vector<std::uint64_t>{5}; });
    }
    SECTION("a peer that does not read costs a bounded number of messages, and sending does not block")
    {
        boost::asio::io_context frozen;
        End three(frozen, "three", 33);  // its loop never runs
        one.peers.connect(EntryId{"three"}, three.endpoint);
        const std::uint64_t before = one.peers.counters().dropped;
        fixture.until([&] {
            for (int i = 0; i < 100; ++i) {
                one.peers.send(EntryId{"three"}, message(1, 10'000));
            }
            fixture.io.run_for(std::chrono::milliseconds(1));
            return one.peers.counters().sent > 100 && one.peers.counters().dropped > before + 20'000;
        });
        CHECK(one.peers.counters().sent < 10'000);
        one.peers.send(EntryId{"two"}, message(6));
        fixture.until([&] { return !two->received.empty(); });
    }
    SECTION("a peer that comes back at its address is reached again")
    {
        const std::string endpoint = two->endpoint;
        two.reset();
        for (int i = 0; i < 100; ++i) {
            one.peers.send(EntryId{"two"}, message(7));  // for the earlier process: must not reach the next one
            fixture.io.run_for(std::chrono::milliseconds(1));
        }
        two = std::make_unique<End>(fixture.io, "two", 23, endpoint);
        fixture.until([&] {
            one.peers.send(EntryId{"two"}, message(8));
            fixture.io.run_for(std::chrono::milliseconds(10));
            return !two->received.empty();
        });
        CHECK(std::count(two->received.begin(), two->received.end(), 7) == 0);
    }
}

TEST_CASE("Messages that must not be acted on", "[peers]")
{
    Fixture fixture;
    End one(fixture.io, "one", 11);
    zmq::context_t context(1);
    zmq::socket_t raw(context, zmq::socket_type::push);
    raw.set(zmq::sockopt::linger, 0);
    raw.connect(one.endpoint);
    const auto send
        = [&](std::uint64_t start, std::uint64_t sequence, std::uint64_t number, const std::string &sender = "two") {
              wire::Envelope envelope = message(number);
              envelope.set_sender(sender);
              envelope.set_start_id(start);
              envelope.set_sequence(sequence);
              raw.send(zmq::buffer(envelope.SerializeAsString()));
          };
    send(1, 1, 100);
    send(1, 2, 101);

    SECTION("an old sequence is dropped")
    {
        send(1, 2, 666);
        send(1, 1, 666);
        send(1, 3, 102);
        fixture.until([&] { return one.received.size() == 3; });
        CHECK(one.received == std::vector<std::uint64_t>{100, 101, 102});
        CHECK(one.peers.counters().stale == 2);
    }
    SECTION("a message of an earlier start is dropped, whatever its sequence")
    {
        send(2, 1, 200);
        send(1, 50, 666);
        send(2, 2, 201);
        fixture.until([&] { return one.received.size() == 4; });
        CHECK(one.received == std::vector<std::uint64_t>{100, 101, 200, 201});
        CHECK(one.peers.counters().stale == 1);
    }
    SECTION("what cannot be parsed, names no sender or pretends to come from here is dropped and counted")
    {
        raw.send(zmq::str_buffer("\xff\xff\xff no protobuf"));
        raw.send(zmq::str_buffer(""));
        send(1, 3, 666, "");
        send(1, 3, 666, "one");
        send(0, 3, 666);
        send(1, 3, 102);
        fixture.until([&] { return one.received.size() == 3; });
        CHECK(one.received.back() == 102);
        CHECK(one.peers.counters().malformed == 5);
    }
}
