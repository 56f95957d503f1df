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

constexpr std::size_t CallConnections = 4;     // calls beyond these wait, within their timeout
constexpr std::uint64_t BodyLimit = 64 << 20;  // a listing holds several values of up to 1 MB
constexpr Duration IdleLimit{5'000'000};       // servers close idle connections; a write must not meet that moment
constexpr Duration WatchGrace{1'000'000};      // beyond the watch time, for the answer

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

Error malformed()
{
    return Error{ErrorCode::Unavailable, "the platform's answer cannot be read"};
}

std::string encode(const std::string &text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
            || c == '_' || c == '.' || c == '/' || c == ',';
        if (plain) {
            encoded += c;
        } else {
            encoded += '%';
            encoded += digits[byte >> 4U];
            encoded += digits[byte & 15U];
        }
    }
    return encoded;
}

std::uint64_t number(const json::value &value)
{
    return value.is_uint64() ? value.as_uint64() : value.to_number<std::uint64_t>();
}

StoreValue storeValue(const json::value &value)
{
    const json::object &object = value.as_object();
    StoreValue parsed;
    parsed.key = object.at("key").as_string().c_str();
    parsed.version = number(object.at("version"));
    if (const json::value *text = object.if_contains("value")) {
        parsed.value = std::string(text->as_string());
    }
    return parsed;
}

std::vector<StoreValue> storeValues(const json::value &answer)
{
    std::vector<StoreValue> values;
    for (const json::value &value : answer.as_object().at("values").as_array()) {
        values.push_back(storeValue(value));
    }
    return values;
}

InstanceRecord instanceRecord(const json::value &value)
{
    const json::object &object = value.as_object();
    const auto text = [&object](std::string_view name) { return std::string(object.at(name).as_string()); };
    InstanceRecord record;
    record.id.value = text("id");
    record.address = text("address");
    record.port = static_cast<std::uint16_t>(number(object.at("port")));
    record.dataCentre = text("data_centre");
    record.rack = text("rack");
    record.presence = parseEnum<Presence>(text("presence")).value_or(Presence::Gone);
    return record;
}

}

struct HttpCoordination::Impl : std::enable_shared_from_this<HttpCoordination::Impl>
{
    using Answer = Result<std::pair<unsigned, std::string>>;  // status and body

    struct Call
    {
        http::request<http::string_body> request;
        bool write = false;  // may take effect: once sent, a missing answer is Unknown
        Duration timeout{0};
        TimePoint deadline;
        std::function<void(Answer)> done;
    };

    /// What one attempt of a call writes and reads. Its operations hold it: they may end after the call was given up,
    /// when the connection already serves the next one.
    struct Exchange
    {
        explicit Exchange(http::request<http::string_body> content)
            : request(std::move(content))
        {
            parser.body_limit(BodyLimit);
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
        std::uint64_t turn = 0;  // handlers of an earlier call are ignored
        bool open = false;
        bool reused = false;
        bool sent = false;  // a byte may have left

        /// A connection that the server has closed is readable with no data.
        bool usable()
        {
            if (!open || steadyNow() - lastUsed > IdleLimit) {
                return false;
            }
            boost::system::error_code error;
            char byte = 0;
            socket.non_blocking(true, error);
            socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
            return error == boost::asio::error::would_block;
        }

        void shut()
        {
            boost::system::error_code ignored;
            socket.close(ignored);
            open = false;
        }

        void begin(Call next)
        {
            call = std::move(next);
            ++turn;
            sent = false;
            timer.expires_at(call->deadline);
            timer.async_wait([self = shared_from_this(), current = turn](const boost::system::error_code &error) {
                if (!error && self->turn == current && self->call) {
                    self->fail("no answer in time");
                }
            });
            reused = usable();
            if (reused) {
                write();
                return;
            }
            shut();
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
            socket.async_connect(coordination->endpoint,
                                 [self = shared_from_this(), current = turn](const boost::system::error_code &error) {
                                     if (self->turn != current || !self->call) {
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
            const auto exchange = std::make_shared<Exchange>(call->request);  // kept in the call for a second attempt
            http::async_write(socket, exchange->request,
                              [self = shared_from_this(), current = turn,
                               exchange](const boost::system::error_code &error, std::size_t /*bytes*/) {
                                  if (self->turn != current || !self->call) {
                                      return;
                                  }
                                  if (error) {
                                      self->broken(error.message());
                                      return;
                                  }
                                  self->read(exchange);
                              });
        }

        void read(const std::shared_ptr<Exchange> &exchange)
        {
            http::async_read(socket, exchange->buffer, exchange->parser,
                             [self = shared_from_this(), current = turn,
                              exchange](const boost::system::error_code &error, std::size_t /*bytes*/) {
                                 if (self->turn != current || !self->call) {
                                     return;
                                 }
                                 if (error) {
                                     self->broken(error.message());
                                     return;
                                 }
                                 http::response<http::string_body> response = exchange->parser.release();
                                 if (!response.keep_alive()) {
                                     self->shut();
                                 }
                                 self->finish(std::pair(response.result_int(), std::move(response.body())));
                             });
        }

        /// A read that met a connection which the server was closing is sent again on a new one.
        void broken(const std::string &reason)
        {
            if (reused && !call->write) {
                shut();
                ++turn;
                timer.async_wait([self = shared_from_this(), current = turn](const boost::system::error_code &error) {
                    if (!error && self->turn == current && self->call) {
                        self->fail("no answer in time");
                    }
                });
                connect();
                return;
            }
            fail(reason);
        }

        void fail(const std::string &reason)
        {
            shut();
            if (sent && call->write) {
                finish(Error{ErrorCode::Unknown, "the platform did not answer the write: " + reason});
            } else {
                finish(Error{ErrorCode::Unavailable, "the platform cannot be reached: " + reason});
            }
        }

        void finish(Answer answer)
        {
            ++turn;
            timer.cancel();
            lastUsed = steadyNow();
            const std::function<void(Answer)> done = std::move(call->done);
            call.reset();
            if (const auto coordination = owner.lock()) {
                done(std::move(answer));
                coordination->startWaiting();
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
                self->waiting.push_back(std::move(call));
                self->startWaiting();
            }
        });
    }

    void startWaiting()
    {
        while (!waiting.empty() && !closed) {
            if (waiting.front().deadline <= steadyNow()) {
                const Call call = std::move(waiting.front());
                waiting.pop_front();
                boost::asio::post(io, [self = shared_from_this(), done = call.done] {
                    if (!self->closed) {
                        done(Error{ErrorCode::Unavailable, "the platform is too slow, the call was not sent"});
                    }
                });
                continue;
            }
            const auto connection = idleConnection();
            if (!connection) {
                return;
            }
            Call call = std::move(waiting.front());
            waiting.pop_front();
            connection->begin(std::move(call));
        }
    }

    std::shared_ptr<Connection> idleConnection()
    {
        for (const auto &connection : connections) {
            if (!connection->call) {
                return connection;
            }
        }
        if (connections.size() >= CallConnections) {
            return nullptr;
        }
        connections.push_back(std::make_shared<Connection>(io, weak_from_this()));
        return connections.back();
    }

    /// Turns an answer into a value or an error. `parse` may throw on a body of another shape.
    template<class T>
    static Result<T> decode(const Answer &answer, bool write, const std::function<T(const json::value &)> &parse)
    {
        if (!answer) {
            return answer.error();
        }
        const auto &[status, body] = answer.value();
        switch (status) {
        case 200:
        case 201:
            break;
        case 400:
        case 413:
            return Error{ErrorCode::Invalid, "the platform refuses the call: " + body};
        case 404:
        case 410:
            return Error{ErrorCode::NotFound, "the platform does not know it: " + body};
        case 409:
            return Error{ErrorCode::Conflict, "the value changed: " + body};
        case 429:
            return Error{ErrorCode::Unavailable, "the platform's rate limit is reached"};
        case 503:
            return Error{ErrorCode::Unavailable, "the platform is down"};
        default:
            // A server that failed in the middle of a write may have stored it.
            return Error{write ? ErrorCode::Unknown : ErrorCode::Unavailable,
                         "the platform answered with status " + std::to_string(status)};
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
        return write ? Error{ErrorCode::Unknown, malformed().message} : malformed();
    }

    template<class T>
    void send(Call call, const Done<T> &done, std::function<T(const json::value &)> parse)
    {
        call.done = [done, write = call.write, parse = std::move(parse)](const Answer &answer) {
            done(decode<T>(answer, write, parse));
        };
        enqueue(std::move(call));
    }

    boost::asio::io_context &io;
    CoordinationSettings settings;
    tcp::endpoint endpoint;
    std::vector<std::shared_ptr<Connection>> connections;
    std::vector<std::shared_ptr<Connection>> watchConnections;  // one for each watch that waits at the same time
    std::deque<Call> waiting;
    bool closed = false;
};

HttpCoordination::HttpCoordination(boost::asio::io_context &io, CoordinationSettings settings)
    : m_impl(std::make_shared<Impl>(io, std::move(settings)))
{
}

HttpCoordination::~HttpCoordination()
{
    m_impl->closed = true;
    m_impl->waiting.clear();
    for (auto *group : {&m_impl->connections, &m_impl->watchConnections}) {
        for (const auto &connection : *group) {
            ++connection->turn;
            connection->call.reset();
            connection->timer.cancel();
            connection->shut();
        }
        group->clear();
    }
}

void HttpCoordination::read(const std::string &key, const Done<StoreValue> &done)
{
    const Done<StoreValue> missing = [key, done](Result<StoreValue> result) {
        if (!result && result.error().code == ErrorCode::NotFound) {
            result = StoreValue{key, "", 0};
        }
        done(std::move(result));
    };
    m_impl->send<StoreValue>(m_impl->makeCall(http::verb::get, "/v1/kv?key=" + encode(key), "", false), missing,
                             storeValue);
}

void HttpCoordination::list(const std::string &prefix, const Done<std::vector<StoreValue>> &done)
{
    m_impl->send<std::vector<StoreValue>>(
        m_impl->makeCall(http::verb::get, "/v1/kv?prefix=" + encode(prefix), "", false), done, storeValues);
}

void HttpCoordination::swap(const SwapRequest &request, const Done<std::uint64_t> &done)
{
    std::string target = "/v1/kv?key=" + encode(request.key) + "&expected=" + std::to_string(request.expected);
    if (!request.lease.empty()) {
        target += "&lease=" + encode(request.lease);
    }
    m_impl->send<std::uint64_t>(m_impl->makeCall(http::verb::put, target, request.value, true), done,
                                [](const json::value &answer) { return number(answer.as_object().at("version")); });
}

void HttpCoordination::remove(const std::string &key, std::uint64_t expected, const Done<bool> &done)
{
    m_impl->send<bool>(m_impl->makeCall(http::verb::delete_,
                                        "/v1/kv?key=" + encode(key) + "&expected=" + std::to_string(expected), "",
                                        true),
                       done, [](const json::value &) { return true; });
}

void HttpCoordination::watch(const std::string &prefix, std::uint64_t after, const Done<WatchBatch> &done)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(m_impl->settings.watchTimeout);
    Impl::Call call = m_impl->makeCall(http::verb::get,
                                       "/v1/watch?prefix=" + encode(prefix) + "&after=" + std::to_string(after)
                                           + "&timeout_ms=" + std::to_string(milliseconds.count()),
                                       "", false);
    call.deadline = steadyNow() + m_impl->settings.watchTimeout + WatchGrace;
    call.done = [done](const Impl::Answer &answer) {
        done(Impl::decode<WatchBatch>(answer, false, [](const json::value &value) {
            return WatchBatch{number(value.as_object().at("version")), storeValues(value)};
        }));
    };
    boost::asio::post(m_impl->io, [self = m_impl, call = std::move(call)]() mutable {
        if (self->closed) {
            return;
        }
        for (const auto &connection : self->watchConnections) {
            if (!connection->call) {
                connection->begin(std::move(call));
                return;
            }
        }
        self->watchConnections.push_back(std::make_shared<Impl::Connection>(self->io, self->weak_from_this()));
        self->watchConnections.back()->begin(std::move(call));
    });
}

void HttpCoordination::grantLease(Duration ttl, const Done<std::string> &done)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(ttl);
    m_impl->send<std::string>(
        m_impl->makeCall(http::verb::post, "/v1/leases?ttl_ms=" + std::to_string(milliseconds.count()), "", true), done,
        [](const json::value &answer) { return std::string(answer.as_object().at("lease").as_string()); });
}

void HttpCoordination::renewLease(const std::string &lease, const Done<bool> &done)
{
    const Done<bool> lapsed = [done](Result<bool> result) {
        if (!result && result.error().code == ErrorCode::NotFound) {
            result = false;
        }
        done(std::move(result));
    };
    m_impl->send<bool>(m_impl->makeCall(http::verb::post, "/v1/leases/" + encode(lease) + "/renew", "", true), lapsed,
                       [](const json::value &answer) { return answer.as_object().at("renewed").as_bool(); });
}

void HttpCoordination::instances(const Done<std::vector<InstanceRecord>> &done)
{
    m_impl->send<std::vector<InstanceRecord>>(
        m_impl->makeCall(http::verb::get, "/v1/instances", "", false), done, [](const json::value &answer) {
            std::vector<InstanceRecord> records;
            for (const json::value &value : answer.as_object().at("instances").as_array()) {
                records.push_back(instanceRecord(value));
            }
            return records;
        });
}

void HttpCoordination::reboot(const InstanceId &instance, const Done<bool> &done)
{
    m_impl->send<bool>(
        m_impl->makeCall(http::verb::post, "/v1/instances/" + encode(instance.value) + "/reboot", "", true), done,
        [](const json::value &) { return true; });
}

}
