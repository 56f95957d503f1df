#pragma once

// Format of the values of the store keys config/sheet and config/alerts.

#include "types.h"

namespace briarvane
{

/// A sheet or an alert rule file that an operator applied. The digest identifies its text. An entry that lost the
/// response of a store call compares the change id to determine whether its own change was stored.
struct ConfigValue
{
    std::string text;
    std::string digest;          // textDigest(text)
    std::string changeId;        // unique for each change
    std::string operatorName;    // operator who applied the change
    std::int64_t appliedMs = 0;  // Unix time in milliseconds
};

std::string formatConfig(const ConfigValue &value);
Result<ConfigValue> parseConfig(std::string_view json);

}
