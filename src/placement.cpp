#include "placement.h"

#include <algorithm>
#include <tuple>

namespace briarvane
{

namespace
{

constexpr double Rounding = 1e-9;
constexpr double SeenDecay = 0.05;  // a smaller usage is believed slowly, a larger one at once
constexpr double LeastRatio = 0.1;  // bounds of the correction: one odd run must not decide everything
constexpr double LargestRatio = 10.0;

std::string key(std::string_view a, std::string_view b)
{
    return std::string(a) + "\n" + std::string(b);  // ids contain no line breaks
}

void learn(double &ratio, double used, double declared)
{
    if (declared <= 0) {
        return;
    }
    const double seen = std::clamp(used / declared, LeastRatio, LargestRatio);
    ratio = seen > ratio ? seen : ratio + SeenDecay * (seen - ratio);
}

Resources largerOf(const Resources &a, const Resources &b)
{
    return {std::max(a.processors, b.processors), std::max(a.memory, b.memory),
            std::max(a.accelerators, b.accelerators)};
}

}

Resources operator+(const Resources &a, const Resources &b)
{
    return {a.processors + b.processors, a.memory + b.memory, a.accelerators + b.accelerators};
}

bool fits(const Resources &a, const Resources &b)
{
    return a.processors <= b.processors + Rounding && a.memory <= b.memory + Rounding
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
        count(m_runs.at(run), -1);  // its failure domains may change
    }
    state.worker = worker;
    state.listed = true;
    const std::array<std::string, 3> names
        = {"dc " + worker.dataCentre, "rack " + worker.dataCentre + " " + worker.rack, "worker " + worker.id};
    for (std::size_t i = 0; i < names.size(); ++i) {
        state.domains[i] = m_domains.try_emplace(names[i], m_domains.size()).first->second;
    }
    for (const std::size_t run : state.runs) {
        count(m_runs.at(run), 1);
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

void Placement::forgetWorker(const std::string &worker)
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

void Placement::report(const std::string &worker, const Resources &usage, TimePoint measured)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end() && (!found->second.measured || measured > *found->second.measured)) {
        found->second.reported = usage;
        found->second.measured = measured;
        refreshLoad(found->second);
    }
}

void Placement::setQuota(const TenantId &tenant, const Resources &most)
{
    m_quotas[tenant.value] = most;
}

Result<PlacementDecision> Placement::submit(const Task &task)
{
    if (m_known.contains(task.id)) {
        return Error{ErrorCode::Conflict, "task " + task.id + " is queued or running already"};
    }
    if (const auto reason = whyNever(task)) {
        return PlacementDecision{task.id, PlacementVerdict::Never, "", *reason};
    }
    m_known.insert(task.id);
    m_queue.emplace(std::pair(task.taskClass, m_next++), task);
    return PlacementDecision{task.id, PlacementVerdict::Wait, "", "queued"};
}

void Placement::cancel(const std::string &task)
{
    const auto found
        = std::find_if(m_queue.begin(), m_queue.end(), [&](const auto &item) { return item.second.id == task; });
    if (found != m_queue.end()) {
        m_queue.erase(found);
        m_known.erase(task);
    }
}

void Placement::renew(const std::string &task, const std::string &worker, TimePoint now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end()) {
        return;
    }
    for (const std::size_t key : found->second.runs) {
        Run &run = m_runs.at(key);
        if (run.task.id == task && !run.lapsed) {
            run.leaseUntil = now + m_settings.lease;
        }
    }
}

void Placement::finish(const std::string &task, const std::string &worker, bool succeeded, const Resources &peak,
                       TimePoint now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end()) {
        return;
    }
    WorkerState &state = found->second;
    const auto key = std::find_if(state.runs.begin(), state.runs.end(),
                                  [&](std::size_t run) { return m_runs.at(run).task.id == task; });
    if (key == state.runs.end()) {
        return;  // repeated or unknown: nothing is counted twice
    }
    const Task &done = m_runs.at(*key).task;
    if (succeeded) {
        Seen &seen = m_seen[briarvane::key(done.service.value, done.route)];
        learn(seen.processors, peak.processors, done.declared.processors);
        learn(seen.memory, peak.memory, done.declared.memory);
        state.failuresInRow = 0;
        state.rejections = 0;
        if (m_runs.at(*key).lapsed && done.idempotent) {
            cancel(std::string(task));  // its second run is not needed if it has not begun
        }
    } else if (++state.failuresInRow >= m_settings.failuresToReject) {
        const Duration time = m_settings.firstRejection * (std::int64_t{1} << std::min(state.rejections, 10));
        state.rejectedUntil = now + std::min(time, m_settings.longestRejection);
        ++state.rejections;
    }
    end(*key);
}

// Decisions -----------------------------------------------------------------------------------------------------------

Resources Placement::sizeOf(const Task &task) const
{
    const auto found = m_seen.find(key(task.service.value, task.route));
    if (found == m_seen.end()) {
        return task.declared;
    }
    Resources size = task.declared;
    size.processors *= found->second.processors;
    size.memory *= found->second.memory;
    const auto runsSomewhere = [&](const Resources &wanted) {
        return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &item) {
            return item.second.listed && fits(wanted, item.second.worker.capacity);
        });
    };
    // A correction alone never makes a task impossible.
    return runsSomewhere(size) || !runsSomewhere(task.declared) ? size : task.declared;
}

Resources Placement::load(const std::string &worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? Resources{} : found->second.load;
}

void Placement::refreshLoad(WorkerState &state) const
{
    Resources all;
    Resources withReport = state.reported;
    for (const std::size_t key : state.runs) {
        const Run &run = m_runs.at(key);
        all = all + run.size;
        if (state.measured && run.started + m_settings.usageDelay > *state.measured) {
            withReport = withReport + run.size;
        }
    }
    state.load = state.measured ? largerOf(all, withReport) : all;
}

std::size_t Placement::queued() const
{
    return m_queue.size();
}

std::optional<std::string> Placement::whyNever(const Task &task) const
{
    const Resources size = sizeOf(task);
    const bool runs = std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &item) {
        return item.second.listed && fits(size, item.second.worker.capacity);
    });
    if (!runs) {
        return "no worker has " + std::to_string(size.processors) + " cores, " + std::to_string(size.memory)
            + " GB and " + std::to_string(size.accelerators) + " accelerators";
    }
    const auto quota = m_quotas.find(task.tenant.value);
    if (quota != m_quotas.end() && !fits(size, quota->second)) {
        return "larger than the quota of team " + task.tenant.value;
    }
    return std::nullopt;
}

bool Placement::overQuota(const Task &task, const Resources &size) const
{
    const auto quota = m_quotas.find(task.tenant.value);
    const auto used = m_used.find(task.tenant.value);
    return quota != m_quotas.end() && !fits(size + (used == m_used.end() ? Resources{} : used->second), quota->second);
}

/// The worker in the data centre, and then the rack, with the fewest runs of the service; among these the one that is
/// left with the least free processors, so that large tasks still find room, and without accelerators unless needed.
Placement::WorkerState *Placement::choose(const Task &task, const Resources &size, TimePoint now)
{
    const std::vector<int> &spread = m_spread[task.service.value];
    const auto runs = [&](std::size_t domain) { return domain < spread.size() ? spread[domain] : 0; };
    WorkerState *best = nullptr;
    std::tuple<int, int, int, int, double> bestScore;
    for (auto &[id, state] : m_workers) {
        const Resources after = state.load + size;
        if (!state.listed || now < state.rejectedUntil || !fits(after, state.worker.capacity)) {
            continue;
        }
        // Beside its own lapsed run, reports of the two could not be told apart.
        const bool hasRun = std::any_of(state.runs.begin(), state.runs.end(),
                                        [&](std::size_t run) { return m_runs.at(run).task.id == task.id; });
        if (hasRun) {
            continue;
        }
        const int waste = size.accelerators == 0 && state.worker.capacity.accelerators > 0 ? 1 : 0;
        const std::tuple score(waste, runs(state.domains[0]), runs(state.domains[1]), runs(state.domains[2]),
                               state.worker.capacity.processors - after.processors);
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
        const Task &task = item->second;
        PlacementDecision decision{task.id, PlacementVerdict::Wait, "", ""};
        const Resources size = sizeOf(task);
        // Workers and quotas may have changed since the task was queued.
        if (const auto reason = whyNever(task)) {
            decision.verdict = PlacementVerdict::Never;
            decision.reason = *reason;
            m_known.erase(task.id);
            item = m_queue.erase(item);
        } else if (overQuota(task, size)) {
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

void Placement::start(const Task &task, const Resources &size, WorkerState &worker, TimePoint now)
{
    const Run run{task, worker.worker.id, size, now, now + m_settings.lease, false};
    worker.runs.push_back(m_next);
    m_runs.emplace(m_next++, run);
    count(run, 1);
    refreshLoad(worker);
}

void Placement::end(std::size_t run)
{
    const auto found = m_runs.find(run);
    const auto worker = m_workers.find(found->second.worker);
    count(found->second, -1);
    std::erase(worker->second.runs, run);
    refreshLoad(worker->second);
    // The id of a lapsed idempotent run belongs to its second run.
    if (!found->second.lapsed || !found->second.task.idempotent) {
        m_known.erase(found->second.task.id);
    }
    if (!worker->second.listed && worker->second.runs.empty()) {
        m_workers.erase(worker);
    }
    m_runs.erase(found);
}

/// Adds or removes a run in the team's use and the spread of its service.
void Placement::count(const Run &run, int change)
{
    Resources &used = m_used[run.task.tenant.value];
    used.processors += change * run.size.processors;
    used.memory += change * run.size.memory;
    used.accelerators += change * run.size.accelerators;
    std::vector<int> &spread = m_spread[run.task.service.value];
    spread.resize(std::max(spread.size(), m_domains.size()));
    for (const std::size_t domain : m_workers.at(run.worker).domains) {
        spread[domain] += change;
    }
}

std::vector<LapsedRun> Placement::lapse(TimePoint now)
{
    std::vector<LapsedRun> lapsed;
    for (auto &[key, run] : m_runs) {
        if (run.lapsed || now < run.leaseUntil) {
            continue;
        }
        // The run keeps its place on the worker: it may still be running there.
        run.lapsed = true;
        if (run.task.idempotent) {
            m_queue.emplace(std::pair(run.task.taskClass, m_next++), run.task);
        }
        lapsed.push_back({run.task.id, run.worker, run.task.idempotent});
    }
    return lapsed;
}

}
