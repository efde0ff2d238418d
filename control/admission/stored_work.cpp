#include "control/admission/stored_work.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** A team may hold three quarters of what the other teams leave. */
constexpr Bytes teamLimit(Bytes left)
{
    return left - left / 4;
}

constexpr Milliseconds MinRetryAfter{1000};
/** A caller that comes back later than this has mostly given up. */
constexpr Milliseconds MaxRetryAfter{30'000};
/** Used while no job is over: room is made only once work ends. */
constexpr Milliseconds DefaultRetryAfter{5000};

} // namespace

StoredWork::StoredWork(Bytes limit)
    : m_limit(limit)
{}

void StoredWork::set(const JobId &job, const TeamId &team, Bytes bytes)
{
    StoredJob &stored = m_jobs[job];
    const Bytes added = bytes - stored.bytes;
    stored = {team, bytes};
    m_total += added;
    m_teams[team] += added;
}

void StoredWork::remove(const JobId &job)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return;
    m_total -= found->second.bytes;
    const auto team = m_teams.find(found->second.team);
    team->second -= found->second.bytes;
    if (team->second == Bytes(0))
        m_teams.erase(team);
    m_jobs.erase(found);
}

void StoredWork::setNextRelease(std::optional<Milliseconds> untilRelease)
{
    m_untilRelease = untilRelease;
}

Bytes StoredWork::heldBy(const TeamId &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? Bytes(0) : found->second;
}

AdmissionVerdict StoredWork::check(const TeamId &team, Bytes bytes) const
{
    if (bytes > teamLimit(m_limit))
        return AdmissionVerdict::TooLarge;
    if (m_total + bytes > m_limit)
        return AdmissionVerdict::Full;
    const Bytes held = heldBy(team);
    const Bytes others = m_total - held;
    return held + bytes > teamLimit(m_limit - others) ? AdmissionVerdict::TeamFull
                                                      : AdmissionVerdict::Accept;
}

Milliseconds StoredWork::retryAfter() const
{
    return std::clamp(m_untilRelease.value_or(DefaultRetryAfter), MinRetryAfter, MaxRetryAfter);
}

} // namespace gentiancross
