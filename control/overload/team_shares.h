#pragma once

#include "control/overload/arrival_allowance.h"
#include "control/overload/share_standing.h"
#include "core/jobs.h"

#include <cstdint>
#include <map>

namespace gentiancross {

/** Arrivals and share of one team, for the metrics. */
struct TeamShareUsage
{
    JobsPerSecond share;
    /** Jobs that arrived within the share and beyond it. */
    std::uint64_t within = 0;
    std::uint64_t beyond = 0;
};

/**
 * Compares the arrivals of each team with the team's weight in the newest configuration: a team has
 * a claim to `weight` jobs per second. Calls without a key belong to the empty team, which has the
 * weight of a team that states none. Called by `CellLeader` for each new job. A new leader starts
 * with full allowances. Thread safety: owned by the control thread.
 */
class TeamShares
{
public:
    /** Takes the weights of \a document over, unless they are in use already. */
    void update(Instant now, const SharedDocument &document);

    /** The standing of a job of \a team that arrives now. */
    [[nodiscard]] ShareStanding standingOf(Instant now, const TeamId &team) const;
    /** Counts the arrival of a job and returns its standing. */
    ShareStanding recordArrival(Instant now, const TeamId &team);

    /** What has arrived so far, by team; teams without an arrival are left out. */
    [[nodiscard]] const std::map<TeamId, TeamShareUsage> &usage() const { return m_usage; }

private:
    [[nodiscard]] JobsPerSecond shareOf(const TeamId &team) const;

    /** The document whose weights are in use. */
    SharedDocument m_document;
    std::map<TeamId, JobsPerSecond> m_shares;
    /** False if the configuration leaves a single team with nobody to share with. */
    bool m_isShared = false;
    /** Allowances of the teams with arrivals; the others' are full. */
    std::map<TeamId, ArrivalAllowance> m_allowances;
    std::map<TeamId, TeamShareUsage> m_usage;
};

} // namespace gentiancross
