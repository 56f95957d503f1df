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
        run(20ms);
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
    }
}
