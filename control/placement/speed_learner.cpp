#include "control/placement/speed_learner.h"

#include "control/jobs/worker_pool.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace gentiancross {

namespace {

constexpr Milliseconds ComparisonInterval{1000};
/** A longer time is not one of a task that ends. */
constexpr Milliseconds MaxDuration{86'400'000};
/** Speeds that differ by less from the usual one are treated alike. */
constexpr double MinSpeedDifference = 0.1;
/** A difference counts if it is this many times its standard error. Each of some hundred workers is
 * compared each second, so chance alone exceeds three standard errors now and then. */
constexpr double MinErrors = 4;
/** With a single worker there is nothing to compare with. */
constexpr std::size_t MinKnownWorkers = 2;

struct KnownWorker
{
    PooledWorker *worker;
    LearnedSlowness slowness;
};

double speedOf(double slowness)
{
    return std::exp(-slowness);
}

double medianOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const std::size_t size = values.size();
    return (values[(size - 1) / 2] + values[size / 2]) / 2;
}

/** True if no speed differs by more than `MinSpeedDifference` from the average. */
bool areAlike(const std::vector<KnownWorker> &known)
{
    double sum = 0;
    for (const KnownWorker &entry : known)
        sum += speedOf(entry.slowness.value);
    const double average = sum / double(known.size());
    return std::all_of(known.begin(), known.end(), [average](const KnownWorker &entry) {
        return std::abs(speedOf(entry.slowness.value) / average - 1) <= MinSpeedDifference;
    });
}

SpeedClass classOf(double relativeSlowness)
{
    const double speed = speedOf(relativeSlowness);
    if (speed > 1 + MinSpeedDifference)
        return SpeedClass::Fast;
    return speed < 1 - MinSpeedDifference ? SpeedClass::Slow : SpeedClass::Usual;
}

const char *nameOf(SpeedClass speed)
{
    switch (speed) {
    case SpeedClass::Slow:
        return "slow";
    case SpeedClass::Usual:
        return "usual";
    case SpeedClass::Fast:
        break;
    }
    return "fast";
}

void reportChange(const PooledWorker &worker, const LearnedSlowness &learned, Outbox &out)
{
    out.note(worker.report.incarnation.worker.value(),
             absl::StrCat(
                     "worker speed learned: class=", nameOf(worker.speed.speedClass()),
                     " speed_permille=", std::lround(speedOf(worker.speed.relativeSlowness) * 1000),
                     " error_permille=", std::lround(learned.error * 1000), " periods=",
                     learned.periods, " runs=", learned.runs, " age_ms=", learned.age.value()));
    out.count(CellEvent::SpeedClassChanged);
}

} // namespace

std::optional<double> SpeedLearner::addRun(Instant now, PooledWorker &worker, const StepRef &ref,
                                           const StepSpec &step, Milliseconds taken)
{
    if (taken <= Milliseconds(0) || taken > MaxDuration)
        return std::nullopt;
    WorkerSpeed &speed = worker.speed;
    const std::optional<double> slowness = m_similarRuns.slownessOf(ref, step, taken);
    if (slowness.has_value())
        speed.addRun(now, *slowness);
    m_similarRuns.add(now, ref, step, worker.report.incarnation.worker, taken,
                      speed.relativeSlowness);
    if (!slowness.has_value())
        return std::nullopt;
    return *slowness - speed.relativeSlowness;
}

void SpeedLearner::tick(Instant now, WorkerPool &pool, Outbox &out)
{
    if (now < m_nextComparison)
        return;
    m_nextComparison = now + ComparisonInterval;
    std::vector<KnownWorker> known;
    std::vector<double> values;
    for (auto &[incarnation, worker] : pool.all()) {
        const std::optional<LearnedSlowness> slowness = worker.speed.estimate(now);
        if (slowness.has_value()) {
            known.push_back({&worker, *slowness});
            values.push_back(slowness->value);
            continue;
        }
        worker.speed.relativeSlowness = 0;
        if (worker.speed.resetClass())
            reportChange(worker, {}, out);
    }
    if (known.empty())
        return;
    const double usual = medianOf(std::move(values));
    // A difference that may be chance does not count.
    for (KnownWorker &entry : known) {
        if (std::abs(entry.slowness.value - usual) <= MinErrors * entry.slowness.error)
            entry.slowness.value = usual;
        entry.worker->speed.relativeSlowness = entry.slowness.value - usual;
    }
    const bool isUniform = known.size() < MinKnownWorkers || areAlike(known);
    for (const KnownWorker &entry : known) {
        const SpeedClass speedClass
                = isUniform ? SpeedClass::Usual : classOf(entry.worker->speed.relativeSlowness);
        if (entry.worker->speed.updateClass(speedClass))
            reportChange(*entry.worker, entry.slowness, out);
    }
}

} // namespace gentiancross
