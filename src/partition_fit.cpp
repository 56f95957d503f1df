#include "partition_fit.h"

namespace briarvane
{

bool canHost(const StepSpec &step, const std::vector<const ExecutorRecord *> &executors)
{
    const Resources requested = requestedResources(step);
    const bool isWhole = step.gang || (step.longRunning && step.perExecutorLimit > 0);
    const int needed = isWhole ? step.count : 1;
    const int limit = step.perExecutorLimit > 0 ? step.perExecutorLimit : step.count;
    int tasks = 0;
    for (const ExecutorRecord *executor : executors) {
        if (!executor->draining && executor->hasLabel(step.requiredLabel)) {
            tasks += tasksThatFit(requested, {}, executor->capacity, std::min(limit, needed - tasks));
            if (tasks >= needed) {
                return true;
            }
        }
    }
    return false;
}

OpenSteps openSteps(const JobSpec &spec)
{
    OpenSteps steps;
    for (const StepSpec &step : spec.steps) {
        steps.all.push_back(&step);
        if (step.after.empty()) {
            steps.ready.push_back(&step);
        }
    }
    return steps;
}

PartitionFit::PartitionFit(const std::vector<ExecutorRecord> &executors, const std::string &service, int count)
    : m_executors(static_cast<std::size_t>(std::max(1, count)))
{
    for (const ExecutorRecord &executor : executors) {
        if (executor.service == service) {
            m_executors[static_cast<std::size_t>(partitionIndex(executor.id, count))].push_back(&executor);
        }
    }
}

std::optional<int> PartitionFit::choose(const OpenSteps &steps, int preferred) const
{
    const int count = static_cast<int>(m_executors.size());
    std::optional<int> hostsReady;
    for (int i = 0; i < count; ++i) {
        const int index = (preferred + i) % count;
        const auto &executors = m_executors[static_cast<std::size_t>(index)];
        const auto hosts = [&executors](const StepSpec *step) { return canHost(*step, executors); };
        if (std::all_of(steps.all.begin(), steps.all.end(), hosts)) {
            return index;
        }
        if (!hostsReady && std::any_of(steps.ready.begin(), steps.ready.end(), hosts)) {
            hostsReady = index;
        }
    }
    return hostsReady;
}

}
