#include "log.h"

#include <catch2/catch.hpp>

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
