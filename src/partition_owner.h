#pragma once

// Runs the scheduler of one partition while this entry owns it: loads its jobs, sends its commands, stores its
// progress.
//
// Index
// [1] Settings
// [2] What an owner needs from its entry
// [3] The owner

#include "boot_clock.h"
#include "job_keys.h"
#include "log.h"
#include "ownership_guard.h"
#include "partition_ownership.h"
#include "scheduler.h"
#include "store_view.h"

#include <boost/json.hpp>

#include <deque>
#include <set>

namespace briarvane
{

// [1] Settings --------------------------------------------------------------------------------------------------------

struct PartitionOwnerSettings
{
    SchedulerSettings scheduler;
    Duration tickPeriod{50'000};          // longest time between two looks at bounds and retries
    Duration confirmPeriod{800'000};      // ownership is proven this often when no write proves it
    Duration storeTimeout{700'000};       // of reads and writes; a slow store takes up to 250 ms
    Duration retryPause{120'000};         // after a failed store call
    Duration countsPeriod{700'000};       // waiting jobs are published this often; callers may see 2 s old counts
    Duration loadPeriod{250'000};         // of the load that capacity follows; a burst lasts some seconds
    Duration instancesPeriod{1'000'000};  // of asking for the instances while executors of an earlier owner are silent
    Duration loadRefresh{1'500'000};      // an unchanged load is told again
    Duration summaryPeriod{1'000'000};    // of the line in the log that tells what placement can use
    Duration usedPeriod{1'000'000};       // the recorded executors are pruned at most this often
    Duration keepFinal{180'000'000};      // final states stay readable this long
};

// [2] What an owner needs from its entry ------------------------------------------------------------------------------

/// `send` completes with the executor's report after RenewLeases, or null.
struct PartitionOwnerHooks
{
    using CommandDone = std::function<void(CommandResult, std::int64_t clockMs, const ExecutorReport *report)>;
    using Advised = std::function<void(const Advice *)>;  // null: refused or not answered
    std::function<void(const ExecutorCommand &, CommandDone)> send;
    std::function<void(const AdviceRequest &, Advised)> advise;
    std::function<void(const ExecutorRecord &)> know;  // before the first command to an executor
    std::function<void(std::function<void(const Result<std::vector<PooledInstance>> &)>)> instances;  // lists all
    std::function<void(const Scheduler::Finished &)> finished;
    std::function<void(const std::string &partition, std::string_view why)> lost;  // the entry destroys the owner later
};

// [3] The owner -------------------------------------------------------------------------------------------------------

template<Store S>
class PartitionOwner : private OwnershipGuard
{
public:
    PartitionOwner(S &store, Timers &timers, std::string partition, std::uint64_t fencingToken,
                   keys::Predecessor predecessor, PartitionOwnerSettings settings, PartitionOwnerHooks hooks,
                   TimePoint acquiredAt, TimePoint provenAt)
        : OwnershipGuard(timers, fencingToken)
        , m_store(store)
        , m_writer(store, keys::owner(partition), fencingToken)
        , m_timers(timers)
        , m_partition(std::move(partition))
        , m_settings(settings)
        , m_hooks(std::move(hooks))
        , m_scheduler(settings.scheduler, m_partition, fencingToken, inheritance(predecessor, settings, acquiredAt))
        , m_jobs(
              store, timers, keys::jobs(m_partition), {}, [this](const StoreItem &item) { jobChanged(item); },
              [this] { jobsRefreshed(); })
    {
        m_scheduler.confirmed(provenAt);
    }
    using OwnershipGuard::fencingToken;

    void start()
    {
        loadProgress({});
    }

    void setExecutors(const std::vector<ExecutorRecord> &records)
    {
        m_listed.clear();
        for (const ExecutorRecord &record : records) {
            if (record.service == m_partition) {
                m_listed.push_back(record);
            }
        }
        m_haveList = true;
        recordExecutors();
    }

    void setVacating(const std::unordered_set<std::string> &executors, std::uint64_t listRevision)
    {
        m_vacatingRevision = listRevision;
        m_scheduler.setVacating(executors, bootNow());
        wake();
    }

    void setMostAdviceCalls(int calls)
    {
        m_scheduler.setMostAdviceCalls(calls);
    }

    const Scheduler &scheduler() const
    {
        return m_scheduler;
    }
    const std::string &partition() const
    {
        return m_partition;
    }

private:
    /// An owner that lost its partition may go on until it notices; one that gave it back has stopped.
    static Inheritance inheritance(keys::Predecessor predecessor, const PartitionOwnerSettings &settings,
                                   TimePoint acquiredAt)
    {
        const SchedulerSettings &scheduler = settings.scheduler;
        const auto lease = Duration(
            static_cast<std::int64_t>(static_cast<double>(scheduler.lease.count()) / (1 - scheduler.clockSlowdown)));
        switch (predecessor) {
        case keys::Predecessor::None:
            return {acquiredAt, acquiredAt};
        case keys::Predecessor::Released:
            return {acquiredAt, acquiredAt + lease + scheduler.leaseMargin};
        case keys::Predecessor::Lost:
            break;
        }
        const TimePoint commandsUntil = acquiredAt + scheduler.unconfirmedLimit;
        return {commandsUntil, commandsUntil + lease + scheduler.leaseMargin};
    }

    void lose(std::string_view why)
    {
        if (!std::exchange(m_lost, true)) {
            m_hooks.lost(m_partition, why);
        }
    }

    // Loading

    void loadProgress(const std::string &after)
    {
        m_store.range(keys::progressOf(m_partition), after, false, m_settings.storeTimeout,
                      guarded([this, after](const StoreReply &reply) {
                          if (reply.outcome != StoreOutcome::Done) {
                              later(m_settings.retryPause, [this, after] { loadProgress(after); });
                              return;
                          }
                          const std::size_t prefix = keys::progressOf(m_partition).size();
                          for (const StoreItem &item : reply.items) {
                              auto progress = parseProgress(item.value);
                              if (!progress) {
                                  logEvent(LogLevel::Error, "progress-unreadable", {{"key", item.key}});
                                  continue;
                              }
                              m_loadedProgress[item.key.substr(prefix)] = std::move(progress.value());
                              m_writer.know(item.key, item.revision);
                          }
                          if (reply.truncated && !reply.items.empty()) {
                              loadProgress(reply.items.back().key);
                          } else {
                              loadUsed();
                          }
                      }));
    }

    void loadUsed()
    {
        m_store.read(keys::usedExecutors(m_partition), m_settings.storeTimeout,
                     guarded([this](const StoreReply &reply) {
                         if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
                             m_writer.know(reply.items.front().key, reply.items.front().revision);
                             readUsed(reply.items.front().value);
                         } else if (reply.outcome != StoreOutcome::NotFound) {
                             later(m_settings.retryPause, [this] { loadUsed(); });
                             return;
                         }
                         m_jobs.start();
                     }));
    }

    void readUsed(const std::string &text)
    {
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(text, error);
        if (error || !value.is_array()) {
            logEvent(LogLevel::Error, "used-executors-unreadable", {{"share", m_partition}});
            return;
        }
        for (const boost::json::value &entry : value.get_array()) {
            const boost::json::array &row = entry.as_array();
            ExecutorRecord record;
            record.id = row.at(0).as_string();
            record.address = row.at(1).as_string();
            record.port = static_cast<std::uint16_t>(row.at(2).as_int64());
            record.born = row.at(3).as_int64();
            record.service = m_partition;
            m_used.insert(record.id);
            m_hooks.know(record);
            m_scheduler.inheritExecutor(record, bootNow());
        }
    }

    void jobChanged(const StoreItem &item)
    {
        const std::string id = item.key.substr(keys::jobs(m_partition).size());
        if (item.key == keys::ownershipMarker(m_partition)) {
            if (item.revision > fencingToken()) {
                lose("another-owner");
            }
            return;
        }
        if (item.removed) {
            return;
        }
        auto record = parseJobRecord(id, item.value);
        if (!record) {
            logEvent(LogLevel::Error, "job-unreadable", {{"job", id}});
            return;
        }
        const TimePoint now = bootNow();
        if (isFinal(record.value().state)) {
            if (record.value().state == JobState::Cancelled) {
                m_scheduler.endJob(id, JobState::Cancelled, now);
            }
            const std::int64_t wall = wallNowMs();
            const std::int64_t age = std::clamp<std::int64_t>(wall - record.value().endedMs, 0, 600'000);
            m_final.emplace_back(now - std::chrono::milliseconds(age), id);
            return;
        }
        const auto progress = m_loadedProgress.find(id);
        const bool inherited = item.created < fencingToken();
        m_scheduler.addJob(std::move(record.value().spec), item.revision,
                           progress == m_loadedProgress.end() ? nullptr : &progress->second, inherited, now,
                           wallNowMs());
    }

    void jobsRefreshed()
    {
        if (!m_loaded) {
            m_loaded = true;
            m_loadedProgress.clear();
            logEvent(LogLevel::Info, "share-loaded",
                     {{"share", m_partition},
                      {"token", std::to_string(fencingToken())},
                      {"jobs", std::to_string(m_scheduler.openJobs())},
                      {"used_executors", std::to_string(m_used.size())}});
            recordExecutors();
            confirm();
            publishCounts();
            publishLoad();
            summarize();
            collectGarbage();
            askInstances();
        }
        wake();
    }

    // Executors

    /// Executors that ended by a move or an upkeep answer no more; the list of instances tells it sooner than time
    /// does.
    void askInstances()
    {
        const TimePoint askedAt = bootNow();
        if (!m_scheduler.waitsForInherited()) {
            return;
        }
        if (!m_scheduler.wantsInstances(askedAt)) {
            later(m_settings.instancesPeriod, [this] { askInstances(); });
            return;
        }
        m_hooks.instances(guarded([this, askedAt](const Result<std::vector<PooledInstance>> &listed) {
            if (listed) {
                m_scheduler.setInstances(listed.value(), askedAt, bootNow());
                wake();
            } else {
                logRepeated(LogLevel::Warn, "machines-not-listed", m_partition, {{"why", listed.error().message}});
            }
            later(m_settings.instancesPeriod, [this] { askInstances(); });
        }));
    }

    /// An executor is recorded before its first command, so that the next owner knows where runs may be.
    void recordExecutors()
    {
        if (!m_loaded || !m_haveList || m_recording) {
            return;
        }
        std::map<std::string, const ExecutorRecord *> wanted;
        bool added = false;
        for (const ExecutorRecord &record : m_listed) {
            wanted[record.id] = &record;
            added = added || !m_used.contains(record.id);
        }
        for (const auto &[id, executor] : m_scheduler.executors()) {
            wanted.try_emplace(id, &executor.record);
        }
        const bool removed = std::any_of(m_used.begin(), m_used.end(),
                                         [&wanted](const std::string &id) { return !wanted.contains(id); });
        const TimePoint now = bootNow();
        if (!added && (!removed || now - m_recordedAt < m_settings.usedPeriod)) {
            useExecutors();
            return;
        }
        m_recording = true;
        m_recordedAt = now;
        boost::json::array rows;
        auto ids = std::make_shared<std::set<std::string>>();
        for (const auto &[id, record] : wanted) {
            rows.push_back({id, record->address, static_cast<std::int64_t>(record->port), record->born});
            ids->insert(id);
        }
        StoreTxn txn;
        txn.writes.push_back({keys::usedExecutors(m_partition), boost::json::serialize(rows), 0});
        write(std::move(txn), [this, ids](const StoreReply &reply) {
            m_recording = false;
            if (reply.outcome == StoreOutcome::Done) {
                m_used = *ids;
                useExecutors();
            } else {
                later(m_settings.retryPause, [this] { recordExecutors(); });
            }
        });
    }

    void useExecutors()
    {
        std::vector<ExecutorRecord> usable;
        for (const ExecutorRecord &record : m_listed) {
            if (m_used.contains(record.id)) {
                m_hooks.know(record);
                usable.push_back(record);
            }
        }
        m_scheduler.setExecutors(usable, bootNow());
        wake();
    }

    // Running

    /// Joins the events of one turn of the loop into one pass over the scheduler.
    void wake()
    {
        if (!m_loaded || m_lost || std::exchange(m_waking, true)) {
            return;
        }
        later(Duration{0}, [this] {
            m_waking = false;
            pass();
        });
    }

    void pass()
    {
        if (m_lost) {
            return;
        }
        const TimePoint now = bootNow();
        m_scheduler.tick(now, wallNowMs());
        for (const ExecutorCommand &command : m_scheduler.takeCommands()) {
            send(command, now);
        }
        for (const AdviceRequest &request : m_scheduler.takeAdviceRequests()) {
            ask(request, now);
        }
        for (const Decision &decision : m_scheduler.takeDecisions()) {
            logEvent(LogLevel::Info, decision.event,
                     {{"job", decision.job}, {"share", m_partition}, {"inputs", decision.detail}});
        }
        for (const auto &finished : m_scheduler.takeFinished()) {
            m_hooks.finished(finished);
        }
        if (auto batch = m_scheduler.takeCommit(now, wallNowMs())) {
            store(std::move(*batch));
        }
        if (m_scheduler.deposed()) {
            lose("fenced");
            return;
        }
        publishVacated();
        if (m_scheduler.wantsProof() && !m_confirming) {
            confirm();
        }
        const TimePoint latest = now + m_settings.tickPeriod;
        const TimePoint next = std::min(latest, m_scheduler.nextWake(now).value_or(latest));
        const TimePoint steady = steadyNow() + std::max(Duration{1000}, next - now);
        if (m_wakeKey.second != 0 && steady >= m_wakeAt && m_wakeAt > steadyNow()) {
            return;
        }
        m_timers.cancel(m_wakeKey);
        m_wakeAt = steady;
        m_wakeKey = m_timers.at(steady, guarded([this] {
                                    m_wakeKey = {};
                                    pass();
                                }));
    }

    void send(const ExecutorCommand &command, TimePoint sentAt)
    {
        m_hooks.send(
            command,
            guarded([this, command, sentAt](CommandResult result, std::int64_t clockMs, const ExecutorReport *report) {
                const TimePoint now = bootNow();
                if (command.kind != CommandKind::RenewLeases) {
                    m_scheduler.answered(command, result, clockMs, now);
                } else if (report != nullptr) {
                    m_scheduler.reported(command.executor, *report, sentAt, now);
                } else {
                    m_scheduler.reportPollFailed(command.executor, result, now);
                }
                wake();
            }));
    }

    void ask(const AdviceRequest &request, TimePoint sentAt)
    {
        m_hooks.advise(request, guarded([this, request, sentAt](const Advice *advice) {
                           m_scheduler.advised(request, advice, sentAt, bootNow());
                           wake();
                       }));
    }

    // Store

    /// A write that proves the ownership. `done` is not called once another owner has the partition.
    template<class F>
    void write(StoreTxn txn, F done)
    {
        const TimePoint sentAt = bootNow();
        m_writer.commit(std::move(txn), m_settings.storeTimeout,
                        guarded([this, sentAt, done](const StoreReply &reply, bool deposed) mutable {
                            if (deposed) {
                                lose("precondition");
                                return;
                            }
                            if (reply.outcome == StoreOutcome::Done) {
                                m_scheduler.confirmed(sentAt);
                            }
                            done(reply);
                        }));
    }

    struct Commit
    {
        std::uint64_t generation = 0;
        std::deque<JobWrite> left;
    };

    void store(CommitBatch batch)
    {
        auto commit = std::make_shared<Commit>();
        commit->generation = batch.generation;
        commit->left.assign(std::make_move_iterator(batch.writes.begin()), std::make_move_iterator(batch.writes.end()));
        storeNext(commit);
    }

    void storeNext(const std::shared_ptr<Commit> &commit)
    {
        if (m_lost) {
            return;
        }
        if (commit->left.empty()) {
            m_scheduler.committed(commit->generation, bootNow());
            wake();
            return;
        }
        StoreTxn txn;
        auto taken = std::make_shared<std::vector<JobWrite>>();
        constexpr std::size_t rowsPerJob = 4;  // record and progress, each with its precondition; one for the ownership
        while (!commit->left.empty() && (taken->size() + 1) * rowsPerJob < StoreTxn::TxnRows) {
            JobWrite next = std::move(commit->left.front());
            commit->left.pop_front();
            if (!next.finalRecord.empty()) {
                txn.expected.emplace_back(keys::job(m_partition, next.job), next.revision);
                txn.writes.push_back({keys::job(m_partition, next.job), next.finalRecord, 0});
            }
            if (next.progress.empty()) {
                txn.removed.push_back(keys::progress(m_partition, next.job));
            } else {
                txn.writes.push_back({keys::progress(m_partition, next.job), next.progress, 0});
            }
            taken->push_back(std::move(next));
        }
        write(std::move(txn), [this, commit, taken](const StoreReply &reply) { stored(commit, *taken, reply); });
    }

    void stored(const std::shared_ptr<Commit> &commit, std::vector<JobWrite> &taken, const StoreReply &reply)
    {
        const auto putBack = [&] {
            for (auto write = taken.rbegin(); write != taken.rend(); ++write) {
                commit->left.push_front(std::move(*write));
            }
        };
        switch (reply.outcome) {
        case StoreOutcome::Done:
            storeNext(commit);
            return;
        case StoreOutcome::Conflict: {
            std::map<std::string, std::uint64_t> current;
            for (const StoreItem &item : reply.items) {
                current[item.key] = item.revision;
            }
            // A job whose record changed was cancelled by its caller, or an earlier try of this write was done.
            std::erase_if(taken, [&](const JobWrite &write) {
                return !write.finalRecord.empty() && current[keys::job(m_partition, write.job)] != write.revision;
            });
            putBack();
            storeNext(commit);
            return;
        }
        case StoreOutcome::Malformed:
            logEvent(LogLevel::Error, "commit-malformed", {{"share", m_partition}});
            [[fallthrough]];
        default:
            putBack();
            later(m_settings.retryPause, [this, commit] { storeNext(commit); });
        }
    }

    /// Proves the ownership by a read when no write has done so lately, or at once when executors wait for it.
    void confirm()
    {
        m_timers.cancel(m_confirmKey);
        m_confirming = true;
        const TimePoint sentAt = bootNow();
        m_store.read(keys::owner(m_partition), m_settings.storeTimeout,
                     guarded([this, sentAt](const StoreReply &reply) {
                         m_confirming = false;
                         if (isDeposed(reply)) {
                             lose("ownership-key-gone");
                             return;
                         }
                         const bool done = reply.outcome == StoreOutcome::Done;
                         if (done) {
                             m_scheduler.confirmed(sentAt);
                             wake();
                         }
                         const Duration pause = done ? m_settings.confirmPeriod : m_settings.retryPause;
                         m_confirmKey = later(pause, [this] {
                             m_confirmKey = {};
                             confirm();
                         });
                     }));
    }

    /// Tells the fleet's owner what the pool needs.
    void publishLoad()
    {
        const TimePoint now = bootNow();
        PoolLoad load = m_scheduler.load(now);
        constexpr int grain = 8000;  // milli-cores: smaller changes move no instance
        const auto coarse = [](int cores) { return (cores + grain - 1) / grain * grain; };
        load.wantedMilliCores = coarse(load.wantedMilliCores);
        for (auto &[label, cores] : load.wantedWithLabel) {
            cores = coarse(cores);
        }
        std::string text = encodePoolLoad(load);
        if (text == m_publishedLoad && now - m_loadAt < m_settings.loadRefresh) {
            later(m_settings.loadPeriod, [this] { publishLoad(); });
            return;
        }
        StoreTxn txn;
        txn.writes.push_back({keys::load(m_partition), text, 0});
        write(std::move(txn), [this, text = std::move(text), now](const StoreReply &reply) {
            if (reply.outcome == StoreOutcome::Done) {
                m_publishedLoad = text;
                m_loadAt = now;
            }
            later(m_settings.loadPeriod, [this] { publishLoad(); });
        });
    }

    void summarize()
    {
        logEvent(LogLevel::Info, "share-state", {{"share", m_partition}, {"state", m_scheduler.summary(bootNow())}});
        later(m_settings.summaryPeriod, [this] { summarize(); });
    }

    void publishCounts()
    {
        boost::json::object counts;
        for (const auto &[queue, waiting] : m_scheduler.waitingPerQueue()) {
            counts[queue] = waiting;
        }
        std::string text = boost::json::serialize(counts);
        if (text == m_publishedCounts) {
            later(m_settings.countsPeriod, [this] { publishCounts(); });
            return;
        }
        StoreTxn txn;
        txn.writes.push_back({keys::waiting(m_partition), text, 0});
        write(std::move(txn), [this, text = std::move(text)](const StoreReply &reply) {
            if (reply.outcome == StoreOutcome::Done) {
                m_publishedCounts = text;
            }
            const bool again = reply.outcome == StoreOutcome::Conflict;  // the key was not known as it is
            later(again ? m_settings.retryPause : m_settings.countsPeriod, [this] { publishCounts(); });
        });
    }

    void publishVacated()
    {
        const std::vector<std::string> ids = m_scheduler.vacated();
        const bool same = ids == m_vacated && (ids.empty() || m_vacatedRevision == m_vacatingRevision);
        if (m_publishingVacated || same) {
            return;
        }
        const VacatedReport report{m_vacatingRevision, {ids.begin(), ids.end()}};
        m_publishingVacated = true;
        StoreTxn txn;
        txn.writes.push_back({keys::vacated(m_partition), encodeVacatedReport(report), 0});
        write(std::move(txn), [this, ids, revision = report.listRevision](const StoreReply &reply) {
            m_publishingVacated = false;
            if (reply.outcome == StoreOutcome::Done) {
                m_vacated = ids;
                m_vacatedRevision = revision;
            }
        });
    }

    /// Removes final states that nobody asks for any more.
    void collectGarbage()
    {
        const TimePoint now = bootNow();
        StoreTxn txn;
        txn.expected.emplace_back(keys::owner(m_partition), fencingToken());
        constexpr std::size_t rowsPerJob = 2;
        while (!m_final.empty() && now - m_final.front().first > m_settings.keepFinal
               && txn.rows() + rowsPerJob <= StoreTxn::TxnRows) {
            txn.removed.push_back(keys::job(m_partition, m_final.front().second));
            txn.removed.push_back(keys::jobId(m_final.front().second));
            m_final.pop_front();
        }
        if (!txn.removed.empty()) {
            m_store.commit(txn, m_settings.storeTimeout, guarded([this](const StoreReply &reply) {
                               if (reply.outcome != StoreOutcome::Done) {
                                   logRepeated(LogLevel::Warn, "garbage-kept", m_partition,
                                               {{"why", std::string(toString(reply.outcome))}});
                               }
                           }));
        }
        later(m_settings.usedPeriod * 2, [this] {
            recordExecutors();
            collectGarbage();
        });
    }

    S &m_store;
    FencedWriter<S> m_writer;
    Timers &m_timers;
    std::string m_partition;
    PartitionOwnerSettings m_settings;
    PartitionOwnerHooks m_hooks;
    Scheduler m_scheduler;
    StoreView<S> m_jobs;
    std::map<std::string, JobProgress> m_loadedProgress;
    std::vector<ExecutorRecord> m_listed;
    std::set<std::string> m_used;                       // recorded in the store
    std::optional<std::vector<std::string>> m_vacated;  // as published by this owner
    std::uint64_t m_vacatedRevision = 0;                // of the list that it answered
    std::uint64_t m_vacatingRevision = 0;
    std::deque<std::pair<TimePoint, std::string>> m_final;
    std::string m_publishedCounts;
    std::string m_publishedLoad;
    TimePoint m_loadAt;
    TimePoint m_recordedAt;
    Timers::Key m_wakeKey{};
    Timers::Key m_confirmKey{};
    bool m_confirming = false;
    TimePoint m_wakeAt;
    bool m_loaded = false;
    bool m_haveList = false;
    bool m_recording = false;
    bool m_publishingVacated = false;
    bool m_waking = false;
    bool m_lost = false;
};

}
