#pragma once

// This entry's connection to the others and to the coordination service: membership, configuration in force, the fleet
// value, the instance list. Runs on the I/O thread.

#include "coordination.h"
#include "membership.h"
#include "peers.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <random>

namespace briarvane
{

struct ClusterSettings
{
    EntryId self;
    std::uint64_t startId = 0;
    std::string dataCentre;
    std::string peerEndpoint;              // published under entries/<id>
    std::map<EntryId, std::string> peers;  // known from settings; more are found in the store
    std::vector<std::string> keys = {"config/sheet", "config/alerts", "fleet", "alarms"};
    Duration leaseTtl{5'000'000};
    Duration instancePeriod{1'000'000};  // between reads of the instance list
};

/// Keeps the newest version of each key in `keys` and never goes back to an older one.
template<CoordinationService S>
class Cluster
{
public:
    using Changed = std::function<void(const StoreValue &)>;
    /// The value that is in force now, as `change` found it, and the new version.
    using ChangeDone = std::function<void(Result<StoreValue>)>;

    Cluster(boost::asio::io_context &io, S &coordination, Peers &peers, ClusterSettings settings);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    void start();                           // registers the entry, starts watch, heartbeats and list reads
    void stop(std::function<void()> done);  // announces stopping, removes entries/<id>

    /// Replaces a key's value by compare-and-swap against `expected`. A lost answer is settled by reading back: the
    /// value itself is unique because every writer puts a change id into it. Refused at once while the store is down.
    void change(const std::string &key, std::uint64_t expected, std::string value, ChangeDone done);

    const StoreValue &inForce(const std::string &key) const;  // version 0: nothing yet
    void onChanged(const std::string &key, Changed handler);
    void onInstances(std::function<void()> handler);
    const std::vector<InstanceRecord> &instances() const;
    /// Calls `done` once every listed entry has confirmed the version, or with the missing entries at the timeout.
    void waitInForce(const std::string &key, std::uint64_t version, Duration timeout,
                     std::function<void(std::vector<EntryId> missing)> done);

    Membership &membership();
    S &coordination();
    Peers &peers();
    boost::asio::io_context &io();
    TimePoint now() const;  // the steady clock; decisions get it as an argument

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}

#include "entry_cluster_state.h"
