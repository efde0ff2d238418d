#include "control/deferred_replies.h"

#include <utility>

namespace gentiancross {

void DeferredReplies::defer(RecordSequence sequence, ExchangeId exchange, RequestAnswer answer)
{
    m_deferred.push_back({sequence, {exchange, std::move(answer)}});
}

void DeferredReplies::sendUpTo(RecordSequence promised, Outbox &out)
{
    while (!m_deferred.empty() && m_deferred.front().sequence <= promised) {
        out.add(std::move(m_deferred.front().reply));
        m_deferred.pop_front();
    }
}

std::vector<ExchangeId> DeferredReplies::exchanges() const
{
    std::vector<ExchangeId> exchanges;
    exchanges.reserve(m_deferred.size());
    for (const Deferred &deferred : m_deferred)
        exchanges.push_back(deferred.reply.exchange);
    return exchanges;
}

} // namespace gentiancross
