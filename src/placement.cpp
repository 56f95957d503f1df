#include "placement.h"

#include <algorithm>
#include <tuple>

namespace briarvane
{

namespace
{

constexpr double RoundingTolerance = 1e-9;
/// A usage ratio rises to a larger measured ratio at once, and falls by this fraction of the difference to a smaller
/// one.
constexpr double RatioDecay = 0.05;
constexpr double MinRatio = 0.1;  // bounds of a usage ratio, so that one unusual run has a limited effect
constexpr double MaxRatio = 10.0;

std::string key(std::string_view a, std::string_view b)
{
    return std::string(a) + "\n" + std::string(b);  // unambiguous, because ids contain no line breaks
}

void updateRatio(double &ratio, double used, double declared)
{
    if (declared <= 0) {
        return;
    }
    const double measured = std::clamp(used / declared, MinRatio, MaxRatio);
    ratio = measured > ratio ? measured : ratio + RatioDecay * (measured - ratio);
}

PlacementResources elementwiseMax(const PlacementResources &a, const PlacementResources &b)
{
    return {std::max(a.processors, b.processors), std::max(a.memory, b.memory),
            std::max(a.accelerators, b.accelerators)};
}

}

PlacementResources operator+(const PlacementResources &a, const PlacementResources &b)
{
    return {a.processors + b.processors, a.memory + b.memory, a.accelerators + b.accelerators};
}

bool fits(const PlacementResources &a, const PlacementResources &b)
{
    return a.processors <= b.processors + RoundingTolerance && a.memory <= b.memory + RoundingTolerance
        && a.accelerators <= b.accelerators;
}

Placement::Placement(PlacementSettings settings)
    : m_settings(settings)
{
}

// Events --------------------------------------------------------------------------------------------------------------

void Placement::setWorker(const Worker &worker)
{
    WorkerState &state = m_workers[worker.id];
    for (const std::size_t run : state.runs) {
        addToCounts(m_runs.at(run), -1);  // the failure domains of the worker may change
    }
    state.worker = worker;
    state.listed = true;
    const std::array<std::string, 3> names
        = {"dc " + worker.dataCentre, "rack " + worker.dataCentre + " " + worker.rack, "worker " + worker.id};
    for (std::size_t i = 0; i < names.size(); ++i) {
        state.domains[i] = m_domainNumbers.try_emplace(names[i], m_domainNumbers.size()).first->second;
    }
    for (const std::size_t run : state.runs) {
        addToCounts(m_runs.at(run), 1);
    }
}

void Placement::removeWorker(const std::string &worker, TimePoint now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end()) {
        return;
    }
    found->second.listed = false;
    for (const std::size_t run : found->second.runs) {
        m_runs.at(run).leaseUntil = std::min(m_runs.at(run).leaseUntil, now);
    }
    if (found->second.runs.empty()) {
        m_workers.erase(found);
    }
}

void Placement::workerStopped(const std::string &worker)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end()) {
        return;
    }
    const std::vector<std::size_t> runs = found->second.runs;
    for (const std::size_t run : runs) {
        end(run);
    }
    m_workers.erase(worker);
}

void Placement::report(const std::string &worker, const PlacementResources &usage, TimePoint measured)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end() && (!found->second.measured || measured > *found->second.measured)) {
        found->second.reported = usage;
        found->second.measured = measured;
        refreshLoad(found->second);
    }
}

void Placement::setQuota(const TenantId &tenant, const PlacementResources &quota)
{
    m_quotas[tenant.value] = quota;
}

Result<PlacementDecision> Placement::submit(const PlacementTask &task)
{
    if (m_taskIds.contains(task.id)) {
        return Error{ErrorCode::Conflict, "task " + task.id + " is queued or running already"};
    }
    if (const auto reason = rejectionReason(task)) {
        return PlacementDecision{task.id, PlacementVerdict::Impossible, "", *reason};
    }
    m_taskIds.insert(task.id);
    m_queue.emplace(std::pair(task.taskClass, m_nextKey++), task);
    return PlacementDecision{task.id, PlacementVerdict::Wait, "", "queued"};
}

void Placement::cancel(const std::string &task)
{
    const auto found
        = std::find_if(m_queue.begin(), m_queue.end(), [&](const auto &item) { return item.second.id == task; });
    if (found != m_queue.end()) {
        m_queue.erase(found);
        m_taskIds.erase(task);
    }
}

void Placement::renew(const std::string &task, const std::string &worker, TimePoint now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end()) {
        return;
    }
    for (const std::size_t runKey : found->second.runs) {
        PlacedRun &run = m_runs.at(runKey);
        if (run.task.id == task && !run.lapsed) {
            run.leaseUntil = now + m_settings.lease;
        }
    }
}

void Placement::finish(const std::string &task, const std::string &worker, bool succeeded,
                       const PlacementResources &peak, TimePoint now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end()) {
        return;
    }
    WorkerState &state = found->second;
    const auto runKey = std::find_if(state.runs.begin(), state.runs.end(),
                                     [&](std::size_t run) { return m_runs.at(run).task.id == task; });
    if (runKey == state.runs.end()) {
        return;  // the run is unknown, or its end has already been handled
    }
    const PlacementTask &endedTask = m_runs.at(*runKey).task;
    if (succeeded) {
        UsageRatio &ratio = m_usageRatios[briarvane::key(endedTask.service.value, endedTask.route)];
        updateRatio(ratio.processors, peak.processors, endedTask.declared.processors);
        updateRatio(ratio.memory, peak.memory, endedTask.declared.memory);
        state.failuresInRow = 0;
        state.ejections = 0;
        if (m_runs.at(*runKey).lapsed && endedTask.idempotent) {
            cancel(std::string(task));  // a second run that is still queued is not needed
        }
    } else if (++state.failuresInRow >= m_settings.failuresToEject) {
        const Duration time = m_settings.minEjectionTime * (std::int64_t{1} << std::min(state.ejections, 10));
        state.ejectedUntil = now + std::min(time, m_settings.maxEjectionTime);
        ++state.ejections;
    }
    end(*runKey);
}

// Decisions -----------------------------------------------------------------------------------------------------------

PlacementResources Placement::sizeOf(const PlacementTask &task) const
{
    const auto found = m_usageRatios.find(key(task.service.value, task.route));
    if (found == m_usageRatios.end()) {
        return task.declared;
    }
    PlacementResources size = task.declared;
    size.processors *= found->second.processors;
    size.memory *= found->second.memory;
    const auto fitsSomewhere = [&](const PlacementResources &requested) {
        return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &item) {
            return item.second.listed && fits(requested, item.second.worker.capacity);
        });
    };
    // The corrected size is ignored if the task could run only with its declared size.
    return fitsSomewhere(size) || !fitsSomewhere(task.declared) ? size : task.declared;
}

PlacementResources Placement::load(const std::string &worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? PlacementResources{} : found->second.load;
}

void Placement::refreshLoad(WorkerState &state) const
{
    PlacementResources sizeOfRuns;
    PlacementResources withReport = state.reported;
    for (const std::size_t runKey : state.runs) {
        const PlacedRun &run = m_runs.at(runKey);
        sizeOfRuns = sizeOfRuns + run.size;
        if (state.measured && run.started + m_settings.usageDelay > *state.measured) {
            withReport = withReport + run.size;
        }
    }
    state.load = state.measured ? elementwiseMax(sizeOfRuns, withReport) : sizeOfRuns;
}

std::size_t Placement::queued() const
{
    return m_queue.size();
}

std::optional<std::string> Placement::rejectionReason(const PlacementTask &task) const
{
    const PlacementResources size = sizeOf(task);
    const bool fitsWorker = std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &item) {
        return item.second.listed && fits(size, item.second.worker.capacity);
    });
    if (!fitsWorker) {
        return "no worker has " + std::to_string(size.processors) + " cores, " + std::to_string(size.memory)
            + " GB and " + std::to_string(size.accelerators) + " accelerators";
    }
    const auto quota = m_quotas.find(task.tenant.value);
    if (quota != m_quotas.end() && !fits(size, quota->second)) {
        return "larger than the quota of team " + task.tenant.value;
    }
    return std::nullopt;
}

bool Placement::exceedsQuota(const PlacementTask &task, const PlacementResources &size) const
{
    const auto quota = m_quotas.find(task.tenant.value);
    const auto used = m_usedPerTeam.find(task.tenant.value);
    return quota != m_quotas.end()
        && !fits(size + (used == m_usedPerTeam.end() ? PlacementResources{} : used->second), quota->second);
}

/// Worker with room for the task, by these criteria in this order: no accelerators unless the task needs them; fewest
/// runs of the service in the data centre, the rack, and on the worker; fewest processors left free, so that other
/// workers keep room for large tasks. Null if no worker has room.
Placement::WorkerState *Placement::choose(const PlacementTask &task, const PlacementResources &size, TimePoint now)
{
    const std::vector<int> &runsPerDomain = m_runsPerDomain[task.service.value];
    const auto runs = [&](std::size_t domain) { return domain < runsPerDomain.size() ? runsPerDomain[domain] : 0; };
    WorkerState *best = nullptr;
    std::tuple<int, int, int, int, double> bestScore;
    for (auto &[id, state] : m_workers) {
        const PlacementResources after = state.load + size;
        if (!state.listed || now < state.ejectedUntil || !fits(after, state.worker.capacity)) {
            continue;
        }
        // A second run is not placed beside a lapsed run of the same task, since the worker's messages name only the
        // task.
        const bool hasRun = std::any_of(state.runs.begin(), state.runs.end(),
                                        [&](std::size_t run) { return m_runs.at(run).task.id == task.id; });
        if (hasRun) {
            continue;
        }
        const int wastesAccelerators = size.accelerators == 0 && state.worker.capacity.accelerators > 0 ? 1 : 0;
        const std::tuple score(wastesAccelerators, runs(state.domains[0]), runs(state.domains[1]),
                               runs(state.domains[2]), state.worker.capacity.processors - after.processors);
        if (best == nullptr || score < bestScore) {
            best = &state;
            bestScore = score;
        }
    }
    return best;
}

std::vector<PlacementDecision> Placement::place(TimePoint now)
{
    std::vector<PlacementDecision> decisions;
    for (auto item = m_queue.begin(); item != m_queue.end();) {
        const PlacementTask &task = item->second;
        PlacementDecision decision{task.id, PlacementVerdict::Wait, "", ""};
        const PlacementResources size = sizeOf(task);
        // Workers and quotas may have changed since the last pass.
        if (const auto reason = rejectionReason(task)) {
            decision.verdict = PlacementVerdict::Impossible;
            decision.reason = *reason;
            m_taskIds.erase(task.id);
            item = m_queue.erase(item);
        } else if (exceedsQuota(task, size)) {
            decision.reason = "the quota of team " + task.tenant.value + " is used up";
            ++item;
        } else if (WorkerState *worker = choose(task, size, now)) {
            decision.verdict = PlacementVerdict::Start;
            decision.worker = worker->worker.id;
            start(task, size, *worker, now);
            item = m_queue.erase(item);
        } else {
            decision.reason = "no worker has room now";
            ++item;
        }
        decisions.push_back(std::move(decision));
    }
    return decisions;
}

void Placement::start(const PlacementTask &task, const PlacementResources &size, WorkerState &worker, TimePoint now)
{
    const PlacedRun run{task, worker.worker.id, size, now, now + m_settings.lease, false};
    worker.runs.push_back(m_nextKey);
    m_runs.emplace(m_nextKey++, run);
    addToCounts(run, 1);
    refreshLoad(worker);
}

void Placement::end(std::size_t run)
{
    const auto found = m_runs.find(run);
    const auto worker = m_workers.find(found->second.worker);
    addToCounts(found->second, -1);
    std::erase(worker->second.runs, run);
    refreshLoad(worker->second);
    // After the lapse of an idempotent run, the id stays in use for the second run.
    if (!found->second.lapsed || !found->second.task.idempotent) {
        m_taskIds.erase(found->second.task.id);
    }
    if (!worker->second.listed && worker->second.runs.empty()) {
        m_workers.erase(worker);
    }
    m_runs.erase(found);
}

/// Adds the run to the resources used by its tenant and to the run counts of its failure domains (`change` 1), or
/// removes it from them (-1).
void Placement::addToCounts(const PlacedRun &run, int change)
{
    PlacementResources &used = m_usedPerTeam[run.task.tenant.value];
    used.processors += change * run.size.processors;
    used.memory += change * run.size.memory;
    used.accelerators += change * run.size.accelerators;
    std::vector<int> &runsPerDomain = m_runsPerDomain[run.task.service.value];
    runsPerDomain.resize(std::max(runsPerDomain.size(), m_domainNumbers.size()));
    for (const std::size_t domain : m_workers.at(run.worker).domains) {
        runsPerDomain[domain] += change;
    }
}

std::vector<LapsedRun> Placement::lapse(TimePoint now)
{
    std::vector<LapsedRun> lapsed;
    for (auto &[key, run] : m_runs) {
        if (run.lapsed || now < run.leaseUntil) {
            continue;
        }
        // The run stays in the worker's load, since it may still be running there.
        run.lapsed = true;
        if (run.task.idempotent) {
            m_queue.emplace(std::pair(run.task.taskClass, m_nextKey++), run.task);
        }
        lapsed.push_back({run.task.id, run.worker, run.task.idempotent});
    }
    return lapsed;
}

}
