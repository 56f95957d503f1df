#pragma once

// The callers' side of an entry: accepts jobs into the store, tells their state, cancels them. Formats are the
// adapter's; statuses and when to give up are decided here.
//
// Index
// [1] Settings and outcomes
// [2] The API

#include "boot_clock.h"
#include "deployment.h"
#include "job_keys.h"
#include "log.h"
#include "store_view.h"

#include <boost/json.hpp>

#include <deque>

namespace briarvane
{

// [1] Settings and outcomes -------------------------------------------------------------------------------------------

struct JobApiSettings
{
    Duration firstTry{600'000};   // of a write; a slow store answers within 250 ms
    Duration secondTry{900'000};  // the same write again: its precondition keeps it to one effect
    Duration readTimeout{900'000};
    int writesAtOnce = 2;         // further jobs join the next write
    Duration countsAge{400'000};  // owners publish every 0.7 s; together below the 2 s that callers accept
    int cancelTries = 4;          // each lost race with the owner's write is read again
};

enum class JobApiOutcome {
    Done,       // accepted, cancelled, or the state is told
    NoSuchJob,  // the store says so
    NotRun,     // refused without effect: ask again later
    Unknown,    // may have been accepted: ask again with the same id
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
    {
    }

    /// Whether the last calls reached the store. Jobs that come while it is away are refused at once.
    bool storeUsable(TimePoint now) const
    {
        constexpr int enough = 2;  // one lost answer says nothing
        constexpr Duration recently{1'500'000};
        return m_failures < enough || now - m_lastAnswer < recently || now - m_lastTry > recently;
    }

    void submit(JobSpec spec, JobApiDone done)
    {
        const TimePoint now = bootNow();
        if (!storeUsable(now)) {
            done({JobApiOutcome::NotRun, JobState::Pending, 0});
            return;
        }
        m_waiting.push_back({std::move(spec), std::move(done), 0, now});
        flush();
    }

    void state(const std::string &partition, const std::string &id, JobApiDone done)
    {
        find(partition, id, [this, id, done = std::move(done)](const Found &found) {
            if (found.outcome != JobApiOutcome::Done || isFinal(found.state)) {
                done({found.outcome, found.state, 0});
                return;
            }
            m_store.read(keys::progress(found.partition, id), m_settings.readTimeout,
                         [this, done](const StoreReply &reply) {
                             note(reply);
                             if (reply.outcome != StoreOutcome::Done && reply.outcome != StoreOutcome::NotFound) {
                                 done({JobApiOutcome::NotRun, JobState::Pending, 0});
                                 return;
                             }
                             const bool started = reply.outcome == StoreOutcome::Done;
                             done({JobApiOutcome::Done, started ? JobState::Running : JobState::Pending, 0});
                         });
        });
    }

    void cancel(const std::string &partition, const std::string &id, JobApiDone done)
    {
        cancelTry(partition, id, m_settings.cancelTries, std::move(done));
    }

    void waiting(const std::string &queue, JobApiDone done)
    {
        const TimePoint now = bootNow();
        if (now - m_countsAt < m_settings.countsAge) {
            done({JobApiOutcome::Done, JobState::Pending, m_counts[queue]});
            return;
        }
        m_store.range(keys::WaitingCounts, {}, false, m_settings.readTimeout,
                      [this, queue, now, done = std::move(done)](const StoreReply &reply) {
                          note(reply);
                          if (reply.outcome != StoreOutcome::Done) {
                              done({JobApiOutcome::NotRun, JobState::Pending, 0});
                              return;
                          }
                          m_counts.clear();
                          m_countsAt = now;
                          for (const StoreItem &item : reply.items) {
                              addCounts(item.value);
                          }
                          done({JobApiOutcome::Done, JobState::Pending, m_counts[queue]});
                      });
    }

    std::size_t open() const
    {
        return m_waiting.size() + m_inFlight;
    }
    /// Any call of this entry to the store tells whether it can be reached.
    void note(const StoreReply &reply)
    {
        m_lastTry = bootNow();
        if (reply.outcome == StoreOutcome::Refused || reply.outcome == StoreOutcome::Unknown) {
            ++m_failures;
        } else {
            m_failures = 0;
            m_lastAnswer = m_lastTry;
        }
    }

private:
    struct Submission
    {
        JobSpec spec;
        JobApiDone done;
        int uncertainTries = 0;  // tries whose outcome is not known
        TimePoint arrived;
    };

    struct Found
    {
        JobApiOutcome outcome = JobApiOutcome::NotRun;
        std::string partition;
        JobState state = JobState::Pending;
        std::uint64_t revision = 0;
    };

    using Batch = std::shared_ptr<std::vector<Submission>>;

    // Accepting

    void flush()
    {
        constexpr std::size_t rowsPerJob = 3;
        constexpr std::size_t mostJobs = StoreTxn::TxnRows / rowsPerJob;
        while (!m_waiting.empty() && m_writes < m_settings.writesAtOnce) {
            auto batch = std::make_shared<std::vector<Submission>>();
            while (!m_waiting.empty() && batch->size() < mostJobs) {
                batch->push_back(std::move(m_waiting.front()));
                m_waiting.pop_front();
            }
            ++m_writes;
            m_inFlight += batch->size();
            write(batch, m_settings.firstTry);
        }
    }

    void write(const Batch &batch, Duration timeout)
    {
        StoreTxn txn;
        for (const Submission &submission : *batch) {
            const JobSpec &spec = submission.spec;
            JobRecord record;
            record.spec = spec;
            txn.expected.emplace_back(keys::jobId(spec.id), 0);
            txn.writes.push_back({keys::jobId(spec.id), spec.service, 0});
            txn.writes.push_back({keys::job(spec.service, spec.id), encodeJobRecord(record), 0});
        }
        m_store.commit(txn, timeout, [this, batch](const StoreReply &reply) { written(batch, reply); });
    }

    void written(const Batch &batch, const StoreReply &reply)
    {
        note(reply);
        switch (reply.outcome) {
        case StoreOutcome::Done:
            for (const Submission &submission : *batch) {
                finish(submission, JobApiOutcome::Done);
            }
            break;
        case StoreOutcome::Conflict: {
            // The ids that exist are accepted jobs, from an earlier call or from our own unanswered write.
            std::map<std::string, bool> exists;
            for (const StoreItem &item : reply.items) {
                exists[item.key] = item.revision != 0 && !item.removed;
            }
            auto rest = std::make_shared<std::vector<Submission>>();
            for (Submission &submission : *batch) {
                if (exists[keys::jobId(submission.spec.id)]) {
                    finish(submission, JobApiOutcome::Done);
                } else {
                    rest->push_back(std::move(submission));
                }
            }
            if (rest->size() < batch->size() && !rest->empty()) {
                write(rest, m_settings.firstTry);
                return;
            }
            for (const Submission &submission : *rest) {  // a conflict that names no key
                finish(submission, JobApiOutcome::Unknown);
            }
            break;
        }
        case StoreOutcome::Unknown: {
            for (Submission &submission : *batch) {
                ++submission.uncertainTries;
            }
            if (batch->front().uncertainTries < 2) {
                write(batch, m_settings.secondTry);
                return;
            }
            for (const Submission &submission : *batch) {
                finish(submission, JobApiOutcome::Unknown);
            }
            break;
        }
        default:
            for (const Submission &submission : *batch) {
                finish(submission, submission.uncertainTries > 0 ? JobApiOutcome::Unknown : JobApiOutcome::NotRun);
            }
        }
        --m_writes;
        flush();
    }

    void finish(const Submission &submission, JobApiOutcome outcome)
    {
        --m_inFlight;
        submission.done({outcome, JobState::Pending, 0});
    }

    // Looking up

    /// Reads the record under the partition that the queue has now, else under the one that the id names.
    void find(const std::string &partition, const std::string &id, std::function<void(const Found &)> done)
    {
        readRecord(partition, id, [this, partition, id, done = std::move(done)](const Found &found) {
            if (found.outcome != JobApiOutcome::NoSuchJob) {
                done(found);
                return;
            }
            m_store.read(keys::jobId(id), m_settings.readTimeout, [this, partition, id, done](const StoreReply &reply) {
                note(reply);
                if (reply.outcome == StoreOutcome::Done && !reply.items.empty()
                    && reply.items.front().value != partition) {
                    readRecord(reply.items.front().value, id, done);
                    return;
                }
                const bool none = reply.outcome == StoreOutcome::NotFound;
                done({none ? JobApiOutcome::NoSuchJob : JobApiOutcome::NotRun, partition, JobState::Pending, 0});
            });
        });
    }

    void readRecord(const std::string &partition, const std::string &id, std::function<void(const Found &)> done)
    {
        m_store.read(keys::job(partition, id), m_settings.readTimeout,
                     [this, partition, id, done = std::move(done)](const StoreReply &reply) {
                         note(reply);
                         Found found;
                         found.partition = partition;
                         if (reply.outcome == StoreOutcome::NotFound) {
                             found.outcome = JobApiOutcome::NoSuchJob;
                         } else if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
                             const auto record = parseJobRecord(id, reply.items.front().value);
                             if (record) {
                                 found.outcome = JobApiOutcome::Done;
                                 found.state = record.value().state;
                                 found.revision = reply.items.front().revision;
                             } else {
                                 logEvent(LogLevel::Error, "job-unreadable", {{"job", id}});
                             }
                         }
                         done(found);
                     });
    }

    // Cancelling

    void cancelTry(const std::string &partition, const std::string &id, int tries, JobApiDone done)
    {
        find(partition, id, [this, partition, id, tries, done = std::move(done)](const Found &found) {
            if (found.outcome != JobApiOutcome::Done || isFinal(found.state)) {
                done({found.outcome, found.state, 0});
                return;
            }
            JobRecord record;
            record.state = JobState::Cancelled;
            record.endedMs = wallNowMs();
            StoreTxn txn;
            txn.expected.emplace_back(keys::job(found.partition, id), found.revision);
            txn.writes.push_back({keys::job(found.partition, id), encodeJobRecord(record), 0});
            m_store.commit(txn, m_settings.firstTry, [this, partition, id, tries, done](const StoreReply &reply) {
                note(reply);
                if (reply.outcome == StoreOutcome::Done) {
                    done({JobApiOutcome::Done, JobState::Cancelled, 0});
                } else if (tries > 1
                           && (reply.outcome == StoreOutcome::Conflict || reply.outcome == StoreOutcome::Unknown)) {
                    cancelTry(partition, id, tries - 1, done);
                } else {
                    const bool unknown = reply.outcome == StoreOutcome::Unknown;
                    done({unknown ? JobApiOutcome::Unknown : JobApiOutcome::NotRun, JobState::Pending, 0});
                }
            });
        });
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
    std::deque<Submission> m_waiting;
    std::size_t m_inFlight = 0;
    int m_writes = 0;
    std::map<std::string, int> m_counts;
    TimePoint m_countsAt{Duration{-10'000'000}};
    int m_failures = 0;
    TimePoint m_lastTry;
    TimePoint m_lastAnswer;
};

}
