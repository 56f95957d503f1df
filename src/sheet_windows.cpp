#include "sheet.h"

#include <boost/date_time/local_time/local_time.hpp>

#include <cctype>

namespace briarvane
{

namespace
{

namespace gregorian = boost::gregorian;
namespace local_time = boost::local_time;
namespace posix_time = boost::posix_time;

/// Supported IANA names with their POSIX TZ strings. The rules have been in force since 1996 (Helsinki) and 2009
/// (Perth). When a rule changes, operators can put a POSIX TZ string into the sheet until this table is updated.
constexpr std::array<std::pair<std::string_view, std::string_view>, 3> NamedTimeZones
    = {{{"UTC", "UTC0"}, {"Australia/Perth", "AWST-8"}, {"Europe/Helsinki", "EET-2EEST,M3.5.0/3,M10.5.0/4"}}};

/// Converts a POSIX TZ string to the format of boost::local_time::posix_time_zone. Unlike POSIX, Boost expects positive
/// offsets east of Greenwich, expects the daylight-saving offset relative to standard time, and does not support names
/// in angle brackets.
class PosixZone
{
public:
    explicit PosixZone(std::string_view text)
        : m_rest(text)
    {
    }

    std::optional<std::string> boostFormat()
    {
        int standard = 0;
        if (!name() || !offset(standard)) {
            return std::nullopt;
        }
        if (m_rest.empty()) {
            return "STD" + signedTime(-standard);
        }
        if (!name()) {
            return std::nullopt;
        }
        int daylight = standard - 60;  // POSIX default: one hour ahead of standard time
        if (m_rest.empty() || (m_rest.front() != ',' && !offset(daylight))) {
            return std::nullopt;
        }
        if (daylight == standard) {
            return std::nullopt;
        }
        std::string start;
        std::string end;
        if (!rule(start) || !rule(end) || !m_rest.empty()) {
            return std::nullopt;
        }
        return "STD" + signedTime(-standard) + "DST" + signedTime(standard - daylight) + start + end;
    }

private:
    bool consume(char c)
    {
        const bool found = !m_rest.empty() && m_rest.front() == c;
        if (found) {
            m_rest.remove_prefix(1);
        }
        return found;
    }

    bool name()
    {
        const bool bracketed = consume('<');
        std::size_t length = 0;
        while (length < m_rest.size()
               && (std::isalpha(static_cast<unsigned char>(m_rest[length])) != 0
                   || (bracketed
                       && (std::isdigit(static_cast<unsigned char>(m_rest[length])) != 0 || m_rest[length] == '+'
                           || m_rest[length] == '-')))) {
            ++length;
        }
        m_rest.remove_prefix(length);
        return length >= 3 && (!bracketed || consume('>'));
    }

    bool number(int &value, int low, int high)
    {
        std::size_t length = 0;
        value = 0;
        while (length < m_rest.size() && length < 3 && std::isdigit(static_cast<unsigned char>(m_rest[length])) != 0) {
            value = value * 10 + (m_rest[length] - '0');
            ++length;
        }
        m_rest.remove_prefix(length);
        return length > 0 && value >= low && value <= high;
    }

    bool clock(int &minutes, int highHour)
    {
        int hour = 0;
        int minute = 0;
        if (!number(hour, 0, highHour) || (consume(':') && !number(minute, 0, 59))) {
            return false;
        }
        minutes = hour * 60 + minute;
        return true;
    }

    bool offset(int &minutes)
    {
        const bool negative = consume('-');
        if (!negative) {
            consume('+');
        }
        if (!clock(minutes, 14)) {
            return false;
        }
        minutes = negative ? -minutes : minutes;
        return true;
    }

    bool rule(std::string &text)
    {
        int month = 0;
        int week = 0;
        int day = 0;
        int minutes = 120;  // POSIX default: 02:00
        if (!consume(',') || !consume('M') || !number(month, 1, 12) || !consume('.') || !number(week, 1, 5)
            || !consume('.') || !number(day, 0, 6) || (consume('/') && !clock(minutes, 23))) {
            return false;
        }
        text = ",M" + std::to_string(month) + "." + std::to_string(week) + "." + std::to_string(day) + "/"
            + signedTime(minutes).substr(1);
        return true;
    }

    static std::string signedTime(int minutes)
    {
        const int magnitude = minutes < 0 ? -minutes : minutes;
        const auto twoDigits = [](int value) { return std::string(value < 10 ? "0" : "") + std::to_string(value); };
        return (minutes < 0 ? "-" : "+") + twoDigits(magnitude / 60) + ":" + twoDigits(magnitude % 60);
    }

    std::string_view m_rest;
};

std::optional<std::string> boostZone(std::string_view timeZone)
{
    for (const auto &[name, posix] : NamedTimeZones) {
        if (name == timeZone) {
            return PosixZone(posix).boostFormat();
        }
    }
    return PosixZone(timeZone).boostFormat();
}

posix_time::ptime boostTime(WallTime now)
{
    return {gregorian::date(1970, 1, 1), posix_time::microseconds(now.time_since_epoch().count())};
}

}

std::string_view acceptedTimeZones()
{
    return "UTC, Australia/Perth, Europe/Helsinki, or a POSIX TZ string with M rules such as "
           "EET-2EEST,M3.5.0/3,M10.5.0/4";
}

Result<std::chrono::seconds> timeZoneOffset(std::string_view timeZone, WallTime now)
{
    const auto boostZoneText = boostZone(timeZone);
    if (!boostZoneText) {
        return Error{ErrorCode::Invalid,
                     "unknown time zone \"" + std::string(timeZone)
                         + "\"; accepted: " + std::string(acceptedTimeZones())};
    }
    const local_time::posix_time_zone zone(*boostZoneText);
    const posix_time::ptime utc = boostTime(now);
    posix_time::time_duration offset = zone.base_utc_offset();
    if (zone.has_dst()) {
        // The comparison is in UTC, which has no skipped or repeated times. The rules give local times: the start of
        // daylight saving in standard time, the end in daylight-saving time.
        const auto year = (utc + offset).date().year();
        const posix_time::ptime start = zone.dst_local_start_time(year) - offset;
        const posix_time::ptime end = zone.dst_local_end_time(year) - offset - zone.dst_offset();
        const bool northern = start < end;
        if (northern ? utc >= start && utc < end : utc >= start || utc < end) {
            offset += zone.dst_offset();
        }
    }
    return std::chrono::seconds(offset.total_seconds());
}

bool windowIsOpen(const WindowSpec &window, WallTime now)
{
    const auto offset = timeZoneOffset(window.timeZone, now);
    if (!offset) {
        return false;
    }
    const posix_time::ptime local = boostTime(now) + posix_time::seconds(offset.value().count());
    constexpr std::int64_t dayMicroseconds = 86'400'000'000;
    constexpr std::int64_t minuteMicroseconds = 60'000'000;
    // Check the window of the current day and the window of the previous day, which may extend past midnight.
    for (int daysAgo = 0; daysAgo <= 1; ++daysAgo) {
        const gregorian::date day = local.date() - gregorian::days(daysAgo);
        const int weekday = (day.day_of_week().as_number() + 6) % 7;  // Monday is 0; Boost counts from Sunday
        if ((window.days >> weekday & 1) == 0) {
            continue;
        }
        const std::int64_t sinceMidnight = local.time_of_day().total_microseconds() + daysAgo * dayMicroseconds;
        if (sinceMidnight >= window.startMinute * minuteMicroseconds
            && sinceMidnight < window.endMinute * minuteMicroseconds) {
            return true;
        }
    }
    return false;
}

}
