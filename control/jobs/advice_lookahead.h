#pragma once

#include "control/jobs/advice_coordinator.h"
#include "control/jobs/team_usage.h"
#include "control/jobs/worker_pool.h"

#include <cstdint>
#include <map>
#include <vector>

namespace gentiancross {

/**
 * Limits how far ahead of the free capacity steps request advice during one plan, since tickets
 * expire. Steps claim, in the order of their ranks, the capacity of the workers that could run
 * them. Tasks that can't use it, for instance those of a team at its cap or those that fit on no
 * worker beside the long-running tasks there, claim nothing, so that steps behind them can. Created
 * by `StartPlanner` for each plan. Thread safety: owned by the control thread.
 */
class AdviceLookahead
{
public:
    /** Both must outlive this object. The workers usable at \a now share their free capacity and
     * a part of what is in use. */
    AdviceLookahead(Instant now, const TeamUsage &usage, WorkerPool &pool);

    /** Claims capacity for \a tasks of a step of \a job that wait. Returns true if the step is to
     * request advice: some of the tasks may start soon. \a advice is what is known of the step.
     * Without \a mayHold it claims only free capacity that its tasks fit in now. */
    bool claim(const Job &job, const StepSpec &step, const Advice &advice, std::uint64_t tasks,
               bool mayHold);

    /** The workers that are usable now, so that the steps of one plan share one look at each. */
    [[nodiscard]] const std::vector<const PooledWorker *> &usableWorkers() const
    {
        return m_workers;
    }
    /** Number of tasks for which capacity has been claimed. */
    [[nodiscard]] std::uint64_t claimedTasks() const;
    /** True if no step can claim any capacity. */
    [[nodiscard]] bool isExhausted() const { return m_rooms.empty(); }

private:
    /** Capacity of a worker that has not been claimed. */
    struct Room
    {
        const PooledWorker *worker;
        Resources left;
    };

    /** True if the workers could run at least \a tasks of the step at once, and the team's cap
     * allows it, once all runs have ended that end by themselves. */
    [[nodiscard]] bool canHold(const Job &job, const StepSpec &step, const Advice &advice,
                               std::uint64_t tasks) const;
    /** Returns the claimed part of \a milliTasks. */
    std::uint64_t claimRooms(const Job &job, const StepSpec &step, const Advice &advice,
                             std::uint64_t milliTasks, bool mayHold);

    const TeamUsage &m_usage;
    std::vector<const PooledWorker *> m_workers;
    /** The rooms that are not used up, in no particular order. */
    std::vector<Room> m_rooms;
    /** What the steps considered so far wait for, by team. */
    std::map<TeamId, Resources> m_waiting;
    std::uint64_t m_claimedMilliTasks = 0;
};

} // namespace gentiancross
