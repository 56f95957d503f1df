#pragma once

// Settings of the daemon and of the operator commands: flags with environment variables, all checked at once.
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
    std::string_view name;      // flag without dashes; BRIARVANE_ and the name in upper case is the variable
    std::string_view fallback;  // default, as text; empty: none
    std::string_view accepted;  // what the value may be
    std::string_view help;
    bool secret = false;
    bool (*apply)(EntrySettings &settings, std::string_view value);  // false: the value is not accepted
};

/// "BRIARVANE_" and the name in upper case with underscores.
std::string environmentName(std::string_view settingName);

// [2] Settings of `briarvane entry` -----------------------------------------------------------------------------------

struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;
};

/// "ip:port" with an IPv4 number.
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
    Endpoint peerBind;
    std::vector<NamedEndpoint> peers;
    bool embedded = false;  // in-process store, one entry only
    Endpoint coordination;
    std::vector<NamedEndpoint> instances;  // with the embedded store only
    std::string operatorToken;
    Duration grace{5'000'000};  // between not ready and refusing connections
    Duration stopLimit{60'000'000};
    std::size_t bodyLimit = 0;
    Duration idleTimeout{60'000'000};
    Duration slowCaller{10'000'000};
    std::size_t callerConnections = 0;
    IdempotencySettings idempotency;
    std::string logLevel;
};

std::span<const SettingSpec> entrySettingSpecs();

// [3] Parsing ---------------------------------------------------------------------------------------------------------

struct SettingValue
{
    std::string_view name;
    std::string value;   // masked when secret
    std::string source;  // "default", "environment" or "flag"
};

struct EntrySettingsCheck
{
    EntrySettings settings;
    std::vector<SettingValue> effective;
    std::vector<std::string> errors;  // one sentence each; empty: the settings are complete and consistent
};

/// `flags` and `environment` map setting names to text; flags go first.
EntrySettingsCheck checkEntrySettings(const std::map<std::string, std::string> &flags,
                                      const std::map<std::string, std::string> &environment);

// [4] Reference page --------------------------------------------------------------------------------------------------

/// The text of docs/settings.md.
std::string settingsReference();

}
