// State of the scheduler's jobs, tasks and executors, and the changes that lists and reports make to it.

#include "scheduler.h"

#include <algorithm>

namespace briarvane
{

Scheduler::Scheduler(SchedulerSettings settings, std::string service, std::uint64_t fencingToken,
                     PredecessorLimits predecessorLimits)
    : m_settings(settings)
    , m_service(std::move(service))
    , m_fencingToken(fencingToken)
    , m_predecessorLimits(predecessorLimits)
    , m_predecessorRunsPossible(true)
{
}

void Scheduler::logDecision(std::string event, std::string job, std::string detail)
{
    m_decisions.push_back({std::move(event), std::move(job), std::move(detail)});
}

// Jobs ----------------------------------------------------------------------------------------------------------------

void Scheduler::createOccurrence(Job &job, int number)
{
    Occurrence &occurrence = job.occurrences[number];
    if (!occurrence.steps.empty()) {
        return;
    }
    for (const StepSpec &step : job.spec.steps) {
        occurrence.steps.emplace_back(static_cast<std::size_t>(step.count));
    }
    occurrence.done.assign(job.spec.steps.size(), 0);
    occurrence.advice.resize(job.spec.steps.size());
    occurrence.noRoomSince.resize(job.spec.steps.size());
}

void Scheduler::addJob(JobSpec spec, std::uint64_t revision, const JobProgress *progress, bool takenOver, TimePoint now,
                       std::int64_t wallMs)
{
    const std::string id = spec.id;
    if (m_jobs.contains(id)) {
        return;
    }
    auto job = std::make_unique<Job>();
    job->spec = std::move(spec);
    job->revision = revision;
    job->takenOver = takenOver;
    const auto age = std::chrono::milliseconds(std::clamp<std::int64_t>(wallMs - job->spec.acceptedMs, 0, 60'000));
    job->acceptedAt = now - age;
    job->firstDue = now + std::chrono::milliseconds(job->spec.firstDueMs - wallMs);
    job->latencyObjective = job->spec.targetLatency
        + Duration(static_cast<std::int64_t>(job->spec.stretch * static_cast<double>(longestChain(job->spec).count())));
    if (progress != nullptr) {
        for (const auto &[key, saved] : *progress) {
            const auto &[number, step, index] = key;
            const bool inRange = step >= 0 && step < static_cast<int>(job->spec.steps.size()) && index >= 0
                && index < job->spec.steps[static_cast<std::size_t>(step)].count;
            if (!inRange) {
                continue;
            }
            createOccurrence(*job, number);
            Occurrence &occurrence = job->occurrences[number];
            Task &task = occurrence.steps[static_cast<std::size_t>(step)][static_cast<std::size_t>(index)];
            task.run = saved.run;
            task.failedRuns = saved.failedRuns;
            task.recordedExecutor = takenOver ? saved.executor : std::string();
            task.checkpoint = saved.checkpoint;
            task.hasProgress = true;
            job->state = JobState::Running;
            if (saved.done) {
                task.done = true;
                const auto position = static_cast<std::size_t>(step);
                if (++occurrence.done[position] == job->spec.steps[position].count
                    && ++occurrence.stepsDone == static_cast<int>(occurrence.steps.size())) {
                    ++job->occurrencesDone;
                }
            }
        }
    }
    if (const auto workspace = m_workspaceIndices.find(job->spec.workspace); workspace != m_workspaceIndices.end()) {
        const int weight = m_workspaces[static_cast<std::size_t>(workspace->second)].weight;
        job->beyondWeight = m_workspaceArrivals.record(job->spec.workspace, weight, job->acceptedAt);
        m_counts.beyondWeight += job->beyondWeight ? 1 : 0;
    }
    QueueWork &queue = m_workPerQueue[job->spec.queue];
    for (const StepSpec &step : job->spec.steps) {
        queue.work += 1e-9 * step.count * step.each.milliCores * static_cast<double>(step.estimate.count());
    }
    ++queue.jobs;
    Job &added = *m_jobs.emplace(id, std::move(job)).first->second;
    openDueOccurrences(added, now, wallMs);
    if (added.occurrencesDone == std::max(1, added.spec.occurrences)) {
        finishJob(added, JobState::Completed, now);
    }
    m_placementNeeded = true;
}

void Scheduler::setWorkspaces(const std::vector<Workspace> &workspaces)
{
    m_workspaces = workspaces;
    m_workspaceIndices.clear();
    for (std::size_t i = 0; i < workspaces.size(); ++i) {
        m_workspaceIndices[workspaces[i].name] = static_cast<int>(i);
    }
    m_placementNeeded = true;
}

void Scheduler::openDueOccurrences(Job &job, TimePoint /*now*/, std::int64_t wallMs)
{
    if (job.spec.occurrences == 0) {
        createOccurrence(job, 0);
        return;
    }
    while (job.nextOccurrence < job.spec.occurrences
           && wallMs >= job.spec.firstDueMs + job.nextOccurrence * job.spec.intervalMs) {
        createOccurrence(job, job.nextOccurrence++);
        m_placementNeeded = true;
    }
}

void Scheduler::endJob(const std::string &id, JobState state, TimePoint now)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || isFinal(found->second->state)) {
        return;
    }
    Job &job = *found->second;
    job.state = state;
    job.commitPending = true;
    logDecision("job-ended", id, std::string("state=") + std::string(toString(state)) + " by=caller");
    stopAllRuns(job, now, "job-ended");
    m_dirtyJobs.insert(id);
    m_placementNeeded = true;
}

/// Time by which the job should end. For a scheduled job this is the time by which its earliest incomplete occurrence
/// should end, or its last occurrence if all open ones are complete.
TimePoint Scheduler::objectiveDeadline(const Job &job)
{
    if (job.spec.occurrences == 0) {
        return job.acceptedAt + job.latencyObjective;
    }
    const auto open = std::find_if(job.occurrences.begin(), job.occurrences.end(),
                                   [](const auto &item) { return !item.second.complete(); });
    const int number = open == job.occurrences.end() ? job.spec.occurrences - 1 : open->first;
    return job.firstDue + number * std::chrono::milliseconds(job.spec.intervalMs) + job.latencyObjective;
}

bool Scheduler::hasJob(const std::string &id) const
{
    return m_jobs.contains(id);
}

const Job *Scheduler::job(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

const StepSpec *Scheduler::findStep(const TaskName &name) const
{
    const auto job = m_jobs.find(name.job);
    return job == m_jobs.end() ? nullptr : &job->second->spec.steps[static_cast<std::size_t>(name.step)];
}

Task *Scheduler::findTask(const TaskName &name, Job **job)
{
    const auto found = m_jobs.find(name.job);
    if (found == m_jobs.end()) {
        return nullptr;
    }
    if (job != nullptr) {
        *job = found->second.get();
    }
    const auto occurrence = found->second->occurrences.find(name.occurrence);
    if (occurrence == found->second->occurrences.end()
        || name.step >= static_cast<int>(occurrence->second.steps.size())) {
        return nullptr;
    }
    auto &tasks = occurrence->second.steps[static_cast<std::size_t>(name.step)];
    return name.index < static_cast<int>(tasks.size()) ? &tasks[static_cast<std::size_t>(name.index)] : nullptr;
}

/// Called when an executor has accepted one of the job's tasks. Sending the start does not suffice, since the executor
/// may refuse the start, and then the job still waits.
void Scheduler::markStarted(Job &job, TimePoint now)
{
    if (job.state == JobState::Pending) {
        job.state = JobState::Running;
        logDecision("job-started", job.spec.id,
                    "queue=" + job.spec.queue + " wait_ms=" + std::to_string((now - job.acceptedAt).count() / 1000)
                        + (job.spec.workspace.empty() ? std::string() : " workspace=" + job.spec.workspace));
    }
}

void Scheduler::finishJob(Job &job, JobState state, TimePoint now)
{
    job.state = state;
    job.commitPending = true;
    m_dirtyJobs.insert(job.spec.id);
    const bool inTime = now <= objectiveDeadline(job);
    ++(state == JobState::Completed ? m_counts.completed : m_counts.failed);
    m_counts.late += inTime ? 0 : 1;
    m_finished.push_back({job.spec.queue, now - job.acceptedAt, inTime});
    logDecision("job-ended", job.spec.id,
                "state=" + std::string(toString(state)) + " queue=" + job.spec.queue
                    + " total_ms=" + std::to_string((now - job.acceptedAt).count() / 1000)
                    + " in_time=" + (inTime ? "yes" : "no") + (job.beyondWeight ? " beyond_weight=yes" : ""));
    stopAllRuns(job, now, "job-ended");
}

void Scheduler::eraseIfFinished(const std::string &id)
{
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end() && isFinal(found->second->state) && !found->second->commitPending
        && found->second->runs == 0) {
        m_jobs.erase(found);
    }
}

// Tasks ---------------------------------------------------------------------------------------------------------------

void Scheduler::requeue(const TaskName &name, TimePoint retryAt)
{
    Task *task = findTask(name);
    if (task != nullptr) {
        task->executor.clear();
        task->retryAt = retryAt;
        m_placementNeeded = true;
    }
}

/// Removes the run from the executor and releases its resources. The state of the task is not changed.
void Scheduler::removeRun(Executor &executor, std::map<std::string, Run>::iterator item)
{
    executor.used -= item->second.allocated;
    m_quotaLedger.ended(item->second.workspace, item->second.quotaUse);
    executor.runsOfUnknownSize -= item->second.resourcesUnknown ? 1 : 0;
    const std::string id = item->second.task.job;
    executor.runs.erase(item);
    m_placementNeeded = true;
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end()) {
        --found->second->runs;
        eraseIfFinished(id);
    }
}

void Scheduler::handleEnd(Executor &executor, const EndReport &end, TimePoint now)
{
    bool wasKnown = false;
    bool wasStopping = false;
    if (const auto item = executor.runs.find(end.task); item != executor.runs.end() && item->second.run <= end.run) {
        wasKnown = item->second.run == end.run;
        wasStopping = item->second.state == RunState::Stopping;
        removeRun(executor, item);
    }
    const auto name = parseTaskName(end.task);
    Job *job = nullptr;
    Task *task = name ? findTask(*name, &job) : nullptr;
    if (task == nullptr || isFinal(job->state)) {
        return;
    }
    const StepSpec &step = job->spec.steps[static_cast<std::size_t>(name->step)];
    task->run = std::max(task->run, end.run);
    const bool wasCurrentRun = task->executor == executor.record.id && wasKnown;
    if (!end.checkpoint.empty() && (end.run == task->run || task->checkpoint.empty())) {
        task->checkpoint = end.checkpoint;
    }
    task->hasProgress = true;
    m_dirtyJobs.insert(job->spec.id);
    markStarted(*job, now);
    if (end.how == RunEnd::Done && !step.longRunning) {
        recordSuccess(executor, now);
        completeTask(*job, *name, *task, now);
        return;
    }
    const bool alreadyCounted
        = std::find(task->failedRuns.begin(), task->failedRuns.end(), end.run) != task->failedRuns.end();
    if (end.how == RunEnd::Failed && !alreadyCounted && !task->done) {
        recordFailure(executor, job->spec.id, now);
        logDecision("task-failed", job->spec.id,
                    "task=" + end.task + " run=" + std::to_string(end.run) + " executor=" + executor.record.id
                        + " failures=" + std::to_string(task->failedRuns.size() + 1));
        if (!step.longRunning) {
            task->failedRuns.push_back(end.run);
            if (static_cast<int>(task->failedRuns.size()) >= job->spec.maxAttempts) {
                finishJob(*job, JobState::Failed, now);
                return;
            }
        }
    }
    if (wasCurrentRun || task->executor.empty()) {
        m_counts.requeued += wasCurrentRun ? 1 : 0;
        if (!wasStopping && end.how == RunEnd::Lapsed) {
            logDecision("task-lapsed", job->spec.id, "task=" + end.task + " executor=" + executor.record.id);
        }
        requeue(*name, now);
        if (step.gang) {
            stopOtherGangMembers(*job, *name, now);
        }
    }
}

void Scheduler::completeTask(Job &job, const TaskName &name, Task &task, TimePoint now)
{
    Occurrence &occurrence = job.occurrences[name.occurrence];
    const auto step = static_cast<std::size_t>(name.step);
    const StepSpec &spec = job.spec.steps[step];
    const auto markDone = [&](Task &doneTask, int index) {
        if (doneTask.done) {
            return;
        }
        doneTask.done = true;
        doneTask.hasProgress = true;
        if (!doneTask.executor.empty()) {  // the task may have another run, whose result is not needed
            const auto executor = m_executors.find(doneTask.executor);
            const std::string text = formatTaskName({name.job, name.occurrence, name.step, index});
            if (executor != m_executors.end()) {
                if (const auto run = executor->second.runs.find(text);
                    run != executor->second.runs.end() && !spec.gang) {
                    stopRun(executor->second, text, run->second, now, "task-done");
                }
            }
            doneTask.executor.clear();
        }
        if (spec.speculative && !spec.gang) {  // runs that copyRuns() has left on executors without an answer
            const std::string text = formatTaskName({name.job, name.occurrence, name.step, index});
            for (auto &[id, executor] : m_executors) {
                if (const auto run = executor.runs.find(text); run != executor.runs.end()) {
                    stopRun(executor, text, run->second, now, "task-done");
                }
            }
        }
        ++occurrence.done[step];
    };
    if (spec.gang) {  // the success of one member counts for the whole gang
        for (int index = 0; index < spec.count; ++index) {
            markDone(occurrence.steps[step][static_cast<std::size_t>(index)], index);
        }
    } else {
        markDone(task, name.index);
    }
    m_placementNeeded = true;
    if (occurrence.done[step] < spec.count) {
        return;
    }
    occurrence.stepsDone = 0;
    for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
        occurrence.stepsDone += occurrence.done[i] == job.spec.steps[i].count ? 1 : 0;
    }
    if (occurrence.complete()) {
        int complete = 0;
        for (const auto &[number, jobOccurrence] : job.occurrences) {
            complete += jobOccurrence.complete() ? 1 : 0;
        }
        job.occurrencesDone = complete;
        if (complete == std::max(1, job.spec.occurrences)) {
            finishJob(job, JobState::Completed, now);
        }
    }
}

/// Stops the other members of the gang when one member has ended without success.
void Scheduler::stopOtherGangMembers(Job &job, const TaskName &name, TimePoint now)
{
    auto &tasks = job.occurrences[name.occurrence].steps[static_cast<std::size_t>(name.step)];
    for (int index = 0; index < static_cast<int>(tasks.size()); ++index) {
        const std::string &executorId = tasks[static_cast<std::size_t>(index)].executor;
        const auto executor = m_executors.find(executorId);
        if (index == name.index || executor == m_executors.end()) {
            continue;
        }
        const std::string text = formatTaskName({name.job, name.occurrence, name.step, index});
        if (const auto run = executor->second.runs.find(text); run != executor->second.runs.end()) {
            stopRun(executor->second, text, run->second, now, "gang-member-ended");
        }
    }
}

void Scheduler::stopRun(Executor &executor, const std::string &name, Run &run, TimePoint now, std::string_view why)
{
    if (run.state == RunState::Stopping) {
        return;
    }
    if (run.state == RunState::Reserved) {
        // The run is only reserved: no start was sent, so no stop is needed. committed() removes the run.
        run.obsolete = true;
        return;
    }
    run.state = RunState::Stopping;
    run.stopSentAt = now;
    run.stopAnsweredAt = {};
    ++m_counts.stops;
    logDecision("task-stopped", run.task.job,
                "task=" + name + " run=" + std::to_string(run.run) + " executor=" + executor.record.id
                    + " why=" + std::string(why));
    m_commands.push_back(commandFor(executor, CommandKind::Stop, name, run.run));
    executor.nextReportPoll = std::min(executor.nextReportPoll, now + m_settings.reportBatchDelay);
}

ExecutorCommand Scheduler::commandFor(const Executor &executor, CommandKind kind, const std::string &task,
                                      int run) const
{
    ExecutorCommand command;
    command.kind = kind;
    command.executor = executor.record.id;
    command.fencingToken = m_fencingToken;
    command.task = task;
    command.run = run;
    command.timeout = m_settings.commandTimeout;
    return command;
}

void Scheduler::stopAllRuns(Job &job, TimePoint now, std::string_view why)
{
    if (job.runs == 0) {
        return;
    }
    for (auto &[id, executor] : m_executors) {
        for (auto &[name, run] : executor.runs) {
            if (run.task.job == job.spec.id) {
                stopRun(executor, name, run, now, why);
            }
        }
    }
}

// Executors -----------------------------------------------------------------------------------------------------------

void Scheduler::setExecutors(const std::vector<ExecutorRecord> &records, TimePoint now)
{
    for (auto &[id, executor] : m_executors) {
        executor.listed = false;
    }
    for (const ExecutorRecord &record : records) {
        if (record.service != m_service) {
            continue;
        }
        auto [item, isNew] = m_executors.try_emplace(record.id);
        Executor &executor = item->second;
        if (isNew) {
            executor.health = ExecutorHealth(m_settings.health);
            executor.listedSince = now;
            executor.nextReportPoll = now;
            m_placementNeeded = true;
            restoreOpenCommands(executor, record, now);
        } else if (executor.record.startedMs != 0 && record.startedMs > executor.record.startedMs) {
            discardRuns(executor, now, "executor-restarted", true);
        }
        const std::int64_t startedMs = std::max(record.startedMs, executor.record.startedMs);
        if (record.draining != executor.record.draining) {
            m_placementNeeded = true;
        }
        executor.record = record;
        executor.record.startedMs = startedMs;
        executor.listed = true;
    }
    std::erase_if(m_openCommands, [now](const auto &item) { return item.second.until() <= now; });
    std::erase_if(m_executors, [&](const auto &item) {
        const Executor &executor = item.second;
        const bool isGone = !executor.listed && executor.runs.empty() && !m_unreportedExecutors.contains(item.first);
        if (isGone && executor.openCommands.until() > now) {
            m_openCommands[item.first] = executor.openCommands;
        }
        return isGone;
    });
}

void Scheduler::addRecordedExecutor(const ExecutorRecord &record, TimePoint now)
{
    auto [item, isNew] = m_executors.try_emplace(record.id);
    if (isNew) {
        item->second.record = record;
        item->second.record.startedMs = 0;
        item->second.health = ExecutorHealth(m_settings.health);
        item->second.nextReportPoll = now;
    }
    if (!item->second.adopted) {
        m_unreportedExecutors.insert(record.id);
    }
}

void Scheduler::setVacating(const std::unordered_set<std::string> &ids, TimePoint now)
{
    std::string withdrawn;
    for (auto &[id, executor] : m_executors) {
        const bool vacating = ids.contains(id);
        withdrawn += executor.vacating && !vacating ? " " + id : "";
        if (vacating && !executor.vacating) {
            executor.vacatingSince = now;
        } else if (!vacating && executor.vacating) {
            if (!executor.vacatingBlocked) {
                // Its instance has usually left the pool, some time before the list shows it.
                executor.health.requireProbe(now);
            }
        }
        m_placementNeeded = m_placementNeeded || vacating != executor.vacating;
        executor.vacating = vacating;
        executor.vacatingBlocked = vacating && executor.vacatingBlocked;
    }
    if (!withdrawn.empty()) {
        logDecision("vacating-withdrawn", {}, "executors:" + withdrawn);
    }
}

bool Scheduler::awaitsRecordedExecutors() const
{
    return !m_unreportedExecutors.empty();
}

bool Scheduler::needsInstanceList(TimePoint now) const
{
    return awaitsRecordedExecutors() && now >= m_predecessorLimits.commandsUntil;
}

void Scheduler::setInstances(const std::vector<PooledInstance> &instances, TimePoint askedAt, TimePoint now)
{
    if (askedAt < m_predecessorLimits.commandsUntil) {
        return;
    }
    std::set<std::string> executorsPresent;
    for (const PooledInstance &instance : instances) {
        if (instance.executor.empty() && instance.state == InstanceAvailability::Down) {
            // The instance may be cut off from the network together with a recorded executor that still has runs, so
            // the list proves nothing. Spare instances have no executor either, but are listed as up.
            return;
        }
        if (instance.state != InstanceAvailability::Moving && instance.state != InstanceAvailability::Maintenance) {
            executorsPresent.insert(instance.executor);
        }
    }
    const std::size_t ended = std::erase_if(m_unreportedExecutors, [&](const std::string &id) {
        const bool gone = !executorsPresent.contains(id);
        if (gone) {
            logDecision("inherited-executor-gone", {},
                        "executor=" + id + " instances=" + std::to_string(instances.size())
                            + " list_age_ms=" + std::to_string((now - askedAt).count() / 1000));
        }
        return gone;
    });
    m_placementNeeded = m_placementNeeded || ended > 0;
}

std::set<std::string> Scheduler::vacated() const
{
    std::set<std::string> ids;
    for (const auto &[id, executor] : m_executors) {
        if (executor.leavesByOrder() && executor.adopted && executor.runs.empty()
            && executor.acknowledgedEnd == executor.handledEnd) {
            ids.insert(id);
        }
    }
    return ids;
}

std::set<std::string> Scheduler::blocked() const
{
    std::set<std::string> ids;
    for (const auto &[id, executor] : m_executors) {
        if (executor.vacating && executor.vacatingBlocked) {
            ids.insert(id);
        }
    }
    return ids;
}

/// Drops the runs of an executor that have ended without a report, and requeues their tasks. `restarted`: the executor
/// has a new incarnation, whose end numbers begin anew.
void Scheduler::discardRuns(Executor &executor, TimePoint now, std::string_view why, bool restarted)
{
    if (!executor.runs.empty()) {
        logDecision("runs-lost", {},
                    "executor=" + executor.record.id + " runs=" + std::to_string(executor.runs.size())
                        + " why=" + std::string(why) + " listed=" + (executor.listed ? "yes" : "no")
                        + " report_age_ms=" + std::to_string((now - executor.reportSentAt).count() / 1000)
                        + " failed_polls=" + std::to_string(executor.failedPolls)
                        + " unreachable=" + (executor.unreachable ? "yes" : "no"));
    }
    if (restarted && !executor.runs.empty() && executor.health.lostRuns(now)) {
        eject(executor, {}, "restarts", now);
    }
    std::vector<std::string> lost;
    for (auto &[name, run] : executor.runs) {
        if (restarted && (!run.reportedRunning || run.sends > 1) && run.state != RunState::Reserved) {
            // No report has listed the run, or its start was sent more than once, so a start may have reached the new
            // incarnation, or may do so later. The next report shows whether it did.
            run.state = run.state == RunState::Stopping ? RunState::Stopping : RunState::Unconfirmed;
            run.stopAnsweredAt = {};
            continue;
        }
        lost.push_back(name);
    }
    for (const std::string &text : lost) {
        const auto item = executor.runs.find(text);
        const TaskName name = item->second.task;
        const bool obsolete = item->second.obsolete;
        if (!item->second.checkpoint.empty()) {
            if (Task *task = findTask(name); task != nullptr) {
                task->checkpoint = item->second.checkpoint;
            }
        }
        removeRun(executor, item);
        Job *job = nullptr;
        Task *task = obsolete ? nullptr : findTask(name, &job);
        if (task != nullptr && task->executor == executor.record.id) {
            ++m_counts.requeued;
            requeue(name, now);
            if (job->spec.steps[static_cast<std::size_t>(name.step)].gang) {
                stopOtherGangMembers(*job, name, now);
            }
        }
    }
    if (restarted) {
        executor.handledEnd = 0;
        executor.durableEnd = 0;
        executor.sentAcknowledgement = 0;
        executor.acknowledgedEnd = 0;
        executor.reportClockMs = 0;
    }
    executor.settleAt = nextSettlement(executor);
    executor.adopted = false;  // the next report gives the executor's clock and runs anew
    executor.clockReadAt = {};
    executor.leasesEndBy = now + m_settings.lease + m_settings.lease / 10;
    if (restarted) {
        incarnationChanged(executor, now);
    }
    executor.nextReportPoll = std::min(executor.nextReportPoll, now);
}

void Scheduler::recordFailure(Executor &executor, const std::string &job, TimePoint now)
{
    if (const auto found = m_jobs.find(job); found != m_jobs.end()) {
        std::string &failedOn = found->second->failedOn;
        if (!failedOn.empty() && failedOn != executor.record.id) {
            return;  // the job fails on several executors, so the fault is likely its own
        }
        failedOn = executor.record.id;
    }
    if (executor.health.failed(job, now)) {
        eject(executor, job, "failures", now);
    }
}

void Scheduler::eject(Executor &executor, const std::string &job, std::string_view why, TimePoint now)
{
    int listed = 0;
    int ejected = 0;
    for (const auto &[id, other] : m_executors) {
        listed += other.listed ? 1 : 0;
        ejected += other.listed && other.health.ejected(now) ? 1 : 0;
    }
    if (ejected >= std::max(1, static_cast<int>(m_settings.maxEjectedShare * listed)) || executor.health.ejected(now)) {
        return;
    }
    executor.health.eject(now);
    ++m_counts.ejections;
    logDecision("executor-ejected", job,
                "executor=" + executor.record.id + " why=" + std::string(why)
                    + " for_ms=" + std::to_string(executor.health.lastEjection().count() / 1000)
                    + " ejected=" + std::to_string(ejected + 1) + " listed=" + std::to_string(listed));
}

void Scheduler::recordSuccess(Executor &executor, TimePoint now)
{
    const bool wasProbing = executor.health.probing(now);
    executor.health.succeeded(now);
    if (wasProbing && !executor.health.probing(now)) {
        logDecision("executor-returned", {}, "executor=" + executor.record.id);
        m_placementNeeded = true;
    }
}

/// Takes over a run that the executor reports and this owner has no record of. A run that no task needs is stopped.
void Scheduler::adopt(Executor &executor, const RunningReport &row, TimePoint now)
{
    Run run;
    run.run = row.run;
    run.state = RunState::Running;
    run.reportedRunning = true;
    run.percent = row.percent;
    run.load = row.load;
    run.checkpoint = row.checkpoint;
    run.sentAt = now;
    run.confirmedAt = now;
    const auto name = parseTaskName(row.task);
    Job *job = nullptr;
    Task *task = name ? findTask(*name, &job) : nullptr;
    run.task = name.value_or(TaskName{});
    bool needed = task != nullptr && !isFinal(job->state) && !task->done && task->executor.empty();
    if (job != nullptr) {
        const StepSpec &step = job->spec.steps[static_cast<std::size_t>(run.task.step)];
        run.allocated = requestedResources(step);
        run.workspace = job->spec.workspace;
        run.quotaUse = step.each;
        m_quotaLedger.started(run.workspace, run.quotaUse);
        ++job->runs;
    } else {
        run.resourcesUnknown = true;
        ++executor.runsOfUnknownSize;
    }
    executor.used += run.allocated;
    if (needed) {
        task->executor = executor.record.id;
        task->run = std::max(task->run, row.run);
        task->hasProgress = true;
        markStarted(*job, now);
    }
    run.obsolete = !needed;
    Run &added = executor.runs.emplace(row.task, std::move(run)).first->second;
    if (!needed) {
        stopRun(executor, row.task, added, now, job == nullptr ? "job-unknown" : "not-wanted");
    }
}

void Scheduler::reported(const std::string &id, const ExecutorReport &report, TimePoint sentAt, TimePoint now,
                         bool settles)
{
    const auto found = m_executors.find(id);
    if (found == m_executors.end()) {
        return;
    }
    Executor &executor = found->second;
    (settles ? executor.settlePollPending : executor.reportPollPending) = false;
    countPoll(false);
    if (executor.record.startedMs != 0 && report.startedMs != executor.record.startedMs) {
        if (report.startedMs < executor.record.startedMs) {
            return;  // the report is from a previous incarnation
        }
        discardRuns(executor, now, "executor-restarted", true);
    }
    executor.record.startedMs = report.startedMs;
    if (report.endsIncomplete && !executor.endsIncomplete) {
        logDecision("ends-incomplete", {}, "executor=" + id + " ended=" + std::to_string(report.ended.size()));
    }
    if (!settles) {
        executor.acknowledgedEnd = std::max(executor.acknowledgedEnd, executor.sentAcknowledgement);
    }
    if (sentAt < executor.lastReport && report.clockMs <= executor.reportClockMs) {
        // The answers of the regular poll and of one that settles have overtaken each other: a newer report was
        // handled.
        executor.nextReportPoll = std::min(executor.nextReportPoll, now);
        return;
    }
    executor.reportClockMs = report.clockMs;
    executor.unreachable = false;
    executor.failedPolls = 0;
    executor.endsIncomplete = report.endsIncomplete;
    executor.lastReport = now;
    executor.reportSentAt = sentAt;
    executor.clockMs = report.clockMs;
    executor.clockReadAt = now;
    const bool isNew = !executor.adopted;
    if (isNew) {
        executor.adopted = true;
        executor.adoptedAt = now;
        if (executor.answerTime == Duration{0}) {
            executor.answerTime = now - sentAt;  // the first report poll does not wait for an end
        }
        executor.usableFrom = now + (m_predecessorRunsPossible ? m_settings.stopTime : Duration{0});
        m_placementNeeded = true;
        foreignLeaseTaken(executor, now);  // by a previous owner, perhaps on the clock of another incarnation
        refuseFormerStarts(executor, now);
    }
    if (!report.endsIncomplete && m_unreportedExecutors.erase(id) > 0) {
        m_placementNeeded = true;
    }
    for (const EndReport &end : report.ended) {
        if (end.number > executor.handledEnd) {
            executor.handledEnd = end.number;
            handleEnd(executor, end, now);
        }
    }
    if (m_dirtyJobs.empty() && !m_commitPending) {
        executor.durableEnd = executor.handledEnd;  // no state that depends on these ends waits for the store
    }
    if (isNew) {
        logDecision("executor-adopted", {},
                    "executor=" + id + " running=" + std::to_string(report.running.size()) + " ended="
                        + std::to_string(report.ended.size()) + " clock_ms=" + std::to_string(report.clockMs)
                        + " kind=" + (executor.record.labels.empty() ? std::string() : executor.record.labels.front())
                        + " cores=" + std::to_string(executor.record.capacity.milliCores) + "m");
    }
    std::unordered_set<std::string_view> listed;
    for (const RunningReport &row : report.running) {
        listed.insert(row.task);
        const auto item = executor.runs.find(row.task);
        if (item == executor.runs.end()) {
            adopt(executor, row, now);
            continue;
        }
        Run &run = item->second;
        if (run.run != row.run) {
            continue;  // the report and the last command for the task have crossed; the next report decides
        }
        run.reportedRunning = true;
        run.percent = row.percent;
        run.load = row.load;
        if (!row.checkpoint.empty()) {
            run.checkpoint = row.checkpoint;
        }
        if (run.state == RunState::Unconfirmed || run.state == RunState::Starting) {
            if (run.state == RunState::Unconfirmed || run.sends > 1) {  // its answers take longer than was expected
                executor.answerTime = std::min(startTimeout(executor) / 2, m_settings.commandTimeout);
            }
            run.state = RunState::Running;
            run.confirmedAt = now;
            if (const auto job = m_jobs.find(run.task.job); job != m_jobs.end()) {
                markStarted(*job->second, now);
            }
        }
    }
    std::vector<std::string> gone;
    for (auto &[name, run] : executor.runs) {
        if (listed.contains(name)) {
            continue;
        }
        if (report.endsIncomplete && run.state != RunState::Unconfirmed) {
            continue;  // its end may be among those that the report has no room for
        }
        switch (run.state) {
        case RunState::Reserved:
        case RunState::Starting:
            break;
        case RunState::Unconfirmed:
            if (run.sentAt < sentAt) {
                recordFailure(executor, run.task.job, now);
                stopRun(executor, name, run, now, "start-unanswered");
            }
            break;
        case RunState::Running:
            if (run.confirmedAt < sentAt) {
                gone.push_back(name);
            }
            break;
        case RunState::Stopping:
            // A run that is being stopped is not listed and occupies its resources until its end is reported. If no end
            // was reported within stopTime and leaseExpiryMargin after the answer, the executor never had the run.
            if (run.stopAnsweredAt != TimePoint{}
                && run.stopAnsweredAt + m_settings.stopTime + m_settings.leaseExpiryMargin < sentAt) {
                gone.push_back(name);
            }
            break;
        }
    }
    for (const std::string &name : gone) {
        const auto item = executor.runs.find(name);
        const TaskName taskName = item->second.task;
        const int runNumber = item->second.run;
        removeRun(executor, item);
        Job *job = nullptr;
        if (Task *task = findTask(taskName, &job); task != nullptr && task->executor == id) {
            task->run = std::max(task->run, runNumber);
            task->hasProgress = true;
            m_dirtyJobs.insert(taskName.job);
            ++m_counts.requeued;
            requeue(taskName, now);
            if (job->spec.steps[static_cast<std::size_t>(taskName.step)].gang) {
                stopOtherGangMembers(*job, taskName, now);
            }
        }
    }
    if (!settles) {
        executor.nextReportPoll = now + (report.ended.empty() ? Duration{0} : m_settings.reportBatchDelay);
    }
    executor.settleAt = nextSettlement(executor);
    adjustPace(executor, now);
}

/// Updates the share of polls without an answer, over all executors.
void Scheduler::countPoll(bool lost)
{
    constexpr double weight = 0.02;  // so that about the last fifty polls determine the share
    m_lostPollShare += ((lost ? 1.0 : 0.0) - m_lostPollShare) * weight;
}

void Scheduler::reportPollFailed(const std::string &id, CommandResult result, TimePoint now, bool settles)
{
    const auto found = m_executors.find(id);
    if (found == m_executors.end()) {
        return;
    }
    Executor &executor = found->second;
    if (settles) {
        executor.settlePollPending = false;
        executor.settleAt = std::max(nextSettlement(executor), now + StartRetryPause);
        m_deposed = m_deposed || result == CommandResult::Fenced;
        return;
    }
    executor.reportPollPending = false;
    executor.unreachable = result == CommandResult::Unreachable;
    countPoll(result == CommandResult::Unanswered);
    // The answer to one poll may get lost while the executor is well. A second loss in a row points to its silence.
    executor.nextReportPoll = executor.failedPolls++ == 0 ? now : now + StartRetryPause;
    executor.sentAcknowledgement = 0;
    // The executor may have restarted, so the last report no longer counts as fresh and no end is acknowledged.
    executor.lastReport = std::min(executor.lastReport, now - m_settings.freshReportAge);
    if (result == CommandResult::Fenced) {
        m_deposed = true;
    } else if (result == CommandResult::Replaced && !executor.listed) {
        discardRuns(executor, now, "executor-replaced");
        m_unreportedExecutors.erase(id);
    }
}

void Scheduler::confirmed(TimePoint provenAt)
{
    if (m_ownershipProvenAt < provenAt) {
        m_placementNeeded = m_placementNeeded || needsOwnershipProof();
        m_ownershipProvenAt = provenAt;
    }
}

bool Scheduler::needsOwnershipProof() const
{
    return std::any_of(m_executors.begin(), m_executors.end(), [this](const auto &item) {
        return item.second.listed && item.second.adopted && item.second.adoptedAt >= m_ownershipProvenAt;
    });
}

bool Scheduler::mayCommand(TimePoint now) const
{
    return !m_deposed && now - m_ownershipProvenAt < m_settings.ownershipProofMaxAge;
}

bool Scheduler::mayStart(const Task &task, TimePoint now) const
{
    return mayCommand(now) && (!task.copied || now - m_ownershipProvenAt < m_settings.copyProofMaxAge);
}

/// End of a lease that is granted now, on the executor's clock. Zero while that clock is not known.
std::int64_t Scheduler::leaseUntil(const Executor &executor, TimePoint now) const
{
    if (executor.clockReadAt == TimePoint{}) {
        return 0;
    }
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(now - executor.clockReadAt).count();
    return executor.clockMs + passed + m_settings.lease.count() / 1000;
}

/// Records that runs on the executor may have leases until `untilMs` on its clock, which may run slow by clockSlowdown.
void Scheduler::extendLease(Executor &executor, std::int64_t untilMs)
{
    const auto leaseTime = std::chrono::milliseconds(untilMs - executor.clockMs);
    const auto longest = Duration(
        static_cast<std::int64_t>(static_cast<double>(Duration(leaseTime).count()) / (1 - m_settings.clockSlowdown)));
    executor.leasesEndBy
        = std::max(executor.leasesEndBy, executor.clockReadAt + longest + m_settings.leaseExpiryMargin);
}

}
