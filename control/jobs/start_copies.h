#pragma once

#include "core/units.h"

#include <algorithm>
#include <cstdint>

namespace gentiancross {

/**
 * Counts the copies of a start order that a worker's next incarnation may still execute. A copy is
 * settled once the incarnation that it was sent to has certainly executed or refused it. Thread
 * safety: a value type.
 */
class StartCopies
{
public:
    /** A copy without an answer counts as settled after this time, which is longer than a call can
     * be in transit: what waits for it must not wait for a run that takes minutes, since a worker
     * lists at most 500 ends. */
    static constexpr Milliseconds MaxAge{15'000};

    /** Records that a copy is sent. */
    void add(Instant now)
    {
        ++m_sent;
        ++m_unsettled;
        ++m_unanswered;
        m_lastSentAt = now;
    }
    /** Records that a copy was dropped before it was sent. Precondition: it was added. */
    void withdraw()
    {
        --m_sent;
        recordAnswer();
        settle();
    }
    /** Records that an incarnation has answered one copy, whichever it is. */
    void recordAnswer() { m_unanswered -= m_unanswered > 0 ? 1 : 0; }
    /** Records that one copy is settled. */
    void settle() { m_unsettled -= m_unsettled > 0 ? 1 : 0; }
    /** Records that a list of the incarnation contains the run. Of several copies it tells only
     * that one was executed. */
    void settleListed()
    {
        if (m_sent == 1)
            m_unsettled = m_unanswered = 0;
    }
    /** Records that others may have been sent, so that no list can settle them. Precondition: one
     * was added. */
    void makeUntraceable()
    {
        m_sent = std::max<std::uint32_t>(m_sent, 2);
        m_unsettled = std::max<std::uint32_t>(m_unsettled, 1);
        m_unanswered = std::max<std::uint32_t>(m_unanswered, 1);
    }

    [[nodiscard]] bool areSettled(Instant now) const
    {
        return m_unsettled == 0 || now - m_lastSentAt > MaxAge;
    }
    /** True if a copy may be in transit: it got no answer. */
    [[nodiscard]] bool mayArrive(Instant now) const
    {
        return m_unanswered > 0 && now - m_lastSentAt <= MaxAge;
    }
    /** When the newest copy was sent. */
    [[nodiscard]] Instant lastSentAt() const { return m_lastSentAt; }
    /** True if a list can settle them. */
    [[nodiscard]] bool canBeListed() const { return m_sent <= 1; }

private:
    std::uint32_t m_sent = 0;
    std::uint32_t m_unsettled = 0;
    std::uint32_t m_unanswered = 0;
    Instant m_lastSentAt;
};

} // namespace gentiancross
