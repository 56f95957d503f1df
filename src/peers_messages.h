#pragma once

// Converts between Cluster's values and their protobuf messages. Shared by Cluster and the control benchmark.

#include "membership.h"

#include <peers.pb.h>

namespace briarvane
{

/// Fills all fields of a heartbeat except the sender's address, its data centre, the round and the echo.
void fillHeartbeat(wire::Heartbeat &heartbeat, const Membership &membership, TimePoint now);

/// Status of the sender of a heartbeat, with the echo for the receiving entry.
EntryStatus parseHeartbeat(const wire::Envelope &message, const Membership &receiver);

wire::Envelope makeConfigUpdate(const StoreValue &value);  // returns a message with a ConfigUpdate

/// Fills in the records that differ from `base`, or all records if `base` is empty or contains an instance that
/// `records` lacks. Both lists must be sorted by id.
void fillInstanceList(wire::InstanceList &list, const std::vector<InstanceRecord> &records,
                      const std::vector<InstanceRecord> &base);
/// Returns the sender's list, built from the receiver's list `current` and the received records. Fails with Conflict if
/// the sender's base is another list than `current`, or if the result does not match the sender's digest.
Result<std::vector<InstanceRecord>> applyInstanceList(const wire::InstanceList &list,
                                                      const std::vector<InstanceRecord> &current);
/// Never returns 0, because a base digest of 0 marks a message with the complete list.
std::uint64_t instanceListDigest(const std::vector<InstanceRecord> &records);

}
