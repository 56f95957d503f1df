// Tests of calls to executors: connections for waiting calls, and starts that are not sent or not answered.

#include "connection_growth.h"
#include "fleet_model.h"

#include <catch2/catch.hpp>

using namespace briarvane;
using namespace briarvane::model;

namespace
{

constexpr std::int64_t WallMs = 1'700'000'000'000;

/// A scheduler with two adopted executors, to which the test itself gives the answers of executors.
struct CallFixture
{
    explicit CallFixture(int milliCores = 64'000)
    {
        std::vector<ExecutorRecord> records;
        for (const char *id : {"i-0", "i-1"}) {
            ExecutorRecord record;
            record.id = id;
            record.service = "orders";
            record.capacity = {milliCores, 256'000, 0};
            record.startedMs = WallMs;
            records.push_back(record);
        }
        scheduler.setExecutors(records, now);
        for (const ExecutorRecord &record : records) {
            report(record.id, {});
        }
        now += 500ms;  // runs that a previous owner stopped may occupy the executors meanwhile
        scheduler.confirmed(now);
    }

    void submit(const std::string &id, int tasks, int milliCores = 4000)
    {
        JobSpec spec = makeJob(id, {makeStep(tasks, milliCores, 700ms)});
        spec.service = "orders";
        spec.queue = "queue";
        spec.acceptedMs = WallMs;
        scheduler.addJob(spec, 1, nullptr, false, now, WallMs);
    }
    /// Lets time pass and returns the commands that the scheduler sends then.
    std::vector<ExecutorCommand> commands(Duration pause = 1ms)
    {
        now += pause;
        scheduler.confirmed(now);
        scheduler.tick(now, WallMs);
        return scheduler.takeCommands();
    }
    std::vector<ExecutorCommand> commandsOf(CommandKind kind, Duration pause = 1ms)
    {
        auto sent = commands(pause);
        std::erase_if(sent, [kind](const ExecutorCommand &command) { return command.kind != kind; });
        return sent;
    }
    void answer(const ExecutorCommand &command, CommandResult result)
    {
        scheduler.answered(command, result, 0, now);
    }
    void report(const std::string &executor, std::vector<RunningReport> running, std::vector<EndReport> ended = {})
    {
        ExecutorReport report;
        report.clockMs = std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch()).count();
        report.startedMs = WallMs;
        report.running = std::move(running);
        report.ended = std::move(ended);
        scheduler.reported(executor, report, now, now);
    }

    TimePoint now{10s};
    std::map<std::string, int> ends;  // number of the last reported end by executor
    Scheduler scheduler{{}, "orders", 5, {TimePoint{}, TimePoint{}}};
};

}

TEST_CASE("Further connections are opened for calls that wait")
{
    GrowthLimits limits;
    ConnectionQueue queue;
    queue.usual = 3;
    queue.most = 16;
    queue.open = 3;
    queue.waited = limits.maxWait;
    CHECK(opensFurtherConnection(queue, 0, limits));

    SECTION("not for a wait that the answers of the calls ahead usually end")
    {
        queue.waited = limits.maxWait / 2;
        CHECK_FALSE(opensFurtherConnection(queue, 0, limits));
    }
    SECTION("one after another, so that an instance that accepts no connection gets one attempt at a time")
    {
        queue.connecting = true;
        CHECK_FALSE(opensFurtherConnection(queue, 0, limits));
    }
    SECTION("up to the limit of the instance")
    {
        queue.open = 16;
        CHECK_FALSE(opensFurtherConnection(queue, 0, limits));
    }
    SECTION("within the descriptors for all instances, which the usual connections do not need")
    {
        CHECK_FALSE(opensFurtherConnection(queue, limits.furtherInTotal, limits));
        queue.open = 2;
        CHECK(opensFurtherConnection(queue, limits.furtherInTotal, limits));
    }
}

TEST_CASE("A start that was not sent is no fault of the executor unless connecting to it failed")
{
    // Guards against this failure: executors with large queues of starts were left out for a second, although they were
    // well, because some of their starts found no connection.
    CallFixture fixture;
    fixture.submit("00000000000000aa", 1);
    const auto starts = fixture.commandsOf(CommandKind::Start);
    REQUIRE(starts.size() == 1);
    const std::string first = starts[0].executor;

    SECTION("no connection was free: the executor is used again")
    {
        fixture.answer(starts[0], CommandResult::NotSent);
        const auto again = fixture.commandsOf(CommandKind::Start, 300ms);
        REQUIRE(again.size() == 1);
        CHECK(again[0].executor == first);
        CHECK(again[0].run == starts[0].run + 1);
    }
    SECTION("connecting failed: the task starts elsewhere")
    {
        fixture.answer(starts[0], CommandResult::Unreachable);
        const auto again = fixture.commandsOf(CommandKind::Start);
        REQUIRE(again.size() == 1);
        CHECK(again[0].executor != first);
    }
}

TEST_CASE("An executor that was vacated gets one start before it gets more")
{
    // Guards against this failure: an instance that had left the pool stayed in the list of executors for seconds. Each
    // second all starts of a pass were sent to it, and none could connect.
    CallFixture fixture;
    fixture.scheduler.setVacating({"i-0"}, fixture.now);
    fixture.commands();
    fixture.scheduler.setVacating({}, fixture.now);
    fixture.submit("00000000000000aa", 20, 6000);
    int probes = 0;
    ExecutorCommand probe;
    for (const ExecutorCommand &start : fixture.commandsOf(CommandKind::Start)) {
        if (start.executor == "i-0") {
            probe = start;
            ++probes;
        } else {
            fixture.answer(start, CommandResult::Done);
        }
    }
    CHECK(probes == 1);

    SECTION("it has left: the next start is sent much later")
    {
        fixture.answer(probe, CommandResult::Unreachable);
        CHECK(fixture.commandsOf(CommandKind::Start, 1s).empty());
    }
    SECTION("it has stayed: it gets its full load")
    {
        fixture.answer(probe, CommandResult::Done);
        CHECK(fixture.commandsOf(CommandKind::Start, 110ms).size() > 1);
    }
}

TEST_CASE("A start without an answer is sent again to the same executor and settled there")
{
    // Guards against this failure: a start that got no answer was waited for during the whole time-out of commands,
    // then until the next regular report, and its task started elsewhere only seconds later.
    CallFixture fixture;
    fixture.submit("00000000000000aa", 1);
    const auto first = fixture.commandsOf(CommandKind::Start);
    REQUIRE(first.size() == 1);
    const std::string executor = first[0].executor;
    CHECK(first[0].timeout <= 200ms);
    fixture.commands(50ms);  // the regular report poll, which waits for an end
    fixture.now += 100ms;
    fixture.answer(first[0], CommandResult::Unanswered);
    const auto second = fixture.commandsOf(CommandKind::Start);
    REQUIRE(second.size() == 1);
    CHECK(second[0].executor == executor);
    CHECK(second[0].run == first[0].run);

    SECTION("its answer settles the start, whether or not the first one was carried out")
    {
        fixture.answer(second[0], CommandResult::Done);
        CHECK(fixture.scheduler.job("00000000000000aa")->state == JobState::Running);
        CHECK(fixture.scheduler.counts().repeatedStarts == 1);
        CHECK(fixture.scheduler.counts().unansweredStarts == 0);
    }
    SECTION("a refusal does not, because the first one may still be carried out: no other run begins before the stop")
    {
        fixture.answer(second[0], CommandResult::NoRoom);
        auto sent = fixture.commands();
        REQUIRE(sent.size() == 1);
        CHECK(sent[0].settles);
        CHECK(sent[0].leaseUntilMs == 0);
        CHECK(sent[0].wait == Duration{0});
        fixture.now += 5ms;
        fixture.report(executor, {});
        const auto stops = fixture.commandsOf(CommandKind::Stop);
        REQUIRE(stops.size() == 1);
        CHECK(fixture.commandsOf(CommandKind::Start, 300ms).empty());
        fixture.answer(stops[0], CommandResult::Done);
        CHECK(fixture.commandsOf(CommandKind::Start, 300ms).empty());
        fixture.now += 500ms;
        fixture.report(executor, {});
        const auto third = fixture.commandsOf(CommandKind::Start);
        REQUIRE(third.size() == 1);
        CHECK(third[0].run > first[0].run);
    }
    SECTION("the executor gets no further task until it answers")
    {
        fixture.submit("00000000000000bb", 1);
        const auto others = fixture.commandsOf(CommandKind::Start);
        REQUIRE(others.size() == 1);
        CHECK(others[0].executor != executor);
    }
    SECTION("a report that shows the run settles it too, and the executor gets longer to answer")
    {
        fixture.report(executor, {{first[0].task, first[0].run, {}, 0, 0}});
        fixture.answer(second[0], CommandResult::Unanswered);
        CHECK(fixture.commandsOf(CommandKind::Start).empty());
        CHECK(fixture.scheduler.executors().at(executor).health.failureScore() == 0);
        CHECK(fixture.scheduler.counts().unansweredStarts == 0);
        fixture.submit("00000000000000bb", 1);
        const auto next = fixture.commandsOf(CommandKind::Start);
        REQUIRE(next.size() == 1);
        CHECK(next[0].executor == executor);
        CHECK(next[0].timeout > first[0].timeout);
    }
    SECTION("without any answer a report decides")
    {
        fixture.now += 150ms;
        fixture.answer(second[0], CommandResult::Unanswered);
        const auto third = fixture.commandsOf(CommandKind::Start);
        REQUIRE(third.size() == 1);
        fixture.now += 150ms;
        fixture.answer(third[0], CommandResult::Unanswered);
        const auto polls = fixture.commandsOf(CommandKind::RenewLeases);
        REQUIRE(polls.size() == 1);
        CHECK(polls[0].settles);
        CHECK(fixture.scheduler.counts().unansweredStarts == 1);
        fixture.now += 5ms;
        SECTION("the run exists: it goes on")
        {
            fixture.report(executor, {{first[0].task, first[0].run, {}, 0, 0}});
            CHECK(fixture.commandsOf(CommandKind::Stop).empty());
            CHECK(fixture.scheduler.executors().at(executor).health.failureScore() == 0);
        }
        SECTION("the run does not exist: it is ruled out by a stop, and that counts as a failure of the executor")
        {
            fixture.report(executor, {});
            CHECK(fixture.commandsOf(CommandKind::Stop).size() == 1);
            CHECK(fixture.scheduler.executors().at(executor).health.failureScore() > 0);
        }
    }
}

TEST_CASE("A report that was overtaken by a newer one is not used")
{
    // Guards against this failure: the regular poll and one that settles a start are answered on two connections. The
    // older answer would bring back a run whose end was handled.
    CallFixture fixture;
    fixture.submit("00000000000000aa", 1);
    const auto starts = fixture.commandsOf(CommandKind::Start);
    REQUIRE(starts.size() == 1);
    const std::string executor = starts[0].executor;
    fixture.answer(starts[0], CommandResult::Done);
    fixture.now += 10ms;
    ExecutorReport older;
    older.clockMs = std::chrono::floor<std::chrono::milliseconds>(fixture.now.time_since_epoch()).count();
    older.startedMs = WallMs;
    older.running = {{starts[0].task, starts[0].run, {}, 0, 0}};
    const TimePoint olderSentAt = fixture.now;
    fixture.now += 5ms;
    fixture.report(executor, {}, {{1, starts[0].task, starts[0].run, RunEnd::Failed, {}}});
    fixture.scheduler.reported(executor, older, olderSentAt, fixture.now, true);
    CHECK(fixture.scheduler.executors().at(executor).runs.empty());
}

TEST_CASE("An executor is left out by what its starts and runs show")
{
    // Guards against two errors: an executor that fails all it starts gets its full load again after each pause, and a
    // large executor that is well is left out because of a few failures.
    HealthSettings settings;
    ExecutorHealth health(settings);
    TimePoint now{10s};

    SECTION("one failure among many successes costs nothing")
    {
        for (int i = 0; i < 40; ++i) {
            if (i % 8 == 0) {
                CHECK_FALSE(health.failed("job" + std::to_string(i), now));
            }
            health.succeeded(now);
        }
        CHECK(health.allowedStarts(now) == ExecutorHealth::Unlimited);
    }
    SECTION("a job whose tasks all fail counts once")
    {
        for (int i = 0; i < 20; ++i) {
            CHECK_FALSE(health.failed("job", now));
        }
    }
    SECTION("failures of several jobs in a row reach the limit; then one task probes the executor")
    {
        CHECK_FALSE(health.failed("a", now));
        CHECK_FALSE(health.failed("b", now));
        CHECK_FALSE(health.failed("c", now));
        CHECK(health.failed("d", now));
        health.eject(now);
        CHECK(health.allowedStarts(now) == 0);
        now += settings.ejection;
        CHECK(health.allowedStarts(now) == 1);

        SECTION("a failure of the probe leaves it out for twice the time")
        {
            CHECK(health.failed("e", now));
            health.eject(now);
            now += settings.ejection * 3 / 2;
            CHECK(health.allowedStarts(now) == 0);
            now += settings.ejection / 2;
            CHECK(health.allowedStarts(now) == 1);
        }
        SECTION("successes bring its full load back in a few steps")
        {
            health.succeeded(now);
            CHECK(health.allowedStarts(now) == 2);
            for (int i = 0; i < 3; ++i) {
                health.succeeded(now);
            }
            CHECK(health.allowedStarts(now) == ExecutorHealth::Unlimited);
        }
        SECTION("a probe that neither fails nor ends brings it back after as long a time")
        {
            now += settings.ejection;
            CHECK(health.allowedStarts(now) == ExecutorHealth::Unlimited);
        }
    }
    SECTION("refused starts that were sent together count once; refusals in a row lengthen the pause")
    {
        const TimePoint sentAt = now;
        now += 5ms;
        for (int i = 0; i < 10; ++i) {
            health.refused(sentAt, false, now);
        }
        CHECK(health.allowedStarts(now) == 0);
        now += settings.refusalPause;
        CHECK(health.allowedStarts(now) == 1);
        health.refused(now, false, now + 1ms);
        CHECK(health.allowedStarts(now + settings.refusalPause + 2ms) == 0);
        CHECK(health.allowedStarts(now + 2 * settings.refusalPause + 1ms) == 1);
        health.accepted();
        CHECK(health.allowedStarts(now + 2 * settings.refusalPause + 1ms) == ExecutorHealth::Unlimited);
    }
    SECTION("the second restart with runs within a short time counts, one alone does not")
    {
        CHECK_FALSE(health.lostRuns(now));
        CHECK(health.lostRuns(now + 5s));
        CHECK_FALSE(health.lostRuns(now + 5s + settings.ejectionMemory));
    }
}

TEST_CASE("Ejections leave most executors in use")
{
    // Guards against this failure: jobs that fail everywhere made the scheduler leave out many executors at once, and
    // the room for all other jobs was lost.
    CallFixture fixture;
    const auto failJobs = [&fixture](char first, int jobs) {
        for (int i = 0; i < jobs; ++i) {
            const std::string id(16, static_cast<char>(first + i));
            fixture.submit(id, 1);
            const auto starts = fixture.commandsOf(CommandKind::Start);
            REQUIRE(starts.size() == 1);
            fixture.answer(starts[0], CommandResult::Done);
            fixture.now += 10ms;
            fixture.report(starts[0].executor, {},
                           {{static_cast<std::uint64_t>(++fixture.ends[starts[0].executor]),
                             starts[0].task,
                             starts[0].run,
                             RunEnd::Failed,
                             {}}});
            fixture.scheduler.endJob(id, JobState::Cancelled, fixture.now);
        }
    };
    failJobs('a', 12);
    int usable = 0;
    for (const auto &[id, executor] : fixture.scheduler.executors()) {
        usable += executor.health.ejected(fixture.now) ? 0 : 1;
    }
    CHECK(fixture.scheduler.counts().ejections >= 1);
    CHECK(usable == 1);
}

TEST_CASE("A job that fails on a second executor is no mark against that executor")
{
    CallFixture fixture;
    fixture.submit("00000000000000aa", 1);
    std::set<std::string> executors;
    for (int attempt = 0; attempt < 3; ++attempt) {
        const auto starts = fixture.commandsOf(CommandKind::Start, 150ms);
        REQUIRE(starts.size() == 1);
        executors.insert(starts[0].executor);
        fixture.answer(starts[0], CommandResult::Done);
        fixture.now += 10ms;
        fixture.report(starts[0].executor, {},
                       {{static_cast<std::uint64_t>(++fixture.ends[starts[0].executor]),
                         starts[0].task,
                         starts[0].run,
                         RunEnd::Failed,
                         {}}});
    }
    CHECK(executors.size() == 2);
    int marked = 0;
    for (const auto &[id, executor] : fixture.scheduler.executors()) {
        marked += executor.health.failureScore() > 0 ? 1 : 0;
    }
    CHECK(marked == 1);
}

TEST_CASE("Ends behind a lost report are learned soon while reports get lost")
{
    // Guards against this failure: an answer to a report poll was lost and the poll waited for up to 1.8 s before it
    // was repeated. Meanwhile the tasks had ended, and the next steps of their jobs missed their latency objective.
    CallFixture fixture;
    fixture.submit("00000000000000aa", 1);
    const auto start = fixture.commandsOf(CommandKind::Start);
    REQUIRE(start.size() == 1);
    fixture.answer(start.front(), CommandResult::Done);
    const std::string executor = start.front().executor;
    fixture.report(executor, {{start.front().task, 1, {}, 10, 0}});
    const auto poll = [&fixture, &executor] {
        const auto sent = fixture.commandsOf(CommandKind::RenewLeases);
        REQUIRE(sent.size() == 1);
        CHECK(sent.front().executor == executor);
        return sent.front();
    };
    const ExecutorCommand calm = poll();

    SECTION("while every report arrives, a poll waits long for an end")
    {
        CHECK(calm.wait == 800ms);
        CHECK(calm.timeout == 1300ms);
    }
    SECTION("after a lost report the poll is repeated at once, and polls wait for less")
    {
        fixture.now += calm.timeout;
        fixture.scheduler.reportPollFailed(executor, CommandResult::Unanswered, fixture.now);
        const ExecutorCommand repeated = poll();
        CHECK(repeated.timeout <= 600ms);
        fixture.report(executor, {{start.front().task, 1, {}, 20, 0}});
        const ExecutorCommand next = poll();
        CHECK(next.wait == 250ms);
        CHECK(next.timeout <= 500ms);

        SECTION("until reports have arrived for a while")
        {
            for (int report = 0; report < 50; ++report) {
                fixture.report(executor, {{start.front().task, 1, {}, 30, 0}});
                poll();
            }
            fixture.report(executor, {{start.front().task, 1, {}, 40, 0}});
            CHECK(poll().wait == 800ms);
        }
    }
    SECTION("an executor that stays silent is polled with a pause")
    {
        for (int lost = 0; lost < 3; ++lost) {
            fixture.now += 1s;
            fixture.scheduler.reportPollFailed(executor, CommandResult::Unanswered, fixture.now);
            fixture.commands();
        }
        CHECK(fixture.commandsOf(CommandKind::RenewLeases).empty());
    }
}

TEST_CASE("One lost report does not make an executor silent")
{
    // Guards against this failure: a lost report poll was repeated only after the executor counted as silent, so it
    // got no tasks and its tasks were copied although it was well.
    CallFixture fixture;
    fixture.submit("00000000000000aa", 1);
    const auto starts = fixture.commandsOf(CommandKind::Start);
    REQUIRE(starts.size() == 1);
    fixture.answer(starts[0], CommandResult::Done);
    const auto polls = fixture.commandsOf(CommandKind::RenewLeases, 40ms);
    REQUIRE(polls.size() == 1);
    fixture.now += polls[0].timeout;
    fixture.scheduler.reportPollFailed(polls[0].executor, CommandResult::Unanswered, fixture.now);
    const auto repeated = fixture.commandsOf(CommandKind::RenewLeases);
    REQUIRE(repeated.size() == 1);
    CHECK(repeated[0].wait == Duration{0});
    CHECK(repeated[0].leaseUntilMs > 0);
    const Executor &executor = fixture.scheduler.executors().at(polls[0].executor);
    CHECK(fixture.now - executor.silentSince() < SchedulerSettings().silentAfter - 500ms);
}

TEST_CASE("A task of a speculative step does not wait for the leases of an executor without an answer")
{
    // Guards against this failure: all tasks on a crashed executor waited until its leases had ended, although some
    // of them may have two runs at once.
    SimulationSettings settings;
    settings.failedRunRate = 0;
    Simulation simulation(settings);
    simulation.takeOver(true);
    StepSpec step = makeStep(4, 1000, 1s);
    step.speculative = GENERATE(true, false);
    simulation.submit(makeJob("a", {step}));
    simulation.run(600ms);
    int used = 0;
    while (simulation.runsAt(used) == 0) {
        ++used;
    }

    SECTION("it crashes: the tasks start elsewhere at once where copies are allowed")
    {
        simulation.crash(used);
        simulation.run(4500ms);
        CHECK(simulation.state("a") == (step.speculative ? JobState::Completed : JobState::Pending));
        simulation.run(6s);
        CHECK(simulation.state("a") == JobState::Completed);
    }
    SECTION("it comes back: the first run of each task that ends counts, and the other is stopped")
    {
        simulation.executor(used).unreachable = true;
        simulation.run(2500ms);
        simulation.executor(used).unreachable = false;
        simulation.run(3s);
        CHECK(simulation.state("a") == JobState::Completed);
        for (int i = 0; i < 6; ++i) {
            CHECK(simulation.runsAt(i) == 0);
        }
    }
    CHECK(simulation.violations().empty());
}
