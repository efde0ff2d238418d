#include "control/ballot.h"

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
    Ballot ballot(a);
    ballot.beginCount();
    ballot.count(b);
    CHECK(ballot.isLeaderless(membership));
    ballot.noteForgetful(b);
    CHECK(ballot.isWon(membership));
    CHECK_FALSE(ballot.isLeaderless(membership));
    ballot.noteForgetful(a);
    ballot.count(c);
    CHECK(ballot.isLeaderless(membership));
    ballot.beginCount();
    ballot.count(b);
    CHECK(ballot.isLeaderless(membership));
}
