#pragma once

// A key-value store in memory with compare-and-swap, leases and a log of deletions: the state behind
// EmbeddedCoordination and the stand-in of the coordination service. No sockets, no clock.

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
    /// Conflict carries the present version in its message.
    Result<std::uint64_t> swap(const SwapRequest &request);
    Result<bool> remove(const std::string &key, std::uint64_t expected);

    /// Empty when nothing changed under the prefixes; after version 0: all present values. Error: NotFound.
    Result<WatchBatch> changes(const std::string &prefixes, std::uint64_t after) const;
    std::uint64_t version() const;

    std::string grantLease(Duration ttl, TimePoint now);
    bool renewLease(const std::string &lease, TimePoint now);
    bool expire(TimePoint now);                   // true: values were deleted
    std::optional<TimePoint> nextExpiry() const;  // of the leases

private:
    struct Lease
    {
        Duration ttl{0};
        TimePoint until;
    };
    struct Kept
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
    // Watchers that are further behind list again; bounds memory under steady deletion.
    static constexpr std::size_t DeletionLimit = 4096;

    void erase(std::map<std::string, Kept>::iterator place);

    std::map<std::string, Kept> m_values;
    std::map<std::string, Lease> m_leases;
    std::deque<Deletion> m_deletions;
    std::uint64_t m_version = 0;
    std::uint64_t m_forgotten = 0;  // deletions up to this version are no longer known
    std::uint64_t m_nextLease = 1;
};

}
