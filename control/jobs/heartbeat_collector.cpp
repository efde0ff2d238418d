#include "control/jobs/heartbeat_collector.h"

#include <utility>

namespace gentiancross {

namespace {

/** Adds little to the age at which a worker counts as silent. */
constexpr Milliseconds FlushInterval{250};
/** A life that has sent nothing for so long is over, or sends its heartbeats elsewhere. */
constexpr Milliseconds KnownFor{30'000};

} // namespace

bool HeartbeatCollector::absorb(Instant now, const WorkerHeartbeat &beat)
{
    const auto found = m_known.find(beat.report.incarnation);
    if (found == m_known.end() || found->second.report != beat.report)
        return false;
    Known &known = found->second;
    // A late heartbeat is acknowledged too, or the worker would send it again.
    if (beat.sequence <= known.lastSequence)
        return true;
    known.lastBeat = now;
    known.lastSequence = beat.sequence;
    known.clock = beat.clock;
    known.isNew = true;
    return true;
}

void HeartbeatCollector::acknowledged(Instant now, const WorkerReport &report)
{
    Known &known = m_known[report.incarnation];
    known.report = report;
    known.lastBeat = now;
}

void HeartbeatCollector::forget(const UnknownIncarnationsReport &unknown)
{
    for (const WorkerIncarnation &life : unknown.incarnations)
        m_known.erase(life);
}

void HeartbeatCollector::flush(Instant now, const HostId &leader, Outbox &out)
{
    if (now < m_nextFlush)
        return;
    m_nextFlush = now + FlushInterval;
    HeartbeatsReport seen;
    for (auto known = m_known.begin(); known != m_known.end();) {
        if (now - known->second.lastBeat > KnownFor) {
            known = m_known.erase(known);
            continue;
        }
        Known &worker = known->second;
        if (std::exchange(worker.isNew, false))
            seen.heartbeats.push_back(
                    {known->first, worker.lastSequence, worker.clock, now - worker.lastBeat});
        ++known;
    }
    if (!seen.heartbeats.empty())
        out.send(leader, std::move(seen));
}

} // namespace gentiancross
