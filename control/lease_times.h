#pragma once

#include "core/units.h"

namespace gentiancross {

/** Clocks of two hosts may run apart by one part in this many. */
inline constexpr std::int64_t ClockDriftDivisor = 20;

/** \a span as the slower of two clocks may measure it. Reentrant. */
inline constexpr Milliseconds withDrift(Milliseconds span)
{
    return span + span / ClockDriftDivisor;
}

/** An authority decides for this long after it last asked those that later answered. */
inline constexpr Milliseconds AuthorityLease{2200};
inline constexpr Milliseconds MirrorHeartbeatInterval{600};
/** A mirror that is silent for this long is taken out of the in-sync set. */
inline constexpr Milliseconds MirrorTimeout{1500};
/** A worker runs a task for this long after its last renewed lease. */
inline constexpr Milliseconds TaskLease{10'000};
/** A worker refuses a start order older than this. */
inline constexpr Milliseconds StartOrderMaxAge{1500};
/** A worker that is silent for this long gets nothing new. */
inline constexpr Milliseconds WorkerTimeout{3000};

} // namespace gentiancross
