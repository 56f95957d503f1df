#pragma once

// Messages between entries: ZeroMQ sockets on the Asio loop, protobuf bodies.

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
    std::string bind;  // "tcp://ip:port"; port 0 takes a free one
};

struct PeerCounters
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t dropped = 0;       // full queue or no connection
    std::uint64_t malformed = 0;     // cannot be parsed, no body, or no sender
    std::uint64_t stale = 0;         // of an earlier start, or out of sequence
    std::uint64_t badEndpoints = 0;  // connect() refused the endpoint
};

/// Sends never block: a message to a peer whose queue is full is dropped. Delivery is not assured and messages of an
/// earlier start of a peer are dropped on receipt.
class Peers
{
public:
    using Handler = std::function<void(const wire::Envelope &)>;

    Peers(boost::asio::io_context &io, PeerSettings settings);
    ~Peers();

    Result<std::string> open();  // the bound endpoint
    void connect(const EntryId &peer, const std::string &endpoint);
    void disconnect(const EntryId &peer);
    void onMessage(Handler handler);  // called on the I/O thread for every message; several handlers may be set
    void send(const EntryId &peer,
              wire::Envelope message);  // sender, start id and sequence are filled in; to itself: posted locally
    void broadcast(const wire::Envelope &message);  // to every connected peer, not to itself
    void close();
    const PeerCounters &counters() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

}
