#include "config.h"
#include "operator_api.h"
#include "settings.h"
#include "settings_file.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace briarvane;

namespace
{

std::map<std::string, std::string> completeFlags()
{
    return {
        {"id", "e1"}, {"data-centre", "perth"}, {"platform", "127.0.0.1:7000"}, {"operator-token", "0123456789abcdef"}};
}

bool anyContains(const std::vector<std::string> &lines, const std::string &text)
{
    return std::any_of(lines.begin(), lines.end(),
                       [&](const std::string &line) { return line.find(text) != std::string::npos; });
}

}

TEST_CASE("Settings of an entry are checked together", "[settings]")
{
    auto flags = completeFlags();

    SECTION("complete settings are accepted")
    {
        const auto check = checkEntrySettings(flags, {});
        CHECK(check.errors.empty());
        CHECK(check.settings.coordination == Endpoint{"127.0.0.1", 7000});
    }
    SECTION("all errors are listed at once, so that an operator need not fix them one by one")
    {
        flags["listen"] = "localhost";
        flags["grace-ms"] = "-1";
        flags["log-level"] = "loud";
        flags.erase("id");
        const auto check = checkEntrySettings(flags, {});
        CHECK(check.errors.size() == 4);
        CHECK(anyContains(check.errors, "'localhost' is not accepted"));
        CHECK(anyContains(check.errors, "0 to 600000"));
        CHECK(anyContains(check.errors, "BRIARVANE_ID"));
    }
    SECTION("a flag takes precedence over the environment, and the source of each value is reported")
    {
        const auto check = checkEntrySettings(flags, {{"id", "from-environment"}, {"grace-ms", "7"}});
        CHECK(check.settings.id == EntryId{"e1"});
        CHECK(check.settings.grace == Duration{7000});
        const auto grace = std::find_if(check.effective.begin(), check.effective.end(),
                                        [](const SettingValue &value) { return value.name == "grace-ms"; });
        CHECK(grace->source == "environment");
    }
    SECTION("the token is never shown, not even when it is refused")
    {
        flags["operator-token"] = "too short";
        const auto check = checkEntrySettings(flags, {});
        CHECK(check.errors.size() == 1);
        CHECK_FALSE(anyContains(check.errors, "too short"));
        for (const SettingValue &value : check.effective) {
            CHECK(value.value != "too short");
        }
    }
    SECTION("the in-process store is refused together with peers, since every entry would have its own store")
    {
        flags["platform"] = "embedded";
        flags["peers"] = "e2=127.0.0.1:9000";
        CHECK(anyContains(checkEntrySettings(flags, {}).errors, "--peers must be empty"));
    }
    SECTION(
        "duplicate addresses, instances without the in-process store and a peer with the entry's own name are refused")
    {
        flags["listen"] = "127.0.0.1:8081";
        flags["instances"] = "i-1=127.0.0.1:9000";
        flags["peers"] = "e1=127.0.0.1:9000";
        CHECK(checkEntrySettings(flags, {}).errors.size() == 3);
    }
    SECTION("an endpoint is an IPv4 address and a port")
    {
        CHECK(parseEndpoint("127.0.0.1:80"));
        for (const char *text : {"127.0.0.1", "127.0.0.1:", ":80", "127.0.0.1:65536", "127.0.0.1:8x", "a.b:80", ""}) {
            CHECK_FALSE(parseEndpoint(text));
        }
    }
    SECTION("docs/settings.md equals the output of settingsReference()")
    {
        std::ostringstream page;
        page << std::ifstream(BRIARVANE_SOURCE_DIR "/docs/settings.md").rdbuf();
        CHECK(page.str() == settingsReference());
    }
}

TEST_CASE("The operator port parses targets, tokens and configuration values strictly", "[operator]")
{
    SECTION("path and query are decoded")
    {
        const OperatorTarget target = parseOperatorTarget("/v1/instances/a%2Fb/move?pool=x%20y&empty=&flag");
        CHECK(target.path == std::vector<std::string>{"v1", "instances", "a/b", "move"});
        CHECK(target.query.at("pool") == "x y");
        CHECK(target.query.at("empty").empty());
        CHECK(target.query.count("flag") == 1);
    }
    SECTION("only the complete token matches; an empty configured token matches nothing")
    {
        CHECK(bearerMatches("Bearer secret", "secret"));
        for (const char *header :
             {"", "Bearer", "Bearer ", "Bearer secre", "Bearer secrets", "bearer secret", "secret"}) {
            CHECK_FALSE(bearerMatches(header, "secret"));
        }
        CHECK_FALSE(bearerMatches("Bearer ", ""));
    }
    SECTION("a configuration value is unchanged after formatting and parsing, including line ends and quotes")
    {
        const ConfigValue value{"a,\"b\"\r\nc", "digest", "e1-7", "Åsa", 12};
        const auto parsed = parseConfig(formatConfig(value));
        REQUIRE(parsed);
        CHECK(parsed.value().text == value.text);
        CHECK(parsed.value().operatorName == value.operatorName);
        CHECK(parsed.value().appliedMs == 12);
        CHECK_FALSE(parseConfig("{}"));
        CHECK_FALSE(parseConfig("["));
    }
}

TEST_CASE("A change of the platform's settings file is detected once", "[settings]")
{
    const auto path = std::filesystem::temp_directory_path() / ("briarvane-settings-" + std::to_string(::getpid()));
    const auto write = [&path](const std::string &text) { std::ofstream(path) << text; };
    write("node_name: e1\n");
    SettingsFile file(path.string());
    CHECK_FALSE(file.changed());

    SECTION("a change is detected by the content of the file")
    {
        write("node_name: e2\n");
        CHECK(file.changed());
        CHECK_FALSE(file.changed());
    }
    SECTION("the same content written again is no change")
    {
        write("node_name: e1\n");
        CHECK_FALSE(file.changed());
    }
    SECTION("a file that is missing while it is being replaced is detected as changed when it exists again")
    {
        std::filesystem::remove(path);
        CHECK_FALSE(file.changed());
        write("node_name: e2\n");
        CHECK(file.changed());
    }
    SECTION("without a file no change is reported")
    {
        SettingsFile withoutFile({});
        CHECK_FALSE(withoutFile.changed());
    }
    std::filesystem::remove(path);
}
