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

/** A leader numbers its calls and queries from its fence times two to this power, so that late
 * answers to an earlier leader do not match. */
constexpr int IdBitsPerFence = 32;

/**
 * Tracks the runs on workers for the leader: repeats start and stop orders until they are answered,
 * renews leases, records ends and detects lost runs. Thread safety: owned by the control thread.
 */
class RunTracker
{
public:
    /** All must outlive this object. */
    RunTracker(Fence fence, const JobStoreData &store, WorkerPool &pool, AdviceCoordinator &advice,
               StartAdmission &admission, RunResultHandler &results);

    /** Orders the start of a run whose record is durable. Precondition: it is open on \a worker. */
    void orderStart(Instant now, PooledWorker &worker, const JobTaskRef &task, Outbox &out);
    void receive(Instant now, const WorkerAnswer &answer, Outbox &out);
    /** Ends runs with lapsed leases and sends the orders that are due to all workers. */
    void tick(Instant now, Outbox &out);
    /** Sends the worker the start and stop orders and the lease renewal that are due. */
    void sendDueOrders(Instant now, PooledWorker &worker, Outbox &out);
    /** Stops a run with the next tick; its task starts again unless it is over. */
    void requestStop(Instant now, const WorkerIncarnation &incarnation, const JobTaskRef &task);
    /** Ends a run that is over, or never began, although the worker has not listed its end. */
    void endRun(const WorkerIncarnation &incarnation, const JobTaskRef &task, RunEnding ending,
                Outbox &out);
    /** Removes an incarnation that has ended and has no successor, and ends its runs as lost. */
    void endIncarnation(const WorkerIncarnation &incarnation, const char *reason, Outbox &out);
    /** Makes \a worker a claim, and asks at its address which incarnation is there. Precondition:
     * it is new, and its heartbeat has the name or the address of another incarnation. */
    void verifyClaim(Instant now, PooledWorker &worker, Outbox &out);
    /** Asks \a worker for its lists before it is used, since orders for a former incarnation of its
     * name may still reach it. Precondition: it is new, and no incarnation of its name is tracked.
     */
    void verifySuccessor(Instant now, PooledWorker &worker, Outbox &out);
    /** False if a run of the task is no longer needed. */
    [[nodiscard]] bool isWanted(const JobTaskRef &task) const;

private:
    struct Call
    {
        OrderKind kind = OrderKind::LeaseRenewal;
        WorkerIncarnation incarnation;
        JobTaskRef task;
        RunNumber run;
        /** Runs that had been started and acknowledged when the call was sent: if the worker's list
         * lacks one of them, that run is lost. */
        std::map<JobTaskRef, RunNumber> acknowledged;
        /** End of the lease that the call grants, on the worker's clock; 0 if it grants none. */
        std::int64_t leaseUntil = 0;
        /** Ends up to this number are acknowledged by the call. */
        CompletionNumber acknowledgedEnd;
        Instant sentAt;
        /** Lower bound of the worker's clock when the call was sent; empty if unknown. */
        std::optional<std::int64_t> minClock;
        FenceRevision revision;
    };

    /** Passes the call on, and keeps what is needed when it is answered. */
    void send(Instant now, const PooledWorker &worker, CallWorker effect, Call call, Outbox &out);
    /** True if the answer shows an earlier time than the worker's clock did when the call was sent:
     * the next incarnation, whose clock begins anew, has executed the call. */
    static bool hasClockRestarted(const Call &call, const WorkerAnswer &answer);
    /** Stops using a worker whose next incarnation may have executed \a call, until a list shows
     * which one answers. */
    void handleUnidentifiedAnswer(Instant now, const Call &call, Outbox &out);
    /** The run that the call refers to; null if it is over or a later run is open. */
    OpenRun *runOf(const Call &call);
    /** Applies the answer to \a call, which is no longer in flight. */
    void apply(Instant now, PooledWorker &worker, const Call &call, const WorkerAnswer &answer,
               Outbox &out);
    /** Confirms or drops a claim by an answer from its address. True if the answer may be applied
     * as the incarnation's own. */
    bool checkClaim(Instant now, PooledWorker &claimant, const WorkerAnswer &answer, Outbox &out);
    /** Puts \a claimant in the place of the incarnations that it conflicts with. \a running lists
     * the runs that the worker has reported. */
    void confirmClaim(Instant now, PooledWorker &claimant, const std::vector<ReportedRun> &running,
                      Outbox &out);
    /** Goes on with the incarnations that have the claim's name. They may have executed its poll,
     * so their revision is raised above that of the claim. */
    void resumeContested(const PooledWorker &claimant);
    /**
     * Replaces \a old by \a next, which has the same worker id or address. If the ids are the same,
     * orders that \a old may not have received can reach \a next; those runs are moved to \a next
     * and stopped there. Precondition: \a next is in the pool and is no claim.
     */
    void replaceIncarnation(Instant now, const WorkerIncarnation &old,
                            const WorkerIncarnation &next, const std::vector<ReportedRun> &running,
                            Outbox &out);
    /** True if the next incarnation under the worker's name may execute a call for this one that
     * grants a lease. */
    [[nodiscard]] bool mayGrantLate(const PooledWorker &worker) const;
    void removeIncarnation(const WorkerIncarnation &incarnation, JobRecord record,
                           const char *reason, Outbox &out);
    void recordAnswer(Instant now, PooledWorker &worker, const Call &call,
                      const WorkerAnswer &answer, Outbox &out);
    /** Records what the answer to a start says of its copy. */
    static void settleStart(Instant now, const PooledWorker &worker, OpenRun &run,
                            const WorkerAnswer &answer);
    void handleNotSent(Instant now, const Call &call, Outbox &out);
    /** Withdraws a lease that only \a call has granted, since the call was never sent. */
    void withdrawGrant(const Call &call);
    void handleOtherIncarnation(Instant now, const Call &call, const WorkerAnswer &answer,
                                Outbox &out);
    void handleStartAnswer(Instant now, const Call &call, const WorkerAnswer &answer, Outbox &out);
    /** Stops the members of the gang's run, which would wait in vain for the one that was refused.
     */
    void stopGang(Instant now, const StepRef &step, RunNumber run, Outbox &out);
    void handleStopAnswer(Instant now, const Call &call, const WorkerAnswer &answer);
    /** \a age is how long the answer was at least in transit. */
    void handleRenewalAnswer(Instant now, const Call &call, const WorkerAnswer &answer,
                             Milliseconds age, Outbox &out);
    void reconcileRuns(Instant now, PooledWorker &worker, const Call &call,
                       const WorkerAnswer &answer, Outbox &out);
    /** Leaves the lease of one worker at a time to lapse if it can be used again in no other way.
     */
    void updateWithheldLeases(Outbox &out);
    /** True if no step would lose more tasks than its disruption budget allows, if the long-running
     * tasks on the worker ended. */
    [[nodiscard]] bool isDisruptionAllowed(const PooledWorker &worker);
    void endRuns(const WorkerIncarnation &incarnation, RunEnding ending, Outbox &out);
    void endLapsedRuns(Instant now, Outbox &out);
    /** Ends the runs on a worker with a lapsed lease whose orders may have been sent, except those
     * that outlast it; the others have not been ordered yet. */
    void endLapsedRuns(Instant now, const PooledWorker &worker, Outbox &out);
    /** True if the run stays open although the worker's lease has lapsed: it may begin in a later
     * incarnation, or have begun there. */
    static bool outlastsLease(Instant now, const PooledWorker &worker, const OpenRun &run);
    /** Sends the lease renewal if it is due. */
    void sendDueRenewal(Instant now, PooledWorker &worker, Outbox &out);
    /** True if an acknowledgement waits for starts; begins and ends such a wait. */
    bool updateAcknowledgementWait(Instant now, PooledWorker &worker, Outbox &out);
    void renewLease(Instant now, PooledWorker &worker, Outbox &out);
    void orderStop(Instant now, PooledWorker &worker, const JobTaskRef &task, RunNumber run,
                   Outbox &out);
    /** Creates an order for the worker, without a lease. */
    CallWorker makeCall(Instant now, const PooledWorker &worker, WorkerOrder order);

    Fence m_fence;
    const JobStoreData &m_store;
    WorkerPool &m_pool;
    AdviceCoordinator &m_advice;
    StartAdmission &m_admission;
    RunResultHandler &m_results;
    RunMetrics m_metrics;
    RunEndRecorder m_ends;
    std::map<CallId, Call> m_calls;
    std::uint64_t m_lastCall;
};

} // namespace gentiancross
