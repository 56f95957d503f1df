// Advice: a queue's policy allows only some executors to run a step, and a service outside knows which.
//
// Load that this answers: the service takes a time for each call and for each executor that a call names. So a call
// names as many executors as the step is likely to need, those with the most room first; what was said of an executor
// is kept for the step, and only its ticket is renewed.

#include "scheduler.h"

#include <algorithm>

namespace briarvane
{

namespace
{

constexpr int FewestNamed = 4;
constexpr int MostNamed = 30;              // the users' objective grants the time of so many
constexpr int CallsBefore = 4;             // those of other owners that may wait at the same entry's turn
constexpr double SpareShare = 1.5;         // names beyond the expected need: the share that is allowed varies
constexpr double AllowedShareDecay = 0.8;  // of what earlier answers said, per answer
constexpr double LeastAllowedShare = 0.1;
constexpr Duration UntoldValidity{1'000'000};  // of a ticket, when neither the queue nor the answer tells it

/// Executors that a call names whatever the need: their time is small beside that of the call itself.
int leastNamed(const AdvicePolicy &policy)
{
    constexpr int smallPart = 4;
    const auto each = std::max<std::int64_t>(1, policy.perExecutor.count());
    return static_cast<int>(std::clamp<std::int64_t>(policy.decide.count() / smallPart / each, FewestNamed, MostNamed));
}

}

StepAdvice &Scheduler::adviceOf(Job &job, int number, int step)
{
    return job.occurrences.at(number).advice[static_cast<std::size_t>(step)];
}

/// Empty when the executor may not run the step now, as far as is known.
const std::string &Scheduler::ticketFor(const Job &job, int number, int step, const Executor &executor,
                                        TimePoint now) const
{
    static const std::string none;
    const auto &known = job.occurrences.at(number).advice[static_cast<std::size_t>(step)].executors;
    const auto found = known.find(executor.record.id);
    const bool valid = found != known.end() && found->second.allowed && found->second.born == executor.record.born
        && now < found->second.validUntil;
    return valid ? found->second.ticket : none;
}

/// Asks about executors that may take tasks of the step: first those whose tickets have lapsed, then those with the
/// most room. Those without room now are named too, since naming one costs far less than a second call.
void Scheduler::askAdvice(Job &job, int number, int step, TimePoint now)
{
    StepAdvice &advice = adviceOf(job, number, step);
    if (advice.asking || now < advice.askAgainAt || m_adviceCalls >= m_mostAdviceCalls) {
        return;
    }
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(step)];
    const Resources wanted = wantedBy(spec);
    struct Named
    {
        bool isNew = true;
        int room = 0;  // tasks of the step
        std::string id;
    };
    std::vector<Named> named;
    bool worthCall = false;  // an executor that has room now may turn out to be allowed
    for (const auto &[id, executor] : m_executors) {
        const auto known = advice.executors.find(id);
        const bool isNew = known == advice.executors.end();
        if (!takesWork(executor, now) || !executor.record.hasLabel(spec.requiredLabel)
            || !wanted.fitsInto(executor.record.capacity) || (isNew && now < advice.askOthersAt)
            || (!isNew && (!known->second.allowed || !ticketFor(job, number, step, executor, now).empty()))) {
            continue;
        }
        const int most = spec.perExecutorLimit > 0 ? spec.perExecutorLimit : spec.count;
        Named one{isNew, 0, id};
        Resources after = executor.used;
        after += wanted;
        for (; one.room < most && after.fitsInto(executor.record.capacity); after += wanted) {
            ++one.room;
        }
        worthCall = worthCall || one.room > 0;
        named.push_back(std::move(one));
    }
    if (!worthCall) {
        return;
    }
    std::sort(named.begin(), named.end(), [](const Named &left, const Named &right) {
        return std::tuple(left.isNew, -left.room, left.id) < std::tuple(right.isNew, -right.room, right.id);
    });
    const auto &tasks = job.occurrences.at(number).steps[static_cast<std::size_t>(step)];
    const auto waiting = std::count_if(tasks.begin(), tasks.end(),
                                       [](const Task &task) { return !task.done && task.executor.empty(); });
    AdviceRequest request{job.spec.id, number, step, {}, {}};
    double expected = 0;  // room at executors that may run the step
    for (const Named &one : named) {
        const int count = static_cast<int>(request.executors.size());
        const bool enough
            = count >= leastNamed(job.spec.advice) && expected >= SpareShare * static_cast<double>(waiting);
        if (enough || count >= MostNamed) {
            break;
        }
        expected += one.room * (one.isNew ? std::max(m_allowedShare, LeastAllowedShare) : 1.0);
        request.executors.push_back(one.id);
    }
    request.timeout = m_settings.adviceTimeout
        + (CallsBefore + 1) * (job.spec.advice.decide + MostNamed * job.spec.advice.perExecutor);
    advice.asking = true;
    ++m_adviceCalls;
    m_adviceRequests.push_back(std::move(request));
}

void Scheduler::advised(const AdviceRequest &request, const Advice *advice, TimePoint sentAt, TimePoint now)
{
    --m_adviceCalls;
    m_changed = true;
    const auto found = m_jobs.find(request.job);
    if (found == m_jobs.end()) {
        return;
    }
    Job &job = *found->second;
    StepAdvice &step = adviceOf(job, request.occurrence, request.step);
    step.asking = false;
    const std::string inputs = "step=" + std::to_string(request.occurrence) + '.' + std::to_string(request.step)
        + " asked=" + std::to_string(request.executors.size());
    const std::string took = " took_ms=" + std::to_string((now - sentAt).count() / 1000);
    if (advice == nullptr) {
        step.askAgainAt = now + m_settings.adviceRetry;
        decide("advice-missing", request.job, inputs + took);
        return;
    }
    step.askOthersAt = now + m_settings.adviceRepeat;
    const Duration told = advice->valid.count() > 0 ? advice->valid : job.spec.advice.valid;
    const Duration valid = told.count() > 0 ? told : UntoldValidity;
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
            permission.born = executor->second.record.born;
            permission.validUntil = now + valid - std::min(m_settings.ticketMargin, valid / 2);
        }
    }
    const double allowed = static_cast<double>(advice->tickets.size())
        / std::max<double>(1, static_cast<double>(request.executors.size()));
    m_allowedShare = AllowedShareDecay * m_allowedShare + (1 - AllowedShareDecay) * allowed;
    decide("advised", request.job, inputs + " allowed=" + std::to_string(advice->tickets.size()) + took);
}

/// The executor refused the ticket, or none was known to be needed when the job was accepted.
void Scheduler::loseTicket(const TaskName &name, const std::string &executor)
{
    const auto found = m_jobs.find(name.job);
    if (found == m_jobs.end()) {
        return;
    }
    found->second->spec.advice.required = true;
    StepAdvice &step = adviceOf(*found->second, name.occurrence, name.step);
    if (const auto known = step.executors.find(executor); known != step.executors.end()) {
        known->second.ticket.clear();
    }
}

}
