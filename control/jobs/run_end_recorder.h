#pragma once

#include "control/jobs/failure_attribution.h"
#include "control/jobs/job_store.h"
#include "control/jobs/run_result_handler.h"
#include "control/jobs/worker_pool.h"
#include "control/outbox.h"

#include <vector>

namespace gentiancross {

/**
 * Records the run ends that workers list, for RunTracker, and decides which of them the worker may
 * forget. Thread safety: owned by the control thread.
 */
class RunEndRecorder
{
public:
    /** All must outlive this object. */
    RunEndRecorder(const JobStoreData &store, WorkerPool &pool, RunResultHandler &results);

    /** Records the ends in \a ended that are new, in the order of their numbers, up to the first
     * of a run that must stay open. The list was asked for at \a askedAt. Precondition: the
     * worker's clock was set from the same answer. */
    void recordEnds(Instant now, Instant askedAt, PooledWorker &worker,
                    const std::vector<ReportedCompletion> &ended, Outbox &out);

private:
    /** True if the end must wait, since a copy of the run's start may still be under way. */
    static bool mustWait(PooledWorker &worker, const ReportedCompletion &end, Instant askedAt);
    /** Acknowledges the recorded ends, all of which a lapse of the lease has followed: they don't
     * count, whenever they are acknowledged (the platform's rules, "Jobs", TWICE). */
    void releaseLapsedEnds(PooledWorker &worker, Outbox &out);
    /** Decides whether ends up to \a end may be acknowledged. One that was listed only after a
     * later run was ordered must not be, unless the lease has lapsed after it: the later run would
     * be a start after an end that counts. */
    void updateAcknowledgeable(PooledWorker &worker, const ReportedCompletion &end,
                               bool hasLeaseLapsed, Outbox &out);
    /** True if a start of the task would break the rules once \a end is acknowledged. */
    [[nodiscard]] bool mustStayListed(const ReportedCompletion &end);
    void recordFailure(Instant now, PooledWorker &worker, const JobId &job, Outbox &out);
    /** Takes back what a failure has counted against a worker. */
    void exonerate(Instant now, const WorkerId &name);
    void recordPace(Instant now, PooledWorker &worker, const ReportedCompletion &end);

    const JobStoreData &m_store;
    WorkerPool &m_pool;
    RunResultHandler &m_results;
    FailureAttribution m_failures;
};

} // namespace gentiancross
