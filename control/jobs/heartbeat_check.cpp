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

} // namespace gentiancross::heartbeatcheck
