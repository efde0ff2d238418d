#include "tests/control/jobs/leader_bench.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

const std::string late = "00000000000000aa";

std::string nameOf(std::uint64_t number)
{
    const std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

ReportedCompletion ended(std::uint64_t number, const std::string &job, std::uint64_t run,
                         RunEnding ending)
{
    return {CompletionNumber(number), makeTask(job, 0, 0), RunNumber(run), ending, {}};
}

/** Makes "v" list an end, its first, which must not be acknowledged: the list was in transit when
 * the task was started again on "w". Only "v" accepts runs afterwards. */
void listLateEnd(LeaderBench &bench)
{
    bench.configure();
    bench.advance(8000);
    bench.sendHeartbeat("v");
    bench.submit(late, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    bench.advance(200);
    const std::int64_t listedAt = bench.now().value();
    const std::vector<CallWorker> elsewhere = bench.startElsewhere("v", "w");
    REQUIRE(elsewhere.size() == 1);
    bench.answer(elsewhere[0], WorkerVerdict::Done);
    bench.advance(1000);
    bench.answerLeaseRenewal("v", {}, {ended(1, late, 1, RunEnding::Done)}, listedAt);
    bench.sendHeartbeat("w", 1, true);
    bench.sendHeartbeat("v");
    // The late list has set back the clock that the leader reckons with; a refusal corrects it.
    const std::string refused = nameOf(9999);
    bench.submit(refused, {makeStep(1, 100)});
    const CallWorker start = bench.takeStarts().at(0);
    bench.queryJob(refused, JobVerb::Cancel);
    bench.answer(start, WorkerVerdict::Late);
}

/** A worker "v" that runs one task at a time, for a second each, and lists its ends. */
class OneByOne
{
public:
    explicit OneByOne(LeaderBench &bench)
        : m_bench(bench)
    {}

    /** Executes the next start until its time or its lease ends. False if nothing is started. */
    bool runOne()
    {
        constexpr std::int64_t TaskTime = 1000;
        m_bench.sendHeartbeat("v");
        const std::vector<CallWorker> starts = m_bench.takeStarts();
        if (starts.size() != 1)
            return false;
        const CallWorker &start = starts[0];
        const auto &order = std::get<OrderStart>(start.order);
        const bool lapses = start.leaseUntil < m_bench.now().value() + TaskTime;
        m_bench.answer(start, WorkerVerdict::Done);
        m_ends.push_back({CompletionNumber(m_ends.size() + 2),
                          order.task,
                          order.run,
                          lapses ? RunEnding::Lapsed : RunEnding::Done,
                          {}});
        list();
        return true;
    }

    /** Executes the start of a long-running task until its lease ends. */
    void keepRunning(const std::string &job, const CallWorker &start)
    {
        m_bench.answer(start, WorkerVerdict::Done);
        m_lasting = ReportedRun{makeTask(job, 0, 0), RunNumber(1), {}, 100, 0};
        m_leaseUntil = start.leaseUntil;
    }

    [[nodiscard]] CompletionNumber acknowledged() const { return m_acknowledged; }

    /** Answers the next renewal. */
    void list()
    {
        constexpr std::size_t MostListed = 500;
        m_bench.advance(400);
        const std::optional<CallWorker> renewal = m_bench.takeLeaseRenewal("v");
        if (m_lasting.has_value() && !renewal.has_value())
            return;
        REQUIRE(renewal.has_value());
        m_leaseUntil = std::max(m_leaseUntil, renewal->leaseUntil);
        if (m_lasting.has_value() && m_bench.now().value() > m_leaseUntil) {
            m_ends.push_back({CompletionNumber(m_ends.size() + 2),
                              m_lasting->task,
                              m_lasting->run,
                              RunEnding::Lapsed,
                              {}});
            m_lasting.reset();
        }
        m_acknowledged = std::get<OrderLeaseRenewal>(renewal->order).durableUpTo;
        std::vector<ReportedCompletion> listed;
        if (m_acknowledged == CompletionNumber(0))
            listed.push_back(ended(1, late, 1, RunEnding::Done));
        for (const ReportedCompletion &end : m_ends) {
            if (end.number > m_acknowledged && listed.size() < MostListed)
                listed.push_back(end);
        }
        WorkerAnswer answer;
        answer.call = renewal->call;
        answer.verdict = WorkerVerdict::Done;
        answer.clock = m_bench.now().value();
        answer.ended = std::move(listed);
        if (m_lasting.has_value())
            answer.running = {*m_lasting};
        m_bench.answer(answer);
    }

private:
    LeaderBench &m_bench;
    std::vector<ReportedCompletion> m_ends;
    std::optional<ReportedRun> m_lasting;
    std::int64_t m_leaseUntil = 0;
    CompletionNumber m_acknowledged;
};

/** Submits a job of one task, and returns its start on "v", the only worker. */
CallWorker startOnV(LeaderBench &bench)
{
    bench.configure();
    bench.sendHeartbeat("v");
    bench.submit("00000000000000aa", {makeStep(1, 100)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    return starts[0];
}

} // namespace

// Guards against a list of ends that grows to its limit, after which runs on that worker never
// end.
TEST_CASE("A worker with an end that can't be acknowledged keeps working, and later ends are "
          "acknowledged")
{
    constexpr std::uint64_t Jobs = 600;
    LeaderBench bench;
    listLateEnd(bench);
    OneByOne worker(bench);
    for (std::uint64_t job = 1; job <= Jobs; ++job) {
        bench.submit(nameOf(job), {makeStep(1, 1000)});
        for (int runs = 0; runs < 2; ++runs) {
            if (std::get<JobStateReport>(bench.queryJob(nameOf(job))).state == JobState::Completed)
                break;
            INFO("job " << job);
            REQUIRE(worker.runOne());
        }
        REQUIRE(std::get<JobStateReport>(bench.queryJob(nameOf(job))).state == JobState::Completed);
    }
    CHECK(worker.acknowledged() > CompletionNumber(Jobs - 1));
}

// Guards against runs that are killed, or capacity that stays idle, before the list is long.
TEST_CASE("A worker with an end that can't be acknowledged works as before until its list is long")
{
    LeaderBench bench;
    listLateEnd(bench);
    StepSpec longRunning = makeStep(1, 100);
    longRunning.isLongRunning = true;
    bench.submit(nameOf(1), {longRunning});
    CHECK(bench.takeStarts().size() == 1);
    bench.submit(nameOf(2), {makeStep(3, 100)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 3);
    CHECK(starts[2].leaseUntil == bench.now().value() + WorkerPool::LeaseLength.value());
}

// Guards against long-running tasks that are killed so that ends can be acknowledged.
TEST_CASE("A worker with a long list of unacknowledged ends gets one run and no long-running task")
{
    constexpr std::uint64_t LongList = 200;
    LeaderBench bench;
    listLateEnd(bench);
    OneByOne worker(bench);
    for (std::uint64_t job = 1; job < LongList; ++job) {
        bench.submit(nameOf(job), {makeStep(1, 1000)});
        REQUIRE(worker.runOne());
    }
    StepSpec longRunning = makeStep(1, 100);
    longRunning.isLongRunning = true;
    bench.sendHeartbeat("v");
    bench.submit(nameOf(LongList), {longRunning});
    CHECK(bench.takeStarts().empty());
    bench.submit(nameOf(LongList + 1), {makeStep(3, 100)});
    CHECK(bench.takeStarts().size() == 1);
}

// Guards against a worker that gets no more runs for good: a long-running task there never ends, so
// its lease never lapsed.
TEST_CASE(
        "A worker with a long-running task and 400 unacknowledged ends is used again after a lapse")
{
    constexpr std::uint64_t LongestList = 400;
    LeaderBench bench;
    listLateEnd(bench);
    StepSpec longRunning = makeStep(1, 100);
    longRunning.isLongRunning = true;
    const std::string lasting = nameOf(5000);
    bench.submit(lasting, {longRunning});
    OneByOne worker(bench);
    worker.keepRunning(lasting, bench.takeStarts().at(0));
    std::uint64_t job = 1;
    for (bool isUsed = true; isUsed && job <= LongestList; ++job) {
        bench.submit(nameOf(job), {makeStep(1, 100)});
        isUsed = worker.runOne();
    }
    REQUIRE(job > LongestList - 2);
    // The lease is 3 s; the task starts again, and what waits is started.
    constexpr std::int64_t LeaseAndMargin = 5000;
    std::vector<CallWorker> starts;
    for (std::int64_t passed = 0; passed < LeaseAndMargin; passed += 400) {
        worker.list();
        bench.sendHeartbeat("v");
        for (const CallWorker &start : bench.takeStarts())
            starts.push_back(start);
    }
    CHECK(starts.size() == 2);
}

// Guards against ends that are withheld because of a start that is never sent.
TEST_CASE("An end listed before the task's next start is sent is acknowledged, and nothing starts")
{
    LeaderBench bench;
    bench.configure();
    bench.advance(8000);
    bench.sendHeartbeat("v");
    bench.submit(late, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    bench.advance(200);
    // The lease has ended, and the next start is decided but not durable.
    bench.pauseLog();
    CHECK(bench.startElsewhere("v", "w").empty());
    bench.answerLeaseRenewal("v", {}, {ended(1, late, 1, RunEnding::Done)});
    bench.resumeLog();
    CHECK(bench.takeStarts().empty());
    CHECK(std::get<JobStateReport>(bench.queryJob(late)).state == JobState::Completed);
    bench.sendHeartbeat("v");
    bench.sendHeartbeat("w");
    bench.submit(nameOf(1), {makeStep(20, 100)});
    for (const CallWorker &start : bench.takeStarts())
        bench.answer(start, WorkerVerdict::Done);
    bench.advance(1000);
    const std::optional<CallWorker> renewal = bench.takeLeaseRenewal("v");
    REQUIRE(renewal.has_value());
    CHECK(std::get<OrderLeaseRenewal>(renewal->order).durableUpTo == CompletionNumber(1));
}

// Guards against two runs at a time: an order of a former leader reaches an incarnation that has no
// fence yet.
TEST_CASE(
        "A former leader's run is stopped in the worker's next incarnation before it starts again")
{
    LeaderBench first;
    first.configure();
    first.sendHeartbeat("v");
    first.submit(late, {makeStep(1, 100)});
    REQUIRE(first.takeStarts().size() == 1);

    LeaderBench second(first.leader().store());
    second.sendHeartbeat("v", 2);
    second.sendHeartbeat("w");
    second.confirm("v", 2);
    CHECK(second.takeStarts().empty());
    const std::vector<CallWorker> stops = second.takeStops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].incarnation == makeIncarnation("v", 2));
    second.answer(stops[0], WorkerVerdict::Done, 2);
    second.answerLeaseRenewal("v", {});
    // A third incarnation may execute the order as long as it can be in transit.
    constexpr std::int64_t LongestTransit = 12'000;
    constexpr std::int64_t LatestStart = 16'000;
    std::size_t starts = 0;
    for (std::int64_t passed = 0; passed < LatestStart && starts == 0; passed += 100) {
        second.advance(100);
        second.sendHeartbeat("w");
        while (const std::optional<CallWorker> renewal = second.takeLeaseRenewal("v"))
            second.answerWithRuns(*renewal, {}, {});
        for (const CallWorker &stop : second.takeStops())
            second.answer(stop, WorkerVerdict::Done);
        starts = second.takeStarts().size();
        CHECK((starts == 0 || passed >= LongestTransit));
    }
    CHECK(starts == 1);
}

// Guards against one attempt too many: a failure that the job store does not count must not
// be acknowledged.
TEST_CASE("A failure listed after its run was considered lapsed is not acknowledged")
{
    LeaderBench bench;
    bench.configure();
    bench.advance(8000);
    bench.sendHeartbeat("v");
    bench.submit(late, {makeStep(1, 1000)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    bench.advance(200);
    const std::int64_t listedAt = bench.now().value();
    for (int step = 0; step < 60; ++step) {
        bench.advance(100);
        if (const std::optional<CallWorker> renewal = bench.takeLeaseRenewal("v"))
            bench.answer(*renewal, WorkerVerdict::NoAnswer);
    }
    bench.advance(1000);
    bench.answerLeaseRenewal("v", {}, {ended(1, late, 1, RunEnding::Failed)}, listedAt);
    bench.sendHeartbeat("v");
    bench.advance(100);
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    CHECK(std::get<OrderStart>(starts[0].order).run == RunNumber(2));
    bench.answer(starts[0], WorkerVerdict::Done);
    bench.advance(1000);
    const std::optional<CallWorker> renewal = bench.takeLeaseRenewal("v");
    REQUIRE(renewal.has_value());
    CHECK(std::get<OrderLeaseRenewal>(renewal->order).durableUpTo == CompletionNumber(0));
}

// Guards against two runs at a time: the lease of the next incarnation is not the one granted to
// the first.
TEST_CASE("A run that may execute in the worker's next incarnation does not lapse before that "
          "incarnation's list")
{
    LeaderBench bench;
    bench.configure();
    bench.advance(8000);
    bench.sendHeartbeat("v");
    bench.submit(late, {makeStep(1, 100)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    bench.sendHeartbeat("w");
    REQUIRE(bench.takeLeaseRenewal("v").has_value());
    // The start was executed by an incarnation that the leader does not know yet.
    bench.answer(starts[0], WorkerVerdict::Done, 2);
    const std::vector<CallWorker> stops = bench.takeStops();
    REQUIRE(stops.size() == 1);
    bench.answer(stops[0], WorkerVerdict::Done, 2);
    bench.advance(100);
    CHECK(bench.takeStarts().empty());
}

// Guards against two runs at a time: a list from before a run's start is no evidence about it.
TEST_CASE("A list requested during an earlier run does not make a later run count as lost")
{
    LeaderBench first;
    first.configure();
    first.sendHeartbeat("v");
    first.submit(late, {makeStep(1, 100)});
    REQUIRE(first.takeStarts().size() == 1);

    LeaderBench second(first.leader().store());
    second.advance(100);
    const std::optional<CallWorker> renewal = second.takeLeaseRenewal("v");
    REQUIRE(renewal.has_value());
    // The former leader's start may arrive for so long.
    constexpr std::int64_t LatestStart = 16'000;
    for (std::int64_t passed = 0; passed < LatestStart; passed += 500) {
        second.advance(500);
        second.sendHeartbeat("v");
    }
    second.advance(100);
    const std::vector<CallWorker> starts = second.takeStarts();
    REQUIRE(starts.size() == 1);
    second.answer(starts[0], WorkerVerdict::Done);
    second.answer(*renewal, WorkerVerdict::Done);
    second.advance(100);
    CHECK(second.takeStarts().empty());
}

// Guards against ends and leases that a silent worker's next incarnation takes over unnoticed.
TEST_CASE("A silent worker is only polled: nothing is acknowledged, granted or started there")
{
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("v");
    bench.submit(late, {makeStep(2, 100)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 2);
    for (const CallWorker &start : starts)
        bench.answer(start, WorkerVerdict::Done);
    const ReportedRun running{makeTask(late, 0, 1), RunNumber(1), {}, 100, 0};
    bench.answerLeaseRenewal("v", {running}, {ended(3, late, 1, RunEnding::Done)});
    bench.advance(200);
    std::optional<CallWorker> renewal = bench.takeLeaseRenewal("v");
    REQUIRE(renewal.has_value());
    CHECK(std::get<OrderLeaseRenewal>(renewal->order).durableUpTo == CompletionNumber(3));
    // An acknowledgement would wait for a start before it, so this one follows.
    bench.submit("00000000000000ee", {makeStep(1, 100)});
    const std::vector<CallWorker> later = bench.takeStarts();
    REQUIRE(later.size() == 1);
    bench.answer(later[0], WorkerVerdict::NoAnswer);
    bench.answer(*renewal, WorkerVerdict::NoAnswer);
    bench.takeStarts();
    bench.advance(1000);
    renewal = bench.takeLeaseRenewal("v");
    REQUIRE(renewal.has_value());
    CHECK(std::get<OrderLeaseRenewal>(renewal->order).durableUpTo == CompletionNumber(0));
    CHECK(renewal->leaseUntil == 0);
    CHECK(bench.takeStarts().empty());
    bench.answerWithRuns(*renewal, {running}, {});
    bench.advance(200);
    CHECK(bench.takeStarts().size() == 1);
}

// Guards against a task that starts on a worker which has long said that it drains: the start there
// had got no answer, and was repeated until the lease lapsed.
TEST_CASE("An unanswered start is not repeated to a worker that drains")
{
    constexpr std::int64_t StepMs = 100;
    constexpr std::int64_t LeaseMs = WorkerPool::LeaseLength.value();
    const bool isDraining = GENERATE(false, true);
    LeaderBench bench;
    const CallWorker start = startOnV(bench);
    bench.sendHeartbeat("v", 1, isDraining);
    bench.answer(start, WorkerVerdict::NoAnswer);
    std::size_t repeated = 0;
    std::size_t stopped = 0;
    for (std::int64_t passed = 0; passed < LeaseMs; passed += StepMs) {
        bench.advance(StepMs);
        for (const CallWorker &repetition : bench.takeStarts()) {
            ++repeated;
            bench.answer(repetition, WorkerVerdict::NoAnswer);
        }
        stopped += bench.takeStops().size();
    }
    CHECK((repeated > 0) == !isDraining);
    CHECK((stopped > 0) == isDraining);
}

// Guards against a task that waits on a draining worker until that leaves.
TEST_CASE("A start that a draining worker has not executed goes to another worker after its list")
{
    LeaderBench bench;
    const CallWorker start = startOnV(bench);
    bench.sendHeartbeat("v", 1, true);
    bench.sendHeartbeat("w");
    bench.answer(start, WorkerVerdict::NoAnswer);
    bench.advance(200);
    const std::vector<CallWorker> stops = bench.takeStops();
    REQUIRE(stops.size() == 1);
    bench.answer(stops[0], WorkerVerdict::Done);
    // The first list may have been asked for before the stop was answered.
    bench.answerLeaseRenewal("v", {});
    bench.answerLeaseRenewal("v", {});
    const std::vector<CallWorker> next = bench.takeStarts();
    REQUIRE(next.size() == 1);
    CHECK(next[0].incarnation == makeIncarnation("w"));
}
