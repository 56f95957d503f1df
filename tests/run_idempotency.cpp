#include "entry_idempotency.h"

#include <catch2/catch.hpp>

using namespace briarvane;

namespace
{

struct FakeFaults
{
    bool down = false;
    int lostAnswers = 0;  // number of coming swaps that take effect but return Unknown
    int lostSwaps = 0;    // number of coming swaps that have no effect and return Unknown
};

/// In-memory key-value store of the coordination service, which several fake entries share.
struct FakeStore
{
    std::map<std::string, StoreValue> values;
    std::uint64_t version = 0;
    std::size_t swaps = 0;
};

/// One entry's connection to the coordination service, with its own faults.
struct FakeCoordination
{
    boost::asio::io_context *io = nullptr;
    FakeStore *store = nullptr;
    FakeFaults faults;

    template<class T>
    void answer(Done<T> done, Result<T> result)
    {
        boost::asio::post(*io, [done = std::move(done), result = std::move(result)] { done(result); });
    }
    void read(const std::string &key, Done<StoreValue> done)
    {
        const auto found = store->values.find(key);
        const StoreValue value = found == store->values.end() ? StoreValue{key, {}, 0} : found->second;
        answer<StoreValue>(std::move(done), faults.down ? Result<StoreValue>(unavailable()) : value);
    }
    void swap(const SwapRequest &request, Done<std::uint64_t> done)
    {
        ++store->swaps;
        if (faults.down) {
            return answer<std::uint64_t>(std::move(done), unavailable());
        }
        if (faults.lostSwaps > 0) {
            --faults.lostSwaps;
            return answer<std::uint64_t>(std::move(done), Error{ErrorCode::Unknown, "no answer"});
        }
        const auto found = store->values.find(request.key);
        if ((found == store->values.end() ? 0 : found->second.version) != request.expected) {
            return answer<std::uint64_t>(std::move(done), Error{ErrorCode::Conflict, "changed"});
        }
        store->values[request.key] = {request.key, request.value, ++store->version};
        if (faults.lostAnswers > 0) {
            --faults.lostAnswers;
            return answer<std::uint64_t>(std::move(done), Error{ErrorCode::Unknown, "no answer"});
        }
        answer<std::uint64_t>(std::move(done), store->version);
    }
    void remove(const std::string &key, std::uint64_t, Done<bool> done)
    {
        store->values.erase(key);
        boost::asio::post(*io, [done = std::move(done)] { done(true); });
    }
    static Error unavailable()
    {
        return {ErrorCode::Unavailable, "the coordination service is down"};
    }
    // The idempotency client does not use the remaining functions of the CoordinationService concept.
    void list(const std::string &, const Done<std::vector<StoreValue>> &)
    {
    }
    void watch(const std::string &, std::uint64_t, const Done<WatchBatch> &)
    {
    }
    void grantLease(Duration, const Done<std::string> &)
    {
    }
    void renewLease(const std::string &, const Done<bool> &)
    {
    }
    void instances(const Done<std::vector<InstanceRecord>> &)
    {
    }
    void reboot(const InstanceId &, const Done<bool> &)
    {
    }
};

struct FakeEntry;

/// State that the entries share: time, store, live entries and the filter for messages that the network drops.
struct FakeNetwork
{
    boost::asio::io_context io;
    FakeStore store;
    TimePoint now{Duration{1'000'000'000}};
    std::map<EntryId, FakeEntry *> entries;
    EntryId responsible;  // the entry that is responsible for every shard
    std::function<bool(const EntryId &to, const wire::Envelope &)> drops
        = [](const auto &, const auto &) { return false; };
};

/// Fake of the cluster, membership and peers of one entry.
struct FakeEntry
{
    FakeEntry(FakeNetwork &network, const std::string &name, std::uint64_t start)
        : net(network)
        , id{name}
        , start(start)
        , store{&network.io, &network.store, {}}
    {
        net.entries[id] = this;
        status.id = id;
        status.startId = start;
        client = std::make_unique<IdempotencyClient<FakeCoordination, FakeEntry>>(*this, IdempotencySettings{});
        client->start();
    }
    ~FakeEntry()
    {
        net.entries.erase(id);
    }
    FakeEntry(const FakeEntry &) = delete;
    FakeEntry &operator=(const FakeEntry &) = delete;

    FakeEntry &membership()
    {
        return *this;
    }
    FakeEntry &peers()
    {
        return *this;
    }
    FakeCoordination &coordination()
    {
        return store;
    }
    boost::asio::io_context &io()
    {
        return net.io;
    }
    TimePoint now() const
    {
        return net.now;
    }
    const EntryId &self() const
    {
        return id;
    }
    std::uint64_t startId() const
    {
        return start;
    }
    std::vector<EntryId> live(TimePoint) const
    {
        std::vector<EntryId> ids;
        for (const auto &[entryId, entry] : net.entries) {
            ids.push_back(entryId);
        }
        return ids;
    }
    const EntryStatus *entry(const EntryId &entry) const
    {
        const auto found = net.entries.find(entry);
        return found == net.entries.end() ? nullptr : &found->second->status;
    }
    EntryId responsible(std::string_view, TimePoint) const
    {
        return net.responsible;
    }
    void onMessage(std::function<void(const wire::Envelope &)> newHandler)
    {
        handler = std::move(newHandler);
    }
    void send(const EntryId &to, wire::Envelope message)
    {
        message.set_sender(id.value);
        message.set_start_id(start);
        if (net.drops(to, message)) {
            return;
        }
        boost::asio::post(net.io, [&net = net, to, message] {
            if (const auto found = net.entries.find(to); found != net.entries.end()) {
                found->second->handler(message);
            }
        });
    }

    FakeNetwork &net;
    EntryId id;
    std::uint64_t start;
    FakeCoordination store;
    EntryStatus status;
    std::function<void(const wire::Envelope &)> handler;
    std::unique_ptr<IdempotencyClient<FakeCoordination, FakeEntry>> client;
};

class Fixture
{
public:
    FakeNetwork net;
    std::unique_ptr<FakeEntry> a = std::make_unique<FakeEntry>(net, "a", 1);
    std::unique_ptr<FakeEntry> b = std::make_unique<FakeEntry>(net, "b", 2);
    std::unique_ptr<FakeEntry> c = std::make_unique<FakeEntry>(net, "c", 3);
    const IdempotencyKeyHash key = hashIdempotencyKey({"sugar-orders"}, {"coast"}, "k1");

    Fixture()
    {
        net.responsible = {"a"};
    }

    /// Advances the time in steps of 5 ms and runs the timers and handlers that are due.
    void advance(int ms)
    {
        for (int elapsed = 0; elapsed < ms; elapsed += 5) {
            net.now += Duration{5'000};
            for (const auto &[id, entry] : net.entries) {
                entry->client->tick();
            }
            net.io.restart();
            net.io.poll();
        }
    }

    std::shared_ptr<std::vector<ClaimResult>> claim(FakeEntry &entry, std::uint64_t body = 1, int deadlineMs = 2000)
    {
        auto results = std::make_shared<std::vector<ClaimResult>>();
        entry.client->claim(key, body, 0, net.now + Duration{deadlineMs * 1000},
                            [results](ClaimResult result) { results->push_back(std::move(result)); });
        return results;
    }
    /// Claims the key through `entry` and returns the verdict.
    Verdict verdict(FakeEntry &entry, std::uint64_t body = 1, int deadlineMs = 2000)
    {
        const auto results = claim(entry, body, deadlineMs);
        advance(deadlineMs + 50);
        REQUIRE(results->size() == 1);
        lastResult = results->front();
        return lastResult.verdict;
    }
    ClaimResult lastResult;
};

}

TEST_CASE_METHOD(Fixture, "A key is claimed, finished and replayed through any entry", "[idempotency]")
{
    REQUIRE(verdict(*b) == Verdict::Run);
    const HeldClaim held = lastResult.claim;

    SECTION("while the claim runs, others get InProgress, or KeyConflict with another body")
    {
        CHECK(verdict(*c) == Verdict::InProgress);
        CHECK(verdict(*a, 2) == Verdict::KeyConflict);
    }
    SECTION("the stored answer is replayed, also when the update of the claim is lost twice")
    {
        int lost = 0;
        net.drops
            = [&](const EntryId &, const wire::Envelope &message) { return message.has_order_settle() && lost++ < 2; };
        b->client->settle(held, IdempotencyState::Finished, {201, "text/plain", "done", true});
        advance(1000);
        CHECK(b->client->unconfirmedUpdates() == 0);
        CHECK(verdict(*c) == Verdict::Replay);
        CHECK(lastResult.answer.body == "done");
        CHECK(lastResult.answer.status == 201);
    }
    SECTION("an answer that is too large to be stored is replayed only by the entry that received it")
    {
        const std::string large(5000, 'x');
        b->client->settle(held, IdempotencyState::Finished, {200, "text/plain", large, true});
        advance(100);
        CHECK(verdict(*c) == Verdict::Unknown);
        CHECK(verdict(*b) == Verdict::Replay);
        CHECK(lastResult.answer.body == large);
    }
    SECTION("after a claim is abandoned, the next one runs")
    {
        b->client->settle(held, IdempotencyState::Abandoned, {});
        advance(100);
        CHECK(verdict(*c, 2) == Verdict::Run);
    }
    SECTION("after the claimant was lost or has restarted, the key is unknown and does not run again")
    {
        b.reset();
        CHECK(verdict(*c) == Verdict::Unknown);
        b = std::make_unique<FakeEntry>(net, "b", 9);
        CHECK(verdict(*c) == Verdict::Unknown);
        CHECK(verdict(*b) == Verdict::Unknown);
    }
    SECTION("after the responsible entry changed, the key does not run again and its answer is replayed")
    {
        net.responsible = {"c"};
        CHECK(verdict(*a) == Verdict::InProgress);
        b->client->settle(held, IdempotencyState::Finished, {200, "text/plain", "done", true});
        advance(100);
        CHECK(verdict(*a) == Verdict::Replay);
    }
}

TEST_CASE_METHOD(Fixture, "Faults of the coordination service and the network do not let two claims of a key run",
                 "[idempotency]")
{
    SECTION("after a swap whose answer is lost, reading the record again gives the verdict")
    {
        a->store.faults.lostAnswers = 1;
        CHECK(verdict(*b) == Verdict::Run);
        CHECK(verdict(*c) == Verdict::InProgress);
    }
    SECTION("a swap that never took effect is repeated")
    {
        a->store.faults.lostSwaps = 1;
        CHECK(verdict(*b) == Verdict::Run);
        CHECK(verdict(*c) == Verdict::InProgress);
    }
    SECTION("while the coordination service is down a claim waits until its deadline, and no record of it remains")
    {
        for (FakeEntry *entry : {a.get(), b.get(), c.get()}) {
            entry->store.faults.down = true;
        }
        const auto results = claim(*b, 1, 1000);
        advance(900);
        CHECK(results->empty());
        advance(150);
        REQUIRE(results->size() == 1);
        CHECK(results->front().verdict == Verdict::Busy);
        for (FakeEntry *entry : {a.get(), b.get(), c.get()}) {
            entry->store.faults.down = false;
        }
        advance(1000);
        CHECK(b->client->unconfirmedUpdates() == 0);
        CHECK(verdict(*c) == Verdict::Run);
    }
    SECTION("when the responsible entry does not answer, the claimant writes the record itself")
    {
        net.drops = [](const EntryId &to, const wire::Envelope &) { return to.value == "a"; };
        CHECK(verdict(*b) == Verdict::Run);
        CHECK(verdict(*c) == Verdict::InProgress);
        CHECK(verdict(*a) == Verdict::InProgress);
    }
    SECTION("of all entries that claim a key at the same time without messages, only one gets Run")
    {
        net.drops = [](const EntryId &, const wire::Envelope &) { return true; };
        std::vector<std::shared_ptr<std::vector<ClaimResult>>> all = {claim(*a), claim(*b), claim(*c)};
        advance(2100);
        int runs = 0;
        for (const auto &results : all) {
            REQUIRE(results->size() == 1);
            runs += results->front().verdict == Verdict::Run ? 1 : 0;
        }
        CHECK(runs == 1);
    }
    SECTION("after a lost verdict the claim is sent again and gets Run once")
    {
        int lost = 0;
        net.drops
            = [&](const EntryId &, const wire::Envelope &message) { return message.has_order_verdict() && lost++ < 1; };
        CHECK(verdict(*b) == Verdict::Run);
        CHECK(b->client->unconfirmedUpdates() == 1);
        CHECK(verdict(*c) == Verdict::InProgress);
    }
    SECTION("a verdict that arrives after the deadline is not used, and the next claim may run")
    {
        std::vector<wire::Envelope> late;
        net.drops = [&](const EntryId &, const wire::Envelope &message) {
            if (message.has_order_verdict() && message.order_verdict().verdict() == "run") {
                late.push_back(message);
            }
            return message.has_order_verdict() || message.has_order_settle();
        };
        const auto results = claim(*b, 1, 100);
        advance(150);
        REQUIRE(results->size() == 1);
        CHECK(results->front().verdict == Verdict::Busy);
        REQUIRE(late.size() == 1);
        net.drops = [](const EntryId &, const wire::Envelope &) { return false; };
        b->handler(late.front());
        advance(1000);
        CHECK(b->client->unconfirmedUpdates() == 0);
        CHECK(verdict(*c) == Verdict::Run);
    }
}
