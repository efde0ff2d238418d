#pragma once

#include "control/jobs/worker_pool.h"
#include "control/overload/share_standing.h"
#include "control/placement/placement_preference.h"

#include <compare>
#include <tuple>
#include <vector>

namespace gentiancross {

/** Lateness of a job by its queue's terms, assuming that its next step starts immediately. */
enum class Lateness {
    OnTime,
    /** After its objective, but still of use to its caller. */
    Late,
    /** No longer of use; runs only when nothing else waits. */
    Expired,
};

/** Why tasks of a step wait. */
enum class WaitReason {
    /** Long-running tasks that were started before and must run until their job is cancelled. */
    Restart,
    /** All other tasks. */
    Start,
};

/** Returns the reason why \a task of \a step waits, if it does not run. Reentrant. */
[[nodiscard]] WaitReason waitReasonOf(const StepSpec &step, const TaskProgress &task);

/** The tasks of \a step that neither run nor are done and wait for \a reason. Reentrant. */
[[nodiscard]] std::vector<std::uint32_t> idleTasks(const StepRef &step, WaitReason reason,
                                                   const Job &job);

/** True if tasks wait for \a reason; for a gang, only once no member is running or done.
 * Reentrant. */
[[nodiscard]] bool hasIdleTasks(const StepRef &step, WaitReason reason, const Job &job);

/** When a step was and is to be run, by the submitter's estimates. */
struct StepTiming
{
    /** When its job, or the occurrence of its job, arrived. */
    Instant arrivedAt;
    /** The critical path from the start of the step to the end of its job. */
    Milliseconds remaining;
    /** The critical path of the whole job. */
    Milliseconds whole;
    ShareStanding standing = ShareStanding::Within;
};

/** The tasks of a step that could start and wait for the same reason, in the order of service:
 * restarts, then work that is not expired, then by priority, lateness, share and latest start. */
struct ReadyStep
{
    WaitReason reason = WaitReason::Start;
    std::int64_t priority = 0;
    Lateness lateness = Lateness::OnTime;
    /** The latest start that keeps the job within `lateness`. */
    Instant latestStart;
    StepRef step;
    ShareStanding standing = ShareStanding::Within;

    std::strong_ordering operator<=>(const ReadyStep &other) const
    {
        return sortKey() <=> other.sortKey();
    }
    bool operator==(const ReadyStep &) const = default;

private:
    using SortKey = std::tuple<WaitReason, bool, std::int64_t, Lateness, ShareStanding, Instant,
                               const StepRef &>;

    [[nodiscard]] SortKey sortKey() const
    {
        return {reason, lateness == Lateness::Expired, priority, lateness, standing, latestStart,
                step};
    }
};

/** Ranks the steps that wait for free capacity; called by `ReadyQueue`. */
class StepOrder
{
public:
    StepOrder() = default;
    StepOrder(const StepOrder &) = delete;
    StepOrder &operator=(const StepOrder &) = delete;
    virtual ~StepOrder() = default;

    /** Returns the queue entry, as of \a now, for the tasks of \a step of \a job that wait for
     * \a reason. Lower values are served first. Reentrant. */
    [[nodiscard]] virtual ReadyStep rank(Instant now, const StepRef &step, WaitReason reason,
                                         const Job &job, const StepTiming &timing) const = 0;
};

/**
 * Orders restarts before all other starts, whatever their queue, since they only take back what
 * the task had. Then orders steps that are of use to their callers before expired ones, then by
 * queue priority, then by lateness class, so that a burst makes some jobs late instead of all. Jobs
 * within their team's share precede those beyond it; the earliest deadline comes first.
 */
class DeadlineStepOrder final : public StepOrder
{
public:
    [[nodiscard]] ReadyStep rank(Instant now, const StepRef &step, WaitReason reason,
                                 const Job &job, const StepTiming &timing) const override;
};

/** Lengths of the critical paths from the start of each step to the end of the job, by the
 * submitter's estimates. Takes time in proportion to the steps and their dependencies. Reentrant.
 */
[[nodiscard]] std::vector<Milliseconds> criticalPathLengths(const JobSpec &spec);

/** Rates the workers on which a task may run; `StartPlanner` chooses the cheapest one. */
class WorkerCostPolicy
{
public:
    WorkerCostPolicy() = default;
    WorkerCostPolicy(const WorkerCostPolicy &) = delete;
    WorkerCostPolicy &operator=(const WorkerCostPolicy &) = delete;
    virtual ~WorkerCostPolicy() = default;

    /** Lower is better. Precondition: the task fits on the worker. */
    [[nodiscard]] virtual std::int64_t cost(const PooledWorker &worker,
                                            const StepSpec &step) const = 0;
    /** What the tasks of \a step, which \a ready ranks, prefer as of \a now. */
    [[nodiscard]] virtual PlacementPreference preferenceOf(Instant now, const ReadyStep &ready,
                                                           const StepSpec &step) const
    {
        static_cast<void>(now);
        static_cast<void>(ready);
        static_cast<void>(step);
        return {};
    }
    /** Added to `cost` and to the order in which the adviser is asked; lower is better. */
    [[nodiscard]] virtual std::int64_t preferenceCost(const PooledWorker &worker,
                                                      const PlacementPreference &preference) const
    {
        static_cast<void>(worker);
        static_cast<void>(preference);
        return 0;
    }
};

/**
 * Best-fit packing: fills the fullest worker first, which leaves large free capacities
 * unfragmented. Separates best-effort tasks from long-running tasks with a latency target, and
 * groups each kind on the same workers.
 */
class PackingCostPolicy final : public WorkerCostPolicy
{
public:
    [[nodiscard]] std::int64_t cost(const PooledWorker &worker,
                                    const StepSpec &step) const override;
};

/** True if tasks of the step, of a job for \a pool, could run on the worker if nothing else ran
 * there. Reentrant. */
bool couldRunWhenIdle(const PooledWorker &worker, const PoolId &pool, const StepSpec &step);

/** True if the step's next task may run on the worker, regardless of tickets and of the limit of
 * tasks per worker. Reentrant. */
bool canRunOn(const PooledWorker &worker, const StepSpec &step);

} // namespace gentiancross
