#include "control/placement/similar_runs.h"

#include <algorithm>
#include <cmath>

namespace gentiancross {

namespace {

/** Fewer runs of a kind don't show its usual duration. */
constexpr unsigned MinRuns = 8;
/** The runs of one worker say nothing about its speed. */
constexpr std::size_t MinWorkers = 2;
/** Number of runs after which an old one has lost most of its weight. */
constexpr unsigned MaxAveragedRuns = 64;
/** The first values define the average and are not limited. */
constexpr unsigned MinValuesBeforeLimit = 5;
/** A value counts as an outlier beyond this multiple of the mean absolute deviation. */
constexpr double OutlierFactor = 3;
/** Lower bound of that limit, so that the average follows a change of the usual duration. */
constexpr double MinOutlierLimit = 0.2;

double logOf(Milliseconds time)
{
    return std::log(double(time.value()));
}

} // namespace

void SimilarRuns::RobustMean::add(double value)
{
    ++m_count;
    double step = value - m_mean;
    if (m_count > MinValuesBeforeLimit) {
        const double limit = std::max(OutlierFactor * m_deviation, MinOutlierLimit);
        step = std::clamp(step, -limit, limit);
    }
    const double weight = 1.0 / std::min(m_count, MaxAveragedRuns);
    m_mean += weight * step;
    // The first value has nothing to deviate from.
    if (m_count > 1)
        m_deviation += weight * (std::abs(step) - m_deviation);
}

SimilarRuns::KindKey SimilarRuns::keyOf(const StepRef &ref, const StepSpec &step)
{
    return step.image.empty() ? KindKey{{}, ref} : KindKey{step.image, {}};
}

std::optional<double> SimilarRuns::slownessOf(const StepRef &ref, const StepSpec &step,
                                              Milliseconds taken) const
{
    const auto found = m_kinds.find(keyOf(ref, step));
    if (found == m_kinds.end())
        return std::nullopt;
    const Kind &kind = found->second;
    if (kind.runs < MinRuns || kind.workers.size() < MinWorkers)
        return std::nullopt;
    if (!kind.usesEstimates())
        return logOf(taken) - kind.duration.mean();
    if (step.estimate <= Milliseconds(0))
        return std::nullopt;
    return logOf(taken) - logOf(step.estimate) - kind.ratio.mean();
}

void SimilarRuns::add(Instant now, const StepRef &ref, const StepSpec &step, const WorkerId &worker,
                      Milliseconds taken, double workerSlowness)
{
    const KindKey key = keyOf(ref, step);
    if (m_kinds.size() >= MaxKinds && !m_kinds.contains(key))
        evictOldest();
    Kind &kind = m_kinds[key];
    const double atUsualSpeed = logOf(taken) - workerSlowness;
    kind.duration.add(atUsualSpeed);
    kind.hasEstimates = kind.hasEstimates && step.estimate > Milliseconds(0);
    if (kind.hasEstimates)
        kind.ratio.add(atUsualSpeed - logOf(step.estimate));
    ++kind.runs;
    if (kind.workers.size() < MinWorkers
        && std::find(kind.workers.begin(), kind.workers.end(), worker) == kind.workers.end())
        kind.workers.push_back(worker);
    kind.lastRun = now;
}

void SimilarRuns::evictOldest()
{
    // A quarter at once, so that a stream of new steps does not cost a scan for each.
    std::vector<Instant> lastRuns;
    for (const auto &[key, kind] : m_kinds)
        lastRuns.push_back(kind.lastRun);
    const auto quarter = lastRuns.begin() + std::ptrdiff_t(lastRuns.size() / 4);
    std::nth_element(lastRuns.begin(), quarter, lastRuns.end());
    const Instant limit = *quarter;
    std::erase_if(m_kinds, [limit](const auto &entry) { return entry.second.lastRun <= limit; });
}

} // namespace gentiancross
