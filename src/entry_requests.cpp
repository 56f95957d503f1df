#include "entry_requests.h"

#include <algorithm>
#include <charconv>

namespace briarvane
{

namespace
{

constexpr std::size_t MaxRouteLabels = 4096;  // limit for all services together
constexpr std::size_t MaxSegmentLength = 32;
constexpr std::size_t MaxKeyLength = 255;
constexpr std::size_t MaxNameLength = 64;  // largest length of a request id or tenant name

std::string_view withoutSlash(std::string_view path)
{
    while (path.ends_with('/')) {
        path.remove_suffix(1);
    }
    return path;
}

bool isPrintable(std::string_view text, std::size_t maxLength)
{
    return !text.empty() && text.size() <= maxLength
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

}

void RouteTable::assign(const Sheet &sheet)
{
    m_services.clear();
    m_pools.clear();
    m_routeLabels.clear();
    for (const ServiceSpec &service : sheet.services) {
        m_services.emplace(std::string(withoutSlash(service.route)), service);
    }
    for (const PoolSpec &pool : sheet.pools) {
        m_pools.emplace(pool.id, pool);
    }
}

const ServiceSpec *RouteTable::find(std::string_view path) const
{
    std::string prefix(withoutSlash(path));
    while (true) {
        const auto found = m_services.find(prefix);
        if (found != m_services.end()) {
            return &found->second;
        }
        if (prefix.empty()) {
            return nullptr;
        }
        prefix.resize(std::min(prefix.rfind('/'), prefix.size() - 1));
    }
}

const PoolSpec *RouteTable::pool(const PoolId &id) const
{
    const auto found = m_pools.find(id);
    return found == m_pools.end() ? nullptr : &found->second;
}

std::string RouteTable::routeLabel(const ServiceSpec &service, std::string_view method, std::string_view path)
{
    const std::string_view route = withoutSlash(service.route);
    std::string name;
    name.append(method).append(" ").append(route);
    std::string_view rest = path.substr(std::min(route.size() + 1, path.size()));
    rest = rest.substr(0, rest.find('/'));
    const bool isName = !rest.empty() && rest.size() <= MaxSegmentLength
        && std::all_of(rest.begin(), rest.end(),
                       [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_'; });
    if (!isName) {
        return name;
    }
    std::string full = name + "/" + std::string(rest);
    if (!m_routeLabels.contains(full)) {
        if (m_routeLabels.size() >= MaxRouteLabels) {
            return name;
        }
        m_routeLabels.insert(full);
    }
    return full;
}

Result<RequestOptions> parseRequestOptions(const HttpRequest &request, Duration maxTimeout)
{
    RequestOptions options;
    const auto invalid = [](std::string message) { return Error{ErrorCode::Invalid, std::move(message)}; };
    for (const std::string_view name :
         {"Briarvane-Tenant", "Briarvane-Timeout-Ms", "Idempotency-Key", "Briarvane-Request-Id"}) {
        if (request.fields.count(name) > 1) {
            return invalid(std::string(name) + " must not occur more than once");
        }
    }
    if (const std::string *tenant = request.fields.find("Briarvane-Tenant")) {
        if (!isPrintable(*tenant, MaxNameLength)) {
            return invalid("Briarvane-Tenant must have 1 to 64 printable characters without spaces");
        }
        options.tenant.value = *tenant;
    }
    if (const std::string *timeout = request.fields.find("Briarvane-Timeout-Ms")) {
        std::int64_t ms = 0;
        const char *end = timeout->data() + timeout->size();
        const auto [last, failure] = std::from_chars(timeout->data(), end, ms);
        const std::int64_t maxMs = maxTimeout.count() / 1000;
        if (failure != std::errc() || last != end || ms < 1 || ms > maxMs) {
            return invalid("Briarvane-Timeout-Ms must be a whole number from 1 to " + std::to_string(maxMs));
        }
        options.timeout = Duration{ms * 1000};
    }
    if (const std::string *key = request.fields.find("Idempotency-Key")) {
        if (!isPrintable(*key, MaxKeyLength)) {
            return invalid("Idempotency-Key must have 1 to 255 printable characters without spaces");
        }
        options.idempotencyKey = *key;
    }
    const std::string *requestId = request.fields.find("Briarvane-Request-Id");
    if (requestId != nullptr && isToken(*requestId) && requestId->size() <= MaxNameLength) {
        options.requestId = *requestId;
    }
    return options;
}

bool idempotentMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE" || method == "OPTIONS";
}

HttpFields answerFields(const HttpFields &upstream)
{
    HttpFields fields;
    fields.list.reserve(upstream.list.size() + 2);
    for (const HttpField &field : upstream.list) {
        const bool isOwnField
            = field.name.size() > 10 && equalsIgnoreCase(std::string_view(field.name).substr(0, 10), "Briarvane-");
        if (!isOwnField) {
            fields.list.push_back(field);
        }
    }
    return fields;
}

void addOutcome(HttpFields &fields, Outcome outcome, const std::string &requestId)
{
    fields.add("Briarvane-Outcome", toString(outcome));
    fields.add("Briarvane-Request-Id", requestId);
}

int refusalStatus(const Error &error)
{
    return error.code == ErrorCode::Refused && error.message.find("quota") != std::string::npos ? 429 : 503;
}

}
