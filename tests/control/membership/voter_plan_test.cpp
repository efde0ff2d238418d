#include "control/membership/voter_plan.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

namespace {

ReplicaId replica(const char *host)
{
    return makeReplica(HostId(host), true, "disk");
}

SilentVoter silent(const char *host, std::int64_t milliseconds)
{
    return {replica(host), Milliseconds(milliseconds)};
}

std::set<ReplicaId> replicas(const std::vector<const char *> &hosts)
{
    std::set<ReplicaId> all;
    for (const char *host : hosts)
        all.insert(replica(host));
    return all;
}

} // namespace

TEST_CASE("All silent voters that have a spare are replaced at once, the longest silent one first")
{
    // Guards against a second loss between two changes of one vote each.
    VoterStatus status{replicas({"a", "b", "c", "d", "e"}),
                       {silent("a", 4100), silent("b", 9000)},
                       {replica("s")}};
    std::optional<VoterPlan> plan = planVoters(status, 5);
    REQUIRE(plan.has_value());
    CHECK(plan->voters == replicas({"a", "s", "c", "d", "e"}));
    REQUIRE(plan->replacements.size() == 1);
    CHECK(plan->replacements[0].former->replica == replica("b"));
    status.spares.push_back(replica("t"));
    plan = planVoters(status, 5);
    REQUIRE(plan.has_value());
    CHECK(plan->voters == replicas({"s", "t", "c", "d", "e"}));
}

TEST_CASE("Spares are added only up to the number of voters to have, after silent ones are gone")
{
    const VoterStatus few{replicas({"a", "b", "c"}),
                          {silent("c", 5000)},
                          {replica("s"), replica("t"), replica("u"), replica("v")}};
    const std::optional<VoterPlan> plan = planVoters(few, 5);
    REQUIRE(plan.has_value());
    CHECK(plan->voters == replicas({"a", "b", "s", "t", "u"}));
    const VoterStatus enough{replicas({"a", "b", "c"}), {}, {replica("s")}};
    CHECK_FALSE(planVoters(enough, 3).has_value());
    const VoterStatus alone{replicas({"a", "b", "c"}), {silent("c", 5000)}, {}};
    CHECK_FALSE(planVoters(alone, 5).has_value());
}

TEST_CASE("No membership is planned of which only a minority responds")
{
    // Guards against a change that can't be committed and keeps out every other one.
    const VoterStatus lost{
            replicas({"a", "b", "c", "d", "e"}),
            {silent("a", 5000), silent("b", 5000), silent("c", 5000), silent("d", 5000)},
            {replica("s")}};
    CHECK_FALSE(planVoters(lost, 5).has_value());
}
