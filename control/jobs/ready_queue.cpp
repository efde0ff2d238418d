#include "control/jobs/ready_queue.h"

#include "control/jobs/job_store.h"

#include <algorithm>

namespace gentiancross {

ReadyQueue::ReadyQueue(std::unique_ptr<StepOrder> order)
    : m_order(std::move(order))
{}

ReadyQueue::JobTiming &ReadyQueue::timingOf(const JobId &id, const Job &job)
{
    const auto [found, isNew] = m_timings.try_emplace(id);
    JobTiming &timing = found->second;
    if (!isNew)
        return timing;
    timing.remaining = criticalPathLengths(job.spec);
    for (const Milliseconds length : timing.remaining)
        timing.whole = std::max(timing.whole, length);
    timing.dependents.resize(job.spec.steps.size());
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        for (const std::uint32_t earlier : job.spec.steps[step].after)
            timing.dependents[earlier].push_back(step);
    }
    return timing;
}

void ReadyQueue::addInherited(const JobId &id, const Job &job, Instant arrivedAt)
{
    JobTiming &timing = timingOf(id, job);
    for (const auto &[number, occurrence] : job.occurrences)
        timing.arrivals.emplace(number, arrivedAt);
}

void ReadyQueue::addArrived(const JobId &id, const Job &job, ShareStanding standing)
{
    timingOf(id, job).standing = standing;
}

void ReadyQueue::updateJob(Instant now, const JobId &id, const Job &job)
{
    if (job.isOver()) {
        auto entries = m_entriesByStep.lower_bound({id, 0, 0});
        while (entries != m_entriesByStep.end() && entries->first.job == id)
            removeEntries(entries++);
        m_timings.erase(id);
        return;
    }
    JobTiming &timing = timingOf(id, job);
    for (const auto &[number, occurrence] : job.occurrences) {
        timing.arrivals.try_emplace(number, now);
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step)
            rankStep(now, {id, number, step}, job, timing);
    }
}

void ReadyQueue::updateStep(Instant now, const StepRef &step, const Job &job)
{
    const JobTiming &timing = m_timings.at(step.job);
    rankStep(now, step, job, timing);
    if (!jobstore::isStepDone(job.occurrences.at(step.occurrence).steps[step.step]))
        return;
    for (const std::uint32_t dependent : timing.dependents[step.step])
        rankStep(now, {step.job, step.occurrence, dependent}, job, timing);
}

void ReadyQueue::updateRanks(Instant now, const JobStoreData &store)
{
    std::vector<StepRef> passed;
    for (const ReadyStep &ready : m_steps) {
        if (ready.lateness == Lateness::Expired || now <= ready.latestStart)
            continue;
        // Long-running steps have no deadline. This look-up is left out for all others that wait.
        if (!store.jobs.at(ready.step.job).spec.steps[ready.step.step].isLongRunning)
            passed.push_back(ready.step);
    }
    for (const StepRef &step : passed)
        rankStep(now, step, store.jobs.at(step.job), m_timings.at(step.job));
}

void ReadyQueue::rankStep(Instant now, const StepRef &ref, const Job &job, const JobTiming &timing)
{
    const auto listed = m_entriesByStep.find(ref);
    if (listed != m_entriesByStep.end())
        removeEntries(listed);
    if (!jobstore::isStepReady(job, job.occurrences.at(ref.occurrence), ref.step))
        return;
    std::vector<ReadyStep> entries;
    for (const WaitReason reason : {WaitReason::Restart, WaitReason::Start}) {
        if (hasIdleTasks(ref, reason, job))
            entries.push_back(
                    m_order->rank(now, ref, reason, job,
                                  {timing.arrivals.at(ref.occurrence), timing.remaining[ref.step],
                                   timing.whole, timing.standing}));
    }
    if (entries.empty())
        return;
    m_steps.insert(entries.begin(), entries.end());
    m_entriesByStep.emplace(ref, std::move(entries));
}

void ReadyQueue::removeEntries(std::map<StepRef, std::vector<ReadyStep>>::iterator entries)
{
    for (const ReadyStep &ready : entries->second)
        m_steps.erase(ready);
    m_entriesByStep.erase(entries);
}

} // namespace gentiancross
