#pragma once

#include "core/measurements.h"

#include <array>
#include <cstdint>

namespace gentiancross {

/** Sums up the control thread's time by kind of event, and the processor time of the process.
 * Thread safety: owned by the control thread. */
class EventCosts
{
public:
    /** Records one event that was handled in \a busy. */
    void record(EventKind kind, Nanoseconds busy);
    /** Returns what was recorded since the last call, and the processor time that the calling
     * thread and the process have used since then. */
    Measurements take();

private:
    struct Total
    {
        std::uint64_t events = 0;
        Nanoseconds busy;
    };

    std::array<Total, static_cast<std::size_t>(EventKind::Other) + 1> m_totals;
    Microseconds m_threadTime;
    Microseconds m_processTime;
};

} // namespace gentiancross
