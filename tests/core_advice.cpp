// Queues whose policy allows only some executors to run a step: what the scheduler asks, and what it starts where. On
// the model of the fleet, six executors of 4 cores, of which a third may run a step.

#include "advice_routes.h"
#include "fleet_model.h"

#include <catch2/catch.hpp>

using namespace briarvane;
using namespace briarvane::model;

namespace
{

JobSpec advised(const std::string &id, std::vector<StepSpec> steps)
{
    JobSpec spec = job(id, std::move(steps));
    spec.advice = {true, 100ms, 2ms, 3s};
    return spec;
}

bool onlyAllowed(const World &world, const std::string &stepName)
{
    const auto places = world.placesOf(stepName + '.');
    return std::all_of(places.begin(), places.end(), [&](const auto &place) {
        return World::adviceAllows(stepName, "i-" + std::to_string(place.first));
    });
}

}

TEST_CASE("A step runs only where the advice allows it")
{
    World world = calmWorld();
    world.requireTickets("a");

    SECTION("one call a step names all executors, and no start is refused")
    {
        StepSpec second = step(4, 1000, 300ms);
        second.after = {0};
        world.submit(advised("a", {step(4, 1000, 300ms), second}));
        for (int i = 0; i < 30; ++i) {
            world.run(50ms);
            CHECK(onlyAllowed(world, "a.0.0"));
            CHECK(onlyAllowed(world, "a.0.1"));
        }
        CHECK(world.state("a") == JobState::Completed);
        CHECK(world.refusedTickets() == 0);
        REQUIRE(world.adviceCalls().size() == 2);
        CHECK(world.adviceCalls()[0].first == "a.0.0");
        CHECK(world.adviceCalls()[0].second.size() == 6);
        CHECK(world.adviceCalls()[1].first == "a.0.1");
    }
    SECTION("more tasks than the allowed executors hold wait for those, and never run elsewhere")
    {
        world.submit(advised("a", {step(12, 1000, 500ms)}));
        world.run(400ms);
        CHECK(world.placesOf("a.").size() == 8);
        CHECK(onlyAllowed(world, "a.0.0"));
        world.run(2s);
        CHECK(world.state("a") == JobState::Completed);
        CHECK(world.adviceCalls().size() == 1);
    }
    SECTION("a lapsed ticket is renewed for the executors that may run the step, not asked of the others again")
    {
        world.requireTickets("a", 600ms);
        world.submit(advised("a", {step(24, 1000, 500ms)}));
        world.run(4s);
        CHECK(world.state("a") == JobState::Completed);
        CHECK(world.refusedTickets() == 0);
        REQUIRE(world.adviceCalls().size() >= 2);
        for (std::size_t call = 1; call < world.adviceCalls().size(); ++call) {
            CHECK(world.adviceCalls()[call].second.size() <= 2);
        }
    }
    SECTION("executors without room now are named too: a second call would cost more than their names")
    {
        world.submit(job("b", {step(8, 2000, 1s)}));
        world.run(100ms);
        world.submit(advised("a", {step(12, 1000, 300ms)}));
        world.run(4s);
        CHECK(world.state("a") == JobState::Completed);
        REQUIRE_FALSE(world.adviceCalls().empty());
        CHECK(world.adviceCalls().front().second.size() == 6);
        CHECK(world.adviceCalls().size() == 1);
    }
    SECTION("a restarted executor needs a new ticket, which is asked for before a start")
    {
        world.submit(advised("a", {step(16, 1000, 1s)}));
        world.run(400ms);
        REQUIRE(world.placesOf("a.").size() == 8);
        world.rebirth(world.placesOf("a.").begin()->first);
        world.run(8s);
        CHECK(world.state("a") == JobState::Completed);
        CHECK(world.refusedTickets() == 0);
        CHECK(world.violations().empty());
    }
    SECTION("a gang starts as a whole on allowed executors")
    {
        StepSpec gang = step(8, 1000, 500ms);
        gang.gang = true;
        world.submit(advised("a", {gang}));
        world.run(400ms);
        CHECK(world.placesOf("a.").size() == 8);
        CHECK(onlyAllowed(world, "a.0.0"));
    }
}

TEST_CASE("Trouble with the advice holds up only what needs it")
{
    World world = calmWorld();
    world.requireTickets("a");

    SECTION("the service does not answer: the job waits, others run, and it runs once the service is back")
    {
        world.setAdviceDown(true);
        world.submit(advised("a", {step(4, 1000, 300ms)}));
        world.submit(job("b", {step(4, 1000, 300ms)}));
        world.run(2s);
        CHECK(world.state("b") == JobState::Completed);
        CHECK(world.placesOf("a.").empty());
        CHECK(world.scheduler()->waitingPerQueue().at("queue") == 1);
        world.setAdviceDown(false);
        world.run(4s);
        CHECK(world.state("a") == JobState::Completed);
    }
    SECTION("a job that was accepted before its queue needed advice: the refusal tells, and it still waits until then")
    {
        // It counted as running once a start was sent, so callers were told that nothing waits.
        world.setAdviceDown(true);
        world.submit(job("a", {step(4, 1000, 300ms)}));
        world.run(1s);
        CHECK(world.refusedTickets() > 0);
        CHECK(world.scheduler()->waitingPerQueue().at("queue") == 1);
        const int refused = world.refusedTickets();
        world.run(1s);
        CHECK(world.refusedTickets() == refused);
        world.setAdviceDown(false);
        world.run(5s);
        CHECK(world.state("a") == JobState::Completed);
    }
    SECTION("many jobs ask a few at a time, and jobs without advice do not wait behind them")
    {
        for (int i = 0; i < 40; ++i) {
            const std::string id = "a" + std::to_string(i);
            world.requireTickets(id);
            world.submit(advised(id, {step(1, 100, 200ms)}));
        }
        world.submit(job("b", {step(4, 1000, 300ms)}));
        world.run(1s);
        CHECK(world.state("b") == JobState::Completed);
        CHECK(world.mostAdviceCallsAtOnce() == 2);
        world.run(4s);
        CHECK(world.allEnded());
    }
    SECTION("a new owner asks anew and breaks no promise")
    {
        world.submit(advised("a", {step(12, 1000, 1s)}));
        world.run(600ms);
        world.depose(true);
        world.takeOver();
        world.run(15s);
        CHECK(world.state("a") == JobState::Completed);
        CHECK(world.refusedTickets() == 0);
        CHECK(world.violations().empty());
    }
}

TEST_CASE("Calls for advice go through all entries")
{
    TimePoint now{10s};
    AdviceRoutes routes;
    CHECK_FALSE(routes.pick(now));
    routes.setEntries({"e1", "e2", "e3"});
    CHECK(routes.room() == 6);
    std::multiset<std::string> picked;
    for (int i = 0; i < 6; ++i) {
        picked.insert(routes.pick(now).value_or("none"));
    }
    SECTION("each takes two at the same time, and no more")
    {
        CHECK(picked == std::multiset<std::string>{"e1", "e1", "e2", "e2", "e3", "e3"});
        CHECK_FALSE(routes.pick(now));
        routes.ended("e2", true, now);
        CHECK(routes.pick(now) == "e2");
    }
    SECTION("one whose call failed is left alone for a while")
    {
        routes.ended("e1", false, now);
        CHECK_FALSE(routes.pick(now));
        routes.ended("e3", true, now);
        CHECK(routes.pick(now) == "e3");
        now += AdviceRoutes::FailurePause;
        CHECK(routes.pick(now) == "e1");
    }
    SECTION("one that left is forgotten, with the calls that it had")
    {
        routes.setEntries({"e2", "e4"});
        CHECK(routes.room() == 4);
        CHECK(routes.pick(now) == "e4");
        routes.ended("e1", true, now);
        routes.ended("e2", true, now);
        CHECK(routes.pick(now) == "e2");
    }
}
