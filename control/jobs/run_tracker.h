#pragma once

#include "control/jobs/advice_coordinator.h"
#include "control/jobs/job_store.h"
#include "control/jobs/run_end_recorder.h"
#include "control/jobs/run_metrics.h"
#include "control/jobs/run_result_handler.h"
#include "control/jobs/start_admission.h"
#include "control/jobs/worker_pool.h"
#include "control/outbox.h"

#include <map>
#include <set>
#include <vector>

namespace gentiancross {

/** A leader's calls and questions are numbered from its fence times two to this power: answers to
 * an earlier one may still come. */
constexpr int IdBitsPerFence = 32;

/**
 * Follows the runs on workers: orders starts and stops until they are answered, renews leases,
 * takes ends in, and finds out which runs are lost. Thread safety: owned by the control thread.
 */
class RunTracker
{
public:
    /** All must outlive this object. */
    RunTracker(Fence fence, const JobStoreData &book, WorkerPool &pool, AdviceCoordinator &advice,
               StartAdmission &admission, RunResultHandler &sink);

    /** Orders a run whose record is durable. Precondition: it is open on \a worker. */
    void orderStart(Instant now, PooledWorker &worker, const JobTaskRef &task, Outbox &out);
    void receive(Instant now, const WorkerAnswer &answer, Outbox &out);
    /** Ends what lapsed and follows all workers. */
    void tick(Instant now, Outbox &out);
    /** Repeats orders that are due and asks for what runs. */
    void follow(Instant now, PooledWorker &worker, Outbox &out);
    /** The run is over, or never began, without the worker's list saying so. */
    void endRun(const WorkerIncarnation &life, const JobTaskRef &task, RunEnding ending,
                Outbox &out);
    /** The life is over and no other is at its place. */
    void endIncarnation(const WorkerIncarnation &life, const char *reason, Outbox &out);
    /**
     * Another life is at the place of \a old. Orders that \a old may not have seen can reach \a
     * next if it has the same name; such runs go over to it and are stopped there. Precondition: \a
     * next is in the pool.
     */
    void replaceIncarnation(Instant now, const WorkerIncarnation &old,
                            const WorkerIncarnation &next, const std::vector<ReportedRun> &running,
                            Outbox &out);
    /** False if the run of the task is of no use any more. */
    [[nodiscard]] bool isWanted(const JobTaskRef &task) const;

private:
    struct Call
    {
        OrderKind kind = OrderKind::LeaseRenewal;
        WorkerIncarnation incarnation;
        JobTaskRef task;
        RunNumber run;
        /** Runs that were settled when the call left, so that a list without them is proof. */
        std::map<JobTaskRef, RunNumber> settled;
        /** What the call grants, on the worker's clock; 0 for nothing. */
        std::int64_t leaseUntil = 0;
    };

    /** The run that a call was about; null if it is over or another is open. */
    OpenRun *runOf(const Call &call);
    void noteAnswer(Instant now, PooledWorker &worker, const Call &call, const WorkerAnswer &answer,
                    Outbox &out);
    void notSent(Instant now, const Call &call, Outbox &out);
    /** Takes back what only \a call has granted; it never left. */
    void withdrawGrant(const Call &call);
    void otherLifeAnswered(Instant now, const Call &call, const WorkerAnswer &answer, Outbox &out);
    void startAnswered(Instant now, const Call &call, const WorkerAnswer &answer, Outbox &out);
    void stopAnswered(Instant now, const Call &call, const WorkerAnswer &answer);
    void holdAnswered(Instant now, const Call &call, const WorkerAnswer &answer, Outbox &out);
    void takeRunning(Instant now, PooledWorker &worker, const Call &call,
                     const WorkerAnswer &answer, Outbox &out);
    void endRuns(const WorkerIncarnation &life, RunEnding ending, Outbox &out);
    /** Ends the runs whose orders may have left; the others begin with an order to come. */
    void endSent(const WorkerIncarnation &life, const PooledWorker &worker, RunEnding ending,
                 Outbox &out);
    void endLapsed(Instant now, Outbox &out);
    void hold(Instant now, PooledWorker &worker, Outbox &out);
    void orderStop(Instant now, PooledWorker &worker, const JobTaskRef &task, RunNumber run,
                   Outbox &out);
    /** An order for the worker, with all but its lease. */
    CallWorker callTo(Instant now, const PooledWorker &worker, WorkerOrder order);

    Fence m_fence;
    const JobStoreData &m_book;
    WorkerPool &m_pool;
    AdviceCoordinator &m_advice;
    StartAdmission &m_admission;
    RunResultHandler &m_sink;
    RunMetrics m_meter;
    RunEndRecorder m_ends;
    std::map<CallId, Call> m_calls;
    std::uint64_t m_lastCall;
};

} // namespace gentiancross
