#pragma once

#include "core/units.h"

namespace gentiancross {

/**
 * Estimates the speed of a worker from the durations of its runs relative to their submitters'
 * estimates. The estimates are inaccurate, so only the average over several runs is meaningful, and
 * only in comparison with other workers. Updated when a run completes.
 * Thread safety: a value type.
 */
class WorkerPace
{
public:
    /** Adds a run that took \a taken with an estimate of \a estimated. Precondition: \a estimated
     * is positive. */
    void addRun(Milliseconds taken, Milliseconds estimated);
    /** True if there are enough runs for an estimate. */
    [[nodiscard]] bool isKnown() const;
    /** Moving average of the natural logarithm of actual over estimated duration. */
    [[nodiscard]] double slowness() const { return m_slowness; }

private:
    double m_slowness = 0;
    unsigned m_runs = 0;
};

/** True if the worker takes more than twice as long as the average. Reentrant. */
bool isSlow(const WorkerPace &worker, const WorkerPace &usual);

} // namespace gentiancross
