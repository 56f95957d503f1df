#include "vacated_reports.h"

namespace briarvane
{

void VacatedReports::setReports(std::map<std::string, std::uint64_t> reports)
{
    m_reports = std::move(reports);
}

void VacatedReports::setPublished(const std::set<std::string> &executors, std::uint64_t revision)
{
    std::map<std::string, std::uint64_t> listedSince;
    for (const std::string &executor : executors) {
        const auto known = m_listedSince.find(executor);
        listedSince[executor] = known == m_listedSince.end() ? revision : known->second;
    }
    m_listedSince = std::move(listedSince);
}

bool VacatedReports::isVacated(const std::string &executor) const
{
    const auto report = m_reports.find(executor);
    const auto listedSince = m_listedSince.find(executor);
    return report != m_reports.end() && listedSince != m_listedSince.end() && report->second >= listedSince->second;
}

}
