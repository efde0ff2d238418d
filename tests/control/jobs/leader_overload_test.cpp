#include "tests/control/jobs/leader_bench.h"
#include "tests/control/jobs/loaded_cell.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** With 0.4 of a core, the leader of `LoadedCell` starts about this many tasks per second. */
constexpr double CapacityTasksPerSecond = 450;
constexpr double LowTasksPerSecond = 250;
/** By the platform's terms a job is late, but not yet worthless, up to three times the objective
 * of a long task. */
constexpr milliseconds MaxUsefulDelay{26'400};

/** Throughput during and after a burst on a cell that is lightly loaded before and after. */
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

// Guards against congestion collapse of an overloaded leader: orders wait until they have expired,
// are decided again and wait again, while leases expire and nothing is served after the burst.
TEST_CASE("A leader at twice its load keeps working at capacity, and no lease lapses")
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
    // The first tasks of a burst end only after their run time.
    CHECK(double(burst.doneInBurst) > 4 * CapacityTasksPerSecond * 0.7);
    CHECK(double(burst.doneAfterwards) > 4 * CapacityTasksPerSecond * 0.8);
}

TEST_CASE("A leader below its capacity delays no task")
{
    LoadedCell cell({350, 4000, 1});
    const BurstOutcome burst = runBurst(cell, 1400);
    CHECK(cell.witness().lapsedLeases() == 0);
    CHECK(cell.witness().tasksDone() == cell.tasksAccepted());
    CHECK(burst.doneInBurst > 4 * 1400 * 0.7);
    CHECK(cell.sender().longestWait() < milliseconds(20));
}

// Guards against a duplicate run of a completed task: an overloaded leader considered the run
// lapsed while the list that reported its completion was in transit.
TEST_CASE("A completion is not acknowledged if its list was in transit when the task was started "
          "elsewhere")
{
    const std::string job = "00000000000000aa";
    constexpr CompletionNumber End{4};
    LeaderBench bench;
    bench.configure();
    bench.advance(8000);
    bench.sendHeartbeat("v");
    bench.submit(job, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    const std::int64_t listedAt = bench.now().value();
    std::vector<CallWorker> elsewhere;
    for (int step = 0; elsewhere.empty() && step < 120; ++step) {
        bench.advance(100);
        bench.sendHeartbeat("w");
        // After these steps the worker's answers stay in transit.
        constexpr int AnsweredSteps = 20;
        if (const auto renewal = step < AnsweredSteps ? bench.takeLeaseRenewal("v") : std::nullopt)
            bench.answer(*renewal, WorkerVerdict::NoAnswer);
        elsewhere = bench.takeStarts();
    }
    REQUIRE(elsewhere.size() == 1);
    REQUIRE(elsewhere[0].incarnation.worker.value() == "w");
    bench.answer(elsewhere[0], WorkerVerdict::Done);
    bench.answerLeaseRenewal(
            "v", {}, {{End, makeTask(job, 0, 0), RunNumber(1), RunEnding::Done, {}}}, listedAt);
    // Every worker has a run, so that the leader renews its lease and asks for its runs.
    bench.sendHeartbeat("v");
    bench.submit("00000000000000bb", {makeStep(17, 100)});
    for (const CallWorker &start : bench.takeStarts())
        bench.answer(start, WorkerVerdict::Done);
    bench.advance(1000);
    const std::optional<CallWorker> renewal = bench.takeLeaseRenewal("v");
    REQUIRE(renewal.has_value());
    CHECK(std::get<OrderLeaseRenewal>(renewal->order).durableUpTo < End);
}
