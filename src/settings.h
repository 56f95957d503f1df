#pragma once

// Settings of `briarvane entry`. Each is given as a flag or as an environment variable, and all are checked together
// before the entry starts.
//
// Index
// [1] Declaration of a setting
// [2] Settings of `briarvane entry`
// [3] Parsing
// [4] Reference page

#include "idempotency.h"
#include "types.h"

#include <map>
#include <span>

namespace briarvane
{

// [1] Declaration of a setting ----------------------------------------------------------------------------------------

struct EntrySettings;

struct SettingSpec
{
    std::string_view name;      // flag without the leading dashes; environmentName() gives the variable
    std::string_view fallback;  // default value as text; empty: there is none
    std::string_view accepted;  // description of the accepted values
    std::string_view help;
    bool secret = false;                                             // the value is never printed
    bool (*apply)(EntrySettings &settings, std::string_view value);  // returns false when the value is refused
};

/// Environment variable of a setting: "BRIARVANE_" and the name in upper case with underscores for dashes.
std::string environmentName(std::string_view settingName);

// [2] Settings of `briarvane entry` -----------------------------------------------------------------------------------

struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;
};

/// Parses "ip:port" with an IPv4 address in dotted-decimal form.
std::optional<Endpoint> parseEndpoint(std::string_view text);
std::string formatEndpoint(const Endpoint &endpoint);

struct NamedEndpoint
{
    std::string name;
    Endpoint endpoint;
};

struct EntrySettings
{
    EntryId id;
    std::string dataCentre;
    Endpoint listen;
    Endpoint operatorListen;
    Endpoint peerListen;
    std::vector<NamedEndpoint> peers;
    bool embedded = false;                 // in-process store instead of the coordination service; single entry only
    Endpoint coordination;                 // address of the coordination service, unless embedded
    std::vector<NamedEndpoint> instances;  // upstream instances; used only when embedded
    std::string operatorToken;
    Duration grace{5'000'000};               // time between reporting not ready and refusing new connections on a stop
    Duration stopTimeout{60'000'000};        // maximum duration of a stop
    std::size_t bodyLimit = 0;               // maximum size of a request body in bytes
    Duration idleTimeout{60'000'000};        // idle caller connections are closed after this time
    Duration slowCallerTimeout{10'000'000};  // callers that accept no byte of a response for this time are disconnected
    std::size_t maxCallerConnections = 0;    // maximum number of open caller connections
    IdempotencySettings idempotency;
    std::string logLevel;
};

std::span<const SettingSpec> entrySettingSpecs();

// [3] Parsing ---------------------------------------------------------------------------------------------------------

struct SettingValue
{
    std::string_view name;
    std::string value;   // asterisks for a secret setting
    std::string source;  // "default", "environment" or "flag"
};

struct EntrySettingsCheck
{
    EntrySettings settings;
    std::vector<SettingValue> effective;
    std::vector<std::string> errors;  // one sentence per error; empty: the settings are complete and consistent
};

/// Resolves the value of each setting and checks all of them. `flags` and `environment` map setting names to values;
/// flags take precedence.
EntrySettingsCheck checkEntrySettings(const std::map<std::string, std::string> &flags,
                                      const std::map<std::string, std::string> &environment);

// [4] Reference page --------------------------------------------------------------------------------------------------

/// Generates the text of docs/settings.md.
std::string settingsReference();

}
