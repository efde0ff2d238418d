#pragma once

#include "core/job_records.h"

#include <cstdint>

namespace gentiancross {

/** Observes the changes that a record makes. All methods are called on the control thread. */
class JobStoreObserver
{
public:
    JobStoreObserver() = default;
    JobStoreObserver(const JobStoreObserver &) = delete;
    JobStoreObserver &operator=(const JobStoreObserver &) = delete;
    virtual ~JobStoreObserver() = default;

    /** A run of \a task was ordered; \a progress describes it. */
    virtual void onRunOpened(const JobTaskRef &task, const Job &job, const TaskProgress &progress)
            = 0;
    /** The last run of \a task has ended; \a progress is the state before the end. */
    virtual void onRunClosed(const JobTaskRef &task, const Job &job, const TaskProgress &progress)
            = 0;
    /** The job is new, has begun an occurrence, or is over. */
    virtual void onJobChanged(const JobId &id, const Job &job) = 0;
    /** A run of the step has ended, and the job is not over. */
    virtual void onStepChanged(const StepRef &step, const Job &job) = 0;
};

/** Upper bound on the tasks of a job; it limits the work that one job causes on the keepers. */
inline constexpr std::uint64_t MaxTasksPerJob = 20'000;

/** Applies records to the job store. Deterministic: the same records give the same state. */
namespace jobstore {

/** Applies \a record to \a data; \a observer may be null. Reentrant. */
void apply(JobStoreData &data, const JobRecord &record, JobStoreObserver *observer);

/** True if steps depend on earlier steps only and the job has at most MaxTasksPerJob tasks.
 * Reentrant. */
bool isRunnable(const JobSpec &spec);

/** True if all tasks of a step are done. Reentrant. */
bool isStepDone(const std::vector<TaskProgress> &tasks);

/** True if all tasks of the steps that \a step depends on are done. Reentrant. */
bool isStepReady(const Job &job, const Occurrence &occurrence, std::uint32_t step);

/** True if a run of the job may still be executing. Reentrant. */
bool hasOpenRun(const Job &job);

/** The task's progress, or null if there is none. Reentrant. */
const TaskProgress *find(const JobStoreData &data, const JobTaskRef &task);

} // namespace jobstore

} // namespace gentiancross
