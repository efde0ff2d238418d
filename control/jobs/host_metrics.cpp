#include "control/jobs/host_metrics.h"

namespace gentiancross {

void HostMetrics::ticked(Instant now, Outbox &out)
{
    if (m_lastTick.has_value())
        out.measure(SpanMeasured{Span::TickGap, now - *m_lastTick});
    m_lastTick = now;
    out.reportMeasurements(now);
}

void HostMetrics::recordWorkerCall(const CallCost &cost, Outbox &out)
{
    if (cost.sentAfter.has_value())
        out.measure(OrderSpanMeasured{cost.kind, OrderSpan::Sent, *cost.sentAfter});
    if (cost.newConnections > 0)
        out.count(CellEvent::ConnectionOpened, cost.newConnections);
}

} // namespace gentiancross
