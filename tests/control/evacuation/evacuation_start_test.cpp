#include "tests/control/evacuation/evacuation_bench.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

using Workers = std::set<std::string>;
const std::string job = "00000000000000aa";
constexpr AdviceTerms Terms{26'000, 380, Milliseconds(2000)};

StepSpec makeLongRunning(std::uint32_t count, std::int64_t cores)
{
    StepSpec step = makeStep(count, cores);
    step.isLongRunning = true;
    return step;
}

} // namespace

// Each of these guards against one kind of start in a data centre that the operator empties, and
// against a start that is not made once the order is withdrawn.
TEST_CASE("First starts leave an evacuated data centre out until the order is withdrawn")
{
    EvacuationBench bench;
    bench.heartbeat("a1");
    REQUIRE(bench.begin("a"));
    // Workers that register later are left out too.
    bench.heartbeat("a2");
    const bool isGang = GENERATE(false, true);
    StepSpec step = makeStep(2, 600);
    step.isGang = isGang;
    bench.submit(job, {step});
    bench.heartbeat("b1");
    bench.advance(1000);
    CHECK(bench.takeStartedWorkers() == (isGang ? Workers() : Workers{"b1"}));
    REQUIRE(bench.finish("a"));
    bench.heartbeat("a1");
    CHECK(bench.takeStartedWorkers().size() == (isGang ? 2 : 1));
}

TEST_CASE("The next occurrence of a repeating job leaves an evacuated data centre out")
{
    EvacuationBench bench;
    bench.heartbeat("a1");
    JobSpec spec;
    spec.steps = {makeStep(1, 100)};
    spec.repeats = 2;
    spec.period = Milliseconds(1'000'500);
    bench.call(JobCall{JobVerb::Submit, "h", "/q/" + job, ApiKey("key-of-alpha"), spec, {}});
    bench.advance(100);
    REQUIRE(bench.takeStartedWorkers() == Workers{"a1"});
    REQUIRE(bench.begin("a"));
    bench.heartbeat("b1");
    bench.advance(1000);
    CHECK(bench.takeStartedWorkers() == Workers{"b1"});
}

TEST_CASE("A task that has failed or must be restarted leaves an evacuated data centre out")
{
    EvacuationBench bench;
    bench.heartbeat("a1");
    const bool isLongRunning = GENERATE(false, true);
    bench.submit(job, {isLongRunning ? makeLongRunning(1, 100) : makeStep(1, 100)});
    REQUIRE(bench.takeStartedWorkers() == Workers{"a1"});
    REQUIRE(bench.begin("a"));
    bench.heartbeat("b1");
    bench.answerLeaseRenewal(
            "a1", {},
            {{CompletionNumber(1), makeTask(job, 0, 0), RunNumber(1), RunEnding::Failed}});
    bench.advance(100);
    CHECK(bench.takeStartedWorkers() == Workers{"b1"});
}

TEST_CASE("A start that waits for the log is abandoned when its data centre is evacuated")
{
    EvacuationBench bench;
    bench.heartbeat("a1");
    const bool isGang = GENERATE(false, true);
    if (isGang)
        bench.heartbeat("b1");
    StepSpec step = makeStep(isGang ? 2 : 1, 600);
    step.isGang = isGang;
    bench.pauseLog();
    bench.submit(job, {step});
    bench.call(BeginEvacuation{DataCentreId("a"), {}});
    bench.resumeLog();
    CHECK(bench.takeStarts().empty());
    bench.heartbeat("b1");
    bench.heartbeat("b2");
    CHECK(bench.takeStartedWorkers() == (isGang ? Workers{"b1", "b2"} : Workers{"b1"}));
}

TEST_CASE("An unanswered start is not sent again to an evacuated data centre")
{
    EvacuationBench bench;
    bench.heartbeat("a1");
    bench.submit(job, {makeStep(1, 100)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    REQUIRE(bench.begin("a"));
    bench.answer(starts[0], WorkerVerdict::NoAnswer);
    bench.heartbeat("b1");
    bench.advance(500);
    CHECK(bench.takeStarts().empty());
    SECTION("a run that the worker lists continues")
    {
        bench.answerLeaseRenewal("a1", {{makeTask(job, 0, 0), RunNumber(1), {}, 100, 0}});
        bench.advance(1000);
        CHECK(bench.takeStops().empty());
        CHECK(bench.takeStarts().empty());
    }
    SECTION("a run that it does not list is stopped, and the task starts elsewhere")
    {
        bench.answerLeaseRenewal("a1", {});
        bench.advance(200);
        const std::vector<CallWorker> stops = bench.takeStops();
        REQUIRE(stops.size() == 1);
        bench.answer(stops[0], WorkerVerdict::Done);
        bench.answerLeaseRenewal("a1", {});
        bench.answerLeaseRenewal("a1", {});
        bench.heartbeat("b1");
        CHECK(bench.takeStartedWorkers() == Workers{"b1"});
    }
    SECTION("a worker that stays silent loses the run with its lease")
    {
        // The start may still arrive for some time after the lease.
        Workers started;
        for (int second = 0; second < 25; ++second) {
            bench.advance(1000);
            bench.heartbeat("b1");
            while (const std::optional<CallWorker> renewal = bench.takeLeaseRenewal("a1"))
                bench.answer(*renewal, WorkerVerdict::NoAnswer);
            started.merge(bench.takeStartedWorkers());
        }
        CHECK(started == Workers{"b1"});
    }
}

TEST_CASE("A run in an evacuated data centre keeps its lease, and its end counts")
{
    EvacuationBench bench;
    bench.heartbeat("a1");
    bench.submit(job, {makeStep(1, 100)});
    REQUIRE(bench.takeStartedWorkers() == Workers{"a1"});
    REQUIRE(bench.begin("a"));
    CHECK(bench.list().evacuated.at(0).runs == 1);
    bench.advance(1000);
    const std::optional<CallWorker> renewal = bench.takeLeaseRenewal("a1");
    REQUIRE(renewal.has_value());
    CHECK(renewal->leaseUntil > bench.now().value());
    bench.answerWithRuns(
            *renewal, {},
            {{CompletionNumber(1), makeTask(job, 0, 0), RunNumber(1), RunEnding::Done, {}}});
    CHECK(std::get<JobStateReport>(bench.queryJob(job)).state == JobState::Completed);
    CHECK(bench.takeStops().empty());
}

TEST_CASE("Tickets for an evacuated data centre are not used, and none are requested")
{
    EvacuationBench bench(Terms);
    bench.heartbeat("a1");
    bench.pauseLog();
    bench.submit(job, {makeStep(1, 100)});
    REQUIRE(bench.takeAdviceRequests().size() == 1);
    bench.resumeLog();
    REQUIRE(bench.begin("a"));
    bench.heartbeat("a2");
    // Its capacity is claimed for no step: a task that fits nowhere else requests no advice.
    bench.heartbeat("a3", 1, 1);
    StepSpec step = makeStep(1, 100);
    step.perTask.accelerators = Accelerators(1);
    bench.submit("00000000000000bb", {step});
    bench.advance(3000);
    CHECK(bench.takeAdviceRequests().empty());
    bench.heartbeat("b1");
    const std::vector<AdviceRequest> requests = bench.takeAdviceRequests();
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].workers == std::vector<WorkerId>{WorkerId("b1")});
    // An answer to an earlier request may still bring a ticket.
    bench.receiveAdvice({requests[0].id, true, {{WorkerId("a2"), "ticket"}}, Milliseconds(2000)});
    CHECK(bench.takeStarts().empty());
}

TEST_CASE("No best-effort run is stopped for a task that may not start in its data centre")
{
    EvacuationBench bench;
    bench.heartbeat("a1");
    StepSpec filler = makeStep(1, 900);
    filler.isBestEffort = true;
    bench.submit(job, {filler});
    REQUIRE(bench.takeStartedWorkers() == Workers{"a1"});
    REQUIRE(bench.begin("a"));
    StepSpec serving = makeLongRunning(1, 500);
    serving.tailLatencyTarget = Milliseconds(30);
    bench.submit("00000000000000bb", {serving});
    for (int second = 0; second < 4; ++second) {
        bench.advance(1000);
        bench.heartbeat("a1");
        bench.answerLeaseRenewal("a1", {{makeTask(job, 0, 0), RunNumber(1), {}, 100, 0}});
    }
    CHECK(bench.takeStops().empty());
    CHECK(bench.takeStarts().empty());
}

TEST_CASE("The next incarnation of a worker in an evacuated data centre gets no start")
{
    EvacuationBench bench;
    bench.heartbeat("a1", 1);
    REQUIRE(bench.begin("a"));
    bench.submit(job, {makeStep(1, 100)});
    bench.heartbeat("a1", 2);
    bench.confirm("a1", 2);
    bench.heartbeat("a1", 2);
    bench.advance(1000);
    CHECK(bench.takeStarts().empty());
}

TEST_CASE("A leader's successor starts nothing in a data centre that was evacuated before")
{
    EvacuationBench former;
    former.heartbeat("a1");
    REQUIRE(former.begin("a"));
    former.submit(job, {makeStep(1, 100)});
    EvacuationBench bench({}, former.leader().store());
    bench.heartbeat("a1");
    bench.advance(5000);
    CHECK(bench.takeStarts().empty());
}

// Guards against starts that follow an order to finish whose record is lost with its leader.
TEST_CASE("Nothing starts in a data centre before the record that ends its evacuation is durable")
{
    EvacuationBench bench;
    bench.heartbeat("a1");
    REQUIRE(bench.begin("a"));
    bench.submit(job, {makeStep(1, 100)});
    bench.pauseLog();
    bench.call(EndEvacuation{DataCentreId("a"), {}});
    bench.advance(100);
    CHECK(bench.leader().store().jobs.at(JobId(job)).state == JobState::Queued);
    bench.resumeLog();
    CHECK(bench.takeStartedWorkers() == Workers{"a1"});
}
