#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <utility>

namespace gentiancross {

/**
 * Tracks the peak usage of tasks by team and shape for the scheduler, because the declared
 * resources may be far from what tasks use. A peak is kept for one to two time windows: usage
 * measurements lag, so a peak must outlive the task that showed it. Thread safety: owned by the
 * control thread.
 */
class UsagePeakTracker
{
public:
    /** Records the measured usage of a task; ignored if \a shape is 0, which means no shape. */
    void record(Instant now, const TeamId &team, std::uint32_t shape, MilliCores cores,
                Mebibytes memory);
    /** The declared resources, with cores and memory raised to the recorded peaks. */
    [[nodiscard]] Resources raiseToPeaks(const TeamId &team, std::uint32_t shape,
                                         const Resources &declared) const;

private:
    struct Peak
    {
        MilliCores cores;
        Mebibytes memory;
    };

    struct Windows
    {
        Instant startedAt;
        Peak current;
        Peak previous;
    };

    std::map<std::pair<TeamId, std::uint32_t>, Windows> m_windows;
};

} // namespace gentiancross
