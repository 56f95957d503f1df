#include "http_message.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>

namespace briarvane
{

namespace
{

int hexDigit(char c)
{
    return c >= '0' && c <= '9' ? c - '0'
        : c >= 'a' && c <= 'f'  ? c - 'a' + 10
        : c >= 'A' && c <= 'F'  ? c - 'A' + 10
                                : -1;
}

}

std::string percentDecoded(std::string_view text, bool plusIsSpace)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0) {
            decoded += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
            i += 2;
        } else {
            decoded += plusIsSpace && text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

namespace
{

namespace http = boost::beast::http;

std::string_view toView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

template<class Function>
void forEachItem(std::string_view list, Function function)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        const std::string_view item = trim(list.substr(0, comma));
        if (!item.empty()) {
            function(item);
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
}

}

void HttpFields::add(std::string_view name, std::string_view value)
{
    list.push_back({std::string(name), std::string(value)});
}

const std::string *HttpFields::find(std::string_view name) const
{
    for (const HttpField &field : list) {
        if (equalsIgnoreCase(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

int HttpFields::count(std::string_view name) const
{
    return static_cast<int>(std::count_if(list.begin(), list.end(),
                                          [&](const HttpField &field) { return equalsIgnoreCase(field.name, name); }));
}

void HttpFields::remove(std::string_view name)
{
    std::erase_if(list, [&](const HttpField &field) { return equalsIgnoreCase(field.name, name); });
}

bool equalsIgnoreCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
    });
}

void appendFields(std::string &out, const HttpFields &fields)
{
    for (const HttpField &field : fields.list) {
        out.append(field.name).append(": ").append(field.value).append("\r\n");
    }
}

HeaderScan scanHeader(std::string_view data, std::size_t limit, std::size_t &scanned)
{
    const std::size_t end = std::min(data.size(), limit);
    for (std::size_t i = scanned; i < end; ++i) {
        const auto c = static_cast<unsigned char>(data[i]);
        if (c >= ' ' && c != 0x7f) {
            continue;
        }
        const char previous = i == 0 ? '\0' : data[i - 1];
        if (c == '\n') {
            if (previous != '\r') {
                return HeaderScan::Malformed;
            }
            if (i >= 3 && data[i - 2] == '\n') {
                scanned = i + 1;
                return HeaderScan::Complete;
            }
        } else if (c == '\r') {
            if (i + 1 < data.size() && data[i + 1] != '\n') {
                return HeaderScan::Malformed;
            }
        } else if (c != '\t' || previous == '\n') {
            return HeaderScan::Malformed;
        }
        if (c == '\n' && i + 1 < data.size() && data[i + 1] == ' ') {
            return HeaderScan::Malformed;  // folded line (obs-fold)
        }
    }
    // The next call examines the last byte again, because the validity of a CR or LF depends on the byte after it.
    scanned = end == 0 ? 0 : end - 1;
    return data.size() >= limit ? HeaderScan::TooLarge : HeaderScan::NeedMore;
}

template<bool isRequest>
HttpParser<isRequest>::HttpParser()
{
    m_head.fields.list.reserve(12);
    this->eager(false);
}

template<bool isRequest>
int HttpParser<isRequest>::parseHeader(std::string_view section)
{
    this->header_limit(static_cast<std::uint32_t>(section.size() + 1));
    Code error;
    const std::size_t consumed = this->put(boost::asio::const_buffer(section.data(), section.size()), error);
    if (m_refusalStatus != 0) {
        return m_refusalStatus;
    }
    if (error == http::error::body_limit) {
        return 413;
    }
    if (error == http::error::bad_version) {
        return 505;
    }
    if (error || consumed != section.size() || !this->is_header_done()) {
        return 400;
    }
    this->eager(true);
    return 0;
}

template<bool isRequest>
std::size_t HttpParser<isRequest>::parseBody(std::string_view data, int &refusalStatus)
{
    refusalStatus = 0;
    if (data.empty() || this->is_done()) {
        return 0;
    }
    Code error;
    const std::size_t consumed = this->put(boost::asio::const_buffer(data.data(), data.size()), error);
    if (error && error != http::error::need_more) {
        refusalStatus = error == http::error::body_limit ? 413 : 400;
    }
    return consumed;
}

template<bool isRequest>
void HttpParser<isRequest>::on_request_impl(http::verb, View method, View target, int version, Code &error)
{
    m_head.method = toView(method);
    m_head.target = toView(target);
    m_head.version = version;
    if (version != 10 && version != 11) {
        error = http::error::bad_version;
    }
}

template<bool isRequest>
void HttpParser<isRequest>::on_response_impl(int code, View reason, int version, Code &error)
{
    m_head.status = code;
    m_head.reason = toView(reason);
    m_head.version = version;
    if ((version != 10 && version != 11) || code < 100 || code > 599) {
        error = http::error::bad_version;
    }
}

template<bool isRequest>
void HttpParser<isRequest>::on_field_impl(http::field field, View nameText, View valueText, Code &)
{
    if (m_headDone) {
        return;  // trailer fields are discarded
    }
    const std::string_view name = toView(nameText);
    const std::string_view value = toView(valueText);
    switch (field) {
    case http::field::content_length:
        ++m_lengthFields;
        m_invalidLength = m_invalidLength || value.empty() || value.size() > 18
            || !std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; });
        if (!m_invalidLength) {
            std::from_chars(value.data(), value.data() + value.size(), m_head.length);
        }
        return;
    case http::field::transfer_encoding:
        ++m_codingFields;
        m_unknownCoding = m_unknownCoding || !equalsIgnoreCase(value, "chunked");
        return;
    case http::field::connection:
        m_connection.append(m_connection.empty() ? "" : ",").append(value);
        return;
    case http::field::expect:
        if (isRequest) {
            (equalsIgnoreCase(value, "100-continue") ? m_head.expectContinue : m_head.unsupportedExpectation) = true;
            return;
        }
        break;
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::upgrade:
        return;
    default:
        break;
    }
    m_head.fields.add(name, value);
}

template<bool isRequest>
void HttpParser<isRequest>::on_header_impl(Code &error)
{
    m_headDone = true;
    m_head.close = m_head.version == 10;
    forEachItem(m_connection, [&](std::string_view item) {
        if (equalsIgnoreCase(item, "close")) {
            m_head.close = true;
        } else if (!equalsIgnoreCase(item, "keep-alive")) {
            m_head.fields.remove(item);
        }
    });
    if (m_lengthFields > 1 || m_invalidLength || m_codingFields > 1 || (m_lengthFields > 0 && m_codingFields > 0)
        || (m_codingFields > 0 && m_head.version == 10)) {
        m_refusalStatus = 400;
    } else if (m_unknownCoding) {
        m_refusalStatus = 501;
    }
    if (m_refusalStatus != 0) {
        error = http::error::bad_transfer_encoding;
        return;
    }
    m_head.framing = m_codingFields > 0 ? Framing::Chunked
        : m_lengthFields > 0            ? Framing::Length
        : isRequest                     ? Framing::None
                                        : Framing::UntilClose;
}

template<bool isRequest>
void HttpParser<isRequest>::on_body_init_impl(const boost::optional<std::uint64_t> &, Code &)
{
}

template<bool isRequest>
std::size_t HttpParser<isRequest>::on_body_impl(View body, Code &)
{
    m_body(toView(body));
    return body.size();
}

template<bool isRequest>
void HttpParser<isRequest>::on_chunk_header_impl(std::uint64_t, View, Code &)
{
}

template<bool isRequest>
std::size_t HttpParser<isRequest>::on_chunk_body_impl(std::uint64_t, View body, Code &)
{
    m_body(toView(body));
    return body.size();
}

template<bool isRequest>
void HttpParser<isRequest>::on_finish_impl(Code &)
{
}

template class HttpParser<true>;
template class HttpParser<false>;

}
