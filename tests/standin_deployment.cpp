// Stand-in of a deployment in one process: the store, the machines API with the advice service, and the executors.

#include "standin_workers.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

using namespace briarvane;
using namespace briarvane::standin;

namespace
{

struct ExecutorHandler
{
    WorkersStandIn &workers;
    std::size_t index = 0;

    void handle(const Request &request, const Reply &reply)
    {
        workers.handleCommand(index, request, reply);
    }
};

void tickPeriodically(asio::steady_timer &timer, StoreStandIn &store, WorkersStandIn &workers)
{
    timer.expires_after(std::chrono::milliseconds(10));
    timer.async_wait([&](const boost::system::error_code &error) {
        if (!error) {
            store.tick();
            workers.tick();
            tickPeriodically(timer, store, workers);
        }
    });
}

}

int main(int argc, char **argv)
{
    WorkerOptions options;
    std::uint16_t storePort = 0;
    std::uint16_t machinesPort = 0;
    CLI::App app("Stand-in of a deployment for tests: store, machines API, executors");
    app.add_option("--store-port", storePort, "port of the store on 127.0.0.1")->required();
    app.add_option("--machines-port", machinesPort, "port of the machines API on 127.0.0.1")->required();
    app.add_option("--executor-port", options.firstPort, "port of the first executor on 127.0.0.1")->required();
    app.add_option("--pools", options.pools, "names of the pools")->delimiter(',')->required();
    app.add_option("--per-pool", options.perPool, "instances of each pool")->capture_default_str();
    app.add_option("--spare", options.sparePool, "pool whose instances have no executor");
    app.add_option("--milli-cores", options.milliCores, "capacity of each instance")->capture_default_str();
    app.add_option("--seed", options.seed, "seed of task durations and failures")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    try {
        asio::io_context io(1);
        const auto address = asio::ip::make_address("127.0.0.1");
        StoreStandIn store;
        WorkersStandIn workers(store, options);
        tcp::acceptor storeAcceptor(io, tcp::endpoint(address, storePort));
        accept(storeAcceptor, store);
        std::vector<ExecutorHandler> executorHandlers;
        std::vector<tcp::acceptor> acceptors;
        executorHandlers.reserve(workers.size());
        acceptors.reserve(workers.size());
        for (std::size_t i = 0; i < workers.size(); ++i) {
            executorHandlers.push_back({workers, i});
            acceptors.emplace_back(io, tcp::endpoint(address, static_cast<std::uint16_t>(options.firstPort + i)));
            accept(acceptors.back(), executorHandlers.back());
        }
        tcp::acceptor machinesAcceptor(io, tcp::endpoint(address, machinesPort));
        accept(machinesAcceptor, workers);
        asio::steady_timer timer(io);
        tickPeriodically(timer, store, workers);
        asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([&io](const boost::system::error_code &, int) { io.stop(); });
        io.run();
    } catch (const std::exception &error) {
        std::cerr << "stand-in of a deployment: " << error.what() << std::endl;
        return 1;
    }
    return 0;
}
