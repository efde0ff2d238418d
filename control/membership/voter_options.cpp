#include "control/membership/voter_options.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** A voter that is silent for less may have been paused, or lack processor time. */
constexpr Milliseconds MinSilence{1500};
/** An election, the check that finds the silent voter, and the commit of the change. */
constexpr Milliseconds ReplacementTime{2000};

} // namespace

VoterOptions deriveVoterOptions(std::uint32_t toleratedLosses, Milliseconds catchUpTime)
{
    VoterOptions options;
    options.voters = 2 * std::size_t(toleratedLosses) + 1;
    if (catchUpTime > Milliseconds(0))
        options.maxSilence
                = std::clamp(catchUpTime - ReplacementTime, MinSilence, options.maxSilence);
    return options;
}

} // namespace gentiancross
