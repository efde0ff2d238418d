#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>

namespace gentiancross {

/** A team's weight, usage and demand, with its upper limit taken into account. */
struct FairShareDemand
{
    std::int64_t weight = 1;
    MilliCores used;
    /** What the team would use if all its work ran; not below `used`. */
    MilliCores wanted;
};

/**
 * Weighted max-min fairness: divides \a total among teams in proportion to their weights, and
 * divides what a team does not want among the others. Rounds down. Reentrant.
 */
std::map<TeamId, MilliCores> computeFairShares(MilliCores total,
                                               const std::map<TeamId, FairShareDemand> &demands);

} // namespace gentiancross
