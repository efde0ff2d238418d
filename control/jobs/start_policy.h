#pragma once

#include "control/jobs/worker_pool.h"

#include <vector>

namespace gentiancross {

/** How late a job will be, by the terms of its queue, even if its next step starts at once. */
enum class Lateness {
    OnTime,
    /** Of some use to its caller. */
    Late,
    /** Of no use any more; it runs when nothing else waits. */
    Expired,
};

/** A step some of whose tasks could start. */
struct ReadyStep
{
    std::int64_t priority = 0;
    Lateness lateness = Lateness::OnTime;
    /** A later start makes the job later than `lateness` says. */
    Instant latestStart;
    StepRef step;

    auto operator<=>(const ReadyStep &) const = default;
    bool operator==(const ReadyStep &) const = default;
};

/** Ranks the steps that wait for room. */
class StepOrder
{
public:
    StepOrder() = default;
    StepOrder(const StepOrder &) = delete;
    StepOrder &operator=(const StepOrder &) = delete;
    virtual ~StepOrder() = default;

    /** \a step of \a job, which came at \a arrivedAt, as it is to be listed at \a now. Lower values
     * get their turn first. Reentrant. */
    [[nodiscard]] virtual ReadyStep rank(Instant now, const StepRef &step, const Job &job,
                                         Instant arrivedAt) const = 0;
};

/**
 * The most urgent queue first. Within a queue's priority, earliest deadline first among the jobs
 * that can still be on time; then those that can only be late, then those whose time is over. So a
 * burst makes some jobs late instead of all.
 */
class DeadlineStepOrder final : public StepOrder
{
public:
    [[nodiscard]] ReadyStep rank(Instant now, const StepRef &step, const Job &job,
                                 Instant arrivedAt) const override;
};

/** The longest chain of work from the start of \a step to the end of its job, by the submitter's
 * estimates. Reentrant. */
[[nodiscard]] Milliseconds criticalPathLength(const JobSpec &spec, std::uint32_t step);

/** Chooses the worker for a task among those on which it may run. */
class WorkerCostPolicy
{
public:
    WorkerCostPolicy() = default;
    WorkerCostPolicy(const WorkerCostPolicy &) = delete;
    WorkerCostPolicy &operator=(const WorkerCostPolicy &) = delete;
    virtual ~WorkerCostPolicy() = default;

    /** The better the worker, the lower the cost. Precondition: the task fits there. */
    [[nodiscard]] virtual std::int64_t cost(const PooledWorker &worker,
                                            const StepSpec &step) const = 0;
};

/**
 * Keeps large room whole by filling the fullest worker first; keeps best-effort work away from
 * lasting work with a target, and both near their own kind.
 */
class PackingCostPolicy final : public WorkerCostPolicy
{
public:
    [[nodiscard]] std::int64_t cost(const PooledWorker &worker,
                                    const StepSpec &step) const override;
};

/** True if the step's next task may run on the worker, tickets and spread aside. Reentrant. */
bool canRunOn(const PooledWorker &worker, const StepSpec &step);

} // namespace gentiancross
