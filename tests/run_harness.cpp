#include "harness.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

TEST_CASE("Each fleet uses its own block of ports")
{
    // Guards against this failure: two test runs on one machine used the same ports, and one of them ended with the
    // error "port 23000 is in use".
    const harness::Fleet first{harness::FleetOptions{}};
    SECTION("two fleets at the same time get different ports")
    {
        const harness::Fleet second{harness::FleetOptions{}};
        CHECK(second.coordinationPort() != first.coordinationPort());
        CHECK(second.callerPort(0) != first.callerPort(0));
    }
    SECTION("a block is skipped if another program listens on one of its ports")
    {
        boost::asio::io_context io;
        std::uint16_t next = 0;
        {
            const harness::Fleet probe{harness::FleetOptions{}};
            next = probe.coordinationPort();
        }
        const boost::asio::ip::tcp::acceptor other(io, {boost::asio::ip::make_address("127.0.0.1"), next});
        const harness::Fleet second{harness::FleetOptions{}};
        CHECK(second.coordinationPort() != next);
    }
}
