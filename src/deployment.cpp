#include "deployment.h"

#include <boost/json.hpp>

namespace briarvane
{

const Queue *DeploymentConfig::queueFor(std::string_view host, std::string_view path) const
{
    const Queue *best = nullptr;
    for (const Queue &queue : queues) {
        if (queue.host == host && path.starts_with(queue.prefix)
            && (best == nullptr || queue.prefix.size() > best->prefix.size())) {
            best = &queue;
        }
    }
    return best;
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
    return boost::json::serialize(
        boost::json::object{{"list", report.listRevision}, {"executors", boost::json::value_from(report.executors)}});
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
    if (revision == nullptr || !revision->is_number() || !executors) {
        return malformed;
    }
    const VacatedReport report{revision->to_number<std::uint64_t>(error), executors.value()};
    return error ? Result<VacatedReport>(malformed) : Result<VacatedReport>(report);
}

}
