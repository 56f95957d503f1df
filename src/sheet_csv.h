#pragma once

// Splits CSV text (RFC 4180) into rows and fields. Used by the sheet parser.

#include <string>
#include <string_view>
#include <vector>

namespace briarvane
{

struct CsvField
{
    std::string text;
    bool lastOfRow = false;
    std::string_view expectation;  // required form if the quotes of the field are malformed; otherwise empty
};

using CsvRow = std::vector<CsvField>;

/// Splits at the separator and at LF or CRLF. A quoted field may contain separators and line breaks; quotes inside it
/// are doubled.
std::vector<CsvRow> splitCsv(std::string_view text, char separator);

/// True for valid UTF-8 without control characters other than tab, LF and CR.
bool isText(std::string_view text);

}
