#include "placement.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace briarvane;

namespace
{

TimePoint second(int s)
{
    return TimePoint(Duration(std::int64_t{1'000'000} * s));
}

PlacementTask task(const std::string &id, double processors = 4, RequestClass taskClass = RequestClass::Short)
{
    PlacementTask task;
    task.id = id;
    task.service.value = "documents";
    task.route = "/render";
    task.tenant.value = "office";
    task.taskClass = taskClass;
    task.declared = {processors, 8, 0};
    return task;
}

/// Runs a placement pass. Returns "task:worker" for each start and "task:verdict" for each other decision, in order.
std::string placeAndFormat(Placement &placement, int now)
{
    std::string text;
    for (const PlacementDecision &decision : placement.place(second(now))) {
        text += (text.empty() ? "" : " ") + decision.task + ":"
            + (decision.verdict == PlacementVerdict::Start ? decision.worker : std::string(toString(decision.verdict)));
    }
    return text;
}

PlacementVerdict submitted(Placement &placement, const PlacementTask &task)
{
    return placement.submit(task).value().verdict;
}

}

TEST_CASE("Tasks are placed on workers with enough room", "[placement]")
{
    Placement placement;
    placement.setWorker({"w1", "r1", "d1", {16, 32, 0}});
    SECTION("a run counts before the worker's reports include its usage")
    {
        placement.report("w1", {4, 8, 0}, second(100));
        submitted(placement, task("a", 8));
        submitted(placement, task("b", 8));
        CHECK(placeAndFormat(placement, 101) == "a:w1 b:wait");
        placement.report("w1", {5, 9, 0}, second(102));  // does not include a's usage yet
        CHECK(placeAndFormat(placement, 102) == "b:wait");
        placement.report("w1", {6, 10, 0}, second(120));  // the 4 cores in use at first are free again, and a uses 6
        CHECK(placeAndFormat(placement, 120) == "b:w1");
    }
    SECTION("an older report that arrives late is ignored")
    {
        placement.report("w1", {16, 8, 0}, second(100));
        placement.report("w1", {0, 0, 0}, second(99));
        CHECK(placement.load("w1").processors == 16);
    }
    SECTION("declared sizes are corrected per service and route")
    {
        submitted(placement, task("a", 8));
        CHECK(placeAndFormat(placement, 0) == "a:w1");
        placement.finish("a", "w1", true, {16, 8, 0}, second(5));
        CHECK(placement.sizeOf(task("b", 4)).processors == 8);
        CHECK(placement.sizeOf(task("c", 12)).processors == 12);  // the corrected size, 24, would fit no worker
        PlacementTask other = task("d", 4);
        other.route = "/list";
        CHECK(placement.sizeOf(other).processors == 4);
    }
    SECTION("a task that fits no worker is refused at once, also when the last fitting worker is removed")
    {
        CHECK(submitted(placement, task("a", 17)) == PlacementVerdict::Impossible);
        PlacementTask accelerated = task("b");
        accelerated.declared.accelerators = 1;
        CHECK(submitted(placement, accelerated) == PlacementVerdict::Impossible);
        CHECK(submitted(placement, task("c", 16)) == PlacementVerdict::Wait);
        placement.removeWorker("w1", second(0));
        CHECK(placeAndFormat(placement, 0) == "c:never");
        CHECK(placement.queued() == 0);
    }
    SECTION("tasks are placed by class, urgent ones first")
    {
        submitted(placement, task("long", 8, RequestClass::Long));
        submitted(placement, task("short", 8));
        submitted(placement, task("urgent", 8, RequestClass::Urgent));
        CHECK(placeAndFormat(placement, 0) == "urgent:w1 short:w1 long:wait");
    }
    SECTION("a team's quota delays only the tasks of this team")
    {
        placement.setQuota(TenantId{"office"}, {8, 32, 0});
        CHECK(submitted(placement, task("a", 9)) == PlacementVerdict::Impossible);
        submitted(placement, task("b", 6));
        submitted(placement, task("c", 6));
        PlacementTask other = task("d", 6);
        other.tenant.value = "carts";
        submitted(placement, other);
        CHECK(placeAndFormat(placement, 0) == "b:w1 c:wait d:w1");
        placement.finish("b", "w1", true, {6, 8, 0}, second(5));
        CHECK(placeAndFormat(placement, 5) == "c:w1");
    }
    SECTION("a worker whose tasks keep failing is ejected for a time that doubles")
    {
        const auto failThree = [&](int now) {
            for (const char *id : {"a", "b", "c"}) {
                submitted(placement, task(id));
                placeAndFormat(placement, now);
                placement.finish(id, "w1", false, {}, second(now));
            }
        };
        failThree(0);
        submitted(placement, task("d"));
        CHECK(placeAndFormat(placement, 9) == "d:wait");
        CHECK(placeAndFormat(placement, 10) == "d:w1");
        placement.finish("d", "w1", false, {}, second(11));
        submitted(placement, task("e"));
        CHECK(placeAndFormat(placement, 30) == "e:wait");
        CHECK(placeAndFormat(placement, 31) == "e:w1");
    }
}

TEST_CASE("A service is spread over data centres, then racks", "[placement]")
{
    Placement placement;
    for (const auto &[id, rack, centre] : {std::tuple("w1", "r1", "d1"), std::tuple("w2", "r1", "d1"),
                                           std::tuple("w3", "r2", "d1"), std::tuple("w4", "r1", "d2")}) {
        placement.setWorker({id, rack, centre, {16, 64, 0}});
    }
    for (const char *id : {"a", "b", "c", "d", "e"}) {
        submitted(placement, task(id, 2));
    }
    // Racks of different data centres are different even if their names are equal.
    CHECK(placeAndFormat(placement, 0) == "a:w1 b:w4 c:w3 d:w4 e:w2");
}

TEST_CASE("A run whose lease has ended may still be running", "[placement]")
{
    Placement placement;
    placement.setWorker({"w1", "r1", "d1", {16, 32, 0}});
    PlacementTask first = task("a", 10);
    SECTION("a task that is not idempotent is not started again, and its room and its id stay in use")
    {
        submitted(placement, first);
        CHECK(placeAndFormat(placement, 0) == "a:w1");
        CHECK(placement.lapse(second(29)).empty());
        const auto lapsed = placement.lapse(second(30));
        REQUIRE(lapsed.size() == 1);
        CHECK_FALSE(lapsed[0].restarted);
        CHECK(placement.lapse(second(31)).empty());
        CHECK(placement.load("w1").processors == 10);
        CHECK(placement.queued() == 0);
        CHECK(placement.submit(first).error().code == ErrorCode::Conflict);
        placement.finish("a", "w1", true, {10, 8, 0}, second(40));
        CHECK(placement.load("w1").processors == 0);
    }
    SECTION("an idempotent task runs again on another worker, and the room of its first run stays in use")
    {
        first.idempotent = true;
        first.declared.processors = 6;  // w1 has room for a second run, but its messages name the task and not the run
        submitted(placement, first);
        placeAndFormat(placement, 0);
        CHECK(placement.lapse(second(30)).at(0).restarted);
        placement.setWorker({"w0", "r1", "d1", {4, 32, 0}});
        CHECK(placeAndFormat(placement, 30) == "a:wait");
        placement.setWorker({"w2", "r1", "d1", {16, 32, 0}});
        CHECK(placeAndFormat(placement, 30) == "a:w2");
        CHECK(placement.load("w1").processors == 6);
        placement.workerStopped("w1");
        CHECK(placement.submit(first).error().code == ErrorCode::Conflict);
    }
    SECTION("a second run that is still queued is removed when the first run succeeds late")
    {
        first.idempotent = true;
        submitted(placement, first);
        placeAndFormat(placement, 0);
        placement.lapse(second(30));
        placement.finish("a", "w1", true, {10, 8, 0}, second(31));
        CHECK(placement.queued() == 0);
    }
    SECTION("a renewed lease does not end; the leases of a removed worker end at once")
    {
        submitted(placement, first);
        placeAndFormat(placement, 0);
        placement.renew("a", "w1", second(20));
        CHECK(placement.lapse(second(45)).empty());
        placement.removeWorker("w1", second(45));
        CHECK(placement.lapse(second(45)).size() == 1);
    }
}

TEST_CASE("Placement never exceeds the capacity of a worker", "[placement]")
{
    const auto holds = rc::check("sizes of runs stay within the capacity", [] {
        Placement placement;
        const auto number = [](int end) { return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end)); };
        std::map<std::string, Worker> workers;
        for (int w = 0; w < 4; ++w) {
            const Worker worker{std::to_string(w), "r" + std::to_string(w % 2), "d", {8, 16, w % 3}};
            workers[worker.id] = worker;
            placement.setWorker(worker);
        }
        std::map<std::string, std::string> running;
        const int steps = number(150);
        for (int s = 0; s < steps; ++s) {
            PlacementTask next = task("t" + std::to_string(s), 1 + number(8));
            next.declared.accelerators = number(4) == 0 ? 1 : 0;
            next.idempotent = number(2) == 0;
            (void)placement.submit(next);
            for (const PlacementDecision &decision : placement.place(second(s))) {
                if (decision.verdict == PlacementVerdict::Start) {
                    running[decision.task] = decision.worker;
                }
            }
            if (!running.empty() && number(2) == 0) {
                const auto [id, worker] = *running.begin();
                placement.finish(id, worker, number(4) != 0, {1.0 * number(10), 1.0 * number(20), 0}, second(s));
                running.erase(id);
            }
            (void)placement.lapse(second(s));
            for (const auto &[id, worker] : workers) {
                RC_ASSERT(fits(placement.load(id), worker.capacity));
            }
        }
    });
    CHECK(holds);
}
