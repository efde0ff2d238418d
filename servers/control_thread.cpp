#include "servers/control_thread.h"

namespace gentiancross {

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
        for (EventPayload &payload : batch) {
            // The clock is read for each event, so that a pause of the process is seen by the next.
            const Event event{m_clock.now(), m_clock.wallTime(), std::move(payload)};
            for (Effect &effect : m_reducer.reduce(event))
                m_effects->carryOut(std::move(effect));
        }
    }
    return 0;
}

} // namespace gentiancross
