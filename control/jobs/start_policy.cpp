#include "control/jobs/start_policy.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** Weighs a rack without the step's data against any difference in room. */
constexpr std::int64_t FarFromData = 1'000'000;
/** Weighs a worker without lasting work against any difference in room, for lasting work. */
constexpr std::int64_t FreshForLasting = 500'000;

} // namespace

std::int64_t PackingChoice::cost(const PooledWorker &worker, const StepSpec &step) const
{
    const MilliCores left = worker.room().cores - worker.bestEffortCores;
    std::int64_t cost = step.isBestEffort ? -left.value() : left.value();
    if (!step.dataRack.empty() && worker.report.rack.value() != step.dataRack)
        cost += FarFromData;
    if (step.isLasting && worker.tailTargets == 0)
        cost += FreshForLasting;
    return cost;
}

bool mayRunOn(const PooledWorker &worker, const StepSpec &step)
{
    const bool hasTarget = step.isLasting && step.tailTarget > Milliseconds(0);
    if (hasTarget && worker.bestEffortCores > MilliCores(0))
        return false;
    if (step.isBestEffort && worker.tailTargets > 0)
        return false;
    const std::vector<std::string> &labels = worker.report.labels;
    if (!step.requiredLabel.empty()
        && std::find(labels.begin(), labels.end(), step.requiredLabel) == labels.end())
        return false;
    Resources room = worker.room();
    if (step.isBestEffort) {
        room.cores -= worker.bestEffortCores;
        return step.each.fitsIn(room);
    }
    return step.reserved().fitsIn(room);
}

} // namespace gentiancross
