#include "servers/event_costs.h"

#include "drivers/processor_time.h"

#include <utility>

namespace gentiancross {

namespace {

constexpr std::int64_t NanosecondsPerMicrosecond = 1000;

} // namespace

void EventCosts::record(EventKind kind, Nanoseconds busy)
{
    Total &total = m_totals.at(static_cast<std::size_t>(kind));
    ++total.events;
    total.busy += busy;
}

Measurements EventCosts::take()
{
    Measurements measurements;
    for (std::size_t index = 0; index < m_totals.size(); ++index) {
        Total &total = m_totals.at(index);
        if (total.events == 0)
            continue;
        const Microseconds busy(total.busy.value() / NanosecondsPerMicrosecond);
        measurements.emplace_back(EventsHandled{EventKind(index), total.events, busy});
        // The rest below one microsecond counts the next time.
        total.busy -= Nanoseconds(busy.value() * NanosecondsPerMicrosecond);
        total.events = 0;
    }
    const Microseconds threadTime = threadProcessorTime();
    const Microseconds processTime = processProcessorTime();
    measurements.emplace_back(ProcessorUsed{ProcessorPart::ControlThread,
                                            threadTime - std::exchange(m_threadTime, threadTime)});
    measurements.emplace_back(ProcessorUsed{
            ProcessorPart::Process, processTime - std::exchange(m_processTime, processTime)});
    return measurements;
}

} // namespace gentiancross
