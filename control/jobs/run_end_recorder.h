#pragma once

#include "control/jobs/job_store.h"
#include "control/jobs/run_result_handler.h"
#include "control/jobs/worker_pool.h"
#include "control/outbox.h"

#include <vector>

namespace gentiancross {

/**
 * Takes in the ends that workers list, and tells which of them the worker may forget.
 * Thread safety: owned by the control thread.
 */
class RunEndRecorder
{
public:
    /** All must outlive this object. */
    RunEndRecorder(const JobStoreData &book, WorkerPool &pool, RunResultHandler &sink);

    /** Takes in what of \a ended is new; the list is the worker's, oldest first. */
    void take(Instant now, PooledWorker &worker, const std::vector<ReportedCompletion> &ended,
              Outbox &out);

private:
    /** An end that was listed only after a later run was ordered must not be noted: the later run
     * would be a start after an end that counts. */
    void noteWhetherNotable(PooledWorker &worker, const ReportedCompletion &end, Outbox &out);
    /** True if the rules would be broken by a start of the task, were \a end noted. */
    [[nodiscard]] bool mustBeKept(const ReportedCompletion &end);
    static void noteFailure(Instant now, PooledWorker &worker, const JobId &job, Outbox &out);
    void notePace(Instant now, PooledWorker &worker, const ReportedCompletion &end);

    const JobStoreData &m_book;
    WorkerPool &m_pool;
    RunResultHandler &m_sink;
};

} // namespace gentiancross
