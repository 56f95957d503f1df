#pragma once

// HTTP/1.1 messages as the server and the upstream client share them: header fields, strict checks, parsing.
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

/// Fields in order of arrival; names compare without regard to case.
struct HttpFields
{
    std::vector<HttpField> list;

    void add(std::string_view name, std::string_view value);
    const std::string *find(std::string_view name) const;  // the first one
    int count(std::string_view name) const;
    void remove(std::string_view name);  // all of them
};

bool equalNames(std::string_view left, std::string_view right);
bool isToken(std::string_view text);  // RFC 9110 token, not empty

/// Appends "name: value" lines and the declared length or chunked coding to a head.
void appendFields(std::string &out, const HttpFields &fields);

// [2] Strict check of a header section --------------------------------------------------------------------------------

enum class HeaderScan {
    NeedMore,
    Complete,
    Bad,       // bare CR or LF, folded line, control character
    TooLarge,  // no end within the limit
};

/// Looks for the empty line that ends the header section at the beginning of `data`. `scanned` is kept between calls
/// for the same message and holds the length of the section at `Complete`.
HeaderScan scanHeader(std::string_view data, std::size_t limit, std::size_t &scanned);

// [3] Parser ----------------------------------------------------------------------------------------------------------

/// How the body's length is declared.
enum class Framing { None, Length, Chunked, UntilClose };

struct HttpHead
{
    std::string method;  // requests
    std::string target;  // requests
    int status = 0;      // responses
    std::string reason;  // responses
    int version = 11;    // 10 or 11
    HttpFields fields;   // without hop-by-hop fields, Content-Length and, in requests, Expect
    Framing framing = Framing::None;
    std::uint64_t length = 0;  // with Framing::Length
    bool close = false;        // the sender will close the connection
    bool expectContinue = false;
    bool expectOther = false;  // an expectation that is not known
};

/// Beast's parser with the rules on framing made strict: one length at most, digits only, chunked as the only coding.
/// Trailer fields are checked and dropped.
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
    /// Feeds the complete header section; the HTTP status for a refusal, 0 when it is sound.
    int parseHeader(std::string_view section);
    /// Feeds body bytes; the number consumed. `failed` with a status for a refusal.
    std::size_t parseBody(std::string_view data, int &failed);
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
    int m_lengths = 0;
    int m_codings = 0;
    bool m_badLength = false;
    bool m_unknownCoding = false;
    bool m_headDone = false;
    int m_refusal = 0;
};

extern template class HttpParser<true>;
extern template class HttpParser<false>;

/// Decodes %XX; a malformed escape stays as it is. In a query, `plusIsSpace` is true.
std::string percentDecoded(std::string_view text, bool plusIsSpace);

}
