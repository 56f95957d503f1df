#include "standin_coordination.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

using namespace briarvane;
using namespace briarvane::standin;

int main(int argc, char **argv)
{
    standin::CoordinationOptions options;
    CLI::App app("Stand-in of the coordination service for tests");
    app.add_option("--port", options.port, "Port on 127.0.0.1; 0: a free port, which is printed");
    app.add_option("--write-limit", options.writeLimit, "Writes a second; further writes are answered with 429");
    app.add_option("--read-limit", options.readLimit, "Reads a second; further reads are answered with 429");
    app.add_option("--list-lag-ms", options.listLagMs, "Age of the instance list, ms");
    app.add_option("--upstream-control", options.upstreamControl,
                   "ip:port of the upstream stand-in, which takes rebooting instances down");
    CLI11_PARSE(app, argc, argv);

    try {
        asio::io_context io(1);
        CoordinationStandIn coordination(io, options);
        tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), options.port));
        std::cout << "coordination stand-in listens on 127.0.0.1:" << acceptor.local_endpoint().port() << std::endl;
        coordination.start();
        accept(acceptor, coordination);
        asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([&io](const boost::system::error_code &, int) { io.stop(); });
        io.run();
    } catch (const std::exception &error) {
        std::cerr << "coordination stand-in: " << error.what() << std::endl;
        return 1;
    }
    return 0;
}
