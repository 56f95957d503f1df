#pragma once

// A key-value store in memory with compare-and-swap, leases and a log of deletions. EmbeddedCoordination and the
// stand-in of the coordination service keep their state in it. Uses no sockets and no clock.

#include "coordination.h"
#include "membership.h"

#include <deque>
#include <map>

namespace briarvane
{

class MemoryStore
{
public:
    static constexpr std::size_t ValueLimit = 1 << 20;  // 1 MB, as in the coordination service

    StoreValue read(const std::string &key) const;
    std::vector<StoreValue> list(const std::string &prefixes) const;
    /// Errors: Invalid (value too large), NotFound (the lease has lapsed), Conflict (the message contains the present
    /// version).
    Result<std::uint64_t> swap(const SwapRequest &request);
    Result<bool> remove(const std::string &key, std::uint64_t expected);

    /// Values under the comma-separated prefixes that changed after a version; after version 0: all present values.
    /// Error: NotFound when the log of deletions no longer reaches back to that version.
    Result<WatchBatch> changes(const std::string &prefixes, std::uint64_t after) const;
    std::uint64_t version() const;

    std::string grantLease(Duration ttl, TimePoint now);
    bool renewLease(const std::string &lease, TimePoint now);
    /// Deletes the leases that have lapsed and the values on them. Returns whether values were deleted.
    bool expire(TimePoint now);
    std::optional<TimePoint> nextExpiry() const;  // time at which the next lease lapses

private:
    struct Lease
    {
        Duration ttl{0};
        TimePoint expiresAt;
    };
    struct StoredValue
    {
        std::string value;
        std::uint64_t version = 0;
        std::string lease;
    };
    struct Deletion
    {
        std::string key;
        std::uint64_t version = 0;
    };
    // Bounds the memory of the deletion log. A watcher that has missed more deletions than this must list the
    // values again.
    static constexpr std::size_t DeletionLimit = 4096;

    void erase(std::map<std::string, StoredValue>::iterator position);

    std::map<std::string, StoredValue> m_values;
    std::map<std::string, Lease> m_leases;
    std::deque<Deletion> m_deletions;
    std::uint64_t m_version = 0;
    std::uint64_t m_droppedDeletions = 0;  // deletions up to this version were removed from the log
    std::uint64_t m_nextLease = 1;
};

}
