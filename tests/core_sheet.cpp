#include "sheet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace briarvane;

namespace
{

/// Reads a file of examples/. Works in the build directory, where CTest runs tests, and in the root of the sources.
std::string example(const std::string &name)
{
    auto path = std::filesystem::path(__FILE__).parent_path().parent_path() / "examples" / name;
    if (!std::filesystem::exists(path)) {
        path = std::filesystem::path("examples") / name;
    }
    std::ifstream file(path, std::ios::binary);
    REQUIRE(file);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// A sheet with one service, a pool of three instances and an empty pool. `rows` are inserted before the end row, whose
/// count includes them. `header` replaces the default header up to the column `end`; `service` replaces the default
/// service row.
std::string sheet(const std::vector<std::string> &rows, const std::string &header = "", const std::string &service = "")
{
    std::vector<std::string> rowTexts
        = {"fleet,,,saaristo,UTC,,,,,,,,,,,", "pool,a,,,,1,,,,,,,,,,",
           "pool,b,,,,0,5,,,,,,,,,",          service.empty() ? "service,s,a,,,,,,/s,short,2.5,0.1,60,,," : service,
           "instance,a-1,a,,,,,,,,,,,,,",     "instance,a-2,a,,,,,,,,,,,,,",
           "instance,a-3,a,,,,,,,,,,,,,"};
    rowTexts.insert(rowTexts.end(), rows.begin(), rows.end());
    std::string text = header.empty()
        ? "kind,name,pool,profile,time_zone,min_instances,max_instances,slots,route,class,"
          "deadline_s,declared_s,availability_pct,days,start,end"
        : header;
    text += ",target,count,note\n";
    for (const std::string &row : rowTexts) {
        text += row + (std::count(row.begin(), row.end(), ',') == 15 ? ",,,\n" : "\n");
    }
    return text + "end,,,,,,,,,,,,,,,,," + std::to_string(rowTexts.size()) + ",\n";
}

/// The errors of a sheet, one per line.
std::string refusal(const std::string &text)
{
    std::string lines;
    for (const SheetError &error : parseSheet(text).errors) {
        lines += describe(error) + "\n";
    }
    return lines;
}

std::string refusedRow(const std::string &row)
{
    return refusal(sheet({row}));
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    REQUIRE(text.find(from) != std::string::npos);
    return text.replace(text.find(from), from.size(), to);
}

WallTime utc(int year, int month, int day, int hour, int minute)
{
    return WallTime(std::chrono::sys_days(std::chrono::year(year) / month / day).time_since_epoch()
                    + std::chrono::hours(hour) + std::chrono::minutes(minute));
}

}

TEST_CASE("The example sheets are accepted", "[sheet]")
{
    SECTION("comma file with LF; a quoted note with a line break is one row")
    {
        const auto check = parseSheet(example("swan-coast.csv"));
        for (const SheetError &error : check.errors) {
            FAIL_CHECK(describe(error));
        }
        CHECK(check.sheet.services.size() == 5);
        CHECK(check.sheet.instances.size() == 50);
        CHECK(check.sheet.profile == Profile::SwanCoast);
        CHECK(check.sheet.services[2].deadline == Duration(2'500'000));
        CHECK(check.sheet.services[2].availability == Approx(0.875));
        CHECK(check.sheet.windows[0].endMinute == 28 * 60);
        CHECK(check.sheet.windows[0].timeZone == "Australia/Perth");
    }
    SECTION("semicolon file with decimal comma, CRLF and byte-order mark")
    {
        const auto check = parseSheet(example("saaristo.csv"));
        for (const SheetError &error : check.errors) {
            FAIL_CHECK(describe(error));
        }
        CHECK(check.sheet.instances.size() == 50);
        CHECK(check.sheet.services[0].deadline == Duration(2'500'000));
        CHECK(check.sheet.pools[4].spare);
        CHECK(check.sheet.quotas.size() == 3);
    }
    REQUIRE(refusal(sheet({})).empty());
}

TEST_CASE("Each error of a sheet is reported with row, column, value and accepted values", "[sheet]")
{
    using Catch::Contains;
    using Catch::StartsWith;
    SECTION("header")
    {
        CHECK(refusal("") == "row 1: \"\" is not accepted; accepted: a header line; the file is empty\n");
        CHECK_THAT(refusal("name;pool\n"), StartsWith("row 1, column kind"));
        CHECK_THAT(refusal(replaced(sheet({}), "slots", "slotz")), StartsWith("row 1, column slotz: \"slotz\""));
        CHECK_THAT(refusal(replaced(sheet({}), "slots", "days")), Contains("each column once"));
        CHECK_THAT(refusal(std::string(1'000'001, 'x')), Contains("at most 1000000 bytes"));
    }
    SECTION("form of rows and fields")
    {
        CHECK_THAT(refusedRow("pool,c"), StartsWith("row 9: \"2 fields\""));
        CHECK_THAT(refusedRow("poool,c,,,,0,,,,,,,,,,"), Contains("column kind: \"poool\""));
        CHECK_THAT(refusedRow("pool,c\"d,,,,0,,,,,,,,,,"), Contains("quotes only around a whole field"));
        CHECK_THAT(refusedRow("pool,\"c\"d,,,,0,,,,,,,,,,"), Contains("a separator after the closing quote"));
        CHECK_THAT(refusedRow("pool,\"c,,,,0,,,,,,,,,,"), Contains("a closing quote (the file may be truncated)"));
        CHECK_THAT(refusedRow("pool,c\xFF,,,,0,,,,,,,,,,"), Contains("UTF-8"));
        CHECK_THAT(refusedRow("instance,a-4,,,,,,,,,,,,,,"),
                   Contains("column pool: \"\" is not accepted; accepted: a value"));
        CHECK_THAT(refusedRow("instance,a-4,a,,,,,,,,2.5,,,,,"), Contains("no value for kind instance"));
    }
    SECTION("values")
    {
        CHECK_THAT(refusedRow("pool,C c,,,,0,,,,,,,,,,"), Contains("column name: \"C c\""));
        CHECK_THAT(refusedRow("pool,c,,,,-1,,,,,,,,,,"), Contains("whole number from 0 to 10000"));
        CHECK_THAT(refusedRow("pool,c,,,,0,,1025,,,,,,,,"), Contains("column slots: \"1025\""));
        CHECK_THAT(refusedRow("pool,c,,,,0,,100,,,,,,,,"), Contains("column connections"));
        CHECK_THAT(refusedRow("pool,c,,,,3,2,,,,,,,,,"), Contains("0 or at least min_instances, 3"));
        CHECK_THAT(refusedRow("service,t,a,,,,,,t,short,2.5,0.1,60,,,"), Contains("column route: \"t\""));
        CHECK_THAT(refusedRow("service,t,a,,,,,,/t,fast,2.5,0.1,60,,,"), Contains("accepted: urgent, short, long"));
        CHECK_THAT(refusedRow("service,t,a,,,,,,/t,short,\"2,5\",0.1,60,,,,,,"),
                   Contains("decimal point in a comma file"));
        CHECK_THAT(refusedRow("service,t,a,,,,,,/t,short,1,1.1,60,,,"), Contains("at most deadline_s"));
        CHECK_THAT(refusedRow("service,t,a,,,,,,/t,short,1,1,100.1,,,"), Contains("percent from 0 to 100"));
        CHECK_THAT(refusedRow("instance,four,a,,,,,,,,,,,,,"), Contains("for example orders-3"));
        CHECK_THAT(refusedRow("quota,x y,,,,,,,,,,,,,,,,5,"), Contains("1 to 64 of"));
        CHECK_THAT(refusedRow("quota,x,,,,,,,,,,,,,,,,0,"), Contains("at least 1 for kind quota"));
        CHECK_THAT(refusal(replaced(sheet({}), "saaristo", "tampere")), Contains("accepted: swan-coast, saaristo"));
        CHECK_THAT(refusal(replaced(sheet({}), ",UTC", ",Mars/Base")), Contains("column time_zone: \"Mars/Base\""));
        std::string semicolons = sheet({});
        std::replace(semicolons.begin(), semicolons.end(), ',', ';');
        CHECK_THAT(refusal(semicolons), Contains("row 5, column deadline_s: \"2.5\""));
    }
    SECTION("windows")
    {
        CHECK_THAT(refusedRow("window,,a,,,,,,,,,,,someday,01:00,02:00"), Contains("column days: \"someday\""));
        CHECK_THAT(refusedRow("window,,a,,,,,,,,,,,daily,1:00,02:00"), Contains("column start: \"1:00\""));
        CHECK_THAT(refusedRow("window,,a,,,,,,,,,,,daily,24:00,25:00"), Contains("column start: \"24:00\""));
        CHECK_THAT(refusedRow("window,,a,,,,,,,,,,,daily,22:00,02:00"), Contains("for example 26:00"));
        CHECK_THAT(refusedRow("window,,a,,,,,,,,,,,daily,02:00,26:01"), Contains("column end: \"26:01\""));
        CHECK_THAT(refusedRow("window,,z,,,,,,,,,,,daily,01:00,02:00"), Contains("a pool of this sheet: a, b"));
        const std::string window = "window,,a,,,,,,,,,,,daily,01:00,02:00";
        CHECK_THAT(refusal(sheet({window, window})), Contains("row 9 has it too"));
    }
    SECTION("names that occur twice or are missing")
    {
        CHECK_THAT(refusedRow("fleet,,,saaristo,UTC,,,,,,,,,,,"), Contains("one fleet row; row 2"));
        CHECK_THAT(refusedRow("pool,b,,,,0,,,,,,,,,,"), Contains("each pool once; row 4"));
        CHECK_THAT(refusedRow("service,s,a,,,,,,/t,short,1,1,60,,,"), Contains("each service once; row 5"));
        CHECK_THAT(refusedRow("service,t,a,,,,,,/s,short,1,1,60,,,"), Contains("each route once; row 5"));
        CHECK_THAT(refusedRow("instance,a-3,b,,,,,,,,,,,,,"), Contains("each instance once; row 8"));
        CHECK_THAT(refusedRow("instance,a-4,z,,,,,,,,,,,,,"), Contains("a pool of this sheet: a, b"));
        CHECK_THAT(refusedRow("service,t,z,,,,,,/t,short,1,1,60,,,"), Contains("a pool of this sheet: a, b"));
        CHECK_THAT(refusedRow("service,t,b,,,,,,/t,short,1,1,60,,,"), Contains("a pool with at least one instance"));
        CHECK_THAT(refusal("kind,count\nend,0\n"), Contains("one fleet row is required"));
        const std::string quota = "quota,x,,,,,,,,,,,,,,,,5,";
        CHECK_THAT(refusal(sheet({quota, quota})), Contains("each quota once"));
    }
    SECTION("pool sizes and moves")
    {
        CHECK_THAT(refusedRow("pool,c,,,,1,,,,,,,,,,"), Contains("the pool has 0 instance rows"));
        CHECK_THAT(refusal(replaced(sheet({}), "pool,a,,,,1,,", "pool,a,,,,1,2,")),
                   Contains("at least the pool's size"));
        CHECK_THAT(refusedRow("move,,a,,,,,,,,,,,,,,z,1,"), Contains("column target: \"z\""));
        CHECK_THAT(refusedRow("move,,a,,,,,,,,,,,,,,a,1,"), Contains("another pool"));
        CHECK_THAT(refusedRow("move,,a,,,,,,,,,,,,,,b,0,"), Contains("at least 1 for kind move"));
        CHECK_THAT(refusedRow("move,,a,,,,,,,,,,,,,,b,3,"), Contains("0 would be left"));
        const std::string move = "move,,a,,,,,,,,,,,,,,b,1,";
        CHECK_THAT(refusal(sheet({move, move})), Contains("each move once"));
        CHECK_THAT(refusal(replaced(sheet({replaced(move, "b,1", "b,2")}), "0,5,,", "0,1,,")),
                   Contains("within max_instances; it would have 2"));
    }
    SECTION("a budget of 99% in a pool of 3 allows no instance down, so a window or a move can never happen")
    {
        const std::string strict = "service,s,a,,,,,,/s,short,2.5,0.1,99,,,";
        CHECK(refusal(sheet({}, "", strict)).empty());
        CHECK(refusal(sheet({"window,,a,,,,,,,,,,,daily,01:00,02:00"}, "", strict))
              == "row 5, column availability_pct: \"99\" is not accepted; accepted: at most 66.666 with 3 instances, "
                 "since the window of row 9 needs one of them down\n");
        CHECK_THAT(refusal(sheet({"move,,a,,,,,,,,,,,,,,b,1,"}, "", strict)), Contains("the move of row 9"));
        CHECK(maxInstancesDown(10, 0.9) == 1);
        CHECK(maxInstancesDown(3, 0.67) == 0);
    }
    SECTION("truncation of the example files at every byte")
    {
        CHECK_THAT(refusal(replaced(sheet({}), ",7,", ",8,")), Contains("accepted: 7, the rows between"));
        CHECK_THAT(refusal(sheet({}) + sheet({})), Contains("no row after the end row"));
        for (const char *name : {"swan-coast.csv", "saaristo.csv"}) {
            const std::string whole = example(name);
            const std::size_t lineEnd = whole.size() - whole.find_last_not_of("\r\n") - 1;
            std::size_t accepted = 0;
            // A file that lacks only its final newline is complete, so the loop stops before that length.
            for (std::size_t size = 0; size + lineEnd < whole.size(); ++size) {
                accepted += parseSheet(std::string_view(whole).substr(0, size)).errors.empty() ? 1 : 0;
            }
            CHECK(accepted == 0);
        }
    }
    SECTION("all errors are reported at once")
    {
        const auto check = parseSheet(sheet({"pool,C,,,,x,,,,,,,,,,", "instance,a-3,b,,,,,,,,,,,,,"}));
        REQUIRE(check.errors.size() == 3);
        CHECK(check.errors[0].row == 9);
        CHECK(check.errors[2].row == 10);
    }
}

TEST_CASE("Differences between sheets are listed, whatever the order of the rows", "[sheet]")
{
    const auto before = parseSheet(sheet({})).sheet;
    SECTION("the same rows in another order change nothing")
    {
        auto after = before;
        std::reverse(after.instances.begin(), after.instances.end());
        CHECK(diffSheets(before, after).empty());
    }
    SECTION("added, removed and changed rows are listed")
    {
        auto after = before;
        after.instances[0].pool = PoolId{"b"};
        after.instances.pop_back();
        after.quotas.push_back({TenantId{"t"}, 4});
        const auto changes = diffSheets(before, after);
        REQUIRE(changes.size() == 3);
        CHECK(changes[0].name == "a-1");
        CHECK(changes[0].before == "pool a");
        CHECK(changes[0].after == "pool b");
        CHECK(changes[1].after.empty());
        CHECK(changes[2].before.empty());
    }
    CHECK(textDigest("") == "99aa06d3014798d86001c324468d497f");  // published XXH3 hash of empty input
    CHECK(textDigest("a") != textDigest("b"));
}

TEST_CASE("Maintenance windows follow the wall clock of their time zone", "[sheet]")
{
    const auto open = [](const char *zone, int start, int end, WallTime now, std::uint8_t days = 127) {
        return windowIsOpen({PoolId{"a"}, zone, days, start * 60, end * 60}, now);
    };
    SECTION("bounds: the start belongs to the window, the end does not")
    {
        CHECK(open("Australia/Perth", 1, 4, utc(2026, 12, 3, 17, 0)));
        CHECK_FALSE(open("Australia/Perth", 1, 4, utc(2026, 12, 3, 16, 59)));
        CHECK_FALSE(open("Australia/Perth", 1, 4, utc(2026, 12, 3, 20, 0)));
    }
    SECTION("a window across midnight belongs to the day on which it begins")
    {
        constexpr std::uint8_t friday = 1 << 4;  // day bit of Friday; 2026-12-04 is a Friday
        CHECK(open("UTC", 22, 26, utc(2026, 12, 5, 1, 59), friday));
        CHECK_FALSE(open("UTC", 22, 26, utc(2026, 12, 4, 1, 0), friday));
        CHECK_FALSE(open("UTC", 22, 26, utc(2026, 12, 5, 22, 0), friday));
    }
    SECTION("the skipped hour of 2026-03-29 in Helsinki never opens")
    {
        CHECK(open("Europe/Helsinki", 2, 5, utc(2026, 3, 29, 0, 59)));
        CHECK(open("Europe/Helsinki", 4, 5, utc(2026, 3, 29, 1, 0)));
        for (int minute = 0; minute < 180; ++minute) {
            CHECK_FALSE(open("Europe/Helsinki", 3, 4, utc(2026, 3, 29, 0, minute)));
        }
    }
    SECTION("the repeated hour of 2026-10-25 in Helsinki opens twice")
    {
        CHECK(open("Europe/Helsinki", 3, 4, utc(2026, 10, 25, 0, 30)));
        CHECK(open("Europe/Helsinki", 3, 4, utc(2026, 10, 25, 1, 30)));
        CHECK_FALSE(open("Europe/Helsinki", 3, 4, utc(2026, 10, 25, 2, 0)));
    }
    SECTION("POSIX TZ strings follow the sign convention of POSIX, also with daylight saving across the new year")
    {
        const auto offset = [](const char *zone, WallTime now) { return timeZoneOffset(zone, now).value().count(); };
        CHECK(offset("EST5EDT,M3.2.0,M11.1.0", utc(2026, 7, 1, 0, 0)) == -14'400);
        CHECK(offset("AEST-10AEDT,M10.1.0,M4.1.0/3", utc(2026, 12, 31, 23, 0)) == 39'600);
        CHECK(offset("AEST-10AEDT,M10.1.0,M4.1.0/3", utc(2026, 4, 4, 16, 0)) == 36'000);
        CHECK(offset("<+0330>-3:30", utc(2026, 1, 1, 0, 0)) == 12'600);
        for (const char *wrong : {"", "Mars/Base", "EET", "EET-2EEST", "EET-2EEST,M3.5.0/3",
                                  "EET-2EEST,M13.5.0,M10.5.0", "EET-2EEST,J60,J300", "EET-2x"}) {
            CHECK_FALSE(timeZoneOffset(wrong, WallTime{}));
        }
    }
}
