#include "control/overload/team_shares.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** Keeps the arithmetic of allowances within its type; no team sends as many jobs per second. */
constexpr std::int64_t MaxWeight = 1'000'000;

JobsPerSecond shareFor(std::int64_t weight)
{
    return JobsPerSecond(std::clamp<std::int64_t>(weight, 0, MaxWeight));
}

} // namespace

void TeamShares::update(Instant now, const SharedDocument &document)
{
    if (m_document.isSame(document) || !document.has_value())
        return;
    m_document = document;
    m_shares.clear();
    for (const TeamConfig &team : document->teams)
        m_shares[team.team] = shareFor(team.weight);
    const bool hasPublicQueue
            = std::any_of(document->queues.begin(), document->queues.end(),
                          [](const QueueConfig &queue) { return queue.isPublic; });
    m_isShared = m_shares.size() + (hasPublicQueue ? 1 : 0) > 1;
    const auto isGone = [this](const auto &entry) {
        return !entry.first.isEmpty() && !m_shares.contains(entry.first);
    };
    std::erase_if(m_allowances, isGone);
    std::erase_if(m_usage, isGone);
    for (auto &[team, allowance] : m_allowances)
        allowance.setRate(now, shareOf(team));
}

JobsPerSecond TeamShares::shareOf(const TeamId &team) const
{
    const auto found = m_shares.find(team);
    return found == m_shares.end() ? shareFor(TeamConfig().weight) : found->second;
}

ShareStanding TeamShares::standingOf(Instant now, const TeamId &team) const
{
    const auto found = m_allowances.find(team);
    const bool hasJob = found == m_allowances.end()
            ? ArrivalAllowance(now, shareOf(team)).hasJob(now)
            : found->second.hasJob(now);
    return hasJob || !m_isShared ? ShareStanding::Within : ShareStanding::Beyond;
}

ShareStanding TeamShares::recordArrival(Instant now, const TeamId &team)
{
    const ShareStanding standing = standingOf(now, team);
    const JobsPerSecond share = shareOf(team);
    ArrivalAllowance &allowance = m_allowances.try_emplace(team, now, share).first->second;
    if (allowance.hasJob(now))
        allowance.takeJob(now);
    TeamShareUsage &usage = m_usage[team];
    usage.share = share;
    ++(standing == ShareStanding::Within ? usage.within : usage.beyond);
    return standing;
}

} // namespace gentiancross
