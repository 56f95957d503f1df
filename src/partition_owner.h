#pragma once

// Runs the scheduler of one partition while this entry owns the partition: loads the jobs, sends the scheduler's
// commands to executors and stores the progress of the jobs.
//
// Index
// [1] Settings
// [2] Hooks to the entry
// [3] The owner

#include "boot_clock.h"
#include "job_keys.h"
#include "log.h"
#include "ownership_guard.h"
#include "partition_ownership.h"
#include "partitions.h"
#include "scheduler.h"
#include "store_view.h"

#include <boost/json.hpp>

#include <deque>
#include <set>
#include <tuple>
#include <unordered_map>

namespace briarvane
{

// [1] Settings --------------------------------------------------------------------------------------------------------

struct PartitionOwnerSettings
{
    SchedulerSettings scheduler;
    Duration tickPeriod{50'000};  // longest time between two passes, which check deadlines and retries
    /// Shortest time between two passes. A pass visits all executors and open jobs, so in a burst the events of several
    /// milliseconds are handled by one pass.
    Duration passGap{5'000};
    Duration confirmPeriod{800'000};  // time between reads of the ownership key, which confirm the ownership
    Duration storeTimeout{700'000};   // timeout of one read or write; a slow store takes up to 250 ms
    Duration retryPause{120'000};     // pause after a failed call to the store
    /// Pause after a write that the store rejected as invalid, which the same write cannot change.
    Duration rejectedPause{5'000'000};
    /// Time between publications of the counts of waiting jobs. Callers accept counts that are up to 2 s old.
    Duration waitingCountsPeriod{700'000};
    /// Time between publications of the load that pool sizes follow. Bursts last some seconds.
    Duration loadPeriod{250'000};
    /// Time between publications of the backlog. All entries watch it, so it is published only while work waits for
    /// longer than `backlogWait`.
    Duration backlogPeriod{1'000'000};
    Duration backlogWait{1'500'000};
    Duration backlogRefresh{2'000'000};  // an unchanged backlog is published again after this time
    /// Time between requests for the instance list while recorded executors do not answer.
    Duration instanceListPeriod{1'000'000};
    /// Time between reports on the use of quotas while nothing waits for them.
    Duration quotaReportPeriod{1'000'000};
    Duration loadRefresh{1'500'000};              // an unchanged load is published again after this time
    Duration summaryPeriod{1'000'000};            // between log lines with the resources that placement can use
    Duration recordedExecutorsPeriod{1'000'000};  // shortest time between two removals from the recorded executors
    Duration finalStateRetention{180'000'000};    // time for which callers can read a job's final state
    /// Time between searches for jobs that only another partition of the service can run.
    Duration transferPeriod{500'000};
    std::size_t maxTransfers = 8;  // at the same time; each needs two calls to the store
};

// [2] Hooks to the entry ----------------------------------------------------------------------------------------------

struct PartitionOwnerHooks
{
    /// `report` is null unless the command was RenewLeases and the executor answered it.
    using CommandDone = std::function<void(CommandResult, std::int64_t clockMs, const ExecutorReport *report)>;
    using AdviceDone = std::function<void(const Advice *)>;  // null: the call was refused or not answered

    std::function<void(const ExecutorCommand &, CommandDone)> sendCommand;
    std::function<void(const AdviceRequest &, AdviceDone)> requestAdvice;
    std::function<void(const ExecutorRecord &)> registerExecutor;  // called before the first command to an executor
    /// Lists the instances of all pools.
    std::function<void(std::function<void(const Result<std::vector<PooledInstance>> &)>)> listInstances;
    std::function<void(const Scheduler::Finished &)> jobFinished;
    std::function<std::uint64_t()> lease;  // lease that the backlog is bound to; 0: none at present
    /// The entry must destroy the owner after the hook has returned, since the owner is the caller.
    std::function<void(const std::string &partition, std::string_view why)> ownershipLost;
};

// [3] The owner -------------------------------------------------------------------------------------------------------

template<Store S>
class PartitionOwner : private OwnershipGuard
{
public:
    PartitionOwner(S &store, Timers &timers, const Partition &partition, std::uint64_t fencingToken,
                   keys::Predecessor predecessor, PartitionOwnerSettings settings, PartitionOwnerHooks hooks,
                   TimePoint acquiredAt, TimePoint confirmedAt)
        : OwnershipGuard(timers, fencingToken, [this] { reportOwnershipLost("unexpected-error"); })
        , m_store(store)
        , m_writer(store, keys::owner(partition.name()), fencingToken)
        , m_timers(timers)
        , m_partition(partition.name())
        , m_identity(partition)
        , m_settings(settings)
        , m_hooks(std::move(hooks))
        , m_scheduler(settings.scheduler, partition.service, fencingToken,
                      predecessorLimits(predecessor, settings, acquiredAt))
        , m_jobs(store, timers, keys::jobs(m_partition), {},
                 guarded([this](const StoreItem &item) { jobChanged(item); }), guarded([this] { jobsRefreshed(); }))
    {
        m_scheduler.confirmed(confirmedAt);
    }
    using OwnershipGuard::fencingToken;

    void start()
    {
        loadProgress({});
    }

    void setExecutors(const std::vector<ExecutorRecord> &records)
    {
        m_listedExecutors.clear();
        m_serviceExecutors.clear();
        for (const ExecutorRecord &record : records) {
            if (record.service != m_identity.service) {
                continue;
            }
            if (partitionIndex(record.id, m_identity.count) == m_identity.index) {
                m_listedExecutors.push_back(record);
            }
            if (m_identity.count > 1) {
                m_serviceExecutors.push_back(record);
            }
        }
        m_executorListReceived = true;
        guarded([this] { recordExecutors(); })();
    }

    void setVacating(const std::unordered_set<std::string> &executors, std::uint64_t listRevision)
    {
        m_vacatingRevision = listRevision;
        guarded([&] { m_scheduler.setVacating(executors, bootNow()); })();
        schedulePass();
    }

    /// Sets the quotas in force and the number of all partitions; 0: not known yet. The parts are read from the store
    /// before the first start of a workspace with a quota: the watch of this entry may be behind the parts that a
    /// predecessor has applied and reported.
    void setQuotas(const Quotas &quotas, int partitions)
    {
        guarded([&] { m_scheduler.setQuotas(quotas, partitions); })();
        if (!quotas.empty() && !std::exchange(m_quotaPartsRequested, true)) {
            readQuotaParts();
        }
        schedulePass();
    }
    void setQuotaParts(const QuotaParts &parts)
    {
        if (m_quotaPartsRead && parts.revision != 0) {
            applyQuotaParts(parts);
        }
    }
    void setWorkspaces(const std::vector<Workspace> &workspaces)
    {
        guarded([&] { m_scheduler.setWorkspaces(workspaces); })();
        schedulePass();
    }

    /// Whether jobs may be moved to other partitions. All entries that may own one must know such jobs.
    void setTransfersAllowed(bool allowed)
    {
        m_transfersAllowed = allowed;
    }

    void setMaxAdviceCalls(int calls)
    {
        m_scheduler.setMaxAdviceCalls(calls);
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
    struct FinalJob
    {
        TimePoint endedAt;
        std::string id;
    };

    /// Returns the times until which an earlier owner may send commands and its runs may continue. An owner that lost
    /// its partition may send commands until it detects the loss; an owner that released its partition stopped sending
    /// commands before the release.
    static PredecessorLimits predecessorLimits(keys::Predecessor predecessor, const PartitionOwnerSettings &settings,
                                               TimePoint acquiredAt)
    {
        const SchedulerSettings &scheduler = settings.scheduler;
        // An executor that restarts may take a lease on the clock of its former incarnation, which it shortens to the
        // longest one that it accepts.
        const auto lease = Duration(static_cast<std::int64_t>(static_cast<double>(scheduler.longestLease.count())
                                                              / (1 - scheduler.clockSlowdown)));
        switch (predecessor) {
        case keys::Predecessor::None:
            return {acquiredAt, acquiredAt};
        case keys::Predecessor::Released:
            return {acquiredAt, acquiredAt + lease + scheduler.leaseExpiryMargin};
        case keys::Predecessor::Lost:
            break;
        }
        const TimePoint commandsUntil = acquiredAt + scheduler.ownershipProofMaxAge;
        return {commandsUntil, commandsUntil + lease + scheduler.leaseExpiryMargin};
    }

    void reportOwnershipLost(std::string_view why)
    {
        if (!std::exchange(m_ownershipLost, true)) {
            m_hooks.ownershipLost(m_partition, why);
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
                              m_writer.recordRevision(item.key, item.revision);
                          }
                          if (reply.truncated && !reply.items.empty()) {
                              loadProgress(reply.items.back().key);
                          } else {
                              loadRecordedExecutors();
                          }
                      }));
    }

    void loadRecordedExecutors()
    {
        m_store.read(keys::recordedExecutorsKey(m_partition), m_settings.storeTimeout,
                     guarded([this](const StoreReply &reply) {
                         if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
                             m_writer.recordRevision(reply.items.front().key, reply.items.front().revision);
                             parseRecordedExecutors(reply.items.front().value);
                         } else if (reply.outcome != StoreOutcome::NotFound) {
                             later(m_settings.retryPause, [this] { loadRecordedExecutors(); });
                             return;
                         }
                         m_jobs.start();
                     }));
    }

    void parseRecordedExecutors(const std::string &text)
    {
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(text, error);
        if (error || !value.is_array()) {
            logEvent(LogLevel::Error, "used-executors-unreadable", {{"share", m_partition}});
            return;
        }
        for (const boost::json::value &element : value.get_array()) {
            using Row = std::tuple<std::string, std::string, std::uint16_t, std::int64_t>;
            const auto row = boost::json::try_value_to<Row>(element);
            if (!row) {
                logEvent(LogLevel::Error, "used-executors-unreadable",
                         {{"share", m_partition}, {"row", boost::json::serialize(element)}});
                continue;
            }
            ExecutorRecord record;
            std::tie(record.id, record.address, record.port, std::ignore) = *row;
            record.service = m_identity.service;
            m_recordedExecutors.insert(record.id);
            m_hooks.registerExecutor(record);
            m_scheduler.addRecordedExecutor(record, bootNow());
        }
    }

    void readQuotaParts()
    {
        m_store.read(keys::FleetQuotaParts, m_settings.storeTimeout, guarded([this](const StoreReply &reply) {
                         const bool exists = reply.outcome == StoreOutcome::Done && !reply.items.empty();
                         if (!exists && reply.outcome != StoreOutcome::NotFound) {
                             later(m_settings.retryPause, [this] { readQuotaParts(); });
                             return;
                         }
                         const auto parts = exists
                             ? parseQuotaParts(reply.items.front().value, reply.items.front().revision)
                             : Result<QuotaParts>(QuotaParts());
                         if (!parts) {
                             logRepeated(LogLevel::Error, "quota-parts-unreadable", m_partition,
                                         {{"why", parts.error().message}});
                             later(m_settings.retryPause, [this] { readQuotaParts(); });
                             return;
                         }
                         m_quotaPartsRead = true;
                         applyQuotaParts(parts.value());
                     }));
    }

    void applyQuotaParts(const QuotaParts &parts)
    {
        std::map<std::string, QuotaPart> own;
        for (const auto &[workspace, rows] : parts.workspaces) {
            if (const auto row = rows.find(m_partition); row != rows.end()) {
                own[workspace] = row->second;
            }
        }
        guarded([&] { m_scheduler.setQuotaParts(parts.revision, std::move(own)); })();
        schedulePass();
    }

    void jobChanged(const StoreItem &item)
    {
        const std::string id = item.key.substr(keys::jobs(m_partition).size());
        if (item.key == keys::ownershipMarker(m_partition)) {
            if (item.revision > fencingToken()) {
                reportOwnershipLost("another-owner");
            }
            return;
        }
        // The record of an id that only a cancellation has taken may be followed by another one: that of a job of
        // another workspace, or that of the cancelled job.
        if (m_takenIds.erase(id) > 0) {
            std::erase_if(m_finalJobs, [&id](const FinalJob &job) { return job.id == id; });
        }
        m_arrivals.erase(id);
        if (item.removed) {
            if (m_scheduler.isInTransfer(id)) {
                m_scheduler.endTransfer(id, true);
            }
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
            m_finalJobs.push_back({now - std::chrono::milliseconds(age), id});
            if (!record.value().takenFor.empty()) {
                m_takenIds[id] = item.revision;
            }
            // The predecessor may not have seen all runs of the job end.
            const Duration lease = m_settings.scheduler.longestLease + m_settings.scheduler.ownershipProofMaxAge;
            if (!m_loaded && record.value().state != JobState::Completed && std::chrono::milliseconds(age) < lease) {
                m_scheduler.addStoppedJob(record.value().spec.workspace);
            }
            return;
        }
        if (m_scheduler.isInTransfer(id) && m_scheduler.job(id)->revision != item.revision) {
            m_scheduler.endTransfer(id, true);  // the job was moved, and has come back
        }
        const auto progress = m_loadedProgress.find(id);
        const bool takenOver = item.created < fencingToken();
        if (record.value().hasProgress && progress == m_loadedProgress.end() && !m_scheduler.hasJob(id)) {
            m_arrivals[id] = {std::move(record.value().spec), item.revision, takenOver};
            readProgressOf(id, item.revision);
            return;
        }
        m_scheduler.addJob(std::move(record.value().spec), item.revision,
                           progress == m_loadedProgress.end() ? nullptr : &progress->second, takenOver, now,
                           wallNowMs());
    }

    /// Reads the progress of a job that came from another partition, and adds the job. A later change of its record
    /// ends this.
    void readProgressOf(const std::string &id, std::uint64_t revision)
    {
        const std::string key = keys::progress(m_partition, id);
        m_store.read(key, m_settings.storeTimeout, guarded([this, id, revision, key](const StoreReply &reply) {
                         const auto arrival = m_arrivals.find(id);
                         if (arrival == m_arrivals.end() || arrival->second.revision != revision) {
                             return;
                         }
                         const bool answered = reply.outcome == StoreOutcome::Done && !reply.items.empty();
                         const auto progress
                             = answered ? parseProgress(reply.items.front().value) : Result<JobProgress>(JobProgress());
                         if (!answered || !progress) {
                             logRepeated(LogLevel::Warn, "progress-not-read", id,
                                         {{"job", id}, {"why", std::string(toString(reply.outcome))}});
                             later(m_settings.retryPause, [this, id, revision] { readProgressOf(id, revision); });
                             return;
                         }
                         m_writer.recordRevision(key, reply.items.front().revision);
                         m_scheduler.addJob(std::move(arrival->second.spec), revision, &progress.value(),
                                            arrival->second.takenOver, bootNow(), wallNowMs());
                         m_arrivals.erase(arrival);
                         schedulePass();
                     }));
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
                      {"used_executors", std::to_string(m_recordedExecutors.size())}});
            recordExecutors();
            confirmOwnership();
            publishCounts();
            publishLoad();
            publishBacklog();
            logSummary();
            collectGarbage();
            requestInstanceList();
            if (m_identity.count > 1) {
                transferMisplacedJobs();
            }
        }
        schedulePass();
    }

    // Transfers to other partitions

    struct Transfer
    {
        std::string job;
        std::string target;  // name of the partition
        StoreTxn txn;
    };

    /// Moves jobs that no executor of this partition can run to one whose executors can.
    void transferMisplacedJobs()
    {
        if (m_transfersAllowed) {
            const PartitionFit fit(m_serviceExecutors, m_identity.service, m_identity.count);
            for (const std::string &id : m_scheduler.misplacedJobs(bootNow())) {
                const std::optional<int> index = fit.choose(m_scheduler.openSteps(id), m_identity.index);
                if (!index || *index == m_identity.index || m_openTransfers >= m_settings.maxTransfers) {
                    continue;
                }
                ++m_openTransfers;
                const Partition target{m_identity.service, *index, m_identity.count};
                prepareTransfer(id, target.name(), m_scheduler.beginTransfer(id));
            }
        }
        later(m_settings.transferPeriod, [this] { transferMisplacedJobs(); });
    }

    /// Reads the key of the job's id, whose revision is a precondition of the transfer.
    void prepareTransfer(const std::string &id, const std::string &target, const std::string &progress)
    {
        m_store.read(keys::jobId(id), m_settings.storeTimeout,
                     guarded([this, id, target, progress](const StoreReply &reply) {
                         const Job *job = m_scheduler.job(id);
                         const bool isHere = reply.outcome == StoreOutcome::Done && !reply.items.empty()
                             && reply.items.front().value == m_partition;
                         if (job == nullptr || isFinal(job->state) || !isHere) {
                             transferEnded(id, false);
                             return;
                         }
                         JobRecord record;
                         record.spec = job->spec;
                         record.hasProgress = !progress.empty();
                         Transfer transfer{id, target, {}};
                         StoreTxn &txn = transfer.txn;
                         txn.expected.emplace_back(keys::jobId(id), reply.items.front().revision);
                         txn.expected.emplace_back(keys::job(m_partition, id), job->revision);
                         txn.writes.push_back({keys::jobId(id), target, 0});
                         txn.writes.push_back({keys::job(target, id), encodeJobRecord(record), 0});
                         txn.removed.push_back(keys::job(m_partition, id));
                         if (!progress.empty()) {
                             txn.writes.push_back({keys::progress(target, id), progress, 0});
                             txn.removed.push_back(keys::progress(m_partition, id));
                         }
                         storeTransfer(std::make_shared<Transfer>(std::move(transfer)));
                     }));
    }

    /// An unanswered write may be carried out late, so the job stays in transfer until an answer or the watch of the
    /// jobs shows the outcome.
    void storeTransfer(const std::shared_ptr<Transfer> &transfer)
    {
        if (!m_scheduler.isInTransfer(transfer->job)) {
            transferEnded(transfer->job, false);
            return;
        }
        write(transfer->txn, [this, transfer](const StoreReply &reply) {
            const std::string &id = transfer->job;
            const std::string key = keys::job(m_partition, id);
            const auto present = std::find_if(reply.items.begin(), reply.items.end(),
                                              [&key](const StoreItem &item) { return item.key == key; });
            const bool isGone = present == reply.items.end() || present->removed || present->revision == 0;
            if (reply.outcome == StoreOutcome::Done || (reply.outcome == StoreOutcome::Conflict && isGone)) {
                logEvent(LogLevel::Info, "job-transferred",
                         {{"job", id}, {"share", m_partition}, {"to", transfer->target}});
                transferEnded(id, true);
            } else if (reply.outcome == StoreOutcome::Unknown) {
                later(m_settings.retryPause, [this, transfer] { storeTransfer(transfer); });
            } else {
                transferEnded(id, false);  // tried again while the job waits
            }
        });
    }

    void transferEnded(const std::string &id, bool moved)
    {
        --m_openTransfers;
        if (m_scheduler.isInTransfer(id)) {
            m_scheduler.endTransfer(id, moved);
        }
        schedulePass();
    }

    // Executors

    /// Requests the list of instances while recorded executors do not answer. An executor that was ended by a move or
    /// by maintenance never answers, and the list shows its end before the leases that the earlier owner granted
    /// expire.
    void requestInstanceList()
    {
        const TimePoint requestedAt = bootNow();
        if (!m_scheduler.awaitsRecordedExecutors()) {
            return;
        }
        if (!m_scheduler.needsInstanceList(requestedAt)) {
            later(m_settings.instanceListPeriod, [this] { requestInstanceList(); });
            return;
        }
        m_hooks.listInstances(guarded([this, requestedAt](const Result<std::vector<PooledInstance>> &listed) {
            if (listed) {
                m_scheduler.setInstances(listed.value(), requestedAt, bootNow());
                schedulePass();
            } else {
                logRepeated(LogLevel::Warn, "machines-not-listed", m_partition, {{"why", listed.error().message}});
            }
            later(m_settings.instanceListPeriod, [this] { requestInstanceList(); });
        }));
    }

    /// Records each executor in the store before its first command, so that the next owner finds every executor that
    /// may have runs.
    void recordExecutors()
    {
        if (!m_loaded || !m_executorListReceived || m_recordingExecutors) {
            return;
        }
        std::map<std::string, const ExecutorRecord *> needed;
        bool added = false;
        for (const ExecutorRecord &record : m_listedExecutors) {
            needed[record.id] = &record;
            added = added || !m_recordedExecutors.contains(record.id);
        }
        for (const auto &[id, executor] : m_scheduler.executors()) {
            needed.try_emplace(id, &executor.record);
        }
        const bool removed = std::any_of(m_recordedExecutors.begin(), m_recordedExecutors.end(),
                                         [&needed](const std::string &id) { return !needed.contains(id); });
        const TimePoint now = bootNow();
        if (!added && (!removed || now - m_executorsRecordedAt < m_settings.recordedExecutorsPeriod)) {
            applyExecutors();
            return;
        }
        m_recordingExecutors = true;
        m_executorsRecordedAt = now;
        boost::json::array rows;
        auto ids = std::make_shared<std::set<std::string>>();
        // Earlier builds took an incarnation that is later than the one in the last column for a proof that no run is
        // left. The column stays for them, with a value that proves nothing.
        constexpr std::int64_t unknownIncarnation = 0;
        for (const auto &[id, record] : needed) {
            rows.push_back({id, record->address, static_cast<std::int64_t>(record->port), unknownIncarnation});
            ids->insert(id);
        }
        StoreTxn txn;
        txn.writes.push_back({keys::recordedExecutorsKey(m_partition), boost::json::serialize(rows), 0});
        write(std::move(txn), [this, ids](const StoreReply &reply) {
            m_recordingExecutors = false;
            if (reply.outcome == StoreOutcome::Done) {
                m_recordedExecutors = *ids;
                applyExecutors();
            } else {
                later(pauseAfter(reply), [this] { recordExecutors(); });
            }
        });
    }

    void applyExecutors()
    {
        std::vector<ExecutorRecord> usable;
        for (const ExecutorRecord &record : m_listedExecutors) {
            if (m_recordedExecutors.contains(record.id)) {
                m_hooks.registerExecutor(record);
                usable.push_back(record);
            }
        }
        m_scheduler.setExecutors(usable, bootNow());
        schedulePass();
    }

    // Passes over the scheduler

    /// Schedules one pass for all events that arrive until it runs: at once, or passGap after the previous pass.
    void schedulePass()
    {
        if (!m_loaded || m_ownershipLost || std::exchange(m_passScheduled, true)) {
            return;
        }
        const TimePoint now = steadyNow();
        later(std::max(Duration{0}, m_lastPassAt + m_settings.passGap - now), [this] {
            m_passScheduled = false;
            runPass();
        });
    }

    void runPass()
    {
        if (m_ownershipLost) {
            return;
        }
        const TimePoint now = bootNow();
        m_lastPassAt = steadyNow();
        m_scheduler.tick(now, wallNowMs());
        for (const ExecutorCommand &command : m_scheduler.takeCommands()) {
            send(command, now);
        }
        for (const AdviceRequest &request : m_scheduler.takeAdviceRequests()) {
            requestAdvice(request, now);
        }
        for (const Decision &decision : m_scheduler.takeDecisions()) {
            logEvent(LogLevel::Info, decision.event,
                     {{"job", decision.job}, {"share", m_partition}, {"inputs", decision.detail}});
        }
        for (const auto &finished : m_scheduler.takeFinished()) {
            m_hooks.jobFinished(finished);
        }
        if (auto batch = m_scheduler.takeCommit(now, wallNowMs())) {
            storeCommit(std::move(*batch));
        }
        if (m_scheduler.deposed()) {
            reportOwnershipLost("fenced");
            return;
        }
        publishVacated();
        if (m_scheduler.needsOwnershipProof() && !m_confirmingOwnership) {
            confirmOwnership();
        }
        const TimePoint latest = now + m_settings.tickPeriod;
        const TimePoint next = std::min(latest, m_scheduler.nextWake(now).value_or(latest));
        const TimePoint passTime = steadyNow() + std::max(m_settings.passGap, next - now);
        if (m_passTimer.second != 0 && passTime >= m_passAt && m_passAt > steadyNow()) {
            return;
        }
        m_timers.cancel(m_passTimer);
        m_passAt = passTime;
        m_passTimer = m_timers.at(passTime, guarded([this] {
                                      m_passTimer = {};
                                      runPass();
                                  }));
    }

    void send(const ExecutorCommand &command, TimePoint sentAt)
    {
        m_hooks.sendCommand(
            command,
            guarded([this, command, sentAt](CommandResult result, std::int64_t clockMs, const ExecutorReport *report) {
                const TimePoint now = bootNow();
                m_scheduler.commandEnded(command, result, report != nullptr ? report->clockMs : clockMs, now);
                if (command.kind != CommandKind::RenewLeases) {
                    m_scheduler.answered(command, result, clockMs, now);
                } else if (report != nullptr) {
                    m_scheduler.reported(command.executor, *report, sentAt, now, command.settles);
                } else {
                    m_scheduler.reportPollFailed(command.executor, result, now, command.settles);
                }
                schedulePass();
            }));
    }

    void requestAdvice(const AdviceRequest &request, TimePoint sentAt)
    {
        m_hooks.requestAdvice(request, guarded([this, request, sentAt](const Advice *advice) {
                                  m_scheduler.advised(request, advice, sentAt, bootNow());
                                  schedulePass();
                              }));
    }

    // Writes to the store

    /// Commits the transaction only while this owner has the partition. A write that was done proves the ownership at
    /// the time when the write was sent. `done` is not called once another owner has the partition.
    template<class F>
    void write(StoreTxn txn, F done)
    {
        const TimePoint sentAt = bootNow();
        m_writer.commit(std::move(txn), m_settings.storeTimeout,
                        guarded([this, sentAt, done](const StoreReply &reply, bool deposed) mutable {
                            if (deposed) {
                                reportOwnershipLost("precondition");
                                return;
                            }
                            if (reply.outcome == StoreOutcome::Done) {
                                m_scheduler.confirmed(sentAt);
                            }
                            done(reply);
                        }));
    }

    /// Pause before a failed write is repeated.
    Duration pauseAfter(const StoreReply &reply) const
    {
        return reply.outcome == StoreOutcome::Malformed ? m_settings.rejectedPause : m_settings.retryPause;
    }

    struct PendingCommit
    {
        std::uint64_t generation = 0;
        std::deque<JobWrite> remaining;
    };

    void storeCommit(CommitBatch batch)
    {
        auto commit = std::make_shared<PendingCommit>();
        commit->generation = batch.generation;
        commit->remaining.assign(std::make_move_iterator(batch.writes.begin()),
                                 std::make_move_iterator(batch.writes.end()));
        commitNext(commit);
    }

    void commitNext(const std::shared_ptr<PendingCommit> &commit)
    {
        if (m_ownershipLost) {
            return;
        }
        if (commit->remaining.empty()) {
            m_scheduler.committed(commit->generation, bootNow());
            schedulePass();
            return;
        }
        StoreTxn txn;
        auto transactionWrites = std::make_shared<std::vector<JobWrite>>();
        while (!commit->remaining.empty()
               && FencedWriter<S>::appendIfAccepted(txn, rowsFor(commit->remaining.front()))) {
            transactionWrites->push_back(std::move(commit->remaining.front()));
            commit->remaining.pop_front();
        }
        write(std::move(txn), [this, commit, transactionWrites](const StoreReply &reply) {
            transactionFinished(commit, *transactionWrites, reply);
        });
    }

    StoreTxn rowsFor(const JobWrite &write) const
    {
        StoreTxn rows;
        if (!write.finalRecord.empty()) {
            rows.expected.emplace_back(keys::job(m_partition, write.job), write.revision);
            rows.writes.push_back({keys::job(m_partition, write.job), write.finalRecord, 0});
        }
        if (write.progress.empty()) {
            rows.removed.push_back(keys::progress(m_partition, write.job));
        } else {
            rows.writes.push_back({keys::progress(m_partition, write.job), write.progress, 0});
        }
        return rows;
    }

    void transactionFinished(const std::shared_ptr<PendingCommit> &commit, std::vector<JobWrite> &transactionWrites,
                             const StoreReply &reply)
    {
        const auto requeueWrites = [&] {
            for (auto write = transactionWrites.rbegin(); write != transactionWrites.rend(); ++write) {
                commit->remaining.push_front(std::move(*write));
            }
        };
        switch (reply.outcome) {
        case StoreOutcome::Done:
            commitNext(commit);
            return;
        case StoreOutcome::Conflict: {
            std::map<std::string, std::uint64_t> current;
            for (const StoreItem &item : reply.items) {
                current[item.key] = item.revision;
            }
            // The record of a job has changed if its caller cancelled the job or if an earlier attempt of this write
            // was done. The job needs no write then.
            std::erase_if(transactionWrites, [&](const JobWrite &write) {
                return !write.finalRecord.empty() && current[keys::job(m_partition, write.job)] != write.revision;
            });
            requeueWrites();
            commitNext(commit);
            return;
        }
        case StoreOutcome::Malformed:
            logEvent(LogLevel::Error, "commit-malformed", {{"share", m_partition}});
            [[fallthrough]];
        default:
            requeueWrites();
            later(pauseAfter(reply), [this, commit] { commitNext(commit); });
        }
    }

    /// Reads the ownership key and schedules the next read: after `confirmPeriod`, or after `retryPause` if the read
    /// failed. Also called at once when adopted executors can get no work before the ownership is confirmed.
    void confirmOwnership()
    {
        m_timers.cancel(m_confirmTimer);
        m_confirmingOwnership = true;
        const TimePoint sentAt = bootNow();
        m_store.read(keys::owner(m_partition), m_settings.storeTimeout,
                     guarded([this, sentAt](const StoreReply &reply) {
                         m_confirmingOwnership = false;
                         if (isDeposed(reply)) {
                             reportOwnershipLost("ownership-key-gone");
                             return;
                         }
                         const bool confirmed = reply.outcome == StoreOutcome::Done;
                         if (confirmed) {
                             m_scheduler.confirmed(sentAt);
                             schedulePass();
                         }
                         const Duration pause = confirmed ? m_settings.confirmPeriod : m_settings.retryPause;
                         m_confirmTimer = later(pause, [this] {
                             m_confirmTimer = {};
                             confirmOwnership();
                         });
                     }));
    }

    /// Publishes the load of this partition's pool, which the owner of the fleet partition reads to size the pools.
    void publishLoad()
    {
        const TimePoint now = bootNow();
        PoolLoad load = m_scheduler.load(now);
        constexpr int granularity = 8000;  // in milli-cores; smaller changes would not move an instance
        const auto roundUp = [](int cores) { return (cores + granularity - 1) / granularity * granularity; };
        load.demandMilliCores = roundUp(load.demandMilliCores);
        load.inTimeMilliCores = roundUp(load.inTimeMilliCores);
        for (auto &[label, cores] : load.demandByLabel) {
            cores = roundUp(cores);
        }
        std::string text = encodePoolLoad(load);
        const std::optional<QuotaReport> quotaReport = dueQuotaReport(now);
        const bool loadDue = text != m_publishedLoad || now - m_loadAt >= m_settings.loadRefresh;
        if (!loadDue && !quotaReport) {
            later(m_settings.loadPeriod, [this] { publishLoad(); });
            return;
        }
        StoreTxn txn;
        if (loadDue) {
            txn.writes.push_back({keys::load(m_partition), text, 0});
        }
        if (quotaReport) {
            txn.writes.push_back({keys::quotaReport(m_partition), encodeQuotaReport(*quotaReport), 0});
        }
        write(std::move(txn), [this, text = std::move(text), now, loadDue, quotaReport](const StoreReply &reply) {
            if (reply.outcome == StoreOutcome::Done && loadDue) {
                m_publishedLoad = text;
                m_loadAt = now;
            }
            if (reply.outcome == StoreOutcome::Done && quotaReport) {
                m_quotaReport = quotaReport;
                m_quotaReportAt = now;
            }
            later(m_settings.loadPeriod, [this] { publishLoad(); });
        });
    }

    /// Report on the quotas, if the published one differs much. It is urgent while the division waits for it.
    std::optional<QuotaReport> dueQuotaReport(TimePoint now)
    {
        const QuotaLedger &ledger = m_scheduler.quotaLedger();
        if (ledger.empty() || !m_quotaPartsRead) {
            return std::nullopt;
        }
        const bool urgent = !m_quotaReport || ledger.reportNeeded(m_quotaReport->revision);
        if (!urgent && now - m_quotaReportAt < m_settings.quotaReportPeriod) {
            return std::nullopt;
        }
        QuotaReport report = m_scheduler.quotaReport(now);
        const bool due = !m_quotaReport || reportsDiffer(report, *m_quotaReport)
            || (urgent && report.revision != m_quotaReport->revision);
        return due ? std::optional(std::move(report)) : std::nullopt;
    }

    /// Publishes the work that waits while it would take longer than `backlogWait`, and removes it afterwards.
    void publishBacklog()
    {
        const TimePoint now = bootNow();
        const std::uint64_t lease = m_hooks.lease ? m_hooks.lease() : 0;
        const Backlog backlog = m_scheduler.backlog(now);
        const bool due = lease != 0 && backlog.room > 0
            && backlog.work() > backlog.room * std::chrono::duration<double>(m_settings.backlogWait).count();
        std::string text = due ? encodeBacklog(backlog) : std::string();
        if (text == m_publishedBacklog && (text.empty() || now - m_backlogAt < m_settings.backlogRefresh)) {
            later(m_settings.backlogPeriod, [this] { publishBacklog(); });
            return;
        }
        StoreTxn txn;
        if (due) {
            txn.writes.push_back({keys::backlog(m_partition), text, lease});
        } else {
            txn.removed.push_back(keys::backlog(m_partition));
        }
        write(std::move(txn), [this, text = std::move(text), now](const StoreReply &reply) {
            if (reply.outcome == StoreOutcome::Done) {
                m_publishedBacklog = text;
                m_backlogAt = now;
            }
            later(m_settings.backlogPeriod, [this] { publishBacklog(); });
        });
    }

    void logSummary()
    {
        logEvent(LogLevel::Info, "share-state", {{"share", m_partition}, {"state", m_scheduler.summary(bootNow())}});
        later(m_settings.summaryPeriod, [this] { logSummary(); });
    }

    void publishCounts()
    {
        boost::json::object counts;
        for (const auto &[queue, waiting] : m_scheduler.waitingPerQueue()) {
            counts[queue] = waiting;
        }
        std::string text = boost::json::serialize(counts);
        if (text == m_publishedCounts) {
            later(m_settings.waitingCountsPeriod, [this] { publishCounts(); });
            return;
        }
        StoreTxn txn;
        txn.writes.push_back({keys::waiting(m_partition), text, 0});
        write(std::move(txn), [this, text = std::move(text)](const StoreReply &reply) {
            if (reply.outcome == StoreOutcome::Done) {
                m_publishedCounts = text;
            }
            // A conflict means that m_writer had no revision or an outdated one for the key. The writer has recorded
            // the present revision from the reply.
            const bool conflict = reply.outcome == StoreOutcome::Conflict;
            later(conflict ? m_settings.retryPause : m_settings.waitingCountsPeriod, [this] { publishCounts(); });
        });
    }

    void publishVacated()
    {
        const VacatedReport report{m_vacatingRevision, m_scheduler.vacated(), m_scheduler.blocked()};
        const bool isEmpty = report.executors.empty() && report.blocked.empty();
        const bool unchanged = m_vacated && report.executors == m_vacated->executors
            && report.blocked == m_vacated->blocked && (isEmpty || report.listRevision == m_vacated->listRevision);
        if (m_publishingVacated || unchanged || steadyNow() < m_publishVacatedFrom) {
            return;
        }
        m_publishingVacated = true;
        StoreTxn txn;
        txn.writes.push_back({keys::vacated(m_partition), encodeVacatedReport(report), 0});
        write(std::move(txn), [this, report](const StoreReply &reply) {
            m_publishingVacated = false;
            if (reply.outcome == StoreOutcome::Done) {
                m_vacated = report;
            } else {
                m_publishVacatedFrom = steadyNow() + pauseAfter(reply);
            }
        });
    }

    /// Removes the records of jobs whose final state is older than `finalStateRetention`. The record of an id that only
    /// a cancellation has taken is removed at the known revision, since a job may be stored in its place meanwhile.
    void collectGarbage()
    {
        const TimePoint now = bootNow();
        StoreTxn txn;
        txn.expected.emplace_back(keys::owner(m_partition), fencingToken());
        constexpr std::size_t maxRowsPerJob = 3;
        std::vector<FinalJob> batch;
        while (!m_finalJobs.empty() && now - m_finalJobs.front().endedAt > m_settings.finalStateRetention
               && txn.rows() + maxRowsPerJob <= StoreTxn::MaxRows) {
            const std::string &id = m_finalJobs.front().id;
            if (const auto taken = m_takenIds.find(id); taken != m_takenIds.end()) {
                txn.expected.emplace_back(keys::job(m_partition, id), taken->second);
            }
            txn.removed.push_back(keys::job(m_partition, id));
            txn.removed.push_back(keys::jobId(id));
            batch.push_back(std::move(m_finalJobs.front()));
            m_finalJobs.pop_front();
        }
        if (!txn.removed.empty()) {
            m_store.commit(txn, m_settings.storeTimeout,
                           guarded([this, batch = std::move(batch)](const StoreReply &reply) {
                               if (reply.outcome != StoreOutcome::Done) {
                                   logRepeated(LogLevel::Warn, "garbage-kept", m_partition,
                                               {{"why", std::string(toString(reply.outcome))}});
                               }
                               if (reply.outcome == StoreOutcome::Conflict) {
                                   keepUnchanged(batch, reply);
                               }
                           }));
        }
        later(m_settings.recordedExecutorsPeriod * 2, [this] {
            recordExecutors();
            collectGarbage();
        });
    }

    /// Tries the removal of these jobs again, without those whose record has changed. A watch reports the change.
    void keepUnchanged(const std::vector<FinalJob> &batch, const StoreReply &reply)
    {
        std::map<std::string, std::uint64_t> current;
        for (const StoreItem &item : reply.items) {
            current[item.key] = item.removed ? 0 : item.revision;
        }
        for (auto job = batch.rbegin(); job != batch.rend(); ++job) {
            const auto taken = m_takenIds.find(job->id);
            if (taken == m_takenIds.end() || current[keys::job(m_partition, job->id)] == taken->second) {
                m_finalJobs.push_front(*job);
            }
        }
    }

    S &m_store;
    FencedWriter<S> m_writer;
    Timers &m_timers;
    std::string m_partition;  // name of the partition
    Partition m_identity;     // the executors of the service that belong to this partition follow from it
    PartitionOwnerSettings m_settings;
    PartitionOwnerHooks m_hooks;
    Scheduler m_scheduler;
    StoreView<S> m_jobs;
    std::map<std::string, JobProgress> m_loadedProgress;
    /// Jobs that came from another partition and whose progress is not read yet.
    struct Arrival
    {
        JobSpec spec;
        std::uint64_t revision = 0;
        bool takenOver = false;
    };
    std::map<std::string, Arrival> m_arrivals;
    std::vector<ExecutorRecord> m_listedExecutors;
    std::vector<ExecutorRecord> m_serviceExecutors;  // of all partitions; empty if the service has one partition
    std::size_t m_openTransfers = 0;
    bool m_transfersAllowed = false;
    std::set<std::string> m_recordedExecutors;  // executors recorded in the store for the next owner
    std::optional<VacatedReport> m_vacated;     // last published report; none: no report yet
    std::uint64_t m_vacatingRevision = 0;       // revision of the list of vacating executors in force
    std::deque<FinalJob> m_finalJobs;
    std::unordered_map<std::string, std::uint64_t> m_takenIds;  // ids that only cancellations have taken, and revision
    std::string m_publishedCounts;
    std::string m_publishedLoad;
    TimePoint m_loadAt;
    std::optional<QuotaReport> m_quotaReport;  // last published report; none: no report yet
    TimePoint m_quotaReportAt;
    std::string m_publishedBacklog;  // empty: none is published
    TimePoint m_backlogAt;
    TimePoint m_executorsRecordedAt;
    Timers::Key m_passTimer{};
    Timers::Key m_confirmTimer{};
    bool m_confirmingOwnership = false;
    TimePoint m_passAt;
    TimePoint m_lastPassAt;
    bool m_loaded = false;
    bool m_executorListReceived = false;
    bool m_recordingExecutors = false;
    bool m_publishingVacated = false;
    TimePoint m_publishVacatedFrom;  // steady clock; set after a failed attempt
    bool m_quotaPartsRequested = false;
    bool m_quotaPartsRead = false;
    bool m_passScheduled = false;
    bool m_ownershipLost = false;
};

}
