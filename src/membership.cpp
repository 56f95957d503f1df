#include "membership.h"

#include <xxhash.h>

#include <algorithm>

namespace briarvane
{

namespace
{

const std::string FleetKey = "fleet";

/// Weight of an entry in the rendezvous hashing.
std::uint64_t weight(const EntryId &entry, std::string_view responsibility)
{
    return XXH3_64bits_withSeed(responsibility.data(), responsibility.size(),
                                XXH3_64bits(entry.value.data(), entry.value.size()));
}

}

Membership::Membership(EntryId self, std::uint64_t startId, TimePoint now)
    : m_self(std::move(self))
    , m_startId(startId)
    , m_lastTick(now)
    , m_resumed(now)
{
    EntryStatus &status = m_entries[m_self];
    status.id = m_self;
    status.startId = startId;
}

// Events

void Membership::coordinationContact(TimePoint begun)
{
    m_coordinationDown = false;
    m_lastCoordinationContact = std::max(m_lastCoordinationContact.value_or(begun), begun);
    m_lastContact = std::max(m_lastContact.value_or(begun), begun);
}

void Membership::coordinationFailure(TimePoint /*now*/)
{
    m_coordinationDown = true;
}

void Membership::registered(TimePoint validUntil)
{
    m_registeredUntil = validUntil;
}

void Membership::heartbeatSent(std::uint64_t round, TimePoint now)
{
    m_sentRounds.emplace_back(round, now);
    while (now - m_sentRounds.front().second > ViewTimeout) {
        m_sentRounds.pop_front();
    }
}

void Membership::heartbeat(const EntryStatus &status, Duration coordinationContactAge, TimePoint now)
{
    if (status.id == m_self) {
        return;
    }
    tick(now);
    const auto [found, added] = m_entries.try_emplace(status.id, status);
    EntryStatus &sender = found->second;
    const bool sameStart = !added && sender.startId == status.startId;
    if (sameStart && status.round < sender.round) {
        return;
    }
    const TimePoint previousSentAfter = sameStart ? sender.sentAfter : TimePoint::min();
    sender = status;
    sender.lastHeartbeat = now;
    if (sender.stopping) {
        m_lapsed.erase(sender.id);  // the entry left the list before this heartbeat announced its stop
    }
    // An echo that is not in m_sentRounds is 0 or older than ViewTimeout, so it cannot renew the view.
    sender.sentAfter = std::max(previousSentAfter, sentAt(status.echo).value_or(TimePoint::min()));
    if (sender.sentAfter == TimePoint::min() || !hasVersionsOf(sender)) {
        return;
    }
    m_lastContact = std::max(m_lastContact.value_or(sender.sentAfter), sender.sentAfter);
    if (coordinationContactAge < ViewTimeout) {
        const TimePoint contact = sender.sentAfter - std::max(coordinationContactAge, Duration::zero());
        m_lastCoordinationContact = std::max(m_lastCoordinationContact.value_or(contact), contact);
    }
}

void Membership::setListed(const std::set<EntryId> &listed, TimePoint now, std::uint64_t asOf)
{
    for (const EntryId &id : m_listed) {
        const EntryStatus *status = entry(id);
        if (!listed.contains(id) && !(status && status->stopping)) {
            m_lapsed[id] = now;
        }
    }
    for (const EntryId &id : listed) {
        m_lapsed.erase(id);
    }
    std::erase_if(m_lapsed, [now](const auto &lapsed) { return now - lapsed.second > LapsedTimeout; });
    std::erase_if(m_entries, [&](const auto &item) {
        return item.first != m_self && !listed.contains(item.first) && now - item.second.lastHeartbeat > LapsedTimeout;
    });
    m_listed = listed;
    m_listedAsOf = asOf;
    m_everListed = m_everListed || listed.contains(m_self);
}

void Membership::setPresent(const std::set<EntryId> &present)
{
    std::erase_if(m_lapsed, [&present](const auto &lapsed) { return !present.contains(lapsed.first); });
}

void Membership::tick(TimePoint now)
{
    if (now - m_lastTick > PauseGap) {
        m_resumed = now;
    }
    m_lastTick = std::max(m_lastTick, now);
}

// Decisions

std::vector<EntryId> Membership::live(TimePoint now) const
{
    std::vector<EntryId> ids;
    for (const auto &[id, status] : m_entries) {
        if (id == m_self || now - status.lastHeartbeat < LiveTimeout) {
            ids.push_back(id);
        }
    }
    return ids;
}

const std::set<EntryId> &Membership::listed() const
{
    return m_listed;
}

EntryId Membership::responsible(std::string_view responsibility, TimePoint now) const
{
    // If all live entries are stopping, this entry stays responsible, so that requests are served until the process
    // ends.
    EntryId best = m_self;
    std::optional<std::uint64_t> bestWeight;
    for (const EntryId &id : live(now)) {
        const std::uint64_t candidate = weight(id, responsibility);
        if (!m_entries.at(id).stopping && (!bestWeight || candidate > *bestWeight)) {
            best = id;
            bestWeight = candidate;
        }
    }
    return best;
}

ViewState Membership::viewState(TimePoint now) const
{
    // After a pause, this function may be called before tick() has detected the pause.
    const bool paused = now - m_lastTick > PauseGap || (m_lastContact && *m_lastContact < m_resumed);
    if (paused) {
        return ViewState::Paused;
    }
    if (!m_lastContact) {
        return ViewState::Isolated;
    }
    const std::set<EntryId> voting = voters(now);
    std::set<EntryId> reached = mutuallyReachable(now);
    std::erase_if(reached, [&voting](const EntryId &id) { return !voting.contains(id); });
    const bool reachesHalf = 2 * reached.size() >= voting.size();

    // Once its lease may have lapsed, this entry is no longer listed, so drains could be completed without it. It may
    // still work while it reaches half of the voters and none of them has a newer version: these voters report this
    // entry in their heartbeats, so that any entry that completes a drain waits for this one. Entries that are only cut
    // off from the coordination service, or whose leases lapsed together in an outage of the service, thus go on
    // working until they have registered again.
    const bool registered = m_everListed && m_registeredUntil && now < *m_registeredUntil;
    const bool noneNewer = std::all_of(reached.begin(), reached.end(),
                                       [this](const EntryId &id) { return hasVersionsOf(m_entries.at(id)); });
    const bool connected = reachesHalf && noneNewer;
    if (coordinationContactAge(now) < ViewTimeout
        && (registered || (m_everListed && connected && reached.size() > 1))) {
        return ViewState::Usable;
    }
    // An entry that was never registered is not among the voters of the entries that accept drains, so it may not work.
    const bool allReportOutage = std::all_of(reached.begin(), reached.end(), [this](const EntryId &id) {
        return id == m_self ? m_coordinationDown : m_entries.at(id).coordinationDown;
    });
    return m_everListed && connected && allReportOutage ? ViewState::CoordinationOutage : ViewState::Isolated;
}

bool Membership::mayStartWork(TimePoint now) const
{
    const ViewState state = viewState(now);
    return state == ViewState::Usable || state == ViewState::CoordinationOutage;
}

bool Membership::mayAcceptDrain(TimePoint now) const
{
    const std::set<EntryId> voting = voters(now);
    const std::set<EntryId> reached = mutuallyReachable(now);
    const auto votes
        = std::count_if(voting.begin(), voting.end(), [&](const EntryId &id) { return reached.contains(id); });
    return now - m_lastTick <= PauseGap && 2 * static_cast<std::size_t>(votes) > voting.size();
}

std::set<EntryId> Membership::voters(TimePoint now) const
{
    std::set<EntryId> ids = m_listed;
    ids.insert(m_self);
    for (const auto &[id, since] : m_lapsed) {
        if (now - since <= LapsedTimeout) {
            ids.insert(id);
        }
    }
    return ids;
}

std::set<EntryId> Membership::mutuallyReachable(TimePoint now) const
{
    std::set<EntryId> ids = {m_self};
    for (const auto &[id, status] : m_entries) {
        // A pause is longer than LiveTimeout, so heartbeats from before a pause do not count after it.
        static_assert(PauseGap >= LiveTimeout);
        if (id != m_self && status.sentAfter != TimePoint::min() && now - status.sentAfter < LiveTimeout) {
            ids.insert(id);
        }
    }
    return ids;
}

Duration Membership::coordinationContactAge(TimePoint now) const
{
    return m_lastCoordinationContact ? std::max(now - *m_lastCoordinationContact, Duration::zero()) : Duration::max();
}

bool Membership::coordinationDown(TimePoint /*now*/) const
{
    return m_coordinationDown;
}

std::vector<EntryId> Membership::unconfirmed(const std::string &key, std::uint64_t version, TimePoint now) const
{
    std::vector<EntryId> ids;
    for (const EntryId &id : mustConfirm(now)) {
        const EntryStatus *status = entry(id);
        if (!status || (id == m_self && m_listedAsOf < version)) {
            ids.push_back(id);
            continue;
        }
        const auto found = status->inForce.find(key);
        if (found == status->inForce.end() || found->second < version) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<EntryId> Membership::drainBlockers(const InstanceId &instance, std::uint64_t fleetVersion,
                                               TimePoint now) const
{
    std::set<EntryId> candidates = mustConfirm(now);
    std::set<EntryId> unreachable;
    if (!mayAcceptDrain(now)) {
        // An entry that still works with a lapsed lease is only reported by the voters that it reaches. While most
        // voters are unreachable, such an entry could remain unnoticed.
        const std::set<EntryId> reached = mutuallyReachable(now);
        for (const EntryId &id : voters(now)) {
            if (!reached.contains(id)) {
                candidates.insert(id);
                unreachable.insert(id);
            }
        }
    }
    std::vector<EntryId> ids;
    // A lapsed entry that the coordination service still lists may be paused with requests in flight.
    for (const auto &[id, since] : m_lapsed) {
        candidates.insert(id);
    }
    for (const EntryId &id : candidates) {
        const EntryStatus *status = entry(id);
        const bool listIsOlder = id == m_self && m_listedAsOf < fleetVersion;
        if (!status || status->countedFleetVersion < fleetVersion || listIsOlder || unreachable.contains(id)) {
            ids.push_back(id);
            continue;
        }
        const auto count = status->draining.find(instance);
        if (count != status->draining.end() && count->second > 0) {
            ids.push_back(id);
        }
    }
    return ids;
}

const EntryStatus *Membership::entry(const EntryId &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

const EntryId &Membership::self() const
{
    return m_self;
}

std::uint64_t Membership::startId() const
{
    return m_startId;
}

void Membership::setInForce(const std::string &key, std::uint64_t version)
{
    selfStatus().inForce[key] = version;
    if (key == FleetKey && !m_reportsDraining) {
        selfStatus().countedFleetVersion = version;
    }
}

void Membership::setDraining(const std::map<InstanceId, int> &inFlight)
{
    EntryStatus &own = selfStatus();
    own.draining = inFlight;
    own.countedFleetVersion = own.inForce[FleetKey];
    m_reportsDraining = true;
}

void Membership::setStopping()
{
    selfStatus().stopping = true;
}

EntryStatus &Membership::selfStatus()
{
    return m_entries.at(m_self);
}

std::set<EntryId> Membership::mustConfirm(TimePoint now) const
{
    std::set<EntryId> ids = m_listed;
    ids.insert(m_self);
    for (const auto &[id, status] : m_entries) {
        if (id != m_self && now - status.lastHeartbeat < LiveTimeout) {
            ids.insert(id);
            ids.insert(status.receivedFrom.begin(), status.receivedFrom.end());
        }
    }
    return ids;
}

bool Membership::hasVersionsOf(const EntryStatus &status) const
{
    const EntryStatus &own = m_entries.at(m_self);
    return std::all_of(status.inForce.begin(), status.inForce.end(), [&own](const auto &keyVersion) {
        const auto found = own.inForce.find(keyVersion.first);
        return keyVersion.second == 0 || (found != own.inForce.end() && found->second >= keyVersion.second);
    });
}

std::optional<TimePoint> Membership::sentAt(std::uint64_t round) const
{
    const auto found = std::find_if(m_sentRounds.begin(), m_sentRounds.end(),
                                    [round](const auto &sent) { return sent.first == round; });
    return round == 0 || found == m_sentRounds.end() ? std::nullopt : std::optional(found->second);
}

}
