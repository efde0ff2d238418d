#pragma once

#include "core/effects.h"
#include "core/events.h"

namespace gentiancross {

/** Accepts events for the control thread. Thread safety: implementations must allow calls of post
 * from any thread. */
class EventSink
{
public:
    EventSink() = default;
    EventSink(const EventSink &) = delete;
    EventSink &operator=(const EventSink &) = delete;
    virtual ~EventSink() = default;

    /** Queues an event; its time stamp is set when it is removed from the queue. */
    virtual void post(EventPayload payload) = 0;
};

/** Carries out effects of certain types. Called on the control thread; must not block. */
class EffectHandler
{
public:
    EffectHandler() = default;
    EffectHandler(const EffectHandler &) = delete;
    EffectHandler &operator=(const EffectHandler &) = delete;
    virtual ~EffectHandler() = default;

    virtual void carryOut(Effect effect) = 0;
};

} // namespace gentiancross
