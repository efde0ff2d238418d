#pragma once

#include "core/units.h"

#include <array>
#include <cstdint>
#include <optional>

namespace gentiancross {

/** A worker's speed compared with the other workers'. */
enum class SpeedClass {
    Slow,
    Usual,
    Fast,
};

/** How much longer runs take on a worker than similar ones elsewhere, with the evidence for it. */
struct LearnedSlowness
{
    /** Natural logarithm of the ratio of durations; 0 for the usual speed. */
    double value = 0;
    /** Standard error of `value`. */
    double error = 0;
    std::uint32_t periods = 0;
    std::uint32_t runs = 0;
    /** Age of the newest period. */
    Milliseconds age;
};

/**
 * Estimates the slowness of one worker from its runs. Averages the runs of each second and takes
 * the median over these periods, so that neither a few slow seconds nor a few long tasks count.
 * Thread safety: a value type.
 */
class WorkerSpeed
{
public:
    /** Adds a run that ended at \a now. Its \a slowness is the natural logarithm of its duration
     * relative to that of similar runs. */
    void addRun(Instant now, double slowness);
    /** The estimate at \a now; nullopt if there are too few recent runs. */
    [[nodiscard]] std::optional<LearnedSlowness> estimate(Instant now) const;

    /** Takes the result of a comparison with other workers. It becomes the class once several
     * successive comparisons agree. Returns true if the class has changed. */
    bool updateClass(SpeedClass compared);
    /** Returns to the usual class. Returns true if the class has changed. */
    bool resetClass();
    [[nodiscard]] SpeedClass speedClass() const { return m_class; }

    /** The slowness relative to the usual worker, kept here by `SpeedLearner`; 0 if it is not
     * known.
     */
    double relativeSlowness = 0;

private:
    struct Period
    {
        Instant begin;
        double slownessSum = 0;
        std::uint32_t runs = 0;
    };

    static constexpr std::size_t MaxPeriods = 12;

    std::array<Period, MaxPeriods> m_periods{};
    /** Index of the current period. */
    std::size_t m_current = 0;
    SpeedClass m_class = SpeedClass::Usual;
    /** The result of the latest comparison, and how many in a row had it. */
    SpeedClass m_compared = SpeedClass::Usual;
    std::uint32_t m_comparisons = 0;
};

} // namespace gentiancross
