#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <deque>
#include <vector>

namespace gentiancross {

/**
 * When ended requests may be forgotten: those that a caller named are kept for resends, those that
 * the system named only briefly. Thread safety: owned by the control thread.
 */
class RequestRetention
{
public:
    /** Keeps an ended request from \a now on. */
    void keep(Instant now, const RequestId &request);
    /** Keeps a request a while longer, because something of it may still run. */
    void keepLonger(Instant now, const RequestId &request);
    /** The requests whose time is over; they are not kept any more. */
    std::vector<RequestId> takeDue(Instant now);

private:
    struct Kept
    {
        Instant until;
        RequestId request;
    };

    // Two queues, since each is in order of time only by itself.
    std::deque<Kept> m_shortTerm;
    std::deque<Kept> m_longTerm;
};

} // namespace gentiancross
