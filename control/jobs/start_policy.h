#pragma once

#include "control/jobs/worker_pool.h"

#include <vector>

namespace gentiancross {

/** A step some of whose tasks could start. */
struct ReadyStep
{
    std::int64_t priority = 0;
    /** True if its job can't be of use any more, by the terms of its queue. */
    bool isOverdue = false;
    Milliseconds acceptedAt;
    StepRef step;

    auto operator<=>(const ReadyStep &) const = default;
    bool operator==(const ReadyStep &) const = default;
};

/** Chooses the worker for a task among those on which it may run. */
class WorkerChoice
{
public:
    WorkerChoice() = default;
    WorkerChoice(const WorkerChoice &) = delete;
    WorkerChoice &operator=(const WorkerChoice &) = delete;
    virtual ~WorkerChoice() = default;

    /** The better the worker, the lower the cost. Precondition: the task fits there. */
    [[nodiscard]] virtual std::int64_t cost(const PooledWorker &worker,
                                            const StepSpec &step) const = 0;
};

/**
 * Keeps large room whole by filling the fullest worker first; keeps best-effort work away from
 * lasting work with a target, and both near their own kind.
 */
class PackingChoice final : public WorkerChoice
{
public:
    [[nodiscard]] std::int64_t cost(const PooledWorker &worker,
                                    const StepSpec &step) const override;
};

/** True if the step's next task may run on the worker, tickets and spread aside. Reentrant. */
bool mayRunOn(const PooledWorker &worker, const StepSpec &step);

} // namespace gentiancross
