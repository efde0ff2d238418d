#pragma once

#include "control/outbox.h"
#include "core/effects.h"
#include "core/ids.h"

#include <deque>
#include <vector>

namespace gentiancross {

/**
 * Owns answers that must not leave before the records behind them are promised, so that a successor
 * would give the same answer. Called by RequestTracker. Thread safety: owned by the control thread.
 */
class DeferredReplies
{
public:
    /** Queues the answer until \a sequence is promised. Sequences must not decrease. */
    void defer(RecordSequence sequence, ExchangeId exchange, RequestAnswer answer);
    /** Sends the answers that depend on records up to \a promised only. */
    void sendUpTo(RecordSequence promised, Outbox &out);
    /** The exchanges with a queued answer. */
    [[nodiscard]] std::vector<ExchangeId> exchanges() const;

private:
    struct Deferred
    {
        RecordSequence sequence;
        Reply reply;
    };

    std::deque<Deferred> m_deferred;
};

} // namespace gentiancross
