#include "plan.h"

#include <boost/json.hpp>

namespace briarvane
{

const Queue *Plan::queueFor(std::string_view host, std::string_view path) const
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

std::string encodeClearedNews(const ClearedNews &news)
{
    return boost::json::serialize(
        boost::json::object{{"list", news.listRevision}, {"executors", boost::json::value_from(news.executors)}});
}

Result<ClearedNews> parseClearedNews(std::string_view text)
{
    const Error damaged{ErrorCode::Invalid, "the list of empty executors cannot be read"};
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    if (error || !value.is_object()) {
        return damaged;
    }
    const boost::json::value *revision = value.get_object().if_contains("list");
    const boost::json::value *executors = value.get_object().if_contains("executors");
    if (revision == nullptr || !revision->is_number() || executors == nullptr || !executors->is_array()) {
        return damaged;
    }
    ClearedNews news;
    news.listRevision = revision->to_number<std::uint64_t>(error);
    for (const boost::json::value &id : executors->get_array()) {
        if (!id.is_string()) {
            return damaged;
        }
        news.executors.insert(std::string(id.as_string()));
    }
    return error ? Result<ClearedNews>(damaged) : Result<ClearedNews>(news);
}

}
