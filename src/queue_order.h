#pragma once

// The order in which waiting jobs get room. It only decides: it uses no sockets, clocks or threads.
//
// Load that this answers: for some seconds a queue asks for two to five times what its pool holds, one workspace sends
// many times its usual, and not every job can end in time.
//
// Index
// [1] Jobs and workspaces
// [2] The order
// [3] What a workspace is owed

#include "types.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace briarvane
{

// [1] Jobs and workspaces ---------------------------------------------------------------------------------------------

/// Where a job stands against its latency objective. A job that ends late has little value, and none after three times
/// its objective.
enum class ObjectiveStatus {
    LongRunning,  // has no objective
    Reachable,
    Late,
    Expired,  // will end after three times its objective
};

struct QueuedJob
{
    std::string_view id;
    int priority = 0;  // lowest first
    bool longRunning = false;
    Duration age{0};             // since its acceptance
    Duration untilObjective{0};  // may be negative
    Duration untilWorthless{0};  // until three times the objective
    Duration remainingChain{0};  // declared time of the longest chain of steps that are not done
    double remainingWork = 0;    // core-seconds
    double value = 1;            // what its caller gains if it ends in time, relative to the mean job of its queue
    double demand = 0;           // share of the pool's scarcest resource that its tasks without a run take
    int workspace = -1;          // index into the list of workspaces; -1: none
    bool beyondWeight = false;   // its workspace sent more jobs a second than its weight
};

struct WorkspaceUse
{
    double weight = 1;
    double use = 0;  // share of the pool's scarcest resource that its runs take
};

ObjectiveStatus objectiveStatus(const QueuedJob &job);
/// Chance that a job that starts now ends in time. Declared times are rough, so it rises gradually with the time left.
double chanceInTime(const QueuedJob &job);

/// Core-seconds per value that the job's caller can expect.
double costOf(const QueuedJob &job);
/// Value of a job whose work is `relativeWork` times the mean work of its queue's jobs.
double valueOf(double relativeWork);

// [2] The order -------------------------------------------------------------------------------------------------------

enum class QueuePolicy {
    Arrival,    // oldest first
    Cost,       // by status, priority, and core-seconds per value
    FairShare,  // as Cost, with workspaces sharing the room by weight; as Cost for jobs without a workspace
};

/// Indices into `jobs`, the first to get room first.
/// FairShare places long-running jobs first, then jobs that are owed and can end in time, then those with which their
/// workspace exceeds its share of the room, then owed jobs that are late, then jobs beyond their workspace's weight,
/// then those that have no value any more. A share is by weight; what a workspace leaves of it is lent to the others.
/// Within one of these groups the order is that of Cost.
std::vector<std::size_t> queueOrder(QueuePolicy policy, const std::vector<QueuedJob> &jobs,
                                    std::vector<WorkspaceUse> workspaces);

struct RoomUse
{
    double share = 0;     // of the pool's scarcest resource
    bool isShort = true;  // some of it is used by tasks that end by themselves
};

/// Whether the next task of the job, or its next gang, may take the share `unit` of the pool. Jobs beyond their
/// workspace's weight leave some room free for jobs that others are owed. They are placed unit by unit like other jobs,
/// since a job may be larger than the room that they may take. A unit that is larger waits for the tasks that end.
bool mayTakeRoom(const QueuedJob &job, const RoomUse &use, double unit);

// [3] What a workspace is owed ----------------------------------------------------------------------------------------

/// Finds the jobs that a workspace sends beyond its weight in jobs a second: those for which an allowance that grows by
/// the weight each second, up to a burst of some jobs, does not suffice.
class WorkspaceArrivals
{
public:
    /// Records a job that arrived at `at` and returns whether it is beyond the weight. A job that is recorded out of
    /// order, as after a takeover, does not make the allowance grow.
    bool record(const std::string &workspace, int weight, TimePoint at);

private:
    struct Allowance
    {
        double jobs = 0;
        TimePoint at;
    };
    std::map<std::string, Allowance> m_allowances;
};

}
