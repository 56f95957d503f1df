// The owner of a partition against a store in memory that loses answers and carries writes out late.

#include "partition_owner.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

using namespace briarvane;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds FailureLimit{60};

/// Transactions with preconditions. The next write under a prefix can be lost: it is not answered, not done, and kept.
class LateStore
{
public:
    explicit LateStore(boost::asio::io_context &io)
        : m_io(io)
    {
    }

    std::uint64_t put(const std::string &key, const std::string &value)
    {
        const bool isNew = !m_items.contains(key);
        StoreItem &item = m_items[key];
        ++m_revision;
        item = {key, value, m_revision, isNew ? m_revision : item.created, false};
        return m_revision;
    }
    std::string value(const std::string &key) const
    {
        const auto found = m_items.find(key);
        return found == m_items.end() ? std::string() : found->second.value;
    }
    void loseNext(const std::string &prefix)
    {
        m_losePrefix = prefix;
    }
    bool hasLost() const
    {
        return !m_late.empty();
    }
    /// What was lost is done now, if its precondition still holds.
    std::vector<StoreOutcome> carryOutLate()
    {
        std::vector<StoreOutcome> outcomes;
        for (const StoreTxn &txn : std::exchange(m_late, {})) {
            outcomes.push_back(apply(txn).outcome);
        }
        return outcomes;
    }

    void read(const std::string &key, Duration /*timeout*/, const StoreDone &done)
    {
        StoreReply reply;
        const auto found = m_items.find(key);
        reply.outcome = found == m_items.end() ? StoreOutcome::NotFound : StoreOutcome::Done;
        if (found != m_items.end()) {
            reply.items.push_back(found->second);
        }
        answer(done, std::move(reply));
    }
    void range(const std::string &prefix, const std::string &after, bool /*stale*/, Duration /*timeout*/,
               const StoreDone &done)
    {
        StoreReply reply;
        reply.outcome = StoreOutcome::Done;
        reply.revision = m_revision;
        for (const auto &[key, item] : m_items) {
            if (key.starts_with(prefix) && key > after) {
                reply.items.push_back(item);
            }
        }
        answer(done, std::move(reply));
    }
    void watch(const std::string & /*prefix*/, std::uint64_t /*after*/, Duration /*wait*/, const StoreDone & /*done*/)
    {
    }
    void commit(const StoreTxn &txn, Duration /*timeout*/, const StoreDone &done)
    {
        const bool lost = !m_losePrefix.empty()
            && std::any_of(txn.writes.begin(), txn.writes.end(),
                           [this](const StoreWrite &write) { return write.key.starts_with(m_losePrefix); });
        if (lost) {
            m_losePrefix.clear();
            m_late.push_back(txn);
            StoreReply reply;
            reply.outcome = StoreOutcome::Unknown;
            answer(done, std::move(reply));
            return;
        }
        answer(done, apply(txn));
    }
    void grantLease(Duration /*ttl*/, const StoreDone & /*done*/)
    {
    }
    void renewLease(std::uint64_t /*lease*/, const StoreDone & /*done*/)
    {
    }
    void endLease(std::uint64_t /*lease*/, const StoreDone & /*done*/)
    {
    }

private:
    std::uint64_t revisionOf(const std::string &key) const
    {
        const auto found = m_items.find(key);
        return found == m_items.end() ? 0 : found->second.revision;
    }
    StoreReply apply(const StoreTxn &txn)
    {
        REQUIRE(txn.rows() <= StoreTxn::TxnRows);
        StoreReply reply;
        reply.outcome = StoreOutcome::Done;
        for (const auto &[key, expected] : txn.expected) {
            if (revisionOf(key) != expected) {
                reply.outcome = StoreOutcome::Conflict;
            }
            if (const auto found = m_items.find(key); found != m_items.end()) {
                reply.items.push_back(found->second);
            }
        }
        if (reply.outcome == StoreOutcome::Conflict) {
            return reply;
        }
        reply.revision = ++m_revision;
        for (const StoreWrite &write : txn.writes) {
            const std::uint64_t created = m_items.contains(write.key) ? m_items[write.key].created : m_revision;
            m_items[write.key] = {write.key, write.value, m_revision, created, false};
        }
        for (const std::string &key : txn.removed) {
            m_items.erase(key);
        }
        return reply;
    }
    void answer(const StoreDone &done, StoreReply reply)
    {
        boost::asio::post(m_io, [done, reply = std::move(reply)] { done(reply); });
    }

    boost::asio::io_context &m_io;
    std::map<std::string, StoreItem> m_items;
    std::uint64_t m_revision = 100;
    std::string m_losePrefix;
    std::vector<StoreTxn> m_late;
};

struct Owned
{
    Owned()
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
        hooks.send = [this](const ExecutorCommand &command, PartitionOwnerHooks::CommandDone done) {
            if (command.kind == CommandKind::Start) {
                running[command.task] = command.run;
            }
            std::erase_if(ended, [&](const EndReport &end) { return end.number <= command.observed; });
            constexpr Duration answerTime = 5ms;
            timers.at(steadyNow() + answerTime, [this, kind = command.kind, done = std::move(done)] {
                ExecutorReport report;
                report.clockMs = 1000;
                report.born = 1;
                for (const auto &[task, run] : running) {
                    report.running.push_back({task, run, {}, 100, 0});
                }
                report.ended = ended;
                done(CommandResult::Done, report.clockMs, kind == CommandKind::RenewLeases ? &report : nullptr);
            });
        };
        hooks.advise = [](const AdviceRequest &, const PartitionOwnerHooks::Advised &) {};
        hooks.know = [](const ExecutorRecord &) {};
        hooks.instances = [](const auto &) {};
        hooks.finished = [](const Scheduler::Finished &) {};
        hooks.lost = [this](const std::string &, std::string_view) { lost = true; };
        owner.emplace(store, timers, "orders", token, keys::Predecessor::None, PartitionOwnerSettings{},
                      std::move(hooks), bootNow(), bootNow());
        ExecutorRecord executor;
        executor.id = "i-1";
        executor.service = "orders";
        executor.capacity = {8000, 8000, 0};
        owner->start();
        owner->setExecutors({executor});
        until([this] { return running.size() == 3; });
    }

    void end(int index, RunEnd how)
    {
        const std::string task = "00000000000000aa.0.0." + std::to_string(index);
        ended.push_back({++number, task, running.at(task), how, {}});
        running.erase(task);
    }
    void until(const std::function<bool()> &condition)
    {
        const auto limit = std::chrono::steady_clock::now() + FailureLimit;
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
    LateStore store{io};
    std::uint64_t token = 0;
    std::map<std::string, int> running;
    std::vector<EndReport> ended;
    std::uint64_t number = 0;
    bool lost = false;
    std::optional<PartitionOwner<LateStore>> owner;
};

}

TEST_CASE("A write that is carried out late undoes nothing")
{
    Owned owned;
    SECTION("progress of a job: an end that was noted stays")
    {
        // Two ends were noted after the lost write, which held neither; the next owner started both tasks again.
        owned.store.loseNext(keys::progressOf("orders"));
        owned.end(0, RunEnd::Done);
        owned.until([&] { return owned.store.hasLost() && owned.progress(0).done; });
        owned.end(1, RunEnd::Done);
        owned.until([&] { return owned.progress(1).done && owned.ended.empty(); });
        CHECK(owned.store.carryOutLate() == std::vector<StoreOutcome>{StoreOutcome::Conflict});
        CHECK(owned.progress(0).done);
        CHECK(owned.progress(1).done);
    }
    SECTION("the executors that may have runs: none is forgotten")
    {
        owned.store.loseNext(keys::usedExecutors("orders"));
        std::vector<ExecutorRecord> executors(2);
        executors[0].id = "i-1";
        executors[1].id = "i-2";
        executors[0].service = executors[1].service = "orders";
        owned.owner->setExecutors(executors);
        owned.until([&] { return owned.store.hasLost(); });
        executors.push_back(executors[1]);
        executors[2].id = "i-3";
        owned.until([&] {
            owned.owner->setExecutors(executors);
            return owned.store.value(keys::usedExecutors("orders")).find("i-3") != std::string::npos;
        });
        owned.store.carryOutLate();
        CHECK(owned.store.value(keys::usedExecutors("orders")).find("i-3") != std::string::npos);
    }
    CHECK_FALSE(owned.lost);
}

TEST_CASE("A conflict is the loss of the share only when another owner has it")
{
    Owned owned;
    SECTION("a key that changed under the owner is written at its present revision")
    {
        owned.store.put(keys::progress("orders", "00000000000000aa"), "[]");
        owned.end(0, RunEnd::Done);
        owned.until([&] { return owned.progress(0).done && owned.ended.empty(); });
        CHECK_FALSE(owned.lost);
    }
    SECTION("another owner: nothing is written any more")
    {
        owned.store.put(keys::owner("orders"), "e2");
        const std::string before = owned.store.value(keys::progress("orders", "00000000000000aa"));
        owned.end(0, RunEnd::Done);
        owned.until([&] { return owned.lost; });
        CHECK(owned.store.value(keys::progress("orders", "00000000000000aa")) == before);
    }
}

TEST_CASE("A share is given back once, by the entry that had it")
{
    boost::asio::io_context io;
    Timers timers(io);
    LateStore store(io);
    const std::uint64_t token = store.put(keys::owner("orders"), "e1");
    const auto runFor = [&io](Duration time) { io.run_for(std::chrono::microseconds(time.count())); };

    SECTION("an answer is lost and another entry takes the share: the repetition leaves it alone")
    {
        // The repetition named the revision that was current by then, and so ended the successor's ownership.
        store.loseNext(keys::jobs("orders"));
        releasePartition(store, timers, "orders", token);
        runFor(20ms);
        REQUIRE(store.hasLost());
        CHECK(store.carryOutLate() == std::vector<StoreOutcome>{StoreOutcome::Done});
        store.put(keys::owner("orders"), "e2");
        store.put(keys::ownershipMarker("orders"), "e2");
        runFor(ReleaseRetry + 200ms);
        CHECK(store.value(keys::owner("orders")) == "e2");
        CHECK(store.value(keys::ownershipMarker("orders")) == "e2");
    }
    SECTION("the write was not done: it is repeated until it is")
    {
        store.loseNext(keys::jobs("orders"));
        releasePartition(store, timers, "orders", token);
        runFor(20ms);
        CHECK(store.value(keys::owner("orders")) == "e1");
        runFor(ReleaseRetry + 200ms);
        CHECK(store.value(keys::owner("orders")).empty());
        CHECK(store.value(keys::ownershipMarker("orders")) == keys::ReleasedMarker);
    }
}

TEST_CASE("A share that another entry has is not taken from it")
{
    boost::asio::io_context io;
    LateStore store(io);
    std::optional<std::uint64_t> vacant = 0;
    std::optional<std::optional<Acquisition>> taken;
    const auto acquire = [&] {
        acquirePartition(
            store, "orders", "e1", 7, [&] { return vacant; },
            [&](const std::optional<Acquisition> &acquired) { taken = acquired; });
    };
    const auto finish = [&] {
        for (int turns = 0; turns < 10 && !taken; ++turns) {
            io.restart();
            io.run();
        }
        REQUIRE(taken);
        return *taken;
    };

    SECTION("it was vacant when the mark was asked for, and taken when the answer came")
    {
        // The revision of the new owner's key was expected then, so its partition was taken from it while it was at
        // work.
        store.put(keys::ownershipMarker("orders"), std::string(keys::ReleasedMarker));
        acquire();
        vacant = std::nullopt;
        store.put(keys::owner("orders"), "e2");
        CHECK_FALSE(finish());
        CHECK(store.value(keys::owner("orders")) == "e2");
    }
    SECTION("it is taken before the watch tells: the write has no effect")
    {
        acquire();
        store.put(keys::owner("orders"), "e2");
        CHECK_FALSE(finish());
        CHECK(store.value(keys::owner("orders")) == "e2");
    }
    SECTION("it is vacant: the mark tells what the predecessor did")
    {
        acquire();
        const auto first = finish();
        REQUIRE(first);
        CHECK(first->predecessor == keys::Predecessor::None);
        vacant = first->fencingToken;
        taken.reset();
        acquire();
        const auto second = finish();
        REQUIRE(second);
        CHECK(second->predecessor == keys::Predecessor::Lost);
        CHECK(second->fencingToken > first->fencingToken);
    }
    SECTION("the answer to the write is lost: whether it was done is read")
    {
        store.loseNext(keys::Owners);
        acquire();
        CHECK_FALSE(finish());
        CHECK(store.carryOutLate() == std::vector<StoreOutcome>{StoreOutcome::Done});
    }
}
