#include "tests/control/jobs/leader_bench.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

const std::string jobA = "00000000000000aa";

JobState stateOf(const CallAnswer &answer)
{
    return std::get<JobStateReport>(answer).state;
}

/** A heartbeat of worker "w", used as a late or malformed one. */
WorkerHeartbeat makeHeartbeat(std::uint64_t sequence)
{
    WorkerHeartbeat heartbeat;
    heartbeat.report.incarnation = makeIncarnation("w");
    heartbeat.report.pool = PoolId("pool");
    heartbeat.report.address = "w:1";
    heartbeat.report.capacity = {MilliCores(1000), Mebibytes(10'000), Accelerators(0), Slots(0)};
    heartbeat.clock = 10'000;
    heartbeat.sequence = sequence;
    return heartbeat;
}

std::size_t occurrencesOf(LeaderBench &bench, const std::string &job)
{
    return bench.leader().store().jobs.at(JobId(job)).occurrences.size();
}

} // namespace

// Guards against a listed end of a run that was never ordered, which completed its task although it
// had not run.
TEST_CASE("An end of a run that was never ordered completes nothing")
{
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("w");
    bench.submit(jobA, {makeStep(1, 100)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    bench.answer(starts[0], WorkerVerdict::Done);
    const ReportedRun running{makeTask(jobA, 0, 0), RunNumber(1), {}, 100, 0};
    const ReportedCompletion jump{
            CompletionNumber(1), makeTask(jobA, 0, 0), RunNumber(1ULL << 60), RunEnding::Done, {}};
    bench.answerLeaseRenewal("w", {running}, {jump});
    CHECK(stateOf(bench.queryJob(jobA)) == JobState::Running);
}

// Guards against unbounded memory use by a job whose occurrences fall due faster than they end.
TEST_CASE("A job that is always due begins no more occurrences than the limit of tasks allows")
{
    constexpr std::uint32_t Tasks = 5000;
    constexpr std::size_t MaxUnderWay = 20'000 / Tasks;
    LeaderBench bench;
    bench.configure();
    JobSpec spec;
    spec.steps = {makeStep(Tasks, 100)};
    spec.repeats = 4'000'000'000;
    bench.call(JobCall{JobVerb::Submit, "h", "/q/" + jobA, ApiKey("key-of-alpha"), spec, {}});
    bench.advance(3000);
    CHECK(occurrencesOf(bench, jobA) > 0);
    CHECK(occurrencesOf(bench, jobA) <= MaxUnderWay);
}

// Guards against using a worker that has left because of a heartbeat that was still in flight.
TEST_CASE("A worker that has left is not used again when an earlier heartbeat arrives late")
{
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("w");
    bench.sendHeartbeat("w", 1, true);
    bench.call(WorkerLeave{WorkerId("w")});
    bench.call(makeHeartbeat(1));
    bench.submit(jobA, {makeStep(1, 100)});
    CHECK(bench.takeStarts().empty());
    // The next incarnation of the same name counts as another worker, once it has answered.
    bench.sendHeartbeat("w", 2);
    CHECK(bench.takeStarts().empty());
    bench.confirm("w", 2);
    CHECK(bench.takeStarts().size() == 1);
}

// Guards against a successor that uses a worker which had left under its predecessor.
TEST_CASE("A worker that has left is not used by the next leader either")
{
    LeaderBench first;
    first.configure();
    first.sendHeartbeat("w");
    first.sendHeartbeat("w", 1, true);
    first.call(WorkerLeave{WorkerId("w")});
    LeaderBench second(first.leader().store());
    second.call(makeHeartbeat(1));
    second.submit(jobA, {makeStep(1, 100)});
    CHECK(second.takeStarts().empty());
}

// Guards against a malformed age that makes a worker count as alive for ever.
TEST_CASE("A heartbeat with a negative age does not keep a silent worker in use")
{
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("w");
    const AcknowledgedHeartbeat future{makeIncarnation("w"), 2, 10'000,
                                       Milliseconds(-1'000'000'000)};
    bench.receive(HeartbeatsReport{{future}});
    bench.advance(20'000);
    CHECK(bench.leader().store().workers.empty());
}

// Guards against an odd heartbeat with a healthy worker's name or address, which made its runs
// start elsewhere while they were executing.
TEST_CASE("A heartbeat with a birth in the future replaces no worker and ends no run")
{
    constexpr std::int64_t Future = 1'000'000 + 3'600'000;
    const std::string name = GENERATE("w", "odd");
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("w");
    bench.submit(jobA, {makeStep(1, 100)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    bench.answer(starts[0], WorkerVerdict::Done);
    bench.sendHeartbeat("v");
    WorkerHeartbeat odd = makeHeartbeat(1);
    odd.report.incarnation = makeIncarnation(name, Future);
    CHECK(std::holds_alternative<CallRefused>(bench.call(odd)));
    CHECK(bench.takeStarts().empty());
    CHECK(bench.leader().store().workers.contains(makeIncarnation("w")));
    CHECK_FALSE(bench.leader().store().workers.contains(odd.report.incarnation));
}

// Guards against an odd sequence number, after which a worker's own heartbeats counted as late.
TEST_CASE("A heartbeat whose sequence number jumps does not make a worker silent")
{
    const std::uint64_t jump = GENERATE(std::uint64_t(100), std::uint64_t(1) << 31);
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("w");
    SECTION("sent to the leader")
    {
        CHECK(std::holds_alternative<CallRefused>(bench.call(makeHeartbeat(jump))));
    }
    SECTION("reported by another host")
    {
        bench.receive(HeartbeatsReport{{{makeIncarnation("w"), jump, 10'000, {}}}});
    }
    for (int beat = 0; beat < 10; ++beat) {
        bench.advance(1500);
        bench.sendHeartbeat("w");
    }
    bench.submit(jobA, {makeStep(1, 100)});
    CHECK(bench.takeStarts().size() == 1);
}

// Guards against an odd clock, by which a lease counted as lapsed while the worker still held it.
TEST_CASE("A heartbeat whose clock jumps ends no run and extends no lease")
{
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("w");
    const std::int64_t offset = GENERATE(5'000, 3'600'000);
    SECTION("while a run is executing")
    {
        bench.advance(4000); // A new leader counts no lease as lapsed earlier.
        bench.sendHeartbeat("w");
        bench.submit(jobA, {makeStep(1, 100)});
        const std::vector<CallWorker> starts = bench.takeStarts();
        REQUIRE(starts.size() == 1);
        bench.answer(starts[0], WorkerVerdict::Done);
        bench.sendHeartbeat("v");
        bench.sendHeartbeatAt("w", bench.now().value() + offset);
        bench.advance(200);
        CHECK(bench.takeStarts().empty());
    }
    SECTION("while the worker is idle")
    {
        bench.sendHeartbeatAt("w", bench.now().value() + offset);
        bench.submit(jobA, {makeStep(1, 100)});
        const std::vector<CallWorker> starts = bench.takeStarts();
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].leaseUntil <= bench.now().value() + WorkerPool::LeaseLength.value());
    }
}

// Guards against a record with more tasks than fit in memory, which would crash every keeper.
TEST_CASE("A record of a job that no caller may submit is ignored")
{
    JobStoreData store;
    jobstore::apply(store, makeJob(jobA, {makeStep(4'000'000'000, 100)}), nullptr);
    CHECK(store.jobs.empty());
    jobstore::apply(store, makeJob(jobA, {makeStep(1, 100), makeStep(1, 100, {7})}), nullptr);
    CHECK(store.jobs.empty());
    jobstore::apply(store, makeJob(jobA, {makeStep(1, 100), makeStep(1, 100, {0})}), nullptr);
    CHECK(store.jobs.size() == 1);
}
