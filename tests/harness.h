#pragma once

// Starts the real programs on loopback for end-to-end runs: processes, a blocking HTTP client, a whole fleet.
//
// Index
// [1] Processes
// [2] HTTP client
// [3] A fleet of stand-ins and entries

#include <boost/json.hpp>

#include <atomic>
#include <csignal>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace harness
{

// [1] Processes -------------------------------------------------------------------------------------------------------

/// A child process of the driver. Its output goes to a file.
class Process
{
public:
    Process() = default;
    Process(const std::vector<std::string> &command, const std::vector<std::string> &environment,
            const std::string &outputFile);
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    ~Process();  // ends it with SIGKILL if it still runs

    void signal(int number) const;
    /// Exit code, or -signal; none while it still runs after the limit.
    std::optional<int> wait(int limitMs);
    int pid() const;

private:
    int m_pid = 0;
};

struct ProcessResult
{
    int exitCode = 0;
    std::string output;  // standard output and standard error
};

ProcessResult run(const std::vector<std::string> &command, const std::vector<std::string> &environment,
                  const std::string &outputFile);

// [2] HTTP client -----------------------------------------------------------------------------------------------------

struct Response
{
    int status = 0;                              // 0: no complete response
    std::map<std::string, std::string> headers;  // lower-case names
    std::string body;
    bool connected = false;  // false: the connection was refused, so nothing was sent
};

/// One request on a connection of its own.
Response request(std::uint16_t port, const std::string &method, const std::string &target,
                 const std::map<std::string, std::string> &headers, const std::string &body, int timeoutMs);

// [3] A fleet of stand-ins and entries --------------------------------------------------------------------------------

struct Instance
{
    std::string id;
    std::string pool;
    std::uint16_t port = 0;
};

struct FleetOptions
{
    std::string bin;   // folder of the programs
    std::string work;  // folder for logs

    int entries = 8;
    std::vector<Instance> instances;  // ports are filled in
    int dataCentres = 3;
    int slots = 8;
    int graceMs = 300;
    int listLagMs = 300;
    int writeLimit = 400;  // store writes a second
    int readLimit = 2000;
};

/// A block of loopback ports that no other fleet on the machine uses.
class PortBlock
{
public:
    static constexpr std::uint16_t Size = 200;

    PortBlock();  // throws when no block is free
    std::uint16_t first() const;

private:
    struct Reservation;
    std::shared_ptr<Reservation> m_reservation;
};

/// Stand-in of the coordination service, upstream stand-in with all executors, entries. Ports are taken from a block of
/// its own.
class Fleet
{
public:
    explicit Fleet(FleetOptions options);

    bool start();  // false with a message on standard error when something did not come up
    bool startEntry(int index);
    bool waitReady(int index, int limitMs) const;
    std::uint16_t callerPort(int entry) const;
    std::uint16_t operatorPort(int entry) const;
    std::uint16_t coordinationPort() const;
    std::uint16_t upstreamControlPort() const;
    const std::vector<Instance> &instances() const;
    Process &entry(int index);
    Process &coordination();
    int entries() const;
    /// An operator command against an entry.
    ProcessResult command(int entry, const std::vector<std::string> &arguments) const;
    void coordinationFault(const std::string &query) const;
    void upstreamFault(const std::string &instance, const std::string &kind, int value) const;
    boost::json::value upstream(const std::string &target) const;
    boost::json::value coordinationStats() const;
    /// The operator port's reply to a GET; null without a reply.
    boost::json::value operatorGet(int entry, const std::string &target) const;
    /// A value as the coordination service's store has it.
    std::optional<std::string> storeValue(const std::string &key) const;
    /// Tells the coordination service's list about an entry's process, as the real coordination service does.
    void listEntry(int index, const std::string &presence) const;

private:
    bool waitPort(std::uint16_t port, int limitMs) const;
    FleetOptions m_options;
    PortBlock m_ports;
    mutable std::atomic<int> m_commands = 0;  // commands may run at the same time
    std::vector<Instance> m_instances;
    Process m_coordination;
    Process m_upstream;
    std::vector<Process> m_entries;
};

}
