#pragma once

#include "control/jobs/worker_pool.h"
#include "control/outbox.h"

#include <unordered_map>

namespace gentiancross {

/**
 * Counts orders, ends and lapses of a leader's runs and measures how long orders take. Decides
 * nothing. Thread safety: owned by the control thread.
 */
class RunMetrics
{
public:
    /** An order is handed to the host that is to send it. */
    void ordered(Instant now, const CallWorker &order, Outbox &out);
    /** What became of an order; an answer to an unknown one is not counted. */
    void answered(Instant now, const WorkerAnswer &answer, Outbox &out);
    /** The worker has listed an end that is new. Precondition: the book does not have it yet. */
    static void endListed(Instant now, const PooledWorker &worker, const ReportedCompletion &end,
                          Outbox &out);
    /** The leader takes a run for over without the worker's word. */
    static void endConcluded(const OpenRun &run, RunEnding ending, Outbox &out);
    /** The worker's lease has lapsed; tells whether anything may have run there. */
    static void leaseLapsed(Instant now, const PooledWorker &worker, Outbox &out);

private:
    struct Open
    {
        OrderKind kind = OrderKind::LeaseRenewal;
        Instant orderedAt;
    };

    std::unordered_map<std::uint64_t, Open> m_open;
};

} // namespace gentiancross
