#include "alerts.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <set>
#include <unordered_map>

namespace briarvane
{

namespace
{

constexpr Duration MaxHoldTime{86'400'000'000};
constexpr std::string_view WordCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_.-";
constexpr std::string_view AcceptedWord = "letters, digits, underscore, dot and hyphen";

bool meets(const AlertCondition &condition, double value)
{
    switch (condition.comparison) {
    case Comparison::Above:
        return value > condition.threshold;
    case Comparison::AtLeast:
        return value >= condition.threshold;
    case Comparison::Below:
        return value < condition.threshold;
    case Comparison::AtMost:
        return value <= condition.threshold;
    case Comparison::Equal:
        return value == condition.threshold;
    case Comparison::NotEqual:
        return value != condition.threshold;
    }
    return false;
}

/// True when some value meets both conditions. Each condition accepts a half-line, a single value or all values but
/// one, so it is enough to test the thresholds, their neighbours and the largest finite values.
bool overlap(const AlertCondition &a, const AlertCondition &b)
{
    constexpr double largest = std::numeric_limits<double>::max();
    std::vector<double> values = {largest, -largest};
    for (const double threshold : {a.threshold, b.threshold}) {
        values.insert(values.end(),
                      {threshold, std::nextafter(threshold, largest), std::nextafter(threshold, -largest)});
    }
    return std::any_of(values.begin(), values.end(), [&](double value) { return meets(a, value) && meets(b, value); });
}

/// Parses one line from left to right and stops at the first error.
class RuleReader
{
public:
    explicit RuleReader(std::string_view line)
        : m_rest(line)
    {
    }

    std::optional<AlertRule> read()
    {
        AlertRule rule;
        rule.name = word();
        if (rule.name.empty() || !take(':')) {
            return fail("a rule name (" + std::string(AcceptedWord) + ") and a colon");
        }
        rule.metric = word();
        if (std::find(AlertMetrics.begin(), AlertMetrics.end(), rule.metric) == AlertMetrics.end()) {
            return fail(rule.metric, "a metric: " + joined(AlertMetrics));
        }
        if (take('{') && !labels(rule.labels)) {
            return std::nullopt;
        }
        if (!condition(rule.raise)) {
            return std::nullopt;
        }
        if (!keyword("for")) {
            return fail("for and a duration");
        }
        if (!duration(rule.raise.holdTime)) {
            return std::nullopt;
        }
        if (keyword("clear")) {
            rule.clear.emplace();
            if (!condition(*rule.clear) || (keyword("for") && !duration(rule.clear->holdTime))) {
                return std::nullopt;
            }
            if (overlap(rule.raise, *rule.clear)) {
                return fail("clear", "a clear condition that no value meets together with the raise condition");
            }
        }
        if (!keyword("severity")) {
            return fail(rule.clear ? "severity and a word" : "clear or severity and a word");
        }
        rule.severity = word();
        if (rule.severity.empty()) {
            return fail("a word for the severity");
        }
        skipSpace();
        if (!m_rest.empty()) {
            return fail("the end of the line after the severity");
        }
        return rule;
    }

    AlertError error;  // set when read() fails, except for the line number, which the caller sets

private:
    std::nullopt_t fail(std::string value, std::string accepted)
    {
        error.value = std::move(value);
        error.accepted = std::move(accepted);
        return std::nullopt;
    }

    std::nullopt_t fail(std::string accepted)
    {
        skipSpace();
        return fail(m_rest.empty() ? "end of line" : std::string(m_rest.substr(0, 40)), std::move(accepted));
    }

    template<class Names>
    static std::string joined(const Names &names)
    {
        std::string text;
        for (const std::string_view name : names) {
            text += (text.empty() ? "" : ", ") + std::string(name);
        }
        return text;
    }

    void skipSpace()
    {
        m_rest.remove_prefix(std::min(m_rest.find_first_not_of(" \t"), m_rest.size()));
    }

    bool take(char c)
    {
        skipSpace();
        const bool found = !m_rest.empty() && m_rest.front() == c;
        m_rest.remove_prefix(found ? 1 : 0);
        return found;
    }

    std::string word()
    {
        skipSpace();
        const std::string_view found = m_rest.substr(0, m_rest.find_first_not_of(WordCharacters));
        m_rest.remove_prefix(found.size());
        return std::string(found);
    }

    bool keyword(std::string_view expected)
    {
        const std::string_view before = m_rest;
        const bool found = word() == expected;
        if (!found) {
            m_rest = before;
        }
        return found;
    }

    bool labels(Labels &labels)
    {
        do {
            const std::string label = word();
            if (std::find(AlertLabels.begin(), AlertLabels.end(), label) == AlertLabels.end()) {
                fail(label, "a label: " + joined(AlertLabels));
                return false;
            }
            if (!take('=')) {
                fail("= and a label value (equality is the only match)");
                return false;
            }
            const bool quoted = take('"');
            const std::string value = word();
            if (value.empty() || (quoted && !take('"'))) {
                fail("a label value: " + std::string(AcceptedWord) + ", with or without quotes");
                return false;
            }
            if (!labels.emplace(label, value).second) {
                fail(label, "each label once");
                return false;
            }
        } while (take(','));
        if (!take('}')) {
            fail("a comma or }");
            return false;
        }
        return true;
    }

    bool condition(AlertCondition &condition)
    {
        skipSpace();
        const std::string_view sign = m_rest.substr(0, m_rest.find_first_not_of("<>=!"));
        const auto comparison = parseEnum<Comparison>(sign);
        if (!comparison) {
            fail("a comparison: " + acceptedNames<Comparison>());
            return false;
        }
        condition.comparison = *comparison;
        m_rest.remove_prefix(sign.size());
        skipSpace();
        const auto [end, code] = std::from_chars(m_rest.data(), m_rest.data() + m_rest.size(), condition.threshold);
        const auto length = static_cast<std::size_t>(end - m_rest.data());
        const bool terminated = length == m_rest.size() || m_rest[length] == ' ' || m_rest[length] == '\t';
        if (code != std::errc{} || !std::isfinite(condition.threshold) || !terminated) {
            fail("a number with a decimal point");
            return false;
        }
        m_rest.remove_prefix(length);
        return true;
    }

    /// Reads one or more of <whole number><ms|s|m|h>, for example 90s or 1m30s.
    bool duration(Duration &duration)
    {
        const std::string text = word();
        std::string_view rest = text;
        duration = Duration{0};
        bool wellFormed = !rest.empty();
        while (wellFormed && !rest.empty()) {
            std::int64_t count = 0;
            const auto [end, code] = std::from_chars(rest.data(), rest.data() + rest.size(), count);
            const auto digits = static_cast<std::size_t>(end - rest.data());
            rest.remove_prefix(digits);
            const std::string_view unit = rest.substr(0, rest.find_first_of("0123456789"));
            rest.remove_prefix(unit.size());
            const std::int64_t microseconds = unit == "ms" ? 1'000
                : unit == "s"                              ? 1'000'000
                : unit == "m"                              ? 60'000'000
                : unit == "h"                              ? 3'600'000'000
                                                           : 0;
            wellFormed = code == std::errc{} && count >= 0 && count <= 86'400'000 && microseconds > 0;
            duration += Duration(wellFormed ? count * microseconds : 0);
            wellFormed = wellFormed && duration <= MaxHoldTime;
        }
        if (!wellFormed) {
            fail(text, "a duration of at most 24 hours in ms, s, m or h, for example 90s or 1m30s");
        }
        return wellFormed;
    }

    std::string_view m_rest;
};

/// Index of samples by metric and by metric with one label, so that a rule is matched only against samples that have
/// its metric and its first label.
class SampleIndex
{
public:
    explicit SampleIndex(const std::vector<MetricSample> &samples)
    {
        for (const MetricSample &sample : samples) {
            if (std::isnan(sample.value)) {
                continue;
            }
            m_samples[sample.metric].push_back(&sample);
            for (const auto &[label, value] : sample.labels) {
                m_samples[key(sample.metric, label, value)].push_back(&sample);
            }
        }
    }

    std::vector<const MetricSample *> matching(const AlertRule &rule) const
    {
        const auto found = m_samples.find(
            rule.labels.empty() ? rule.metric
                                : key(rule.metric, rule.labels.begin()->first, rule.labels.begin()->second));
        std::vector<const MetricSample *> list;
        if (found == m_samples.end()) {
            return list;
        }
        for (const MetricSample *sample : found->second) {
            const bool hasAllLabels = std::all_of(rule.labels.begin(), rule.labels.end(), [&](const auto &label) {
                const auto sampleLabel = sample->labels.find(label.first);
                return sampleLabel != sample->labels.end() && sampleLabel->second == label.second;
            });
            if (hasAllLabels) {
                list.push_back(sample);
            }
        }
        return list;
    }

private:
    static std::string key(const std::string &metric, const std::string &label, const std::string &value)
    {
        return metric + "{" + label + "=" + value;
    }

    std::unordered_map<std::string, std::vector<const MetricSample *>> m_samples;
};

/// Returns the time since which a condition has been met without interruption, or nothing when it is not met now.
std::optional<WallTime> metSince(bool met, const std::optional<WallTime> &since, WallTime now)
{
    if (!met) {
        return std::nullopt;
    }
    return since ? since : now;
}

void dropOldRaises(Alarm &alarm, WallTime now)
{
    const auto recent = std::find_if(alarm.raises.begin(), alarm.raises.end(),
                                     [&](WallTime raise) { return now - raise < AlarmFlapSpan; });
    alarm.raises.erase(alarm.raises.begin(), recent);
}

/// Evaluates a rule for one sample of one series. Returns true when the alarm was raised or cleared.
bool stepAlarm(const AlertRule &rule, Alarm &alarm, double value, WallTime now)
{
    const bool gap = !alarm.lastSample || now < *alarm.lastSample || now - *alarm.lastSample > MaxSampleInterval;
    if (gap) {
        alarm.raiseMetSince.reset();
        alarm.clearMetSince.reset();
    }
    alarm.lastSample = now;
    const bool met = meets(rule.raise, value);
    alarm.raiseMetSince = metSince(met, alarm.raiseMetSince, now);
    alarm.clearMetSince = metSince(rule.clear ? meets(*rule.clear, value) : !met, alarm.clearMetSince, now);
    if (!alarm.raised) {
        if (!alarm.raiseMetSince || now - *alarm.raiseMetSince < rule.raise.holdTime) {
            return false;
        }
        dropOldRaises(alarm, now);
        alarm.raises.push_back(now);
        alarm.raised = true;
        alarm.flapping = alarm.raises.size() >= AlarmFlapCount;
        alarm.since = now;
        alarm.value = value;
        return true;
    }
    const Duration configuredHoldTime = rule.clear ? rule.clear->holdTime : Duration{0};
    const Duration holdTime = alarm.flapping ? std::max(configuredHoldTime, AlarmFlapClearHold) : configuredHoldTime;
    if (!alarm.clearMetSince || now - *alarm.clearMetSince < holdTime) {
        return false;
    }
    alarm.raised = false;
    alarm.flapping = false;
    return true;
}

std::int64_t unixMs(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

WallTime fromUnixMs(std::int64_t ms)
{
    return WallTime(std::chrono::milliseconds(ms));
}

boost::json::object labelsJson(const Labels &labels)
{
    boost::json::object object;
    for (const auto &[label, value] : labels) {
        object[label] = value;
    }
    return object;
}

}

AlertCheck parseAlerts(std::string_view text)
{
    AlertCheck check;
    std::set<std::string> names;
    if (text.starts_with("\xEF\xBB\xBF")) {
        text.remove_prefix(3);
    }
    for (int number = 1; !text.empty(); ++number) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        const std::size_t first = line.find_first_not_of(" \t");
        if (first == std::string_view::npos || line[first] == '#') {
            continue;
        }
        RuleReader reader(line);
        auto rule = reader.read();
        if (!rule) {
            reader.error.line = number;
            check.errors.push_back(std::move(reader.error));
        } else if (!names.insert(rule->name).second) {
            check.errors.push_back({number, rule->name, "each rule name once"});
        } else {
            check.rules.push_back(std::move(*rule));
        }
    }
    return check;
}

std::string describe(const AlertError &error)
{
    return "line " + std::to_string(error.line) + ": \"" + error.value
        + "\" is not accepted; accepted: " + error.accepted;
}

AlertEvaluation evaluateAlertRules(const std::vector<AlertRule> &rules, const AlertState &state,
                                   const std::vector<MetricSample> &samples, WallTime now)
{
    AlertEvaluation evaluation;
    const SampleIndex index(samples);
    std::set<std::string> names;
    for (const AlertRule &rule : rules) {
        names.insert(rule.name);
        for (const MetricSample *sample : index.matching(rule)) {
            const AlarmKey key{rule.name, sample->labels};
            const auto before = state.find(key);
            Alarm alarm = before == state.end() ? Alarm{} : before->second;
            if (stepAlarm(rule, alarm, sample->value, now)) {
                evaluation.events.push_back({key, alarm.raised, sample->value, rule.severity});
                evaluation.store = true;
            }
            evaluation.next.insert_or_assign(key, std::move(alarm));
        }
    }
    // For series without a sample, raised alarms stay raised and hold times start again. Alarms of removed rules are
    // cleared.
    for (const auto &[key, before] : state) {
        if (evaluation.next.contains(key)) {
            continue;
        }
        if (!names.contains(key.rule)) {
            evaluation.store = evaluation.store || before.raised || !before.raises.empty();
            if (before.raised) {
                evaluation.events.push_back({key, false, before.value, ""});
            }
            continue;
        }
        Alarm alarm = before;
        alarm.lastSample.reset();
        alarm.raiseMetSince.reset();
        alarm.clearMetSince.reset();
        if (!alarm.raised) {
            dropOldRaises(alarm, now);
        }
        if (alarm.raised || !alarm.raises.empty()) {
            evaluation.next.emplace(key, std::move(alarm));
        }
    }
    return evaluation;
}

AlertState mergeStoredAlarms(const AlertState &local, const AlertState &stored)
{
    AlertState merged = stored;
    for (const auto &[key, alarm] : local) {
        Alarm &target = merged[key];
        target.lastSample = alarm.lastSample;
        target.raiseMetSince = alarm.raiseMetSince;
        target.clearMetSince = alarm.clearMetSince;
    }
    return merged;
}

std::string formatAlertState(const AlertState &state)
{
    boost::json::array list;
    for (const auto &[key, alarm] : state) {
        if (!alarm.raised && alarm.raises.empty()) {
            continue;
        }
        boost::json::array raises;
        for (const WallTime raise : alarm.raises) {
            raises.emplace_back(unixMs(raise));
        }
        list.push_back({{"rule", key.rule},
                        {"labels", labelsJson(key.labels)},
                        {"raised", alarm.raised},
                        {"flapping", alarm.flapping},
                        {"since_ms", unixMs(alarm.since)},
                        {"value", alarm.value},
                        {"raises_ms", std::move(raises)}});
    }
    return boost::json::serialize(boost::json::object{{"alarms", std::move(list)}});
}

Result<AlertState> parseAlertState(std::string_view text)
{
    try {
        AlertState state;
        const boost::json::value document = boost::json::parse(text);
        for (const auto &item : document.as_object().at("alarms").as_array()) {
            const auto &object = item.as_object();
            AlarmKey key{std::string(object.at("rule").as_string()), {}};
            for (const auto &label : object.at("labels").as_object()) {
                key.labels.emplace(label.key(), label.value().as_string());
            }
            Alarm alarm;
            alarm.raised = object.at("raised").as_bool();
            alarm.flapping = object.at("flapping").as_bool();
            alarm.since = fromUnixMs(object.at("since_ms").to_number<std::int64_t>());
            alarm.value = object.at("value").to_number<double>();
            for (const auto &raise : object.at("raises_ms").as_array()) {
                alarm.raises.push_back(fromUnixMs(raise.to_number<std::int64_t>()));
            }
            state.emplace(std::move(key), std::move(alarm));
        }
        return state;
    } catch (const std::exception &error) {
        return Error{ErrorCode::Invalid, std::string("alert state is not valid: ") + error.what()};
    }
}

std::string formatRaisedAlarms(const AlertState &state, const std::vector<AlertRule> &rules)
{
    boost::json::array list;
    std::map<std::string, std::string> severities;
    for (const AlertRule &rule : rules) {
        severities[rule.name] = rule.severity;
    }
    for (const auto &[key, alarm] : state) {
        if (!alarm.raised) {
            continue;
        }
        list.push_back({{"rule", key.rule},
                        {"severity", severities[key.rule]},
                        {"labels", labelsJson(key.labels)},
                        {"since_ms", unixMs(alarm.since)},
                        {"value", alarm.value},
                        {"flapping", alarm.flapping}});
    }
    return boost::json::serialize(list);
}

}
