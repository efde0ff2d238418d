#include "control/usage_peak_tracker.h"

#include <algorithm>

namespace gentiancross {

namespace {

constexpr Milliseconds UsageWindow{600'000};

} // namespace

void UsagePeakTracker::note(Instant now, const TeamId &team, std::uint32_t shape, MilliCores cores,
                            Mebibytes memory)
{
    if (shape == 0)
        return;
    Windows &windows = m_seen[{team, shape}];
    if (now - windows.began >= UsageWindow) {
        windows.former = windows.present;
        windows.present = {};
        windows.began = now;
    }
    windows.present.cores = std::max(windows.present.cores, cores);
    windows.present.memory = std::max(windows.present.memory, memory);
}

Resources UsagePeakTracker::larger(const TeamId &team, std::uint32_t shape,
                                   const Resources &declared) const
{
    const auto found = m_seen.find({team, shape});
    if (found == m_seen.end())
        return declared;
    const Windows &windows = found->second;
    Resources needed = declared;
    needed.cores = std::max({declared.cores, windows.present.cores, windows.former.cores});
    needed.memory = std::max({declared.memory, windows.present.memory, windows.former.memory});
    return needed;
}

} // namespace gentiancross
