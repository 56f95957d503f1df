#pragma once

// Decides by its access key whether a request may be served, and which jobs its caller may submit, see and cancel.
//
// Load that this answers: callers of many workspaces share the queues, and a key is withdrawn while its holder goes on
// sending. The decision needs the configuration only, so a refused caller costs no call to the store.
//
// Index
// [1] Scope
// [2] Decision
// [3] Age of the configuration

#include "deployment.h"

namespace briarvane
{

// [1] Scope -----------------------------------------------------------------------------------------------------------

/// The jobs that a caller may see, cancel and submit again.
struct CallerScope
{
    bool allJobs = true;    // the configuration has no workspaces
    std::string workspace;  // workspace of the caller; empty: none

    /// Whether the caller may use a job with this workspace. Jobs without a workspace are open to every caller.
    bool includes(const std::string &jobWorkspace) const
    {
        return allJobs || jobWorkspace.empty() || jobWorkspace == workspace;
    }
};

// [2] Decision --------------------------------------------------------------------------------------------------------

enum class AccessOutcome { Allowed, NoKey, UnknownKey };

struct CallerAccess
{
    AccessOutcome outcome = AccessOutcome::Allowed;
    CallerScope scope;  // empty unless the outcome is Allowed
};

/// `accessKey`: key of the request, null if it has none. A key on a public queue is not required; if it belongs to a
/// workspace, the caller may use the jobs of this workspace.
CallerAccess decideAccess(const DeploymentConfig &config, const Queue &queue, const std::string *accessKey);

// [3] Age of the configuration ----------------------------------------------------------------------------------------

/// Whether a newer configuration may have to be in force already: it was not known to be the latest one within the time
/// in which a version must take effect. An entry then can tell neither that a key is unknown nor that it still holds.
/// `currentAt`: time at which the configuration was known to be the latest.
constexpr bool mayBeOutdated(TimePoint currentAt, Duration applyTime, TimePoint now)
{
    return now - currentAt > applyTime;
}

template<>
struct EnumNames<AccessOutcome>
{
    static constexpr std::array<EnumName<AccessOutcome>, 3> names = {{{AccessOutcome::Allowed, "allowed"},
                                                                      {AccessOutcome::NoKey, "no-key"},
                                                                      {AccessOutcome::UnknownKey, "unknown-key"}}};
};

}
