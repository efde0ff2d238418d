#include "control/placement/worker_speed.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gentiancross {

namespace {

constexpr Milliseconds PeriodLength{1000};
/** Load and hardware change within minutes; older runs say nothing of the present. */
constexpr Milliseconds MaxAge{60'000};
/** With eight periods the median stays right while three of them are slow. */
constexpr std::size_t MinPeriods = 8;
/** Limits the influence of one run to a factor of 2.7; some tasks take seven times as long for
 * reasons of their own. */
constexpr double MaxSlownessPerRun = 1;
/** A few periods are alike by chance, which proves no accuracy. */
constexpr double MinDeviation = 0.1;
/** Several long tasks in one second can make a worker look slow for a moment. */
constexpr std::uint32_t MinEqualComparisons = 3;
/** Ratio of the standard deviation to the mean absolute deviation, and of the standard error of a
 * median to that of a mean, both for normally distributed values. */
constexpr double DeviationFactor = 1.25;
constexpr double MedianErrorFactor = 1.25;

} // namespace

void WorkerSpeed::addRun(Instant now, double slowness)
{
    if (!std::isfinite(slowness))
        return;
    Period *period = &m_periods.at(m_current);
    if (period->runs > 0 && now - period->begin >= PeriodLength) {
        m_current = (m_current + 1) % MaxPeriods;
        period = &m_periods.at(m_current);
        *period = {};
    }
    if (period->runs == 0)
        period->begin = now;
    period->slownessSum += std::clamp(slowness, -MaxSlownessPerRun, MaxSlownessPerRun);
    ++period->runs;
}

bool WorkerSpeed::updateClass(SpeedClass compared)
{
    m_comparisons = compared == m_compared ? m_comparisons + 1 : 1;
    m_compared = compared;
    return m_comparisons >= MinEqualComparisons && std::exchange(m_class, compared) != compared;
}

bool WorkerSpeed::resetClass()
{
    m_compared = SpeedClass::Usual;
    m_comparisons = 0;
    return std::exchange(m_class, SpeedClass::Usual) != SpeedClass::Usual;
}

std::optional<LearnedSlowness> WorkerSpeed::estimate(Instant now) const
{
    LearnedSlowness learned;
    learned.age = MaxAge;
    std::array<double, MaxPeriods> values{};
    std::size_t count = 0;
    for (const Period &period : m_periods) {
        const Milliseconds age = now - period.begin;
        if (period.runs == 0 || age > MaxAge)
            continue;
        values.at(count++) = period.slownessSum / period.runs;
        learned.runs += period.runs;
        learned.age = std::min(learned.age, age);
    }
    if (count < MinPeriods)
        return std::nullopt;
    const auto end = values.begin() + std::ptrdiff_t(count);
    std::sort(values.begin(), end);
    learned.value = (values.at((count - 1) / 2) + values.at(count / 2)) / 2;
    double deviations = 0;
    for (auto value = values.begin(); value != end; ++value)
        deviations += std::abs(*value - learned.value);
    const double size = double(count);
    learned.error = DeviationFactor * MedianErrorFactor * std::max(deviations / size, MinDeviation)
            / std::sqrt(size);
    learned.periods = static_cast<std::uint32_t>(count);
    return learned;
}

} // namespace gentiancross
