#include "servers/control_server.h"

namespace gentiancross {

ControlServer::ControlServer(Reducer &reducer, const Clock &clock)
    : m_reducer(reducer)
    , m_clock(clock)
{}

ControlServer::~ControlServer()
{
    stop();
}

void ControlServer::start()
{
    activate();
}

void ControlServer::stop()
{
    m_queue.close();
    wait();
}

void ControlServer::post(EventPayload payload)
{
    m_queue.put(std::move(payload));
}

int ControlServer::svc()
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
