// Queue order and placement: the order in which waiting tasks are considered, and the executor that each one gets.

#include "scheduler.h"

#include <algorithm>

namespace briarvane
{

/// Declared time of the longest chain of dependent steps that are not done, in any occurrence that has fallen due.
/// Includes the advice time that the latency objective allows for each step.
Duration Scheduler::remainingChain(const Job &job)
{
    Duration longest{0};
    for (const auto &[number, occurrence] : job.occurrences) {
        std::vector<Duration> ends;
        for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
            Duration begin{0};
            for (const int earlier : job.spec.steps[step].after) {
                begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
            }
            const bool done = occurrence.done[step] == job.spec.steps[step].count;
            ends.push_back(begin + (done ? Duration{0} : adviceTime(job.spec.advice) + job.spec.steps[step].estimate));
            longest = std::max(longest, ends.back());
        }
    }
    return longest;
}

namespace
{

/// Share of the pool's scarcest resource that `use` takes.
double largestShare(const Resources &use, const Resources &pool)
{
    const auto share = [](int part, int whole) { return whole > 0 ? static_cast<double>(part) / whole : 0; };
    return std::max(
        {share(use.milliCores, pool.milliCores), share(use.memoryMb, pool.memoryMb), share(use.gpus, pool.gpus)});
}

/// Core-seconds of the job's occurrences that have fallen due, by the declared times. `remainingOnly` leaves out the
/// tasks that are done.
double declaredWork(const Job &job, bool remainingOnly)
{
    double work = 0;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
            const StepSpec &spec = job.spec.steps[step];
            const int tasks = remainingOnly ? spec.count - occurrence.done[step] : spec.count;
            work += 1e-9 * tasks * spec.each.milliCores * static_cast<double>(spec.estimate.count());
        }
    }
    return work;
}

}

bool Scheduler::stepReady(const Job &job, const Occurrence &occurrence, int step) const
{
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(step)];
    return std::all_of(spec.after.begin(), spec.after.end(), [&](int earlier) {
        return occurrence.done[static_cast<std::size_t>(earlier)]
            == job.spec.steps[static_cast<std::size_t>(earlier)].count;
    });
}

bool Scheduler::hasWaitingTask(const Job &job)
{
    return std::any_of(job.occurrences.begin(), job.occurrences.end(), [](const auto &item) {
        return std::any_of(item.second.steps.begin(), item.second.steps.end(), [](const std::vector<Task> &tasks) {
            return std::any_of(tasks.begin(), tasks.end(),
                               [](const Task &task) { return !task.done && task.executor.empty(); });
        });
    });
}

/// Inputs of the queue order about one job.
QueuedJob Scheduler::queuedJob(const Job &job, const Resources &pool, TimePoint now) const
{
    QueuedJob queued;
    queued.id = job.spec.id;
    queued.priority = job.spec.priority;
    queued.longRunning = !job.spec.steps.empty() && job.spec.steps.front().longRunning;
    queued.age = now - job.acceptedAt;
    queued.untilObjective = objectiveDeadline(job) - now;
    queued.untilWorthless = queued.untilObjective + 2 * job.latencyObjective;
    queued.remainingChain = remainingChain(job);
    queued.remainingWork = declaredWork(job, true);
    const double work = declaredWork(job, false);
    const auto queue = m_workPerQueue.find(job.spec.queue);
    const bool known = queue != m_workPerQueue.end() && queue->second.jobs > 0 && queue->second.work > 0;
    // The value of a job to its users depends on the ratio of its work to the mean work of its queue's jobs.
    queued.value = valueOf(known ? work * queue->second.jobs / queue->second.work : 1);
    if (const auto workspace = m_workspaceIndices.find(job.spec.workspace); workspace != m_workspaceIndices.end()) {
        queued.workspace = workspace->second;
        queued.beyondWeight = job.beyondWeight;
        for (const auto &[number, occurrence] : job.occurrences) {
            for (int step = 0; step < static_cast<int>(occurrence.steps.size()); ++step) {
                const auto position = static_cast<std::size_t>(step);
                if (!stepReady(job, occurrence, step)) {
                    continue;
                }
                const auto &tasks = occurrence.steps[position];
                const auto waiting = std::count_if(
                    tasks.begin(), tasks.end(), [](const Task &task) { return !task.done && task.executor.empty(); });
                queued.demand
                    += static_cast<double>(waiting) * largestShare(requestedResources(job.spec.steps[position]), pool);
            }
        }
    }
    return queued;
}

/// Resources of all executors that may have runs or get some.
Resources Scheduler::poolCapacity() const
{
    Resources capacity;
    for (const auto &[id, executor] : m_executors) {
        if (executor.listed && executor.adopted) {
            capacity += executor.record.capacity;
        }
    }
    return capacity;
}

/// Whether the next tasks of the step, one or a gang, may take room beside what is in use.
bool Scheduler::mayTakeRoomFor(const QueuedJob &job, const StepSpec &step, int tasks, const Resources &pool) const
{
    if (!job.beyondWeight) {
        return true;
    }
    Resources used;
    bool isShort = false;
    for (const auto &[id, executor] : m_executors) {
        used += executor.used;
        isShort = isShort || std::any_of(executor.runs.begin(), executor.runs.end(), [this](const auto &item) {
                      const StepSpec *other = findStep(item.second.task);
                      return other == nullptr || !other->longRunning;
                  });
    }
    return mayTakeRoom(job, {largestShare(used, pool), isShort},
                       largestShare(times(requestedResources(step), tasks), pool));
}

/// By workspace: the share of the pool that its runs take.
std::vector<WorkspaceUse> Scheduler::workspaceUses(const Resources &pool) const
{
    std::vector<Resources> used(m_workspaces.size());
    for (const auto &[id, executor] : m_executors) {
        for (const auto &[name, run] : executor.runs) {
            const auto job = m_jobs.find(run.task.job);
            const auto workspace
                = job == m_jobs.end() ? m_workspaceIndices.end() : m_workspaceIndices.find(job->second->spec.workspace);
            if (workspace != m_workspaceIndices.end()) {
                used[static_cast<std::size_t>(workspace->second)] += run.allocated;
            }
        }
    }
    std::vector<WorkspaceUse> uses;
    for (std::size_t i = 0; i < m_workspaces.size(); ++i) {
        uses.push_back({static_cast<double>(m_workspaces[i].weight), largestShare(used[i], pool)});
    }
    return uses;
}

/// Work that waits for room; without rows if nothing waits.
Backlog Scheduler::backlog(TimePoint now) const
{
    Backlog backlog;
    const Resources pool = poolCapacity();
    std::map<std::pair<int, int>, double> rows;
    for (const auto &[id, job] : m_jobs) {
        if (isFinal(job->state) || !hasWaitingTask(*job)) {
            continue;
        }
        const QueuedJob queued = queuedJob(*job, pool, now);
        if (objectiveStatus(queued) != ObjectiveStatus::Reachable || queued.beyondWeight) {
            continue;
        }
        rows[{queued.priority, costClassOf(costOf(queued))}] += queued.remainingWork;
        if (queued.workspace >= 0) {
            const Workspace &workspace = m_workspaces[static_cast<std::size_t>(queued.workspace)];
            Backlog::WorkspaceRow &row = backlog.workspaces[workspace.name];
            row.weight = workspace.weight;
            row.work += queued.remainingWork;
        }
    }
    for (const auto &[key, work] : rows) {
        backlog.rows.push_back({key.first, key.second, work});
    }
    for (const auto &[id, executor] : m_executors) {
        if (!acceptsWork(executor, now)) {
            continue;
        }
        int milliCores = executor.record.capacity.milliCores;
        for (const auto &[name, run] : executor.runs) {
            const StepSpec *step = findStep(run.task);
            milliCores -= step != nullptr && step->longRunning ? run.allocated.milliCores : 0;
        }
        backlog.room += 1e-3 * std::max(0, milliCores);
    }
    for (const auto &[queue, work] : m_workPerQueue) {
        backlog.meanWork[queue] = work.jobs > 0 ? work.work / work.jobs : 0;
    }
    return backlog;
}

/// Places waiting tasks in queue order. Long-running jobs come first; see queueOrder() for the others.
void Scheduler::placeWaitingTasks(TimePoint now)
{
    m_placementNeeded = false;
    m_nextPlacementAt = TimePoint::max();
    const Resources pool = poolCapacity();
    std::vector<QueuedJob> queue;
    std::vector<Job *> jobs;
    for (auto &[id, job] : m_jobs) {
        if (!isFinal(job->state) && !job->inTransfer && hasWaitingTask(*job)) {
            queue.push_back(queuedJob(*job, pool, now));
            jobs.push_back(job.get());
        }
    }
    const bool shared = !m_workspaces.empty() && !queue.empty();
    m_unmetDemands.clear();
    for (auto &[id, executor] : m_executors) {
        executor.startsAllowed = startsAllowed(executor, now);
    }
    countUnreportedRuns();
    m_quotaLedger.beginPass();
    for (const std::size_t index : queueOrder(shared ? QueuePolicy::FairShare : QueuePolicy::Cost, queue,
                                              shared ? workspaceUses(pool) : std::vector<WorkspaceUse>())) {
        placeJob(*jobs[index], queue[index], pool, now);
    }
    logQuotaWaits(now);
}

void Scheduler::placeJob(Job &job, const QueuedJob &queued, const Resources &pool, TimePoint now)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (int step = 0; step < static_cast<int>(occurrence.steps.size()); ++step) {
            const auto position = static_cast<std::size_t>(step);
            if (occurrence.done[position] == job.spec.steps[position].count || !stepReady(job, occurrence, step)) {
                continue;
            }
            TimePoint &noRoomSince = occurrence.noRoomSince[position];
            if (placeStep(job, number, step, queued, pool, now)) {
                noRoomSince = {};
            } else {
                noRoomSince = noRoomSince == TimePoint{} ? now : noRoomSince;
                m_nextPlacementAt = now + m_settings.placementInterval;
            }
        }
    }
}

/// Whether the step demands at least as much as another step that found no executor in this pass. Free resources only
/// shrink during a pass, so such a step need not be tried. This keeps a pass short in a backlog, and a step that waits
/// for a rare kind of executor does not hold up the jobs behind it.
bool Scheduler::knownUnplaceable(const StepSpec &step) const
{
    const int gangSize = step.gang ? step.count : 1;
    return std::any_of(m_unmetDemands.begin(), m_unmetDemands.end(), [&](const UnmetDemand &demand) {
        return (demand.label.empty() || demand.label == step.requiredLabel) && gangSize >= demand.gangSize
            && demand.each.fitsInto(requestedResources(step));
    });
}

/// Called when no executor can take the next task of a step: requests advice if the job requires it, else records the
/// unmet demand. Logs once per job if no registered executor has the required size and label.
void Scheduler::handleNoRoom(Job &job, int number, int stepNumber, TimePoint now)
{
    const StepSpec &step = job.spec.steps[static_cast<std::size_t>(stepNumber)];
    if (job.spec.advice.required) {
        requestAdvice(job, number, stepNumber, now);
    } else if (step.perExecutorLimit == 0) {  // with a limit, the step's own runs may be what keeps the task waiting
        m_unmetDemands.push_back({step.requiredLabel, requestedResources(step), step.gang ? step.count : 1});
    }
    if (!job.misfitLogged && !canHost(step, listedRecords())) {
        job.misfitLogged = true;
        logDecision("job-fits-nowhere", job.spec.id,
                    "queue=" + job.spec.queue + " label=" + step.requiredLabel + " cores="
                        + std::to_string(step.each.milliCores) + "m memory_mb=" + std::to_string(step.each.memoryMb)
                        + " gpus=" + std::to_string(step.each.gpus));
    }
}

std::vector<const ExecutorRecord *> Scheduler::listedRecords() const
{
    std::vector<const ExecutorRecord *> records;
    for (const auto &[id, executor] : m_executors) {
        if (executor.listed) {
            records.push_back(&executor.record);
        }
    }
    return records;
}

/// Starts the waiting tasks of a step on executors with enough room. A gang starts only as a whole. Returns false if a
/// waiting task found no executor, does not fit its workspace's quota or has to leave room for others.
bool Scheduler::placeStep(Job &job, int number, int step, const QueuedJob &queued, const Resources &pool, TimePoint now)
{
    auto &tasks = job.occurrences[number].steps[static_cast<std::size_t>(step)];
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(step)];
    std::vector<int> waiting;
    bool retryLater = false;
    for (int index = 0; index < static_cast<int>(tasks.size()); ++index) {
        const Task &task = tasks[static_cast<std::size_t>(index)];
        if (!task.done && task.executor.empty() && !mayHaveUnknownRun(job, step, task)) {
            // A retry delay follows a refused start. The scheduler had recorded enough room on the executor, so the
            // task only waits for the delay to pass.
            const bool mayStartNow = task.retryAt <= now && mayStart(task, now);
            retryLater = retryLater || !mayStartNow;
            if (mayStartNow) {
                waiting.push_back(index);
            }
        }
    }
    if (retryLater) {  // no event marks the end of a retry delay
        m_nextPlacementAt = now + m_settings.placementInterval;
    }
    if (!waiting.empty() && knownUnplaceable(spec)) {
        return false;
    }
    StepSpread spread;
    if (!waiting.empty()) {
        spread = stepSpread(job, number, step, now);
    }
    if (!spec.gang) {
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            const int index = waiting[i];
            if (!mayTakeRoomFor(queued, spec, 1, pool)
                || !fitsQuota(job, spec, 1, static_cast<int>(waiting.size() - i), now)) {
                return false;
            }
            Executor *executor = pickExecutor(job, number, step, spread, now);
            if (executor == nullptr) {
                handleNoRoom(job, number, step, now);
                return false;
            }
            if (executor->runs.contains(formatTaskName({job.spec.id, number, step, index}))) {
                m_nextPlacementAt = now + m_settings.placementInterval;
                continue;  // the executor has not yet reported the end of an earlier run of the task
            }
            startTask(job, {job.spec.id, number, step, index}, *executor, now);
            spread.add(*executor);
        }
        return true;
    }
    if (static_cast<int>(waiting.size()) < spec.count) {
        return true;  // some members have a run, or may not start yet
    }
    if (!mayTakeRoomFor(queued, spec, spec.count, pool) || !fitsQuota(job, spec, spec.count, spec.count, now)) {
        return false;
    }
    std::vector<Executor *> chosen;
    while (chosen.size() < waiting.size()) {
        Executor *executor = pickExecutor(job, number, step, spread, now);
        if (executor == nullptr) {
            break;
        }
        --executor->startsAllowed;
        executor->used += spec.each;  // reserved while executors for the other members are chosen
        spread.add(*executor);
        chosen.push_back(executor);
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        ++chosen[i]->startsAllowed;
        chosen[i]->used -= spec.each;
    }
    if (chosen.size() < waiting.size()) {
        handleNoRoom(job, number, step, now);
        return false;
    }
    int run = 0;
    std::string checkpoint;
    for (const Task &task : tasks) {
        run = std::max(run, task.run);
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        Task &task = tasks[static_cast<std::size_t>(waiting[i])];
        task.run = run;  // all members start with the same run number and checkpoint
        task.checkpoint = checkpoint;
        startTask(job, {job.spec.id, number, step, waiting[i]}, *chosen[i], now);
    }
    return true;
}

/// Number of starts that a placement pass may send to the executor. None while the answer to a start is overdue.
int Scheduler::startsAllowed(const Executor &executor, TimePoint now) const
{
    const int allowed = executor.unreachable ? 0 : executor.health.allowedStarts(now);
    const TimePoint countedFrom = executor.health.startsCountedFrom();
    int started = 0;
    for (const auto &[name, run] : executor.runs) {
        if (run.state == RunState::Unconfirmed || (run.state == RunState::Starting && run.sends > 1)) {
            return 0;
        }
        started += run.sentAt >= countedFrom ? 1 : 0;
    }
    return allowed == ExecutorHealth::Unlimited ? allowed : allowed - started;
}

bool Scheduler::acceptsWork(const Executor &executor, TimePoint now) const
{
    return executor.listed && executor.adopted && !executor.isClosed() && executor.startsAllowed > 0
        && executor.usableFrom <= now && executor.adoptedAt < m_ownershipProvenAt && executor.runsOfUnknownSize == 0
        && (executor.runs.empty() || now - executor.silentSince() < m_settings.silentAfter);
}

/// Number of tasks of the step that each rack has room for, at most the step's number of tasks.
std::map<std::string_view, int> Scheduler::roomPerRack(const StepSpec &spec, TimePoint now) const
{
    std::map<std::string_view, int> room;
    for (const auto &[id, executor] : m_executors) {
        if (!acceptsWork(executor, now)) {
            continue;
        }
        int &rackRoom = room[executor.record.rack];
        rackRoom += tasksThatFit(spec.each, executor.used, executor.record.capacity, spec.count - rackRoom);
    }
    return room;
}

/// Whether a task of a long-running step is to sit with the long-running tasks that the executor already has, so that
/// the instances of others can leave the pool. `ofStep`: tasks of the step on the executor. They stay within the step's
/// limit of unavailable tasks, as an executor that fails or leaves makes all of them unavailable.
bool Scheduler::hostsMoreOfStep(const Executor &executor, const StepSpec &step, int ofStep) const
{
    if (ofStep >= std::max(1, step.maxUnavailable)) {
        return false;
    }
    return std::any_of(executor.runs.begin(), executor.runs.end(), [this](const auto &item) {
        const StepSpec *other = findStep(item.second.task);
        return other != nullptr && other->longRunning;
    });
}

/// Where the step's tasks are at the beginning of a placement pass.
Scheduler::StepSpread Scheduler::stepSpread(const Job &job, int number, int step, TimePoint now) const
{
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(step)];
    StepSpread spread;
    if (spec.perExecutorLimit > 0 || spec.longRunning || spec.sameRack) {
        for (const Task &task : job.occurrences.at(number).steps[static_cast<std::size_t>(step)]) {
            if (const auto found = m_executors.find(task.executor); found != m_executors.end()) {
                ++spread.perExecutor[found->first];
                ++spread.perRack[found->second.record.rack];
            }
        }
        if (spec.perExecutorLimit > 0) {  // the limit also counts obsolete runs and runs that are being stopped
            spread.perExecutor.clear();
            for (const auto &[id, executor] : m_executors) {
                for (const auto &[name, run] : executor.runs) {
                    spread.perExecutor[id]
                        += run.task.job == job.spec.id && run.task.occurrence == number && run.task.step == step;
                }
            }
        }
    }
    if (spec.sameRack) {
        spread.rackRoom = roomPerRack(spec, now);
    }
    return spread;
}

void Scheduler::StepSpread::add(const Executor &executor)
{
    ++perExecutor[executor.record.id];
    ++perRack[executor.record.rack];
    if (const auto room = rackRoom.find(executor.record.rack); room != rackRoom.end()) {
        room->second = std::max(0, room->second - 1);
    }
}

/// Executor with the lowest score among those with room for one more task of the step; null if there is none.
Executor *Scheduler::pickExecutor(const Job &job, int number, int step, StepSpread &spread, TimePoint now)
{
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(step)];
    auto &[tasksPerExecutor, tasksPerRack, rackRoom] = spread;
    const Resources requested = requestedResources(spec);
    Executor *best = nullptr;
    double bestScore = 0;
    for (auto &[id, executor] : m_executors) {
        Resources after = executor.used;
        after += requested;
        if (!acceptsWork(executor, now) || !after.fitsInto(executor.record.capacity)
            || (!spec.longRunning && now < executor.endsAtRiskUntil)
            || (spec.perExecutorLimit > 0 && tasksPerExecutor[id] >= spec.perExecutorLimit)) {
            continue;
        }
        if (!executor.record.hasLabel(spec.requiredLabel)
            || (job.spec.advice.required && ticketFor(job, number, step, executor, now).empty())) {
            continue;
        }
        const double capacity = std::max(1.0, static_cast<double>(executor.record.capacity.milliCores));
        const double usedShare = static_cast<double>(executor.used.milliCores) / capacity;
        const double shareAfter = static_cast<double>(after.milliCores) / capacity;
        // Tasks are packed up to this share of an executor's cores, so that other instances become empty and can leave
        // the pool. Above it they are spread, because tasks use more than they declare.
        constexpr double packUpTo = 0.75;
        const bool isPacked
            = shareAfter <= packUpTo && (!spec.longRunning || hostsMoreOfStep(executor, spec, tasksPerExecutor[id]));
        double score = isPacked ? packUpTo - shareAfter : usedShare + (spec.longRunning ? packUpTo : 0);
        score += executor.health.failureScore();
        if (!spec.dataRack.empty() && executor.record.rack != spec.dataRack) {
            score += 4;  // a task takes several times as long on a rack without its data
        }
        if (spec.longRunning) {  // spread, so that the failure of one rack affects few tasks
            score += (isPacked ? 0 : 2 * tasksPerExecutor[id]) + tasksPerRack[executor.record.rack];
        } else if (spec.sameRack) {
            // Prefers the rack that can have the most tasks of the step, including those that already run there.
            const int tasksInRack
                = std::min(spec.count, tasksPerRack[executor.record.rack] + rackRoom[executor.record.rack]);
            score -= 2.0 * tasksInRack / std::max(1, spec.count);
        }
        // Tasks that use idle processor time slow tasks with a latency target, so the two are kept apart.
        if (spec.bestEffort || spec.latencyTarget.count() > 0) {
            for (const auto &[name, run] : executor.runs) {
                const StepSpec *other = findStep(run.task);
                const bool disturbs = other != nullptr && other->bestEffort != spec.bestEffort
                    && (other->bestEffort || other->latencyTarget.count() > 0);
                score += disturbs ? 0.5 : 0;
            }
        }
        if (best == nullptr || score < bestScore) {
            best = &executor;
            bestScore = score;
        }
    }
    return best;
}

void Scheduler::startTask(Job &job, const TaskName &name, Executor &executor, TimePoint now)
{
    const StepSpec &step = job.spec.steps[static_cast<std::size_t>(name.step)];
    Task *task = findTask(name);
    task->run += job.takenOver && !task->hasProgress ? TakeoverRunGap : 1;
    task->hasProgress = true;
    task->executor = executor.record.id;
    Run run;
    run.run = task->run;
    run.task = name;
    run.allocated = requestedResources(step);
    run.workspace = job.spec.workspace;
    run.quotaUse = step.each;
    m_quotaLedger.started(run.workspace, run.quotaUse);
    executor.used += run.allocated;
    --executor.startsAllowed;
    ++job.runs;
    if (executor.runs.empty()) {
        executor.busySince = now;
    }
    const std::string text = formatTaskName(name);
    if (const auto former = executor.runs.find(text); former != executor.runs.end()) {
        m_quotaLedger.ended(former->second.workspace, former->second.quotaUse);
    }
    Run &added = executor.runs.insert_or_assign(text, std::move(run)).first->second;
    if (step.longRunning) {
        added.state = RunState::Reserved;
        m_reservedRuns.emplace_back(executor.record.id, text);
        m_dirtyJobs.insert(job.spec.id);
    } else {
        sendStart(job, text, added, executor, now);
    }
}

void Scheduler::sendStart(Job &job, const std::string &name, Run &run, Executor &executor, TimePoint now)
{
    const StepSpec &step = job.spec.steps[static_cast<std::size_t>(run.task.step)];
    const Task *task = findTask(run.task);
    run.state = RunState::Starting;
    run.sentAt = now;
    ++run.sends;
    ExecutorCommand command = commandFor(executor, CommandKind::Start, name, run.run);
    command.timeout = startTimeout(executor);
    command.payload = job.spec.payload;
    command.checkpoint = step.checkpointing ? task->checkpoint : std::string();
    if (job.spec.advice.required) {
        command.ticket = ticketFor(job, run.task.occurrence, run.task.step, executor, now);
    }
    command.leaseUntilMs = leaseUntil(executor, now);
    command.startedMs = executor.record.startedMs;
    extendLease(executor, command.leaseUntilMs);
    executor.nextReportPoll = std::min(executor.nextReportPoll, now + m_settings.reportBatchDelay);
    ++(run.sends == 1 ? m_counts.starts : m_counts.repeatedStarts);
    m_commands.push_back(std::move(command));
}

}
