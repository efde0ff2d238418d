#include "control/placement_policy.h"

#include <cmath>

namespace gentiancross {

namespace {

/** Eligible workers looked at for one in an unused rack before the emptiest is taken. */
constexpr int MaxRackProbes = 32;
/** Eligible workers looked at, the fullest first, for the one that is left most balanced. */
constexpr int MaxPackingProbes = 32;

bool needsAccelerators(const PlacementNeed &need)
{
    return need.resources.accelerators > Accelerators(0);
}

template <typename Unit>
double partOf(Unit needed, Unit free)
{
    if (free <= Unit(0))
        return 0.0;
    return static_cast<double>(needed.value()) / static_cast<double>(free.value());
}

/** How far apart the parts of a worker's free processors and memory are that the need would take;
 * room that is left of one alone is lost. */
double imbalance(const Resources &need, const Resources &free)
{
    return std::abs(partOf(need.cores, free.cores) - partOf(need.memory, free.memory));
}

} // namespace

bool isEligible(const IndexedWorker &worker, const PlacementNeed &need)
{
    if (!worker.usable || !need.resources.fitsIn(worker.free))
        return false;
    if (worker.held && !need.mayUseHeld)
        return false;
    for (const auto &[label, value] : need.selector) {
        const auto found = worker.labels.find(label);
        if (found == worker.labels.end() || found->second != value)
            return false;
    }
    return true;
}

std::optional<WorkerOrdinal> PackingPlacement::choose(const WorkerIndex &workers,
                                                      const PlacementNeed &need) const
{
    std::optional<WorkerOrdinal> chosen;
    double least = 0.0;
    int probes = 0;
    workers.visitLeastFree(need.resources.cores, needsAccelerators(need),
                           [&](WorkerOrdinal ordinal) {
                               const IndexedWorker &worker = workers.at(ordinal);
                               if (!isEligible(worker, need))
                                   return false;
                               const double found = imbalance(need.resources, worker.free);
                               if (!chosen.has_value() || found < least) {
                                   chosen = ordinal;
                                   least = found;
                               }
                               return ++probes >= MaxPackingProbes;
                           });
    return chosen;
}

std::optional<WorkerOrdinal> SpreadPlacement::choose(const WorkerIndex &workers,
                                                     const PlacementNeed &need) const
{
    std::optional<WorkerOrdinal> chosen;
    int probes = 0;
    workers.visitMostFree(need.resources.cores, needsAccelerators(need),
                          [&](WorkerOrdinal ordinal) {
                              const IndexedWorker &worker = workers.at(ordinal);
                              if (!isEligible(worker, need))
                                  return false;
                              const bool rackIsUnused = !need.usedRacks.contains(worker.rack);
                              if (!chosen.has_value() || rackIsUnused)
                                  chosen = ordinal;
                              return rackIsUnused || ++probes >= MaxRackProbes;
                          });
    return chosen;
}

std::optional<WorkerOrdinal> FirstFitPlacement::choose(const WorkerIndex &workers,
                                                       const PlacementNeed &need) const
{
    for (std::size_t index = 0; index < workers.size(); ++index) {
        const WorkerOrdinal ordinal(index);
        if (isEligible(workers.at(ordinal), need))
            return ordinal;
    }
    return std::nullopt;
}

} // namespace gentiancross
