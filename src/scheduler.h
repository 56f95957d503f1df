#pragma once

// The scheduler of one partition, that is of a part of the jobs of one service and the executors that run them. It only
// makes decisions: events and the present time are its input, commands and store writes its output. It uses no sockets,
// clocks or threads.
//
// Index
// [1] Settings
// [2] State of tasks, jobs and executors
// [3] Store writes, log lines and counts
// [4] The scheduler

#include "admission.h"
#include "executor.h"
#include "executor_health.h"
#include "partition_fit.h"
#include "pool_planner.h"
#include "workspace_quota.h"

#include <algorithm>
#include <memory>
#include <numeric>
#include <unordered_map>
#include <unordered_set>

namespace briarvane
{

// [1] Settings --------------------------------------------------------------------------------------------------------

struct SchedulerSettings
{
    /// Lease of a run. It outlasts a takeover by a new owner, yet tasks of a lost executor can start again within
    /// seconds.
    Duration lease{6'000'000};
    /// Longest lease that executors accept. They shorten any other one to it, also one on the clock of an earlier
    /// incarnation, which may be far ahead of their own.
    Duration longestLease{6'000'000};
    /// An unanswered command is carried out at most this time later.
    Duration lateCommandLimit{12'000'000};
    // From this age of the last proof of ownership on, the scheduler starts no tasks, extends no leases, sets no paces,
    // repeats no stops and does not vacate executors.
    Duration ownershipProofMaxAge{4'000'000};
    /// Limit of that age for starts of tasks that have another run. Its end may have been handled by a new owner, after
    /// which the task must not start for longer than about a second.
    Duration copyProofMaxAge{800'000};
    /// Longest time that an executor delays a report. Report polls renew leases, so this is far below `lease`.
    Duration reportPollWait{800'000};
    /// Pause after a report with ends, so that the next report carries several ends. After a start or a stop the next
    /// report poll falls due within this time.
    Duration reportBatchDelay{40'000};
    /// Added to the wait of the poll. A round trip takes only milliseconds, and a poll whose answer is lost has to be
    /// repeated before `silentAfter`.
    Duration reportPollTimeout{500'000};
    /// Longest time that an executor delays a report while polls get lost, so that the ends behind a lost answer are
    /// learned soon.
    Duration lossyPollWait{250'000};
    /// Share of lost polls, as a decaying mean over all executors, from which on polls count as getting lost.
    double lossyPollShare = 0.01;
    /// Time-out of a report poll to an executor whose report is overdue. Such a poll asks for the report at once: a
    /// report has to arrive before leases are renewed again, and the leases must not lapse meanwhile.
    Duration overduePollTimeout{600'000};
    // Within this time after its last report an executor cannot have crashed, restarted and ended a new run.
    Duration freshReportAge{300'000};
    Duration commandTimeout{800'000};  // time-out of stops and pace commands, and longest time-out of starts
    /// Shortest time-out of a start. A start is sent again after its time-out, which does no harm: an executor carries
    /// out a run number once. Executors that answer slowly get a longer time-out, see startTimeout().
    Duration minStartTimeout{150'000};
    int maxStartSends = 3;  // after this many sends without an answer a start is settled by a report and a stop
    // An executor with runs whose last report is older than this gets no new work and no lease extensions. The time
    // allows for one lost report and its repetition.
    Duration silentAfter{1'900'000};
    Duration stopRetryInterval{500'000};  // an unanswered stop is sent again after this time
    Duration stopTime{400'000};           // time in which an executor stops a run; its reports omit the run meanwhile
    /// Time that tasks on a vacating executor, except long-running ones, get to finish.
    Duration vacateGracePeriod{2'500'000};
    /// A long-running task on a vacating executor blocks it when another one of its step has found no room for this
    /// time. Long enough for short tasks to end during a demand peak.
    Duration vacateRoomTimeout{3'000'000};
    /// A job that no executor of the partition can run waits for this time before it may be moved to another partition.
    /// Executors that were not listed for a moment are back by then.
    Duration misplacedAfter{1'000'000};
    Duration placementInterval{100'000};    // time between placement passes while tasks wait and no event occurs
    Duration housekeepingInterval{40'000};  // time between checks for stops to repeat and tasks to vacate
    HealthSettings health;
    /// No executor gets its work withdrawn while so large a share of the listed ones is already ejected: then the
    /// failures are hardly theirs, and their room is needed. At least one executor may be ejected.
    double maxEjectedShare = 1.0 / 3;
    Duration commitBatchDelay{40'000};    // time over which changes to jobs are collected into one commit
    double clockSlowdown = 0.02;          // largest fraction by which an executor's clock may run slow
    Duration leaseExpiryMargin{300'000};  // added to the computed time by which a lease has ended
    /// Added to the time that the advice service needs for the call and for the calls ahead of it.
    Duration adviceTimeout{1'000'000};
    Duration adviceRetryDelay{200'000};  // pause after an advice call that was refused or not answered
    // Shortest time from an answer to the next call for the same step that names executors without an answer. A call
    // for each newly registered executor would take too much of the service's time.
    Duration adviceRepeatInterval{1'000'000};
    // A ticket is not used in the last part of its validity, because the start takes time to reach the executor, which
    // refuses expired tickets.
    Duration ticketMargin{250'000};
};

// [2] State of tasks, jobs and executors ------------------------------------------------------------------------------

enum class RunState {
    Reserved,  // long-running task: the start is sent once the executor is recorded in the store
    Starting,  // the start was sent
    /// None of the sends of the start was answered, or the executor restarted before a report listed the run. The next
    /// report shows whether the run exists.
    Unconfirmed,
    Running,
    Stopping,  // a stop was sent
};

/// One run of a task on an executor.
struct Run
{
    int run = 0;  // run number
    TaskName task;
    Resources allocated;    // counted in Executor::used until the run is removed from the executor
    std::string workspace;  // workspace whose quota counts the run; empty: none
    Resources quotaUse;     // counted in that quota until the run is removed from the executor
    RunState state = RunState::Starting;
    /// No task waits for this run any more: it is not needed, or its task has started elsewhere as well (see
    /// copyRuns()).
    bool obsolete = false;
    /// The job of the run is unknown, and thus also its resources. The executor gets no new work while it has the run.
    bool resourcesUnknown = false;
    bool reportedRunning = false;  // a report has listed the run as running
    int percent = 0;               // see RunningReport
    int pacePercent = 100;         // percentage of full speed that was last commanded
    double load = 0;               // see RunningReport
    std::string checkpoint;
    int sends = 0;          // number of times that the start was sent
    TimePoint sentAt;       // time at which the start was last sent or the reported run was adopted
    TimePoint confirmedAt;  // time of the answer to the start, or of the first report that lists the run
    TimePoint stopSentAt;
    TimePoint stopAnsweredAt;  // time at which the executor accepted the stop; default value: not yet
};

struct Task
{
    int run = 0;                  // highest run number that was used
    std::vector<int> failedRuns;  // run numbers
    bool done = false;
    bool copied = false;           // has been started again while an earlier run may go on
    bool hasProgress = false;      // the task's state is written to the store with the job's progress
    std::string executor;          // executor of the task's run; empty: the task has no run
    std::string recordedExecutor;  // long-running tasks: executor on which a previous owner may have started the task
    std::string checkpoint;
    TimePoint retryAt;  // the task is not placed before this time
};

/// Answer of the advice service about one executor for one step. A refusal is final. An allowed executor needs a new
/// ticket once its ticket has expired.
struct Permission
{
    bool allowed = false;
    std::string ticket;
    std::int64_t startedMs = 0;  // incarnation that the ticket was issued for
    TimePoint validUntil;
};

struct StepAdvice
{
    std::map<std::string, Permission> executors;
    bool callPending = false;
    TimePoint callRetryAt;        // after a failed call: no call before this time
    TimePoint newExecutorCallAt;  // no call names executors without an answer before this time
};

/// One execution of all steps of a job. A scheduled job may have several.
struct Occurrence
{
    std::vector<std::vector<Task>> steps;
    std::vector<int> done;           // number of tasks done, by step
    std::vector<StepAdvice> advice;  // by step
    /// By step: time since which placement passes find no executor for a waiting task; default value: they find one.
    std::vector<TimePoint> noRoomSince;
    int stepsDone = 0;

    bool complete() const
    {
        return stepsDone == static_cast<int>(steps.size());
    }
};

struct Job
{
    JobSpec spec;
    std::uint64_t revision = 0;  // revision of the job's record in the store
    bool takenOver = false;      // a previous owner may have started runs that this owner has no record of
    JobState state = JobState::Pending;
    std::map<int, Occurrence> occurrences;
    int occurrencesDone = 0;
    int nextOccurrence = 0;  // number of the occurrence that falls due next
    bool dirty = false;
    bool commitPending = false;  // the store has not yet confirmed the final state
    int runs = 0;                // runs on executors, including those that are being stopped
    TimePoint acceptedAt;
    TimePoint firstDue;            // due time of the first occurrence of a scheduled job
    Duration latencyObjective{0};  // counted from the acceptance, or from the due time of a scheduled occurrence
    std::string failedOn;          // executor on which a task of the job failed first
    bool beyondWeight = false;     // its workspace sent more jobs a second than its weight
    bool misfitLogged = false;     // the log already says that no registered executor has the required size and label
    bool inTransfer = false;       // its records are being moved to another partition: nothing starts meanwhile
};

/// A start without an answer.
struct UnansweredStart
{
    std::string task;
    int run = 0;
    std::int64_t startedMs = 0;  // incarnation that it was sent to, or that refuses it
    TimePoint until;             // it is not carried out later
};

/// Commands to an executor that may be carried out late. An incarnation that starts meanwhile under the same id takes
/// them as its own, although their clock, numbers of ends and runs are those of the former one.
struct OpenCommands
{
    std::int64_t startedMs = 0;  // incarnation when the last command ended
    TimePoint leasesUntil;       // commands with a lease, answered or not, are carried out by then
    TimePoint acknowledgementsUntil;
    std::vector<UnansweredStart> starts;

    TimePoint until() const
    {
        return std::accumulate(
            starts.begin(), starts.end(), std::max(leasesUntil, acknowledgementsUntil),
            [](TimePoint latest, const UnansweredStart &start) { return std::max(latest, start.until); });
    }
};

struct Executor
{
    ExecutorRecord record;
    bool listed = false;    // is in the last list of registered executors
    bool adopted = false;   // has reported to this owner, so its clock and its runs are known
    bool vacating = false;  // is on the list of vacating executors
    /// Has a long-running task that may not be stopped, so the executor cannot become empty. It takes work until the
    /// list of vacating executors has named it anew.
    bool vacatingBlocked = false;
    TimePoint vacatingSince;
    TimePoint lastReport;
    TimePoint reportSentAt;  // send time of the poll that the last report answers: the report is no older than that
    TimePoint busySince;     // time at which the executor last got a run or a reservation while it had none
    TimePoint adoptedAt;
    TimePoint listedSince;
    ExecutorHealth health;
    TimePoint usableFrom;  // runs that a previous owner stopped may occupy resources until then, without being reported
    bool leavesByOrder() const  // must become empty for an order of the fleet's owner
    {
        return vacating && !vacatingBlocked;
    }
    bool isClosed() const  // gets no new work
    {
        return record.draining || leavesByOrder();
    }
    /// An executor without runs is not polled, so its silence counts from its first start at the earliest.
    TimePoint silentSince() const
    {
        return std::max(lastReport, busySince);
    }
    /// The last report could not list all ends. Runs that it did not list may have ended; acknowledgements of the
    /// listed ends make room for the others.
    bool endsIncomplete = false;
    std::uint64_t handledEnd = 0;           // highest number of an end that was handled
    std::uint64_t durableEnd = 0;           // highest number of an end whose effects are in the store
    std::uint64_t sentAcknowledgement = 0;  // number of the end that the pending report poll acknowledges
    std::uint64_t acknowledgedEnd = 0;      // highest number of an end whose acknowledgement was answered
    bool reportPollPending = false;
    TimePoint nextReportPoll;
    bool unreachable = false;               // the last report poll could not connect
    int failedPolls = 0;                    // report polls in a row that failed
    bool settlePollPending = false;         // see ExecutorCommand::settles
    TimePoint settleAt = TimePoint::max();  // time from which a report can settle a start or a stop
    std::int64_t reportClockMs = 0;         // executor's clock in the last report that was handled
    Duration answerTime{0};                 // decaying mean of the time that it takes to answer a start
    int startsAllowed = 0;                  // number of starts that the present placement pass may still send
    std::int64_t clockMs = 0;               // executor's clock at clockReadAt
    TimePoint clockReadAt;                  // default value: the clock was not read
    TimePoint leasesEndBy;  // all runs on the executor have ended by then unless their leases are renewed
    OpenCommands openCommands;
    /// An acknowledgement for a former incarnation may be carried out until then, and discard ends that were never
    /// reported. A task that must not run twice is not started here meanwhile.
    TimePoint endsAtRiskUntil;
    Resources used;
    int runsOfUnknownSize = 0;        // runs whose resources are not counted in `used`
    std::map<std::string, Run> runs;  // by task name
};

// [3] Store writes, log lines and counts ------------------------------------------------------------------------------

struct JobWrite
{
    std::string job;
    std::uint64_t revision = 0;  // revision of the job's record that a final state may replace
    std::string finalRecord;     // empty: the job's record stays
    std::string progress;        // empty: the progress record is removed
};

struct CommitBatch
{
    std::uint64_t generation = 0;  // identifies the batch in Scheduler::committed
    std::vector<JobWrite> writes;
};

/// Declared work of all jobs of one queue that this owner has added.
struct QueueWork
{
    double work = 0;  // core-seconds
    int jobs = 0;
};

/// Log line about one decision.
struct Decision
{
    std::string event;
    std::string job;
    std::string detail;
};

struct SchedulerCounts
{
    std::uint64_t beyondWeight = 0;  // jobs that their workspace sent beyond its weight in jobs a second
    std::uint64_t starts = 0;
    std::uint64_t stops = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t late = 0;      // jobs that completed or failed after their latency objective
    std::uint64_t requeued = 0;  // runs that ended or were lost before their task was done
    std::uint64_t refusedStarts = 0;
    std::uint64_t repeatedStarts = 0;  // sends of starts whose earlier send was not answered
    std::uint64_t ejections = 0;
    std::uint64_t copies = 0;            // tasks of speculative steps that were started again while their run may go on
    std::uint64_t unansweredStarts = 0;  // starts that no send was answered of
};

/// Gap that a new owner leaves in the run numbers of a task without recorded progress, so that its first run number is
/// above those that a previous owner may have used without recording them. Also added after a start that the executor
/// refused as superseded.
constexpr int TakeoverRunGap = 16;

constexpr Duration StartRetryPause{200'000};  // pause after a refused start or a failed report poll

// [4] The scheduler ---------------------------------------------------------------------------------------------------

/// Times until which previous owners of the partition may still affect its executors.
struct PredecessorLimits
{
    TimePoint commandsUntil;  // previous owners may send commands until then
    TimePoint runsUntil;      // runs of previous owners may continue until then on executors that do not answer
};

class Scheduler
{
public:
    Scheduler(SchedulerSettings settings, std::string service, std::uint64_t fencingToken,
              PredecessorLimits predecessorLimits);

    // Jobs. `now` is monotonic time, `wallMs` Unix time in ms.
    /// `takenOver`: the job was accepted before this owner acquired the partition. `progress` may be null.
    void addJob(JobSpec spec, std::uint64_t revision, const JobProgress *progress, bool takenOver, TimePoint now,
                std::int64_t wallMs);
    void endJob(const std::string &id, JobState state, TimePoint now);  // ends the job on a caller's request
    bool hasJob(const std::string &id) const;
    bool isInTransfer(const std::string &id) const;
    /// A job of the workspace was cancelled or failed shortly before this owner acquired the partition. Its runs may
    /// still be stopping, and their sizes are not known.
    void addStoppedJob(const std::string &workspace);

    /// Sets the workspaces of the configuration in force. Without workspaces the queue order knows none.
    void setWorkspaces(const std::vector<Workspace> &workspaces);

    // Executors
    /// Sets the complete list of registered executors.
    void setExecutors(const std::vector<ExecutorRecord> &records, TimePoint now);
    /// Adds an executor that previous owners recorded as one that may have runs. Its incarnation is unknown.
    void addRecordedExecutor(const ExecutorRecord &record, TimePoint now);
    void setVacating(const std::unordered_set<std::string> &ids, TimePoint now);
    /// Whether an executor recorded by a previous owner may have runs that it has not reported to this owner.
    bool awaitsRecordedExecutors() const;
    /// Whether an instance list could prove that the runs on recorded executors without a report have ended.
    bool needsInstanceList(TimePoint now) const;
    /// All instances, as listed by a call that was sent at `askedAt`. An executor that no instance has any more cannot
    /// have runs. A list is ignored if previous owners might still send commands at `askedAt`, because a later
    /// incarnation under the same id could carry these out.
    void setInstances(const std::vector<PooledInstance> &instances, TimePoint askedAt, TimePoint now);
    /// Ids of the vacating executors that are adopted, have no runs, and have received the acknowledgements of all ends
    /// that they reported.
    std::set<std::string> vacated() const;
    /// Ids of the vacating executors with long-running tasks that may not be stopped.
    std::set<std::string> blocked() const;

    // Results of calls
    /// `settles`: see ExecutorCommand::settles.
    void reported(const std::string &executor, const ExecutorReport &report, TimePoint sentAt, TimePoint now,
                  bool settles = false);
    void reportPollFailed(const std::string &executor, CommandResult result, TimePoint now, bool settles = false);
    void answered(const ExecutorCommand &command, CommandResult result, std::int64_t clockMs, TimePoint now);
    /// Called before reported(), reportPollFailed() or answered() with the outcome of the same command: finds out what
    /// an incarnation may have carried out that was meant for another one. `clockMs`: clock in the answer; 0: none.
    void commandEnded(const ExecutorCommand &command, CommandResult result, std::int64_t clockMs, TimePoint now);
    void committed(std::uint64_t generation, TimePoint now);  // the store has carried out the batch
    /// Sets the quotas in force and the number of all partitions; 0: not known yet.
    void setQuotas(Quotas quotas, int partitions);
    /// Sets the parts of the quotas that this partition may use, see QuotaLedger::setParts().
    void setQuotaParts(std::uint64_t revision, std::map<std::string, QuotaPart> parts);
    // Transfers to other partitions of the service
    /// Jobs that wait here although the executors of this partition can run none of their ready steps, see canHost().
    /// They have no runs, and everything about them is stored.
    std::vector<std::string> misplacedJobs(TimePoint now) const;
    OpenSteps openSteps(const std::string &id) const;  // of an open job
    /// Keeps the job from starting until endTransfer(). Returns its progress as it is stored; empty: none.
    std::string beginTransfer(const std::string &id);
    /// `moved`: another partition has the job now, and it is dropped here.
    void endTransfer(const std::string &id, bool moved);

    /// `advice` is null when the call was refused or not answered.
    void advised(const AdviceRequest &request, const Advice *advice, TimePoint sentAt, TimePoint now);
    void confirmed(TimePoint provenAt);  // a call sent at `provenAt` proved the ownership

    // Decisions
    void tick(TimePoint now, std::int64_t wallMs);
    std::vector<ExecutorCommand> takeCommands();
    std::vector<AdviceRequest> takeAdviceRequests();
    void setMaxAdviceCalls(int calls)  // advice calls that may be pending at the same time
    {
        m_maxAdviceCalls = std::max(1, calls);
    }
    std::vector<Decision> takeDecisions();
    std::optional<CommitBatch> takeCommit(TimePoint now, std::int64_t wallMs);
    /// Time at which the next report poll or commit falls due; none: neither is planned.
    std::optional<TimePoint> nextWake(TimePoint now) const;
    /// Whether an adopted executor waits for a proof of ownership. An executor gets work only once a call sent after
    /// its adoption has proven the ownership.
    bool needsOwnershipProof() const;

    // State
    /// Whether an owner before this one may still send commands.
    bool earlierOwnersMayCommand(TimePoint now) const
    {
        return now < m_predecessorLimits.commandsUntil;
    }
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
    /// By queue: number of jobs without a schedule of which no task has started.
    std::map<std::string, int> waitingPerQueue() const;
    PoolLoad load(TimePoint now) const;
    QuotaReport quotaReport(TimePoint now);
    const QuotaLedger &quotaLedger() const
    {
        return m_quotaLedger;
    }
    Backlog backlog(TimePoint now) const;
    std::string summary(TimePoint now) const;  // log line with the state that placement depends on
    /// A job that completed or failed.
    struct Finished
    {
        std::string queue;
        Duration total;       // from the acceptance to the end
        bool inTime = false;  // the latency objective was met
    };
    std::vector<Finished> takeFinished();  // jobs that completed or failed since the last call

private:
    Task *findTask(const TaskName &name, Job **job = nullptr);
    const StepSpec *findStep(const TaskName &name) const;  // null when the job is gone
    ExecutorCommand commandFor(const Executor &executor, CommandKind kind, const std::string &task, int run) const;
    static TimePoint objectiveDeadline(const Job &job);
    static Duration remainingChain(const Job &job);
    void createOccurrence(Job &job, int number);
    void openDueOccurrences(Job &job, TimePoint now, std::int64_t wallMs);
    void requeue(const TaskName &name, TimePoint retryAt);
    void removeRun(Executor &executor, std::map<std::string, Run>::iterator item);
    void handleEnd(Executor &executor, const EndReport &end, TimePoint now);
    void completeTask(Job &job, const TaskName &name, Task &task, TimePoint now);
    void stopOtherGangMembers(Job &job, const TaskName &name, TimePoint now);
    void markStarted(Job &job, TimePoint now);
    void finishJob(Job &job, JobState state, TimePoint now);
    void stopRun(Executor &executor, const std::string &name, Run &run, TimePoint now, std::string_view why);
    void stopAllRuns(Job &job, TimePoint now, std::string_view why);
    void eraseIfFinished(const std::string &id);
    void discardTicket(const TaskName &name, const std::string &executor);
    void discardRuns(Executor &executor, TimePoint now, std::string_view why, bool restarted = false);
    void recordFailure(Executor &executor, const std::string &job, TimePoint now);
    void eject(Executor &executor, const std::string &job, std::string_view why, TimePoint now);
    void recordSuccess(Executor &executor, TimePoint now);
    int startsAllowed(const Executor &executor, TimePoint now) const;
    void adopt(Executor &executor, const RunningReport &row, TimePoint now);
    std::int64_t leaseUntil(const Executor &executor, TimePoint now) const;
    void extendLease(Executor &executor, std::int64_t untilMs);
    void foreignLeaseTaken(Executor &executor, TimePoint carriedOutBy) const;
    void incarnationChanged(Executor &executor, TimePoint now) const;
    void restoreOpenCommands(Executor &executor, const ExecutorRecord &record, TimePoint now);
    void refuseFormerStarts(Executor &executor, TimePoint now);
    bool isClockForeign(const Executor &executor, std::int64_t clockMs, TimePoint now) const;
    bool mayCommand(TimePoint now) const;
    bool mayStart(const Task &task, TimePoint now) const;
    bool leasesOver(const Executor &executor, TimePoint now) const;
    void pollReportIfDue(Executor &executor, TimePoint now);
    void countPoll(bool lost);
    /// Load that this answers: executors that are well leave some calls unanswered, and the ends behind a lost answer
    /// hold up the next steps of their jobs until the poll is repeated.
    bool pollsGetLost() const
    {
        return m_lostPollShare > m_settings.lossyPollShare;
    }
    void pollToSettle(Executor &executor, TimePoint now);
    TimePoint nextSettlement(const Executor &executor) const;
    Duration startTimeout(const Executor &executor) const;
    bool mayRepeatStart(const Run &run, const Executor &executor, TimePoint now);
    void startUnanswered(const std::string &name, Run &run, Executor &executor, TimePoint now);
    void leaveToReport(Run &run, Executor &executor, TimePoint now);
    void repeatStops(Executor &executor, TimePoint now);
    void vacate(Executor &executor, TimePoint now);
    bool blocksVacating(const Run &run, TimePoint now) const;
    void copyRuns(Executor &executor, TimePoint now);
    bool silent(const Executor &executor, TimePoint now) const;
    void adjustPace(Executor &executor, TimePoint now);
    struct StepAvailability
    {
        int unavailable = 0;    // tasks that are not serving
        TimePoint oldestProof;  // send time of the oldest poll whose report shows that a task serves
    };
    StepAvailability availabilityOfOthers(const Job &job, const TaskName &name, TimePoint now) const;
    void placeWaitingTasks(TimePoint now);
    void placeJob(Job &job, const QueuedJob &queued, const Resources &pool, TimePoint now);
    static bool hasWaitingTask(const Job &job);
    std::vector<const ExecutorRecord *> listedRecords() const;
    std::string progressRecord(const Job &job) const;
    QueuedJob queuedJob(const Job &job, const Resources &pool, TimePoint now) const;
    Resources poolCapacity() const;
    bool mayTakeRoomFor(const QueuedJob &job, const StepSpec &step, int tasks, const Resources &pool) const;
    std::vector<WorkspaceUse> workspaceUses(const Resources &pool) const;
    bool placeStep(Job &job, int occurrence, int step, const QueuedJob &queued, const Resources &pool, TimePoint now);
    bool knownUnplaceable(const StepSpec &step) const;
    void handleNoRoom(Job &job, int occurrence, int step, TimePoint now);
    static StepAdvice &stepAdvice(Job &job, int occurrence, int step);
    const std::string &ticketFor(const Job &job, int occurrence, int step, const Executor &executor,
                                 TimePoint now) const;
    void requestAdvice(Job &job, int occurrence, int step, TimePoint now);
    bool stepReady(const Job &job, const Occurrence &occurrence, int step) const;
    bool acceptsWork(const Executor &executor, TimePoint now) const;
    bool hostsMoreOfStep(const Executor &executor, const StepSpec &step, int ofStep) const;
    std::map<std::string_view, int> roomPerRack(const StepSpec &spec, TimePoint now) const;
    /// Where the tasks of a step are, kept up to date while a placement pass starts further ones. Executors and racks
    /// are missing where the step has no task, and everywhere if its placement does not depend on them.
    struct StepSpread
    {
        std::map<std::string_view, int> perExecutor;
        std::map<std::string_view, int> perRack;
        std::map<std::string_view, int> rackRoom;  // see roomPerRack()

        void add(const Executor &executor);
    };
    StepSpread stepSpread(const Job &job, int occurrence, int step, TimePoint now) const;
    Executor *pickExecutor(const Job &job, int occurrence, int step, StepSpread &spread, TimePoint now);
    void startTask(Job &job, const TaskName &name, Executor &executor, TimePoint now);
    void sendStart(Job &job, const std::string &name, Run &run, Executor &executor, TimePoint now);
    const std::string &possibleExecutor(const Task &task) const;
    bool mayHaveUnknownRun(const Job &job, int step, const Task &task) const;
    void countUnreportedRuns();
    Resources unreportedTasks(const Job &job) const;
    Resources unreportedCapacity() const;
    bool fitsQuota(const Job &job, const StepSpec &step, int tasks, int waiting, TimePoint now);
    bool hasRoomFor(const StepSpec &step, int tasks, TimePoint now) const;
    void logQuotaWaits(TimePoint now);
    void logDecision(std::string event, std::string job, std::string detail);

    SchedulerSettings m_settings;
    std::string m_service;
    std::uint64_t m_fencingToken;
    PredecessorLimits m_predecessorLimits;
    bool m_predecessorRunsPossible = false;
    TimePoint m_ownershipProvenAt;  // send time of the last call that has proven the ownership
    bool m_deposed = false;
    bool m_placementNeeded = true;  // something that placement depends on has changed since the last pass
    /// Time of the next placement pass if nothing changes; needed because ejections and retry delays end without an
    /// event.
    TimePoint m_nextPlacementAt;
    TimePoint m_nextHousekeepingAt;  // time from which tick() repeats stops and vacates executors
    std::unordered_map<std::string, std::unique_ptr<Job>> m_jobs;
    std::map<std::string, Executor> m_executors;
    /// Executors recorded by previous owners that may have runs, or ends of runs, which this owner has no report of.
    std::unordered_set<std::string> m_unreportedExecutors;
    std::map<std::string, OpenCommands> m_openCommands;  // of executors that are not listed any more, by id
    std::unordered_set<std::string> m_dirtyJobs;         // jobs with state that the next commit writes
    std::uint64_t m_generation = 0;                      // generation of the last commit batch
    bool m_commitPending = false;
    TimePoint m_dirtySince;  // time since which changes wait for a commit; default value: none wait
    /// Last end of an executor that the pending commit covers. Numbers of ends begin anew with each incarnation.
    struct CommittedEnd
    {
        std::int64_t startedMs = 0;
        std::uint64_t number = 0;
    };
    std::map<std::string, CommittedEnd> m_commitHandledEnds;  // by executor
    std::vector<std::string> m_commitFinalJobs;               // jobs whose final state the pending commit writes
    /// Executor and task of each reserved run that the next commit records.
    std::vector<std::pair<std::string, std::string>> m_reservedRuns;
    /// Executor and task of each reserved run that the pending commit records.
    std::vector<std::pair<std::string, std::string>> m_commitReservedRuns;
    std::vector<ExecutorCommand> m_commands;
    std::vector<AdviceRequest> m_adviceRequests;
    int m_openAdviceCalls = 0;  // advice calls without an answer yet
    int m_maxAdviceCalls = 2;   // the service handles one call while the next one waits there
    /// Decaying mean of the fraction of the named executors that an answer of the advice service allows. The initial
    /// value is arbitrary, because nothing is known before the first answer.
    double m_allowedShare = 0.5;
    std::vector<Decision> m_decisions;
    std::vector<Finished> m_finished;
    SchedulerCounts m_counts;
    double m_lostPollShare = 0;  // decaying mean over the report polls to all executors
    std::map<std::string, QueueWork> m_workPerQueue;
    QuotaLedger m_quotaLedger;
    std::set<std::string> m_workspacesWithStoppedJobs;   // see addStoppedJob()
    std::map<std::string, TimePoint> m_quotaWaitLogged;  // by workspace: time of the last log line
    std::vector<Workspace> m_workspaces;
    std::unordered_map<std::string, int> m_workspaceIndices;  // into m_workspaces, by name
    WorkspaceArrivals m_workspaceArrivals;

    /// A demand that no executor could meet in the present placement pass.
    struct UnmetDemand
    {
        std::string label;  // required label; empty: any executor was considered
        Resources each;     // resources of one task
        int gangSize = 1;   // tasks that must start at the same time
    };
    std::vector<UnmetDemand> m_unmetDemands;
};

}
