#include "control/jobs/worker_pool.h"

#include "control/jobs/start_policy.h"
#include "tests/control/jobs/job_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace gentiancross;
using namespace gentiancross::tests;

// Guards against a successor that treats a run as lapsed while the worker still holds a lease.
TEST_CASE("A lease is not longer than LeaseLength on a slow clock that was read long ago")
{
    constexpr std::int64_t Idle = 200'000;
    constexpr std::int64_t SlowestClock = Idle * 98 / 100;
    PooledWorker worker;
    WorkerPool::setClock(worker, Instant(0), 0);
    const std::optional<std::int64_t> until = WorkerPool::grant(worker, Instant(Idle));
    REQUIRE(until.has_value());
    CHECK(*until <= SlowestClock + WorkerPool::LeaseLength.value());
}

// Guards against leases of an idle worker that have already expired when they arrive.
TEST_CASE("A heartbeat updates an idle worker's clock, and a delayed one changes nothing")
{
    constexpr std::int64_t Idle = 200'000;
    PooledWorker worker;
    WorkerPool::advanceClock(worker, Instant(0), 0);
    WorkerPool::advanceClock(worker, Instant(Idle), Idle);
    CHECK(WorkerPool::grant(worker, Instant(Idle)) == Idle + WorkerPool::LeaseLength.value());
    WorkerPool::advanceClock(worker, Instant(Idle), Idle - 5000);
    CHECK(worker.clock == Idle);
}

TEST_CASE("A delayed heartbeat does not shorten a lease")
{
    constexpr std::int64_t Clock = 10'000;
    const Instant start(1'000'000);
    const Instant later = start + Milliseconds(1500);
    WorkerReport report;
    report.incarnation = makeIncarnation("w");
    WorkerPool pool(start);
    PooledWorker &worker = pool.addOrUpdate(start, report);
    WorkerPool::setClock(worker, start, Clock);
    WorkerPool::advanceClock(worker, later, Clock - 1000);
    CHECK(WorkerPool::grant(worker, later) == Clock + 1470 + WorkerPool::LeaseLength.value());
    // Nor does a heartbeat sent before the newest answer.
    WorkerPool::advanceClock(worker, start - Milliseconds(500), Clock - 500);
    CHECK(worker.clockAt == start);
}

// Guards against an index that lags behind the workers' reports, so that a step would never start.
TEST_CASE("The pool knows whether a worker could hold a step exactly when a look at each says so")
{
    const std::uint32_t seed = GENERATE(range(1U, 21U));
    std::minstd_rand random(seed);
    const auto draw = [&](std::uint32_t below) { return std::int64_t(random() % below); };
    const std::vector<std::string> labels = {"a", "b", "c"};
    WorkerPool pool{Instant()};
    for (int round = 0; round < 200; ++round) {
        WorkerReport report;
        report.incarnation = makeIncarnation("w" + std::to_string(draw(6)));
        report.pool = PoolId("pool" + std::to_string(draw(2)));
        report.capacity.cores = MilliCores(draw(5) * 1000);
        report.capacity.memory = Mebibytes(draw(5) * 1000);
        report.capacity.accelerators = Accelerators(draw(2));
        report.labels = {labels[std::size_t(draw(3))]};
        if (draw(4) == 0)
            pool.remove(report.incarnation);
        else
            pool.addOrUpdate(Instant(1), report);
        StepSpec step = makeStep(1, draw(5) * 1000);
        step.perTask.memory = Mebibytes(draw(5) * 1000);
        step.perTask.accelerators = Accelerators(draw(2));
        step.isBestEffort = draw(3) == 0;
        step.requiredLabel = draw(2) == 0 ? std::string() : labels[std::size_t(draw(3))];
        const PoolId asked("pool" + std::to_string(draw(2)));
        const bool isHeld
                = std::any_of(pool.all().begin(), pool.all().end(), [&](const auto &entry) {
                      return couldRunWhenIdle(entry.second, asked, step);
                  });
        CAPTURE(seed, round);
        CHECK(pool.canHold(asked, step) == isHeld);
    }
}
