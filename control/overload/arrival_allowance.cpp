#include "control/overload/arrival_allowance.h"

#include <algorithm>

namespace gentiancross {

namespace {

constexpr MilliJobs OneJob{1000};

/** What accrues in \a span: one job a second is a thousandth of a job a millisecond. */
MilliJobs accrued(JobsPerSecond rate, Milliseconds span)
{
    return MilliJobs(rate.value() * span.value());
}

} // namespace

ArrivalAllowance::ArrivalAllowance(Instant now, JobsPerSecond rate)
    : m_rate(rate)
    , m_left(accrued(rate, MaxAccrual))
    , m_updatedAt(now)
{}

MilliJobs ArrivalAllowance::leftAt(Instant now) const
{
    const Milliseconds span = std::clamp(now - m_updatedAt, Milliseconds(0), MaxAccrual);
    return std::min(m_left + accrued(m_rate, span), accrued(m_rate, MaxAccrual));
}

void ArrivalAllowance::setRate(Instant now, JobsPerSecond rate)
{
    m_left = std::min(leftAt(now), accrued(rate, MaxAccrual));
    m_updatedAt = now;
    m_rate = rate;
}

bool ArrivalAllowance::hasJob(Instant now) const
{
    return leftAt(now) >= OneJob;
}

void ArrivalAllowance::takeJob(Instant now)
{
    m_left = leftAt(now) - OneJob;
    m_updatedAt = now;
}

} // namespace gentiancross
