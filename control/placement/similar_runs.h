#pragma once

#include "core/jobs.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gentiancross {

/**
 * Tracks how long the runs of each image take, or of each step for steps without an image. The
 * number of images and steps is limited; those that have not run for longest are evicted.
 * Thread safety: owned by the control thread.
 */
class SimilarRuns
{
public:
    static constexpr std::size_t MaxKinds = 512;

    /** The natural logarithm of \a taken relative to similar runs; nullopt if there are too few, or
     * none on another worker. */
    [[nodiscard]] std::optional<double> slownessOf(const StepRef &ref, const StepSpec &step,
                                                   Milliseconds taken) const;
    /** Adds a run on \a worker, whose learned slowness is \a workerSlowness. Precondition: \a taken
     * is positive. */
    void add(Instant now, const StepRef &ref, const StepSpec &step, const WorkerId &worker,
             Milliseconds taken, double workerSlowness);
    [[nodiscard]] std::size_t size() const { return m_kinds.size(); }

private:
    /** Moving average that limits the influence of single outliers. */
    class RobustMean
    {
    public:
        void add(double value);
        [[nodiscard]] double mean() const { return m_mean; }
        /** The mean absolute deviation. */
        [[nodiscard]] double deviation() const { return m_deviation; }

    private:
        double m_mean = 0;
        double m_deviation = 0;
        unsigned m_count = 0;
    };

    /** Runs that are assumed to behave alike. */
    struct Kind
    {
        /** Logarithm of the duration. */
        RobustMean duration;
        /** Logarithm of the duration relative to the estimate. */
        RobustMean ratio;
        unsigned runs = 0;
        /** True as long as each run had an estimate. */
        bool hasEstimates = true;
        /** The first workers with such runs, up to the number that is needed. */
        std::vector<WorkerId> workers;
        Instant lastRun;

        /** True if estimates predict the duration better than its average does. */
        [[nodiscard]] bool usesEstimates() const
        {
            return hasEstimates && ratio.deviation() < duration.deviation();
        }
    };

    /** The image, or the step if it has none. */
    using KindKey = std::pair<std::string, StepRef>;

    static KindKey keyOf(const StepRef &ref, const StepSpec &step);
    void evictOldest();

    std::map<KindKey, Kind> m_kinds;
};

} // namespace gentiancross
