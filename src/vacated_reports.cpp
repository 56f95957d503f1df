#include "vacated_reports.h"

namespace briarvane
{

void VacatedReports::setVacated(std::map<std::string, std::uint64_t> executors)
{
    m_vacated = std::move(executors);
}

void VacatedReports::setBlocked(std::map<std::string, std::uint64_t> executors)
{
    m_blocked = std::move(executors);
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
    return isReported(m_vacated, executor);
}

bool VacatedReports::isBlocked(const std::string &executor) const
{
    return isReported(m_blocked, executor);
}

bool VacatedReports::isReported(const std::map<std::string, std::uint64_t> &reports, const std::string &executor) const
{
    const auto report = reports.find(executor);
    const auto listedSince = m_listedSince.find(executor);
    return report != reports.end() && listedSince != m_listedSince.end() && report->second >= listedSince->second;
}

}
