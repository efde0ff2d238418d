#include "benchmarks/cell_load.h"
#include "benchmarks/decision_bench.h"

namespace gentiancross::benchmarks {

namespace {

constexpr std::uint32_t Seed = 1;
constexpr Milliseconds WarmUp{5'000};
constexpr Milliseconds Span{20'000};
constexpr double MicrosecondsPerSecond = 1e6;
constexpr double MillisecondsPerSecond = 1000.0;

void measureShape(Report &report, const std::string &name, const CellShape &shape)
{
    CellLoad load(shape, Seed);
    load.run(WarmUp);
    const std::uint64_t startsBefore = load.starts();
    const double busyBefore = load.busySeconds();
    load.run(Span);
    const std::uint64_t starts = load.starts() - startsBefore;
    const double busy = load.busySeconds() - busyBefore;
    report.add({"leader, processor time a start, " + name,
                busy / double(starts) * MicrosecondsPerSecond, "us", Seed, starts});
    report.add({"leader, part of a core, " + name,
                busy / double(Span.value()) * MillisecondsPerSecond, "", Seed, starts});
    std::vector<double> waits = load.waits();
    report.add(
            {"wait of short jobs, p50, " + name, quantile(waits, 0.5), "ms", Seed, waits.size()});
    report.add(
            {"wait of short jobs, p95, " + name, quantile(waits, 0.95), "ms", Seed, waits.size()});
}

/** The deployment on which the leader is saturated: many wide short jobs, and bursts of twice the
 * load. */
CellShape heavyShape()
{
    CellShape shape;
    shape.workers = 350;
    shape.workerMillicores = 16'000;
    shape.shortJobsPerSecond = 52.1;
    shape.shortWidth = 10;
    shape.shortMillicores = 2200;
    shape.shortRun = Milliseconds(640);
    shape.longJobsPerSecond = 4.56;
    shape.longWidth = 21;
    shape.longMillicores = 4500;
    shape.callers = 39;
    return shape;
}

/** Measures the heavy deployment in three bursts of twice the load, with pauses in between. */
void measureBurst(Report &report)
{
    constexpr Milliseconds Burst{6'000};
    constexpr Milliseconds Pause{6'000};
    constexpr int Bursts = 3;
    CellLoad load(heavyShape(), Seed);
    load.run(WarmUp);
    const std::uint64_t startsBefore = load.starts();
    const std::size_t stepsBefore = load.stepsStarted();
    const std::uint64_t callsBefore = load.adviserCalls();
    const double adviserBefore = load.adviserSeconds();
    const double busyBefore = load.busySeconds();
    double busyInBursts = 0;
    for (int burst = 0; burst < Bursts; ++burst) {
        const double before = load.busySeconds();
        load.setRateFactor(2);
        load.run(Burst);
        busyInBursts += load.busySeconds() - before;
        load.setRateFactor(1);
        load.run(Pause);
    }
    const std::uint64_t starts = load.starts() - startsBefore;
    const auto steps = double(load.stepsStarted() - stepsBefore);
    const std::string name = ", heavy deployment with bursts";
    report.add({"leader, processor time a start" + name,
                (load.busySeconds() - busyBefore) / double(starts) * MicrosecondsPerSecond, "us",
                Seed, starts});
    report.add({"leader, part of a core in a burst" + name,
                busyInBursts / double(Burst.value() * Bursts) * MillisecondsPerSecond, "", Seed,
                starts});
    report.add({"adviser calls for each step started" + name,
                double(load.adviserCalls() - callsBefore) / steps, "", Seed, starts});
    report.add({"adviser time for each step started" + name,
                (load.adviserSeconds() - adviserBefore) / steps * MillisecondsPerSecond, "ms", Seed,
                starts});
    std::vector<double> waits = load.waits();
    report.add({"wait of short jobs, p50" + name, quantile(waits, 0.5), "ms", Seed, waits.size()});
    report.add({"wait of short jobs, p95" + name, quantile(waits, 0.95), "ms", Seed, waits.size()});
    waits = load.waits(false);
    report.add({"wait of long jobs, p50" + name, quantile(waits, 0.5), "ms", Seed, waits.size()});
    report.add({"wait of long jobs, p95" + name, quantile(waits, 0.95), "ms", Seed, waits.size()});
}

} // namespace

void measureCell(Report &report)
{
    measureShape(report, "48 workers", {});
    CellShape grown;
    grown.workers = 350;
    grown.shortJobsPerSecond = 37.8;
    grown.shortWidth = 10;
    grown.shortMillicores = 4500;
    grown.longJobsPerSecond = 4.2;
    grown.longWidth = 21;
    grown.longMillicores = 9000;
    grown.callers = 44;
    measureShape(report, "350 workers", grown);
    // The same deployment while short jobs arrive at twice the rate.
    grown.shortJobsPerSecond *= 2;
    measureShape(report, "350 workers, burst", grown);
    measureBurst(report);
}

} // namespace gentiancross::benchmarks
