#pragma once

// Upstream client on the I/O thread: a pool of keep-alive connections per instance. Each request is one call.
//
// Index
// [1] Settings and requests
// [2] One call
// [3] The client

#include "connection_growth.h"
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
    Duration idleTimeout{30'000'000};  // idle connections are closed after this time
    /// A call that was given at least this time and got no byte of a response shows that connections may have gone
    /// silent: those that have been idle since before it was sent are closed. Shorter deadlines also end calls to
    /// instances that are only slow.
    Duration silenceEvidence{500'000};
    std::size_t headerLimit = 64UL << 10U;  // largest header section of a response, in bytes
    GrowthLimits growth;
};

struct UpstreamEndpoint
{
    std::string address;  // IP address
    std::uint16_t port = 0;
    /// Maximum number of open connections from this entry to the instance. An entry sets this to the pool's limit per
    /// instance divided by the number of registered entries, but at least 1.
    int connections = 8;
    /// Limit while calls wait for a connection, see opensFurtherConnection(); at most `connections`: no further ones.
    int maxConnections = 0;

    bool operator==(const UpstreamEndpoint &) const = default;
};

/// send() copies everything but the body, which the call keeps alive through the shared pointer.
struct UpstreamRequest
{
    std::string_view method;
    std::string_view target;
    const HttpFields &fields;                 // without Connection, Content-Length and Transfer-Encoding
    std::shared_ptr<const std::string> body;  // null: no body
    bool urgent = false;                      // waits for a connection ahead of calls that are not urgent
};

/// Callbacks of a call. None of them is called from inside send(). `head` is called at most once, then `body` any
/// number of times, then `end` exactly once unless the call is cancelled. `batchEnd` is called after `head` and `body`
/// have passed on all that was received so far, if the response is not complete yet, so that the handler can flush its
/// output.
struct UpstreamEvents
{
    std::function<void(const HttpHead &)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> batchEnd;
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

    /// Whether a byte of the request was handed to the kernel; once true, it stays true.
    bool sent() const;
    void cancel();  // closes the connection; no further callback is made
    void pause();   // stops reading the response until resume()
    void resume();

private:
    std::shared_ptr<State> m_state;
};

// [3] The client ------------------------------------------------------------------------------------------------------

struct UpstreamLoad
{
    int open = 0;  // connections that are being opened, in use or idle
    int idle = 0;  // idle connections, which are also counted in `open`
};

/// Counts since the client was created.
struct UpstreamCounts
{
    std::uint64_t opened = 0;    // connections that were opened, including those that could not be established
    std::uint64_t further = 0;   // of these, connections above UpstreamEndpoint::connections
    std::uint64_t unserved = 0;  // calls that got no connection before their deadline
    std::uint64_t unproven = 0;  // idle connections that were closed after a call that got no answer
};

class UpstreamClient
{
public:
    UpstreamClient(boost::asio::io_context &io, UpstreamSettings settings);
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;
    ~UpstreamClient();  // cancels every call

    /// Replaces the endpoints. For an instance that is not listed any more or has another address, idle connections are
    /// closed and waiting calls end with NotSent; calls in flight continue.
    void configure(std::map<InstanceId, UpstreamEndpoint> endpoints);
    /// Whether the instance has a configured endpoint.
    bool hasEndpoint(const InstanceId &instance) const;

    /// Sends the request once. A connection that carried a response after a call without an answer was sent is known to
    /// work; the idle ones that did not are closed, so at most two calls in a row are lost to connections that went
    /// silent at the same moment, however many are idle. If a reused connection fails before a byte was sent, another
    /// connection is tried; after the first byte the request is never sent again. A response without a declared end
    /// fails as Truncated before its head is passed on, because its completeness cannot be checked.
    UpstreamCall send(const InstanceId &instance, const UpstreamRequest &request, TimePoint deadline,
                      UpstreamEvents events);
    std::map<InstanceId, UpstreamLoad> load() const;
    const UpstreamCounts &counts() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
