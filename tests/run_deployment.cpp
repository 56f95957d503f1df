// Tests the clients in platform/ against the stand-in of a deployment, in one process.

#include "clients.h"
#include "standin_workers.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

using namespace briarvane;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds ConditionTimeout{60};
constexpr Duration CallTimeout{500'000};

struct FirstExecutorHandler
{
    standin::WorkersStandIn &workers;

    void handle(const standin::Request &request, const standin::Reply &reply)
    {
        workers.handleCommand(0, request, reply);
    }
};

/// Two pools and a spare pool of five instances each. Only the executor of the first instance listens.
struct DeploymentFixture
{
    DeploymentFixture()
        : storeAcceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , machinesAcceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , executorAcceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , workers(store, {portOf(executorAcceptor), {"vendors", "supplies", "spare"}, 5, "spare", 4000, 1})
        , client(io, "127.0.0.1", portOf(storeAcceptor))
        , executors(io)
        , machines(io, "127.0.0.1", portOf(machinesAcceptor), "e1")
        , advice(io, "127.0.0.1", portOf(machinesAcceptor))
    {
        standin::accept(storeAcceptor, store);
        standin::accept(machinesAcceptor, workers);
        standin::accept(executorAcceptor, executorHandler);
        executors.setExecutor(FirstExecutor, {"127.0.0.1", portOf(executorAcceptor), 2});
    }

    static std::uint16_t portOf(const boost::asio::ip::tcp::acceptor &acceptor)
    {
        return acceptor.local_endpoint().port();
    }
    void runUntil(const std::function<bool()> &condition)
    {
        const auto limit = std::chrono::steady_clock::now() + ConditionTimeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > limit) {
                FAIL("the condition did not hold in time");
            }
            io.run_one_for(10ms);
            store.tick();
            workers.tick();
        }
    }
    template<class T, class F>
    T wait(F call)
    {
        std::optional<T> answer;
        call([&answer](const T &result) { answer = result; });
        runUntil([&] { return answer.has_value(); });
        return *answer;
    }
    StoreReply commit(const StoreTxn &txn)
    {
        return wait<StoreReply>([&](auto done) { client.commit(txn, CallTimeout, done); });
    }
    StoreReply read(const std::string &key)
    {
        return wait<StoreReply>([&](auto done) { client.read(key, CallTimeout, done); });
    }
    StoreReply watch(const std::string &prefix, std::uint64_t after, Duration time)
    {
        return wait<StoreReply>([&](auto done) { client.watch(prefix, after, time, done); });
    }
    platform::InstanceRequestResult move(const std::string &instance, const std::string &pool, std::uint64_t token)
    {
        return wait<platform::InstanceRequestResult>([&](auto done) { machines.move(instance, pool, token, done); });
    }
    std::vector<PooledInstance> list()
    {
        return wait<Result<std::vector<PooledInstance>>>([&](auto done) { machines.list(done); }).value();
    }

    struct CommandAnswer
    {
        CommandResult result = CommandResult::NotSent;
        std::int64_t clockMs = 0;
        std::optional<ExecutorReport> report;
    };
    CommandAnswer send(const ExecutorCommand &command)
    {
        std::optional<CommandAnswer> answer;
        executors.send(command, [&answer](CommandResult result, std::int64_t clockMs, const ExecutorReport *report) {
            answer = CommandAnswer{result, clockMs, report == nullptr ? std::nullopt : std::optional(*report)};
        });
        runUntil([&] { return answer.has_value(); });
        return *answer;
    }
    static ExecutorCommand command(CommandKind kind, std::uint64_t token, int run = 0)
    {
        ExecutorCommand executorCommand;
        executorCommand.kind = kind;
        executorCommand.executor = FirstExecutor;
        executorCommand.fencingToken = token;
        executorCommand.task = kind == CommandKind::RenewLeases ? "" : "00000000000000aa.0.0.0";
        executorCommand.run = run;
        executorCommand.payload = "work_ms=20 cpu=500";
        executorCommand.leaseUntilMs = kind == CommandKind::Start ? 1'000'000 : 0;
        executorCommand.timeout = CallTimeout;
        return executorCommand;
    }

    static constexpr const char *FirstExecutor = "x-vendors-0-1";

    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
    boost::asio::ip::tcp::acceptor storeAcceptor;
    boost::asio::ip::tcp::acceptor machinesAcceptor;
    boost::asio::ip::tcp::acceptor executorAcceptor;
    standin::StoreStandIn store;
    standin::WorkersStandIn workers;
    FirstExecutorHandler executorHandler{workers};
    platform::StoreClient client;
    platform::ExecutorClient executors;
    platform::MachineClient machines;
    platform::AdviceClient advice;
};

}

TEST_CASE("The store client reports what a write has done and misses no change", "[deployment]")
{
    DeploymentFixture fixture;
    const StoreReply first = fixture.commit({{{"a/b c%&", 0}}, {{"a/b c%&", "one \"quoted\" \u00e4", 0}}, {}});
    REQUIRE(first.outcome == StoreOutcome::Done);

    SECTION("a write takes effect only while its precondition holds, and a conflict returns the present state")
    {
        const StoreReply refused = fixture.commit({{{"a/b c%&", 0}}, {{"a/b c%&", "two", 0}}, {}});
        CHECK(refused.outcome == StoreOutcome::Conflict);
        REQUIRE(refused.items.size() == 1);
        CHECK(refused.items.front().revision == first.revision);
        CHECK(fixture.read("a/b c%&").items.at(0).value == "one \"quoted\" \u00e4");
        CHECK(fixture.commit({{{"a/b c%&", first.revision}}, {}, {"a/b c%&"}}).outcome == StoreOutcome::Done);
        CHECK(fixture.read("a/b c%&").outcome == StoreOutcome::NotFound);
    }
    SECTION("all keys of a transaction get the same revision: that of the ownership key is the fencing token")
    {
        const StoreReply both = fixture.commit({{}, {{"m/own/vendors", "e1", 0}, {"s/vendors/!owner", "e1", 0}}, {}});
        CHECK(fixture.read("m/own/vendors").items.at(0).revision == both.revision);
        CHECK(fixture.read("s/vendors/!owner").items.at(0).revision == both.revision);
    }
    SECTION("a range comes in pages")
    {
        const int keys = static_cast<int>(standin::StoreStandIn::PageItems) + 7;
        for (int i = 0; i < keys; ++i) {
            fixture.store.put("s/" + std::to_string(i), "x");
        }
        const auto page = [&](const std::string &after) {
            return fixture.wait<StoreReply>(
                [&](auto done) { fixture.client.range("s/", after, false, CallTimeout, done); });
        };
        const StoreReply firstPage = page({});
        REQUIRE(firstPage.truncated);
        const StoreReply secondPage = page(firstPage.items.back().key);
        CHECK_FALSE(secondPage.truncated);
        CHECK(static_cast<int>(firstPage.items.size() + secondPage.items.size()) == keys);
    }
    SECTION("a watch returns changes and removals, is empty after the longest wait, and reports a compacted history")
    {
        std::optional<StoreReply> update;
        fixture.client.watch("a/", first.revision, 30s, [&](const StoreReply &reply) { update = reply; });
        fixture.store.put("other", "x");
        fixture.store.remove("a/b c%&");
        fixture.runUntil([&] { return update.has_value(); });
        REQUIRE(update->items.size() == 1);
        CHECK(update->items.front().removed);
        const StoreReply unchanged = fixture.watch("a/", update->revision, 20ms);
        CHECK(unchanged.outcome == StoreOutcome::Done);
        CHECK(unchanged.items.empty());
        fixture.store.compact();
        CHECK(fixture.watch("a/", first.revision, 20ms).outcome == StoreOutcome::Compacted);
    }
    SECTION("a key is removed with its lease, and a write with a lapsed lease fails")
    {
        const StoreReply lease = fixture.wait<StoreReply>([&](auto done) { fixture.client.grantLease(100ms, done); });
        REQUIRE(fixture.commit({{}, {{"m/node/e1", "serving 1", lease.lease}}, {}}).outcome == StoreOutcome::Done);
        CHECK(fixture.wait<StoreReply>([&](auto done) { fixture.client.renewLease(lease.lease, done); }).outcome
              == StoreOutcome::Done);
        fixture.runUntil([&] { return fixture.store.value("m/node/e1") == nullptr; });
        CHECK(fixture.commit({{}, {{"m/node/e1", "serving 1", lease.lease}}, {}}).outcome == StoreOutcome::NotFound);
        CHECK(fixture.wait<StoreReply>([&](auto done) { fixture.client.renewLease(lease.lease, done); }).outcome
              == StoreOutcome::NotFound);
    }
    SECTION("a refused write was not done, an unanswered write may have been done")
    {
        fixture.store.faults.failWrites = 1;
        CHECK(fixture.commit({{}, {{"k", "v", 0}}, {}}).outcome == StoreOutcome::Refused);
        CHECK(fixture.store.value("k") == nullptr);
        fixture.store.faults.loseResponses = 1;
        CHECK(fixture.commit({{}, {{"k", "v", 0}}, {}}).outcome == StoreOutcome::Unknown);
        CHECK(fixture.store.value("k") != nullptr);
        fixture.store.faults.down = true;
        CHECK(fixture.read("k").outcome == StoreOutcome::Refused);
    }
    // Guards against renewals and proofs of ownership that wait behind the watches of an entry with many partitions.
    SECTION("leases are renewed and keys are read beside any number of watches and lists")
    {
        const StoreReply lease = fixture.wait<StoreReply>([&](auto done) { fixture.client.grantLease(2s, done); });
        REQUIRE(lease.outcome == StoreOutcome::Done);
        const std::uint64_t revision = fixture.commit({{}, {{"k", "v", 0}}, {}}).revision;
        int watchesAnswered = 0;
        for (int i = 0; i < 300; ++i) {
            fixture.client.watch("s/" + std::to_string(i) + "/", revision, 1h,
                                 [&watchesAnswered](const StoreReply &) { ++watchesAnswered; });
        }
        const StoreReply renewed
            = fixture.wait<StoreReply>([&](auto done) { fixture.client.renewLease(lease.lease, done); });
        CHECK(renewed.outcome == StoreOutcome::Done);
        CHECK(fixture.read("k").outcome == StoreOutcome::Done);
        CHECK(fixture.commit({{{"k", revision}}, {{"k", "w", 0}}, {}}).outcome == StoreOutcome::Done);
        const StoreReply listed
            = fixture.wait<StoreReply>([&](auto done) { fixture.client.range("k", "", false, 1h, done); });
        CHECK(listed.outcome == StoreOutcome::Done);
        CHECK(watchesAnswered == 0);
        CHECK(fixture.client.counts().unsent == 0);
    }
    SECTION("writes to operators' keys and transactions with too many rows are rejected")
    {
        CHECK(fixture.commit({{}, {{"op/config", "x", 0}}, {}}).outcome == StoreOutcome::Malformed);
        StoreTxn txn;
        for (std::size_t i = 0; i <= StoreTxn::MaxRows; ++i) {
            txn.removed.push_back("k" + std::to_string(i));
        }
        CHECK(fixture.commit(txn).outcome == StoreOutcome::Malformed);
    }
}

TEST_CASE("The executor client keeps refused, lapsed and unanswered commands apart", "[deployment]")
{
    DeploymentFixture fixture;
    REQUIRE(fixture.send(DeploymentFixture::command(CommandKind::Start, 5, 2)).result == CommandResult::Done);

    SECTION("a waiting report poll returns an end until the end is acknowledged")
    {
        ExecutorCommand poll = DeploymentFixture::command(CommandKind::RenewLeases, 5);
        poll.wait = 2s;
        poll.timeout = 3s;
        const auto reportAnswer = fixture.send(poll);
        REQUIRE(reportAnswer.report);
        CHECK(reportAnswer.report->running.empty());
        REQUIRE(reportAnswer.report->ended.size() == 1);
        CHECK(reportAnswer.report->ended.front().how == RunEnd::Done);
        CHECK(reportAnswer.report->ended.front().run == 2);
        poll.observed = reportAnswer.report->ended.front().number;
        poll.wait = Duration{0};
        CHECK(fixture.send(poll).report->ended.empty());
    }
    SECTION("a lower token, a lower run, a lapsed lease and another incarnation give different results")
    {
        CHECK(fixture.send(DeploymentFixture::command(CommandKind::Stop, 4, 2)).result == CommandResult::Fenced);
        CHECK(fixture.send(DeploymentFixture::command(CommandKind::Stop, 5, 2)).result == CommandResult::Done);
        fixture.runUntil([&] {
            return fixture.send(DeploymentFixture::command(CommandKind::RenewLeases, 5)).report->running.empty();
        });
        CHECK(fixture.send(DeploymentFixture::command(CommandKind::Start, 5, 2)).result == CommandResult::Superseded);
        ExecutorCommand expiredStart = DeploymentFixture::command(CommandKind::Start, 6, 3);
        expiredStart.leaseUntilMs = 1;
        CHECK(fixture.send(expiredStart).result == CommandResult::Late);
        CHECK(fixture.move("vendors-0", "supplies", 1) == platform::InstanceRequestResult::Done);
        fixture.runUntil([&] { return fixture.store.value("servers/x-vendors-0-2") != nullptr; });
        CHECK(fixture.send(DeploymentFixture::command(CommandKind::Start, 6, 3)).result == CommandResult::Replaced);
    }
    SECTION("a crashed executor does not answer")
    {
        standin::Request crash{boost::beast::http::verb::post, "/test/crash?instance=vendors-0", 11};
        fixture.workers.handle(crash, [](const auto &answer) { REQUIRE(answer->status == 200); });
        CHECK(fixture.send(DeploymentFixture::command(CommandKind::RenewLeases, 5)).result
              == CommandResult::Unanswered);
    }
}

TEST_CASE("The stand-in of a deployment detects starts that must not happen", "[deployment]")
{
    DeploymentFixture fixture;
    const auto start = [&](std::size_t worker, const std::string &task, int run) {
        standin::Request request{boost::beast::http::verb::post, "/run-start", 11};
        ExecutorCommand command = DeploymentFixture::command(CommandKind::Start, 5, run);
        command.task = task;
        command.payload = "work_ms=20 cpu=2500";
        request.body() = platform::encodeCommand(command);
        fixture.workers.handleCommand(worker, request, [](const auto &answer) { REQUIRE(answer->status == 200); });
    };
    const auto violations = [&] {
        std::string all;
        fixture.workers.handle({boost::beast::http::verb::get, "/test/record", 11}, [&all](const auto &answer) {
            for (const auto &violation : answer->body.at("broken").as_array()) {
                all += std::string(violation.as_string()) + '\n';
            }
        });
        return all;
    };
    const std::string task = "00000000000000aa.0.0.0";
    start(0, task, 1);
    CHECK(violations().empty());

    SECTION("a second run of a task on another executor")
    {
        start(1, task, 2);
        CHECK(violations() == "two runs at once: " + task + " on vendors-0 and vendors-1\n");
    }
    SECTION("more than the capacity of the instance")
    {
        start(0, "00000000000000aa.0.0.1", 1);
        CHECK(violations() == "over capacity: 00000000000000aa.0.0.1 on vendors-0\n");
    }
    SECTION("a start of a task whose end was acknowledged")
    {
        ExecutorCommand poll = DeploymentFixture::command(CommandKind::RenewLeases, 5);
        poll.wait = 2s;
        poll.timeout = 3s;
        poll.observed = fixture.send(poll).report->ended.at(0).number;
        poll.wait = Duration{0};
        fixture.send(poll);
        start(1, task, 2);
        CHECK(violations() == "a start after the end was noted: " + task + "\n");
    }
}

TEST_CASE("The machine client lists every instance and reports refused moves", "[deployment]")
{
    DeploymentFixture fixture;
    SECTION("all pages are listed, and instances of the spare pool have no executor")
    {
        const auto instances = fixture.list();
        REQUIRE(instances.size() == 15);
        CHECK(instances.front().executor == "x-vendors-0-1");
        CHECK(instances.back().pool == "spare");
        CHECK(instances.back().executor.empty());
        CHECK(instances.back().state == InstanceAvailability::Up);
    }
    SECTION("a move ends the executor and is listed as moving; moves to the present pool succeed, others are refused")
    {
        CHECK(fixture.move("supplies-1", "spare", 7) == platform::InstanceRequestResult::Done);
        CHECK(fixture.store.value("servers/x-supplies-1-1") == nullptr);
        CHECK(fixture.list().at(6).state == InstanceAvailability::Moving);
        CHECK(fixture.move("supplies-1", "spare", 7) == platform::InstanceRequestResult::Done);
        CHECK(fixture.move("supplies-1", "vendors", 7) == platform::InstanceRequestResult::Busy);
        CHECK(fixture.move("supplies-1", "vendors", 6) == platform::InstanceRequestResult::Fenced);
        CHECK(fixture.move("nothing", "vendors", 7) == platform::InstanceRequestResult::Invalid);
    }
    SECTION("after maintenance the instance returns to its pool with a new executor")
    {
        CHECK(fixture.wait<platform::InstanceRequestResult>([&](auto done) {
            fixture.machines.maintain("vendors-1", 3, 1, done);
        }) == platform::InstanceRequestResult::Done);
        CHECK(fixture.list().at(1).state == InstanceAvailability::Maintenance);
        fixture.runUntil([&] { return fixture.store.value("servers/x-vendors-1-2") != nullptr; });
        CHECK(fixture.list().at(1).pool == "vendors");
    }
}

TEST_CASE("The advice client returns valid tickets or reports that there is no advice", "[deployment]")
{
    DeploymentFixture fixture;
    AdviceRequest request{"00000000000000aa", 0, 0, {}, CallTimeout};
    for (int i = 1; i < 9; ++i) {
        request.executors.push_back("x-vendors-0-" + std::to_string(i));
    }
    const auto requestAdvice = [&](const AdviceRequest &call, const std::string &entry) {
        return fixture.wait<std::optional<Advice>>([&](auto done) {
            fixture.advice.request(call, entry, [done](const Advice *advice) {
                done(advice == nullptr ? std::nullopt : std::optional(*advice));
            });
        });
    };

    SECTION("executors accept the tickets of the service, and a start without a ticket has a result of its own")
    {
        const auto advice = requestAdvice(request, {});
        REQUIRE(advice);
        CHECK(advice->valid == 3s);
        ExecutorCommand start = DeploymentFixture::command(CommandKind::Start, 5, 2);
        start.payload = "work_ms=20 cpu=500 ticket=1";
        CHECK(fixture.send(start).result == CommandResult::NoTicket);
        const bool allowed = advice->tickets.contains(DeploymentFixture::FirstExecutor);
        CHECK(requestAdvice(request, {})->tickets.contains(DeploymentFixture::FirstExecutor) == allowed);
        start.ticket = allowed ? advice->tickets.at(DeploymentFixture::FirstExecutor) : "of another executor";
        CHECK(fixture.send(start).result == (allowed ? CommandResult::Done : CommandResult::NoTicket));
    }
    SECTION("another entry passes a call on unchanged")
    {
        fixture.advice.setEntry("e2", "127.0.0.1", DeploymentFixture::portOf(fixture.machinesAcceptor));
        const auto forwardedAdvice = requestAdvice(request, "e2");
        REQUIRE(forwardedAdvice);
        CHECK(forwardedAdvice->tickets.size() == requestAdvice(request, {})->tickets.size());
        std::optional<int> status;
        fixture.advice.forward("not a call", [&](int code, const std::string &) { status = code; });
        fixture.runUntil([&] { return status.has_value(); });
        CHECK(*status == 400);
    }
    SECTION("calls beyond the longest queue are refused, and an unreachable entry gives no advice")
    {
        int answered = 0;
        int refused = 0;
        for (std::size_t i = 0; i < standin::WorkersStandIn::MaxWaitingAdvice + 8; ++i) {
            AdviceRequest call = request;
            call.timeout = 20s;
            fixture.advice.request(call, {}, [&](const Advice *advice) { ++(advice == nullptr ? refused : answered); });
        }
        fixture.runUntil([&] { return answered + refused == standin::WorkersStandIn::MaxWaitingAdvice + 8; });
        CHECK(answered > 0);
        fixture.advice.setEntry("gone", "127.0.0.1", 9);
        CHECK_FALSE(requestAdvice(request, "gone"));
    }
}
