#pragma once

// Keys of this program in the platform's store.
//
// Index
// [1] Ownership
// [2] Jobs
// [3] What owners tell each other

#include <string>
#include <string_view>

namespace briarvane::keys
{

/// How a partition came to be free.
enum class Predecessor {
    None,      // it never had an owner
    Released,  // the last owner had stopped sending commands when it gave the partition back
    Lost,      // the last owner may not yet know that it is deposed
};

// [1] Ownership: keys on leases, so they vanish with their holder -----------------------------------------------------

inline const std::string Membership = "m/";
inline const std::string Entries = "m/node/";
inline const std::string Owners = "m/own/";
inline const std::string FleetPartition = "!fleet";  // moves and waves of all pools; no service is named so

inline std::string entry(const std::string &name)
{
    return Entries + name;
}
inline std::string owner(const std::string &partition)
{
    return Owners + partition;
}

// [2] Jobs ------------------------------------------------------------------------------------------------------------

/// Which partition holds the job. Created once: the same id again is the same job, whatever its queue's service is by
/// then.
inline std::string jobId(const std::string &id)
{
    return "id/" + id;
}
inline std::string jobs(const std::string &partition)
{
    return "s/" + partition + "/";
}
inline std::string job(const std::string &partition, const std::string &id)
{
    return jobs(partition) + id;
}
/// Written together with the ownership key, among the jobs, so that a deposed owner sees it before any later job.
inline std::string ownershipMarker(const std::string &partition)
{
    return jobs(partition) + "!owner";
}
/// Value of the marker after an owner has released the partition.
inline const std::string ReleasedMarker = "released";
inline std::string progressOf(const std::string &partition)
{
    return "p/" + partition + "/";
}
inline std::string progress(const std::string &partition, const std::string &id)
{
    return progressOf(partition) + id;
}

// [3] What owners tell each other and their successors ----------------------------------------------------------------

/// Executors that may have runs of this partition.
inline std::string usedExecutors(const std::string &partition)
{
    return "x/" + partition;
}
inline const std::string WaitingCounts = "w/";
inline std::string waiting(const std::string &partition)
{
    return WaitingCounts + partition;
}
inline const std::string FleetVacate = "f/vacate";  // executors that must become empty; watched by owners of partitions
inline const std::string FleetReports = "g/";       // from owners of partitions; watched by the fleet's owner alone
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
inline const std::string FleetDone = "f/done";  // instances whose maintenance has begun, per wave

}
