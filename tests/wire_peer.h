#pragma once

// Raw loopback sockets for tests, driven from the same thread as the event loop under test.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

namespace briarvane::testing
{

/// Runs the event loop until `done` returns true. Returns false after 10 s, which is far longer than a passing test
/// needs.
inline bool pumpUntil(boost::asio::io_context &io, const std::function<bool()> &done)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!done()) {
        if (std::chrono::steady_clock::now() > limit) {
            return false;
        }
        io.restart();
        if (io.poll() == 0) {
            std::this_thread::sleep_for(std::chrono::microseconds(100));
        }
    }
    return true;
}

/// Handles ready events for about 20 ms, so that a test can check afterwards that an event did not occur.
inline void settleLoop(boost::asio::io_context &io)
{
    for (int i = 0; i < 20; ++i) {
        io.restart();
        io.poll();
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

/// A raw TCP connection to or from the code under test.
class WirePeer
{
public:
    using tcp = boost::asio::ip::tcp;

    WirePeer(boost::asio::io_context &io, tcp::socket socket)
        : m_io(io)
        , m_socket(std::move(socket))
    {
        m_socket.non_blocking(true);
    }
    WirePeer(boost::asio::io_context &io, std::uint16_t port)
        : m_io(io)
        , m_socket(io)
    {
        m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
        m_socket.non_blocking(true);
    }

    void send(std::string_view text)
    {
        while (!text.empty()) {
            boost::system::error_code error;
            text.remove_prefix(m_socket.write_some(boost::asio::buffer(text), error));
            if (error && error != boost::asio::error::would_block) {
                return;
            }
            m_io.restart();
            m_io.poll();
        }
    }

    /// All bytes received on the connection since the last discardReceived(), if there was one.
    const std::string &received()
    {
        std::array<char, 65536> buffer;
        boost::system::error_code error;
        while (!m_closed) {
            const std::size_t size = m_socket.read_some(boost::asio::buffer(buffer), error);
            if (error == boost::asio::error::would_block) {
                break;
            }
            if (error) {
                m_closed = true;
                m_reset = error != boost::asio::error::eof;
            }
            m_received.append(buffer.data(), size);
        }
        return m_received;
    }
    bool waitFor(std::string_view text)
    {
        return pumpUntil(m_io, [&] { return received().find(text) != std::string::npos; });
    }
    bool waitClosed()
    {
        return pumpUntil(m_io, [&] {
            received();
            return m_closed;
        });
    }
    bool closed()
    {
        received();
        return m_closed;
    }
    bool wasReset() const
    {
        return m_reset;
    }
    void discardReceived()
    {
        received();
        m_received.clear();
    }
    void close(bool reset = false)
    {
        if (reset) {
            m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        }
        m_socket.close();
    }
    tcp::socket &socket()
    {
        return m_socket;
    }

private:
    boost::asio::io_context &m_io;
    tcp::socket m_socket;
    std::string m_received;
    bool m_closed = false;
    bool m_reset = false;
};

/// A listening socket whose connections the test accepts explicitly.
class WireListener
{
public:
    explicit WireListener(boost::asio::io_context &io)
        : m_io(io)
        , m_acceptor(io, {boost::asio::ip::address_v4::loopback(), 0})
    {
        m_acceptor.non_blocking(true);
    }
    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }
    bool pending()  // accepts a waiting connection and keeps it for accept()
    {
        if (!m_next) {
            boost::system::error_code error;
            boost::asio::ip::tcp::socket socket(m_io);
            m_acceptor.accept(socket, error);
            if (!error) {
                m_next.emplace(m_io, std::move(socket));
            }
        }
        return m_next.has_value();
    }
    WirePeer accept()
    {
        if (!pumpUntil(m_io, [&] { return pending(); })) {
            throw std::runtime_error("no connection arrived");
        }
        WirePeer peer = std::move(*m_next);
        m_next.reset();
        return peer;
    }

private:
    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::optional<WirePeer> m_next;
};

}
