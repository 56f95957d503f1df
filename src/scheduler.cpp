// The scheduler's jobs, tasks and executors, and how reports change them.

#include "scheduler.h"

#include <algorithm>

namespace briarvane
{

namespace
{

constexpr double FailureDecay = 0.8;   // per outcome: about the last five decide
constexpr double FailureLimit = 0.66;  // three failures in a row from a clean record reach 0.49, five 0.67

}

Scheduler::Scheduler(SchedulerSettings settings, std::string service, std::uint64_t fencingToken,
                     Inheritance inheritance)
    : m_settings(settings)
    , m_service(std::move(service))
    , m_fencingToken(fencingToken)
    , m_inheritance(inheritance)
    , m_hasPredecessor(true)
{
}

void Scheduler::decide(std::string event, std::string job, std::string detail)
{
    m_decisions.push_back({std::move(event), std::move(job), std::move(detail)});
}

// Jobs ----------------------------------------------------------------------------------------------------------------

void Scheduler::makeOccurrence(Job &job, int number)
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
}

void Scheduler::addJob(JobSpec spec, std::uint64_t revision, const JobProgress *progress, bool inherited, TimePoint now,
                       std::int64_t wallMs)
{
    const std::string id = spec.id;
    if (m_jobs.contains(id)) {
        return;
    }
    auto job = std::make_unique<Job>();
    job->spec = std::move(spec);
    job->revision = revision;
    job->inherited = inherited;
    const auto age = std::chrono::milliseconds(std::clamp<std::int64_t>(wallMs - job->spec.acceptedMs, 0, 60'000));
    job->learned = now - age;
    job->firstDue = now + std::chrono::milliseconds(job->spec.firstDueMs - wallMs);
    job->allowance = job->spec.targetLatency
        + Duration(static_cast<std::int64_t>(job->spec.stretch * static_cast<double>(longestChain(job->spec).count())));
    if (progress != nullptr) {
        for (const auto &[key, saved] : *progress) {
            const auto &[number, step, index] = key;
            const bool inRange = step >= 0 && step < static_cast<int>(job->spec.steps.size()) && index >= 0
                && index < job->spec.steps[static_cast<std::size_t>(step)].count;
            if (!inRange) {
                continue;
            }
            makeOccurrence(*job, number);
            Occurrence &occurrence = job->occurrences[number];
            Task &task = occurrence.steps[static_cast<std::size_t>(step)][static_cast<std::size_t>(index)];
            task.run = saved.run;
            task.failedRuns = saved.failedRuns;
            task.inherited = inherited ? saved.executor : std::string();
            task.checkpoint = saved.checkpoint;
            task.touched = true;
            job->state = JobState::Running;
            if (saved.done) {
                task.done = true;
                const auto at = static_cast<std::size_t>(step);
                if (++occurrence.done[at] == job->spec.steps[at].count
                    && ++occurrence.stepsDone == static_cast<int>(occurrence.steps.size())) {
                    ++job->occurrencesDone;
                }
            }
        }
    }
    QueueWork &queue = m_queueWork[job->spec.queue];
    for (const StepSpec &step : job->spec.steps) {
        queue.work += 1e-9 * step.count * step.each.milliCores * static_cast<double>(step.estimate.count());
    }
    ++queue.jobs;
    Job &added = *m_jobs.emplace(id, std::move(job)).first->second;
    openDueOccurrences(added, now, wallMs);
    if (added.occurrencesDone == std::max(1, added.spec.occurrences)) {
        finishJob(added, JobState::Completed, now);
    }
    m_changed = true;
}

void Scheduler::openDueOccurrences(Job &job, TimePoint /*now*/, std::int64_t wallMs)
{
    if (job.spec.occurrences == 0) {
        makeOccurrence(job, 0);
        return;
    }
    while (job.nextOccurrence < job.spec.occurrences
           && wallMs >= job.spec.firstDueMs + job.nextOccurrence * job.spec.intervalMs) {
        makeOccurrence(job, job.nextOccurrence++);
        m_changed = true;
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
    job.committing = true;
    decide("job-ended", id, std::string("state=") + std::string(toString(state)) + " by=caller");
    stopAllRuns(job, now, "job-ended");
    m_dirty.insert(id);
    m_changed = true;
}

/// Of a scheduled job: the objective of its earliest run that is not complete, else of its last one.
TimePoint Scheduler::objectiveOf(const Job &job)
{
    if (job.spec.occurrences == 0) {
        return job.learned + job.allowance;
    }
    const auto open = std::find_if(job.occurrences.begin(), job.occurrences.end(),
                                   [](const auto &entry) { return !entry.second.complete(); });
    const int number = open == job.occurrences.end() ? job.spec.occurrences - 1 : open->first;
    return job.firstDue + number * std::chrono::milliseconds(job.spec.intervalMs) + job.allowance;
}

bool Scheduler::knows(const std::string &id) const
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

/// A job waits until an executor has taken one of its tasks: a start that is refused leaves it waiting.
void Scheduler::noteBegun(Job &job, TimePoint now)
{
    if (job.state == JobState::Pending) {
        job.state = JobState::Running;
        decide("job-started", job.spec.id,
               "queue=" + job.spec.queue + " wait_ms=" + std::to_string((now - job.learned).count() / 1000));
    }
}

void Scheduler::finishJob(Job &job, JobState state, TimePoint now)
{
    job.state = state;
    job.committing = true;
    m_dirty.insert(job.spec.id);
    const bool inTime = now <= objectiveOf(job);
    ++(state == JobState::Completed ? m_counts.completed : m_counts.failed);
    m_counts.late += inTime ? 0 : 1;
    m_finished.push_back({job.spec.queue, now - job.learned, inTime});
    decide("job-ended", job.spec.id,
           "state=" + std::string(toString(state)) + " queue=" + job.spec.queue + " total_ms="
               + std::to_string((now - job.learned).count() / 1000) + " in_time=" + (inTime ? "yes" : "no"));
    stopAllRuns(job, now, "job-ended");
}

void Scheduler::forgetIfGone(const std::string &id)
{
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end() && isFinal(found->second->state) && !found->second->committing
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
        m_changed = true;
    }
}

/// Frees what the run held. The task itself is not touched.
void Scheduler::dropRun(Executor &executor, std::map<std::string, Run>::iterator place)
{
    executor.used -= place->second.held;
    executor.unknownSizes -= place->second.sizeUnknown ? 1 : 0;
    const std::string id = place->second.task.job;
    executor.runs.erase(place);
    m_changed = true;
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end()) {
        --found->second->runs;
        forgetIfGone(id);
    }
}

void Scheduler::handleEnd(Executor &executor, const EndReport &end, TimePoint now)
{
    bool wasPlaced = false;
    bool wasStopping = false;
    if (const auto place = executor.runs.find(end.task); place != executor.runs.end() && place->second.run <= end.run) {
        wasPlaced = place->second.run == end.run;
        wasStopping = place->second.state == RunState::Stopping;
        dropRun(executor, place);
    }
    const auto name = parseTaskName(end.task);
    Job *job = nullptr;
    Task *task = name ? findTask(*name, &job) : nullptr;
    if (task == nullptr || isFinal(job->state)) {
        return;
    }
    const StepSpec &step = job->spec.steps[static_cast<std::size_t>(name->step)];
    task->run = std::max(task->run, end.run);
    const bool here = task->executor == executor.record.id && wasPlaced;
    if (!end.checkpoint.empty() && (end.run == task->run || task->checkpoint.empty())) {
        task->checkpoint = end.checkpoint;
    }
    task->touched = true;
    m_dirty.insert(job->spec.id);
    noteBegun(*job, now);
    if (end.how == RunEnd::Done && !step.longRunning) {
        noteOutcome(executor, true, now);
        taskDone(*job, *name, *task, now);
        return;
    }
    const bool counted = std::find(task->failedRuns.begin(), task->failedRuns.end(), end.run) != task->failedRuns.end();
    if (end.how == RunEnd::Failed && !counted && !task->done) {
        noteOutcome(executor, false, now);
        decide("task-failed", job->spec.id,
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
    if (here || task->executor.empty()) {
        m_counts.requeued += here ? 1 : 0;
        if (!wasStopping && end.how == RunEnd::Lapsed) {
            decide("task-lapsed", job->spec.id, "task=" + end.task + " executor=" + executor.record.id);
        }
        requeue(*name, now);
        if (step.gang) {
            stopOthers(*job, *name, now);
        }
    }
}

void Scheduler::taskDone(Job &job, const TaskName &name, Task &task, TimePoint now)
{
    Occurrence &occurrence = job.occurrences[name.occurrence];
    const auto step = static_cast<std::size_t>(name.step);
    const StepSpec &spec = job.spec.steps[step];
    const auto mark = [&](Task &marked, int index) {
        if (marked.done) {
            return;
        }
        marked.done = true;
        marked.touched = true;
        if (!marked.executor.empty()) {  // another run of a task that is done
            const auto executor = m_executors.find(marked.executor);
            const std::string text = formatTaskName({name.job, name.occurrence, name.step, index});
            if (executor != m_executors.end()) {
                if (const auto run = executor->second.runs.find(text);
                    run != executor->second.runs.end() && !spec.gang) {
                    stopRun(executor->second, text, run->second, now, "task-done");
                }
            }
            marked.executor.clear();
        }
        ++occurrence.done[step];
    };
    if (spec.gang) {  // one end stands for all of them
        for (int index = 0; index < spec.count; ++index) {
            mark(occurrence.steps[step][static_cast<std::size_t>(index)], index);
        }
    } else {
        mark(task, name.index);
    }
    m_changed = true;
    if (occurrence.done[step] < spec.count) {
        return;
    }
    occurrence.stepsDone = 0;
    for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
        occurrence.stepsDone += occurrence.done[i] == job.spec.steps[i].count ? 1 : 0;
    }
    if (occurrence.complete()) {
        int complete = 0;
        for (const auto &[number, one] : job.occurrences) {
            complete += one.complete() ? 1 : 0;
        }
        job.occurrencesDone = complete;
        if (complete == std::max(1, job.spec.occurrences)) {
            finishJob(job, JobState::Completed, now);
        }
    }
}

/// The members of a gang end together.
void Scheduler::stopOthers(Job &job, const TaskName &name, TimePoint now)
{
    auto &tasks = job.occurrences[name.occurrence].steps[static_cast<std::size_t>(name.step)];
    for (int index = 0; index < static_cast<int>(tasks.size()); ++index) {
        const std::string &at = tasks[static_cast<std::size_t>(index)].executor;
        const auto executor = m_executors.find(at);
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
    if (run.state == RunState::Reserved) {  // nothing was sent; the commit that records it drops it
        run.orphan = true;
        return;
    }
    run.state = RunState::Stopping;
    run.stopSentAt = now;
    run.stopAnsweredAt = {};
    ++m_counts.stops;
    decide("task-stopped", run.task.job,
           "task=" + name + " run=" + std::to_string(run.run) + " executor=" + executor.record.id
               + " why=" + std::string(why));
    m_commands.push_back(commandFor(executor, CommandKind::Stop, name, run.run));
    executor.nextReportPoll = std::min(executor.nextReportPoll, now + m_settings.reportPollPause);
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
        auto [place, isNew] = m_executors.try_emplace(record.id);
        Executor &executor = place->second;
        if (isNew) {
            executor.listedSince = now;
            executor.nextReportPoll = now;
            m_changed = true;
        } else if (executor.record.born != 0 && record.born > executor.record.born) {
            loseRuns(executor, now, "executor-restarted", true);
        }
        if (const auto dark = m_inheritedDark.find(record.id); dark != m_inheritedDark.end()) {
            dark->second.restarted = dark->second.born != 0 && record.born > dark->second.born;
        }
        const std::int64_t born = std::max(record.born, executor.record.born);
        if (record.draining != executor.record.draining) {
            m_changed = true;
        }
        executor.record = record;
        executor.record.born = born;
        executor.listed = true;
    }
    std::erase_if(m_executors, [&](const auto &entry) {
        const Executor &executor = entry.second;
        return !executor.listed && executor.runs.empty() && !m_inheritedDark.contains(entry.first);
    });
}

void Scheduler::inheritExecutor(const ExecutorRecord &record, TimePoint now)
{
    auto [place, isNew] = m_executors.try_emplace(record.id);
    if (isNew) {
        place->second.record = record;
        place->second.record.born = 0;
        place->second.nextReportPoll = now;
    }
    if (!place->second.adopted) {
        m_inheritedDark.emplace(record.id, InheritedExecutor{record.born, false});
    }
}

void Scheduler::setVacating(const std::unordered_set<std::string> &ids, TimePoint now)
{
    for (auto &[id, executor] : m_executors) {
        const bool vacating = ids.contains(id);
        if (vacating && !executor.vacating) {
            executor.vacatingSince = now;
        }
        m_changed = m_changed || vacating != executor.vacating;
        executor.vacating = vacating;
    }
}

bool Scheduler::waitsForInherited() const
{
    return !m_inheritedDark.empty();
}

bool Scheduler::wantsInstances(TimePoint now) const
{
    return waitsForInherited() && now >= m_inheritance.commandsUntil;
}

void Scheduler::setInstances(const std::vector<PooledInstance> &instances, TimePoint askedAt, TimePoint now)
{
    if (askedAt < m_inheritance.commandsUntil) {
        return;
    }
    std::set<std::string> present;
    for (const PooledInstance &one : instances) {
        if (one.executor.empty() && one.state == InstanceAvailability::Down) {
            return;  // it may be cut off with the executor that is looked for; spare instances are up and off
        }
        if (one.state != InstanceAvailability::Moving && one.state != InstanceAvailability::Upkeep) {
            present.insert(one.executor);
        }
    }
    const std::size_t ended = std::erase_if(m_inheritedDark, [&](const auto &entry) {
        const bool gone = !present.contains(entry.first);
        if (gone) {
            decide("inherited-executor-gone", {},
                   "executor=" + entry.first + " instances=" + std::to_string(instances.size())
                       + " list_age_ms=" + std::to_string((now - askedAt).count() / 1000));
        }
        return gone;
    });
    m_changed = m_changed || ended > 0;
}

std::vector<std::string> Scheduler::vacated() const
{
    std::vector<std::string> ids;
    for (const auto &[id, executor] : m_executors) {
        if (executor.vacating && executor.adopted && executor.runs.empty()
            && executor.toldObserved == executor.lastEnd) {
            ids.push_back(id);
        }
    }
    return ids;
}

/// What ran there has ended without a report. A restarted executor counts its ends anew.
void Scheduler::loseRuns(Executor &executor, TimePoint now, std::string_view why, bool restarted)
{
    if (!executor.runs.empty()) {
        decide("runs-lost", {},
               "executor=" + executor.record.id + " runs=" + std::to_string(executor.runs.size())
                   + " why=" + std::string(why));
    }
    std::vector<std::string> lost;
    for (auto &[name, run] : executor.runs) {
        if (restarted && !run.present && run.state != RunState::Reserved) {
            // The start may have reached the new incarnation; its next report tells.
            run.state = run.state == RunState::Stopping ? RunState::Stopping : RunState::Unsettled;
            run.stopAnsweredAt = {};
            continue;
        }
        lost.push_back(name);
    }
    for (const std::string &text : lost) {
        const auto place = executor.runs.find(text);
        const TaskName name = place->second.task;
        const bool orphan = place->second.orphan;
        if (!place->second.checkpoint.empty()) {
            if (Task *task = findTask(name); task != nullptr) {
                task->checkpoint = place->second.checkpoint;
            }
        }
        dropRun(executor, place);
        Job *job = nullptr;
        Task *task = orphan ? nullptr : findTask(name, &job);
        if (task != nullptr && task->executor == executor.record.id) {
            ++m_counts.requeued;
            requeue(name, now);
            if (job->spec.steps[static_cast<std::size_t>(name.step)].gang) {
                stopOthers(*job, name, now);
            }
        }
    }
    if (restarted) {
        executor.lastEnd = 0;
        executor.observed = 0;
        executor.sentObserved = 0;
        executor.toldObserved = 0;
    }
    executor.adopted = false;  // its clock and its runs are learned anew
    executor.clockAt = {};
    executor.leaseOver = now + m_settings.lease + m_settings.lease / 10;
    executor.nextReportPoll = std::min(executor.nextReportPoll, now);
}

void Scheduler::noteOutcome(Executor &executor, bool good, TimePoint now)
{
    executor.failureScore = executor.failureScore * FailureDecay + (good ? 0 : 1 - FailureDecay);
    if (executor.failureScore > FailureLimit && executor.ejectedUntil <= now) {
        executor.ejectedUntil = now + m_settings.ejection;
        executor.failureScore = FailureLimit * FailureDecay;  // one more failure after the return ejects it again
        decide("executor-ejected", {}, "executor=" + executor.record.id);
    }
}

void Scheduler::adopt(Executor &executor, const RunningReport &row, TimePoint now)
{
    Run run;
    run.run = row.run;
    run.state = RunState::Running;
    run.present = true;
    run.percent = row.percent;
    run.load = row.load;
    run.checkpoint = row.checkpoint;
    run.sentAt = now;
    run.confirmedAt = now;
    const auto name = parseTaskName(row.task);
    Job *job = nullptr;
    Task *task = name ? findTask(*name, &job) : nullptr;
    run.task = name.value_or(TaskName{});
    bool wanted = task != nullptr && !isFinal(job->state) && !task->done && task->executor.empty();
    if (job != nullptr) {
        const StepSpec &step = job->spec.steps[static_cast<std::size_t>(run.task.step)];
        run.held = wantedBy(step);
        ++job->runs;
    } else {
        run.sizeUnknown = true;
        ++executor.unknownSizes;
    }
    executor.used += run.held;
    if (wanted) {
        task->executor = executor.record.id;
        task->run = std::max(task->run, row.run);
        task->touched = true;
        noteBegun(*job, now);
    }
    run.orphan = !wanted;
    Run &added = executor.runs.emplace(row.task, std::move(run)).first->second;
    if (!wanted) {
        stopRun(executor, row.task, added, now, job == nullptr ? "job-unknown" : "not-wanted");
    }
}

void Scheduler::reported(const std::string &id, const ExecutorReport &report, TimePoint sentAt, TimePoint now)
{
    const auto found = m_executors.find(id);
    if (found == m_executors.end()) {
        return;
    }
    Executor &executor = found->second;
    executor.reportPollPending = false;
    if (executor.record.born != 0 && report.born != executor.record.born) {
        if (report.born < executor.record.born) {
            return;  // an answer of the incarnation before
        }
        loseRuns(executor, now, "executor-restarted", true);
    }
    executor.record.born = report.born;
    executor.toldObserved = std::max(executor.toldObserved, executor.sentObserved);
    executor.lastReport = now;
    executor.clockMs = report.clockMs;
    executor.clockAt = now;
    const bool isNew = !executor.adopted;
    if (isNew) {
        executor.adopted = true;
        executor.adoptedAt = now;
        executor.usableFrom = now + (m_hasPredecessor ? m_settings.stopTime : Duration{0});
        m_inheritedDark.erase(id);
        m_changed = true;
        extendLease(executor, leaseUntil(executor, now));  // an earlier owner's lease ends no later
    }
    for (const EndReport &end : report.ended) {
        if (end.number > executor.lastEnd) {
            executor.lastEnd = end.number;
            handleEnd(executor, end, now);
        }
    }
    if (m_dirty.empty() && !m_commitPending) {
        executor.observed = executor.lastEnd;  // nothing that depends on these ends waits for the store
    }
    if (isNew) {
        decide("executor-adopted", {},
               "executor=" + id + " running=" + std::to_string(report.running.size())
                   + " ended=" + std::to_string(report.ended.size()) + " clock_ms=" + std::to_string(report.clockMs)
                   + " kind=" + (executor.record.labels.empty() ? std::string() : executor.record.labels.front())
                   + " cores=" + std::to_string(executor.record.capacity.milliCores) + "m");
    }
    std::unordered_set<std::string_view> listed;
    for (const RunningReport &row : report.running) {
        listed.insert(row.task);
        const auto place = executor.runs.find(row.task);
        if (place == executor.runs.end()) {
            adopt(executor, row, now);
            continue;
        }
        Run &run = place->second;
        if (run.run != row.run) {
            continue;  // the answer is older or newer than our command; the next one tells
        }
        run.present = true;
        run.percent = row.percent;
        run.load = row.load;
        if (!row.checkpoint.empty()) {
            run.checkpoint = row.checkpoint;
        }
        if (run.state == RunState::Unsettled || run.state == RunState::Starting) {
            run.state = RunState::Running;
            run.confirmedAt = now;
            if (const auto job = m_jobs.find(run.task.job); job != m_jobs.end()) {
                noteBegun(*job->second, now);
            }
        }
    }
    std::vector<std::string> gone;
    for (auto &[name, run] : executor.runs) {
        if (listed.contains(name)) {
            continue;
        }
        switch (run.state) {
        case RunState::Reserved:
        case RunState::Starting:
            break;
        case RunState::Unsettled:
            if (run.sentAt < sentAt) {
                stopRun(executor, name, run, now, "start-unanswered");
            }
            break;
        case RunState::Running:
            if (run.confirmedAt < sentAt) {
                gone.push_back(name);
            }
            break;
        case RunState::Stopping:
            // What is being stopped still holds its resources; only a run that was never there has no end by then.
            if (run.stopAnsweredAt != TimePoint{}
                && run.stopAnsweredAt + m_settings.stopTime + m_settings.leaseMargin < sentAt) {
                gone.push_back(name);
            }
            break;
        }
    }
    for (const std::string &name : gone) {
        const auto place = executor.runs.find(name);
        const TaskName task = place->second.task;
        const int runNumber = place->second.run;
        dropRun(executor, place);
        Job *job = nullptr;
        if (Task *known = findTask(task, &job); known != nullptr && known->executor == id) {
            known->run = std::max(known->run, runNumber);
            known->touched = true;
            m_dirty.insert(task.job);
            ++m_counts.requeued;
            requeue(task, now);
            if (job->spec.steps[static_cast<std::size_t>(task.step)].gang) {
                stopOthers(*job, task, now);
            }
        }
    }
    executor.nextReportPoll = now + (report.ended.empty() ? Duration{0} : m_settings.reportPollPause);
    pace(executor, now);
}

void Scheduler::reportPollFailed(const std::string &id, CommandResult result, TimePoint now)
{
    const auto found = m_executors.find(id);
    if (found == m_executors.end()) {
        return;
    }
    Executor &executor = found->second;
    executor.reportPollPending = false;
    executor.nextReportPoll = now + StartRetryPause;
    executor.sentObserved = 0;
    executor.lastReport = std::min(executor.lastReport, now - m_settings.freshReport);  // it may be another one by now
    if (result == CommandResult::Fenced) {
        m_deposed = true;
    } else if (result == CommandResult::Replaced && !executor.listed) {
        loseRuns(executor, now, "executor-replaced");
        m_inheritedDark.erase(id);
    }
}

void Scheduler::confirmed(TimePoint provenAt)
{
    if (m_confirmedAt < provenAt) {
        m_changed = m_changed || wantsProof();
        m_confirmedAt = provenAt;
    }
}

bool Scheduler::wantsProof() const
{
    return std::any_of(m_executors.begin(), m_executors.end(), [this](const auto &entry) {
        return entry.second.listed && entry.second.adopted && entry.second.adoptedAt >= m_confirmedAt;
    });
}

bool Scheduler::mayCommand(TimePoint now) const
{
    return !m_deposed && now - m_confirmedAt < m_settings.unconfirmedLimit;
}

/// On the executor's clock, taken at its slowest, so that the lease is never longer than meant.
std::int64_t Scheduler::leaseUntil(const Executor &executor, TimePoint now) const
{
    if (executor.clockAt == TimePoint{}) {
        return 0;
    }
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(now - executor.clockAt).count();
    return executor.clockMs + passed + m_settings.lease.count() / 1000;
}

void Scheduler::extendLease(Executor &executor, std::int64_t untilMs)
{
    const auto left = std::chrono::milliseconds(untilMs - executor.clockMs);
    const auto longest = Duration(
        static_cast<std::int64_t>(static_cast<double>(Duration(left).count()) / (1 - m_settings.clockSlowdown)));
    executor.leaseOver = std::max(executor.leaseOver, executor.clockAt + longest + m_settings.leaseMargin);
}

}
