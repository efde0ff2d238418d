#include "tests/control/jobs/leader_bench.h"
#include "tests/control/jobs/loaded_cell.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** With 0.4 of a core the leader of `LoadedCell` starts about this many tasks a second. */
constexpr double CapacityTasksPerSecond = 450;
constexpr double LowTasksPerSecond = 250;
/** What the platform's terms make late, but not worthless: three times a long task's objective. */
constexpr milliseconds MaxUsefulDelay{26'400};

/** What a burst does to a cell that is calm before and after. */
struct BurstOutcome
{
    std::size_t doneInBurst = 0;
    std::size_t doneAfterwards = 0;
};

BurstOutcome runBurst(LoadedCell &cell, double tasksPerSecond)
{
    cell.run(seconds(8), LowTasksPerSecond);
    const std::size_t before = cell.witness().tasksDone();
    cell.run(seconds(4), tasksPerSecond);
    const std::size_t during = cell.witness().tasksDone();
    cell.run(seconds(4), LowTasksPerSecond);
    const std::size_t after = cell.witness().tasksDone();
    cell.run(seconds(14), LowTasksPerSecond);
    cell.run(seconds(14), 0);
    return {during - before, after - during};
}

} // namespace

// Guards against the collapse of a loaded leader: orders that wait until they are too old, are
// decided anew and wait again, while leases run out and nothing is served after the burst either.
TEST_CASE("A leader at twice its load goes on at its capacity, and no lease lapses")
{
    const std::uint32_t seed = GENERATE(1U, 2U, 3U);
    LoadedCell cell({350, 400, seed});
    const BurstOutcome burst = runBurst(cell, CapacityTasksPerSecond * 2);
    CAPTURE(seed, cell.tasksAccepted(), cell.witness().tasksDone(), cell.sender().unsent(),
            cell.sender().timeouts(), cell.sender().connectionsOpened());
    CHECK(cell.witness().duplicateRuns() == 0);
    CHECK(cell.witness().lapsedLeases() == 0);
    CHECK(cell.witness().tasksDone() == cell.tasksAccepted());
    CHECK(cell.ratioServedWithin(MaxUsefulDelay) > 0.9);
    // The first tasks of a burst take some time to end.
    CHECK(double(burst.doneInBurst) > 4 * CapacityTasksPerSecond * 0.7);
    CHECK(double(burst.doneAfterwards) > 4 * CapacityTasksPerSecond * 0.8);
}

TEST_CASE("A leader below its load makes no task wait")
{
    LoadedCell cell({350, 4000, 1});
    const BurstOutcome burst = runBurst(cell, 1400);
    CHECK(cell.witness().lapsedLeases() == 0);
    CHECK(cell.witness().tasksDone() == cell.tasksAccepted());
    CHECK(burst.doneInBurst > 4 * 1400 * 0.7);
    CHECK(cell.sender().longestWait() < milliseconds(20));
}

// Guards against a second run of a task that was done: a loaded leader had taken its run for lapsed
// while the list that told its end was under way.
TEST_CASE("An end is not noted if its list was under way when the task was started elsewhere")
{
    const std::string job = "00000000000000aa";
    constexpr CompletionNumber End{4};
    LeaderBench bench;
    bench.configure();
    bench.advance(8000);
    bench.sendHeartbeat("v");
    bench.submit(job, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    std::vector<CallWorker> elsewhere;
    for (int step = 0; elsewhere.empty() && step < 120; ++step) {
        bench.advance(100);
        bench.sendHeartbeat("w");
        // From some moment on the worker's answers are under way.
        constexpr int AnsweredSteps = 20;
        if (const auto renewal = step < AnsweredSteps ? bench.takeLeaseRenewal("v") : std::nullopt)
            bench.answer(*renewal, WorkerVerdict::NoAnswer);
        elsewhere = bench.takeStarts();
    }
    REQUIRE(elsewhere.size() == 1);
    REQUIRE(elsewhere[0].incarnation.worker.value() == "w");
    bench.answer(elsewhere[0], WorkerVerdict::Done);
    bench.answerLeaseRenewal("v", {},
                             {{End, makeTask(job, 0, 0), RunNumber(1), RunEnding::Done, {}}});
    // Something runs on all workers, so that they are asked what does.
    bench.sendHeartbeat("v");
    bench.submit("00000000000000bb", {makeStep(17, 100)});
    for (const CallWorker &start : bench.takeStarts())
        bench.answer(start, WorkerVerdict::Done);
    bench.advance(1000);
    const std::optional<CallWorker> renewal = bench.takeLeaseRenewal("v");
    REQUIRE(renewal.has_value());
    CHECK(std::get<OrderLeaseRenewal>(renewal->order).durableUpTo < End);
}
