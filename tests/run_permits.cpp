#include "entry_permits.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace briarvane;
using namespace std::chrono_literals;

namespace
{

/// Entries in one process with injected time; messages keep their order per pair and can be dropped.
struct Network
{
    struct Line
    {
        EntryId from;
        EntryId to;
        wire::Envelope message;
        TimePoint due;
    };
    TimePoint now{100s};
    boost::asio::io_context io;
    std::deque<Line> lines;
    std::function<bool(const Line &)> drop = [](const Line &) { return false; };
    Duration latency = 1ms;
    std::set<EntryId> running;  // whose heartbeats are heard
    std::size_t requestsSent = 0;
};

struct FakeMembership
{
    Network &net;
    EntryId id;
    std::uint64_t start = 0;
    bool usable = true;
    std::set<EntryId> all;
    std::optional<std::set<EntryId>> heard;  // instead of the running ones

    std::vector<EntryId> live(TimePoint) const
    {
        std::set<EntryId> found = heard.value_or(net.running);
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
        net.lines.push_back({id, peer, std::move(message), net.now + net.latency});
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

struct Answer
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
        run(60ms);  // until the responsible entry has asked the others for their permits
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
    std::shared_ptr<Answer> ask(const std::string &entry, const RequestInfo &request)
    {
        auto answer = std::make_shared<Answer>();
        at(entry).request(Carts, request, {}, [answer](Result<GrantedPermit> result) {
            ++answer->calls;
            if (result) {
                answer->permit = result.value();
            } else {
                answer->error = result.error();
            }
        });
        return answer;
    }
    std::shared_ptr<Answer> ask(const std::string &entry)
    {
        return ask(entry, info());
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
            const std::size_t count = net.lines.size();
            for (std::size_t index = 0; index < count; ++index) {
                Network::Line line = net.lines.front();
                net.lines.pop_front();
                if (line.due > net.now) {
                    net.lines.push_back(std::move(line));
                    continue;
                }
                const auto found = entries.find(line.to);
                if (found != entries.end() && !net.drop(line)) {
                    for (const auto &handler : found->second->cluster.link.handlers) {
                        handler(line.message);
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

    SECTION("an entry gets a permit from another one and the slot comes back with its release")
    {
        const RequestInfo request = f.info();
        const auto answer = f.ask("b", request);
        f.run(10ms);
        REQUIRE(answer->permit);
        CHECK(f.at("a").router(Carts)->inService() == 1);
        f.at("b").release(*answer->permit, request, UpstreamResult::ServerError, 5ms);
        f.run(10ms);
        CHECK(f.at("a").router(Carts)->inService() == 0);
        SECTION("and a second release of the same use frees nothing that another request holds")
        {
            const auto next = f.ask("b");
            f.run(10ms);
            f.at("b").release(*answer->permit, request, UpstreamResult::Completed, 5ms);
            f.run(10ms);
            CHECK(f.at("a").router(Carts)->inService() == 1);
        }
    }
    SECTION("at light load a kept permit saves the round trip, and is given back when it is not used")
    {
        const RequestInfo first = f.info();
        const auto answer = f.ask("b", first);
        f.run(10ms);
        f.at("b").release(*answer->permit, first, UpstreamResult::Completed, 5ms);
        const std::size_t sent = f.net.requestsSent;
        const RequestInfo second = f.info();
        const auto again = f.ask("b", second);
        f.net.io.restart();
        f.net.io.poll();
        REQUIRE(again->permit);
        CHECK(f.net.requestsSent == sent);
        CHECK(f.inFlight("i1") + f.inFlight("i2") == 1);
        f.at("b").release(*again->permit, second, UpstreamResult::Completed, 5ms);
        f.run(400ms);
        CHECK(f.at("a").router(Carts)->inService() == 0);
    }
    SECTION("a stale view starts no work, whether it is noticed before or after the grant")
    {
        f.membership("b").usable = false;
        const auto before = f.ask("b");
        f.run(5ms);
        REQUIRE(before->error);
        CHECK(before->error->code == ErrorCode::Unavailable);
        f.membership("b").usable = true;
        const auto after = f.ask("b");
        f.membership("b").usable = false;
        f.run(20ms);
        REQUIRE(after->error);
        CHECK(after->error->code == ErrorCode::Unavailable);
        CHECK(f.at("a").router(Carts)->inService() == 0);
    }
    SECTION("an instance that left the fleet in the asking entry's view gets no work from a granting entry that lags")
    {
        f.at("b").configurePools({Fixture::pool({"i2"})});
        std::vector<std::shared_ptr<Answer>> answers;
        answers.reserve(6);
        for (int count = 0; count < 6; ++count) {
            answers.push_back(f.ask("b"));
        }
        f.run(200ms);
        for (const auto &answer : answers) {
            REQUIRE(answer->permit);
            CHECK(answer->permit->instance == InstanceId{"i2"});
        }
        CHECK(f.at("a").router(Carts)->inService(InstanceId{"i1"}) == 0);
    }
    SECTION("a request that cannot be answered in time is refused once, also when the grant is lost")
    {
        f.net.drop = [](const Network::Line &line) { return line.message.has_permit_decision(); };
        const auto answer = f.ask("b", f.info(300ms));
        f.run(2s);
        REQUIRE(answer->error);
        CHECK(answer->error->code == ErrorCode::Refused);
        CHECK(answer->error->message.starts_with("deadline"));
        CHECK(answer->calls == 1);
    }
}

TEST_CASE("Lost and late messages", "[permits]")
{
    Fixture f;

    SECTION("a grant that comes after the cancellation is given back and the callback is not run")
    {
        const RequestInfo request = f.info();
        const auto answer = f.ask("b", request);
        f.run(1ms);  // the request has left, the grant is on its way
        f.net.drop = [](const Network::Line &line) { return line.message.has_permit_cancel(); };
        f.at("b").cancel(Carts, request.id);
        f.run(50ms);
        CHECK(answer->calls == 0);
        CHECK(f.at("a").router(Carts)->inService() == 0);
    }
    SECTION("a lost grant is sent again, and its copy does not free the slot in use")
    {
        int lost = 0;
        std::uint64_t granted = 0;
        f.net.drop = [&](const Network::Line &line) {
            granted = line.message.has_permit_decision() ? line.message.permit_decision().permit_id() : granted;
            return line.message.has_permit_decision() && ++lost <= 1;
        };
        const auto answer = f.ask("b");
        f.run(1500ms);
        REQUIRE(answer->permit);
        CHECK(lost == 2);
        wire::Envelope copy;
        copy.mutable_permit_decision()->set_request_id(1);
        copy.mutable_permit_decision()->set_pool("carts");
        copy.mutable_permit_decision()->set_permit_id(granted);
        copy.mutable_permit_decision()->set_instance("i1");
        f.entries.at(EntryId{"a"})->cluster.link.send(EntryId{"b"}, copy);
        f.run(50ms);
        CHECK(f.at("a").router(Carts)->inService() == 1);
        CHECK(answer->calls == 1);
    }
    SECTION("a lost release does not keep the slot: the holder is asked and no longer lists the permit")
    {
        const RequestInfo request = f.info();
        const auto answer = f.ask("b", request);
        const auto other = f.ask("b");  // stays in use and must keep its slot
        f.run(10ms);
        f.net.drop = [](const Network::Line &line) { return line.message.has_permit_release(); };
        f.at("b").release(*answer->permit, request, UpstreamResult::Reset, 5ms);
        f.run(100ms);
        CHECK(f.at("a").router(Carts)->inService() == 2);
        f.run(5s);
        CHECK(f.at("a").router(Carts)->inService() == 1);
        CHECK(f.inFlight("i1") + f.inFlight("i2") == 1);
    }
    SECTION("with no answer from the responsible entry only the static share is used, until it is heard again")
    {
        f.net.drop = [](const Network::Line &line) { return line.from == EntryId{"a"} || line.to == EntryId{"a"}; };
        for (int count = 0; count < 20; ++count) {
            f.ask("b");
        }
        f.run(3s);
        CHECK(f.inFlight("i1") == 2);  // 8 slots, 3 listed entries
        CHECK(f.inFlight("i2") == 2);
        f.net.drop = [](const Network::Line &) { return false; };
        f.run(3s);
        CHECK(f.at("b").router(Carts) == nullptr);
        CHECK(f.inFlight("i1") == 8);
        CHECK(f.at("a").router(Carts)->inService() == 16);
    }
    SECTION("an entry that hears only a minority does not grant all slots, because others may grant as well")
    {
        f.membership("c").heard = std::set<EntryId>{};
        for (int count = 0; count < 20; ++count) {
            f.ask("c");
        }
        f.run(2s);
        CHECK(f.inFlight("i1") == 2);
        CHECK(f.inFlight("i2") == 2);
    }
}

TEST_CASE("Loss of entries", "[permits]")
{
    Fixture f;

    SECTION("a lost entry's slots stay taken while its work may run, and are freed by its deadline")
    {
        for (int count = 0; count < 20; ++count) {
            f.ask("b", f.info(3s));
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
    SECTION("a new responsible entry grants nothing before it knows the permits of the others")
    {
        std::vector<std::pair<RequestInfo, std::shared_ptr<Answer>>> held;
        for (int count = 0; count < 16; ++count) {
            const RequestInfo request = f.info();
            held.emplace_back(request, f.ask("c", request));
        }
        f.run(10ms);
        const auto waitingAtB = f.ask("b");
        const auto waitingAtC = f.ask("c");
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
    SECTION("an entry that was only unreachable keeps the permits that it still lists")
    {
        const auto answer = f.ask("b");
        f.run(10ms);
        f.net.running.erase(EntryId{"b"});
        f.membership("b").heard = std::set<EntryId>{{"a"}, {"b"}, {"c"}};
        f.run(100ms);
        f.net.running.insert(EntryId{"b"});
        f.run(60s);
        CHECK(f.at("a").router(Carts)->inService() == 1);
    }
}

TEST_CASE("Random losses, cancellations and restarts", "[permits]")
{
    // Guards against double callbacks, slots above the limit and slots that never come back.
    for (const std::uint32_t seed : {1U, 2U, 3U, 4U}) {
        Fixture f;
        std::mt19937 random(seed);
        const auto chance = [&](int percent) { return static_cast<int>(random() % 100) < percent; };
        f.net.drop = [&](const Network::Line &) { return chance(3); };
        struct Job
        {
            std::string entry;
            RequestInfo info;
            std::shared_ptr<Answer> answer;
            bool cancelled = false;
            bool ended = false;
        };
        std::vector<Job> jobs;
        for (int step = 0; step < 2500; ++step) {
            if (chance(40)) {
                const std::string entry(1, static_cast<char>('a' + random() % 3));
                const RequestInfo request = f.info(1ms * (50 + random() % 3000));
                jobs.push_back({entry, request, f.ask(entry, request)});
            }
            f.run(1ms * (1 + random() % 4));
            for (Job &job : jobs) {
                if (job.ended) {
                    continue;
                }
                if (job.answer->permit && chance(2)) {
                    f.at(job.entry).release(*job.answer->permit, job.info, UpstreamResult::Completed, 20ms);
                    job.ended = true;
                } else if (!job.answer->calls && !job.cancelled && chance(1)) {
                    f.at(job.entry).cancel(Carts, job.info.id);
                    job.cancelled = true;
                    job.ended = true;
                }
            }
            REQUIRE(f.inFlight("i1") <= 8);
            REQUIRE(f.inFlight("i2") <= 8);
        }
        f.net.drop = [](const Network::Line &) { return false; };
        f.run(4s);
        for (Job &job : jobs) {
            INFO("seed " << seed << " request " << job.info.id);
            REQUIRE(job.answer->calls == (job.cancelled ? 0 : 1));
            if (job.answer->permit && !job.ended) {
                f.at(job.entry).release(*job.answer->permit, job.info, UpstreamResult::Completed, 20ms);
            }
        }
        f.run(15s);
        CHECK(f.at("a").router(Carts)->inService() == 0);
        CHECK(f.at("a").router(Carts)->queued() == 0);
    }
}
