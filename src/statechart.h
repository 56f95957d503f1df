#pragma once

// State charts in SCXML: a reader for flat charts and one level of nesting, and their interpreter.
// The code supplies the names of states, events, guards and actions; a chart that uses any other name, or that
// leaves a state of the code out, is refused when it is read.
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

/// The names that a chart may use. Positions in these lists are the indexes of `ChartTable`.
struct ChartNames
{
    std::vector<std::string_view> states;  // each one must be a leaf state of the chart
    std::vector<std::string_view> events;
    std::vector<std::string_view> guards;
    std::vector<std::string_view> actions;
};

/// One transition as seen from a leaf state.
struct ChartTransition
{
    std::size_t event = 0;
    std::optional<std::size_t> guard;  // index of the guard that must hold
    std::size_t target = 0;            // leaf state
    std::vector<std::size_t> actions;  // of exits, of the transition, of entries, in this order
};

struct ChartState
{
    bool final = false;
    std::vector<ChartTransition> transitions;  // own ones before the parent's, each in document order
};

/// A chart without nesting: parents are resolved when it is read.
struct ChartTable
{
    std::size_t initial = 0;
    std::vector<std::size_t> initialActions;  // entries of the initial state
    std::vector<ChartState> states;           // by index of ChartNames::states
};

/// Reads SCXML. `file` appears in the error, which names the element at fault.
/// Accepted elements: scxml, state, final, initial, transition, onentry, onexit, raise, send. `cond` is the name of a
/// guard, `event` of raise and send the name of an action. Transitions need an event; `type` is not accepted.
Result<ChartTable> readChart(std::string_view file, std::string_view text, const ChartNames &names);

// [3] Interpreting ----------------------------------------------------------------------------------------------------

/// For charts without guards or actions.
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

/// An embedded chart by its file name without extension.
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

/// Takes the first transition of `state` on `event` whose guard holds. Error: Refused when there is none.
/// `holds` is called with G; it must not have effects.
template<class S, class E, class G, class A, class Predicate>
Result<ChartStep<S, A>> step(const Chart<S, E, G, A> &chart, S state, E event, Predicate &&holds)
{
    const std::size_t wanted = nameIndex(event);
    for (const ChartTransition &transition : chart.table.states.at(nameIndex(state)).transitions) {
        if (transition.event != wanted) {
            continue;
        }
        if constexpr (EnumNames<G>::names.size() > 0) {
            if (transition.guard && !holds(EnumNames<G>::names[*transition.guard].first)) {
                continue;
            }
        }
        ChartStep<S, A> taken{EnumNames<S>::names[transition.target].first, {}};
        if constexpr (EnumNames<A>::names.size() > 0) {
            for (const std::size_t action : transition.actions) {
                taken.actions.push_back(EnumNames<A>::names[action].first);
            }
        }
        return taken;
    }
    return Error{ErrorCode::Refused,
                 "event " + std::string(toString(event)) + " is not possible in state " + std::string(toString(state))};
}

/// The state after `event`. Error: Refused when no transition applies.
template<class S, class E, class G, class A, class Predicate>
Result<S> next(const Chart<S, E, G, A> &chart, S state, E event, Predicate &&holds)
{
    auto taken = step(chart, state, event, holds);
    if (!taken) {
        return taken.error();
    }
    return taken.value().state;
}

/// For charts without guards.
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
    Drain,         // takes no new work from now on
    Released,      // every listed entry confirmed the drain and has nothing in flight there
    Reboot,        // the coordination service is asked to reboot it
    Back,          // the coordination service's list shows it live again
    Verified,      // it answered the check after the reboot
    VerifyFailed,  // it did not
    Moved,         // it belongs to its new pool
    Fail,          // the coordination service's list shows it gone without our asking
    Recover,       // it serves again
    Undrain,       // the drain is taken back
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
    CanaryDone,  // the canary instances finished without a failure
    Finished,    // no instance waits or runs
    Pause,
    Resume,  // back to where the wave was paused
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
    CanaryPassed,  // the canary instances have finished, so that a resumed wave continues rolling
};

template<>
struct EnumNames<WaveGuard>
{
    static constexpr std::array<EnumName<WaveGuard>, 1> names = {{{WaveGuard::CanaryPassed, "canary-passed"}}};
};

/// charts/order.scxml, over IdempotencyState.
enum class IdempotencyEvent {
    Finish,   // the claimant has the upstream's answer
    Abandon,  // the claimant sent no byte
    Lose,     // the claimant is gone
    Claim,    // another claim of the same key
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
