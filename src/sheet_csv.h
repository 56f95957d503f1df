#pragma once

// Rows and fields of CSV after RFC 4180, for the sheet.

#include <string>
#include <string_view>
#include <vector>

namespace briarvane
{

struct CsvField
{
    std::string text;
    bool lastOfRow = false;
    std::string_view fault;  // what is expected where quotes are wrong; empty: nothing is wrong
};

using CsvRow = std::vector<CsvField>;

/// Splits at the separator and at LF or CRLF. A quoted field may hold both; a quote inside it is doubled.
std::vector<CsvRow> splitCsv(std::string_view text, char separator);

/// Valid UTF-8 without control characters other than tab and line breaks.
bool isText(std::string_view text);

}
