#pragma once

// Which vacating executors are known to have no work, by the reports of the owners of their partitions.

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
    /// Reported executors, each with the revision of the list that its owner reported on.
    void setReports(std::map<std::string, std::uint64_t> reports);
    /// The stored list and its revision.
    void setPublished(const std::set<std::string> &executors, std::uint64_t revision);
    bool isVacated(const std::string &executor) const;

private:
    std::map<std::string, std::uint64_t> m_reports;
    std::map<std::string, std::uint64_t> m_listedSince;  // revision of the list from which on it names the executor
};

}
