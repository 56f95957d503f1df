#pragma once

// What this process knows about the ownership of partitions, and when it may acquire one.
//
// A write whose reply was lost may be carried out seconds later, so no reply and no single read settles whether this
// process got a partition. The watch on the ownership keys settles it: a key that names this process while it runs no
// owner of the partition is from such a write, and this process has to acquire the partition again, since no other
// entry can.
//
// Index
// [1] Vacant partitions
// [2] Records

#include "job_keys.h"
#include "store.h"

#include <map>
#include <optional>

namespace briarvane
{

// [1] Vacant partitions -----------------------------------------------------------------------------------------------

/// A partition that this entry may acquire.
struct Vacancy
{
    std::uint64_t revision = 0;     // revision that the ownership key must have; 0: the key does not exist
    bool namesThisProcess = false;  // an earlier acquisition of this process was carried out and its reply was lost
};

// [2] Records ---------------------------------------------------------------------------------------------------------

class OwnershipRecords
{
public:
    /// `startId` distinguishes the processes that ran under the name of this entry.
    OwnershipRecords(std::string entry, const std::string &startId);

    /// Value of the ownership keys that this process writes.
    const std::string &holder() const
    {
        return m_holder;
    }

    /// Applies a change of an ownership key, as reported by the watch.
    void keyChanged(const std::string &partition, const StoreItem &item, TimePoint now);
    /// The reply to an acquisition was lost. The write may still be carried out.
    void acquisitionUnknown(const std::string &partition, keys::Predecessor predecessor);
    /// This process runs an owner of the partition, so no earlier acquisition is open any more.
    void ownerStarted(const std::string &partition);
    /// This process runs the owner with this token no longer. Its ownership key is being removed.
    void ownerEnded(const std::string &partition, std::uint64_t fencingToken);

    /// Nothing while another entry has the partition, or while this process releases it. The caller checks that it runs
    /// no owner of the partition itself.
    std::optional<Vacancy> vacancy(const std::string &partition) const;
    /// Time for which the partition has been vacant; counts from the first call for a partition without a key.
    Duration vacantFor(const std::string &partition, TimePoint now);
    /// Predecessor of the last acquisition of the partition whose reply was lost; none since an owner was started.
    std::optional<keys::Predecessor> unknownPredecessor(const std::string &partition) const;
    bool hasOwner(const std::string &partition) const;
    /// Number of partitions by the name of the entry in their ownership keys.
    std::map<std::string, int> ownedByEntry() const;

private:
    struct Record
    {
        std::string holder;            // value of the ownership key; empty: vacant
        std::uint64_t revision = 0;    // revision of the ownership key
        TimePoint vacantSince;         // default-constructed: owned, or not yet found vacant
        std::uint64_t endedToken = 0;  // highest token of the owners that this process ended; 0: none
        std::optional<keys::Predecessor> unknownPredecessor;
    };

    std::string m_entryPrefix;  // start of the ownership keys' values of all processes of this entry
    std::string m_holder;
    std::map<std::string, Record> m_records;
};

}
