#include "ownership_records.h"

#include <algorithm>

namespace briarvane
{

OwnershipRecords::OwnershipRecords(std::string entry, const std::string &startId)
    : m_entryPrefix(std::move(entry) + ' ')
    , m_holder(m_entryPrefix + startId)
{
}

void OwnershipRecords::keyChanged(const std::string &partition, const StoreItem &item, TimePoint now)
{
    Record &record = m_records[partition];
    record.revision = item.revision;
    record.holder = item.removed ? std::string() : item.value;
    record.vacantSince = item.removed ? now : TimePoint{};
}

void OwnershipRecords::acquisitionUnknown(const std::string &partition, keys::Predecessor predecessor)
{
    m_records[partition].unknownPredecessor = predecessor;
}

void OwnershipRecords::ownerStarted(const std::string &partition)
{
    m_records[partition].unknownPredecessor.reset();
}

void OwnershipRecords::ownerEnded(const std::string &partition, std::uint64_t fencingToken)
{
    Record &record = m_records[partition];
    record.endedToken = std::max(record.endedToken, fencingToken);
}

std::optional<Vacancy> OwnershipRecords::vacancy(const std::string &partition) const
{
    const auto found = m_records.find(partition);
    if (found == m_records.end() || found->second.holder.empty()) {
        return Vacancy{};
    }
    const Record &record = found->second;
    if (record.holder == m_holder) {
        return record.revision > record.endedToken ? std::optional(Vacancy{record.revision, true}) : std::nullopt;
    }
    return record.holder.starts_with(m_entryPrefix) ? std::optional(Vacancy{record.revision, false}) : std::nullopt;
}

Duration OwnershipRecords::vacantFor(const std::string &partition, TimePoint now)
{
    Record &record = m_records[partition];
    if (record.vacantSince == TimePoint{}) {
        record.vacantSince = now;
    }
    return now - record.vacantSince;
}

std::optional<keys::Predecessor> OwnershipRecords::unknownPredecessor(const std::string &partition) const
{
    const auto found = m_records.find(partition);
    return found == m_records.end() ? std::nullopt : found->second.unknownPredecessor;
}

bool OwnershipRecords::hasOwner(const std::string &partition) const
{
    const auto found = m_records.find(partition);
    return found != m_records.end() && !found->second.holder.empty();
}

std::map<std::string, int> OwnershipRecords::ownedByEntry() const
{
    std::map<std::string, int> owned;
    for (const auto &[partition, record] : m_records) {
        if (!record.holder.empty()) {
            ++owned[record.holder.substr(0, record.holder.find(' '))];
        }
    }
    return owned;
}

}
