#include "job.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace briarvane
{

namespace json = boost::json;

Resources &Resources::operator+=(const Resources &other)
{
    const auto add = [](int &sum, int value) {
        sum = static_cast<int>(std::min<std::int64_t>(std::numeric_limits<int>::max(), std::int64_t{sum} + value));
    };
    add(milliCores, other.milliCores);
    add(memoryMb, other.memoryMb);
    add(gpus, other.gpus);
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    milliCores -= other.milliCores;
    memoryMb -= other.memoryMb;
    gpus -= other.gpus;
    return *this;
}

bool Resources::fitsInto(const Resources &available) const
{
    return milliCores <= available.milliCores && memoryMb <= available.memoryMb && gpus <= available.gpus;
}

int tasksThatFit(const Resources &each, const Resources &used, const Resources &capacity, int limit)
{
    int tasks = limit;
    for (const auto field : {&Resources::milliCores, &Resources::memoryMb, &Resources::gpus}) {
        const std::int64_t room = std::int64_t{capacity.*field} - used.*field;
        if (room < each.*field) {
            return 0;
        }
        if (each.*field > 0) {
            tasks = static_cast<int>(std::min<std::int64_t>(tasks, room / (each.*field)));
        }
    }
    return std::max(0, tasks);
}

Resources requestedResources(const StepSpec &step)
{
    Resources requested = step.each;
    if (step.bestEffort) {
        requested.milliCores = 0;
    }
    return requested;
}

Duration adviceTime(const AdvicePolicy &policy)
{
    constexpr int executors = 30;  // the latency objective assumes one call that names this many executors
    return policy.required ? policy.callTime + executors * policy.perExecutor : Duration{0};
}

Duration longestChain(const JobSpec &spec)
{
    std::vector<Duration> ends;
    Duration longest{0};
    for (const StepSpec &step : spec.steps) {
        Duration begin{0};
        for (const int earlier : step.after) {
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        }
        ends.push_back(begin + adviceTime(spec.advice) + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

std::string formatTaskName(const TaskName &name)
{
    return name.job + '.' + std::to_string(name.occurrence) + '.' + std::to_string(name.step) + '.'
        + std::to_string(name.index);
}

std::optional<TaskName> parseTaskName(std::string_view text)
{
    TaskName name;
    const auto parseLastNumber = [&text](int &number) {
        const std::size_t dot = text.rfind('.');
        if (dot == std::string_view::npos) {
            return false;
        }
        const std::string_view digits = text.substr(dot + 1);
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
        text = text.substr(0, dot);
        return error == std::errc() && end == digits.data() + digits.size() && !digits.empty() && number >= 0;
    };
    if (!parseLastNumber(name.index) || !parseLastNumber(name.step) || !parseLastNumber(name.occurrence)
        || text.empty()) {
        return std::nullopt;
    }
    name.job = text;
    return name;
}

namespace
{

json::object encodeStep(const StepSpec &step)
{
    json::object object{{"n", step.count}, {"ms", step.estimate.count() / 1000}};
    const auto put = [&object](std::string_view name, const auto &value, const auto &defaultValue) {
        if (value != defaultValue) {
            object[name] = value;
        }
    };
    put("cpu", step.each.milliCores, 0);
    put("mem", step.each.memoryMb, 0);
    put("gpu", step.each.gpus, 0);
    put("gang", step.gang, false);
    put("same_rack", step.sameRack, false);
    put("label", step.requiredLabel, "");
    put("rack", step.dataRack, "");
    put("limit", step.perExecutorLimit, 0);
    put("speculative", step.speculative, false);
    put("long", step.longRunning, false);
    put("saves", step.checkpointing, false);
    put("fills", step.bestEffort, false);
    put("image", step.image, "");
    put("latency_ms", step.latencyTarget.count() / 1000, 0);
    put("absent", step.maxUnavailable, 0);
    if (!step.after.empty()) {
        object["after"] = json::value_from(step.after);
    }
    return object;
}

template<class T>
T fieldOr(const json::object &object, std::string_view name, T defaultValue)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr) {
        return defaultValue;
    }
    if constexpr (std::is_same_v<T, std::string>) {
        return value->is_string() ? std::string(value->get_string()) : defaultValue;
    } else if constexpr (std::is_same_v<T, bool>) {
        return value->is_bool() ? value->get_bool() : defaultValue;
    } else {
        boost::system::error_code error;
        const T number = value->to_number<T>(error);
        return error ? defaultValue : number;
    }
}

StepSpec decodeStep(const json::object &object)
{
    StepSpec step;
    step.count = fieldOr(object, "n", 0);
    step.each = {fieldOr(object, "cpu", 0), fieldOr(object, "mem", 0), fieldOr(object, "gpu", 0)};
    step.estimate = std::chrono::milliseconds(fieldOr(object, "ms", std::int64_t{0}));
    step.gang = fieldOr(object, "gang", false);
    step.sameRack = fieldOr(object, "same_rack", false);
    step.requiredLabel = fieldOr(object, "label", std::string());
    step.dataRack = fieldOr(object, "rack", std::string());
    step.perExecutorLimit = std::min(fieldOr(object, "limit", 0), step.count);  // unbounded in jobs of earlier versions
    step.speculative = fieldOr(object, "speculative", false);
    step.longRunning = fieldOr(object, "long", false);
    step.checkpointing = fieldOr(object, "saves", false);
    step.bestEffort = fieldOr(object, "fills", false);
    step.image = fieldOr(object, "image", std::string());
    step.latencyTarget = std::chrono::milliseconds(fieldOr(object, "latency_ms", std::int64_t{0}));
    step.maxUnavailable = std::min(fieldOr(object, "absent", 0), step.count);
    if (const json::value *after = object.if_contains("after"); after != nullptr && after->is_array()) {
        for (const json::value &earlier : after->get_array()) {
            step.after.push_back(static_cast<int>(earlier.to_number<std::int64_t>()));
        }
    }
    return step;
}

Error unreadable(std::string_view what)
{
    return Error{ErrorCode::Invalid, std::string(what) + " in the store cannot be parsed"};
}

}

bool JobRecord::isTakenFor(const std::string &workspace) const
{
    return takenFor.empty() || workspace.empty()
        || std::find(takenFor.begin(), takenFor.end(), workspace) != takenFor.end();
}

std::string encodeJobRecord(const JobRecord &record)
{
    if (isFinal(record.state)) {
        json::object object{{"state", toString(record.state)}, {"ended", record.endedMs}};
        if (!record.spec.workspace.empty()) {
            object["workspace"] = record.spec.workspace;
        }
        if (!record.takenFor.empty()) {
            object["taken_for"] = json::value_from(record.takenFor);
        }
        return json::serialize(object);
    }
    const JobSpec &spec = record.spec;
    json::array steps;
    for (const StepSpec &step : spec.steps) {
        steps.push_back(encodeStep(step));
    }
    json::object object{{"queue", spec.queue},        {"service", spec.service},
                        {"payload", spec.payload},    {"steps", std::move(steps)},
                        {"priority", spec.priority},  {"attempts", spec.maxAttempts},
                        {"stretch", spec.stretch},    {"latency_ms", spec.targetLatency.count() / 1000},
                        {"accepted", spec.acceptedMs}};
    if (!spec.workspace.empty()) {
        object["workspace"] = spec.workspace;
    }
    if (record.hasProgress) {
        object["progress"] = true;
    }
    if (spec.occurrences > 0) {
        object["occurrences"] = spec.occurrences;
        object["due"] = spec.firstDueMs;
        object["interval"] = spec.intervalMs;
    }
    if (spec.advice.required) {
        const AdvicePolicy &advice = spec.advice;
        object["advice_us"] = json::array{advice.callTime.count(), advice.perExecutor.count(), advice.valid.count()};
    }
    return json::serialize(object);
}

Result<JobRecord> parseJobRecord(std::string_view id, std::string_view text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return unreadable("a job");
    }
    const json::object &object = value.get_object();
    JobRecord record;
    record.spec.workspace = fieldOr(object, "workspace", std::string());
    if (object.contains("state")) {
        const auto state = parseEnum<JobState>(fieldOr(object, "state", std::string()));
        if (!state) {
            return unreadable("a job's state");
        }
        record.state = *state;
        record.endedMs = fieldOr(object, "ended", std::int64_t{0});
        if (const json::value *names = object.if_contains("taken_for"); names != nullptr && names->is_array()) {
            for (const json::value &name : names->get_array()) {
                if (name.is_string()) {
                    record.takenFor.emplace_back(name.get_string());
                }
            }
        }
        return record;
    }
    record.hasProgress = fieldOr(object, "progress", false);
    JobSpec &spec = record.spec;
    spec.id = id;
    spec.queue = fieldOr(object, "queue", std::string());
    spec.service = fieldOr(object, "service", std::string());
    spec.payload = fieldOr(object, "payload", std::string());
    spec.priority = fieldOr(object, "priority", 0);
    spec.maxAttempts = fieldOr(object, "attempts", 1);
    spec.stretch = fieldOr(object, "stretch", 1.0);
    spec.targetLatency = std::chrono::milliseconds(fieldOr(object, "latency_ms", std::int64_t{0}));
    spec.acceptedMs = fieldOr(object, "accepted", std::int64_t{0});
    spec.occurrences = fieldOr(object, "occurrences", 0);
    spec.firstDueMs = fieldOr(object, "due", std::int64_t{0});
    spec.intervalMs = fieldOr(object, "interval", std::int64_t{0});
    constexpr std::size_t adviceColumns = 3;
    if (const json::value *advice = object.if_contains("advice_us"); advice != nullptr) {
        if (!advice->is_array() || advice->get_array().size() != adviceColumns) {
            return unreadable("a job's advice");
        }
        const auto time
            = [advice](std::size_t column) { return Duration(advice->get_array()[column].to_number<std::int64_t>()); };
        spec.advice = {true, time(0), time(1), time(2)};
    }
    const json::value *steps = object.if_contains("steps");
    if (steps == nullptr || !steps->is_array()) {
        return unreadable("a job's steps");
    }
    for (const json::value &step : steps->get_array()) {
        if (!step.is_object()) {
            return unreadable("a job's step");
        }
        spec.steps.push_back(decodeStep(step.get_object()));
    }
    return record;
}

std::string encodeProgress(const JobProgress &progress)
{
    json::array rows;
    for (const auto &[position, task] : progress) {
        const auto &[occurrence, step, index] = position;
        rows.push_back({occurrence, step, index, task.run, json::value_from(task.failedRuns), task.done, task.executor,
                        task.checkpoint});
    }
    return json::serialize(rows);
}

Result<JobProgress> parseProgress(std::string_view text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_array()) {
        return unreadable("a job's progress");
    }
    constexpr std::size_t columns = 8;
    JobProgress progress;
    for (const json::value &item : value.get_array()) {
        if (!item.is_array() || item.get_array().size() != columns) {
            return unreadable("a task's progress");
        }
        const json::array &row = item.get_array();
        const auto number = [&row](std::size_t column) { return static_cast<int>(row[column].get_int64()); };
        std::vector<int> failedRuns;
        for (const json::value &run : row[4].get_array()) {
            failedRuns.push_back(static_cast<int>(run.get_int64()));
        }
        progress[{number(0), number(1), number(2)}]
            = {number(3), std::move(failedRuns), row[5].get_bool(), std::string(row[6].get_string()),
               std::string(row[7].get_string())};
    }
    return progress;
}

}
