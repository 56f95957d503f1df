#pragma once

// Logging through log4cplus to standard output: one line per event, with key=value fields.

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace briarvane
{

enum class LogLevel { Debug, Info, Warn, Error };

/// Name and value of a field. Values that are empty or contain white space, quotes or '=' are quoted.
using LogField = std::pair<std::string_view, std::string>;

/// Starts logging at `level`: "debug", "info", "warn" or "error". Call it once per process.
void openLog(std::string_view level);
/// Writes one line. `event` is a constant name in lower case with dashes, for example "entry-ready".
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// Numbers of lines that were dropped since the start of the process.
struct LogDrops
{
    std::uint64_t overRateLimit = 0;  // dropped by LogRateLimiter
    std::uint64_t outputBlocked = 0;  // dropped because standard output was not writable; writing never blocks
};
LogDrops logDrops();

/// Limits how many lines below the level `warn` are written per second. Warnings and errors are not limited.
class LogRateLimiter
{
public:
    /// Several times the number of lines that the busiest entry of the largest deployments writes per second.
    static constexpr int LinesPerSecond = 400;

    /// Returns false when the line must be dropped.
    bool take(std::chrono::steady_clock::time_point now);

private:
    std::chrono::steady_clock::time_point m_secondStart;
    int m_linesInSecond = 0;  // lines since m_secondStart
};

/// Like logEvent(), but writes at most one line per second for each pair of `event` and `subject`. The next line of the
/// pair reports how many lines were suppressed.
void logRepeated(LogLevel level, std::string_view event, std::string_view subject,
                 std::initializer_list<LogField> fields = {});

}
