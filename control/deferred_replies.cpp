#include "control/deferred_replies.h"

#include <utility>

namespace gentiancross {

void DeferredReplies::hold(RecordSequence sequence, ExchangeId exchange, RequestAnswer answer)
{
    m_held.push_back({sequence, {exchange, std::move(answer)}});
}

void DeferredReplies::sendUpTo(RecordSequence promised, Outbox &out)
{
    while (!m_held.empty() && m_held.front().sequence <= promised) {
        out.add(std::move(m_held.front().reply));
        m_held.pop_front();
    }
}

std::vector<ExchangeId> DeferredReplies::exchanges() const
{
    std::vector<ExchangeId> exchanges;
    exchanges.reserve(m_held.size());
    for (const Held &held : m_held)
        exchanges.push_back(held.reply.exchange);
    return exchanges;
}

} // namespace gentiancross
