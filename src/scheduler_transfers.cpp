// Jobs that the executors of this partition cannot run, and their transfer to another partition of the service.

#include "scheduler.h"

#include <algorithm>

namespace briarvane
{

std::vector<std::string> Scheduler::misplacedJobs(TimePoint now) const
{
    std::vector<std::string> misplaced;
    // Until then an earlier owner may start tasks that this one has no record of.
    const bool isRecordComplete = m_unreportedExecutors.empty() && now >= m_predecessorLimits.commandsUntil;
    if (!isRecordComplete || m_commitPending || !mayCommand(now)) {
        return misplaced;
    }
    const std::vector<const ExecutorRecord *> records = listedRecords();
    for (const auto &[id, job] : m_jobs) {
        if (isFinal(job->state) || job->inTransfer || job->runs > 0 || m_dirtyJobs.contains(id)) {
            continue;
        }
        bool waits = false;
        bool canRunHere = false;
        for (const auto &[number, occurrence] : job->occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const StepSpec &spec = job->spec.steps[step];
                if (occurrence.done[step] < spec.count && stepReady(*job, occurrence, static_cast<int>(step))) {
                    const TimePoint since = occurrence.noRoomSince[step];
                    waits = true;
                    canRunHere = canRunHere || since == TimePoint{} || now - since < m_settings.misplacedAfter
                        || canHost(spec, records);
                }
            }
        }
        if (waits && !canRunHere) {
            misplaced.push_back(id);
        }
    }
    return misplaced;
}

OpenSteps Scheduler::openSteps(const std::string &id) const
{
    OpenSteps open;
    const Job &job = *m_jobs.at(id);
    for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
        const StepSpec *spec = &job.spec.steps[step];
        bool isOpen = job.spec.occurrences > job.nextOccurrence;
        bool isReady = false;
        for (const auto &[number, occurrence] : job.occurrences) {
            const bool isOpenHere = occurrence.done[step] < spec->count;
            isOpen = isOpen || isOpenHere;
            isReady = isReady || (isOpenHere && stepReady(job, occurrence, static_cast<int>(step)));
        }
        if (isOpen) {
            open.all.push_back(spec);
        }
        if (isReady) {
            open.ready.push_back(spec);
        }
    }
    return open;
}

bool Scheduler::isInTransfer(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    return found != m_jobs.end() && found->second->inTransfer;
}

std::string Scheduler::beginTransfer(const std::string &id)
{
    Job &job = *m_jobs.at(id);
    job.inTransfer = true;
    const bool hasProgress = std::any_of(job.occurrences.begin(), job.occurrences.end(), [](const auto &item) {
        return std::any_of(item.second.steps.begin(), item.second.steps.end(), [](const std::vector<Task> &tasks) {
            return std::any_of(tasks.begin(), tasks.end(), [](const Task &task) { return task.hasProgress; });
        });
    });
    return hasProgress ? progressRecord(job) : std::string();
}

void Scheduler::endTransfer(const std::string &id, bool moved)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }
    found->second->inTransfer = false;
    m_placementNeeded = true;
    if (moved) {
        m_dirtyJobs.erase(id);
        m_jobs.erase(found);
    }
}

}
