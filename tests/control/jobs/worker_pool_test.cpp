#include "control/jobs/worker_pool.h"

#include "tests/control/jobs/job_fixture.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

TEST_CASE("A heartbeat that was long on its way makes no lease shorter")
{
    constexpr std::int64_t Clock = 10'000;
    const Instant start(1'000'000);
    const Instant later = start + Milliseconds(1500);
    WorkerReport report;
    report.life = makeLife("w");
    WorkerPool pool(start);
    PooledWorker &worker = pool.put(start, report);
    WorkerPool::tellClock(worker, start, Clock);
    WorkerPool::tellClockOfBeat(worker, later, Clock - 1000);
    CHECK(WorkerPool::grant(worker, later) == Clock + 1500 + WorkerPool::LeaseLength.value());
    // Nor does one that tells of the time before the newest answer.
    WorkerPool::tellClockOfBeat(worker, start - Milliseconds(500), Clock - 500);
    CHECK(worker.clockAt == start);
}
