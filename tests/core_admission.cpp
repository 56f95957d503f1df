// Tests of the decision whether an entry accepts a job.

#include "admission.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace briarvane;

namespace
{

/// One step of eight tasks of one core for 1 s; of use until 3 * (1.5 * 1 s + 0.5 s) = 6 s.
JobSpec smallJob(const std::string &id = "0123456789abcdef")
{
    JobSpec spec;
    spec.id = id;
    spec.queue = "q";
    spec.priority = 1;
    spec.stretch = 1.5;
    spec.targetLatency = Duration{500'000};
    StepSpec step;
    step.count = 8;
    step.each.milliCores = 1000;
    step.estimate = Duration{1'000'000};
    spec.steps = {step};
    return spec;
}

KnownBacklog backlogOf(double work, int priority = 1, int costClass = 0)
{
    KnownBacklog known;
    known.backlog.room = 100;
    known.backlog.rows = {{priority, costClass, work}};
    known.backlog.meanWork["q"] = 8;
    known.receivedAt = TimePoint{} + Duration{10'000'000};
    return known;
}

const TimePoint Now = TimePoint{} + Duration{10'500'000};

}

TEST_CASE("A job that would end too late to be of use is refused at once")
{
    SECTION("it is accepted while it would end within three times its objective, also if late")
    {
        CHECK(admit(smallJob(), nullptr, Now).accepted);
        const KnownBacklog late = backlogOf(480);
        CHECK(admit(smallJob(), &late, Now).accepted);
        const KnownBacklog useless = backlogOf(520);
        const AdmissionDecision decision = admit(smallJob(), &useless, Now);
        CHECK_FALSE(decision.accepted);
        CHECK(decision.wait == Duration{5'200'000});
        CHECK(decision.worthUntil == Duration{6'000'000});
    }
    SECTION("work that would be placed after it does not count: costly jobs and those of lower priority")
    {
        const KnownBacklog costly = backlogOf(5000, 1, 6);
        CHECK(admit(smallJob(), &costly, Now).accepted);
        const KnownBacklog unimportant = backlogOf(5000, 2, 0);
        CHECK(admit(smallJob(), &unimportant, Now).accepted);
        const KnownBacklog urgent = backlogOf(5000, 0, 6);
        CHECK_FALSE(admit(smallJob(), &urgent, Now).accepted);
    }
    SECTION("what the entry itself has accepted since counts")
    {
        KnownBacklog known = backlogOf(480);
        known.acceptedWork = 40;
        CHECK_FALSE(admit(smallJob(), &known, Now).accepted);
    }
    SECTION("a workspace with few waiting jobs gets its share of the room, whatever others have sent")
    {
        KnownBacklog known = backlogOf(5000);
        known.backlog.workspaces = {{"busy", {1, 4950}}, {"quiet", {1, 50}}};
        JobSpec job = smallJob();
        job.workspace = "quiet";
        CHECK(admit(job, &known, Now).accepted);
        job.workspace = "idle";
        CHECK(admit(job, &known, Now).accepted);
        job.workspace = "busy";
        CHECK_FALSE(admit(job, &known, Now).accepted);
    }
    SECTION("a backlog that is old, and a pool without room, refuse nothing")
    {
        KnownBacklog known = backlogOf(5000);
        CHECK(admit(smallJob(), &known, known.receivedAt + MaxBacklogAge + Duration{1}).accepted);
        known.backlog.room = 0;
        CHECK(admit(smallJob(), &known, Now).accepted);
    }
    SECTION("jobs without an end are accepted")
    {
        const KnownBacklog known = backlogOf(5000);
        JobSpec scheduled = smallJob();
        scheduled.occurrences = 2;
        CHECK(admit(scheduled, &known, Now).accepted);
        JobSpec longRunning = smallJob();
        longRunning.steps.front().longRunning = true;
        CHECK(admit(longRunning, &known, Now).accepted);
    }
}

TEST_CASE("Refused callers come back when a place is likely, and not together")
{
    const KnownBacklog known = backlogOf(1000);
    std::map<std::int64_t, int> perSecond;
    for (int i = 0; i < 1000; ++i) {
        const AdmissionDecision decision = admit(smallJob(std::to_string(i)), &known, Now);
        CHECK(decision.retryAfter >= decision.end - Duration{2'000'000});  // in time again by then
        ++perSecond[decision.retryAfter.count() / 1'000'000];
    }
    for (const auto &[second, callers] : perSecond) {
        CHECK(callers < 250);
    }
}

TEST_CASE("More work ahead never turns a refusal into an acceptance, and a backlog survives its encoding")
{
    rc::prop("admission is monotonic in the backlog", [] {
        const int work = *rc::gen::inRange(0, 5000);
        const int more = *rc::gen::inRange(0, 5000);
        const KnownBacklog less = backlogOf(work, *rc::gen::inRange(0, 3), *rc::gen::inRange(-2, 8));
        KnownBacklog greater = less;
        greater.backlog.rows.front().work += more;
        RC_ASSERT(admit(smallJob(), &less, Now).wait <= admit(smallJob(), &greater, Now).wait);
        RC_ASSERT(admit(smallJob(), &less, Now).accepted || !admit(smallJob(), &greater, Now).accepted);
        const auto decoded = parseBacklog(encodeBacklog(less.backlog));
        RC_ASSERT(static_cast<bool>(decoded));
        RC_ASSERT(std::abs(decoded.value().work() - less.backlog.work()) <= 0.051 * less.backlog.work());
    });
    CHECK_FALSE(static_cast<bool>(parseBacklog("[]")));
    CHECK_FALSE(static_cast<bool>(parseBacklog(R"({"rows":[["x"]]})")));
}
