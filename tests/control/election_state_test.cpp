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
    ElectionState ballot(a);
    ballot.beginVoteCount();
    ballot.count(b);
    CHECK(ballot.isLeaderless(membership));
    ballot.markRestarted(b);
    CHECK(ballot.hasWon(membership));
    CHECK_FALSE(ballot.isLeaderless(membership));
    ballot.markRestarted(a);
    ballot.count(c);
    CHECK(ballot.isLeaderless(membership));
    ballot.beginVoteCount();
    ballot.count(b);
    CHECK(ballot.isLeaderless(membership));
}
