#pragma once

#include "control/jobs/worker_pool.h"
#include "control/outbox.h"

#include <unordered_map>

namespace gentiancross {

/**
 * Counts orders, run ends and lapsed leases for a leader's RunTracker, and measures how long orders
 * take. Has no influence on decisions. Thread safety: owned by the control thread.
 */
class RunMetrics
{
public:
    /** Counts an order that is passed to the host that will send it. */
    void recordOrder(Instant now, const CallWorker &order, Outbox &out);
    /** Counts the result of an order; an answer to an unknown order is ignored. */
    void recordAnswer(Instant now, const WorkerAnswer &answer, Outbox &out);
    /** Counts a new end that the worker has listed. Precondition: the job store does not have it
     * yet.
     */
    static void recordListedEnd(Instant now, const PooledWorker &worker,
                                const ReportedCompletion &end, Outbox &out);
    /** Counts a run that the leader considers ended although the worker has not listed its end. */
    static void recordConcludedEnd(const OpenRun &run, RunEnding ending, Outbox &out);
    /** Counts and logs a lapsed lease if a run may have been executing on the worker. */
    static void recordLapsedLease(Instant now, const PooledWorker &worker, Outbox &out);

private:
    struct OrderInFlight
    {
        OrderKind kind = OrderKind::LeaseRenewal;
        Instant orderedAt;
    };

    std::unordered_map<std::uint64_t, OrderInFlight> m_inFlight;
};

} // namespace gentiancross
