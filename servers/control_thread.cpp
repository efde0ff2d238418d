#include "servers/control_thread.h"

#include "drivers/processor_time.h"
#include "servers/event_kind.h"

#include <utility>

namespace gentiancross {

namespace {

/** A report costs two system calls. */
constexpr Milliseconds CostReportInterval{1000};

} // namespace

ControlThread::ControlThread(Reducer &reducer, const Clock &clock)
    : m_reducer(reducer)
    , m_clock(clock)
{}

ControlThread::~ControlThread()
{
    stop();
}

void ControlThread::start()
{
    activate();
}

void ControlThread::stop()
{
    m_queue.close();
    wait();
}

void ControlThread::post(EventPayload payload)
{
    m_queue.put(std::move(payload));
}

int ControlThread::svc()
{
    for (std::vector<EventPayload> batch = m_queue.takeAll(); !batch.empty();
         batch = m_queue.takeAll()) {
        // The end of one event is the beginning of the next, so each takes one reading.
        Nanoseconds begin = readStopwatch();
        for (EventPayload &payload : batch) {
            const EventKind kind = kindOf(payload);
            // The clock is read for each event, so that the event after a pause of the process
            // already has the new time.
            const Event event{m_clock.now(), m_clock.wallTime(), std::move(payload)};
            for (Effect &effect : m_reducer.reduce(event))
                m_effects->carryOut(std::move(effect));
            const Nanoseconds end = readStopwatch();
            m_costs.record(kind, end - std::exchange(begin, end));
            reportCosts(event.now);
        }
    }
    return 0;
}

void ControlThread::reportCosts(Instant now)
{
    if (now < m_nextCostReport)
        return;
    m_nextCostReport = now + CostReportInterval;
    m_effects->carryOut(Measured{now, m_costs.take()});
}

} // namespace gentiancross
