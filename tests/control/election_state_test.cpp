#include "control/election_state.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

// Guards against two active leaders: a voter that restarts no longer knows what it acknowledged to
// a leader.
TEST_CASE("Pre-votes of recently restarted voters show that no leader is active only if all voters "
          "agree")
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
