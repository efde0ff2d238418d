#include "control/jobs/order_delegate.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace gentiancross {

namespace {

/** Answers within this interval share a message; it delays the report of a task's end. */
constexpr Milliseconds BatchInterval{15};

/** A message that arrives twice does so within a few time-outs; covers some seconds of orders at
 * the highest rate. */
constexpr std::size_t MaxReceivedCalls = 20'000;

} // namespace

void OrderDelegate::receive(const HostId &from, const WorkerOrders &orders, Outbox &out)
{
    if (orders.session != m_self || orders.calls.empty() || orders.calls.front().fence < m_fence) {
        out.add(LogLine{true, from.value(),
                        absl::StrCat("orders dropped: calls=", orders.calls.size(),
                                     " from a former leader or for a former process")});
        out.count(CellEvent::OrderDropped, static_cast<std::uint32_t>(orders.calls.size()));
        return;
    }
    if (orders.calls.front().fence > m_fence) {
        m_collected.answers.clear();
        m_received.clear();
    }
    m_fence = orders.calls.front().fence;
    m_leader = from;
    std::uint32_t repeated = 0;
    for (const CallWorker &call : orders.calls) {
        if (recordNew(call.call))
            out.add(call);
        else
            ++repeated;
    }
    if (repeated == 0)
        return;
    out.add(LogLine{true, from.value(),
                    absl::StrCat("orders dropped: calls=", repeated, " received before")});
    out.count(CellEvent::OrderDropped, repeated);
}

bool OrderDelegate::recordNew(CallId call)
{
    if (m_received.size() >= MaxReceivedCalls)
        m_received.erase(m_received.begin());
    return m_received.insert(call).second;
}

void OrderDelegate::receive(Instant now, const WorkerAnswer &answer, Outbox &out)
{
    // A host that has just lost leadership still gets answers to its own orders; drop them.
    if (m_leader == HostId())
        return;
    m_collected.answers.push_back(answer);
    if (now - m_lastFlush >= BatchInterval)
        flush(now, out);
}

void OrderDelegate::flush(Instant now, Outbox &out)
{
    if (m_collected.answers.empty())
        return;
    m_lastFlush = now;
    out.send(m_leader, std::exchange(m_collected, {}));
}

} // namespace gentiancross
