#include "servers/effect_router.h"

#include "drivers/log.h"

namespace gentiancross {

void EffectRouter::carryOut(Effect effect)
{
    if (std::holds_alternative<Reply>(effect) || std::holds_alternative<ForwardExchange>(effect)) {
        m_handlers.front.carryOut(std::move(effect));
    } else if (std::holds_alternative<SendToPeer>(effect)) {
        m_handlers.peers.carryOut(std::move(effect));
    } else if (std::holds_alternative<StartTask>(effect)) {
        m_handlers.targets.carryOut(std::move(effect));
    } else if (std::holds_alternative<Persist>(effect)) {
        if (m_handlers.journal != nullptr)
            m_handlers.journal->carryOut(std::move(effect));
    } else if (const auto *line = std::get_if<LogLine>(&effect)) {
        if (line->warning)
            logWarning(line->subject, line->what);
        else
            logInfo(line->subject, line->what);
    } else {
        m_handlers.exit();
    }
}

} // namespace gentiancross
