// Tests which callers are served by their access keys, and which jobs they may use.

#include "caller_access.h"

#include <catch2/catch.hpp>

using namespace briarvane;

namespace
{

DeploymentConfig configuration(std::vector<Workspace> workspaces)
{
    DeploymentConfig config;
    config.workspaces = std::move(workspaces);
    config.indexAccessKeys();
    return config;
}

AccessOutcome outcome(const DeploymentConfig &config, const Queue &queue, const std::string &key)
{
    return decideAccess(config, queue, &key).outcome;
}

}

TEST_CASE("A caller is served by the keys of the configuration in force")
{
    // Guards against callers that are served after their key was withdrawn, or as another workspace.
    const DeploymentConfig config = configuration({{"mills", {"k1", "k2"}, 1, {}}, {"quarries", {"k3"}, 1, {}}});
    const Queue queue;
    Queue open;
    open.isPublic = true;

    SECTION("each key leads to its workspace")
    {
        const std::string key = "k2";
        const CallerAccess access = decideAccess(config, queue, &key);
        CHECK(access.outcome == AccessOutcome::Allowed);
        CHECK_FALSE(access.scope.allJobs);
        CHECK(access.scope.workspace == "mills");
    }
    SECTION("a request without a key, with an empty one or with one that nobody has is refused")
    {
        CHECK(decideAccess(config, queue, nullptr).outcome == AccessOutcome::NoKey);
        CHECK(outcome(config, queue, "") == AccessOutcome::UnknownKey);
        CHECK(outcome(config, queue, "k") == AccessOutcome::UnknownKey);
        CHECK(outcome(config, queue, "k1 ") == AccessOutcome::UnknownKey);
        CHECK(outcome(config, queue, "mills") == AccessOutcome::UnknownKey);
    }
    SECTION("a withdrawn key is refused by the next version, and the workspace's other keys hold")
    {
        const DeploymentConfig next = configuration({{"mills", {"k2", "k4"}, 1, {}}, {"quarries", {}, 1, {}}});
        CHECK(outcome(next, queue, "k1") == AccessOutcome::UnknownKey);
        CHECK(outcome(next, queue, "k3") == AccessOutcome::UnknownKey);
        CHECK(outcome(next, queue, "k2") == AccessOutcome::Allowed);
        CHECK(outcome(next, queue, "k4") == AccessOutcome::Allowed);
    }
    SECTION("a public queue asks for no key")
    {
        CHECK(decideAccess(config, open, nullptr).outcome == AccessOutcome::Allowed);
        CHECK(decideAccess(config, open, nullptr).scope.workspace.empty());
        CHECK(outcome(config, open, "k9") == AccessOutcome::Allowed);
    }
    SECTION("a configuration without workspaces asks for no key, whatever the request carries")
    {
        const DeploymentConfig plain = configuration({});
        CHECK(decideAccess(plain, queue, nullptr).scope.allJobs);
        CHECK(outcome(plain, queue, "k9") == AccessOutcome::Allowed);
    }
}

TEST_CASE("A caller may use the jobs of its workspace only")
{
    const CallerScope mills{false, "mills"};
    CHECK(mills.includes("mills"));
    CHECK_FALSE(mills.includes("quarries"));
    CHECK(mills.includes(""));  // accepted by an earlier build or through a public queue

    SECTION("a caller of a public queue has no workspace's jobs")
    {
        const CallerScope anybody{false, {}};
        CHECK(anybody.includes(""));
        CHECK_FALSE(anybody.includes("mills"));
    }
    SECTION("without workspaces in the configuration, all jobs are open, also those of former workspaces")
    {
        CHECK(CallerScope{}.includes("mills"));
    }
}

TEST_CASE("A configuration counts as outdated once a newer one may have to be in force")
{
    // Guards against an entry that cannot reach the store and decides by a version that others have replaced.
    const TimePoint current{std::chrono::seconds(100)};
    constexpr Duration applyTime{3'000'000};
    CHECK_FALSE(mayBeOutdated(current, applyTime, current));
    CHECK_FALSE(mayBeOutdated(current, applyTime, current + applyTime));
    CHECK(mayBeOutdated(current, applyTime, current + applyTime + Duration{1}));
    CHECK(mayBeOutdated(TimePoint{}, applyTime, current));  // never known to be current
}
