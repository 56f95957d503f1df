// The clients of platform/ against the stand-in of a deployment, in one process.

#include "clients.h"
#include "standin_workers.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

using namespace briarvane;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds FailureLimit{60};
constexpr Duration CallTimeout{500'000};

struct FirstExecutorHandler
{
    standin::WorkersStandIn &workers;

    void handle(const standin::Request &request, const standin::Reply &reply)
    {
        workers.handleCommand(0, request, reply);
    }
};

/// Two pools of five instances and a spare pool; only the first instance's executor listens.
struct Served
{
    Served()
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
        executors.setExecutor(FirstExecutor, "127.0.0.1", portOf(executorAcceptor), 2);
    }

    static std::uint16_t portOf(const boost::asio::ip::tcp::acceptor &acceptor)
    {
        return acceptor.local_endpoint().port();
    }
    void until(const std::function<bool()> &condition)
    {
        const auto limit = std::chrono::steady_clock::now() + FailureLimit;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > limit) {
                FAIL("the condition does not come to hold");
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
        until([&] { return answer.has_value(); });
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
        until([&] { return answer.has_value(); });
        return *answer;
    }
    static ExecutorCommand command(CommandKind kind, std::uint64_t token, int run = 0)
    {
        ExecutorCommand made;
        made.kind = kind;
        made.executor = FirstExecutor;
        made.fencingToken = token;
        made.task = kind == CommandKind::RenewLeases ? "" : "00000000000000aa.0.0.0";
        made.run = run;
        made.payload = "work_ms=20 cpu=500";
        made.leaseUntilMs = kind == CommandKind::Start ? 1'000'000 : 0;
        made.timeout = CallTimeout;
        return made;
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

TEST_CASE("The store client", "[deployment]")
{
    Served served;
    const StoreReply first = served.commit({{{"a/b c%&", 0}}, {{"a/b c%&", "one \"quoted\" \u00e4", 0}}, {}});
    REQUIRE(first.outcome == StoreOutcome::Done);

    SECTION("a write takes effect only while its precondition holds, and a conflict tells the present state")
    {
        const StoreReply refused = served.commit({{{"a/b c%&", 0}}, {{"a/b c%&", "two", 0}}, {}});
        CHECK(refused.outcome == StoreOutcome::Conflict);
        REQUIRE(refused.items.size() == 1);
        CHECK(refused.items.front().revision == first.revision);
        CHECK(served.read("a/b c%&").items.at(0).value == "one \"quoted\" \u00e4");
        CHECK(served.commit({{{"a/b c%&", first.revision}}, {}, {"a/b c%&"}}).outcome == StoreOutcome::Done);
        CHECK(served.read("a/b c%&").outcome == StoreOutcome::NotFound);
    }
    SECTION("every row of a transaction has its revision, since that of the ownership key is the fencing token")
    {
        const StoreReply both = served.commit({{}, {{"m/own/vendors", "e1", 0}, {"s/vendors/!owner", "e1", 0}}, {}});
        CHECK(served.read("m/own/vendors").items.at(0).revision == both.revision);
        CHECK(served.read("s/vendors/!owner").items.at(0).revision == both.revision);
    }
    SECTION("a range comes in pages")
    {
        const int keys = static_cast<int>(standin::StoreStandIn::PageItems) + 7;
        for (int i = 0; i < keys; ++i) {
            served.store.put("s/" + std::to_string(i), "x");
        }
        const auto page = [&](const std::string &after) {
            return served.wait<StoreReply>(
                [&](auto done) { served.client.range("s/", after, false, CallTimeout, done); });
        };
        const StoreReply begin = page({});
        REQUIRE(begin.truncated);
        const StoreReply rest = page(begin.items.back().key);
        CHECK_FALSE(rest.truncated);
        CHECK(static_cast<int>(begin.items.size() + rest.items.size()) == keys);
    }
    SECTION("a watch tells changes and removals, ends unchanged, and says when its history is gone")
    {
        std::optional<StoreReply> update;
        served.client.watch("a/", first.revision, 30s, [&](const StoreReply &reply) { update = reply; });
        served.store.put("other", "x");
        served.store.remove("a/b c%&");
        served.until([&] { return update.has_value(); });
        REQUIRE(update->items.size() == 1);
        CHECK(update->items.front().removed);
        const StoreReply quiet = served.watch("a/", update->revision, 20ms);
        CHECK(quiet.outcome == StoreOutcome::Done);
        CHECK(quiet.items.empty());
        served.store.compact();
        CHECK(served.watch("a/", first.revision, 20ms).outcome == StoreOutcome::Compacted);
    }
    SECTION("a key on a lease goes with the lease, and no write takes a lease that is over")
    {
        const StoreReply lease = served.wait<StoreReply>([&](auto done) { served.client.grantLease(100ms, done); });
        REQUIRE(served.commit({{}, {{"m/node/e1", "serving 1", lease.lease}}, {}}).outcome == StoreOutcome::Done);
        CHECK(served.wait<StoreReply>([&](auto done) { served.client.renewLease(lease.lease, done); }).outcome
              == StoreOutcome::Done);
        served.until([&] { return served.store.value("m/node/e1") == nullptr; });
        CHECK(served.commit({{}, {{"m/node/e1", "serving 1", lease.lease}}, {}}).outcome == StoreOutcome::NotFound);
        CHECK(served.wait<StoreReply>([&](auto done) { served.client.renewLease(lease.lease, done); }).outcome
              == StoreOutcome::NotFound);
    }
    SECTION("a refused write was not done, one without an answer may have been")
    {
        served.store.faults.failWrites = 1;
        CHECK(served.commit({{}, {{"k", "v", 0}}, {}}).outcome == StoreOutcome::Refused);
        CHECK(served.store.value("k") == nullptr);
        served.store.faults.loseAnswers = 1;
        CHECK(served.commit({{}, {{"k", "v", 0}}, {}}).outcome == StoreOutcome::Unknown);
        CHECK(served.store.value("k") != nullptr);
        served.store.faults.down = true;
        CHECK(served.read("k").outcome == StoreOutcome::Refused);
    }
    SECTION("the operators' keys and transactions that are too long are not taken")
    {
        CHECK(served.commit({{}, {{"op/config", "x", 0}}, {}}).outcome == StoreOutcome::Malformed);
        StoreTxn txn;
        for (std::size_t i = 0; i <= StoreTxn::TxnRows; ++i) {
            txn.removed.push_back("k" + std::to_string(i));
        }
        CHECK(served.commit(txn).outcome == StoreOutcome::Malformed);
    }
}

TEST_CASE("The executor client", "[deployment]")
{
    Served served;
    REQUIRE(served.send(Served::command(CommandKind::Start, 5, 2)).result == CommandResult::Done);

    SECTION("a hold that waits tells the end, until the end was observed")
    {
        ExecutorCommand poll = Served::command(CommandKind::RenewLeases, 5);
        poll.wait = 2s;
        poll.timeout = 3s;
        const auto told = served.send(poll);
        REQUIRE(told.report);
        CHECK(told.report->running.empty());
        REQUIRE(told.report->ended.size() == 1);
        CHECK(told.report->ended.front().how == RunEnd::Done);
        CHECK(told.report->ended.front().run == 2);
        poll.observed = told.report->ended.front().number;
        poll.wait = Duration{0};
        CHECK(served.send(poll).report->ended.empty());
    }
    SECTION("a lower token, a lower run, a lease that is over and another incarnation are told apart")
    {
        CHECK(served.send(Served::command(CommandKind::Stop, 4, 2)).result == CommandResult::Fenced);
        CHECK(served.send(Served::command(CommandKind::Stop, 5, 2)).result == CommandResult::Done);
        served.until([&] { return served.send(Served::command(CommandKind::RenewLeases, 5)).report->running.empty(); });
        CHECK(served.send(Served::command(CommandKind::Start, 5, 2)).result == CommandResult::Superseded);
        ExecutorCommand late = Served::command(CommandKind::Start, 6, 3);
        late.leaseUntilMs = 1;
        CHECK(served.send(late).result == CommandResult::Late);
        CHECK(served.move("vendors-0", "supplies", 1) == platform::InstanceRequestResult::Done);
        served.until([&] { return served.store.value("servers/x-vendors-0-2") != nullptr; });
        CHECK(served.send(Served::command(CommandKind::Start, 6, 3)).result == CommandResult::Replaced);
    }
    SECTION("an executor that has crashed answers nothing")
    {
        standin::Request crash{boost::beast::http::verb::post, "/test/crash?instance=vendors-0", 11};
        served.workers.handle(crash, [](const auto &answer) { REQUIRE(answer->status == 200); });
        CHECK(served.send(Served::command(CommandKind::RenewLeases, 5)).result == CommandResult::Unanswered);
    }
}

TEST_CASE("The stand-in of a deployment judges starts", "[deployment]")
{
    Served served;
    const auto start = [&](std::size_t worker, const std::string &task, int run) {
        standin::Request request{boost::beast::http::verb::post, "/run-start", 11};
        ExecutorCommand command = Served::command(CommandKind::Start, 5, run);
        command.task = task;
        command.payload = "work_ms=20 cpu=2500";
        request.body() = platform::encodeCommand(command);
        served.workers.handleCommand(worker, request, [](const auto &answer) { REQUIRE(answer->status == 200); });
    };
    const auto broken = [&] {
        std::string all;
        served.workers.handle({boost::beast::http::verb::get, "/test/record", 11}, [&all](const auto &answer) {
            for (const auto &what : answer->body.at("broken").as_array()) {
                all += std::string(what.as_string()) + '\n';
            }
        });
        return all;
    };
    const std::string task = "00000000000000aa.0.0.0";
    start(0, task, 1);
    CHECK(broken().empty());

    SECTION("a second run elsewhere")
    {
        start(1, task, 2);
        CHECK(broken() == "two runs at once: " + task + " on vendors-0 and vendors-1\n");
    }
    SECTION("more than the instance holds")
    {
        start(0, "00000000000000aa.0.0.1", 1);
        CHECK(broken() == "over capacity: 00000000000000aa.0.0.1 on vendors-0\n");
    }
    SECTION("a start after the end was noted")
    {
        ExecutorCommand poll = Served::command(CommandKind::RenewLeases, 5);
        poll.wait = 2s;
        poll.timeout = 3s;
        poll.observed = served.send(poll).report->ended.at(0).number;
        poll.wait = Duration{0};
        served.send(poll);
        start(1, task, 2);
        CHECK(broken() == "a start after the end was noted: " + task + "\n");
    }
}

TEST_CASE("The machine client", "[deployment]")
{
    Served served;
    SECTION("all pages are listed; instances of the spare pool have no executor")
    {
        const auto instances = served.list();
        REQUIRE(instances.size() == 15);
        CHECK(instances.front().executor == "x-vendors-0-1");
        CHECK(instances.back().pool == "spare");
        CHECK(instances.back().executor.empty());
        CHECK(instances.back().state == InstanceAvailability::Up);
    }
    SECTION("a move ends what runs there, shows as moving, and brings a new executor to the pool")
    {
        CHECK(served.move("supplies-1", "spare", 7) == platform::InstanceRequestResult::Done);
        CHECK(served.store.value("servers/x-supplies-1-1") == nullptr);
        CHECK(served.list().at(6).state == InstanceAvailability::Moving);
        CHECK(served.move("supplies-1", "spare", 7) == platform::InstanceRequestResult::Done);
        CHECK(served.move("supplies-1", "vendors", 7) == platform::InstanceRequestResult::Busy);
        CHECK(served.move("supplies-1", "vendors", 6) == platform::InstanceRequestResult::Fenced);
        CHECK(served.move("nothing", "vendors", 7) == platform::InstanceRequestResult::Invalid);
    }
    SECTION("maintenance brings the instance back to its pool")
    {
        CHECK(served.wait<platform::InstanceRequestResult>([&](auto done) {
            served.machines.maintain("vendors-1", 3, 1, done);
        }) == platform::InstanceRequestResult::Done);
        CHECK(served.list().at(1).state == InstanceAvailability::Upkeep);
        served.until([&] { return served.store.value("servers/x-vendors-1-2") != nullptr; });
        CHECK(served.list().at(1).pool == "vendors");
    }
}

TEST_CASE("The advice client", "[deployment]")
{
    Served served;
    AdviceRequest request{"00000000000000aa", 0, 0, {}, CallTimeout};
    for (int i = 1; i < 9; ++i) {
        request.executors.push_back("x-vendors-0-" + std::to_string(i));
    }
    const auto ask = [&](const AdviceRequest &call, const std::string &entry) {
        return served.wait<std::optional<Advice>>([&](auto done) {
            served.advice.ask(call, entry, [done](const Advice *advice) {
                done(advice == nullptr ? std::nullopt : std::optional(*advice));
            });
        });
    };

    SECTION("the tickets are those that executors take, and a start without one is told apart")
    {
        const auto advice = ask(request, {});
        REQUIRE(advice);
        CHECK(advice->valid == 3s);
        ExecutorCommand start = Served::command(CommandKind::Start, 5, 2);
        start.payload = "work_ms=20 cpu=500 ticket=1";
        CHECK(served.send(start).result == CommandResult::NoTicket);
        const bool allowed = advice->tickets.contains(Served::FirstExecutor);
        CHECK(ask(request, {})->tickets.contains(Served::FirstExecutor) == allowed);
        start.ticket = allowed ? advice->tickets.at(Served::FirstExecutor) : "of another executor";
        CHECK(served.send(start).result == (allowed ? CommandResult::Done : CommandResult::NoTicket));
    }
    SECTION("another entry passes a call on as it came")
    {
        served.advice.setEntry("e2", "127.0.0.1", Served::portOf(served.machinesAcceptor));
        const auto through = ask(request, "e2");
        REQUIRE(through);
        CHECK(through->tickets.size() == ask(request, {})->tickets.size());
        std::optional<int> status;
        served.advice.forward("not a call", [&](int code, const std::string &) { status = code; });
        served.until([&] { return status.has_value(); });
        CHECK(*status == 400);
    }
    SECTION("calls beyond those that wait are refused, and an entry that is gone answers nothing")
    {
        int answered = 0;
        int refused = 0;
        for (std::size_t i = 0; i < standin::WorkersStandIn::WaitingAdvice + 8; ++i) {
            AdviceRequest call = request;
            call.timeout = 20s;
            served.advice.ask(call, {}, [&](const Advice *advice) { ++(advice == nullptr ? refused : answered); });
        }
        served.until([&] { return answered + refused == standin::WorkersStandIn::WaitingAdvice + 8; });
        CHECK(answered > 0);
        served.advice.setEntry("gone", "127.0.0.1", 9);
        CHECK_FALSE(ask(request, "gone"));
    }
}
