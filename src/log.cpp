#include "log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>

namespace briarvane
{

namespace
{

constexpr std::chrono::seconds RepeatPeriod{1};
/// With timestamp and level a line stays below PIPE_BUF, so that writing it to a pipe is atomic.
constexpr std::size_t MaxLineBytes = 3900;

std::atomic<std::uint64_t> overRateLimit{0};
std::atomic<std::uint64_t> outputBlocked{0};

/// Drops lines instead of blocking when standard output is not writable, and limits the rate of lines by
/// LogRateLimiter.
class DroppingAppender : public log4cplus::ConsoleAppender
{
public:
    DroppingAppender()
        : log4cplus::ConsoleAppender(false, true)
    {
    }
    ~DroppingAppender() override
    {
        destructorImpl();
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        const auto now = std::chrono::steady_clock::now();
        if (event.getLogLevel() < log4cplus::WARN_LOG_LEVEL && !m_rateLimiter.take(now)) {
            ++overRateLimit;
            return;
        }
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&output, 1, 0) == 0) {
            ++outputBlocked;
            return;
        }
        log4cplus::ConsoleAppender::append(event);
    }

private:
    LogRateLimiter m_rateLimiter;  // the base class serializes calls of append()
};

log4cplus::LogLevel nativeLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("briarvane"));
}

void appendField(std::string &line, const LogField &field)
{
    line += ' ';
    line += field.first;
    line += '=';
    if (!field.second.empty() && field.second.find_first_of(" \"=\n\r\t") == std::string::npos) {
        line += field.second;
        return;
    }
    line += '"';
    for (const char c : field.second) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        line += c == '\n' || c == '\r' ? ' ' : c;
    }
    line += '"';
}

}

void openLog(std::string_view level)
{
    static log4cplus::Initializer initializer;
    auto layout = std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %m%n"));
    log4cplus::SharedAppenderPtr appender(new DroppingAppender);
    appender->setLayout(std::move(layout));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    std::string upper;
    for (const char c : level) {
        upper += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(upper));
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    log4cplus::Logger target = logger();
    if (!target.isEnabledFor(nativeLevel(level))) {
        return;
    }
    std::string line = "event=";
    line += event;
    for (const LogField &field : fields) {
        appendField(line, field);
    }
    if (line.size() > MaxLineBytes) {
        line.resize(MaxLineBytes);
        line += " cut=yes";
    }
    target.forcedLog(nativeLevel(level), line);
}

bool LogRateLimiter::take(std::chrono::steady_clock::time_point now)
{
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        m_linesInSecond = 0;
    }
    return ++m_linesInSecond <= LinesPerSecond;
}

LogDrops logDrops()
{
    return {overRateLimit, outputBlocked};
}

void logRepeated(LogLevel level, std::string_view event, std::string_view subject,
                 std::initializer_list<LogField> fields)
{
    struct LastLine
    {
        std::chrono::steady_clock::time_point writtenAt;
        std::size_t suppressed = 0;
    };
    static std::mutex mutex;
    static std::map<std::string, LastLine> lastLines;
    std::size_t suppressed = 0;
    {
        const std::lock_guard lock(mutex);
        const auto now = std::chrono::steady_clock::now();
        auto [lastLine, isNew] = lastLines.try_emplace(std::string(event) + " " + std::string(subject));
        if (!isNew && now - lastLine->second.writtenAt < RepeatPeriod) {
            ++lastLine->second.suppressed;
            return;
        }
        suppressed = std::exchange(lastLine->second.suppressed, 0);
        lastLine->second.writtenAt = now;
    }
    std::string line;
    for (const LogField &field : fields) {
        appendField(line, field);
    }
    logEvent(level, event,
             {{"subject", std::string(subject)},
              {"suppressed", std::to_string(suppressed)},
              {"detail", line.empty() ? line : line.substr(1)}});
}

}
