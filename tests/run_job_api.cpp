// What callers are told, against a store that refuses, loses answers and carries writes out late.

#include "job_api.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

using namespace briarvane;
using namespace std::chrono_literals;

namespace
{

/// Calls are kept until the test answers them, so that the order of events is the test's.
class ScriptedStore
{
public:
    struct Call
    {
        std::string kind;
        std::string key;
        StoreTxn txn;
        StoreDone done;
    };

    void read(const std::string &key, Duration, StoreDone done)
    {
        calls.push_back({"read", key, {}, std::move(done)});
    }
    void range(const std::string &prefix, const std::string &, bool, Duration, StoreDone done)
    {
        calls.push_back({"range", prefix, {}, std::move(done)});
    }
    void watch(const std::string &prefix, std::uint64_t, Duration, StoreDone done)
    {
        calls.push_back({"watch", prefix, {}, std::move(done)});
    }
    void commit(const StoreTxn &txn, Duration, StoreDone done)
    {
        calls.push_back({"commit", {}, txn, std::move(done)});
    }
    void grantLease(Duration, StoreDone done)
    {
        calls.push_back({"grant", {}, {}, std::move(done)});
    }
    void renewLease(std::uint64_t, StoreDone done)
    {
        calls.push_back({"renew", {}, {}, std::move(done)});
    }
    void endLease(std::uint64_t, StoreDone done)
    {
        calls.push_back({"end", {}, {}, std::move(done)});
    }

    Call take(const std::string &kind)
    {
        REQUIRE_FALSE(calls.empty());
        Call call = std::move(calls.front());
        calls.pop_front();
        REQUIRE(call.kind == kind);
        return call;
    }
    void answer(const std::string &kind, StoreOutcome outcome, std::vector<StoreItem> items = {})
    {
        StoreReply reply;
        reply.outcome = outcome;
        reply.items = std::move(items);
        take(kind).done(reply);
    }

    std::deque<Call> calls;
};

JobSpec job(const std::string &id)
{
    JobSpec spec;
    spec.id = id;
    spec.queue = "r-1";
    spec.service = "orders";
    spec.steps.resize(1);
    spec.steps[0].count = 1;
    return spec;
}

StoreItem item(const std::string &key, const std::string &value, std::uint64_t revision)
{
    return {key, value, revision, revision, false};
}

std::string record(JobState state)
{
    JobRecord one;
    one.state = state;
    one.spec = job("a");
    return encodeJobRecord(one);
}

}

TEST_CASE("A job is accepted once the store has it")
{
    boost::asio::io_context io;
    Timers timers(io);
    ScriptedStore store;
    JobApi<ScriptedStore> api(store, timers, {});
    std::map<std::string, JobApiOutcome> told;
    const auto submit = [&](const std::string &id) {
        api.submit(job(id), [&told, id](const JobApiReply &reply) { told[id] = reply.outcome; });
    };

    SECTION("nothing is told before that")
    {
        submit("a");
        CHECK(told.empty());
        store.answer("commit", StoreOutcome::Done);
        CHECK(told.at("a") == JobApiOutcome::Done);
    }
    SECTION("jobs that come meanwhile share the next write, each under its own precondition")
    {
        submit("a");
        submit("b");
        submit("c");
        submit("d");
        CHECK(store.calls.size() == 2);
        store.answer("commit", StoreOutcome::Done);
        const auto second = store.take("commit");
        const auto third = store.take("commit");
        CHECK(second.txn.expected.size() == 1);
        CHECK(third.txn.expected.size() == 2);
        CHECK(third.txn.expected[0] == std::pair(keys::jobId("c"), std::uint64_t{0}));
        CHECK(third.txn.rows() <= StoreTxn::TxnRows);
    }
    SECTION("a refused write is told as not run")
    {
        submit("a");
        store.answer("commit", StoreOutcome::Refused);
        CHECK(told.at("a") == JobApiOutcome::NotRun);
    }
    SECTION("a write without an answer is tried once more, and never told as not run")
    {
        submit("a");
        store.answer("commit", StoreOutcome::Unknown);
        CHECK(told.empty());

        SECTION("the first one was done")
        {
            store.answer("commit", StoreOutcome::Conflict, {item(keys::jobId("a"), "orders", 5)});
            CHECK(told.at("a") == JobApiOutcome::Done);
        }
        SECTION("the second one is refused: the first may still be done late")
        {
            store.answer("commit", StoreOutcome::Refused);
            CHECK(told.at("a") == JobApiOutcome::Unknown);
        }
        SECTION("neither is answered")
        {
            store.answer("commit", StoreOutcome::Unknown);
            CHECK(told.at("a") == JobApiOutcome::Unknown);
        }
    }
    SECTION("the same id again is the same job, and does not hold up others in its write")
    {
        submit("x");
        submit("y");
        submit("a");
        submit("b");
        store.answer("commit", StoreOutcome::Done);
        store.answer("commit", StoreOutcome::Done);
        store.answer("commit", StoreOutcome::Conflict,
                     {item(keys::jobId("a"), "orders", 5), {keys::jobId("b"), "", 0}});
        CHECK(told.at("a") == JobApiOutcome::Done);
        CHECK_FALSE(told.contains("b"));
        const auto rest = store.take("commit");
        CHECK(rest.txn.expected.size() == 1);
        rest.done({StoreOutcome::Done});
        CHECK(told.at("b") == JobApiOutcome::Done);
    }
    SECTION("while the store is away jobs are refused at once, without a write")
    {
        submit("a");
        store.answer("commit", StoreOutcome::Refused);
        submit("b");
        store.answer("commit", StoreOutcome::Refused);
        submit("c");
        CHECK(told.at("c") == JobApiOutcome::NotRun);
        CHECK(store.calls.empty());
    }
}

TEST_CASE("A job's state comes from the store")
{
    boost::asio::io_context io;
    Timers timers(io);
    ScriptedStore store;
    JobApi<ScriptedStore> api(store, timers, {});
    std::optional<JobApiReply> told;
    const auto keep = [&told](const JobApiReply &reply) { told = reply; };

    SECTION("a final state needs one read")
    {
        api.state("orders", "a", keep);
        store.answer("read", StoreOutcome::Done, {item("s/orders/a", record(JobState::Completed), 4)});
        CHECK(told->state == JobState::Completed);
    }
    SECTION("an open one is running once it has progress")
    {
        api.state("orders", "a", keep);
        store.answer("read", StoreOutcome::Done, {item("s/orders/a", record(JobState::Pending), 4)});
        store.answer("read", StoreOutcome::Done, {item("p/orders/a", "[]", 5)});
        CHECK(told->state == JobState::Running);
    }
    SECTION("only the store says that a job does not exist")
    {
        api.state("orders", "a", keep);
        store.answer("read", StoreOutcome::NotFound);
        CHECK_FALSE(told);

        SECTION("the id is not known")
        {
            store.answer("read", StoreOutcome::NotFound);
            CHECK(told->outcome == JobApiOutcome::NoSuchJob);
        }
        SECTION("the store does not answer")
        {
            store.answer("read", StoreOutcome::Refused);
            CHECK(told->outcome == JobApiOutcome::NotRun);
        }
        SECTION("the queue had another service when the job came")
        {
            store.answer("read", StoreOutcome::Done, {item("id/a", "stems", 2)});
            CHECK(store.calls.front().key == "s/stems/a");
            store.answer("read", StoreOutcome::Done, {item("s/stems/a", record(JobState::Failed), 4)});
            CHECK(told->state == JobState::Failed);
        }
    }
}

TEST_CASE("A cancellation is told once it is stored")
{
    boost::asio::io_context io;
    Timers timers(io);
    ScriptedStore store;
    JobApi<ScriptedStore> api(store, timers, {});
    std::optional<JobApiReply> told;
    api.cancel("orders", "a", [&told](const JobApiReply &reply) { told = reply; });

    SECTION("a job that is over needs no write")
    {
        store.answer("read", StoreOutcome::Done, {item("s/orders/a", record(JobState::Completed), 4)});
        CHECK(told->state == JobState::Completed);
        CHECK(store.calls.empty());
    }
    SECTION("its owner wrote in between: read again")
    {
        store.answer("read", StoreOutcome::Done, {item("s/orders/a", record(JobState::Pending), 4)});
        store.answer("commit", StoreOutcome::Conflict);
        store.answer("read", StoreOutcome::Done, {item("s/orders/a", record(JobState::Completed), 6)});
        CHECK(told->state == JobState::Completed);
    }
    SECTION("the write may be done: read again before anything is told")
    {
        store.answer("read", StoreOutcome::Done, {item("s/orders/a", record(JobState::Pending), 4)});
        store.answer("commit", StoreOutcome::Unknown);
        CHECK_FALSE(told);
        store.answer("read", StoreOutcome::Done, {item("s/orders/a", record(JobState::Cancelled), 6)});
        CHECK(told->outcome == JobApiOutcome::Done);
    }
}

TEST_CASE("A view of the store misses nothing when its history is gone")
{
    boost::asio::io_context io;
    Timers timers(io);
    ScriptedStore store;
    std::map<std::string, std::string> seen;
    StoreView<ScriptedStore> view(
        store, timers, "s/", {.retryPause = Duration{0}, .watchPause = Duration{0}},
        [&seen](const StoreItem &one) {
            if (one.removed) {
                seen.erase(one.key);
            } else {
                seen[one.key] = one.value;
            }
        },
        [] {});
    const auto settle = [&io] {
        io.restart();
        io.run_for(std::chrono::milliseconds(20));
    };
    view.start();
    StoreReply first;
    first.outcome = StoreOutcome::Done;
    first.revision = 10;
    first.items = {item("s/a", "1", 3), item("s/b", "1", 4)};
    store.take("range").done(first);
    settle();
    CHECK(seen.size() == 2);
    store.answer("watch", StoreOutcome::Compacted);
    StoreReply again;
    again.outcome = StoreOutcome::Done;
    again.revision = 30;
    again.items = {item("s/a", "2", 20), item("s/c", "1", 25)};
    store.take("range").done(again);
    CHECK(seen == std::map<std::string, std::string>{{"s/a", "2"}, {"s/c", "1"}});

    SECTION("an event that was seen in a list is not reported again")
    {
        settle();
        StoreReply event;
        event.outcome = StoreOutcome::Done;
        event.revision = 31;
        event.items = {item("s/a", "old", 15)};
        store.take("watch").done(event);
        CHECK(seen.at("s/a") == "2");
    }
}
