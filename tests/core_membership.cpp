#include "membership.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <memory>

using namespace briarvane;

namespace
{

constexpr Duration Ms{1'000};
constexpr TimePoint Start{Duration{1'000'000'000}};

EntryId entryId(std::size_t index)
{
    return EntryId{"entry-" + std::to_string(index)};
}

/// Heartbeat of peer `index` that echoes heartbeat number `echo` of the entry under test.
EntryStatus heartbeatOf(std::size_t index, std::uint64_t round, std::uint64_t echo, std::uint64_t fleet = 0)
{
    EntryStatus status;
    status.id = entryId(index);
    status.startId = 100 + index;
    status.round = round;
    status.echo = echo;
    status.inForce["fleet"] = fleet;
    status.countedFleetVersion = fleet;
    return status;
}

/// Deterministic simulation of entries, which advances in time steps. The links of the entries to each other and to the
/// coordination service can be cut.
class Simulation
{
public:
    static constexpr Duration Step{100'000};
    static constexpr Duration LeaseTtl{5'000'000};

    explicit Simulation(std::size_t count)
        : m_links(count, std::vector<bool>(count, true))
        , m_reachesStore(count, true)
        , m_leases(count, Start + LeaseTtl)
        , m_versions(count, 1)
        , m_watchBegun(count, Start)
        , m_renewAt(count, Start)
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_entries.push_back(std::make_unique<Membership>(entryId(i), 100 + i, Start));
            m_entries[i]->setInForce("fleet", 1);
        }
    }

    std::size_t size() const
    {
        return m_entries.size();
    }
    Membership &at(std::size_t index)
    {
        return *m_entries[index];
    }
    TimePoint now() const
    {
        return m_now;
    }
    std::uint64_t version(std::size_t index) const
    {
        return m_versions[index];
    }
    void cut(std::vector<std::vector<bool>> links, std::vector<bool> reachesStore)
    {
        m_links = std::move(links);
        m_reachesStore = std::move(reachesStore);
    }
    bool reachesStore(std::size_t index) const
    {
        return m_reachesStore[index];
    }
    /// Entry `index` accepts a drain; returns the drain's fleet version.
    std::uint64_t acceptDrain(std::size_t index)
    {
        ++m_storeVersion;
        loadVersion(index);
        return m_storeVersion;
    }

    void step()
    {
        m_now += Step;
        ++m_steps;
        for (std::size_t i = 0; i < size(); ++i) {
            at(i).tick(m_now);
            callStore(i);
        }
        // Each entry sends heartbeats in every third step, neighbours in different steps. A message arrives in the step
        // in which it was sent.
        for (std::size_t i = 0; i < size(); ++i) {
            if ((m_steps + i) % 3 == 0) {
                sendHeartbeats(i);
            }
        }
    }

private:
    /// Puts the newest fleet version of the coordination service in force on the entry.
    void loadVersion(std::size_t index)
    {
        m_versions[index] = m_storeVersion;
        at(index).setInForce("fleet", m_storeVersion);
    }

    void callStore(std::size_t i)
    {
        if (!m_reachesStore[i]) {
            at(i).coordinationFailure(m_now);
            m_watchBegun[i] = m_now;
            return;
        }
        if (m_now >= m_renewAt[i]) {
            m_leases[i] = m_now + LeaseTtl;
            m_renewAt[i] = m_now + LeaseTtl / 3;
            at(i).registered(m_now + LeaseTtl);
        }
        if (m_now - m_watchBegun[i] >= 5 * Step || m_versions[i] < m_storeVersion) {
            std::set<EntryId> listed;
            for (std::size_t k = 0; k < size(); ++k) {
                if (m_leases[k] > m_now) {
                    listed.insert(entryId(k));
                }
            }
            at(i).setListed(listed, m_now, m_storeVersion);
            loadVersion(i);
            at(i).coordinationContact(m_watchBegun[i]);
            m_watchBegun[i] = m_now;
        }
    }

    void sendHeartbeats(std::size_t from)
    {
        Membership &sender = at(from);
        const std::uint64_t round = m_steps;
        sender.heartbeatSent(round, m_now);
        EntryStatus status = *sender.entry(sender.self());
        status.round = round;
        status.coordinationDown = sender.coordinationDown(m_now);
        for (const EntryId &id : sender.live(m_now)) {
            status.receivedFrom.insert(id);
        }
        for (std::size_t to = 0; to < size(); ++to) {
            if (to == from || !m_links[from][to]) {
                continue;
            }
            const EntryStatus *receiver = sender.entry(entryId(to));
            status.echo = receiver ? receiver->round : 0;
            at(to).heartbeat(status, std::min(sender.coordinationContactAge(m_now), 2 * ViewTimeout), m_now);
            // If the link back works, the receiver sends its newer fleet version to a sender with an older one.
            if (m_versions[to] > m_versions[from] && m_links[to][from]) {
                m_versions[from] = m_versions[to];
                sender.setInForce("fleet", m_versions[to]);
            }
        }
    }

    std::vector<std::unique_ptr<Membership>> m_entries;
    std::vector<std::vector<bool>> m_links;  // m_links[from][to]: messages of entry `from` reach entry `to`
    std::vector<bool> m_reachesStore;
    std::vector<TimePoint> m_leases;
    std::vector<std::uint64_t> m_versions;
    std::vector<TimePoint> m_watchBegun;
    std::vector<TimePoint> m_renewAt;
    TimePoint m_now = Start;
    std::uint64_t m_storeVersion = 1;
    std::uint64_t m_steps = 0;
};

std::vector<std::vector<bool>> arbitraryLinks(std::size_t count)
{
    // Network partitions separate groups of entries. In some cases single links also fail in one direction.
    const auto groups = *rc::gen::container<std::vector<int>>(count, rc::gen::inRange(0, 3));
    std::vector<std::vector<bool>> links(count, std::vector<bool>(count, true));
    const int failing = *rc::gen::inRange(0, 3);
    for (std::size_t from = 0; from < count; ++from) {
        for (std::size_t to = 0; to < count; ++to) {
            links[from][to] = groups[from] == groups[to] && !(failing == 0 && *rc::gen::inRange(0, 5) == 0);
        }
    }
    return links;
}

}

TEST_CASE("The view is usable only while it is known to be recent", "[membership]")
{
    Membership membership(entryId(0), 7, Start);
    TimePoint now = Start + 10 * Ms;
    membership.tick(now);
    CHECK(membership.viewState(now) == ViewState::Isolated);
    membership.setListed({entryId(0)}, now);
    membership.registered(now + 60'000 * Ms);
    membership.coordinationContact(now);
    REQUIRE(membership.viewState(now) == ViewState::Usable);

    const auto advance = [&](Duration time) {
        for (const TimePoint end = now + time; now < end;) {
            now = std::min(end, now + 100 * Ms);
            membership.tick(now);
        }
    };

    SECTION("without contact no work starts after ViewTimeout")
    {
        advance(ViewTimeout - Ms);
        CHECK(membership.mayStartWork(now));
        advance(Ms);
        CHECK_FALSE(membership.mayStartWork(now));
    }
    SECTION("the age of an answer of the coordination service counts from the start of its call, even if it waited in "
            "a socket")
    {
        advance(ViewTimeout);
        membership.coordinationContact(now - ViewTimeout);
        CHECK_FALSE(membership.mayStartWork(now));
    }
    SECTION("after a pause no work starts until there is a contact that began after the pause")
    {
        now += 1'500 * Ms;
        CHECK(membership.viewState(now) == ViewState::Paused);  // tick() has not detected the pause yet
        membership.tick(now);
        CHECK(membership.viewState(now) == ViewState::Paused);
        membership.coordinationContact(now - 500 * Ms);  // a call that began during the pause
        CHECK(membership.viewState(now) == ViewState::Paused);
        membership.coordinationContact(now);
        CHECK(membership.viewState(now) == ViewState::Usable);
    }
    SECTION("an entry with a lapsed lease that reaches no other entry starts no work until it is registered again")
    {
        membership.registered(now + 100 * Ms);
        advance(100 * Ms);
        membership.coordinationContact(now);
        CHECK_FALSE(membership.mayStartWork(now));
        membership.registered(now + 5'000 * Ms);
        CHECK(membership.mayStartWork(now));
    }
    SECTION("a peer's contact to the coordination service")
    {
        membership.setListed({entryId(0), entryId(1)}, now);
        membership.setInForce("fleet", 4);
        advance(2'500 * Ms);
        membership.heartbeatSent(9, now);
        const TimePoint sent = now;
        advance(400 * Ms);
        SECTION("renews the view, with an age counted from the sending of the echoed heartbeat")
        {
            membership.heartbeat(heartbeatOf(1, 5, 9, 4), 200 * Ms, now);
            CHECK(membership.coordinationContactAge(now) == now - sent + 200 * Ms);
            advance(400 * Ms);
            CHECK(membership.mayStartWork(now));
        }
        SECTION("does not count without an echo, because the message may have waited in a queue")
        {
            membership.heartbeat(heartbeatOf(1, 5, 0, 4), 200 * Ms, now);
            advance(400 * Ms);
            CHECK_FALSE(membership.mayStartWork(now));
        }
        SECTION("does not count while the peer has a newer version than this entry")
        {
            membership.heartbeat(heartbeatOf(1, 5, 9, 5), 200 * Ms, now);
            advance(400 * Ms);
            CHECK_FALSE(membership.mayStartWork(now));
            membership.setInForce("fleet", 5);
            membership.heartbeatSent(10, now);
            membership.heartbeat(heartbeatOf(1, 6, 10, 5), 200 * Ms, now);
            CHECK(membership.mayStartWork(now));
        }
        SECTION("does not end a pause if the echoed heartbeat was sent before the pause")
        {
            now += 1'500 * Ms;
            membership.heartbeat(heartbeatOf(1, 5, 9, 4), Duration{0}, now);
            CHECK(membership.viewState(now) == ViewState::Paused);
            membership.heartbeatSent(10, now);
            membership.heartbeat(heartbeatOf(1, 6, 10, 4), Duration{0}, now);
            CHECK(membership.viewState(now) == ViewState::Usable);
        }
    }
    SECTION("an outage of the coordination service")
    {
        membership.setListed({entryId(0), entryId(1), entryId(2), entryId(3)}, now);
        advance(ViewTimeout);
        membership.coordinationFailure(now);
        membership.heartbeatSent(9, now);
        EntryStatus status = heartbeatOf(1, 5, 9);
        status.coordinationDown = true;
        SECTION("work goes on if half of the entries are reachable and none of these reaches the coordination service")
        {
            CHECK_FALSE(membership.mayStartWork(now));
            membership.heartbeat(status, 2 * ViewTimeout, now);
            CHECK(membership.viewState(now) == ViewState::CoordinationOutage);
            CHECK_FALSE(membership.mayAcceptDrain(now));
        }
        SECTION("work stops when one of them reaches the coordination service, because a drain may be accepted there")
        {
            status.coordinationDown = false;
            membership.heartbeat(status, 2 * ViewTimeout, now);
            CHECK_FALSE(membership.mayStartWork(now));
        }
        SECTION("work stops when one of them has a newer version, which may be a drain")
        {
            status.inForce["fleet"] = 1;
            membership.heartbeat(status, 2 * ViewTimeout, now);
            CHECK_FALSE(membership.mayStartWork(now));
        }
        SECTION("an entry that was never registered starts no work, because it is no voter for other entries")
        {
            Membership started(entryId(5), 8, now);
            started.setListed({entryId(1)}, now);
            started.coordinationFailure(now);
            started.heartbeatSent(9, now);
            started.heartbeat(status, 2 * ViewTimeout, now);
            CHECK_FALSE(started.mayStartWork(now));
        }
        SECTION("a lapsed entry that announced no stop may still work, so it votes until the instance list omits it")
        {
            membership.setListed({entryId(0), entryId(1)}, now);
            membership.heartbeat(status, 2 * ViewTimeout, now);
            CHECK_FALSE(membership.mayAcceptDrain(now));
            membership.setPresent({entryId(0), entryId(1), entryId(2), entryId(3)});
            CHECK_FALSE(membership.mayAcceptDrain(now));
            membership.setPresent({entryId(0), entryId(1), entryId(3)});
            CHECK(membership.mayAcceptDrain(now));
        }
    }
}

TEST_CASE("Entries that block drains, and responsibilities", "[membership]")
{
    Membership membership(entryId(0), 7, Start);
    const TimePoint now = Start;
    membership.setListed({entryId(0), entryId(1), entryId(2)}, now, 10);
    membership.setInForce("fleet", 5);
    membership.heartbeatSent(1, now);
    membership.heartbeat(heartbeatOf(1, 1, 1, 5), Duration{0}, now);
    const InstanceId instance{"i-1"};

    SECTION("a listed entry without any heartbeat blocks a drain, so that its requests are not cut off")
    {
        CHECK(membership.drainBlockers(instance, 5, now) == std::vector{entryId(2)});
        CHECK(membership.unconfirmed("fleet", 5, now) == std::vector{entryId(2)});
    }
    SECTION("requests in flight block a drain")
    {
        EntryStatus busy = heartbeatOf(2, 1, 1, 5);
        busy.draining[instance] = 1;
        membership.heartbeat(busy, Duration{0}, now);
        CHECK(membership.drainBlockers(instance, 5, now) == std::vector{entryId(2)});
        membership.heartbeat(heartbeatOf(2, 2, 1, 5), Duration{0}, now);
        CHECK(membership.drainBlockers(instance, 5, now).empty());
    }
    SECTION("an older heartbeat that arrives after a newer one is ignored")
    {
        membership.heartbeat(heartbeatOf(2, 7, 1, 5), Duration{0}, now);
        EntryStatus late = heartbeatOf(2, 6, 1, 5);
        late.draining[instance] = 1;
        membership.heartbeat(late, Duration{0}, now);
        CHECK(membership.drainBlockers(instance, 5, now).empty());
    }
    SECTION("while most voters are unreachable, the unreachable ones block a drain, as lapsed entries may still work")
    {
        membership.setListed({entryId(0)}, now, 10);
        membership.heartbeat(heartbeatOf(1, 2, 1, 5), Duration{0}, now);
        CHECK(membership.drainBlockers(instance, 5, now) == std::vector{entryId(2)});
        const TimePoint later = now + LiveTimeout;
        CHECK(membership.drainBlockers(instance, 5, later) == std::vector{entryId(1), entryId(2)});
    }
    SECTION("a lapsed entry may be paused in a request, so it blocks a drain until the instance list omits it")
    {
        membership.setListed({entryId(0), entryId(1)}, now, 10);
        membership.setPresent({entryId(0), entryId(1), entryId(2)});
        CHECK(membership.drainBlockers(instance, 5, now) == std::vector{entryId(2)});
        membership.setPresent({entryId(0), entryId(1)});
        CHECK(membership.drainBlockers(instance, 5, now).empty());
    }
    SECTION("an entry that announced its stop is no voter, whether its removal or the announcement is received first")
    {
        EntryStatus stopping = heartbeatOf(2, 1, 1, 5);
        stopping.stopping = true;
        const bool announcedFirst = GENERATE(true, false);
        if (announcedFirst) {
            membership.heartbeat(stopping, Duration{0}, now);
        }
        membership.setListed({entryId(0), entryId(1)}, now, 10);
        if (!announcedFirst) {
            membership.heartbeat(stopping, Duration{0}, now);
        }
        CHECK(membership.voters(now) == std::set{entryId(0), entryId(1)});
    }
    SECTION("a count of requests that was made under an older fleet version blocks the drain")
    {
        EntryStatus outdated = heartbeatOf(2, 1, 1, 5);
        outdated.countedFleetVersion = 4;
        membership.heartbeat(outdated, Duration{0}, now);
        CHECK(membership.drainBlockers(instance, 5, now) == std::vector{entryId(2)});
        membership.setDraining({});
        membership.setInForce("fleet", 6);
        CHECK(membership.entry(entryId(0))->countedFleetVersion == 5);
        membership.setDraining({});
        CHECK(membership.entry(entryId(0))->countedFleetVersion == 6);
    }
    SECTION("a list of entries that is older than the drain blocks it, as a new entry may be missing in the list")
    {
        membership.heartbeat(heartbeatOf(2, 1, 1, 12), Duration{0}, now);
        membership.heartbeat(heartbeatOf(1, 2, 1, 12), Duration{0}, now);
        membership.setInForce("fleet", 12);
        CHECK(membership.drainBlockers(instance, 12, now) == std::vector{entryId(0)});
        membership.setListed({entryId(0), entryId(1), entryId(2)}, now, 12);
        CHECK(membership.drainBlockers(instance, 12, now).empty());
    }
    SECTION("an entry that is reachable only for a peer blocks a drain, because it may work with a lapsed lease")
    {
        EntryStatus status = heartbeatOf(2, 1, 1, 5);
        status.receivedFrom = {entryId(3)};
        membership.heartbeat(status, Duration{0}, now);
        CHECK(membership.drainBlockers(instance, 5, now) == std::vector{entryId(3)});
    }
    SECTION("only the responsibilities of entries that stop or are no longer live move to other entries")
    {
        membership.heartbeat(heartbeatOf(2, 1, 1, 5), Duration{0}, now);
        EntryStatus stopping = heartbeatOf(2, 2, 1, 5);
        stopping.stopping = true;
        std::map<std::string, EntryId> before;
        for (int i = 0; i < 100; ++i) {
            before["duty-" + std::to_string(i)] = membership.responsible("duty-" + std::to_string(i), now);
        }
        membership.heartbeat(stopping, Duration{0}, now);
        for (const auto &[responsibility, owner] : before) {
            const EntryId after = membership.responsible(responsibility, now);
            CHECK(after != entryId(2));
            CHECK((owner == entryId(2) || after == owner));
        }
        CHECK(membership.responsible("duty-0", now + LiveTimeout) == entryId(0));
    }
}

TEST_CASE("Drains stay safe in network partitions", "[membership]")
{
    SECTION("an entry that works through an outage reaches an entry of every majority that may accept a drain")
    {
        rc::check([] {
            Simulation simulation(static_cast<std::size_t>(*rc::gen::inRange(1, 8)));
            for (int i = 0; i < 30; ++i) {
                simulation.step();
            }
            bool outageSeen = false;
            for (int phase = 0; phase < 2; ++phase) {
                simulation.cut(arbitraryLinks(simulation.size()),
                               *rc::gen::container<std::vector<bool>>(simulation.size(), rc::gen::arbitrary<bool>()));
                const int steps = *rc::gen::inRange(1, 90);
                for (int i = 0; i < steps; ++i) {
                    simulation.step();
                    for (std::size_t workingEntry = 0; workingEntry < simulation.size(); ++workingEntry) {
                        if (simulation.at(workingEntry).viewState(simulation.now()) != ViewState::CoordinationOutage) {
                            continue;
                        }
                        outageSeen = true;
                        const std::set<EntryId> reachable
                            = simulation.at(workingEntry).mutuallyReachable(simulation.now());
                        for (std::size_t other = 0; other < simulation.size(); ++other) {
                            if (simulation.reachesStore(other)
                                && simulation.at(other).mayAcceptDrain(simulation.now())) {
                                const std::set<EntryId> majority
                                    = simulation.at(other).mutuallyReachable(simulation.now());
                                RC_ASSERT(std::any_of(reachable.begin(), reachable.end(),
                                                      [&](const EntryId &id) { return majority.contains(id); }));
                            }
                        }
                    }
                }
            }
            RC_CLASSIFY(outageSeen, "worked through an outage");
        });
    }
    SECTION("once no entry blocks a drain, no entry with an older fleet version may start work")
    {
        rc::check([] {
            Simulation simulation(static_cast<std::size_t>(*rc::gen::inRange(2, 8)));
            for (int i = 0; i < 30; ++i) {
                simulation.step();
            }
            std::uint64_t drain = 0;
            bool unblocked = false;
            bool olderSeen = false;
            const int phases = *rc::gen::inRange(1, 5);
            for (int phase = 0; phase < phases; ++phase) {
                simulation.cut(arbitraryLinks(simulation.size()),
                               *rc::gen::container<std::vector<bool>>(simulation.size(), rc::gen::arbitrary<bool>()));
                const int steps = *rc::gen::inRange(1, 90);
                const int acceptAt = *rc::gen::inRange(0, 20);
                for (int i = 0; i < steps; ++i) {
                    simulation.step();
                    for (std::size_t acceptor = 0; acceptor < simulation.size(); ++acceptor) {
                        if (i >= acceptAt && drain == 0 && simulation.reachesStore(acceptor)
                            && simulation.at(acceptor).mayAcceptDrain(simulation.now())) {
                            drain = simulation.acceptDrain(acceptor);
                        }
                    }
                    for (std::size_t observer = 0; drain != 0 && observer < simulation.size(); ++observer) {
                        unblocked = unblocked
                            || (simulation.reachesStore(observer)
                                && simulation.at(observer)
                                       .drainBlockers(InstanceId{"i"}, drain, simulation.now())
                                       .empty());
                    }
                    for (std::size_t workingEntry = 0; unblocked && workingEntry < simulation.size(); ++workingEntry) {
                        if (simulation.version(workingEntry) < drain) {
                            olderSeen = true;
                            RC_ASSERT_FALSE(simulation.at(workingEntry).mayStartWork(simulation.now()));
                        }
                    }
                }
            }
            RC_CLASSIFY(unblocked, "drain unblocked");
            RC_CLASSIFY(olderSeen, "drain unblocked while an entry had an older fleet version");
        });
    }
}
