#include "control/jobs/team_usage.h"

#include <algorithm>

namespace gentiancross {

namespace {

bool exceeds(std::int64_t value, std::int64_t cap)
{
    return cap != 0 && value > cap;
}

Resources find(const std::map<TeamId, Resources> &usage, const TeamId &team)
{
    const auto found = usage.find(team);
    return found == usage.end() ? Resources() : found->second;
}

} // namespace

void TeamUsage::add(const TeamId &team, const StepSpec &step)
{
    m_running[team] += step.perTask;
    if (step.isLongRunning)
        m_longRunning[team] += step.perTask;
}

void TeamUsage::remove(const TeamId &team, const StepSpec &step)
{
    m_running[team] -= step.perTask;
    if (step.isLongRunning)
        m_longRunning[team] -= step.perTask;
}

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
    return find(m_running, team);
}

Resources TeamUsage::longRunning(const TeamId &team) const
{
    return find(m_longRunning, team);
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
