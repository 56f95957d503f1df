#pragma once

// Basic types used throughout: time, ids, errors and results, enumerations with names, requests and their outcomes.
//
// Index
// [1] Time
// [2] Ids
// [3] Errors and results
// [4] Names of enumerators
// [5] Requests and outcomes

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briarvane
{

// [1] Time ------------------------------------------------------------------------------------------------------------

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;  // for decisions; callers pass it in
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;   // for maintenance windows and records

// [2] Ids -------------------------------------------------------------------------------------------------------------

/// A string id. Each `Tag` makes a type of its own, so that ids of different kinds cannot be mixed up.
template<class Tag>
struct Id
{
    std::string value;

    bool empty() const
    {
        return value.empty();
    }
    auto operator<=>(const Id &) const = default;  // NOLINT(modernize-use-nullptr): the check takes <=> for a null
};

using InstanceId = Id<struct InstanceTag>;
using PoolId = Id<struct PoolTag>;
using ServiceId = Id<struct ServiceTag>;
using EntryId = Id<struct EntryTag>;
using TenantId = Id<struct TenantTag>;

// [3] Errors and results ----------------------------------------------------------------------------------------------

enum class ErrorCode {
    Invalid,      // the input is malformed or out of range
    NotFound,     // the key, instance, pool or wave does not exist
    Conflict,     // the value changed since it was read, or another change is in progress
    Unavailable,  // the store, a peer or the view of the cluster is not usable now
    Refused,      // a budget, quota or policy does not allow the operation
    Unknown,      // the call may or may not have taken effect
};

/// An expected failure. `message` is one sentence for an operator, without a trailing period.
struct Error
{
    ErrorCode code = ErrorCode::Invalid;
    std::string message;
};

/// A value or an Error. Reading the one that is not present is a bug and terminates the process.
template<class T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

// [4] Names of enumerators --------------------------------------------------------------------------------------------

/// Specialized for each enumeration that is parsed or printed: `static constexpr std::array names` of (enumerator,
/// name).
template<class E>
struct EnumNames;

template<class E>
using EnumName = std::pair<E, std::string_view>;

template<class E>
constexpr std::string_view toString(E value)
{
    for (const auto &[enumerator, name] : EnumNames<E>::names) {
        if (enumerator == value) {
            return name;
        }
    }
    return "?";
}

template<class E>
constexpr std::optional<E> parseEnum(std::string_view text)
{
    for (const auto &[enumerator, name] : EnumNames<E>::names) {
        if (name == text) {
            return enumerator;
        }
    }
    return std::nullopt;
}

/// The accepted names, separated by ", ", for error messages.
template<class E>
std::string acceptedNames()
{
    std::string text;
    for (const auto &[enumerator, name] : EnumNames<E>::names) {
        text += text.empty() ? "" : ", ";
        text += name;
    }
    return text;
}

template<>
struct EnumNames<ErrorCode>
{
    static constexpr std::array<EnumName<ErrorCode>, 6> names = {{{ErrorCode::Invalid, "invalid"},
                                                                  {ErrorCode::NotFound, "not-found"},
                                                                  {ErrorCode::Conflict, "conflict"},
                                                                  {ErrorCode::Unavailable, "unavailable"},
                                                                  {ErrorCode::Refused, "refused"},
                                                                  {ErrorCode::Unknown, "unknown"}}};
};

// [5] Requests and outcomes -------------------------------------------------------------------------------------------

enum class RequestClass { Urgent, Short, Long };

template<>
struct EnumNames<RequestClass>
{
    static constexpr std::array<EnumName<RequestClass>, 3> names
        = {{{RequestClass::Urgent, "urgent"}, {RequestClass::Short, "short"}, {RequestClass::Long, "long"}}};
};

/// Outcome of a request, as reported to its caller.
enum class Outcome {
    Answered,     // the caller gets the complete answer of the upstream
    NotRun,       // no byte of the request reached an upstream
    Unknown,      // the request may or may not have run
    InProgress,   // a request with the same idempotency key is running
    KeyConflict,  // the idempotency key was used before with another body
};

template<>
struct EnumNames<Outcome>
{
    static constexpr std::array<EnumName<Outcome>, 5> names = {{{Outcome::Answered, "answered"},
                                                                {Outcome::NotRun, "not-run"},
                                                                {Outcome::Unknown, "unknown"},
                                                                {Outcome::InProgress, "in-progress"},
                                                                {Outcome::KeyConflict, "key-conflict"}}};
};

/// Properties of a request by which it is routed. The body is not among them: it stays in the entry that received it.
struct RequestInfo
{
    std::uint64_t id = 0;  // unique within the process of the entry that received the request
    ServiceId service;
    std::string route;  // service times are estimated per service and route
    TenantId tenant;
    RequestClass requestClass = RequestClass::Short;
    bool idempotent = false;
    TimePoint arrived;
    TimePoint deadline;
};

}

template<class Tag>
struct std::hash<briarvane::Id<Tag>>
{
    std::size_t operator()(const briarvane::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};
