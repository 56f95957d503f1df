#include "log.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <iostream>
#include <sstream>

using namespace briarvane;

TEST_CASE("Field values cannot forge log fields, and lines below the configured level are not written", "[log]")
{
    std::ostringstream captured;
    std::streambuf *savedStdout = std::cout.rdbuf(captured.rdbuf());
    openLog("info");
    logEvent(LogLevel::Info, "sheet-applied", {{"version", "7"}, {"operator", "A \"B\"\nC"}});
    logEvent(LogLevel::Debug, "left-out");
    std::cout.rdbuf(savedStdout);
    const std::string text = captured.str();

    SECTION("a value with spaces, quotes or line ends cannot forge another field or line")
    {
        CHECK(text.find("event=sheet-applied version=7 operator=\"A \\\"B\\\" C\"\n") != std::string::npos);
    }
    SECTION("lines below the configured level are not written")
    {
        CHECK(text.find("left-out") == std::string::npos);
    }
}

TEST_CASE("Logging never blocks when nobody reads standard output", "[log]")
{
    // Guards against an event loop that blocks in a log call. This happens when standard output is a pipe that is full
    // because its reader has stopped.
    int pipeEnds[2];
    REQUIRE(::pipe(pipeEnds) == 0);
    REQUIRE(::fcntl(pipeEnds[1], F_SETPIPE_SZ, 4096) >= 4096);
    std::cout.flush();
    const int savedStdout = ::dup(STDOUT_FILENO);
    REQUIRE(::dup2(pipeEnds[1], STDOUT_FILENO) == STDOUT_FILENO);
    openLog("info");
    const LogDrops before = logDrops();
    constexpr int lines = 100;
    for (int i = 0; i < lines; ++i) {
        logEvent(LogLevel::Error, "long", {{"text", std::string(200, 'x')}});
    }
    const std::uint64_t dropped = logDrops().outputBlocked - before.outputBlocked;
    std::string text(1 << 20, '\0');
    text.resize(static_cast<std::size_t>(::read(pipeEnds[0], text.data(), text.size())));
    logEvent(LogLevel::Error, "after", {{"text", std::string(10'000, 'y')}});
    std::string after(1 << 20, '\0');
    after.resize(static_cast<std::size_t>(::read(pipeEnds[0], after.data(), after.size())));
    REQUIRE(::dup2(savedStdout, STDOUT_FILENO) == STDOUT_FILENO);
    for (const int descriptor : {pipeEnds[0], pipeEnds[1], savedStdout}) {
        ::close(descriptor);
    }

    SECTION("lines that do not fit into the pipe are counted as dropped, and no line is written in part")
    {
        CHECK(dropped > 0);
        CHECK(static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n')) == lines - dropped);
        CHECK(text.back() == '\n');
    }
    SECTION("after the pipe was read, lines are written again, cut to a length that a pipe accepts atomically")
    {
        CHECK(after.find("event=after") != std::string::npos);
        CHECK(after.size() < 4096);
        CHECK(after.find(" cut=yes\n") != std::string::npos);
    }
}

TEST_CASE("The number of lines per second is limited", "[log]")
{
    LogRateLimiter rateLimiter;
    const std::chrono::steady_clock::time_point begin{std::chrono::seconds(5)};
    for (int i = 0; i < LogRateLimiter::LinesPerSecond; ++i) {
        CHECK(rateLimiter.take(begin));
    }
    CHECK_FALSE(rateLimiter.take(begin + std::chrono::milliseconds(999)));
    CHECK(rateLimiter.take(begin + std::chrono::seconds(1)));
}
