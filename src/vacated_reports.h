#pragma once

// Which vacating executors are known to have no work, or to be unable to give it up, by the reports of the owners of
// their partitions.

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace briarvane
{

/// A report is valid only if its executor has been in the list of vacating executors without a gap since the revision
/// that the report refers to: an executor that left the list in between may have taken new work.
class VacatedReports
{
public:
    /// Vacated executors, each with the revision of the list that its owner reported on.
    void setVacated(std::map<std::string, std::uint64_t> executors);
    /// Blocked executors (see VacatedReport), each with the revision of the list that its owner reported on.
    void setBlocked(std::map<std::string, std::uint64_t> executors);
    /// The stored list and its revision.
    void setPublished(const std::set<std::string> &executors, std::uint64_t revision);
    bool isVacated(const std::string &executor) const;
    bool isBlocked(const std::string &executor) const;

private:
    bool isReported(const std::map<std::string, std::uint64_t> &reports, const std::string &executor) const;

    std::map<std::string, std::uint64_t> m_vacated;
    std::map<std::string, std::uint64_t> m_blocked;
    std::map<std::string, std::uint64_t> m_listedSince;  // revision of the list from which on it names the executor
};

}
