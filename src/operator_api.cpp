#include "operator_api.h"

#include "http_message.h"

namespace briarvane
{

namespace
{

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(separator), text.size());
        if (end > 0) {
            parts.push_back(text.substr(0, end));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

int httpStatus(ErrorCode code)
{
    switch (code) {
    case ErrorCode::Invalid:
        return 422;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::Conflict:
    case ErrorCode::Refused:
        return 409;
    case ErrorCode::Unavailable:
        return 503;
    case ErrorCode::Unknown:
        break;
    }
    return 504;
}

}

OperatorTarget parseOperatorTarget(std::string_view target)
{
    OperatorTarget parsed;
    const std::size_t question = std::min(target.find('?'), target.size());
    for (const std::string_view segment : split(target.substr(0, question), '/')) {
        parsed.path.push_back(percentDecoded(segment, false));
    }
    for (const std::string_view item : split(target.substr(std::min(question + 1, target.size())), '&')) {
        const std::size_t equals = std::min(item.find('='), item.size());
        parsed.query[percentDecoded(item.substr(0, equals), true)]
            = percentDecoded(item.substr(std::min(equals + 1, item.size())), true);
    }
    return parsed;
}

bool bearerMatches(std::string_view authorization, std::string_view token)
{
    constexpr std::string_view scheme = "Bearer ";
    if (token.empty() || authorization.substr(0, scheme.size()) != scheme) {
        return false;
    }
    const std::string_view given = authorization.substr(scheme.size());
    unsigned difference = given.size() == token.size() ? 0U : 1U;
    for (std::size_t i = 0; i < token.size(); ++i) {
        const char other = i < given.size() ? given[i] : '\0';
        difference |= static_cast<unsigned char>(token[i] ^ other);
    }
    return difference == 0;
}

OperatorReply jsonReply(int status, const boost::json::value &value)
{
    return {status, "application/json", boost::json::serialize(value) + "\n"};
}

OperatorReply errorReply(const Error &error)
{
    return jsonReply(httpStatus(error.code), {{"error", toString(error.code)}, {"message", error.message}});
}

boost::json::array sheetErrorsJson(const std::vector<SheetError> &errors)
{
    boost::json::array array;
    for (const SheetError &error : errors) {
        array.push_back(boost::json::object{
            {"row", error.row}, {"column", error.column}, {"value", error.value}, {"accepted", error.accepted}});
    }
    return array;
}

boost::json::array sheetChangesJson(const std::vector<SheetChange> &changes)
{
    boost::json::array array;
    for (const SheetChange &change : changes) {
        array.push_back(boost::json::object{
            {"kind", change.kind}, {"name", change.name}, {"before", change.before}, {"after", change.after}});
    }
    return array;
}

}
