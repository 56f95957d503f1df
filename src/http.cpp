#include "http.h"

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

// Read size of a connection at rest. It is part of each connection, so it bounds the memory of idle ones; larger
// requests are read through one buffer that all connections share.
constexpr std::size_t SmallRead = 1024;
constexpr std::size_t LargeRead = 64UL << 10U;
constexpr std::size_t PipelineLimit = 64UL << 10U;   // unread requests kept while one is being answered
constexpr std::size_t WriteThreshold = 32UL << 10U;  // pieces are joined up to this size before a write
constexpr std::size_t LingerLimit = 1UL << 20U;      // bytes read and dropped after a refusal
constexpr Duration LingerTimeout{1'000'000};         // so that a refusal is not lost to a TCP reset
constexpr Duration AcceptPause{100'000};             // after a failed accept, for example without free descriptors
constexpr Duration LongestSweep{250'000};
constexpr Duration ShortestSweep{5'000};

bool hasNoBody(int status)
{
    return status < 200 || status == 204 || status == 304;
}

void appendNumber(std::string &out, std::uint64_t number, int base = 10)
{
    std::array<char, 20> digits{};
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), number, base);
    out.append(digits.data(), result.ptr);
}

}

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string HttpRequest::query(std::string_view name) const
{
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos) {
        return {};
    }
    std::string_view rest(target);
    rest.remove_prefix(mark + 1);
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
    Impl(asio::io_context &context, HttpServerSettings limits, HttpHandler function)
        : io(context)
        , settings(std::move(limits))
        , handler(std::move(function))
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
    std::size_t bodies = 0;  // bytes of request bodies held
    std::size_t inFlight = 0;
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t overLimit = 0;
    bool sweeping = false;
    bool stopping = false;
    TimePoint stoppedAt;
    std::function<void()> stopped;
};

struct HttpExchange::Connection : std::enable_shared_from_this<HttpExchange::Connection>
{
    enum class State {
        Idle,       // between requests
        Reading,    // a request has begun
        Handling,   // the handler has the request
        Lingering,  // refused: what still arrives is dropped
        Closed
    };

    Connection(std::shared_ptr<HttpServer::Impl> server, Socket peer)
        : impl(std::move(server))
        , socket(std::move(peer))
    {
    }

    // Reading
    void read();
    void received(const char *data, std::size_t size);
    void parse();
    void beginRequest(std::size_t section);
    bool acceptHead();
    void finishRequest();
    void refuse(int status, std::string_view reason);

    // Writing
    void head(HttpResponseHead response);
    void body(std::string_view piece);
    void write();
    void writeRest();
    void wrote(std::size_t size);
    void end();
    void afterResponse();

    void close(bool reset = false);
    void setState(State next, Duration timeout);
    void sweep(TimePoint now);
    void releaseBody();

    std::shared_ptr<HttpServer::Impl> impl;
    Socket socket;
    State state = State::Idle;
    TimePoint deadline;  // of the present state; not used while Handling
    std::array<char, SmallRead> small;
    bool readPending = false;
    bool parsing = false;  // parse() is on the stack
    std::string in;        // received and not yet parsed
    std::size_t scanned = 0;
    std::optional<HttpParser<true>> parser;
    std::string requestBody;
    std::size_t bodyBytes = 0;  // counted in impl->bodies
    std::size_t dropped = 0;    // while Lingering

    // The response being written
    std::string out;
    std::size_t outBegin = 0;  // bytes of `out` already written
    bool writePending = false;
    TimePoint lastProgress;
    bool headSent = false;
    bool isHead = false;
    bool http10 = false;
    bool closeAfter = false;
    bool noBody = false;
    bool chunked = false;
    bool untilClose = false;
    std::uint64_t remaining = 0;  // of the declared length
    bool responseEnded = false;
    std::string label;  // "METHOD path"
    std::function<void()> drained;
    std::function<void()> gone;
};

using State = HttpExchange::Connection::State;

void HttpExchange::Connection::setState(State next, Duration timeout)
{
    state = next;
    deadline = steadyNow() + timeout;
}

void HttpExchange::Connection::read()
{
    if (readPending || state == State::Closed || in.size() >= PipelineLimit + impl->settings.headerLimit) {
        return;
    }
    readPending = true;
    socket.async_read_some(asio::buffer(small), [self = shared_from_this()](const error_code &error, std::size_t size) {
        // The flag stays set while what arrived is handled, so that no second read starts below this one.
        if (self->state == State::Closed) {
            return;
        }
        if (error) {
            self->close();
            return;
        }
        self->received(self->small.data(), size);
        // A full small buffer means that more is waiting; it is taken through the shared buffer without another turn
        // of the event loop.
        error_code readError;
        while (size == SmallRead && self->state != State::Closed && self->in.size() < PipelineLimit) {
            std::vector<char> &buffer = self->impl->readBuffer;
            const std::size_t more = self->socket.read_some(asio::buffer(buffer), readError);
            if (readError) {
                break;
            }
            self->received(buffer.data(), more);
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

void HttpExchange::Connection::received(const char *data, std::size_t size)
{
    if (state == State::Lingering) {
        dropped += size;
        if (dropped > LingerLimit) {
            close();
        }
        return;
    }
    in.append(data, size);
    parse();
}

void HttpExchange::Connection::parse()
{
    if (parsing) {
        return;
    }
    parsing = true;
    const auto self = shared_from_this();  // the handler may drop the last other reference
    while (!in.empty() && (state == State::Idle || state == State::Reading)) {
        if (state == State::Idle) {
            if (in.starts_with("\r\n")) {  // an empty line before a request is ignored (RFC 9112, 2.2)
                in.erase(0, 2);
                continue;
            }
            setState(State::Reading, impl->settings.readTimeout);
        }
        if (!parser) {
            const HeaderScan scan = scanHeader(in, impl->settings.headerLimit, scanned);
            if (scan == HeaderScan::NeedMore) {
                break;
            }
            if (scan != HeaderScan::Complete) {
                const bool large = scan == HeaderScan::TooLarge;
                refuse(large ? 431 : 400, large ? "header section too large" : "malformed header section");
                break;
            }
            const std::size_t section = std::exchange(scanned, 0);
            beginRequest(section);
            continue;
        }
        int failed = 0;
        const std::size_t consumed = parser->parseBody(in, failed);
        in.erase(0, consumed);
        if (failed != 0) {
            refuse(failed, failed == 413 ? "body too large" : "malformed chunk");
            break;
        }
        if (impl->bodies > impl->settings.bodiesLimit) {
            refuse(503, "too many request bodies at once");
            break;
        }
        if (parser->is_done()) {
            finishRequest();
        } else if (consumed == 0) {
            // An incomplete chunk header or trailer section waits for more, within the limit of a header section.
            if (in.size() > impl->settings.headerLimit) {
                refuse(431, "chunk header or trailer too large");
            }
            break;
        }
    }
    parsing = false;
}

void HttpExchange::Connection::beginRequest(std::size_t section)
{
    parser.emplace();
    parser->body_limit(impl->settings.bodyLimit);
    const int failed = parser->parseHeader(std::string_view(in).substr(0, section));
    in.erase(0, section);
    headSent = responseEnded = isHead = noBody = chunked = untilClose = false;
    http10 = parser->head().version == 10;
    closeAfter = parser->head().close;
    if (failed != 0) {
        refuse(failed,
               failed == 413       ? "body too large"
                   : failed == 501 ? "transfer coding not supported"
                                   : "malformed request");
        return;
    }
    if (!acceptHead()) {
        return;
    }
    parser->onBody([this](std::string_view piece) {
        bodyBytes += piece.size();
        impl->bodies += piece.size();
        requestBody.append(piece);
    });
    if (parser->is_done()) {
        finishRequest();
        return;
    }
    requestBody.reserve(std::min<std::uint64_t>(parser->head().length, LargeRead));
    if (parser->head().expectContinue && in.empty() && !http10) {
        out += "HTTP/1.1 100 Continue\r\n\r\n";
        write();
    }
}

bool HttpExchange::Connection::acceptHead()
{
    const HttpHead &request = parser->head();
    if (!http10 && request.fields.count("Host") != 1) {
        refuse(400, "exactly one Host field is required");
    } else if (request.expectOther) {
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
    isHead = parsed.method == "HEAD";
    HttpRequest request{std::move(parsed.method), std::move(parsed.target), std::move(parsed.fields),
                        std::exchange(requestBody, {})};
    label.assign(request.method).append(" ").append(request.path());
    ++impl->inFlight;
    ++impl->requests;
    const auto exchange = std::make_shared<HttpExchange>(shared_from_this(), std::move(request));
    impl->handler(exchange);
}

void HttpExchange::Connection::refuse(int status, std::string_view reason)
{
    ++impl->refused;
    parser.reset();
    scanned = 0;
    in.clear();
    requestBody.clear();
    releaseBody();
    closeAfter = true;
    isHead = chunked = false;
    HttpResponseHead response;
    response.status = status;
    response.fields.add("Content-Type", "text/plain");
    response.fields.add("Briarvane-Outcome", toString(Outcome::NotRun));
    response.length = reason.size() + 1;
    setState(State::Lingering, LingerTimeout);
    head(std::move(response));
    out.append(reason).append("\n");
    responseEnded = true;
    write();
    if (out.empty()) {
        afterResponse();
    }
}

// Responses -----------------------------------------------------------------------------------------------------------

void HttpExchange::Connection::head(HttpResponseHead response)
{
    headSent = true;
    lastProgress = steadyNow();
    noBody = isHead || hasNoBody(response.status);
    chunked = !response.length && !http10 && !hasNoBody(response.status);
    untilClose = !response.length && http10 && !noBody;
    remaining = response.length.value_or(0);
    closeAfter = closeAfter || impl->stopping || untilClose;
    out.append("HTTP/1.1 ");
    appendNumber(out, static_cast<std::uint64_t>(response.status));
    const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(response.status));
    out.append(" ").append(reason.data(), reason.size()).append("\r\n");
    appendFields(out, response.fields);
    if (response.length && (!hasNoBody(response.status) || response.status == 304)) {
        out.append("Content-Length: ");
        appendNumber(out, *response.length);
        out.append("\r\n");
    } else if (chunked) {
        out.append("Transfer-Encoding: chunked\r\n");
    }
    if (closeAfter) {
        out.append("Connection: close\r\n");
    }
    out.append("\r\n");
}

void HttpExchange::Connection::body(std::string_view piece)
{
    if (noBody || piece.empty()) {
        return;
    }
    if (chunked) {
        appendNumber(out, piece.size(), 16);
        out.append("\r\n").append(piece).append("\r\n");
    } else if (untilClose) {
        out.append(piece);
    } else {
        if (piece.size() > remaining) {
            close();  // more than was declared: the caller must not take the rest for another response
            return;
        }
        remaining -= piece.size();
        out.append(piece);
    }
    if (out.size() - outBegin >= WriteThreshold) {
        write();
    }
}

void HttpExchange::Connection::write()
{
    if (writePending || state == State::Closed || outBegin == out.size()) {
        return;
    }
    error_code error;
    const std::size_t size = socket.write_some(asio::buffer(out.data() + outBegin, out.size() - outBegin), error);
    if (error && error != asio::error::would_block) {
        close();
        return;
    }
    wrote(size);
    if (outBegin < out.size()) {
        writeRest();
    }
}

void HttpExchange::Connection::writeRest()
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
        if (self->state != State::Closed && self->out.empty()) {
            if (self->responseEnded) {
                self->afterResponse();
            } else if (self->drained) {
                self->drained();
            }
        }
    });
}

void HttpExchange::Connection::wrote(std::size_t size)
{
    outBegin += size;
    if (size > 0) {
        lastProgress = steadyNow();
    }
    if (outBegin == out.size()) {
        out.clear();
        outBegin = 0;
    } else if (outBegin > LargeRead) {
        out.erase(0, outBegin);
        outBegin = 0;
    }
}

void HttpExchange::Connection::end()
{
    if (!headSent || (!noBody && !chunked && !untilClose && remaining > 0)) {
        close();
        return;
    }
    if (chunked && !noBody) {
        out.append("0\r\n\r\n");
    }
    responseEnded = true;
    drained = nullptr;
    gone = nullptr;
    --impl->inFlight;
    releaseBody();
    write();
    if (state == State::Handling && out.empty()) {
        afterResponse();
    }
}

/// The whole response has been handed to the kernel.
void HttpExchange::Connection::afterResponse()
{
    if (state == State::Closed || !responseEnded) {
        return;
    }
    if (closeAfter) {
        error_code ignored;
        socket.shutdown(Socket::shutdown_send, ignored);
        if (state != State::Lingering) {
            in.clear();
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
    impl->bodies -= std::exchange(bodyBytes, 0);
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
        // Without a declared length, only a TCP reset tells the caller that the response was cut.
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket.close(ignored);
    drained = nullptr;
    const auto self = shared_from_this();
    impl->connections.erase(self);
    if (handling) {
        --impl->inFlight;
        if (const auto notify = std::exchange(gone, nullptr)) {
            asio::post(impl->io, notify);
        }
    }
    gone = nullptr;
    impl->checkStopped();
}

void HttpExchange::Connection::sweep(TimePoint now)
{
    if (!out.empty() && writePending && now - lastProgress >= impl->settings.writeTimeout) {
        logRepeated(LogLevel::Warn, "caller-too-slow", "write", {{"request", label}});
        close();
        return;
    }
    if (state == State::Handling) {
        return;
    }
    if (state == State::Idle && impl->stopping && now - impl->stoppedAt >= impl->settings.stopGrace && !writePending) {
        error_code error;
        if (socket.available(error) == 0) {  // a request that has arrived is still answered
            close();
        }
    } else if (now >= deadline) {
        if (state == State::Reading) {
            refuse(408, "request not complete in time");
        } else if (!writePending) {
            close();
        }
    } else if (state == State::Idle && out.empty() && in.empty()) {
        // Idle connections keep no buffers.
        in = {};
        out = {};
        label = {};
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
        ++overLimit;
        return;  // the socket closes here
    }
    socket.non_blocking(true, ignored);
    socket.set_option(tcp::no_delay(true), ignored);
    auto connection = std::make_shared<HttpExchange::Connection>(shared_from_this(), std::move(socket));
    connections.insert(connection);
    connection->setState(State::Idle, settings.idleTimeout);
    connection->read();
}

/// Timeouts of callers are seconds, so one pass over all connections costs less than a timer for each of them.
void HttpServer::Impl::scheduleSweep()
{
    if (sweeping) {
        return;
    }
    sweeping = true;
    const Duration shortest = std::min({settings.idleTimeout, settings.readTimeout, settings.writeTimeout});
    timers.at(steadyNow() + std::clamp(shortest / 4, ShortestSweep, LongestSweep), [this] {
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
    const std::vector<std::shared_ptr<HttpExchange::Connection>> all(connections.begin(), connections.end());
    for (const auto &connection : all) {
        if (connection->state != State::Closed) {
            connection->sweep(now);
        }
    }
}

void HttpServer::Impl::checkStopped()
{
    if (stopping && connections.empty() && stopped) {
        asio::post(io, std::exchange(stopped, nullptr));
    }
}

HttpServer::HttpServer(asio::io_context &io, HttpServerSettings settings, HttpHandler handler)
    : m_impl(std::make_shared<Impl>(io, std::move(settings), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    m_impl->stopped = nullptr;
    closeAll();
}

Result<std::uint16_t> HttpServer::open()
{
    return m_impl->open();
}

void HttpServer::stop(std::function<void()> done)
{
    m_impl->stopped = std::move(done);
    m_impl->stopping = true;
    m_impl->stoppedAt = steadyNow();
    // Connections that the kernel has accepted already are taken, since closing the listener would reset them.
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
    const auto all = std::vector(m_impl->connections.begin(), m_impl->connections.end());
    for (const auto &connection : all) {
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
    load.overLimit = m_impl->overLimit;
    for (const auto &connection : m_impl->connections) {
        if (connection->state == State::Handling && !connection->responseEnded && load.open.size() < 20) {
            load.open.push_back(connection->label);
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
    if (!gone() && !m_connection->headSent) {
        m_connection->head(std::move(head));
    }
}

void HttpExchange::body(std::string_view piece)
{
    if (!gone()) {
        m_connection->body(piece);
    }
}

void HttpExchange::flush()
{
    if (!gone()) {
        m_connection->write();
    }
}

void HttpExchange::end()
{
    if (!gone()) {
        const auto connection = std::exchange(m_connection, nullptr);
        connection->end();
    }
}

void HttpExchange::abort()
{
    if (!gone()) {
        const auto connection = std::exchange(m_connection, nullptr);
        connection->gone = nullptr;
        // What was written so far may reach the caller, unless the response would then look complete.
        const bool visiblyCut = connection->chunked || connection->untilClose || connection->remaining > 0;
        if (visiblyCut) {
            connection->write();
        }
        connection->close(!visiblyCut && connection->headSent);
    }
}

void HttpExchange::reset()
{
    if (!gone()) {
        const auto connection = std::exchange(m_connection, nullptr);
        connection->gone = nullptr;
        connection->close(true);
    }
}

std::size_t HttpExchange::waiting() const
{
    return gone() ? 0 : m_connection->out.size() - m_connection->outBegin;
}

void HttpExchange::onDrained(std::function<void()> drained)
{
    if (!gone()) {
        m_connection->drained = std::move(drained);
    }
}

void HttpExchange::onGone(std::function<void()> function)
{
    if (!gone()) {
        m_connection->gone = std::move(function);
    }
}

bool HttpExchange::gone() const
{
    return m_connection == nullptr || m_connection->state == State::Closed;
}

}
