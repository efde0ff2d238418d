#include "control/queue_policy.h"

#include <algorithm>

namespace gentiancross {

namespace {

template <typename Unit>
double fractionOf(Unit used, Unit total)
{
    if (total <= Unit(0))
        return 0.0;
    return static_cast<double>(used.value()) / static_cast<double>(total.value());
}

} // namespace

double DominantShareQueue::rank(const TeamStanding &team, const Resources &total) const
{
    const double dominant = std::max({fractionOf(team.running.cores, total.cores),
                                      fractionOf(team.running.memory, total.memory),
                                      fractionOf(team.running.accelerators, total.accelerators),
                                      fractionOf(team.running.slots, total.slots)});
    return dominant / static_cast<double>(team.weight);
}

double ArrivalQueue::rank(const TeamStanding &team, const Resources &) const
{
    return static_cast<double>(team.headArrival);
}

} // namespace gentiancross
