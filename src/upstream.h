#pragma once

// Upstream client on the I/O thread: a pool of keep-alive connections per instance and one call per request.
//
// Index
// [1] Settings and requests
// [2] One call
// [3] The client

#include "http_message.h"
#include "routing.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>

namespace briarvane
{

// [1] Settings and requests -------------------------------------------------------------------------------------------

struct UpstreamSettings
{
    Duration connectTimeout{1'000'000};
    Duration idleTimeout{30'000'000};       // idle connections are closed after this long
    std::size_t headerLimit = 64UL << 10U;  // of an answer
};

struct UpstreamEndpoint
{
    std::string address;  // IP number
    std::uint16_t port = 0;
    int connections = 8;  // most open connections of this entry: the pool's bound shared among the listed entries

    bool operator==(const UpstreamEndpoint &) const = default;
};

/// The head is written out inside send(), so only the body has to outlive it.
struct UpstreamRequest
{
    std::string_view method;
    std::string_view target;
    const HttpFields &fields;                 // without Connection, Content-Length and Transfer-Encoding
    std::shared_ptr<const std::string> body;  // null: none
};

/// `head` comes at most once, then `body` any number of times, then `end` exactly once unless the call is cancelled.
/// None of them is called from inside send(). `turn` follows when all that was received so far has been passed on and
/// the answer is not complete.
struct UpstreamEvents
{
    std::function<void(const HttpHead &)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> turn;
    std::function<void(UpstreamResult)> end;
};

// [2] One call --------------------------------------------------------------------------------------------------------

class UpstreamCall
{
public:
    struct State;

    UpstreamCall() = default;
    explicit UpstreamCall(std::shared_ptr<State> state)
        : m_state(std::move(state))
    {
    }

    /// Whether a byte of the request was handed to the kernel. It never goes back to false.
    bool sent() const;
    void cancel();  // closes the connection; no event follows
    void pause();   // stops reading the answer until resume()
    void resume();

private:
    std::shared_ptr<State> m_state;
};

// [3] The client ------------------------------------------------------------------------------------------------------

struct UpstreamLoad
{
    int open = 0;  // connecting, in use and idle
    int idle = 0;
};

class UpstreamClient
{
public:
    UpstreamClient(boost::asio::io_context &io, UpstreamSettings settings);
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;
    ~UpstreamClient();  // cancels every call

    /// Replaces the known endpoints. Idle connections of an instance that is gone or has moved are closed; calls in
    /// flight there are not touched.
    void configure(std::map<InstanceId, UpstreamEndpoint> endpoints);
    bool knows(const InstanceId &instance) const;

    /// Sends once. A connection on which nothing could be sent is replaced by another one, which is not a resend; after
    /// the first byte the request is never sent again. An answer without a declared end counts as Truncated before its
    /// head is passed on, because its completeness cannot be checked.
    UpstreamCall send(const InstanceId &instance, const UpstreamRequest &request, TimePoint deadline,
                      UpstreamEvents events);
    std::map<InstanceId, UpstreamLoad> load() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
