#pragma once

// The operators' sheet: what the day intends.
//
// Index
// [1] Contents of a sheet
// [2] Parsing and checking
// [3] Difference between two sheets
// [4] Maintenance windows

#include "types.h"

namespace briarvane
{

// [1] Contents of a sheet ---------------------------------------------------------------------------------------------

enum class Profile { SwanCoast, Saaristo };

template<>
struct EnumNames<Profile>
{
    static constexpr std::array<EnumName<Profile>, 2> names
        = {{{Profile::SwanCoast, "swan-coast"}, {Profile::Saaristo, "saaristo"}}};
};

struct PoolSpec
{
    PoolId id;
    int minInstances = 1;  // capacity policy never goes below
    int maxInstances = 0;  // 0: no upper bound
    bool spare = false;    // lends to the others
    int slots = 8;         // requests in service per instance
    int connections = 64;  // open connections per instance, over all entries
};

struct ServiceSpec
{
    ServiceId id;
    PoolId pool;
    std::string route;  // path prefix; the longest match wins
    RequestClass requestClass = RequestClass::Short;
    Duration deadline{10'000'000};  // default for requests that state none
    Duration declaredTime{50'000};  // start value for learned service times
    double availability = 0.9;      // share of the pool that must serve, 0..1
    bool idempotent = false;        // every method may be sent again
};

struct InstanceSpec
{
    InstanceId id;
    PoolId pool;  // the pool the day intends
};

struct WindowSpec
{
    PoolId pool;
    std::string timeZone;     // IANA name of the built-in table or a POSIX TZ string
    std::uint8_t days = 127;  // bit 0 is Monday
    int startMinute = 0;      // minutes after local midnight
    int endMinute = 0;
};

struct MoveSpec
{
    PoolId from;
    PoolId to;
    int count = 0;
};

struct QuotaSpec
{
    TenantId tenant;
    int slots = 0;  // most requests in service at once, over all pools
};

struct Sheet
{
    Profile profile = Profile::SwanCoast;
    std::string timeZone = "UTC";
    std::vector<PoolSpec> pools;
    std::vector<ServiceSpec> services;
    std::vector<InstanceSpec> instances;
    std::vector<WindowSpec> windows;
    std::vector<MoveSpec> moves;
    std::vector<QuotaSpec> quotas;
};

// [2] Parsing and checking --------------------------------------------------------------------------------------------

struct SheetError
{
    int row = 0;  // 1 is the header line
    std::string column;
    std::string value;
    std::string accepted;  // what the column takes, or what is wrong
};

/// A sheet is taken whole or not at all: `sheet` is meaningful only when `errors` is empty.
struct SheetCheck
{
    Sheet sheet;
    std::vector<SheetError> errors;
};

SheetCheck parseSheet(std::string_view text);

/// 32 hexadecimal digits (XXH3, 128 bits) of the file's bytes; also used for alert rule files.
std::string textDigest(std::string_view text);

// [3] Difference between two sheets -----------------------------------------------------------------------------------

struct SheetChange
{
    std::string kind;  // "pool", "service", "instance", "window", "move", "quota" or "fleet"
    std::string name;
    std::string before;  // empty: added
    std::string after;   // empty: removed
};

std::vector<SheetChange> diffSheets(const Sheet &before, const Sheet &after);

// [4] Maintenance windows ---------------------------------------------------------------------------------------------

/// True when `now` lies in the window, in the window's own time zone with daylight saving.
bool windowIsOpen(const WindowSpec &window, WallTime now);

}
