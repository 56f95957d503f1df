#pragma once

// The fleet value: the pool and the operation in progress of each instance, the intended moves, and the maintenance
// waves. It is one value in the store and is replaced by compare-and-swap, so that an instance is in exactly one pool
// and the disruption budget is checked against the value that is replaced.
//
// Index
// [1] Instances
// [2] Waves
// [3] The fleet value
// [4] Changes by operators
// [5] The fleet step
// [6] JSON form

#include "membership.h"
#include "sheet.h"

#include <map>

namespace briarvane
{

// [1] Instances -------------------------------------------------------------------------------------------------------

enum class InstanceState { Active, Draining, Drained, Rebooting, Verifying, Failed };

template<>
struct EnumNames<InstanceState>
{
    static constexpr std::array<EnumName<InstanceState>, 6> names = {{{InstanceState::Active, "active"},
                                                                      {InstanceState::Draining, "draining"},
                                                                      {InstanceState::Drained, "drained"},
                                                                      {InstanceState::Rebooting, "rebooting"},
                                                                      {InstanceState::Verifying, "verifying"},
                                                                      {InstanceState::Failed, "failed"}}};
};

/// Why an instance gets no new requests.
enum class Purpose { None, Move, Reboot, Drain, Remove };

template<>
struct EnumNames<Purpose>
{
    static constexpr std::array<EnumName<Purpose>, 5> names = {{{Purpose::None, "none"},
                                                                {Purpose::Move, "move"},
                                                                {Purpose::Reboot, "reboot"},
                                                                {Purpose::Drain, "drain"},
                                                                {Purpose::Remove, "remove"}}};
};

struct FleetInstance
{
    PoolId pool;
    InstanceState state = InstanceState::Active;
    Purpose purpose = Purpose::None;
    PoolId target;             // pool to move to, with Purpose::Move
    std::string wave;          // wave that reboots the instance, with Purpose::Reboot
    std::int64_t sinceMs = 0;  // Unix time at which the present state began

    bool operator==(const FleetInstance &) const = default;
};

// [2] Waves -----------------------------------------------------------------------------------------------------------

enum class WaveState { Planned, Canary, Rolling, Paused, Done, Aborted };

template<>
struct EnumNames<WaveState>
{
    static constexpr std::array<EnumName<WaveState>, 6> names = {{{WaveState::Planned, "planned"},
                                                                  {WaveState::Canary, "canary"},
                                                                  {WaveState::Rolling, "rolling"},
                                                                  {WaveState::Paused, "paused"},
                                                                  {WaveState::Done, "done"},
                                                                  {WaveState::Aborted, "aborted"}}};
};

/// An instance whose reboot and check in a wave have ended.
struct FinishedInstance
{
    InstanceId id;
    bool succeeded = false;

    bool operator==(const FinishedInstance &) const = default;
};

struct Wave
{
    PoolId pool;
    WaveState state = WaveState::Planned;
    std::string reason;               // why the wave is paused
    std::vector<InstanceId> waiting;  // instances whose drain has not begun, in the order of the wave
    std::vector<InstanceId> running;
    std::vector<FinishedInstance> finished;  // in order of completion
    std::size_t evaluatedFrom = 0;           // index into `finished` of the first completion since the last resume
    std::int64_t startedMs = 0;              // Unix time
    std::int64_t endedMs = 0;

    bool operator==(const Wave &) const = default;
};

/// Number of canaries: the first instances that a wave reboots. The order of a wave alternates between racks, so that
/// canaries are in different racks unless an instance of the order is skipped or the pool has only one rack.
constexpr std::size_t CanaryCount = 2;
constexpr std::size_t EvaluatedCount = 5;   // last completions of a wave that decide on an automatic pause
constexpr std::size_t FailuresToPause = 2;  // failures among the evaluated completions that pause the wave

// [3] The fleet value -------------------------------------------------------------------------------------------------

struct Fleet
{
    std::uint64_t change = 0;  // number of this version; grows by one with each replacement of the fleet value
    std::string changeId;      // unique per writer and change; shows whether a write without an answer took effect
    std::string sheetDigest;   // digest of the last sheet that was applied
    std::map<InstanceId, FleetInstance> instances;
    std::map<InstanceId, PoolId> intended;  // moves still to be made for the sheet; an empty pool removes the instance
    std::map<std::string, Wave> waves;

    bool operator==(const Fleet &) const = default;
};

/// Instances of the pool that may get new requests: those that are active and listed as live by the coordination
/// service.
std::vector<InstanceId> admitted(const Fleet &fleet, const PoolId &pool, const std::vector<InstanceRecord> &records);

/// Number of instances of the pool that are not active in the fleet value or not listed as live by the coordination
/// service.
int disrupted(const Fleet &fleet, const PoolId &pool, const std::vector<InstanceRecord> &records);

/// Maximum number of instances of the pool that may be disrupted at once: the strictest budget of the pool's services.
int disruptionLimit(const Fleet &fleet, const PoolId &pool, const Sheet &sheet);

// [4] Changes by operators --------------------------------------------------------------------------------------------
// Each function returns the value to be written by compare-and-swap, or an error that says why the change is not
// allowed.

Result<Fleet> moveInstance(const Fleet &fleet, const InstanceId &instance, const PoolId &target, const Sheet &sheet,
                           const std::vector<InstanceRecord> &records, std::int64_t nowMs);
Result<Fleet> drainInstance(const Fleet &fleet, const InstanceId &instance, const Sheet &sheet,
                            const std::vector<InstanceRecord> &records, std::int64_t nowMs);
/// Cancels a drain by an operator, or a move that is not completed.
Result<Fleet> undrainInstance(const Fleet &fleet, const InstanceId &instance, std::int64_t nowMs);
Result<Fleet> startWave(const Fleet &fleet, const std::string &id, const PoolId &pool,
                        const std::vector<InstanceRecord> &records, std::int64_t nowMs);
Result<Fleet> pauseWave(const Fleet &fleet, const std::string &id, const std::string &reason);
/// Resumes a paused wave. Failures before the resume no longer count towards an automatic pause.
Result<Fleet> resumeWave(const Fleet &fleet, const std::string &id);
/// Ends a wave. Its instances that are not rebooting yet become active again; the others finish their reboot.
Result<Fleet> abortWave(const Fleet &fleet, const std::string &id, std::int64_t nowMs);

// [5] The fleet step --------------------------------------------------------------------------------------------------

/// State outside the fleet value, as the entry that carries out the fleet step observes it.
struct FleetObservation
{
    std::vector<InstanceRecord> records;  // as the coordination service lists them
    /// Instances whose drain no entry blocks any more; Membership::drainBlockers() says which entries block a drain.
    std::set<InstanceId> released;
    std::set<InstanceId> rebooted;        // instances that were rebooted and are listed as live again
    std::map<InstanceId, bool> verified;  // outcome of the check after a reboot; false also if the check took too long
    bool mayDrain = true;                 // this entry receives heartbeats from more than half of the listed entries
    WallTime wallNow;
};

struct FleetStep
{
    Fleet next;                        // equal to the input when nothing has changed
    std::vector<std::string> notices;  // for the log, one sentence each
};

/// Carries out one step: applies a new sheet and advances drains, moves and waves within the disruption budgets. The
/// caller writes `next` by compare-and-swap. The entry starts reboots and checks according to the states in the stored
/// value.
FleetStep stepFleet(const Fleet &fleet, const Sheet &sheet, const std::string &sheetDigest,
                    const FleetObservation &observation, std::int64_t nowMs);

// [6] JSON form -------------------------------------------------------------------------------------------------------

std::string formatFleet(const Fleet &fleet);
Result<Fleet> parseFleet(std::string_view text);

}
