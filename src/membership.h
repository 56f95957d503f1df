#pragma once

// Membership of the cluster of entries: which entries are live, which one is responsible for what, whether this entry's
// view of the cluster is recent enough to be acted on, and which configuration versions are in force where.
//
// Index
// [1] Values of the coordination service
// [2] State of an entry as reported in its heartbeats
// [3] Membership

#include "types.h"

#include <deque>
#include <limits>
#include <map>
#include <set>

namespace briarvane
{

// [1] Values of the coordination service ------------------------------------------------------------------------------

struct StoreValue
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;  // store-wide number of the last write of this key; 0: the key does not exist
};

enum class Presence { Live, Leaving, Gone };

template<>
struct EnumNames<Presence>
{
    static constexpr std::array<EnumName<Presence>, 3> names
        = {{{Presence::Live, "live"}, {Presence::Leaving, "leaving"}, {Presence::Gone, "gone"}}};
};

/// An item of the coordination service's instance list. The list may lag behind the actual state.
struct InstanceRecord
{
    InstanceId id;
    std::string address;  // IP address
    std::uint16_t port = 0;
    std::string dataCentre;
    std::string rack;
    Presence presence = Presence::Live;

    bool operator==(const InstanceRecord &) const = default;
};

// [2] State of an entry as reported in its heartbeats -----------------------------------------------------------------

struct EntryStatus
{
    EntryId id;
    std::uint64_t startId = 0;
    std::string address;  // peer endpoint, "tcp://ip:port"
    std::string dataCentre;
    /// Time at which the last heartbeat was received; it may have been queued for some time before that.
    TimePoint lastHeartbeat;
    /// The last heartbeat was sent after this time on the clock of the receiving process. Membership derives the time
    /// from `echo`; TimePoint::min(): no bound is known.
    TimePoint sentAfter;
    std::uint64_t round = 0;  // number of the entry's last heartbeat
    /// Number of the newest heartbeat that the entry had received from the current start of this process; 0: none.
    std::uint64_t echo = 0;
    bool stopping = false;
    bool coordinationDown = false;                 // the entry's own calls to the coordination service fail
    std::map<std::string, std::uint64_t> inForce;  // by configuration key: version in force on the entry
    std::map<InstanceId, int> draining;            // the entry's requests in flight on instances that get no new work
    std::uint64_t countedFleetVersion = 0;         // fleet version in force when `draining` was counted
    std::set<EntryId> receivedFrom;  // entries from which the entry received a heartbeat within LiveTimeout
};

// [3] Membership ------------------------------------------------------------------------------------------------------

constexpr Duration HeartbeatPeriod{300'000};
/// An entry without a heartbeat for this long is not live, so its responsibilities move to other entries.
constexpr Duration LiveTimeout{1'000'000};
/// An entry without contact to the coordination service for this long, direct or through a peer, starts no work, except
/// in an outage of the service. This bounds the time during which new work may still be sent to an instance after its
/// drain was accepted.
constexpr Duration ViewTimeout{3'000'000};
/// An event loop that does not run for longer than this counts as paused.
constexpr Duration PauseGap{1'000'000};
/// An entry whose lease lapsed without an announced stop counts for majorities this long. Such an entry may be merely
/// cut off from the coordination service and go on working together with other entries that are cut off. The longest
/// expected network partition between regions is an hour.
constexpr Duration LapsedTimeout{5'400'000'000};

enum class ViewState {
    Usable,
    /// Usable: at least half of the entries are mutually reachable, and all of these report an outage of the
    /// coordination service.
    CoordinationOutage,
    Paused,    // the process was paused and has had no contact to the coordination service or a peer since
    Isolated,  // cut off from the coordination service and most entries, or not registered
};

template<>
struct EnumNames<ViewState>
{
    static constexpr std::array<EnumName<ViewState>, 4> names = {{{ViewState::Usable, "usable"},
                                                                  {ViewState::CoordinationOutage, "store-outage"},
                                                                  {ViewState::Paused, "paused"},
                                                                  {ViewState::Isolated, "isolated"}}};
};

/// Determines which entries are live, which entry has which responsibility, and whether this entry's view may be acted
/// on.
///
/// A responsibility is work that exactly one entry does for all, such as granting the permits of a pool. It is named by
/// a string and assigned to a live entry by rendezvous hashing.
///
/// Entries share no clock, and a message may have waited in a queue for any time, so the receipt of a heartbeat does
/// not bound the heartbeat's age. Each heartbeat therefore echoes the number of the newest heartbeat that its sender
/// had received from this entry. The heartbeat was therefore sent after the echoed one, whose sending time this entry
/// has recorded. All ages that decide on new work and drains are counted from that sending time. The bound holds with
/// queues, slow links and pauses on either side. It also requires that messages arrive in both directions: two entries
/// are mutually reachable only if each receives the heartbeats of the other.
///
/// A heartbeat renews this entry's view only if this entry has all versions that the sender had in force. Otherwise the
/// sender's contact to the coordination service does not show that this entry's own values are current.
class Membership
{
public:
    Membership(EntryId self, std::uint64_t startId, TimePoint now);

    // Events
    /// A watch of the coordination service that began at `begun` was answered, and its values are in force on this
    /// entry. The time of the answer must not be used, because the answer may have waited in a socket.
    void coordinationContact(TimePoint begun);
    void coordinationFailure(TimePoint now);  // a call to the coordination service failed
    /// This entry's lease was granted or renewed. `validUntil` is counted from the start of the call, as the answer may
    /// have waited in a socket.
    void registered(TimePoint validUntil);
    /// This entry sent its heartbeat number `round` to all peers.
    void heartbeatSent(std::uint64_t round, TimePoint now);
    /// `status` and `coordinationContactAge` are what the sender's heartbeat contains.
    void heartbeat(const EntryStatus &status, Duration coordinationContactAge, TimePoint now);
    /// Entries with a lease in the coordination service, as of its version `asOf`.
    void setListed(const std::set<EntryId> &listed, TimePoint now,
                   std::uint64_t asOf = std::numeric_limits<std::uint64_t>::max());
    /// Ids in the coordination service's instance list that are live or leaving. An entry whose lease lapsed and that
    /// is not in the list has ended. One that is in the list may be paused with requests in flight, so it still blocks
    /// drains.
    void setPresent(const std::set<EntryId> &present);
    void tick(TimePoint now);  // to be called periodically, well within PauseGap; detects pauses

    // Decisions
    std::vector<EntryId> live(TimePoint now) const;  // sorted, includes this entry
    const std::set<EntryId> &listed() const;
    /// Rendezvous hashing over the live entries that are not stopping.
    EntryId responsible(std::string_view responsibility, TimePoint now) const;
    ViewState viewState(TimePoint now) const;
    bool mayStartWork(TimePoint now) const;         // the view is Usable or CoordinationOutage
    bool mayAcceptDrain(TimePoint now) const;       // more than half of the voters are mutually reachable
    std::set<EntryId> voters(TimePoint now) const;  // listed entries, and those that lapsed within LapsedTimeout
    /// Entries that were mutually reachable with this entry within LiveTimeout, including this entry.
    std::set<EntryId> mutuallyReachable(TimePoint now) const;
    Duration coordinationContactAge(TimePoint now) const;  // age of the last contact, direct or through a peer
    bool coordinationDown(TimePoint now) const;            // this entry's calls to the coordination service fail

    /// Entries that have not confirmed `version` of `key`; if empty, the version is in force everywhere. The version
    /// has to be confirmed by the listed entries, by those from which this entry receives heartbeats, and by those from
    /// which these in turn receive heartbeats: an entry with a lapsed lease may still work while it reaches half of the
    /// voters, and any majority that accepts a drain contains one of them. Includes this entry while its list of
    /// entries is older than the version, because another entry may have registered in between.
    std::vector<EntryId> unconfirmed(const std::string &key, std::uint64_t version, TimePoint now) const;
    /// Entries that block the drain of `instance`, which is part of `fleetVersion`. These are the entries that have to
    /// confirm a version (see unconfirmed()) or whose lease lapsed, if they have requests in flight on the instance or
    /// last counted them under an older fleet version. While this entry does not reach most of the voters, also all
    /// voters that it does not reach. This entry also blocks the drain while its list of entries is older than
    /// `fleetVersion`.
    std::vector<EntryId> drainBlockers(const InstanceId &instance, std::uint64_t fleetVersion, TimePoint now) const;

    const EntryStatus *entry(const EntryId &id) const;
    const EntryId &self() const;
    std::uint64_t startId() const;

    // Reported state of this entry
    void setInForce(const std::string &key, std::uint64_t version);
    /// This entry's requests in flight on instances that get no new work. Once this function has been called, it must
    /// be called again after each new fleet version: a count made under an older version does not cover the newest
    /// drains and goes on blocking them.
    void setDraining(const std::map<InstanceId, int> &inFlight);
    void setStopping();

private:
    EntryStatus &selfStatus();
    std::set<EntryId> mustConfirm(TimePoint now) const;
    bool hasVersionsOf(const EntryStatus &status) const;
    std::optional<TimePoint> sentAt(std::uint64_t round) const;

    EntryId m_self;
    std::uint64_t m_startId = 0;
    std::map<EntryId, EntryStatus> m_entries;
    std::set<EntryId> m_listed;
    std::uint64_t m_listedAsOf = 0;
    /// Maps each entry that left the list without announcing a stop to the time at which it left. An item is removed
    /// when the entry returns, when it has announced its stop after all, when its process is no longer present, or at
    /// the first update of the list after LapsedTimeout.
    std::map<EntryId, TimePoint> m_lapsed;
    std::deque<std::pair<std::uint64_t, TimePoint>> m_sentRounds;  // this entry's heartbeats within ViewTimeout
    // Contacts to the coordination service and to peers. A contact is dated by the earliest time at which it may have
    // taken place.
    std::optional<TimePoint> m_lastCoordinationContact;  // last contact to the service, direct or through a peer
    std::optional<TimePoint> m_lastContact;              // last contact to the service or to a peer
    std::optional<TimePoint> m_registeredUntil;
    TimePoint m_lastTick;
    TimePoint m_resumed;  // start of the process or end of its last pause
    bool m_everListed = false;
    bool m_coordinationDown = false;
    bool m_reportsDraining = false;  // setDraining() has been called
};

}
