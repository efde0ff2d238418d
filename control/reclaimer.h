#pragma once

#include "control/request_tracker.h"
#include "control/scheduler.h"
#include "control/task_tracker.h"

#include <map>
#include <optional>
#include <vector>

namespace gentiancross {

/**
 * Reclaims resources that a team uses beyond its fair share. When the team with the lowest rank
 * waits for free capacity, batch tasks of the team with the highest rank are asked to checkpoint,
 * then throttled, then stopped, one step a second, the newest tasks first. Work that must run at
 * most once, services and gangs are exempt. Called by DataCentreAuthority.
 * Thread safety: owned by the control thread.
 */
class Reclaimer
{
public:
    Reclaimer(Scheduler &scheduler, TaskTracker &tasks, const RequestTracker &requests);

    /** Advances the reclaims in progress and starts new ones; DataCentreAuthority calls it
     * periodically. */
    void advance(Instant now, const SchedulerContext &context);

    /** The number of tasks being reclaimed. */
    [[nodiscard]] std::size_t count() const { return m_reclaims.size(); }

private:
    struct Reclaim
    {
        TeamId beneficiary;
        Instant startedAt;
    };

    /** A team and its rank under the queue policy; a high rank means much usage for its weight. */
    struct TeamRank
    {
        TeamId team;
        double rank = 0.0;
    };

    void advanceReclaims(Instant now);
    /** The team of lowest rank whose next item waits for free capacity and not for its own limit.
     */
    std::optional<TeamRank> findBeneficiary(const SchedulerContext &context) const;
    /** The team of highest rank. */
    std::optional<TeamRank> findDonor(const SchedulerContext &context) const;
    [[nodiscard]] std::size_t countReclaimsFor(const TeamId &team) const;
    /** How many tasks like \a needed can move from the donor to the beneficiary before their ranks
     * are equal. */
    [[nodiscard]] std::size_t countTasksToBalance(const SchedulerContext &context,
                                                  const TeamRank &beneficiary,
                                                  const TeamRank &donor,
                                                  const WorkSpec &needed) const;
    /** The team's newest tasks that may be interrupted and whose resources would make \a needed
     * fit.
     */
    std::vector<TaskRef> selectVictims(const TeamId &team, const WorkSpec &needed,
                                       std::size_t maxVictims) const;

    Scheduler &m_scheduler;
    TaskTracker &m_tasks;
    const RequestTracker &m_requests;
    std::map<TaskRef, Reclaim> m_reclaims;
};

} // namespace gentiancross
