#pragma once

// One executor as the users' pages describe it: fencing tokens, run numbers, leases on its own clock, numbered ends.
// The model of the fleet drives it in virtual time, the stand-in of a deployment in real time.

#include "executor.h"

#include <chrono>
#include <deque>
#include <map>

namespace briarvane::model
{

/// Mechanisms that can be taken away, to see that the checks notice.
struct Removed
{
    bool fence = false;         // executors take commands with any token
    bool precondition = false;  // the store takes writes of deposed owners
    bool runNumber = false;     // executors take a run that they have stopped
    bool storeFirst = false;    // ends are forgotten by executors as soon as they are reported
    bool leaseBound = false;    // executors keep runs whose lease has lapsed
};

struct ModelRun
{
    int run = 0;
    Resources held;
    TimePoint startedAt;
    TimePoint endsAt;
    bool fails = false;
    bool stopping = false;
    TimePoint stoppedAt;
    bool saves = false;  // writes a checkpoint every second
    int percent = 100;   // pace

    std::string checkpoint(TimePoint now) const
    {
        const auto saved = std::chrono::floor<std::chrono::seconds>(now - startedAt).count();
        return saves && saved > 0 ? "after " + std::to_string(saved) + " s" : std::string();
    }
};

struct ModelExecutor
{
    static constexpr std::int64_t LongestLeaseMs = 6000;  // as the shorter one of the users' two sites
    static constexpr Duration StopTime{200'000};          // from the command to the end

    ExecutorRecord record;
    bool up = true;
    bool dark = false;  // runs on, nobody reaches it
    TimePoint bornAt;
    double rate = 1;  // of its clock
    std::uint64_t fence = 0;
    std::uint64_t nextEnd = 1;
    std::int64_t leaseMs = 0;
    std::map<std::string, ModelRun> runs;
    std::deque<EndReport> ended;
    std::map<std::string, int> lowest;  // runs up to this one are not taken any more

    std::int64_t clockMs(TimePoint now) const
    {
        return 1000 + static_cast<std::int64_t>(rate * static_cast<double>((now - bornAt).count()) / 1000);
    }

    void crash()
    {
        up = false;
        runs.clear();
        ended.clear();
    }

    /// A new incarnation, which knows nothing.
    void bear(TimePoint now, std::int64_t unixMs)
    {
        up = true;
        bornAt = now;
        record.born = unixMs;
        runs.clear();
        ended.clear();
        lowest.clear();
        fence = 0;
        nextEnd = 1;
        leaseMs = 0;
    }

    /// Ends what is over by now; calls `noteEnd(task, run, how)` for what came to an end other than by its lease.
    template<class F>
    void advance(TimePoint now, const Removed &removed, F noteEnd)
    {
        if (!removed.leaseBound && !runs.empty() && clockMs(now) > leaseMs) {
            for (const auto &[task, run] : runs) {
                ended.push_back({nextEnd++, task, run.run, RunEnd::Lapsed, {}});
            }
            runs.clear();
        }
        for (auto run = runs.begin(); run != runs.end();) {
            const bool stopped = run->second.stopping && now >= run->second.stoppedAt;
            if (!stopped && (run->second.stopping || now < run->second.endsAt)) {
                ++run;
                continue;
            }
            const RunEnd how = stopped ? RunEnd::Stopped : run->second.fails ? RunEnd::Failed : RunEnd::Done;
            ended.push_back({nextEnd++, run->first, run->second.run, how,
                             how == RunEnd::Done ? std::string() : run->second.checkpoint(now)});
            lowest[run->first] = std::max(lowest[run->first], run->second.run);
            noteEnd(run->first, run->second, how);
            run = runs.erase(run);
        }
    }

    /// A start, a stop or a pace. `makeRun(command)` gives what a start that is taken runs.
    template<class F>
    CommandResult carryOut(const ExecutorCommand &command, TimePoint now, const Removed &removed, F makeRun)
    {
        if (!admits(command, removed)) {
            return CommandResult::Fenced;
        }
        if (command.kind == CommandKind::Start) {
            return start(command, now, removed, makeRun);
        }
        const auto run = runs.find(command.task);
        if (command.kind == CommandKind::Pace && run != runs.end() && run->second.run == command.run) {
            run->second.percent = command.percent;
        }
        if (command.kind == CommandKind::Stop) {
            lowest[command.task] = std::max(lowest[command.task], command.run);
            if (run != runs.end() && run->second.run <= command.run && !run->second.stopping) {
                run->second.stopping = true;
                run->second.stoppedAt = now + StopTime;
            }
        }
        return CommandResult::Done;
    }

    /// Whether the command's fencing token is not below the highest one seen, which it becomes.
    bool admits(const ExecutorCommand &command, const Removed &removed)
    {
        if (command.fencingToken < fence && !removed.fence) {
            return false;
        }
        fence = std::max(fence, command.fencingToken);
        return true;
    }

    bool hasNewEnds(const ExecutorCommand &poll) const
    {
        return !ended.empty() && ended.back().number > poll.observed;
    }

    /// The answer to a report poll. `startup` and `tail` are of long-running tasks; `forget(task)` is told of each end
    /// with success that is not reported again.
    template<class F>
    ExecutorReport report(const ExecutorCommand &poll, TimePoint now, Duration startup, double tail,
                          const Removed &removed, F forget)
    {
        while (!ended.empty() && ended.front().number <= poll.observed) {
            if (ended.front().how == RunEnd::Done) {
                forget(ended.front().task);
            }
            ended.pop_front();
        }
        extendLease(poll, now);
        ExecutorReport report;
        report.clockMs = clockMs(now);
        report.born = record.born;
        for (const auto &[task, run] : runs) {
            if (!run.stopping) {
                report.running.push_back({task, run.run, run.checkpoint(now), now >= run.startedAt + startup ? 100 : 50,
                                          run.held.milliCores > 0 ? tail : 0});
            }
        }
        report.ended.assign(ended.begin(), ended.end());
        if (removed.storeFirst) {
            for (const EndReport &end : ended) {
                if (end.how == RunEnd::Done) {
                    forget(end.task);
                }
            }
            ended.clear();
        }
        return report;
    }

private:
    void extendLease(const ExecutorCommand &command, TimePoint now)
    {
        if (command.leaseUntilMs > 0) {
            leaseMs = std::max(leaseMs, std::min(command.leaseUntilMs, clockMs(now) + LongestLeaseMs));
        }
    }

    template<class F>
    CommandResult start(const ExecutorCommand &command, TimePoint now, const Removed &removed, F makeRun)
    {
        if (command.leaseUntilMs < clockMs(now)) {
            return CommandResult::Late;
        }
        extendLease(command, now);
        if (!removed.runNumber && command.run <= lowest[command.task]) {
            return CommandResult::Superseded;  // also while the run that was stopped is not yet over
        }
        const auto known = runs.find(command.task);
        if (known != runs.end() && known->second.run == command.run) {
            return CommandResult::Done;
        }
        runs[command.task] = makeRun(command);
        return CommandResult::Done;
    }
};

}
