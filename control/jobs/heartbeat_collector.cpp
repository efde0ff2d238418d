#include "control/jobs/heartbeat_collector.h"

#include "control/jobs/heartbeat_check.h"

#include <algorithm>
#include <utility>

namespace gentiancross {

namespace {

/** Short compared with the heartbeat age at which a worker counts as silent. */
constexpr Milliseconds FlushInterval{250};
/** An incarnation that is silent for longer has ended or sends its heartbeats to another host. */
constexpr Milliseconds MaxSilence{30'000};

} // namespace

bool HeartbeatCollector::absorb(Instant now, const WorkerHeartbeat &heartbeat)
{
    const auto found = m_known.find(heartbeat.report.incarnation);
    if (found == m_known.end() || found->second.report != heartbeat.report)
        return false;
    Known &known = found->second;
    // A late heartbeat is acknowledged too; otherwise the worker would send it again.
    if (heartbeat.sequence <= known.lastSequence)
        return true;
    if (!heartbeatcheck::isPlausibleSequence(known.lastSequence, heartbeat.sequence,
                                             now - known.lastHeartbeat))
        return false;
    known.lastHeartbeat = now;
    known.lastSequence = heartbeat.sequence;
    known.clock = heartbeat.clock;
    known.isUnsent = true;
    return true;
}

void HeartbeatCollector::recordAcknowledged(Instant now, const WorkerHeartbeat &heartbeat)
{
    Known &known = m_known[heartbeat.report.incarnation];
    known.report = heartbeat.report;
    known.lastHeartbeat = now;
    known.lastSequence = std::max(known.lastSequence, heartbeat.sequence);
}

void HeartbeatCollector::forget(const UnknownIncarnationsReport &unknown)
{
    for (const WorkerIncarnation &incarnation : unknown.incarnations)
        m_known.erase(incarnation);
}

void HeartbeatCollector::flush(Instant now, const HostId &leader, Outbox &out)
{
    if (now < m_nextFlush)
        return;
    m_nextFlush = now + FlushInterval;
    HeartbeatsReport seen;
    for (auto known = m_known.begin(); known != m_known.end();) {
        if (now - known->second.lastHeartbeat > MaxSilence) {
            known = m_known.erase(known);
            continue;
        }
        Known &worker = known->second;
        if (std::exchange(worker.isUnsent, false))
            seen.heartbeats.push_back(
                    {known->first, worker.lastSequence, worker.clock, now - worker.lastHeartbeat});
        ++known;
    }
    if (!seen.heartbeats.empty())
        out.send(leader, std::move(seen));
}

} // namespace gentiancross
