#include "peers.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>
#include <zmq.hpp>

#include <boost/asio/steady_timer.hpp>

using namespace briarvane;

namespace
{

constexpr std::chrono::seconds ConditionTimeout{60};

wire::Envelope message(std::uint64_t number, std::size_t size = 0)
{
    wire::Envelope envelope;
    envelope.mutable_config_update()->set_version(number);
    envelope.mutable_config_update()->set_value(std::string(size, 'x'));
    return envelope;
}

struct TestPeer
{
    TestPeer(boost::asio::io_context &io, const std::string &name, std::uint64_t start,
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
    void waitUntil(const std::function<bool()> &condition)
    {
        const auto limit = std::chrono::steady_clock::now() + ConditionTimeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > limit) {
                FAIL("the condition did not become true before the test timed out");
            }
            io.run_one_for(std::chrono::milliseconds(10));
        }
    }
    /// Waits until `from` is connected to `target`. Messages sent before the connection is established are dropped, so
    /// message 0 is sent repeatedly until one arrives.
    void waitConnected(TestPeer &from, const EntryId &to, TestPeer &target)
    {
        target.received.clear();
        waitUntil([&] {
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

TEST_CASE("Messages between entries arrive in order, and sending never blocks", "[peers]")
{
    Fixture fixture;
    TestPeer peerOne(fixture.io, "one", 11);
    auto peerTwo = std::make_unique<TestPeer>(fixture.io, "two", 22);
    peerOne.peers.connect(EntryId{"two"}, peerTwo->endpoint);
    fixture.waitConnected(peerOne, EntryId{"two"}, *peerTwo);

    SECTION("a burst arrives completely and in order, although the descriptor is edge-triggered")
    {
        for (int burst = 0; burst < 20; ++burst) {
            for (std::uint64_t i = 0; i < 300; ++i) {
                peerOne.peers.send(EntryId{"two"}, message(i));
            }
            fixture.waitUntil([&] { return peerTwo->received.size() == 300; });
            CHECK(std::is_sorted(peerTwo->received.begin(), peerTwo->received.end()));
            peerTwo->received.clear();
        }
    }
    SECTION("a message to the sender itself is delivered by the event loop, not inside send()")
    {
        peerOne.peers.send(EntryId{"one"}, message(5));
        CHECK(peerOne.received.empty());
        fixture.waitUntil([&] { return peerOne.received == std::vector<std::uint64_t>{5}; });
    }
    SECTION("a bounded number of messages is queued for a peer that does not read, and sending does not block")
    {
        boost::asio::io_context stoppedLoop;
        TestPeer pausedPeer(stoppedLoop, "three", 33);  // its event loop never runs
        peerOne.peers.connect(EntryId{"three"}, pausedPeer.endpoint);
        const std::uint64_t droppedBefore = peerOne.peers.counters().dropped;
        fixture.waitUntil([&] {
            for (int i = 0; i < 100; ++i) {
                peerOne.peers.send(EntryId{"three"}, message(1, 10'000));
            }
            fixture.io.run_for(std::chrono::milliseconds(1));
            return peerOne.peers.counters().sent > 100 && peerOne.peers.counters().dropped > droppedBefore + 20'000;
        });
        CHECK(peerOne.peers.counters().sent < 10'000);
        peerOne.peers.send(EntryId{"two"}, message(6));
        fixture.waitUntil([&] { return !peerTwo->received.empty(); });
    }
    SECTION("a restarted peer at the same address is reached again")
    {
        const std::string endpoint = peerTwo->endpoint;
        peerTwo.reset();
        for (int i = 0; i < 100; ++i) {
            // Message 7 is sent while no incarnation of the peer runs and must not reach the next one.
            peerOne.peers.send(EntryId{"two"}, message(7));
            fixture.io.run_for(std::chrono::milliseconds(1));
        }
        peerTwo = std::make_unique<TestPeer>(fixture.io, "two", 23, endpoint);
        fixture.waitUntil([&] {
            peerOne.peers.send(EntryId{"two"}, message(8));
            fixture.io.run_for(std::chrono::milliseconds(10));
            return !peerTwo->received.empty();
        });
        CHECK(std::count(peerTwo->received.begin(), peerTwo->received.end(), 7) == 0);
    }
}

TEST_CASE("Invalid and outdated messages are dropped", "[peers]")
{
    Fixture fixture;
    TestPeer peerOne(fixture.io, "one", 11);
    zmq::context_t context(1);
    zmq::socket_t rawSocket(context, zmq::socket_type::push);
    rawSocket.set(zmq::sockopt::linger, 0);
    rawSocket.connect(peerOne.endpoint);
    const auto send
        = [&](std::uint64_t start, std::uint64_t sequence, std::uint64_t number, const std::string &sender = "two") {
              wire::Envelope envelope = message(number);
              envelope.set_sender(sender);
              envelope.set_start_id(start);
              envelope.set_sequence(sequence);
              rawSocket.send(zmq::buffer(envelope.SerializeAsString()));
          };
    send(1, 1, 100);
    send(1, 2, 101);

    SECTION("a message with an old sequence number is dropped")
    {
        send(1, 2, 666);
        send(1, 1, 666);
        send(1, 3, 102);
        fixture.waitUntil([&] { return peerOne.received.size() == 3; });
        CHECK(peerOne.received == std::vector<std::uint64_t>{100, 101, 102});
        CHECK(peerOne.peers.counters().stale == 2);
    }
    SECTION("a message of a previous incarnation is dropped, whatever its sequence number")
    {
        send(2, 1, 200);
        send(1, 50, 666);
        send(2, 2, 201);
        fixture.waitUntil([&] { return peerOne.received.size() == 4; });
        CHECK(peerOne.received == std::vector<std::uint64_t>{100, 101, 200, 201});
        CHECK(peerOne.peers.counters().stale == 1);
    }
    SECTION("a message that cannot be parsed or has an invalid sender or start id is dropped and counted")
    {
        rawSocket.send(zmq::str_buffer("\xff\xff\xff no protobuf"));
        rawSocket.send(zmq::str_buffer(""));
        send(1, 3, 666, "");
        send(1, 3, 666, "one");
        send(0, 3, 666);
        send(1, 3, 102);
        fixture.waitUntil([&] { return peerOne.received.size() == 3; });
        CHECK(peerOne.received.back() == 102);
        CHECK(peerOne.peers.counters().malformed == 5);
    }
}
