#pragma once

#include "control/jobs/start_policy.h"
#include "core/job_records.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace gentiancross {

/**
 * The steps that could start, in the order in which they are to start. Owned by `StartPlanner`.
 * A change of one step costs as much in a job of many steps as in a job of few. Thread safety:
 * owned by the control thread.
 */
class ReadyQueue
{
public:
    explicit ReadyQueue(std::unique_ptr<StepOrder> order);

    /** Records that an earlier leader accepted the job at \a arrivedAt. Precondition: `updateJob`
     * has not been called for the job yet. */
    void addInherited(const JobId &id, const Job &job, Instant arrivedAt);
    /** Records the standing of a new job. Precondition: `updateJob` has not been called for the job
     * yet. */
    void addArrived(const JobId &id, const Job &job, ShareStanding standing);
    /** True if the job has been added and is not over. */
    [[nodiscard]] bool knowsJob(const JobId &id) const { return m_timings.contains(id); }
    /** Updates all entries of a job that is new, has begun an occurrence or is over. \a now is the
     * arrival time of a new job or occurrence. */
    void updateJob(Instant now, const JobId &id, const Job &job);
    /** Updates the entries of a step with a task that has ended or will not start again, and those
     * of the steps that wait for it. Precondition: `updateJob` has been called for the job. */
    void updateStep(Instant now, const StepRef &step, const Job &job);
    /** Updates the ranks of steps whose latest start has passed. \a store has all jobs of the
     * queue. */
    void updateRanks(Instant now, const JobStoreData &store);

    /** The entries, most urgent first. */
    [[nodiscard]] const std::set<ReadyStep> &steps() const { return m_steps; }

private:
    /** What is known of a job's steps from its specification, and when it arrived. */
    struct JobTiming
    {
        /** Arrival times of the occurrences, on this host's clock since the wall clock may jump. */
        std::map<std::uint32_t, Instant> arrivals;
        /** The critical path from each step to the end of the job. */
        std::vector<Milliseconds> remaining;
        Milliseconds whole;
        /** Fixed when the job arrived; an inherited job is within its team's share. */
        ShareStanding standing = ShareStanding::Within;
        /** The steps that wait for each step. */
        std::vector<std::vector<std::uint32_t>> dependents;
    };

    JobTiming &timingOf(const JobId &id, const Job &job);
    /** Replaces the entries of one step. */
    void rankStep(Instant now, const StepRef &ref, const Job &job, const JobTiming &timing);
    void removeEntries(std::map<StepRef, std::vector<ReadyStep>>::iterator entries);

    std::unique_ptr<StepOrder> m_order;
    std::map<JobId, JobTiming> m_timings;
    std::set<ReadyStep> m_steps;
    std::map<StepRef, std::vector<ReadyStep>> m_entriesByStep;
};

} // namespace gentiancross
