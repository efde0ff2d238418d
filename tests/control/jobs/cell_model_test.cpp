#include "tests/control/jobs/cell_model.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

/** Seeds of each kind of run; more by hand with GENTIANCROSS_MODEL_SEEDS="FIRST COUNT". */
constexpr std::uint32_t Seeds = 40;
/** For runs with a hundred times as many tasks. */
constexpr std::uint32_t FewSeeds = 6;

struct SeedRange
{
    std::uint32_t first;
    std::uint32_t count;
};

SeedRange seedRange(std::uint32_t seeds)
{
    SeedRange range{1, seeds};
    // Nothing else in the tests changes the environment.
    const char *const text
            = std::getenv("GENTIANCROSS_MODEL_SEEDS"); // NOLINT(concurrency-mt-unsafe)
    if (text != nullptr) {
        char *rest = nullptr;
        range.first = std::uint32_t(std::strtoul(text, &rest, 10));
        range.count = std::uint32_t(std::strtoul(rest, nullptr, 10));
    }
    return range;
}

/** Plays the plan with each seed; prints the trace of a single one that fails. */
void check(const ModelPlan &plan, std::uint32_t seeds = Seeds)
{
    const SeedRange range = seedRange(seeds);
    std::size_t jobs = 0;
    std::size_t ends = 0;
    for (std::uint32_t seed = range.first; seed < range.first + range.count; ++seed) {
        CellModel model(seed, plan);
        model.play();
        jobs += model.jobsDone();
        ends = std::max(ends, model.mostEndsKept());
        INFO("seed " << seed);
        for (const std::string &fault : model.faults())
            UNSCOPED_INFO(fault);
        if (range.count == 1 && !model.faults().empty()) {
            for (const std::string &line : model.trace())
                std::cout << line << "\n";
        }
        CHECK(model.faults().empty());
    }
    // A model in which nothing runs shows nothing.
    CHECK(jobs > range.count);
    if (range.count != seeds)
        std::cout << "jobs=" << jobs << " most ends kept=" << ends << "\n";
}

} // namespace

TEST_CASE("Without faults all that is handed in is done", "[model]")
{
    check({});
}

TEST_CASE("Lost, late and unsent calls make no task run twice and leave none behind", "[model]")
{
    ModelPlan plan;
    plan.lostCalls = 0.03;
    plan.lostAnswers = 0.03;
    plan.lateCalls = 0.03;
    plan.heldCalls = 0.03;
    check(plan);
}

TEST_CASE("Workers that are cut off, pause, crash or leave make no task run twice", "[model]")
{
    ModelPlan plan;
    plan.cutPause = 5000;
    plan.freezePause = 7000;
    plan.crashPause = 7000;
    plan.drainPause = 12'000;
    check(plan);
}

TEST_CASE("Changes of leaders make no task run twice and leave none behind", "[model]")
{
    ModelPlan plan;
    plan.leaderPause = 4000;
    plan.lostAnswers = 0.02;
    plan.lateCalls = 0.02;
    check(plan);
}

TEST_CASE("All faults together make no task run twice and leave none behind", "[model]")
{
    ModelPlan plan;
    plan.lostCalls = 0.02;
    plan.lostAnswers = 0.02;
    plan.lateCalls = 0.02;
    plan.heldCalls = 0.02;
    plan.cutPause = 8000;
    plan.freezePause = 11'000;
    plan.crashPause = 11'000;
    plan.leaderPause = 7000;
    plan.drainPause = 20'000;
    check(plan);
}

TEST_CASE("Short tasks on workers that were cut off while idle are all done", "[model]")
{
    ModelPlan plan;
    plan.workers = 2;
    plan.taskTime = 100;
    plan.cores = 100;
    plan.jobPause = 60;
    plan.lastingJobs = 0;
    plan.length = 40'000;
    plan.cutPause = 9000;
    check(plan, FewSeeds);
}

TEST_CASE("A change of leaders after long idleness makes no task run twice", "[model]")
{
    ModelPlan plan;
    plan.calm = 180'000;
    plan.length = 200'000;
    plan.taskTime = 6000;
    plan.jobPause = 2000;
    plan.lastingJobs = 0;
    plan.leaderPause = 3000;
    plan.cutPause = 3000;
    check(plan);
}
