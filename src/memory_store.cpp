#include "memory_store.h"

#include <algorithm>

namespace briarvane
{

namespace
{

std::vector<std::string> splitPrefixes(const std::string &prefixes)
{
    std::vector<std::string> prefixList;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = prefixes.find(',', begin);
        prefixList.push_back(prefixes.substr(begin, end - begin));
        if (end == std::string::npos) {
            return prefixList;
        }
        begin = end + 1;
    }
}

bool matches(const std::vector<std::string> &prefixes, const std::string &key)
{
    return std::any_of(prefixes.begin(), prefixes.end(),
                       [&key](const std::string &prefix) { return key.starts_with(prefix); });
}

Error conflict(std::uint64_t present)
{
    return Error{ErrorCode::Conflict, "the value changed, its version is " + std::to_string(present)};
}

}

StoreValue MemoryStore::read(const std::string &key) const
{
    const auto position = m_values.find(key);
    return position == m_values.end() ? StoreValue{key, "", 0}
                                      : StoreValue{key, position->second.value, position->second.version};
}

std::vector<StoreValue> MemoryStore::list(const std::string &prefixes) const
{
    const std::vector<std::string> prefixList = splitPrefixes(prefixes);
    std::vector<StoreValue> values;
    for (const auto &[key, stored] : m_values) {
        if (matches(prefixList, key)) {
            values.push_back({key, stored.value, stored.version});
        }
    }
    return values;
}

Result<std::uint64_t> MemoryStore::swap(const SwapRequest &request)
{
    if (request.value.size() > ValueLimit) {
        return Error{ErrorCode::Invalid, "the value is larger than 1 MB"};
    }
    if (!request.lease.empty() && !m_leases.contains(request.lease)) {
        return Error{ErrorCode::NotFound, "the lease has lapsed"};
    }
    const std::uint64_t present = read(request.key).version;
    if (present != request.expected) {
        return conflict(present);
    }
    m_values[request.key] = {request.value, ++m_version, request.lease};
    return m_version;
}

Result<bool> MemoryStore::remove(const std::string &key, std::uint64_t expected)
{
    const auto position = m_values.find(key);
    if (position == m_values.end()) {
        return Error{ErrorCode::NotFound, "no such key"};
    }
    if (position->second.version != expected) {
        return conflict(position->second.version);
    }
    erase(position);
    return true;
}

Result<WatchBatch> MemoryStore::changes(const std::string &prefixes, std::uint64_t after) const
{
    if (after != 0 && after < m_droppedDeletions) {
        return Error{ErrorCode::NotFound, "deletions since version " + std::to_string(after) + " are not known"};
    }
    const std::vector<std::string> prefixList = splitPrefixes(prefixes);
    WatchBatch batch{m_version, {}};
    for (const auto &[key, stored] : m_values) {
        if (stored.version > after && matches(prefixList, key)) {
            batch.values.push_back({key, stored.value, stored.version});
        }
    }
    for (const Deletion &deletion : m_deletions) {
        if (deletion.version > after && matches(prefixList, deletion.key) && !m_values.contains(deletion.key)) {
            batch.values.push_back({deletion.key, "", 0});
        }
    }
    return batch;
}

std::uint64_t MemoryStore::version() const
{
    return m_version;
}

std::string MemoryStore::grantLease(Duration ttl, TimePoint now)
{
    std::string lease = std::to_string(m_nextLease++);
    m_leases[lease] = {ttl, now + ttl};
    return lease;
}

bool MemoryStore::renewLease(const std::string &lease, TimePoint now)
{
    const auto position = m_leases.find(lease);
    if (position == m_leases.end() || position->second.expiresAt <= now) {
        return false;
    }
    position->second.expiresAt = now + position->second.ttl;
    return true;
}

bool MemoryStore::expire(TimePoint now)
{
    const std::uint64_t versionBefore = m_version;
    std::erase_if(m_leases, [now](const auto &lease) { return lease.second.expiresAt <= now; });
    for (auto position = m_values.begin(); position != m_values.end();) {
        const auto next = std::next(position);
        if (!position->second.lease.empty() && !m_leases.contains(position->second.lease)) {
            erase(position);
        }
        position = next;
    }
    return m_version != versionBefore;
}

std::optional<TimePoint> MemoryStore::nextExpiry() const
{
    const auto position = std::min_element(m_leases.begin(), m_leases.end(), [](const auto &left, const auto &right) {
        return left.second.expiresAt < right.second.expiresAt;
    });
    return position == m_leases.end() ? std::nullopt : std::optional(position->second.expiresAt);
}

void MemoryStore::erase(std::map<std::string, StoredValue>::iterator position)
{
    m_deletions.push_back({position->first, ++m_version});
    m_values.erase(position);
    if (m_deletions.size() > DeletionLimit) {
        m_droppedDeletions = m_deletions.front().version;
        m_deletions.pop_front();
    }
}

}
