#include "tests/control/jobs/leader_bench.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

// Guards against a start that leaves before its record is durable, if starts are ever decided while
// records of the same task are on their way: a successor would not know of that run.
TEST_CASE("A start decided while an earlier one of its task is not durable yet waits for its own")
{
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("v");
    bench.pauseLog();
    bench.submit("00000000000000aa", {makeStep(1, 100)});
    bench.sendHeartbeat("w");
    bench.sendHeartbeat("v", 1, true);
    bench.call(WorkerLeave{WorkerId("v")});
    bench.commitOldest();
    CHECK(bench.takeStarts().empty());
    bench.resumeLog();
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].incarnation == makeIncarnation("w"));
    CHECK(std::get<OrderStart>(starts[0].order).run == RunNumber(2));
}
