#include "control/jobs/start_policy.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** Weighs a rack without the step's data against any difference in room. */
constexpr std::int64_t FarFromData = 1'000'000;
/** Weighs a worker without lasting work against any difference in room, for lasting work. */
constexpr std::int64_t FreshForLasting = 500'000;
/** A job is of use up to this many times its objective (the platform's rules, "Jobs", "Credit"). */
constexpr std::int64_t LateFactor = 3;
constexpr std::int64_t Permille = 1000;
/** So many workers are in the call for advice that a step's chain of work counts (same place). */
constexpr std::int64_t AdvisedWorkers = 30;
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
/** Ten years in milliseconds; a longer chain of guesses says no more. */
constexpr Milliseconds MaxCriticalPath{315'360'000'000};

/** What one call for advice takes. */
Milliseconds adviceTime(const JobTerms &terms)
{
    if (!terms.advice.has_value())
        return Milliseconds(0);
    const std::int64_t micros
            = terms.advice->baseMicroseconds + terms.advice->perWorkerMicroseconds * AdvisedWorkers;
    return Milliseconds(micros / MicrosecondsPerMillisecond);
}

/** How long after its arrival a job is to be completed. */
Milliseconds objectiveOf(const Job &job)
{
    Milliseconds chain(0);
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step)
        chain = std::max(chain, criticalPathLength(job.spec, step));
    chain = std::min(chain + adviceTime(job.terms), MaxCriticalPath);
    return chain * job.terms.stretchPermille / Permille + job.terms.allowance;
}

} // namespace

Milliseconds criticalPathLength(const JobSpec &spec, std::uint32_t step)
{
    // Steps wait for earlier ones only, so going backwards meets each step after its dependents.
    std::vector<Milliseconds> rest(spec.steps.size());
    for (std::size_t number = spec.steps.size(); number-- > step;) {
        rest[number] += spec.steps[number].estimate;
        for (const std::uint32_t earlier : spec.steps[number].after)
            rest[earlier] = std::max(rest[earlier], rest[number]);
    }
    return rest[step];
}

ReadyStep DeadlineStepOrder::rank(Instant now, const StepRef &step, const Job &job,
                                  Instant arrivedAt) const
{
    ReadyStep ready{job.terms.priority, Lateness::OnTime, arrivedAt, step};
    if (job.spec.steps[step.step].isLongRunning)
        return ready; // It has no end to be in time for.
    const Milliseconds objective = objectiveOf(job);
    const Milliseconds chain = criticalPathLength(job.spec, step.step);
    ready.latestStart = arrivedAt + objective - chain;
    if (now <= ready.latestStart)
        return ready;
    ready.lateness = Lateness::Late;
    ready.latestStart = arrivedAt + objective * LateFactor - chain;
    if (now > ready.latestStart)
        ready.lateness = Lateness::Expired;
    return ready;
}

std::int64_t PackingCostPolicy::cost(const PooledWorker &worker, const StepSpec &step) const
{
    const MilliCores left = worker.room().cores - worker.bestEffortCores;
    std::int64_t cost = step.isBestEffort ? -left.value() : left.value();
    if (!step.dataRack.empty() && worker.report.rack.value() != step.dataRack)
        cost += FarFromData;
    if (step.isLongRunning && worker.tailTargets == 0)
        cost += FreshForLasting;
    return cost;
}

bool canRunOn(const PooledWorker &worker, const StepSpec &step)
{
    const bool hasTarget = step.isLongRunning && step.tailLatencyTarget > Milliseconds(0);
    if (hasTarget && worker.bestEffortCores > MilliCores(0))
        return false;
    if (step.isBestEffort && worker.tailTargets > 0)
        return false;
    if (!WorkerPool::mayTake(worker, step))
        return false;
    const std::vector<std::string> &labels = worker.report.labels;
    if (!step.requiredLabel.empty()
        && std::find(labels.begin(), labels.end(), step.requiredLabel) == labels.end())
        return false;
    Resources room = worker.room();
    if (step.isBestEffort) {
        room.cores -= worker.bestEffortCores;
        return step.perTask.fitsIn(room);
    }
    return step.reserved().fitsIn(room);
}

} // namespace gentiancross
