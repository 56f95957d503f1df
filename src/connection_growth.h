#pragma once

// Decides when an instance gets more connections than usual. Answers the load of many short calls to one instance some
// of whose calls get no answer: each silent call keeps its connection until its deadline, and the other calls would
// wait behind it.

#include "types.h"

namespace briarvane
{

struct GrowthLimits
{
    Duration maxWait{30'000};  // a call that has waited this long for a connection gets a further one
    int furtherInTotal = 256;  // further connections to all instances together, which bounds the use of descriptors
};

/// Connections to an instance that has calls waiting for one.
struct ConnectionQueue
{
    int usual = 1;            // limit while no call waits
    int most = 1;             // limit while calls wait
    int open = 0;             // including those that are being opened
    bool connecting = false;  // a connection is being opened
    Duration waited{0};       // waiting time of the call that has waited longest
};

/// Whether a further connection is opened for a waiting call. Only one at a time is opened to an instance: each serves
/// the calls behind it too, and an instance that accepts no connection gets no second attempt meanwhile.
inline bool opensFurtherConnection(const ConnectionQueue &queue, int furtherOpen, const GrowthLimits &limits)
{
    return queue.open < queue.most && !queue.connecting && queue.waited >= limits.maxWait
        && (queue.open < queue.usual || furtherOpen < limits.furtherInTotal);
}

}
