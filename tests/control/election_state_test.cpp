#include "control/election_state.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

// Guards against two leaders that both act: a voter that starts again has forgotten its promise.
TEST_CASE("A quorum that has forgotten what it promised shows no leader's silence, all voters do")
{
    const ReplicaId a("a#d-1");
    const ReplicaId b("b#d-1");
    const ReplicaId c("c#d-1");
    Membership membership;
    membership.voters = {a, b, c};
    ElectionState election(a);
    election.beginVoteCount();
    election.countVote(b);
    CHECK(election.isLeaderless(membership));
    election.markRestarted(b);
    CHECK(election.hasWon(membership));
    CHECK_FALSE(election.isLeaderless(membership));
    election.markRestarted(a);
    election.countVote(c);
    CHECK(election.isLeaderless(membership));
    election.beginVoteCount();
    election.countVote(b);
    CHECK(election.isLeaderless(membership));
}
