#pragma once

#include "core/clock.h"
#include "drivers/http_client.h"
#include "servers/event_sink.h"

namespace gentiancross {

/**
 * Sends start orders to workers. Makes sure that an answer is the one to its own order, and that no
 * order leaves after the authority's right to send it has ended.
 * Thread safety: carryOut from any thread.
 */
class StartOrderSender final : public EffectHandler
{
public:
    StartOrderSender(HttpClient &client, const Clock &clock, EventSink &events);

    /** Takes StartTask effects. */
    void carryOut(Effect effect) override;

private:
    HttpClient &m_client;
    const Clock &m_clock;
    EventSink &m_events;
};

} // namespace gentiancross
