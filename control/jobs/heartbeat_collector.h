#pragma once

#include "control/outbox.h"

#include <map>

namespace gentiancross {

/**
 * Collects workers' heartbeats on the leader's behalf, on each host that receives them. A heartbeat
 * whose report is unchanged is answered locally and forwarded in a batch; one with a changed report
 * is forwarded to the leader in full. Thread safety: owned by the control thread.
 */
class HeartbeatCollector
{
public:
    /** Records a heartbeat. False if its report is new or its sequence number jumps, so that the
     * leader must receive it in full. */
    bool absorb(Instant now, const WorkerHeartbeat &heartbeat);
    /** Records that the leader has acknowledged this heartbeat. */
    void recordAcknowledged(Instant now, const WorkerHeartbeat &heartbeat);
    /** Removes incarnations that the leader does not know; their next heartbeats are forwarded in
     * full. */
    void forget(const UnknownIncarnationsReport &unknown);
    /** Sends the heartbeats since the last flush to the leader, once the interval has passed. */
    void flush(Instant now, const HostId &leader, Outbox &out);

private:
    struct Known
    {
        WorkerReport report;
        Instant lastHeartbeat;
        std::uint64_t lastSequence = 0;
        std::int64_t clock = 0;
        bool isUnsent = false;
    };

    std::map<WorkerIncarnation, Known> m_known;
    Instant m_nextFlush;
};

} // namespace gentiancross
