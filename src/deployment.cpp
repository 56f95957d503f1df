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

Result<std::set<std::string>> parseIds(const boost::json::value *list)
{
    const Error damaged{ErrorCode::Invalid, "not a list of texts"};
    if (list == nullptr || !list->is_array()) {
        return damaged;
    }
    std::set<std::string> ids;
    for (const boost::json::value &id : list->get_array()) {
        if (!id.is_string()) {
            return damaged;
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
    const Error damaged{ErrorCode::Invalid, "the list of empty executors cannot be read"};
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    if (error || !value.is_object()) {
        return damaged;
    }
    const boost::json::value *revision = value.get_object().if_contains("list");
    const auto executors = parseIds(value.get_object().if_contains("executors"));
    if (revision == nullptr || !revision->is_number() || !executors) {
        return damaged;
    }
    const VacatedReport report{revision->to_number<std::uint64_t>(error), executors.value()};
    return error ? Result<VacatedReport>(damaged) : Result<VacatedReport>(report);
}

}
