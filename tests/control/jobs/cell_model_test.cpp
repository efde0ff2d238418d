#include "tests/control/jobs/cell_model.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

/** Seeds per plan; override with GENTIANCROSS_MODEL_SEEDS="FIRST COUNT". */
constexpr std::uint32_t SeedCount = 40;
/** Seeds for plans with a hundred times as many tasks. */
constexpr std::uint32_t LongRunSeedCount = 6;

struct SeedRange
{
    std::uint32_t first;
    std::uint32_t count;
};

SeedRange seedRange(std::uint32_t seeds)
{
    SeedRange range{1, seeds};
    // No other code of the tests modifies the environment.
    const char *const text
            = std::getenv("GENTIANCROSS_MODEL_SEEDS"); // NOLINT(concurrency-mt-unsafe)
    if (text != nullptr) {
        char *rest = nullptr;
        range.first = std::uint32_t(std::strtoul(text, &rest, 10));
        range.count = std::uint32_t(std::strtoul(rest, nullptr, 10));
    }
    return range;
}

/** Runs the plan with each seed. If only one seed is given and it fails, prints its trace. */
void check(const ModelPlan &plan, std::uint32_t seeds = SeedCount)
{
    const SeedRange range = seedRange(seeds);
    std::size_t jobs = 0;
    std::size_t pendingCompletions = 0;
    for (std::uint32_t seed = range.first; seed < range.first + range.count; ++seed) {
        CellModel model(seed, plan);
        model.run();
        jobs += model.completedJobs();
        pendingCompletions = std::max(pendingCompletions, model.maxPendingCompletions());
        INFO("seed " << seed);
        for (const std::string &violation : model.violations())
            UNSCOPED_INFO(violation);
        if (range.count == 1 && !model.violations().empty()) {
            for (const std::string &line : model.trace())
                std::cout << line << "\n";
        }
        CHECK(model.violations().empty());
    }
    // Without completed jobs, the absence of violations would prove nothing.
    CHECK(jobs > range.count);
    if (range.count != seeds)
        std::cout << "jobs=" << jobs << " max pending completions=" << pendingCompletions << "\n";
}

} // namespace

TEST_CASE("Without faults all submitted jobs complete", "[model]")
{
    check({});
}

TEST_CASE("Lost, late and unsent calls cause no duplicate runs and no lost tasks", "[model]")
{
    ModelPlan plan;
    plan.lostCallRatio = 0.03;
    plan.lostAnswerRatio = 0.03;
    plan.lateCallRatio = 0.03;
    plan.delayedSendRatio = 0.03;
    check(plan);
}

TEST_CASE("Workers that are disconnected, pause, crash or leave cause no duplicate runs", "[model]")
{
    ModelPlan plan;
    plan.disconnectIntervalMs = 5000;
    plan.freezeIntervalMs = 7000;
    plan.crashIntervalMs = 7000;
    plan.drainIntervalMs = 12'000;
    check(plan);
}

TEST_CASE("Leader changes cause no duplicate runs and no lost tasks", "[model]")
{
    ModelPlan plan;
    plan.leaderChangeIntervalMs = 4000;
    plan.lostAnswerRatio = 0.02;
    plan.lateCallRatio = 0.02;
    check(plan);
}

TEST_CASE("All faults together make no task run twice and leave none behind", "[model]")
{
    ModelPlan plan;
    plan.lostCallRatio = 0.02;
    plan.lostAnswerRatio = 0.02;
    plan.lateCallRatio = 0.02;
    plan.delayedSendRatio = 0.02;
    plan.disconnectIntervalMs = 8000;
    plan.freezeIntervalMs = 11'000;
    plan.crashIntervalMs = 11'000;
    plan.leaderChangeIntervalMs = 7000;
    plan.drainIntervalMs = 20'000;
    check(plan);
}

// Guards against runs that begin seconds after their leader has given them up, and against orders
// for a worker that has restarted under its name. Orders that a worker holds are lost when it
// crashes.
TEST_CASE("Orders that are mostly carried out late cause no duplicate runs", "[model]")
{
    ModelPlan plan;
    plan.lateCallRatio = 0.4;
    plan.minLateMs = 2000;
    plan.maxLateMs = 12'000;
    plan.crashIntervalMs = 5000;
    plan.disconnectIntervalMs = 8000;
    check(plan);
}

// Guards against runs that count as lost because of a message that is not their worker's own.
TEST_CASE("Heartbeats of another writer and late leave calls cause no duplicate runs", "[model]")
{
    ModelPlan plan;
    plan.foreignHeartbeatIntervalMs = 700;
    plan.drainIntervalMs = 2500;
    plan.lateLeaveRatio = 0.5;
    plan.crashIntervalMs = 8000;
    check(plan);
}

TEST_CASE("Heartbeats of another writer beside other faults cause no duplicate runs", "[model]")
{
    ModelPlan plan;
    plan.foreignHeartbeatIntervalMs = 1500;
    plan.lostAnswerRatio = 0.02;
    plan.lateCallRatio = 0.02;
    plan.disconnectIntervalMs = 8000;
    plan.crashIntervalMs = 11'000;
    plan.leaderChangeIntervalMs = 7000;
    plan.drainIntervalMs = 10'000;
    plan.lateLeaveRatio = 0.3;
    check(plan);
}

TEST_CASE("Short tasks complete on workers that were disconnected while idle", "[model]")
{
    ModelPlan plan;
    plan.workers = 2;
    plan.taskDurationMs = 100;
    plan.maxTaskMillicores = 100;
    plan.jobIntervalMs = 60;
    plan.longRunningJobs = 0;
    plan.durationMs = 40'000;
    plan.disconnectIntervalMs = 9000;
    check(plan, LongRunSeedCount);
}

TEST_CASE("A leader change after a long idle period causes no duplicate runs", "[model]")
{
    ModelPlan plan;
    plan.faultFreeMs = 180'000;
    plan.durationMs = 200'000;
    plan.taskDurationMs = 6000;
    plan.jobIntervalMs = 2000;
    plan.longRunningJobs = 0;
    plan.leaderChangeIntervalMs = 3000;
    plan.disconnectIntervalMs = 3000;
    check(plan);
}
