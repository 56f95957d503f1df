#pragma once

// The callers' side of an entry: accepts jobs into the store, reads their state and cancels them. Decides on outcomes,
// retries and time-outs; the formats of requests and replies are in platform/.
//
// Index
// [1] Settings and outcomes
// [2] The API

#include "boot_clock.h"
#include "caller_access.h"
#include "deployment.h"
#include "job_keys.h"
#include "log.h"
#include "rate_limit.h"
#include "store_view.h"

#include <boost/json.hpp>

#include <deque>

namespace briarvane
{

// [1] Settings and outcomes -------------------------------------------------------------------------------------------

struct JobApiSettings
{
    /// Timeout of a write, except for the repetition of an unanswered one. A slow store answers within 250 ms.
    Duration writeTimeout{600'000};
    /// Timeout of the repetition of an unanswered write. The preconditions keep the job from being stored twice.
    Duration rewriteTimeout{900'000};
    Duration readTimeout{900'000};
    int maxOpenWrites = 2;  // jobs that arrive during open writes are joined into the next write
    /// Time for which the counts of waiting jobs are cached. Owners publish counts every 0.7 s, and the sum of the two
    /// times must stay below 2 s, the age of a count that callers accept.
    Duration countsAge{400'000};
    /// Maximum number of attempts to cancel a job. Each attempt reads the job's state again, since the owner may have
    /// written the job first or the outcome of the previous attempt may be unknown.
    int cancelAttempts = 4;
    /// Limit of the ids that cancellations of unknown jobs take, so that a caller who invents ids does not fill the
    /// store. Callers of real jobs cancel an unknown one only when its submission got no answer.
    double unknownCancelsPerSecond = 5;
    double unknownCancelBurst = 50;
    std::size_t maxTakenFor = 8;  // maximum number of workspaces that one unknown id is taken for
};

enum class JobApiOutcome {
    Done,       // the job was accepted or cancelled, or its state was read
    NoSuchJob,  // the store has no job with this id
    NotRun,     // the request had no effect; the caller may repeat it later
    Unknown,    // the request may have taken effect; the caller must repeat it with the same job id
    Forbidden,  // the id belongs to a job of another workspace; nothing was changed
    Limited,    // too many unknown jobs were cancelled at this entry; nothing was written
};

struct JobApiReply
{
    JobApiOutcome outcome = JobApiOutcome::Unknown;
    JobState state = JobState::Pending;
    int waiting = 0;
};

using JobApiDone = std::function<void(const JobApiReply &)>;

// [2] The API ---------------------------------------------------------------------------------------------------------

template<Store S>
class JobApi
{
public:
    JobApi(S &store, Timers &timers, JobApiSettings settings)
        : m_store(store)
        , m_timers(timers)
        , m_settings(settings)
        , m_unknownCancels(settings.unknownCancelsPerSecond, settings.unknownCancelBurst)
    {
    }

    /// Whether recent calls reached the store. Jobs that arrive while the store is unreachable are refused at once. A
    /// store that was not called recently counts as reachable, so that the next job tries it.
    bool storeReachable(TimePoint now) const
    {
        constexpr int minFailures = 2;  // a single lost reply does not show an outage
        constexpr Duration recentPeriod{1'500'000};
        return m_failures < minFailures || now - m_lastReachedAt < recentPeriod || now - m_lastOutcomeAt > recentPeriod;
    }

    /// `partition`: name of the partition that a job with this id belongs to. `scope`: jobs that the caller may use; an
    /// id of another job is refused.
    void submit(JobSpec spec, std::string partition, CallerScope scope, JobApiDone done)
    {
        const TimePoint now = bootNow();
        if (!storeReachable(now)) {
            done({JobApiOutcome::NotRun, JobState::Pending, 0});
            return;
        }
        m_pendingJobs.push_back({std::move(spec), std::move(partition), std::move(scope), std::move(done), 0, now});
        writePending();
    }

    void state(const std::string &partition, const std::string &id, const CallerScope &scope, JobApiDone done)
    {
        find(partition, id, [this, id, scope, done = std::move(done)](const LookupResult &lookup) {
            if (lookup.outcome == JobApiOutcome::Done && !scope.includes(lookup.record.spec.workspace)) {
                done({JobApiOutcome::NoSuchJob, JobState::Pending, 0});
                return;
            }
            if (lookup.outcome == JobApiOutcome::Done && lookup.state == JobState::Cancelled) {
                readCancelledState(id, done);
                return;
            }
            if (lookup.outcome != JobApiOutcome::Done || isFinal(lookup.state)) {
                done({lookup.outcome, lookup.state, 0});
                return;
            }
            m_store.read(keys::progress(lookup.partition, id), m_settings.readTimeout,
                         [this, done](const StoreReply &reply) {
                             recordStoreReply(reply);
                             if (reply.outcome != StoreOutcome::Done && reply.outcome != StoreOutcome::NotFound) {
                                 done({JobApiOutcome::NotRun, JobState::Pending, 0});
                                 return;
                             }
                             const bool started = reply.outcome == StoreOutcome::Done;
                             done({JobApiOutcome::Done, started ? JobState::Running : JobState::Pending, 0});
                         });
        });
    }

    /// Passes true if the store has neither the job nor its cancellation, false if it has one or was not reached.
    void isUnknown(const std::string &id, std::function<void(bool)> done)
    {
        m_store.read(keys::jobId(id), m_settings.readTimeout, [this, done = std::move(done)](const StoreReply &reply) {
            recordStoreReply(reply);
            done(reply.outcome == StoreOutcome::NotFound);
        });
    }

    void cancel(const std::string &partition, const std::string &id, const CallerScope &scope, JobApiDone done)
    {
        attemptCancel({partition, id, scope, std::move(done), m_settings.cancelAttempts});
    }

    void waiting(const std::string &queue, JobApiDone done)
    {
        const TimePoint now = bootNow();
        if (now - m_countsReadAt < m_settings.countsAge) {
            done({JobApiOutcome::Done, JobState::Pending, m_counts[queue]});
            return;
        }
        m_store.range(keys::WaitingCounts, {}, false, m_settings.readTimeout,
                      [this, queue, now, done = std::move(done)](const StoreReply &reply) {
                          recordStoreReply(reply);
                          if (reply.outcome != StoreOutcome::Done) {
                              done({JobApiOutcome::NotRun, JobState::Pending, 0});
                              return;
                          }
                          m_counts.clear();
                          m_countsReadAt = now;
                          for (const StoreItem &item : reply.items) {
                              addCounts(item.value);
                          }
                          done({JobApiOutcome::Done, JobState::Pending, m_counts[queue]});
                      });
    }

    /// Number of jobs that have arrived and are not answered yet.
    std::size_t open() const
    {
        return m_pendingJobs.size() + m_inFlight;
    }
    /// Updates the result of storeReachable(). The entry also passes in the replies to its own calls to the store.
    void recordStoreReply(const StoreReply &reply)
    {
        m_lastOutcomeAt = bootNow();
        if (reply.outcome == StoreOutcome::Refused || reply.outcome == StoreOutcome::Unknown) {
            ++m_failures;
        } else {
            m_failures = 0;
            m_lastReachedAt = m_lastOutcomeAt;
        }
    }

private:
    struct PendingJob
    {
        JobSpec spec;
        std::string partition;
        CallerScope scope;
        JobApiDone done;
        int unknownOutcomes = 0;  // attempts to write the job whose outcome is unknown
        TimePoint arrived;
    };

    struct LookupResult
    {
        JobApiOutcome outcome = JobApiOutcome::NotRun;
        std::string partition;
        JobState state = JobState::Pending;
        std::uint64_t revision = 0;
        JobRecord record{};
    };

    struct Cancellation
    {
        std::string partition;
        std::string id;
        CallerScope scope;
        JobApiDone done;
        int attemptsLeft = 0;
        bool writeUnknown = false;  // an attempt took the id or may have taken it
    };

    using Batch = std::shared_ptr<std::vector<PendingJob>>;

    // Accepting jobs

    void writePending()
    {
        constexpr std::size_t rowsPerJob = 3;
        constexpr std::size_t maxJobs = StoreTxn::MaxRows / rowsPerJob;
        while (!m_pendingJobs.empty() && m_openWrites < m_settings.maxOpenWrites) {
            auto batch = std::make_shared<std::vector<PendingJob>>();
            while (!m_pendingJobs.empty() && batch->size() < maxJobs) {
                batch->push_back(std::move(m_pendingJobs.front()));
                m_pendingJobs.pop_front();
            }
            ++m_openWrites;
            m_inFlight += batch->size();
            writeBatch(batch, m_settings.writeTimeout);
        }
    }

    void writeBatch(const Batch &batch, Duration timeout)
    {
        StoreTxn txn;
        for (const PendingJob &pendingJob : *batch) {
            const JobSpec &spec = pendingJob.spec;
            JobRecord record;
            record.spec = spec;
            txn.expected.emplace_back(keys::jobId(spec.id), 0);
            txn.writes.push_back({keys::jobId(spec.id), pendingJob.partition, 0});
            txn.writes.push_back({keys::job(pendingJob.partition, spec.id), encodeJobRecord(record), 0});
        }
        m_store.commit(txn, timeout, [this, batch](const StoreReply &reply) { batchWritten(batch, reply); });
    }

    void batchWritten(const Batch &batch, const StoreReply &reply)
    {
        recordStoreReply(reply);
        switch (reply.outcome) {
        case StoreOutcome::Done:
            for (const PendingJob &pendingJob : *batch) {
                completeJob(pendingJob, JobApiOutcome::Done);
            }
            break;
        case StoreOutcome::Conflict: {
            // An id that exists belongs to an accepted job: an earlier request or an unanswered attempt of this write
            // has stored it.
            std::map<std::string, StoreItem> existingIds;
            for (const StoreItem &item : reply.items) {
                if (item.revision != 0 && !item.removed) {
                    existingIds[item.key] = item;
                }
            }
            auto rest = std::make_shared<std::vector<PendingJob>>();
            for (PendingJob &pendingJob : *batch) {
                const auto existing = existingIds.find(keys::jobId(pendingJob.spec.id));
                if (existing == existingIds.end()) {
                    rest->push_back(std::move(pendingJob));
                } else if (!pendingJob.scope.allJobs) {
                    compareWorkspaces(pendingJob, existing->second);
                } else if (keys::parseJobId(existing->second.value).submitted) {
                    completeJob(pendingJob, JobApiOutcome::Done);
                } else {
                    acceptAsCancelled(pendingJob, existing->second, nullptr);
                }
            }
            if (rest->size() < batch->size() && !rest->empty()) {
                writeBatch(rest, m_settings.writeTimeout);
                return;
            }
            // Either no job is left, or the reply names no existing id and so does not explain the conflict.
            for (const PendingJob &pendingJob : *rest) {
                completeJob(pendingJob, JobApiOutcome::Unknown);
            }
            break;
        }
        case StoreOutcome::Unknown: {
            for (PendingJob &pendingJob : *batch) {
                ++pendingJob.unknownOutcomes;
            }
            if (batch->front().unknownOutcomes < 2) {
                writeBatch(batch, m_settings.rewriteTimeout);
                return;
            }
            for (const PendingJob &pendingJob : *batch) {
                completeJob(pendingJob, JobApiOutcome::Unknown);
            }
            break;
        }
        default:
            for (const PendingJob &pendingJob : *batch) {
                completeJob(pendingJob,
                            pendingJob.unknownOutcomes > 0 ? JobApiOutcome::Unknown : JobApiOutcome::NotRun);
            }
        }
        --m_openWrites;
        writePending();
    }

    /// Reads the record behind an id that exists, to learn whether the job is one of the caller's workspace.
    void compareWorkspaces(const PendingJob &pendingJob, const StoreItem &idItem)
    {
        const keys::JobIdValue existing = keys::parseJobId(idItem.value);
        readRecord(existing.partition, pendingJob.spec.id, [this, pendingJob, idItem, existing](const auto &lookup) {
            if (lookup.outcome != JobApiOutcome::Done || (!existing.submitted && !isFinal(lookup.state))) {
                completeJob(pendingJob, JobApiOutcome::Unknown);
            } else if (existing.submitted) {
                const bool included = pendingJob.scope.includes(lookup.record.spec.workspace);
                completeJob(pendingJob, included ? JobApiOutcome::Done : JobApiOutcome::Forbidden);
            } else if (lookup.record.isTakenFor(pendingJob.spec.workspace)) {
                acceptAsCancelled(pendingJob, idItem, &lookup);
            } else {
                replaceTakenId(pendingJob, idItem, lookup);
            }
        });
    }

    /// Accepts a job whose cancellation was stored before it. It stays cancelled and never runs. `lookup`: record of
    /// the cancellation, which becomes that of the job's workspace; null: there are no workspaces.
    void acceptAsCancelled(const PendingJob &pendingJob, const StoreItem &idItem, const LookupResult *lookup)
    {
        StoreTxn txn;
        const std::string partition = keys::parseJobId(idItem.value).partition;
        txn.expected.emplace_back(idItem.key, idItem.revision);
        txn.writes.push_back({idItem.key, keys::encodeJobId({partition, true}), 0});
        if (lookup != nullptr) {
            JobRecord record = lookup->record;
            record.spec.workspace = pendingJob.spec.workspace;
            record.takenFor.clear();
            txn.expected.emplace_back(keys::job(partition, pendingJob.spec.id), lookup->revision);
            txn.writes.push_back({keys::job(partition, pendingJob.spec.id), encodeJobRecord(record), 0});
        }
        logEvent(LogLevel::Info, "job-cancelled-before", {{"job", pendingJob.spec.id}});
        m_store.commit(txn, m_settings.writeTimeout, [this, pendingJob](const StoreReply &reply) {
            recordStoreReply(reply);
            completeJob(pendingJob, reply.outcome == StoreOutcome::Done ? JobApiOutcome::Done : JobApiOutcome::Unknown,
                        JobState::Cancelled);
        });
    }

    /// Stores a job under an id that only other workspaces have cancelled.
    void replaceTakenId(const PendingJob &pendingJob, const StoreItem &idItem, const LookupResult &lookup)
    {
        const std::string &id = pendingJob.spec.id;
        JobRecord record;
        record.spec = pendingJob.spec;
        StoreTxn txn;
        txn.expected.emplace_back(idItem.key, idItem.revision);
        txn.expected.emplace_back(keys::job(lookup.partition, id), lookup.revision);
        txn.writes.push_back({idItem.key, pendingJob.partition, 0});
        txn.writes.push_back({keys::job(pendingJob.partition, id), encodeJobRecord(record), 0});
        if (lookup.partition != pendingJob.partition) {
            txn.removed.push_back(keys::job(lookup.partition, id));
        }
        logEvent(LogLevel::Info, "taken-id-replaced", {{"job", id}, {"workspace", pendingJob.spec.workspace}});
        m_store.commit(txn, m_settings.writeTimeout, [this, pendingJob](const StoreReply &reply) {
            recordStoreReply(reply);
            completeJob(pendingJob, reply.outcome == StoreOutcome::Done ? JobApiOutcome::Done : JobApiOutcome::Unknown);
        });
    }

    void completeJob(const PendingJob &pendingJob, JobApiOutcome outcome, JobState state = JobState::Pending)
    {
        --m_inFlight;
        pendingJob.done({outcome, state, 0});
    }

    // Looking up jobs

    /// Reads the job's record from the partition that serves the queue now. If there is none, the queue may have had
    /// another service when the job was accepted: the record is then read from the partition stored under the job id.
    void find(const std::string &partition, const std::string &id, std::function<void(const LookupResult &)> done)
    {
        readRecord(partition, id, [this, partition, id, done = std::move(done)](const LookupResult &lookup) {
            if (lookup.outcome == JobApiOutcome::NoSuchJob) {
                findById(partition, id, 0, done);
            } else {
                done(lookup);
            }
        });
    }

    /// Reads the job's record from the partition that its id names. `knownRevision`: revision of the id's key that
    /// named a partition without the record. A key that is unchanged since then proves that there is no record; another
    /// one shows that the job was moved, or that its id was taken, between the reads.
    void findById(const std::string &partition, const std::string &id, std::uint64_t knownRevision,
                  std::function<void(const LookupResult &)> done)
    {
        m_store.read(keys::jobId(id), m_settings.readTimeout,
                     [this, partition, id, knownRevision, done = std::move(done)](const StoreReply &reply) {
                         recordStoreReply(reply);
                         const bool exists = reply.outcome == StoreOutcome::Done && !reply.items.empty();
                         const std::uint64_t revision = exists ? reply.items.front().revision : 0;
                         if (!exists || revision == knownRevision) {
                             const bool notFound = exists || reply.outcome == StoreOutcome::NotFound;
                             done({notFound ? JobApiOutcome::NoSuchJob : JobApiOutcome::NotRun, partition,
                                   JobState::Pending, 0});
                             return;
                         }
                         // Also in the same partition: the job may have been stored between the two reads.
                         readRecord(keys::parseJobId(reply.items.front().value).partition, id,
                                    [this, partition, id, revision, done](const LookupResult &lookup) {
                                        if (lookup.outcome == JobApiOutcome::NoSuchJob) {
                                            findById(partition, id, revision, done);
                                        } else {
                                            done(lookup);
                                        }
                                    });
                     });
    }

    void readRecord(const std::string &partition, const std::string &id, std::function<void(const LookupResult &)> done)
    {
        m_store.read(keys::job(partition, id), m_settings.readTimeout,
                     [this, partition, id, done = std::move(done)](const StoreReply &reply) {
                         recordStoreReply(reply);
                         LookupResult lookup;
                         lookup.partition = partition;
                         if (reply.outcome == StoreOutcome::NotFound) {
                             lookup.outcome = JobApiOutcome::NoSuchJob;
                         } else if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
                             const auto record = parseJobRecord(id, reply.items.front().value);
                             if (record) {
                                 lookup.outcome = JobApiOutcome::Done;
                                 lookup.state = record.value().state;
                                 lookup.revision = reply.items.front().revision;
                                 lookup.record = record.value();
                             } else {
                                 logEvent(LogLevel::Error, "job-unreadable", {{"job", id}});
                             }
                         }
                         done(lookup);
                     });
    }

    /// State of a job whose record says that it is cancelled. Without a request to submit it there is no such job.
    void readCancelledState(const std::string &id, const JobApiDone &done)
    {
        m_store.read(keys::jobId(id), m_settings.readTimeout, [this, done](const StoreReply &reply) {
            recordStoreReply(reply);
            if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
                const bool submitted = keys::parseJobId(reply.items.front().value).submitted;
                done({submitted ? JobApiOutcome::Done : JobApiOutcome::NoSuchJob, JobState::Cancelled, 0});
            } else {
                const bool notFound = reply.outcome == StoreOutcome::NotFound;
                done({notFound ? JobApiOutcome::NoSuchJob : JobApiOutcome::NotRun, JobState::Cancelled, 0});
            }
        });
    }

    // Cancelling jobs

    void attemptCancel(Cancellation cancellation)
    {
        const auto [partition, id] = std::pair(cancellation.partition, cancellation.id);
        find(partition, id, [this, cancellation = std::move(cancellation)](const LookupResult &lookup) {
            if (lookup.outcome == JobApiOutcome::NoSuchJob) {
                takeUnknownId(cancellation, nullptr);
                return;
            }
            const CallerScope &scope = cancellation.scope;
            if (lookup.outcome == JobApiOutcome::Done && !scope.includes(lookup.record.spec.workspace)) {
                cancellation.done({JobApiOutcome::NoSuchJob, JobState::Pending, 0});
                return;
            }
            if (lookup.outcome == JobApiOutcome::Done && !lookup.record.isTakenFor(scope.workspace)) {
                takeUnknownId(cancellation, &lookup);
                return;
            }
            if (lookup.outcome != JobApiOutcome::Done || isFinal(lookup.state)) {
                cancellation.done({lookup.outcome, lookup.state, 0});
                return;
            }
            JobRecord record;
            record.state = JobState::Cancelled;
            record.spec.workspace = lookup.record.spec.workspace;
            record.endedMs = wallNowMs();
            StoreTxn txn;
            txn.expected.emplace_back(keys::job(lookup.partition, cancellation.id), lookup.revision);
            txn.writes.push_back({keys::job(lookup.partition, cancellation.id), encodeJobRecord(record), 0});
            m_store.commit(txn, m_settings.writeTimeout, [this, cancellation](const StoreReply &reply) {
                recordStoreReply(reply);
                if (reply.outcome == StoreOutcome::Done) {
                    cancellation.done({JobApiOutcome::Done, JobState::Cancelled, 0});
                } else {
                    retryCancel(cancellation, reply.outcome);
                }
            });
        });
    }

    /// Cancels a job that no entry has stored. A request to submit it may still be on its way, read late by an entry
    /// that stood still, or written late by the store. `NoSuchJob` is reported only once the id is taken for the
    /// caller's workspace, after which none of these can store a job of it. `taken`: record of an id that is taken for
    /// other workspaces only; null: there is none.
    void takeUnknownId(const Cancellation &cancellation, const LookupResult *taken)
    {
        JobRecord record = taken != nullptr ? taken->record : JobRecord();
        record.state = JobState::Cancelled;
        record.endedMs = wallNowMs();
        if (!cancellation.scope.allJobs) {
            record.takenFor.push_back(cancellation.scope.workspace);
        }
        if (record.takenFor.size() > m_settings.maxTakenFor || !m_unknownCancels.take(bootNow())) {
            cancellation.done({cancellation.writeUnknown ? JobApiOutcome::Unknown : JobApiOutcome::Limited});
            return;
        }
        const std::string partition = taken != nullptr ? taken->partition : cancellation.partition;
        StoreTxn txn;
        if (taken != nullptr) {
            txn.expected.emplace_back(keys::job(partition, cancellation.id), taken->revision);
        } else {
            txn.expected.emplace_back(keys::jobId(cancellation.id), 0);
            txn.writes.push_back({keys::jobId(cancellation.id), keys::encodeJobId({partition, false}), 0});
        }
        txn.writes.push_back({keys::job(partition, cancellation.id), encodeJobRecord(record), 0});
        m_store.commit(txn, m_settings.writeTimeout, [this, cancellation](const StoreReply &reply) {
            recordStoreReply(reply);
            if (reply.outcome == StoreOutcome::Done) {
                cancellation.done({JobApiOutcome::NoSuchJob, JobState::Cancelled, 0});
            } else {
                retryCancel(cancellation, reply.outcome);
            }
        });
    }

    void retryCancel(Cancellation cancellation, StoreOutcome outcome)
    {
        cancellation.writeUnknown = cancellation.writeUnknown || outcome == StoreOutcome::Unknown;
        if (cancellation.attemptsLeft > 1 && (outcome == StoreOutcome::Conflict || outcome == StoreOutcome::Unknown)) {
            --cancellation.attemptsLeft;
            attemptCancel(std::move(cancellation));
        } else {
            cancellation.done(
                {cancellation.writeUnknown ? JobApiOutcome::Unknown : JobApiOutcome::NotRun, JobState::Pending, 0});
        }
    }

    void addCounts(const std::string &text)
    {
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(text, error);
        if (error || !value.is_object()) {
            logRepeated(LogLevel::Error, "counts-unreadable", "counts");
            return;
        }
        for (const auto &[queue, count] : value.get_object()) {
            m_counts[std::string(queue)] += count.is_int64() ? static_cast<int>(count.get_int64()) : 0;
        }
    }

    S &m_store;
    Timers &m_timers;
    JobApiSettings m_settings;
    RateLimit m_unknownCancels;
    std::deque<PendingJob> m_pendingJobs;
    std::size_t m_inFlight = 0;
    int m_openWrites = 0;
    std::map<std::string, int> m_counts;
    TimePoint m_countsReadAt{Duration{-10'000'000}};
    int m_failures = 0;  // calls to the store in a row that were refused or not answered
    TimePoint m_lastOutcomeAt;
    TimePoint m_lastReachedAt;
};

}
