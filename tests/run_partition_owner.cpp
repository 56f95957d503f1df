// Tests PartitionOwner, acquirePartition and releasePartition against a store in memory that loses replies and applies
// writes late.

#include "ownership_records.h"
#include "partition_owner.h"
#include "quota_owner.h"
#include "unreliable_store.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>

using namespace briarvane;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds ConditionTimeout{60};

struct OwnerFixture
{
    explicit OwnerFixture(const PartitionOwnerSettings &settings = {})
        : token(store.put(keys::owner("orders"), "e1"))
    {
        JobSpec spec;
        spec.id = "00000000000000aa";
        spec.queue = "q";
        spec.service = "orders";
        spec.maxAttempts = 9;
        spec.steps.resize(1);
        spec.steps[0].count = 3;
        spec.steps[0].each = {1000, 100, 0};
        JobRecord record;
        record.spec = spec;
        store.put(keys::job("orders", spec.id), encodeJobRecord(record));

        PartitionOwnerHooks hooks;
        hooks.sendCommand = [this](const ExecutorCommand &command, PartitionOwnerHooks::CommandDone done) {
            if (command.kind == CommandKind::Start) {
                running[command.task] = command.run;
            }
            ++commands;
            std::erase_if(ended, [&](const EndReport &end) { return end.number <= command.observed; });
            constexpr Duration answerTime = 5ms;
            timers.at(steadyNow() + answerTime, [this, kind = command.kind, done = std::move(done)] {
                ExecutorReport report;
                report.clockMs = 1000;
                report.startedMs = 1;
                for (const auto &[task, run] : running) {
                    report.running.push_back({task, run, {}, 100, 0});
                }
                report.ended = ended;
                done(CommandResult::Done, report.clockMs, kind == CommandKind::RenewLeases ? &report : nullptr);
            });
        };
        hooks.requestAdvice = [](const AdviceRequest &, const PartitionOwnerHooks::AdviceDone &) {};
        hooks.registerExecutor = [](const ExecutorRecord &) {};
        hooks.listInstances = [](const auto &) {};
        hooks.jobFinished = [this](const Scheduler::Finished &) {
            if (throwWhenJobFinishes) {
                throw std::length_error("unexpected");
            }
        };
        hooks.ownershipLost = [this](const std::string &, std::string_view why) {
            ownershipLost = true;
            whyLost = why;
        };
        owner.emplace(store, timers, Partition{"orders"}, token, keys::Predecessor::None, settings, std::move(hooks),
                      bootNow(), bootNow());
        ExecutorRecord executor;
        executor.id = "i-1";
        executor.service = "orders";
        executor.capacity = {8000, 8000, 0};
        owner->start();
        owner->setExecutors({executor});
        runUntil([this] { return running.size() == 3; });
    }

    void endRun(int index, RunEnd how)
    {
        const std::string task = "00000000000000aa.0.0." + std::to_string(index);
        ended.push_back({++lastEndNumber, task, running.at(task), how, {}});
        running.erase(task);
    }
    void runUntil(const std::function<bool()> &condition)
    {
        const auto limit = std::chrono::steady_clock::now() + ConditionTimeout;
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < limit);
            io.run_one_for(std::chrono::milliseconds(10));
        }
    }
    TaskProgress progress(int index) const
    {
        const auto all = parseProgress(store.value(keys::progress("orders", "00000000000000aa")));
        if (!all || !all.value().contains({0, 0, index})) {
            return {};
        }
        return all.value().at({0, 0, index});
    }

    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
    Timers timers{io};
    UnreliableStore store{io};
    std::uint64_t token = 0;
    std::map<std::string, int> running;
    std::vector<EndReport> ended;
    std::uint64_t lastEndNumber = 0;
    int commands = 0;  // commands that the owner has sent
    bool throwWhenJobFinishes = false;
    bool ownershipLost = false;
    std::string whyLost;
    std::optional<PartitionOwner<UnreliableStore>> owner;
};

}

TEST_CASE("An owner that hits an unexpected exception gives up its partition instead of going on half changed")
{
    // Guards against a report of other operators: an unexpected error took the whole process down. The state of the
    // scheduler may be inconsistent after an exception, so the next owner loads it from the store.
    OwnerFixture fixture;
    fixture.throwWhenJobFinishes = true;
    for (const int index : {0, 1, 2}) {
        fixture.endRun(index, RunEnd::Done);
    }
    fixture.runUntil([&] { return fixture.ownershipLost; });
    CHECK(fixture.whyLost == "unexpected-error");
    const int commandsThen = fixture.commands;
    bool waited = false;
    fixture.timers.at(steadyNow() + 200ms, [&] { waited = true; });
    fixture.runUntil([&] { return waited; });
    CHECK(fixture.commands == commandsThen);
    CHECK(fixture.progress(0).done == false);
}

TEST_CASE("Odd rows among the recorded executors are skipped")
{
    // Guards against the same report for the records that owners leave to their successors.
    OwnerFixture fixture;
    const auto listed = [&fixture](const std::string &text) {
        std::set<std::string> registered;
        PartitionOwnerHooks hooks;
        hooks.sendCommand = [](const ExecutorCommand &, const PartitionOwnerHooks::CommandDone &) {};
        hooks.requestAdvice = [](const AdviceRequest &, const PartitionOwnerHooks::AdviceDone &) {};
        hooks.registerExecutor = [&registered](const ExecutorRecord &record) { registered.insert(record.id); };
        hooks.listInstances = [](const auto &) {};
        hooks.jobFinished = [](const Scheduler::Finished &) {};
        hooks.ownershipLost = [](const std::string &, std::string_view) {};
        fixture.store.put(keys::recordedExecutorsKey("supplies"), text);
        const std::uint64_t token = fixture.store.put(keys::owner("supplies"), "e1");
        PartitionOwner<UnreliableStore> owner(fixture.store, fixture.timers, Partition{"supplies"}, token,
                                              keys::Predecessor::Lost, PartitionOwnerSettings{}, std::move(hooks),
                                              bootNow(), bootNow());
        owner.start();
        fixture.runUntil([&] { return registered.contains("good"); });
        return registered;
    };
    const std::string good = R"(["good","10.0.0.1",80,5])";
    CHECK(listed("[7,[],[\"a\"],[\"b\",\"10.0.0.1\",65536,1],[\"c\",\"10.0.0.1\",-1,1],[\"d\",1,80,1],"
                 "[\"e\",\"10.0.0.1\",80,1e300],"
                 + good + "]")
          == std::set<std::string>{"good"});
}

TEST_CASE("An owner keeps an id that a cancellation has taken, and starts nothing of it")
{
    // Guards against an owner that comes between the cancellation of a job and the late request to submit it: it must
    // neither start the job nor free its id before the final states of that time are removed.
    OwnerFixture fixture;
    const std::string id = "00000000000000bb";
    JobRecord taken;
    taken.state = JobState::Cancelled;
    const auto runOwner = [&](Duration age) {
        taken.endedMs = wallNowMs() - age.count() / 1000;
        fixture.store.put(keys::jobId(id), keys::encodeJobId({"supplies", false}));
        fixture.store.put(keys::job("supplies", id), encodeJobRecord(taken));
        int commands = 0;
        PartitionOwnerHooks hooks;
        hooks.sendCommand
            = [&commands](const ExecutorCommand &, const PartitionOwnerHooks::CommandDone &) { ++commands; };
        hooks.requestAdvice = [](const AdviceRequest &, const PartitionOwnerHooks::AdviceDone &) {};
        hooks.registerExecutor = [](const ExecutorRecord &) {};
        hooks.listInstances = [](const auto &) {};
        hooks.jobFinished = [](const Scheduler::Finished &) {};
        hooks.ownershipLost = [](const std::string &, std::string_view) {};
        const std::uint64_t token = fixture.store.put(keys::owner("supplies"), "e1");
        PartitionOwner<UnreliableStore> owner(fixture.store, fixture.timers, Partition{"supplies"}, token,
                                              keys::Predecessor::None, PartitionOwnerSettings{}, std::move(hooks),
                                              bootNow(), bootNow());
        owner.start();
        fixture.runUntil([&] { return fixture.store.watched(keys::jobs("supplies")); });
        bool waited = false;
        fixture.timers.at(steadyNow() + 50ms, [&] { waited = true; });
        fixture.runUntil([&] { return waited; });
        CHECK(commands == 0);
    };

    SECTION("a recent one stays taken")
    {
        runOwner(PartitionOwnerSettings{}.finalStateRetention - 10s);
        CHECK_FALSE(keys::parseJobId(fixture.store.value(keys::jobId(id))).submitted);
        CHECK_FALSE(fixture.store.value(keys::job("supplies", id)).empty());
    }
    SECTION("an old one is removed with its record")
    {
        runOwner(PartitionOwnerSettings{}.finalStateRetention + 10s);
        CHECK(fixture.store.value(keys::jobId(id)).empty());
        CHECK(fixture.store.value(keys::job("supplies", id)).empty());
    }
}

TEST_CASE("A job that takes the place of another workspace's cancelled id is not removed with that id")
{
    // Guards against this failure: an owner removes the records of a cancelled id after their time, and a job of
    // another workspace, accepted under the same id meanwhile, is lost.
    OwnerFixture fixture;
    const std::string id = "00000000000000bb";
    const std::string key = keys::job("supplies", id);
    JobRecord taken;
    taken.state = JobState::Cancelled;
    taken.takenFor = {"mills"};
    taken.endedMs = wallNowMs();
    JobRecord job;
    job.spec.id = id;
    job.spec.service = "supplies";
    job.spec.workspace = "quarries";
    job.spec.steps.resize(1);
    job.spec.steps[0].count = 1;
    fixture.store.put(keys::jobId(id), keys::encodeJobId({"supplies", false}));
    fixture.store.put(key, encodeJobRecord(taken));
    PartitionOwnerHooks hooks;
    hooks.sendCommand = [](const ExecutorCommand &, const PartitionOwnerHooks::CommandDone &) {};
    hooks.requestAdvice = [](const AdviceRequest &, const PartitionOwnerHooks::AdviceDone &) {};
    hooks.registerExecutor = [](const ExecutorRecord &) {};
    hooks.listInstances = [](const auto &) {};
    hooks.jobFinished = [](const Scheduler::Finished &) {};
    hooks.ownershipLost = [](const std::string &, std::string_view) {};
    const std::uint64_t token = fixture.store.put(keys::owner("supplies"), "e1");
    PartitionOwnerSettings settings;
    settings.finalStateRetention = 150ms;
    settings.recordedExecutorsPeriod = 20ms;
    PartitionOwner<UnreliableStore> owner(fixture.store, fixture.timers, Partition{"supplies"}, token,
                                          keys::Predecessor::None, settings, std::move(hooks), bootNow(), bootNow());
    owner.start();
    fixture.runUntil([&] { return fixture.store.watched(keys::jobs("supplies")); });
    REQUIRE_FALSE(fixture.store.value(key).empty());
    const auto waitPastRetention = [&] {
        bool waited = false;
        fixture.timers.at(steadyNow() + 400ms, [&] { waited = true; });
        fixture.runUntil([&] { return waited; });
    };

    SECTION("without such a job the id is freed")
    {
        waitPastRetention();
        CHECK(fixture.store.value(key).empty());
        CHECK(fixture.store.value(keys::jobId(id)).empty());
    }
    SECTION("the owner has not learned of the job yet")
    {
        fixture.store.put(keys::jobId(id), "supplies");
        fixture.store.put(key, encodeJobRecord(job));
        waitPastRetention();
        CHECK(fixture.store.value(key) == encodeJobRecord(job));
        CHECK(fixture.store.value(keys::jobId(id)) == "supplies");
    }
    SECTION("the owner schedules the job")
    {
        fixture.store.put(keys::jobId(id), "supplies");
        fixture.store.put(key, encodeJobRecord(job));
        fixture.store.report(keys::jobs("supplies"), key);
        fixture.runUntil([&] { return owner.scheduler().openJobs() == 1; });
        waitPastRetention();
        CHECK(fixture.store.value(key) == encodeJobRecord(job));
        CHECK(owner.scheduler().openJobs() == 1);
    }
}

namespace
{

/// Owner of the second of two partitions. An executor of its own runs the first step of a job. Only an executor of the
/// first partition has the label that the second step requires.
struct TransferFixture
{
    static constexpr int PartitionCount = 2;
    const std::string id = "00000000000000aa";
    const std::string from = Partition{"orders", 1, PartitionCount}.name();
    const std::string to = Partition{"orders", 0, PartitionCount}.name();

    TransferFixture()
        : token(store.put(keys::owner(from), "e1"))
    {
        JobSpec spec;
        spec.id = id;
        spec.queue = "q";
        spec.service = "orders";
        spec.maxAttempts = 9;
        spec.steps.resize(2);
        for (StepSpec &step : spec.steps) {
            step.count = 1;
            step.each = {1000, 100, 0};
        }
        spec.steps[1].requiredLabel = "b";
        spec.steps[1].after = {0};
        JobRecord record;
        record.spec = spec;
        store.put(keys::jobId(id), from);
        store.put(keys::job(from, id), encodeJobRecord(record));
        for (int i = 0; executors.size() < PartitionCount; ++i) {
            ExecutorRecord executor;
            executor.id = "i-" + std::to_string(i);
            executor.service = "orders";
            executor.capacity = {8000, 8000, 0};
            const bool isFirst = partitionIndex(executor.id, PartitionCount) == 0;
            executor.labels = {isFirst ? "b" : "a"};
            if (std::none_of(executors.begin(), executors.end(),
                             [&](const auto &other) { return other.labels == executor.labels; })) {
                executors.push_back(std::move(executor));
            }
        }
    }

    PartitionOwnerHooks hooks()
    {
        PartitionOwnerHooks hooks;
        hooks.sendCommand = [this](const ExecutorCommand &command, PartitionOwnerHooks::CommandDone done) {
            if (command.kind == CommandKind::Start) {  // each run is done at once
                starts.push_back(command.task + " on " + command.executor);
                ended[command.executor].push_back({++lastEndNumber, command.task, command.run, RunEnd::Done, {}});
            }
            std::erase_if(ended[command.executor],
                          [&](const EndReport &end) { return end.number <= command.observed; });
            constexpr Duration answerTime = 5ms;
            timers.at(steadyNow() + answerTime, [this, command, done = std::move(done)] {
                ExecutorReport report;
                report.clockMs = 1000;
                report.startedMs = 1;
                report.ended = ended[command.executor];
                const bool isReport = command.kind == CommandKind::RenewLeases;
                done(CommandResult::Done, report.clockMs, isReport ? &report : nullptr);
            });
        };
        hooks.requestAdvice = [](const AdviceRequest &, const PartitionOwnerHooks::AdviceDone &) {};
        hooks.registerExecutor = [](const ExecutorRecord &) {};
        hooks.listInstances = [](const auto &) {};
        hooks.jobFinished = [](const Scheduler::Finished &) {};
        hooks.ownershipLost = [](const std::string &, std::string_view) {};
        return hooks;
    }
    std::unique_ptr<PartitionOwner<UnreliableStore>> startOwner(int index, std::uint64_t ownerToken)
    {
        PartitionOwnerSettings settings;
        settings.scheduler.misplacedAfter = 100ms;
        settings.transferPeriod = 20ms;
        settings.storeTimeout = 50ms;
        auto owner = std::make_unique<PartitionOwner<UnreliableStore>>(
            store, timers, Partition{"orders", index, PartitionCount}, ownerToken, keys::Predecessor::None, settings,
            hooks(), bootNow(), bootNow());
        owner->setTransfersAllowed(true);
        owner->start();
        owner->setExecutors(executors);
        return owner;
    }
    void runUntil(const std::function<bool()> &condition)
    {
        const auto limit = std::chrono::steady_clock::now() + ConditionTimeout;
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < limit);
            io.run_one_for(std::chrono::milliseconds(10));
        }
    }
    bool isMoved() const
    {
        return store.value(keys::jobId(id)) == to;
    }

    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
    Timers timers{io};
    UnreliableStore store{io};
    std::uint64_t token = 0;
    std::vector<ExecutorRecord> executors;  // one in each partition
    std::map<std::string, std::vector<EndReport>> ended;
    std::uint64_t lastEndNumber = 0;
    std::vector<std::string> starts;
};

}

TEST_CASE("A job that only another partition can run is moved there with its progress")
{
    // Guards against this failure: a job whose next step required a label waited for good in a partition without an
    // executor that has it, while one in another partition of the service was idle.
    TransferFixture fixture;
    const std::string &id = fixture.id;

    SECTION("in one transaction, and the next owner continues it")
    {
        auto owner = fixture.startOwner(1, fixture.token);
        fixture.runUntil([&] { return fixture.isMoved(); });
        CHECK(fixture.store.value(keys::job(fixture.from, id)).empty());
        CHECK(fixture.store.value(keys::progress(fixture.from, id)).empty());
        CHECK_FALSE(fixture.store.value(keys::progress(fixture.to, id)).empty());
        fixture.runUntil([&] { return owner->scheduler().openJobs() == 0; });
        REQUIRE(fixture.starts.size() == 1);

        SECTION("an owner that loads the partition")
        {
            auto next = fixture.startOwner(0, fixture.store.put(keys::owner(fixture.to), "e2"));
            fixture.runUntil([&] { return fixture.starts.size() == 2; });
            CHECK(fixture.starts.back().starts_with(id + ".0.1.0 "));
        }
        SECTION("an owner whose watch reports the job")
        {
            const std::string key = keys::job(fixture.to, id);
            const std::string record = fixture.store.value(key);
            fixture.store.erase(key);
            auto next = fixture.startOwner(0, fixture.store.put(keys::owner(fixture.to), "e2"));
            fixture.runUntil([&] { return fixture.store.watched(keys::jobs(fixture.to)); });
            fixture.store.put(key, record);

            SECTION("and that cannot read its progress at first")
            {
                fixture.store.setBusy(true);
                fixture.store.report(keys::jobs(fixture.to), key);
                bool waited = false;
                fixture.timers.at(steadyNow() + 300ms, [&] { waited = true; });
                fixture.runUntil([&] { return waited; });
                CHECK(next->scheduler().openJobs() == 0);
                fixture.store.setBusy(false);
            }
            SECTION("and that can read its progress")
            {
                fixture.store.report(keys::jobs(fixture.to), key);
            }
            fixture.runUntil([&] { return fixture.starts.size() == 2; });
            CHECK(fixture.starts.back().starts_with(id + ".0.1.0 "));
        }
    }
    SECTION("the reply to the transaction is lost: nothing of the job starts here any more")
    {
        fixture.store.loseNextWrite(keys::jobId(id));
        auto owner = fixture.startOwner(1, fixture.token);
        fixture.runUntil([&] { return fixture.store.hasLostWrite(); });
        fixture.executors[0].labels = fixture.executors[1].labels = {"a", "b"};
        owner->setExecutors(fixture.executors);
        fixture.runUntil([&] { return fixture.isMoved(); });  // by the repetition
        fixture.runUntil([&] { return owner->scheduler().openJobs() == 0; });
        CHECK(fixture.starts.size() == 1);
        fixture.store.applyLostWrites();
        CHECK(fixture.isMoved());
    }
    SECTION("its caller cancels it before the transaction: it stays, and ends")
    {
        fixture.store.loseNextWrite(keys::jobId(id));
        auto owner = fixture.startOwner(1, fixture.token);
        fixture.runUntil([&] { return fixture.store.hasLostWrite(); });
        JobRecord cancelled;
        cancelled.state = JobState::Cancelled;
        cancelled.endedMs = wallNowMs();
        fixture.store.put(keys::job(fixture.from, id), encodeJobRecord(cancelled));
        fixture.store.report(keys::jobs(fixture.from), keys::job(fixture.from, id));
        fixture.runUntil([&] { return owner->scheduler().openJobs() == 0; });
        fixture.store.applyLostWrites();
        CHECK_FALSE(fixture.isMoved());
        CHECK(fixture.store.value(keys::job(fixture.to, id)).empty());
    }
    SECTION("not while an entry serves that does not know such jobs")
    {
        auto owner = fixture.startOwner(1, fixture.token);
        owner->setTransfersAllowed(false);
        bool waited = false;
        fixture.timers.at(steadyNow() + 500ms, [&] { waited = true; });
        fixture.runUntil([&] { return waited; });
        CHECK_FALSE(fixture.isMoved());
    }
    SECTION("not while another owner has the partition")
    {
        auto owner = fixture.startOwner(1, fixture.token);
        fixture.store.put(keys::owner(fixture.from), "e2");
        bool waited = false;
        fixture.timers.at(steadyNow() + 500ms, [&] { waited = true; });
        fixture.runUntil([&] { return waited; });
        CHECK_FALSE(fixture.isMoved());
    }
}

TEST_CASE("A write that the store applies late does not undo a newer write")
{
    OwnerFixture fixture;
    SECTION("progress of a job: recorded ends stay")
    {
        // Guards against this failure: a progress write got no reply and was applied only after a newer write. It
        // removed the end of a task recorded meanwhile, so the next owner ran that task again.
        fixture.store.loseNextWrite(keys::progressOf("orders"));
        fixture.endRun(0, RunEnd::Done);
        fixture.runUntil([&] { return fixture.store.hasLostWrite() && fixture.progress(0).done; });
        fixture.endRun(1, RunEnd::Done);
        fixture.runUntil([&] { return fixture.progress(1).done && fixture.ended.empty(); });
        CHECK(fixture.store.applyLostWrites() == std::vector<StoreOutcome>{StoreOutcome::Conflict});
        CHECK(fixture.progress(0).done);
        CHECK(fixture.progress(1).done);
    }
    SECTION("executors that may have runs: no recorded executor is removed")
    {
        fixture.store.loseNextWrite(keys::recordedExecutorsKey("orders"));
        std::vector<ExecutorRecord> executors(2);
        executors[0].id = "i-1";
        executors[1].id = "i-2";
        executors[0].service = executors[1].service = "orders";
        fixture.owner->setExecutors(executors);
        fixture.runUntil([&] { return fixture.store.hasLostWrite(); });
        executors.push_back(executors[1]);
        executors[2].id = "i-3";
        fixture.runUntil([&] {
            fixture.owner->setExecutors(executors);
            return fixture.store.value(keys::recordedExecutorsKey("orders")).find("i-3") != std::string::npos;
        });
        fixture.store.applyLostWrites();
        CHECK(fixture.store.value(keys::recordedExecutorsKey("orders")).find("i-3") != std::string::npos);
    }
    CHECK_FALSE(fixture.ownershipLost);
}

TEST_CASE("A conflict means that the partition is lost only when another owner has it")
{
    OwnerFixture fixture;
    SECTION("a key that somebody else changed is written again at its present revision")
    {
        fixture.store.put(keys::progress("orders", "00000000000000aa"), "[]");
        fixture.endRun(0, RunEnd::Done);
        fixture.runUntil([&] { return fixture.progress(0).done && fixture.ended.empty(); });
        CHECK_FALSE(fixture.ownershipLost);
    }
    SECTION("another owner has the partition: the deposed owner writes nothing more")
    {
        fixture.store.put(keys::owner("orders"), "e2");
        const std::string before = fixture.store.value(keys::progress("orders", "00000000000000aa"));
        fixture.endRun(0, RunEnd::Done);
        fixture.runUntil([&] { return fixture.ownershipLost; });
        CHECK(fixture.store.value(keys::progress("orders", "00000000000000aa")) == before);
    }
}

TEST_CASE("A release ends only the ownership of the releasing entry")
{
    boost::asio::io_context io;
    Timers timers(io);
    UnreliableStore store(io);
    const std::uint64_t token = store.put(keys::owner("orders"), "e1");
    const auto runFor = [&io](Duration time) { io.run_for(std::chrono::microseconds(time.count())); };

    SECTION("the reply is lost and another entry takes the partition: the repetition has no effect")
    {
        // Guards against this failure: the repetition used the present revision of the ownership key instead of the
        // releasing entry's token, and so ended the ownership of the successor.
        store.loseNextWrite(keys::jobs("orders"));
        releasePartition(store, timers, "orders", token, true);
        runFor(20ms);
        REQUIRE(store.hasLostWrite());
        CHECK(store.applyLostWrites() == std::vector<StoreOutcome>{StoreOutcome::Done});
        store.put(keys::owner("orders"), "e2");
        store.put(keys::ownershipMarker("orders"), "e2");
        runFor(ReleaseRetry + 200ms);
        CHECK(store.value(keys::owner("orders")) == "e2");
        CHECK(store.value(keys::ownershipMarker("orders")) == "e2");
    }
    SECTION("an earlier owner may still send commands: the marker does not say that all have stopped")
    {
        // Guards against this failure: a partition was released soon after it was acquired from an owner that had been
        // lost, and the next owner did not wait for the commands of that one.
        store.put(keys::ownershipMarker("orders"), "e1");
        releasePartition(store, timers, "orders", token, false);
        runFor(20ms);
        CHECK(store.value(keys::owner("orders")).empty());
        CHECK(store.value(keys::ownershipMarker("orders")) == "e1");
    }
    SECTION("the write is not done: it is repeated until it is done")
    {
        store.loseNextWrite(keys::jobs("orders"));
        releasePartition(store, timers, "orders", token, true);
        runFor(20ms);
        CHECK(store.value(keys::owner("orders")) == "e1");
        runFor(ReleaseRetry + 200ms);
        CHECK(store.value(keys::owner("orders")).empty());
        CHECK(store.value(keys::ownershipMarker("orders")) == keys::ReleasedMarker);
    }
}

TEST_CASE("An owner knows whether an earlier one may still send commands")
{
    const TimePoint acquiredAt = bootNow();
    const auto mayCommand = [&](keys::Predecessor predecessor, Duration later) {
        boost::asio::io_context io;
        Timers timers(io);
        UnreliableStore store(io);
        const PartitionOwner<UnreliableStore> owner(store, timers, Partition{"orders"}, 5, predecessor,
                                                    PartitionOwnerSettings{}, {}, acquiredAt, acquiredAt);
        return owner.scheduler().earlierOwnersMayCommand(acquiredAt + later);
    };
    CHECK_FALSE(mayCommand(keys::Predecessor::None, 0s));
    CHECK_FALSE(mayCommand(keys::Predecessor::Released, 0s));
    CHECK(mayCommand(keys::Predecessor::Lost, 3900ms));
    CHECK_FALSE(mayCommand(keys::Predecessor::Lost, SchedulerSettings{}.ownershipProofMaxAge));
}

TEST_CASE("A partition that another entry owns is not acquired")
{
    boost::asio::io_context io;
    UnreliableStore store(io);
    std::optional<std::uint64_t> vacant = 0;
    std::optional<std::optional<Acquisition>> result;
    AcquisitionOutcome outcome = AcquisitionOutcome::NotAcquired;
    const auto acquire = [&] {
        acquirePartition(
            store, AcquisitionRequest{"orders", "e1", 7, std::nullopt}, [&] { return vacant; },
            [&](AcquisitionOutcome acquired, const Acquisition &acquisition) {
                outcome = acquired;
                result = acquired == AcquisitionOutcome::Acquired ? std::optional(acquisition) : std::nullopt;
            });
    };
    const auto awaitResult = [&] {
        for (int rounds = 0; rounds < 10 && !result; ++rounds) {
            io.restart();
            io.run();
        }
        REQUIRE(result);
        return *result;
    };

    SECTION("another entry takes the partition while the ownership marker is read")
    {
        // Guards against this failure: the precondition used the revision that the ownership key had got from the new
        // owner's write, so the partition was taken from an owner that was still working.
        store.put(keys::ownershipMarker("orders"), std::string(keys::ReleasedMarker));
        acquire();
        vacant = std::nullopt;
        store.put(keys::owner("orders"), "e2");
        CHECK_FALSE(awaitResult());
        CHECK(store.value(keys::owner("orders")) == "e2");
    }
    SECTION("another entry takes the partition before the watch reports it: the write has no effect")
    {
        acquire();
        store.put(keys::owner("orders"), "e2");
        CHECK_FALSE(awaitResult());
        CHECK(store.value(keys::owner("orders")) == "e2");
    }
    SECTION("the partition is vacant: the marker shows whether the predecessor released it")
    {
        acquire();
        const auto first = awaitResult();
        REQUIRE(first);
        CHECK(first->predecessor == keys::Predecessor::None);
        vacant = first->fencingToken;
        result.reset();
        acquire();
        const auto second = awaitResult();
        REQUIRE(second);
        CHECK(second->predecessor == keys::Predecessor::Lost);
        CHECK(second->fencingToken > first->fencingToken);
    }
    SECTION("the reply to the write is lost: the ownership key is read to find out whether it was done")
    {
        store.loseNextWrite(keys::Owners);
        acquire();
        CHECK_FALSE(awaitResult());
        CHECK(outcome == AcquisitionOutcome::Unknown);
        CHECK(store.applyLostWrites() == std::vector<StoreOutcome>{StoreOutcome::Done});
    }
    SECTION("a late write has no effect once another owner came and went, since the predecessor has changed")
    {
        // Guards against this failure: the late owner took the marker that it had read for its predecessor's, and did
        // not wait for the commands that an owner after that one may still send.
        store.put(keys::ownershipMarker("orders"), std::string(keys::ReleasedMarker));
        store.loseNextWrite(keys::Owners);
        acquire();
        CHECK_FALSE(awaitResult());
        store.put(keys::owner("orders"), "e2");
        store.put(keys::ownershipMarker("orders"), "e2");
        store.erase(keys::owner("orders"));
        CHECK(store.applyLostWrites() == std::vector<StoreOutcome>{StoreOutcome::Conflict});
        CHECK(store.value(keys::owner("orders")).empty());
    }
}

TEST_CASE("A partition whose ownership key names this process gets an owner")
{
    // Guards against this failure: the reply to the write of the ownership key is lost and the read after it is
    // refused, or the write is carried out after the read. The key then names an entry that runs no owner, and no entry
    // took the partition, so that accepted jobs never started.
    boost::asio::io_context io;
    UnreliableStore store(io);
    OwnershipRecords records("e1", "1");
    std::optional<Acquisition> owned;
    const std::string partition = "orders";
    const auto watch = [&] { records.keyChanged(partition, store.item(keys::owner(partition)), steadyNow()); };
    // One round of an entry: acquires the partition if the records say that it may.
    const auto round = [&] {
        if (owned || !records.vacancy(partition)) {
            return;
        }
        acquirePartition(
            store, AcquisitionRequest{partition, records.holder(), 7, records.unknownPredecessor(partition)},
            [&]() -> std::optional<std::uint64_t> {
                const auto vacant = records.vacancy(partition);
                return vacant ? std::optional(vacant->revision) : std::nullopt;
            },
            [&](AcquisitionOutcome outcome, const Acquisition &acquisition) {
                if (outcome == AcquisitionOutcome::Acquired) {
                    owned = acquisition;
                    records.ownerStarted(partition);
                } else if (outcome == AcquisitionOutcome::Unknown) {
                    records.acquisitionUnknown(partition, acquisition.predecessor);
                }
            });
        for (int rounds = 0; rounds < 10; ++rounds) {
            io.restart();
            io.run();
        }
    };
    store.put(keys::ownershipMarker(partition), std::string(keys::ReleasedMarker));

    SECTION("the reply is lost and the store is busy for a moment")
    {
        store.loseNextReplyAndRefuse();
        round();
        CHECK_FALSE(owned);
        REQUIRE(store.value(keys::owner(partition)) == records.holder());
        store.setBusy(false);
        watch();
        REQUIRE(records.vacancy(partition));
        CHECK(records.vacancy(partition)->namesThisProcess);
        round();
        REQUIRE(owned);
        CHECK(owned->fencingToken == store.item(keys::owner(partition)).revision);

        SECTION("and the predecessor is that of the write whose reply was lost")
        {
            CHECK(owned->predecessor == keys::Predecessor::Released);
        }
        SECTION("and after the owner has run, a later owner does not rely on that predecessor")
        {
            records.ownerEnded(partition, owned->fencingToken);
            owned.reset();
            store.erase(keys::owner(partition));
            watch();
            round();
            REQUIRE(owned);
            CHECK(owned->predecessor == keys::Predecessor::Lost);
        }
    }
    SECTION("the write is carried out after the read")
    {
        store.loseNextWrite(keys::Owners);
        round();
        CHECK_FALSE(owned);
        CHECK(store.applyLostWrites() == std::vector<StoreOutcome>{StoreOutcome::Done});
        watch();
        round();
        REQUIRE(owned);
        CHECK(owned->predecessor == keys::Predecessor::Released);
    }
    SECTION("the late write is carried out before a second one, whose precondition fails")
    {
        store.loseNextWrite(keys::Owners);
        round();
        CHECK(store.applyLostWrites() == std::vector<StoreOutcome>{StoreOutcome::Done});
        round();  // the watch has not reported the key yet
        CHECK_FALSE(owned);
        watch();
        round();
        CHECK(owned);
    }
    SECTION("a key that this process is releasing is not acquired again")
    {
        round();
        REQUIRE(owned);
        records.ownerEnded(partition, owned->fencingToken);
        watch();
        CHECK_FALSE(records.vacancy(partition));

        SECTION("but a later write of this process is")
        {
            store.put(keys::owner(partition), records.holder());
            watch();
            CHECK(records.vacancy(partition));
        }
    }
    SECTION("a partition of another entry is not acquired")
    {
        store.put(keys::owner(partition), "e2 1");
        watch();
        CHECK_FALSE(records.vacancy(partition));
    }
    SECTION("a key that an earlier process of this entry wrote is replaced")
    {
        store.put(keys::owner(partition), "e1 0");
        watch();
        REQUIRE(records.vacancy(partition));
        CHECK_FALSE(records.vacancy(partition)->namesThisProcess);
        round();
        CHECK(owned);
    }
}

TEST_CASE("The owner of the fleet partition divides quotas and never gives the same room away twice", "[quota]")
{
    boost::asio::io_context io;
    Timers timers(io);
    UnreliableStore store(io);
    const std::uint64_t token = store.put(keys::owner(keys::FleetPartition), "e1");
    std::string whyLost;
    const QuotaOwnerSettings settings{.writePause = 5ms, .retryPause = 10ms};
    std::optional<QuotaOwner<UnreliableStore>> owner;
    owner.emplace(store, timers, token, settings, [&whyLost](std::string_view why) { whyLost = why; });
    const auto runFor = [&io](Duration time) {
        io.restart();
        io.run_for(std::chrono::microseconds(time.count()));
    };
    const auto revision = [&store] { return store.item(keys::FleetQuotaParts).revision; };
    const auto parts = [&store, &revision] {
        return parseQuotaParts(store.value(keys::FleetQuotaParts), revision()).value().workspaces.at("north");
    };
    const auto report = [&owner](const std::string &partition, std::uint64_t applied, int running, int wanted) {
        owner->setReport(partition, {applied, {{"north", {{running * 1000, 0, 0}, {wanted * 1000, 0, 0}}}}});
    };
    const Quotas quotas{{"north", {16'000, 0, 0}}};

    SECTION("without quotas the store sees no call")
    {
        owner->setQuotas({}, {"orders", "orders!2"});
        report("orders", 0, 1, 9);
        runFor(50ms);
        CHECK(store.value(keys::FleetQuotaParts).empty());
        return;
    }
    owner->setQuotas(quotas, {"orders", "orders!2"});
    runFor(100ms);
    REQUIRE(parts().at("orders").part.milliCores == 8000);

    SECTION("a burst takes what the other partition has given up")
    {
        report("orders", revision(), 8, 14);
        runFor(50ms);
        CHECK(parts().at("orders").part.milliCores == 8000);
        const int rest = parts().at("orders!2").part.milliCores;
        CHECK(rest < 8000);
        report("orders!2", revision(), 0, 0);
        runFor(50ms);
        CHECK(parts().at("orders").part.milliCores == 16'000 - rest);
    }
    SECTION("a write gets no reply and is applied late")
    {
        // Guards against a late division that replaces a newer one, whose parts are in use by then.
        store.loseNextWrite(keys::FleetQuotaParts);
        report("orders", revision(), 8, 14);
        runFor(100ms);
        REQUIRE(store.hasLostWrite());
        const auto before = parts();
        CHECK(before.at("orders!2").part.milliCores < 8000);  // read again and written again
        CHECK(store.applyLostWrites() == std::vector<StoreOutcome>{StoreOutcome::Conflict});
        CHECK(parts() == before);
    }
    SECTION("the store is away: nothing changes hands, and the division goes on afterwards")
    {
        const std::string before = store.value(keys::FleetQuotaParts);
        store.setBusy(true);
        report("orders", revision(), 8, 14);
        report("orders!2", revision(), 0, 0);
        runFor(300ms);
        CHECK(store.value(keys::FleetQuotaParts) == before);
        store.setBusy(false);
        runFor(100ms);
        CHECK(parts().at("orders").part.milliCores > 8000);
    }
    SECTION("a successor starts from the stored parts")
    {
        report("orders", revision(), 8, 14);
        runFor(50ms);
        const auto before = parts();
        const std::uint64_t successorToken = store.put(keys::owner(keys::FleetPartition), "e2");
        report("orders!2", revision(), 0, 0);
        runFor(50ms);
        CHECK(whyLost == "precondition");
        CHECK(parts() == before);  // guards against a deposed owner that goes on dividing
        owner.emplace(store, timers, successorToken, settings, [](std::string_view) {});
        owner->setQuotas(quotas, {"orders", "orders!2"});
        report("orders", 0, 8, 14);
        report("orders!2", 0, 0, 0);  // a late report
        runFor(50ms);
        CHECK(parts() == before);
        report("orders!2", revision(), 0, 0);
        runFor(50ms);
        CHECK(parts().at("orders").part.milliCores > 8000);
    }
}

TEST_CASE("The owner of a partition reads its parts of the quotas before the first start", "[quota]")
{
    OwnerFixture fixture;
    std::map<std::string, int> started;
    JobSpec spec;
    spec.id = "00000000000000bb";
    spec.queue = "q";
    spec.service = "supplies";
    spec.workspace = "north";
    spec.maxAttempts = 9;
    spec.steps.resize(1);
    spec.steps[0].count = 4;
    spec.steps[0].each = {1000, 100, 0};
    JobRecord record;
    record.spec = spec;
    fixture.store.put(keys::job("supplies", spec.id), encodeJobRecord(record));
    const auto partsOf = [](int cores) {
        const Resources part{cores * 1000, NoLimit, NoLimit};
        QuotaParts parts;
        parts.workspaces["north"]["supplies"] = {part, part};
        return parts;
    };
    const auto storeParts = [&](int cores) {
        QuotaParts parts = partsOf(cores);
        parts.revision = fixture.store.put(keys::FleetQuotaParts, encodeQuotaParts(parts));
        return parts;
    };
    PartitionOwnerHooks hooks;
    hooks.sendCommand = [&](const ExecutorCommand &command, PartitionOwnerHooks::CommandDone done) {
        if (command.kind == CommandKind::Start) {
            started[command.task] = command.run;
        }
        fixture.timers.at(steadyNow() + 5ms, [&started, kind = command.kind, done = std::move(done)] {
            ExecutorReport report;
            report.clockMs = 1000;
            report.startedMs = 1;
            for (const auto &[task, run] : started) {
                report.running.push_back({task, run, {}, 100, 0});
            }
            done(CommandResult::Done, report.clockMs, kind == CommandKind::RenewLeases ? &report : nullptr);
        });
    };
    hooks.requestAdvice = [](const AdviceRequest &, const PartitionOwnerHooks::AdviceDone &) {};
    hooks.registerExecutor = [](const ExecutorRecord &) {};
    hooks.listInstances = [](const auto &) {};
    hooks.jobFinished = [](const Scheduler::Finished &) {};
    hooks.ownershipLost = [](const std::string &, std::string_view) {};
    const std::uint64_t token = fixture.store.put(keys::owner("supplies"), "e1");
    PartitionOwner<UnreliableStore> owner(fixture.store, fixture.timers, Partition{"supplies"}, token,
                                          keys::Predecessor::None, PartitionOwnerSettings{}, std::move(hooks),
                                          bootNow(), bootNow());
    ExecutorRecord executor;
    executor.id = "i-1";
    executor.service = "supplies";
    executor.capacity = {8000, 8000, 0};
    const auto runFor = [&fixture](Duration time) {
        bool waited = false;
        fixture.timers.at(steadyNow() + time, [&] { waited = true; });
        fixture.runUntil([&] { return waited; });
    };
    const Quotas quotas{{"north", {40'000, 0, 0}}};

    SECTION("the watch of this entry is behind the stored parts")
    {
        // Guards against this failure: a predecessor has applied and reported a smaller part, the rest is given away,
        // and the successor starts with the former part.
        QuotaParts former = partsOf(8);
        former.revision = 50;
        storeParts(2);
        owner.setQuotas(quotas, 4);
        owner.setQuotaParts(former);
        owner.start();
        owner.setExecutors({executor});
        fixture.runUntil([&] { return started.size() == 2; });
        owner.setQuotaParts(former);
        runFor(400ms);
        CHECK(started.size() == 2);

        SECTION("the report shows what waits, and a larger part takes effect")
        {
            const auto wanted = [&] {
                const auto report = parseQuotaReport(fixture.store.value(keys::quotaReport("supplies")));
                return report && report.value().workspaces.contains("north")
                    ? report.value().workspaces.at("north").wanted.milliCores
                    : 0;
            };
            fixture.runUntil([&] { return wanted() == 4000; });
            owner.setQuotaParts(storeParts(3));
            fixture.runUntil([&] { return started.size() == 3; });
        }
    }
    SECTION("nothing is stored: the part is an equal one")
    {
        owner.setQuotas({{"north", {12'000, 0, 0}}}, 4);
        owner.start();
        owner.setExecutors({executor});
        fixture.runUntil([&] { return started.size() == 3; });
        runFor(200ms);
        CHECK(started.size() == 3);
    }
    SECTION("the workspace has no quota: all tasks start, and nothing is reported")
    {
        owner.setQuotas({}, 4);
        owner.start();
        owner.setExecutors({executor});
        fixture.runUntil([&] { return started.size() == 4; });
        runFor(600ms);
        CHECK(fixture.store.value(keys::quotaReport("supplies")).empty());
    }
}

// Guards against a report that is written again in every pass while the store refuses it.
TEST_CASE("A report of vacated executors that the store refuses is not repeated in every pass")
{
    PartitionOwnerSettings settings;
    settings.rejectedPause = 1h;
    OwnerFixture fixture(settings);
    fixture.store.rejectWrites(keys::FleetVacated);
    fixture.owner->setVacating({"i-1"}, 5);
    for (int index = 0; index < 3; ++index) {
        fixture.endRun(index, RunEnd::Done);
    }
    fixture.runUntil([&] { return fixture.store.rejectedWrites() > 0; });
    for (std::uint64_t revision = 6; revision < 26; ++revision) {  // each list causes a pass
        fixture.owner->setVacating({"i-1"}, revision);
        const auto passed = std::make_shared<bool>(false);
        fixture.timers.at(steadyNow() + settings.passGap * 2, [passed] { *passed = true; });
        fixture.runUntil([&] { return *passed; });
    }
    CHECK(fixture.store.rejectedWrites() == 1);
}
