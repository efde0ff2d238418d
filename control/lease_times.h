#pragma once

#include "core/units.h"

namespace gentiancross {

/** The rates of two hosts' clocks differ by at most one part in this many. */
inline constexpr std::int64_t ClockDriftDivisor = 20;

/** Lengthens \a span so that it covers the same span on a slower clock. Reentrant. */
inline constexpr Milliseconds withDrift(Milliseconds span)
{
    return span + span / ClockDriftDivisor;
}

/** Lease of an authority, counted from when it sent the last message that every in-sync replica
 * has answered. */
inline constexpr Milliseconds AuthorityLease{2200};
inline constexpr Milliseconds MirrorHeartbeatInterval{600};
/** A mirror that has not replied for this long is removed from the in-sync set. */
inline constexpr Milliseconds MirrorTimeout{1500};
/** A worker runs a task for this long after the last renewal of its lease. */
inline constexpr Milliseconds TaskLease{10'000};
/** A worker refuses a start order older than this. */
inline constexpr Milliseconds StartOrderMaxAge{1500};
/** A worker that has not reported for this long is given no new work. */
inline constexpr Milliseconds WorkerTimeout{3000};

} // namespace gentiancross
