#pragma once

// Starts the real programs on loopback for end-to-end tests: child processes, a blocking HTTP client, a complete fleet.
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

/// A child process whose output is written to a file.
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
    ~Process();  // sends SIGKILL if the process still runs

    void signal(int number) const;
    /// Returns the exit code, or the negative signal number; empty if the process still runs after `limitMs` or if
    /// there is no process.
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
    int status = 0;                              // 0: no complete response arrived
    std::map<std::string, std::string> headers;  // by lower-case name
    std::string body;
    bool connected = false;  // false: no connection was established, so nothing was sent
};

/// Sends one request on a new connection.
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
    std::string bin;   // folder with the programs
    std::string work;  // folder for log files

    int entries = 8;
    std::vector<Instance> instances;  // Fleet assigns the ports
    int dataCentres = 3;
    int slots = 8;
    int graceMs = 300;
    int listLagMs = 300;
    int writeLimit = 400;  // calls per second other than GET that the coordination service accepts
    int readLimit = 2000;  // GET calls per second that the coordination service accepts
};

/// A block of loopback ports that no other PortBlock on the machine gets while this one exists.
class PortBlock
{
public:
    static constexpr std::uint16_t Size = 200;

    PortBlock();  // throws if no block is free
    std::uint16_t first() const;

private:
    struct Reservation;
    std::shared_ptr<Reservation> m_reservation;
};

/// Runs the stand-in of the coordination service, the upstream stand-in with all instances, and the entries. The
/// ports of all these processes are in the fleet's own PortBlock.
class Fleet
{
public:
    explicit Fleet(FleetOptions options);

    bool start();  // returns false, with a message on standard error, if a process does not start
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
    /// Runs an operator command against an entry.
    ProcessResult command(int entry, const std::vector<std::string> &arguments) const;
    void coordinationFault(const std::string &query) const;
    void upstreamFault(const std::string &instance, const std::string &kind, int value) const;
    boost::json::value upstream(const std::string &target) const;
    boost::json::value coordinationStats() const;
    /// Returns the reply of the operator port to a GET, or null if the status is not 200.
    boost::json::value operatorGet(int entry, const std::string &target) const;
    /// Reads a value from the coordination service.
    std::optional<std::string> storeValue(const std::string &key) const;
    /// Publishes the presence of an entry's process in the instance list. The real coordination service records the
    /// presence itself.
    void publishEntryPresence(int index, const std::string &presence) const;

private:
    bool waitPort(std::uint16_t port, int limitMs) const;
    FleetOptions m_options;
    PortBlock m_ports;
    mutable std::atomic<int> m_commands = 0;  // counter for log file names; commands may run concurrently
    std::vector<Instance> m_instances;
    Process m_coordination;
    Process m_upstream;
    std::vector<Process> m_entries;
};

}
