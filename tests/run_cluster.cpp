#include "entry_cluster.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

#include <random>

using namespace briarvane;

namespace
{

constexpr std::chrono::seconds FailureLimit{60};
const std::string Fleet = "fleet";

/// EmbeddedCoordination as one entry sees it: the way to it can be cut for this entry alone.
struct Access
{
    explicit Access(boost::asio::io_context &ioContext, EmbeddedCoordination &coordination)
        : io(ioContext)
        , store(coordination)
    {
    }

    template<class T>
    bool cutOff(const Done<T> &done)
    {
        if (cut) {
            boost::asio::post(io, [done] { done(Error{ErrorCode::Unavailable, "cut off"}); });
        }
        return cut;
    }
    void read(const std::string &key, const Done<StoreValue> &done)
    {
        cutOff(done) ? void() : store.read(key, done);
    }
    void list(const std::string &prefix, const Done<std::vector<StoreValue>> &done)
    {
        cutOff(done) ? void() : store.list(prefix, done);
    }
    void swap(const SwapRequest &request, const Done<std::uint64_t> &done)
    {
        cutOff(done) ? void() : store.swap(request, done);
    }
    void remove(const std::string &key, std::uint64_t expected, const Done<bool> &done)
    {
        cutOff(done) ? void() : store.remove(key, expected, done);
    }
    void watch(const std::string &prefix, std::uint64_t after, const Done<WatchBatch> &done)
    {
        const Done<WatchBatch> checked = [this, done](Result<WatchBatch> result) {
            done(cut ? Result<WatchBatch>(Error{ErrorCode::Unavailable, "cut off"}) : std::move(result));
        };
        cutOff(done) ? void() : store.watch(prefix, after, checked);
    }
    void grantLease(Duration ttl, const Done<std::string> &done)
    {
        cutOff(done) ? void() : store.grantLease(ttl, done);
    }
    void renewLease(const std::string &lease, const Done<bool> &done)
    {
        cutOff(done) ? void() : store.renewLease(lease, done);
    }
    void instances(const Done<std::vector<InstanceRecord>> &done)
    {
        ++listReads;
        cutOff(done) ? void() : store.instances(done);
    }
    void reboot(const InstanceId &instance, const Done<bool> &done)
    {
        cutOff(done) ? void() : store.reboot(instance, done);
    }

    boost::asio::io_context &io;
    EmbeddedCoordination &store;
    bool cut = false;
    int listReads = 0;
};

struct Node
{
    Node(boost::asio::io_context &io, EmbeddedCoordination &store, const std::string &name, std::uint64_t start,
         std::map<EntryId, std::string> known = {})
        : access(io, store)
        , peers(io, {EntryId{name}, start, "tcp://127.0.0.1:0"})
        , endpoint(peers.open().value())
        , cluster(io, access, peers, settings(name, start, std::move(known)))
    {
        cluster.onChanged(Fleet, [this](const StoreValue &value) { seen.push_back(value.version); });
        cluster.start();
    }

    ClusterSettings settings(const std::string &name, std::uint64_t start, std::map<EntryId, std::string> known) const
    {
        ClusterSettings values;
        values.self = EntryId{name};
        values.startId = start;
        values.dataCentre = "dc-1";
        values.peerEndpoint = endpoint;
        values.peers = std::move(known);
        values.leaseTtl = Duration{1'500'000};
        values.instancePeriod = Duration{200'000};
        return values;
    }
    Membership &membership()
    {
        return cluster.membership();
    }
    bool ready()
    {
        return membership().viewState(cluster.now()) == ViewState::Usable;
    }

    Access access;
    Peers peers;
    std::string endpoint;
    Cluster<Access> cluster;
    std::vector<std::uint64_t> seen;  // versions of the fleet value that came into force, in order
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
    Node &add(const std::string &name, std::map<EntryId, std::string> known = {})
    {
        nodes.push_back(std::make_unique<Node>(io, store, name, nodes.size() + 1, std::move(known)));
        return *nodes.back();
    }
    /// All entries are usable, listed and hear each other.
    void settle()
    {
        until([&] {
            return std::all_of(nodes.begin(), nodes.end(), [&](const auto &node) {
                return node->ready() && node->membership().heard(node->cluster.now()).size() == nodes.size()
                    && node->membership().listed().size() == nodes.size();
            });
        });
    }
    Result<StoreValue> change(Node &node, std::uint64_t expected, const std::string &value)
    {
        std::optional<Result<StoreValue>> answer;
        node.cluster.change(Fleet, expected, value, [&](Result<StoreValue> result) { answer = std::move(result); });
        until([&] { return answer.has_value(); });
        return *answer;
    }

    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
    EmbeddedCoordination store{io};
    std::vector<std::unique_ptr<Node>> nodes;
};

}

TEST_CASE("Entries share one configuration", "[cluster]")
{
    Fixture fixture;
    Node &one = fixture.add("one");
    Node &two = fixture.add("two");
    Node &three = fixture.add("three");
    fixture.settle();
    const Result<StoreValue> first = fixture.change(one, 0, "first");
    REQUIRE(first);

    SECTION("a change is in force at all entries before its writer is told so")
    {
        std::optional<std::vector<EntryId>> missing;
        one.cluster.waitInForce(Fleet, first.value().version, FailureLimit,
                                [&](std::vector<EntryId> entries) { missing = std::move(entries); });
        fixture.until([&] { return missing.has_value(); });
        CHECK(missing->empty());
        CHECK(two.cluster.inForce(Fleet).value == "first");
        CHECK(three.cluster.inForce(Fleet).value == "first");
    }
    SECTION("an entry without a way to the store gets changes from the others and goes on working")
    {
        three.access.cut = true;
        fixture.until([&] { return three.membership().storeDown(three.cluster.now()); });
        const Result<StoreValue> second = fixture.change(one, first.value().version, "second");
        REQUIRE(second);
        fixture.until([&] { return three.cluster.inForce(Fleet).value == "second"; });
        fixture.until([&] { return !one.membership().listed().contains(EntryId{"three"}); });
        fixture.until([&] { return three.ready(); });
        // It is no longer listed, and still holds drains because it works.
        three.membership().setDraining({{InstanceId{"i"}, 1}});
        fixture.until([&] {
            return one.membership().drainHolders(InstanceId{"i"}, second.value().version, one.cluster.now())
                == std::vector{EntryId{"three"}};
        });
        three.access.cut = false;
        fixture.until([&] { return one.membership().listed().contains(EntryId{"three"}); });
    }
    SECTION("two changes at once: one takes effect, the other is told of the conflict")
    {
        std::vector<Result<StoreValue>> answers;
        const auto keep = [&](Result<StoreValue> result) { answers.push_back(std::move(result)); };
        one.cluster.change(Fleet, first.value().version, "by one", keep);
        two.cluster.change(Fleet, first.value().version, "by two", keep);
        fixture.until([&] { return answers.size() == 2; });
        const int taken
            = static_cast<int>(std::count_if(answers.begin(), answers.end(), [](const auto &a) { return bool(a); }));
        CHECK(taken == 1);
        CHECK((answers[0] ? answers[1] : answers[0]).error().code == ErrorCode::Conflict);
        const std::string winner = (answers[0] ? answers[0] : answers[1]).value().value;
        fixture.until([&] { return three.cluster.inForce(Fleet).value == winner; });
    }
    SECTION("a write whose answer is lost is reported as done once, not as failed")
    {
        fixture.store.faults.loseAnswers = 1;
        const std::size_t writes = fixture.store.writes;
        const Result<StoreValue> second = fixture.change(two, first.value().version, "second");
        REQUIRE(second);
        CHECK(fixture.store.writes == writes + 1);
        CHECK(second.value().version > first.value().version);
    }
    SECTION("a lost answer whose value was replaced meanwhile is not reported as a conflict")
    {
        fixture.store.faults.loseAnswers = 1;
        std::optional<Result<StoreValue>> answer;
        std::optional<Result<std::uint64_t>> replaced;
        two.cluster.change(Fleet, first.value().version, "second",
                           [&](Result<StoreValue> r) { answer = std::move(r); });
        fixture.store.swap({Fleet, first.value().version + 1, "third", ""},
                           [&](Result<std::uint64_t> r) { replaced = std::move(r); });
        fixture.until([&] { return answer && replaced; });
        REQUIRE(*replaced);
        CHECK((*answer || answer->error().code == ErrorCode::Unknown));
    }
    SECTION("while the store is down a change is refused at once and nothing is written")
    {
        fixture.store.faults.down = true;
        fixture.until([&] { return one.membership().storeDown(one.cluster.now()); });
        const std::size_t writes = fixture.store.writes;
        const Result<StoreValue> second = fixture.change(one, first.value().version, "second");
        REQUIRE_FALSE(second);
        CHECK(second.error().code == ErrorCode::Unavailable);
        CHECK(fixture.store.writes == writes);

        // Work goes on, and an entry that starts now gets the newest value from the others, but does not work.
        fixture.until([&] { return one.membership().viewState(one.cluster.now()) == ViewState::StoreOutage; });
        Node &late = fixture.add("late", {{EntryId{"one"}, one.endpoint}});
        fixture.until([&] { return late.cluster.inForce(Fleet).version == first.value().version; });
        CHECK_FALSE(late.membership().mayStartWork(late.cluster.now()));
        fixture.store.faults.down = false;
        fixture.settle();
    }
    SECTION("an older version never replaces a newer one, whatever the order in which they come")
    {
        Peers fake(fixture.io, {EntryId{"fake"}, 99, "tcp://127.0.0.1:0"});
        REQUIRE(fake.open());
        fake.connect(EntryId{"three"}, three.endpoint);
        fixture.until([&] {
            wire::Envelope probe;
            probe.mutable_instance_list()->set_base_digest(1);
            fake.send(EntryId{"three"}, probe);
            return fake.counters().sent > 0;
        });
        std::mt19937_64 random(20261204);
        std::uint64_t version = first.value().version;
        for (int i = 0; i < 40; ++i) {
            // Old values of a peer race against the watch and the updates of the writer.
            wire::Envelope old;
            old.mutable_config_update()->set_key(Fleet);
            old.mutable_config_update()->set_version(1 + random() % version);
            old.mutable_config_update()->set_value("old");
            fake.send(EntryId{"three"}, old);
            const Result<StoreValue> next
                = fixture.change(random() % 2 ? one : two, version, "value " + std::to_string(i));
            REQUIRE(next);
            version = next.value().version;
            fake.send(EntryId{"three"}, old);
        }
        fixture.until([&] { return three.cluster.inForce(Fleet).version == version; });
        fixture.until([&] { return three.peers.counters().received > 0; });
        CHECK(three.cluster.inForce(Fleet).value == "value 39");
        CHECK(std::is_sorted(three.seen.begin(), three.seen.end(), std::less_equal<>()));
    }
    SECTION("an entry whose lease lapsed registers again")
    {
        const std::uint64_t before = one.membership().listed().size();
        REQUIRE(before == 3);
        three.access.cut = true;
        fixture.until([&] { return !one.membership().listed().contains(EntryId{"three"}); });
        three.access.cut = false;
        fixture.settle();
    }
    SECTION("a stopped entry leaves the list, and its duties move")
    {
        std::string duty = "duty";
        while (one.membership().responsible(duty, one.cluster.now()) != EntryId{"two"}) {
            duty += "+";
        }
        bool stopped = false;
        two.cluster.stop([&] { stopped = true; });
        fixture.until([&] { return one.membership().responsible(duty, one.cluster.now()) != EntryId{"two"}; });
        fixture.until([&] {
            return stopped && !one.membership().listed().contains(EntryId{"two"})
                && !one.membership().voters(one.cluster.now()).contains(EntryId{"two"});
        });
    }
    SECTION("the instance list reaches all entries, and one of them reads it for all")
    {
        fixture.store.records = {{InstanceId{"i-1"}, "127.0.0.1", 80, "dc-1", "r-1", Presence::Live}};
        const auto all = [&](std::size_t count) {
            return std::all_of(fixture.nodes.begin(), fixture.nodes.end(),
                               [count](const auto &node) { return node->cluster.instances().size() == count; });
        };
        fixture.until([&] { return all(1); });
        for (const auto &node : fixture.nodes) {
            node->access.listReads = 0;
        }
        fixture.until([&] { return one.access.listReads + two.access.listReads + three.access.listReads >= 10; });
        // The others read only now and then, when a message is late.
        CHECK(std::max({one.access.listReads, two.access.listReads, three.access.listReads}) >= 7);
        fixture.store.records.push_back({InstanceId{"i-0"}, "127.0.0.1", 81, "dc-1", "r-1", Presence::Live});
        fixture.until([&] { return all(2); });
        fixture.store.records[0].presence = Presence::Gone;
        fixture.until([&] {
            return std::all_of(fixture.nodes.begin(), fixture.nodes.end(), [](const auto &node) {
                return node->cluster.instances().at(1).presence == Presence::Gone;
            });
        });
    }
}

TEST_CASE("The state of a store that is unreachable when all entries start comes from the store later", "[cluster]")
{
    Fixture fixture;
    fixture.store.faults.down = true;
    Node &one = fixture.add("one");
    Node &two = fixture.add("two");
    fixture.until(
        [&] { return one.membership().storeDown(one.cluster.now()) && two.membership().storeDown(two.cluster.now()); });
    CHECK_FALSE(one.membership().mayStartWork(one.cluster.now()));
    fixture.store.faults.down = false;
    fixture.settle();
}
