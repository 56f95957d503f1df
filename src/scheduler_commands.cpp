// The scheduler's commands to executors, its writes to the store, and what it tells of itself.

#include "scheduler.h"

#include <algorithm>

namespace briarvane
{

namespace
{

constexpr int AtWork = 100;  // percent of a long-running task that serves

}

// Commands ------------------------------------------------------------------------------------------------------------

void Scheduler::answered(const ExecutorCommand &command, CommandResult result, std::int64_t clockMs, TimePoint now)
{
    const auto found = m_executors.find(command.executor);
    if (result == CommandResult::Fenced) {
        m_deposed = true;
        decide("deposed", {}, "executor=" + command.executor + " token=" + std::to_string(command.fencingToken));
        return;
    }
    if (found == m_executors.end() || command.kind == CommandKind::Pace) {
        return;
    }
    Executor &executor = found->second;
    const auto place = executor.runs.find(command.task);
    if (place == executor.runs.end() || place->second.run != command.run) {
        return;
    }
    Run &run = place->second;
    if (clockMs > 0 && result == CommandResult::Done) {
        executor.clockMs = clockMs;
        executor.clockAt = now;
    }
    if (command.kind == CommandKind::Stop) {
        if (result == CommandResult::Done) {
            run.stopAnsweredAt = now;
            executor.nextReportPoll = std::min(executor.nextReportPoll, now);
        }
        return;
    }
    if (run.state != RunState::Starting) {
        return;
    }
    const TaskName name = run.task;
    switch (result) {
    case CommandResult::Done:
        run.state = RunState::Running;
        run.confirmedAt = now;
        if (const auto job = m_jobs.find(name.job); job != m_jobs.end()) {
            noteBegun(*job->second, now);
        }
        return;
    case CommandResult::Unanswered:
        run.state = RunState::Unsettled;
        executor.nextReportPoll = std::min(executor.nextReportPoll, now);
        noteOutcome(executor, false, now);
        decide("start-unanswered", name.job, "task=" + command.task + " executor=" + command.executor);
        return;
    case CommandResult::Superseded:
        if (Task *task = findTask(name); task != nullptr) {
            task->run += InheritedRunGap;
        }
        break;
    case CommandResult::Unhealthy:
    case CommandResult::NotSent:
        executor.ejectedUntil = std::max(executor.ejectedUntil, now + m_settings.ejection / 4);
        break;
    case CommandResult::Late:
        executor.adopted = false;  // its clock is not what we think
        executor.nextReportPoll = now;
        break;
    case CommandResult::Replaced:
        executor.ejectedUntil = std::max(executor.ejectedUntil, now + m_settings.ejection);
        break;
    case CommandResult::NoTicket:
        loseTicket(name, command.executor);
        break;
    default:
        break;
    }
    ++m_counts.refusedStarts;
    decide("start-refused", name.job,
           "task=" + command.task + " executor=" + command.executor + " reason=" + std::string(toString(result)));
    dropRun(executor, place);
    Job *job = nullptr;
    if (Task *task = findTask(name, &job); task != nullptr && task->executor == command.executor) {
        requeue(name, now + StartRetryPause);
        if (job->spec.steps[static_cast<std::size_t>(name.step)].gang) {
            stopOthers(*job, name, now);
        }
    }
}

void Scheduler::pollReportIfDue(Executor &executor, TimePoint now)
{
    const bool needed = !executor.adopted || !executor.runs.empty() || executor.observed != executor.toldObserved
        || executor.lastEnd != executor.observed;
    if (executor.reportPollPending || executor.nextReportPoll > now || !needed) {
        return;
    }
    if (executor.runs.empty() && executor.adopted && executor.observed == executor.toldObserved) {
        return;  // ends wait for the store; nothing to tell yet
    }
    ExecutorCommand command;
    command.kind = CommandKind::RenewLeases;
    command.executor = executor.record.id;
    command.fencingToken = m_fencingToken;
    // While the outcome of an command is open, reports come often; an end in between is reported at once anyway.
    Duration wait = executor.adopted && !executor.runs.empty() ? m_settings.reportPollWait : Duration{0};
    for (const auto &[name, run] : executor.runs) {
        if (run.state == RunState::Unsettled) {
            wait = Duration{0};
        } else if (run.state == RunState::Stopping && run.stopAnsweredAt != TimePoint{}) {
            wait = std::min(wait, m_settings.stopTime / 2);
        }
    }
    command.wait = wait;
    command.timeout = command.wait + m_settings.reportPollTimeout;
    // A silent executor may carry out an unanswered renewal late, so its leases are left to run out.
    const bool heard = now - executor.quietSince() < m_settings.silentAfter;
    if (mayCommand(now) && heard && !executor.runs.empty()) {
        command.leaseUntilMs = leaseUntil(executor, now);
        if (command.leaseUntilMs > 0) {
            extendLease(executor, command.leaseUntilMs);
        }
    }
    // A new incarnation under the same id would forget ends that it has not reported yet.
    const bool known = now - executor.lastReport < m_settings.freshReport;
    command.observed = known && executor.observed != executor.toldObserved ? executor.observed : 0;
    if (!known && executor.observed != executor.toldObserved) {
        command.wait = Duration{0};
        command.timeout = m_settings.reportPollTimeout;
    }
    executor.sentObserved = command.observed;
    executor.reportPollPending = true;
    m_commands.push_back(std::move(command));
}

void Scheduler::repeatStops(Executor &executor, TimePoint now)
{
    for (auto &[name, run] : executor.runs) {
        if (run.state == RunState::Stopping && run.stopAnsweredAt == TimePoint{}
            && now - run.stopSentAt >= m_settings.stopRepeat) {
            run.stopSentAt = now;
            m_commands.push_back(commandFor(executor, CommandKind::Stop, name, run.run));
        }
    }
}

/// Tasks of the step that are not at work, except the named one.
int Scheduler::awayInStep(const Job &job, const TaskName &name, TimePoint now) const
{
    int away = 0;
    const auto &tasks = job.occurrences.at(name.occurrence).steps[static_cast<std::size_t>(name.step)];
    for (int index = 0; index < static_cast<int>(tasks.size()); ++index) {
        if (index == name.index) {
            continue;
        }
        const auto executor = m_executors.find(tasks[static_cast<std::size_t>(index)].executor);
        bool atWork = false;
        if (executor != m_executors.end() && now - executor->second.quietSince() < m_settings.silentAfter) {
            const auto run = executor->second.runs.find(formatTaskName({name.job, name.occurrence, name.step, index}));
            atWork = run != executor->second.runs.end() && run->second.state == RunState::Running
                && run->second.percent == AtWork;
        }
        away += atWork ? 0 : 1;
    }
    return away;
}

/// Moves work away from an executor that is about to leave.
void Scheduler::vacate(Executor &executor, TimePoint now)
{
    const bool leaving = executor.record.draining;
    if (!executor.vacating && !leaving) {
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
            // What a report says of this task may be old: it can have come to work since.
            const bool allowed = awayInStep(job, run.task, now) < step.mayMiss;
            if (allowed || (leaving && !executor.vacating)) {
                stopRun(executor, name, run, now, "executor-leaves");
            }
        } else if (executor.vacating && now - executor.vacatingSince > m_settings.vacateLimit) {
            stopRun(executor, name, run, now, "executor-leaves");
        }
    }
}

/// Slows tasks that fill when a task beside them misses its latency target.
void Scheduler::pace(Executor &executor, TimePoint now)
{
    constexpr double tooClose = 0.9;  // of the target: slows before it is missed
    constexpr double relaxed = 0.6;
    constexpr int step = 25;
    double worst = 0;
    bool anyFilling = false;
    for (const auto &[name, run] : executor.runs) {
        const StepSpec *spec = findStep(run.task);
        anyFilling = anyFilling || (spec != nullptr && spec->fills);
        if (spec != nullptr && spec->latencyTarget.count() > 0) {
            worst = std::max(worst, run.load * 1000 / static_cast<double>(spec->latencyTarget.count()));
        }
    }
    if (!anyFilling || !mayCommand(now)) {
        return;
    }
    for (auto &[name, run] : executor.runs) {
        const StepSpec *spec = findStep(run.task);
        if (spec == nullptr || !spec->fills || run.state != RunState::Running) {
            continue;
        }
        int wanted = run.pace;
        if (worst > tooClose) {
            wanted = worst > 1 ? 0 : run.pace / 2;
        } else if (worst < relaxed) {
            wanted = std::min(AtWork, run.pace + step);
        }
        if (wanted != run.pace) {
            run.pace = wanted;
            ExecutorCommand command = commandFor(executor, CommandKind::Pace, name, run.run);
            command.percent = wanted;
            m_commands.push_back(std::move(command));
        }
    }
}

void Scheduler::tick(TimePoint now, std::int64_t wallMs)
{
    for (auto &[id, job] : m_jobs) {
        if (job->spec.occurrences > job->nextOccurrence && !isFinal(job->state)) {
            openDueOccurrences(*job, now, wallMs);
        }
    }
    m_hasPredecessor = now < m_inheritance.runsUntil;
    if (!m_inheritedDark.empty() && now >= m_inheritance.runsUntil) {
        m_inheritedDark.clear();
        m_changed = true;
    }
    for (auto &[id, executor] : m_executors) {
        const bool silent = now - executor.quietSince() > m_settings.silentAfter;
        if (silent && !executor.runs.empty() && executor.leaseOver != TimePoint{} && now > executor.leaseOver) {
            loseRuns(executor, now, "lease-over");
        }
        if (mayCommand(now)) {
            repeatStops(executor, now);
            vacate(executor, now);
        }
        if (!m_deposed) {
            pollReportIfDue(executor, now);
        }
    }
    if ((m_changed || now >= m_placeAgainAt) && mayCommand(now)) {
        place(now);
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
    bool endsOpen = false;
    for (const auto &[id, executor] : m_executors) {
        endsOpen = endsOpen || executor.lastEnd != executor.observed;
    }
    if (m_dirty.empty() && !endsOpen) {
        return std::nullopt;
    }
    if (m_dirtySince == TimePoint{}) {
        m_dirtySince = now;
    }
    if (now - m_dirtySince < m_settings.commitPause) {
        return std::nullopt;
    }
    m_dirtySince = {};
    CommitBatch batch;
    batch.generation = ++m_generation;
    m_commitEnds.clear();
    m_commitFinal.clear();
    for (const auto &[id, executor] : m_executors) {
        m_commitEnds[id] = executor.lastEnd;
    }
    for (const std::string &id : m_dirty) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            continue;
        }
        Job &job = *found->second;
        JobWrite write;
        write.job = id;
        write.revision = job.revision;
        if (isFinal(job.state)) {
            m_commitFinal.push_back(id);
            if (job.state != JobState::Cancelled) {  // the caller's entry has written that one
                JobRecord record;
                record.state = job.state;
                record.endedMs = wallMs;
                write.finalRecord = encodeJobRecord(record);
            }
        } else {
            JobProgress progress;
            for (const auto &[number, occurrence] : job.occurrences) {
                for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                    for (std::size_t index = 0; index < occurrence.steps[step].size(); ++index) {
                        const Task &task = occurrence.steps[step][index];
                        if (task.touched) {
                            const bool isLong = job.spec.steps[step].longRunning;
                            progress[{number, static_cast<int>(step), static_cast<int>(index)}]
                                = {task.run, task.failedRuns, task.done, isLong ? task.executor : std::string(),
                                   task.checkpoint};
                        }
                    }
                }
            }
            write.progress = encodeProgress(progress);
        }
        batch.writes.push_back(std::move(write));
    }
    m_dirty.clear();
    m_commitReserved = std::exchange(m_reserved, {});
    m_commitPending = true;
    return batch;
}

void Scheduler::committed(std::uint64_t generation, TimePoint now)
{
    if (generation != m_generation || !m_commitPending) {
        return;
    }
    m_commitPending = false;
    for (const auto &[id, end] : m_commitEnds) {
        const auto found = m_executors.find(id);
        if (found != m_executors.end() && end <= found->second.lastEnd) {
            found->second.observed = std::max(found->second.observed, end);
            if (found->second.runs.empty()) {
                found->second.nextReportPoll = std::min(found->second.nextReportPoll, now);
            }
        }
    }
    for (const auto &[id, name] : std::exchange(m_commitReserved, {})) {
        const auto found = m_executors.find(id);
        if (found == m_executors.end()) {
            continue;
        }
        const auto run = found->second.runs.find(name);
        if (run == found->second.runs.end() || run->second.state != RunState::Reserved) {
            continue;
        }
        const auto owner = m_jobs.find(run->second.task.job);
        const bool wanted = owner != m_jobs.end() && !isFinal(owner->second->state) && !run->second.orphan;
        if (wanted && mayCommand(now) && !found->second.vacating && !found->second.record.draining) {
            sendStart(*owner->second, name, run->second, found->second, now);
        } else {
            const TaskName task = run->second.task;
            dropRun(found->second, run);
            requeue(task, now);
        }
    }
    for (const std::string &id : m_commitFinal) {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end()) {
            found->second->committing = false;
            forgetIfGone(id);
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

/// Cores that tasks hold, wait for, or will ask for when the step before theirs is done.
PoolLoad Scheduler::load(TimePoint now) const
{
    PoolLoad load;
    load.learned = now;
    for (const auto &[id, job] : m_jobs) {
        if (isFinal(job->state)) {
            continue;
        }
        for (const auto &[number, occurrence] : job->occurrences) {
            int widest = 0;  // steps of a job mostly follow each other, so the widest open one counts
            std::map<std::string, int> widestWithLabel;
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const StepSpec &spec = job->spec.steps[step];
                const int open = spec.count - occurrence.done[step];
                const int cores = open * wantedBy(spec).milliCores;
                if (!spec.requiredLabel.empty()) {
                    int &labelled = widestWithLabel[spec.requiredLabel];
                    labelled = std::max(labelled, cores);
                }
                if (spec.longRunning) {
                    load.wantedMilliCores += cores;
                    const int limit = std::max(1, spec.perExecutorLimit);
                    load.widestStep = std::max(load.widestStep, (spec.count + limit - 1) / limit);
                } else {
                    widest = std::max(widest, cores);
                }
            }
            load.wantedMilliCores += widest;
            for (const auto &[label, cores] : widestWithLabel) {
                load.wantedWithLabel[label] += cores;
            }
        }
    }
    for (const auto &[id, executor] : m_executors) {
        constexpr Duration settled{500'000};  // shorter gaps between two tasks are no news
        if (!executor.listed || !executor.adopted) {
            continue;
        }
        const bool lasting = std::any_of(executor.runs.begin(), executor.runs.end(), [&](const auto &entry) {
            const StepSpec *spec = findStep(entry.second.task);
            return spec == nullptr || spec->longRunning;
        });
        if (executor.runs.empty() && now - executor.lastReport > settled) {
            load.idle.insert(id);
        } else if (!lasting) {
            load.light.insert(id);
        }
    }
    return load;
}

std::string Scheduler::summary(TimePoint now) const
{
    int listed = 0;
    int adopted = 0;
    int ejected = 0;
    int leaving = 0;
    int silent = 0;
    std::size_t runs = 0;
    Resources used;
    Resources room;
    for (const auto &[id, executor] : m_executors) {
        listed += executor.listed ? 1 : 0;
        adopted += executor.adopted ? 1 : 0;
        ejected += executor.ejectedUntil > now ? 1 : 0;
        leaving += executor.vacating || executor.record.draining ? 1 : 0;
        silent += !executor.runs.empty() && now - executor.quietSince() >= m_settings.silentAfter ? 1 : 0;
        runs += executor.runs.size();
        used += executor.used;
        if (executor.listed) {
            room += executor.record.capacity;
        }
    }
    int waiting = 0;
    for (const auto &[id, job] : m_jobs) {
        waiting += job->state == JobState::Pending ? 1 : 0;
    }
    return "jobs=" + std::to_string(m_jobs.size()) + " waiting=" + std::to_string(waiting)
        + " runs=" + std::to_string(runs) + " executors=" + std::to_string(m_executors.size()) + " listed="
        + std::to_string(listed) + " adopted=" + std::to_string(adopted) + " ejected=" + std::to_string(ejected)
        + " leaving=" + std::to_string(leaving) + " silent=" + std::to_string(silent)
        + " dark=" + std::to_string(m_inheritedDark.size()) + " used_cores=" + std::to_string(used.milliCores / 1000)
        + "/" + std::to_string(room.milliCores / 1000) + " used_gb=" + std::to_string(used.memoryMb / 1024) + "/"
        + std::to_string(room.memoryMb / 1024) + " proof_ms=" + std::to_string((now - m_confirmedAt).count() / 1000)
        + " commit=" + (m_commitPending ? "pending" : "none") + " may_order=" + (mayCommand(now) ? "yes" : "no");
}

std::optional<TimePoint> Scheduler::nextWake(TimePoint now) const
{
    std::optional<TimePoint> wake;
    const auto earlier = [&wake](TimePoint time) { wake = wake ? std::min(*wake, time) : time; };
    for (const auto &[id, executor] : m_executors) {
        const bool needed = !executor.adopted || !executor.runs.empty() || executor.observed != executor.toldObserved;
        if (needed && !executor.reportPollPending) {
            earlier(std::max(executor.nextReportPoll, now));
        }
    }
    if (m_dirtySince != TimePoint{}) {
        earlier(m_dirtySince + m_settings.commitPause);
    }
    return wake;
}

/// Whether an earlier owner may have started the task on an executor that has not reported to this one.
bool Scheduler::mayHaveUnknownRun(const Job &job, int step, const Task &task) const
{
    if (!job.inherited || m_inheritedDark.empty()) {
        return false;
    }
    if (!job.spec.steps[static_cast<std::size_t>(step)].longRunning) {
        return true;  // a deposed owner may start it anywhere until it notices, also at a new incarnation
    }
    const auto dark = m_inheritedDark.find(task.inherited);  // recorded before each start, which a deposed owner can't
    return dark != m_inheritedDark.end() && !dark->second.restarted;
}

}
