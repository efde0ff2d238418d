#pragma once

#include "core/clock.h"
#include "drivers/http_client.h"
#include "servers/event_sink.h"

namespace gentiancross {

/**
 * Sends start orders to workers and reports the end of each call as an event. Verifies that a
 * response belongs to its order, and sends no order after the authority's lease has expired.
 * Thread safety: carryOut from any thread.
 */
class StartOrderSender final : public EffectHandler
{
public:
    StartOrderSender(HttpClient &client, const Clock &clock, EventSink &events);

    /** Handles StartTask effects. */
    void carryOut(Effect effect) override;

private:
    HttpClient &m_client;
    const Clock &m_clock;
    EventSink &m_events;
};

} // namespace gentiancross
