#include "servers/effect_router.h"

#include "servers/log_writer.h"

namespace gentiancross {

void EffectRouter::carryOut(Effect effect)
{
    EffectHandler *const handler = findHandler(effect);
    if (handler != nullptr)
        handler->carryOut(std::move(effect));
    else if (const auto *line = std::get_if<LogLine>(&effect))
        writeLogLine(*line);
    else if (std::holds_alternative<Exit>(effect))
        m_handlers.exit();
}

EffectHandler *EffectRouter::findHandler(const Effect &effect) const
{
    if (std::holds_alternative<Reply>(effect) || std::holds_alternative<ForwardExchange>(effect)
        || std::holds_alternative<AnswerCall>(effect))
        return &m_handlers.frontend;
    if (std::holds_alternative<SendToPeer>(effect))
        return &m_handlers.peers;
    if (std::holds_alternative<StartTask>(effect))
        return &m_handlers.startOrders;
    if (std::holds_alternative<Persist>(effect))
        return m_handlers.journal;
    if (std::holds_alternative<CallWorker>(effect) || std::holds_alternative<AdviceRequest>(effect))
        return m_handlers.cellWorkers;
    if (std::holds_alternative<LogLine>(effect))
        return m_handlers.log;
    if (std::holds_alternative<Measured>(effect))
        return m_handlers.metrics;
    return nullptr;
}

} // namespace gentiancross
