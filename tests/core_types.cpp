#include "types.h"

#include <catch2/catch.hpp>

using namespace briarvane;

TEST_CASE("Enumerators have names", "[types]")
{
    SECTION("each name parses back to its enumerator, so that entries exchange every value unchanged")
    {
        for (const auto &[value, name] : EnumNames<Outcome>::names) {
            CHECK(parseEnum<Outcome>(name) == value);
            CHECK(toString(value) == name);
        }
    }
    SECTION("an unknown name is refused")
    {
        CHECK_FALSE(parseEnum<Outcome>("maybe").has_value());
    }
}
