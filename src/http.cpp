#include "http.h"

#include "guarded_call.h"
#include "http_timers.h"
#include "log.h"

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <unordered_set>

namespace briarvane
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Socket = asio::basic_stream_socket<tcp, asio::io_context::executor_type>;
using Acceptor = asio::basic_socket_acceptor<tcp, asio::io_context::executor_type>;

namespace
{

// Size of the read buffer that is part of each connection. Idle connections keep it, so it is small to bound their
// memory. Longer input is read through one buffer that all connections share.
constexpr std::size_t SmallRead = 1024;
constexpr std::size_t LargeRead = 64UL << 10U;       // size of the shared buffer
constexpr std::size_t PipelineLimit = 64UL << 10U;   // bytes of further requests kept while one is handled
constexpr std::size_t WriteThreshold = 32UL << 10U;  // response pieces are joined up to this size before a write
constexpr std::size_t LingerLimit = 1UL << 20U;      // bytes read and discarded after the last response of a connection
// Closing a socket with unread data sends a TCP reset, which could discard the last response before the caller has
// read it. The server therefore keeps reading for this long.
constexpr Duration LingerTimeout{1'000'000};
constexpr Duration AcceptPause{100'000};  // pause after a failed accept; file descriptors may be exhausted
constexpr Duration MaxSweepInterval{250'000};
constexpr Duration MinSweepInterval{5'000};

bool hasNoBody(int status)
{
    return status < 200 || status == 204 || status == 304;
}

void appendNumber(std::string &output, std::uint64_t number, int base = 10)
{
    std::array<char, 20> digits{};
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), number, base);
    output.append(digits.data(), result.ptr);
}

}

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string HttpRequest::query(std::string_view name) const
{
    const std::size_t queryStart = target.find('?');
    if (queryStart == std::string::npos) {
        return {};
    }
    std::string_view rest(target);
    rest.remove_prefix(queryStart + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        const std::string_view key = pair.substr(0, pair.find('='));
        if (key == name) {
            return percentDecoded(pair.substr(std::min(key.size() + 1, pair.size())), true);
        }
        rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
    }
    return {};
}

// Connections ---------------------------------------------------------------------------------------------------------

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
    Impl(asio::io_context &context, HttpServerSettings serverSettings, HttpHandler requestHandler)
        : io(context)
        , settings(std::move(serverSettings))
        , handler(std::move(requestHandler))
        , acceptor(context)
        , timers(context)
    {
    }

    Result<std::uint16_t> open();
    void accept();
    void admit(Socket socket);
    void sweep();
    void scheduleSweep();
    void checkStopped();

    asio::io_context &io;
    HttpServerSettings settings;
    HttpHandler handler;
    Acceptor acceptor;
    Timers timers;
    std::unordered_set<std::shared_ptr<HttpExchange::Connection>> connections;
    std::vector<char> readBuffer = std::vector<char>(LargeRead);
    std::size_t heldBodyBytes = 0;  // bytes of the request bodies held by all connections
    std::size_t inFlight = 0;
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t rejectedConnections = 0;
    bool sweeping = false;
    bool stopping = false;
    TimePoint stoppingSince;
    std::function<void()> onStopped;
};

struct HttpExchange::Connection : std::enable_shared_from_this<HttpExchange::Connection>
{
    enum class State {
        Idle,       // between requests
        Reading,    // a request has arrived in part
        Handling,   // the handler has received the request
        Lingering,  // the last response is written; input is discarded until the caller closes or a limit is reached
        Closed
    };

    Connection(std::shared_ptr<HttpServer::Impl> server, Socket peer)
        : impl(std::move(server))
        , socket(std::move(peer))
    {
    }

    // Reading
    void read();
    void onReceived(const char *data, std::size_t size);
    void parse();
    void beginRequest(std::size_t headerSize);
    bool acceptHead();
    void finishRequest();
    void refuse(int status, std::string_view reason);

    // Writing
    void head(HttpResponseHead response);
    void body(std::string_view piece);
    void write();
    void awaitWritable();
    void advanceOutput(std::size_t size);
    void end();
    void afterResponse();

    void close(bool reset = false);
    void setState(State next, Duration timeout);
    void sweep(TimePoint now);
    void releaseBody();

    std::shared_ptr<HttpServer::Impl> impl;
    Socket socket;
    State state = State::Idle;
    TimePoint deadline;  // end of the current state's timeout; not used in Handling
    std::array<char, SmallRead> smallBuffer;
    bool readPending = false;
    bool parsing = false;     // parse() is running; guards against recursion
    std::string input;        // bytes received but not yet parsed
    std::size_t scanned = 0;  // progress of scanHeader() in `input`
    std::optional<HttpParser<true>> parser;
    std::string requestBody;
    std::size_t bodyBytes = 0;       // bytes of this connection counted in impl->heldBodyBytes
    std::size_t discardedBytes = 0;  // bytes discarded in state Lingering

    // The response being written
    std::string output;
    std::size_t outputOffset = 0;  // bytes of `output` already written
    bool writePending = false;
    TimePoint lastProgress;  // time of the head or of the last write that took a byte
    bool headSent = false;
    bool isHeadRequest = false;
    bool http10 = false;
    bool closeAfterResponse = false;
    bool noBody = false;
    bool chunked = false;
    bool untilClose = false;
    std::uint64_t remaining = 0;  // bytes of the declared length not yet passed to body()
    bool responseEnded = false;
    std::string requestLabel;  // "METHOD path"
    std::function<void()> drained;
    std::function<void()> disconnectHandler;
};

using State = HttpExchange::Connection::State;

void HttpExchange::Connection::setState(State next, Duration timeout)
{
    state = next;
    deadline = steadyNow() + timeout;
}

void HttpExchange::Connection::read()
{
    if (readPending || state == State::Closed || input.size() >= PipelineLimit + impl->settings.headerLimit) {
        return;
    }
    readPending = true;
    socket.async_read_some(
        asio::buffer(smallBuffer), [self = shared_from_this()](const error_code &error, std::size_t size) {
            // readPending stays set while the data is processed, so that no second read starts from inside this
            // handler.
            if (self->state == State::Closed) {
                return;
            }
            if (error) {
                self->close();
                return;
            }
            self->onReceived(self->smallBuffer.data(), size);
            // A full buffer means that more data is probably available. It is read through the shared buffer at once,
            // without another iteration of the event loop.
            error_code readError;
            while (size == SmallRead && self->state != State::Closed && self->input.size() < PipelineLimit) {
                std::vector<char> &buffer = self->impl->readBuffer;
                const std::size_t more = self->socket.read_some(asio::buffer(buffer), readError);
                if (readError) {
                    break;
                }
                self->onReceived(buffer.data(), more);
                if (more < buffer.size()) {
                    break;
                }
            }
            if (readError && readError != asio::error::would_block) {
                self->close();
                return;
            }
            self->readPending = false;
            self->read();
        });
}

void HttpExchange::Connection::onReceived(const char *data, std::size_t size)
{
    if (state == State::Lingering) {
        discardedBytes += size;
        if (discardedBytes > LingerLimit) {
            close();
        }
        return;
    }
    input.append(data, size);
    parse();
}

void HttpExchange::Connection::parse()
{
    if (parsing) {
        return;
    }
    parsing = true;
    const auto self = shared_from_this();  // the handler may release the last other reference
    while (!input.empty() && (state == State::Idle || state == State::Reading)) {
        if (state == State::Idle) {
            if (input.starts_with("\r\n")) {  // RFC 9112, 2.2: ignore an empty line before a request
                input.erase(0, 2);
                continue;
            }
            setState(State::Reading, impl->settings.readTimeout);
        }
        if (!parser) {
            const HeaderScan scan = scanHeader(input, impl->settings.headerLimit, scanned);
            if (scan == HeaderScan::NeedMore) {
                break;
            }
            if (scan != HeaderScan::Complete) {
                const bool tooLarge = scan == HeaderScan::TooLarge;
                refuse(tooLarge ? 431 : 400, tooLarge ? "header section too large" : "malformed header section");
                break;
            }
            const std::size_t headerSize = std::exchange(scanned, 0);
            beginRequest(headerSize);
            continue;
        }
        int refusalStatus = 0;
        const std::size_t consumed = parser->parseBody(input, refusalStatus);
        input.erase(0, consumed);
        if (refusalStatus != 0) {
            refuse(refusalStatus, refusalStatus == 413 ? "body too large" : "malformed chunk");
            break;
        }
        if (impl->heldBodyBytes > impl->settings.totalBodyLimit) {
            refuse(503, "too many request bodies at once");
            break;
        }
        if (parser->is_done()) {
            finishRequest();
        } else if (consumed == 0) {
            // The chunk header or trailer section is incomplete. It may grow up to the limit of a header section.
            if (input.size() > impl->settings.headerLimit) {
                refuse(431, "chunk header or trailer too large");
            }
            break;
        }
    }
    parsing = false;
}

void HttpExchange::Connection::beginRequest(std::size_t headerSize)
{
    parser.emplace();
    parser->body_limit(impl->settings.bodyLimit);
    const int refusalStatus = parser->parseHeader(std::string_view(input).substr(0, headerSize));
    input.erase(0, headerSize);
    headSent = responseEnded = isHeadRequest = noBody = chunked = untilClose = false;
    http10 = parser->head().version == 10;
    closeAfterResponse = parser->head().close;
    if (refusalStatus != 0) {
        refuse(refusalStatus,
               refusalStatus == 413       ? "body too large"
                   : refusalStatus == 501 ? "transfer coding not supported"
                                          : "malformed request");
        return;
    }
    if (!acceptHead()) {
        return;
    }
    parser->onBody([this](std::string_view piece) {
        bodyBytes += piece.size();
        impl->heldBodyBytes += piece.size();
        requestBody.append(piece);
    });
    if (parser->is_done()) {
        finishRequest();
        return;
    }
    requestBody.reserve(std::min<std::uint64_t>(parser->head().length, LargeRead));
    if (parser->head().expectContinue && input.empty() && !http10) {
        output += "HTTP/1.1 100 Continue\r\n\r\n";
        write();
    }
}

bool HttpExchange::Connection::acceptHead()
{
    const HttpHead &request = parser->head();
    if (!http10 && request.fields.count("Host") != 1) {
        refuse(400, "exactly one Host field is required");
    } else if (request.unsupportedExpectation) {
        refuse(417, "expectation not supported");
    } else if (request.method == "CONNECT" || request.method == "TRACE") {
        refuse(405, "method not supported");
    } else if (!request.target.starts_with('/') && !(request.method == "OPTIONS" && request.target == "*")) {
        refuse(400, "target must be a path");
    }
    return state == State::Reading;
}

void HttpExchange::Connection::finishRequest()
{
    HttpHead parsed = parser->takeHead();
    parser.reset();
    state = State::Handling;
    isHeadRequest = parsed.method == "HEAD";
    HttpRequest request{std::move(parsed.method), std::move(parsed.target), std::move(parsed.fields),
                        std::exchange(requestBody, {})};
    requestLabel.assign(request.method).append(" ").append(request.path());
    ++impl->inFlight;
    ++impl->requests;
    const auto exchange = std::make_shared<HttpExchange>(shared_from_this(), std::move(request));
    // An exchange that is dropped without a response closes its connection, so the caller learns that the outcome is
    // unknown.
    callGuarded("request", [&] { impl->handler(exchange); });
}

void HttpExchange::Connection::refuse(int status, std::string_view reason)
{
    ++impl->refused;
    parser.reset();
    scanned = 0;
    input.clear();
    requestBody.clear();
    releaseBody();
    closeAfterResponse = true;
    isHeadRequest = chunked = false;
    HttpResponseHead response;
    response.status = status;
    response.fields.add("Content-Type", "text/plain");
    response.fields.add("Briarvane-Outcome", toString(Outcome::NotRun));
    response.length = reason.size() + 1;
    setState(State::Lingering, LingerTimeout);
    head(std::move(response));
    output.append(reason).append("\n");
    responseEnded = true;
    write();
    if (output.empty()) {
        afterResponse();
    }
}

// Responses -----------------------------------------------------------------------------------------------------------

void HttpExchange::Connection::head(HttpResponseHead response)
{
    headSent = true;
    lastProgress = steadyNow();
    noBody = isHeadRequest || hasNoBody(response.status);
    chunked = !response.length && !http10 && !hasNoBody(response.status);
    untilClose = !response.length && http10 && !noBody;
    remaining = response.length.value_or(0);
    closeAfterResponse = closeAfterResponse || impl->stopping || untilClose;
    output.append("HTTP/1.1 ");
    appendNumber(output, static_cast<std::uint64_t>(response.status));
    const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(response.status));
    output.append(" ").append(reason.data(), reason.size()).append("\r\n");
    appendFields(output, response.fields);
    if (response.length && (!hasNoBody(response.status) || response.status == 304)) {
        output.append("Content-Length: ");
        appendNumber(output, *response.length);
        output.append("\r\n");
    } else if (chunked) {
        output.append("Transfer-Encoding: chunked\r\n");
    }
    if (closeAfterResponse) {
        output.append("Connection: close\r\n");
    }
    output.append("\r\n");
}

void HttpExchange::Connection::body(std::string_view piece)
{
    if (noBody || piece.empty()) {
        return;
    }
    if (chunked) {
        appendNumber(output, piece.size(), 16);
        output.append("\r\n").append(piece).append("\r\n");
    } else if (untilClose) {
        output.append(piece);
    } else {
        if (piece.size() > remaining) {
            close();  // bytes beyond the declared length could be read as the next response
            return;
        }
        remaining -= piece.size();
        output.append(piece);
    }
    if (output.size() - outputOffset >= WriteThreshold) {
        write();
    }
}

void HttpExchange::Connection::write()
{
    if (writePending || state == State::Closed || outputOffset == output.size()) {
        return;
    }
    error_code error;
    const std::size_t size
        = socket.write_some(asio::buffer(output.data() + outputOffset, output.size() - outputOffset), error);
    if (error && error != asio::error::would_block) {
        close();
        return;
    }
    advanceOutput(size);
    if (outputOffset < output.size()) {
        awaitWritable();
    }
}

void HttpExchange::Connection::awaitWritable()
{
    writePending = true;
    socket.async_wait(Socket::wait_write, [self = shared_from_this()](const error_code &error) {
        self->writePending = false;
        if (self->state == State::Closed) {
            return;
        }
        if (error) {
            self->close();
            return;
        }
        self->write();
        if (self->state != State::Closed && self->output.empty()) {
            if (self->responseEnded) {
                self->afterResponse();
            } else if (self->drained) {
                self->drained();
            }
        }
    });
}

void HttpExchange::Connection::advanceOutput(std::size_t size)
{
    outputOffset += size;
    if (size > 0) {
        lastProgress = steadyNow();
    }
    if (outputOffset == output.size()) {
        output.clear();
        outputOffset = 0;
    } else if (outputOffset > LargeRead) {
        output.erase(0, outputOffset);
        outputOffset = 0;
    }
}

void HttpExchange::Connection::end()
{
    if (!headSent || (!noBody && !chunked && !untilClose && remaining > 0)) {
        close();
        return;
    }
    if (chunked && !noBody) {
        output.append("0\r\n\r\n");
    }
    responseEnded = true;
    drained = nullptr;
    disconnectHandler = nullptr;
    --impl->inFlight;
    releaseBody();
    write();
    if (state == State::Handling && output.empty()) {
        afterResponse();
    }
}

/// Called when the whole response has been handed to the kernel.
void HttpExchange::Connection::afterResponse()
{
    if (state == State::Closed || !responseEnded) {
        return;
    }
    if (closeAfterResponse) {
        error_code ignored;
        socket.shutdown(Socket::shutdown_send, ignored);
        if (state != State::Lingering) {
            input.clear();
            setState(State::Lingering, LingerTimeout);
        }
        read();
        return;
    }
    setState(State::Idle, impl->settings.idleTimeout);
    responseEnded = false;
    parse();
    read();
}

void HttpExchange::Connection::releaseBody()
{
    impl->heldBodyBytes -= std::exchange(bodyBytes, 0);
}

void HttpExchange::Connection::close(bool reset)
{
    if (state == State::Closed) {
        return;
    }
    const bool handling = state == State::Handling && !responseEnded;
    state = State::Closed;
    releaseBody();
    error_code ignored;
    if (reset || (handling && untilClose)) {
        // A response that lasts until the connection closes has no other end, so only a TCP reset lets the caller
        // detect that the response is incomplete.
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket.close(ignored);
    drained = nullptr;
    const auto self = shared_from_this();
    impl->connections.erase(self);
    if (handling) {
        --impl->inFlight;
        if (const auto notify = std::exchange(disconnectHandler, nullptr)) {
            asio::post(impl->io, notify);
        }
    }
    disconnectHandler = nullptr;
    impl->checkStopped();
}

void HttpExchange::Connection::sweep(TimePoint now)
{
    if (!output.empty() && writePending && now - lastProgress >= impl->settings.writeTimeout) {
        logRepeated(LogLevel::Warn, "caller-too-slow", "write", {{"request", requestLabel}});
        close();
        return;
    }
    if (state == State::Handling) {
        return;
    }
    if (state == State::Idle && impl->stopping && now - impl->stoppingSince >= impl->settings.stopGrace
        && !writePending) {
        error_code error;
        if (socket.available(error) == 0) {  // a request that has already arrived is still handled
            close();
        }
    } else if (now >= deadline) {
        if (state == State::Reading) {
            refuse(408, "request not complete in time");
        } else if (!writePending) {
            close();
        }
    } else if (state == State::Idle && output.empty() && input.empty()) {
        // Release the buffers of an idle connection.
        input = {};
        output = {};
        requestLabel = {};
    }
}

// The server ----------------------------------------------------------------------------------------------------------

Result<std::uint16_t> HttpServer::Impl::open()
{
    error_code error;
    const auto address = asio::ip::make_address(settings.address, error);
    if (error) {
        return Error{ErrorCode::Invalid, "listen address " + settings.address + " is not an IP address"};
    }
    const tcp::endpoint endpoint(address, settings.port);
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(Acceptor::reuse_address(true), error);
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(4096, error);
    }
    if (!error) {
        acceptor.non_blocking(true, error);
    }
    if (error) {
        error_code ignored;
        acceptor.close(ignored);
        return Error{ErrorCode::Unavailable,
                     "cannot listen on " + settings.address + ":" + std::to_string(settings.port) + ": "
                         + error.message()};
    }
    settings.port = acceptor.local_endpoint().port();
    stopping = false;
    accept();
    scheduleSweep();
    return settings.port;
}

void HttpServer::Impl::accept()
{
    acceptor.async_accept([self = shared_from_this()](const error_code &error, Socket socket) {
        if (!self->acceptor.is_open()) {
            return;
        }
        if (error) {
            logRepeated(LogLevel::Warn, "accept-failed", std::to_string(self->settings.port),
                        {{"error", error.message()}});
            self->timers.at(steadyNow() + AcceptPause, [self = self.get()] {
                if (self->acceptor.is_open()) {
                    self->accept();
                }
            });
            return;
        }
        self->admit(std::move(socket));
        self->accept();
    });
}

void HttpServer::Impl::admit(Socket socket)
{
    error_code ignored;
    if (connections.size() >= settings.connections) {
        ++rejectedConnections;
        return;  // the destructor of `socket` closes the connection
    }
    socket.non_blocking(true, ignored);
    socket.set_option(tcp::no_delay(true), ignored);
    auto connection = std::make_shared<HttpExchange::Connection>(shared_from_this(), std::move(socket));
    connections.insert(connection);
    connection->setState(State::Idle, settings.idleTimeout);
    connection->read();
}

/// Connection timeouts are seconds long, so a periodic pass over all connections costs less than a timer for each.
void HttpServer::Impl::scheduleSweep()
{
    if (sweeping) {
        return;
    }
    sweeping = true;
    const Duration shortest = std::min({settings.idleTimeout, settings.readTimeout, settings.writeTimeout});
    timers.at(steadyNow() + std::clamp(shortest / 4, MinSweepInterval, MaxSweepInterval), [this] {
        sweeping = false;
        sweep();
        if (acceptor.is_open() || !connections.empty()) {
            scheduleSweep();
        }
    });
}

void HttpServer::Impl::sweep()
{
    const TimePoint now = steadyNow();
    const std::vector<std::shared_ptr<HttpExchange::Connection>> snapshot(connections.begin(), connections.end());
    for (const auto &connection : snapshot) {
        if (connection->state != State::Closed) {
            connection->sweep(now);
        }
    }
}

void HttpServer::Impl::checkStopped()
{
    if (stopping && connections.empty() && onStopped) {
        asio::post(io, std::exchange(onStopped, nullptr));
    }
}

HttpServer::HttpServer(asio::io_context &io, HttpServerSettings settings, HttpHandler handler)
    : m_impl(std::make_shared<Impl>(io, std::move(settings), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    m_impl->onStopped = nullptr;
    closeAll();
}

Result<std::uint16_t> HttpServer::open()
{
    return m_impl->open();
}

void HttpServer::stop(std::function<void()> done)
{
    m_impl->onStopped = std::move(done);
    m_impl->stopping = true;
    m_impl->stoppingSince = steadyNow();
    // Take the connections in the listen queue, because closing the listener would reset them.
    error_code error;
    while (m_impl->acceptor.is_open() && !error) {
        Socket socket(m_impl->io);
        m_impl->acceptor.accept(socket, error);
        if (!error) {
            m_impl->admit(std::move(socket));
        }
    }
    m_impl->acceptor.close(error);
    m_impl->scheduleSweep();
    m_impl->checkStopped();
}

void HttpServer::closeAll(bool reset)
{
    error_code ignored;
    m_impl->acceptor.close(ignored);
    const auto snapshot = std::vector(m_impl->connections.begin(), m_impl->connections.end());
    for (const auto &connection : snapshot) {
        connection->close(reset);
    }
}

HttpServerLoad HttpServer::load() const
{
    HttpServerLoad load;
    load.connections = m_impl->connections.size();
    load.inFlight = m_impl->inFlight;
    load.requests = m_impl->requests;
    load.refused = m_impl->refused;
    load.rejectedConnections = m_impl->rejectedConnections;
    for (const auto &connection : m_impl->connections) {
        if (connection->state == State::Handling && !connection->responseEnded && load.activeRequests.size() < 20) {
            load.activeRequests.push_back(connection->requestLabel);
        }
    }
    return load;
}

// The exchange --------------------------------------------------------------------------------------------------------

HttpExchange::HttpExchange(std::shared_ptr<Connection> connection, HttpRequest request)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
{
}

HttpExchange::~HttpExchange()
{
    abort();
}

void HttpExchange::respond(int status, std::string_view contentType, std::string_view body, HttpFields fields)
{
    HttpResponseHead response{status, std::move(fields), body.size()};
    if (!contentType.empty()) {
        response.fields.add("Content-Type", contentType);
    }
    head(std::move(response));
    this->body(body);
    end();
}

void HttpExchange::head(HttpResponseHead head)
{
    if (!disconnected() && !m_connection->headSent) {
        m_connection->head(std::move(head));
    }
}

void HttpExchange::body(std::string_view piece)
{
    if (!disconnected()) {
        m_connection->body(piece);
    }
}

void HttpExchange::flush()
{
    if (!disconnected()) {
        m_connection->write();
    }
}

void HttpExchange::end()
{
    if (!disconnected()) {
        const auto connection = std::exchange(m_connection, nullptr);
        connection->end();
    }
}

void HttpExchange::abort()
{
    if (!disconnected()) {
        const auto connection = std::exchange(m_connection, nullptr);
        connection->disconnectHandler = nullptr;
        // Send what was written so far, unless the response would then look complete to the caller.
        const bool detectablyIncomplete = connection->chunked || connection->untilClose || connection->remaining > 0;
        if (detectablyIncomplete) {
            connection->write();
        }
        connection->close(!detectablyIncomplete && connection->headSent);
    }
}

void HttpExchange::reset()
{
    if (!disconnected()) {
        const auto connection = std::exchange(m_connection, nullptr);
        connection->disconnectHandler = nullptr;
        connection->close(true);
    }
}

std::size_t HttpExchange::unsentBytes() const
{
    return disconnected() ? 0 : m_connection->output.size() - m_connection->outputOffset;
}

void HttpExchange::onDrained(std::function<void()> drained)
{
    if (!disconnected()) {
        m_connection->drained = std::move(drained);
    }
}

void HttpExchange::onDisconnect(std::function<void()> handler)
{
    if (!disconnected()) {
        m_connection->disconnectHandler = std::move(handler);
    }
}

bool HttpExchange::disconnected() const
{
    return m_connection == nullptr || m_connection->state == State::Closed;
}

}
