#include "fleet.h"

#include "statechart.h"

#include <boost/json.hpp>

#include <algorithm>

namespace briarvane
{

namespace
{

namespace json = boost::json;

using InstanceChart = Chart<InstanceState, InstanceEvent>;
using WaveChart = Chart<WaveState, WaveEvent, WaveGuard>;

/// The charts are part of the binary, so an unreadable chart means a broken build and terminates the process.
const InstanceChart &instanceChart()
{
    static const InstanceChart chart = embeddedChart<InstanceChart>("instance").value();
    return chart;
}

const WaveChart &waveChart()
{
    static const WaveChart chart = embeddedChart<WaveChart>("wave").value();
    return chart;
}

/// Applies an event to the wave. Returns false and leaves the wave unchanged when the chart has no such transition.
bool apply(Wave &wave, WaveEvent event)
{
    const auto state
        = next(waveChart(), wave.state, event, [&wave](WaveGuard) { return wave.finished.size() >= CanaryCount; });
    if (!state) {
        return false;
    }
    wave.state = state.value();
    return true;
}

bool apply(FleetInstance &instance, InstanceEvent event, std::int64_t nowMs)
{
    const auto state = next(instanceChart(), instance.state, event);
    if (!state) {
        return false;
    }
    instance.state = state.value();
    instance.sinceMs = nowMs;
    if (instance.state == InstanceState::Active) {
        instance.purpose = Purpose::None;
        instance.target = {};
        instance.wave.clear();
    }
    return true;
}

const InstanceRecord *findRecord(const std::vector<InstanceRecord> &records, const InstanceId &id)
{
    const auto found
        = std::find_if(records.begin(), records.end(), [&](const InstanceRecord &record) { return record.id == id; });
    return found == records.end() ? nullptr : &*found;
}

bool isLive(const std::vector<InstanceRecord> &records, const InstanceId &id)
{
    const InstanceRecord *record = findRecord(records, id);
    return record != nullptr && record->presence == Presence::Live;
}

int poolSize(const Fleet &fleet, const PoolId &pool)
{
    return static_cast<int>(std::count_if(fleet.instances.begin(), fleet.instances.end(),
                                          [&](const auto &item) { return item.second.pool == pool; }));
}

const PoolSpec *findPool(const Sheet &sheet, const PoolId &pool)
{
    const auto found = std::find_if(sheet.pools.begin(), sheet.pools.end(),
                                    [&](const PoolSpec &poolSpec) { return poolSpec.id == pool; });
    return found == sheet.pools.end() ? nullptr : &*found;
}

std::string describeBudget(const Fleet &fleet, const PoolId &pool, const Sheet &sheet,
                           const std::vector<InstanceRecord> &records)
{
    return std::to_string(disrupted(fleet, pool, records)) + " of at most "
        + std::to_string(disruptionLimit(fleet, pool, sheet)) + " instances of pool " + pool.value + " are disrupted";
}

bool budgetAllows(const Fleet &fleet, const PoolId &pool, const Sheet &sheet,
                  const std::vector<InstanceRecord> &records)
{
    return disrupted(fleet, pool, records) < disruptionLimit(fleet, pool, sheet);
}

/// Whether an instance may leave the pool: the disruption budget allows one more, and the pool keeps its minimum size
/// without this instance and those that are already leaving.
bool moveAllowed(const Fleet &fleet, const PoolId &from, const Sheet &sheet, const std::vector<InstanceRecord> &records)
{
    if (!budgetAllows(fleet, from, sheet, records)) {
        return false;
    }
    const PoolSpec *poolSpec = findPool(sheet, from);
    const int leaving
        = static_cast<int>(std::count_if(fleet.instances.begin(), fleet.instances.end(), [&](const auto &item) {
              const Purpose purpose = item.second.purpose;
              return item.second.pool == from && (purpose == Purpose::Move || purpose == Purpose::Remove);
          }));
    return poolSpec == nullptr || poolSize(fleet, from) - leaving - 1 >= poolSpec->minInstances;
}

void beginDrain(FleetInstance &instance, Purpose purpose, const PoolId &target, std::int64_t nowMs)
{
    apply(instance, InstanceEvent::Drain, nowMs);
    instance.purpose = purpose;
    instance.target = target;
}

Result<Wave *> findWave(Fleet &fleet, const std::string &id)
{
    const auto found = fleet.waves.find(id);
    if (found == fleet.waves.end()) {
        return Error{ErrorCode::NotFound, "no wave is named " + id};
    }
    return &found->second;
}

bool hasEnded(const Wave &wave)
{
    return wave.state == WaveState::Done || wave.state == WaveState::Aborted;
}

bool hasNoInstancesLeft(const Wave &wave)
{
    return wave.waiting.empty() && wave.running.empty();
}

/// Orders the ids round-robin by rack, so that the first instances are in different racks and no rack is taken down as
/// a whole at once.
std::vector<InstanceId> interleaveRacks(const std::vector<InstanceId> &ids, const std::vector<InstanceRecord> &records)
{
    std::map<std::string, std::vector<InstanceId>> racks;
    for (const InstanceId &id : ids) {
        const InstanceRecord *record = findRecord(records, id);
        racks[record == nullptr ? "" : record->dataCentre + "/" + record->rack].push_back(id);
    }
    std::vector<InstanceId> order;
    for (std::size_t position = 0; order.size() < ids.size(); ++position) {
        for (const auto &[rack, members] : racks) {
            if (position < members.size()) {
                order.push_back(members[position]);
            }
        }
    }
    return order;
}

void eraseId(std::vector<InstanceId> &ids, const InstanceId &id)
{
    ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
}

/// State of one call of stepFleet().
struct Stepper
{
    Fleet &fleet;
    const Sheet &sheet;
    const FleetObservation &observation;
    std::int64_t nowMs;
    std::vector<std::string> &notices;

    void applySheet(const std::string &digest);
    void addIntendedMoves(const MoveSpec &move);
    void advanceInstances();
    void advanceInstance(const InstanceId &id, FleetInstance &instance);
    void finishWaveInstance(const std::string &waveId, const InstanceId &id, bool succeeded);
    void startIntendedMoves();
    void advanceWaves();
    void evaluateWave(const std::string &id, Wave &wave);
    void startWaveInstances(const std::string &id, Wave &wave);
    bool windowAllows(const PoolId &pool) const;
};

void Stepper::applySheet(const std::string &digest)
{
    if (sheet.pools.empty() || digest.empty() || fleet.sheetDigest == digest) {
        return;
    }
    fleet.sheetDigest = digest;
    fleet.intended.clear();
    std::set<InstanceId> listed;
    for (const InstanceSpec &instanceSpec : sheet.instances) {
        listed.insert(instanceSpec.id);
        const auto [position, isNew]
            = fleet.instances.try_emplace(instanceSpec.id, FleetInstance{.pool = instanceSpec.pool, .sinceMs = nowMs});
        if (!isNew && position->second.pool != instanceSpec.pool) {
            fleet.intended[instanceSpec.id] = instanceSpec.pool;
        }
    }
    for (const auto &[id, instance] : fleet.instances) {
        if (listed.count(id) == 0) {
            fleet.intended[id] = {};
        }
    }
    for (const MoveSpec &move : sheet.moves) {
        addIntendedMoves(move);
    }
    notices.push_back("sheet " + digest + " is applied to the fleet, with " + std::to_string(fleet.intended.size())
                      + " instances to move or remove");
}

void Stepper::addIntendedMoves(const MoveSpec &move)
{
    int remaining = move.count;
    for (const auto &[id, instance] : fleet.instances) {
        if (remaining > 0 && instance.pool == move.from && fleet.intended.count(id) == 0) {
            fleet.intended[id] = move.to;
            --remaining;
        }
    }
}

void Stepper::advanceInstances()
{
    std::vector<InstanceId> removed;
    for (auto &[id, instance] : fleet.instances) {
        advanceInstance(id, instance);
        if (instance.state == InstanceState::Drained && instance.purpose == Purpose::Remove) {
            removed.push_back(id);
        }
    }
    for (const InstanceId &id : removed) {
        fleet.instances.erase(id);
        fleet.intended.erase(id);
        notices.push_back("instance " + id.value + " was removed");
    }
}

void Stepper::advanceInstance(const InstanceId &id, FleetInstance &instance)
{
    if (instance.state == InstanceState::Draining && observation.released.count(id) != 0) {
        apply(instance, InstanceEvent::Released, nowMs);
    }
    if (instance.state == InstanceState::Drained && instance.purpose == Purpose::Move) {
        const PoolId target = instance.target;
        notices.push_back("instance " + id.value + " moved from " + instance.pool.value + " to " + target.value);
        apply(instance, InstanceEvent::Moved, nowMs);
        instance.pool = target;
        const auto intended = fleet.intended.find(id);
        if (intended != fleet.intended.end() && intended->second == target) {
            fleet.intended.erase(intended);
        }
    }
    if (instance.state == InstanceState::Drained && instance.purpose == Purpose::Reboot) {
        apply(instance, InstanceEvent::Reboot, nowMs);
    } else if (instance.state == InstanceState::Rebooting && observation.rebooted.count(id) != 0) {
        apply(instance, InstanceEvent::Back, nowMs);
    }
    const auto verified = observation.verified.find(id);
    if (verified == observation.verified.end()) {
        return;
    }
    const std::string wave = instance.wave;
    if (instance.state == InstanceState::Failed && verified->second) {
        apply(instance, InstanceEvent::Recover, nowMs);
        notices.push_back("instance " + id.value + " serves again");
    } else if (instance.state == InstanceState::Verifying
               || (instance.state == InstanceState::Rebooting && !verified->second)) {
        const InstanceEvent failed
            = instance.state == InstanceState::Verifying ? InstanceEvent::VerifyFailed : InstanceEvent::Fail;
        apply(instance, verified->second ? InstanceEvent::Verified : failed, nowMs);
        finishWaveInstance(wave, id, verified->second);
    }
}

void Stepper::finishWaveInstance(const std::string &waveId, const InstanceId &id, bool succeeded)
{
    const auto found = fleet.waves.find(waveId);
    if (found == fleet.waves.end()) {
        return;
    }
    eraseId(found->second.running, id);
    found->second.finished.push_back({id, succeeded});
    notices.push_back("wave " + waveId + ": instance " + id.value
                      + (succeeded ? " serves again" : " failed after its reboot"));
}

void Stepper::startIntendedMoves()
{
    if (!observation.mayDrain) {
        return;
    }
    std::vector<InstanceId> completed;
    for (const auto &[id, target] : fleet.intended) {
        FleetInstance &instance = fleet.instances.at(id);
        if (!target.empty() && instance.pool == target) {
            completed.push_back(id);
        } else if (instance.state == InstanceState::Active
                   && moveAllowed(fleet, instance.pool, sheet, observation.records)) {
            beginDrain(instance, target.empty() ? Purpose::Remove : Purpose::Move, target, nowMs);
        } else if (instance.state == InstanceState::Failed && target.empty()) {
            instance.state = InstanceState::Drained;  // a failed instance has no requests in flight to wait for
            instance.purpose = Purpose::Remove;
        }
    }
    for (const InstanceId &id : completed) {
        fleet.intended.erase(id);
    }
}

bool Stepper::windowAllows(const PoolId &pool) const
{
    bool hasWindow = false;
    for (const WindowSpec &window : sheet.windows) {
        if (window.pool == pool) {
            hasWindow = true;
            if (windowIsOpen(window, observation.wallNow)) {
                return true;
            }
        }
    }
    return !hasWindow;
}

void Stepper::advanceWaves()
{
    for (auto &[id, wave] : fleet.waves) {
        if (hasEnded(wave) || wave.state == WaveState::Paused) {
            continue;
        }
        evaluateWave(id, wave);
        if (wave.state != WaveState::Paused && observation.mayDrain && windowAllows(wave.pool)) {
            startWaveInstances(id, wave);
        }
        if (wave.state == WaveState::Rolling && hasNoInstancesLeft(wave)) {
            apply(wave, WaveEvent::Finished);
            wave.endedMs = nowMs;
            notices.push_back("wave " + id + " is done");
        }
    }
}

/// Pauses the wave when too many of its last instances failed, and ends the canary phase when all canaries succeeded.
/// An instance that succeeded but is no longer live also counts as failed: failures within a wave are correlated and
/// may show late.
void Stepper::evaluateWave(const std::string &id, Wave &wave)
{
    const std::size_t evaluated = std::min(EvaluatedCount, wave.finished.size() - wave.evaluatedFrom);
    const auto failures = static_cast<std::size_t>(std::count_if(
        wave.finished.end() - static_cast<std::ptrdiff_t>(evaluated), wave.finished.end(),
        [&](const FinishedInstance &item) { return !item.succeeded || !isLive(observation.records, item.id); }));
    const bool canaryFailed = wave.state == WaveState::Canary && failures > 0;
    if (failures >= FailuresToPause || canaryFailed) {
        apply(wave, WaveEvent::Pause);
        wave.reason = std::to_string(failures) + " of the last " + std::to_string(evaluated) + " instances failed";
        notices.push_back("wave " + id + " is paused: " + wave.reason);
    } else if (wave.state == WaveState::Canary && (wave.finished.size() >= CanaryCount || hasNoInstancesLeft(wave))) {
        apply(wave, WaveEvent::CanaryDone);
    }
}

void Stepper::startWaveInstances(const std::string &id, Wave &wave)
{
    if (wave.state == WaveState::Planned) {
        apply(wave, WaveEvent::Start);
    }
    std::vector<InstanceId> skipped;
    for (const InstanceId &next : std::vector<InstanceId>(wave.waiting)) {
        const bool canaryFull
            = wave.state == WaveState::Canary && wave.running.size() + wave.finished.size() >= CanaryCount;
        if (canaryFull || !budgetAllows(fleet, wave.pool, sheet, observation.records)) {
            return;
        }
        const auto found = fleet.instances.find(next);
        if (found == fleet.instances.end() || found->second.pool != wave.pool) {
            eraseId(wave.waiting, next);  // the instance was removed or moved since the wave was planned
            continue;
        }
        if (found->second.state != InstanceState::Active || !isLive(observation.records, next)) {
            continue;  // the instance is down or in another operation; it stays waiting until it is active and live
        }
        beginDrain(found->second, Purpose::Reboot, {}, nowMs);
        found->second.wave = id;
        eraseId(wave.waiting, next);
        wave.running.push_back(next);
    }
}

}

std::vector<InstanceId> admitted(const Fleet &fleet, const PoolId &pool, const std::vector<InstanceRecord> &records)
{
    std::vector<InstanceId> ids;
    for (const InstanceRecord &record : records) {
        const auto found = fleet.instances.find(record.id);
        if (record.presence == Presence::Live && found != fleet.instances.end() && found->second.pool == pool
            && found->second.state == InstanceState::Active) {
            ids.push_back(record.id);
        }
    }
    return ids;
}

int disrupted(const Fleet &fleet, const PoolId &pool, const std::vector<InstanceRecord> &records)
{
    std::set<InstanceId> live;
    for (const InstanceRecord &record : records) {
        if (record.presence == Presence::Live) {
            live.insert(record.id);
        }
    }
    return static_cast<int>(std::count_if(fleet.instances.begin(), fleet.instances.end(), [&](const auto &item) {
        return item.second.pool == pool && (item.second.state != InstanceState::Active || live.count(item.first) == 0);
    }));
}

int disruptionLimit(const Fleet &fleet, const PoolId &pool, const Sheet &sheet)
{
    const int size = poolSize(fleet, pool);
    int limit = size;
    for (const ServiceSpec &service : sheet.services) {
        if (service.pool == pool) {
            limit = std::min(limit, maxInstancesDown(size, service.availability));
        }
    }
    return limit;
}

Result<Fleet> moveInstance(const Fleet &fleet, const InstanceId &instance, const PoolId &target, const Sheet &sheet,
                           const std::vector<InstanceRecord> &records, std::int64_t nowMs)
{
    Fleet next = fleet;
    const auto found = next.instances.find(instance);
    if (found == next.instances.end()) {
        return Error{ErrorCode::NotFound, "no instance is named " + instance.value};
    }
    if (findPool(sheet, target) == nullptr) {
        return Error{ErrorCode::NotFound, "no pool is named " + target.value};
    }
    if (found->second.pool == target) {
        return Error{ErrorCode::Refused, "instance " + instance.value + " is already in pool " + target.value};
    }
    if (found->second.state != InstanceState::Active) {
        return Error{ErrorCode::Conflict,
                     "instance " + instance.value + " is " + std::string(toString(found->second.state)) + " for "
                         + std::string(toString(found->second.purpose))};
    }
    if (!moveAllowed(fleet, found->second.pool, sheet, records)) {
        return Error{ErrorCode::Refused,
                     "the disruption budget or the minimum size of the pool does not allow the move: "
                         + describeBudget(fleet, found->second.pool, sheet, records)};
    }
    beginDrain(found->second, Purpose::Move, target, nowMs);
    return next;
}

Result<Fleet> drainInstance(const Fleet &fleet, const InstanceId &instance, const Sheet &sheet,
                            const std::vector<InstanceRecord> &records, std::int64_t nowMs)
{
    Fleet next = fleet;
    const auto found = next.instances.find(instance);
    if (found == next.instances.end()) {
        return Error{ErrorCode::NotFound, "no instance is named " + instance.value};
    }
    if (found->second.state != InstanceState::Active) {
        return Error{ErrorCode::Conflict,
                     "instance " + instance.value + " is " + std::string(toString(found->second.state)) + " for "
                         + std::string(toString(found->second.purpose))};
    }
    // An instance that is down already counts as disrupted, so draining it does not use the budget.
    if (isLive(records, instance) && !budgetAllows(fleet, found->second.pool, sheet, records)) {
        return Error{ErrorCode::Refused,
                     "the disruption budget does not allow the drain: "
                         + describeBudget(fleet, found->second.pool, sheet, records)};
    }
    beginDrain(found->second, Purpose::Drain, {}, nowMs);
    return next;
}

Result<Fleet> undrainInstance(const Fleet &fleet, const InstanceId &instance, std::int64_t nowMs)
{
    Fleet next = fleet;
    const auto found = next.instances.find(instance);
    if (found == next.instances.end()) {
        return Error{ErrorCode::NotFound, "no instance is named " + instance.value};
    }
    const Purpose purpose = found->second.purpose;
    if ((purpose != Purpose::Drain && purpose != Purpose::Move)
        || !apply(found->second, InstanceEvent::Undrain, nowMs)) {
        return Error{ErrorCode::Refused, "instance " + instance.value + " is not drained by an operator or for a move"};
    }
    next.intended.erase(instance);
    return next;
}

Result<Fleet> startWave(const Fleet &fleet, const std::string &id, const PoolId &pool,
                        const std::vector<InstanceRecord> &records, std::int64_t nowMs)
{
    const auto existing = fleet.waves.find(id);
    if (id.empty() || existing != fleet.waves.end()) {
        return Error{ErrorCode::Conflict, "the wave name '" + id + "' is empty or already in use"};
    }
    for (const auto &[other, wave] : fleet.waves) {
        if (wave.pool == pool && !hasEnded(wave)) {
            return Error{ErrorCode::Conflict,
                         "wave " + other + " of pool " + pool.value + " is " + std::string(toString(wave.state))};
        }
    }
    std::vector<InstanceId> ids;
    for (const auto &[instance, state] : fleet.instances) {
        if (state.pool == pool) {
            ids.push_back(instance);
        }
    }
    if (ids.empty()) {
        return Error{ErrorCode::NotFound, "pool " + pool.value + " has no instances"};
    }
    Fleet next = fleet;
    next.waves[id] = {.pool = pool, .waiting = interleaveRacks(ids, records), .startedMs = nowMs};
    return next;
}

Result<Fleet> pauseWave(const Fleet &fleet, const std::string &id, const std::string &reason)
{
    Fleet next = fleet;
    const auto waveResult = findWave(next, id);
    if (!waveResult) {
        return waveResult.error();
    }
    if (!apply(*waveResult.value(), WaveEvent::Pause)) {
        return Error{ErrorCode::Refused, "wave " + id + " is " + std::string(toString(waveResult.value()->state))};
    }
    waveResult.value()->reason = reason;
    return next;
}

Result<Fleet> resumeWave(const Fleet &fleet, const std::string &id)
{
    Fleet next = fleet;
    const auto waveResult = findWave(next, id);
    if (!waveResult) {
        return waveResult.error();
    }
    Wave &wave = *waveResult.value();
    if (!apply(wave, WaveEvent::Resume)) {
        return Error{ErrorCode::Refused, "wave " + id + " is " + std::string(toString(wave.state)) + ", not paused"};
    }
    wave.reason.clear();
    wave.evaluatedFrom = wave.finished.size();
    return next;
}

Result<Fleet> abortWave(const Fleet &fleet, const std::string &id, std::int64_t nowMs)
{
    Fleet next = fleet;
    const auto waveResult = findWave(next, id);
    if (!waveResult) {
        return waveResult.error();
    }
    Wave &wave = *waveResult.value();
    if (!apply(wave, WaveEvent::Abort)) {
        return Error{ErrorCode::Refused, "wave " + id + " is " + std::string(toString(wave.state))};
    }
    // Instances that are not rebooting yet become active again; the others finish their reboot.
    for (const InstanceId &instance : std::vector<InstanceId>(wave.running)) {
        const auto found = next.instances.find(instance);
        if (found != next.instances.end() && apply(found->second, InstanceEvent::Undrain, nowMs)) {
            eraseId(wave.running, instance);
        }
    }
    wave.waiting.clear();
    wave.endedMs = nowMs;
    return next;
}

FleetStep stepFleet(const Fleet &fleet, const Sheet &sheet, const std::string &sheetDigest,
                    const FleetObservation &observation, std::int64_t nowMs)
{
    FleetStep step{fleet, {}};
    Stepper stepper{step.next, sheet, observation, nowMs, step.notices};
    stepper.applySheet(sheetDigest);
    stepper.advanceInstances();
    stepper.startIntendedMoves();
    stepper.advanceWaves();
    return step;
}

namespace
{

json::array formatIds(const std::vector<InstanceId> &ids)
{
    json::array array;
    for (const InstanceId &id : ids) {
        array.emplace_back(id.value);
    }
    return array;
}

json::object formatInstance(const FleetInstance &instance)
{
    json::object object{
        {"pool", instance.pool.value}, {"state", toString(instance.state)}, {"since", instance.sinceMs}};
    if (instance.purpose != Purpose::None) {
        object["purpose"] = toString(instance.purpose);
    }
    if (!instance.target.empty()) {
        object["target"] = instance.target.value;
    }
    if (!instance.wave.empty()) {
        object["wave"] = instance.wave;
    }
    return object;
}

json::object formatWave(const Wave &wave)
{
    json::array finished;
    for (const FinishedInstance &item : wave.finished) {
        finished.push_back(json::object{{"id", item.id.value}, {"ok", item.succeeded}});
    }
    return json::object{{"pool", wave.pool.value},
                        {"state", toString(wave.state)},
                        {"reason", wave.reason},
                        {"waiting", formatIds(wave.waiting)},
                        {"running", formatIds(wave.running)},
                        {"finished", std::move(finished)},
                        {"judged_from", wave.evaluatedFrom},
                        {"started", wave.startedMs},
                        {"ended", wave.endedMs}};
}

std::string text(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::int64_t number(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr) {
        return 0;
    }
    if (value->is_uint64()) {
        return static_cast<std::int64_t>(value->as_uint64());
    }
    return value->is_int64() ? value->as_int64() : 0;
}

const json::object &child(const json::object &object, std::string_view key)
{
    static const json::object none;
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_object() ? value->as_object() : none;
}

std::vector<InstanceId> parseIds(const json::object &object, std::string_view key)
{
    std::vector<InstanceId> ids;
    const json::value *value = object.if_contains(key);
    if (value != nullptr && value->is_array()) {
        for (const json::value &item : value->as_array()) {
            if (item.is_string()) {
                ids.push_back({std::string(item.as_string())});
            }
        }
    }
    return ids;
}

std::optional<FleetInstance> parseInstance(const json::object &object)
{
    const auto state = parseEnum<InstanceState>(text(object, "state"));
    const std::string purposeName = text(object, "purpose");
    const auto purpose = purposeName.empty() ? Purpose::None : parseEnum<Purpose>(purposeName);
    if (!state || !purpose || text(object, "pool").empty()) {
        return std::nullopt;
    }
    return FleetInstance{.pool = {text(object, "pool")},
                         .state = *state,
                         .purpose = *purpose,
                         .target = {text(object, "target")},
                         .wave = text(object, "wave"),
                         .sinceMs = number(object, "since")};
}

std::optional<Wave> parseWave(const json::object &object)
{
    const auto state = parseEnum<WaveState>(text(object, "state"));
    if (!state || text(object, "pool").empty()) {
        return std::nullopt;
    }
    Wave wave{.pool = {text(object, "pool")},
              .state = *state,
              .reason = text(object, "reason"),
              .waiting = parseIds(object, "waiting"),
              .running = parseIds(object, "running"),
              .evaluatedFrom = static_cast<std::size_t>(number(object, "judged_from")),
              .startedMs = number(object, "started"),
              .endedMs = number(object, "ended")};
    const json::value *finished = object.if_contains("finished");
    if (finished != nullptr && finished->is_array()) {
        for (const json::value &item : finished->as_array()) {
            const json::value *succeeded = item.is_object() ? item.as_object().if_contains("ok") : nullptr;
            if (succeeded == nullptr || !succeeded->is_bool()) {
                return std::nullopt;
            }
            wave.finished.push_back({{text(item.as_object(), "id")}, succeeded->as_bool()});
        }
    }
    return wave.evaluatedFrom <= wave.finished.size() ? std::optional(std::move(wave)) : std::nullopt;
}

}

std::string formatFleet(const Fleet &fleet)
{
    json::object instances;
    for (const auto &[id, instance] : fleet.instances) {
        instances[id.value] = formatInstance(instance);
    }
    json::object intended;
    for (const auto &[id, pool] : fleet.intended) {
        intended[id.value] = pool.value;
    }
    json::object waves;
    for (const auto &[id, wave] : fleet.waves) {
        waves[id] = formatWave(wave);
    }
    return json::serialize(json::object{{"change", fleet.change},
                                        {"change_id", fleet.changeId},
                                        {"sheet", fleet.sheetDigest},
                                        {"instances", std::move(instances)},
                                        {"intended", std::move(intended)},
                                        {"waves", std::move(waves)}});
}

Result<Fleet> parseFleet(std::string_view input)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(input, error);
    if (error || !parsed.is_object()) {
        return Error{ErrorCode::Invalid, "the fleet value is not a JSON object"};
    }
    const json::object &object = parsed.as_object();
    Fleet fleet{.change = static_cast<std::uint64_t>(number(object, "change")),
                .changeId = text(object, "change_id"),
                .sheetDigest = text(object, "sheet")};
    for (const auto &item : child(object, "instances")) {
        const auto instance = item.value().is_object() ? parseInstance(item.value().as_object()) : std::nullopt;
        if (!instance) {
            return Error{ErrorCode::Invalid, "the fleet value has a malformed instance " + std::string(item.key())};
        }
        fleet.instances[{std::string(item.key())}] = *instance;
    }
    for (const auto &item : child(object, "intended")) {
        const InstanceId id{std::string(item.key())};
        if (!item.value().is_string() || fleet.instances.count(id) == 0) {
            return Error{ErrorCode::Invalid,
                         "the fleet value has an intended move that is malformed or of an unknown instance: "
                             + id.value};
        }
        fleet.intended[id] = {std::string(item.value().as_string())};
    }
    for (const auto &item : child(object, "waves")) {
        const auto wave = item.value().is_object() ? parseWave(item.value().as_object()) : std::nullopt;
        if (!wave) {
            return Error{ErrorCode::Invalid, "the fleet value has a malformed wave " + std::string(item.key())};
        }
        fleet.waves[std::string(item.key())] = *wave;
    }
    return fleet;
}

}
