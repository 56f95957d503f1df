#include "config.h"

#include <boost/json.hpp>

namespace briarvane
{

namespace json = boost::json;

std::string formatConfig(const ConfigValue &value)
{
    return json::serialize(json::object{{"text", value.text},
                                        {"digest", value.digest},
                                        {"change_id", value.changeId},
                                        {"operator", value.operatorName},
                                        {"applied_ms", value.appliedMs}});
}

Result<ConfigValue> parseConfig(std::string_view text)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(text, error);
    const json::object *object = error ? nullptr : parsed.if_object();
    if (object == nullptr) {
        return Error{ErrorCode::Invalid, "the configuration value is not a JSON object"};
    }
    ConfigValue value;
    for (const auto &[key, target] :
         {std::pair{"text", &value.text}, std::pair{"digest", &value.digest}, std::pair{"change_id", &value.changeId},
          std::pair{"operator", &value.operatorName}}) {
        const json::value *field = object->if_contains(key);
        if (field == nullptr || !field->is_string()) {
            return Error{ErrorCode::Invalid, std::string("the configuration value has no text field ") + key};
        }
        *target = std::string(field->as_string());
    }
    const json::value *applied = object->if_contains("applied_ms");
    value.appliedMs = applied != nullptr && applied->is_int64() ? applied->as_int64() : 0;
    return value;
}

}
