// Queue order and placement: which waiting task starts where.

#include "scheduler.h"

#include <algorithm>

namespace briarvane
{

namespace
{

Duration remainingChain(const Job &job)
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

/// How much a job can still earn; a late one earns little, and nothing after three times its objective.
enum class Prospect { LongRunning, InTime, Late, Lost };

struct Candidate
{
    Job *job = nullptr;
    Prospect prospect = Prospect::InTime;
    double cost = 0;  // core-seconds that are left for each unit of worth
};

/// Core-seconds of a job by its declared times; `left`: without tasks that are done.
double declaredWork(const Job &job, bool left)
{
    double work = 0;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
            const StepSpec &spec = job.spec.steps[step];
            const int tasks = left ? spec.count - occurrence.done[step] : spec.count;
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

/// Queue order. Load that it answers: a queue asks for more than its pool holds for some seconds, so not every job can
/// meet its objective. Jobs that still can go first, those that need the fewest core-seconds for their worth before the
/// others; a started job has less left and so is finished before a new one begins. Least slack first was worse there:
/// it spends the room on jobs that are about to be late.
void Scheduler::place(TimePoint now)
{
    m_changed = false;
    m_placeAgainAt = TimePoint::max();
    std::vector<Candidate> candidates;
    for (auto &[id, job] : m_jobs) {
        if (isFinal(job->state)) {
            continue;
        }
        bool waiting = false;
        for (const auto &[number, occurrence] : job->occurrences) {
            for (std::size_t step = 0; !waiting && step < occurrence.steps.size(); ++step) {
                waiting = occurrence.done[step] < job->spec.steps[step].count
                    && std::any_of(occurrence.steps[step].begin(), occurrence.steps[step].end(),
                                   [](const Task &task) { return !task.done && task.executor.empty(); });
            }
        }
        if (!waiting) {
            continue;
        }
        const Duration slack = objectiveOf(*job) - now - remainingChain(*job);
        const bool isLong = !job->spec.steps.empty() && job->spec.steps.front().longRunning;
        const double all = declaredWork(*job, false);
        const QueueWork &queue = m_queueWork[job->spec.queue];
        const double mean = queue.jobs > 0 ? queue.work / queue.jobs : all;
        // The users value a job by its work against the mean of its queue.
        const double worth = 0.3 + (mean > 0 ? 0.7 * all / mean : 0.7);
        const Prospect prospect = isLong  ? Prospect::LongRunning
            : slack >= Duration{0}        ? Prospect::InTime
            : -slack < 2 * job->allowance ? Prospect::Late
                                          : Prospect::Lost;
        candidates.push_back({job.get(), prospect, declaredWork(*job, true) / worth});
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return std::tuple(left.prospect, left.job->spec.priority, left.cost, left.job->spec.id)
            < std::tuple(right.prospect, right.job->spec.priority, right.cost, right.job->spec.id);
    });
    m_noRoomFor.clear();
    for (const Candidate &candidate : candidates) {
        for (auto &[number, occurrence] : candidate.job->occurrences) {
            for (int step = 0; step < static_cast<int>(occurrence.steps.size()); ++step) {
                if (occurrence.done[static_cast<std::size_t>(step)]
                        < candidate.job->spec.steps[static_cast<std::size_t>(step)].count
                    && stepReady(*candidate.job, occurrence, step) && !placeStep(*candidate.job, number, step, now)) {
                    m_placeAgainAt = now + m_settings.placePeriod;
                }
            }
        }
    }
}

/// Room only shrinks during a pass, so what asks for at least as much as a step that found none is not tried. Keeps a
/// pass short in a backlog, and lets the jobs behind ones that wait for a rare kind of executor go on.
bool Scheduler::knownToLackRoom(const StepSpec &step) const
{
    const int together = step.gang ? step.count : 1;
    return std::any_of(m_noRoomFor.begin(), m_noRoomFor.end(), [&](const LackOfRoom &lack) {
        return (lack.label.empty() || lack.label == step.requiredLabel) && together >= lack.together
            && lack.each.fitsInto(wantedBy(step));
    });
}

/// What follows when no executor can take the next task of a step.
void Scheduler::foundNone(Job &job, int number, int stepNumber, TimePoint now)
{
    const StepSpec &step = job.spec.steps[static_cast<std::size_t>(stepNumber)];
    if (job.spec.advice.required) {
        askAdvice(job, number, stepNumber, now);
    } else if (step.perExecutorLimit == 0) {  // else tasks of the step itself may stand in the way
        m_noRoomFor.push_back({step.requiredLabel, wantedBy(step), step.gang ? step.count : 1});
    }
    const bool fitsSomewhere = std::any_of(m_executors.begin(), m_executors.end(), [&](const auto &entry) {
        const ExecutorRecord &record = entry.second.record;
        return entry.second.listed && step.each.fitsInto(record.capacity) && record.hasLabel(step.requiredLabel);
    });
    if (!fitsSomewhere && !std::exchange(job.toldUnfit, true)) {
        decide("job-fits-nowhere", job.spec.id,
               "queue=" + job.spec.queue + " label=" + step.requiredLabel
                   + " cores=" + std::to_string(step.each.milliCores)
                   + "m memory_mb=" + std::to_string(step.each.memoryMb) + " gpus=" + std::to_string(step.each.gpus));
    }
}

/// Starts the waiting tasks of a step that find room. A gang starts only as a whole.
bool Scheduler::placeStep(Job &job, int number, int step, TimePoint now)
{
    auto &tasks = job.occurrences[number].steps[static_cast<std::size_t>(step)];
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(step)];
    std::vector<int> waiting;
    bool retryLater = false;
    for (int index = 0; index < static_cast<int>(tasks.size()); ++index) {
        const Task &task = tasks[static_cast<std::size_t>(index)];
        if (!task.done && task.executor.empty() && !mayHaveUnknownRun(job, step, task)) {
            retryLater = retryLater || task.retryAt > now;  // found room before, so it waits for time alone
            if (task.retryAt <= now) {
                waiting.push_back(index);
            }
        }
    }
    if (retryLater) {
        m_placeAgainAt = now + m_settings.placePeriod;
    }
    if (!waiting.empty() && knownToLackRoom(spec)) {
        return false;
    }
    if (!spec.gang) {
        for (const int index : waiting) {
            Executor *executor = pickExecutor(job, number, step, now);
            if (executor == nullptr) {
                foundNone(job, number, step, now);
                return false;
            }
            if (executor->runs.contains(formatTaskName({job.spec.id, number, step, index}))) {
                m_placeAgainAt = now + m_settings.placePeriod;
                continue;  // an earlier run of the task is still ending there
            }
            start(job, {job.spec.id, number, step, index}, *executor, now);
        }
        return true;
    }
    if (static_cast<int>(waiting.size()) < spec.count) {
        return true;  // members of the last run are still ending
    }
    std::vector<Executor *> chosen;
    for (const int index : waiting) {
        Executor *executor = pickExecutor(job, number, step, now);
        if (executor == nullptr) {
            break;
        }
        executor->used += spec.each;  // reserved while the others are looked for
        tasks[static_cast<std::size_t>(index)].executor = executor->record.id;
        chosen.push_back(executor);
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        chosen[i]->used -= spec.each;
        tasks[static_cast<std::size_t>(waiting[i])].executor.clear();
    }
    if (chosen.size() < waiting.size()) {
        foundNone(job, number, step, now);
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
        task.run = run;  // all members carry the same run and checkpoint
        task.checkpoint = checkpoint;
        start(job, {job.spec.id, number, step, waiting[i]}, *chosen[i], now);
    }
    return true;
}

bool Scheduler::takesWork(const Executor &executor, TimePoint now) const
{
    return executor.listed && executor.adopted && !executor.record.draining && !executor.vacating
        && executor.ejectedUntil <= now && executor.usableFrom <= now && executor.adoptedAt < m_confirmedAt
        && executor.unknownSizes == 0
        && (executor.runs.empty() || now - executor.quietSince() < m_settings.silentAfter);
}

/// Tasks of the step that each rack has room for.
std::map<std::string_view, int> Scheduler::roomPerRack(const StepSpec &spec, TimePoint now) const
{
    std::map<std::string_view, int> room;
    for (const auto &[id, executor] : m_executors) {
        if (!takesWork(executor, now)) {
            continue;
        }
        int &inRack = room[executor.record.rack];
        Resources after = executor.used;
        after += spec.each;
        for (; after.fitsInto(executor.record.capacity) && inRack < spec.count; after += spec.each) {
            ++inRack;
        }
    }
    return room;
}

/// The best executor with room for one more task of the step; null when there is none.
Executor *Scheduler::pickExecutor(const Job &job, int number, int step, TimePoint now)
{
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(step)];
    const auto &tasks = job.occurrences.at(number).steps[static_cast<std::size_t>(step)];
    std::map<std::string_view, int> here;   // tasks of this step per executor
    std::map<std::string_view, int> racks;  // and per rack
    if (spec.perExecutorLimit > 0 || spec.longRunning || spec.sameRack) {
        for (const Task &task : tasks) {
            if (const auto found = m_executors.find(task.executor); found != m_executors.end()) {
                ++here[found->first];
                ++racks[found->second.record.rack];
            }
        }
        if (spec.perExecutorLimit > 0) {  // stopping and orphaned runs of the step count as well
            here.clear();
            for (const auto &[id, executor] : m_executors) {
                for (const auto &[name, run] : executor.runs) {
                    here[id] += run.task.job == job.spec.id && run.task.occurrence == number && run.task.step == step;
                }
            }
            for (const Task &task : tasks) {  // reserved for a gang and not yet started
                const auto found = m_executors.find(task.executor);
                here[task.executor] += spec.gang && found != m_executors.end() ? 1 : 0;
            }
        }
    }
    const Resources wanted = wantedBy(spec);
    std::map<std::string_view, int> rackRoom;
    if (spec.sameRack) {
        rackRoom = roomPerRack(spec, now);
    }
    Executor *best = nullptr;
    double bestScore = 0;
    for (auto &[id, executor] : m_executors) {
        Resources after = executor.used;
        after += wanted;
        if (!takesWork(executor, now) || !after.fitsInto(executor.record.capacity)
            || (spec.perExecutorLimit > 0 && here[id] >= spec.perExecutorLimit)) {
            continue;
        }
        if (!executor.record.hasLabel(spec.requiredLabel)
            || (job.spec.advice.required && ticketFor(job, number, step, executor, now).empty())) {
            continue;
        }
        const double capacity = std::max(1.0, static_cast<double>(executor.record.capacity.milliCores));
        const double usedShare = static_cast<double>(executor.used.milliCores) / capacity;
        const double share = static_cast<double>(after.milliCores) / capacity;
        // Up to this share tasks are packed, so that instances become empty and can leave the pool; above it they are
        // spread, because tasks use more than they state.
        constexpr double packUpTo = 0.75;
        double score = share <= packUpTo && !spec.longRunning ? packUpTo - share : usedShare;
        score += executor.failureScore;
        if (!spec.dataRack.empty() && executor.record.rack != spec.dataRack) {
            score += 4;  // elsewhere it takes several times as long
        }
        if (spec.longRunning) {  // one dark rack costs few of them
            score += 2 * here[id] + racks[executor.record.rack];
        } else if (spec.sameRack) {
            // The rack that can hold the most of the step's tasks, with those that are there.
            const int together = std::min(spec.count, racks[executor.record.rack] + rackRoom[executor.record.rack]);
            score -= 2.0 * together / std::max(1, spec.count);
        }
        if (spec.fills || spec.latencyTarget.count() > 0) {  // kept apart: what fills disturbs what serves
            for (const auto &[name, run] : executor.runs) {
                const StepSpec *other = findStep(run.task);
                const bool disturbs = other != nullptr && other->fills != spec.fills
                    && (other->fills || other->latencyTarget.count() > 0);
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

void Scheduler::start(Job &job, const TaskName &name, Executor &executor, TimePoint now)
{
    const StepSpec &step = job.spec.steps[static_cast<std::size_t>(name.step)];
    Task *task = findTask(name);
    task->run += job.inherited && !task->touched ? InheritedRunGap : 1;
    task->touched = true;
    task->executor = executor.record.id;
    Run run;
    run.run = task->run;
    run.task = name;
    run.held = wantedBy(step);
    executor.used += run.held;
    ++job.runs;
    const std::string text = formatTaskName(name);
    Run &added = executor.runs.insert_or_assign(text, std::move(run)).first->second;
    if (step.longRunning) {
        added.state = RunState::Reserved;
        m_reserved.emplace_back(executor.record.id, text);
        m_dirty.insert(job.spec.id);
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
    ExecutorCommand command = commandFor(executor, CommandKind::Start, name, run.run);
    command.payload = job.spec.payload;
    command.checkpoint = step.checkpointing ? task->checkpoint : std::string();
    if (job.spec.advice.required) {
        command.ticket = ticketFor(job, run.task.occurrence, run.task.step, executor, now);
    }
    command.leaseUntilMs = leaseUntil(executor, now);
    extendLease(executor, command.leaseUntilMs);
    if (executor.runs.size() == 1) {
        executor.busySince = now;
    }
    executor.nextReportPoll = std::min(executor.nextReportPoll, now + m_settings.reportPollPause);
    ++m_counts.starts;
    m_commands.push_back(std::move(command));
}

}
