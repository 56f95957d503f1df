#pragma once

// The scheduler of one partition: the jobs of a service and the executors that run them. Decisions only: events and the
// present time go in, commands and store writes come out. No sockets, clocks or threads.
//
// Index
// [1] Settings
// [2] State of tasks and executors
// [3] Store writes
// [4] The scheduler

#include "executor.h"
#include "pool_planner.h"

#include <algorithm>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace briarvane
{

// [1] Settings --------------------------------------------------------------------------------------------------------

struct SchedulerSettings
{
    Duration lease{6'000'000};              // of runs; long enough for a takeover, short enough to free lost work soon
    Duration unconfirmedLimit{4'000'000};   // without proof of ownership no starts and no renewals beyond this
    Duration reportPollWait{800'000};       // an executor answers at the latest after this; renews leases in time
    Duration reportPollPause{40'000};       // joins the ends of some tasks into one report
    Duration reportPollTimeout{1'000'000};  // beyond the wait; a round trip takes milliseconds
    Duration freshReport{300'000};          // an executor cannot crash, return and end a new run within this
    Duration commandTimeout{800'000};       // of starts and stops
    Duration silentAfter{1'900'000};        // without a report, no new work: one lost report and its repetition
    Duration stopRepeat{500'000};           // an unanswered stop is sent again
    Duration stopTime{400'000};             // an executor takes this long to stop a run, which is not listed meanwhile
    Duration vacateLimit{2'500'000};        // short tasks on an instance that must leave get this long
    Duration placePeriod{100'000};          // between passes while tasks wait and nothing has happened
    Duration ejection{4'000'000};           // an executor that fails its tasks gets no work for this long
    Duration commitPause{40'000};           // joins the progress of several jobs into one write
    double clockSlowdown = 0.02;            // executors' clocks may run this much slow
    Duration leaseMargin{300'000};          // added to each bound after which a lease is surely over
    Duration adviceTimeout{1'000'000};      // beyond the time that the service takes for the call
    Duration adviceRetry{200'000};          // after a call that was refused or not answered
    Duration adviceRepeat{1'000'000};  // before asking about executors that have come since: a call for each is dear
    Duration ticketMargin{250'000};    // a start travels and waits this long; a lapsed ticket is refused
};

// [2] State of tasks and executors ------------------------------------------------------------------------------------

enum class RunState {
    Reserved,   // long-running: the start waits until the store knows the executor
    Starting,   // the start is on its way
    Unsettled,  // the start was not answered; the next report decides
    Running,
    Stopping,  // a stop was sent
};

struct Run
{
    int run = 0;
    TaskName task;
    Resources held;  // counted against the executor until the end is listed
    RunState state = RunState::Starting;
    bool orphan = false;       // nobody asked for it any more
    bool sizeUnknown = false;  // its job is not known: nothing is started beside it
    bool present = false;      // listed as running
    int percent = 0;
    int pace = 100;
    double load = 0;
    std::string checkpoint;
    TimePoint sentAt;
    TimePoint confirmedAt;  // the start was answered
    TimePoint stopSentAt;
    TimePoint stopAnsweredAt;  // default: not answered
};

struct Task
{
    int run = 0;
    std::vector<int> failedRuns;
    bool done = false;
    bool touched = false;   // has progress worth storing
    std::string executor;   // where its run is; empty: none
    std::string inherited;  // long-running: where an earlier owner may have started it
    std::string checkpoint;
    TimePoint retryAt;
};

/// What the advice service has said of an executor for one step. Whether it may run the step never changes.
struct Permission
{
    bool allowed = false;
    std::string ticket;
    std::int64_t born = 0;  // incarnation that the ticket is for
    TimePoint validUntil;
};

struct StepAdvice
{
    std::map<std::string, Permission> executors;
    bool asking = false;
    TimePoint askAgainAt;   // after a call that failed
    TimePoint askOthersAt;  // executors that have come since
};

struct Occurrence
{
    std::vector<std::vector<Task>> steps;
    std::vector<int> done;           // per step
    std::vector<StepAdvice> advice;  // per step
    int stepsDone = 0;

    bool complete() const
    {
        return stepsDone == static_cast<int>(steps.size());
    }
};

struct Job
{
    JobSpec spec;
    std::uint64_t revision = 0;  // of its record
    bool inherited = false;      // may have runs that this owner does not know
    JobState state = JobState::Pending;
    std::map<int, Occurrence> occurrences;
    int occurrencesDone = 0;
    int nextOccurrence = 0;
    bool dirty = false;
    bool committing = false;  // its final state is on the way to the store
    int runs = 0;             // on executors, stopping ones included
    TimePoint learned;
    TimePoint firstDue;      // of a scheduled job
    Duration allowance{0};   // from the acceptance, or from the due time of a scheduled run; an end after it is late
    bool toldUnfit = false;  // the log says that no executor is large enough or has the label
};

struct Executor
{
    ExecutorRecord record;
    bool listed = false;   // in the present list
    bool adopted = false;  // has reported to this owner
    bool vacating = false;
    TimePoint vacatingSince;
    TimePoint lastReport;
    TimePoint busySince;  // an idle executor is not asked, so its silence counts from its first run
    TimePoint adoptedAt;
    TimePoint listedSince;
    TimePoint ejectedUntil;
    TimePoint usableFrom;  // what an earlier owner stopped holds its resources until then, and is not listed
    TimePoint quietSince() const
    {
        return std::max(lastReport, busySince);
    }
    std::uint64_t lastEnd = 0;       // handled
    std::uint64_t observed = 0;      // durable
    std::uint64_t sentObserved = 0;  // in the report poll that is under way
    std::uint64_t toldObserved = 0;  // answered
    bool reportPollPending = false;
    TimePoint nextReportPoll;
    std::int64_t clockMs = 0;  // at clockAt
    TimePoint clockAt;
    TimePoint leaseOver;  // all runs there have surely ended after this, unless renewed
    double failureScore = 0;
    Resources used;
    int unknownSizes = 0;             // runs whose resources are not in `used`
    std::map<std::string, Run> runs;  // by task name
};

/// An executor that an earlier owner has used.
struct InheritedExecutor
{
    std::int64_t born = 0;  // of the incarnation that was recorded
    bool restarted = false;
};

// [3] Store writes ----------------------------------------------------------------------------------------------------

struct JobWrite
{
    std::string job;
    std::uint64_t revision = 0;  // of the record that a final state replaces
    std::string finalRecord;     // empty: the job goes on
    std::string progress;        // empty: removed
};

struct CommitBatch
{
    std::uint64_t generation = 0;
    std::vector<JobWrite> writes;
};

/// Declared work of the jobs that a queue has brought.
struct QueueWork
{
    double work = 0;  // core-seconds
    int jobs = 0;
};

/// A line for the log about one decision.
struct Decision
{
    std::string event;
    std::string job;
    std::string detail;
};

struct SchedulerCounts
{
    std::uint64_t starts = 0;
    std::uint64_t stops = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t late = 0;      // completed after the objective
    std::uint64_t requeued = 0;  // runs that ended without result
    std::uint64_t refusedStarts = 0;
};

/// Distance in run numbers between the runs that this owner knows and its own first run of a task: above those that an
/// earlier owner started without a trace.
constexpr int InheritedRunGap = 16;

constexpr Duration StartRetryPause{200'000};  // after a start that an executor refused, or a report that did not come

// [4] The scheduler ---------------------------------------------------------------------------------------------------

/// How long what earlier owners did may still matter.
struct Inheritance
{
    TimePoint commandsUntil;  // they may still send commands
    TimePoint runsUntil;      // their runs may still go on at executors that do not answer
};

class Scheduler
{
public:
    Scheduler(SchedulerSettings settings, std::string service, std::uint64_t fencingToken, Inheritance inheritance);

    // Jobs
    void addJob(JobSpec spec, std::uint64_t revision, const JobProgress *progress, bool inherited, TimePoint now,
                std::int64_t wallMs);
    void endJob(const std::string &id, JobState state, TimePoint now);  // cancelled by a caller
    bool knows(const std::string &id) const;

    // Executors
    /// The whole present list; others that earlier owners used are named by `inheritedExecutor`.
    void setExecutors(const std::vector<ExecutorRecord> &records, TimePoint now);
    void inheritExecutor(const ExecutorRecord &record, TimePoint now);  // with the `born` that was recorded
    void setVacating(const std::unordered_set<std::string> &ids, TimePoint now);
    bool waitsForInherited() const;  // for recorded executors that have not answered
    /// Whether a list of the instances could end the wait for recorded executors that do not answer.
    bool wantsInstances(TimePoint now) const;
    /// All instances, by a call sent at `askedAt`. What ran on an executor that no instance has any more has ended; it
    /// is relied on only if the call was sent after earlier owners sent their last commands, which a later incarnation
    /// under the same id might take.
    void setInstances(const std::vector<PooledInstance> &instances, TimePoint askedAt, TimePoint now);
    std::vector<std::string> vacated() const;  // vacating and without runs

    // Results
    void reported(const std::string &executor, const ExecutorReport &report, TimePoint sentAt, TimePoint now);
    void reportPollFailed(const std::string &executor, CommandResult result, TimePoint now);
    void answered(const ExecutorCommand &command, CommandResult result, std::int64_t clockMs, TimePoint now);
    void committed(std::uint64_t generation, TimePoint now);
    /// Null: the call was refused or not answered.
    void advised(const AdviceRequest &request, const Advice *advice, TimePoint sentAt, TimePoint now);
    void confirmed(TimePoint provenAt);  // ownership was proven by a call that was sent at this time

    // Decisions
    void tick(TimePoint now, std::int64_t wallMs);
    std::vector<ExecutorCommand> takeCommands();
    std::vector<AdviceRequest> takeAdviceRequests();
    void setMostAdviceCalls(int calls)
    {
        m_mostAdviceCalls = std::max(1, calls);
    }
    std::vector<Decision> takeDecisions();
    std::optional<CommitBatch> takeCommit(TimePoint now, std::int64_t wallMs);
    std::optional<TimePoint> nextWake(TimePoint now) const;
    /// An adopted executor takes work once the ownership is proven by a call that was sent after its adoption.
    bool wantsProof() const;

    // State
    bool deposed() const
    {
        return m_deposed;
    }
    std::uint64_t fencingToken() const
    {
        return m_fencingToken;
    }
    const std::string &service() const
    {
        return m_service;
    }
    const SchedulerCounts &counts() const
    {
        return m_counts;
    }
    const std::map<std::string, Executor> &executors() const
    {
        return m_executors;
    }
    const Job *job(const std::string &id) const;
    std::size_t openJobs() const
    {
        return m_jobs.size();
    }
    std::map<std::string, int> waitingPerQueue() const;
    PoolLoad load(TimePoint now) const;
    std::string summary(TimePoint now) const;  // one line for the log: what placement can use
    /// Queue, time from acceptance to the end, and whether it met its objective; since the last call.
    struct Finished
    {
        std::string queue;
        Duration total;
        bool inTime = false;
    };
    std::vector<Finished> takeFinished();

private:
    Task *findTask(const TaskName &name, Job **job = nullptr);
    const StepSpec *findStep(const TaskName &name) const;  // null when the job is gone
    ExecutorCommand commandFor(const Executor &executor, CommandKind kind, const std::string &task, int run) const;
    static TimePoint objectiveOf(const Job &job);
    void makeOccurrence(Job &job, int number);
    void openDueOccurrences(Job &job, TimePoint now, std::int64_t wallMs);
    void requeue(const TaskName &name, TimePoint retryAt);
    void dropRun(Executor &executor, std::map<std::string, Run>::iterator place);
    void handleEnd(Executor &executor, const EndReport &end, TimePoint now);
    void taskDone(Job &job, const TaskName &name, Task &task, TimePoint now);
    void stopOthers(Job &job, const TaskName &name, TimePoint now);
    void noteBegun(Job &job, TimePoint now);
    void finishJob(Job &job, JobState state, TimePoint now);
    void stopRun(Executor &executor, const std::string &name, Run &run, TimePoint now, std::string_view why);
    void stopAllRuns(Job &job, TimePoint now, std::string_view why);
    void forgetIfGone(const std::string &id);
    void loseTicket(const TaskName &name, const std::string &executor);
    void loseRuns(Executor &executor, TimePoint now, std::string_view why, bool restarted = false);
    void noteOutcome(Executor &executor, bool good, TimePoint now);
    void adopt(Executor &executor, const RunningReport &row, TimePoint now);
    std::int64_t leaseUntil(const Executor &executor, TimePoint now) const;
    void extendLease(Executor &executor, std::int64_t untilMs);
    bool mayCommand(TimePoint now) const;
    void pollReportIfDue(Executor &executor, TimePoint now);
    void repeatStops(Executor &executor, TimePoint now);
    void vacate(Executor &executor, TimePoint now);
    void pace(Executor &executor, TimePoint now);
    int awayInStep(const Job &job, const TaskName &name, TimePoint now) const;
    void place(TimePoint now);
    bool placeStep(Job &job, int occurrence, int step, TimePoint now);
    bool knownToLackRoom(const StepSpec &step) const;
    void foundNone(Job &job, int occurrence, int step, TimePoint now);
    static StepAdvice &adviceOf(Job &job, int occurrence, int step);
    const std::string &ticketFor(const Job &job, int occurrence, int step, const Executor &executor,
                                 TimePoint now) const;
    void askAdvice(Job &job, int occurrence, int step, TimePoint now);
    bool stepReady(const Job &job, const Occurrence &occurrence, int step) const;
    bool takesWork(const Executor &executor, TimePoint now) const;
    std::map<std::string_view, int> roomPerRack(const StepSpec &spec, TimePoint now) const;
    Executor *pickExecutor(const Job &job, int occurrence, int step, TimePoint now);
    void start(Job &job, const TaskName &name, Executor &executor, TimePoint now);
    void sendStart(Job &job, const std::string &name, Run &run, Executor &executor, TimePoint now);
    bool mayHaveUnknownRun(const Job &job, int step, const Task &task) const;
    void decide(std::string event, std::string job, std::string detail);

    SchedulerSettings m_settings;
    std::string m_service;
    std::uint64_t m_fencingToken;
    Inheritance m_inheritance;
    bool m_hasPredecessor = false;
    TimePoint m_confirmedAt;
    bool m_deposed = false;
    bool m_changed = true;     // something that placement depends on
    TimePoint m_placeAgainAt;  // executors become usable again by time alone, for example after an ejection
    std::unordered_map<std::string, std::unique_ptr<Job>> m_jobs;
    std::map<std::string, Executor> m_executors;
    std::unordered_map<std::string, InheritedExecutor> m_inheritedDark;  // not yet heard by this owner
    std::unordered_set<std::string> m_dirty;
    std::uint64_t m_generation = 0;
    bool m_commitPending = false;
    TimePoint m_dirtySince;
    std::map<std::string, std::uint64_t> m_commitEnds;  // executor: last end whose effects the pending commit holds
    std::vector<std::string> m_commitFinal;
    std::vector<std::pair<std::string, std::string>> m_reserved;  // executor and task that the next commit records
    std::vector<std::pair<std::string, std::string>> m_commitReserved;
    std::vector<ExecutorCommand> m_commands;
    std::vector<AdviceRequest> m_adviceRequests;
    int m_adviceCalls = 0;        // under way
    int m_mostAdviceCalls = 2;    // one is handled by the service while the next one waits
    double m_allowedShare = 0.5;  // of the executors that were asked about, lately; nothing is known at first
    std::vector<Decision> m_decisions;
    std::vector<Finished> m_finished;
    SchedulerCounts m_counts;
    std::map<std::string, QueueWork> m_queueWork;

    /// A demand that found no room in the present pass.
    struct LackOfRoom
    {
        std::string label;  // of the executors that were looked at; empty: all
        Resources each;
        int together = 1;  // tasks that start as a whole
    };
    std::vector<LackOfRoom> m_noRoomFor;
};

}
