#include "harness.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

extern char **environ;

namespace harness
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr const char *Token = "harness-operator-token";
constexpr std::chrono::milliseconds PollPeriod{20};

constexpr std::size_t MaxChildren = 64;
/// Process ids of the children, so that a driver that ends by a signal can kill them.
std::array<std::atomic<pid_t>, MaxChildren> children;

extern "C" void killChildren(int)
{
    for (const auto &child : children) {
        const pid_t pid = child.load();
        if (pid > 0) {
            ::kill(pid, SIGKILL);
        }
    }
    ::_exit(1);
}

void replaceChild(pid_t before, pid_t after)
{
    for (auto &child : children) {
        pid_t expected = before;
        if (child.compare_exchange_strong(expected, after)) {
            return;
        }
    }
}

int spawn(const std::vector<std::string> &command, const std::vector<std::string> &environment,
          const std::string &outputFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    std::vector<char *> variables;
    for (char **variable = environ; *variable != nullptr; ++variable) {
        variables.push_back(*variable);
    }
    for (const std::string &variable : environment) {
        variables.push_back(const_cast<char *>(variable.c_str()));
    }
    variables.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = 0;
    const int error = posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), variables.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        std::cerr << "cannot start " << command[0] << ": " << std::strerror(error) << '\n';
        return 0;
    }
    std::signal(SIGTERM, killChildren);
    std::signal(SIGINT, killChildren);
    std::signal(SIGABRT, killChildren);
    replaceChild(0, pid);
    return pid;
}

}

Process::Process(const std::vector<std::string> &command, const std::vector<std::string> &environment,
                 const std::string &outputFile)
    : m_pid(spawn(command, environment, outputFile))
{
}

Process::Process(Process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, 0))
{
}

Process &Process::operator=(Process &&other) noexcept
{
    std::swap(m_pid, other.m_pid);
    return *this;
}

Process::~Process()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        replaceChild(m_pid, 0);
    }
}

void Process::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

std::optional<int> Process::wait(int limitMs)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(limitMs);
    while (m_pid > 0) {
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            replaceChild(m_pid, 0);
            m_pid = 0;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        }
        if (std::chrono::steady_clock::now() >= end) {
            break;
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    return std::nullopt;
}

int Process::pid() const
{
    return m_pid;
}

ProcessResult run(const std::vector<std::string> &command, const std::vector<std::string> &environment,
                  const std::string &outputFile)
{
    std::filesystem::remove(outputFile);
    Process process(command, environment, outputFile);
    constexpr int limitMs = 300'000;
    ProcessResult result;
    result.exitCode = process.wait(limitMs).value_or(-SIGALRM);
    std::ostringstream text;
    text << std::ifstream(outputFile).rdbuf();
    result.output = text.str();
    return result;
}

Response request(std::uint16_t port, const std::string &method, const std::string &target,
                 const std::map<std::string, std::string> &headers, const std::string &body, int timeoutMs)
{
    Response response;
    asio::io_context io;
    beast::tcp_stream stream(io);
    beast::flat_buffer buffer;
    http::request<http::string_body> message;
    message.method_string(method);
    message.target(target);
    message.version(11);
    message.set(http::field::host, "127.0.0.1");
    message.set(http::field::connection, "close");
    for (const auto &[name, value] : headers) {
        message.set(name, value);
    }
    message.body() = body;
    message.prepare_payload();
    http::response_parser<http::string_body> parser;
    constexpr std::uint64_t largestBody = 64ULL * 1024 * 1024;
    parser.body_limit(largestBody);
    stream.expires_after(std::chrono::milliseconds(timeoutMs));
    stream.async_connect(
        asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), port), [&](beast::error_code connectError) {
            response.connected = !connectError;
            if (connectError) {
                return;
            }
            http::async_write(stream, message, [&](beast::error_code writeError, std::size_t) {
                if (writeError) {
                    return;
                }
                http::async_read(stream, buffer, parser, [&](beast::error_code readError, std::size_t) {
                    if (readError) {
                        return;
                    }
                    response.status = static_cast<int>(parser.get().result_int());
                    response.body = parser.get().body();
                    for (const auto &field : parser.get()) {
                        std::string name(field.name_string());
                        for (char &c : name) {
                            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                        }
                        response.headers[name] = std::string(field.value());
                    }
                });
            });
        });
    io.run();
    return response;
}

/// Reserves a block by listening on its last port.
struct PortBlock::Reservation
{
    asio::io_context io;
    asio::ip::tcp::acceptor guard{io};
    std::uint16_t first = 0;

    static bool tryListen(asio::ip::tcp::acceptor &acceptor, std::uint16_t port)
    {
        boost::system::error_code error;
        acceptor.open(asio::ip::tcp::v4(), error);
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
        acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, error);
        if (!error) {
            acceptor.listen(1, error);
        }
        if (error) {
            boost::system::error_code ignored;
            acceptor.close(ignored);
        }
        return !error;
    }

    bool tryReserve(std::uint16_t begin)
    {
        if (!tryListen(guard, static_cast<std::uint16_t>(begin + Size - 1))) {
            return false;
        }
        // Children may outlive this process and would keep the block if they inherited the socket.
        ::fcntl(guard.native_handle(), F_SETFD, FD_CLOEXEC);
        for (int offset = 0; offset < Size - 1; ++offset) {
            asio::ip::tcp::acceptor probe(io);
            if (!tryListen(probe, static_cast<std::uint16_t>(begin + offset))) {
                guard.close();
                return false;
            }
        }
        first = begin;
        return true;
    }
};

PortBlock::PortBlock()
    : m_reservation(std::make_shared<Reservation>())
{
    constexpr int begin = 21000;
    constexpr int end = 32600;  // the system assigns ports from 32768 on to outgoing connections
    for (int port = begin; port < end; port += Size) {
        if (m_reservation->tryReserve(static_cast<std::uint16_t>(port))) {
            return;
        }
    }
    throw std::runtime_error("no block of 200 consecutive free loopback ports from 21000 to 32600");
}

std::uint16_t PortBlock::first() const
{
    return m_reservation->first;
}

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options))
    , m_instances(m_options.instances)
    , m_entries(static_cast<std::size_t>(m_options.entries))
{
    std::uint16_t port = upstreamControlPort();
    for (Instance &instance : m_instances) {
        instance.port = ++port;
    }
}

bool Fleet::waitPort(std::uint16_t port, int limitMs) const
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(limitMs);
    while (std::chrono::steady_clock::now() < end) {
        if (request(port, "GET", "/healthz", {}, "", 1000).connected) {
            return true;
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    std::cerr << "nothing listens on port " << port << '\n';
    return false;
}

bool Fleet::start()
{
    constexpr int limitMs = 20'000;
    constexpr int perRack = 4;
    const std::string ip = "127.0.0.1:";

    std::string names;
    for (const Instance &instance : m_instances) {
        names += (names.empty() ? "" : ",") + instance.id;
    }
    m_upstream
        = Process({m_options.bin + "/standin_upstream", "--control-port", std::to_string(upstreamControlPort()),
                   "--base-port", std::to_string(upstreamControlPort() + 1), "--count",
                   std::to_string(m_instances.size()), "--slots", std::to_string(m_options.slots), "--names", names},
                  {}, m_options.work + "/upstream.log");
    m_coordination = Process({m_options.bin + "/standin_coordination", "--port", std::to_string(coordinationPort()),
                              "--write-limit", std::to_string(m_options.writeLimit), "--read-limit",
                              std::to_string(m_options.readLimit), "--list-lag-ms", std::to_string(m_options.listLagMs),
                              "--upstream-control", ip + std::to_string(upstreamControlPort())},
                             {}, m_options.work + "/coordination.log");
    if (!waitPort(upstreamControlPort(), limitMs) || !waitPort(coordinationPort(), limitMs)) {
        return false;
    }
    int number = 0;
    for (const Instance &instance : m_instances) {
        const boost::json::object record{{"id", instance.id},
                                         {"address", "127.0.0.1"},
                                         {"port", instance.port},
                                         {"data_centre", "dc-" + std::to_string(number % m_options.dataCentres)},
                                         {"rack", "rack-" + std::to_string(number / perRack)},
                                         {"presence", "live"}};
        ++number;
        const Response response = request(coordinationPort(), "PUT", "/v1/instances/" + instance.id, {},
                                          boost::json::serialize(record), limitMs);
        if (response.status / 100 != 2) {
            std::cerr << "the stand-in of the coordination service refused instance " << instance.id << ": status "
                      << response.status << '\n';
            return false;
        }
    }
    for (int i = 0; i < m_options.entries; ++i) {
        if (!startEntry(i)) {
            return false;
        }
    }
    return true;
}

bool Fleet::startEntry(int index)
{
    constexpr int limitMs = 20'000;
    const std::string ip = "127.0.0.1:";
    std::string peers;
    for (int i = 0; i < m_options.entries; ++i) {
        if (i != index) {
            peers += (peers.empty() ? "e" : ",e") + std::to_string(i) + "=" + ip + std::to_string(callerPort(i) + 2);
        }
    }
    m_entries[static_cast<std::size_t>(index)] = Process(
        {m_options.bin + "/briarvane", "entry", "--id", "e" + std::to_string(index), "--data-centre",
         "dc-" + std::to_string(index % m_options.dataCentres), "--listen", ip + std::to_string(callerPort(index)),
         "--operator-listen", ip + std::to_string(operatorPort(index)), "--peer-listen",
         ip + std::to_string(callerPort(index) + 2), "--peers", peers, "--platform",
         ip + std::to_string(coordinationPort()), "--grace-ms", std::to_string(m_options.graceMs)},
        {std::string("BRIARVANE_OPERATOR_TOKEN=") + Token},
        m_options.work + "/entry-" + std::to_string(index) + ".log");
    publishEntryPresence(index, "live");
    return waitPort(operatorPort(index), limitMs);
}

bool Fleet::waitReady(int index, int limitMs) const
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(limitMs);
    while (std::chrono::steady_clock::now() < end) {
        if (request(operatorPort(index), "GET", "/readyz", {}, "", 1000).status == 200) {
            return true;
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    return false;
}

std::uint16_t Fleet::callerPort(int entry) const
{
    return static_cast<std::uint16_t>(m_ports.first() + 10 + entry * 3);
}

std::uint16_t Fleet::operatorPort(int entry) const
{
    return static_cast<std::uint16_t>(callerPort(entry) + 1);
}

std::uint16_t Fleet::coordinationPort() const
{
    return m_ports.first();
}

std::uint16_t Fleet::upstreamControlPort() const
{
    return static_cast<std::uint16_t>(m_ports.first() + 100);
}

const std::vector<Instance> &Fleet::instances() const
{
    return m_instances;
}

Process &Fleet::entry(int index)
{
    return m_entries.at(static_cast<std::size_t>(index));
}

Process &Fleet::coordination()
{
    return m_coordination;
}

int Fleet::entries() const
{
    return m_options.entries;
}

ProcessResult Fleet::command(int entry, const std::vector<std::string> &arguments) const
{
    std::vector<std::string> command{m_options.bin + "/briarvane", "--operator",
                                     "127.0.0.1:" + std::to_string(operatorPort(entry))};
    command.insert(command.end(), arguments.begin(), arguments.end());
    return run(command, {std::string("BRIARVANE_OPERATOR_TOKEN=") + Token, "BRIARVANE_OPERATOR_NAME=harness"},
               m_options.work + "/command-" + std::to_string(m_commands++) + ".log");
}

void Fleet::coordinationFault(const std::string &query) const
{
    request(coordinationPort(), "POST", "/fault?" + query, {}, "", 5000);
}

void Fleet::upstreamFault(const std::string &instance, const std::string &kind, int value) const
{
    request(upstreamControlPort(), "POST",
            "/fault?instance=" + instance + "&kind=" + kind + "&value=" + std::to_string(value), {}, "", 5000);
}

boost::json::value Fleet::upstream(const std::string &target) const
{
    boost::system::error_code error;
    return boost::json::parse(request(upstreamControlPort(), "GET", target, {}, "", 20'000).body, error);
}

boost::json::value Fleet::coordinationStats() const
{
    boost::system::error_code error;
    return boost::json::parse(request(coordinationPort(), "GET", "/stats", {}, "", 5000).body, error);
}

boost::json::value Fleet::operatorGet(int entry, const std::string &target) const
{
    boost::system::error_code error;
    const Response response
        = request(operatorPort(entry), "GET", target, {{"Authorization", std::string("Bearer ") + Token}}, "", 1000);
    return response.status == 200 ? boost::json::parse(response.body, error) : boost::json::value();
}

std::optional<std::string> Fleet::storeValue(const std::string &key) const
{
    boost::system::error_code error;
    const Response response = request(coordinationPort(), "GET", "/v1/kv?key=" + key, {}, "", 1000);
    const boost::json::value parsed = boost::json::parse(response.body, error);
    if (response.status != 200 || error || !parsed.is_object() || !parsed.as_object().contains("value")) {
        return std::nullopt;
    }
    const boost::json::value &value = parsed.at("value");
    return value.is_string() ? std::optional(std::string(value.as_string())) : std::nullopt;
}

void Fleet::publishEntryPresence(int index, const std::string &presence) const
{
    const std::string id = "e" + std::to_string(index);
    const boost::json::object record{
        {"id", id},   {"address", "127.0.0.1"}, {"port", callerPort(index)}, {"data_centre", "entries"},
        {"rack", id}, {"presence", presence}};
    request(coordinationPort(), "PUT", "/v1/instances/" + id, {}, boost::json::serialize(record), 5000);
}

}
