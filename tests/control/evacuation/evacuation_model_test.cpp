#include "tests/control/jobs/cell_model.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

// Guards against starts in an evacuated data centre under faults of workers, calls and leaders, and
// against work that is lost or runs twice by it.
TEST_CASE("Under faults nothing starts in an evacuated data centre, and all work ends", "[model]")
{
    constexpr std::uint32_t Seeds = 20;
    ModelPlan plan;
    plan.durationMs = 60'000;
    plan.lostCallRatio = 0.03;
    plan.lostAnswerRatio = 0.03;
    plan.lateCallRatio = 0.03;
    plan.crashIntervalMs = 8000;
    plan.disconnectIntervalMs = 8000;
    plan.leaderChangeIntervalMs = 7000;
    plan.evacuationIntervalMs = 12'000;
    std::size_t jobs = 0;
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        CellModel model(seed, plan);
        model.run();
        jobs += model.completedJobs();
        INFO("seed " << seed);
        for (const std::string &violation : model.violations())
            UNSCOPED_INFO(violation);
        CHECK(model.violations().empty());
    }
    CHECK(jobs > Seeds);
}
