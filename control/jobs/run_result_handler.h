#pragma once

#include "control/jobs/worker_pool.h"
#include "core/job_records.h"

namespace gentiancross {

/** Receives the results of runs from RunTracker and RunEndRecorder, on the control thread. */
class RunResultHandler
{
public:
    RunResultHandler() = default;
    RunResultHandler(const RunResultHandler &) = delete;
    RunResultHandler &operator=(const RunResultHandler &) = delete;
    virtual ~RunResultHandler() = default;

    /** Applies \a record to the job store, and appends it to the log with the next entry. */
    virtual void apply(JobRecord record) = 0;
    /** A worker has confirmed that a run of \a task has begun. */
    virtual void onRunBegun(const JobTaskRef &task) = 0;
    /** The worker has completed \a run of \a task in \a taken, from its first order to its listed
     * end. The run is still open, and alone determined that time: it is no member of a gang, and
     * uses neither a checkpoint nor what others leave. */
    virtual void onRunTimed(PooledWorker &worker, const JobTaskRef &task, const OpenRun &run,
                            Milliseconds taken)
            = 0;
    /** Acknowledges the ends up to \a number, all of which were applied: the worker may forget them
     * once they are durable. */
    virtual void acknowledgeEnds(const WorkerIncarnation &incarnation, CompletionNumber number) = 0;
    /** A worker that could be given no runs can be given some again. */
    virtual void onWorkerUsable() = 0;
};

} // namespace gentiancross
