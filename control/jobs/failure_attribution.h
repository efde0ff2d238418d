#pragma once

#include "core/jobs.h"

#include <map>
#include <optional>

namespace gentiancross {

/** What a failed run tells about its worker. */
enum class FailureCause {
    /** The job has failed only here so far: the worker may be at fault. */
    Worker,
    /** The job has failed on another worker too, so it fails by its own fault. */
    Job,
};

/**
 * Tells whether a failed run is to count against its worker. Owned by `RunEndRecorder`. Thread
 * safety: owned by the control thread.
 */
class FailureAttribution
{
public:
    struct Verdict
    {
        FailureCause cause = FailureCause::Worker;
        /** The worker that an earlier failure of the job has wrongly counted against. */
        std::optional<WorkerId> exonerated;
    };

    /** Records a failure and returns its probable cause. */
    Verdict recordFailure(const JobId &job, const WorkerId &worker);
    /** Records a run that has ended well: earlier failures were not the job's fault. */
    void recordSuccess(const JobId &job) { m_failing.erase(job); }

private:
    struct FailingJob
    {
        /** Where it failed first since its last success. */
        WorkerId firstWorker;
        bool isAtFault = false;
    };

    std::map<JobId, FailingJob> m_failing;
};

} // namespace gentiancross
