#pragma once

// Messages of Cluster between their wire form and the values behind them. Shared by Cluster and the benchmark of the
// control part.

#include "membership.h"

#include <peers.pb.h>

namespace briarvane
{

/// Fills everything but the sender's address, data centre, round and echo.
void fillHeartbeat(wire::Heartbeat &heartbeat, const Membership &membership, TimePoint now);

/// What a heartbeat's envelope tells of its sender, with the echo meant for the receiving entry.
EntryStatus statusOf(const wire::Envelope &message, const Membership &receiver);

wire::Envelope updateOf(const StoreValue &value);  // a ConfigUpdate

/// The whole list, or, when `base` is not empty, the lines that differ from it. Lists are in the order of ids; one that
/// lost a line is sent as a whole.
void fillInstances(wire::InstanceList &list, const std::vector<InstanceRecord> &records,
                   const std::vector<InstanceRecord> &base);
/// The sender's list, from `present`, the list held here. Error: Conflict when the lines are relative to another list.
Result<std::vector<InstanceRecord>> recordsOf(const wire::InstanceList &list,
                                              const std::vector<InstanceRecord> &present);
std::uint64_t digestOf(const std::vector<InstanceRecord> &records);  // never 0

}
