#include "tests/control/jobs/restart_search.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

/** The shortest sequence in which an acknowledgement meets a later incarnation has six events. */
constexpr std::size_t MaxEvents = 6;
constexpr std::size_t MinStates = 10'000;

} // namespace

// Guards against tasks that start again, since an acknowledgement for one incarnation of a worker
// made the next one drop the end of a run.
TEST_CASE("No order of calls makes a restarted worker drop an end that the leader has not recorded")
{
    ScenarioStart start;
    SECTION("the clock tells the incarnations apart")
    {
        start.clock = 10'000;
        start.hasOtherRun = true;
    }
    SECTION("the clock does not tell them apart")
    {
        start.clock = 0;
    }
    RestartSearch search(start, MaxEvents);
    search.run();
    INFO(search.example());
    CHECK(search.violations() == 0);
    CHECK(search.visited() > MinStates);
    CHECK(search.visitedAfterRestart() > MinStates);
}
