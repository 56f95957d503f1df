#include "log.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <iostream>
#include <sstream>

using namespace briarvane;

TEST_CASE("A log line keeps its fields apart", "[log]")
{
    std::ostringstream captured;
    std::streambuf *previous = std::cout.rdbuf(captured.rdbuf());
    openLog("info");
    logEvent(LogLevel::Info, "sheet-applied", {{"version", "7"}, {"operator", "A \"B\"\nC"}});
    logEvent(LogLevel::Debug, "left-out");
    std::cout.rdbuf(previous);
    const std::string text = captured.str();

    SECTION("a value with spaces, quotes or line ends cannot forge another field or line")
    {
        CHECK(text.find("event=sheet-applied version=7 operator=\"A \\\"B\\\" C\"\n") != std::string::npos);
    }
    SECTION("lines below the level are left out")
    {
        CHECK(text.find("left-out") == std::string::npos);
    }
}

TEST_CASE("A log line never waits for its reader", "[log]")
{
    // Guards against an event loop that stands still because nobody reads standard output.
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    REQUIRE(::fcntl(ends[1], F_SETPIPE_SZ, 4096) >= 4096);
    std::cout.flush();
    const int previous = ::dup(STDOUT_FILENO);
    REQUIRE(::dup2(ends[1], STDOUT_FILENO) == STDOUT_FILENO);
    openLog("info");
    const LogDrops before = logDrops();
    constexpr int lines = 100;
    for (int i = 0; i < lines; ++i) {
        logEvent(LogLevel::Error, "long", {{"text", std::string(200, 'x')}});
    }
    const std::uint64_t dropped = logDrops().readerBusy - before.readerBusy;
    std::string text(1 << 20, '\0');
    text.resize(static_cast<std::size_t>(::read(ends[0], text.data(), text.size())));
    logEvent(LogLevel::Error, "after", {{"text", std::string(10'000, 'y')}});
    std::string after(1 << 20, '\0');
    after.resize(static_cast<std::size_t>(::read(ends[0], after.data(), after.size())));
    REQUIRE(::dup2(previous, STDOUT_FILENO) == STDOUT_FILENO);
    for (const int descriptor : {ends[0], ends[1], previous}) {
        ::close(descriptor);
    }

    SECTION("lines that the pipe does not take are counted, and no line is torn")
    {
        CHECK(dropped > 0);
        CHECK(static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n')) == lines - dropped);
        CHECK(text.back() == '\n');
    }
    SECTION("when the reader goes on, lines come again, cut to what a pipe takes whole")
    {
        CHECK(after.find("event=after") != std::string::npos);
        CHECK(after.size() < 4096);
        CHECK(after.find(" cut=yes\n") != std::string::npos);
    }
}

TEST_CASE("Lines are bounded by the second", "[log]")
{
    LogBudget budget;
    const std::chrono::steady_clock::time_point begin{std::chrono::seconds(5)};
    for (int i = 0; i < LogBudget::LinesPerSecond; ++i) {
        CHECK(budget.take(begin));
    }
    CHECK_FALSE(budget.take(begin + std::chrono::milliseconds(999)));
    CHECK(budget.take(begin + std::chrono::seconds(1)));
}
