#include "control/usage_peak_tracker.h"

#include <algorithm>

namespace gentiancross {

namespace {

constexpr Milliseconds UsageWindow{600'000};

} // namespace

void UsagePeakTracker::record(Instant now, const TeamId &team, std::uint32_t shape,
                              MilliCores cores, Mebibytes memory)
{
    if (shape == 0)
        return;
    Windows &windows = m_windows[{team, shape}];
    if (now - windows.startedAt >= UsageWindow) {
        windows.previous = windows.current;
        windows.current = {};
        windows.startedAt = now;
    }
    windows.current.cores = std::max(windows.current.cores, cores);
    windows.current.memory = std::max(windows.current.memory, memory);
}

Resources UsagePeakTracker::raiseToPeaks(const TeamId &team, std::uint32_t shape,
                                         const Resources &declared) const
{
    const auto found = m_windows.find({team, shape});
    if (found == m_windows.end())
        return declared;
    const Windows &windows = found->second;
    Resources raised = declared;
    raised.cores = std::max({declared.cores, windows.current.cores, windows.previous.cores});
    raised.memory = std::max({declared.memory, windows.current.memory, windows.previous.memory});
    return raised;
}

} // namespace gentiancross
