#pragma once

// Checks a recorded run of callers, upstreams and entries against the guarantees P2 to P8. All times are on one clock.
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

/// What a caller sent and what it was told.
struct CallerEvent
{
    std::string requestId;  // one attempt of a caller; unique
    ServiceId service;
    TenantId tenant;
    std::string key;  // idempotency key; empty: none
    bool idempotent = false;
    TimePoint sent;
    TimePoint told;
    std::optional<Outcome> outcome;  // empty: the connection broke or the caller went away
    bool whole = false;              // the body had its announced length
    std::string requestDigest;       // of the request as the upstream sees it
    std::string responseDigest;
};

/// One execution as the upstream instance logged it.
struct Execution
{
    std::string requestId;  // as received in Briarvane-Request-Id
    ServiceId service;
    TenantId tenant;
    std::string key;
    InstanceId instance;
    TimePoint start;
    TimePoint end;
    bool cut = false;                  // the instance stopped, or was rebooted, before the response was out
    bool planned = false;              // with cut: the stop was planned
    std::optional<Duration> drainAge;  // at the start, since the instance's drain was accepted; empty: not leaving
    std::string requestDigest;
    std::string responseDigest;  // of the whole response that it produced
};

/// An entry saw this version of a key as in force; in the order of time per entry and start.
struct VersionSeen
{
    EntryId entry;
    std::uint64_t startId = 0;
    std::string key;
    std::uint64_t version = 0;
    TimePoint at;
};

/// A version was acknowledged to the operator as in force everywhere.
struct VersionAccepted
{
    std::string key;
    std::uint64_t version = 0;
    TimePoint at;
};

/// An instance as one version of the fleet value shows it. Every pool that lists it is one event.
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
    std::string guarantee;  // "P2" to "P8"
    std::string what;       // one sentence with the ids
};

using Violations = std::vector<Violation>;

constexpr Duration LeavingLimit{3'000'000};  // P6

// [3] Checks ----------------------------------------------------------------------------------------------------------

/// P2: an instance in two pools of one fleet version.
inline Violations instanceInTwoPools(const History &history)
{
    Violations found;
    std::map<std::pair<std::uint64_t, InstanceId>, std::set<PoolId>> pools;
    for (const PoolSeen &item : history.pools) {
        std::set<PoolId> &of = pools[{item.fleetVersion, item.instance}];
        of.insert(item.pool);
        if (of.size() == 2) {
            found.push_back({"P2",
                             "instance " + item.instance.value + " is in two pools in fleet version "
                                 + std::to_string(item.fleetVersion)});
        }
    }
    return found;
}

/// P3: an answer that is partial, belongs to another request, or that no upstream produced. A replay of a key may carry
/// the answer of any execution of that key.
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
        if (!caller.whole) {
            found.push_back({"P3", "request " + caller.requestId + " was answered with a partial body"});
            continue;
        }
        std::vector<const Execution *> own = byRequest[caller.requestId];
        if (!caller.key.empty()) {
            const auto &ofKey = byKey[{caller.service, caller.tenant, caller.key}];
            own.insert(own.end(), ofKey.begin(), ofKey.end());
        }
        const bool right = std::any_of(own.begin(), own.end(), [&](const Execution *execution) {
            return execution->responseDigest == caller.responseDigest
                && execution->requestDigest == caller.requestDigest && execution->service == caller.service;
        });
        if (!right) {
            found.push_back(
                {"P3", "request " + caller.requestId + " was answered with a body that no execution of it produced"});
        }
    }
    return found;
}

/// P4: a request that was told not-run, in-progress or key-conflict, but was executed under its own id.
inline Violations toldNotRunButRan(const History &history)
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
        if (const auto told = notRun.find(execution.requestId); told != notRun.end()) {
            found.push_back({"P4",
                             "request " + execution.requestId + " was told " + std::string(toString(told->second))
                                 + " but ran on " + execution.instance.value});
        }
    }
    return found;
}

/// P5: a second execution of an idempotency key, or of the id of a non-idempotent request without a key.
inline Violations secondRuns(const History &history)
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

/// P6: an execution that began on a leaving instance later than the limit.
inline Violations workOnLeaving(const History &history)
{
    Violations found;
    for (const Execution &execution : history.executions) {
        if (execution.drainAge && *execution.drainAge > LeavingLimit) {
            found.push_back({"P6",
                             "request " + execution.requestId + " began on " + execution.instance.value + " "
                                 + std::to_string(execution.drainAge->count() / 1000) + " ms after it began to leave"});
        }
    }
    return found;
}

/// P7: a planned stop cut off a request.
inline Violations cutByPlannedStop(const History &history)
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

/// P8: a version that went back at an entry, or an accepted version that an entry saw an older one after. A new start
/// of an entry may not go back behind a version that was accepted before.
inline Violations versionsGoingBack(const History &history)
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
        const bool behind
            = std::any_of(history.accepted.begin(), history.accepted.end(), [&](const VersionAccepted &accepted) {
                  return accepted.key == item->key && accepted.at < item->at && accepted.version > item->version;
              });
        if (behind) {
            found.push_back({"P8",
                             item->key + " version " + std::to_string(item->version) + " was in force at entry "
                                 + item->entry.value + " after a newer one was accepted"});
        }
    }
    return found;
}

inline Violations check(const History &history)
{
    Violations all;
    for (const auto function : {instanceInTwoPools, wrongAnswers, toldNotRunButRan, secondRuns, workOnLeaving,
                                cutByPlannedStop, versionsGoingBack}) {
        const Violations found = function(history);
        all.insert(all.end(), found.begin(), found.end());
    }
    return all;
}

}
