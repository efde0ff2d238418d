#pragma once

#include "benchmarks/report.h"

namespace gentiancross::benchmarks {

/** Time of a placement decision, indexed and naive, by workers and teams; and decisions a second.
 */
void measureDecisions(Report &report);

/** Largest distance of a team from its share while all want more. */
void measureShares(Report &report);

/** Virtual time until a team that comes back to full workers has its share. */
void measureShareReturn(Report &report);

/** Part of all cores that is used when the next job no longer fits. */
void measurePacking(Report &report);

/** Memory of the evening page's ledger, and the time that its records take. */
void measureLedger(Report &report);

/** How long work of each kind waits in an hour of virtual time, at three loads. */
void measureWaiting(Report &report);

/** Processor time and memory of the reducer per announcement, request, change. */
void measureReducer(Report &report);

/** Processor time of a cell's leader, and how long short jobs wait, at the deployments' loads. */
void measureCell(Report &report);

} // namespace gentiancross::benchmarks
