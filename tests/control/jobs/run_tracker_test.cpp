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

/** Brings about that "v" has listed an end, its first, which must not be noted: the task was
 * started again on "w" meanwhile. Only "v" is of use afterwards. */
void listLateEnd(LeaderBench &bench)
{
    bench.configure();
    bench.pass(8000);
    bench.beat("v");
    bench.submit(late, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    bench.pass(200);
    const std::vector<CallWorker> elsewhere = bench.startElsewhere("v", "w");
    REQUIRE(elsewhere.size() == 1);
    bench.answer(elsewhere[0], WorkerVerdict::Done);
    bench.pass(1000);
    bench.answerHold("v", {}, {ended(1, late, 1, RunEnding::Done)});
    bench.beat("w", 1, true);
    bench.beat("v");
}

/** A worker "v" that runs one task of a second at a time and lists its ends. */
class OneByOne
{
public:
    explicit OneByOne(LeaderBench &bench)
        : m_bench(bench)
    {}

    /** Runs what is started next until the end of its time or of its lease. False if nothing is. */
    bool runOne()
    {
        constexpr std::int64_t TaskTime = 1000;
        m_bench.beat("v");
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

    [[nodiscard]] CompletionNumber noted() const { return m_noted; }

private:
    void list()
    {
        constexpr std::size_t MostListed = 500;
        m_bench.pass(400);
        const std::optional<CallWorker> hold = m_bench.takeHold("v");
        REQUIRE(hold.has_value());
        m_noted = std::get<OrderLeaseRenewal>(hold->order).durableUpTo;
        std::vector<ReportedCompletion> listed;
        if (m_noted == CompletionNumber(0))
            listed.push_back(ended(1, late, 1, RunEnding::Done));
        for (const ReportedCompletion &end : m_ends) {
            if (end.number > m_noted && listed.size() < MostListed)
                listed.push_back(end);
        }
        WorkerAnswer answer;
        answer.call = hold->call;
        answer.verdict = WorkerVerdict::Done;
        answer.clock = m_bench.now().value();
        answer.ended = std::move(listed);
        m_bench.answer(answer);
    }

    LeaderBench &m_bench;
    std::vector<ReportedCompletion> m_ends;
    CompletionNumber m_noted;
};

} // namespace

// Guards against a list that grows to its limit, after which runs on that worker never end.
TEST_CASE("A worker with an end that can't be noted goes on to work, and its ends are noted again")
{
    constexpr std::uint64_t Jobs = 600;
    LeaderBench bench;
    listLateEnd(bench);
    OneByOne worker(bench);
    for (std::uint64_t job = 1; job <= Jobs; ++job) {
        bench.submit(nameOf(job), {makeStep(1, 1000)});
        for (int runs = 0; runs < 2; ++runs) {
            if (std::get<JobStateReport>(bench.look(nameOf(job))).state == JobState::Completed)
                break;
            INFO("job " << job);
            REQUIRE(worker.runOne());
        }
        REQUIRE(std::get<JobStateReport>(bench.look(nameOf(job))).state == JobState::Completed);
    }
    CHECK(worker.noted() > CompletionNumber(Jobs - 1));
}

// Guards against work that is killed, or room that is left idle, before a list gets long.
TEST_CASE("A worker with an end that can't be noted works as before until its list is long")
{
    LeaderBench bench;
    listLateEnd(bench);
    StepSpec lasting = makeStep(1, 100);
    lasting.isLongRunning = true;
    bench.submit(nameOf(1), {lasting});
    CHECK(bench.takeStarts().size() == 1);
    bench.submit(nameOf(2), {makeStep(3, 100)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 3);
    CHECK(starts[2].leaseUntil == bench.now().value() + WorkerPool::LeaseLength.value());
}

// Guards against lasting work that is killed so that ends can be noted.
TEST_CASE("A worker with a long list of ends that can't be noted gets one run and no lasting work")
{
    constexpr std::uint64_t LongList = 200;
    LeaderBench bench;
    listLateEnd(bench);
    OneByOne worker(bench);
    for (std::uint64_t job = 1; job < LongList; ++job) {
        bench.submit(nameOf(job), {makeStep(1, 1000)});
        REQUIRE(worker.runOne());
    }
    StepSpec lasting = makeStep(1, 100);
    lasting.isLongRunning = true;
    bench.beat("v");
    bench.submit(nameOf(LongList), {lasting});
    CHECK(bench.takeStarts().empty());
    bench.submit(nameOf(LongList + 1), {makeStep(3, 100)});
    CHECK(bench.takeStarts().size() == 1);
}

// Guards against ends that are kept for a start that never leaves.
TEST_CASE("An end that comes before the task's next start has left is noted, and nothing starts")
{
    LeaderBench bench;
    bench.configure();
    bench.pass(8000);
    bench.beat("v");
    bench.submit(late, {makeStep(1, 100)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    bench.pass(200);
    // The lease is over, and the next start is decided but not durable.
    bench.pauseLog();
    CHECK(bench.startElsewhere("v", "w").empty());
    bench.answerHold("v", {}, {ended(1, late, 1, RunEnding::Done)});
    bench.resumeLog();
    CHECK(bench.takeStarts().empty());
    CHECK(std::get<JobStateReport>(bench.look(late)).state == JobState::Completed);
    bench.beat("v");
    bench.beat("w");
    bench.submit(nameOf(1), {makeStep(20, 100)});
    for (const CallWorker &start : bench.takeStarts())
        bench.answer(start, WorkerVerdict::Done);
    bench.pass(1000);
    const std::optional<CallWorker> hold = bench.takeHold("v");
    REQUIRE(hold.has_value());
    CHECK(std::get<OrderLeaseRenewal>(hold->order).durableUpTo == CompletionNumber(1));
}

// Guards against two runs at a time: an order of a former leader reaches a life without a fence.
TEST_CASE("What a former leader ordered is stopped in the worker's next life before it runs again")
{
    LeaderBench first;
    first.configure();
    first.beat("v");
    first.submit(late, {makeStep(1, 100)});
    REQUIRE(first.takeStarts().size() == 1);

    LeaderBench second(first.leader().book());
    second.beat("v", 2);
    second.beat("w");
    CHECK(second.takeStarts().empty());
    const std::vector<CallWorker> stops = second.takeStops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].incarnation == makeLife("v", 2));
    second.answer(stops[0], WorkerVerdict::Done, 2);
    second.answerHold("v", {});
    second.answerHold("v", {});
    CHECK(second.takeStarts().size() == 1);
}

// Guards against one attempt too many: a failure that the book does not count must not count.
TEST_CASE("A failure that is listed after its run was taken for lapsed is not noted")
{
    LeaderBench bench;
    bench.configure();
    bench.pass(8000);
    bench.beat("v");
    bench.submit(late, {makeStep(1, 1000)});
    bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
    bench.pass(200);
    for (int step = 0; step < 60; ++step) {
        bench.pass(100);
        if (const std::optional<CallWorker> hold = bench.takeHold("v"))
            bench.answer(*hold, WorkerVerdict::NoAnswer);
    }
    bench.pass(1000);
    bench.answerHold("v", {}, {ended(1, late, 1, RunEnding::Failed)});
    bench.beat("v");
    bench.pass(100);
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    CHECK(std::get<OrderStart>(starts[0].order).run == RunNumber(2));
    bench.answer(starts[0], WorkerVerdict::Done);
    bench.pass(1000);
    const std::optional<CallWorker> hold = bench.takeHold("v");
    REQUIRE(hold.has_value());
    CHECK(std::get<OrderLeaseRenewal>(hold->order).durableUpTo == CompletionNumber(0));
}

// Guards against two runs at a time: the next life's lease is not the one that was granted to it.
TEST_CASE("A run that may be at work in the worker's next life does not lapse before that life's "
          "list")
{
    LeaderBench bench;
    bench.configure();
    bench.pass(8000);
    bench.beat("v");
    bench.submit(late, {makeStep(1, 100)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    bench.beat("w");
    REQUIRE(bench.takeHold("v").has_value());
    // The start was carried out by a life that the leader has not heard of.
    bench.answer(starts[0], WorkerVerdict::Done, 2);
    const std::vector<CallWorker> stops = bench.takeStops();
    REQUIRE(stops.size() == 1);
    bench.answer(stops[0], WorkerVerdict::Done, 2);
    bench.pass(100);
    CHECK(bench.takeStarts().empty());
}

// Guards against two runs at a time: a list from before a run's start says nothing of it.
TEST_CASE("A list that was asked for when an earlier run was there proves no later run lost")
{
    LeaderBench first;
    first.configure();
    first.beat("v");
    first.submit(late, {makeStep(1, 100)});
    REQUIRE(first.takeStarts().size() == 1);

    LeaderBench second(first.leader().book());
    second.pass(100);
    const std::optional<CallWorker> hold = second.takeHold("v");
    REQUIRE(hold.has_value());
    second.pass(4500);
    second.beat("v");
    second.pass(100);
    const std::vector<CallWorker> starts = second.takeStarts();
    REQUIRE(starts.size() == 1);
    second.answer(starts[0], WorkerVerdict::Done);
    second.answer(*hold, WorkerVerdict::Done);
    second.pass(100);
    CHECK(second.takeStarts().empty());
}

// Guards against ends and leases that a silent worker's next life takes over unseen.
TEST_CASE("A silent worker is only asked what it runs: nothing is noted, granted or started there")
{
    LeaderBench bench;
    bench.configure();
    bench.beat("v");
    bench.submit(late, {makeStep(2, 100)});
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 2);
    bench.answer(starts[0], WorkerVerdict::Done);
    bench.answerHold("v", {}, {ended(3, late, 1, RunEnding::Done)});
    bench.pass(200);
    bench.answer(starts[1], WorkerVerdict::NoAnswer);
    std::optional<CallWorker> hold = bench.takeHold("v");
    REQUIRE(hold.has_value());
    CHECK(std::get<OrderLeaseRenewal>(hold->order).durableUpTo == CompletionNumber(3));
    bench.answer(*hold, WorkerVerdict::NoAnswer);
    bench.takeStarts();
    bench.pass(1000);
    hold = bench.takeHold("v");
    REQUIRE(hold.has_value());
    CHECK(std::get<OrderLeaseRenewal>(hold->order).durableUpTo == CompletionNumber(0));
    CHECK(hold->leaseUntil == 0);
    CHECK(bench.takeStarts().empty());
    bench.answer(*hold, WorkerVerdict::Done);
    bench.pass(200);
    CHECK(bench.takeStarts().size() == 1);
}
