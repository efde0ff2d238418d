#pragma once

#include "control/outbox.h"
#include "core/effects.h"
#include "core/ids.h"

#include <deque>
#include <vector>

namespace gentiancross {

/**
 * Answers that wait until the records that they tell of are promised, so that a successor would
 * tell the same. Thread safety: owned by the control thread.
 */
class DeferredReplies
{
public:
    /** Holds the answer until \a sequence is promised; sequences must not decrease. */
    void hold(RecordSequence sequence, ExchangeId exchange, RequestAnswer answer);
    /** Sends what tells of nothing later than \a promised. */
    void sendUpTo(RecordSequence promised, Outbox &out);
    /** The exchanges that wait here. */
    [[nodiscard]] std::vector<ExchangeId> exchanges() const;

private:
    struct Held
    {
        RecordSequence sequence;
        Reply reply;
    };

    std::deque<Held> m_held;
};

} // namespace gentiancross
