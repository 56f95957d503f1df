#include "coordination.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <deque>

namespace briarvane
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = boost::asio::ip::tcp;

constexpr std::size_t MaxCallConnections = 4;  // further calls wait in a queue; the wait counts towards their timeout
constexpr std::uint64_t MaxBodyBytes = 64 << 20;  // a list holds several values of up to 1 MB
// Servers close idle connections. A write that is sent while the server closes its connection has an unknown outcome,
// so a connection that was idle for longer than this time is not reused.
constexpr Duration MaxIdleTime{5'000'000};
constexpr Duration WatchGrace{1'000'000};  // time that the response may take beyond the watch time

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

Error malformedResponse()
{
    return Error{ErrorCode::Unavailable, "malformed response from the coordination service"};
}

std::string percentEncode(const std::string &text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool unreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
            || c == '_' || c == '.' || c == '/' || c == ',';
        if (unreserved) {
            encoded += c;
        } else {
            encoded += '%';
            encoded += digits[byte >> 4U];
            encoded += digits[byte & 15U];
        }
    }
    return encoded;
}

std::uint64_t toUint64(const json::value &value)
{
    return value.is_uint64() ? value.as_uint64() : value.to_number<std::uint64_t>();
}

StoreValue parseStoreValue(const json::value &value)
{
    const json::object &object = value.as_object();
    StoreValue parsed;
    parsed.key = object.at("key").as_string().c_str();
    parsed.version = toUint64(object.at("version"));
    if (const json::value *text = object.if_contains("value")) {
        parsed.value = std::string(text->as_string());
    }
    return parsed;
}

std::vector<StoreValue> parseStoreValues(const json::value &reply)
{
    std::vector<StoreValue> values;
    for (const json::value &value : reply.as_object().at("values").as_array()) {
        values.push_back(parseStoreValue(value));
    }
    return values;
}

InstanceRecord parseInstanceRecord(const json::value &value)
{
    const json::object &object = value.as_object();
    const auto text = [&object](std::string_view name) { return std::string(object.at(name).as_string()); };
    InstanceRecord record;
    record.id.value = text("id");
    record.address = text("address");
    record.port = static_cast<std::uint16_t>(toUint64(object.at("port")));
    record.dataCentre = text("data_centre");
    record.rack = text("rack");
    record.presence = parseEnum<Presence>(text("presence")).value_or(Presence::Gone);
    return record;
}

}

struct HttpCoordination::Impl : std::enable_shared_from_this<HttpCoordination::Impl>
{
    using Reply = Result<std::pair<unsigned, std::string>>;  // status and body

    struct Call
    {
        http::request<http::string_body> request;
        bool write = false;  // after a write was sent, a missing response means Unknown, not Unavailable
        Duration timeout{0};
        TimePoint deadline;
        std::function<void(Reply)> done;
    };

    /// Buffers of one attempt of a call. The asynchronous operations share its ownership, because they may complete
    /// after the call has timed out and the connection already carries the next call.
    struct Exchange
    {
        explicit Exchange(http::request<http::string_body> content)
            : request(std::move(content))
        {
            parser.body_limit(MaxBodyBytes);
        }

        http::request<http::string_body> request;
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
    };

    struct Connection : std::enable_shared_from_this<Connection>
    {
        Connection(boost::asio::io_context &io, std::weak_ptr<Impl> coordination)
            : socket(io)
            , timer(io)
            , owner(std::move(coordination))
        {
        }

        tcp::socket socket;
        boost::asio::steady_timer timer;
        std::weak_ptr<Impl> owner;
        std::optional<Call> call;
        TimePoint lastUsed;
        std::uint64_t generation = 0;  // incremented for each attempt, so that handlers of earlier attempts do nothing
        bool open = false;
        bool reused = false;
        bool sent = false;  // a byte of the request may have been sent

        /// Whether the idle connection can carry another call. Peeking at the socket would block if it is still open,
        /// and returns at once if the server has closed it.
        bool usable()
        {
            if (!open || steadyNow() - lastUsed > MaxIdleTime) {
                return false;
            }
            boost::system::error_code error;
            char byte = 0;
            socket.non_blocking(true, error);
            socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
            return error == boost::asio::error::would_block;
        }

        void closeSocket()
        {
            boost::system::error_code ignored;
            socket.close(ignored);
            open = false;
        }

        void start(Call next)
        {
            call = std::move(next);
            ++generation;
            sent = false;
            timer.expires_at(call->deadline);
            timer.async_wait([self = shared_from_this(), current = generation](const boost::system::error_code &error) {
                if (!error && self->generation == current && self->call) {
                    self->fail("timed out");
                }
            });
            reused = usable();
            if (reused) {
                write();
                return;
            }
            closeSocket();
            connect();
        }

        void connect()
        {
            const auto coordination = owner.lock();
            if (!coordination) {
                return;
            }
            reused = false;
            socket = tcp::socket(socket.get_executor());
            socket.async_connect(
                coordination->endpoint,
                [self = shared_from_this(), current = generation](const boost::system::error_code &error) {
                    if (self->generation != current || !self->call) {
                        return;
                    }
                    if (error) {
                        self->fail(error.message());
                        return;
                    }
                    boost::system::error_code ignored;
                    self->socket.set_option(tcp::no_delay(true), ignored);
                    self->open = true;
                    self->write();
                });
        }

        void write()
        {
            sent = true;
            // The request is copied, because onIoError() may need it for a second attempt.
            const auto exchange = std::make_shared<Exchange>(call->request);
            http::async_write(socket, exchange->request,
                              [self = shared_from_this(), current = generation,
                               exchange](const boost::system::error_code &error, std::size_t /*bytes*/) {
                                  if (self->generation != current || !self->call) {
                                      return;
                                  }
                                  if (error) {
                                      self->onIoError(error.message());
                                      return;
                                  }
                                  self->read(exchange);
                              });
        }

        void read(const std::shared_ptr<Exchange> &exchange)
        {
            http::async_read(socket, exchange->buffer, exchange->parser,
                             [self = shared_from_this(), current = generation,
                              exchange](const boost::system::error_code &error, std::size_t /*bytes*/) {
                                 if (self->generation != current || !self->call) {
                                     return;
                                 }
                                 if (error) {
                                     self->onIoError(error.message());
                                     return;
                                 }
                                 http::response<http::string_body> response = exchange->parser.release();
                                 if (!response.keep_alive()) {
                                     self->closeSocket();
                                 }
                                 self->finish(std::pair(response.result_int(), std::move(response.body())));
                             });
        }

        /// Sends a read again on a new connection if it failed on a reused one, which the server may have been closing.
        /// A write is not sent again, because it may have taken effect.
        void onIoError(const std::string &reason)
        {
            if (reused && !call->write) {
                closeSocket();
                ++generation;
                timer.async_wait(
                    [self = shared_from_this(), current = generation](const boost::system::error_code &error) {
                        if (!error && self->generation == current && self->call) {
                            self->fail("timed out");
                        }
                    });
                connect();
                return;
            }
            fail(reason);
        }

        void fail(const std::string &reason)
        {
            closeSocket();
            if (sent && call->write) {
                finish(Error{ErrorCode::Unknown, "no response from the coordination service to a write: " + reason});
            } else {
                finish(Error{ErrorCode::Unavailable, "the call to the coordination service failed: " + reason});
            }
        }

        void finish(Reply reply)
        {
            ++generation;
            timer.cancel();
            lastUsed = steadyNow();
            const std::function<void(Reply)> done = std::move(call->done);
            call.reset();
            if (const auto coordination = owner.lock()) {
                done(std::move(reply));
                coordination->dispatchWaiting();
            }
        }
    };

    Impl(boost::asio::io_context &ioContext, CoordinationSettings coordinationSettings)
        : io(ioContext)
        , settings(std::move(coordinationSettings))
    {
        boost::system::error_code error;
        endpoint = tcp::endpoint(boost::asio::ip::make_address(settings.address, error), settings.port);
    }

    Call makeCall(http::verb verb, const std::string &target, std::string body, bool write)
    {
        Call call;
        call.request.method(verb);
        call.request.target(target);
        call.request.version(11);
        call.request.set(http::field::host, settings.address);
        call.request.body() = std::move(body);
        call.request.prepare_payload();
        call.write = write;
        call.timeout = settings.callTimeout;
        return call;
    }

    void enqueue(Call call)
    {
        call.deadline = steadyNow() + call.timeout;
        boost::asio::post(io, [self = shared_from_this(), call = std::move(call)]() mutable {
            if (!self->closed) {
                self->callQueue.push_back(std::move(call));
                self->dispatchWaiting();
            }
        });
    }

    void dispatchWaiting()
    {
        while (!callQueue.empty() && !closed) {
            if (callQueue.front().deadline <= steadyNow()) {
                const Call call = std::move(callQueue.front());
                callQueue.pop_front();
                boost::asio::post(io, [self = shared_from_this(), done = call.done] {
                    if (!self->closed) {
                        done(Error{
                            ErrorCode::Unavailable,
                            "call not sent: all connections to the coordination service were busy until its deadline"});
                    }
                });
                continue;
            }
            const auto connection = idleConnection();
            if (!connection) {
                return;
            }
            Call call = std::move(callQueue.front());
            callQueue.pop_front();
            connection->start(std::move(call));
        }
    }

    std::shared_ptr<Connection> idleConnection()
    {
        for (const auto &connection : connections) {
            if (!connection->call) {
                return connection;
            }
        }
        if (connections.size() >= MaxCallConnections) {
            return nullptr;
        }
        connections.push_back(std::make_shared<Connection>(io, weak_from_this()));
        return connections.back();
    }

    /// Converts a response to a value or an error. `parse` may throw if the JSON does not have the expected form.
    template<class T>
    static Result<T> decode(const Reply &reply, bool write, const std::function<T(const json::value &)> &parse)
    {
        if (!reply) {
            return reply.error();
        }
        const auto &[status, body] = reply.value();
        switch (status) {
        case 200:
        case 201:
            break;
        case 400:
        case 413:
            return Error{ErrorCode::Invalid, "the coordination service rejected the call: " + body};
        case 404:
        case 410:
            return Error{ErrorCode::NotFound, "the coordination service found no such item: " + body};
        case 409:
            return Error{ErrorCode::Conflict, "the value changed: " + body};
        case 429:
            return Error{ErrorCode::Unavailable, "rate limit of the coordination service reached"};
        case 503:
            return Error{ErrorCode::Unavailable, "the coordination service is unavailable (status 503)"};
        default:
            // A server that fails during a write may have stored the value.
            return Error{write ? ErrorCode::Unknown : ErrorCode::Unavailable,
                         "the coordination service returned HTTP status " + std::to_string(status)};
        }
        boost::system::error_code error;
        const json::value parsed = json::parse(body, error);
        if (!error) {
            try {
                return parse(parsed);
            } catch (const std::exception &) {
                error = boost::asio::error::invalid_argument;
            }
        }
        return write ? Error{ErrorCode::Unknown, malformedResponse().message} : malformedResponse();
    }

    template<class T>
    void send(Call call, const Done<T> &done, std::function<T(const json::value &)> parse)
    {
        call.done = [done, write = call.write, parse = std::move(parse)](const Reply &reply) {
            done(decode<T>(reply, write, parse));
        };
        enqueue(std::move(call));
    }

    boost::asio::io_context &io;
    CoordinationSettings settings;
    tcp::endpoint endpoint;
    std::vector<std::shared_ptr<Connection>> connections;
    std::vector<std::shared_ptr<Connection>> watchConnections;  // one for each concurrent watch
    std::deque<Call> callQueue;
    bool closed = false;
};

HttpCoordination::HttpCoordination(boost::asio::io_context &io, CoordinationSettings settings)
    : m_impl(std::make_shared<Impl>(io, std::move(settings)))
{
}

HttpCoordination::~HttpCoordination()
{
    m_impl->closed = true;
    m_impl->callQueue.clear();
    for (auto *group : {&m_impl->connections, &m_impl->watchConnections}) {
        for (const auto &connection : *group) {
            ++connection->generation;
            connection->call.reset();
            connection->timer.cancel();
            connection->closeSocket();
        }
        group->clear();
    }
}

void HttpCoordination::read(const std::string &key, const Done<StoreValue> &done)
{
    const Done<StoreValue> notFoundAsAbsent = [key, done](Result<StoreValue> result) {
        if (!result && result.error().code == ErrorCode::NotFound) {
            result = StoreValue{key, "", 0};
        }
        done(std::move(result));
    };
    m_impl->send<StoreValue>(m_impl->makeCall(http::verb::get, "/v1/kv?key=" + percentEncode(key), "", false),
                             notFoundAsAbsent, parseStoreValue);
}

void HttpCoordination::list(const std::string &prefix, const Done<std::vector<StoreValue>> &done)
{
    m_impl->send<std::vector<StoreValue>>(
        m_impl->makeCall(http::verb::get, "/v1/kv?prefix=" + percentEncode(prefix), "", false), done, parseStoreValues);
}

void HttpCoordination::swap(const SwapRequest &request, const Done<std::uint64_t> &done)
{
    std::string target = "/v1/kv?key=" + percentEncode(request.key) + "&expected=" + std::to_string(request.expected);
    if (!request.lease.empty()) {
        target += "&lease=" + percentEncode(request.lease);
    }
    m_impl->send<std::uint64_t>(m_impl->makeCall(http::verb::put, target, request.value, true), done,
                                [](const json::value &reply) { return toUint64(reply.as_object().at("version")); });
}

void HttpCoordination::remove(const std::string &key, std::uint64_t expected, const Done<bool> &done)
{
    m_impl->send<bool>(m_impl->makeCall(http::verb::delete_,
                                        "/v1/kv?key=" + percentEncode(key) + "&expected=" + std::to_string(expected),
                                        "", true),
                       done, [](const json::value &) { return true; });
}

void HttpCoordination::watch(const std::string &prefix, std::uint64_t after, const Done<WatchBatch> &done)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(m_impl->settings.watchTimeout);
    Impl::Call call = m_impl->makeCall(http::verb::get,
                                       "/v1/watch?prefix=" + percentEncode(prefix) + "&after=" + std::to_string(after)
                                           + "&timeout_ms=" + std::to_string(milliseconds.count()),
                                       "", false);
    call.deadline = steadyNow() + m_impl->settings.watchTimeout + WatchGrace;
    call.done = [done](const Impl::Reply &reply) {
        done(Impl::decode<WatchBatch>(reply, false, [](const json::value &value) {
            return WatchBatch{toUint64(value.as_object().at("version")), parseStoreValues(value)};
        }));
    };
    boost::asio::post(m_impl->io, [self = m_impl, call = std::move(call)]() mutable {
        if (self->closed) {
            return;
        }
        for (const auto &connection : self->watchConnections) {
            if (!connection->call) {
                connection->start(std::move(call));
                return;
            }
        }
        self->watchConnections.push_back(std::make_shared<Impl::Connection>(self->io, self->weak_from_this()));
        self->watchConnections.back()->start(std::move(call));
    });
}

void HttpCoordination::grantLease(Duration ttl, const Done<std::string> &done)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(ttl);
    m_impl->send<std::string>(
        m_impl->makeCall(http::verb::post, "/v1/leases?ttl_ms=" + std::to_string(milliseconds.count()), "", true), done,
        [](const json::value &reply) { return std::string(reply.as_object().at("lease").as_string()); });
}

void HttpCoordination::renewLease(const std::string &lease, const Done<bool> &done)
{
    const Done<bool> notFoundAsLapsed = [done](Result<bool> result) {
        if (!result && result.error().code == ErrorCode::NotFound) {
            result = false;
        }
        done(std::move(result));
    };
    m_impl->send<bool>(m_impl->makeCall(http::verb::post, "/v1/leases/" + percentEncode(lease) + "/renew", "", true),
                       notFoundAsLapsed,
                       [](const json::value &reply) { return reply.as_object().at("renewed").as_bool(); });
}

void HttpCoordination::instances(const Done<std::vector<InstanceRecord>> &done)
{
    m_impl->send<std::vector<InstanceRecord>>(
        m_impl->makeCall(http::verb::get, "/v1/instances", "", false), done, [](const json::value &reply) {
            std::vector<InstanceRecord> records;
            for (const json::value &value : reply.as_object().at("instances").as_array()) {
                records.push_back(parseInstanceRecord(value));
            }
            return records;
        });
}

void HttpCoordination::reboot(const InstanceId &instance, const Done<bool> &done)
{
    m_impl->send<bool>(
        m_impl->makeCall(http::verb::post, "/v1/instances/" + percentEncode(instance.value) + "/reboot", "", true),
        done, [](const json::value &) { return true; });
}

}
