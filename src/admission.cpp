#include "admission.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace briarvane
{

namespace
{

double roundToTwoDigits(double value)
{
    if (value <= 0) {
        return 0;
    }
    const double unit = std::pow(10, std::floor(std::log10(value)) - 1);
    return std::round(value / unit) * unit;
}

Duration seconds(double count)
{
    constexpr double most = 3600;
    return Duration{static_cast<std::int64_t>(1e6 * std::clamp(count, 0.0, most))};
}

/// Seconds until the job gets room: what is ahead by cost, or if that is less, until its workspace has worked off its
/// own jobs with its share of the room.
double estimatedWait(const JobSpec &spec, const KnownBacklog &known, double cost)
{
    const Backlog &backlog = known.backlog;
    const int costClass = costClassOf(cost);
    double ahead = known.acceptedWork;
    for (const Backlog::Row &row : backlog.rows) {
        if (row.priority < spec.priority || (row.priority == spec.priority && row.costClass < costClass)) {
            ahead += row.work;
        } else if (row.priority == spec.priority && row.costClass == costClass) {
            ahead += row.work / 2;  // costs within a class are spread evenly
        }
    }
    const double wait = ahead / backlog.room;
    const auto workspace = backlog.workspaces.find(spec.workspace);
    if (workspace == backlog.workspaces.end()) {
        // A workspace without waiting jobs gets its share at once.
        return backlog.workspaces.empty() || spec.workspace.empty() ? wait : 0;
    }
    double weights = 0;
    for (const auto &[name, row] : backlog.workspaces) {
        weights += row.weight;
    }
    const double share = workspace->second.weight / std::max(1.0, weights);
    return std::min(wait, (workspace->second.work + known.acceptedWork) / (backlog.room * share));
}

}

double Backlog::work() const
{
    double sum = 0;
    for (const Row &row : rows) {
        sum += row.work;
    }
    return sum;
}

int costClassOf(double cost)
{
    return static_cast<int>(std::floor(std::log2(std::max(1e-6, cost))));
}

std::string encodeBacklog(const Backlog &backlog)
{
    boost::json::array rows;
    for (const Backlog::Row &row : backlog.rows) {
        rows.push_back({row.priority, row.costClass, roundToTwoDigits(row.work)});
    }
    boost::json::object workspaces;
    for (const auto &[name, row] : backlog.workspaces) {
        workspaces[name] = {row.weight, roundToTwoDigits(row.work)};
    }
    boost::json::object meanWork;
    for (const auto &[queue, work] : backlog.meanWork) {
        meanWork[queue] = roundToTwoDigits(work);
    }
    return boost::json::serialize(boost::json::value{
        {"room", roundToTwoDigits(backlog.room)}, {"rows", rows}, {"workspaces", workspaces}, {"mean_work", meanWork}});
}

Result<Backlog> parseBacklog(std::string_view text)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    if (error || !value.is_object()) {
        return Error{ErrorCode::Invalid, "the backlog is not a JSON object"};
    }
    Backlog backlog;
    const auto number = [](const boost::json::value &field) {
        const auto parsed = boost::json::try_value_to<double>(field);
        return parsed && std::isfinite(*parsed) ? std::max(0.0, *parsed) : 0.0;
    };
    const boost::json::object &object = value.get_object();
    if (const auto *room = object.if_contains("room")) {
        backlog.room = number(*room);
    }
    if (const auto *rows = object.if_contains("rows"); rows != nullptr && rows->is_array()) {
        for (const boost::json::value &element : rows->get_array()) {
            const auto row = boost::json::try_value_to<std::tuple<int, int, double>>(element);
            if (!row) {
                return Error{ErrorCode::Invalid, "a row of the backlog is unreadable"};
            }
            backlog.rows.push_back({std::get<0>(*row), std::get<1>(*row), std::max(0.0, std::get<2>(*row))});
        }
    }
    if (const auto *workspaces = object.if_contains("workspaces"); workspaces != nullptr && workspaces->is_object()) {
        for (const auto &[name, element] : workspaces->get_object()) {
            const auto row = boost::json::try_value_to<std::pair<double, double>>(element);
            if (!row) {
                return Error{ErrorCode::Invalid, "a workspace of the backlog is unreadable"};
            }
            backlog.workspaces[std::string(name)] = {row->first, std::max(0.0, row->second)};
        }
    }
    if (const auto *meanWork = object.if_contains("mean_work"); meanWork != nullptr && meanWork->is_object()) {
        for (const auto &[queue, work] : meanWork->get_object()) {
            backlog.meanWork[std::string(queue)] = number(work);
        }
    }
    return backlog;
}

double declaredWorkOf(const JobSpec &spec)
{
    double work = 0;
    for (const StepSpec &step : spec.steps) {
        work += 1e-9 * step.count * requestedResources(step).milliCores * static_cast<double>(step.estimate.count());
    }
    return work;
}

AdmissionDecision admit(const JobSpec &spec, const KnownBacklog *known, TimePoint now)
{
    AdmissionDecision decision;
    const bool ends = spec.occurrences == 0
        && std::none_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec &step) { return step.longRunning; });
    if (known == nullptr || !ends || known->backlog.room <= 0 || now - known->receivedAt > MaxBacklogAge) {
        return decision;
    }
    const Duration chain = longestChain(spec);
    const auto objective
        = spec.targetLatency + Duration(static_cast<std::int64_t>(spec.stretch * static_cast<double>(chain.count())));
    QueuedJob job;
    job.untilObjective = objective;
    job.untilWorthless = 3 * objective;
    job.remainingChain = chain;
    job.remainingWork = declaredWorkOf(spec);
    const auto meanWork = known->backlog.meanWork.find(spec.queue);
    const bool meanKnown = meanWork != known->backlog.meanWork.end() && meanWork->second > 0;
    job.value = valueOf(meanKnown ? job.remainingWork / meanWork->second : 1);
    decision.backlogAge = now - known->receivedAt;
    decision.wait = seconds(estimatedWait(spec, *known, costOf(job)));
    decision.end = decision.wait + chain;
    decision.worthUntil = job.untilWorthless;
    decision.accepted = decision.end <= decision.worthUntil;
    if (!decision.accepted) {
        // After this time the job could be in time. Callers that were refused together come back over as long a time
        // again, by job id.
        const Duration likely = std::max(Duration{1'000'000}, decision.end - objective);
        constexpr std::size_t steps = 64;
        const auto part = static_cast<std::int64_t>(std::hash<std::string>{}(spec.id) % steps);
        decision.retryAfter = likely + likely * part / static_cast<std::int64_t>(steps);
    }
    return decision;
}

}
