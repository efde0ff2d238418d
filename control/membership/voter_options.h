#pragma once

#include "core/units.h"

#include <cstddef>
#include <cstdint>

namespace gentiancross {

/** Construction parameters of `VoterSupervisor`. */
struct VoterOptions
{
    /** The number of voters to have: two for each failure to tolerate, plus one. */
    std::size_t voters = 3;
    /** A voter that has been silent for longer is replaced. */
    Milliseconds maxSilence{4000};
};

/**
 * Derives the options from the number of hosts that may be lost at the same time, and from the time
 * after its start at which the successor of a lost host counts as healthy. The vote must have been
 * replaced by then, since the next host may be lost. \a catchUpTime is 0 if the settings don't set
 * it. Reentrant.
 */
VoterOptions deriveVoterOptions(std::uint32_t toleratedLosses, Milliseconds catchUpTime);

} // namespace gentiancross
