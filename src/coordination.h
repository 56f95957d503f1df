#pragma once

// The coordination service: a key-value store with leases and watches, and the list of instances. The concept has two
// implementations, an HTTP/JSON client and one that keeps everything in memory.
//
// Index
// [1] Calls
// [2] The CoordinationService concept
// [3] HTTP/JSON adapter
// [4] In-process implementation

#include "membership.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace briarvane
{

// [1] Calls -----------------------------------------------------------------------------------------------------------

/// Completion of a call. It runs on the I/O thread, never from inside the call itself.
/// Errors: Unavailable (the call had no effect), Unknown (a write may have taken effect), Conflict (the version is not
/// the expected one), NotFound, Invalid (the service rejects the arguments).
template<class T>
using Done = std::function<void(Result<T>)>;

/// Response of a watch. An empty batch at the end of the watch time proves that nothing changed until then.
struct WatchBatch
{
    std::uint64_t version = 0;       // start the next watch after this version
    std::vector<StoreValue> values;  // changed values; a deleted key has version 0 and an empty value
};

/// Compare-and-swap of one value.
struct SwapRequest
{
    std::string key;
    std::uint64_t expected = 0;  // current version of the value; 0: the key must not exist
    std::string value;           // at most 1 MB
    std::string lease;           // id of a lease; the value is deleted when the lease ends; empty: no lease
};

// [2] The CoordinationService concept ---------------------------------------------------------------------------------

template<class S>
concept CoordinationService
    = requires(S coordination, const std::string &text, const SwapRequest &swap, std::uint64_t version, Duration time,
               const InstanceId &instance, Done<StoreValue> value, Done<std::vector<StoreValue>> values,
               Done<std::uint64_t> number, Done<WatchBatch> batch, Done<std::string> name,
               Done<std::vector<InstanceRecord>> records, Done<bool> flag)
{
    // A missing key yields version 0.
    coordination.read(text, value);
    // Yields all values whose key starts with one of the prefixes in `text`, which are separated by commas.
    coordination.list(text, values);
    // Yields the new version.
    coordination.swap(swap, number);
    // Compare-and-delete: `version` must be the current one.
    coordination.remove(text, version, flag);
    // Waits for a change after `version` under one of the prefixes in `text`, which are separated by commas. With
    // version 0 the watch yields all values. NotFound: the service no longer keeps the changes since `version`; watch
    // again from 0.
    coordination.watch(text, version, batch);
    // Yields the id of the lease.
    coordination.grantLease(time, name);
    // Yields false if the lease has lapsed.
    coordination.renewLease(text, flag);
    coordination.instances(records);
    coordination.reboot(instance, flag);
};

// [3] HTTP/JSON adapter -----------------------------------------------------------------------------------------------

constexpr Duration DefaultWatchTimeout{500'000};

struct CoordinationSettings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    Duration callTimeout{1'000'000};
    /// Time after which a watch without changes returns. The entry's view of the cluster counts as fresh from the start
    /// of the last watch that returned, so this time must stay well below ViewTimeout.
    Duration watchTimeout = DefaultWatchTimeout;
};

/// Keeps a few connections for calls and one for each concurrent watch.
class HttpCoordination
{
public:
    HttpCoordination(boost::asio::io_context &io, CoordinationSettings settings);
    ~HttpCoordination();  // calls in flight are dropped without completion
    HttpCoordination(const HttpCoordination &) = delete;
    HttpCoordination &operator=(const HttpCoordination &) = delete;

    void read(const std::string &key, const Done<StoreValue> &done);
    void list(const std::string &prefix, const Done<std::vector<StoreValue>> &done);
    void swap(const SwapRequest &request, const Done<std::uint64_t> &done);
    void remove(const std::string &key, std::uint64_t expected, const Done<bool> &done);
    void watch(const std::string &prefix, std::uint64_t after, const Done<WatchBatch> &done);
    void grantLease(Duration ttl, const Done<std::string> &done);
    void renewLease(const std::string &lease, const Done<bool> &done);
    void instances(const Done<std::vector<InstanceRecord>> &done);
    void reboot(const InstanceId &instance, const Done<bool> &done);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

// [4] In-process implementation ---------------------------------------------------------------------------------------

/// Faults that tests inject; none by default.
struct EmbeddedFaults
{
    bool down = false;        // every call fails with Unavailable
    int loseResponses = 0;    // number of further writes that take effect but fail with Unknown
    int failWrites = 0;       // number of further writes that fail with Unavailable and have no effect
    bool deferCalls = false;  // calls are held back until this flag is cleared and runDeferredCalls() is called
};

/// Coordination service that keeps all values in the memory of this process. Serves `--platform embedded` and is the
/// fake in tests. The io_context must outlive this object. Completions that are pending when the object is destroyed
/// are not called.
class EmbeddedCoordination
{
public:
    explicit EmbeddedCoordination(boost::asio::io_context &io);
    ~EmbeddedCoordination();
    EmbeddedCoordination(const EmbeddedCoordination &) = delete;
    EmbeddedCoordination &operator=(const EmbeddedCoordination &) = delete;

    void read(const std::string &key, const Done<StoreValue> &done);
    void list(const std::string &prefix, const Done<std::vector<StoreValue>> &done);
    void swap(const SwapRequest &request, const Done<std::uint64_t> &done);
    void remove(const std::string &key, std::uint64_t expected, const Done<bool> &done);
    void watch(const std::string &prefix, std::uint64_t after, const Done<WatchBatch> &done);
    void grantLease(Duration ttl, const Done<std::string> &done);
    void renewLease(const std::string &lease, const Done<bool> &done);
    void instances(const Done<std::vector<InstanceRecord>> &done);
    void reboot(const InstanceId &instance, const Done<bool> &done);

    EmbeddedFaults faults;
    std::vector<InstanceRecord> records;  // result of instances()
    std::size_t writes = 0;               // number of swap and remove calls, including those that failed
    std::size_t reads = 0;                // number of read, list, watch and instances calls
    Duration rebootTime{500'000};         // time from the reboot call until the record is live again
    void runDeferredCalls();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

}
