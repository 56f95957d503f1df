#include "history.h"

#include <catch2/catch.hpp>

using namespace briarvane;
using namespace briarvane::history;

namespace
{

TimePoint at(int ms)
{
    return TimePoint{Duration{ms * 1000}};
}

/// History without violations: a request with an idempotency key and its replay, a refused request, an idempotent
/// request that was retried, a request with unknown outcome, and a key conflict.
History faultFreeHistory()
{
    const ServiceId orders{"sugar-orders"};
    const TenantId coast{"coast"};
    History history;
    history.callers = {
        {"r1", orders, coast, "k1", false, at(0), at(20), Outcome::Answered, true, "ask-1", "answer-1"},
        {"r2", orders, coast, "k1", false, at(30), at(35), Outcome::Answered, true, "ask-1", "answer-1"},
        {"r3", orders, coast, "", false, at(40), at(41), Outcome::NotRun, false, "ask-3", ""},
        {"r4", orders, coast, "", true, at(50), at(90), Outcome::Answered, true, "ask-4", "answer-4"},
        {"r5", orders, coast, "", false, at(60), at(99), Outcome::Unknown, false, "ask-5", ""},
        {"r6", orders, coast, "k1", false, at(61), at(62), Outcome::KeyConflict, false, "ask-6", ""},
    };
    history.executions = {
        {"r1", orders, coast, "k1", {"i1"}, at(5), at(15), false, false, std::nullopt, "ask-1", "answer-1"},
        {"r4", orders, coast, "", {"i1"}, at(52), at(60), true, false, std::nullopt, "ask-4", ""},
        {"r4", orders, coast, "", {"i2"}, at(62), at(80), false, false, Duration{2'900'000}, "ask-4", "answer-4"},
        {"r5", orders, coast, "", {"i1"}, at(62), at(80), true, false, std::nullopt, "ask-5", ""},
    };
    history.seen = {{{"e1"}, 1, "fleet", 4, at(0)},
                    {{"e2"}, 1, "fleet", 3, at(5)},
                    {{"e1"}, 1, "fleet", 5, at(20)},
                    {{"e2"}, 1, "fleet", 5, at(25)}};
    history.accepted = {{"fleet", 5, at(30)}};
    history.pools = {{4, {"i1"}, {"a"}}, {5, {"i1"}, {"b"}}, {5, {"i2"}, {"b"}}};
    return history;
}

/// Names of the violated guarantees, each once.
std::set<std::string> violated(const History &history)
{
    std::set<std::string> guarantees;
    for (const Violation &violation : check(history)) {
        guarantees.insert(violation.guarantee);
    }
    return guarantees;
}

}

TEST_CASE("The history checker finds each violated guarantee and no other", "[history]")
{
    // Guards against end-to-end tests that pass because their checker overlooks a violation.
    History history = faultFreeHistory();
    using Guarantees = std::set<std::string>;

    SECTION("a history without violations")
    {
        CHECK(check(history).empty());
    }
    SECTION("P2: an instance in two pools of one fleet version")
    {
        history.pools.push_back({5, {"i1"}, {"c"}});
        CHECK(violated(history) == Guarantees{"P2"});
    }
    SECTION("P3: a partial answer")
    {
        history.callers[0].complete = false;
        CHECK(violated(history) == Guarantees{"P3"});
    }
    SECTION("P3: another request's answer")
    {
        history.callers[3].responseDigest = "answer-1";
        CHECK(violated(history) == Guarantees{"P3"});
    }
    SECTION("P3: a replay to a caller that sent another body under the key")
    {
        history.callers[1].requestDigest = "ask-2";
        CHECK(violated(history) == Guarantees{"P3"});
    }
    SECTION("P3: an answer that no upstream produced")
    {
        history.callers[4].outcome = Outcome::Answered;
        history.callers[4].complete = true;
        history.callers[4].responseDigest = "invented";
        CHECK(violated(history) == Guarantees{"P3"});
    }
    SECTION("P4: a request with the outcome not-run was executed")
    {
        history.callers[4].outcome = Outcome::NotRun;
        CHECK(violated(history) == Guarantees{"P4"});
    }
    SECTION("P4: a request with the outcome in-progress was itself executed")
    {
        history.callers[4].outcome = Outcome::InProgress;
        CHECK(violated(history) == Guarantees{"P4"});
    }
    SECTION("P5: requests with one key were executed twice, under two request ids")
    {
        Execution second = history.executions[0];
        second.requestId = "r2";
        history.executions.push_back(second);
        CHECK(violated(history) == Guarantees{"P5"});
    }
    SECTION("P5: a non-idempotent request without a key was executed twice")
    {
        history.executions.push_back(history.executions[3]);
        CHECK(violated(history) == Guarantees{"P5"});
    }
    SECTION("P5: equal keys of different tenants are different keys")
    {
        Execution other = history.executions[0];
        other.requestId = "r9";
        other.tenant = {"rail"};
        history.executions.push_back(other);
        CHECK(check(history).empty());
    }
    SECTION("P6: an execution began more than 3 s after the instance began to drain")
    {
        history.executions[2].drainAge = Duration{3'000'001};
        CHECK(violated(history) == Guarantees{"P6"});
    }
    SECTION("P7: a planned stop cut off a request; an unplanned stop is no violation")
    {
        history.executions[1].planned = true;
        CHECK(violated(history) == Guarantees{"P7"});
    }
    SECTION("P8: an entry went back to an older version")
    {
        history.seen.push_back({{"e1"}, 1, "fleet", 4, at(26)});
        CHECK(violated(history) == Guarantees{"P8"});
    }
    SECTION("P8: a restarted entry started with a version older than the accepted one")
    {
        history.seen.push_back({{"e1"}, 2, "fleet", 4, at(40)});
        CHECK(violated(history) == Guarantees{"P8"});
    }
}
