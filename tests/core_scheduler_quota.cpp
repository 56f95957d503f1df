// Tests of the scheduler with quotas of workspaces, in the fleet simulation. The fleet has six executors with 4 cores
// each. The simulation checks at each start that the workspace stays within the partition's part of its quota.

#include "fleet_model.h"

#include <catch2/catch.hpp>

using namespace briarvane;
using namespace briarvane::model;

namespace
{

constexpr Resources EightCores{8000, 1'000'000, 100};

JobSpec jobOf(const std::string &workspace, const std::string &id, std::vector<StepSpec> steps)
{
    JobSpec spec = makeJob(id, std::move(steps));
    spec.workspace = workspace;
    return spec;
}

/// Without gangs: the simulation expects a successful end of each task. Owners, executors and the store fail at random
/// while two workspaces with quotas and one without submit jobs.
Simulation simulateRandomFaults(unsigned seed)
{
    SimulationSettings settings;
    settings.seed = seed;
    Simulation simulation(settings);
    std::mt19937 random(seed * 7919U + 3U);
    const auto draw = [&random](int end) { return std::uniform_int_distribution<int>(0, end - 1)(random); };
    simulation.takeOver(true);
    simulation.setQuotaPart("north", {6000, 1'000'000, 100});
    simulation.setQuotaPart("south", {9000, 1'000'000, 100});
    std::vector<std::string> ids;
    for (int round = 0; round < 80; ++round) {
        const int kind = draw(20);
        const int executor = draw(6);
        if (kind < 9) {
            const std::string workspace = kind < 4 ? "north" : kind < 7 ? "south" : "";
            const int count = 1 + draw(8);
            const int milliCores = 500 + 500 * draw(4);
            const StepSpec step = makeStep(count, milliCores, std::chrono::milliseconds(200 + draw(900)));
            ids.push_back("job" + std::to_string(ids.size()));
            simulation.submit(jobOf(workspace, ids.back(), {step}));
        } else if (kind < 11 && !ids.empty()) {
            simulation.cancel(ids[static_cast<std::size_t>(draw(static_cast<int>(ids.size())))]);
        } else if (kind == 11) {
            simulation.crashAndRestart(executor);
        } else if (kind == 12) {
            simulation.depose(draw(2) == 0);
            simulation.run(std::chrono::milliseconds(100 + draw(2500)));
            simulation.takeOver();
        } else if (kind == 13) {
            simulation.setQuotaPart(draw(2) == 0 ? "north" : "south", {3000 + 1000 * draw(10), 1'000'000, 100},
                                    std::chrono::milliseconds(draw(600)));
        } else if (kind == 14) {
            simulation.setLostCommandRate(draw(2) == 0 ? 0.1 : 0);
        } else if (kind == 15) {
            simulation.setStoreDown(draw(2) == 0);
        } else if (kind == 16) {
            simulation.executor(executor).unreachable = !simulation.executor(executor).unreachable;
        } else if (kind == 17) {
            simulation.resumeFormerOwner();
        }
        simulation.run(std::chrono::milliseconds(100 + draw(700)));
        if (!simulation.violations().empty()) {
            return simulation;
        }
    }
    simulation.setLostCommandRate(0);
    simulation.setStoreDown(false);
    for (int i = 0; i < 6; ++i) {
        simulation.executor(i).unreachable = false;
    }
    simulation.setQuotaPart("north", EightCores);
    simulation.setQuotaPart("south", EightCores);
    simulation.run(40s);
    return simulation;
}

}

TEST_CASE("A workspace runs no more than the partition's part of its quota", "[quota]")
{
    Simulation simulation = faultFreeSimulation();
    simulation.setQuotaPart("north", EightCores);
    simulation.run(20ms);

    SECTION("its tasks wait for the quota, and other workspaces are not held up")
    {
        simulation.submit(jobOf("north", "a", {makeStep(20, 1000, 2s)}));
        simulation.run(100ms);
        // Guards against a waiting task that keeps tasks of the same size from being tried.
        simulation.submit(jobOf("south", "b", {makeStep(4, 1000, 300ms)}));
        simulation.submit(jobOf("", "c", {makeStep(4, 1000, 300ms)}));
        simulation.run(200ms);
        CHECK(simulation.runsByExecutor("a.").size() == 8);
        CHECK(simulation.runsByExecutor("b.").size() == 4);
        CHECK(simulation.runsByExecutor("c.").size() == 4);
        CHECK(simulation.quotaReport().workspaces.at("north").running.milliCores == 8000);
        CHECK(simulation.quotaReport().workspaces.at("north").wanted.milliCores > 8000);

        SECTION("a larger part takes effect at once")
        {
            simulation.setQuotaPart("north", {12'000, 1'000'000, 100});
            simulation.run(50ms);
            CHECK(simulation.runsByExecutor("a.").size() == 12);
        }
        SECTION("the rest follows as tasks end, and nothing stays counted")
        {
            simulation.run(10s);
            CHECK(simulation.state("a") == JobState::Completed);
            CHECK(simulation.quotaReport().workspaces.empty());
        }
        SECTION("after a lower part nothing starts until what is running fits")
        {
            simulation.setQuotaPart("north", {2000, 1'000'000, 100});
            simulation.run(1s);
            CHECK(simulation.runsByExecutor("a.").size() == 8);
            simulation.run(1500ms);
            CHECK(simulation.runsByExecutor("a.").size() == 2);
        }
        SECTION("tasks that are being stopped still count")
        {
            simulation.cancel("a");
            simulation.submit(jobOf("north", "d", {makeStep(8, 1000, 1s)}));
            simulation.run(20ms);
            CHECK(simulation.quotaReport().workspaces.at("north").running.milliCores == 8000);
            simulation.run(2s);
            CHECK(simulation.state("d") == JobState::Completed);
        }
    }
    SECTION("a gang starts as a whole or waits")
    {
        StepSpec gang = makeStep(5, 1000, 2s);
        gang.gang = true;
        simulation.submit(jobOf("north", "a", {makeStep(4, 1000, 1s)}));
        simulation.run(100ms);
        simulation.submit(jobOf("north", "g", {gang}));
        simulation.run(300ms);
        CHECK(simulation.runsByExecutor("g.").empty());
        simulation.run(1200ms);
        CHECK(simulation.runsByExecutor("g.").size() == 5);
    }
    SECTION("the store is away for 10 s")
    {
        // Guards against starts on parts that may have changed meanwhile.
        simulation.submit(jobOf("north", "a", {makeStep(60, 1000, 1s)}));
        simulation.run(100ms);
        simulation.setStoreDown(true);
        simulation.run(6s);  // the proof of ownership is too old by then
        const int starts = simulation.starts();
        simulation.run(4s);
        CHECK(simulation.starts() == starts);
        simulation.setStoreDown(false);
        simulation.setQuotaPart("north", {4000, 1'000'000, 100});
        simulation.run(30s);
        CHECK(simulation.state("a") == JobState::Completed);
    }
    SECTION("memory is limited as well")
    {
        simulation.setQuotaPart("north", {100'000, 3000, 100});
        simulation.submit(jobOf("north", "a", {makeStep(8, 100, 1s)}));
        simulation.run(200ms);
        CHECK(simulation.runsByExecutor("a.").size() == 3);
    }
    CHECK(simulation.violations().empty());
}

// Guards against a successor that uses the whole part while runs of its predecessor are not reported yet.
TEST_CASE("A successor counts what its predecessor may have started", "[quota]")
{
    Simulation simulation = faultFreeSimulation();
    simulation.setQuotaPart("north", EightCores);
    simulation.run(20ms);
    simulation.submit(jobOf("north", "a", {makeStep(8, 1000, 5s)}));
    simulation.run(200ms);
    REQUIRE(simulation.runsByExecutor("a.").size() == 8);
    const int silent = simulation.runsByExecutor("a.").begin()->first;

    SECTION("all executors answer")
    {
        simulation.depose(true);
        simulation.takeOver();
        simulation.submit(jobOf("north", "b", {makeStep(8, 1000, 300ms)}));
        simulation.run(2s);
        CHECK(simulation.runsByExecutor("b.").empty());
        CHECK(simulation.runningOf("north").milliCores == 8000);
    }
    SECTION("one executor with runs is cut off; its runs count until their leases have ended")
    {
        simulation.executor(silent).unreachable = true;
        simulation.depose();
        simulation.takeOver();
        simulation.submit(jobOf("north", "b", {makeStep(8, 1000, 300ms)}));
        simulation.run(3s);
        CHECK(simulation.runningOf("north").milliCores <= 8000);
        simulation.run(20s);
        CHECK(simulation.state("b") == JobState::Completed);
    }
    SECTION("a lower quota beside the takeover")
    {
        simulation.depose();
        simulation.setQuotaPart("north", {3000, 1'000'000, 100});
        simulation.takeOver();
        simulation.submit(jobOf("north", "b", {makeStep(8, 1000, 300ms)}));
        simulation.run(4s);
        CHECK(simulation.runsByExecutor("b.").empty());
        simulation.run(10s);
        CHECK(simulation.state("b") == JobState::Completed);
    }
    CHECK(simulation.violations().empty());
}

// Guards against any fault of owners, executors or the store that lets a start pass the quota, and against a job that
// waits for ever.
TEST_CASE("With random faults no start passes the quota, and every job ends", "[quota]")
{
    const unsigned seed = GENERATE(range(1U, 31U));
    const Simulation simulation = simulateRandomFaults(seed);
    INFO("seed " << seed);
    for (const std::string &violation : simulation.violations()) {
        UNSCOPED_INFO(violation);
    }
    CHECK(simulation.violations().empty());
    CHECK(simulation.allEnded());
}
