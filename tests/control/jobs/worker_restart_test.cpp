#include "tests/control/jobs/leader_bench.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

const std::string job = "00000000000000aa";
const std::string otherJob = "00000000000000bb";
const std::string thirdJob = "00000000000000cc";
constexpr AdviceTerms Terms{1000, 0, Milliseconds(60'000)};

ReportedCompletion ended(std::uint64_t number, const std::string &ofJob, std::uint64_t run,
                         RunEnding ending = RunEnding::Done)
{
    return {CompletionNumber(number), makeTask(ofJob, 0, 0), RunNumber(run), ending, {}};
}

ReportedRun listed(const std::string &ofJob, std::uint64_t run)
{
    return {makeTask(ofJob, 0, 0), RunNumber(run), {}, 100, 0};
}

CompletionNumber acknowledgedBy(const CallWorker &renewal)
{
    return std::get<OrderLeaseRenewal>(renewal.order).durableUpTo;
}

/** Answers without lists, which do not state the incarnation. */
void answerAt(LeaderBench &bench, const CallWorker &order, std::int64_t clock)
{
    WorkerAnswer answer;
    answer.call = order.call;
    answer.verdict = WorkerVerdict::Done;
    answer.clock = clock;
    bench.answer(answer);
}

CallWorker takeRenewal(LeaderBench &bench, const std::string &worker)
{
    for (int step = 0; step < 40; ++step) {
        if (const std::optional<CallWorker> renewal = bench.takeLeaseRenewal(worker))
            return *renewal;
        bench.advance(50);
    }
    FAIL("no lease renewal for " << worker);
    return {};
}

/** Starts a job on "v", which answers the start but has not listed the run yet. */
void startJob(LeaderBench &bench)
{
    bench.configure();
    bench.sendHeartbeat("v");
    bench.submit(job, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
}

/** Lets "v" execute a job, and the leader acknowledge its end, number 1. */
void runOneJob(LeaderBench &bench)
{
    startJob(bench);
    bench.answerLeaseRenewal("v", {}, {ended(1, job, 1)});
}

} // namespace

// Guards against a second run: a start answered by the next incarnation counted as a run of the
// former one, and so as lost with it.
TEST_CASE("A run that was answered but never listed is stopped in the next incarnation first")
{
    LeaderBench bench;
    startJob(bench);
    bench.sendHeartbeat("w");
    bench.sendHeartbeat("v", 2);
    bench.confirm("v", 2);
    CHECK(bench.takeStarts().empty());
    const std::vector<CallWorker> stops = bench.takeStops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].incarnation == makeIncarnation("v", 2));
}

// Guards against ends that the next incarnation drops before anybody has seen them, so that their
// tasks start again.
TEST_CASE("An end is not acknowledged again once the worker has dropped it")
{
    LeaderBench bench;
    runOneJob(bench);
    bench.submit(otherJob, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    const CallWorker first = takeRenewal(bench, "v");
    CHECK(acknowledgedBy(first) == CompletionNumber(1));
    bench.answerWithRuns(first, {listed(otherJob, 1)}, {});
    CHECK(acknowledgedBy(takeRenewal(bench, "v")) == CompletionNumber(0));
}

// Guards against the same where the worker restarts while its list is in transit.
TEST_CASE("An end is acknowledged only after a list that has not been in transit for long")
{
    LeaderBench bench;
    startJob(bench);
    WorkerAnswer late;
    late.call = takeRenewal(bench, "v").call;
    late.verdict = WorkerVerdict::Done;
    late.clock = bench.now().value();
    late.ended = {ended(1, job, 1)};
    bench.advance(500);
    bench.answer(late);
    bench.submit(otherJob, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    const CallWorker poll = takeRenewal(bench, "v");
    CHECK(acknowledgedBy(poll) == CompletionNumber(0));
    CHECK(std::get<OrderLeaseRenewal>(poll.order).wait == Milliseconds(0));
    bench.answerWithRuns(poll, {listed(otherJob, 1)}, {ended(1, job, 1)});
    CHECK(acknowledgedBy(takeRenewal(bench, "v")) == CompletionNumber(1));
}

// Guards against the same where the worker restarts before it has confirmed the acknowledgement.
TEST_CASE("A worker whose clock has begun anew gets no acknowledgement, lease or run until it is "
          "identified")
{
    LeaderBench bench;
    runOneJob(bench);
    bench.submit(otherJob, {makeStep(1, 100)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    const CallWorker open = takeRenewal(bench, "v");
    answerAt(bench, starts[0], 100);
    bench.answer(open, WorkerVerdict::NoAnswer);
    bench.sendHeartbeat("w");
    bench.submit(thirdJob, {makeStep(1, 100)});
    const std::vector<CallWorker> later = bench.takeStarts();
    REQUIRE(later.size() == 1);
    CHECK(later[0].incarnation == makeIncarnation("w"));
    const CallWorker poll = takeRenewal(bench, "v");
    CHECK(acknowledgedBy(poll) == CompletionNumber(0));
    CHECK(poll.leaseUntil == 0);
    // The next incarnation lists the end, which counts although the start was for the former one.
    bench.sendHeartbeat("v", 2);
    bench.answerWithRuns(takeRenewal(bench, "v"), {}, {ended(1, otherJob, 1)});
    CHECK(std::get<JobStateReport>(bench.queryJob(otherJob)).state == JobState::Completed);
}

// Guards against late orders for a former incarnation, which the next one would execute beside
// what the leader orders there.
TEST_CASE("The next incarnation gets no run before it has seen a higher fencing token")
{
    LeaderBench bench;
    runOneJob(bench);
    bench.submit(thirdJob, {makeStep(1, 100)});
    const CallWorker former = bench.takeStarts().at(0);
    bench.answer(former, WorkerVerdict::Done);
    bench.answerWithRuns(takeRenewal(bench, "v"), {}, {ended(2, thirdJob, 1, RunEnding::Done)});
    bench.sendHeartbeat("v", 2);
    bench.submit(otherJob, {makeStep(1, 100)});
    CHECK(bench.takeStarts().empty());
    const CallWorker poll = takeRenewal(bench, "v");
    CHECK(poll.incarnation == makeIncarnation("v", 2));
    CHECK(fencingTokenOf(poll) > fencingTokenOf(former));
    CHECK(poll.leaseUntil == 0);
    bench.answerWithRuns(poll, {}, {});
    bench.advance(50);
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    CHECK(fencingTokenOf(starts[0]) >= fencingTokenOf(poll));
}

// Guards against an acknowledgement that arrives late, at the next incarnation, after a start.
TEST_CASE("A start after an unanswered acknowledgement has a higher fencing token")
{
    LeaderBench bench;
    runOneJob(bench);
    bench.submit(otherJob, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    const CallWorker unanswered = takeRenewal(bench, "v");
    REQUIRE(acknowledgedBy(unanswered) == CompletionNumber(1));
    bench.answer(unanswered, WorkerVerdict::NoAnswer);
    bench.answerWithRuns(takeRenewal(bench, "v"), {listed(otherJob, 1)}, {});
    bench.sendHeartbeat("v");
    bench.submit(thirdJob, {makeStep(1, 100)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    CHECK(fencingTokenOf(starts[0]) > fencingTokenOf(unanswered));
}

// Guards against a worker that refuses all orders, since it has seen a higher token before it was
// given up.
TEST_CASE("A worker that registers again after it was given up gets no lower fencing token")
{
    LeaderBench bench;
    runOneJob(bench);
    bench.submit(otherJob, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    const CallWorker unanswered = takeRenewal(bench, "v");
    bench.answer(unanswered, WorkerVerdict::NoAnswer);
    const CallWorker poll = takeRenewal(bench, "v");
    bench.answer(poll, WorkerVerdict::NoAnswer);
    bench.advance(20'000);
    while (bench.takeLeaseRenewal("v").has_value()) {
    }
    bench.sendHeartbeat("v");
    CHECK(fencingTokenOf(takeRenewal(bench, "v")) >= fencingTokenOf(poll));
}

// Guards against a start beyond the worker's capacity, which a run that is being stopped still
// uses.
TEST_CASE("A worker with a run that the leader does not track gets no other run until it has ended")
{
    LeaderBench bench;
    startJob(bench);
    bench.answerWithRuns(takeRenewal(bench, "v"), {listed(job, 1), listed(otherJob, 1)}, {});
    CHECK(bench.takeStops().size() == 1);
    bench.sendHeartbeat("v");
    bench.submit(thirdJob, {makeStep(1, 100)});
    CHECK(bench.takeStarts().empty());
    bench.answerWithRuns(takeRenewal(bench, "v"), {listed(job, 1)},
                         {ended(1, otherJob, 1, RunEnding::Stopped)});
    CHECK(bench.takeStarts().size() == 1);
}

// Guards against starts that wait for the next tick although the list that freed the worker is
// known.
TEST_CASE("A start follows at once when a list shows that a worker is free of an untracked run")
{
    LeaderBench bench;
    startJob(bench);
    bench.answerWithRuns(takeRenewal(bench, "v"), {listed(job, 1), listed(otherJob, 1)}, {});
    bench.sendHeartbeat("v");
    StepSpec step = makeStep(1, 100);
    step.isLongRunning = true;
    bench.submit(thirdJob, {step});
    CHECK(bench.takeStarts().empty());
    bench.answerWithRuns(takeRenewal(bench, "v"), {listed(job, 1)}, {});
    CHECK(bench.takeStarts().size() == 1);
}

// Guards against ends that are taken for those of the former incarnation, whose numbers they
// repeat: they were dropped, and their tasks started again.
TEST_CASE("A list that states an earlier birth time counts as no answer")
{
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("v", 2);
    bench.submit(job, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    WorkerAnswer answer;
    answer.call = takeRenewal(bench, "v").call;
    answer.verdict = WorkerVerdict::Done;
    answer.clock = bench.now().value();
    answer.born = Milliseconds(1);
    answer.ended = {ended(1, job, 1, RunEnding::Stopped)};
    bench.sendHeartbeat("w");
    bench.answer(answer);
    CHECK(bench.takeStarts().empty());
    CHECK(acknowledgedBy(takeRenewal(bench, "v")) == CompletionNumber(0));
}

// Guards against stop orders that are repeated at the speed of the network.
TEST_CASE("A stop that an unidentified incarnation has answered is not repeated at once")
{
    LeaderBench bench;
    startJob(bench);
    bench.answerWithRuns(takeRenewal(bench, "v"), {listed(job, 1)}, {});
    bench.queryJob(job, JobVerb::Cancel);
    bench.advance(400);
    const std::vector<CallWorker> stops = bench.takeStops();
    REQUIRE(stops.size() == 1);
    answerAt(bench, stops[0], 100);
    CHECK(bench.takeStops().empty());
}

// Guards against starts and acknowledgements for an incarnation that a former list has vouched for.
TEST_CASE("A list that was asked for before the worker became unverified does not verify it")
{
    LeaderBench bench;
    startJob(bench);
    const CallWorker former = takeRenewal(bench, "v");
    bench.submit(otherJob, {makeStep(1, 100)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    answerAt(bench, starts[0], 100);
    bench.answerWithRuns(former, {listed(job, 1)}, {});
    bench.submit(thirdJob, {makeStep(1, 100)});
    CHECK(bench.takeStarts().empty());
    CHECK(takeRenewal(bench, "v").leaseUntil == 0);
}

// Guards against two runs at a time: the incarnation that has answered may hold a lease by another
// clock.
TEST_CASE("A run of an unidentified incarnation does not lapse by the former one's clock")
{
    constexpr std::int64_t LongestLease = 10'000;
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("v");
    bench.submit(job, {makeStep(1, 100)});
    answerAt(bench, bench.takeStarts().at(0), 100);
    for (std::int64_t passed = 0; passed < LongestLease; passed += 100) {
        bench.advance(100);
        bench.sendHeartbeat("w");
        while (const std::optional<CallWorker> renewal = bench.takeLeaseRenewal("v"))
            bench.answer(*renewal, WorkerVerdict::NoAnswer);
        CHECK(bench.takeStarts().empty());
    }
}

// Guards against two runs at a time: a start that was given up is executed late, once its worker
// has a lease again.
TEST_CASE("A worker gets a higher fencing token after a start there has lapsed without an answer")
{
    LeaderBench bench;
    bench.configure({}, Terms);
    bench.sendHeartbeat("v");
    bench.sendHeartbeat("w");
    bench.submit(job, {makeStep(1, 100)});
    bench.grantTickets();
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    bench.answer(starts[0], WorkerVerdict::NoAnswer);
    REQUIRE(bench.startElsewhere("v", "w").size() == 1);
    CHECK(fencingTokenOf(takeRenewal(bench, "v")) > fencingTokenOf(starts[0]));
}

// Guards against a worker that is never used again.
TEST_CASE("A worker whose only listed run is not tracked is polled until it is free of it")
{
    LeaderBench bench;
    startJob(bench);
    bench.answerWithRuns(takeRenewal(bench, "v"), {listed(otherJob, 1)}, {ended(1, job, 1)});
    CHECK(bench.takeStops().size() == 1);
    bench.answerWithRuns(takeRenewal(bench, "v"), {}, {});
    bench.sendHeartbeat("v");
    bench.submit(thirdJob, {makeStep(1, 100)});
    CHECK(bench.takeStarts().size() == 1);
}

// Guards against lists of ends that grow to their limit while commits are slow.
TEST_CASE(
        "Ends of a busy worker are acknowledged although each commit takes longer than lists stay "
        "recent")
{
    constexpr int Rounds = 10;
    LeaderBench bench;
    startJob(bench);
    CompletionNumber highest;
    std::vector<ReportedCompletion> ends;
    for (int round = 1; round <= Rounds; ++round) {
        const std::string id = "00000000000001" + std::to_string(Rounds + round);
        bench.submit(id, {makeStep(1, 100)});
        for (const CallWorker &start : bench.takeStarts())
            bench.answer(start, WorkerVerdict::Done);
        bench.sendHeartbeat("v");
        const CallWorker renewal = takeRenewal(bench, "v");
        highest = std::max(highest, acknowledgedBy(renewal));
        ends.push_back(ended(std::uint64_t(round), id, 1));
        bench.pauseLog();
        bench.answerWithRuns(renewal, {listed(job, 1)}, ends);
        bench.advance(250);
        bench.resumeLog();
    }
    CHECK(highest > CompletionNumber(0));
}

// Guards against starts beyond the capacity of a worker, and on silent workers: they are checked
// again when their records are durable.
TEST_CASE("A start is not sent if its worker has become unusable before the record is durable")
{
    LeaderBench bench;
    startJob(bench);
    const CallWorker renewal = takeRenewal(bench, "v");
    bench.pauseLog();
    bench.submit(thirdJob, {makeStep(1, 100)});
    SECTION("it lists a run that is not tracked")
    {
        bench.answerWithRuns(renewal, {listed(job, 1), listed(otherJob, 1)}, {});
    }
    SECTION("it is silent")
    {
        bench.answer(renewal, WorkerVerdict::NoAnswer);
    }
    bench.resumeLog();
    CHECK(bench.takeStarts().empty());
}

// Guards against ends that are skipped, and acknowledged with the later ones.
TEST_CASE("Ends that are listed out of order are all recorded")
{
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("v");
    bench.submit(job, {makeStep(1, 100)});
    bench.submit(otherJob, {makeStep(1, 100)});
    for (const CallWorker &start : bench.takeStarts())
        bench.answer(start, WorkerVerdict::Done);
    bench.answerWithRuns(takeRenewal(bench, "v"), {}, {ended(2, otherJob, 1), ended(1, job, 1)});
    CHECK(std::get<JobStateReport>(bench.queryJob(job)).state == JobState::Completed);
    CHECK(std::get<JobStateReport>(bench.queryJob(otherJob)).state == JobState::Completed);
}

// Guards against an acknowledgement that reaches the next incarnation after a start, and drops its
// end there.
TEST_CASE("A start has a higher fencing token than the acknowledgements before it")
{
    LeaderBench bench;
    runOneJob(bench);
    bench.submit(otherJob, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    const CallWorker renewal = takeRenewal(bench, "v");
    REQUIRE(acknowledgedBy(renewal) == CompletionNumber(1));
    bench.submit(thirdJob, {makeStep(1, 100)});
    const CallWorker start = bench.takeStarts().at(0);
    CHECK(fencingTokenOf(start) > fencingTokenOf(renewal));
    // The start has overtaken the renewal, which is repeated without delay once it is answered.
    bench.answer(start, WorkerVerdict::Done);
    bench.answer(renewal, WorkerVerdict::Fenced);
    const std::optional<CallWorker> repeated = bench.takeLeaseRenewal("v");
    REQUIRE(repeated.has_value());
    CHECK(fencingTokenOf(*repeated) >= fencingTokenOf(start));
}

// Guards against the same where the start is sent first, and against ends that are never
// acknowledged while starts follow each other.
TEST_CASE("An acknowledgement waits for the starts before it, and leaves when they are answered")
{
    LeaderBench bench;
    startJob(bench);
    const CallWorker renewal = takeRenewal(bench, "v");
    bench.submit(otherJob, {makeStep(1, 100)});
    const CallWorker start = bench.takeStarts().at(0);
    bench.answerWithRuns(renewal, {}, {ended(1, job, 1)});
    CHECK_FALSE(bench.takeLeaseRenewal("v").has_value());
    SECTION("at once if the answer is soon")
    {
        bench.answer(start, WorkerVerdict::Done);
        const std::optional<CallWorker> next = bench.takeLeaseRenewal("v");
        REQUIRE(next.has_value());
        CHECK(acknowledgedBy(*next) == CompletionNumber(1));
    }
    SECTION("with leases renewed, and no further starts there, if it is late")
    {
        for (int poll = 0; poll < 2; ++poll) {
            const CallWorker listing = takeRenewal(bench, "v");
            CHECK(acknowledgedBy(listing) == CompletionNumber(0));
            CHECK(listing.leaseUntil > renewal.leaseUntil);
            bench.answerWithRuns(listing, {}, {ended(1, job, 1)});
        }
        bench.submit(thirdJob, {makeStep(1, 100)});
        CHECK(bench.takeStarts().empty());
        bench.answer(start, WorkerVerdict::Done);
        CHECK(acknowledgedBy(takeRenewal(bench, "v")) == CompletionNumber(1));
        CHECK(bench.takeStarts().size() == 1);
    }
}

// Guards against two runs at a time: a renewal for the former incarnation had granted the next one
// a longer lease than the leader reckoned with.
TEST_CASE("A run in a restarted worker lapses only after the longest lease that a worker accepts")
{
    constexpr std::int64_t LongestLease = 10'000;
    constexpr std::int64_t Step = 500;
    LeaderBench bench;
    startJob(bench);
    bench.answerWithRuns(takeRenewal(bench, "v"), {listed(job, 1)}, {});
    CHECK(takeRenewal(bench, "v").leaseUntil > 0);
    bench.sendHeartbeat("v", 2);
    bench.confirm("v", 2);
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    bench.answer(starts[0], WorkerVerdict::Done);
    for (std::int64_t silence = 0; silence + Step < LongestLease; silence += Step) {
        bench.advance(Step);
        bench.sendHeartbeat("w");
        while (const std::optional<CallWorker> renewal = bench.takeLeaseRenewal("v"))
            bench.answer(*renewal, WorkerVerdict::NoAnswer);
        CHECK(bench.takeStarts().empty());
    }
}

// Guards against two runs at a time: a start for an incarnation that has left was executed by the
// next one, beside the run that had replaced it.
TEST_CASE("A worker under the name of one that has left is polled before it gets runs")
{
    LeaderBench bench;
    bench.configure({}, Terms);
    bench.sendHeartbeat("v");
    bench.submit(job, {makeStep(1, 100)});
    bench.grantTickets();
    const CallWorker late = bench.takeStarts().at(0);
    bench.answer(late, WorkerVerdict::NoAnswer);
    bench.sendHeartbeat("v", 1, true);
    bench.call(WorkerLeave{WorkerId("v")});
    while (bench.takeLeaseRenewal("v").has_value()) {
    }
    bench.sendHeartbeat("v", 2);
    CHECK(bench.takeStarts().empty());
    const std::optional<CallWorker> poll = bench.takeLeaseRenewal("v");
    REQUIRE(poll.has_value());
    CHECK(poll->leaseUntil == 0);
    CHECK(fencingTokenOf(*poll) > fencingTokenOf(late));
    bench.answerWithRuns(*poll, {}, {});
    CHECK(bench.takeStarts().size() == 1);
}

// Guards against two runs at a time: a start without an answer was executed by the worker's third
// incarnation, which has seen no fencing token, while the task ran elsewhere.
TEST_CASE("A task starts elsewhere only when no copy of a start can reach a further incarnation")
{
    constexpr std::int64_t LongestTransit = 12'000;
    constexpr std::int64_t Step = 100;
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("v");
    bench.submit(job, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::NoAnswer);
    const Instant sentAt = bench.now();
    const bool hasSecondCopy = GENERATE(false, true);
    if (hasSecondCopy) {
        bench.advance(Step + Step);
        REQUIRE(bench.takeStarts().size() == 1);
    }
    bench.sendHeartbeat("w");
    bench.sendHeartbeat("v", 2);
    bench.confirm("v", 2);
    std::int64_t born = 2;
    while ((bench.now() - sentAt).value() < LongestTransit) {
        bench.advance(Step);
        bench.sendHeartbeat("w");
        CHECK(bench.takeStarts().empty());
        for (const CallWorker &stop : bench.takeStops())
            bench.answer(stop, WorkerVerdict::Done);
        if ((bench.now() - sentAt).value() > LongestTransit / 2 && born == 2) {
            born = 3;
            bench.sendHeartbeat("v", born);
            bench.confirm("v", born);
        }
        while (const std::optional<CallWorker> renewal = bench.takeLeaseRenewal("v"))
            bench.answerWithRuns(*renewal, {}, {});
    }
    std::vector<CallWorker> starts;
    for (int step = 0; step < 60 && starts.empty(); ++step) {
        bench.advance(Step);
        bench.sendHeartbeat("w");
        while (const std::optional<CallWorker> renewal = bench.takeLeaseRenewal("v"))
            bench.answerWithRuns(*renewal, {}, {});
        for (const CallWorker &stop : bench.takeStops())
            bench.answer(stop, WorkerVerdict::Done);
        starts = bench.takeStarts();
    }
    CHECK(starts.size() == 1);
}

// Guards against two runs at a time: the worker had crashed with the start in transit, and its next
// incarnation executed it before it was polled, beside the task's next run elsewhere.
TEST_CASE("A task without a ticket starts elsewhere only when its start can't arrive any more")
{
    constexpr std::int64_t LongestTransit = 12'000;
    constexpr std::int64_t LatestStart = 16'000;
    constexpr std::int64_t Step = 100;
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("v");
    bench.submit(job, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::NoAnswer);
    const Instant sentAt = bench.now();
    const bool hasLeft = GENERATE(false, true);
    if (hasLeft) {
        bench.sendHeartbeat("v", 1, true);
        bench.call(WorkerLeave{WorkerId("v")});
    }
    std::vector<CallWorker> starts;
    while (starts.empty() && (bench.now() - sentAt).value() < LatestStart) {
        bench.advance(Step);
        bench.sendHeartbeat("w");
        while (const std::optional<CallWorker> renewal = bench.takeLeaseRenewal("v"))
            bench.answer(*renewal, WorkerVerdict::NoAnswer);
        for (const CallWorker &stop : bench.takeStops())
            bench.answer(stop, WorkerVerdict::NoAnswer);
        starts = bench.takeStarts();
        CHECK((starts.empty() || (bench.now() - sentAt).value() > LongestTransit));
    }
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].incarnation.worker == WorkerId("w"));
}

// Guards against tasks that wait although the platform refuses the late start: a ticket is valid
// for one incarnation.
TEST_CASE("A task with a ticket starts elsewhere once its worker's lease has lapsed")
{
    LeaderBench bench;
    bench.configure({}, Terms);
    bench.sendHeartbeat("v");
    bench.submit(job, {makeStep(1, 100)});
    bench.grantTickets();
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::NoAnswer);
    bench.sendHeartbeat("w");
    constexpr std::int64_t LeaseAndMargin = 4000;
    const Instant sentAt = bench.now();
    std::vector<CallWorker> starts;
    while (starts.empty() && (bench.now() - sentAt).value() < LeaseAndMargin) {
        bench.advance(100);
        bench.sendHeartbeat("w");
        bench.grantTickets();
        while (const std::optional<CallWorker> renewal = bench.takeLeaseRenewal("v"))
            bench.answer(*renewal, WorkerVerdict::NoAnswer);
        for (const CallWorker &start : bench.takeStarts()) {
            if (start.incarnation.worker == WorkerId("w"))
                starts.push_back(start);
            else
                bench.answer(start, WorkerVerdict::NoAnswer);
        }
    }
    CHECK(starts.size() == 1);
}

// Guards against a task that starts again although its worker lists its end, since that end stands
// behind one that must wait.
TEST_CASE("An end that stands behind a waiting one is no lost run")
{
    constexpr std::int64_t Step = 100;
    constexpr std::int64_t LatestEnd = 16'000;
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("v");
    bench.sendHeartbeat("v", 2);
    bench.confirm("v", 2);
    bench.submit(job, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::NoAnswer);
    bench.advance(Step + Step);
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    bench.submit(otherJob, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    bench.answerWithRuns(takeRenewal(bench, "v"), {listed(job, 1), listed(otherJob, 1)}, {});
    bench.sendHeartbeat("w");
    for (std::int64_t passed = 0; passed < LatestEnd; passed += Step) {
        bench.advance(Step);
        bench.sendHeartbeat("v", 2);
        bench.sendHeartbeat("w");
        while (const std::optional<CallWorker> renewal = bench.takeLeaseRenewal("v"))
            bench.answerWithRuns(*renewal, {}, {ended(1, job, 1), ended(2, otherJob, 1)});
        CHECK(bench.takeStarts().empty());
    }
    for (const std::string &each : {job, otherJob})
        CHECK(std::get<JobStateReport>(bench.queryJob(each)).state == JobState::Completed);
}
