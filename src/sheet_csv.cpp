#include "sheet_csv.h"

#include <boost/tokenizer.hpp>

namespace briarvane
{

namespace
{

/// Tokenizer function for boost::tokenizer that implements RFC 4180: quotes inside a quoted field are doubled, and
/// quoted fields may contain line breaks. boost::escaped_list_separator cannot be used because it drops doubled quotes.
class CsvFields
{
public:
    explicit CsvFields(char separator)
        : m_separator(separator)
    {
    }

    void reset()
    {
    }

    template<class Iterator>
    bool operator()(Iterator &next, Iterator end, CsvField &field)
    {
        field = CsvField{};
        if (next == end && !m_rowContinues) {
            return false;
        }
        bool quoted = false;
        if (next != end && *next == '"') {
            quoted = true;
            ++next;
            readQuoted(next, end, field);
        }
        for (; next != end && *next != m_separator && *next != '\n'; ++next) {
            if (*next == '\r' && next + 1 != end && next[1] == '\n') {
                continue;
            }
            if (quoted && field.expectation.empty()) {
                field.expectation = "a separator after the closing quote";
            } else if (!quoted && *next == '"') {
                field.expectation = "quotes only around a whole field, doubled inside it";
            }
            field.text += *next;
        }
        // After a separator a field follows, even an empty one at the end of the text.
        m_rowContinues = next != end && *next == m_separator;
        field.lastOfRow = !m_rowContinues;
        if (next != end) {
            ++next;
        }
        return true;
    }

private:
    template<class Iterator>
    static void readQuoted(Iterator &next, Iterator end, CsvField &field)
    {
        for (; next != end; ++next) {
            if (*next == '"') {
                ++next;
                if (next == end || *next != '"') {
                    return;
                }
            }
            field.text += *next;
        }
        field.expectation = "a closing quote (the file may be truncated)";
    }

    char m_separator;
    bool m_rowContinues = false;
};

/// Length in bytes of the UTF-8 sequence at the start of `text`, or 0 when it is invalid.
std::size_t sequenceLength(std::string_view text)
{
    const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const unsigned char leadByte = byte(0);
    if (leadByte < 0x80) {
        return 1;
    }
    const std::size_t length = leadByte >= 0xC2 && leadByte < 0xE0 ? 2 : leadByte >= 0xE0 && leadByte < 0xF0 ? 3 : 4;
    if (leadByte < 0xC2 || leadByte > 0xF4 || text.size() < length) {
        return 0;
    }
    for (std::size_t i = 1; i < length; ++i) {
        if ((byte(i) & 0xC0) != 0x80) {
            return 0;
        }
    }
    const bool overlong = (leadByte == 0xE0 && byte(1) < 0xA0) || (leadByte == 0xF0 && byte(1) < 0x90);
    const bool surrogate = leadByte == 0xED && byte(1) >= 0xA0;
    return overlong || surrogate || (leadByte == 0xF4 && byte(1) >= 0x90) ? 0 : length;
}

}

bool isText(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t length = sequenceLength(text);
        const char leadByte = text.front();
        if (length == 0 || (leadByte >= 0 && leadByte < ' ' && leadByte != '\t' && leadByte != '\n' && leadByte != '\r')
            || leadByte == 127) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

std::vector<CsvRow> splitCsv(std::string_view text, char separator)
{
    const boost::tokenizer<CsvFields, std::string_view::const_iterator, CsvField> tokens(text.begin(), text.end(),
                                                                                         CsvFields(separator));
    std::vector<CsvRow> rows;
    CsvRow row;
    for (const CsvField &field : tokens) {
        row.push_back(field);
        if (field.lastOfRow) {
            rows.push_back(std::move(row));
            row.clear();
        }
    }
    return rows;
}

}
