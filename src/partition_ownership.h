#pragma once

// Acquiring and releasing a partition, and the writes of its owner. Each write has two kinds of preconditions: the
// owner still has the partition, and each key still has the revision of this owner's last write to the key. A write
// that was not answered may be carried out seconds later; the second precondition keeps it from undoing a newer write.
//
// Index
// [1] Fenced writes
// [2] Acquiring a partition
// [3] Releasing a partition

#include "boot_clock.h"
#include "http_timers.h"
#include "job_keys.h"
#include "store.h"

#include <algorithm>

namespace briarvane
{

// [1] Fenced writes ---------------------------------------------------------------------------------------------------

template<Store S>
class FencedWriter
{
public:
    FencedWriter(S &store, std::string ownershipKey, std::uint64_t fencingToken)
        : m_store(store)
        , m_ownershipKey(std::move(ownershipKey))
        , m_fencingToken(fencingToken)
        , m_revisions(std::make_shared<Revisions>())
    {
    }

    /// Sets the revision of a key that was read after the ownership began. A key without a recorded revision is
    /// expected not to exist.
    void recordRevision(const std::string &key, std::uint64_t revision)
    {
        (*m_revisions)[key] = revision;
    }

    /// Number of rows that commit() sends for the transaction, with the preconditions that it adds.
    static std::size_t sentRows(const StoreTxn &txn)
    {
        std::size_t rows = txn.rows() + 1;  // the ownership key
        const auto addPrecondition = [&](const std::string &key) { rows += expects(txn, key) ? 0 : 1; };
        for (const StoreWrite &write : txn.writes) {
            addPrecondition(write.key);
        }
        std::for_each(txn.removed.begin(), txn.removed.end(), addPrecondition);
        return rows;
    }

    /// Appends `part` to the transaction if the store accepts both as one. Returns false and changes nothing otherwise.
    static bool appendIfAccepted(StoreTxn &txn, const StoreTxn &part)
    {
        if (sentRows(txn) + sentRows(part) - 1 > StoreTxn::MaxRows) {  // both counts include the ownership key
            return false;
        }
        txn.expected.insert(txn.expected.end(), part.expected.begin(), part.expected.end());
        txn.writes.insert(txn.writes.end(), part.writes.begin(), part.writes.end());
        txn.removed.insert(txn.removed.end(), part.removed.begin(), part.removed.end());
        return true;
    }

    /// `deposed`: another owner has the partition. A conflict with `deposed` false has one of two causes: a
    /// precondition of the caller does not hold, or the recorded revision of a key was out of date. The reply updates
    /// the recorded revisions, so the second cause does not recur.
    using CommitDone = std::function<void(const StoreReply &, bool deposed)>;
    void commit(StoreTxn txn, Duration timeout, CommitDone done)
    {
        std::vector<std::pair<std::string, std::uint64_t>> added{{m_ownershipKey, m_fencingToken}};
        const auto expectOwnRevision = [&](const std::string &key) {
            if (!expects(txn, key)) {
                const auto known = m_revisions->find(key);
                added.emplace_back(key, known == m_revisions->end() ? 0 : known->second);
            }
        };
        for (const StoreWrite &write : txn.writes) {
            expectOwnRevision(write.key);
        }
        for (const std::string &key : txn.removed) {
            expectOwnRevision(key);
        }
        txn.expected.insert(txn.expected.end(), added.begin(), added.end());
        m_store.commit(txn, timeout,
                       [revisions = m_revisions, txn, ownershipKey = m_ownershipKey, token = m_fencingToken,
                        done = std::move(done)](const StoreReply &reply) {
                           updateRevisions(*revisions, txn, reply);
                           done(reply, isDeposed(reply, ownershipKey, token));
                       });
    }

private:
    using Revisions = std::map<std::string, std::uint64_t>;

    static bool expects(const StoreTxn &txn, const std::string &key)
    {
        return std::any_of(txn.expected.begin(), txn.expected.end(),
                           [&key](const auto &row) { return row.first == key; });
    }

    static std::uint64_t presentRevision(const StoreReply &reply, const std::string &key)
    {
        const auto item = std::find_if(reply.items.begin(), reply.items.end(),
                                       [&key](const StoreItem &candidate) { return candidate.key == key; });
        return item == reply.items.end() || item->removed ? 0 : item->revision;
    }

    static bool isDeposed(const StoreReply &reply, const std::string &ownershipKey, std::uint64_t token)
    {
        return reply.outcome == StoreOutcome::Conflict && presentRevision(reply, ownershipKey) != token;
    }

    static void updateRevisions(Revisions &revisions, const StoreTxn &txn, const StoreReply &reply)
    {
        if (reply.outcome == StoreOutcome::Done) {
            for (const StoreWrite &write : txn.writes) {
                revisions[write.key] = reply.revision;
            }
            for (const std::string &key : txn.removed) {
                revisions.erase(key);
            }
        } else if (reply.outcome == StoreOutcome::Conflict) {
            for (const auto &[key, expected] : txn.expected) {
                if (const std::uint64_t present = presentRevision(reply, key); present != 0) {
                    revisions[key] = present;
                } else {
                    revisions.erase(key);
                }
            }
        }
    }

    S &m_store;
    std::string m_ownershipKey;
    std::uint64_t m_fencingToken = 0;
    std::shared_ptr<Revisions> m_revisions;  // shared with completions, which may outlive the owner
};

// [2] Acquiring a partition -------------------------------------------------------------------------------------------

constexpr Duration AcquireTimeout{700'000};  // timeout of each call; a slow store takes up to 250 ms

struct Acquisition
{
    std::uint64_t fencingToken = 0;
    keys::Predecessor predecessor = keys::Predecessor::Lost;
    TimePoint confirmedAt;  // time at which the acquiring write was sent
};

enum class AcquisitionOutcome {
    Acquired,
    NotAcquired,
    Unknown,  // the write may have been carried out, or may still be
};

template<>
struct EnumNames<AcquisitionOutcome>
{
    static constexpr std::array<EnumName<AcquisitionOutcome>, 3> names
        = {{{AcquisitionOutcome::Acquired, "acquired"},
            {AcquisitionOutcome::NotAcquired, "not-acquired"},
            {AcquisitionOutcome::Unknown, "unknown"}}};
};

struct AcquisitionRequest
{
    std::string partition;
    std::string holder;       // value for the ownership key; names this process
    std::uint64_t lease = 0;  // the ownership ends with this lease
    /// Predecessor of an earlier acquisition of this process whose reply was lost. It applies if that write was carried
    /// out, which the ownership marker shows.
    std::optional<keys::Predecessor> unknownPredecessor;
};

/// Takes a vacant partition. `vacantRevision` returns the revision that the ownership key must have, or nothing while
/// another entry has the partition. It is called after the ownership marker was read, since another entry may have
/// taken the partition during the read. `done` is called with the outcome and the acquisition, which has a fencing
/// token only if the outcome is Acquired.
template<Store S, class V, class D>
void acquirePartition(S &store, const AcquisitionRequest &request, V vacantRevision, D done)
{
    store.read(keys::ownershipMarker(request.partition), AcquireTimeout,
               [&store, request, vacantRevision, done](const StoreReply &markerReply) {
                   const std::optional<std::uint64_t> expectedRevision = vacantRevision();
                   const bool answered
                       = markerReply.outcome == StoreOutcome::Done || markerReply.outcome == StoreOutcome::NotFound;
                   if (!answered || !expectedRevision) {
                       done(AcquisitionOutcome::NotAcquired, Acquisition());
                       return;
                   }
                   const bool exists = markerReply.outcome == StoreOutcome::Done && !markerReply.items.empty();
                   const std::string marker = exists ? markerReply.items.front().value : std::string();
                   Acquisition attempt;
                   attempt.predecessor = !exists        ? keys::Predecessor::None
                       : marker == keys::ReleasedMarker ? keys::Predecessor::Released
                       : marker == request.holder       ? request.unknownPredecessor.value_or(keys::Predecessor::Lost)
                                                        : keys::Predecessor::Lost;
                   attempt.confirmedAt = bootNow();
                   StoreTxn txn;
                   txn.expected.emplace_back(keys::owner(request.partition), *expectedRevision);
                   // Keeps a late write from taking the partition after another owner came and went: the predecessor
                   // would be that owner then.
                   txn.expected.emplace_back(keys::ownershipMarker(request.partition),
                                             exists ? markerReply.items.front().revision : 0);
                   txn.writes.push_back({keys::owner(request.partition), request.holder, request.lease});
                   txn.writes.push_back({keys::ownershipMarker(request.partition), request.holder, 0});
                   store.commit(txn, AcquireTimeout, [&store, request, attempt, done](const StoreReply &reply) {
                       Acquisition acquisition = attempt;
                       if (reply.outcome != StoreOutcome::Unknown) {
                           const bool acquired = reply.outcome == StoreOutcome::Done;
                           acquisition.fencingToken = acquired ? reply.revision : 0;
                           done(acquired ? AcquisitionOutcome::Acquired : AcquisitionOutcome::NotAcquired, acquisition);
                           return;
                       }
                       store.read(keys::owner(request.partition), AcquireTimeout,
                                  [request, attempt, done](const StoreReply &owner) {
                                      const bool isHolder = owner.outcome == StoreOutcome::Done && !owner.items.empty()
                                          && owner.items.front().value == request.holder;
                                      Acquisition acquisition = attempt;
                                      acquisition.fencingToken = isHolder ? owner.items.front().revision : 0;
                                      done(isHolder ? AcquisitionOutcome::Acquired : AcquisitionOutcome::Unknown,
                                           acquisition);
                                  });
                   });
               });
}

// [3] Releasing a partition -------------------------------------------------------------------------------------------

/// Timeout of the write that releases a partition. A slow store answers within 250 ms. Two attempts with ReleaseRetry
/// between them (700 + 550 + 700 ms) fit into the lease of 2 s.
constexpr Duration ReleaseTimeout{700'000};
/// Pause after a failed release. The expiry of the lease ends the ownership in any case.
constexpr Duration ReleaseRetry{550'000};

/// Ends the ownership with this fencing token, so that another entry can take the partition at once. The write is
/// repeated until the store reports that it was done or that its precondition no longer holds, which means that the
/// ownership has ended. The precondition on the token keeps a repetition from ending the ownership of a successor.
/// `earlierOwnersStopped`: no owner before this one can send commands any more. Otherwise the marker keeps naming this
/// owner, and the next one waits as after a lost ownership.
template<Store S>
void releasePartition(S &store, Timers &timers, const std::string &partition, std::uint64_t token,
                      bool earlierOwnersStopped)
{
    StoreTxn txn;
    txn.expected.emplace_back(keys::owner(partition), token);
    txn.removed.push_back(keys::owner(partition));
    if (earlierOwnersStopped) {
        txn.writes.push_back({keys::ownershipMarker(partition), keys::ReleasedMarker, 0});
    }
    store.commit(
        txn, ReleaseTimeout, [&store, &timers, partition, token, earlierOwnersStopped](const StoreReply &reply) {
            if (reply.outcome != StoreOutcome::Done && reply.outcome != StoreOutcome::Conflict) {
                timers.at(steadyNow() + ReleaseRetry, [&store, &timers, partition, token, earlierOwnersStopped] {
                    releasePartition(store, timers, partition, token, earlierOwnersStopped);
                });
            }
        });
}

}
