#pragma once

#include "control/request_tracker.h"
#include "control/scheduler.h"
#include "control/task_tracker.h"

#include <map>
#include <optional>
#include <vector>

namespace gentiancross {

/**
 * Takes lent shares back: when a team that is below its share waits for room, batch tasks of the
 * team furthest above its own are asked for a checkpoint, then throttled, then stopped, one step a
 * second, the newest first. Work that must run once, services and gangs are left alone.
 * Thread safety: owned by the control thread.
 */
class Reclaimer
{
public:
    Reclaimer(Scheduler &scheduler, TaskTracker &tasks, const RequestTracker &requests);

    /** Looks at who waits and who holds too much; to be called now and then. */
    void advance(Instant now, const SchedulerContext &context);

    /** Tasks that are being taken back. */
    [[nodiscard]] std::size_t count() const { return m_reclaims.size(); }

private:
    struct Reclaim
    {
        TeamId beneficiary;
        Instant since;
    };

    /** A team and how much it holds for its weight. */
    struct Holding
    {
        TeamId team;
        double rank = 0.0;
    };

    void advanceSteps(Instant now);
    std::optional<Holding> neediest(const SchedulerContext &context) const;
    std::optional<Holding> richest(const SchedulerContext &context) const;
    [[nodiscard]] std::size_t reclaimsFor(const TeamId &team) const;
    /** How many tasks like the one needed may move before the poor team holds as much as the rich
     * one, each for its weight. */
    [[nodiscard]] std::size_t tasksUntilEven(const SchedulerContext &context, const Holding &poor,
                                             const Holding &rich, const WorkSpec &needed) const;
    /** The team's newest tasks that may be interrupted and in whose place the needed one fits. */
    std::vector<TaskRef> selectVictims(const TeamId &team, const WorkSpec &needed,
                                       std::size_t most) const;

    Scheduler &m_scheduler;
    TaskTracker &m_tasks;
    const RequestTracker &m_requests;
    std::map<TaskRef, Reclaim> m_reclaims;
};

} // namespace gentiancross
