#include "control/jobs/worker_pace.h"

#include <algorithm>
#include <cmath>

namespace gentiancross {

namespace {

/** With fewer runs, the error of the estimates dominates. */
constexpr unsigned MinRuns = 4;
/** Weight of a new run; a change of pace shows after about five runs. */
constexpr double MinNewRunWeight = 0.2;
/** Logarithm of 2: errors of the estimates average out, and slow workers take at least four times
 * as long. */
constexpr double SlownessThreshold = 0.7;
/** Limits the influence of a single run with a bad estimate. */
constexpr double MaxSlownessPerRun = 2.5;

} // namespace

void WorkerPace::addRun(Milliseconds taken, Milliseconds estimated)
{
    const double ratio
            = double(std::max<std::int64_t>(taken.value(), 1)) / double(estimated.value());
    const double slowness = std::clamp(std::log(ratio), -MaxSlownessPerRun, MaxSlownessPerRun);
    ++m_runs;
    const double weight = std::max(MinNewRunWeight, 1.0 / m_runs);
    m_slowness += weight * (slowness - m_slowness);
}

bool WorkerPace::isKnown() const
{
    return m_runs >= MinRuns;
}

bool isSlow(const WorkerPace &worker, const WorkerPace &usual)
{
    return worker.isKnown() && usual.isKnown()
            && worker.slowness() > usual.slowness() + SlownessThreshold;
}

} // namespace gentiancross
