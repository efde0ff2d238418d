#include "control/waiting_gangs.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** A gang that has waited this long has workers drained for it. */
constexpr Milliseconds GangDrainDelay{3000};

} // namespace

std::optional<RequestId> WaitingGangs::longest(Instant now) const
{
    const auto oldest
            = std::min_element(m_since.begin(), m_since.end(),
                               [](const auto &a, const auto &b) { return a.second < b.second; });
    if (oldest == m_since.end() || now - oldest->second < GangDrainDelay)
        return std::nullopt;
    return oldest->first;
}

} // namespace gentiancross
