#pragma once

#include "control/outbox.h"

#include <optional>

namespace gentiancross {

/** Measures tick gaps and calls to workers on a host of a cell, for CellRoot. Thread safety: owned
 * by the control thread. */
class HostMetrics
{
public:
    /** Measures the time since the last tick and reports the measurements made since then. */
    void recordTick(Instant now, Outbox &out);
    /** Records the cost of a call to a worker that this host has made. */
    static void recordWorkerCall(const CallCost &cost, Outbox &out);

private:
    std::optional<Instant> m_lastTick;
};

} // namespace gentiancross
