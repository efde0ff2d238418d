#pragma once

#include "control/worker_index.h"

#include <optional>
#include <set>

namespace gentiancross {

/** What one task requires of a worker. */
struct PlacementNeed
{
    Resources resources;
    const Labels &selector;
    /** Racks in which other tasks of the same request already run. */
    const std::set<RackId> &usedRacks;
    /** True for the gang that workers are held for, and for short requests, which end soon. */
    bool mayUseHeld = false;
};

/** True if the worker is usable for the task and has the free capacity and labels. Reentrant. */
bool isEligible(const IndexedWorker &worker, const PlacementNeed &need);

/**
 * Chooses a worker for one task; called by the scheduler. Implementations are pure; calls on one
 * object are reentrant.
 */
class PlacementPolicy
{
public:
    PlacementPolicy() = default;
    PlacementPolicy(const PlacementPolicy &) = delete;
    PlacementPolicy &operator=(const PlacementPolicy &) = delete;
    virtual ~PlacementPolicy() = default;

    /** An eligible worker; nothing only if no worker is eligible. */
    [[nodiscard]] virtual std::optional<WorkerOrdinal> choose(const WorkerIndex &workers,
                                                              const PlacementNeed &need) const = 0;
};

/**
 * Packs tasks on the fullest workers on which they fit, so that whole workers stay free. Among the
 * first candidates it takes the one whose free cores and memory would be used most evenly.
 */
class PackingPlacement final : public PlacementPolicy
{
public:
    [[nodiscard]] std::optional<WorkerOrdinal> choose(const WorkerIndex &workers,
                                                      const PlacementNeed &need) const override;
};

/**
 * Takes the worker with the most free cores, preferring a rack that the request does not use yet if
 * one is among the first candidates.
 */
class SpreadPlacement final : public PlacementPolicy
{
public:
    [[nodiscard]] std::optional<WorkerOrdinal> choose(const WorkerIndex &workers,
                                                      const PlacementNeed &need) const override;
};

/** Takes the first eligible worker by a linear scan; the baseline for tests and benchmarks. */
class FirstFitPlacement final : public PlacementPolicy
{
public:
    [[nodiscard]] std::optional<WorkerOrdinal> choose(const WorkerIndex &workers,
                                                      const PlacementNeed &need) const override;
};

} // namespace gentiancross
