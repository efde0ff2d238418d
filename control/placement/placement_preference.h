#pragma once

#include <cstdint>

namespace gentiancross {

/** How soon the tasks of a step must run. */
enum class TimePressure {
    /** Neither of the others, or unknown. */
    None,
    /** Its job can be on time, or of use, only if the tasks start soon and run quickly. */
    Short,
    /** The tasks may take longer. */
    Spare,
};

/** What the tasks of one step prefer beside a good fit; the same for all workers, so that it is
 * determined once for each step. */
struct PlacementPreference
{
    TimePressure pressure = TimePressure::None;
};

} // namespace gentiancross
