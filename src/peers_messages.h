#pragma once

// Heartbeats between their wire form and the membership's view. Shared by Cluster and the benchmark of the control
// part.

#include "membership.h"

#include <peers.pb.h>

namespace briarvane
{

/// Fills everything but the sender's address, data centre, round and echo.
void fillHeartbeat(wire::Heartbeat &heartbeat, const Membership &membership, TimePoint now);

/// What a heartbeat's envelope tells of its sender, with the echo meant for the receiving entry.
EntryStatus statusOf(const wire::Envelope &message, const Membership &receiver);

}
