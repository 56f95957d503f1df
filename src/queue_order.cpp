#include "queue_order.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>

namespace briarvane
{

namespace
{

/// Jobs that a workspace may send at once. Callers send several jobs in a row, and queues have peaks.
constexpr double ArrivalBurst = 20;
/// Run times differ from the declared ones by up to this fraction for most tasks.
constexpr double DeclaredTimeError = 0.3;
/// Share of the pool that jobs beyond their workspace's weight leave free, so that jobs that others are owed find room
/// at once and need not wait for running tasks to end.
constexpr double ReservedShare = 0.15;
/// A workspace may exceed its share by this factor before its jobs come after those of others. Strict shares would
/// spend room on costly jobs of one workspace while cheap jobs of others become late.
constexpr double ShareTolerance = 1.3;
/// Each workspace may exceed its share by this much of the pool, which is room for a few jobs. The use of a small
/// workspace jumps with every job.
constexpr double SmallestShare = 0.02;
constexpr double SmallestWeight = 1e-6;

/// Groups of FairShare, in order.
enum class Standing { LongRunning, Owed, OwedOverShare, OwedLate, BeyondWeight, Worthless };

Standing standing(const QueuedJob &job)
{
    switch (objectiveStatus(job)) {
    case ObjectiveStatus::LongRunning:
        return Standing::LongRunning;
    case ObjectiveStatus::Expired:
        return Standing::Worthless;
    case ObjectiveStatus::Late:
        return job.beyondWeight ? Standing::BeyondWeight : Standing::OwedLate;
    case ObjectiveStatus::Reachable:
        break;
    }
    return job.beyondWeight ? Standing::BeyondWeight : Standing::Owed;
}

struct Position
{
    std::size_t index = 0;
    int group = 0;
    int priority = 0;
    double cost = 0;
    std::string_view id;

    auto key() const
    {
        return std::tuple(group, priority, cost, id);
    }
};

bool before(const Position &left, const Position &right)
{
    return left.key() < right.key();
}

/// Largest use of each workspace with which all fit into the pool: a workspace that needs less than its share by weight
/// leaves the rest to the others. No limit where all demands fit.
std::vector<double> entitlements(const std::vector<WorkspaceUse> &workspaces, const std::vector<double> &demands)
{
    std::vector<std::size_t> byNeed(workspaces.size());
    std::iota(byNeed.begin(), byNeed.end(), 0);
    const auto need = [&](std::size_t i) { return demands[i] / std::max(SmallestWeight, workspaces[i].weight); };
    std::sort(byNeed.begin(), byNeed.end(),
              [&](std::size_t left, std::size_t right) { return need(left) < need(right); });
    double room = 1;
    double weights = 0;
    for (const WorkspaceUse &workspace : workspaces) {
        weights += std::max(SmallestWeight, workspace.weight);
    }
    std::vector<double> limits(workspaces.size(), std::numeric_limits<double>::infinity());
    for (const std::size_t i : byNeed) {
        const double weight = std::max(SmallestWeight, workspaces[i].weight);
        const double share = std::max(0.0, room) * weight / weights;
        if (demands[i] > share) {
            limits[i] = std::max(ShareTolerance * share, share + SmallestShare);
        }
        room -= std::min(demands[i], share);
        weights -= weight;
    }
    return limits;
}

/// Moves owed jobs with which their workspace exceeds its share behind those of the others.
void demoteOverShare(std::vector<Position> &positions, const std::vector<QueuedJob> &jobs,
                     std::vector<WorkspaceUse> workspaces)
{
    std::vector<double> demands;
    demands.reserve(workspaces.size());
    for (const WorkspaceUse &workspace : workspaces) {
        demands.push_back(workspace.use);
    }
    const auto isOwed = [&jobs](const Position &position) {
        return position.group == static_cast<int>(Standing::Owed) && jobs[position.index].workspace >= 0;
    };
    const auto workspaceOf
        = [&jobs](const Position &position) { return static_cast<std::size_t>(jobs[position.index].workspace); };
    for (const Position &position : positions) {
        if (isOwed(position)) {
            demands[workspaceOf(position)] += jobs[position.index].demand;
        }
    }
    const std::vector<double> limits = entitlements(workspaces, demands);
    for (Position &position : positions) {
        if (isOwed(position)) {
            double &use = workspaces[workspaceOf(position)].use;
            if (use >= limits[workspaceOf(position)]) {
                position.group = static_cast<int>(Standing::OwedOverShare);
            } else {
                use += jobs[position.index].demand;
            }
        }
    }
    std::sort(positions.begin(), positions.end(), before);
}

}

ObjectiveStatus objectiveStatus(const QueuedJob &job)
{
    if (job.longRunning) {
        return ObjectiveStatus::LongRunning;
    }
    if (job.remainingChain <= job.untilObjective) {
        return ObjectiveStatus::Reachable;
    }
    return job.remainingChain < job.untilWorthless ? ObjectiveStatus::Late : ObjectiveStatus::Expired;
}

double chanceInTime(const QueuedJob &job)
{
    if (job.remainingChain <= Duration{0}) {
        return job.untilObjective >= Duration{0} ? 1 : 0;
    }
    const double ratio
        = static_cast<double>(job.untilObjective.count()) / static_cast<double>(job.remainingChain.count());
    return std::clamp((ratio - (1 - DeclaredTimeError)) / (2 * DeclaredTimeError), 0.0, 1.0);
}

double costOf(const QueuedJob &job)
{
    constexpr double smallestChance = 0.05;
    const bool reachable = objectiveStatus(job) == ObjectiveStatus::Reachable;
    const double chance = reachable ? std::max(smallestChance, chanceInTime(job)) : 1;
    return job.remainingWork / std::max(1e-9, job.value * chance);
}

double valueOf(double relativeWork)
{
    return 0.3 + 0.7 * relativeWork;
}

std::vector<std::size_t> queueOrder(QueuePolicy policy, const std::vector<QueuedJob> &jobs,
                                    std::vector<WorkspaceUse> workspaces)
{
    std::vector<Position> positions;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        const QueuedJob &job = jobs[i];
        Position position{i, 0, job.priority, 0, job.id};
        switch (policy) {
        case QueuePolicy::Arrival:
            position.priority = 0;
            position.cost = -static_cast<double>(job.age.count());
            break;
        case QueuePolicy::Cost:
            position.group = static_cast<int>(objectiveStatus(job));
            position.cost = costOf(job);
            break;
        case QueuePolicy::FairShare:
            position.group = static_cast<int>(standing(job));
            position.cost = costOf(job);
            break;
        }
        positions.push_back(position);
    }
    std::sort(positions.begin(), positions.end(), before);
    if (policy == QueuePolicy::FairShare && !workspaces.empty()) {
        demoteOverShare(positions, jobs, std::move(workspaces));
    }
    std::vector<std::size_t> order;
    order.reserve(positions.size());
    for (const Position &position : positions) {
        order.push_back(position.index);
    }
    return order;
}

bool mayTakeRoom(const QueuedJob &job, const RoomUse &use, double unit)
{
    return !job.beyondWeight || job.longRunning || use.share + unit <= 1 - ReservedShare || !use.isShort;
}

bool WorkspaceArrivals::record(const std::string &workspace, int weight, TimePoint at)
{
    const auto [item, isNew] = m_allowances.try_emplace(workspace, Allowance{ArrivalBurst, at});
    Allowance &allowance = item->second;
    if (at > allowance.at) {
        const double refill = weight * std::chrono::duration<double>(at - allowance.at).count();
        allowance.jobs = std::min(ArrivalBurst, allowance.jobs + refill);
        allowance.at = at;
    }
    if (allowance.jobs < 1) {
        return true;
    }
    --allowance.jobs;
    return false;
}

}
