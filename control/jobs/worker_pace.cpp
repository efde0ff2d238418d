#include "control/jobs/worker_pace.h"

#include <algorithm>
#include <cmath>

namespace gentiancross {

namespace {

/** Fewer runs say more of the guesses than of the worker. */
constexpr unsigned MinRuns = 4;
/** The weight of a new run: a change of pace shows after about five. */
constexpr double MinNewRunWeight = 0.2;
/** The logarithm of 2: guesses average out, slow workers take four times as long and more. */
constexpr double SlownessThreshold = 0.7;
/** One run says no more than this, whatever its guess was. */
constexpr double MaxSlownessPerRun = 2.5;

} // namespace

void WorkerPace::note(Milliseconds taken, Milliseconds guessed)
{
    const double ratio = double(std::max<std::int64_t>(taken.value(), 1)) / double(guessed.value());
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
