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
}

} // namespace gentiancross::benchmarks
