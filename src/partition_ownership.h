#pragma once

// The writes of an owner. Each proves the ownership, and changes a key only at the revision of this owner's last write
// to it: a write without an answer may be carried out seconds later, and must not undo a newer one.
//
// Index
// [1] Writes while the ownership lasts
// [2] Acquiring a partition
// [3] Releasing a partition

#include "boot_clock.h"
#include "http_timers.h"
#include "job_keys.h"
#include "store.h"

#include <algorithm>

namespace briarvane
{

// [1] Writes while the ownership lasts --------------------------------------------------------------------------------

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

    /// A key as it was read after the ownership began; a key that is not known is taken not to exist.
    void know(const std::string &key, std::uint64_t revision)
    {
        (*m_revisions)[key] = revision;
    }

    /// `deposed`: another owner has the partition. A conflict without it is over with the next try: either a row of the
    /// caller's does not hold, or a key was not known as it is.
    using Written = std::function<void(const StoreReply &, bool deposed)>;
    void commit(StoreTxn txn, Duration timeout, Written done)
    {
        const std::size_t own = txn.expected.size();
        txn.expected.emplace_back(m_ownershipKey, m_fencingToken);
        const auto guard = [&](const std::string &key) {
            const auto end = txn.expected.begin() + static_cast<std::ptrdiff_t>(own);
            if (std::none_of(txn.expected.begin(), end, [&key](const auto &row) { return row.first == key; })) {
                const auto known = m_revisions->find(key);
                txn.expected.emplace_back(key, known == m_revisions->end() ? 0 : known->second);
            }
        };
        for (const StoreWrite &write : txn.writes) {
            guard(write.key);
        }
        for (const std::string &key : txn.removed) {
            guard(key);
        }
        m_store.commit(txn, timeout,
                       [revisions = m_revisions, txn, ownershipKey = m_ownershipKey, token = m_fencingToken,
                        done = std::move(done)](const StoreReply &reply) {
                           note(*revisions, txn, reply);
                           done(reply, isDeposed(reply, ownershipKey, token));
                       });
    }

private:
    using Revisions = std::map<std::string, std::uint64_t>;

    static std::uint64_t revisionOf(const StoreReply &reply, const std::string &key)
    {
        const auto item = std::find_if(reply.items.begin(), reply.items.end(),
                                       [&key](const StoreItem &one) { return one.key == key; });
        return item == reply.items.end() || item->removed ? 0 : item->revision;
    }

    static bool isDeposed(const StoreReply &reply, const std::string &ownershipKey, std::uint64_t token)
    {
        return reply.outcome == StoreOutcome::Conflict && revisionOf(reply, ownershipKey) != token;
    }

    static void note(Revisions &revisions, const StoreTxn &txn, const StoreReply &reply)
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
                if (const std::uint64_t present = revisionOf(reply, key); present != 0) {
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
    std::shared_ptr<Revisions> m_revisions;  // answers may outlive the owner
};

// [2] Acquiring a partition -------------------------------------------------------------------------------------------

constexpr Duration AcquireTimeout{700'000};  // a slow store takes up to 250 ms

struct Acquisition
{
    std::uint64_t fencingToken = 0;
    keys::Predecessor predecessor = keys::Predecessor::Lost;
    TimePoint provenAt;  // the write was sent then
};

/// Takes a vacant partition. `vacantRevision` gives the revision that the ownership key must have, nothing while
/// another entry has the partition; it is asked after the marker was read, since another entry may have taken the
/// partition meanwhile.
template<Store S, class V, class D>
void acquirePartition(S &store, const std::string &partition, const std::string &holder, std::uint64_t lease,
                      V vacantRevision, D done)
{
    store.read(keys::ownershipMarker(partition), AcquireTimeout,
               [&store, partition, holder, lease, vacantRevision, done](const StoreReply &marker) {
                   const std::optional<std::uint64_t> vacant = vacantRevision();
                   const bool read = marker.outcome == StoreOutcome::Done || marker.outcome == StoreOutcome::NotFound;
                   if (!read || !vacant) {
                       done(std::nullopt);
                       return;
                   }
                   const bool exists = marker.outcome == StoreOutcome::Done && !marker.items.empty();
                   Acquisition made;
                   made.predecessor = !exists                               ? keys::Predecessor::None
                       : marker.items.front().value == keys::ReleasedMarker ? keys::Predecessor::Released
                                                                            : keys::Predecessor::Lost;
                   made.provenAt = bootNow();
                   StoreTxn txn;
                   txn.expected.emplace_back(keys::owner(partition), *vacant);
                   txn.writes.push_back({keys::owner(partition), holder, lease});
                   txn.writes.push_back({keys::ownershipMarker(partition), holder, 0});
                   store.commit(txn, AcquireTimeout, [&store, partition, holder, made, done](const StoreReply &reply) {
                       Acquisition acquired = made;
                       acquired.fencingToken = reply.revision;
                       if (reply.outcome != StoreOutcome::Unknown) {
                           done(reply.outcome == StoreOutcome::Done ? std::optional(acquired) : std::nullopt);
                           return;
                       }
                       store.read(keys::owner(partition), AcquireTimeout,
                                  [holder, acquired, done](const StoreReply &owner) mutable {
                                      const bool own = owner.outcome == StoreOutcome::Done && !owner.items.empty()
                                          && owner.items.front().value == holder;
                                      if (own) {
                                          acquired.fencingToken = owner.items.front().revision;
                                      }
                                      done(own ? std::optional(acquired) : std::nullopt);
                                  });
                   });
               });
}

// [3] Releasing a partition -------------------------------------------------------------------------------------------

constexpr Duration ReleaseTimeout{700'000};  // a slow store takes up to 250 ms
constexpr Duration ReleaseRetry{550'000};    // two tries within the lease that ends the ownership anyway

/// Ends the ownership with this token, so that another entry takes the partition at once. Repeated until the store has
/// said that it is done or that somebody else has the partition; a repetition never ends the ownership of a successor.
template<Store S>
void releasePartition(S &store, Timers &timers, const std::string &partition, std::uint64_t token)
{
    StoreTxn txn;
    txn.expected.emplace_back(keys::owner(partition), token);
    txn.removed.push_back(keys::owner(partition));
    txn.writes.push_back({keys::ownershipMarker(partition), keys::ReleasedMarker, 0});
    store.commit(txn, ReleaseTimeout, [&store, &timers, partition, token](const StoreReply &reply) {
        if (reply.outcome != StoreOutcome::Done && reply.outcome != StoreOutcome::Conflict) {
            timers.at(steadyNow() + ReleaseRetry,
                      [&store, &timers, partition, token] { releasePartition(store, timers, partition, token); });
        }
    });
}

}
