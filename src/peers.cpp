#include "peers.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <zmq.hpp>

#include <algorithm>
#include <deque>
#include <map>

namespace briarvane
{

namespace
{

// Limit of the messages queued per peer and direction, which bounds the memory for a peer that does not read. Bursts of
// permit messages stay below this limit.
constexpr int HighWaterMark = 1000;
constexpr std::int64_t MaxMessageBytes = 4 << 20;  // a ConfigUpdate contains a value of up to 1 MB
constexpr int ReconnectDelayMs = 100;
constexpr int MaxReconnectDelayMs = 1000;
constexpr int PingPeriodMs = 1000;  // detects peers whose host is gone, so that their queue is freed
constexpr int PingTimeoutMs = 3000;
// While a peer process is paused, its kernel still accepts connections, but the process does not answer the handshake.
constexpr int HandshakeTimeoutMs = 2000;
constexpr int MaxReadsPerTurn = 256;        // after this many messages other handlers of the event loop run
constexpr std::size_t MaxEndedStarts = 16;  // previous start ids kept per sender; messages with one of them are stale

}

struct Peers::Impl : std::enable_shared_from_this<Peers::Impl>
{
    struct Peer
    {
        std::string endpoint;
        zmq::socket_t socket;
    };
    struct Sender
    {
        std::uint64_t startId = 0;
        std::uint64_t sequence = 0;
        std::deque<std::uint64_t> endedStartIds;
    };

    Impl(boost::asio::io_context &ioContext, PeerSettings peerSettings)
        : io(ioContext)
        , settings(std::move(peerSettings))
        , context(1)
        , descriptor(ioContext)
    {
    }

    Result<std::string> open()
    {
        try {
            inbox = zmq::socket_t(context, zmq::socket_type::pull);
            inbox.set(zmq::sockopt::linger, 0);
            inbox.set(zmq::sockopt::rcvhwm, HighWaterMark);
            inbox.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
            inbox.set(zmq::sockopt::handshake_ivl, HandshakeTimeoutMs);
            std::string endpoint = settings.bind;
            if (endpoint.ends_with(":0")) {
                endpoint.replace(endpoint.size() - 1, 1, "*");
            }
            inbox.bind(endpoint);
            descriptor.assign(inbox.get(zmq::sockopt::fd));
            waitForMessages();
            return inbox.get(zmq::sockopt::last_endpoint);
        } catch (const zmq::error_t &error) {
            return Error{ErrorCode::Unavailable, "cannot bind " + settings.bind + ": " + error.what()};
        }
    }

    /// The ZeroMQ descriptor is edge-triggered: it becomes readable only when the first of several commands arrives.
    /// Each wake-up therefore reads all messages and checks the socket's events before it waits again.
    void waitForMessages()
    {
        descriptor.async_wait(boost::asio::posix::descriptor_base::wait_read,
                              [self = shared_from_this()](const boost::system::error_code &error) {
                                  if (!error && !self->closed) {
                                      self->readAll();
                                  }
                              });
    }

    void readAll()
    {
        for (int count = 0; count < MaxReadsPerTurn; ++count) {
            zmq::message_t message;
            if (!inbox.recv(message, zmq::recv_flags::dontwait)) {
                if ((inbox.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
                    continue;
                }
                waitForMessages();
                return;
            }
            receive(message);
            if (closed) {
                return;
            }
        }
        boost::asio::post(io, [self = shared_from_this()] {
            if (!self->closed) {
                self->readAll();
            }
        });
    }

    void receive(const zmq::message_t &message)
    {
        wire::Envelope envelope;
        if (!envelope.ParseFromArray(message.data(), static_cast<int>(message.size())) || envelope.sender().empty()
            || envelope.sender() == settings.self.value || envelope.start_id() == 0
            || envelope.body_case() == wire::Envelope::BODY_NOT_SET) {
            ++counters.malformed;
            return;
        }
        Sender &sender = senders[envelope.sender()];
        if (sender.startId != envelope.start_id()) {
            // Start ids are random and have no order: one that was replaced by another belongs to a previous
            // incarnation.
            if (std::find(sender.endedStartIds.begin(), sender.endedStartIds.end(), envelope.start_id())
                != sender.endedStartIds.end()) {
                ++counters.stale;
                return;
            }
            if (sender.startId != 0) {
                sender.endedStartIds.push_back(sender.startId);
                if (sender.endedStartIds.size() > MaxEndedStarts) {
                    sender.endedStartIds.pop_front();
                }
            }
            sender.startId = envelope.start_id();
            sender.sequence = 0;
        }
        if (envelope.sequence() <= sender.sequence) {
            ++counters.stale;
            return;
        }
        sender.sequence = envelope.sequence();
        ++counters.received;
        deliver(envelope);
    }

    void deliver(const wire::Envelope &envelope)
    {
        // The loop uses an index, because a handler may add a handler, which invalidates iterators.
        for (std::size_t i = 0; i < handlers.size() && !closed; ++i) {
            const Handler handler = handlers[i];
            handler(envelope);
        }
    }

    void connect(const EntryId &id, const std::string &endpoint)
    {
        if (id == settings.self || closed) {
            return;
        }
        const auto found = peers.find(id);
        if (found != peers.end() && found->second.endpoint == endpoint) {
            return;
        }
        peers.erase(id);
        try {
            zmq::socket_t socket(context, zmq::socket_type::push);
            socket.set(zmq::sockopt::linger, 0);
            socket.set(zmq::sockopt::sndhwm, HighWaterMark);
            // Messages are queued only for an established connection, so that those to an absent peer are dropped
            // instead of being delivered late.
            socket.set(zmq::sockopt::immediate, true);
            socket.set(zmq::sockopt::reconnect_ivl, ReconnectDelayMs);
            socket.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectDelayMs);
            socket.set(zmq::sockopt::heartbeat_ivl, PingPeriodMs);
            socket.set(zmq::sockopt::heartbeat_timeout, PingTimeoutMs);
            socket.set(zmq::sockopt::handshake_ivl, HandshakeTimeoutMs);
            socket.connect(endpoint);
            peers[id] = Peer{endpoint, std::move(socket)};
        } catch (const zmq::error_t &) {
            ++counters.rejectedEndpoints;
        }
    }

    std::string encode(wire::Envelope &message)
    {
        message.set_sender(settings.self.value);
        message.set_start_id(settings.startId);
        message.set_sequence(++sequence);
        return message.SerializeAsString();
    }

    /// A PUSH socket is only written to and processes its pending commands on sending, so its descriptor need not be
    /// waited for. The PULL socket has a mailbox of its own that sending does not touch.
    void push(Peer &peer, const std::string &bytes)
    {
        try {
            bool sent = peer.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
            // libzmq processes commands on sending at most every few milliseconds, so a queue may look full although
            // its reader has reported progress. Reading the socket's events processes the commands.
            if (!sent && (peer.socket.get(zmq::sockopt::events) & ZMQ_POLLOUT) != 0) {
                sent = peer.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
            }
            if (sent) {
                ++counters.sent;
                counters.sentBytes += bytes.size();
                return;
            }
        } catch (const zmq::error_t &) {
            // Counted as dropped below, like a full queue.
        }
        ++counters.dropped;
    }

    void close()
    {
        if (closed) {
            return;
        }
        closed = true;
        if (descriptor.is_open()) {
            descriptor.cancel();
            descriptor.release();  // the descriptor belongs to the ZeroMQ socket
        }
        peers.clear();
        inbox.close();
        handlers.clear();
        context.close();
    }

    boost::asio::io_context &io;
    PeerSettings settings;
    zmq::context_t context;
    zmq::socket_t inbox;
    boost::asio::posix::stream_descriptor descriptor;
    std::map<EntryId, Peer> peers;
    std::map<std::string, Sender> senders;
    std::vector<Handler> handlers;
    PeerCounters counters;
    std::uint64_t sequence = 0;
    bool closed = false;
};

Peers::Peers(boost::asio::io_context &io, PeerSettings settings)
    : m_impl(std::make_shared<Impl>(io, std::move(settings)))
{
}

Peers::~Peers()
{
    m_impl->close();
}

Result<std::string> Peers::open()
{
    return m_impl->open();
}

void Peers::connect(const EntryId &peer, const std::string &endpoint)
{
    m_impl->connect(peer, endpoint);
}

void Peers::disconnect(const EntryId &peer)
{
    m_impl->peers.erase(peer);
}

void Peers::onMessage(Handler handler)
{
    m_impl->handlers.push_back(std::move(handler));
}

void Peers::send(const EntryId &peer, wire::Envelope message)
{
    if (m_impl->closed) {
        return;
    }
    if (peer == m_impl->settings.self) {
        m_impl->encode(message);
        boost::asio::post(m_impl->io, [impl = m_impl, message = std::move(message)] {
            if (!impl->closed) {
                impl->deliver(message);
            }
        });
        return;
    }
    const auto found = m_impl->peers.find(peer);
    if (found == m_impl->peers.end()) {
        ++m_impl->counters.dropped;
        return;
    }
    m_impl->push(found->second, m_impl->encode(message));
}

void Peers::broadcast(const wire::Envelope &message)
{
    if (m_impl->closed || m_impl->peers.empty()) {
        return;
    }
    wire::Envelope copy = message;
    const std::string bytes = m_impl->encode(copy);
    for (auto &[id, peer] : m_impl->peers) {
        m_impl->push(peer, bytes);
    }
}

void Peers::close()
{
    m_impl->close();
}

const PeerCounters &Peers::counters() const
{
    return m_impl->counters;
}

}
