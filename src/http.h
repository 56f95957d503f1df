#pragma once

// HTTP/1.1 server on the I/O thread: strict requests in, streamed responses out. Used for callers and for operators.
//
// Index
// [1] Settings
// [2] One request and its response
// [3] The server

#include "http_message.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace briarvane
{

// [1] Settings --------------------------------------------------------------------------------------------------------

struct HttpServerSettings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;                 // 0 takes a free one
    std::size_t headerLimit = 16UL << 10U;  // 431 above
    std::size_t bodyLimit = 1UL << 20U;     // 413 above
    std::size_t bodiesLimit = 64UL << 20U;  // bytes of bodies of all requests together; 503 above
    std::size_t connections = 16'000;       // further ones are closed at once
    Duration idleTimeout{60'000'000};       // between requests
    Duration readTimeout{10'000'000};       // for one whole request, from its first byte
    Duration writeTimeout{10'000'000};      // without a byte taken by the caller while some are waiting
    Duration stopGrace{500'000};            // a stopping server answers requests on idle connections for this long
};

// [2] One request and its response ------------------------------------------------------------------------------------

struct HttpRequest
{
    std::string method;
    std::string target;
    HttpFields fields;  // without hop-by-hop fields, Content-Length and Expect
    std::string body;   // whole

    std::string_view path() const;  // target without the query
    /// Value of a query parameter, percent-decoded; empty when it is missing.
    std::string query(std::string_view name) const;
};

struct HttpResponseHead
{
    int status = 200;
    HttpFields fields;                    // without Connection, Content-Length and Transfer-Encoding
    std::optional<std::uint64_t> length;  // none: chunked, or up to the close for HTTP/1.0
};

/// Handed to the handler with each request. The response may be written later, in pieces. An exchange that is dropped
/// before end() is aborted. All functions do nothing once the caller is gone.
class HttpExchange
{
public:
    struct Connection;

    explicit HttpExchange(std::shared_ptr<Connection> connection, HttpRequest request);
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;
    ~HttpExchange();

    const HttpRequest &request() const
    {
        return m_request;
    }
    HttpRequest &request()
    {
        return m_request;
    }

    /// The whole response at once.
    void respond(int status, std::string_view contentType, std::string_view body, HttpFields fields = {});

    void head(HttpResponseHead head);  // sent together with the first piece, or by flush()
    void body(std::string_view piece);
    void flush();
    void end();    // an end before the declared length is an abort
    void abort();  // closes the connection so that the caller sees the response cut
    void reset();  // the same with a TCP reset

    /// Bytes that the caller has not yet taken. A handler that streams stops at a bound of its own choice and goes on
    /// at `drained`, which is called each time that nothing is waiting any more.
    std::size_t waiting() const;
    void onDrained(std::function<void()> drained);
    /// Called once if the caller goes away before the response is complete.
    void onGone(std::function<void()> gone);
    bool gone() const;

private:
    std::shared_ptr<Connection> m_connection;  // null once the response is complete or the caller is gone
    HttpRequest m_request;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

// [3] The server ------------------------------------------------------------------------------------------------------

struct HttpServerLoad
{
    std::size_t connections = 0;
    std::size_t inFlight = 0;       // requests that the handler has and whose response is not complete
    std::uint64_t requests = 0;     // since the start
    std::uint64_t refused = 0;      // malformed or over a limit
    std::uint64_t overLimit = 0;    // connections closed at the connection limit
    std::vector<std::string> open;  // "METHOD path" of requests in flight, at most 20
};

/// Requests of one connection are handled one after the other, so that pipelined ones are answered in order.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &io, HttpServerSettings settings, HttpHandler handler);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();  // closes everything

    Result<std::uint16_t> open();  // the bound port; also after closeAll()
    /// Accepts no more connections, finishes the requests in flight and calls `done` when no connection is open.
    void stop(std::function<void()> done);
    void closeAll(bool reset = false);  // cuts every connection
    HttpServerLoad load() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
