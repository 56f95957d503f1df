// Executors that start again under their id: what commands for the former incarnation may still do to the new one. It
// takes them as its own, although their clock, their numbers of ends and their runs are those of the former one.

#include "scheduler.h"

#include <algorithm>

namespace briarvane
{

/// Records that an incarnation of the executor may have carried out a command whose lease is on the clock of another
/// one. Such a lease may be as long as the executor accepts, and later renewals on its own clock do not shorten it.
void Scheduler::foreignLeaseTaken(Executor &executor, TimePoint carriedOutBy) const
{
    const auto longest = Duration(static_cast<std::int64_t>(static_cast<double>(m_settings.longestLease.count())
                                                            / (1 - m_settings.clockSlowdown)));
    executor.leasesEndBy = std::max(executor.leasesEndBy, carriedOutBy + longest + m_settings.leaseExpiryMargin);
}

void Scheduler::commandEnded(const ExecutorCommand &command, CommandResult result, std::int64_t clockMs, TimePoint now)
{
    const auto found = m_executors.find(command.executor);
    const bool isCarriedOut = result != CommandResult::NotSent && result != CommandResult::Unreachable
        && result != CommandResult::Replaced && result != CommandResult::Fenced && result != CommandResult::Unhealthy
        && result != CommandResult::Malformed;
    if (found == m_executors.end() || !isCarriedOut) {
        return;
    }
    Executor &executor = found->second;
    const TimePoint carriedOutBy = result == CommandResult::Unanswered ? now + m_settings.lateCommandLimit : now;
    OpenCommands &open = executor.openCommands;
    open.startedMs = executor.record.startedMs;
    const bool isForeign = command.startedMs != executor.record.startedMs;
    if (command.observed > 0 && result == CommandResult::Unanswered) {
        open.acknowledgementsUntil = std::max(open.acknowledgementsUntil, carriedOutBy);
        if (isForeign) {
            executor.endsAtRiskUntil = std::max(executor.endsAtRiskUntil, carriedOutBy);
        }
    }
    if (command.kind == CommandKind::Start && result == CommandResult::Unanswered) {
        std::erase_if(open.starts, [now](const UnansweredStart &start) { return start.until <= now; });
        open.starts.push_back({command.task, command.run, command.startedMs, carriedOutBy});
        if (isForeign && executor.adopted) {
            refuseFormerStarts(executor, now);
        }
    }
    if (command.leaseUntilMs > 0) {
        open.leasesUntil = std::max(open.leasesUntil, carriedOutBy);
        if (isForeign || isClockForeign(executor, clockMs, now)) {
            foreignLeaseTaken(executor, carriedOutBy);
        }
    }
}

/// Stops the runs whose starts a former incarnation did not answer. An executor refuses a start whose run was stopped
/// before, so none of them begins here later.
void Scheduler::refuseFormerStarts(Executor &executor, TimePoint now)
{
    std::erase_if(executor.openCommands.starts, [now](const UnansweredStart &start) { return start.until <= now; });
    for (UnansweredStart &start : executor.openCommands.starts) {
        const auto name = parseTaskName(start.task);
        if (std::exchange(start.startedMs, executor.record.startedMs) == executor.record.startedMs || !name
            || executor.runs.contains(start.task)) {
            continue;  // a run that is there already is settled by the next report
        }
        Run run;
        run.run = start.run;
        run.task = *name;
        run.state = RunState::Running;
        run.obsolete = true;
        run.sentAt = now;
        run.confirmedAt = now;
        if (const auto job = m_jobs.find(name->job); job != m_jobs.end()) {
            ++job->second->runs;
        }
        Run &added = executor.runs.emplace(start.task, std::move(run)).first->second;
        stopRun(executor, start.task, added, now, "start-of-former-incarnation");
    }
}

/// Whether an answer with this clock is from an incarnation that has not reported yet: each has a clock of its own.
bool Scheduler::isClockForeign(const Executor &executor, std::int64_t clockMs, TimePoint now) const
{
    if (clockMs == 0 || executor.clockReadAt == TimePoint{}) {
        return false;
    }
    constexpr Duration tolerance{1'000'000};
    const Duration passed = now - executor.clockReadAt;
    const Duration difference = std::chrono::milliseconds(clockMs - executor.clockMs) - passed;
    const auto slowdown
        = Duration(static_cast<std::int64_t>(m_settings.clockSlowdown * static_cast<double>(passed.count())));
    return difference > tolerance || difference < -tolerance - slowdown - m_settings.commandTimeout;
}

/// An executor that was not listed for a while may be back as another incarnation.
void Scheduler::restoreOpenCommands(Executor &executor, const ExecutorRecord &record, TimePoint now)
{
    const auto former = m_openCommands.find(record.id);
    if (former == m_openCommands.end()) {
        return;
    }
    executor.openCommands = std::move(former->second);
    m_openCommands.erase(former);
    if (executor.openCommands.startedMs != record.startedMs) {
        incarnationChanged(executor, now);
    }
}

/// Records what commands for the former incarnation may still do to the new one.
void Scheduler::incarnationChanged(Executor &executor, TimePoint now) const
{
    foreignLeaseTaken(executor, std::max(now, executor.openCommands.leasesUntil));
    executor.endsAtRiskUntil = std::max(executor.endsAtRiskUntil, executor.openCommands.acknowledgementsUntil);
}

}
