#pragma once

// HTTP/1.1 server on the I/O thread. It parses requests strictly and streams responses. Serves callers and operators.
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
    std::uint16_t port = 0;                 // 0: any free port
    std::size_t headerLimit = 16UL << 10U;  // bytes; larger requests get status 431
    std::size_t bodyLimit = 1UL << 20U;     // bytes; larger requests get status 413
    /// Bytes of all request bodies held at once; above this limit, requests get status 503.
    std::size_t totalBodyLimit = 64UL << 20U;
    std::size_t connections = 16'000;  // open connections; further connections are closed on arrival
    Duration idleTimeout{60'000'000};  // a connection without a request is closed after this time
    Duration readTimeout{10'000'000};  // from the first byte of a request to its last; slower requests get status 408
    /// A connection with unsent bytes is closed if the caller takes none of them for this time.
    Duration writeTimeout{10'000'000};
    Duration stopGrace{500'000};  // a stopping server still accepts requests on idle connections for this long
};

// [2] One request and its response ------------------------------------------------------------------------------------

struct HttpRequest
{
    std::string method;
    std::string target;
    HttpFields fields;  // without hop-by-hop fields, Content-Length and Expect
    std::string body;   // decoded, and received completely

    std::string_view path() const;  // target without the query
    /// Value of a query parameter, percent-decoded; empty when it is missing.
    std::string query(std::string_view name) const;
};

struct HttpResponseHead
{
    int status = 200;
    HttpFields fields;                    // without Connection, Content-Length and Transfer-Encoding
    std::optional<std::uint64_t> length;  // not set: chunked, or for HTTP/1.0 until the connection closes
};

/// One request and its response, passed to the handler. The response may be written later, in pieces. Destroying an
/// exchange before end() aborts it. All functions do nothing once the caller has disconnected.
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

    /// Sends a complete response.
    void respond(int status, std::string_view contentType, std::string_view body, HttpFields fields = {});

    /// Starts the response. The head and the body are buffered; they are sent by flush(), by end() or when about 32 KB
    /// are buffered.
    void head(HttpResponseHead head);
    void body(std::string_view piece);
    void flush();
    void end();    // aborts if the body is shorter than the declared length
    void abort();  // closes the connection so that the caller detects an incomplete response
    void reset();  // closes the connection with a TCP reset, without sending the remaining bytes

    /// Number of response bytes not yet handed to the kernel. A handler that streams should stop above a limit of its
    /// own (at least 32 KB) and continue when `drained` is called. `drained` is called each time that a delayed write
    /// has handed over all bytes, but not when a write succeeds at once.
    std::size_t unsentBytes() const;
    void onDrained(std::function<void()> drained);
    /// `handler` is called once if the connection closes before the response has ended, except by abort() or reset().
    void onDisconnect(std::function<void()> handler);
    bool disconnected() const;  // the connection is closed, or the response was ended, aborted or reset

private:
    std::shared_ptr<Connection> m_connection;  // null once the response was ended, aborted or reset
    HttpRequest m_request;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

// [3] The server ------------------------------------------------------------------------------------------------------

struct HttpServerLoad
{
    std::size_t connections = 0;
    std::size_t inFlight = 0;                 // requests that the handler received and whose response has not ended
    std::uint64_t requests = 0;               // requests passed to the handler since the start
    std::uint64_t refused = 0;                // requests refused since the start: malformed, incomplete or over a limit
    std::uint64_t rejectedConnections = 0;    // connections closed since the start at the connection limit
    std::vector<std::string> activeRequests;  // "METHOD path" of at most 20 requests in flight
};

/// Handles the requests of a connection one after another, so that pipelined requests are answered in order.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &io, HttpServerSettings settings, HttpHandler handler);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();  // closes every connection at once

    Result<std::uint16_t> open();  // returns the bound port; may be called again after closeAll()
    /// Accepts no more connections, lets the requests in flight finish, and calls `done` when no connection is open.
    void stop(std::function<void()> done);
    /// Closes the listener and all connections at once, with a TCP reset if `reset` is set.
    void closeAll(bool reset = false);
    HttpServerLoad load() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
