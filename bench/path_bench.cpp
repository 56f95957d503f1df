// Sends GET requests in a closed loop, directly to upstream instances and through an entry. Measures latency, CPU time
// per request of the entry and of the upstream, and the memory that idle connections take in the entry.

#include <CLI/CLI.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace
{

struct Options
{
    std::vector<std::string> direct;  // address:port of upstream instances
    std::string entry;                // address:port of the entry
    int entryPid = 0;
    int upstreamPid = 0;
    std::string path = "/bench";
    std::vector<int> connections{1, 64, 512};
    double seconds = 5;  // measured time of each row
    double warmup = 1;   // unmeasured time before each row, seconds
    int idle = 0;        // number of idle connections
};

tcp::endpoint parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return {asio::ip::make_address(text.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

/// User and system CPU time of a process, seconds.
double cpuSeconds(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    std::string word;
    double ticks = 0;
    for (int field = 3; field <= 15 && rest >> word; ++field) {
        ticks += field >= 14 ? std::stod(word) : 0;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMb(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::stod(line.substr(6)) / 1024;
        }
    }
    return 0;
}

struct Totals
{
    std::vector<double> latenciesMs;
    std::size_t failed = 0;
    bool counting = false;
    bool stopped = false;
};

struct Client : std::enable_shared_from_this<Client>
{
    Client(asio::io_context &io, std::string text, Totals &sum)
        : socket(io)
        , request(std::move(text))
        , totals(sum)
    {
    }
    void sendRequest()
    {
        if (totals.stopped) {
            return;
        }
        received.clear();
        startedAt = Clock::now();
        boost::system::error_code error;
        asio::write(socket, asio::buffer(request), error);
        readResponse();
    }
    void readResponse()
    {
        socket.async_read_some(asio::buffer(buffer), [self = shared_from_this()](const auto &error, std::size_t size) {
            if (error) {
                self->totals.failed += self->totals.stopped ? 0 : 1;
                return;
            }
            self->received.append(self->buffer.data(), size);
            self->handleReceived();
        });
    }
    void handleReceived()
    {
        const std::size_t end = received.find("\r\n\r\n");
        const std::size_t length = received.find("Content-Length: ");
        if (end == std::string::npos || length > end
            || received.size() < end + 4 + std::strtoul(received.c_str() + length + 16, nullptr, 10)) {
            readResponse();
            return;
        }
        if (totals.counting) {
            totals.latenciesMs.push_back(std::chrono::duration<double, std::milli>(Clock::now() - startedAt).count());
            totals.failed += received.starts_with("HTTP/1.1 200 ") ? 0 : 1;
        }
        sendRequest();
    }

    tcp::socket socket;
    std::string request;
    std::string received;
    std::array<char, 4096> buffer;
    Clock::time_point startedAt;
    Totals &totals;
};

struct Row
{
    std::size_t requests = 0;
    std::size_t failed = 0;
    double seconds = 0;
    double p50 = 0;
    double p99 = 0;
    double entryCpu = 0;  // CPU time of the entry per request, microseconds
    double upstreamCpu = 0;
};

Row run(const Options &options, const std::vector<std::string> &targets, int connections)
{
    asio::io_context io(1);
    Totals totals;
    const std::string request
        = "GET " + options.path + " HTTP/1.1\r\nHost: bench\r\nUser-Agent: path_bench\r\nAccept: */*\r\n\r\n";
    std::vector<std::shared_ptr<Client>> clients;
    for (int i = 0; i < connections; ++i) {
        auto client = std::make_shared<Client>(io, request, totals);
        client->socket.connect(parseEndpoint(targets[static_cast<std::size_t>(i) % targets.size()]));
        client->socket.set_option(tcp::no_delay(true));
        clients.push_back(std::move(client));
    }
    for (const auto &client : clients) {
        client->sendRequest();
    }
    io.run_for(std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(options.warmup)));
    totals.counting = true;
    const double entryBefore = cpuSeconds(options.entryPid);
    const double upstreamBefore = cpuSeconds(options.upstreamPid);
    const auto startedAt = Clock::now();
    io.run_for(std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(options.seconds)));
    Row row;
    row.seconds = std::chrono::duration<double>(Clock::now() - startedAt).count();
    row.requests = totals.latenciesMs.size();
    row.failed = totals.failed;
    const double perRequest = 1e6 / static_cast<double>(std::max<std::size_t>(1, row.requests));
    row.entryCpu = (cpuSeconds(options.entryPid) - entryBefore) * perRequest;
    row.upstreamCpu = (cpuSeconds(options.upstreamPid) - upstreamBefore) * perRequest;
    totals.stopped = true;
    std::sort(totals.latenciesMs.begin(), totals.latenciesMs.end());
    if (!totals.latenciesMs.empty()) {
        row.p50 = totals.latenciesMs[totals.latenciesMs.size() / 2];
        row.p99 = totals.latenciesMs[totals.latenciesMs.size() * 99 / 100];
    }
    for (const auto &client : clients) {
        client->socket.close();
    }
    io.restart();
    io.poll();
    return row;
}

void print(const std::string &name, int connections, const Row &row)
{
    std::printf("%-7s %4d conns  %8zu requests  %8.0f/s  failed %zu  p50 %.3f ms  p99 %.3f ms  cpu entry %.1f us  "
                "upstream %.1f us\n",
                name.c_str(), connections, row.requests, static_cast<double>(row.requests) / row.seconds, row.failed,
                row.p50, row.p99, row.entryCpu, row.upstreamCpu);
}

/// Opens connections, makes one request on each, leaves them idle, and prints the memory of the entry.
void measureIdle(const Options &options)
{
    asio::io_context io(1);
    const double before = residentMb(options.entryPid);
    const std::string request = "GET " + options.path + " HTTP/1.1\r\nHost: bench\r\n\r\n";
    std::vector<tcp::socket> sockets;
    std::array<char, 4096> buffer{};
    for (int i = 0; i < options.idle; ++i) {
        tcp::socket socket(io);
        socket.connect(parseEndpoint(options.entry));
        asio::write(socket, asio::buffer(request));
        socket.read_some(asio::buffer(buffer));
        sockets.push_back(std::move(socket));
    }
    sleep(2);  // the server drops the buffers of idle connections in its next sweep
    std::printf("idle    %d connections  resident memory of the entry %.1f MB before, %.1f MB with them\n",
                options.idle, before, residentMb(options.entryPid));
}

}

int main(int argc, char **argv)
{
    Options options;
    CLI::App app{"Latency and CPU time direct to upstreams and through an entry"};
    app.add_option("--direct", options.direct, "address:port of upstream instances")->required()->delimiter(',');
    app.add_option("--entry", options.entry, "address:port of the entry")->required();
    app.add_option("--entry-pid", options.entryPid)->required();
    app.add_option("--upstream-pid", options.upstreamPid)->required();
    app.add_option("--path", options.path);
    app.add_option("--connections", options.connections)->delimiter(',');
    app.add_option("--seconds", options.seconds, "measured time of each row");
    app.add_option("--warmup", options.warmup);
    app.add_option("--idle", options.idle, "idle connections for the memory figure");
    CLI11_PARSE(app, argc, argv);

    for (const int connections : options.connections) {
        const Row direct = run(options, options.direct, connections);
        const Row entry = run(options, {options.entry}, connections);
        print("direct", connections, direct);
        print("entry", connections, entry);
        // The upstream uses less CPU time per request in the direct run, since it gets more requests with each wake-up.
        const auto ratio = [&](double upstream) { return upstream > 0 ? entry.entryCpu / upstream : 0; };
        std::printf(
            "        added p50 %.3f ms  added p99 %.3f ms  entry's cpu to the upstream's: %.2f in the same run, "
            "%.2f of the direct run\n",
            entry.p50 - direct.p50, entry.p99 - direct.p99, ratio(entry.upstreamCpu), ratio(direct.upstreamCpu));
        std::fflush(stdout);
    }
    if (options.idle > 0) {
        measureIdle(options);
    }
    return 0;
}
