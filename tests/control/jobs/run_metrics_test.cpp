#include "control/jobs/order_delegate.h"
#include "tests/control/jobs/leader_bench.h"
#include "tests/control/jobs/simulated_cell.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

const std::string jobA = "00000000000000aa";
const std::string jobB = "00000000000000bb";

/** Which causes of work that ran twice the counters show. */
struct Causes
{
    bool ordersExpired = false;
    bool ordersUnanswered = false;
    bool heardWorkersLapsed = false;
    bool silentWorkersLapsed = false;
    bool endsNotAcknowledged = false;
    bool inheritedRunsConcluded = false;

    bool operator==(const Causes &) const = default;
};

template <typename Typed, typename Predicate>
std::size_t countOf(const Measurements &measurements, Predicate matches)
{
    return static_cast<std::size_t>(std::count_if(
            measurements.begin(), measurements.end(), [&](const Measurement &measurement) {
                const auto *typed = std::get_if<Typed>(&measurement);
                return typed != nullptr && matches(*typed);
            }));
}

std::size_t count(const Measurements &measurements, OrderResult result)
{
    return countOf<OrderResultCounted>(
            measurements, [&](const OrderResultCounted &each) { return each.result == result; });
}

std::size_t count(const Measurements &measurements, RunEnding ending, RunEndSource source)
{
    return countOf<RunEndCounted>(measurements, [&](const RunEndCounted &each) {
        return each.ending == ending && each.source == source;
    });
}

std::uint32_t count(const Measurements &measurements, CellEvent event)
{
    std::uint32_t sum = 0;
    for (const Measurement &measurement : measurements) {
        const auto *counted = std::get_if<EventCounted>(&measurement);
        if (counted != nullptr && counted->event == event)
            sum += counted->count;
    }
    return sum;
}

Causes causesOf(const Measurements &measured)
{
    Causes causes;
    causes.ordersExpired = count(measured, OrderResult::Expired) > 0;
    causes.ordersUnanswered = count(measured, OrderResult::Unanswered) > 0;
    causes.heardWorkersLapsed = count(measured, CellEvent::LeaseOfHeardWorkerLapsed) > 0;
    causes.silentWorkersLapsed = count(measured, CellEvent::LeaseOfSilentWorkerLapsed) > 0;
    causes.endsNotAcknowledged = count(measured, CellEvent::EndAfterLaterRun) > 0;
    causes.inheritedRunsConcluded
            = count(measured, RunEnding::Lost, RunEndSource::ConcludedInherited) > 0
            || count(measured, RunEnding::Lapsed, RunEndSource::ConcludedInherited) > 0;
    return causes;
}

ReportedCompletion ended(std::uint64_t number, const std::string &job, std::uint32_t index,
                         RunEnding ending)
{
    return {CompletionNumber(number), makeTask(job, 0, index), RunNumber(1), ending, {}};
}

/** Runs a task on "v" under a leader that need not respect a predecessor's leases any more. */
void runOnV(LeaderBench &bench)
{
    bench.configure();
    bench.advance(8000);
    bench.sendHeartbeat("v");
    bench.submit(jobA, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    bench.takeMeasurements();
}

/** Answers lease renewals to "v" with \a verdict until its task's next run is ordered. */
void giveUpOnV(LeaderBench &bench, WorkerVerdict verdict, bool hasHeartbeats)
{
    for (int step = 0; step < 120; ++step) {
        bench.advance(100);
        bench.sendHeartbeat("w");
        if (hasHeartbeats)
            bench.sendHeartbeat("v");
        if (const std::optional<CallWorker> renewal = bench.takeLeaseRenewal("v"))
            bench.answer(*renewal, verdict);
        for (const CallWorker &start : bench.takeStarts()) {
            if (std::get<OrderStart>(start.order).run > RunNumber(1)) {
                bench.answer(start, WorkerVerdict::Done);
                return;
            }
        }
    }
    FAIL("no later run was ordered");
}

} // namespace

TEST_CASE("Counters show a second run caused by lack of processor time on hosts that call workers")
{
    // Orders expire in queues, so leases are not renewed and lapse.
    LeaderBench bench;
    runOnV(bench);
    giveUpOnV(bench, WorkerVerdict::NotSent, true);
    const Measurements measured = bench.takeMeasurements();
    CHECK(causesOf(measured) == Causes{.ordersExpired = true, .heardWorkersLapsed = true});
    CHECK(count(measured, RunEnding::Lapsed, RunEndSource::Concluded) == 1);
    CHECK(count(measured, CellEvent::LeaseOfHeardWorkerLapsed) == 1);
    CHECK(count(measured, CellEvent::LaterStart) == 1);
}

TEST_CASE("Counters show a second run caused by calls that time out while heartbeats arrive")
{
    // Calls exceed their time-out although the worker is healthy.
    LeaderBench bench;
    runOnV(bench);
    giveUpOnV(bench, WorkerVerdict::NoAnswer, true);
    CHECK(causesOf(bench.takeMeasurements())
          == Causes{.ordersUnanswered = true, .heardWorkersLapsed = true});
}

TEST_CASE("Counters show a second run caused by a silent worker")
{
    LeaderBench bench;
    runOnV(bench);
    giveUpOnV(bench, WorkerVerdict::NoAnswer, false);
    const Measurements measured = bench.takeMeasurements();
    CHECK(causesOf(measured) == Causes{.ordersUnanswered = true, .silentWorkersLapsed = true});
    CHECK(count(measured, CellEvent::LeaseOfSilentWorkerLapsed) == 1);
    CHECK(count(measured, CellEvent::LaterStart) == 1);
}

TEST_CASE("Counters show an end that was not acknowledged, and the ends that it holds back")
{
    LeaderBench bench;
    runOnV(bench);
    const std::int64_t listedAt = bench.now().value();
    giveUpOnV(bench, WorkerVerdict::NoAnswer, false);
    bench.takeMeasurements();
    bench.advance(1000);
    bench.answerLeaseRenewal("v", {}, {ended(1, jobA, 0, RunEnding::Done)}, listedAt);
    Measurements measured = bench.takeMeasurements();
    CHECK(causesOf(measured) == Causes{.endsNotAcknowledged = true});
    CHECK(count(measured, CellEvent::EndHeldBack) == 0);
    CHECK(count(measured, RunEnding::Done, RunEndSource::Listed) == 1);
    // The worker's next end is held back by it.
    bench.sendHeartbeat("v");
    bench.submit(jobB, {makeStep(17, 100)});
    for (const CallWorker &start : bench.takeStarts())
        bench.answer(start, WorkerVerdict::Done);
    bench.advance(1000);
    bench.answerLeaseRenewal("v", {}, {ended(2, jobB, 0, RunEnding::Stopped)});
    measured = bench.takeMeasurements();
    CHECK(count(measured, CellEvent::EndAfterLaterRun) == 0);
    CHECK(count(measured, CellEvent::EndHeldBack) == 1);
}

TEST_CASE("Counters show a full list of ends")
{
    constexpr std::uint64_t MostListed = 500;
    LeaderBench bench;
    runOnV(bench);
    std::vector<ReportedCompletion> ends;
    for (std::uint64_t number = 1; number <= MostListed; ++number)
        ends.push_back(ended(number, jobB, 0, RunEnding::Stopped));
    bench.answerLeaseRenewal("v", {}, ends);
    CHECK(count(bench.takeMeasurements(), CellEvent::EndListFull) == 1);
}

TEST_CASE("Counters show a second run caused by a change of leader")
{
    LeaderBench first;
    runOnV(first);
    LeaderBench second(first.leader().store());
    second.sendHeartbeat("v");
    second.answerLeaseRenewal("v", {});
    REQUIRE(second.takeStarts().size() == 1);
    const Measurements measured = second.takeMeasurements();
    CHECK(causesOf(measured) == Causes{.inheritedRunsConcluded = true});
    CHECK(count(measured, CellEvent::LaterStart) == 1);
}

TEST_CASE("Counters show a run on a worker that the leader considers ended")
{
    LeaderBench bench;
    runOnV(bench);
    bench.answerLeaseRenewal("v",
                             {{makeTask(jobA, 0, 0), RunNumber(1), {}, 100, 0},
                              {makeTask(jobB, 0, 0), RunNumber(1), {}, 100, 0}});
    const Measurements measured = bench.takeMeasurements();
    CHECK(count(measured, CellEvent::UnexpectedRun) == 1);
    CHECK(causesOf(measured) == Causes{});
}

TEST_CASE("Normal operation shows none of the causes of work that ran twice")
{
    LeaderBench bench;
    runOnV(bench);
    for (int number = 1; number <= 20; ++number) {
        bench.advance(200);
        bench.sendHeartbeat("v");
        bench.answerLeaseRenewal("v", {{makeTask(jobA, 0, 0), RunNumber(1), {}, 100, 0}});
    }
    bench.answerLeaseRenewal("v", {}, {ended(1, jobA, 0, RunEnding::Done)});
    const Measurements measured = bench.takeMeasurements();
    CHECK(causesOf(measured) == Causes{});
    CHECK(count(measured, CellEvent::LaterStart) == 0);
    CHECK(count(measured, CellEvent::UnexpectedRun) == 0);
    CHECK(count(measured, RunEnding::Done, RunEndSource::Listed) == 1);
    CHECK(countOf<SpanMeasured>(measured,
                                [](const SpanMeasured &each) {
                                    return each.span == Span::RunEnded
                                            && each.length > Milliseconds(4000);
                                })
          == 1);
}

TEST_CASE("Orders are counted by kind, and repeated starts are counted")
{
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("v");
    bench.submit(jobA, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::NoAnswer);
    bench.advance(200);
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    const Measurements measured = bench.takeMeasurements();
    const auto isStart = [](const auto &each) { return each.kind == OrderKind::Start; };
    CHECK(countOf<OrderCounted>(measured, isStart) == 2);
    CHECK(countOf<OrderResultCounted>(measured, isStart) == 2);
    CHECK(countOf<OrderSpanMeasured>(measured, isStart) == 1);
    CHECK(count(measured, CellEvent::FirstStart) == 1);
    CHECK(count(measured, CellEvent::StartRepeated) == 1);
}

TEST_CASE("Each order that a delegate drops is counted")
{
    Outbox out(false);
    OrderDelegate delegate{SessionId("now")};
    delegate.receive(HostId("k1"), {SessionId("before"), {CallWorker{}, CallWorker{}}}, out);
    CHECK(count(out.takeMeasurements(), CellEvent::OrderDropped) == 2);
}

TEST_CASE("Hosts count leadership gained and lost, and measure the gaps between ticks")
{
    SimulatedCell group(3);
    group.advance(4000);
    const std::optional<std::string> leader = group.leader();
    REQUIRE(leader.has_value());
    CHECK(count(group.measurementsOf(*leader), CellEvent::LeadershipGained) == 1);
    group.partition({{*leader}});
    group.advance(3000);
    group.heal();
    group.advance(3000);
    CHECK(count(group.measurementsOf(*leader), CellEvent::LeadershipLost) == 1);
    std::uint32_t gained = 0;
    for (const char *host : {"k1", "k2", "k3"})
        gained += count(group.measurementsOf(host), CellEvent::LeadershipGained);
    CHECK(gained == 2);
    CHECK(countOf<SpanMeasured>(group.measurementsOf("e1"),
                                [](const SpanMeasured &each) {
                                    return each.span == Span::TickGap
                                            && each.length == Milliseconds(50);
                                })
          > 100);
}
