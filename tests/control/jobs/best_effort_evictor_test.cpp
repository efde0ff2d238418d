#include "tests/control/jobs/leader_bench.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

constexpr std::uint32_t Fills = 3;
const std::string serving = "00000000000000aa";
const std::string batch = "00000000000000bb";
const std::string laterBatch = "00000000000000cc";

StepSpec makeServingStep()
{
    StepSpec step = makeStep(1, 100);
    step.isLongRunning = true;
    step.tailLatencyTarget = Milliseconds(200);
    return step;
}

StepSpec makeBestEffortStep()
{
    StepSpec step = makeStep(Fills, 100);
    step.isBestEffort = true;
    return step;
}

/** Answers the next lease renewal of the worker. */
void list(LeaderBench &bench, const std::string &worker, std::vector<ReportedRun> running,
          std::vector<ReportedCompletion> ended = {})
{
    bench.sendHeartbeat("w");
    bench.answerLeaseRenewal(worker, std::move(running), std::move(ended));
}

std::vector<ReportedRun> bestEffortRuns()
{
    std::vector<ReportedRun> runs;
    for (std::uint32_t index = 0; index < Fills; ++index)
        runs.push_back({makeTask(batch, 0, index), RunNumber(1), {}, 100, 0});
    return runs;
}

/** Starts a batch of best-effort tasks on "w". */
void startBatch(LeaderBench &bench, const StepSpec &step)
{
    bench.sendHeartbeat("w");
    bench.submit(batch, {step});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == Fills);
    for (const CallWorker &start : starts)
        bench.answer(start, WorkerVerdict::Done);
    list(bench, "w", bestEffortRuns());
}

/** Checks that the batch on "w" is stopped and the task that serves is started there, before more
 * best-effort tasks. */
void checkEviction(LeaderBench &bench)
{
    bench.advance(100);
    const std::vector<CallWorker> stops = bench.takeStops();
    REQUIRE(stops.size() == Fills);
    std::vector<ReportedCompletion> ended;
    for (std::uint32_t index = 0; index < Fills; ++index) {
        bench.answer(stops[index], WorkerVerdict::Done);
        ended.push_back({CompletionNumber(index + 1),
                         makeTask(batch, 0, index),
                         RunNumber(1),
                         RunEnding::Stopped,
                         {}});
    }
    bench.submit(laterBatch, {makeBestEffortStep()});
    CHECK(bench.takeStarts().empty());
    list(bench, "w", {}, ended);
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    CHECK(std::get<OrderStart>(starts[0].order).task.step.job == JobId(serving));
}

} // namespace

// Guards against a task that serves and is not started again, since best-effort tasks run on all
// workers.
TEST_CASE("Best-effort runs are stopped at once for the restart of a task with a latency target")
{
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("v");
    bench.submit(serving, {makeServingStep()});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    startBatch(bench, makeBestEffortStep());
    bench.sendHeartbeat("v", 1, true);
    list(bench, "v", {},
         {{CompletionNumber(1), makeTask(serving, 0, 0), RunNumber(1), RunEnding::Failed, {}}});
    checkEviction(bench);
}

TEST_CASE("Best-effort runs are stopped for the first start of a task with a latency target")
{
    constexpr std::int64_t Patience = 2000;
    constexpr std::int64_t Step = 200;
    LeaderBench bench;
    bench.configure();
    startBatch(bench, makeBestEffortStep());
    bench.submit(serving, {makeServingStep()});
    for (std::int64_t passed = 0; passed < Patience; passed += Step) {
        CHECK(bench.takeStops().empty());
        list(bench, "w", bestEffortRuns());
    }
    checkEviction(bench);
}

// Guards against tasks that the system itself disrupts beyond their step's budget.
TEST_CASE("Best-effort runs of a step with a disruption budget are not stopped")
{
    LeaderBench bench;
    bench.configure();
    StepSpec lasting = makeBestEffortStep();
    lasting.isLongRunning = true;
    lasting.disruptionBudget = 1;
    startBatch(bench, lasting);
    bench.submit(serving, {makeServingStep()});
    for (int step = 0; step < 20; ++step) {
        list(bench, "w", bestEffortRuns());
        CHECK(bench.takeStops().empty());
    }
}
