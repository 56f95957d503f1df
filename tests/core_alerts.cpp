#include "alerts.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace briarvane;

namespace
{

const std::string Metric = "briarvane_queue_length";

WallTime at(double seconds)
{
    return WallTime(Duration(1'000'000'000'000 + static_cast<std::int64_t>(seconds * 1e6)));
}

std::vector<AlertRule> rules(const std::string &text)
{
    const auto check = parseAlerts(text);
    for (const AlertError &error : check.errors) {
        FAIL_CHECK(describe(error));
    }
    return check.rules;
}

std::string refusal(const std::string &line)
{
    const auto check = parseAlerts("# comment\n" + line);
    return check.errors.size() == 1 ? describe(check.errors.front()) : "accepted";
}

/// Evaluates one series with one value per second from second `start` on. NaN is a missing sample. Returns "+3 -7" for
/// an alarm that was raised in second 3 and cleared in second 7.
std::string run(const std::vector<AlertRule> &ruleList, AlertState &state, const std::vector<double> &values,
                int start = 0)
{
    std::string events;
    for (std::size_t i = 0; i < values.size(); ++i) {
        const int second = start + static_cast<int>(i);
        auto evaluation = evaluateAlertRules(ruleList, state, {{Metric, {{"service", "s"}}, values[i]}}, at(second));
        for (const AlarmEvent &event : evaluation.events) {
            events += (events.empty() ? "" : " ") + std::string(event.raised ? "+" : "-") + std::to_string(second);
        }
        state = std::move(evaluation.next);
    }
    return events;
}

/// Reference implementation: finds raises and clears from the whole history of one series, without a state.
std::vector<int> referenceEvents(const AlertRule &rule, const std::vector<std::pair<WallTime, double>> &history)
{
    const auto meets = [](const AlertCondition &condition, double value) {
        const double t = condition.threshold;
        const std::array<bool, 6> outcomes = {value > t, value >= t, value < t, value <= t, value == t, value != t};
        return outcomes[static_cast<std::size_t>(condition.comparison)];
    };
    const auto timeMet = [&](std::size_t last, const auto &met) -> std::optional<Duration> {
        std::optional<Duration> metTime;
        for (std::size_t i = last + 1; i-- > 0 && !std::isnan(history[i].second) && met(history[i].second);) {
            if (i < last && history[i + 1].first - history[i].first > MaxSampleInterval) {
                break;
            }
            metTime = history[last].first - history[i].first;
        }
        return metTime;
    };
    std::vector<int> events;  // index + 1 of the sample that raised the alarm; negative if the sample cleared it
    for (std::size_t i = 0; i < history.size(); ++i) {
        if (std::isnan(history[i].second)) {
            continue;
        }
        const bool raised = !events.empty() && events.back() > 0;
        if (!raised) {
            const auto metTime = timeMet(i, [&](double value) { return meets(rule.raise, value); });
            if (metTime && *metTime >= rule.raise.holdTime) {
                events.push_back(static_cast<int>(i) + 1);
            }
            continue;
        }
        const WallTime since = history[static_cast<std::size_t>(events.back() - 1)].first;
        const auto recent = std::count_if(events.begin(), events.end(), [&](int event) {
            return event > 0 && since - history[static_cast<std::size_t>(event - 1)].first < AlarmFlapSpan;
        });
        Duration holdTime = rule.clear ? rule.clear->holdTime : Duration{0};
        if (recent >= static_cast<std::ptrdiff_t>(AlarmFlapCount)) {
            holdTime = std::max(holdTime, AlarmFlapClearHold);
        }
        const auto metTime = timeMet(
            i, [&](double value) { return rule.clear ? meets(*rule.clear, value) : !meets(rule.raise, value); });
        if (metTime && *metTime >= holdTime) {
            events.push_back(-static_cast<int>(i) - 1);
        }
    }
    return events;
}

}

TEST_CASE("Rule lines are parsed completely or refused", "[alerts]")
{
    SECTION("the example files are accepted")
    {
        for (const char *name : {"swan-coast.alerts", "saaristo.alerts"}) {
            auto path = std::filesystem::path(__FILE__).parent_path().parent_path() / "examples" / name;
            if (!std::filesystem::exists(path)) {
                path = std::filesystem::path("examples") / name;
            }
            std::ifstream file(path);
            std::ostringstream text;
            text << file.rdbuf();
            CHECK(rules(text.str()).size() >= 7);
        }
    }
    SECTION("every part of a line is parsed")
    {
        const auto ruleList = rules("\xEF\xBB\xBFq-1: briarvane_queue_length{service=\"s\",class=long}>=2.5 for 1m30s "
                                    "clear < 1 for 500ms severity page\r\n");
        REQUIRE(ruleList.size() == 1);
        CHECK(ruleList[0].labels == Labels{{"service", "s"}, {"class", "long"}});
        CHECK(ruleList[0].raise == AlertCondition{Comparison::AtLeast, 2.5, Duration(90'000'000)});
        CHECK(ruleList[0].clear == AlertCondition{Comparison::Below, 1, Duration(500'000)});
        CHECK(ruleList[0].severity == "page");
    }
    SECTION("a line that cannot be read is reported with its number, never dropped")
    {
        using Catch::Contains;
        CHECK(
            refusal("a: briarvane_queue_length > 1 for 5 severity x")
            == "line 2: \"5\" is not accepted; accepted: a duration of at most 24 hours in ms, s, m or h, for example "
               "90s or 1m30s");
        CHECK_THAT(refusal("briarvane_queue_length > 1 for 5s severity x"), Contains("a rule name"));
        CHECK_THAT(refusal("a: queue > 1 for 5s severity x"),
                   Contains("\"queue\" is not accepted; accepted: a metric"));
        CHECK_THAT(refusal("a: briarvane_queue_length{host=x} > 1 for 5s severity x"), Contains("a label: service"));
        CHECK_THAT(refusal("a: briarvane_queue_length{pool~x} > 1 for 5s severity x"), Contains("= and a label value"));
        CHECK_THAT(refusal("a: briarvane_queue_length{pool=x,pool=y} > 1 for 5s severity x"),
                   Contains("each label once"));
        CHECK_THAT(refusal("a: briarvane_queue_length{pool=x > 1 for 5s severity x"), Contains("a comma or }"));
        CHECK_THAT(refusal("a: briarvane_queue_length => 1 for 5s severity x"), Contains("a comparison: >"));
        CHECK_THAT(refusal("a: briarvane_queue_length > 1,5 for 5s severity x"), Contains("decimal point"));
        CHECK_THAT(refusal("a: briarvane_queue_length > inf for 5s severity x"), Contains("a number"));
        CHECK_THAT(refusal("a: briarvane_queue_length > 1 severity x"), Contains("for and a duration"));
        CHECK_THAT(refusal("a: briarvane_queue_length > 1 for 25h severity x"), Contains("at most 24 hours"));
        CHECK_THAT(refusal("a: briarvane_queue_length > 1 for 5s"), Contains("\"end of line\""));
        CHECK_THAT(refusal("a: briarvane_queue_length > 1 for 5s severity x y"), Contains("the end of the line"));
        CHECK_THAT(refusal("a: briarvane_queue_length > 5 for 5s clear < 10 severity x"), Contains("no value meets"));
        CHECK_THAT(
            refusal("a: briarvane_queue_length > 1 for 0s severity x\na: briarvane_queue_length > 1 for 0s severity x"),
            Contains("line 3: \"a\" is not accepted; accepted: each rule name once"));
    }
}

TEST_CASE("An alarm is neither repeated nor lost", "[alerts]")
{
    const auto ruleList = rules("a: briarvane_queue_length{service=s} > 5 for 2s clear < 3 for 1s severity page");
    AlertState state;
    SECTION("an alarm changes only after its hold times, and not while the value is between its thresholds")
    {
        CHECK(run(ruleList, state, {6, 6, 5, 6, 6, 6, 4, 2, 4, 2, 2}) == "+5 -10");
    }
    SECTION("a gap between samples neither raises nor clears an alarm, and restarts the hold time")
    {
        CHECK(run(ruleList, state, {6, 6, NAN, 6, 6, 6, 2, NAN, 2, 2}) == "+5 -9");
        AlertState afterGap;
        CHECK(run(ruleList, afterGap, {6, 6}).empty());
        CHECK(run(ruleList, afterGap, {6, 6, 6}, 60) == "+62");
    }
    SECTION("after a restart the stored state is continued")
    {
        CHECK(run(ruleList, state, {6, 6, 6}) == "+2");
        auto restored = parseAlertState(formatAlertState(state));
        REQUIRE(restored);
        CHECK(run(ruleList, restored.value(), {6, 6, 6}, 3).empty());
        CHECK(run(ruleList, restored.value(), {2, 2}, 6) == "-7");
        CHECK_FALSE(parseAlertState("{}"));
    }
    SECTION("an entry whose write to the store lost a race takes over the stored alarm instead of raising it again")
    {
        AlertState other;
        CHECK(run(ruleList, other, {6, 6}).empty());
        CHECK(run(ruleList, state, {6, 6, 6}) == "+2");
        other = mergeStoredAlarms(other, parseAlertState(formatAlertState(state)).value());
        CHECK(run(ruleList, other, {6, 2, 2}, 2) == "-4");
    }
    SECTION("removing the rule clears the alarm")
    {
        CHECK(run(ruleList, state, {6, 6, 6}) == "+2");
        CHECK_THAT(formatRaisedAlarms(state, ruleList), Catch::Contains(R"("rule":"a","severity":"page")"));
        CHECK(run({}, state, {6}, 3) == "-3");
        CHECK(formatRaisedAlarms(state, {}) == "[]");
    }
    SECTION("a flapping alarm stays raised until its clear condition was met for 5 minutes")
    {
        const auto sensitiveRules = rules("a: briarvane_queue_length > 5 for 0s severity page");
        CHECK(run(sensitiveRules, state, {6, 1, 6, 1, 6, 1, 6, 1}) == "+0 -1 +2 -3 +4");
        CHECK(run(sensitiveRules, state, std::vector<double>(400, 1), 8) == "-307");
    }
}

TEST_CASE("The evaluation of rules agrees with a reference implementation on random series", "[alerts]")
{
    const auto agrees = rc::check("raises and clears at the same samples", [] {
        AlertRule rule;
        rule.name = "a";
        rule.metric = Metric;
        const auto condition = [] {
            return AlertCondition{
                *rc::gen::map(rc::gen::inRange(0, 6), [](int i) { return static_cast<Comparison>(i); }),
                static_cast<double>(*rc::gen::inRange(0, 5)), Duration(*rc::gen::inRange(0, 4) * 1'000'000)};
        };
        rule.raise = condition();
        if (*rc::gen::arbitrary<bool>()) {
            const auto clear = condition();
            // The parser accepts only conditions that exclude each other. Thresholds are integers from 0 to 4, so
            // multiples of 0.5 from -0.5 to 5 cover all cases.
            for (int value = -1; value < 11; ++value) {
                const auto meets = [&](const AlertCondition &c) {
                    const double v = value / 2.0;
                    const std::array<bool, 6> all = {v > c.threshold,  v >= c.threshold, v < c.threshold,
                                                     v <= c.threshold, v == c.threshold, v != c.threshold};
                    return all[static_cast<std::size_t>(c.comparison)];
                };
                RC_PRE(!meets(rule.raise) || !meets(clear));
            }
            rule.clear = clear;
        }
        // RapidCheck narrows the ranges of generators in the first cases of a run, so the histories of these cases
        // would contain no gaps. Generating at the nominal size prevents this.
        const auto number = [](int end) { return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end)); };
        const auto length = *rc::gen::inRange<std::size_t>(0, 900);
        std::vector<std::pair<WallTime, double>> history;
        double time = 0;
        double value = 0;
        for (std::size_t i = 0; i < length; ++i) {
            const int event = number(100);
            time += event == 0 ? 5.0 : event == 1 ? 2.0 : 1.0;
            if (event >= 2 && event < 30) {
                value = number(5);
            }
            history.emplace_back(at(time), event >= 98 ? NAN : value);
        }
        AlertState state;
        std::vector<int> events;
        for (std::size_t i = 0; i < history.size(); ++i) {
            // Missing samples are passed alternately as NaN and as no sample at all.
            std::vector<MetricSample> samples = {{Metric, {}, history[i].second}};
            if (std::isnan(history[i].second) && i % 2 == 0) {
                samples.clear();
            }
            auto evaluation = evaluateAlertRules({rule}, state, samples, history[i].first);
            for (const AlarmEvent &event : evaluation.events) {
                events.push_back(event.raised ? static_cast<int>(i) + 1 : -static_cast<int>(i) - 1);
            }
            state = std::move(evaluation.next);
        }
        RC_ASSERT(events == referenceEvents(rule, history));
    });
    CHECK(agrees);
}
