#pragma once

// Logs: log4cplus to standard output, one line an event, stable key=value fields.

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
/// The same, at most once a second for each event and `subject`; the next line says how many were left out.
void logRepeated(LogLevel level, std::string_view event, std::string_view subject,
                 std::initializer_list<LogField> fields = {});

}
