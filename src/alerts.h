#pragma once

// Alert rules: lines as operators copy them, and their evaluation over metric samples.
//
// Index
// [1] Rules
// [2] Parsing
// [3] Samples and alarms
// [4] Evaluation
// [5] JSON forms

#include "types.h"

#include <map>
#include <tuple>

namespace briarvane
{

// [1] Rules -----------------------------------------------------------------------------------------------------------

enum class Comparison { Above, AtLeast, Below, AtMost, Equal, NotEqual };

template<>
struct EnumNames<Comparison>
{
    static constexpr std::array<EnumName<Comparison>, 6> names = {{{Comparison::Above, ">"},
                                                                   {Comparison::AtLeast, ">="},
                                                                   {Comparison::Below, "<"},
                                                                   {Comparison::AtMost, "<="},
                                                                   {Comparison::Equal, "=="},
                                                                   {Comparison::NotEqual, "!="}}};
};

struct AlertCondition
{
    Comparison comparison = Comparison::Above;
    double threshold = 0;
    Duration hold{0};  // the condition must be met this long

    bool operator==(const AlertCondition &) const = default;
};

using Labels = std::map<std::string, std::string>;

struct AlertRule
{
    std::string name;
    std::string metric;
    Labels labels;  // a series must have all of them
    AlertCondition raise;
    std::optional<AlertCondition> clear;  // none: as soon as the raise condition is not met
    std::string severity;

    bool operator==(const AlertRule &) const = default;
};

/// Metrics that rules may use. A rule on any other one would never raise.
constexpr std::array<std::string_view, 6> AlertMetrics
    = {"briarvane_requests_total", "briarvane_queue_wait_seconds_p99", "briarvane_slots_in_use",
       "briarvane_queue_length",   "briarvane_wave_failures",          "briarvane_instances_disrupted"};
constexpr std::array<std::string_view, 4> AlertLabels = {"service", "class", "tenant", "pool"};

// [2] Parsing ---------------------------------------------------------------------------------------------------------

struct AlertError
{
    int line = 0;  // 1 is the first
    std::string value;
    std::string accepted;
};

/// A file is accepted whole or not at all: `rules` is meaningful only when `errors` is empty.
struct AlertCheck
{
    std::vector<AlertRule> rules;
    std::vector<AlertError> errors;
};

/// One rule a line; empty lines and lines that begin with # are skipped. docs/alerts.md describes the form.
AlertCheck parseAlerts(std::string_view text);

std::string describe(const AlertError &error);

// [3] Samples and alarms ----------------------------------------------------------------------------------------------

/// The present value of one series, merged over all entries.
struct MetricSample
{
    std::string metric;
    Labels labels;
    double value = 0;  // not a number counts as a missing sample
};

/// One rule on one series. A restart keeps what is raised and the times of recent raises, not the hold times.
struct Alarm
{
    bool raised = false;
    bool flapping = false;               // raised AlarmFlapCount times within AlarmFlapSpan
    WallTime since;                      // of the present raise
    double value = 0;                    // at the present raise
    std::vector<WallTime> raises;        // within AlarmFlapSpan, oldest first
    std::optional<WallTime> lastSample;  // not stored
    std::optional<WallTime> raiseHolds;  // first of the samples in a row that meet the raise condition; not stored
    std::optional<WallTime> clearHolds;  // the same for the clear condition; not stored
};

struct AlarmKey
{
    std::string rule;
    Labels labels;  // of the series

    bool operator<(const AlarmKey &other) const
    {
        return std::tie(rule, labels) < std::tie(other.rule, other.labels);
    }
};

using AlertState = std::map<AlarmKey, Alarm>;

constexpr Duration AlertPeriod{1'000'000};
constexpr Duration AlertGap{2'000'000};          // evaluations further apart are a gap: one was missed
constexpr std::size_t AlarmFlapCount = 3;        // raises
constexpr Duration AlarmFlapSpan{600'000'000};   // 10 minutes
constexpr Duration AlarmFlapQuiet{300'000'000};  // the least hold time of the clear condition while flapping

// [4] Evaluation ------------------------------------------------------------------------------------------------------

struct AlarmEvent
{
    AlarmKey key;
    bool raised = false;  // false: cleared
    double value = 0;
    std::string severity;
};

struct AlertStep
{
    AlertState next;
    std::vector<AlarmEvent> events;  // announce them only once `next` is in the store
    bool store = false;              // the stored part of the state differs from the one before
};

/// Evaluates all rules once. Call it every AlertPeriod with all samples.
AlertStep stepAlerts(const std::vector<AlertRule> &rules, const AlertState &state,
                     const std::vector<MetricSample> &samples, WallTime now);

/// The stored alarms with the hold times of `local`: what to continue from after another entry replaced the stored
/// state, so that its alarms are neither repeated nor lost.
AlertState adoptStored(const AlertState &local, const AlertState &stored);

// [5] JSON forms ------------------------------------------------------------------------------------------------------

/// The stored part of the state.
std::string formatAlertState(const AlertState &state);
Result<AlertState> parseAlertState(std::string_view text);

/// Raised alarms for operators: [{"rule", "severity", "labels", "since_ms", "value", "flapping"}].
std::string formatRaisedAlarms(const AlertState &state, const std::vector<AlertRule> &rules);

}
