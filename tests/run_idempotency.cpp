#include "entry_idempotency.h"

#include <catch2/catch.hpp>

using namespace briarvane;

namespace
{

struct FakeFaults
{
    bool down = false;
    int loseAnswers = 0;  // swaps take effect and answer Unknown
    int forgetSwaps = 0;  // swaps have no effect and answer Unknown
};

/// A store in memory that several fake entries share.
struct FakeStore
{
    std::map<std::string, StoreValue> values;
    std::uint64_t version = 0;
    std::size_t swaps = 0;
};

/// One entry's connection to the store, with its own faults.
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
        if (faults.forgetSwaps > 0) {
            --faults.forgetSwaps;
            return answer<std::uint64_t>(std::move(done), Error{ErrorCode::Unknown, "no answer"});
        }
        const auto found = store->values.find(request.key);
        if ((found == store->values.end() ? 0 : found->second.version) != request.expected) {
            return answer<std::uint64_t>(std::move(done), Error{ErrorCode::Conflict, "changed"});
        }
        store->values[request.key] = {request.key, request.value, ++store->version};
        if (faults.loseAnswers > 0) {
            --faults.loseAnswers;
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
        return {ErrorCode::Unavailable, "the store is down"};
    }
    // The idempotency client does not use the rest of the concept.
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

/// What the entries share: time, the store, who is live and what the network drops.
struct FakeNet
{
    boost::asio::io_context io;
    FakeStore store;
    TimePoint now{Duration{1'000'000'000}};
    std::map<EntryId, FakeEntry *> entries;
    EntryId responsible;  // of every shard
    std::function<bool(const EntryId &to, const wire::Envelope &)> drops
        = [](const auto &, const auto &) { return false; };
};

/// Cluster, membership and peers of one entry.
struct FakeEntry
{
    FakeEntry(FakeNet &netUsed, const std::string &name, std::uint64_t start)
        : net(netUsed)
        , id{name}
        , start(start)
        , store{&netUsed.io, &netUsed.store, {}}
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
        for (const auto &[entry, at] : net.entries) {
            ids.push_back(entry);
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
    void onMessage(std::function<void(const wire::Envelope &)> set)
    {
        handler = std::move(set);
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

    FakeNet &net;
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
    FakeNet net;
    std::unique_ptr<FakeEntry> a = std::make_unique<FakeEntry>(net, "a", 1);
    std::unique_ptr<FakeEntry> b = std::make_unique<FakeEntry>(net, "b", 2);
    std::unique_ptr<FakeEntry> c = std::make_unique<FakeEntry>(net, "c", 3);
    const IdempotencyKeyHash key = hashIdempotencyKey({"sugar-orders"}, {"coast"}, "k1");

    Fixture()
    {
        net.responsible = {"a"};
    }

    /// Lets time pass in steps of 5 ms and everything happen that is due.
    void pass(int ms)
    {
        for (int done = 0; done < ms; done += 5) {
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
    Verdict verdict(FakeEntry &entry, std::uint64_t body = 1, int deadlineMs = 2000)
    {
        const auto results = claim(entry, body, deadlineMs);
        pass(deadlineMs + 50);
        REQUIRE(results->size() == 1);
        last = results->front();
        return last.verdict;
    }
    ClaimResult last;
};

}

TEST_CASE_METHOD(Fixture, "A key is claimed, answered and replayed through any entry", "[orders]")
{
    REQUIRE(verdict(*b) == Verdict::Run);
    const HeldClaim held = last.claim;

    SECTION("while it runs, others are told so, and another body is refused")
    {
        CHECK(verdict(*c) == Verdict::InProgress);
        CHECK(verdict(*a, 2) == Verdict::KeyConflict);
    }
    SECTION("the kept answer is replayed, also when the settle message is lost twice")
    {
        int lost = 0;
        net.drops
            = [&](const EntryId &, const wire::Envelope &message) { return message.has_order_settle() && lost++ < 2; };
        b->client->settle(held, IdempotencyState::Finished, {201, "text/plain", "done", true});
        pass(1000);
        CHECK(b->client->unsettled() == 0);
        CHECK(verdict(*c) == Verdict::Replay);
        CHECK(last.answer.body == "done");
        CHECK(last.answer.status == 201);
    }
    SECTION("an answer too large for the store is replayed only where it was received")
    {
        const std::string large(5000, 'x');
        b->client->settle(held, IdempotencyState::Finished, {200, "text/plain", large, true});
        pass(100);
        CHECK(verdict(*c) == Verdict::Unknown);
        CHECK(verdict(*b) == Verdict::Replay);
        CHECK(last.answer.body == large);
    }
    SECTION("an abandoned claim lets the next one run")
    {
        b->client->settle(held, IdempotencyState::Abandoned, {});
        pass(100);
        CHECK(verdict(*c, 2) == Verdict::Run);
    }
    SECTION("after the claimant is lost or has restarted, the key is unknown and never runs again")
    {
        b.reset();
        CHECK(verdict(*c) == Verdict::Unknown);
        b = std::make_unique<FakeEntry>(net, "b", 9);
        CHECK(verdict(*c) == Verdict::Unknown);
        CHECK(verdict(*b) == Verdict::Unknown);
    }
    SECTION("a large answer does not let the key run after the responsible entry changed")
    {
        net.responsible = {"c"};
        CHECK(verdict(*a) == Verdict::InProgress);
        b->client->settle(held, IdempotencyState::Finished, {200, "text/plain", "done", true});
        pass(100);
        CHECK(verdict(*a) == Verdict::Replay);
    }
}

TEST_CASE_METHOD(Fixture, "Faults of the store and the network do not give a key to two claims", "[orders]")
{
    SECTION("a swap whose answer is lost is settled by reading back")
    {
        a->store.faults.loseAnswers = 1;
        CHECK(verdict(*b) == Verdict::Run);
        CHECK(verdict(*c) == Verdict::InProgress);
    }
    SECTION("a swap that never took effect is repeated")
    {
        a->store.faults.forgetSwaps = 1;
        CHECK(verdict(*b) == Verdict::Run);
        CHECK(verdict(*c) == Verdict::InProgress);
    }
    SECTION("while the store is down a claim waits until its deadline; nothing stays recorded")
    {
        for (FakeEntry *entry : {a.get(), b.get(), c.get()}) {
            entry->store.faults.down = true;
        }
        const auto results = claim(*b, 1, 1000);
        pass(900);
        CHECK(results->empty());
        pass(150);
        REQUIRE(results->size() == 1);
        CHECK(results->front().verdict == Verdict::Busy);
        for (FakeEntry *entry : {a.get(), b.get(), c.get()}) {
            entry->store.faults.down = false;
        }
        pass(1000);
        CHECK(b->client->unsettled() == 0);
        CHECK(verdict(*c) == Verdict::Run);
    }
    SECTION("when the responsible entry does not answer, the claimant works on the shard itself")
    {
        net.drops = [](const EntryId &to, const wire::Envelope &) { return to.value == "a"; };
        CHECK(verdict(*b) == Verdict::Run);
        CHECK(verdict(*c) == Verdict::InProgress);
        CHECK(verdict(*a) == Verdict::InProgress);
    }
    SECTION("all entries claim one key at once, each responsible by its own view")
    {
        net.drops = [](const EntryId &, const wire::Envelope &) { return true; };
        std::vector<std::shared_ptr<std::vector<ClaimResult>>> all = {claim(*a), claim(*b), claim(*c)};
        pass(2100);
        int runs = 0;
        for (const auto &results : all) {
            REQUIRE(results->size() == 1);
            runs += results->front().verdict == Verdict::Run ? 1 : 0;
        }
        CHECK(runs == 1);
    }
    SECTION("a lost verdict: the claim is asked for again and given Run once")
    {
        int lost = 0;
        net.drops
            = [&](const EntryId &, const wire::Envelope &message) { return message.has_order_verdict() && lost++ < 1; };
        CHECK(verdict(*b) == Verdict::Run);
        CHECK(b->client->unsettled() == 1);
        CHECK(verdict(*c) == Verdict::InProgress);
    }
    SECTION("a verdict that comes after the deadline is not used, and the next claim may run")
    {
        std::vector<wire::Envelope> late;
        net.drops = [&](const EntryId &, const wire::Envelope &message) {
            if (message.has_order_verdict() && message.order_verdict().verdict() == "run") {
                late.push_back(message);
            }
            return message.has_order_verdict() || message.has_order_settle();
        };
        const auto results = claim(*b, 1, 100);
        pass(150);
        REQUIRE(results->size() == 1);
        CHECK(results->front().verdict == Verdict::Busy);
        REQUIRE(late.size() == 1);
        net.drops = [](const EntryId &, const wire::Envelope &) { return false; };
        b->handler(late.front());
        pass(1000);
        CHECK(b->client->unsettled() == 0);
        CHECK(verdict(*c) == Verdict::Run);
    }
}
