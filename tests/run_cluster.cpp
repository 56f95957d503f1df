#include "entry_cluster.h"

#include <catch2/catch.hpp>

using namespace briarvane;

namespace
{

struct Node
{
    Node(boost::asio::io_context &io, EmbeddedPlatform &platform, const std::string &name, std::uint64_t start)
        : peers(io, {EntryId{name}, start, "tcp://127.0.0.1:0"})
        , cluster(io, platform, peers, settings(name, start))
    {
    }

    ClusterSettings settings(const std::string &name, std::uint64_t start)
    {
        ClusterSettings values;
        values.self = EntryId{name};
        values.startId = start;
        values.dataCentre = "dc-1";
        values.peerEndpoint = peers.open().value();
        return values;
    }

    Peers peers;
    Cluster<EmbeddedPlatform> cluster;
};

}

TEST_CASE("thin")
{
    boost::asio::io_context io;
    EmbeddedPlatform platform(io);
    Node one(io, platform, "a", 1);
    Node two(io, platform, "b", 2);
    one.cluster.start();
    two.cluster.start();
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!(one.cluster.membership().mayAcceptDrain(one.cluster.now())
             && two.cluster.membership().mayStartWork(two.cluster.now())
             && two.cluster.membership().live(two.cluster.now()).size() == 2)
           && std::chrono::steady_clock::now() < until) {
        io.run_one_for(std::chrono::milliseconds(10));
    }
    REQUIRE(std::chrono::steady_clock::now() < until);
    bool done = false;
    one.cluster.change("fleet", 0, "x", [&](Result<StoreValue> result) {
        REQUIRE(result);
        one.cluster.waitInForce("fleet", result.value().version, Duration(5'000'000),
                                [&](std::vector<EntryId> missing) {
                                    CHECK(missing.empty());
                                    done = true;
                                });
    });
    while (!done && std::chrono::steady_clock::now() < until) {
        io.run_one_for(std::chrono::milliseconds(10));
    }
    CHECK(done);
    CHECK(two.cluster.inForce("fleet").value == "x");
}
