#pragma once

// The coordination service behind one concept. Its wire form stays in the adapter (coordination.cpp).
//
// Index
// [1] Calls
// [2] The CoordinationService concept
// [3] HTTP/JSON adapter
// [4] In-process store

#include "membership.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace briarvane
{

// [1] Calls -----------------------------------------------------------------------------------------------------------

/// Completion of a call, on the I/O thread, never from inside the call itself.
/// Errors: Unavailable (did not take effect), Unknown (may have taken effect), Conflict, NotFound.
template<class T>
using Done = std::function<void(Result<T>)>;

/// An empty batch at the end of the watch time proves that nothing changed until then.
struct WatchBatch
{
    std::uint64_t version = 0;       // watch again from here
    std::vector<StoreValue> values;  // changed values; version 0 and an empty value: deleted
};

struct SwapRequest
{
    std::string key;
    std::uint64_t expected = 0;  // version that must be current; 0: the key must not exist
    std::string value;           // at most 1 MB
    std::string lease;           // empty: the value stays until it is replaced
};

// [2] The CoordinationService concept ---------------------------------------------------------------------------------

template<class S>
concept CoordinationService
    = requires(S coordination, const std::string &text, const SwapRequest &swap, std::uint64_t version, Duration time,
               const InstanceId &instance, Done<StoreValue> value, Done<std::vector<StoreValue>> values,
               Done<std::uint64_t> number, Done<WatchBatch> batch, Done<std::string> name,
               Done<std::vector<InstanceRecord>> records, Done<bool> flag)
{
    coordination.read(text, value);            // a missing key answers version 0
    coordination.list(text, values);           // all keys with one of these prefixes, separated by commas
    coordination.swap(swap, number);           // the new version
    coordination.remove(text, version, flag);  // compare-and-delete
    coordination.watch(text, version, batch);  // waits for a change under these prefixes after the version; after 0:
                                               // all values; NotFound: too far behind, begin again from 0
    coordination.grantLease(time, name);
    coordination.renewLease(text, flag);  // false: the lease has lapsed
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
    /// Time after which an unchanged watch answers. The answer is what renews the entry's view, whose age is counted
    /// from the start of the watch, so it must stay well below ViewTimeout.
    Duration watchTimeout = DefaultWatchTimeout;
};

class HttpCoordination
{
public:
    HttpCoordination(boost::asio::io_context &io, CoordinationSettings settings);
    ~HttpCoordination();  // calls that are still due are not completed
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

// [4] In-process store ------------------------------------------------------------------------------------------------

/// Faults that tests switch on; the default is none.
struct EmbeddedFaults
{
    bool down = false;       // every call answers Unavailable
    int loseAnswers = 0;     // the next writes take effect and answer Unknown
    int failWrites = 0;      // the next writes answer Unavailable without effect
    bool holdCalls = false;  // calls are kept until it is cleared and release() is called
};

/// Keeps everything in memory of this process: for `--platform embedded` and as the fake in tests. The io_context must
/// outlive it; completions that are still due when it ends are not called.
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
    std::vector<InstanceRecord> records;  // what instances() answers
    std::size_t writes = 0;               // calls that changed or tried to change a value
    std::size_t reads = 0;
    Duration rebootTime{500'000};  // from the reboot call until the record is live again
    void release();                // runs held calls

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

}
