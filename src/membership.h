#pragma once

// Live entries, duties, age of the view, versions in force.
//
// Index
// [1] Store and platform values
// [2] What is known of each entry
// [3] Membership

#include "types.h"

#include <map>
#include <set>

namespace briarvane
{

// [1] Store and platform values ---------------------------------------------------------------------------------------

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

/// A line of the platform's instance list, which lags.
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
    TimePoint lastHeard;
    bool stopping = false;
    bool storeDown = false;                        // by its own account
    std::map<std::string, std::uint64_t> inForce;  // key to version
    std::map<InstanceId, int> draining;            // requests in flight on instances without new work
};

// [3] Membership ------------------------------------------------------------------------------------------------------

constexpr Duration HeartbeatPeriod{300'000};
constexpr Duration LiveTimeout{1'000'000};  // no heartbeat for this long: not live for duties
constexpr Duration ViewTimeout{3'000'000};  // bound on new work for a leaving instance
constexpr Duration PauseGap{1'000'000};     // event loop gap that counts as a pause

enum class ViewState {
    Usable,
    StoreOutage,  // usable: at least half of the listed entries are heard and all say the store is down
    Paused,       // the process was paused and has not been in contact since
    Isolated,     // cut off from the store and most entries
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
class Membership
{
public:
    Membership(EntryId self, std::uint64_t startId, TimePoint now);

    // Events
    void storeContact(TimePoint now);  // a store call succeeded
    void storeFailure(TimePoint now);  // a store call failed
    void heartbeat(const EntryStatus &status, Duration storeContactAge, TimePoint now);
    void setListed(const std::set<EntryId> &listed, TimePoint now);  // entries with a lease in the store
    void tick(TimePoint now);                                        // each loop turn; finds pauses

    // Decisions
    std::vector<EntryId> live(TimePoint now) const;  // sorted, itself included
    const std::set<EntryId> &listed() const;
    EntryId responsible(std::string_view duty,
                        TimePoint now) const;  // rendezvous hashing over live(), without stopping ones
    ViewState viewState(TimePoint now) const;
    bool mayStartWork(TimePoint now) const;         // Usable or StoreOutage
    bool mayAcceptDrain(TimePoint now) const;       // hears more than half of the listed entries
    Duration storeContactAge(TimePoint now) const;  // direct or through a peer
    bool storeDown(TimePoint now) const;            // own calls fail

    /// Listed entries that have not confirmed `version` of `key`; empty means in force everywhere.
    std::vector<EntryId> unconfirmed(const std::string &key, std::uint64_t version, TimePoint now) const;
    /// Listed entries that have not confirmed the drain (older fleet version) or have requests in flight on the
    /// instance.
    std::vector<EntryId> drainHolders(const InstanceId &instance, std::uint64_t fleetVersion, TimePoint now) const;

    const EntryStatus *entry(const EntryId &id) const;
    const EntryId &self() const;
    std::uint64_t startId() const;
    void setInForce(const std::string &key, std::uint64_t version);  // of this entry itself
    void setDraining(const std::map<InstanceId, int> &inFlight);     // of this entry itself

private:
    EntryStatus &selfStatus();
    EntryId m_self;
    std::uint64_t m_startId = 0;
    std::map<EntryId, EntryStatus> m_entries;
    std::set<EntryId> m_listed;
    TimePoint m_lastRoot;  // last store contact known, direct or through a peer
    TimePoint m_lastTick;
    bool m_ownStoreDown = false;
    bool m_paused = false;
};

}
