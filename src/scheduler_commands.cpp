// The scheduler's commands to executors, its writes to the store, and its status for logs and for the fleet's owner.

#include "scheduler.h"

#include <algorithm>

namespace briarvane
{

namespace
{

constexpr int FullPercent = 100;  // reported by a long-running task that serves its users; also full pace
/// Milli-cores of all jobs that a partition demands at most, far above what any pool has. Callers choose the sizes of
/// their jobs, and the demands of all partitions of a pool are added.
constexpr std::int64_t MaxDemand = 100'000'000;

std::int64_t saturatedDemand(std::int64_t milliCores)
{
    return std::min(milliCores, MaxDemand);
}

}

// Commands ------------------------------------------------------------------------------------------------------------

void Scheduler::answered(const ExecutorCommand &command, CommandResult result, std::int64_t clockMs, TimePoint now)
{
    const auto found = m_executors.find(command.executor);
    if (result == CommandResult::Fenced) {
        m_deposed = true;
        logDecision("deposed", {}, "executor=" + command.executor + " token=" + std::to_string(command.fencingToken));
        return;
    }
    if (found == m_executors.end() || command.kind == CommandKind::Pace) {
        return;
    }
    Executor &executor = found->second;
    const auto item = executor.runs.find(command.task);
    if (item == executor.runs.end() || item->second.run != command.run) {
        return;
    }
    Run &run = item->second;
    if (clockMs > 0 && result == CommandResult::Done) {
        executor.clockMs = clockMs;
        executor.clockReadAt = now;
    }
    if (command.kind == CommandKind::Stop) {
        if (result == CommandResult::Done) {
            run.stopAnsweredAt = now;
            executor.nextReportPoll = std::min(executor.nextReportPoll, now);
            executor.settleAt = std::min(executor.settleAt, now + m_settings.stopTime + m_settings.leaseExpiryMargin);
        }
        return;
    }
    if (run.state != RunState::Starting) {
        return;
    }
    const TaskName name = run.task;
    // An earlier send of the start may still be carried out, so a refusal of a later one does not rule the run out.
    const bool mayStillStart = run.sends > 1;
    switch (result) {
    case CommandResult::Done:
        executor.health.accepted();
        executor.answerTime = executor.answerTime == Duration{0} ? now - run.sentAt
                                                                 : (executor.answerTime * 3 + (now - run.sentAt)) / 4;
        run.state = RunState::Running;
        run.confirmedAt = now;
        if (const auto job = m_jobs.find(name.job); job != m_jobs.end()) {
            markStarted(*job->second, now);
        }
        return;
    case CommandResult::Unanswered:
        startUnanswered(command.task, run, executor, now);
        return;
    case CommandResult::Superseded:
        if (Task *task = findTask(name); task != nullptr && !mayStillStart) {
            task->run += TakeoverRunGap;
        }
        break;
    case CommandResult::Unhealthy:
    case CommandResult::Unreachable:
        executor.health.refused(run.sentAt, result == CommandResult::Unreachable, now);
        break;
    case CommandResult::Late:
        executor.adopted = false;  // the executor's clock is ahead of the computed one and has to be read again
        executor.nextReportPoll = now;
        break;
    case CommandResult::Replaced:
        executor.health.pauseUntil(now + m_settings.health.ejection);  // the list soon shows the new incarnation
        break;
    case CommandResult::NoTicket:
        discardTicket(name, command.executor);
        break;
    default:  // NotSent: the calls before it were slow, which shows nothing about the executor by itself
        break;
    }
    ++m_counts.refusedStarts;
    logDecision("start-refused", name.job,
                "task=" + command.task + " executor=" + command.executor + " reason=" + std::string(toString(result))
                    + " sends=" + std::to_string(run.sends));
    if (mayStillStart) {
        leaveToReport(run, executor, now);
        return;
    }
    removeRun(executor, item);
    Job *job = nullptr;
    if (Task *task = findTask(name, &job); task != nullptr && task->executor == command.executor) {
        // After these results the executor gets no task for now, so that the task can start elsewhere at once.
        const bool goesElsewhere = result == CommandResult::Unhealthy || result == CommandResult::Unreachable
            || result == CommandResult::Replaced || result == CommandResult::Late;
        requeue(name, goesElsewhere ? now : now + StartRetryPause);
        if (job->spec.steps[static_cast<std::size_t>(name.step)].gang) {
            stopOtherGangMembers(*job, name, now);
        }
    }
}

/// Time-out of a start: a few times the executor's usual answer time.
Duration Scheduler::startTimeout(const Executor &executor) const
{
    return std::clamp(executor.answerTime * 4, m_settings.minStartTimeout, m_settings.commandTimeout);
}

bool Scheduler::mayRepeatStart(const Run &run, const Executor &executor, TimePoint now)
{
    const Task *task = findTask(run.task);
    const auto job = m_jobs.find(run.task.job);
    if (job == m_jobs.end() || isFinal(job->second->state) || run.obsolete || run.sends >= m_settings.maxStartSends) {
        return false;
    }
    const bool hasTicket = !job->second->spec.advice.required
        || !ticketFor(*job->second, run.task.occurrence, run.task.step, executor, now).empty();
    return task != nullptr && mayStart(*task, now) && hasTicket && executor.listed && executor.adopted
        && !executor.isClosed();
}

/// Sends the same start again. The executor carries out each run number at most once, so the answer settles the start
/// whether or not the executor has received the earlier send. Without an answer to any send a report settles it.
void Scheduler::startUnanswered(const std::string &name, Run &run, Executor &executor, TimePoint now)
{
    executor.answerTime = std::min(executor.answerTime * 2, m_settings.commandTimeout);
    if (mayRepeatStart(run, executor, now)) {
        sendStart(*m_jobs.at(run.task.job), name, run, executor, now);
        return;
    }
    ++m_counts.unansweredStarts;
    logDecision("start-unanswered", run.task.job,
                "task=" + name + " executor=" + executor.record.id + " sends=" + std::to_string(run.sends));
    leaveToReport(run, executor, now);
}

/// Lets the next report show whether the run exists.
void Scheduler::leaveToReport(Run &run, Executor &executor, TimePoint now)
{
    run.state = RunState::Unconfirmed;
    executor.nextReportPoll = std::min(executor.nextReportPoll, now);
    executor.settleAt = std::min(executor.settleAt, now);
}

/// Earliest time from which a report can settle a start or a stop on the executor. An executor lists no run that it is
/// stopping. If it has not listed the end within stopTime and leaseExpiryMargin after its answer to the stop, it never
/// had the run.
TimePoint Scheduler::nextSettlement(const Executor &executor) const
{
    TimePoint next = TimePoint::max();
    for (const auto &[name, run] : executor.runs) {
        if (run.state == RunState::Unconfirmed) {
            next = std::min(next, run.sentAt);
        } else if (run.state == RunState::Stopping && run.stopAnsweredAt != TimePoint{}) {
            next = std::min(next, run.stopAnsweredAt + m_settings.stopTime + m_settings.leaseExpiryMargin);
        }
    }
    return next;
}

/// Asks for a report at once while the regular poll may wait for an end.
void Scheduler::pollToSettle(Executor &executor, TimePoint now)
{
    if (!executor.reportPollPending || executor.settlePollPending || executor.settleAt >= now) {
        return;
    }
    executor.settleAt = TimePoint::max();
    executor.settlePollPending = true;
    ExecutorCommand command;
    command.kind = CommandKind::RenewLeases;
    command.executor = executor.record.id;
    command.fencingToken = m_fencingToken;
    command.settles = true;
    command.timeout = m_settings.overduePollTimeout;
    m_commands.push_back(std::move(command));
}

void Scheduler::pollReportIfDue(Executor &executor, TimePoint now)
{
    const bool needed = !executor.adopted || !executor.runs.empty() || executor.durableEnd != executor.acknowledgedEnd
        || executor.handledEnd != executor.durableEnd;
    if (executor.reportPollPending || executor.nextReportPoll > now || !needed) {
        return;
    }
    if (executor.runs.empty() && executor.adopted && executor.durableEnd == executor.acknowledgedEnd) {
        return;  // the handled ends are not yet in the store, so there is nothing to acknowledge
    }
    ExecutorCommand command;
    command.kind = CommandKind::RenewLeases;
    command.executor = executor.record.id;
    command.fencingToken = m_fencingToken;
    // While the outcome of a start or stop is open, reports are polled often. Otherwise a long wait does no harm,
    // because the executor reports a new end at once.
    const Duration longestWait = pollsGetLost() ? m_settings.lossyPollWait : m_settings.reportPollWait;
    Duration wait = executor.adopted && !executor.runs.empty() ? longestWait : Duration{0};
    for (const auto &[name, run] : executor.runs) {
        if (run.state == RunState::Unconfirmed) {
            wait = Duration{0};
        } else if (run.state == RunState::Stopping && run.stopAnsweredAt != TimePoint{}) {
            wait = std::min(wait, m_settings.stopTime / 2);
        }
    }
    const bool overdue
        = !executor.runs.empty() && now - executor.silentSince() > m_settings.reportPollWait + StartRetryPause;
    command.wait = overdue ? Duration{0} : wait;
    command.timeout = overdue ? m_settings.overduePollTimeout
                              : command.wait + (pollsGetLost() ? startTimeout(executor) : m_settings.reportPollTimeout);
    // A silent executor may carry out an unanswered lease renewal late, so its leases are left to expire.
    const bool responsive = now - executor.silentSince() < m_settings.silentAfter;
    if (mayCommand(now) && responsive && !executor.runs.empty()) {
        command.leaseUntilMs = leaseUntil(executor, now);
        if (command.leaseUntilMs > 0) {
            extendLease(executor, command.leaseUntilMs);
        }
    }
    command.startedMs = executor.record.startedMs;
    // Ends are acknowledged only shortly after a report. Otherwise the acknowledgement could reach a new incarnation
    // under the same id, which would discard ends that it has not reported yet.
    const bool fresh = now - executor.lastReport < m_settings.freshReportAge;
    command.observed = fresh && executor.durableEnd != executor.acknowledgedEnd ? executor.durableEnd : 0;
    if (!fresh && executor.durableEnd != executor.acknowledgedEnd) {
        command.wait = Duration{0};
        command.timeout = m_settings.reportPollTimeout;
    }
    executor.sentAcknowledgement = command.observed;
    executor.reportPollPending = true;
    m_commands.push_back(std::move(command));
}

void Scheduler::repeatStops(Executor &executor, TimePoint now)
{
    for (auto &[name, run] : executor.runs) {
        if (run.state == RunState::Stopping && run.stopAnsweredAt == TimePoint{}
            && now - run.stopSentAt >= m_settings.stopRetryInterval) {
            run.stopSentAt = now;
            m_commands.push_back(commandFor(executor, CommandKind::Stop, name, run.run));
        }
    }
}

/// Counts the tasks of the step, other than the named one, that are not serving.
Scheduler::StepAvailability Scheduler::availabilityOfOthers(const Job &job, const TaskName &name, TimePoint now) const
{
    StepAvailability others;
    others.oldestProof = now;
    const auto &tasks = job.occurrences.at(name.occurrence).steps[static_cast<std::size_t>(name.step)];
    for (int index = 0; index < static_cast<int>(tasks.size()); ++index) {
        if (index == name.index) {
            continue;
        }
        const auto executor = m_executors.find(tasks[static_cast<std::size_t>(index)].executor);
        bool serving = false;
        if (executor != m_executors.end() && now - executor->second.silentSince() < m_settings.silentAfter) {
            const auto run = executor->second.runs.find(formatTaskName({name.job, name.occurrence, name.step, index}));
            serving = run != executor->second.runs.end() && run->second.state == RunState::Running
                && run->second.percent == FullPercent;
        }
        if (serving) {
            others.oldestProof = std::min(others.oldestProof, executor->second.reportSentAt);
        }
        others.unavailable += serving ? 0 : 1;
    }
    return others;
}

/// Whether the run keeps its vacating executor from becoming empty: its step may miss no task, or as many as it may
/// miss are away and find no room elsewhere. Without the executor's own room that state may never end.
bool Scheduler::blocksVacating(const Run &run, TimePoint now) const
{
    const auto found = m_jobs.find(run.task.job);
    const StepSpec *step = findStep(run.task);
    if (step == nullptr || !step->longRunning || isFinal(found->second->state) || run.obsolete
        || run.state == RunState::Stopping || run.state == RunState::Reserved) {
        return false;
    }
    if (step->maxUnavailable <= 0) {
        return true;
    }
    const auto occurrence = found->second->occurrences.find(run.task.occurrence);
    if (occurrence == found->second->occurrences.end()) {
        return false;
    }
    const auto position = static_cast<std::size_t>(run.task.step);
    const std::vector<Task> &tasks = occurrence->second.steps[position];
    const TimePoint noRoomSince = occurrence->second.noRoomSince[position];
    return noRoomSince != TimePoint{} && now - noRoomSince >= m_settings.vacateRoomTimeout
        && std::any_of(tasks.begin(), tasks.end(), [](const Task &task) { return task.executor.empty(); })
        && availabilityOfOthers(*found->second, run.task, now).unavailable >= step->maxUnavailable;
}

/// Stops runs on a vacating or draining executor, so that their tasks start again elsewhere.
void Scheduler::vacate(Executor &executor, TimePoint now)
{
    if (executor.leavesByOrder()) {
        const auto blocking = std::find_if(executor.runs.begin(), executor.runs.end(),
                                           [&](const auto &item) { return blocksVacating(item.second, now); });
        if (blocking != executor.runs.end()) {
            executor.vacatingBlocked = true;
            m_placementNeeded = true;
            logDecision("vacating-blocked", blocking->second.task.job,
                        "task=" + blocking->first + " executor=" + executor.record.id);
        }
    }
    const bool draining = executor.record.draining;
    const bool leavesByOrder = executor.leavesByOrder();
    if (!leavesByOrder && !draining) {
        return;
    }
    for (auto &[name, run] : executor.runs) {
        const auto found = m_jobs.find(run.task.job);
        if (run.state != RunState::Running || found == m_jobs.end()) {
            continue;
        }
        const Job &job = *found->second;
        const StepSpec &step = job.spec.steps[static_cast<std::size_t>(run.task.step)];
        if (step.longRunning) {
            // The state of this task itself does not count: it may have begun to serve since the last report.
            const StepAvailability others = availabilityOfOthers(job, run.task, now);
            const bool allowed = others.unavailable < step.maxUnavailable;
            if (allowed || !leavesByOrder) {
                stopRun(executor, name, run, now,
                        "executor-leaves unavailable=" + std::to_string(others.unavailable) + "/"
                            + std::to_string(step.maxUnavailable)
                            + " oldest_proof_ms=" + std::to_string((now - others.oldestProof).count() / 1000)
                            + " cause=" + (leavesByOrder ? "vacating" : "draining"));
            }
        } else if (leavesByOrder && now - executor.vacatingSince > m_settings.vacateGracePeriod) {
            stopRun(executor, name, run, now, "executor-leaves");
        }
    }
}

bool Scheduler::silent(const Executor &executor, TimePoint now) const
{
    return executor.unreachable || now - executor.silentSince() >= m_settings.silentAfter;
}

/// Starts the tasks of speculative steps elsewhere while their executor does not answer. The runs there may go on; the
/// first run of a task that ends counts. Without copies these tasks would wait for the end of the executor's leases.
void Scheduler::copyRuns(Executor &executor, TimePoint now)
{
    if (executor.runs.empty() || !silent(executor, now)) {
        return;
    }
    for (auto &[name, run] : executor.runs) {
        const StepSpec *spec = findStep(run.task);
        Task *task = findTask(run.task);
        const bool started = run.state == RunState::Running || run.state == RunState::Unconfirmed;
        if (!started || run.obsolete || spec == nullptr || !spec->speculative || spec->gang || spec->longRunning
            || task == nullptr || task->executor != executor.record.id) {
            continue;
        }
        run.obsolete = true;
        task->copied = true;
        if (!run.checkpoint.empty()) {
            task->checkpoint = run.checkpoint;
        }
        ++m_counts.copies;
        logDecision("task-copied", run.task.job,
                    "task=" + name + " run=" + std::to_string(run.run) + " executor=" + executor.record.id
                        + " silent_ms=" + std::to_string((now - executor.silentSince()).count() / 1000));
        requeue(run.task, now);
    }
}

/// Slows tasks that use idle processor time while a task on the same executor misses its latency target or is close to
/// it, and speeds them up again once all are well below their targets.
void Scheduler::adjustPace(Executor &executor, TimePoint now)
{
    // Limits of the ratio of the tail latency to its target.
    constexpr double slowDownAbove = 0.9;
    constexpr double speedUpBelow = 0.6;
    constexpr int speedUpPercent = 25;
    double worstRatio = 0;
    bool anyToPace = false;
    for (const auto &[name, run] : executor.runs) {
        const StepSpec *spec = findStep(run.task);
        anyToPace = anyToPace || (spec != nullptr && spec->bestEffort);
        if (spec != nullptr && spec->latencyTarget.count() > 0) {
            worstRatio = std::max(worstRatio, run.load * 1000 / static_cast<double>(spec->latencyTarget.count()));
        }
    }
    if (!anyToPace || !mayCommand(now)) {
        return;
    }
    for (auto &[name, run] : executor.runs) {
        const StepSpec *spec = findStep(run.task);
        if (spec == nullptr || !spec->bestEffort || run.state != RunState::Running) {
            continue;
        }
        int percent = run.pacePercent;
        if (worstRatio > slowDownAbove) {
            percent = worstRatio > 1 ? 0 : run.pacePercent / 2;
        } else if (worstRatio < speedUpBelow) {
            percent = std::min(FullPercent, run.pacePercent + speedUpPercent);
        }
        if (percent != run.pacePercent) {
            run.pacePercent = percent;
            ExecutorCommand command = commandFor(executor, CommandKind::Pace, name, run.run);
            command.percent = percent;
            m_commands.push_back(std::move(command));
        }
    }
}

/// Whether the executor is silent and all runs on it have ended, because their leases were not renewed.
bool Scheduler::leasesOver(const Executor &executor, TimePoint now) const
{
    const bool silent = now - executor.silentSince() > m_settings.silentAfter;
    return silent && executor.leasesEndBy != TimePoint{} && now > executor.leasesEndBy;
}

void Scheduler::tick(TimePoint now, std::int64_t wallMs)
{
    for (auto &[id, job] : m_jobs) {
        if (job->spec.occurrences > job->nextOccurrence && !isFinal(job->state)) {
            openDueOccurrences(*job, now, wallMs);
        }
    }
    m_predecessorRunsPossible = now < m_predecessorLimits.runsUntil;
    if (!m_unreportedExecutors.empty() && now >= m_predecessorLimits.runsUntil) {
        const std::size_t ended = std::erase_if(m_unreportedExecutors, [&](const std::string &id) {
            const auto found = m_executors.find(id);
            return found == m_executors.end() || !found->second.endsIncomplete || leasesOver(found->second, now);
        });
        m_placementNeeded = m_placementNeeded || ended > 0;
    }
    const bool housekeepingDue = now >= m_nextHousekeepingAt && mayCommand(now);
    if (housekeepingDue) {
        m_nextHousekeepingAt = now + m_settings.housekeepingInterval;
    }
    for (auto &[id, executor] : m_executors) {
        if (!executor.runs.empty() && leasesOver(executor, now)) {
            discardRuns(executor, now, "lease-over");
        }
        if (housekeepingDue) {
            repeatStops(executor, now);
            vacate(executor, now);
            copyRuns(executor, now);
        }
        if (!m_deposed) {
            pollReportIfDue(executor, now);
            pollToSettle(executor, now);
        }
    }
    if ((m_placementNeeded || now >= m_nextPlacementAt) && mayCommand(now)) {
        placeWaitingTasks(now);
    }
}

std::vector<ExecutorCommand> Scheduler::takeCommands()
{
    return std::exchange(m_commands, {});
}

std::vector<AdviceRequest> Scheduler::takeAdviceRequests()
{
    return std::exchange(m_adviceRequests, {});
}

std::vector<Decision> Scheduler::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

std::vector<Scheduler::Finished> Scheduler::takeFinished()
{
    return std::exchange(m_finished, {});
}

// Store writes --------------------------------------------------------------------------------------------------------

std::optional<CommitBatch> Scheduler::takeCommit(TimePoint now, std::int64_t wallMs)
{
    if (m_commitPending || m_deposed) {
        return std::nullopt;
    }
    bool endsNotDurable = false;
    for (const auto &[id, executor] : m_executors) {
        endsNotDurable = endsNotDurable || executor.handledEnd != executor.durableEnd;
    }
    if (m_dirtyJobs.empty() && !endsNotDurable) {
        return std::nullopt;
    }
    if (m_dirtySince == TimePoint{}) {
        m_dirtySince = now;
    }
    if (now - m_dirtySince < m_settings.commitBatchDelay) {
        return std::nullopt;
    }
    m_dirtySince = {};
    CommitBatch batch;
    batch.generation = ++m_generation;
    m_commitHandledEnds.clear();
    m_commitFinalJobs.clear();
    for (const auto &[id, executor] : m_executors) {
        m_commitHandledEnds[id] = {executor.record.startedMs, executor.handledEnd};
    }
    for (const std::string &id : m_dirtyJobs) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            continue;
        }
        const Job &job = *found->second;
        JobWrite write;
        write.job = id;
        write.revision = job.revision;
        if (isFinal(job.state)) {
            m_commitFinalJobs.push_back(id);
            if (job.state != JobState::Cancelled) {  // the entry that received the cancellation wrote the final state
                JobRecord record;
                record.state = job.state;
                record.endedMs = wallMs;
                record.spec.workspace = job.spec.workspace;
                write.finalRecord = encodeJobRecord(record);
            }
        } else {
            write.progress = progressRecord(job);
        }
        batch.writes.push_back(std::move(write));
    }
    m_dirtyJobs.clear();
    m_commitReservedRuns = std::exchange(m_reservedRuns, {});
    m_commitPending = true;
    return batch;
}

std::string Scheduler::progressRecord(const Job &job) const
{
    JobProgress progress;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            for (std::size_t index = 0; index < occurrence.steps[step].size(); ++index) {
                const Task &task = occurrence.steps[step][index];
                if (task.hasProgress) {
                    progress[{number, static_cast<int>(step), static_cast<int>(index)}]
                        = {task.run, task.failedRuns, task.done,
                           job.spec.steps[step].longRunning ? possibleExecutor(task) : std::string(), task.checkpoint};
                }
            }
        }
    }
    return encodeProgress(progress);
}

/// Executor on which the task runs or, by the record of a previous owner, may run; empty: none.
const std::string &Scheduler::possibleExecutor(const Task &task) const
{
    const bool isRecorded = task.executor.empty() && m_unreportedExecutors.contains(task.recordedExecutor);
    return isRecorded ? task.recordedExecutor : task.executor;
}

void Scheduler::committed(std::uint64_t generation, TimePoint now)
{
    if (generation != m_generation || !m_commitPending) {
        return;
    }
    m_commitPending = false;
    for (const auto &[id, end] : m_commitHandledEnds) {
        const auto found = m_executors.find(id);
        if (found != m_executors.end() && end.startedMs == found->second.record.startedMs
            && end.number <= found->second.handledEnd) {
            found->second.durableEnd = std::max(found->second.durableEnd, end.number);
            if (found->second.runs.empty()) {
                found->second.nextReportPoll = std::min(found->second.nextReportPoll, now);
            }
        }
    }
    for (const auto &[id, name] : std::exchange(m_commitReservedRuns, {})) {
        const auto found = m_executors.find(id);
        if (found == m_executors.end()) {
            continue;
        }
        const auto run = found->second.runs.find(name);
        if (run == found->second.runs.end() || run->second.state != RunState::Reserved) {
            continue;
        }
        const auto job = m_jobs.find(run->second.task.job);
        const bool needed = job != m_jobs.end() && !isFinal(job->second->state) && !run->second.obsolete;
        if (needed && mayCommand(now) && !found->second.isClosed()) {
            sendStart(*job->second, name, run->second, found->second, now);
        } else {
            const TaskName task = run->second.task;
            removeRun(found->second, run);
            requeue(task, now);
        }
    }
    for (const std::string &id : m_commitFinalJobs) {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end()) {
            found->second->commitPending = false;
            eraseIfFinished(id);
        }
    }
}

std::map<std::string, int> Scheduler::waitingPerQueue() const
{
    std::map<std::string, int> waiting;
    for (const auto &[id, job] : m_jobs) {
        waiting[job->spec.queue] += job->state == JobState::Pending && job->spec.occurrences == 0 ? 1 : 0;
    }
    return waiting;
}

/// Demand of the open jobs for the pool planner: cores of tasks that run, wait, or wait for an earlier step. All
/// long-running steps count. Of the other steps of an occurrence only the largest open one counts, because these mostly
/// run one after another.
PoolLoad Scheduler::load(TimePoint now) const
{
    PoolLoad load;
    load.receivedAt = now;
    std::int64_t demand = 0;  // milli-cores
    std::int64_t inTimeDemand = 0;
    std::map<std::string, std::int64_t> demandByLabel;
    for (const auto &[id, job] : m_jobs) {
        if (isFinal(job->state)) {
            continue;
        }
        const std::int64_t demandOfOtherJobs = demand;
        const bool isLongRunning = !job->spec.steps.empty() && job->spec.steps.front().longRunning;
        const bool isInTime = isLongRunning || now + remainingChain(*job) <= objectiveDeadline(*job);
        for (const auto &[number, occurrence] : job->occurrences) {
            std::int64_t largestStep = 0;  // milli-cores
            std::map<std::string, std::int64_t> largestStepWithLabel;
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const StepSpec &spec = job->spec.steps[step];
                const int open = spec.count - occurrence.done[step];
                const std::int64_t cores = std::int64_t{open} * requestedResources(spec).milliCores;
                if (!spec.requiredLabel.empty()) {
                    std::int64_t &largest = largestStepWithLabel[spec.requiredLabel];
                    largest = std::max(largest, cores);
                }
                if (spec.longRunning) {
                    demand += cores;
                    const int limit = std::max(1, spec.perExecutorLimit);
                    load.minExecutors = std::max(load.minExecutors, (spec.count + limit - 1) / limit);
                } else {
                    largestStep = std::max(largestStep, cores);
                }
            }
            demand += largestStep;
            for (const auto &[label, cores] : largestStepWithLabel) {
                demandByLabel[label] += cores;
            }
        }
        inTimeDemand += isInTime ? demand - demandOfOtherJobs : 0;
    }
    load.demandMilliCores = static_cast<int>(saturatedDemand(demand));
    load.inTimeMilliCores = static_cast<int>(saturatedDemand(inTimeDemand));
    for (const auto &[label, cores] : demandByLabel) {
        load.demandByLabel[label] = static_cast<int>(saturatedDemand(cores));
    }
    for (const auto &[id, executor] : m_executors) {
        constexpr Duration minIdleTime{500'000};  // shorter gaps between two tasks do not count as idle
        if (!executor.listed || !executor.adopted) {
            continue;
        }
        const bool hasLongRunning = std::any_of(executor.runs.begin(), executor.runs.end(), [&](const auto &item) {
            const StepSpec *spec = findStep(item.second.task);
            return spec == nullptr || spec->longRunning;
        });
        if (executor.runs.empty() && now - executor.lastReport > minIdleTime) {
            load.idle.insert(id);
        } else if (!hasLongRunning) {
            load.withoutLongRunning.insert(id);
            constexpr Duration soon{500'000};
            const bool isEmptySoon = std::all_of(executor.runs.begin(), executor.runs.end(), [&](const auto &item) {
                return item.second.sentAt != TimePoint{}
                && item.second.sentAt + findStep(item.second.task)->estimate < now + soon;
            });
            if (isEmptySoon) {
                load.emptySoon.insert(id);
            }
        }
    }
    return load;
}

std::string Scheduler::summary(TimePoint now) const
{
    int listed = 0;
    int adopted = 0;
    int ejected = 0;
    int probing = 0;
    int vacating = 0;
    int silent = 0;
    int withLongRunning = 0;
    std::size_t runs = 0;
    Duration oldestReport{0};
    Resources used;
    Resources capacity;
    for (const auto &[id, executor] : m_executors) {
        if (executor.listed && executor.adopted && !executor.runs.empty()) {
            oldestReport = std::max(oldestReport, now - std::max(executor.reportSentAt, executor.busySince));
        }
        withLongRunning += std::any_of(executor.runs.begin(), executor.runs.end(), [this](const auto &item) {
            const StepSpec *step = findStep(item.second.task);
            return step != nullptr && step->longRunning;
        });
        listed += executor.listed ? 1 : 0;
        adopted += executor.adopted ? 1 : 0;
        ejected += executor.health.ejected(now) ? 1 : 0;
        probing += executor.health.probing(now) ? 1 : 0;
        vacating += executor.vacating || executor.record.draining ? 1 : 0;
        silent += !executor.runs.empty() && now - executor.silentSince() >= m_settings.silentAfter ? 1 : 0;
        runs += executor.runs.size();
        used += executor.used;
        if (executor.listed) {
            capacity += executor.record.capacity;
        }
    }
    int waiting = 0;
    for (const auto &[id, job] : m_jobs) {
        waiting += job->state == JobState::Pending ? 1 : 0;
    }
    return "jobs=" + std::to_string(m_jobs.size()) + " waiting=" + std::to_string(waiting)
        + " runs=" + std::to_string(runs) + " executors=" + std::to_string(m_executors.size())
        + " listed=" + std::to_string(listed) + " adopted=" + std::to_string(adopted)
        + " ejected=" + std::to_string(ejected) + " probing=" + std::to_string(probing)
        + " leaving=" + std::to_string(vacating) + " long_running_on=" + std::to_string(withLongRunning)
        + " silent=" + std::to_string(silent) + " oldest_report_ms=" + std::to_string(oldestReport.count() / 1000)
        + " dark=" + std::to_string(m_unreportedExecutors.size())
        + " used_cores=" + std::to_string(used.milliCores / 1000) + "/" + std::to_string(capacity.milliCores / 1000)
        + " used_gb=" + std::to_string(used.memoryMb / 1024) + "/" + std::to_string(capacity.memoryMb / 1024)
        + " proof_ms=" + std::to_string((now - m_ownershipProvenAt).count() / 1000)
        + " commit=" + (m_commitPending ? "pending" : "none") + " may_order=" + (mayCommand(now) ? "yes" : "no");
}

std::optional<TimePoint> Scheduler::nextWake(TimePoint now) const
{
    std::optional<TimePoint> wake;
    const auto wakeAt = [&wake](TimePoint time) { wake = wake ? std::min(*wake, time) : time; };
    for (const auto &[id, executor] : m_executors) {
        const bool needed
            = !executor.adopted || !executor.runs.empty() || executor.durableEnd != executor.acknowledgedEnd;
        if (needed && !executor.reportPollPending) {
            wakeAt(std::max(executor.nextReportPoll, now));
        }
        if (executor.reportPollPending && !executor.settlePollPending && executor.settleAt != TimePoint::max()) {
            wakeAt(std::max(executor.settleAt + Duration{1}, now));
        }
    }
    if (m_dirtySince != TimePoint{}) {
        wakeAt(m_dirtySince + m_settings.commitBatchDelay);
    }
    return wake;
}

/// Whether a previous owner may have started the task on an executor that has not yet reported all its runs and ends to
/// this owner.
bool Scheduler::mayHaveUnknownRun(const Job &job, int step, const Task &task) const
{
    if (!job.takenOver || m_unreportedExecutors.empty()) {
        return false;
    }
    if (!job.spec.steps[static_cast<std::size_t>(step)].longRunning) {
        // Until a deposed owner detects its deposition, it may start the task on any executor, also on a new
        // incarnation.
        return true;
    }
    // The executor of a long-running task is recorded before each start, and the store rejects the writes of a deposed
    // owner. So only the recorded executor may have a run, in any of its incarnations: a restart that the list shows
    // may have come before the start.
    return m_unreportedExecutors.contains(task.recordedExecutor);
}

}
