#pragma once

#include "control/reducer.h"
#include "core/clock.h"
#include "servers/event_costs.h"
#include "servers/event_sink.h"
#include "servers/work_queue.h"

#include <ace/Task.h>

namespace gentiancross {

/**
 * Owns the control thread and its event queue. Passes events to the reducer in order of arrival and
 * the resulting effects to the effect handler. Only this thread accesses control state. Reports
 * once a second, as a Measured effect, how much time it has used by kind of event. Thread safety:
 * post from any thread.
 */
class ControlThread final : public EventSink, private ACE_Task_Base
{
public:
    /** \a reducer and \a clock must outlive this object; \a effects must be set before start. */
    ControlThread(Reducer &reducer, const Clock &clock);
    ~ControlThread() override;

    void setEffectHandler(EffectHandler *effects) { m_effects = effects; }
    void start();
    void stop();
    void post(EventPayload payload) override;

private:
    int svc() override;
    /** Reports the costs of the events if the last report is old enough. */
    void reportCosts(Instant now);

    Reducer &m_reducer;
    const Clock &m_clock;
    EffectHandler *m_effects = nullptr;
    WorkQueue<EventPayload> m_queue;
    EventCosts m_costs;
    Instant m_nextCostReport;
};

} // namespace gentiancross
