#include "control/membership/voter_options.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

TEST_CASE("Silent voters are replaced before the successor of a lost host counts")
{
    CHECK(deriveVoterOptions(2, Milliseconds(6000)).voters == 5);
    CHECK(deriveVoterOptions(2, Milliseconds(6000)).maxSilence == Milliseconds(4000));
    CHECK(deriveVoterOptions(1, Milliseconds(4000)).maxSilence == Milliseconds(2000));
    // Without the setting, or with one that can't be met, the limits hold.
    CHECK(deriveVoterOptions(1, Milliseconds(0)).maxSilence == Milliseconds(4000));
    CHECK(deriveVoterOptions(1, Milliseconds(1000)).maxSilence == Milliseconds(1500));
    CHECK(deriveVoterOptions(1, Milliseconds(60'000)).maxSilence == Milliseconds(4000));
}
