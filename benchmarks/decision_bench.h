#pragma once

#include "benchmarks/report.h"

namespace gentiancross::benchmarks {

/** Time of a placement decision and decisions per second, indexed and naive, by cell size. */
void measureDecisions(Report &report);

/** Largest deviation of a team from its fair share while all teams have queued work. */
void measureShares(Report &report);

/** Virtual time until a team that returns to fully used workers has its share again. */
void measureShareReturn(Report &report);

/** Fraction of all cores in use when the next job no longer fits. */
void measurePacking(Report &report);

/** Memory of the daily report's ledger, and the processor time to apply its records. */
void measureLedger(Report &report);

/** Waiting time of each kind of work in an hour of virtual time, at three loads. */
void measureWaiting(Report &report);

/** Processor time and memory of the reducer per worker, job, announcement, tick and request. */
void measureReducer(Report &report);

/** Processor time of a cell's leader and waiting time of short jobs, at the deployments' loads. */
void measureCell(Report &report);

} // namespace gentiancross::benchmarks
