#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <utility>

namespace gentiancross {

/**
 * What tasks of a team and shape were last seen to use, since what they declare may be far off.
 * Remembers the largest use of the last one to two windows of time; usage lags, so a peak must
 * outlive the task that showed it.
 * Thread safety: owned by the control thread.
 */
class UsagePeakTracker
{
public:
    /** Notes what a task was seen to use; a \a shape of 0 stands for none. */
    void note(Instant now, const TeamId &team, std::uint32_t shape, MilliCores cores,
              Mebibytes memory);
    /** The larger of what is declared and what was seen, part by part. */
    [[nodiscard]] Resources larger(const TeamId &team, std::uint32_t shape,
                                   const Resources &declared) const;

private:
    struct Peak
    {
        MilliCores cores;
        Mebibytes memory;
    };

    struct Windows
    {
        Instant began;
        Peak present;
        Peak former;
    };

    std::map<std::pair<TeamId, std::uint32_t>, Windows> m_seen;
};

} // namespace gentiancross
