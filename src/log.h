#pragma once

// Logs: log4cplus to standard output, one line an event, stable key=value fields.

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace briarvane
{

enum class LogLevel { Debug, Info, Warn, Error };

/// `field` values are quoted when they hold spaces or quotes.
using LogField = std::pair<std::string_view, std::string>;

void openLog(std::string_view level);  // "debug", "info", "warn" or "error"; once per process
/// `event` is a fixed name in lower case with dashes, for example "entry-ready".
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});
/// Lines that were not written since the start of the process.
struct LogDrops
{
    std::uint64_t overBudget = 0;  // beyond LogBudget
    std::uint64_t readerBusy = 0;  // standard output took no more bytes; a line never waits for that
};
LogDrops logDrops();

/// Bounds the lines below the level `warn`.
class LogBudget
{
public:
    static constexpr int LinesPerSecond = 400;  // several times what the busiest entry of the grown sites writes

    bool take(std::chrono::steady_clock::time_point now);

private:
    std::chrono::steady_clock::time_point m_begun;
    int m_used = 0;  // in the second that began then
};

/// The same, at most once a second for each event and `subject`; the next line says how many were left out.
void logRepeated(LogLevel level, std::string_view event, std::string_view subject,
                 std::initializer_list<LogField> fields = {});

}
