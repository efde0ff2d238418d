#pragma once

#include "control/outbox.h"

#include <map>

namespace gentiancross {

/**
 * Takes workers' heartbeats in on the leader's behalf. A heartbeat that says nothing new is
 * answered at once and passed on in a batch; one that does goes to the leader whole. Thread safety:
 * owned by the control thread.
 */
class HeartbeatCollector
{
public:
    /** Takes a heartbeat in. False if the leader has to see it, since it says something new. */
    bool absorb(Instant now, const WorkerHeartbeat &beat);
    /** The leader has acknowledged this report. */
    void acknowledged(Instant now, const WorkerReport &report);
    /** The leader does not know these lives; their next heartbeats go to it whole. */
    void forget(const UnknownIncarnationsReport &unknown);
    /** Sends what came since the last time to the leader, once the interval is over. */
    void flush(Instant now, const HostId &leader, Outbox &out);

private:
    struct Known
    {
        WorkerReport report;
        Instant lastBeat;
        std::uint64_t lastSequence = 0;
        std::int64_t clock = 0;
        bool isNew = false;
    };

    std::map<WorkerIncarnation, Known> m_known;
    Instant m_nextFlush;
};

} // namespace gentiancross
