#include "entry_permits.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace briarvane;
using namespace std::chrono_literals;

namespace
{

/// Simulated network of entries in one process, with simulated time. Messages between two entries keep their order and
/// can be dropped.
struct Network
{
    struct Message
    {
        EntryId from;
        EntryId to;
        wire::Envelope content;
        TimePoint due;
    };
    TimePoint now{100s};
    boost::asio::io_context io;
    std::deque<Message> messages;
    std::function<bool(const Message &)> drop = [](const Message &) { return false; };
    Duration latency = 1ms;
    std::set<EntryId> running;  // entries whose heartbeats are received
    std::size_t requestsSent = 0;
};

struct FakeMembership
{
    Network &net;
    EntryId id;
    std::uint64_t start = 0;
    bool usable = true;
    std::set<EntryId> all;
    /// If set, heartbeats are received from these entries instead of Network::running.
    std::optional<std::set<EntryId>> receivedFrom;

    std::vector<EntryId> live(TimePoint) const
    {
        std::set<EntryId> found = receivedFrom.value_or(net.running);
        found.insert(id);
        return {found.begin(), found.end()};
    }
    const std::set<EntryId> &listed() const
    {
        return all;
    }
    EntryId responsible(std::string_view, TimePoint now) const
    {
        return live(now).front();
    }
    bool mayStartWork(TimePoint) const
    {
        return usable;
    }
    const EntryId &self() const
    {
        return id;
    }
    std::uint64_t startId() const
    {
        return start;
    }
};

struct FakePeers
{
    Network &net;
    EntryId id;
    std::uint64_t start = 0;
    std::vector<Peers::Handler> handlers;

    void onMessage(Peers::Handler handler)
    {
        handlers.push_back(std::move(handler));
    }
    void send(const EntryId &peer, wire::Envelope message)
    {
        message.set_sender(id.value);
        message.set_start_id(start);
        net.requestsSent += message.has_permit_request() ? 1 : 0;
        net.messages.push_back({id, peer, std::move(message), net.now + net.latency});
    }
};

struct FakeCluster
{
    Network &net;
    FakeMembership members;
    FakePeers link;

    FakeMembership &membership()
    {
        return members;
    }
    FakePeers &peers()
    {
        return link;
    }
    boost::asio::io_context &io()
    {
        return net.io;
    }
    TimePoint now() const
    {
        return net.now;
    }
};

struct Entry
{
    FakeCluster cluster;
    PermitExchange<FakeCluster> permits;

    Entry(Network &net, const std::string &name, std::uint64_t start, const std::set<EntryId> &all)
        : cluster{net, {net, EntryId{name}, start, true, all, std::nullopt}, {net, EntryId{name}, start, {}}}
        , permits(cluster)
    {
    }
};

/// What the callback of a permit request received.
struct PermitResult
{
    int calls = 0;
    std::optional<GrantedPermit> permit;
    std::optional<Error> error;
};

const PoolId Carts{"carts"};

struct Fixture
{
    Network net;
    std::map<EntryId, std::unique_ptr<Entry>> entries;
    std::uint64_t nextId = 1;

    Fixture()
    {
        const std::set<EntryId> all{{"a"}, {"b"}, {"c"}};
        net.running = all;
        for (const EntryId &id : all) {
            entries[id] = std::make_unique<Entry>(net, id.value, 7 + id.value[0], all);
        }
        configure({"i1", "i2"});
        run(60ms);  // until the responsible entry has queried the others for their permits
    }

    PermitExchange<FakeCluster> &at(const std::string &id)
    {
        return entries.at(EntryId{id})->permits;
    }
    FakeMembership &membership(const std::string &id)
    {
        return entries.at(EntryId{id})->cluster.members;
    }
    static PermitPool pool(const std::vector<std::string> &instances, int slots = 8)
    {
        PermitPool config{Carts, slots, {}, 2, {}, {}};
        for (const std::string &id : instances) {
            config.admitted.push_back({InstanceId{id}, "r"});
        }
        return config;
    }
    void configure(const std::vector<std::string> &instances, int slots = 8)
    {
        for (auto &[id, entry] : entries) {
            entry->permits.configurePools({pool(instances, slots)});
        }
    }
    RequestInfo info(Duration timeout = 20s)
    {
        return {nextId++, ServiceId{"orders"}, "/orders", TenantId{"t"}, RequestClass::Short, true,
                net.now,  net.now + timeout};
    }
    std::shared_ptr<PermitResult> requestPermit(const std::string &entry, const RequestInfo &request)
    {
        auto outcome = std::make_shared<PermitResult>();
        at(entry).request(Carts, request, {}, [outcome](Result<GrantedPermit> result) {
            ++outcome->calls;
            if (result) {
                outcome->permit = result.value();
            } else {
                outcome->error = result.error();
            }
        });
        return outcome;
    }
    std::shared_ptr<PermitResult> requestPermit(const std::string &entry)
    {
        return requestPermit(entry, info());
    }
    void stop(const std::string &id)
    {
        net.running.erase(EntryId{id});
        entries.erase(EntryId{id});
    }
    void run(Duration time)
    {
        const TimePoint end = net.now + time;
        while (net.now < end) {
            net.now += 1ms;
            const std::size_t count = net.messages.size();
            for (std::size_t index = 0; index < count; ++index) {
                Network::Message message = net.messages.front();
                net.messages.pop_front();
                if (message.due > net.now) {
                    net.messages.push_back(std::move(message));
                    continue;
                }
                const auto found = entries.find(message.to);
                if (found != entries.end() && !net.drop(message)) {
                    for (const auto &handler : found->second->cluster.link.handlers) {
                        handler(message.content);
                    }
                }
            }
            net.io.restart();
            net.io.poll();
            if (net.now.time_since_epoch() / 1ms % 25 == 0) {
                for (auto &[id, entry] : entries) {
                    entry->permits.tick();
                }
                net.io.restart();
                net.io.poll();
            }
        }
    }
    int inFlight(const std::string &instance)
    {
        int count = 0;
        for (auto &[id, entry] : entries) {
            const auto counts = entry->permits.inFlight();
            const auto found = counts.find(InstanceId{instance});
            count += found == counts.end() ? 0 : found->second;
        }
        return count;
    }
};

}

TEST_CASE("Permits are granted by the responsible entry", "[permits]")
{
    Fixture f;

    SECTION("an entry gets a permit from the responsible one, and its release frees the slot")
    {
        const RequestInfo request = f.info();
        const auto outcome = f.requestPermit("b", request);
        f.run(10ms);
        REQUIRE(outcome->permit);
        CHECK(f.at("a").router(Carts)->inService() == 1);
        f.at("b").release(*outcome->permit, request, UpstreamResult::ServerError, 5ms);
        f.run(10ms);
        CHECK(f.at("a").router(Carts)->inService() == 0);
        SECTION("a second release of the same use does not free the slot of another request")
        {
            const auto next = f.requestPermit("b");
            f.run(10ms);
            f.at("b").release(*outcome->permit, request, UpstreamResult::Completed, 5ms);
            f.run(10ms);
            CHECK(f.at("a").router(Carts)->inService() == 1);
        }
    }
    SECTION("at light load a permit is reused without a round trip, and released when it stays idle")
    {
        const RequestInfo first = f.info();
        const auto outcome = f.requestPermit("b", first);
        f.run(10ms);
        f.at("b").release(*outcome->permit, first, UpstreamResult::Completed, 5ms);
        const std::size_t sent = f.net.requestsSent;
        const RequestInfo second = f.info();
        const auto reused = f.requestPermit("b", second);
        f.net.io.restart();
        f.net.io.poll();
        REQUIRE(reused->permit);
        CHECK(f.net.requestsSent == sent);
        CHECK(f.inFlight("i1") + f.inFlight("i2") == 1);
        f.at("b").release(*reused->permit, second, UpstreamResult::Completed, 5ms);
        f.run(400ms);
        CHECK(f.at("a").router(Carts)->inService() == 0);
    }
    SECTION("no work starts with an outdated view, whether the view becomes outdated before or after the grant")
    {
        f.membership("b").usable = false;
        const auto before = f.requestPermit("b");
        f.run(5ms);
        REQUIRE(before->error);
        CHECK(before->error->code == ErrorCode::Unavailable);
        f.membership("b").usable = true;
        const auto after = f.requestPermit("b");
        f.membership("b").usable = false;
        f.run(20ms);
        REQUIRE(after->error);
        CHECK(after->error->code == ErrorCode::Unavailable);
        CHECK(f.at("a").router(Carts)->inService() == 0);
    }
    SECTION("an instance that the requester no longer admits gets no work, even if the responsible entry grants it")
    {
        f.at("b").configurePools({Fixture::pool({"i2"})});
        std::vector<std::shared_ptr<PermitResult>> outcomes;
        outcomes.reserve(6);
        for (int count = 0; count < 6; ++count) {
            outcomes.push_back(f.requestPermit("b"));
        }
        f.run(200ms);
        for (const auto &outcome : outcomes) {
            REQUIRE(outcome->permit);
            CHECK(outcome->permit->instance == InstanceId{"i2"});
        }
        CHECK(f.at("a").router(Carts)->inService(InstanceId{"i1"}) == 0);
    }
    SECTION("a request whose grant is lost is refused once, at its deadline")
    {
        f.net.drop = [](const Network::Message &message) { return message.content.has_permit_decision(); };
        const auto outcome = f.requestPermit("b", f.info(300ms));
        f.run(2s);
        REQUIRE(outcome->error);
        CHECK(outcome->error->code == ErrorCode::Refused);
        CHECK(outcome->error->message.starts_with("deadline"));
        CHECK(outcome->calls == 1);
    }
}

TEST_CASE("Lost and late messages neither leak a slot nor free one that is in use", "[permits]")
{
    Fixture f;

    SECTION("a permit that is granted after the cancellation is released, and the callback is not called")
    {
        const RequestInfo request = f.info();
        const auto outcome = f.requestPermit("b", request);
        f.run(1ms);  // the request has arrived, and the grant is under way
        f.net.drop = [](const Network::Message &message) { return message.content.has_permit_cancel(); };
        f.at("b").cancel(Carts, request.id);
        f.run(50ms);
        CHECK(outcome->calls == 0);
        CHECK(f.at("a").router(Carts)->inService() == 0);
    }
    SECTION("a lost grant is sent again, and a duplicate of it does not free the slot in use")
    {
        int lost = 0;
        std::uint64_t granted = 0;
        f.net.drop = [&](const Network::Message &message) {
            granted = message.content.has_permit_decision() ? message.content.permit_decision().permit_id() : granted;
            return message.content.has_permit_decision() && ++lost <= 1;
        };
        const auto outcome = f.requestPermit("b");
        f.run(1500ms);
        REQUIRE(outcome->permit);
        CHECK(lost == 2);
        wire::Envelope duplicate;
        duplicate.mutable_permit_decision()->set_request_id(1);
        duplicate.mutable_permit_decision()->set_pool("carts");
        duplicate.mutable_permit_decision()->set_permit_id(granted);
        duplicate.mutable_permit_decision()->set_instance("i1");
        f.entries.at(EntryId{"a"})->cluster.link.send(EntryId{"b"}, duplicate);
        f.run(50ms);
        CHECK(f.at("a").router(Carts)->inService() == 1);
        CHECK(outcome->calls == 1);
    }
    SECTION("after a lost release the slot is freed, because the holder's next report does not list the permit")
    {
        const RequestInfo request = f.info();
        const auto outcome = f.requestPermit("b", request);
        const auto other = f.requestPermit("b");  // stays in use and must keep its slot
        f.run(10ms);
        f.net.drop = [](const Network::Message &message) { return message.content.has_permit_release(); };
        f.at("b").release(*outcome->permit, request, UpstreamResult::Reset, 5ms);
        f.run(100ms);
        CHECK(f.at("a").router(Carts)->inService() == 2);
        f.run(5s);
        CHECK(f.at("a").router(Carts)->inService() == 1);
        CHECK(f.inFlight("i1") + f.inFlight("i2") == 1);
    }
    SECTION("without answers from the responsible entry only the static share is used, until it answers again")
    {
        f.net.drop = [](const Network::Message &message) {
            return message.from == EntryId{"a"} || message.to == EntryId{"a"};
        };
        for (int count = 0; count < 20; ++count) {
            f.requestPermit("b");
        }
        f.run(3s);
        CHECK(f.inFlight("i1") == 2);  // static share: 8 slots divided among 3 listed entries
        CHECK(f.inFlight("i2") == 2);
        f.net.drop = [](const Network::Message &) { return false; };
        f.run(3s);
        CHECK(f.at("b").router(Carts) == nullptr);
        CHECK(f.inFlight("i1") == 8);
        CHECK(f.at("a").router(Carts)->inService() == 16);
    }
    SECTION("an entry that reaches only a minority grants only its static share, because another one may grant as well")
    {
        f.membership("c").receivedFrom = std::set<EntryId>{};
        for (int count = 0; count < 20; ++count) {
            f.requestPermit("c");
        }
        f.run(2s);
        CHECK(f.inFlight("i1") == 2);
        CHECK(f.inFlight("i2") == 2);
    }
}

TEST_CASE("The loss of entries does not lead to more requests than slots", "[permits]")
{
    Fixture f;

    SECTION("the slots of a lost entry stay occupied while its work may run, and are freed by the work's deadline")
    {
        for (int count = 0; count < 20; ++count) {
            f.requestPermit("b", f.info(3s));
        }
        f.run(10ms);
        CHECK(f.at("a").router(Carts)->inService() == 16);
        f.stop("b");
        f.run(100ms);
        CHECK(f.at("a").router(Carts)->inService() == 16);
        CHECK(f.at("a").router(Carts)->queued() == 0);
        f.run(4s);
        CHECK(f.at("a").router(Carts)->inService() == 0);
    }
    SECTION("a new responsible entry grants nothing before the other entries have reported their permits")
    {
        std::vector<std::pair<RequestInfo, std::shared_ptr<PermitResult>>> held;
        for (int count = 0; count < 16; ++count) {
            const RequestInfo request = f.info();
            held.emplace_back(request, f.requestPermit("c", request));
        }
        f.run(10ms);
        const auto waitingAtB = f.requestPermit("b");
        const auto waitingAtC = f.requestPermit("c");
        f.run(10ms);
        f.stop("a");
        f.run(1200ms);
        REQUIRE(f.at("b").router(Carts));
        CHECK(f.at("b").router(Carts)->inService() == 16);
        CHECK(f.inFlight("i1") == 8);
        CHECK(waitingAtB->calls == 0);
        for (std::size_t index = 0; index < 2; ++index) {
            f.at("c").release(*held[index].second->permit, held[index].first, UpstreamResult::Completed, 1s);
        }
        f.run(20ms);
        CHECK(waitingAtB->permit);
        CHECK(waitingAtC->permit);
        CHECK(f.inFlight("i1") == 8);
    }
    SECTION("an entry that was only unreachable keeps the permits that it still reports")
    {
        const auto outcome = f.requestPermit("b");
        f.run(10ms);
        f.net.running.erase(EntryId{"b"});
        f.membership("b").receivedFrom = std::set<EntryId>{{"a"}, {"b"}, {"c"}};
        f.run(100ms);
        f.net.running.insert(EntryId{"b"});
        f.run(60s);
        CHECK(f.at("a").router(Carts)->inService() == 1);
    }
}

TEST_CASE("Random message losses and cancellations", "[permits]")
{
    // Guards against callbacks that are called twice, more requests than slots on an instance, and slots that are never
    // freed.
    for (const std::uint32_t seed : {1U, 2U, 3U, 4U}) {
        Fixture f;
        std::mt19937 random(seed);
        const auto chance = [&](int percent) { return static_cast<int>(random() % 100) < percent; };
        f.net.drop = [&](const Network::Message &) { return chance(3); };
        struct TestRequest
        {
            std::string entry;
            RequestInfo info;
            std::shared_ptr<PermitResult> outcome;
            bool cancelled = false;
            bool ended = false;
        };
        std::vector<TestRequest> requests;
        for (int step = 0; step < 2500; ++step) {
            if (chance(40)) {
                const std::string entry(1, static_cast<char>('a' + random() % 3));
                const RequestInfo request = f.info(1ms * (50 + random() % 3000));
                requests.push_back({entry, request, f.requestPermit(entry, request)});
            }
            f.run(1ms * (1 + random() % 4));
            for (TestRequest &request : requests) {
                if (request.ended) {
                    continue;
                }
                if (request.outcome->permit && chance(2)) {
                    f.at(request.entry)
                        .release(*request.outcome->permit, request.info, UpstreamResult::Completed, 20ms);
                    request.ended = true;
                } else if (!request.outcome->calls && !request.cancelled && chance(1)) {
                    f.at(request.entry).cancel(Carts, request.info.id);
                    request.cancelled = true;
                    request.ended = true;
                }
            }
            REQUIRE(f.inFlight("i1") <= 8);
            REQUIRE(f.inFlight("i2") <= 8);
        }
        f.net.drop = [](const Network::Message &) { return false; };
        f.run(4s);
        for (TestRequest &request : requests) {
            INFO("seed " << seed << " request " << request.info.id);
            REQUIRE(request.outcome->calls == (request.cancelled ? 0 : 1));
            if (request.outcome->permit && !request.ended) {
                f.at(request.entry).release(*request.outcome->permit, request.info, UpstreamResult::Completed, 20ms);
            }
        }
        f.run(15s);
        CHECK(f.at("a").router(Carts)->inService() == 0);
        CHECK(f.at("a").router(Carts)->queued() == 0);
    }
}
