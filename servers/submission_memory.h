#pragma once

#include "core/job_calls.h"
#include "drivers/byte_budget.h"

namespace gentiancross {

/** Reserves the memory of a submission's specification for as long as a copy of it is held. If the
 * budget does not allow it, the specification is dropped and the call is marked as shed, so that
 * the leader can still confirm a job that it has stored. Other calls are not changed. Reentrant. */
void reserveMemory(CellCall &call, ByteBudget &budget);

} // namespace gentiancross
