#pragma once

#include "control/outbox.h"

#include <optional>

namespace gentiancross {

/** Measures how a host of a cell keeps up. Thread safety: owned by the control thread. */
class HostMetrics
{
public:
    /** Time has passed; tells what was measured since the last tick. */
    void ticked(Instant now, Outbox &out);
    /** A call to a worker that this host made is over. */
    static void callEnded(const CallCost &cost, Outbox &out);

private:
    std::optional<Instant> m_lastTick;
};

} // namespace gentiancross
