#pragma once

// Reader and interpreter for SCXML state charts with at most one level of nesting.
// The C++ enumerations define the names of states, events, guards and actions. A chart that uses another name, or that
// lacks one of the states, is refused when it is read.
//
// Index
// [1] Embedded files
// [2] Reading
// [3] Interpreting
// [4] Events and guards of the embedded charts

#include "types.h"

namespace briarvane
{

// [1] Embedded files --------------------------------------------------------------------------------------------------

/// The text of one file of charts/, compiled into the binary.
struct EmbeddedChart
{
    std::string_view name;  // file name without extension
    std::string_view text;  // SCXML
};

const std::vector<EmbeddedChart> &embeddedCharts();

// [2] Reading ---------------------------------------------------------------------------------------------------------

/// The names that a chart may use. ChartTable refers to them by their positions in these lists.
struct ChartNames
{
    std::vector<std::string_view> states;  // the chart must have each of them as a leaf state
    std::vector<std::string_view> events;
    std::vector<std::string_view> guards;
    std::vector<std::string_view> actions;
};

/// A transition of a leaf state, either its own or inherited from its parent.
struct ChartTransition
{
    std::size_t event = 0;
    std::optional<std::size_t> guard;  // the transition applies only if this guard holds
    std::size_t target = 0;            // leaf state
    std::vector<std::size_t> actions;  // exit actions, actions of the transition, entry actions, in this order
};

struct ChartState
{
    bool final = false;
    std::vector<ChartTransition> transitions;  // own transitions before those of the parent, each in document order
};

/// A chart without nesting. The reader resolves parent states.
struct ChartTable
{
    std::size_t initial = 0;
    std::vector<std::size_t> initialActions;  // entry actions on entering the initial state, those of its parent first
    std::vector<ChartState> states;           // by index of ChartNames::states
};

/// Reads SCXML. Error: Invalid; the message starts with `file` and contains the start tag of the faulty element.
/// Accepted elements: scxml, state, final, initial, transition, onentry, onexit, raise, send. `cond` is the name of a
/// guard; the `event` of raise and send is the name of an action. Transitions need an event, and their attribute `type`
/// is not accepted.
Result<ChartTable> readChart(std::string_view file, std::string_view text, const ChartNames &names);

// [3] Interpreting ----------------------------------------------------------------------------------------------------

/// Enumeration without values, for charts without guards or actions.
enum class NoName {};

template<>
struct EnumNames<NoName>
{
    static constexpr std::array<EnumName<NoName>, 0> names = {};
};

/// A chart over enumerations of states, events, guards and actions.
template<class S, class E, class G = NoName, class A = NoName>
struct Chart
{
    using State = S;
    using Event = E;
    using Guard = G;
    using Action = A;
    ChartTable table;
};

template<class S, class A>
struct ChartStep
{
    S state;
    std::vector<A> actions;
};

/// Names of all values of an enumeration, in the order of EnumNames.
template<class E>
std::vector<std::string_view> nameList()
{
    std::vector<std::string_view> list;
    list.reserve(EnumNames<E>::names.size());
    for (const auto &[enumerator, name] : EnumNames<E>::names) {
        list.push_back(name);
    }
    return list;
}

/// Reads a chart of type C (a Chart) with the names of its enumerations.
template<class C>
Result<C> parseChart(std::string_view file, std::string_view text)
{
    auto table = readChart(file, text,
                           {nameList<typename C::State>(), nameList<typename C::Event>(), nameList<typename C::Guard>(),
                            nameList<typename C::Action>()});
    if (!table) {
        return table.error();
    }
    return C{std::move(table).value()};
}

/// Reads an embedded chart by its file name without extension. Error: NotFound when there is no such chart.
template<class C>
Result<C> embeddedChart(std::string_view name)
{
    for (const EmbeddedChart &chart : embeddedCharts()) {
        if (chart.name == name) {
            return parseChart<C>("charts/" + std::string(name) + ".scxml", chart.text);
        }
    }
    return Error{ErrorCode::NotFound, "no embedded chart " + std::string(name)};
}

/// Position of a value in EnumNames, which is its index in ChartTable.
template<class E>
std::size_t nameIndex(E value)
{
    const auto &names = EnumNames<E>::names;
    std::size_t index = 0;
    while (index < names.size() && names[index].first != value) {
        ++index;
    }
    return index;
}

/// Returns the target and the actions of the first transition of `state` on `event` whose guard holds. Error: Refused
/// when no transition applies. `guardHolds` is called with a G and returns bool; it must not have side effects.
template<class S, class E, class G, class A, class Predicate>
Result<ChartStep<S, A>> step(const Chart<S, E, G, A> &chart, S state, E event, Predicate &&guardHolds)
{
    const std::size_t eventIndex = nameIndex(event);
    for (const ChartTransition &transition : chart.table.states.at(nameIndex(state)).transitions) {
        if (transition.event != eventIndex) {
            continue;
        }
        if constexpr (EnumNames<G>::names.size() > 0) {
            if (transition.guard && !guardHolds(EnumNames<G>::names[*transition.guard].first)) {
                continue;
            }
        }
        ChartStep<S, A> result{EnumNames<S>::names[transition.target].first, {}};
        if constexpr (EnumNames<A>::names.size() > 0) {
            for (const std::size_t action : transition.actions) {
                result.actions.push_back(EnumNames<A>::names[action].first);
            }
        }
        return result;
    }
    return Error{ErrorCode::Refused,
                 "event " + std::string(toString(event)) + " is not possible in state " + std::string(toString(state))};
}

/// The state after `event`. Error: Refused when no transition applies.
template<class S, class E, class G, class A, class Predicate>
Result<S> next(const Chart<S, E, G, A> &chart, S state, E event, Predicate &&guardHolds)
{
    auto result = step(chart, state, event, guardHolds);
    if (!result) {
        return result.error();
    }
    return result.value().state;
}

/// The state after `event`, for charts without guards. Error: Refused when no transition applies.
template<class S, class E, class A>
Result<S> next(const Chart<S, E, NoName, A> &chart, S state, E event)
{
    return next(chart, state, event, [](NoName) { return false; });
}

template<class S, class E, class G, class A>
S initialState(const Chart<S, E, G, A> &chart)
{
    return EnumNames<S>::names[chart.table.initial].first;
}

template<class S, class E, class G, class A>
bool isFinal(const Chart<S, E, G, A> &chart, S state)
{
    return chart.table.states.at(nameIndex(state)).final;
}

// [4] Events and guards of the embedded charts ------------------------------------------------------------------------

/// charts/instance.scxml, over InstanceState.
enum class InstanceEvent {
    Drain,         // the instance must receive no new requests
    Released,      // no entry blocks the drain of the instance any more, see Membership::drainBlockers()
    Reboot,        // the instance was drained for a reboot, which can now be requested from the coordination service
    Back,          // the requested reboot was accepted, and the coordination service lists the instance as live again
    Verified,      // the instance is live, and a health check after the reboot succeeded
    VerifyFailed,  // no health check succeeded within VerifyTimeoutMs after the reboot
    Moved,         // the instance was assigned to its new pool
    Fail,          // the instance was not back within RebootTimeoutMs after event Reboot
    Recover,       // a health check of the failed instance succeeded, so the instance serves again
    Undrain,       // the drain is cancelled
};

template<>
struct EnumNames<InstanceEvent>
{
    static constexpr std::array<EnumName<InstanceEvent>, 10> names = {{{InstanceEvent::Drain, "drain"},
                                                                       {InstanceEvent::Released, "released"},
                                                                       {InstanceEvent::Reboot, "reboot"},
                                                                       {InstanceEvent::Back, "back"},
                                                                       {InstanceEvent::Verified, "verified"},
                                                                       {InstanceEvent::VerifyFailed, "verify-failed"},
                                                                       {InstanceEvent::Moved, "moved"},
                                                                       {InstanceEvent::Fail, "fail"},
                                                                       {InstanceEvent::Recover, "recover"},
                                                                       {InstanceEvent::Undrain, "undrain"}}};
};

/// charts/wave.scxml, over WaveState.
enum class WaveEvent {
    Start,
    /// CanaryCount instances have finished their maintenance, or no instances of the wave are left, and none of those
    /// that finished since the wave was last resumed has failed or is no longer live.
    CanaryDone,
    Finished,  // no instance of the wave is waiting for or undergoing maintenance
    Pause,
    Resume,  // the wave continues with the canary instances or, if CanaryPassed holds, with the remaining instances
    Abort,
};

template<>
struct EnumNames<WaveEvent>
{
    static constexpr std::array<EnumName<WaveEvent>, 6> names = {{{WaveEvent::Start, "start"},
                                                                  {WaveEvent::CanaryDone, "canary-done"},
                                                                  {WaveEvent::Finished, "finished"},
                                                                  {WaveEvent::Pause, "pause"},
                                                                  {WaveEvent::Resume, "resume"},
                                                                  {WaveEvent::Abort, "abort"}}};
};

enum class WaveGuard {
    /// At least CanaryCount instances have finished, successfully or not, so a resumed wave continues with the others.
    CanaryPassed,
};

template<>
struct EnumNames<WaveGuard>
{
    static constexpr std::array<EnumName<WaveGuard>, 1> names = {{{WaveGuard::CanaryPassed, "canary-passed"}}};
};

/// charts/order.scxml, over IdempotencyState.
enum class IdempotencyEvent {
    Finish,   // the claimant received the upstream's response
    Abandon,  // the claimant gave up before it sent any byte to an upstream
    Lose,     // the claimant ended without an outcome, or reported that the request may have run
    Claim,    // another request with the same key was received
};

template<>
struct EnumNames<IdempotencyEvent>
{
    static constexpr std::array<EnumName<IdempotencyEvent>, 4> names = {{{IdempotencyEvent::Finish, "finish"},
                                                                         {IdempotencyEvent::Abandon, "abandon"},
                                                                         {IdempotencyEvent::Lose, "lose"},
                                                                         {IdempotencyEvent::Claim, "claim"}}};
};

}
