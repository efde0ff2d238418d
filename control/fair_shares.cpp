#include "control/fair_shares.h"

#include <algorithm>
#include <vector>

namespace gentiancross {

std::map<TeamId, MilliCores> computeFairShares(MilliCores total,
                                               const std::map<TeamId, FairShareDemand> &demands)
{
    // Teams are served in ascending order of demand per weight, so that what a team leaves over is
    // divided among the teams after it.
    std::vector<std::pair<TeamId, FairShareDemand>> order(demands.begin(), demands.end());
    std::sort(order.begin(), order.end(), [](const auto &first, const auto &second) {
        return first.second.wanted.value() * second.second.weight
                < second.second.wanted.value() * first.second.weight;
    });
    std::int64_t remainingWeight = 0;
    for (const auto &[team, demand] : order)
        remainingWeight += demand.weight;
    std::map<TeamId, MilliCores> shares;
    MilliCores remaining = total;
    for (const auto &[team, demand] : order) {
        const MilliCores proportional
                = remaining * demand.weight / std::max<std::int64_t>(remainingWeight, 1);
        const MilliCores share = std::min(demand.wanted, proportional);
        shares[team] = share;
        remaining -= share;
        remainingWeight -= demand.weight;
    }
    return shares;
}

} // namespace gentiancross
