#include "servers/connection_monitor.h"

#include "drivers/log.h"

#include <absl/strings/str_cat.h>

namespace gentiancross {

namespace {

constexpr Milliseconds CheckInterval{1000};
constexpr Milliseconds LogInterval{5000};

} // namespace

std::string connectionMetricsText(const ConnectionBudget &budget)
{
    const ConnectionTotals totals = budget.totals();
    std::string text
            = absl::StrCat("# TYPE gentiancross_connections gauge\n", "gentiancross_connections ",
                           totals.connections, "\n# TYPE gentiancross_connection_bytes gauge\n",
                           "gentiancross_connection_bytes ", totals.bytes,
                           "\n# TYPE gentiancross_clients_rejected_total counter\n");
    for (std::size_t reason = 0; reason < RejectionReasons; ++reason)
        absl::StrAppend(&text, "gentiancross_clients_rejected_total{reason=\"",
                        rejectionName(static_cast<Rejection>(reason)), "\"} ",
                        totals.rejected.at(reason), "\n");
    return text;
}

ConnectionMonitor::ConnectionMonitor(ConnectionBudget &budget, const Clock &clock)
    : m_budget(budget)
    , m_clock(clock)
{}

void ConnectionMonitor::tick()
{
    const Instant now = m_clock.now();
    if (now < m_nextCheck)
        return;
    m_nextCheck = now + CheckInterval;
    m_budget.closeOverdue(now);
    logChanges(now);
}

void ConnectionMonitor::logChanges(Instant now)
{
    const ConnectionTotals totals = m_budget.totals();
    if (now < m_nextLine || totals.rejected == m_logged.rejected)
        return;
    std::string line = "clients rejected:";
    for (std::size_t reason = 0; reason < RejectionReasons; ++reason)
        absl::StrAppend(&line, " ", rejectionName(static_cast<Rejection>(reason)), "=",
                        totals.rejected.at(reason) - m_logged.rejected.at(reason));
    absl::StrAppend(&line, " held_bytes=", totals.bytes, " limit_bytes=", m_budget.limits().bytes,
                    " open=", totals.connections, " limit_open=", m_budget.limits().connections);
    logWarning("connections", line);
    m_logged = totals;
    m_nextLine = now + LogInterval;
}

} // namespace gentiancross
