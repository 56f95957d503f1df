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
    int startMinute = 0;      // minutes after the local midnight that begins the day, 0..1439
    int endMinute = 0;        // exclusive; above 1440 the window ends on the next day; at most 24 h after the start
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

/// Reads a sheet as described in docs/sheet.md. Errors are in the order of rows.
SheetCheck parseSheet(std::string_view text);

/// "row 3, column class: "fast" is not accepted; accepted: urgent, short, long"
std::string describe(const SheetError &error);

/// How many instances of a pool of `size` a service lets down at once: floor(size x (1 - availability)).
/// A share that is a whole number but for rounding of the product counts as that number.
int allowedDown(int size, double availability);

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

/// True when the wall clock of the window's time zone reads a time from the start up to the end, counted from the
/// midnight of one of the window's days. On the days that daylight saving switches this means: a time that is skipped
/// never comes, so a window loses it; a time that is repeated is in the window both times.
/// A time zone that timeZoneOffset() refuses never opens.
bool windowIsOpen(const WindowSpec &window, WallTime now);

/// Local time minus UTC at `now`. Error: Invalid, with what is accepted. POSIX TZ strings have the signs of POSIX
/// ("EET-2EEST,M3.5.0/3,M10.5.0/4" is east of Greenwich).
Result<std::chrono::seconds> timeZoneOffset(std::string_view timeZone, WallTime now);

/// What a time zone may be, for error messages.
std::string_view acceptedTimeZones();

}
