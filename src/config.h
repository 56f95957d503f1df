#pragma once

// The value of config/sheet and config/alerts in the store.

#include "types.h"

namespace briarvane
{

/// A text that operators put in force, with what is needed to name it and to settle a lost answer.
struct ConfigValue
{
    std::string text;
    std::string digest;          // textDigest(text)
    std::string changeId;        // unique per change
    std::string operatorName;    // who applied it
    std::int64_t appliedMs = 0;  // Unix time
};

std::string formatConfig(const ConfigValue &value);
Result<ConfigValue> parseConfig(std::string_view json);

}
