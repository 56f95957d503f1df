#pragma once

// Stand-in of the store client for tests of owners: keeps its items in memory, loses replies and applies writes late.

#include "store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

namespace briarvane
{

/// A store with preconditions that can lose a write: it replies Unknown and holds the write back until
/// applyLostWrites() is called.
class UnreliableStore
{
public:
    explicit UnreliableStore(boost::asio::io_context &io)
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
    /// Rejects all writes of keys with the prefix as invalid; empty: none.
    void rejectWrites(const std::string &prefix)
    {
        m_rejectPrefix = prefix;
    }
    int rejectedWrites() const
    {
        return m_rejectedWrites;
    }
    void loseNextWrite(const std::string &prefix)
    {
        m_losePrefix = prefix;
    }
    /// The next write is applied, but its reply is lost and the store is busy from then on.
    void loseNextReplyAndRefuse()
    {
        m_loseReply = true;
    }
    /// While busy, the store refuses all calls.
    void setBusy(bool busy)
    {
        m_busy = busy;
    }
    /// The item of a key as a watch reports it, also when the key does not exist.
    StoreItem item(const std::string &key) const
    {
        const auto found = m_items.find(key);
        return found == m_items.end() ? StoreItem{key, {}, m_revision, 0, true} : found->second;
    }
    void erase(const std::string &key)
    {
        ++m_revision;
        m_items.erase(key);
    }
    bool hasLostWrite() const
    {
        return !m_lostWrites.empty();
    }
    /// Applies the lost writes whose preconditions still hold.
    std::vector<StoreOutcome> applyLostWrites()
    {
        std::vector<StoreOutcome> outcomes;
        for (const StoreTxn &txn : std::exchange(m_lostWrites, {})) {
            outcomes.push_back(apply(txn).outcome);
        }
        return outcomes;
    }

    void read(const std::string &key, Duration /*timeout*/, const StoreDone &done)
    {
        StoreReply reply;
        if (m_busy) {
            reply.outcome = StoreOutcome::Refused;
            answer(done, std::move(reply));
            return;
        }
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
    void watch(const std::string &prefix, std::uint64_t /*after*/, Duration /*wait*/, const StoreDone &done)
    {
        m_watches[prefix] = done;
    }
    /// Reports the present item of the key to the watch of `prefix`.
    void report(const std::string &prefix, const std::string &key)
    {
        StoreReply reply;
        reply.outcome = StoreOutcome::Done;
        reply.revision = m_revision;
        reply.items.push_back(item(key));
        const auto watch = m_watches.extract(prefix);
        REQUIRE_FALSE(watch.empty());
        answer(watch.mapped(), std::move(reply));
    }
    bool watched(const std::string &prefix) const
    {
        return m_watches.contains(prefix);
    }
    void commit(const StoreTxn &txn, Duration /*timeout*/, const StoreDone &done)
    {
        const auto writes = [&txn](const std::string &prefix) {
            return !prefix.empty()
                && std::any_of(txn.writes.begin(), txn.writes.end(),
                               [&prefix](const StoreWrite &write) { return write.key.starts_with(prefix); });
        };
        if (writes(m_rejectPrefix)) {
            ++m_rejectedWrites;
            StoreReply reply;
            reply.outcome = StoreOutcome::Malformed;
            answer(done, std::move(reply));
            return;
        }
        if (writes(m_losePrefix)) {
            m_losePrefix.clear();
            m_lostWrites.push_back(txn);
            StoreReply reply;
            reply.outcome = StoreOutcome::Unknown;
            answer(done, std::move(reply));
            return;
        }
        StoreReply reply;
        reply.outcome = StoreOutcome::Refused;
        if (!m_busy) {
            reply = apply(txn);
        }
        if (std::exchange(m_loseReply, false)) {
            reply = {};
            m_busy = true;
        }
        answer(done, std::move(reply));
    }
    void grantLease(Duration /*ttl*/, const StoreDone & /*done*/)
    {
    }
    void renewLease(std::uint64_t /*lease*/, const StoreDone & /*done*/)
    {
    }
    void revokeLease(std::uint64_t /*lease*/, const StoreDone & /*done*/)
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
        REQUIRE(txn.rows() <= StoreTxn::MaxRows);
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
    std::string m_rejectPrefix;
    int m_rejectedWrites = 0;
    std::string m_losePrefix;
    std::vector<StoreTxn> m_lostWrites;
    std::map<std::string, StoreDone> m_watches;  // open watch by prefix
    bool m_loseReply = false;
    bool m_busy = false;
};

}
