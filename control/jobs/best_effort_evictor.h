#pragma once

#include "control/jobs/advice_coordinator.h"
#include "control/jobs/worker_pool.h"

#include <vector>

namespace gentiancross {

/** A best-effort run that is to be stopped. */
struct Eviction
{
    JobTaskRef task;
    WorkerIncarnation worker;
};

/**
 * Chooses best-effort runs to stop where tasks with a latency target find no worker without any:
 * the two kinds do not share workers. Owned by `StartPlanner`. Thread safety: owned by the control
 * thread.
 */
class BestEffortEvictor
{
public:
    /** All must outlive this object. */
    BestEffortEvictor(const JobStoreData &store, WorkerPool &pool, AdviceCoordinator &advice);

    /** Returns the runs to stop so that \a tasks of a step of \a job have room, and keeps their
     * workers free of further best-effort tasks for a while. Of all workers that could run the step
     * then it takes those where least is stopped. Precondition: the step has a latency target. */
    std::vector<Eviction> makeRoom(Instant now, const StepRef &ref, const Job &job,
                                   std::uint64_t tasks);

private:
    /** The workers that may run the step, as far as advice and labels go. */
    [[nodiscard]] std::vector<PooledWorker *> findWorkers(Instant now, const StepRef &ref,
                                                          const Job &job);
    /** Number of the step's tasks that fit on the worker without its best-effort runs; 0 if one of
     * these must not be stopped. */
    [[nodiscard]] std::uint64_t roomOn(const PooledWorker &worker, const StepSpec &step) const;
    [[nodiscard]] bool mayStop(const JobTaskRef &task, const OpenRun &run) const;

    const JobStoreData &m_store;
    WorkerPool &m_pool;
    AdviceCoordinator &m_advice;
};

} // namespace gentiancross
