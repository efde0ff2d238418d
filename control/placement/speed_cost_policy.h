#pragma once

#include "control/jobs/start_policy.h"

namespace gentiancross {

/** The time pressure of \a step, which \a ready ranks, as of \a now. Reentrant. */
[[nodiscard]] TimePressure timePressureOf(Instant now, const ReadyStep &ready,
                                          const StepSpec &step);

/**
 * Packs as `PackingCostPolicy` does, but prefers fast workers for tasks that are short of time and
 * slow ones for tasks with time to spare. The preference outweighs a better fit, but not the rack
 * of the data. If all workers have the usual speed, it decides as `PackingCostPolicy`.
 */
class SpeedCostPolicy final : public WorkerCostPolicy
{
public:
    [[nodiscard]] std::int64_t cost(const PooledWorker &worker,
                                    const StepSpec &step) const override;
    [[nodiscard]] PlacementPreference preferenceOf(Instant now, const ReadyStep &ready,
                                                   const StepSpec &step) const override;
    [[nodiscard]] std::int64_t preferenceCost(const PooledWorker &worker,
                                              const PlacementPreference &preference) const override;

private:
    PackingCostPolicy m_packing;
};

} // namespace gentiancross
