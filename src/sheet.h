#pragma once

// The sheet: the CSV file in which operators declare the pools, services, instances, maintenance windows, moves and
// quotas of the day.
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

/// Selects the weights of the capacity policy, see capacityWeights().
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
    int minInstances = 1;  // the capacity policy never plans fewer instances
    int maxInstances = 0;  // 0: no upper bound
    bool spare = false;    // the pool lends instances to other pools
    int slots = 8;         // maximum number of concurrent requests per instance
    int connections = 64;  // maximum number of open connections per instance, summed over all entries
};

struct ServiceSpec
{
    ServiceId id;
    PoolId pool;
    std::string route;  // path prefix; the longest match wins
    RequestClass requestClass = RequestClass::Short;
    Duration deadline{10'000'000};  // used for requests that carry no deadline of their own
    Duration declaredTime{50'000};  // initial estimate of the service time; measurements update it
    double availability = 0.9;      // fraction of the pool's instances that must be in service, 0..1
    bool idempotent = false;        // requests of every HTTP method may be retried
};

struct InstanceSpec
{
    InstanceId id;
    PoolId pool;  // pool that the sheet assigns the instance to
};

struct WindowSpec
{
    PoolId pool;
    std::string timeZone;     // an IANA name of the built-in table or a POSIX TZ string, see timeZoneOffset()
    std::uint8_t days = 127;  // bit 0 is Monday
    int startMinute = 0;      // minutes after local midnight of the day, 0..1439
    int endMinute = 0;        // exclusive; above 1440: ends on the next day; at most 1440 after startMinute
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
    int slots = 0;  // maximum number of concurrent requests of the tenant, summed over all pools
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
    int row = 0;  // 1-based; row 1 is the header
    std::string column;
    std::string value;     // refused value, shortened
    std::string accepted;  // values that the column accepts, or the condition that the value violates
};

/// Result of parsing. A sheet with any error is rejected as a whole: `sheet` is valid only when `errors` is empty.
struct SheetCheck
{
    Sheet sheet;
    std::vector<SheetError> errors;
};

/// Parses a sheet in the format of docs/sheet.md. Errors are sorted by row.
SheetCheck parseSheet(std::string_view text);

/// Formats an error, for example `row 3, column class: "fast" is not accepted; accepted: urgent, short, long`.
std::string describe(const SheetError &error);

/// Number of instances of a pool of `size` that may be out of service at once under a service's `availability`:
/// floor(size x (1 - availability)). A product that misses a whole number only by floating-point rounding counts as
/// that number.
int maxInstancesDown(int size, double availability);

/// XXH3 hash (128 bits) of the text as 32 hexadecimal digits. Identifies versions of sheets and of alert rule files.
std::string textDigest(std::string_view text);

// [3] Difference between two sheets -----------------------------------------------------------------------------------

struct SheetChange
{
    std::string kind;  // "pool", "service", "instance", "window", "move", "quota" or "fleet"
    std::string name;
    std::string before;  // empty when the row was added
    std::string after;   // empty when the row was removed
};

/// Lists removed and changed rows first, then added rows. The order of rows in the sheets does not matter.
std::vector<SheetChange> diffSheets(const Sheet &before, const Sheet &after);

// [4] Maintenance windows ---------------------------------------------------------------------------------------------

/// True when the local time in the window's time zone is at or after the start and before the end of the window, both
/// counted from midnight of one of the window's days. When daylight saving time begins, the skipped local times are
/// lost from the window; when it ends, the window is open during both occurrences of the repeated local times. A window
/// whose time zone timeZoneOffset() rejects is never open.
bool windowIsOpen(const WindowSpec &window, WallTime now);

/// Local time minus UTC at `now`. Error: Invalid, with a message that lists the accepted time zones. POSIX TZ strings
/// follow the sign convention of POSIX: a negative offset is east of Greenwich ("EET-2EEST,M3.5.0/3,M10.5.0/4").
Result<std::chrono::seconds> timeZoneOffset(std::string_view timeZone, WallTime now);

/// Description of the accepted time zones, for error messages.
std::string_view acceptedTimeZones();

}
