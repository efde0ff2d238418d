#include "tests/control/jobs/leader_bench.h"
#include "tests/control/jobs/loaded_cell.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** With 0.4 of a core the leader of `LoadedCell` starts about this many tasks a second. */
constexpr double Capacity = 450;
constexpr double CalmRate = 250;
/** What the platform's terms make late, but not worthless: three times a long task's objective. */
constexpr milliseconds LatestUse{26'400};

/** What a burst does to a cell that is calm before and after. */
struct BurstOutcome
{
    std::size_t doneInBurst = 0;
    std::size_t doneAfterwards = 0;
};

BurstOutcome runBurst(LoadedCell &cell, double tasksPerSecond)
{
    cell.run(seconds(8), CalmRate);
    const std::size_t before = cell.witness().tasksDone();
    cell.run(seconds(4), tasksPerSecond);
    const std::size_t during = cell.witness().tasksDone();
    cell.run(seconds(4), CalmRate);
    const std::size_t after = cell.witness().tasksDone();
    cell.run(seconds(14), CalmRate);
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
    const BurstOutcome burst = runBurst(cell, Capacity * 2);
    CAPTURE(seed, cell.tasksAccepted(), cell.witness().tasksDone(), cell.sender().unsent(),
            cell.sender().timeouts(), cell.sender().connectionsOpened());
    CHECK(cell.witness().runsTwice() == 0);
    CHECK(cell.witness().leasesLapsed() == 0);
    CHECK(cell.witness().tasksDone() == cell.tasksAccepted());
    CHECK(cell.servedWithin(LatestUse) > 0.9);
    // The first tasks of a burst take some time to end.
    CHECK(double(burst.doneInBurst) > 4 * Capacity * 0.7);
    CHECK(double(burst.doneAfterwards) > 4 * Capacity * 0.8);
}

TEST_CASE("A leader below its load makes no task wait")
{
    LoadedCell cell({350, 4000, 1});
    const BurstOutcome burst = runBurst(cell, 1400);
    CHECK(cell.witness().leasesLapsed() == 0);
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
    bench.pass(8000);
    bench.beat("v");
    bench.submit(job, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    std::vector<CallWorker> elsewhere;
    for (int step = 0; elsewhere.empty() && step < 120; ++step) {
        bench.pass(100);
        bench.beat("w");
        // From some moment on the worker's answers are under way.
        constexpr int SilentSteps = 20;
        if (const auto hold = step < SilentSteps ? bench.takeHold("v") : std::nullopt)
            bench.answer(*hold, WorkerVerdict::NoAnswer);
        elsewhere = bench.takeStarts();
    }
    REQUIRE(elsewhere.size() == 1);
    REQUIRE(elsewhere[0].incarnation.worker.value() == "w");
    bench.answer(elsewhere[0], WorkerVerdict::Done);
    bench.answerHold("v", {}, {{End, makeTask(job, 0, 0), RunNumber(1), RunEnding::Done, {}}});
    // Something runs on all workers, so that they are asked what does.
    bench.beat("v");
    bench.submit("00000000000000bb", {makeStep(17, 100)});
    for (const CallWorker &start : bench.takeStarts())
        bench.answer(start, WorkerVerdict::Done);
    bench.pass(1000);
    const std::optional<CallWorker> hold = bench.takeHold("v");
    REQUIRE(hold.has_value());
    CHECK(std::get<OrderLeaseRenewal>(hold->order).durableUpTo < End);
}
