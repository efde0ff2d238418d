#include "control/jobs/advice_lookahead.h"
#include "control/jobs/room_holds.h"
#include "tests/control/jobs/leader_bench.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

constexpr Instant Now{100'000};
const StepRef step{JobId("00000000000000aa"), 0, 0};

ReadyStep readyFor(WaitReason reason)
{
    ReadyStep ready;
    ready.reason = reason;
    ready.step = step;
    return ready;
}

} // namespace

// Guards against a step that keeps others from starting for good, and against one that is starved
// by smaller ones.
TEST_CASE("A step that does not start holds room for one term and passes for the next")
{
    constexpr Milliseconds LongestRestart{6000};
    RoomHolds holds;
    const ReadyStep start = readyFor(WaitReason::Start);
    CHECK(holds.mayHold(Now, start));
    holds.recordWaiting(Now, step);
    CHECK(holds.mayHold(Now + Milliseconds(9999), start));
    CHECK_FALSE(holds.mayHold(Now + Milliseconds(10'000), start));
    CHECK(holds.mayHold(Now + Milliseconds(20'000), start));
    // Other long-running tasks are to be at work again in time.
    CHECK_FALSE(holds.mayHold(Now + LongestRestart / 2, readyFor(WaitReason::Restart)));
    SECTION("until it starts")
    {
        holds.end(step);
        CHECK(holds.mayHold(Now + Milliseconds(10'000), start));
    }
    SECTION("until its job is over")
    {
        holds.endJob(step.job);
        CHECK(holds.mayHold(Now + Milliseconds(10'000), start));
    }
}

// Guards against tasks that keep back room which they don't fit in.
TEST_CASE("A step that passes claims only room that its tasks fit in now")
{
    JobStoreData data;
    data.document = makeDocument();
    TeamUsage usage(data);
    WorkerPool pool{Instant()};
    WorkerReport report;
    report.incarnation = makeIncarnation("w");
    report.pool = PoolId("pool");
    report.capacity.cores = MilliCores(1000);
    report.capacity.memory = Mebibytes(10'000);
    PooledWorker &worker = pool.addOrUpdate(Now, report);
    WorkerPool::setClock(worker, Now, 1);
    worker.reserved.cores = MilliCores(500);
    AdviceLookahead lookahead(Now, usage, pool);
    for (const char *const id : {"00000000000000aa", "00000000000000bb"})
        jobstore::apply(data, makeJob(id, {makeStep(1, 800)}), nullptr);
    const Job &large = data.jobs.at(JobId("00000000000000aa"));
    const StepSpec small = makeStep(1, 400);
    const Advice none(Now, nullptr);
    const bool mayHold = GENERATE(false, true);
    CHECK(lookahead.claim(large, large.spec.steps[0], none, 1, mayHold) == mayHold);
    CHECK(lookahead.claim(large, small, none, 1, true) == !mayHold);
}
