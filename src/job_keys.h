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

/// How a share came to be free.
enum class Predecessor {
    None,      // it never had an owner
    Released,  // the last owner had stopped giving orders when it gave the share back
    Lost,      // the last owner may not yet know that it is deposed
};

// [1] Ownership: keys on leases, so they vanish with their holder -----------------------------------------------------

inline const std::string Membership = "m/";
inline const std::string Entries = "m/node/";
inline const std::string Owners = "m/own/";
inline const std::string FleetShare = "!fleet";  // moves and waves of all pools; no service is named so

inline std::string entry(const std::string &name)
{
    return Entries + name;
}
inline std::string owner(const std::string &share)
{
    return Owners + share;
}

// [2] Jobs ------------------------------------------------------------------------------------------------------------

/// Which share holds the job. Created once: the same id again is the same job, whatever its queue's service is by then.
inline std::string jobId(const std::string &id)
{
    return "id/" + id;
}
inline std::string jobs(const std::string &share)
{
    return "s/" + share + "/";
}
inline std::string job(const std::string &share, const std::string &id)
{
    return jobs(share) + id;
}
/// Written together with the ownership key, among the jobs, so that a deposed owner sees it before any later job.
inline std::string ownerMark(const std::string &share)
{
    return jobs(share) + "!owner";
}
inline const std::string ReleasedMark = "released";  // value of the mark after an owner has given the share back
inline std::string progressOf(const std::string &share)
{
    return "p/" + share + "/";
}
inline std::string progress(const std::string &share, const std::string &id)
{
    return progressOf(share) + id;
}

// [3] What owners tell each other and their successors ----------------------------------------------------------------

/// Executors that may have runs of this share.
inline std::string usedExecutors(const std::string &share)
{
    return "x/" + share;
}
inline const std::string WaitingCounts = "w/";
inline std::string waiting(const std::string &share)
{
    return WaitingCounts + share;
}
inline const std::string FleetVacate = "f/vacate";  // executors that must become empty; watched by owners of shares
inline const std::string FleetNews = "g/";          // from owners of shares; watched by the fleet's owner alone
inline const std::string FleetCleared = "g/clear/";
inline std::string cleared(const std::string &share)
{
    return FleetCleared + share;
}
inline const std::string FleetLoads = "g/load/";
inline std::string load(const std::string &share)
{
    return FleetLoads + share;
}
inline const std::string FleetDone = "f/done";  // instances whose maintenance has begun, per wave

}
