#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>

namespace gentiancross {

/** What a team has and what it wants, its upper limit taken into account. */
struct FairShareDemand
{
    std::int64_t weight = 1;
    MilliCores used;
    /** What it would use if it got all it asks for; not below `used`. */
    MilliCores wanted;
};

/**
 * Divides \a total among teams in proportion to their weights; what a team does not want goes to
 * the others (weighted max-min fairness). Rounds down. Reentrant.
 */
std::map<TeamId, MilliCores> computeFairShares(MilliCores total,
                                               const std::map<TeamId, FairShareDemand> &wants);

} // namespace gentiancross
