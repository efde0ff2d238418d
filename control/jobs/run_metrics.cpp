#include "control/jobs/run_metrics.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace gentiancross {

namespace {

/** Heartbeats are sent every 1.5 s; forwarding may add some 0.25 s. */
constexpr Milliseconds MaxHeartbeatAge{2000};

OrderResult resultOf(WorkerVerdict verdict)
{
    switch (verdict) {
    case WorkerVerdict::Done:
    case WorkerVerdict::Superseded:
        return OrderResult::Answered;
    case WorkerVerdict::Fenced:
        return OrderResult::Fenced;
    case WorkerVerdict::Late:
        return OrderResult::Late;
    case WorkerVerdict::NotSent:
        return OrderResult::Expired;
    case WorkerVerdict::NoAnswer:
        return OrderResult::Unanswered;
    case WorkerVerdict::NoFreeCapacity:
    case WorkerVerdict::NoTicket:
    case WorkerVerdict::Refused:
    case WorkerVerdict::OtherIncarnation:
        break;
    }
    return OrderResult::Refused;
}

} // namespace

void RunMetrics::recordOrder(Instant now, const CallWorker &order, Outbox &out)
{
    const OrderKind kind = kindOf(order.order);
    m_inFlight.insert_or_assign(order.call.value(), OrderInFlight{kind, now});
    out.measure(OrderCounted{kind});
}

void RunMetrics::recordAnswer(Instant now, const WorkerAnswer &answer, Outbox &out)
{
    const auto order = m_inFlight.find(answer.call.value());
    if (order == m_inFlight.end())
        return;
    const OrderKind kind = order->second.kind;
    const OrderResult result = resultOf(answer.verdict);
    out.measure(OrderResultCounted{kind, result});
    if (result == OrderResult::Answered)
        out.measure(OrderSpanMeasured{kind, OrderSpan::Answered, now - order->second.orderedAt});
    m_inFlight.erase(order);
}

void RunMetrics::recordListedEnd(Instant now, const PooledWorker &worker,
                                 const ReportedCompletion &end, Outbox &out)
{
    out.measure(RunEndCounted{end.ending, RunEndSource::Listed});
    if (worker.hasUnacknowledgeableEnd && end.ending != RunEnding::Lapsed)
        out.count(CellEvent::EndHeldBack);
    const auto run = worker.runs.find(end.task);
    if (run == worker.runs.end() || run->second.run != end.run
        || !run->second.startedAt.has_value())
        return;
    out.measure(SpanMeasured{Span::RunEnded, now - *run->second.startedAt});
}

void RunMetrics::recordConcludedEnd(const OpenRun &run, RunEnding ending, Outbox &out)
{
    out.measure(RunEndCounted{
            ending, run.isInherited ? RunEndSource::ConcludedInherited : RunEndSource::Concluded});
}

void RunMetrics::recordLapsedLease(Instant now, const PooledWorker &worker, Outbox &out)
{
    const auto runs = std::count_if(worker.runs.begin(), worker.runs.end(),
                                    [](const auto &entry) { return entry.second.wasSent; });
    if (runs == 0)
        return;
    const Milliseconds heartbeatAge = now - worker.lastHeartbeat;
    out.count(heartbeatAge < MaxHeartbeatAge ? CellEvent::LeaseOfHeardWorkerLapsed
                                             : CellEvent::LeaseOfSilentWorkerLapsed);
    out.add(LogLine{true, worker.report.incarnation.worker.value(),
                    absl::StrCat("lease lapsed: runs=", runs, " heartbeat_age_ms=",
                                 heartbeatAge.value(), " is_silent=", worker.isFailing)});
}

} // namespace gentiancross
