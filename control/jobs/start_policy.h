#pragma once

#include "control/jobs/worker_pool.h"

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

/** The tasks of a step that could start and wait for the same reason. The fields are the sort key
 * of the queue. */
struct ReadyStep
{
    WaitReason reason = WaitReason::Start;
    std::int64_t priority = 0;
    Lateness lateness = Lateness::OnTime;
    /** The latest start that keeps the job within `lateness`. */
    Instant latestStart;
    StepRef step;

    auto operator<=>(const ReadyStep &) const = default;
    bool operator==(const ReadyStep &) const = default;
};

/** Ranks the steps that wait for free capacity; called by `StartPlanner`. */
class StepOrder
{
public:
    StepOrder() = default;
    StepOrder(const StepOrder &) = delete;
    StepOrder &operator=(const StepOrder &) = delete;
    virtual ~StepOrder() = default;

    /** Returns the queue entry, as of \a now, for the tasks of \a step of \a job that wait for
     * \a reason. The job arrived at \a arrivedAt. Lower values are served first. Reentrant. */
    [[nodiscard]] virtual ReadyStep rank(Instant now, const StepRef &step, WaitReason reason,
                                         const Job &job, Instant arrivedAt) const = 0;
};

/**
 * Orders restarts before all other starts, whatever their queue, since they only take back what
 * the task had. Then orders steps by queue priority, then by lateness class, then by earliest
 * deadline first. Jobs that can still be on time precede those that can only be late, which precede
 * expired ones, so that a burst makes some jobs late instead of all.
 */
class DeadlineStepOrder final : public StepOrder
{
public:
    [[nodiscard]] ReadyStep rank(Instant now, const StepRef &step, WaitReason reason,
                                 const Job &job, Instant arrivedAt) const override;
};

/** Length of the critical path from the start of \a step to the end of its job, by the submitter's
 * estimates. Reentrant. */
[[nodiscard]] Milliseconds criticalPathLength(const JobSpec &spec, std::uint32_t step);

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
