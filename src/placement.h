#pragma once

// Placement of tasks on workers: task sizes, spreading over failure domains, quotas per tenant, and leases.
//
// Index
// [1] Workers and tasks
// [2] Decisions
// [3] Placement

#include "types.h"

#include <map>
#include <set>
#include <unordered_map>

namespace briarvane
{

// [1] Workers and tasks -----------------------------------------------------------------------------------------------

struct PlacementResources
{
    double processors = 0;  // cores
    double memory = 0;      // GB
    int accelerators = 0;   // whole devices; a device is not shared between tasks

    bool operator==(const PlacementResources &) const = default;
};

PlacementResources operator+(const PlacementResources &a, const PlacementResources &b);
/// Whether each resource of `a` is at most that of `b`. Rounding errors of sums are tolerated.
bool fits(const PlacementResources &a, const PlacementResources &b);

struct Worker
{
    std::string id;
    std::string rack;
    std::string dataCentre;
    PlacementResources capacity;
};

struct PlacementTask
{
    std::string id;
    ServiceId service;
    std::string route;
    TenantId tenant;  // PlacementDecision::reason calls a tenant a team
    RequestClass taskClass = RequestClass::Short;
    PlacementResources declared;
    bool idempotent = false;
};

// [2] Decisions -------------------------------------------------------------------------------------------------------

enum class PlacementVerdict {
    Start,       // the task was placed on `worker`, under a lease
    Wait,        // the task fits some worker, but no worker has room now or the tenant's quota is used up
    Impossible,  // the task fits no worker or exceeds its tenant's quota by itself
};

template<>
struct EnumNames<PlacementVerdict>
{
    static constexpr std::array<EnumName<PlacementVerdict>, 3> names = {{{PlacementVerdict::Start, "start"},
                                                                         {PlacementVerdict::Wait, "wait"},
                                                                         {PlacementVerdict::Impossible, "never"}}};
};

struct PlacementDecision
{
    std::string task;
    PlacementVerdict verdict = PlacementVerdict::Wait;
    std::string worker;
    std::string reason;  // for operators; set for Wait and Impossible
};

/// A run whose lease was not renewed in time. It may still be running.
struct LapsedRun
{
    std::string task;
    std::string worker;
    bool restarted = false;  // true: the idempotent task was queued again; false: its caller gets the outcome Unknown
};

struct PlacementSettings
{
    Duration lease{30'000'000};
    Duration usageDelay{10'000'000};  // time from a task's start until reports include its usage
    int failuresToEject = 3;          // consecutive failures after which a worker gets no tasks for a time
    /// Duration of the first ejection. The time doubles with each further ejection, up to maxEjectionTime, until
    /// a run on the worker succeeds.
    Duration minEjectionTime{10'000'000};
    Duration maxEjectionTime{600'000'000};
};

// [3] Placement -------------------------------------------------------------------------------------------------------

/// Workers, the queue of waiting tasks, and runs. The load of a worker is the larger of two sums: the sizes of all its
/// runs, and its last reported usage plus the sizes of the runs that the report does not include yet. A lapsed run
/// counts until its worker reports the end or is known to have stopped.
class Placement
{
public:
    explicit Placement(PlacementSettings settings = {});

    // Events
    void setWorker(const Worker &worker);
    void removeWorker(const std::string &worker, TimePoint now);  // its runs lapse at once
    void workerStopped(const std::string &worker);                // the machine is off, so its runs have ended
    void report(const std::string &worker, const PlacementResources &usage, TimePoint measured);
    void setQuota(const TenantId &tenant, const PlacementResources &quota);
    /// Queues the task and returns Wait. Returns Impossible without queueing it, or the error Conflict if a task with
    /// the same id is queued or running.
    Result<PlacementDecision> submit(const PlacementTask &task);
    void cancel(const std::string &task);  // removes the task from the queue; does not affect a run
    void renew(const std::string &task, const std::string &worker, TimePoint now);
    /// Ends the run of the task on the worker. `peak` is the largest usage of the run.
    void finish(const std::string &task, const std::string &worker, bool succeeded, const PlacementResources &peak,
                TimePoint now);

    // Decisions
    std::vector<PlacementDecision> place(TimePoint now);  // a decision for each queued task, urgent tasks first
    std::vector<LapsedRun> lapse(TimePoint now);          // runs whose leases have ended since the last call

    /// Declared size of the task, corrected by the usage of earlier runs of the same service and route.
    PlacementResources sizeOf(const PlacementTask &task) const;
    PlacementResources load(const std::string &worker) const;
    std::size_t queued() const;

private:
    struct PlacedRun
    {
        PlacementTask task;
        std::string worker;
        PlacementResources size;
        TimePoint started;
        TimePoint leaseUntil;
        bool lapsed = false;
    };

    struct WorkerState
    {
        Worker worker;
        bool listed = true;  // false: the worker was removed and is kept only for its lapsed runs
        PlacementResources reported;
        std::optional<TimePoint> measured;
        int failuresInRow = 0;
        int ejections = 0;
        TimePoint ejectedUntil;
        std::vector<std::size_t> runs;         // keys of m_runs
        PlacementResources load;               // as defined at Placement; updated by refreshLoad()
        std::array<std::size_t, 3> domains{};  // numbers of the failure domains: data centre, rack, worker
    };

    /// Ratio of used to declared resources, for one service and route.
    struct UsageRatio
    {
        double processors = 1;
        double memory = 1;
    };

    std::optional<std::string> rejectionReason(const PlacementTask &task) const;
    bool exceedsQuota(const PlacementTask &task, const PlacementResources &size) const;
    WorkerState *choose(const PlacementTask &task, const PlacementResources &size, TimePoint now);
    void start(const PlacementTask &task, const PlacementResources &size, WorkerState &worker, TimePoint now);
    void end(std::size_t run);
    void addToCounts(const PlacedRun &run, int change);
    void refreshLoad(WorkerState &state) const;

    PlacementSettings m_settings;
    std::map<std::string, WorkerState> m_workers;
    std::map<std::string, PlacementResources> m_quotas;
    std::map<std::string, PlacementResources> m_usedPerTeam;
    std::map<std::string, std::size_t> m_domainNumbers;         // by name of the failure domain
    std::map<std::string, std::vector<int>> m_runsPerDomain;    // by service, then by number of the failure domain
    std::unordered_map<std::string, UsageRatio> m_usageRatios;  // by service and route
    std::map<std::size_t, PlacedRun> m_runs;                    // in the order of their starts
    std::set<std::string> m_taskIds;                            // of queued and running tasks
    std::map<std::pair<RequestClass, std::size_t>, PlacementTask> m_queue;
    std::size_t m_nextKey = 0;  // next key for m_runs and m_queue
};

}
