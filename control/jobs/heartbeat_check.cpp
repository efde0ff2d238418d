#include "control/jobs/heartbeat_check.h"

#include <algorithm>

namespace gentiancross::heartbeatcheck {

namespace {

/** Covers jumps of some 10 s on either clock. */
constexpr Milliseconds MaxBirthLead{30'000};
/** Workers send a heartbeat about every second, and some more when hosts don't answer. */
constexpr std::int64_t MinHeartbeatIntervalMs = 100;
/** Covers heartbeats that were under way when the last one arrived. */
constexpr std::uint64_t MaxSequenceLead = 20;
/** Highest rate of a worker's clock relative to this host's, in thousandths. */
constexpr std::int64_t FastestClockPermille = 1020;
/** Covers the time for which the last reading was under way. */
constexpr std::int64_t MaxClockLeadMs = 2000;

} // namespace

bool isPlausibleBirth(Milliseconds born, Milliseconds wall)
{
    return born <= wall + MaxBirthLead;
}

bool isPlausibleSequence(std::uint64_t last, std::uint64_t sequence, Milliseconds elapsed)
{
    if (last == 0 || sequence <= last)
        return true;
    const std::int64_t sent = std::max(elapsed, Milliseconds(0)).value() / MinHeartbeatIntervalMs;
    return sequence - last <= static_cast<std::uint64_t>(sent) + MaxSequenceLead;
}

bool isPlausibleClock(const PooledWorker &worker, Instant at, std::int64_t clock)
{
    if (!worker.clock.has_value())
        return true;
    const std::int64_t elapsed = (at - worker.clockAt).value() * FastestClockPermille / 1000;
    return clock <= *worker.clock + elapsed + MaxClockLeadMs;
}

bool isSamePlace(const PooledWorker &worker, const WorkerReport &report)
{
    if (worker.report.address != report.address)
        return false;
    return !worker.isAnnounced
            || (worker.report.pool == report.pool && worker.report.dataCentre == report.dataCentre);
}

} // namespace gentiancross::heartbeatcheck
