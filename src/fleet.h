#pragma once

// The fleet value: which pool each instance belongs to, what is being done to it, moves and waves.
// One value in the store, replaced by compare-and-swap, so that an instance is in exactly one pool and the
// disruption budget is checked against the value that is replaced.
//
// Index
// [1] Instances
// [2] Waves
// [3] The fleet value
// [4] Operator's changes
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

/// Why an instance takes no new work.
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
    std::string wave;          // wave that reboots it, with Purpose::Reboot
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

/// An instance that a wave has dealt with.
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
    std::string reason;               // why it is paused
    std::vector<InstanceId> waiting;  // not yet begun, in order
    std::vector<InstanceId> running;
    std::vector<FinishedInstance> finished;  // in order of completion
    std::size_t judgedFrom = 0;              // index into `finished`; completions before a resume no longer count
    std::int64_t startedMs = 0;              // Unix time
    std::int64_t endedMs = 0;

    bool operator==(const Wave &) const = default;
};

constexpr std::size_t CanaryCount = 2;      // first instances of a wave, in different racks
constexpr std::size_t JudgedCount = 5;      // last completions that are looked at
constexpr std::size_t FailuresToPause = 2;  // among them

// [3] The fleet value -------------------------------------------------------------------------------------------------

struct Fleet
{
    std::uint64_t change = 0;  // grows by one with each replacement
    std::string changeId;      // unique per writer and change; settles lost answers
    std::string sheetDigest;   // sheet that was taken over
    std::map<InstanceId, FleetInstance> instances;
    std::map<InstanceId, PoolId> intended;  // moves still to be made for the sheet; an empty pool removes the instance
    std::map<std::string, Wave> waves;

    bool operator==(const Fleet &) const = default;
};

/// Instances of the pool that may get new work: active, and live by the coordination service's list.
std::vector<InstanceId> admitted(const Fleet &fleet, const PoolId &pool, const std::vector<InstanceRecord> &records);

/// How many instances of the pool do not serve, by the fleet value or by the coordination service's list.
int disrupted(const Fleet &fleet, const PoolId &pool, const std::vector<InstanceRecord> &records);

/// Most instances of the pool that may be disrupted at once: the strictest budget of its services.
int disruptionLimit(const Fleet &fleet, const PoolId &pool, const Sheet &sheet);

// [4] Operator's changes ----------------------------------------------------------------------------------------------
// Each returns the value to be written by compare-and-swap, or why the change is not allowed.

Result<Fleet> moveInstance(const Fleet &fleet, const InstanceId &instance, const PoolId &target, const Sheet &sheet,
                           const std::vector<InstanceRecord> &records, std::int64_t nowMs);
Result<Fleet> drainInstance(const Fleet &fleet, const InstanceId &instance, const Sheet &sheet,
                            const std::vector<InstanceRecord> &records, std::int64_t nowMs);
/// Ends a drain or a move that has not been completed.
Result<Fleet> undrainInstance(const Fleet &fleet, const InstanceId &instance, std::int64_t nowMs);
Result<Fleet> startWave(const Fleet &fleet, const std::string &id, const PoolId &pool,
                        const std::vector<InstanceRecord> &records, std::int64_t nowMs);
Result<Fleet> pauseWave(const Fleet &fleet, const std::string &id, const std::string &reason);
/// Completions before the resume no longer count towards an automatic pause.
Result<Fleet> resumeWave(const Fleet &fleet, const std::string &id);
/// Instances that are not rebooting yet serve again; the others finish their reboot.
Result<Fleet> abortWave(const Fleet &fleet, const std::string &id, std::int64_t nowMs);

// [5] The fleet step --------------------------------------------------------------------------------------------------

/// What the entry that steps the fleet sees besides the value itself.
struct FleetObservation
{
    std::vector<InstanceRecord> records;  // the coordination service's list
    std::set<InstanceId> released;        // every listed entry confirmed the drain and has nothing in flight
    std::set<InstanceId> rebooted;  // the coordination service took the reboot and lists the instance as live again
    std::map<InstanceId, bool> verified;  // outcome of the check after a reboot
    bool mayDrain = true;                 // this entry hears more than half of the listed entries
    WallTime wallNow;
};

struct FleetStep
{
    Fleet next;                        // equal to the input when nothing is to be done
    std::vector<std::string> notices;  // for the log, one sentence each
};

/// One step: takes over a new sheet, carries on drains, moves and waves within the disruption budgets. The caller
/// writes `next` by compare-and-swap; reboots and checks follow from the states in the value that is in the store.
FleetStep stepFleet(const Fleet &fleet, const Sheet &sheet, const std::string &sheetDigest,
                    const FleetObservation &seen, std::int64_t nowMs);

// [6] JSON form -------------------------------------------------------------------------------------------------------

std::string formatFleet(const Fleet &fleet);
Result<Fleet> parseFleet(std::string_view text);

}
