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

/// A peer's heartbeat that echoes `echo` of our rounds.
EntryStatus heartbeatOf(std::size_t index, std::uint64_t round, std::uint64_t echo, std::uint64_t fleet = 0)
{
    EntryStatus status;
    status.id = entryId(index);
    status.startId = 100 + index;
    status.round = round;
    status.echo = echo;
    status.inForce["fleet"] = fleet;
    status.countedFleet = fleet;
    return status;
}

/// Entries with links and a store that can be cut, stepped in time; deterministic.
class Simulation
{
public:
    static constexpr Duration Step{100'000};
    static constexpr Duration LeaseTtl{5'000'000};

    explicit Simulation(std::size_t count)
        : m_links(count, std::vector<bool>(count, true))
        , m_storeReach(count, true)
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
    void cut(std::vector<std::vector<bool>> links, std::vector<bool> storeReach)
    {
        m_links = std::move(links);
        m_storeReach = std::move(storeReach);
    }
    bool reachesStore(std::size_t index) const
    {
        return m_storeReach[index];
    }
    /// A drain, accepted by this entry.
    std::uint64_t commit(std::size_t index)
    {
        ++m_storeVersion;
        adopt(index);
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
        // Entries heartbeat in different steps; a message takes less than a step.
        for (std::size_t i = 0; i < size(); ++i) {
            if ((m_steps + i) % 3 == 0) {
                sendHeartbeats(i);
            }
        }
    }

private:
    void adopt(std::size_t index)
    {
        m_versions[index] = m_storeVersion;
        at(index).setInForce("fleet", m_storeVersion);
    }

    void callStore(std::size_t i)
    {
        if (!m_storeReach[i]) {
            at(i).storeFailure(m_now);
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
            adopt(i);
            at(i).storeContact(m_watchBegun[i]);
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
        status.storeDown = sender.storeDown(m_now);
        for (const EntryId &id : sender.live(m_now)) {
            status.heard.insert(id);
        }
        for (std::size_t to = 0; to < size(); ++to) {
            if (to == from || !m_links[from][to]) {
                continue;
            }
            const EntryStatus *known = sender.entry(entryId(to));
            status.echo = known ? known->round : 0;
            at(to).heartbeat(status, std::min(sender.storeContactAge(m_now), 2 * ViewTimeout), m_now);
            // The receiver sends a lagging sender what it lacks, when that link works.
            if (m_versions[to] > m_versions[from] && m_links[to][from]) {
                m_versions[from] = m_versions[to];
                sender.setInForce("fleet", m_versions[to]);
            }
        }
    }

    std::vector<std::unique_ptr<Membership>> m_entries;
    std::vector<std::vector<bool>> m_links;  // from, to
    std::vector<bool> m_storeReach;
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
    // Groups, as a partition makes them, and single links that fail in one direction.
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

TEST_CASE("The view is usable only as long as it is known to be fresh", "[membership]")
{
    Membership membership(entryId(0), 7, Start);
    TimePoint now = Start + 10 * Ms;
    membership.tick(now);
    CHECK(membership.viewState(now) == ViewState::Isolated);
    membership.setListed({entryId(0)}, now);
    membership.registered(now + 60'000 * Ms);
    membership.storeContact(now);
    REQUIRE(membership.viewState(now) == ViewState::Usable);

    const auto pass = [&](Duration time) {
        for (const TimePoint end = now + time; now < end;) {
            now = std::min(end, now + 100 * Ms);
            membership.tick(now);
        }
    };

    SECTION("without contact it ends at the bound on new work for a leaving instance")
    {
        pass(ViewTimeout - Ms);
        CHECK(membership.mayStartWork(now));
        pass(Ms);
        CHECK_FALSE(membership.mayStartWork(now));
    }
    SECTION("an answer that waited in a socket counts from the start of its call")
    {
        pass(ViewTimeout);
        membership.storeContact(now - ViewTimeout);
        CHECK_FALSE(membership.mayStartWork(now));
    }
    SECTION("after a pause no work starts before a contact made after the pause")
    {
        now += 1'500 * Ms;
        CHECK(membership.viewState(now) == ViewState::Paused);  // before the first tick
        membership.tick(now);
        CHECK(membership.viewState(now) == ViewState::Paused);
        membership.storeContact(now - 500 * Ms);  // a call that began during the pause
        CHECK(membership.viewState(now) == ViewState::Paused);
        membership.storeContact(now);
        CHECK(membership.viewState(now) == ViewState::Usable);
    }
    SECTION("an entry with a lapsed lease that hears nobody waits for its registration")
    {
        membership.registered(now + 100 * Ms);
        pass(100 * Ms);
        membership.storeContact(now);
        CHECK_FALSE(membership.mayStartWork(now));
        membership.registered(now + 5'000 * Ms);
        CHECK(membership.mayStartWork(now));
    }
    SECTION("a peer's contact with the store")
    {
        membership.setListed({entryId(0), entryId(1)}, now);
        membership.setInForce("fleet", 4);
        pass(2'500 * Ms);
        membership.heartbeatSent(9, now);
        const TimePoint sent = now;
        pass(400 * Ms);
        SECTION("renews the view, with an age counted from our echoed heartbeat")
        {
            membership.heartbeat(heartbeatOf(1, 5, 9, 4), 200 * Ms, now);
            CHECK(membership.storeContactAge(now) == now - sent + 200 * Ms);
            pass(400 * Ms);
            CHECK(membership.mayStartWork(now));
        }
        SECTION("does not count without an echo: the message may have waited in a queue")
        {
            membership.heartbeat(heartbeatOf(1, 5, 0, 4), 200 * Ms, now);
            pass(400 * Ms);
            CHECK_FALSE(membership.mayStartWork(now));
        }
        SECTION("does not count when the peer has a newer version, which this entry has yet to get")
        {
            membership.heartbeat(heartbeatOf(1, 5, 9, 5), 200 * Ms, now);
            pass(400 * Ms);
            CHECK_FALSE(membership.mayStartWork(now));
            membership.setInForce("fleet", 5);
            membership.heartbeatSent(10, now);
            membership.heartbeat(heartbeatOf(1, 6, 10, 5), 200 * Ms, now);
            CHECK(membership.mayStartWork(now));
        }
        SECTION("that was echoed before a pause does not end the pause")
        {
            now += 1'500 * Ms;
            membership.heartbeat(heartbeatOf(1, 5, 9, 4), Duration{0}, now);
            CHECK(membership.viewState(now) == ViewState::Paused);
            membership.heartbeatSent(10, now);
            membership.heartbeat(heartbeatOf(1, 6, 10, 4), Duration{0}, now);
            CHECK(membership.viewState(now) == ViewState::Usable);
        }
    }
    SECTION("a store outage")
    {
        membership.setListed({entryId(0), entryId(1), entryId(2), entryId(3)}, now);
        pass(ViewTimeout);
        membership.storeFailure(now);
        membership.heartbeatSent(9, now);
        EntryStatus status = heartbeatOf(1, 5, 9);
        status.storeDown = true;
        SECTION("with half of the entries, all of whose calls fail, work goes on")
        {
            CHECK_FALSE(membership.mayStartWork(now));
            membership.heartbeat(status, 2 * ViewTimeout, now);
            CHECK(membership.viewState(now) == ViewState::StoreOutage);
            CHECK_FALSE(membership.mayAcceptDrain(now));
        }
        SECTION("work stops when one of them reaches the store: a drain may be accepted there")
        {
            status.storeDown = false;
            membership.heartbeat(status, 2 * ViewTimeout, now);
            CHECK_FALSE(membership.mayStartWork(now));
        }
        SECTION("work stops when one of them has a newer version, which may be a drain")
        {
            status.inForce["fleet"] = 1;
            membership.heartbeat(status, 2 * ViewTimeout, now);
            CHECK_FALSE(membership.mayStartWork(now));
        }
        SECTION("an entry that was never registered does not work: whoever accepts drains does not know it")
        {
            Membership started(entryId(5), 8, now);
            started.setListed({entryId(1)}, now);
            started.storeFailure(now);
            started.heartbeatSent(9, now);
            started.heartbeat(status, 2 * ViewTimeout, now);
            CHECK_FALSE(started.mayStartWork(now));
        }
        SECTION("an entry that lapsed without announcing a stop still counts: it may be working elsewhere")
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

TEST_CASE("Drains and duties", "[membership]")
{
    Membership membership(entryId(0), 7, Start);
    const TimePoint now = Start;
    membership.setListed({entryId(0), entryId(1), entryId(2)}, now, 10);
    membership.setInForce("fleet", 5);
    membership.heartbeatSent(1, now);
    membership.heartbeat(heartbeatOf(1, 1, 1, 5), Duration{0}, now);
    const InstanceId instance{"i-1"};

    SECTION("a listed entry that was never heard holds a drain, so that its requests are not cut off")
    {
        CHECK(membership.drainHolders(instance, 5, now) == std::vector{entryId(2)});
        CHECK(membership.unconfirmed("fleet", 5, now) == std::vector{entryId(2)});
    }
    SECTION("requests in flight hold a drain")
    {
        EntryStatus busy = heartbeatOf(2, 1, 1, 5);
        busy.draining[instance] = 1;
        membership.heartbeat(busy, Duration{0}, now);
        CHECK(membership.drainHolders(instance, 5, now) == std::vector{entryId(2)});
        membership.heartbeat(heartbeatOf(2, 2, 1, 5), Duration{0}, now);
        CHECK(membership.drainHolders(instance, 5, now).empty());
    }
    SECTION("an older heartbeat that comes late does not undo a newer one")
    {
        membership.heartbeat(heartbeatOf(2, 7, 1, 5), Duration{0}, now);
        EntryStatus late = heartbeatOf(2, 6, 1, 5);
        late.draining[instance] = 1;
        membership.heartbeat(late, Duration{0}, now);
        CHECK(membership.drainHolders(instance, 5, now).empty());
    }
    SECTION("without most voters, those that lapsed hold a drain: nobody would tell that they still work")
    {
        membership.setListed({entryId(0)}, now, 10);
        membership.heartbeat(heartbeatOf(1, 2, 1, 5), Duration{0}, now);
        CHECK(membership.drainHolders(instance, 5, now) == std::vector{entryId(2)});
        const TimePoint later = now + LiveTimeout;
        CHECK(membership.drainHolders(instance, 5, later) == std::vector{entryId(1), entryId(2)});
    }
    SECTION("an entry that lapsed holds a drain until the platform's list shows it gone: it may be paused in a request")
    {
        membership.setListed({entryId(0), entryId(1)}, now, 10);
        membership.setPresent({entryId(0), entryId(1), entryId(2)});
        CHECK(membership.drainHolders(instance, 5, now) == std::vector{entryId(2)});
        membership.setPresent({entryId(0), entryId(1)});
        CHECK(membership.drainHolders(instance, 5, now).empty());
    }
    SECTION("an entry that announced its stop no longer counts, whether its removal or the announcement is seen first")
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
    SECTION("a count made under an older fleet version does not know of the drain")
    {
        EntryStatus early = heartbeatOf(2, 1, 1, 5);
        early.countedFleet = 4;
        membership.heartbeat(early, Duration{0}, now);
        CHECK(membership.drainHolders(instance, 5, now) == std::vector{entryId(2)});
        membership.setDraining({});
        membership.setInForce("fleet", 6);
        CHECK(membership.entry(entryId(0))->countedFleet == 5);
        membership.setDraining({});
        CHECK(membership.entry(entryId(0))->countedFleet == 6);
    }
    SECTION("an entry that registered after the list was read may be missing: the list must be as new as the drain")
    {
        membership.heartbeat(heartbeatOf(2, 1, 1, 12), Duration{0}, now);
        membership.heartbeat(heartbeatOf(1, 2, 1, 12), Duration{0}, now);
        membership.setInForce("fleet", 12);
        CHECK(membership.drainHolders(instance, 12, now) == std::vector{entryId(0)});
        membership.setListed({entryId(0), entryId(1), entryId(2)}, now, 12);
        CHECK(membership.drainHolders(instance, 12, now).empty());
    }
    SECTION("an entry that only a peer hears holds a drain: it may work with a lapsed lease")
    {
        EntryStatus status = heartbeatOf(2, 1, 1, 5);
        status.heard = {entryId(3)};
        membership.heartbeat(status, Duration{0}, now);
        CHECK(membership.drainHolders(instance, 5, now) == std::vector{entryId(3)});
    }
    SECTION("duties move away from entries that stop or fall silent, and only those move")
    {
        membership.heartbeat(heartbeatOf(2, 1, 1, 5), Duration{0}, now);
        EntryStatus stopping = heartbeatOf(2, 2, 1, 5);
        stopping.stopping = true;
        std::map<std::string, EntryId> before;
        for (int i = 0; i < 100; ++i) {
            before["duty-" + std::to_string(i)] = membership.responsible("duty-" + std::to_string(i), now);
        }
        membership.heartbeat(stopping, Duration{0}, now);
        for (const auto &[duty, holder] : before) {
            const EntryId after = membership.responsible(duty, now);
            CHECK(after != entryId(2));
            CHECK((holder == entryId(2) || after == holder));
        }
        CHECK(membership.responsible("duty-0", now + LiveTimeout) == entryId(0));
    }
}

TEST_CASE("Partitions", "[membership]")
{
    SECTION("whoever works through a store outage hears an entry of every majority that may accept a drain")
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
                    for (std::size_t worker = 0; worker < simulation.size(); ++worker) {
                        if (simulation.at(worker).viewState(simulation.now()) != ViewState::StoreOutage) {
                            continue;
                        }
                        outageSeen = true;
                        const std::set<EntryId> heard = simulation.at(worker).heard(simulation.now());
                        for (std::size_t other = 0; other < simulation.size(); ++other) {
                            if (simulation.reachesStore(other)
                                && simulation.at(other).mayAcceptDrain(simulation.now())) {
                                const std::set<EntryId> majority = simulation.at(other).heard(simulation.now());
                                RC_ASSERT(std::any_of(heard.begin(), heard.end(),
                                                      [&](const EntryId &id) { return majority.contains(id); }));
                            }
                        }
                    }
                }
            }
            RC_CLASSIFY(outageSeen, "worked through an outage");
        });
    }
    SECTION("once a drain has no holders, no entry that does not know of it may start work")
    {
        rc::check([] {
            Simulation simulation(static_cast<std::size_t>(*rc::gen::inRange(2, 8)));
            for (int i = 0; i < 30; ++i) {
                simulation.step();
            }
            std::uint64_t drain = 0;
            bool released = false;
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
                            drain = simulation.commit(acceptor);
                        }
                    }
                    for (std::size_t stepper = 0; drain != 0 && stepper < simulation.size(); ++stepper) {
                        released = released
                            || (simulation.reachesStore(stepper)
                                && simulation.at(stepper)
                                       .drainHolders(InstanceId{"i"}, drain, simulation.now())
                                       .empty());
                    }
                    for (std::size_t worker = 0; released && worker < simulation.size(); ++worker) {
                        if (simulation.version(worker) < drain) {
                            olderSeen = true;
                            RC_ASSERT_FALSE(simulation.at(worker).mayStartWork(simulation.now()));
                        }
                    }
                }
            }
            RC_CLASSIFY(released, "released");
            RC_CLASSIFY(olderSeen, "released while an entry did not know");
        });
    }
}
