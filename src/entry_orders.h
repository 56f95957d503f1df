#pragma once

// Idempotency keys over the peers and the store. Runs on the I/O thread.

#include "entry_cluster.h"
#include "orders.h"

namespace briarvane
{

/// A claim that was given `Verdict::Run`. It must be settled exactly once.
struct HeldClaim
{
    std::uint32_t shard = 0;
    OrderKeyHash key;
    std::uint64_t sequence = 0;
};

struct ClaimResult
{
    Verdict verdict = Verdict::Busy;
    HeldClaim claim;    // with Run
    KeptAnswer answer;  // with Replay
};

template<Platform P>
class OrderClient
{
public:
    OrderClient(Cluster<P> &cluster, OrderSettings settings);

    void start();
    /// `done` is called once, at the latest at the deadline; Busy and every other verdict but Run mean that this
    /// attempt must send nothing.
    void claim(const OrderKeyHash &key, std::uint64_t bodyHash, std::int64_t issuedMs, TimePoint deadline,
               std::function<void(ClaimResult)> done);
    /// Finished with the answer, Abandoned when no byte was sent, Unknown otherwise.
    void settle(const HeldClaim &claim, OrderState state, KeptAnswer answer);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
