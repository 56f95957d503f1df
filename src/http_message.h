#pragma once

// HTTP/1.1 messages for the server and the upstream client: header fields, strict checks, parsing.
//
// Index
// [1] Header fields
// [2] Strict check of a header section
// [3] Parser

#include "types.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>

namespace briarvane
{

// [1] Header fields ---------------------------------------------------------------------------------------------------

struct HttpField
{
    std::string name;
    std::string value;
};

/// Header fields in order of arrival. Names are compared without regard to case.
struct HttpFields
{
    std::vector<HttpField> list;

    void add(std::string_view name, std::string_view value);
    const std::string *find(std::string_view name) const;  // value of the first field of that name; null: no such field
    int count(std::string_view name) const;
    void remove(std::string_view name);  // removes all fields of that name
};

bool equalsIgnoreCase(std::string_view left, std::string_view right);
bool isToken(std::string_view text);  // RFC 9110 token, not empty

/// Appends a "name: value" line for each field.
void appendFields(std::string &out, const HttpFields &fields);

// [2] Strict check of a header section --------------------------------------------------------------------------------

enum class HeaderScan {
    NeedMore,  // the section is incomplete, but its bytes so far are valid
    Complete,
    Malformed,  // contains a bare CR or LF, a folded line or a control character
    TooLarge,   // does not end within the limit
};

/// Searches `data`, which starts with a header section, for the empty line that ends the section. `scanned` is 0 for a
/// new message and must be kept between calls for the same message; at `Complete` it holds the length of the section.
HeaderScan scanHeader(std::string_view data, std::size_t limit, std::size_t &scanned);

// [3] Parser ----------------------------------------------------------------------------------------------------------

/// How the end of a body is determined.
enum class Framing { None, Length, Chunked, UntilClose };

struct HttpHead
{
    std::string method;  // only in requests
    std::string target;  // only in requests
    int status = 0;      // only in responses
    std::string reason;  // only in responses
    int version = 11;    // HTTP version times ten: 10 or 11
    HttpFields fields;   // without hop-by-hop fields, Content-Length and, in requests, Expect
    Framing framing = Framing::None;
    std::uint64_t length = 0;  // with Framing::Length
    bool close = false;        // the sender closes the connection after this message
    bool expectContinue = false;
    bool unsupportedExpectation = false;  // Expect has a value other than 100-continue
};

/// Beast's parser with strict rules for framing: at most one Content-Length, of digits only, and chunked as the only
/// transfer coding. Trailer fields are checked and discarded.
template<bool isRequest>
class HttpParser : public boost::beast::http::basic_parser<isRequest>
{
public:
    using Body = std::function<void(std::string_view)>;

    HttpParser();
    const HttpHead &head() const
    {
        return m_head;
    }
    HttpHead takeHead()
    {
        return std::move(m_head);
    }
    /// Parses a complete header section. Returns 0, or the HTTP status with which to refuse the message.
    int parseHeader(std::string_view section);
    /// Parses bytes of the body and returns how many were consumed. `refusalStatus` is set to 0, or to the HTTP status
    /// to refuse the message with.
    std::size_t parseBody(std::string_view data, int &refusalStatus);
    /// Sets the function that receives the decoded bytes of the body.
    void onBody(Body body)
    {
        m_body = std::move(body);
    }

private:
    using View = boost::beast::string_view;
    using Code = boost::beast::error_code;
    void on_request_impl(boost::beast::http::verb, View method, View target, int version, Code &error) override;
    void on_response_impl(int code, View reason, int version, Code &error) override;
    void on_field_impl(boost::beast::http::field field, View name, View value, Code &error) override;
    void on_header_impl(Code &error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, Code &error) override;
    std::size_t on_body_impl(View body, Code &error) override;
    void on_chunk_header_impl(std::uint64_t size, View extensions, Code &error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remain, View body, Code &error) override;
    void on_finish_impl(Code &error) override;

    HttpHead m_head;
    Body m_body;
    std::string m_connection;  // values of all Connection fields, joined by commas
    int m_lengthFields = 0;    // number of Content-Length fields
    int m_codingFields = 0;    // number of Transfer-Encoding fields
    bool m_invalidLength = false;
    bool m_unknownCoding = false;
    bool m_headDone = false;
    int m_refusalStatus = 0;
};

extern template class HttpParser<true>;
extern template class HttpParser<false>;

/// Decodes %XX escapes and leaves malformed ones unchanged. With `plusIsSpace`, as for a query, '+' becomes a space.
std::string percentDecoded(std::string_view text, bool plusIsSpace);

}
