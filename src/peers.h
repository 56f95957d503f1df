#pragma once

// Messages between entries: protobuf over ZeroMQ sockets, driven by the Asio event loop.

#include "types.h"

#include <boost/asio/io_context.hpp>
#include <peers.pb.h>

#include <functional>
#include <memory>

namespace briarvane
{

struct PeerSettings
{
    EntryId self;
    std::uint64_t startId = 0;
    std::string bind;  // "tcp://ip:port"; port 0 selects a free port
};

struct PeerCounters
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t dropped = 0;            // messages not sent because the queue was full or no connection existed
    std::uint64_t malformed = 0;          // messages not parsable, without body or start id, or with an invalid sender
    std::uint64_t stale = 0;              // messages from a previous incarnation of the sender, or out of sequence
    std::uint64_t rejectedEndpoints = 0;  // calls of connect() with an endpoint that ZeroMQ refused
};

/// Sends and receives messages without delivery guarantee. Sending never blocks: a message to a peer whose queue is
/// full is dropped. Received messages from a previous incarnation of a peer are dropped.
class Peers
{
public:
    using Handler = std::function<void(const wire::Envelope &)>;

    Peers(boost::asio::io_context &io, PeerSettings settings);
    ~Peers();

    Result<std::string> open();  // returns the bound endpoint
    void connect(const EntryId &peer, const std::string &endpoint);
    void disconnect(const EntryId &peer);
    /// Adds a handler, which is called on the I/O thread for every message.
    void onMessage(Handler handler);
    /// Sends the message with this entry's id and start id and the next sequence number. A message to this entry itself
    /// is posted to the event loop.
    void send(const EntryId &peer, wire::Envelope message);
    void broadcast(const wire::Envelope &message);  // to every peer, but not to this entry itself
    void close();
    const PeerCounters &counters() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

}
