#include "control/fair_shares.h"

#include <algorithm>
#include <vector>

namespace gentiancross {

std::map<TeamId, MilliCores> computeFairShares(MilliCores total,
                                               const std::map<TeamId, FairShareDemand> &wants)
{
    // Whoever wants least for its weight is served first; what is left is divided by the others.
    std::vector<std::pair<TeamId, FairShareDemand>> order(wants.begin(), wants.end());
    std::sort(order.begin(), order.end(), [](const auto &first, const auto &second) {
        return first.second.wanted.value() * second.second.weight
                < second.second.wanted.value() * first.second.weight;
    });
    std::int64_t weightLeft = 0;
    for (const auto &[team, want] : order)
        weightLeft += want.weight;
    std::map<TeamId, MilliCores> parts;
    MilliCores left = total;
    for (const auto &[team, want] : order) {
        const MilliCores even = left * want.weight / std::max<std::int64_t>(weightLeft, 1);
        const MilliCores part = std::min(want.wanted, even);
        parts[team] = part;
        left -= part;
        weightLeft -= want.weight;
    }
    return parts;
}

} // namespace gentiancross
