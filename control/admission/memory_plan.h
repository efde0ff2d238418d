#pragma once

#include "core/units.h"

namespace gentiancross {

/** How a keeper divides its machine's memory. */
struct MemoryPlan
{
    /** What the stored jobs may take in one copy of the job store. */
    Bytes storedWork;
    /** The log is compacted at this size, by its own reckoning. */
    Bytes log;
};

/** Derives the plan from the memory of the machine. The rest is for connections, decoded calls and
 * the process itself. Reentrant. */
MemoryPlan deriveMemoryPlan(Mebibytes memory);

/** The plan of a keeper whose settings do not state its machine's memory. */
inline constexpr Mebibytes DefaultKeeperMemory{256};

} // namespace gentiancross
