#include "control/jobs/start_policy.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** Cost of a rack without the step's data; exceeds any difference in free capacity. */
constexpr std::int64_t RemoteDataCost = 1'000'000;
/** Added for a long-running task on a worker that runs no task with a latency target, so that
 * long-running tasks share workers; exceeds any difference in free capacity. */
constexpr std::int64_t NoTailTargetCost = 500'000;
/** A job is still of use to its caller up to this many times its objective (the platform's rules,
 * "Jobs", "Credit"). */
constexpr std::int64_t LateFactor = 3;
constexpr std::int64_t Permille = 1000;
/** Number of workers in the advice query that the objective includes (same rules). */
constexpr std::int64_t AdvisedWorkers = 30;
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
/** Ten years in milliseconds; a longer sum of estimates carries no more information. */
constexpr Milliseconds MaxCriticalPath{315'360'000'000};

/** Duration of one advice query. */
Milliseconds adviceTime(const JobTerms &terms)
{
    if (!terms.advice.has_value())
        return Milliseconds(0);
    const std::int64_t micros
            = terms.advice->baseMicroseconds + terms.advice->perWorkerMicroseconds * AdvisedWorkers;
    return Milliseconds(micros / MicrosecondsPerMillisecond);
}

/** Time after its arrival within which a job whose critical path is \a whole is to be completed.
 */
Milliseconds objectiveOf(const Job &job, Milliseconds whole)
{
    const Milliseconds chain = std::min(whole + adviceTime(job.terms), MaxCriticalPath);
    return chain * job.terms.stretchPermille / Permille + job.terms.allowance;
}

bool isIdle(const StepSpec &step, const TaskProgress &task, WaitReason reason)
{
    return !task.mayStillRun && !task.isDone && waitReasonOf(step, task) == reason;
}

bool hasRequiredLabel(const PooledWorker &worker, const StepSpec &step)
{
    const std::vector<std::string> &labels = worker.report.labels;
    return step.requiredLabel.empty()
            || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
}

} // namespace

std::vector<Milliseconds> criticalPathLengths(const JobSpec &spec)
{
    // Steps depend on earlier ones only, so backward iteration visits each step after its
    // dependents.
    std::vector<Milliseconds> rest(spec.steps.size());
    for (std::size_t number = spec.steps.size(); number-- > 0;) {
        rest[number] += spec.steps[number].estimate;
        for (const std::uint32_t earlier : spec.steps[number].after)
            rest[earlier] = std::max(rest[earlier], rest[number]);
    }
    return rest;
}

WaitReason waitReasonOf(const StepSpec &step, const TaskProgress &task)
{
    return step.isLongRunning && task.lastRun > RunNumber() ? WaitReason::Restart
                                                            : WaitReason::Start;
}

std::vector<std::uint32_t> idleTasks(const StepRef &step, WaitReason reason, const Job &job)
{
    std::vector<std::uint32_t> idle;
    const StepSpec &spec = job.spec.steps[step.step];
    const std::vector<TaskProgress> &tasks = job.occurrences.at(step.occurrence).steps[step.step];
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (isIdle(spec, tasks[index], reason))
            idle.push_back(index);
    }
    return idle;
}

bool hasIdleTasks(const StepRef &step, WaitReason reason, const Job &job)
{
    const StepSpec &spec = job.spec.steps[step.step];
    const std::vector<TaskProgress> &tasks = job.occurrences.at(step.occurrence).steps[step.step];
    const auto isWaiting = [&](const TaskProgress &task) { return isIdle(spec, task, reason); };
    return spec.isGang ? std::all_of(tasks.begin(), tasks.end(), isWaiting)
                       : std::any_of(tasks.begin(), tasks.end(), isWaiting);
}

ReadyStep DeadlineStepOrder::rank(Instant now, const StepRef &step, WaitReason reason,
                                  const Job &job, const StepTiming &timing) const
{
    ReadyStep ready{reason, job.terms.priority, Lateness::OnTime, timing.arrivedAt, step};
    // A restart takes back what the task had, whatever else its team has sent since.
    if (reason == WaitReason::Start)
        ready.standing = timing.standing;
    if (job.spec.steps[step.step].isLongRunning)
        return ready; // It has no deadline.
    const Milliseconds objective = objectiveOf(job, timing.whole);
    ready.latestStart = timing.arrivedAt + objective - timing.remaining;
    if (now <= ready.latestStart)
        return ready;
    ready.lateness = Lateness::Late;
    ready.latestStart = timing.arrivedAt + objective * LateFactor - timing.remaining;
    if (now > ready.latestStart)
        ready.lateness = Lateness::Expired;
    return ready;
}

std::int64_t PackingCostPolicy::cost(const PooledWorker &worker, const StepSpec &step) const
{
    const MilliCores left = worker.freeCapacity().cores - worker.bestEffortCores;
    std::int64_t cost = step.isBestEffort ? -left.value() : left.value();
    if (!step.dataRack.empty() && worker.report.rack.value() != step.dataRack)
        cost += RemoteDataCost;
    if (step.isLongRunning && worker.tailTargets == 0)
        cost += NoTailTargetCost;
    return cost;
}

bool couldRunWhenIdle(const PooledWorker &worker, const PoolId &pool, const StepSpec &step)
{
    return step.reserved().fitsIn(worker.report.capacity) && worker.report.pool == pool
            && hasRequiredLabel(worker, step);
}

bool canRunOn(const PooledWorker &worker, const StepSpec &step)
{
    if (step.hasTailTarget() && worker.bestEffortCores > MilliCores(0))
        return false;
    if (step.isBestEffort && worker.tailTargets > 0)
        return false;
    if (!WorkerPool::canAcceptRun(worker, step) || !hasRequiredLabel(worker, step))
        return false;
    Resources freeCapacity = worker.freeCapacity();
    if (step.isBestEffort) {
        freeCapacity.cores -= worker.bestEffortCores;
        return step.perTask.fitsIn(freeCapacity);
    }
    return step.reserved().fitsIn(freeCapacity);
}

} // namespace gentiancross
