// Advice: a queue's policy may allow only some executors to run a step. An external advice service decides which.
//
// The service needs time for each call, and more for each executor that the call names. Therefore a call names as many
// executors as the step is likely to need, those with the most room first. The answer about an executor is kept for the
// step, and only its ticket is renewed.

#include "scheduler.h"

#include <algorithm>

namespace briarvane
{

namespace
{

constexpr int MinNamed = 4;
constexpr int MaxNamed = 30;      // the latency objective allows time for this many executors in a call
constexpr int MaxCallsAhead = 4;  // calls of other owners that the same entry may pass on before this one
// A call names executors with room for this many tasks per waiting task, because the service may allow a smaller
// fraction of them than expected.
constexpr double NamingMargin = 1.5;
constexpr double AllowedShareDecay = 0.8;             // weight of the earlier answers when a new one arrives
constexpr double MinAllowedShare = 0.1;               // lower bound of the expected fraction of allowed executors
constexpr Duration DefaultTicketValidity{1'000'000};  // if neither the queue's policy nor the answer states one

/// Number of executors that a call names even if fewer are needed. Naming so many takes about a quarter of the time of
/// the call itself.
int minNamedExecutors(const AdvicePolicy &policy)
{
    constexpr int callTimeParts = 4;
    const auto each = std::max<std::int64_t>(1, policy.perExecutor.count());
    return static_cast<int>(
        std::clamp<std::int64_t>(policy.callTime.count() / callTimeParts / each, MinNamed, MaxNamed));
}

}

StepAdvice &Scheduler::stepAdvice(Job &job, int number, int step)
{
    return job.occurrences.at(number).advice[static_cast<std::size_t>(step)];
}

/// Valid ticket for a start of the step on the executor; empty if there is none.
const std::string &Scheduler::ticketFor(const Job &job, int number, int step, const Executor &executor,
                                        TimePoint now) const
{
    static const std::string none;
    const auto &permissions = job.occurrences.at(number).advice[static_cast<std::size_t>(step)].executors;
    const auto found = permissions.find(executor.record.id);
    const bool valid = found != permissions.end() && found->second.allowed
        && found->second.startedMs == executor.record.startedMs && now < found->second.validUntil;
    return valid ? found->second.ticket : none;
}

/// Sends an advice call about executors that could run tasks of the step: first allowed executors whose tickets have
/// expired, then those with the most room. Executors without room at present are named too, since naming an executor
/// takes far less time than a second call.
void Scheduler::requestAdvice(Job &job, int number, int step, TimePoint now)
{
    StepAdvice &advice = stepAdvice(job, number, step);
    if (advice.callPending || now < advice.callRetryAt || m_openAdviceCalls >= m_maxAdviceCalls) {
        return;
    }
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(step)];
    const Resources requested = requestedResources(spec);
    struct Candidate
    {
        bool isNew = true;  // no answer about the executor yet
        int room = 0;       // tasks of the step that the executor can take
        std::string id;
    };
    std::vector<Candidate> candidates;
    bool anyRoom = false;
    for (const auto &[id, executor] : m_executors) {
        const auto permission = advice.executors.find(id);
        const bool isNew = permission == advice.executors.end();
        if (!acceptsWork(executor, now) || !executor.record.hasLabel(spec.requiredLabel)
            || !requested.fitsInto(executor.record.capacity) || (isNew && now < advice.newExecutorCallAt)
            || (!isNew && (!permission->second.allowed || !ticketFor(job, number, step, executor, now).empty()))) {
            continue;
        }
        const int maxTasks = spec.perExecutorLimit > 0 ? spec.perExecutorLimit : spec.count;
        Candidate candidate{isNew, tasksThatFit(requested, executor.used, executor.record.capacity, maxTasks), id};
        anyRoom = anyRoom || candidate.room > 0;
        candidates.push_back(std::move(candidate));
    }
    if (!anyRoom) {
        return;  // no answer could let a task start now
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return std::tuple(left.isNew, -left.room, left.id) < std::tuple(right.isNew, -right.room, right.id);
    });
    const auto &tasks = job.occurrences.at(number).steps[static_cast<std::size_t>(step)];
    const auto waiting = std::count_if(tasks.begin(), tasks.end(),
                                       [](const Task &task) { return !task.done && task.executor.empty(); });
    AdviceRequest request{job.spec.id, number, step, {}, {}};
    double expectedRoom = 0;  // expected number of tasks that the allowed executors can take
    for (const Candidate &candidate : candidates) {
        const int count = static_cast<int>(request.executors.size());
        const bool enough = count >= minNamedExecutors(job.spec.advice)
            && expectedRoom >= NamingMargin * static_cast<double>(waiting);
        if (enough || count >= MaxNamed) {
            break;
        }
        expectedRoom += candidate.room * (candidate.isNew ? std::max(m_allowedShare, MinAllowedShare) : 1.0);
        request.executors.push_back(candidate.id);
    }
    request.timeout = m_settings.adviceTimeout
        + (MaxCallsAhead + 1) * (job.spec.advice.callTime + MaxNamed * job.spec.advice.perExecutor);
    advice.callPending = true;
    ++m_openAdviceCalls;
    m_adviceRequests.push_back(std::move(request));
}

void Scheduler::advised(const AdviceRequest &request, const Advice *advice, TimePoint sentAt, TimePoint now)
{
    --m_openAdviceCalls;
    m_placementNeeded = true;
    const auto found = m_jobs.find(request.job);
    if (found == m_jobs.end()) {
        return;
    }
    Job &job = *found->second;
    StepAdvice &step = stepAdvice(job, request.occurrence, request.step);
    step.callPending = false;
    const std::string inputs = "step=" + std::to_string(request.occurrence) + '.' + std::to_string(request.step)
        + " asked=" + std::to_string(request.executors.size());
    const std::string took = " took_ms=" + std::to_string((now - sentAt).count() / 1000);
    if (advice == nullptr) {
        step.callRetryAt = now + m_settings.adviceRetryDelay;
        logDecision("advice-missing", request.job, inputs + took);
        return;
    }
    step.newExecutorCallAt = now + m_settings.adviceRepeatInterval;
    const Duration stated = advice->valid.count() > 0 ? advice->valid : job.spec.advice.valid;
    const Duration valid = stated.count() > 0 ? stated : DefaultTicketValidity;
    for (const std::string &id : request.executors) {
        const auto executor = m_executors.find(id);
        if (executor == m_executors.end()) {
            continue;
        }
        Permission &permission = step.executors[id];
        const auto ticket = advice->tickets.find(id);
        permission.allowed = ticket != advice->tickets.end();
        if (permission.allowed) {
            permission.ticket = ticket->second;
            permission.startedMs = executor->second.record.startedMs;
            permission.validUntil = now + valid - std::min(m_settings.ticketMargin, valid / 2);
        }
    }
    const double allowed = static_cast<double>(advice->tickets.size())
        / std::max<double>(1, static_cast<double>(request.executors.size()));
    m_allowedShare = AllowedShareDecay * m_allowedShare + (1 - AllowedShareDecay) * allowed;
    logDecision("advised", request.job, inputs + " allowed=" + std::to_string(advice->tickets.size()) + took);
}

/// Called when the executor has refused a start for lack of a valid ticket. This also happens to a job that was
/// accepted before its queue required advice, so the job requires advice from now on.
void Scheduler::discardTicket(const TaskName &name, const std::string &executor)
{
    const auto found = m_jobs.find(name.job);
    if (found == m_jobs.end()) {
        return;
    }
    found->second->spec.advice.required = true;
    StepAdvice &step = stepAdvice(*found->second, name.occurrence, name.step);
    if (const auto permission = step.executors.find(executor); permission != step.executors.end()) {
        permission->second.ticket.clear();
    }
}

}
