#include "control/jobs/run_metrics.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace gentiancross {

namespace {

/** Heartbeats come every 1.5 s; one may be passed on some 0.25 s late. */
constexpr Milliseconds HeardAge{2000};

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

void RunMetrics::ordered(Instant now, const CallWorker &order, Outbox &out)
{
    const OrderKind kind = kindOf(order.order);
    m_open.insert_or_assign(order.call.value(), Open{kind, now});
    out.measure(OrderCounted{kind});
}

void RunMetrics::answered(Instant now, const WorkerAnswer &answer, Outbox &out)
{
    const auto open = m_open.find(answer.call.value());
    if (open == m_open.end())
        return;
    const OrderKind kind = open->second.kind;
    const OrderResult result = resultOf(answer.verdict);
    out.measure(OrderResultCounted{kind, result});
    if (result == OrderResult::Answered)
        out.measure(OrderSpanMeasured{kind, OrderSpan::Answered, now - open->second.orderedAt});
    m_open.erase(open);
}

void RunMetrics::endListed(Instant now, const PooledWorker &worker, const ReportedCompletion &end,
                           Outbox &out)
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

void RunMetrics::endConcluded(const OpenRun &run, RunEnding ending, Outbox &out)
{
    out.measure(RunEndCounted{
            ending, run.isInherited ? RunEndSource::ConcludedInherited : RunEndSource::Concluded});
}

void RunMetrics::leaseLapsed(Instant now, const PooledWorker &worker, Outbox &out)
{
    const auto runs = std::count_if(worker.runs.begin(), worker.runs.end(),
                                    [](const auto &entry) { return entry.second.wasSent; });
    if (runs == 0)
        return;
    const Milliseconds beatAge = now - worker.lastHeartbeat;
    out.count(beatAge < HeardAge ? CellEvent::LeaseOfHeardWorkerLapsed
                                 : CellEvent::LeaseOfSilentWorkerLapsed);
    out.add(LogLine{true, worker.report.incarnation.worker.value(),
                    absl::StrCat("lease lapsed: runs=", runs, " heartbeat_age_ms=", beatAge.value(),
                                 " is_silent=", worker.isFailing)});
}

} // namespace gentiancross
