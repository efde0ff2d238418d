#pragma once

#include "control/jobs/worker_pool.h"

/**
 * Tells whether a heartbeat can be a worker's own. Another writer can send one with the name, the
 * address or the birth of a healthy worker. All functions are reentrant.
 */
namespace gentiancross::heartbeatcheck {

/** False if \a born is later than \a wall, this host's wall clock, by more than clocks can differ.
 */
bool isPlausibleBirth(Milliseconds born, Milliseconds wall);

/** False if an incarnation can't have sent that many heartbeats in the time \a elapsed since the
 * one numbered \a last. True if \a last is 0, that is, if there was none. */
bool isPlausibleSequence(std::uint64_t last, std::uint64_t sequence, Milliseconds elapsed);

/** False if the worker's clock can't show \a clock at \a at, a point on this host's clock. True if
 * the clock is not known yet. */
bool isPlausibleClock(const PooledWorker &worker, Instant at, std::int64_t clock);

/** False if \a report contradicts what is known of the incarnation and can't change during its
 * life. */
bool isSamePlace(const PooledWorker &worker, const WorkerReport &report);

} // namespace gentiancross::heartbeatcheck
