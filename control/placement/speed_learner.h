#pragma once

#include "control/outbox.h"
#include "control/placement/similar_runs.h"

namespace gentiancross {

struct PooledWorker;
class WorkerPool;

/**
 * Learns which workers are fast and which are slow from the durations of their runs relative to
 * similar runs elsewhere. Keeps the result in each `PooledWorker`, so that it ends with the
 * incarnation. Owned by `CellLeader`. Thread safety: owned by the control thread.
 */
class SpeedLearner
{
public:
    /** Adds a run of a task of \a step that the worker has completed in \a taken. Returns the
     * slowness of the run that its worker's speed does not explain: a natural logarithm, nullopt if
     * there are too few similar runs. Durations that can't be right are ignored. */
    std::optional<double> addRun(Instant now, PooledWorker &worker, const StepRef &ref,
                                 const StepSpec &step, Milliseconds taken);
    /** Compares the workers with each other, once a second. A change of class is logged. */
    void tick(Instant now, WorkerPool &pool, Outbox &out);

private:
    SimilarRuns m_similarRuns;
    Instant m_nextComparison;
};

} // namespace gentiancross
