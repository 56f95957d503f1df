#include "entry_cluster.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

#include <random>

using namespace briarvane;

namespace
{

constexpr std::chrono::seconds ConditionTimeout{60};
const std::string Fleet = "fleet";

/// Connection of one entry to the EmbeddedCoordination. It can be cut without effect on the other entries.
struct CoordinationLink
{
    explicit CoordinationLink(boost::asio::io_context &ioContext, EmbeddedCoordination &service)
        : io(ioContext)
        , coordination(service)
    {
    }

    template<class T>
    bool failIfDisconnected(const Done<T> &done)
    {
        if (disconnected) {
            boost::asio::post(io, [done] { done(Error{ErrorCode::Unavailable, "cut off"}); });
        }
        return disconnected;
    }
    void read(const std::string &key, const Done<StoreValue> &done)
    {
        failIfDisconnected(done) ? void() : coordination.read(key, done);
    }
    void list(const std::string &prefix, const Done<std::vector<StoreValue>> &done)
    {
        failIfDisconnected(done) ? void() : coordination.list(prefix, done);
    }
    void swap(const SwapRequest &request, const Done<std::uint64_t> &done)
    {
        failIfDisconnected(done) ? void() : coordination.swap(request, done);
    }
    void remove(const std::string &key, std::uint64_t expected, const Done<bool> &done)
    {
        failIfDisconnected(done) ? void() : coordination.remove(key, expected, done);
    }
    void watch(const std::string &prefix, std::uint64_t after, const Done<WatchBatch> &done)
    {
        const Done<WatchBatch> checked = [this, done](Result<WatchBatch> result) {
            done(disconnected ? Result<WatchBatch>(Error{ErrorCode::Unavailable, "cut off"}) : std::move(result));
        };
        failIfDisconnected(done) ? void() : coordination.watch(prefix, after, checked);
    }
    void grantLease(Duration ttl, const Done<std::string> &done)
    {
        failIfDisconnected(done) ? void() : coordination.grantLease(ttl, done);
    }
    void renewLease(const std::string &lease, const Done<bool> &done)
    {
        failIfDisconnected(done) ? void() : coordination.renewLease(lease, done);
    }
    void instances(const Done<std::vector<InstanceRecord>> &done)
    {
        ++listReads;
        failIfDisconnected(done) ? void() : coordination.instances(done);
    }
    void reboot(const InstanceId &instance, const Done<bool> &done)
    {
        failIfDisconnected(done) ? void() : coordination.reboot(instance, done);
    }

    boost::asio::io_context &io;
    EmbeddedCoordination &coordination;
    bool disconnected = false;
    int listReads = 0;
};

/// One entry: its connection to the coordination service, its peers and its cluster.
struct TestEntry
{
    TestEntry(boost::asio::io_context &io, EmbeddedCoordination &coordination, const std::string &name,
              std::uint64_t start, std::map<EntryId, std::string> knownPeers = {})
        : link(io, coordination)
        , peers(io, {EntryId{name}, start, "tcp://127.0.0.1:0"})
        , endpoint(peers.open().value())
        , cluster(io, link, peers, settings(name, start, std::move(knownPeers)))
    {
        cluster.onChanged(Fleet, [this](const StoreValue &value) { seenVersions.push_back(value.version); });
        cluster.start();
    }

    ClusterSettings settings(const std::string &name, std::uint64_t start,
                             std::map<EntryId, std::string> knownPeers) const
    {
        ClusterSettings values;
        values.self = EntryId{name};
        values.startId = start;
        values.dataCentre = "dc-1";
        values.peerEndpoint = endpoint;
        values.peers = std::move(knownPeers);
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

    CoordinationLink link;
    Peers peers;
    std::string endpoint;
    Cluster<CoordinationLink> cluster;
    /// Versions of the fleet value in the order in which onChanged() reported them.
    std::vector<std::uint64_t> seenVersions;
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
    TestEntry &add(const std::string &name, std::map<EntryId, std::string> knownPeers = {})
    {
        testEntries.push_back(
            std::make_unique<TestEntry>(io, coordination, name, testEntries.size() + 1, std::move(knownPeers)));
        return *testEntries.back();
    }
    /// Waits until every entry has a usable view, lists all entries and is in mutual contact with all of them.
    void waitSettled()
    {
        waitUntil([&] {
            return std::all_of(testEntries.begin(), testEntries.end(), [&](const auto &testEntry) {
                return testEntry->ready()
                    && testEntry->membership().mutuallyReachable(testEntry->cluster.now()).size() == testEntries.size()
                    && testEntry->membership().listed().size() == testEntries.size();
            });
        });
    }
    Result<StoreValue> change(TestEntry &testEntry, std::uint64_t expected, const std::string &value)
    {
        std::optional<Result<StoreValue>> answer;
        testEntry.cluster.change(Fleet, expected, value,
                                 [&](Result<StoreValue> result) { answer = std::move(result); });
        waitUntil([&] { return answer.has_value(); });
        return *answer;
    }

    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
    EmbeddedCoordination coordination{io};
    std::vector<std::unique_ptr<TestEntry>> testEntries;
};

}

TEST_CASE("Entries share one configuration", "[cluster]")
{
    Fixture fixture;
    TestEntry &entryOne = fixture.add("one");
    TestEntry &entryTwo = fixture.add("two");
    TestEntry &entryThree = fixture.add("three");
    fixture.waitSettled();
    const Result<StoreValue> firstChange = fixture.change(entryOne, 0, "first");
    REQUIRE(firstChange);

    SECTION("waitInForce() completes only after the change is in force at all entries")
    {
        std::optional<std::vector<EntryId>> missing;
        entryOne.cluster.waitInForce(Fleet, firstChange.value().version, ConditionTimeout,
                                     [&](std::vector<EntryId> entries) { missing = std::move(entries); });
        fixture.waitUntil([&] { return missing.has_value(); });
        CHECK(missing->empty());
        CHECK(entryTwo.cluster.inForce(Fleet).value == "first");
        CHECK(entryThree.cluster.inForce(Fleet).value == "first");
    }
    SECTION("an entry without access to the coordination service receives changes from its peers and keeps working")
    {
        entryThree.link.disconnected = true;
        fixture.waitUntil([&] { return entryThree.membership().coordinationDown(entryThree.cluster.now()); });
        const Result<StoreValue> secondChange = fixture.change(entryOne, firstChange.value().version, "second");
        REQUIRE(secondChange);
        fixture.waitUntil([&] { return entryThree.cluster.inForce(Fleet).value == "second"; });
        fixture.waitUntil([&] { return !entryOne.membership().listed().contains(EntryId{"three"}); });
        fixture.waitUntil([&] { return entryThree.ready(); });
        // The entry is no longer listed, but it still works, so a drain must wait for its requests.
        entryThree.membership().setDraining({{InstanceId{"i"}, 1}});
        fixture.waitUntil([&] {
            return entryOne.membership().drainBlockers(InstanceId{"i"}, secondChange.value().version,
                                                       entryOne.cluster.now())
                == std::vector{EntryId{"three"}};
        });
        entryThree.link.disconnected = false;
        fixture.waitUntil([&] { return entryOne.membership().listed().contains(EntryId{"three"}); });
    }
    SECTION("of two concurrent changes one takes effect and the other fails with a conflict")
    {
        std::vector<Result<StoreValue>> answers;
        const auto recordAnswer = [&](Result<StoreValue> result) { answers.push_back(std::move(result)); };
        entryOne.cluster.change(Fleet, firstChange.value().version, "by one", recordAnswer);
        entryTwo.cluster.change(Fleet, firstChange.value().version, "by two", recordAnswer);
        fixture.waitUntil([&] { return answers.size() == 2; });
        const int acceptedCount
            = static_cast<int>(std::count_if(answers.begin(), answers.end(), [](const auto &a) { return bool(a); }));
        CHECK(acceptedCount == 1);
        CHECK((answers[0] ? answers[1] : answers[0]).error().code == ErrorCode::Conflict);
        const std::string winner = (answers[0] ? answers[0] : answers[1]).value().value;
        fixture.waitUntil([&] { return entryThree.cluster.inForce(Fleet).value == winner; });
    }
    SECTION("a write whose answer is lost is applied once and reported as successful")
    {
        fixture.coordination.faults.loseResponses = 1;
        const std::size_t writes = fixture.coordination.writes;
        const Result<StoreValue> secondChange = fixture.change(entryTwo, firstChange.value().version, "second");
        REQUIRE(secondChange);
        CHECK(fixture.coordination.writes == writes + 1);
        CHECK(secondChange.value().version > firstChange.value().version);
    }
    SECTION("a write whose answer is lost and whose value is then replaced is not reported as a conflict")
    {
        fixture.coordination.faults.loseResponses = 1;
        std::optional<Result<StoreValue>> answer;
        std::optional<Result<std::uint64_t>> replaced;
        entryTwo.cluster.change(Fleet, firstChange.value().version, "second",
                                [&](Result<StoreValue> r) { answer = std::move(r); });
        fixture.coordination.swap({Fleet, firstChange.value().version + 1, "third", ""},
                                  [&](Result<std::uint64_t> r) { replaced = std::move(r); });
        fixture.waitUntil([&] { return answer && replaced; });
        REQUIRE(*replaced);
        CHECK((*answer || answer->error().code == ErrorCode::Unknown));
    }
    SECTION("while the coordination service is down, a change is refused at once and nothing is written")
    {
        fixture.coordination.faults.down = true;
        fixture.waitUntil([&] { return entryOne.membership().coordinationDown(entryOne.cluster.now()); });
        const std::size_t writes = fixture.coordination.writes;
        const Result<StoreValue> secondChange = fixture.change(entryOne, firstChange.value().version, "second");
        REQUIRE_FALSE(secondChange);
        CHECK(secondChange.error().code == ErrorCode::Unavailable);
        CHECK(fixture.coordination.writes == writes);

        // Running entries keep working. An entry that starts now receives the newest value from its peers, but must not
        // start work.
        fixture.waitUntil(
            [&] { return entryOne.membership().viewState(entryOne.cluster.now()) == ViewState::CoordinationOutage; });
        TestEntry &lateEntry = fixture.add("late", {{EntryId{"one"}, entryOne.endpoint}});
        fixture.waitUntil([&] { return lateEntry.cluster.inForce(Fleet).version == firstChange.value().version; });
        CHECK_FALSE(lateEntry.membership().mayStartWork(lateEntry.cluster.now()));
        fixture.coordination.faults.down = false;
        fixture.waitSettled();
    }
    SECTION("an older version never replaces a newer one, whatever the order of arrival")
    {
        Peers fakePeer(fixture.io, {EntryId{"fake"}, 99, "tcp://127.0.0.1:0"});
        REQUIRE(fakePeer.open());
        fakePeer.connect(EntryId{"three"}, entryThree.endpoint);
        fixture.waitUntil([&] {
            wire::Envelope probe;
            probe.mutable_instance_list()->set_base_digest(1);
            fakePeer.send(EntryId{"three"}, probe);
            return fakePeer.counters().sent > 0;
        });
        std::mt19937_64 random(20261204);
        std::uint64_t version = firstChange.value().version;
        for (int i = 0; i < 40; ++i) {
            // Older versions sent by a peer race with the watch and with the writer's updates.
            wire::Envelope oldUpdate;
            oldUpdate.mutable_config_update()->set_key(Fleet);
            oldUpdate.mutable_config_update()->set_version(1 + random() % version);
            oldUpdate.mutable_config_update()->set_value("old");
            fakePeer.send(EntryId{"three"}, oldUpdate);
            const Result<StoreValue> next
                = fixture.change(random() % 2 ? entryOne : entryTwo, version, "value " + std::to_string(i));
            REQUIRE(next);
            version = next.value().version;
            fakePeer.send(EntryId{"three"}, oldUpdate);
        }
        fixture.waitUntil([&] { return entryThree.cluster.inForce(Fleet).version == version; });
        fixture.waitUntil([&] { return entryThree.peers.counters().received > 0; });
        CHECK(entryThree.cluster.inForce(Fleet).value == "value 39");
        CHECK(std::is_sorted(entryThree.seenVersions.begin(), entryThree.seenVersions.end(), std::less_equal<>()));
    }
    SECTION("an entry whose lease lapsed registers again")
    {
        const std::uint64_t listedBefore = entryOne.membership().listed().size();
        REQUIRE(listedBefore == 3);
        entryThree.link.disconnected = true;
        fixture.waitUntil([&] { return !entryOne.membership().listed().contains(EntryId{"three"}); });
        entryThree.link.disconnected = false;
        fixture.waitSettled();
    }
    SECTION("a stopped entry leaves the list, and another entry becomes responsible for its work")
    {
        std::string responsibility = "duty";
        while (entryOne.membership().responsible(responsibility, entryOne.cluster.now()) != EntryId{"two"}) {
            responsibility += "+";
        }
        bool stopped = false;
        entryTwo.cluster.stop([&] { stopped = true; });
        fixture.waitUntil([&] {
            return entryOne.membership().responsible(responsibility, entryOne.cluster.now()) != EntryId{"two"};
        });
        fixture.waitUntil([&] {
            return stopped && !entryOne.membership().listed().contains(EntryId{"two"})
                && !entryOne.membership().voters(entryOne.cluster.now()).contains(EntryId{"two"});
        });
    }
    SECTION("one entry reads the instance list and distributes it to all others")
    {
        fixture.coordination.records = {{InstanceId{"i-1"}, "127.0.0.1", 80, "dc-1", "r-1", Presence::Live}};
        const auto allHaveCount = [&](std::size_t count) {
            return std::all_of(fixture.testEntries.begin(), fixture.testEntries.end(), [count](const auto &testEntry) {
                return testEntry->cluster.instances().size() == count;
            });
        };
        fixture.waitUntil([&] { return allHaveCount(1); });
        for (const auto &testEntry : fixture.testEntries) {
            testEntry->link.listReads = 0;
        }
        fixture.waitUntil(
            [&] { return entryOne.link.listReads + entryTwo.link.listReads + entryThree.link.listReads >= 10; });
        // The other entries read the list only if a message of the responsible entry is late.
        CHECK(std::max({entryOne.link.listReads, entryTwo.link.listReads, entryThree.link.listReads}) >= 7);
        fixture.coordination.records.push_back({InstanceId{"i-0"}, "127.0.0.1", 81, "dc-1", "r-1", Presence::Live});
        fixture.waitUntil([&] { return allHaveCount(2); });
        fixture.coordination.records[0].presence = Presence::Gone;
        fixture.waitUntil([&] {
            return std::all_of(fixture.testEntries.begin(), fixture.testEntries.end(), [](const auto &testEntry) {
                return testEntry->cluster.instances().at(1).presence == Presence::Gone;
            });
        });
    }
}

TEST_CASE("Entries that start while the coordination service is down become usable when it is back", "[cluster]")
{
    Fixture fixture;
    fixture.coordination.faults.down = true;
    TestEntry &entryOne = fixture.add("one");
    TestEntry &entryTwo = fixture.add("two");
    fixture.waitUntil([&] {
        return entryOne.membership().coordinationDown(entryOne.cluster.now())
            && entryTwo.membership().coordinationDown(entryTwo.cluster.now());
    });
    CHECK_FALSE(entryOne.membership().mayStartWork(entryOne.cluster.now()));
    fixture.coordination.faults.down = false;
    fixture.waitSettled();
}
