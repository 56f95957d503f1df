// Use of the workspaces' quotas by the scheduler of one partition.

#include "scheduler.h"

#include <algorithm>

namespace briarvane
{

namespace
{

/// MILLICORESm/MEMORYmb/GPUS, with `-` for a field without a limit.
std::string describe(const Resources &resources)
{
    const auto number = [](int value) { return value == NoLimit ? std::string("-") : std::to_string(value); };
    return number(resources.milliCores) + "m/" + number(resources.memoryMb) + "mb/" + number(resources.gpus);
}

}

void Scheduler::setQuotas(Quotas quotas, int partitions)
{
    if (quotas != m_quotaLedger.quotas()) {
        m_placementNeeded = true;
    }
    m_quotaLedger.setQuotas(std::move(quotas), partitions);
}

void Scheduler::setQuotaParts(std::uint64_t revision, std::map<std::string, QuotaPart> parts)
{
    if (m_quotaLedger.setParts(revision, std::move(parts))) {
        m_placementNeeded = true;
    }
}

/// Counts what a predecessor may have started and no executor has reported yet, and runs of unknown jobs. Executors
/// have room for no more than their capacity.
void Scheduler::countUnreportedRuns()
{
    if (m_quotaLedger.empty()) {
        return;
    }
    Resources unknown;
    for (const auto &[id, executor] : m_executors) {
        if (executor.runsOfUnknownSize > 0) {
            unknown += executor.record.capacity;
        }
    }
    std::map<std::string, Resources> unreported;
    if (!m_unreportedExecutors.empty()) {
        const Resources capacity = unreportedCapacity();
        for (const auto &[id, job] : m_jobs) {
            if (m_quotaLedger.limits(job->spec.workspace)) {
                unreported[job->spec.workspace] += unreportedTasks(*job);
            }
        }
        for (auto &[workspace, sum] : unreported) {
            sum = {std::min(sum.milliCores, capacity.milliCores), std::min(sum.memoryMb, capacity.memoryMb),
                   std::min(sum.gpus, capacity.gpus)};
        }
        for (const std::string &workspace : m_workspacesWithStoppedJobs) {
            unreported[workspace] = capacity;
        }
    }
    m_quotaLedger.setUnreported(std::move(unreported), unknown);
}

void Scheduler::addStoppedJob(const std::string &workspace)
{
    if (!workspace.empty()) {
        m_workspacesWithStoppedJobs.insert(workspace);
    }
}

/// Most that can run on the executors that have not reported. One whose size is not known counts as the largest of the
/// listed ones.
Resources Scheduler::unreportedCapacity() const
{
    Resources largest;
    for (const auto &[id, executor] : m_executors) {
        if (executor.listed) {
            const Resources &capacity = executor.record.capacity;
            largest = {std::max(largest.milliCores, capacity.milliCores), std::max(largest.memoryMb, capacity.memoryMb),
                       std::max(largest.gpus, capacity.gpus)};
        }
    }
    if (largest == Resources{}) {
        return {NoLimit, NoLimit, NoLimit};
    }
    Resources sum;
    for (const std::string &id : m_unreportedExecutors) {
        const auto found = m_executors.find(id);
        sum += found != m_executors.end() && found->second.listed ? found->second.record.capacity : largest;
    }
    return sum;
}

/// Sum of what the job's tasks without a run may use on executors that have not reported.
Resources Scheduler::unreportedTasks(const Job &job) const
{
    Resources sum;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            for (const Task &task : occurrence.steps[step]) {
                if (!task.done && task.executor.empty() && mayHaveUnknownRun(job, static_cast<int>(step), task)) {
                    sum += job.spec.steps[step].each;
                }
            }
        }
    }
    return sum;
}

/// Whether `tasks` tasks of the step fit the partition's part of the quota. If not, `waiting` tasks are counted as
/// waiting for it.
bool Scheduler::fitsQuota(const Job &job, const StepSpec &step, int tasks, int waiting, TimePoint now)
{
    const std::string &workspace = job.spec.workspace;
    const Resources unit = times(step.each, tasks);
    if (m_quotaLedger.fits(workspace, unit)) {
        return true;
    }
    m_quotaLedger.addWaiting(workspace, times(step.each, waiting));
    if (m_quotaLedger.isSmallestUnit(workspace, unit) && hasRoomFor(step, tasks, now)) {
        m_quotaLedger.addWaitingUnit(workspace, unit);
    }
    return false;
}

/// Whether the executors have room for so many tasks of the step at once.
bool Scheduler::hasRoomFor(const StepSpec &step, int tasks, TimePoint now) const
{
    const Resources requested = requestedResources(step);
    const int limit = step.perExecutorLimit > 0 ? step.perExecutorLimit : tasks;
    int room = 0;
    for (const auto &[id, executor] : m_executors) {
        if (acceptsWork(executor, now) && executor.record.hasLabel(step.requiredLabel)) {
            room += tasksThatFit(requested, executor.used, executor.record.capacity, std::min(limit, tasks - room));
        }
    }
    return room >= tasks;
}

/// Logs each workspace with tasks that wait for the quota, again only after a pause.
void Scheduler::logQuotaWaits(TimePoint now)
{
    constexpr Duration logPause{5'000'000};
    for (const auto &[workspace, resources] : m_quotaLedger.waiting()) {
        const auto [logged, isNew] = m_quotaWaitLogged.try_emplace(workspace, now);
        if (!isNew && now - logged->second < logPause) {
            continue;
        }
        logged->second = now;
        logDecision("quota-reached", {},
                    "workspace=" + workspace + " part=" + describe(m_quotaLedger.part(workspace))
                        + " running=" + describe(m_quotaLedger.running(workspace)) + " waiting=" + describe(resources)
                        + " parts_revision=" + std::to_string(m_quotaLedger.revision()));
    }
}

QuotaReport Scheduler::quotaReport(TimePoint now)
{
    countUnreportedRuns();
    Resources room;
    if (!m_quotaLedger.waiting().empty()) {
        for (const auto &[id, executor] : m_executors) {
            if (acceptsWork(executor, now)) {
                const Resources &capacity = executor.record.capacity;
                room.milliCores += std::max(0, capacity.milliCores - executor.used.milliCores);
                room.memoryMb += std::max(0, capacity.memoryMb - executor.used.memoryMb);
                room.gpus += std::max(0, capacity.gpus - executor.used.gpus);
            }
        }
    }
    return m_quotaLedger.report(room);
}

}
