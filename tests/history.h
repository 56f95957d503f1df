#pragma once

// Checks the recorded history of a test with callers, upstreams and entries against the guarantees P2 to P8. All times
// are on one clock.
//
// Index
// [1] Events
// [2] History and violations
// [3] Checks

#include "types.h"

#include <algorithm>
#include <map>
#include <set>

namespace briarvane::history
{

// [1] Events ----------------------------------------------------------------------------------------------------------

/// A request of a caller and the outcome that the caller received.
struct CallerEvent
{
    std::string requestId;  // unique; a retry of the caller has another id
    ServiceId service;
    TenantId tenant;
    std::string key;  // idempotency key; empty: none
    bool idempotent = false;
    TimePoint sent;
    TimePoint receivedAt;            // time of the outcome
    std::optional<Outcome> outcome;  // empty: the connection broke or the caller closed it
    bool complete = false;           // the response body had the length that its header states
    std::string requestDigest;       // digest of the request as the upstream receives it
    std::string responseDigest;
};

/// One execution of a request, as the upstream instance logged it.
struct Execution
{
    std::string requestId;  // as received in Briarvane-Request-Id
    ServiceId service;
    TenantId tenant;
    std::string key;
    InstanceId instance;
    TimePoint start;
    TimePoint end;
    bool cut = false;      // the instance stopped or rebooted before it had sent the complete response
    bool planned = false;  // the stop that cut off the execution was planned
    // Time from the acceptance of the instance's drain to the start of the execution. Empty: the instance did not
    // drain.
    std::optional<Duration> drainAge;
    std::string requestDigest;
    std::string responseDigest;  // digest of the complete response
};

/// Records that an entry had a version of a configuration key in force. The events of one start of an entry are in the
/// order of time.
struct VersionSeen
{
    EntryId entry;
    std::uint64_t startId = 0;  // identifies the start of the entry process
    std::string key;
    std::uint64_t version = 0;
    TimePoint at;
};

/// Records that a version was acknowledged to the operator as in force everywhere.
struct VersionAccepted
{
    std::string key;
    std::uint64_t version = 0;
    TimePoint at;
};

/// Records that one version of the fleet value lists the instance in the pool. An instance in several pools has several
/// events.
struct PoolSeen
{
    std::uint64_t fleetVersion = 0;
    InstanceId instance;
    PoolId pool;
};

// [2] History and violations ------------------------------------------------------------------------------------------

struct History
{
    std::vector<CallerEvent> callers;
    std::vector<Execution> executions;
    std::vector<VersionSeen> seen;
    std::vector<VersionAccepted> accepted;
    std::vector<PoolSeen> pools;
};

struct Violation
{
    std::string guarantee;    // "P2" to "P8"
    std::string description;  // what happened, with the ids of the requests, entries or instances involved
};

using Violations = std::vector<Violation>;

/// P6: longest time after the acceptance of an instance's drain in which executions may still begin on the instance.
constexpr Duration DrainingLimit{3'000'000};

// [3] Checks ----------------------------------------------------------------------------------------------------------

/// Finds violations of P2: an instance in two pools of one fleet version.
inline Violations instancesInTwoPools(const History &history)
{
    Violations found;
    std::map<std::pair<std::uint64_t, InstanceId>, std::set<PoolId>> pools;
    for (const PoolSeen &item : history.pools) {
        std::set<PoolId> &poolsOfInstance = pools[{item.fleetVersion, item.instance}];
        poolsOfInstance.insert(item.pool);
        if (poolsOfInstance.size() == 2) {
            found.push_back({"P2",
                             "instance " + item.instance.value + " is in two pools in fleet version "
                                 + std::to_string(item.fleetVersion)});
        }
    }
    return found;
}

/// Finds violations of P3: an answer that is partial, belongs to another request, or was produced by no upstream. A
/// replay for an idempotency key may carry the answer of any execution of the same request body with that key.
inline Violations wrongAnswers(const History &history)
{
    Violations found;
    std::map<std::string, std::vector<const Execution *>> byRequest;
    std::map<std::tuple<ServiceId, TenantId, std::string>, std::vector<const Execution *>> byKey;
    for (const Execution &execution : history.executions) {
        byRequest[execution.requestId].push_back(&execution);
        if (!execution.key.empty()) {
            byKey[{execution.service, execution.tenant, execution.key}].push_back(&execution);
        }
    }
    for (const CallerEvent &caller : history.callers) {
        if (caller.outcome != Outcome::Answered) {
            continue;
        }
        if (!caller.complete) {
            found.push_back({"P3", "request " + caller.requestId + " was answered with a partial body"});
            continue;
        }
        std::vector<const Execution *> candidates = byRequest[caller.requestId];
        if (!caller.key.empty()) {
            const auto &sameKey = byKey[{caller.service, caller.tenant, caller.key}];
            candidates.insert(candidates.end(), sameKey.begin(), sameKey.end());
        }
        const bool matches = std::any_of(candidates.begin(), candidates.end(), [&](const Execution *execution) {
            return execution->responseDigest == caller.responseDigest
                && execution->requestDigest == caller.requestDigest && execution->service == caller.service;
        });
        if (!matches) {
            found.push_back(
                {"P3", "request " + caller.requestId + " was answered with a body that no execution of it produced"});
        }
    }
    return found;
}

/// Finds violations of P4: a request with the outcome not-run, in-progress or key-conflict that was executed under its
/// own id.
inline Violations refusedButExecuted(const History &history)
{
    Violations found;
    std::map<std::string, Outcome> notRun;
    for (const CallerEvent &caller : history.callers) {
        if (caller.outcome == Outcome::NotRun || caller.outcome == Outcome::InProgress
            || caller.outcome == Outcome::KeyConflict) {
            notRun.emplace(caller.requestId, *caller.outcome);
        }
    }
    for (const Execution &execution : history.executions) {
        if (const auto refused = notRun.find(execution.requestId); refused != notRun.end()) {
            found.push_back({"P4",
                             "request " + execution.requestId + " had the outcome "
                                 + std::string(toString(refused->second)) + " but ran on " + execution.instance.value});
        }
    }
    return found;
}

/// Finds violations of P5: a second execution under one idempotency key, or of a request without a key. Executions of
/// idempotent requests are not counted, whether or not these have a key.
inline Violations duplicateExecutions(const History &history)
{
    Violations found;
    std::set<std::string> idempotent;
    for (const CallerEvent &caller : history.callers) {
        if (caller.idempotent) {
            idempotent.insert(caller.requestId);
        }
    }
    std::map<std::tuple<ServiceId, TenantId, std::string>, int> keys;
    std::map<std::string, int> requests;
    for (const Execution &execution : history.executions) {
        if (idempotent.contains(execution.requestId)) {
            continue;
        }
        if (!execution.key.empty() && ++keys[{execution.service, execution.tenant, execution.key}] == 2) {
            found.push_back({"P5",
                             "key " + execution.key + " of service " + execution.service.value
                                 + " ran a second time, on " + execution.instance.value});
        }
        if (execution.key.empty() && ++requests[execution.requestId] == 2) {
            found.push_back(
                {"P5", "request " + execution.requestId + " ran a second time, on " + execution.instance.value});
        }
    }
    return found;
}

/// Finds violations of P6: an execution that began more than DrainingLimit after the drain of its instance was
/// accepted.
inline Violations executionsOnDrainingInstances(const History &history)
{
    Violations found;
    for (const Execution &execution : history.executions) {
        if (execution.drainAge && *execution.drainAge > DrainingLimit) {
            found.push_back({"P6",
                             "request " + execution.requestId + " began on " + execution.instance.value + " "
                                 + std::to_string(execution.drainAge->count() / 1000)
                                 + " ms after its drain was accepted"});
        }
    }
    return found;
}

/// Finds violations of P7: an execution that was cut off by a planned stop of its instance.
inline Violations executionsCutByPlannedStop(const History &history)
{
    Violations found;
    for (const Execution &execution : history.executions) {
        if (execution.cut && execution.planned) {
            found.push_back(
                {"P7",
                 "request " + execution.requestId + " was cut off by the planned stop of " + execution.instance.value});
        }
    }
    return found;
}

/// Finds violations of P8: an entry that went back to an older version without a restart, or that had a version in
/// force after a newer one was accepted. Accepted versions also bind an entry that has restarted.
inline Violations versionRegressions(const History &history)
{
    Violations found;
    std::vector<const VersionSeen *> seen;
    for (const VersionSeen &item : history.seen) {
        seen.push_back(&item);
    }
    std::stable_sort(seen.begin(), seen.end(),
                     [](const VersionSeen *a, const VersionSeen *b) { return a->at < b->at; });
    std::map<std::tuple<EntryId, std::uint64_t, std::string>, std::uint64_t> newest;
    for (const VersionSeen *item : seen) {
        std::uint64_t &last = newest[{item->entry, item->startId, item->key}];
        if (item->version < last) {
            found.push_back({"P8",
                             item->key + " went back from version " + std::to_string(last) + " to "
                                 + std::to_string(item->version) + " at entry " + item->entry.value});
        }
        last = std::max(last, item->version);
        const bool isOutdated
            = std::any_of(history.accepted.begin(), history.accepted.end(), [&](const VersionAccepted &accepted) {
                  return accepted.key == item->key && accepted.at < item->at && accepted.version > item->version;
              });
        if (isOutdated) {
            found.push_back({"P8",
                             item->key + " version " + std::to_string(item->version) + " was in force at entry "
                                 + item->entry.value + " after a newer one was accepted"});
        }
    }
    return found;
}

inline Violations check(const History &history)
{
    Violations violations;
    for (const auto checkGuarantee : {instancesInTwoPools, wrongAnswers, refusedButExecuted, duplicateExecutions,
                                      executionsOnDrainingInstances, executionsCutByPlannedStop, versionRegressions}) {
        const Violations found = checkGuarantee(history);
        violations.insert(violations.end(), found.begin(), found.end());
    }
    return violations;
}

}
