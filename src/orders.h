#pragma once

// Idempotency keys: each key is recorded in the store before its request is sent.

#include "types.h"

namespace briarvane
{

enum class OrderState { Claimed, Finished, Abandoned, Unknown };

template<>
struct EnumNames<OrderState>
{
    static constexpr std::array<EnumName<OrderState>, 4> names = {{{OrderState::Claimed, "claimed"},
                                                                   {OrderState::Finished, "finished"},
                                                                   {OrderState::Abandoned, "abandoned"},
                                                                   {OrderState::Unknown, "unknown"}}};
};

enum class Verdict {
    Run,          // this claim is the only one that may send the request
    InProgress,   // another claim of the key is running
    Replay,       // the first run's answer is attached
    Unknown,      // it may have run; the answer is not known here
    KeyConflict,  // the key was used with another body
    Busy,         // the key could not be recorded; nothing was run
};

template<>
struct EnumNames<Verdict>
{
    static constexpr std::array<EnumName<Verdict>, 6> names = {{{Verdict::Run, "run"},
                                                                {Verdict::InProgress, "in-progress"},
                                                                {Verdict::Replay, "replay"},
                                                                {Verdict::Unknown, "unknown"},
                                                                {Verdict::KeyConflict, "key-conflict"},
                                                                {Verdict::Busy, "busy"}}};
};

/// 128 bits of service, tenant and key.
struct OrderKeyHash
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const OrderKeyHash &) const = default;
};

OrderKeyHash hashOrderKey(const ServiceId &service, const TenantId &tenant, std::string_view key);
std::uint64_t hashOrderBody(std::string_view method, std::string_view target, std::string_view body);
/// Unix milliseconds in a UUIDv7 key, 0 for any other key.
std::int64_t orderKeyIssuedMs(std::string_view key);

/// An upstream's answer as kept for a retry.
struct KeptAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool bodyKept = false;
};

struct OrderSettings
{
    std::uint32_t shards = 16;
    Duration retention{3'600'000'000};
    std::size_t keptBody = 4096;           // bytes of an answer that are kept in the store
    std::size_t segmentBytes = 64 * 1024;  // the head rotates at this size
    std::size_t shardRecords = 50'000;     // at the cap new keys are refused
};

}
