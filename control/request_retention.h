#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <deque>
#include <vector>

namespace gentiancross {

/**
 * Decides when ended requests may be forgotten. Requests named by their caller are kept for
 * resends, those with automatic names only briefly. Called by RequestTracker. Thread safety: owned
 * by the control thread.
 */
class RequestRetention
{
public:
    /** Starts the retention of an ended request. */
    void keep(Instant now, const RequestId &request);
    /** Extends the retention of a request that may still have running tasks. */
    void keepLonger(Instant now, const RequestId &request);
    /** Removes and returns the requests whose retention has expired. */
    std::vector<RequestId> takeDue(Instant now);

private:
    struct Kept
    {
        Instant until;
        RequestId request;
    };

    // Two queues, since entries are ordered by time only if all have the same retention.
    std::deque<Kept> m_shortTerm;
    std::deque<Kept> m_longTerm;
};

} // namespace gentiancross
