#include "control/overload/team_shares.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace gentiancross;

namespace {

constexpr Instant Start{100'000};
const TeamId alpha("alpha");
const TeamId beta("beta");

SharedDocument makeWeights(std::int64_t weightOfAlpha, std::int64_t weightOfBeta)
{
    ConfigDocument document;
    document.teams = {{alpha, {}, weightOfAlpha, {}}, {beta, {}, weightOfBeta, {}}};
    return document;
}

int countWithin(TeamShares &shares, Instant now, const TeamId &team, int arrivals)
{
    int within = 0;
    for (int arrival = 0; arrival < arrivals; ++arrival)
        within += shares.recordArrival(now, team) == ShareStanding::Within ? 1 : 0;
    return within;
}

} // namespace

// Guards against a team whose claim is larger than its weight, and against one that is charged for
// its burst long after it.
TEST_CASE("A team has two seconds' worth of its weight at once, and its rate again after a burst")
{
    TeamShares shares;
    shares.update(Start, makeWeights(10, 1));
    CHECK(countWithin(shares, Start, alpha, 1000) == 20);
    // The burst leaves no debt, and the other team's allowance is its own.
    CHECK(countWithin(shares, Start + Milliseconds(100), alpha, 5) == 1);
    CHECK(countWithin(shares, Start + Milliseconds(100), beta, 5) == 2);
    CHECK(countWithin(shares, Start + Milliseconds(60'000), alpha, 1000) == 20);
}

// Guards against a claim that starts over with each of an operator's frequent configurations, and
// against a rate that is kept after it was lowered.
TEST_CASE("A new configuration changes the rate and keeps what was used")
{
    TeamShares shares;
    shares.update(Start, makeWeights(10, 1));
    CHECK(countWithin(shares, Start, alpha, 1000) == 20);
    shares.update(Start, makeWeights(10, 2));
    CHECK(countWithin(shares, Start, alpha, 5) == 0);
    shares.update(Start, makeWeights(1, 2));
    CHECK(countWithin(shares, Start + Milliseconds(60'000), alpha, 1000) == 2);
}

// Guards against arithmetic overflow, and against a claim by a weight that grants none.
TEST_CASE("Weights out of range are limited, and a clock that stands still or jumps does no harm")
{
    TeamShares shares;
    shares.update(Start, makeWeights(std::numeric_limits<std::int64_t>::max(), -5));
    CHECK(countWithin(shares, Start, alpha, 1000) == 1000);
    CHECK(countWithin(shares, Start, beta, 3) == 0);
    CHECK(countWithin(shares, Instant(std::numeric_limits<std::int64_t>::max()), alpha, 3) == 3);
    CHECK(countWithin(shares, Start, alpha, 3) == 3);
}

// Guards against callers without a key that delay the teams' work without limit.
TEST_CASE("Calls without a key share the allowance of one team of weight 1")
{
    ConfigDocument document;
    document.teams = {{alpha, {}, 5, {}}};
    TeamShares shares;
    SECTION("A single team without public queues shares with nobody")
    {
        shares.update(Start, document);
        CHECK(countWithin(shares, Start, alpha, 100) == 100);
    }
    SECTION("A public queue's callers are one more party")
    {
        document.queues.resize(1);
        document.queues[0].isPublic = true;
        shares.update(Start, document);
        CHECK(countWithin(shares, Start, alpha, 100) == 10);
        CHECK(countWithin(shares, Start, TeamId(), 100) == 2);
    }
}
