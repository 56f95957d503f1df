#pragma once

// Tasks onto workers: sizes, spreading over failure domains, quotas per team, leases.
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

struct Resources
{
    double processors = 0;  // cores
    double memory = 0;      // GB
    int accelerators = 0;   // never shared

    bool operator==(const Resources &) const = default;
};

Resources operator+(const Resources &a, const Resources &b);
/// True when each part of `a` is at most that of `b`, but for rounding of sums.
bool fits(const Resources &a, const Resources &b);

struct Worker
{
    std::string id;
    std::string rack;
    std::string dataCentre;
    Resources capacity;
};

struct Task
{
    std::string id;
    ServiceId service;
    std::string route;
    TenantId tenant;  // team
    RequestClass taskClass = RequestClass::Short;
    Resources declared;
    bool idempotent = false;
};

// [2] Decisions -------------------------------------------------------------------------------------------------------

enum class PlacementVerdict {
    Start,  // on `worker`, under a lease
    Wait,   // fits a worker, but not now
    Never,  // fits no worker or exceeds its team's quota by itself
};

template<>
struct EnumNames<PlacementVerdict>
{
    static constexpr std::array<EnumName<PlacementVerdict>, 3> names
        = {{{PlacementVerdict::Start, "start"}, {PlacementVerdict::Wait, "wait"}, {PlacementVerdict::Never, "never"}}};
};

struct PlacementDecision
{
    std::string task;
    PlacementVerdict verdict = PlacementVerdict::Wait;
    std::string worker;
    std::string reason;  // of Wait and Never, for operators
};

/// A run whose lease ended without word from its worker. It may still be running.
struct LapsedRun
{
    std::string task;
    std::string worker;
    bool restarted = false;  // idempotent and queued again; otherwise the caller is told that the outcome is unknown
};

struct PlacementSettings
{
    Duration lease{30'000'000};
    Duration usageDelay{10'000'000};      // a task's usage shows in reports this long after its start
    int failuresToReject = 3;             // in a row: the worker gets no task for a time
    Duration firstRejection{10'000'000};  // doubles with each repetition
    Duration longestRejection{600'000'000};
};

// [3] Placement -------------------------------------------------------------------------------------------------------

/// Holds workers, the queue, and runs. A worker's load is the larger of two sums: the sizes of all runs on it, or its
/// last report plus the sizes of the runs that the report cannot show yet. Lapsed runs count until their worker says
/// that they ended.
class Placement
{
public:
    explicit Placement(PlacementSettings settings = {});

    // Events
    void setWorker(const Worker &worker);
    void removeWorker(const std::string &worker, TimePoint now);  // its runs lapse at once
    void forgetWorker(const std::string &worker);                 // the machine is off: its runs have ended
    void report(const std::string &worker, const Resources &usage, TimePoint measured);
    void setQuota(const TenantId &tenant, const Resources &most);
    /// Queues the task. Never is answered at once, and the task is not queued; Conflict for an id that is in use.
    Result<PlacementDecision> submit(const Task &task);
    void cancel(const std::string &task);  // removes it from the queue
    void renew(const std::string &task, const std::string &worker, TimePoint now);
    /// The run ended. `peak` is its largest usage.
    void finish(const std::string &task, const std::string &worker, bool succeeded, const Resources &peak,
                TimePoint now);

    // Decisions
    std::vector<PlacementDecision> place(TimePoint now);  // urgent first; starts, and one Wait for each task left
    std::vector<LapsedRun> lapse(TimePoint now);

    Resources sizeOf(const Task &task) const;  // declared size corrected by what was seen
    Resources load(const std::string &worker) const;
    std::size_t queued() const;

private:
    struct Run
    {
        Task task;
        std::string worker;
        Resources size;
        TimePoint started;
        TimePoint leaseUntil;
        bool lapsed = false;
    };

    struct WorkerState
    {
        Worker worker;
        bool listed = true;  // false: removed, kept while lapsed runs count there
        Resources reported;
        std::optional<TimePoint> measured;
        int failuresInRow = 0;
        int rejections = 0;
        TimePoint rejectedUntil;
        std::vector<std::size_t> runs;         // keys of m_runs
        Resources load;                        // kept up to date with runs and reports
        std::array<std::size_t, 3> domains{};  // of the data centre, the rack and the worker itself
    };

    struct Seen  // ratio of used to declared size, per service and route
    {
        double processors = 1;
        double memory = 1;
    };

    std::optional<std::string> whyNever(const Task &task) const;
    bool overQuota(const Task &task, const Resources &size) const;
    WorkerState *choose(const Task &task, const Resources &size, TimePoint now);
    void start(const Task &task, const Resources &size, WorkerState &worker, TimePoint now);
    void end(std::size_t run);
    void count(const Run &run, int change);
    void refreshLoad(WorkerState &state) const;

    PlacementSettings m_settings;
    std::map<std::string, WorkerState> m_workers;
    std::map<std::string, Resources> m_quotas;
    std::map<std::string, Resources> m_used;           // per team
    std::map<std::string, std::size_t> m_domains;      // number of each failure domain
    std::map<std::string, std::vector<int>> m_spread;  // per service: runs in each failure domain
    std::unordered_map<std::string, Seen> m_seen;
    std::map<std::size_t, Run> m_runs;  // by order of start
    std::set<std::string> m_known;      // ids in the queue or running
    std::map<std::pair<RequestClass, std::size_t>, Task> m_queue;
    std::size_t m_next = 0;
};

}
