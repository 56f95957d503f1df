#include "upstream.h"

#include "http_timers.h"

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <unordered_set>

namespace briarvane
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Socket = asio::basic_stream_socket<tcp, asio::io_context::executor_type>;
using Call = UpstreamCall::State;

namespace
{

constexpr std::size_t SmallRead = 2048;        // bytes of each connection's own buffer; most responses fit into it
constexpr std::size_t ReadSize = 64UL << 10U;  // size of the buffer that all connections share
constexpr int MaxExtraReads = 8;        // limit per event, so that one large response does not block the event loop
constexpr int MaxInterimResponses = 8;  // 1xx responses accepted before the final one
constexpr Duration SweepPeriod{1'000'000};

}

// Parts of the client -------------------------------------------------------------------------------------------------

namespace upstream
{

/// One connection to an instance. It reads only while a call is in progress: bytes that arrive on an idle connection
/// stay in the socket, where stillUsable() detects them before reuse. A read pending on an idle connection could
/// complete before the next request is sent but be handled after it, so its bytes would be taken for the response to
/// that request.
struct Connection : std::enable_shared_from_this<Connection>
{
    Connection(UpstreamClient::Impl &client, std::shared_ptr<struct Instance> target);

    void connect();
    void assign(const std::shared_ptr<Call> &next);
    void write();
    void read();
    bool onReceived(const char *data, std::size_t size);  // false: stop reading for now
    void onReadError();
    bool parse(std::string_view &data);  // false: the call has ended or the connection is closed
    bool parseHead(std::string_view &data);
    void complete(bool bytesLeft);
    void fail(UpstreamResult result);
    void close();
    bool stillUsable();
    void closeUnproven(const Call &silentCall);

    std::shared_ptr<UpstreamClient::Impl> impl;
    std::shared_ptr<struct Instance> instance;
    Socket socket;
    std::shared_ptr<Call> call;
    bool closed = false;
    bool connecting = false;
    bool reused = false;
    std::array<char, SmallRead> smallBuffer;
    bool readPending = false;
    bool handling = false;  // callbacks of the call may be running
    bool writePending = false;
    bool writeFailed = false;
    std::string input;        // received, not yet parsed
    std::size_t scanned = 0;  // progress of scanHeader() in the unparsed data
    std::optional<HttpParser<false>> parser;
    bool headPassed = false;
    bool anyReceived = false;
    bool closeAfterResponse = false;  // the upstream announced that it closes the connection
    int status = 0;
    int interimCount = 0;  // 1xx responses to the current call
    Timers::Key connectTimer;
    TimePoint idleSince;
};

/// Connections and waiting calls of one instance.
struct Instance
{
    UpstreamEndpoint endpoint;
    bool retired = false;  // the instance is no longer configured; its connections are not reused
    std::unordered_set<std::shared_ptr<Connection>> open;
    std::vector<std::shared_ptr<Connection>> idle;  // idle connections, the most recently used at the back
    std::deque<std::shared_ptr<Call>> waiting;
    Timers::Key growthTimer;  // set while calls wait and more connections than usual are allowed
};

}

using upstream::Connection;
using upstream::Instance;

struct UpstreamClient::Impl : std::enable_shared_from_this<UpstreamClient::Impl>
{
    Impl(asio::io_context &context, UpstreamSettings clientSettings)
        : io(context)
        , settings(clientSettings)
        , timers(context)
    {
    }

    void start(const std::shared_ptr<Call> &call);
    void open(const std::shared_ptr<Call> &call);
    void serveWaiting(Instance &instance);
    void scheduleGrowth(const std::shared_ptr<Instance> &instance);
    void grow(const std::shared_ptr<Instance> &instance);
    int furtherOpen() const;
    void scheduleSweep();
    void retire(Instance &instance);

    asio::io_context &io;
    UpstreamSettings settings;
    Timers timers;
    std::map<InstanceId, std::shared_ptr<Instance>> instances;
    std::vector<char> readBuffer = std::vector<char>(ReadSize);
    bool sweeping = false;
    UpstreamCounts counts;
};

struct UpstreamCall::State : std::enable_shared_from_this<UpstreamCall::State>
{
    void end(UpstreamResult result);
    void detach();
    bool fullySent() const
    {
        return written == head.size() + body->size();
    }

    std::shared_ptr<UpstreamClient::Impl> impl;
    std::shared_ptr<Instance> instance;
    std::shared_ptr<Connection> connection;  // set while the connection is being opened or carries this call
    std::string head;                        // request line and header fields of the request
    std::shared_ptr<const std::string> body;
    std::size_t written = 0;
    TimePoint waitingSince;  // time since which the call has waited for a connection
    TimePoint sentAt;        // time of the first byte sent
    TimePoint deadline;
    bool isHeadRequest = false;
    bool urgent = false;
    bool sent = false;
    bool ended = false;
    bool starting = false;  // inside send(), where the end must be posted instead of called
    bool paused = false;
    Timers::Key timer;
    UpstreamEvents events;
};

// Calls ---------------------------------------------------------------------------------------------------------------

void UpstreamCall::State::detach()
{
    impl->timers.cancel(timer);
    if (const auto attached = std::exchange(connection, nullptr)) {
        attached->call = nullptr;  // may release the last reference to this call
    }
}

void UpstreamCall::State::end(UpstreamResult result)
{
    if (ended) {
        return;
    }
    detach();
    ended = true;
    auto onEnd = std::move(events.end);
    events = {};  // breaks the reference cycle: the callbacks usually own the object that holds this call
    if (starting) {
        asio::post(impl->io, [onEnd = std::move(onEnd), result] { onEnd(result); });
    } else {
        onEnd(result);
    }
}

bool UpstreamCall::sent() const
{
    return m_state != nullptr && m_state->sent;
}

void UpstreamCall::cancel()
{
    if (m_state == nullptr || m_state->ended) {
        return;
    }
    const auto state = m_state;
    state->ended = true;
    const auto connection = state->connection;
    state->detach();
    if (connection != nullptr) {
        connection->close();
    }
    if (connection != nullptr && connection->handling) {
        asio::post(state->impl->io, [state] { state->events = {}; });  // a callback may be running now
    } else {
        state->events = {};
    }
}

void UpstreamCall::pause()
{
    if (m_state != nullptr) {
        m_state->paused = true;
    }
}

void UpstreamCall::resume()
{
    if (m_state != nullptr && m_state->paused) {
        m_state->paused = false;
        if (m_state->connection != nullptr) {
            m_state->connection->read();
        }
    }
}

// Connections ---------------------------------------------------------------------------------------------------------

Connection::Connection(UpstreamClient::Impl &client, std::shared_ptr<Instance> target)
    : impl(client.shared_from_this())
    , instance(std::move(target))
    , socket(client.io)
{
}

void Connection::connect()
{
    error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(instance->endpoint.address, error), instance->endpoint.port);
    if (!error) {
        socket.open(endpoint.protocol(), error);
    }
    if (error) {
        fail(UpstreamResult::ConnectFailed);
        return;
    }
    socket.non_blocking(true, error);
    socket.set_option(tcp::no_delay(true), error);
    connecting = true;
    connectTimer
        = impl->timers.at(steadyNow() + impl->settings.connectTimeout, [this] { fail(UpstreamResult::ConnectFailed); });
    socket.async_connect(endpoint, [self = shared_from_this()](const error_code &failure) {
        self->impl->timers.cancel(self->connectTimer);
        self->connecting = false;
        if (self->closed) {
            return;
        }
        if (failure) {
            self->fail(UpstreamResult::ConnectFailed);
            return;
        }
        self->write();
        self->read();
    });
}

void Connection::assign(const std::shared_ptr<Call> &next)
{
    call = next;
    next->connection = shared_from_this();
    parser.reset();
    input.clear();
    scanned = 0;
    headPassed = anyReceived = false;
    interimCount = 0;
}

void Connection::write()
{
    if (closed || writePending || writeFailed || call == nullptr) {
        return;
    }
    while (!call->fullySent()) {
        const std::size_t headLeft = call->head.size() - std::min(call->written, call->head.size());
        const std::size_t bodyLeft = call->head.size() + call->body->size() - call->written - headLeft;
        const std::array<asio::const_buffer, 2> pieces{
            asio::buffer(call->head.data() + call->head.size() - headLeft, headLeft),
            asio::buffer(call->body->data() + call->body->size() - bodyLeft, bodyLeft)};
        error_code error;
        const std::size_t size = socket.write_some(pieces, error);
        if (size > 0) {
            call->sentAt = call->sent ? call->sentAt : steadyNow();
            call->sent = true;
            call->written += size;
        }
        if (error == asio::error::would_block) {
            writePending = true;
            socket.async_wait(Socket::wait_write, [self = shared_from_this()](const error_code &) {
                self->writePending = false;
                self->write();
            });
            return;
        }
        if (error) {
            if (!call->sent && reused) {
                // The upstream closed this idle connection after stillUsable() had passed. No byte was sent, so another
                // connection may carry the call.
                const auto retried = call;
                retried->connection = nullptr;
                call = nullptr;
                close();
                impl->start(retried);
            } else if (!call->sent) {
                fail(UpstreamResult::ConnectFailed);
            } else {
                writeFailed = true;  // the upstream may have responded early, so continue reading
            }
            return;
        }
    }
}

void Connection::read()
{
    if (closed || readPending || call == nullptr || call->paused) {
        return;
    }
    readPending = true;
    socket.async_read_some(asio::buffer(smallBuffer),
                           [self = shared_from_this()](const error_code &error, std::size_t size) {
                               // readPending stays set while the data is processed, so that no second read starts
                               // from inside this handler.
                               if (self->closed) {
                                   return;
                               }
                               if (error) {
                                   self->onReadError();
                                   return;
                               }
                               self->handling = true;
                               bool more = self->onReceived(self->smallBuffer.data(), size) && size == SmallRead;
                               for (int reads = 0; reads < MaxExtraReads && more; ++reads) {
                                   std::vector<char> &buffer = self->impl->readBuffer;
                                   error_code failure;
                                   size = self->socket.read_some(asio::buffer(buffer), failure);
                                   if (failure == asio::error::would_block) {
                                       break;
                                   }
                                   if (failure) {
                                       self->onReadError();
                                       break;
                                   }
                                   more = self->onReceived(buffer.data(), size) && size == buffer.size();
                               }
                               if (self->headPassed && self->call != nullptr) {
                                   self->call->events.batchEnd();
                               }
                               self->readPending = self->handling = false;
                               self->read();
                           });
}

void Connection::onReadError()
{
    if (call != nullptr) {
        fail(!call->sent       ? UpstreamResult::ConnectFailed
                 : anyReceived ? UpstreamResult::Truncated
                               : UpstreamResult::Reset);
    }
}

bool Connection::onReceived(const char *bytes, std::size_t size)
{
    anyReceived = true;
    std::string_view data(bytes, size);
    if (!input.empty()) {
        input.append(data);
        data = input;
    }
    if (!parse(data)) {
        return false;
    }
    // `data` is now the unparsed rest, which lies in the read buffer or in `input`.
    if (input.empty()) {
        input = data;
    } else {
        input.erase(0, input.size() - data.size());
    }
    if (input.size() > impl->settings.headerLimit) {
        fail(UpstreamResult::Truncated);
        return false;
    }
    return !call->paused;
}

bool Connection::parseHead(std::string_view &data)
{
    parser.emplace();
    parser->body_limit(boost::none);
    parser->skip(call->isHeadRequest);
    if (parser->parseHeader(data.substr(0, scanned)) != 0) {
        fail(UpstreamResult::Truncated);
        return false;
    }
    data.remove_prefix(std::exchange(scanned, 0));
    const HttpHead &head = parser->head();
    if (head.status < 200) {
        if (head.status == 101 || ++interimCount > MaxInterimResponses) {
            fail(UpstreamResult::Truncated);
            return false;
        }
        parser.reset();
        return true;
    }
    if (head.framing == Framing::UntilClose && !parser->is_done()) {
        fail(UpstreamResult::Truncated);
        return false;
    }
    status = head.status;
    closeAfterResponse = head.close;
    headPassed = true;
    const auto current = call;
    parser->onBody([target = current.get()](std::string_view piece) {
        if (!target->ended) {
            target->events.body(piece);
        }
    });
    current->events.head(head);
    return call == current;
}

bool Connection::parse(std::string_view &data)
{
    const auto current = call;
    while (true) {
        if (!headPassed) {
            const HeaderScan scan = scanHeader(data, impl->settings.headerLimit, scanned);
            if (scan == HeaderScan::NeedMore) {
                return true;
            }
            if (scan != HeaderScan::Complete) {
                fail(UpstreamResult::Truncated);
                return false;
            }
            if (!parseHead(data)) {
                return false;
            }
            continue;
        }
        if (parser->is_done()) {
            complete(!data.empty());
            return false;
        }
        if (data.empty()) {
            return true;
        }
        int refusalStatus = 0;
        const std::size_t consumed = parser->parseBody(data, refusalStatus);
        data.remove_prefix(consumed);
        if (call != current) {
            return false;
        }
        if (refusalStatus != 0) {
            fail(UpstreamResult::Truncated);
            return false;
        }
        if (consumed == 0 && !parser->is_done()) {
            return true;
        }
    }
}

void Connection::complete(bool bytesLeft)
{
    const auto finished = call;
    input.clear();
    const bool reusable
        = !closeAfterResponse && !bytesLeft && finished->fullySent() && !writePending && !instance->retired;
    finished->detach();
    if (reusable) {
        idleSince = steadyNow();
        reused = true;
        instance->idle.push_back(shared_from_this());
    } else {
        close();
    }
    finished->end(status >= 500 ? UpstreamResult::ServerError : UpstreamResult::Completed);
    impl->serveWaiting(*instance);
}

/// Ends the call with `result` and closes the connection.
void Connection::fail(UpstreamResult result)
{
    const auto self = shared_from_this();
    const auto failedCall = call;
    if (failedCall != nullptr) {
        failedCall->detach();
    }
    close();
    if (failedCall != nullptr && result == UpstreamResult::TimedOut && !anyReceived) {
        closeUnproven(*failedCall);
    }
    if (failedCall != nullptr) {
        failedCall->end(result);
    }
}

void Connection::close()
{
    if (closed) {
        return;
    }
    const auto self = shared_from_this();
    closed = true;
    impl->timers.cancel(connectTimer);
    error_code ignored;
    socket.close(ignored);
    instance->open.erase(self);
    std::erase(instance->idle, self);
    impl->serveWaiting(*instance);
}

/// Closes the connections to the same instance that have been idle since before the call was sent. They may have gone
/// silent together with this one, and each would cost another call its time-out.
void Connection::closeUnproven(const Call &silentCall)
{
    if (silentCall.deadline - silentCall.sentAt < impl->settings.silenceEvidence) {
        return;
    }
    const auto idle = instance->idle;
    for (const auto &connection : idle) {
        if (connection->idleSince < silentCall.sentAt) {
            ++impl->counts.unproven;
            connection->close();
        }
    }
}

/// Whether the idle connection is open and has no unread bytes.
bool Connection::stillUsable()
{
    char byte = 0;
    error_code error;
    socket.receive(asio::buffer(&byte, 1), Socket::message_peek, error);
    return error == asio::error::would_block;
}

// The client ----------------------------------------------------------------------------------------------------------

void UpstreamClient::Impl::start(const std::shared_ptr<Call> &call)
{
    Instance &instance = *call->instance;
    while (!instance.idle.empty()) {
        const auto connection = instance.idle.back();
        instance.idle.pop_back();
        if (!connection->stillUsable()) {
            connection->close();
            continue;
        }
        connection->assign(call);
        connection->write();
        connection->read();
        return;
    }
    if (static_cast<int>(instance.open.size()) >= std::max(1, instance.endpoint.connections)) {
        call->waitingSince = steadyNow();
        const auto first = call->urgent ? std::find_if(instance.waiting.begin(), instance.waiting.end(),
                                                       [](const auto &waiting) { return !waiting->urgent; })
                                        : instance.waiting.end();
        instance.waiting.insert(first, call);
        scheduleGrowth(call->instance);
        return;
    }
    open(call);
}

void UpstreamClient::Impl::open(const std::shared_ptr<Call> &call)
{
    Instance &instance = *call->instance;
    const auto connection = std::make_shared<Connection>(*this, call->instance);
    ++counts.opened;
    counts.further += static_cast<int>(instance.open.size()) >= std::max(1, instance.endpoint.connections) ? 1 : 0;
    instance.open.insert(connection);
    connection->assign(call);
    connection->connect();
    scheduleSweep();
}

int UpstreamClient::Impl::furtherOpen() const
{
    int further = 0;
    for (const auto &[id, instance] : instances) {
        further += std::max(0, static_cast<int>(instance->open.size()) - std::max(1, instance->endpoint.connections));
    }
    return further;
}

/// Checks again whether a further connection is opened once the first waiting call has waited long enough.
void UpstreamClient::Impl::scheduleGrowth(const std::shared_ptr<Instance> &instance)
{
    if (instance->growthTimer.second != 0 || instance->endpoint.maxConnections <= instance->endpoint.connections) {
        return;
    }
    instance->growthTimer
        = timers.at(steadyNow() + settings.growth.maxWait, [this, weak = std::weak_ptr<Instance>(instance)] {
              if (const auto locked = weak.lock()) {
                  locked->growthTimer = {};
                  grow(locked);
              }
          });
}

void UpstreamClient::Impl::grow(const std::shared_ptr<Instance> &instance)
{
    std::erase_if(instance->waiting, [](const auto &call) { return call->ended; });
    if (instance->waiting.empty() || instance->retired) {
        return;
    }
    const auto call = instance->waiting.front();
    ConnectionQueue queue;
    queue.usual = std::max(1, instance->endpoint.connections);
    queue.most = instance->endpoint.maxConnections;
    queue.open = static_cast<int>(instance->open.size());
    queue.connecting = std::any_of(instance->open.begin(), instance->open.end(),
                                   [](const auto &connection) { return connection->connecting; });
    queue.waited = steadyNow() - call->waitingSince;
    if (opensFurtherConnection(queue, furtherOpen(), settings.growth)) {
        instance->waiting.pop_front();
        open(call);
    }
    if (!instance->waiting.empty()) {
        scheduleGrowth(instance);
    }
}

void UpstreamClient::Impl::serveWaiting(Instance &instance)
{
    while (!instance.waiting.empty()
           && (!instance.idle.empty()
               || static_cast<int>(instance.open.size()) < std::max(1, instance.endpoint.connections))) {
        const auto call = instance.waiting.front();
        instance.waiting.pop_front();
        if (!call->ended) {
            start(call);
        }
    }
}

void UpstreamClient::Impl::scheduleSweep()
{
    if (std::exchange(sweeping, true)) {
        return;
    }
    timers.at(steadyNow() + SweepPeriod, [this] {
        sweeping = false;
        const TimePoint limit = steadyNow() - settings.idleTimeout;
        bool anyOpen = false;
        for (const auto &[id, instance] : instances) {
            const auto idle = instance->idle;
            for (const auto &connection : idle) {
                if (connection->idleSince <= limit || !connection->stillUsable()) {
                    connection->close();
                }
            }
            anyOpen = anyOpen || !instance->open.empty();
        }
        if (anyOpen) {
            scheduleSweep();
        }
    });
}

void UpstreamClient::Impl::retire(Instance &instance)
{
    instance.retired = true;
    timers.cancel(instance.growthTimer);
    const auto idle = instance.idle;
    for (const auto &connection : idle) {
        connection->close();
    }
    const auto waiting = std::exchange(instance.waiting, {});
    for (const auto &call : waiting) {
        call->end(UpstreamResult::NotSent);
    }
}

UpstreamClient::UpstreamClient(asio::io_context &io, UpstreamSettings settings)
    : m_impl(std::make_shared<Impl>(io, settings))
{
}

UpstreamClient::~UpstreamClient()
{
    const auto instances = std::exchange(m_impl->instances, {});
    for (const auto &[id, instance] : instances) {
        instance->waiting.clear();
        const auto open = std::vector(instance->open.begin(), instance->open.end());
        for (const auto &connection : open) {
            if (const auto call = connection->call) {
                call->ended = true;
                call->events = {};
                call->detach();
            }
            connection->close();
        }
    }
}

void UpstreamClient::configure(std::map<InstanceId, UpstreamEndpoint> endpoints)
{
    for (auto it = m_impl->instances.begin(); it != m_impl->instances.end();) {
        const auto found = endpoints.find(it->first);
        Instance &instance = *it->second;
        if (found != endpoints.end() && found->second.address == instance.endpoint.address
            && found->second.port == instance.endpoint.port) {
            instance.endpoint = found->second;
            m_impl->serveWaiting(instance);
            ++it;
        } else {
            m_impl->retire(instance);
            it = m_impl->instances.erase(it);
        }
    }
    for (auto &[id, endpoint] : endpoints) {
        auto &instance = m_impl->instances[id];
        if (instance == nullptr) {
            instance = std::make_shared<Instance>();
            instance->endpoint = std::move(endpoint);
        }
    }
}

bool UpstreamClient::hasEndpoint(const InstanceId &instance) const
{
    return m_impl->instances.contains(instance);
}

UpstreamCall UpstreamClient::send(const InstanceId &instance, const UpstreamRequest &request, TimePoint deadline,
                                  UpstreamEvents events)
{
    const auto call = std::make_shared<Call>();
    call->impl = m_impl;
    call->events = std::move(events);
    call->isHeadRequest = request.method == "HEAD";
    call->urgent = request.urgent;
    static const auto emptyBody = std::make_shared<const std::string>();
    call->body = request.body == nullptr ? emptyBody : request.body;
    call->head.reserve(512);
    call->head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    appendFields(call->head, request.fields);
    if (request.fields.find("Host") == nullptr) {  // the request of an HTTP/1.0 caller may have none
        call->head.append("Host: briarvane\r\n");
    }
    if (!call->body->empty() || (request.method != "GET" && request.method != "HEAD")) {
        call->head.append("Content-Length: ").append(std::to_string(call->body->size())).append("\r\n");
    }
    call->head.append("\r\n");
    call->starting = true;
    const auto found = m_impl->instances.find(instance);
    if (found == m_impl->instances.end()) {
        call->end(UpstreamResult::NotSent);
    } else {
        call->instance = found->second;
        call->deadline = deadline;
        call->timer = m_impl->timers.at(deadline, [weak = std::weak_ptr<Call>(call)] {
            const auto expired = weak.lock();
            if (expired == nullptr || expired->ended) {
                return;
            }
            if (expired->connection == nullptr) {
                ++expired->impl->counts.unserved;
                expired->end(UpstreamResult::NotSent);  // no connection became available
            } else {
                expired->connection->fail(expired->sent ? UpstreamResult::TimedOut : UpstreamResult::ConnectFailed);
            }
        });
        m_impl->start(call);
    }
    call->starting = false;
    return UpstreamCall(call);
}

std::map<InstanceId, UpstreamLoad> UpstreamClient::load() const
{
    std::map<InstanceId, UpstreamLoad> loads;
    for (const auto &[id, instance] : m_impl->instances) {
        loads[id] = {static_cast<int>(instance->open.size()), static_cast<int>(instance->idle.size())};
    }
    return loads;
}

const UpstreamCounts &UpstreamClient::counts() const
{
    return m_impl->counts;
}

}
