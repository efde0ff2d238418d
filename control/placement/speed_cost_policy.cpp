#include "control/placement/speed_cost_policy.h"

namespace gentiancross {

namespace {

/** Cost of one class of speed. Exceeds any difference in free capacity; two classes cost less than
 * data in another rack. */
constexpr std::int64_t SpeedClassCost = 200'000;
/** With less than one estimate left, a task on a slow worker would end too late. */
constexpr std::int64_t ShortEstimates = 1;
/** A task that takes 1.9 times its estimate takes 2.7 estimates at 0.7 of the usual speed. */
constexpr std::int64_t SpareEstimates = 3;

} // namespace

TimePressure timePressureOf(Instant now, const ReadyStep &ready, const StepSpec &step)
{
    // The duration of best-effort tasks depends on what other tasks leave them.
    if (step.isLongRunning || step.isBestEffort || step.estimate <= Milliseconds(0))
        return TimePressure::None;
    if (ready.lateness == Lateness::Expired)
        return TimePressure::Spare;
    const Milliseconds left = ready.latestStart - now;
    if (ready.lateness == Lateness::Late || left < step.estimate * ShortEstimates)
        return TimePressure::Short;
    return left >= step.estimate * SpareEstimates ? TimePressure::Spare : TimePressure::None;
}

std::int64_t SpeedCostPolicy::cost(const PooledWorker &worker, const StepSpec &step) const
{
    return m_packing.cost(worker, step);
}

PlacementPreference SpeedCostPolicy::preferenceOf(Instant now, const ReadyStep &ready,
                                                  const StepSpec &step) const
{
    return {timePressureOf(now, ready, step)};
}

std::int64_t SpeedCostPolicy::preferenceCost(const PooledWorker &worker,
                                             const PlacementPreference &preference) const
{
    const SpeedClass speed = worker.speed.speedClass();
    if (preference.pressure == TimePressure::None || speed == SpeedClass::Usual)
        return 0;
    const bool isPreferred
            = (speed == SpeedClass::Fast) == (preference.pressure == TimePressure::Short);
    return isPreferred ? -SpeedClassCost : SpeedClassCost;
}

} // namespace gentiancross
