#pragma once

// Keys in the store: ownership of partitions, jobs, and the data that owners share.
//
// Index
// [1] Ownership
// [2] Jobs
// [3] Data shared between owners and with their successors

#include "types.h"

#include <string>
#include <string_view>

namespace briarvane::keys
{

/// State of the previous owner of a partition when a new owner acquires it.
enum class Predecessor {
    None,      // the partition never had an owner
    Released,  // all earlier owners had stopped sending commands when the previous one released the partition
    Lost,      // an earlier owner may not have detected yet that it lost the partition, and may still send commands
};

// [1] Ownership: keys bound to leases, removed when the lease of their writer ends ------------------------------------

inline const std::string Membership = "m/";
inline const std::string Entries = "m/node/";
inline const std::string Owners = "m/own/";
/// Partition of the instance moves and waves of all pools. Its name is not a valid service name.
inline const std::string FleetPartition = "!fleet";
/// Number of partitions of each service. Not bound to a lease and never changed, since the assignment of jobs and
/// executors to partitions follows from it.
inline const std::string PartitionCounts = "m/parts/";

/// Backlogs of partitions; see Backlog. Each is bound to the lease of its owner's entry.
inline const std::string Backlogs = "m/backlog/";
inline std::string backlog(const std::string &partition)
{
    return Backlogs + partition;
}

inline std::string entry(const std::string &name)
{
    return Entries + name;
}
inline std::string partitionCount(const std::string &service)
{
    return PartitionCounts + service;
}
inline std::string owner(const std::string &partition)
{
    return Owners + partition;
}

// [2] Jobs ------------------------------------------------------------------------------------------------------------

/// Key whose value names the partition of a job. A job that is sent again under the same id is the same job, even if
/// its queue has been assigned to another service since. Only the job's owner changes the partition, in the transaction
/// that moves the job's records.
inline std::string jobId(const std::string &id)
{
    return "id/" + id;
}
/// Value of a job id's key. A job that is cancelled before any entry has stored it gets the key as well, so that a
/// request to submit it that is carried out late finds the id taken.
struct JobIdValue
{
    std::string partition;
    bool submitted = true;  // false: only the cancellation has arrived so far
};
/// No partition's name ends like this, since '/' separates the partition from the job id in keys.
inline const std::string NotSubmittedSuffix = "/not-submitted";
inline std::string encodeJobId(const JobIdValue &value)
{
    return value.submitted ? value.partition : value.partition + NotSubmittedSuffix;
}
inline JobIdValue parseJobId(const std::string &text)
{
    const bool submitted = !text.ends_with(NotSubmittedSuffix);
    return {submitted ? text : text.substr(0, text.size() - NotSubmittedSuffix.size()), submitted};
}
inline std::string jobs(const std::string &partition)
{
    return "s/" + partition + "/";
}
inline std::string job(const std::string &partition, const std::string &id)
{
    return jobs(partition) + id;
}
/// Marker of the present owner, under the same prefix as the jobs and written in one transaction with the ownership
/// key. A deposed owner that watches the prefix receives the marker before any job that is written later.
inline std::string ownershipMarker(const std::string &partition)
{
    return jobs(partition) + "!owner";
}
/// Value of the marker once an owner has released the partition and no earlier owner can send commands.
inline const std::string ReleasedMarker = "released";
inline std::string progressOf(const std::string &partition)
{
    return "p/" + partition + "/";
}
inline std::string progress(const std::string &partition, const std::string &id)
{
    return progressOf(partition) + id;
}

// [3] Data shared between owners and with their successors ------------------------------------------------------------

/// List of the executors that may have runs of this partition.
inline std::string recordedExecutorsKey(const std::string &partition)
{
    return "x/" + partition;
}
inline const std::string WaitingCounts = "w/";
inline std::string waiting(const std::string &partition)
{
    return WaitingCounts + partition;
}
inline const std::string FleetVacating = "f/vacate";  // vacating executors; watched by owners of partitions
inline const std::string FleetReports = "g/";         // written by owners of partitions, watched by the fleet's owner
inline const std::string FleetVacated = "g/clear/";
inline std::string vacated(const std::string &partition)
{
    return FleetVacated + partition;
}
inline const std::string FleetLoads = "g/load/";
inline std::string load(const std::string &partition)
{
    return FleetLoads + partition;
}
inline const std::string FleetPrefix = "f/";           // written by the fleet's owner
inline const std::string FleetQuotaParts = "f/quota";  // division of the quotas; watched by owners of partitions
inline const std::string FleetQuotaReports = "g/quota/";
inline std::string quotaReport(const std::string &partition)
{
    return FleetQuotaReports + partition;
}
inline const std::string FleetMaintenanceBegun = "f/done";  // instances whose maintenance has begun, per wave

}

namespace briarvane
{

template<>
struct EnumNames<keys::Predecessor>
{
    static constexpr std::array<EnumName<keys::Predecessor>, 3> names = {{{keys::Predecessor::None, "none"},
                                                                          {keys::Predecessor::Released, "released"},
                                                                          {keys::Predecessor::Lost, "lost"}}};
};

}
