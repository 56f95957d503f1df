#pragma once

// The writes of an owner. Each proves the ownership, and changes a key only at the revision of this owner's last write
// to it: a write without an answer may be carried out seconds later, and must not undo a newer one.

#include "store.h"

#include <algorithm>
#include <map>
#include <memory>

namespace briarvane
{

template<Store S>
class OwnerWrites
{
public:
    OwnerWrites(S &store, std::string ownershipKey, std::uint64_t fencingToken)
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

    /// `deposed`: another owner has the share. A conflict without it is over with the next try: either a row of the
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

}
