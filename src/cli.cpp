#include "cli.h"

#include "entry.h"
#include "job_entry.h"
#include "settings.h"

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace briarvane
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::string_view Version = "0.1.0";
constexpr std::chrono::seconds CallTimeout{15};
constexpr std::chrono::milliseconds PollPeriod{300};

int code(ExitCode value)
{
    return static_cast<int>(value);
}

// Calls to the operator port ------------------------------------------------------------------------------------------

struct OperatorOptions
{
    std::string address = "127.0.0.1:8081";
    std::string token;
    std::string name;  // operator who makes a change
    bool asJson = false;
};

struct CallResult
{
    int status = 0;  // HTTP status; 0 when no valid response was received
    json::value body;
    std::string problem;  // why status is 0
};

CallResult call(const OperatorOptions &options, http::verb verb, const std::string &target,
                const std::string &body = {})
{
    CallResult result;
    const auto endpoint = parseEndpoint(options.address);
    if (!endpoint) {
        result.problem = "--operator '" + options.address + "' is not an IPv4 address and a port";
        return result;
    }
    asio::io_context io;
    beast::tcp_stream stream(io);
    beast::flat_buffer buffer;
    http::request<http::string_body> request{verb, target, 11, body};
    request.set(http::field::host, options.address);
    request.set(http::field::authorization, "Bearer " + options.token);
    request.set(http::field::connection, "close");
    request.prepare_payload();
    http::response_parser<http::string_body> parser;
    constexpr std::uint64_t largestReply = 64ULL * 1024 * 1024;
    parser.body_limit(largestReply);
    beast::error_code failure;
    stream.expires_after(CallTimeout);
    stream.async_connect(asio::ip::tcp::endpoint(asio::ip::make_address(endpoint->address), endpoint->port),
                         [&](beast::error_code error) {
                             failure = error;
                             if (error) {
                                 return;
                             }
                             http::async_write(stream, request, [&](beast::error_code writeError, std::size_t) {
                                 failure = writeError;
                                 if (!writeError) {
                                     http::async_read(
                                         stream, buffer, parser,
                                         [&](beast::error_code readError, std::size_t) { failure = readError; });
                                 }
                             });
                         });
    io.run();
    if (failure) {
        result.problem = "the entry at " + options.address + " did not answer: " + failure.message();
        return result;
    }
    result.status = static_cast<int>(parser.get().result_int());
    boost::system::error_code parseError;
    result.body = json::parse(parser.get().body(), parseError);
    if (parseError) {
        result.problem = "the entry at " + options.address + " answered with a body that is not valid JSON";
        result.status = 0;
    }
    return result;
}

std::string encodePercent(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
            encoded += c;
        } else {
            encoded += '%';
            encoded += digits[byte / 16];
            encoded += digits[byte % 16];
        }
    }
    return encoded;
}

// Output --------------------------------------------------------------------------------------------------------------

std::string cell(const json::value &value)
{
    if (value.is_string()) {
        return std::string(value.as_string());
    }
    if (value.is_bool()) {
        return value.as_bool() ? "yes" : "no";
    }
    if (value.is_array()) {
        std::string text;
        for (const json::value &item : value.as_array()) {
            text += (text.empty() ? "" : " ") + cell(item);
        }
        return text;
    }
    return json::serialize(value);
}

/// Prints objects as rows of a table. Cells of fields that an object does not have stay empty.
void printTable(const json::array &rows, const std::vector<std::string> &columns)
{
    std::vector<std::vector<std::string>> cells{columns};
    for (const json::value &row : rows) {
        std::vector<std::string> line;
        for (const std::string &column : columns) {
            const json::value *value = row.as_object().if_contains(column);
            line.push_back(value == nullptr ? "" : cell(*value));
        }
        cells.push_back(std::move(line));
    }
    for (const auto &line : cells) {
        std::string text;
        for (std::size_t i = 0; i < line.size(); ++i) {
            std::size_t width = 0;
            for (const auto &other : cells) {
                width = std::max(width, other[i].size());
            }
            text += line[i] + (i + 1 < line.size() ? std::string(width - line[i].size() + 2, ' ') : "");
        }
        std::cout << text << '\n';
    }
}

/// Converts an object of objects to rows: each inner object becomes a row, with its key in the column "id".
json::array namedRows(const json::value &object)
{
    json::array rows;
    for (const auto &item : object.as_object()) {
        json::object row = item.value().as_object();
        row["id"] = item.key();
        rows.push_back(std::move(row));
    }
    return rows;
}

int exitCodeOf(const CallResult &result)
{
    constexpr int lastSuccessStatus = 299;
    if (result.status == 0 || result.status == 503) {
        return code(ExitCode::Unavailable);
    }
    if (result.status <= lastSuccessStatus) {
        const json::value *inForceEverywhere
            = result.body.is_object() ? result.body.as_object().if_contains("in_force_everywhere") : nullptr;
        return inForceEverywhere != nullptr && inForceEverywhere->is_bool() && !inForceEverywhere->as_bool()
            ? code(ExitCode::Partial)
            : code(ExitCode::Ok);
    }
    const json::value *error = result.body.is_object() ? result.body.as_object().if_contains("error") : nullptr;
    if (error != nullptr && *error == "conflict") {
        return code(ExitCode::Conflict);
    }
    return result.status == 409 || result.status == 422 ? code(ExitCode::Refused) : code(ExitCode::Failed);
}

void printProblem(const CallResult &result)
{
    std::cerr << "briarvane: ";
    if (!result.problem.empty()) {
        std::cerr << result.problem << '\n';
        return;
    }
    const json::object &body = result.body.as_object();
    const json::value *message = body.if_contains("message");
    std::cerr << (message == nullptr ? "the entry answered with status " + std::to_string(result.status)
                                     : cell(*message))
              << '\n';
    for (const char *list : {"errors", "difference"}) {
        const json::value *items = body.if_contains(list);
        if (items != nullptr && items->is_array()) {
            for (const json::value &item : items->as_array()) {
                std::string line;
                for (const auto &field : item.as_object()) {
                    line += (line.empty() ? "" : "  ") + std::string(field.key()) + "=" + cell(field.value());
                }
                std::cerr << "  " << line << '\n';
            }
        }
    }
}

/// Prints the response as JSON or, through `table`, as text, and returns the exit code. Errors go to standard error,
/// except that with JSON output an error response of the entry goes to standard output.
int report(const OperatorOptions &options, const CallResult &result,
           const std::function<void(const json::object &)> &table)
{
    const int exitCode = exitCodeOf(result);
    if (options.asJson && result.status != 0) {
        std::cout << json::serialize(result.body) << '\n';
    } else if (exitCode == code(ExitCode::Ok) || exitCode == code(ExitCode::Partial)) {
        table(result.body.as_object());
    } else {
        printProblem(result);
    }
    return exitCode;
}

void printConfig(const json::object &body)
{
    for (const char *field : {"version", "digest", "change_id", "operator"}) {
        std::cout << field << ": " << cell(body.at(field)) << '\n';
    }
}

void printApplied(const json::object &body)
{
    const json::value *changed = body.if_contains("changed");
    if (changed != nullptr) {
        std::cout << (changed->as_bool() ? "applied\n" : "already in force\n");
        printConfig(body);
    } else {
        std::cout << "accepted\n";
    }
    if (body.at("in_force_everywhere").as_bool()) {
        std::cout << "in force at every entry\n";
    } else {
        std::cout << "not confirmed yet by: " << cell(body.at("missing")) << '\n';
    }
}

void printStatus(const json::object &body)
{
    std::cout << "entry " << cell(body.at("entry")) << ", view " << cell(body.at("view")) << ", store "
              << (body.at("store_down").as_bool() ? "down" : "up") << '\n';
    for (const char *key : {"sheet", "alerts"}) {
        const json::object &config = body.at(key).as_object();
        std::cout << key << ": version " << cell(config.at("version")) << ", digest " << cell(config.at("digest"))
                  << ", change " << cell(config.at("change_id")) << ", by " << cell(config.at("operator")) << '\n';
    }
    std::cout << "fleet: " << json::serialize(body.at("fleet")) << "\n\n";
    printTable(body.at("entries").as_array(), {"id", "data_centre", "live", "stopping"});
    std::cout << '\n';
    printTable(body.at("pools").as_array(),
               {"id", "instances", "serving", "disrupted", "disruption_limit", "spare", "services"});
    std::cout << '\n';
    printTable(namedRows(body.at("waves")), {"id", "pool", "state", "waiting", "running", "finished", "reason"});
    std::cout << '\n';
    printTable(body.at("alarms").as_array(), {"rule", "severity", "labels", "value", "flapping"});
    std::cout << '\n';
    printTable(body.at("requests").as_array(),
               {"service", "class", "answered", "not-run", "unknown", "in-progress", "key-conflict", "wait_p50_ms",
                "wait_p99_ms"});
}

// Commands ------------------------------------------------------------------------------------------------------------

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        std::cerr << "briarvane: the file " << path << " cannot be read or is empty\n";
        return std::nullopt;
    }
    return text.str();
}

void addConfigCommands(CLI::App &app, OperatorOptions &options, std::string &file, std::string &expected, int &exitCode,
                       const std::string &kind)
{
    const std::string base = "/v1/" + kind;
    CLI::App *group = app.add_subcommand(kind, kind == "sheet" ? "The sheet in force" : "The alert rules in force");
    group->require_subcommand(1);
    group->footer("Example: briarvane " + kind + " apply examples/swan-coast." + (kind == "sheet" ? "csv" : "alerts"));
    const auto send = [&, base](const std::string &action) {
        const auto text = readFile(file);
        if (!text) {
            exitCode = code(ExitCode::Usage);
            return std::optional<CallResult>();
        }
        return std::optional(call(options, http::verb::post, base + action, *text));
    };
    CLI::App *check = group->add_subcommand("check", "Check a file without applying it");
    check->add_option("file", file, "file to check")->required();
    check->callback([&, send] {
        if (const auto result = send("/check")) {
            exitCode = report(options, *result, [](const json::object &body) {
                std::cout << "accepted, digest " << cell(body.at("digest")) << '\n';
            });
        }
    });
    CLI::App *apply = group->add_subcommand("apply", "Put a file in force at every entry");
    apply->add_option("file", file, "file to apply")->required();
    apply->add_option("--expected-version", expected, "refuse unless this version is in force");
    apply->callback([&, send] {
        const std::string query = "?operator=" + encodePercent(options.name)
            + (expected.empty() ? "" : "&expected=" + encodePercent(expected));
        if (const auto result = send(query)) {
            exitCode = report(options, *result, printApplied);
        }
    });
    CLI::App *show = group->add_subcommand("show", "Print the version in force");
    show->callback([&, base] {
        exitCode = report(options, call(options, http::verb::get, base), [](const json::object &body) {
            printConfig(body);
            std::cout << '\n' << cell(body.at("text"));
        });
    });
    if (kind == "sheet") {
        CLI::App *diff = group->add_subcommand("diff", "Show what a file would change");
        diff->add_option("file", file, "file to compare")->required();
        diff->callback([&, send] {
            if (const auto result = send("/diff")) {
                exitCode = report(options, *result, [](const json::object &body) {
                    printTable(body.at("changes").as_array(), {"kind", "name", "before", "after"});
                });
            }
        });
    }
}

void addPoolCommands(CLI::App &app, OperatorOptions &options, std::string &name, int &exitCode)
{
    CLI::App *group = app.add_subcommand("pool", "Pools and their budgets");
    group->require_subcommand(1);
    group->footer("Example: briarvane pool show rosters");
    const auto printRows = [](const json::object &body) {
        printTable(body.at("pools").as_array(),
                   {"id", "instances", "serving", "disrupted", "disruption_limit", "spare", "services"});
    };
    group->add_subcommand("list", "All pools")->callback([&, printRows] {
        exitCode = report(options, call(options, http::verb::get, "/v1/pools"), printRows);
    });
    CLI::App *show = group->add_subcommand("show", "One pool");
    show->add_option("pool", name, "pool")->required();
    show->callback([&, printRows] {
        const CallResult result = call(options, http::verb::get, "/v1/pools/" + encodePercent(name));
        exitCode = report(options, result, printRows);
        if (exitCode == 0 && result.body.at("pools").as_array().empty()) {
            std::cerr << "briarvane: no pool is named " << name << '\n';
            exitCode = code(ExitCode::Failed);
        }
    });
}

/// Polls an instance until it is drained or active in `targetPool`, or until `limit` has passed. Prints a line for each
/// change of the instance's state, with the entries that still block its drain.
int followInstance(const OperatorOptions &options, const std::string &id, const std::string &targetPool,
                   std::chrono::seconds limit)
{
    std::string lastLine;
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        const CallResult result = call(options, http::verb::get, "/v1/instances/" + encodePercent(id));
        if (result.status != 200 || result.body.at("instances").as_array().empty()) {
            printProblem(result);
            return code(ExitCode::Unavailable);
        }
        const json::object &instance = result.body.at("instances").as_array().front().as_object();
        std::string line = id + " in pool " + cell(instance.at("pool")) + " is " + cell(instance.at("state"));
        if (const json::value *waitingFor = instance.if_contains("waiting_for");
            waitingFor != nullptr && !waitingFor->as_array().empty()) {
            line += ", waits for " + cell(*waitingFor);
        }
        if (line != lastLine && !options.asJson) {
            std::cout << line << std::endl;
            lastLine = line;
        }
        if (cell(instance.at("state")) == "drained"
            || (cell(instance.at("state")) == "active" && cell(instance.at("pool")) == targetPool)) {
            return code(ExitCode::Ok);
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    std::cerr << "briarvane: not finished within the time of --wait-s; the change continues\n";
    return code(ExitCode::Partial);
}

/// Arguments of the pool, instance and wave commands.
struct TargetArguments
{
    std::string id;
    std::string pool;
    int waitSeconds = 0;
    bool undo = false;
};

void addInstanceCommands(CLI::App &app, OperatorOptions &options, TargetArguments &arguments, int &exitCode)
{
    CLI::App *group = app.add_subcommand("instance", "Instances, their pools and drains");
    group->require_subcommand(1);
    group->footer("Example: briarvane instance move rosters-3 --to orders --wait-s 60");
    const auto printRows = [](const json::object &body) {
        printTable(body.at("instances").as_array(),
                   {"id", "pool", "state", "purpose", "target", "wave", "presence", "address", "data_centre", "rack",
                    "waiting_for"});
    };
    group->add_subcommand("list", "All instances")->callback([&, printRows] {
        exitCode = report(options, call(options, http::verb::get, "/v1/instances"), printRows);
    });
    CLI::App *show = group->add_subcommand("show", "One instance");
    show->add_option("instance", arguments.id, "instance")->required();
    show->callback([&, printRows] {
        exitCode = report(options, call(options, http::verb::get, "/v1/instances/" + encodePercent(arguments.id)),
                          printRows);
    });
    CLI::App *move = group->add_subcommand("move", "Move an instance to another pool, after its requests have ended");
    move->add_option("instance", arguments.id, "instance")->required();
    move->add_option("--to", arguments.pool, "pool that the instance moves to")->required();
    CLI::App *drain = group->add_subcommand("drain", "Give an instance no new work");
    drain->add_option("instance", arguments.id, "instance")->required();
    drain->add_flag("--undo", arguments.undo, "cancel the drain, so that the instance serves again");
    for (CLI::App *command : {move, drain}) {
        command
            ->add_option("--wait-s", arguments.waitSeconds,
                         "wait until the change has finished, at most this many seconds")
            ->check(CLI::Range(0, 86400));
    }
    const auto runAction = [&](const std::string &action, const std::string &targetPool) {
        const CallResult result
            = call(options, http::verb::post, "/v1/instances/" + encodePercent(arguments.id) + "/" + action);
        exitCode = report(options, result, printApplied);
        if (arguments.waitSeconds > 0 && (exitCode == code(ExitCode::Ok) || exitCode == code(ExitCode::Partial))) {
            exitCode = followInstance(options, arguments.id, targetPool, std::chrono::seconds(arguments.waitSeconds));
        }
    };
    move->callback([&, runAction] { runAction("move?pool=" + encodePercent(arguments.pool), arguments.pool); });
    drain->callback([&, runAction] { runAction(arguments.undo ? "undrain" : "drain", ""); });
}

/// Polls a wave until it is done, paused or aborted, or until `limit` has passed. Prints a line for each change of the
/// wave's progress.
int followWave(const OperatorOptions &options, const std::string &id, std::chrono::seconds limit)
{
    std::string lastLine;
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        const CallResult result = call(options, http::verb::get, "/v1/waves");
        const json::value *wave = result.status == 200 ? result.body.at("waves").as_object().if_contains(id) : nullptr;
        if (wave == nullptr) {
            printProblem(result);
            return code(ExitCode::Unavailable);
        }
        const std::string state = cell(wave->at("state"));
        const auto sizeOf = [wave](const char *list) { return wave->at(list).as_array().size(); };
        std::ostringstream text;
        text << "wave " << id << " is " << state << ": waiting " << sizeOf("waiting") << ", running "
             << cell(wave->at("running")) << ", finished " << sizeOf("finished") << ' ' << cell(wave->at("reason"));
        const std::string line = text.str();
        if (line != lastLine && !options.asJson) {
            std::cout << line << std::endl;
            lastLine = line;
        }
        if (state == "done") {
            return code(ExitCode::Ok);
        }
        if (state == "paused" || state == "aborted") {
            return code(ExitCode::Failed);
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    std::cerr << "briarvane: not finished within the time of --wait-s; the wave continues\n";
    return code(ExitCode::Partial);
}

void addWaveCommands(CLI::App &app, OperatorOptions &options, TargetArguments &arguments, int &exitCode)
{
    CLI::App *group = app.add_subcommand("wave", "Maintenance waves");
    group->require_subcommand(1);
    group->footer("Example: briarvane wave start friday --pool rosters --wait-s 600");
    CLI::App *show = group->add_subcommand("show", "All waves");
    show->callback([&] {
        exitCode = report(options, call(options, http::verb::get, "/v1/waves"), [](const json::object &body) {
            printTable(namedRows(body.at("waves")), {"id", "pool", "state", "waiting", "running", "reason"});
        });
    });
    for (const std::string action : {"start", "pause", "resume", "abort"}) {
        CLI::App *command = group->add_subcommand(action, action + " a wave");
        command->add_option("wave", arguments.id, "name of the wave")->required();
        command
            ->add_option("--wait-s", arguments.waitSeconds, "wait until the wave has ended, at most this many seconds")
            ->check(CLI::Range(0, 86400));
        if (action == "start") {
            command->add_option("--pool", arguments.pool, "pool whose instances are rebooted")->required();
        }
        command->callback([&, action] {
            const std::string target
                = "/v1/waves/" + encodePercent(arguments.id) + "/" + action + "?pool=" + encodePercent(arguments.pool);
            exitCode = report(options, call(options, http::verb::post, target), printApplied);
            if (arguments.waitSeconds > 0 && (exitCode == code(ExitCode::Ok) || exitCode == code(ExitCode::Partial))) {
                exitCode = followWave(options, arguments.id, std::chrono::seconds(arguments.waitSeconds));
            }
        });
    }
}

// Commands that run an entry ------------------------------------------------------------------------------------------

int startEntry(const std::map<std::string, std::string> &flags, bool checkOnly)
{
    std::map<std::string, std::string> environment;
    for (const SettingSpec &spec : entrySettingSpecs()) {
        if (const char *value = std::getenv(environmentName(spec.name).c_str()); value != nullptr) {
            environment[std::string(spec.name)] = value;
        }
    }
    const EntrySettingsCheck check = checkEntrySettings(flags, environment);
    if (checkOnly) {
        for (const SettingValue &value : check.effective) {
            std::cout << value.name << " = " << value.value << "  (" << value.source << ")\n";
        }
    }
    for (const std::string &error : check.errors) {
        std::cerr << "briarvane entry: " << error << '\n';
    }
    if (!check.errors.empty()) {
        return code(ExitCode::Usage);
    }
    return checkOnly ? code(ExitCode::Ok) : runEntry(check.settings);
}

/// Flags of `briarvane serve`. All are checked before the entry opens ports or connections.
struct ServeArguments
{
    JobEntrySettings settings;
    std::string listen;
    std::string readiness;
    std::string metrics;
    std::string store;
    std::string machines;
    std::string advice;
    std::string orders = "invocation";
    int maxLeaseMs = 6000;
    int stopTimeMs = 400;
    int fleetOwnerPauseMs = 3000;
    double gracePeriodS = 6;
    double statusRetentionS = 120;
    int configApplyMs = 3000;
    bool checkOnly = false;
};

int startServe(ServeArguments &arguments)
{
    std::vector<std::string> errors;
    const auto endpoint = [&errors](const std::string &flag, const std::string &text) {
        const auto parsed = parseEndpoint(text);
        if (!parsed) {
            errors.push_back("--" + flag + " '" + text + "' is not an IPv4 address and a port");
        }
        return parsed.value_or(Endpoint{});
    };
    JobEntrySettings &settings = arguments.settings;
    settings.listen = endpoint("listen", arguments.listen);
    settings.readiness = endpoint("readiness", arguments.readiness);
    settings.store = endpoint("store", arguments.store);
    settings.machines = endpoint("machines", arguments.machines);
    if (!arguments.advice.empty()) {
        settings.advice = endpoint("advice", arguments.advice);
    }
    if (!arguments.metrics.empty()) {
        settings.metrics = endpoint("metrics", arguments.metrics);
    }
    if (arguments.orders != "invocation") {
        errors.push_back("--orders '" + arguments.orders
                         + "' is not supported: executors receive commands by invocation only");
    }
    // Upper bound of the lease of a run. The bound is short enough to restart the tasks of a lost executor soon, and
    // long enough for a lease to outlast a takeover by another entry.
    constexpr int leaseLimitMs = 6000;
    settings.runLeaseTime = std::chrono::milliseconds(std::min(arguments.maxLeaseMs, leaseLimitMs));
    settings.longestLease = std::chrono::milliseconds(arguments.maxLeaseMs);
    settings.stopTime = std::chrono::milliseconds(arguments.stopTimeMs);
    settings.fleetOwnerPause = std::chrono::milliseconds(arguments.fleetOwnerPauseMs);
    settings.configApplyTime = std::chrono::milliseconds(arguments.configApplyMs);
    settings.grace = std::chrono::milliseconds(static_cast<int>(arguments.gracePeriodS * 1000));
    // Final states are kept 1.5 times as long as they must stay readable.
    settings.finalStateRetention = std::chrono::milliseconds(static_cast<int>(arguments.statusRetentionS * 1500));
    for (const std::string &error : errors) {
        std::cerr << "briarvane serve: " << error << '\n';
    }
    if (!errors.empty()) {
        return code(ExitCode::Usage);
    }
    return arguments.checkOnly ? code(ExitCode::Ok) : runJobEntry(settings);
}

void addServeCommand(CLI::App &app, ServeArguments &arguments, int &exitCode)
{
    CLI::App *serve = app.add_subcommand("serve", "Run an entry on the users' platform");
    serve->footer("Example: briarvane serve --node e1 --data-centre perth --listen 127.0.0.1:8624 --readiness "
                  "127.0.0.1:8622 --store 127.0.0.1:8621 --machines 127.0.0.1:8620");
    const auto text = [serve](const std::string &name, std::string &value, const std::string &help) {
        std::string variable = environmentName("serve-" + name);
        return serve->add_option("--" + name, value, help)->envname(variable)->capture_default_str();
    };
    text("node", arguments.settings.name, "name of this entry, unique in the deployment")->required();
    text("data-centre", arguments.settings.dataCentre, "data centre of this entry")->required();
    text("listen", arguments.listen, "IPv4 address and port for callers")->required();
    text("readiness", arguments.readiness, "IPv4 address and port for readiness checks and metrics")->required();
    text("metrics", arguments.metrics, "IPv4 address and port for metrics alone");
    text("store", arguments.store, "IPv4 address and port of the key-value store")->required();
    text("machines", arguments.machines, "IPv4 address and port of the machines API")->required();
    text("advice", arguments.advice, "IPv4 address and port of the advice service, if a queue needs one");
    text("orders", arguments.orders, "how executors receive commands: invocation");
    serve
        ->add_option("--settings-file", arguments.settings.settingsFile,
                     "settings file of the platform; a change is logged and takes effect at the next start, since the "
                     "values are passed as flags")
        ->envname("BRIARVANE_SETTINGS");
    text("log-level", arguments.settings.logLevel, "debug, info, warn or error")
        ->check(CLI::IsMember({"debug", "info", "warn", "error"}));
    const auto milliseconds = [serve](const std::string &name, int &value, const std::string &help) {
        serve->add_option("--" + name, value, help)
            ->envname(environmentName("serve-" + name))
            ->check(CLI::Range(1, 3'600'000))
            ->capture_default_str();
    };
    milliseconds("longest-lease-ms", arguments.maxLeaseMs, "longest lease of a run that executors accept, ms");
    milliseconds("config-apply-ms", arguments.configApplyMs,
                 "time within which a new version of the configuration must be in force, ms");
    milliseconds("stop-ms", arguments.stopTimeMs, "time that an executor takes to stop a task, ms");
    milliseconds("holder-turn-ms", arguments.fleetOwnerPauseMs,
                 "least time between requests of two owners of the fleet for the same instance, ms");
    serve->add_option("--cpu-share", arguments.settings.cpuShare, "processor share of this entry, in cores")
        ->envname(environmentName("serve-cpu-share"))
        ->check(CLI::Range(0.01, 64.0))
        ->capture_default_str();
    serve->add_option("--grace-s", arguments.gracePeriodS, "time between SIGTERM and SIGKILL, seconds")
        ->envname(environmentName("serve-grace-s"))
        ->check(CLI::Range(0.1, 3600.0))
        ->capture_default_str();
    serve
        ->add_option("--status-s", arguments.statusRetentionS,
                     "time for which final states of jobs stay readable, seconds")
        ->envname(environmentName("serve-status-s"))
        ->check(CLI::Range(1.0, 864000.0))
        ->capture_default_str();
    serve->add_flag("--check", arguments.checkOnly, "check the settings, then exit");
    serve->callback([&] { exitCode = startServe(arguments); });
}

}

int runCommandLine(const std::vector<std::string> &arguments)
{
    CLI::App app("Fleet capacity and maintenance manager", "briarvane");
    app.require_subcommand(1);
    app.footer("Example: briarvane --operator 127.0.0.1:8081 status\nExit codes: 0 ok, 1 failed, 2 usage, 3 refused, 4 "
               "conflict, 5 unavailable, 6 not confirmed in time");
    OperatorOptions options;
    const char *user = std::getenv("USER");
    options.name = user == nullptr ? "unknown" : user;
    int exitCode = code(ExitCode::Ok);
    std::string output = "table";
    app.add_option("--operator", options.address, "operator port of an entry")
        ->envname("BRIARVANE_OPERATOR")
        ->capture_default_str();
    app.add_option("--token", options.token, "bearer token of the operator port; preferably set in the environment")
        ->envname("BRIARVANE_OPERATOR_TOKEN");
    app.add_option("--name", options.name, "name of the operator, recorded with each change")
        ->envname("BRIARVANE_OPERATOR_NAME");
    app.add_option("--output", output, "table or json")
        ->check(CLI::IsMember({"table", "json"}))
        ->each([&](const std::string &value) { options.asJson = value == "json"; });

    std::map<std::string, std::string> flags;
    bool checkOnly = false;
    CLI::App *entry = app.add_subcommand("entry", "Run an entry");
    entry->footer(
        "Example: briarvane entry --id e1 --data-centre perth --platform embedded --instances orders-1=127.0.0.1:9001");
    entry->add_flag("--check", checkOnly, "check and print the settings, then exit");
    for (const SettingSpec &spec : entrySettingSpecs()) {
        const std::string name(spec.name);
        entry->add_option_function<std::string>(
            "--" + name, [&flags, name](const std::string &value) { flags[name] = value; },
            std::string(spec.help) + "; " + std::string(spec.accepted) + " [" + environmentName(spec.name) + "]");
    }
    entry->callback([&] { exitCode = startEntry(flags, checkOnly); });
    ServeArguments serve;
    addServeCommand(app, serve, exitCode);

    std::string file;
    std::string expected;
    TargetArguments target;
    addConfigCommands(app, options, file, expected, exitCode, "sheet");
    addConfigCommands(app, options, file, expected, exitCode, "alerts");
    addPoolCommands(app, options, target.pool, exitCode);
    addInstanceCommands(app, options, target, exitCode);
    addWaveCommands(app, options, target, exitCode);
    CLI::App *status = app.add_subcommand("status", "What is in force, entries, pools, waves, alarms, requests");
    status->footer("Example: briarvane status --help");
    status->callback([&] { exitCode = report(options, call(options, http::verb::get, "/v1/status"), printStatus); });
    app.add_subcommand("settings", "Print the settings reference")->callback([] { std::cout << settingsReference(); });
    app.add_subcommand("version", "Print the version")->callback([] { std::cout << "briarvane " << Version << '\n'; });

    std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
    try {
        app.parse(reversed);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? code(ExitCode::Ok) : code(ExitCode::Usage);
    }
    return exitCode;
}

}
