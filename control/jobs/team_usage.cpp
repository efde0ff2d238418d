#include "control/jobs/team_usage.h"

#include <algorithm>

namespace gentiancross {

namespace {

bool exceeds(std::int64_t value, std::int64_t cap)
{
    return cap != 0 && value > cap;
}

} // namespace

bool TeamUsage::isWithinCap(const TeamId &team, const Resources &more) const
{
    if (!m_store.document.has_value())
        return false;
    const Resources limit = cap(team);
    Resources use = running(team);
    use += more;
    return !exceeds(use.cores.value(), limit.cores.value())
            && !exceeds(use.memory.value(), limit.memory.value())
            && !exceeds(use.accelerators.value(), limit.accelerators.value());
}

Resources TeamUsage::running(const TeamId &team) const
{
    const auto found = m_running.find(team);
    return found == m_running.end() ? Resources() : found->second;
}

Resources TeamUsage::cap(const TeamId &team) const
{
    if (!m_store.document.has_value())
        return {};
    const auto &teams = m_store.document->teams;
    const auto config = std::find_if(teams.begin(), teams.end(),
                                     [&team](const TeamConfig &each) { return each.team == team; });
    return config == teams.end() ? Resources() : config->cap;
}

} // namespace gentiancross
