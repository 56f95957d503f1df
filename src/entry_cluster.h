#pragma once

// Connects this entry to the other entries and to the coordination service. Maintains the membership, the values in
// force (configuration, fleet, alarms) and the instance list. Runs on the I/O thread.

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
    std::string peerEndpoint;  // this entry's endpoint for peers; published under the key entries/<id>
    /// Endpoints of the peers given in the settings. Further peers are found through the coordination service and
    /// through the heartbeats that they send.
    std::map<EntryId, std::string> peers;
    std::vector<std::string> keys = {"config/sheet", "config/alerts", "fleet", "alarms"};
    Duration leaseTtl{5'000'000};
    Duration instancePeriod{1'000'000};  // average time between two reads of the instance list
};

/// Holds the newest received version of each key in `ClusterSettings::keys`. A version in force is never replaced by an
/// older one.
template<CoordinationService S>
class Cluster
{
public:
    using ChangeHandler = std::function<void(const StoreValue &)>;
    /// Receives the written value with its new version, or the reason why the change failed.
    using ChangeDone = std::function<void(Result<StoreValue>)>;

    Cluster(boost::asio::io_context &io, S &coordination, Peers &peers, ClusterSettings settings);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    void start();  // registers the entry; starts the watch, the heartbeats and the instance list reads
    void stop(std::function<void()> done);  // announces the stop to the peers and removes entries/<id>

    /// Replaces a key's value by compare-and-swap against the version `expected`. If the answer of the coordination
    /// service is lost, the key is read back to find out whether the swap took effect. The value should contain a
    /// change id that is unique to this change, because the swap is recognised by its value. Fails at once while the
    /// coordination service is down.
    void change(const std::string &key, std::uint64_t expected, std::string value, ChangeDone done);

    const StoreValue &inForce(const std::string &key) const;  // version 0: no value received yet
    void onChanged(const std::string &key, ChangeHandler handler);
    void onInstances(std::function<void()> handler);
    const std::vector<InstanceRecord> &instances() const;
    /// Calls `done` with an empty list when all entries have confirmed the version or a newer one, or at the timeout
    /// with the entries that have not confirmed it.
    void waitInForce(const std::string &key, std::uint64_t version, Duration timeout,
                     std::function<void(std::vector<EntryId> missing)> done);

    Membership &membership();
    S &coordination();
    Peers &peers();
    boost::asio::io_context &io();
    TimePoint now() const;  // steady clock; Membership takes this time as an argument

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}

#include "entry_cluster_state.h"
