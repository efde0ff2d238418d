#include "tests/control/jobs/leader_bench.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

const std::string job = "00000000000000aa";
const std::string otherJob = "00000000000000bb";
constexpr std::int64_t Born = 10;

ReportedRun listed(std::uint64_t run = 1)
{
    return {makeTask(job, 0, 0), RunNumber(run), {}, 100, 0};
}

/** Lets worker "w", born at `Born`, execute a job; worker "v" is idle. */
void startJob(LeaderBench &bench)
{
    bench.configure();
    bench.sendHeartbeat("w", Born);
    bench.submit(job, {makeStep(1, 800)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    bench.answer(starts[0], WorkerVerdict::Done);
    bench.answerLeaseRenewal("w", {listed()});
    bench.sendHeartbeat("v");
}

/** A heartbeat that another writer sends with the name and the birth given. */
WorkerHeartbeat makeForeign(const std::string &name, std::int64_t born, const std::string &address)
{
    WorkerHeartbeat heartbeat;
    heartbeat.report.incarnation = makeIncarnation(name, born);
    heartbeat.report.pool = PoolId("metrics-agent");
    heartbeat.report.address = address;
    heartbeat.report.capacity = {MilliCores(100), Mebibytes(64), Accelerators(0), Slots(0)};
    heartbeat.clock = 120;
    heartbeat.sequence = 1;
    return heartbeat;
}

/** Lets "w" answer all its lease renewals for some seconds, while it sends heartbeats. */
void keepWorking(LeaderBench &bench, std::int64_t milliseconds)
{
    constexpr std::int64_t StepMs = 500;
    for (std::int64_t passed = 0; passed < milliseconds; passed += StepMs) {
        bench.sendHeartbeat("w", Born);
        bench.sendHeartbeat("v");
        while (const std::optional<CallWorker> poll = bench.takeLeaseRenewal("w")) {
            if (poll->incarnation == makeIncarnation("w", Born))
                bench.answerWithRuns(*poll, {listed()}, {});
            else
                bench.answer(*poll, WorkerVerdict::NoAnswer);
        }
        bench.advance(StepMs);
    }
}

bool isTracked(LeaderBench &bench, const WorkerIncarnation &incarnation)
{
    return bench.leader().store().workers.contains(incarnation);
}

} // namespace

// Guards against two runs at a time: a heartbeat of another writer, with a healthy worker's name,
// made that worker's runs start elsewhere.
TEST_CASE("A heartbeat with a healthy worker's name and another birth ends no run")
{
    const std::int64_t born = GENERATE(Born - 5, Born + 5, 1'000'000);
    const std::string address = GENERATE("10.0.7.1:9100", "w:1");
    LeaderBench bench;
    startJob(bench);
    CHECK(std::holds_alternative<HeartbeatAccepted>(bench.call(makeForeign("w", born, address))));
    CHECK(bench.takeStarts().empty());
    keepWorking(bench, 8000);
    CHECK(bench.takeStarts().empty());
    CHECK(bench.takeStops().empty());
    CHECK(isTracked(bench, makeIncarnation("w", Born)));
    CHECK_FALSE(isTracked(bench, makeIncarnation("w", born)));
}

// Guards against the same with another name and a healthy worker's address.
TEST_CASE("A heartbeat with a healthy worker's address and another name ends no run")
{
    const std::int64_t born = GENERATE(Born - 5, Born + 5);
    LeaderBench bench;
    startJob(bench);
    bench.call(makeForeign("agent", born, "w:1"));
    CHECK(bench.takeStarts().empty());
    if (const std::optional<CallWorker> poll = bench.takeLeaseRenewal("agent"))
        bench.answer(*poll, WorkerVerdict::OtherIncarnation);
    keepWorking(bench, 8000);
    CHECK(bench.takeStarts().empty());
    CHECK(bench.takeStops().empty());
    CHECK(isTracked(bench, makeIncarnation("w", Born)));
    CHECK_FALSE(isTracked(bench, makeIncarnation("agent", born)));
}

// Guards against a healthy worker whose own heartbeats count as late from then on, so that it gets
// no work.
TEST_CASE("A worker whose name was claimed by a false heartbeat stays in use")
{
    LeaderBench bench;
    startJob(bench);
    bench.call(makeForeign("w", Born + 5, "10.0.7.1:9100"));
    keepWorking(bench, 8000);
    bench.sendHeartbeat("v", 1, true);
    bench.submit(otherJob, {makeStep(1, 100)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].incarnation == makeIncarnation("w", Born));
}

// Guards against a healthy worker that refuses all orders, since the poll of a false claim at its
// address had a higher fencing token.
TEST_CASE("A worker gets a higher fencing token than a claim that it has contradicted")
{
    LeaderBench bench;
    startJob(bench);
    bench.call(makeForeign("w", Born + 5, "w:1"));
    std::optional<CallWorker> poll = bench.takeLeaseRenewal("w");
    while (poll.has_value() && poll->incarnation != makeIncarnation("w", Born + 5))
        poll = bench.takeLeaseRenewal("w");
    REQUIRE(poll.has_value());
    CHECK(poll->leaseUntil == 0);
    CHECK(std::get<OrderLeaseRenewal>(poll->order).durableUpTo == CompletionNumber(0));
    WorkerAnswer own;
    own.call = poll->call;
    own.verdict = WorkerVerdict::Done;
    own.clock = bench.now().value();
    own.born = Milliseconds(Born);
    own.running = {listed()};
    bench.answer(own);
    CHECK(bench.takeStarts().empty());
    bench.submit(otherJob, {makeStep(1, 900)});
    for (const CallWorker &start : bench.takeStarts())
        CHECK(start.incarnation.worker.value() == "v");
    bench.queryJob(job, JobVerb::Cancel);
    bench.advance(400);
    const std::vector<CallWorker> stops = bench.takeStops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].incarnation == makeIncarnation("w", Born));
    CHECK(fencingTokenOf(stops[0]) > fencingTokenOf(*poll));
}

// Guards against a heartbeat of a worker that has crashed, delayed until the next one has
// registered at its address.
TEST_CASE("A delayed heartbeat of a worker that was at the same address ends no run")
{
    const std::string former = GENERATE("former", "w");
    const bool wasKnown = GENERATE(true, false);
    LeaderBench bench;
    bench.configure();
    WorkerHeartbeat late = makeForeign(former, Born - 5, "w:1");
    late.report.pool = PoolId("pool");
    if (wasKnown) {
        bench.call(late);
        ++late.sequence;
        bench.sendHeartbeat("w", Born);
        bench.confirm("w", Born);
    }
    bench.sendHeartbeat("w", Born);
    bench.submit(job, {makeStep(1, 800)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].incarnation == makeIncarnation("w", Born));
    bench.answer(starts[0], WorkerVerdict::Done);
    bench.sendHeartbeat("v");
    bench.call(late);
    CHECK(bench.takeStarts().empty());
    keepWorking(bench, 8000);
    CHECK(bench.takeStarts().empty());
    CHECK(isTracked(bench, makeIncarnation("w", Born)));
}

// Guards against two runs at a time: a leave call names no incarnation.
TEST_CASE("A late leave of a former incarnation ends no run of the next one while that drains")
{
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("w", 1, true);
    bench.sendHeartbeat("w", Born);
    bench.confirm("w", Born);
    bench.advance(50);
    bench.submit(job, {makeStep(1, 800)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    bench.answer(starts[0], WorkerVerdict::Done);
    bench.sendHeartbeat("w", Born, true);
    bench.sendHeartbeat("v");
    CHECK(std::holds_alternative<CallDone>(bench.call(WorkerLeave{WorkerId("w")})));
    CHECK(bench.takeStarts().empty());
    keepWorking(bench, 4000);
    CHECK(bench.takeStarts().empty());
}

// Guards against orders at a false address, and against a worker in use for another pool.
TEST_CASE("A heartbeat that changes an incarnation's address, pool or zone is refused")
{
    LeaderBench bench;
    startJob(bench);
    WorkerHeartbeat odd = bench.makeHeartbeat("w", Born);
    SECTION("address")
    {
        odd.report.address = "10.0.7.1:9100";
    }
    SECTION("pool")
    {
        odd.report.pool = PoolId("metrics-agent");
    }
    SECTION("zone")
    {
        odd.report.dataCentre = DataCentreId("elsewhere");
    }
    CHECK(std::holds_alternative<CallRefused>(bench.call(odd)));
    const WorkerReport &report = bench.leader().store().workers.at(makeIncarnation("w", Born));
    CHECK(report.address == "w:1");
    CHECK(report.pool == PoolId("pool"));
    CHECK(report.dataCentre == DataCentreId());
}

// Guards against a successor that uses what only a false heartbeat had claimed.
TEST_CASE("A claim that nobody has confirmed is not stored")
{
    const std::string name = GENERATE("w", "agent");
    LeaderBench bench;
    startJob(bench);
    bench.call(makeForeign(name, Born + 5, "w:1"));
    CHECK_FALSE(isTracked(bench, makeIncarnation(name, Born + 5)));
    CHECK(isTracked(bench, makeIncarnation("w", Born)));
    bench.advance(20'000);
    CHECK_FALSE(isTracked(bench, makeIncarnation(name, Born + 5)));
}

// Guards against a worker that is shut out because another writer's heartbeat came first.
TEST_CASE("A worker replaces what another writer had announced with its name or address")
{
    const std::string name = GENERATE("w", "agent");
    const std::int64_t foreignBorn = GENERATE(Born - 5, Born + 5);
    LeaderBench bench;
    bench.configure();
    WorkerHeartbeat foreign = makeForeign(name, foreignBorn, "w:1");
    foreign.report.pool = PoolId("pool");
    bench.call(foreign);
    bench.sendHeartbeat("w", Born);
    bench.confirm("w", Born);
    CHECK_FALSE(isTracked(bench, foreign.report.incarnation));
    bench.submit(job, {makeStep(1, 800)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].incarnation == makeIncarnation("w", Born));
}

// Guards against a healthy worker that gets no work, since its ticket, which names no incarnation,
// counts for a claim.
TEST_CASE("A ticket is used on the worker and not on what has claimed its name")
{
    constexpr Milliseconds Validity{2500};
    LeaderBench bench;
    bench.configure({}, AdviceTerms{19'000, 280, Validity});
    bench.sendHeartbeat("w", Born);
    bench.submit(job, {makeStep(1, 800)});
    const std::vector<AdviceRequest> requests = bench.takeAdviceRequests();
    REQUIRE(requests.size() == 1);
    bench.call(makeForeign("w", Born + 5, "10.0.7.1:9100"));
    bench.receiveAdvice({requests[0].id, true, {{WorkerId("w"), "ticket"}}, Validity});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].incarnation == makeIncarnation("w", Born));
}

// Guards against runs that count as lost by an answer to a call for a former worker.
TEST_CASE("An answer that another worker is at the address ends only the incarnation called")
{
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("former", 1);
    bench.submit(otherJob, {makeStep(1, 100)});
    const std::vector<CallWorker> former = bench.takeStarts();
    REQUIRE(former.size() == 1);
    WorkerHeartbeat next = bench.makeHeartbeat("w", Born);
    next.report.address = "former:1";
    bench.call(next);
    bench.confirm("w", Born);
    bench.advance(50);
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].incarnation == makeIncarnation("w", Born));
    bench.answer(starts[0], WorkerVerdict::Done);
    bench.sendHeartbeat("v");
    bench.answer(former[0], WorkerVerdict::OtherIncarnation);
    CHECK(bench.takeStarts().empty());
    CHECK(isTracked(bench, makeIncarnation("w", Born)));
}

// Guards against tasks that wait for a worker which has left and ended all its runs.
TEST_CASE("Runs of a worker that has left start elsewhere at once, or with the lease if its name "
          "was used before")
{
    const bool wasUsed = GENERATE(false, true);
    LeaderBench bench;
    bench.configure();
    if (wasUsed) {
        bench.sendHeartbeat("w", 1);
        bench.sendHeartbeat("w", Born);
        bench.confirm("w", Born);
    }
    bench.advance(5000); // Any lease of an earlier leader has ended.
    bench.sendHeartbeat("w", Born);
    bench.submit(job, {makeStep(1, 800)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    bench.answer(starts[0], WorkerVerdict::Done);
    bench.sendHeartbeat("w", Born, true);
    bench.sendHeartbeat("v");
    bench.call(WorkerLeave{WorkerId("w")});
    CHECK(bench.takeStarts().size() == (wasUsed ? 0 : 1));
    if (!wasUsed)
        return;
    const Instant left = bench.now();
    REQUIRE(bench.startElsewhere("w", "v").size() == 1);
    CHECK(bench.now() - left <= WorkerPool::LeaseLength + Milliseconds(500));
}
