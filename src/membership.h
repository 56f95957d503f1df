#pragma once

// Live entries, duties, age of the view, versions in force.
//
// Index
// [1] Store and coordination service values
// [2] What is known of each entry
// [3] Membership

#include "types.h"

#include <deque>
#include <limits>
#include <map>
#include <set>

namespace briarvane
{

// [1] Store and coordination service values ---------------------------------------------------------------------------

struct StoreValue
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;  // grows with each write of the store; 0: the key does not exist
};

enum class Presence { Live, Leaving, Gone };

template<>
struct EnumNames<Presence>
{
    static constexpr std::array<EnumName<Presence>, 3> names
        = {{{Presence::Live, "live"}, {Presence::Leaving, "leaving"}, {Presence::Gone, "gone"}}};
};

/// A line of the coordination service's instance list, which lags.
struct InstanceRecord
{
    InstanceId id;
    std::string address;  // IP number
    std::uint16_t port = 0;
    std::string dataCentre;
    std::string rack;
    Presence presence = Presence::Live;

    bool operator==(const InstanceRecord &) const = default;
};

// [2] What is known of each entry -------------------------------------------------------------------------------------

struct EntryStatus
{
    EntryId id;
    std::uint64_t startId = 0;
    std::string address;  // peer endpoint, "tcp://ip:port"
    std::string dataCentre;
    TimePoint lastHeard;      // receipt of the last heartbeat; a queue may have held it
    TimePoint sentAfter;      // the last heartbeat was sent after this time of our clock; set by Membership from `echo`
    std::uint64_t round = 0;  // number of its last heartbeat
    std::uint64_t echo = 0;   // newest of our heartbeats that it had received; 0: none of this start
    bool stopping = false;
    bool storeDown = false;                        // by its own account
    std::map<std::string, std::uint64_t> inForce;  // key to version
    std::map<InstanceId, int> draining;            // requests in flight on instances without new work
    std::uint64_t countedFleet = 0;                // fleet version in force when `draining` was counted
    std::set<EntryId> heard;                       // entries whose heartbeats it received within LiveTimeout
};

// [3] Membership ------------------------------------------------------------------------------------------------------

constexpr Duration HeartbeatPeriod{300'000};
constexpr Duration LiveTimeout{1'000'000};  // no heartbeat for this long: not live for duties
constexpr Duration ViewTimeout{3'000'000};  // bound on new work for a leaving instance
constexpr Duration PauseGap{1'000'000};     // event loop gap that counts as a pause
/// An entry that left the list without announcing a stop counts for majorities this long. Its lease also lapses when
/// it is cut off from the store, and it may then still work with others that are cut off; the longest expected
/// partition between regions is an hour.
constexpr Duration LapsedTimeout{5'400'000'000};

enum class ViewState {
    Usable,
    StoreOutage,  // usable: at least half of the entries are heard and all of these say the store is down
    Paused,       // the process was paused and has not been in contact since
    Isolated,     // cut off from the store and most entries, or not registered
};

template<>
struct EnumNames<ViewState>
{
    static constexpr std::array<EnumName<ViewState>, 4> names = {{{ViewState::Usable, "usable"},
                                                                  {ViewState::StoreOutage, "store-outage"},
                                                                  {ViewState::Paused, "paused"},
                                                                  {ViewState::Isolated, "isolated"}}};
};

/// Decides who is live, who is responsible for what, and whether this entry's view may be acted on.
///
/// Entries share no clock and a message may have waited in a queue for any time, so the receipt of a heartbeat proves
/// nothing about its age. Each heartbeat therefore echoes the number of the newest heartbeat received from the other
/// side: it was sent after that one, whose sending time is known here. All ages that decide about new work and drains
/// are counted from that time, which holds for queues, slow links and pauses of either side alike. It also makes
/// hearing mutual: an entry that does not receive our heartbeats is not heard.
///
/// A heartbeat renews the view only when this entry has all versions that its sender had in force; otherwise the
/// sender's contact with the store says nothing about this entry's own values.
class Membership
{
public:
    Membership(EntryId self, std::uint64_t startId, TimePoint now);

    // Events
    /// A watch that began at `begun` was answered and its values are in force here. The time of the answer must not be
    /// used: it may have waited in a socket.
    void storeContact(TimePoint begun);
    void storeFailure(TimePoint now);                        // a store call failed
    void registered(TimePoint validUntil);                   // own lease, by the start of the granting call
    void heartbeatSent(std::uint64_t round, TimePoint now);  // own heartbeat to all peers
    /// `status.echo` is the round of ours that the sender echoed; `storeContactAge` as sent.
    void heartbeat(const EntryStatus &status, Duration storeContactAge, TimePoint now);
    /// Entries with a lease in the store, as of this version of the store.
    void setListed(const std::set<EntryId> &listed, TimePoint now,
                   std::uint64_t asOf = std::numeric_limits<std::uint64_t>::max());
    /// Ids in the coordination service's list that are live or leaving. An entry whose lease lapsed and that is missing
    /// there is gone; one that is still there may be paused with requests in flight, so it goes on holding drains.
    void setPresent(const std::set<EntryId> &present);
    void tick(TimePoint now);  // each loop turn; finds pauses

    // Decisions
    std::vector<EntryId> live(TimePoint now) const;  // sorted, itself included
    const std::set<EntryId> &listed() const;
    EntryId responsible(std::string_view duty,
                        TimePoint now) const;  // rendezvous hashing over live(), without stopping ones
    ViewState viewState(TimePoint now) const;
    bool mayStartWork(TimePoint now) const;         // Usable or StoreOutage
    bool mayAcceptDrain(TimePoint now) const;       // hears more than half of the voters
    std::set<EntryId> voters(TimePoint now) const;  // listed entries and those lapsed within LapsedTimeout
    std::set<EntryId> heard(TimePoint now) const;   // mutual contact within LiveTimeout, itself included
    Duration storeContactAge(TimePoint now) const;  // direct or through a peer
    bool storeDown(TimePoint now) const;            // own calls fail

    /// Entries that have not confirmed `version` of `key`; empty means in force everywhere. Asked are the listed
    /// entries, those heard, and those that the heard ones hear: an entry whose lease has lapsed may still work as
    /// long as it hears half of the voters, and one of these is heard by whoever may accept a drain. Names this entry
    /// as long as its list is older than the version: another entry may have registered in between.
    std::vector<EntryId> unconfirmed(const std::string &key, std::uint64_t version, TimePoint now) const;
    /// The same entries, as far as they have not counted their requests since the drain (older fleet version) or have
    /// requests in flight on the instance; also all voters that are not heard while most are not.
    std::vector<EntryId> drainHolders(const InstanceId &instance, std::uint64_t fleetVersion, TimePoint now) const;

    const EntryStatus *entry(const EntryId &id) const;
    const EntryId &self() const;
    std::uint64_t startId() const;
    void setInForce(const std::string &key, std::uint64_t version);  // of this entry itself
    /// Of this entry itself. Once it has been called, each fleet version must be followed by a call: a count made under
    /// an older version does not know of the newest drains, and drainHolders() does not accept it.
    void setDraining(const std::map<InstanceId, int> &inFlight);
    void setStopping();  // of this entry itself

private:
    EntryStatus &selfStatus();
    std::set<EntryId> confirming(TimePoint now) const;
    bool hasVersionsOf(const EntryStatus &status) const;
    std::optional<TimePoint> sentAt(std::uint64_t round) const;

    EntryId m_self;
    std::uint64_t m_startId = 0;
    std::map<EntryId, EntryStatus> m_entries;
    std::set<EntryId> m_listed;
    std::uint64_t m_listedAsOf = 0;
    std::map<EntryId, TimePoint> m_lapsed;                         // left the list without announcing a stop
    std::deque<std::pair<std::uint64_t, TimePoint>> m_sentRounds;  // own heartbeats within ViewTimeout
    std::optional<TimePoint> m_lastRoot;                           // last store contact known, direct or through a peer
    std::optional<TimePoint> m_lastProof;                          // last contact of any kind, by its earliest time
    std::optional<TimePoint> m_registeredUntil;
    TimePoint m_lastTick;
    TimePoint m_resumed;  // start of the process or end of its last pause
    bool m_everListed = false;
    bool m_ownStoreDown = false;
    bool m_countsDraining = false;
};

}
