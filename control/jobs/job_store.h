#pragma once

#include "core/job_records.h"

#include <cstdint>

namespace gentiancross {

/** Hears of what applying a record changes. All methods are called on the control thread. */
class JobStoreObserver
{
public:
    JobStoreObserver() = default;
    JobStoreObserver(const JobStoreObserver &) = delete;
    JobStoreObserver &operator=(const JobStoreObserver &) = delete;
    virtual ~JobStoreObserver() = default;

    /** \a task has been ordered as \a progress tells. */
    virtual void onRunOpened(const JobTaskRef &task, const Job &job, const TaskProgress &progress)
            = 0;
    /** The last run of \a task is over; \a progress is as it was before. */
    virtual void onRunClosed(const JobTaskRef &task, const Job &job, const TaskProgress &progress)
            = 0;
    /** The job is new, has begun an occurrence, has finished a step or is over. */
    virtual void onJobChanged(const JobId &id, const Job &job) = 0;
};

/** No job of a caller holds more tasks; it bounds what one job can make the keepers do. */
inline constexpr std::uint64_t MaxTasksPerJob = 20'000;

/** Changes a job book by records. Deterministic: the same records give the same book. */
namespace jobstore {

/** Applies \a record to \a data; \a observer may be null. Reentrant. */
void apply(JobStoreData &data, const JobRecord &record, JobStoreObserver *observer);

/** True if the steps wait for earlier ones only and do not hold too many tasks. Reentrant. */
bool isRunnable(const JobSpec &spec);

/** True if all tasks of the steps that \a step waits for are done. Reentrant. */
bool isStepReady(const Job &job, const Occurrence &occurrence, std::uint32_t step);

/** True if a run of the job may be at work. Reentrant. */
bool hasOpenRun(const Job &job);

/** The task's progress, or null if there is none. Reentrant. */
const TaskProgress *find(const JobStoreData &data, const JobTaskRef &task);

} // namespace jobstore

} // namespace gentiancross
