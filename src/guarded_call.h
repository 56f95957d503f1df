#pragma once

// Stops exceptions of a callback at the place that calls it, so that one message with unexpected content ends neither
// the process nor the loop that has to read the next message.

#include "log.h"

#include <exception>

namespace briarvane
{

/// Number of exceptions that callGuarded() has stopped since the start of the process.
inline std::uint64_t &stoppedExceptions()
{
    static std::uint64_t count = 0;
    return count;
}

/// Calls the function. Returns false if it threw; the exception is counted and logged with `source`, the kind of
/// message or timer that the function handles.
template<class F>
bool callGuarded(std::string_view source, F &&function)
{
    std::string why = "not a std::exception";
    try {
        std::forward<F>(function)();
        return true;
    } catch (const std::exception &error) {
        why = error.what();
    } catch (...) {  // logged below
    }
    ++stoppedExceptions();
    logRepeated(LogLevel::Error, "unexpected-error", source, {{"source", std::string(source)}, {"why", why}});
    return false;
}

}
