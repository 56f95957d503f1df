#include "deployment.h"

#include <boost/json.hpp>

namespace briarvane
{

const Queue *DeploymentConfig::queueFor(std::string_view host, std::string_view path) const
{
    const auto ofHost = m_queuesByHost.find(std::string(host));
    if (ofHost == m_queuesByHost.end()) {
        return nullptr;
    }
    for (const std::size_t length : ofHost->second.lengths) {
        if (length > path.size()) {
            continue;
        }
        const auto found = ofHost->second.byPrefix.find(std::string(path.substr(0, length)));
        if (found != ofHost->second.byPrefix.end()) {
            return &queues[found->second];
        }
    }
    return nullptr;
}

void DeploymentConfig::indexQueues()
{
    m_queuesByHost.clear();
    for (std::size_t index = 0; index < queues.size(); ++index) {
        QueuesOfHost &ofHost = m_queuesByHost[queues[index].host];
        ofHost.byPrefix.emplace(queues[index].prefix, index);  // of equal prefixes the first one counts
        ofHost.lengths.push_back(queues[index].prefix.size());
    }
    for (auto &[host, ofHost] : m_queuesByHost) {
        std::sort(ofHost.lengths.begin(), ofHost.lengths.end(), std::greater());
        ofHost.lengths.erase(std::unique(ofHost.lengths.begin(), ofHost.lengths.end()), ofHost.lengths.end());
    }
}

const Workspace *DeploymentConfig::workspaceWithKey(const std::string &accessKey) const
{
    const auto found = m_workspaceByKey.find(accessKey);
    return found == m_workspaceByKey.end() ? nullptr : &workspaces[found->second];
}

void DeploymentConfig::indexAccessKeys()
{
    m_workspaceByKey.clear();
    for (std::size_t index = 0; index < workspaces.size(); ++index) {
        for (const std::string &key : workspaces[index].accessKeys) {
            m_workspaceByKey.emplace(key, index);
        }
    }
}

Result<std::set<std::string>> parseIds(const boost::json::value *list)
{
    const Error malformed{ErrorCode::Invalid, "not a list of strings"};
    if (list == nullptr || !list->is_array()) {
        return malformed;
    }
    std::set<std::string> ids;
    for (const boost::json::value &id : list->get_array()) {
        if (!id.is_string()) {
            return malformed;
        }
        ids.insert(std::string(id.get_string()));
    }
    return ids;
}

std::string encodeVacatedReport(const VacatedReport &report)
{
    return boost::json::serialize(boost::json::object{{"list", report.listRevision},
                                                      {"executors", boost::json::value_from(report.executors)},
                                                      {"blocked", boost::json::value_from(report.blocked)}});
}

Result<VacatedReport> parseVacatedReport(std::string_view text)
{
    const Error malformed{ErrorCode::Invalid, "the report of vacated executors is malformed"};
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    if (error || !value.is_object()) {
        return malformed;
    }
    const boost::json::value *revision = value.get_object().if_contains("list");
    const auto executors = parseIds(value.get_object().if_contains("executors"));
    const boost::json::value *blockedList = value.get_object().if_contains("blocked");
    // Entries of earlier versions do not report blocked executors.
    const auto blocked
        = blockedList == nullptr ? Result<std::set<std::string>>(std::set<std::string>()) : parseIds(blockedList);
    if (revision == nullptr || !revision->is_number() || !executors || !blocked) {
        return malformed;
    }
    const VacatedReport report{revision->to_number<std::uint64_t>(error), executors.value(), blocked.value()};
    return error ? Result<VacatedReport>(malformed) : Result<VacatedReport>(report);
}

}
