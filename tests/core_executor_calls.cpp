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
        const auto again = fixture.commandsOf(CommandKind::Start, 300ms);
        REQUIRE(again.size() == 1);
        CHECK(again[0].executor != first);
    }
}
