#pragma once

// HTTP server of the stand-ins: requests with a parsed target, JSON replies, one session per connection.
// Single-threaded.

#include "types.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

#include <map>
#include <optional>

namespace briarvane::standin
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr std::size_t BodyLimit = 2UL << 20U;  // twice the largest value that a store accepts

inline TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Limits the calls within each second of the steady clock.
struct RateLimit
{
    int limit = 0;
    int used = 0;
    std::int64_t second = 0;

    bool take()
    {
        const std::int64_t present
            = std::chrono::duration_cast<std::chrono::seconds>(steadyNow().time_since_epoch()).count();
        if (present != second) {
            second = present;
            used = 0;
        }
        return ++used <= limit;
    }
};

inline std::string decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::strtol(std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

struct Target
{
    std::string path;
    std::map<std::string, std::string> query;

    std::string text(const std::string &name) const
    {
        const auto found = query.find(name);
        return found == query.end() ? "" : found->second;
    }
    bool has(const std::string &name) const
    {
        return query.contains(name);
    }
    std::uint64_t number(const std::string &name) const
    {
        return std::strtoull(text(name).c_str(), nullptr, 10);
    }
};

inline Target parseTarget(std::string_view text)
{
    Target target;
    const std::size_t mark = text.find('?');
    target.path = decode(text.substr(0, mark));
    std::string_view rest = mark == std::string_view::npos ? "" : text.substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        const std::string_view value = equals == std::string_view::npos ? "" : pair.substr(equals + 1);
        target.query[decode(pair.substr(0, equals))] = decode(value);
    }
    return target;
}

struct Answer
{
    unsigned status = 200;
    json::value body = json::object{};
};

inline Answer errorAnswer(unsigned status, const std::string &reason)
{
    return {status, json::object{{"error", reason}}};
}

using Reply = std::function<void(std::optional<Answer>)>;  // no value: the connection is closed without a reply

/// One connection. `H` must have handle(const Request &, const Reply &) and must outlive its sessions.
template<class H>
struct Session : std::enable_shared_from_this<Session<H>>
{
    Session(tcp::socket accepted, H &standIn)
        : socket(std::move(accepted))
        , handler(standIn)
    {
    }

    void read()
    {
        parser.emplace();
        parser->body_limit(BodyLimit);
        http::async_read(socket, buffer, *parser,
                         [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t) {
                             if (!error) {
                                 self->handle();
                             }
                         });
    }

    void handle()
    {
        const Request request = parser->release();
        handler.handle(request,
                       [self = this->shared_from_this(), keep = request.keep_alive()](std::optional<Answer> answer) {
                           if (!answer) {
                               boost::system::error_code ignored;
                               self->socket.close(ignored);
                               return;
                           }
                           self->response = Response(static_cast<http::status>(answer->status), 11);
                           self->response.set(http::field::content_type, "application/json");
                           self->response.keep_alive(keep);
                           self->response.body() = json::serialize(answer->body);
                           self->response.prepare_payload();
                           http::async_write(self->socket, self->response,
                                             [self, keep](const boost::system::error_code &error, std::size_t) {
                                                 if (!error && keep) {
                                                     self->read();
                                                 }
                                             });
                       });
    }

    tcp::socket socket;
    H &handler;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    Response response;
};

/// Serves each connection with `handler` until the acceptor is closed.
template<class H>
void accept(tcp::acceptor &acceptor, H &handler)
{
    acceptor.async_accept([&](const boost::system::error_code &error, tcp::socket socket) {
        if (!error) {
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            std::make_shared<Session<H>>(std::move(socket), handler)->read();
        }
        if (error != asio::error::operation_aborted) {
            accept(acceptor, handler);
        }
    });
}

}
