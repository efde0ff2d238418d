#pragma once

#include "core/clock.h"
#include "drivers/connection_budget.h"

#include <string>

namespace gentiancross {

/** Formats the budget's totals and counters in the Prometheus text format. Reentrant. */
std::string connectionMetricsText(const ConnectionBudget &budget);

/**
 * Closes overdue connections and writes a log line while clients are rejected, at most one every
 * few seconds. Called by the hosts' main loops. Thread safety: one thread.
 */
class ConnectionMonitor
{
public:
    /** Both references must outlive this object. */
    ConnectionMonitor(ConnectionBudget &budget, const Clock &clock);

    /** To be called several times a second. */
    void tick();

private:
    void logChanges(Instant now);

    ConnectionBudget &m_budget;
    const Clock &m_clock;
    Instant m_nextCheck;
    Instant m_nextLine;
    ConnectionTotals m_logged;
};

} // namespace gentiancross
