#include "benchmarks/decision_bench.h"

#include "benchmarks/scheduler_load.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace gentiancross::benchmarks {

namespace {

constexpr std::uint32_t Seed = 7;
constexpr double MicrosecondsPerSecond = 1e6;

struct DecisionTimes
{
    double median = 0.0;
    double p99 = 0.0;
    double perSecond = 0.0;
};

/** Keeps the workers 85% used and times each decision separately. */
DecisionTimes timeDecisions(Policies policies, const LoadSize &size, int rounds)
{
    SchedulerLoad load(std::move(policies), size, Seed);
    load.fill(0.85);
    std::vector<double> times;
    double total = 0.0;
    std::size_t decided = 0;
    for (int round = 0; round < rounds; ++round) {
        load.endRandom();
        load.queueRandom();
        const auto begin = std::chrono::steady_clock::now();
        decided += load.decide(1);
        const auto end = std::chrono::steady_clock::now();
        const double seconds = std::chrono::duration<double>(end - begin).count();
        times.push_back(seconds * MicrosecondsPerSecond);
        total += seconds;
    }
    return {quantile(times, 0.5), quantile(times, 0.99), static_cast<double>(decided) / total};
}

void measureSize(Report &report, const LoadSize &size)
{
    constexpr int Rounds = 4000;
    constexpr int NaiveRounds = 1000;
    const std::string label
            = std::to_string(size.workers) + " workers, " + std::to_string(size.teams) + " teams";
    const DecisionTimes indexed = timeDecisions(Policies::standard(), size, Rounds);
    const DecisionTimes naive = timeDecisions(Policies::naive(), size, NaiveRounds);
    report.add({"decision p50, " + label, indexed.median, "us", Seed, Rounds});
    report.add({"decision p99, " + label, indexed.p99, "us", Seed, Rounds});
    report.add({"decisions a second, " + label, indexed.perSecond, "1/s", Seed, Rounds});
    report.add({"naive decision p50, " + label, naive.median, "us", Seed, NaiveRounds});
    report.add({"naive decision p99, " + label, naive.p99, "us", Seed, NaiveRounds});
    report.add({"naive p50 over indexed p50, " + label, naive.median / indexed.median, "ratio",
                Seed, NaiveRounds});
}

/**
 * Keeps work of every team queued, ends tasks at random, and returns the largest deviation of a
 * team from its fair share, as a percentage of all running tasks.
 */
double largestShareDeviation(Policies policies, int teams, int rounds)
{
    SchedulerLoad load(std::move(policies), {1170, teams}, Seed);
    const auto refillQueues = [&] {
        // The first team always submits before the others and queues ten times as much.
        while (load.queuedOf(0) < 200)
            load.queue(0, 0);
        for (std::size_t team = 1; team < static_cast<std::size_t>(teams); ++team) {
            while (load.queuedOf(team) < 20)
                load.queue(team, 0);
        }
    };
    while (load.usedCores() < load.totalCores() * 49 / 100) {
        refillQueues();
        if (load.decide(1000) == 0)
            break;
    }
    const double share = 1.0 / teams;
    double worst = 0.0;
    for (int round = 0; round < rounds; ++round) {
        load.endRandom();
        refillQueues();
        load.decide(1);
        if (round < rounds / 2)
            continue;
        const auto total = static_cast<double>(load.running());
        for (std::size_t team = 0; team < static_cast<std::size_t>(teams); ++team) {
            const double fraction = static_cast<double>(load.runningOf(team).slots.value()) / total;
            worst = std::max(worst, std::abs(fraction - share));
        }
    }
    return worst * 100.0;
}

double packedFraction(Policies policies, std::uint32_t seed)
{
    SchedulerLoad load(std::move(policies), {50, 6}, seed);
    std::uint64_t consecutiveMisses = 0;
    // Jobs of three shapes arrive one at a time until ten in a row fit on no worker.
    while (consecutiveMisses < 10) {
        load.queue(load.random()() % 6, 1 + load.random()() % 3);
        if (load.decide(1) == 0)
            ++consecutiveMisses;
        else
            consecutiveMisses = 0;
    }
    return static_cast<double>(load.usedCores().value())
            / static_cast<double>(load.totalCores().value());
}

} // namespace

void measureDecisions(Report &report)
{
    for (const int workers : {50, 1170, 21'000}) {
        for (const int teams : {6, 360})
            measureSize(report, {workers, teams});
    }
}

void measureShares(Report &report)
{
    constexpr int Rounds = 150'000;
    report.add({"largest distance from a share, 6 teams",
                largestShareDeviation(Policies::standard(), 6, Rounds), "% of the whole", Seed,
                Rounds});
    report.add({"naive largest distance from a share, 6 teams",
                largestShareDeviation(Policies::naive(), 6, Rounds), "% of the whole", Seed,
                Rounds});
}

void measurePacking(Report &report)
{
    constexpr std::uint32_t Runs = 20;
    double indexed = 0.0;
    double naive = 0.0;
    for (std::uint32_t seed = 1; seed <= Runs; ++seed) {
        indexed += packedFraction(Policies::standard(), seed) / Runs;
        naive += packedFraction(Policies::naive(), seed) / Runs;
    }
    report.add({"cores used when the next job does not fit", indexed * 100.0, "%", 1, Runs});
    report.add({"naive cores used when the next job does not fit", naive * 100.0, "%", 1, Runs});
}

} // namespace gentiancross::benchmarks
