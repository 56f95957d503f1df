#pragma once

// Alert rules: parsing of rule files, one rule per line, and evaluation of the rules over metric samples.
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
    Duration holdTime{0};  // time for which the condition must be met without interruption

    bool operator==(const AlertCondition &) const = default;
};

using Labels = std::map<std::string, std::string>;

struct AlertRule
{
    std::string name;
    std::string metric;
    Labels labels;  // the rule applies to series that have all these labels
    AlertCondition raise;
    /// None: the alarm clears as soon as the raise condition is not met. A flapping alarm clears only when that
    /// condition has not been met for AlarmFlapClearHold.
    std::optional<AlertCondition> clear;
    std::string severity;

    bool operator==(const AlertRule &) const = default;
};

/// Metrics that rules may use. There are no samples of other metrics, so a rule on them would never raise an alarm.
constexpr std::array<std::string_view, 6> AlertMetrics
    = {"briarvane_requests_total", "briarvane_queue_wait_seconds_p99", "briarvane_slots_in_use",
       "briarvane_queue_length",   "briarvane_wave_failures",          "briarvane_instances_disrupted"};
constexpr std::array<std::string_view, 4> AlertLabels = {"service", "class", "tenant", "pool"};

// [2] Parsing ---------------------------------------------------------------------------------------------------------

struct AlertError
{
    int line = 0;       // 1-based
    std::string value;  // refused part of the line
    std::string accepted;
};

/// Result of parsing. A file with any error is rejected as a whole: `rules` is valid only when `errors` is empty.
struct AlertCheck
{
    std::vector<AlertRule> rules;
    std::vector<AlertError> errors;
};

/// Parses one rule per line. Skips empty lines and lines that begin with #. docs/alerts.md describes the format.
AlertCheck parseAlerts(std::string_view text);

std::string describe(const AlertError &error);

// [3] Samples and alarms ----------------------------------------------------------------------------------------------

/// The current value of one series, merged over all entries.
struct MetricSample
{
    std::string metric;
    Labels labels;
    double value = 0;  // NaN is treated as a missing sample
};

/// State of one rule for one series. After a restart of the entry, raised alarms and the times of recent raises are
/// restored from the store; hold times start again.
struct Alarm
{
    bool raised = false;
    bool flapping = false;               // the last raise was the AlarmFlapCount-th or a later one in AlarmFlapSpan
    WallTime since;                      // time of the last raise
    double value = 0;                    // value of the sample at the last raise
    std::vector<WallTime> raises;        // times of raises within AlarmFlapSpan, oldest first
    std::optional<WallTime> lastSample;  // time of the last sample; not stored
    // Times since which all samples have met the raise or the clear condition; not stored.
    std::optional<WallTime> raiseMetSince;
    std::optional<WallTime> clearMetSince;
};

struct AlarmKey
{
    std::string rule;
    Labels labels;  // all labels of the series

    bool operator<(const AlarmKey &other) const
    {
        return std::tie(rule, labels) < std::tie(other.rule, other.labels);
    }
};

using AlertState = std::map<AlarmKey, Alarm>;

constexpr Duration AlertPeriod{1'000'000};
/// When two samples of a series are further apart, an evaluation was missed and hold times start again.
constexpr Duration MaxSampleInterval{2'000'000};
/// Number of raises within AlarmFlapSpan (10 minutes) that makes an alarm flapping.
constexpr std::size_t AlarmFlapCount = 3;
constexpr Duration AlarmFlapSpan{600'000'000};
/// Minimum hold time of the clear condition while an alarm is flapping (5 minutes).
constexpr Duration AlarmFlapClearHold{300'000'000};

// [4] Evaluation ------------------------------------------------------------------------------------------------------

struct AlarmEvent
{
    AlarmKey key;
    bool raised = false;  // false: cleared
    double value = 0;
    std::string severity;
};

struct AlertEvaluation
{
    AlertState next;
    std::vector<AlarmEvent> events;  // if `store` is set, report the events only after `next` was stored
    bool store = false;              // the part of the state that is stored has changed
};

/// Evaluates all rules once. Call this every AlertPeriod with the current samples of all series.
AlertEvaluation evaluateAlertRules(const std::vector<AlertRule> &rules, const AlertState &state,
                                   const std::vector<MetricSample> &samples, WallTime now);

/// Combines the alarms of `stored` with the hold times of `local`. Used when another entry has replaced the stored
/// state, so that the alarms of that entry are neither raised again nor lost.
AlertState mergeStoredAlarms(const AlertState &local, const AlertState &stored);

// [5] JSON forms ------------------------------------------------------------------------------------------------------

/// Formats the part of the state that is stored.
std::string formatAlertState(const AlertState &state);
Result<AlertState> parseAlertState(std::string_view text);

/// Formats the raised alarms for operators: [{"rule", "severity", "labels", "since_ms", "value", "flapping"}].
std::string formatRaisedAlarms(const AlertState &state, const std::vector<AlertRule> &rules);

}
