// What ordinary days hardly play, on the model of the fleet: two executors a rack, of 4 cores each.

#include "fleet_model.h"

#include <catch2/catch.hpp>

using namespace briarvane;
using namespace briarvane::model;

namespace
{

std::set<int> executorsOf(const World &world, const std::string &prefix)
{
    std::set<int> ids;
    for (const auto &[id, percent] : world.placesOf(prefix)) {
        ids.insert(id);
    }
    return ids;
}

}

TEST_CASE("A gang starts as a whole or not at all")
{
    World world = calmWorld();
    StepSpec gang = step(6, 3000, 1s);
    gang.gang = true;

    SECTION("with room for all, all members run")
    {
        world.submit(job("g", {gang}));
        world.run(200ms);
        CHECK(world.placesOf("g.").size() == 6);
    }
    SECTION("one executor is busy: no member starts until it is free")
    {
        world.submit(job("a", {step(1, 3000, 2s)}));
        world.run(200ms);
        world.submit(job("g", {gang}));
        bool whole = true;
        for (int i = 0; i < 100; ++i) {
            world.run(10ms);
            whole = whole && world.placesOf("g.").empty();
        }
        CHECK(whole);
        world.run(2500ms);
        CHECK(world.state("a") == JobState::Completed);
        CHECK(world.starts() == 7);
    }
    SECTION("one that can never fit holds nobody up")
    {
        gang.count = 7;
        world.submit(job("g", {gang}));
        world.submit(job("a", {step(4, 3000, 500ms)}));
        world.run(3s);
        CHECK(world.state("a") == JobState::Completed);
        CHECK(world.placesOf("g.").empty());
    }
}

TEST_CASE("Racks and labels decide where tasks run")
{
    World world = calmWorld();
    SECTION("tasks that talk to each other share a rack")
    {
        StepSpec pair = step(2, 3000, 1s);
        pair.sameRack = true;
        world.submit(job("a", {step(1, 2000, 5s)}));  // one rack has room for one of them only
        world.run(100ms);
        world.submit(job("p", {pair}));
        world.run(200ms);
        const std::set<int> places = executorsOf(world, "p.");
        REQUIRE(places.size() == 2);
        CHECK(*places.begin() / 2 == *places.rbegin() / 2);
    }
    SECTION("tasks run in the rack of their data while it has room, then elsewhere")
    {
        StepSpec reads = step(4, 2000, 1s);
        reads.dataRack = "r1";
        world.submit(job("d", {reads}));
        world.run(200ms);
        CHECK(executorsOf(world, "d.") == std::set<int>{2, 3});
        world.submit(job("e", {reads}));
        world.run(200ms);
        CHECK(world.placesOf("e.").size() == 4);
    }
    SECTION("a required label is never given up")
    {
        StepSpec special = step(4, 3000, 500ms);
        special.requiredLabel = "r2";
        world.submit(job("l", {special}));
        world.run(200ms);
        CHECK(executorsOf(world, "l.") == std::set<int>{4, 5});
        CHECK(world.placesOf("l.").size() == 2);
        world.run(2s);
        CHECK(world.state("l") == JobState::Completed);
    }
    SECTION("a label that nobody has holds nobody up")
    {
        StepSpec nowhere = step(1, 1000, 500ms);
        nowhere.requiredLabel = "none";
        world.submit(job("n", {nowhere}));
        world.submit(job("a", {step(4, 3000, 500ms)}));
        world.run(3s);
        CHECK(world.state("a") == JobState::Completed);
        CHECK(world.placesOf("n.").empty());
    }
    SECTION("nor do many jobs that find no executor, each for a reason of its own")
    {
        // A pass over the queue once ended after 24 jobs without room, so these kept all later ones from starting.
        for (int i = 0; i < 40; ++i) {
            StepSpec nowhere = step(1, 100, 100ms);
            nowhere.requiredLabel = i % 4 == 0 ? "none" : "";
            nowhere.each.memoryMb = i % 4 == 1 ? 17'000 : 1000;
            nowhere.each.gpus = i % 4 == 2 ? 1 : 0;
            nowhere.gang = i % 4 == 3;
            nowhere.count = i % 4 == 3 ? 300 : 1;
            world.submit(job("n" + std::to_string(i), {nowhere}));
        }
        world.run(200ms);
        world.submit(job("z", {step(4, 3000, 500ms)}));
        world.run(200ms);
        CHECK(world.placesOf("z.").size() == 4);
        CHECK(world.placesOf("n").empty());
    }
}

TEST_CASE("A scheduled job runs at its times")
{
    World world = calmWorld();
    JobSpec due = job("s", {step(2, 1000, 200ms)});
    due.occurrences = 3;
    due.firstDueMs = world.wallMs() + 1000;
    due.intervalMs = 1000;
    world.submit(due);
    world.run(900ms);
    CHECK(world.starts() == 0);
    world.run(200ms);
    CHECK(world.starts() == 2);
    world.run(1s);
    CHECK(world.starts() == 4);
    SECTION("a new owner goes on with the times that are left")
    {
        world.depose(true);
        world.takeOver();
        world.run(200ms);
        CHECK(world.starts() == 4);
        world.run(3s);
        CHECK(world.starts() == 6);
        CHECK(world.state("s") == JobState::Completed);
    }
    SECTION("it is complete after its last time, not before")
    {
        CHECK(world.state("s") != JobState::Completed);
        world.run(2s);
        CHECK(world.state("s") == JobState::Completed);
        const auto finished = world.scheduler()->takeFinished();
        REQUIRE(finished.size() == 1);
        CHECK(finished.front().inTime);  // its objective counts from the due time, not from the acceptance
    }
}

TEST_CASE("Work that was saved is not done again")
{
    World world = calmWorld();
    StepSpec saving = step(1, 1000, 8s);
    saving.checkpointing = true;
    world.submit(job("c", {saving}));
    world.run(3500ms);
    const std::set<int> before = executorsOf(world, "c.");
    REQUIRE(before.size() == 1);
    const std::string executor = "i-" + std::to_string(*before.begin());
    SECTION("its executor must become empty: it goes on elsewhere from the last checkpoint")
    {
        world.vacate({executor});
        world.run(4s);
        REQUIRE(executorsOf(world, "c.").size() == 1);
        CHECK(executorsOf(world, "c.") != before);
        CHECK(world.startedFrom("c.0.0.0").starts_with("after "));
    }
    SECTION("its executor crashes: the checkpoint of the last report is used")
    {
        world.crash(*before.begin());
        world.run(9s);
        REQUIRE(executorsOf(world, "c.").size() == 1);
        CHECK(world.startedFrom("c.0.0.0").starts_with("after "));
    }
}

TEST_CASE("What fills gives way to what serves")
{
    World world = calmWorld();
    StepSpec serving = step(6, 2000, 1s);
    serving.longRunning = true;
    serving.perExecutorLimit = 1;
    serving.latencyTarget = 100ms;
    StepSpec filling = step(6, 1000, 20s);
    filling.fills = true;
    filling.perExecutorLimit = 1;
    world.submit(job("serve", {serving}));
    world.submit(job("fill", {filling}));
    world.run(1s);
    REQUIRE(world.placesOf("serve.").size() == 6);
    REQUIRE(world.placesOf("fill.").size() == 6);
    const auto paces = [&world] {
        std::set<int> all;
        for (const auto &[id, percent] : world.placesOf("fill.")) {
            all.insert(percent);
        }
        return all;
    };
    CHECK(paces() == std::set<int>{100});
    SECTION("a tail over the target stops it; a good one lets it go on")
    {
        world.setTail(150);
        world.run(2s);
        CHECK(paces() == std::set<int>{0});
        world.setTail(20);
        world.run(5s);
        CHECK(paces() == std::set<int>{100});
    }
    SECTION("a tail near the target slows it")
    {
        world.setTail(95);
        world.run(2s);
        CHECK(*paces().rbegin() < 100);
    }
}
