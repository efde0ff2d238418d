#pragma once

#include "control/reducer.h"
#include "core/clock.h"
#include "servers/event_sink.h"
#include "servers/work_queue.h"

#include <ace/Task.h>

namespace gentiancross {

/**
 * The control thread: takes events in order, has the reducer decide, and hands the effects on. All
 * control state is this thread's. Thread safety: post from any thread.
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

    Reducer &m_reducer;
    const Clock &m_clock;
    EffectHandler *m_effects = nullptr;
    WorkQueue<EventPayload> m_queue;
};

} // namespace gentiancross
