#pragma once

#include "core/units.h"

namespace gentiancross {

using JobsPerSecond = Quantity<struct JobsPerSecondTag>;
/** A number of jobs, in thousandths. */
using MilliJobs = Quantity<struct MilliJobsTag>;

/**
 * Token bucket that tells arrivals within a rate from those beyond it. An arrival beyond the rate
 * takes nothing, so that a burst leaves no debt. Owned by `TeamShares`. Thread safety: owned by the
 * control thread.
 */
class ArrivalAllowance
{
public:
    /** The allowance is at most what accrues in this time. A team's jobs come in clusters of a
     * second or so, and a burst is to be forgotten within seconds. */
    static constexpr Milliseconds MaxAccrual{2000};

    /** Starts full. \a rate is at least 0. */
    ArrivalAllowance(Instant now, JobsPerSecond rate);

    /** Changes the rate from \a now on. */
    void setRate(Instant now, JobsPerSecond rate);
    /** True if there is a whole job left at \a now. */
    [[nodiscard]] bool hasJob(Instant now) const;
    /** Precondition: `hasJob(now)`. */
    void takeJob(Instant now);

private:
    [[nodiscard]] MilliJobs leftAt(Instant now) const;

    JobsPerSecond m_rate;
    MilliJobs m_left;
    /** When `m_left` was computed. */
    Instant m_updatedAt;
};

} // namespace gentiancross
