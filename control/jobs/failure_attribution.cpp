#include "control/jobs/failure_attribution.h"

#include <utility>

namespace gentiancross {

namespace {

/** Covers the jobs of several minutes; what is forgotten is found out again. */
constexpr std::size_t MaxJobs = 10'000;

} // namespace

FailureAttribution::Verdict FailureAttribution::recordFailure(const JobId &job,
                                                              const WorkerId &worker)
{
    if (m_failing.size() >= MaxJobs)
        m_failing.clear();
    const auto [found, isFirst] = m_failing.try_emplace(job, FailingJob{worker});
    FailingJob &failing = found->second;
    if (isFirst || (failing.firstWorker == worker && !failing.isAtFault))
        return {FailureCause::Worker, {}};
    if (std::exchange(failing.isAtFault, true))
        return {FailureCause::Job, {}};
    return {FailureCause::Job, failing.firstWorker};
}

} // namespace gentiancross
