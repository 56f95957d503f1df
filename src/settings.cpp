#include "settings.h"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>
#include <set>

namespace briarvane
{

namespace
{

constexpr std::size_t MinTokenLength = 16;

template<class T>
std::optional<T> parseNumber(std::string_view text, T minimum, T maximum)
{
    T value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value < minimum || value > maximum) {
        return std::nullopt;
    }
    return value;
}

bool isName(std::string_view text)
{
    constexpr std::size_t maxLength = 63;
    if (text.empty() || text.size() > maxLength) {
        return false;
    }
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; });
}

bool applyEndpoint(Endpoint &target, std::string_view text)
{
    const auto endpoint = parseEndpoint(text);
    if (endpoint) {
        target = *endpoint;
    }
    return endpoint.has_value();
}

bool applyMilliseconds(Duration &target, std::string_view text, std::int64_t minimum, std::int64_t maximum)
{
    const auto value = parseNumber<std::int64_t>(text, minimum, maximum);
    if (value) {
        target = std::chrono::milliseconds(*value);
    }
    return value.has_value();
}

template<class T>
bool applyNumber(T &target, std::string_view text, T minimum, T maximum)
{
    const auto value = parseNumber<T>(text, minimum, maximum);
    if (value) {
        target = *value;
    }
    return value.has_value();
}

/// Parses "name=ip:port,name=ip:port". Names must be unique.
bool applyNamedEndpoints(std::vector<NamedEndpoint> &target, std::string_view text)
{
    std::vector<NamedEndpoint> parsed;
    std::set<std::string> names;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        const std::string_view item = text.substr(0, comma);
        text.remove_prefix(std::min(comma + 1, text.size()));
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos || !isName(item.substr(0, equals))) {
            return false;
        }
        const auto endpoint = parseEndpoint(item.substr(equals + 1));
        std::string name(item.substr(0, equals));
        if (!endpoint || !names.insert(name).second) {
            return false;
        }
        parsed.push_back({std::move(name), *endpoint});
    }
    target = std::move(parsed);
    return true;
}

bool applyCoordination(EntrySettings &settings, std::string_view text)
{
    settings.embedded = text == "embedded";
    return settings.embedded || applyEndpoint(settings.coordination, text);
}

bool applyName(std::string &target, std::string_view text)
{
    target = text;
    return isName(text);
}

constexpr std::string_view AcceptedEndpoint = "an IPv4 address and a port, for example 127.0.0.1:8080";
constexpr std::string_view AcceptedName = "1 to 63 letters, digits, '-', '_' or '.'";
constexpr std::string_view AcceptedEndpoints = "name=ip:port, separated by commas, each name once";

const SettingSpec EntrySettingSpecs[] = {
    {"id", "", AcceptedName, "name of this entry, unique among the entries", false,
     [](EntrySettings &s, std::string_view v) { return applyName(s.id.value, v); }},
    {"data-centre", "", AcceptedName, "data centre in which this entry runs", false,
     [](EntrySettings &s, std::string_view v) { return applyName(s.dataCentre, v); }},
    {"listen", "127.0.0.1:8080", AcceptedEndpoint, "address for callers", false,
     [](EntrySettings &s, std::string_view v) { return applyEndpoint(s.listen, v); }},
    {"operator-listen", "127.0.0.1:8081", AcceptedEndpoint, "address for operators, probes and metrics", false,
     [](EntrySettings &s, std::string_view v) { return applyEndpoint(s.operatorListen, v); }},
    {"peer-listen", "127.0.0.1:8082", AcceptedEndpoint, "address for the other entries", false,
     [](EntrySettings &s, std::string_view v) { return applyEndpoint(s.peerListen, v); }},
    {"peers", "", AcceptedEndpoints, "other entries; more are found in the store", false,
     [](EntrySettings &s, std::string_view v) { return applyNamedEndpoints(s.peers, v); }},
    {"platform", "", "'embedded' or an IPv4 address and a port",
     "the platform's store and instance list; 'embedded' keeps everything in this process", false, applyCoordination},
    {"instances", "", AcceptedEndpoints, "upstream instances, with the embedded store only", false,
     [](EntrySettings &s, std::string_view v) { return applyNamedEndpoints(s.instances, v); }},
    {"operator-token", "", "at least 16 characters without spaces", "bearer token of the operator port", true,
     [](EntrySettings &s, std::string_view v) {
         s.operatorToken = v;
         return v.size() >= MinTokenLength && v.find_first_of(" \t\r\n") == std::string_view::npos;
     }},
    {"grace-ms", "5000", "0 to 600000", "time between not ready and refusing new connections on a stop", false,
     [](EntrySettings &s, std::string_view v) { return applyMilliseconds(s.grace, v, 0, 600'000); }},
    {"stop-limit-ms", "60000", "1000 to 3600000", "longest time for a stop", false,
     [](EntrySettings &s, std::string_view v) { return applyMilliseconds(s.stopTimeout, v, 1000, 3'600'000); }},
    {"body-limit", "1048576", "1024 to 67108864", "largest request body in bytes", false,
     [](EntrySettings &s, std::string_view v) { return applyNumber<std::size_t>(s.bodyLimit, v, 1024, 67'108'864); }},
    {"idle-timeout-ms", "60000", "1000 to 3600000", "an idle caller connection is closed after this time", false,
     [](EntrySettings &s, std::string_view v) { return applyMilliseconds(s.idleTimeout, v, 1000, 3'600'000); }},
    {"slow-caller-ms", "10000", "100 to 600000",
     "a caller that accepts no byte of its response for this time is cut off", false,
     [](EntrySettings &s, std::string_view v) { return applyMilliseconds(s.slowCallerTimeout, v, 100, 600'000); }},
    {"caller-connections", "12000", "1 to 100000", "most open caller connections", false,
     [](EntrySettings &s, std::string_view v) {
         return applyNumber<std::size_t>(s.maxCallerConnections, v, 1, 100'000);
     }},
    {"order-shards", "16", "1 to 1024", "shards of idempotency keys; the same at every entry", false,
     [](EntrySettings &s, std::string_view v) { return applyNumber<std::uint32_t>(s.idempotency.shards, v, 1, 1024); }},
    {"key-retention-s", "3600", "60 to 604800", "time for which an idempotency key is kept", false,
     [](EntrySettings &s, std::string_view v) {
         const auto seconds = parseNumber<std::int64_t>(v, 60, 604'800);
         s.idempotency.retention = std::chrono::seconds(seconds.value_or(0));
         return seconds.has_value();
     }},
    {"log-level", "info", "debug, info, warn or error", "least severe lines that are logged", false,
     [](EntrySettings &s, std::string_view v) {
         s.logLevel = v;
         return v == "debug" || v == "info" || v == "warn" || v == "error";
     }},
};

/// Checks settings against each other and appends to `errors`.
void checkCombinations(const EntrySettings &settings, std::vector<std::string> &errors)
{
    if (settings.embedded && !settings.peers.empty()) {
        errors.emplace_back("--platform embedded runs a single entry, so --peers must be empty");
    }
    if (!settings.embedded && !settings.instances.empty()) {
        errors.emplace_back("--instances is for --platform embedded; otherwise the platform lists the instances");
    }
    for (const NamedEndpoint &peer : settings.peers) {
        if (peer.name == settings.id.value) {
            errors.push_back("--peers names this entry itself: " + peer.name);
        }
    }
    const Endpoint ownEndpoints[] = {settings.listen, settings.operatorListen, settings.peerListen};
    for (std::size_t i = 0; i < std::size(ownEndpoints); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            if (ownEndpoints[i].port != 0 && ownEndpoints[i] == ownEndpoints[j]) {
                errors.push_back("two addresses of this entry are the same: " + formatEndpoint(ownEndpoints[i]));
            }
        }
    }
}

}

std::string environmentName(std::string_view settingName)
{
    std::string name = "BRIARVANE_";
    for (const char c : settingName) {
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return name;
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1), 0, 65535);
    if (error || !port) {
        return std::nullopt;
    }
    return Endpoint{std::string(text.substr(0, colon)), *port};
}

std::string formatEndpoint(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

std::span<const SettingSpec> entrySettingSpecs()
{
    return EntrySettingSpecs;
}

EntrySettingsCheck checkEntrySettings(const std::map<std::string, std::string> &flags,
                                      const std::map<std::string, std::string> &environment)
{
    EntrySettingsCheck check;
    for (const SettingSpec &spec : EntrySettingSpecs) {
        SettingValue effective{spec.name, std::string(spec.fallback), "default"};
        if (const auto flag = flags.find(std::string(spec.name)); flag != flags.end()) {
            effective.value = flag->second;
            effective.source = "flag";
        } else if (const auto variable = environment.find(std::string(spec.name)); variable != environment.end()) {
            effective.value = variable->second;
            effective.source = "environment";
        }
        const bool optional = spec.name == "peers" || spec.name == "instances";
        const bool accepted = spec.apply(check.settings, effective.value);
        if (effective.value.empty() && !optional) {
            check.errors.push_back("--" + std::string(spec.name) + " (" + environmentName(spec.name)
                                   + ") is not set; accepted: " + std::string(spec.accepted));
        } else if (!accepted) {
            const std::string shownValue = spec.secret ? "(hidden)" : effective.value;
            check.errors.push_back("--" + std::string(spec.name) + " from " + effective.source + ": '" + shownValue
                                   + "' is not accepted; accepted: " + std::string(spec.accepted));
        }
        if (spec.secret && !effective.value.empty()) {
            effective.value = "********";
        }
        check.effective.push_back(std::move(effective));
    }
    checkCombinations(check.settings, check.errors);
    return check;
}

std::string settingsReference()
{
    std::string text = "# Settings of `briarvane entry`\n\nThis page is the output of `briarvane settings`. A flag "
                       "goes before its environment variable.\n\n"
                       "| flag | environment variable | default | accepted | meaning |\n|---|---|---|---|---|\n";
    for (const SettingSpec &spec : EntrySettingSpecs) {
        text += "| `--" + std::string(spec.name) + "` | `" + environmentName(spec.name) + "` | "
            + (spec.fallback.empty() ? std::string("none") : "`" + std::string(spec.fallback) + "`") + " | "
            + std::string(spec.accepted) + " | " + std::string(spec.help) + " |\n";
    }
    return text;
}

}
