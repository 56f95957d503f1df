#include "fleet.h"
#include "idempotency.h"
#include "statechart.h"

#include <catch2/catch.hpp>

using namespace briarvane;

namespace
{

using InstanceChart = Chart<InstanceState, InstanceEvent>;
using WaveChart = Chart<WaveState, WaveEvent, WaveGuard>;

std::string chart(const std::string &body)
{
    return "<scxml xmlns=\"http://www.w3.org/2005/07/scxml\" version=\"1.0\">" + body + "</scxml>";
}

const ChartNames Names = {{"a", "b", "c"}, {"go", "back"}, {"ready"}, {"in", "out", "pin", "pout", "move"}};

std::string refusal(const std::string &body)
{
    const auto result = readChart("x.scxml", chart(body), Names);
    return result ? "accepted" : result.error().message;
}

}

TEST_CASE("The embedded charts enforce the state transitions of docs/design.md", "[statechart]")
{
    SECTION("an instance with requests in flight can neither reboot nor move")
    {
        const auto instance = embeddedChart<InstanceChart>("instance");
        REQUIRE(instance);
        CHECK(initialState(instance.value()) == InstanceState::Active);
        CHECK(next(instance.value(), InstanceState::Active, InstanceEvent::Drain).value() == InstanceState::Draining);
        const auto refused = next(instance.value(), InstanceState::Draining, InstanceEvent::Reboot);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().code == ErrorCode::Refused);
        CHECK(refused.error().message == "event reboot is not possible in state draining");
        CHECK_FALSE(next(instance.value(), InstanceState::Draining, InstanceEvent::Moved));
        CHECK(next(instance.value(), InstanceState::Verifying, InstanceEvent::VerifyFailed).value()
              == InstanceState::Failed);
    }
    SECTION("a wave that was paused during its canary resumes with the canary")
    {
        const auto wave = embeddedChart<WaveChart>("wave");
        REQUIRE(wave);
        const auto resume = [&](bool passed) {
            return next(wave.value(), WaveState::Paused, WaveEvent::Resume, [&](WaveGuard) { return passed; }).value();
        };
        CHECK(resume(false) == WaveState::Canary);
        CHECK(resume(true) == WaveState::Rolling);
        const auto never = [](WaveGuard) { return false; };
        CHECK(next(wave.value(), WaveState::Rolling, WaveEvent::Pause, never).value() == WaveState::Paused);
        CHECK(isFinal(wave.value(), WaveState::Aborted));
        CHECK_FALSE(next(wave.value(), WaveState::Done, WaveEvent::Abort, never));
    }
    SECTION("an idempotency key whose request may have run is never claimed again")
    {
        const auto idempotency = embeddedChart<Chart<IdempotencyState, IdempotencyEvent>>("order");
        REQUIRE(idempotency);
        CHECK_FALSE(next(idempotency.value(), IdempotencyState::Unknown, IdempotencyEvent::Claim));
        CHECK_FALSE(next(idempotency.value(), IdempotencyState::Finished, IdempotencyEvent::Claim));
        CHECK(next(idempotency.value(), IdempotencyState::Abandoned, IdempotencyEvent::Claim).value()
              == IdempotencyState::Claimed);
    }
}

TEST_CASE("Actions run in the order that SCXML defines", "[statechart]")
{
    const auto table = readChart("x.scxml", chart(R"(
        <state id="p"><onentry><raise event="pin"/></onentry><onexit><send event="pout"/></onexit>
          <transition event="back" target="a"/>
          <state id="a"><onexit><raise event="out"/></onexit>
            <transition event="go" cond="ready" target="b"><raise event="move"/></transition></state>
          <state id="b"><onentry><raise event="in"/></onentry><transition event="go" target="c"/></state>
        </state>
        <final id="c"/>)"),
                                 Names);
    REQUIRE(table);
    const auto &states = table.value().states;
    CHECK(table.value().initialActions == std::vector<std::size_t>{2});
    SECTION("a transition between siblings does not leave the parent")
    {
        CHECK(states[0].transitions[0].actions == std::vector<std::size_t>{1, 4, 0});
    }
    SECTION("the parent's transition leaves and enters the parent")
    {
        CHECK(states[1].transitions[1].actions == std::vector<std::size_t>{3, 2});
    }
}

TEST_CASE("An invalid chart is refused with an error that names file and element", "[statechart]")
{
    const std::string otherStates = R"(<state id="b"><transition event="go" target="c"/></state><final id="c"/>)";
    const auto refusalOfStateA
        = [&](const std::string &inner) { return refusal("<state id=\"a\">" + inner + "</state>" + otherStates); };
    REQUIRE(refusalOfStateA(R"(<transition event="go" target="b"/>)") == "accepted");
    CHECK(refusalOfStateA(R"(<transition event="go" target="z"/>)")
          == "x.scxml: <transition event=\"go\" target=\"z\"> in state \"a\": unknown state \"z\"");
    CHECK_THAT(refusalOfStateA(R"(<transition event="hop" target="b"/>)"),
               Catch::Contains("unknown event \"hop\"; accepted: go, back"));
    CHECK_THAT(refusalOfStateA(R"(<transition event="go" cond="lucky" target="b"/>)"),
               Catch::Contains("unknown guard \"lucky\""));
    CHECK_THAT(refusalOfStateA(R"(<onentry><raise event="sing"/></onentry>)"),
               Catch::Contains("<raise event=\"sing\">: unknown action \"sing\""));
    CHECK_THAT(refusalOfStateA(R"(<onentry><script>x</script></onentry>)"), Catch::Contains("<script>: not accepted"));
    CHECK_THAT(refusalOfStateA(R"(<transition target="b"/>)"), Catch::Contains("needs an event"));
    CHECK_THAT(refusalOfStateA(R"(<transition event="go" target="b"/><transition event="go" target="c"/>)"),
               Catch::Contains("never taken"));
    CHECK(refusal(R"(<state id="a"/><state id="a"/>)") == "x.scxml: <state id=\"a\">: duplicate id \"a\"");
    CHECK(refusalOfStateA(R"(<transition event="go" target="c"/>)")
          == "x.scxml: <state id=\"b\">: the state is unreachable");
    CHECK_THAT(refusal(R"(<state id="a"/><state id="d"/>)"), Catch::Contains("unknown state \"d\""));
    CHECK_THAT(refusal(R"(<state id="a"/>)"), Catch::Contains("state \"b\" is missing"));
    CHECK_THAT(refusal(R"(<state id="p" initial="b"><state id="a"/></state>)" + otherStates),
               Catch::Contains("inner states"));
    CHECK_THAT(refusal(R"(<state id="p"><state id="q"><state id="a"/></state></state>)"),
               Catch::Contains("<state id=\"a\">: not accepted"));
    CHECK_THAT(readChart("x.scxml", "<scxml", Names).error().message, Catch::StartsWith("x.scxml: line 1:"));
}
