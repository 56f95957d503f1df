#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace briarvane
{

/// The text of one file of charts/, compiled into the binary.
struct EmbeddedChart
{
    std::string_view name;  // file name without extension
    std::string_view text;  // SCXML
};

const std::vector<EmbeddedChart> &embeddedCharts();

}
