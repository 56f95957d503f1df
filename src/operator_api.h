#pragma once

// The operator API of an entry: JSON over HTTP on the operator port. The API does not depend on the HTTP server; the
// entry process passes each request to OperatorApi::handle().
//
// Index
// [1] Requests and replies
// [2] Callbacks supplied by the daemon
// [3] The API

#include "alerts.h"
#include "config.h"
#include "entry_cluster.h"
#include "fleet.h"

#include <boost/json.hpp>

#include <random>

namespace briarvane
{

// [1] Requests and replies --------------------------------------------------------------------------------------------

struct OperatorRequest
{
    std::string method;
    std::string target;         // path and query
    std::string authorization;  // value of the Authorization header
    std::string body;
};

struct OperatorReply
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

using OperatorDone = std::function<void(OperatorReply)>;

struct OperatorTarget
{
    std::vector<std::string> path;             // decoded segments
    std::map<std::string, std::string> query;  // decoded
};

OperatorTarget parseOperatorTarget(std::string_view target);
/// Compares in constant time, so that the response time does not reveal how many characters of the token match.
bool bearerMatches(std::string_view authorization, std::string_view token);
OperatorReply jsonReply(int status, const boost::json::value &value);
OperatorReply errorReply(const Error &error);
boost::json::array sheetErrorsJson(const std::vector<SheetError> &errors);
boost::json::array sheetChangesJson(const std::vector<SheetChange> &changes);

// [2] Callbacks supplied by the daemon --------------------------------------------------------------------------------

/// Each function is called on the I/O thread.
struct EntryCallbacks
{
    std::function<bool()> stopping;
    std::function<std::string()> metricsText;
    /// Calls the given function with one object per service and request class. Each object has the number of requests
    /// by outcome and the quantiles of the queue wait, over all entries that report in time.
    std::function<void(std::function<void(boost::json::array)>)> metricsSummary;
};

// [3] The API ---------------------------------------------------------------------------------------------------------

template<CoordinationService S>
class OperatorApi
{
public:
    OperatorApi(Cluster<S> &cluster, std::string token, EntryCallbacks callbacks)
        : m_cluster(cluster)
        , m_token(std::move(token))
        , m_callbacks(std::move(callbacks))
    {
    }

    /// Calls `done` once. The reply to a change follows when all entries have confirmed the new version, or after a
    /// timeout.
    void handle(const OperatorRequest &request, OperatorDone done);

private:
    using FleetChange = std::function<Result<Fleet>(const Fleet &, const Sheet &)>;

    OperatorReply handleProbe(const std::string &path) const;
    void handleConfig(const OperatorRequest &request, const OperatorTarget &target, bool isSheet,
                      const OperatorDone &done);
    OperatorReply checkConfig(const std::string &text, bool isSheet) const;
    void applyConfig(const OperatorRequest &request, const OperatorTarget &target, bool isSheet,
                     const OperatorDone &done);
    void handleInstances(const OperatorRequest &request, const OperatorTarget &target, const OperatorDone &done);
    void handleWaves(const OperatorRequest &request, const OperatorTarget &target, const OperatorDone &done);
    void changeFleet(const FleetChange &change, int attempts, const OperatorDone &done);
    void confirmInForce(const std::string &key, boost::json::object reply, std::uint64_t version,
                        const OperatorDone &done);

    Sheet sheetInForce() const;
    Fleet fleetInForce() const;
    std::string textInForce(bool isSheet) const;
    boost::json::object configJson(const std::string &key) const;
    boost::json::object instanceJson(const InstanceId &id, const FleetInstance &instance) const;
    boost::json::object poolJson(const PoolSpec &pool, const Fleet &fleet, const Sheet &sheet) const;
    boost::json::object statusJson() const;
    std::string newChangeId();

    static std::int64_t unixMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    Cluster<S> &m_cluster;
    std::string m_token;
    EntryCallbacks m_callbacks;
    std::mt19937_64 m_random{std::random_device{}()};
};

template<CoordinationService S>
void OperatorApi<S>::handle(const OperatorRequest &request, OperatorDone done)
{
    const OperatorTarget target = parseOperatorTarget(request.target);
    if (target.path.size() == 1 && request.method == "GET") {
        done(handleProbe(target.path[0]));
        return;
    }
    if (!bearerMatches(request.authorization, m_token)) {
        done(jsonReply(
            401,
            {{"error", "unauthorized"}, {"message", "the operator port requires the bearer token of this entry"}}));
        return;
    }
    if (target.path.size() < 2 || target.path[0] != "v1") {
        done(jsonReply(404, {{"error", "not-found"}, {"message", "no such resource"}}));
        return;
    }
    const std::string &resource = target.path[1];
    if (resource == "status" && request.method == "GET") {
        m_callbacks.metricsSummary([this, done](boost::json::array requests) {
            boost::json::object status = statusJson();
            status["requests"] = std::move(requests);
            done(jsonReply(200, status));
        });
    } else if (resource == "sheet" || resource == "alerts") {
        handleConfig(request, target, resource == "sheet", done);
    } else if (resource == "pools" && request.method == "GET") {
        const Fleet fleet = fleetInForce();
        const Sheet sheet = sheetInForce();
        boost::json::array pools;
        for (const PoolSpec &pool : sheet.pools) {
            if (target.path.size() < 3 || target.path[2] == pool.id.value) {
                pools.push_back(poolJson(pool, fleet, sheet));
            }
        }
        done(jsonReply(200, {{"pools", std::move(pools)}}));
    } else if (resource == "instances") {
        handleInstances(request, target, done);
    } else if (resource == "waves") {
        handleWaves(request, target, done);
    } else {
        done(jsonReply(404, {{"error", "not-found"}, {"message", "no such resource"}}));
    }
}

template<CoordinationService S>
OperatorReply OperatorApi<S>::handleProbe(const std::string &path) const
{
    if (path == "healthz") {
        return {200, "text/plain", "ok\n"};
    }
    if (path == "metrics") {
        return {200, "text/plain; version=0.0.4", m_callbacks.metricsText()};
    }
    if (path == "readyz") {
        if (m_callbacks.stopping()) {
            return {503, "text/plain", "stopping\n"};
        }
        if (m_cluster.inForce("config/sheet").version == 0) {
            return {503, "text/plain", "no sheet in force\n"};
        }
        const ViewState view = m_cluster.membership().viewState(m_cluster.now());
        const bool ready = m_cluster.membership().mayStartWork(m_cluster.now());
        return {ready ? 200 : 503, "text/plain", std::string(toString(view)) + "\n"};
    }
    return jsonReply(404, {{"error", "not-found"}, {"message", "no such resource"}});
}

template<CoordinationService S>
void OperatorApi<S>::handleConfig(const OperatorRequest &request, const OperatorTarget &target, bool isSheet,
                                  const OperatorDone &done)
{
    const std::string action = target.path.size() > 2 ? target.path[2] : "";
    if (request.method == "GET" && action.empty()) {
        boost::json::object reply = configJson(isSheet ? "config/sheet" : "config/alerts");
        reply["text"] = textInForce(isSheet);
        done(jsonReply(200, reply));
    } else if (request.method == "POST" && action == "check") {
        done(checkConfig(request.body, isSheet));
    } else if (request.method == "POST" && action == "diff" && isSheet) {
        OperatorReply check = checkConfig(request.body, isSheet);
        if (check.status == 200) {
            check = jsonReply(
                200, {{"changes", sheetChangesJson(diffSheets(sheetInForce(), parseSheet(request.body).sheet))}});
        }
        done(std::move(check));
    } else if (request.method == "POST" && action.empty()) {
        applyConfig(request, target, isSheet, done);
    } else {
        done(jsonReply(404, {{"error", "not-found"}, {"message", "no such action"}}));
    }
}

template<CoordinationService S>
OperatorReply OperatorApi<S>::checkConfig(const std::string &text, bool isSheet) const
{
    boost::json::array errors;
    if (isSheet) {
        errors = sheetErrorsJson(parseSheet(text).errors);
    } else {
        for (const AlertError &error : parseAlerts(text).errors) {
            errors.push_back(
                boost::json::object{{"row", error.line}, {"value", error.value}, {"accepted", error.accepted}});
        }
    }
    if (errors.empty()) {
        return jsonReply(200, {{"digest", textDigest(text)}, {"errors", boost::json::array{}}});
    }
    return jsonReply(422,
                     {{"error", "invalid"},
                      {"message", "the file has errors; the version in force is unchanged"},
                      {"errors", std::move(errors)}});
}

template<CoordinationService S>
void OperatorApi<S>::applyConfig(const OperatorRequest &request, const OperatorTarget &target, bool isSheet,
                                 const OperatorDone &done)
{
    const OperatorReply check = checkConfig(request.body, isSheet);
    if (check.status != 200) {
        done(check);
        return;
    }
    const std::string key = isSheet ? "config/sheet" : "config/alerts";
    const StoreValue current = m_cluster.inForce(key);
    const auto expected = target.query.find("expected");
    if (expected != target.query.end() && expected->second != std::to_string(current.version)) {
        boost::json::object reply = configJson(key);
        reply["error"] = "conflict";
        reply["message"] = "version " + std::to_string(current.version) + " is in force, not " + expected->second;
        done(jsonReply(409, reply));
        return;
    }
    ConfigValue value{request.body, textDigest(request.body), newChangeId(), "", unixMs()};
    const auto name = target.query.find("operator");
    value.operatorName = name == target.query.end() ? "unknown" : name->second;
    const auto present = parseConfig(current.value);
    if (present && present.value().digest == value.digest) {
        boost::json::object reply = configJson(key);
        reply["changed"] = false;
        confirmInForce(key, std::move(reply), current.version, done);
        return;
    }
    m_cluster.change(key, current.version, formatConfig(value),
                     [this, key, isSheet, value, done](Result<StoreValue> result) {
                         if (!result) {
                             boost::json::object reply{{"error", toString(result.error().code)},
                                                       {"message", result.error().message}};
                             if (result.error().code == ErrorCode::Conflict) {
                                 reply["in_force"] = configJson(key);
                                 if (isSheet) {
                                     reply["difference"]
                                         = sheetChangesJson(diffSheets(sheetInForce(), parseSheet(value.text).sheet));
                                 }
                             }
                             OperatorReply failed = errorReply(result.error());
                             failed.body = boost::json::serialize(reply) + "\n";
                             done(std::move(failed));
                             return;
                         }
                         boost::json::object reply = configJson(key);
                         reply["changed"] = true;
                         confirmInForce(key, std::move(reply), result.value().version, done);
                     });
}

template<CoordinationService S>
void OperatorApi<S>::confirmInForce(const std::string &key, boost::json::object reply, std::uint64_t version,
                                    const OperatorDone &done)
{
    constexpr Duration confirmTimeout{3'000'000};  // a change is expected to be in force on all entries within 3 s
    m_cluster.waitInForce(key, version, confirmTimeout,
                          [reply = std::move(reply), done](const std::vector<EntryId> &missing) mutable {
                              boost::json::array names;
                              for (const EntryId &entry : missing) {
                                  names.emplace_back(entry.value);
                              }
                              reply["in_force_everywhere"] = names.empty();
                              reply["missing"] = std::move(names);
                              done(jsonReply(200, reply));
                          });
}

template<CoordinationService S>
void OperatorApi<S>::handleInstances(const OperatorRequest &request, const OperatorTarget &target,
                                     const OperatorDone &done)
{
    if (request.method == "GET") {
        boost::json::array list;
        for (const auto &[id, instance] : fleetInForce().instances) {
            if (target.path.size() < 3 || target.path[2] == id.value) {
                list.push_back(instanceJson(id, instance));
            }
        }
        done(jsonReply(200, {{"instances", std::move(list)}}));
        return;
    }
    const std::string action = target.path.size() == 4 ? target.path[3] : "";
    const InstanceId id{target.path.size() > 2 ? target.path[2] : ""};
    if (request.method != "POST") {
        done(jsonReply(405, {{"error", "invalid"}, {"message", "instances accept GET and POST"}}));
    } else if (action == "move") {
        const auto pool = target.query.find("pool");
        const PoolId targetPool{pool == target.query.end() ? "" : pool->second};
        changeFleet(
            [this, id, targetPool](const Fleet &fleet, const Sheet &sheet) {
                return moveInstance(fleet, id, targetPool, sheet, m_cluster.instances(), unixMs());
            },
            5, done);
    } else if (action == "drain") {
        changeFleet(
            [this, id](const Fleet &fleet, const Sheet &sheet) {
                return drainInstance(fleet, id, sheet, m_cluster.instances(), unixMs());
            },
            5, done);
    } else if (action == "undrain") {
        changeFleet([id](const Fleet &fleet, const Sheet &) { return undrainInstance(fleet, id, unixMs()); }, 5, done);
    } else {
        done(jsonReply(404, {{"error", "not-found"}, {"message", "no such action"}}));
    }
}

template<CoordinationService S>
void OperatorApi<S>::handleWaves(const OperatorRequest &request, const OperatorTarget &target, const OperatorDone &done)
{
    if (request.method == "GET") {
        const boost::json::value fleet = boost::json::parse(formatFleet(fleetInForce()));
        done(jsonReply(200, {{"waves", fleet.at("waves")}}));
        return;
    }
    const std::string id = target.path.size() > 2 ? target.path[2] : "";
    const std::string action = target.path.size() > 3 ? target.path[3] : "";
    if (action == "start") {
        const auto pool = target.query.find("pool");
        const PoolId poolId{pool == target.query.end() ? "" : pool->second};
        changeFleet(
            [this, id, poolId](const Fleet &fleet, const Sheet &) {
                return startWave(fleet, id, poolId, m_cluster.instances(), unixMs());
            },
            5, done);
    } else if (action == "pause") {
        changeFleet([id](const Fleet &fleet, const Sheet &) { return pauseWave(fleet, id, "paused by an operator"); },
                    5, done);
    } else if (action == "resume") {
        changeFleet([id](const Fleet &fleet, const Sheet &) { return resumeWave(fleet, id); }, 5, done);
    } else if (action == "abort") {
        changeFleet([id](const Fleet &fleet, const Sheet &) { return abortWave(fleet, id, unixMs()); }, 5, done);
    } else {
        done(jsonReply(404, {{"error", "not-found"}, {"message", "no such action"}}));
    }
}

/// Changes the fleet value. After a conflict the change is retried, up to `attempts` attempts in all, because the fleet
/// step of another entry may change the value at the same time. Each retry checks and applies the change to the newer
/// value.
template<CoordinationService S>
void OperatorApi<S>::changeFleet(const FleetChange &change, int attempts, const OperatorDone &done)
{
    if (!m_cluster.membership().mayAcceptDrain(m_cluster.now())) {
        done(errorReply({ErrorCode::Unavailable,
                         "this entry reaches too few entries to guarantee that drained instances get no new work"}));
        return;
    }
    const StoreValue current = m_cluster.inForce("fleet");
    Result<Fleet> next = change(fleetInForce(), sheetInForce());
    if (!next) {
        done(errorReply(next.error()));
        return;
    }
    Fleet fleet = std::move(next.value());
    ++fleet.change;
    fleet.changeId = newChangeId();
    m_cluster.change("fleet", current.version, formatFleet(fleet),
                     [this, change, attempts, done](Result<StoreValue> result) {
                         if (result) {
                             confirmInForce("fleet", {{"accepted", true}}, result.value().version, done);
                         } else if (result.error().code == ErrorCode::Conflict && attempts > 1) {
                             changeFleet(change, attempts - 1, done);
                         } else {
                             done(errorReply(result.error()));
                         }
                     });
}

template<CoordinationService S>
Sheet OperatorApi<S>::sheetInForce() const
{
    return parseSheet(textInForce(true)).sheet;
}

template<CoordinationService S>
Fleet OperatorApi<S>::fleetInForce() const
{
    const auto fleet = parseFleet(m_cluster.inForce("fleet").value);
    return fleet ? fleet.value() : Fleet{};
}

template<CoordinationService S>
std::string OperatorApi<S>::textInForce(bool isSheet) const
{
    const auto value = parseConfig(m_cluster.inForce(isSheet ? "config/sheet" : "config/alerts").value);
    return value ? value.value().text : std::string();
}

template<CoordinationService S>
boost::json::object OperatorApi<S>::configJson(const std::string &key) const
{
    const StoreValue &current = m_cluster.inForce(key);
    const auto value = parseConfig(current.value);
    const ConfigValue shown = value ? value.value() : ConfigValue{};
    return {{"version", current.version},
            {"digest", shown.digest},
            {"change_id", shown.changeId},
            {"operator", shown.operatorName},
            {"applied_ms", shown.appliedMs}};
}

template<CoordinationService S>
boost::json::object OperatorApi<S>::instanceJson(const InstanceId &id, const FleetInstance &instance) const
{
    boost::json::object object{{"id", id.value},
                               {"pool", instance.pool.value},
                               {"state", toString(instance.state)},
                               {"purpose", toString(instance.purpose)},
                               {"target", instance.target.value},
                               {"wave", instance.wave},
                               {"presence", "unlisted"}};
    for (const InstanceRecord &record : m_cluster.instances()) {
        if (record.id == id) {
            object["presence"] = toString(record.presence);
            object["address"] = record.address + ":" + std::to_string(record.port);
            object["data_centre"] = record.dataCentre;
            object["rack"] = record.rack;
        }
    }
    if (instance.state == InstanceState::Draining) {
        boost::json::array blockers;
        for (const EntryId &entry :
             m_cluster.membership().drainBlockers(id, m_cluster.inForce("fleet").version, m_cluster.now())) {
            blockers.emplace_back(entry.value);
        }
        object["waiting_for"] = std::move(blockers);
    }
    return object;
}

template<CoordinationService S>
boost::json::object OperatorApi<S>::poolJson(const PoolSpec &pool, const Fleet &fleet, const Sheet &sheet) const
{
    const auto size = std::count_if(fleet.instances.begin(), fleet.instances.end(),
                                    [&](const auto &item) { return item.second.pool == pool.id; });
    boost::json::array services;
    for (const ServiceSpec &service : sheet.services) {
        if (service.pool == pool.id) {
            services.emplace_back(service.id.value);
        }
    }
    return {{"id", pool.id.value},
            {"spare", pool.spare},
            {"services", std::move(services)},
            {"instances", size},
            {"serving", admitted(fleet, pool.id, m_cluster.instances()).size()},
            {"disrupted", disrupted(fleet, pool.id, m_cluster.instances())},
            {"disruption_limit", disruptionLimit(fleet, pool.id, sheet)}};
}

template<CoordinationService S>
boost::json::object OperatorApi<S>::statusJson() const
{
    const TimePoint now = m_cluster.now();
    Membership &membership = m_cluster.membership();
    boost::json::array entries;
    const std::vector<EntryId> live = membership.live(now);
    for (const EntryId &id : membership.listed()) {
        const EntryStatus *entry = membership.entry(id);
        boost::json::object object{{"id", id.value}, {"live", std::count(live.begin(), live.end(), id) > 0}};
        if (entry != nullptr) {
            object["data_centre"] = entry->dataCentre;
            object["stopping"] = entry->stopping;
            boost::json::object inForce;
            for (const auto &[key, version] : entry->inForce) {
                inForce[key] = version;
            }
            object["in_force"] = std::move(inForce);
        }
        entries.push_back(std::move(object));
    }
    const Fleet fleet = fleetInForce();
    const Sheet sheet = sheetInForce();
    boost::json::array pools;
    for (const PoolSpec &pool : sheet.pools) {
        pools.push_back(poolJson(pool, fleet, sheet));
    }
    boost::json::object waves;
    for (const auto &[id, wave] : fleet.waves) {
        waves[id] = boost::json::object{{"pool", wave.pool.value},        {"state", toString(wave.state)},
                                        {"reason", wave.reason},          {"waiting", wave.waiting.size()},
                                        {"running", wave.running.size()}, {"finished", wave.finished.size()}};
    }
    const auto alarms = parseAlertState(m_cluster.inForce("alarms").value);
    const std::vector<AlertRule> rules = parseAlerts(textInForce(false)).rules;
    return {{"entry", membership.self().value},
            {"view", toString(membership.viewState(now))},
            {"store_down", membership.coordinationDown(now)},
            {"sheet", configJson("config/sheet")},
            {"alerts", configJson("config/alerts")},
            {"fleet",
             boost::json::object{{"version", m_cluster.inForce("fleet").version},
                                 {"change", fleet.change},
                                 {"sheet", fleet.sheetDigest},
                                 {"intended_moves", fleet.intended.size()}}},
            {"entries", std::move(entries)},
            {"pools", std::move(pools)},
            {"waves", std::move(waves)},
            {"alarms", boost::json::parse(formatRaisedAlarms(alarms ? alarms.value() : AlertState{}, rules))}};
}

template<CoordinationService S>
std::string OperatorApi<S>::newChangeId()
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(m_random()));
    return m_cluster.membership().self().value + "-" + text;
}

}
