#pragma once

// Slot permits over the peers: asks the entry responsible for a pool, or answers when this entry is responsible.
// Runs on the I/O thread.

#include "entry_cluster.h"
#include "fleet.h"
#include "routing.h"

namespace briarvane
{

struct GrantedPermit
{
    std::uint64_t id = 0;
    PoolId pool;
    InstanceId instance;
};

template<Platform P>
class PermitClient
{
public:
    /// Errors: Refused (deadline, quota, nothing can run it), Unavailable (view not usable).
    using Granted = std::function<void(Result<GrantedPermit>)>;

    PermitClient(Cluster<P> &cluster);

    void configure(const Sheet &sheet, const Fleet &fleet);  // on each change of either or of the instance list
    void request(const PoolId &pool, const RequestInfo &info, std::vector<InstanceId> avoid, Granted granted);
    void cancel(const PoolId &pool, std::uint64_t requestId);  // the callback of the request is not called any more
    void release(const GrantedPermit &permit, const RequestInfo &info, UpstreamResult result, Duration serviceTime);
    bool mayRetry(const RequestInfo &info);      // takes one from the service's retry budget
    std::map<InstanceId, int> inFlight() const;  // permits in use by this entry

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
