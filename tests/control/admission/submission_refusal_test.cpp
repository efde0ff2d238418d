#include "core/job_size.h"
#include "tests/control/jobs/leader_bench.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

constexpr std::uint32_t ManyTasks = 5000;

std::string makeId(int number)
{
    return absl::StrCat(absl::Hex(number, absl::kZeroPad16));
}

JobCall makeSubmission(int number, std::uint32_t tasks)
{
    JobSpec spec;
    spec.steps = {makeStep(tasks, 100)};
    return JobCall{JobVerb::Submit, "h", "/q/" + makeId(number), ApiKey("key-of-alpha"), spec, {}};
}

bool isAccepted(const CallAnswer &answer)
{
    return std::holds_alternative<CallDone>(answer);
}

/** A leader with memory for a few jobs of many tasks. */
LeaderBench makeSmallLeader()
{
    return LeaderBench({}, toBytes(Mebibytes(4)));
}

/** Submits jobs of many tasks until one is refused; returns its number. */
int fillUp(LeaderBench &bench)
{
    int number = 1;
    while (isAccepted(bench.call(makeSubmission(number, ManyTasks))))
        ++number;
    return number;
}

} // namespace

// Guards against keepers that end, and end again at each start, by jobs that each are legal.
TEST_CASE("Jobs that the memory does not hold are refused at once, and others are accepted")
{
    LeaderBench bench = makeSmallLeader();
    bench.configure();
    const int refused = fillUp(bench);
    CHECK(refused > 1);
    const CallAnswer answer = bench.call(makeSubmission(refused, ManyTasks));
    REQUIRE(std::holds_alternative<CallRefused>(answer));
    CHECK(std::get<CallRefused>(answer).refusal == Refusal::Unavailable);
    CHECK(std::get<CallRefused>(answer).retryAfter >= Milliseconds(1000));
    CHECK_FALSE(bench.leader().store().jobs.contains(JobId(makeId(refused))));
    // A repetition is told that its job was accepted, and small jobs still fit.
    CHECK(isAccepted(bench.call(makeSubmission(1, ManyTasks))));
    CHECK(isAccepted(bench.call(makeSubmission(900, 1))));
}

TEST_CASE("Room is given back when jobs are forgotten")
{
    LeaderBench bench = makeSmallLeader();
    bench.configure();
    const int refused = fillUp(bench);
    for (int number = 1; number < refused; ++number)
        bench.queryJob(makeId(number), JobVerb::Cancel);
    CHECK_FALSE(isAccepted(bench.call(makeSubmission(refused, ManyTasks))));
    bench.advance(DefaultJobRetentionMilliseconds + 1000);
    CHECK(isAccepted(bench.call(makeSubmission(refused, ManyTasks))));
}

TEST_CASE("A successor has the same bound for the jobs that it inherits")
{
    LeaderBench bench = makeSmallLeader();
    bench.configure();
    const int refused = fillUp(bench);
    LeaderBench successor(bench.leader().store(), toBytes(Mebibytes(4)));
    CHECK_FALSE(isAccepted(successor.call(makeSubmission(refused, ManyTasks))));
    CHECK(isAccepted(successor.call(makeSubmission(1, ManyTasks))));
}

// Guards against 503, which says that a job never runs, for a job that is stored.
TEST_CASE("A shed submission is refused, or confirmed if the job is stored")
{
    LeaderBench bench;
    bench.configure();
    JobCall shed = makeSubmission(1, 1);
    shed.spec = {};
    shed.isShed = true;
    const CallAnswer answer = bench.call(shed);
    REQUIRE(std::holds_alternative<CallRefused>(answer));
    CHECK(std::get<CallRefused>(answer).refusal == Refusal::Unavailable);
    CHECK(std::get<CallRefused>(answer).retryAfter >= Milliseconds(1000));
    CHECK(isAccepted(bench.call(makeSubmission(1, 1))));
    CHECK(isAccepted(bench.call(shed)));
}

TEST_CASE("A due occurrence waits until the memory holds it")
{
    LeaderBench bench = makeSmallLeader();
    bench.configure();
    JobCall repeating = makeSubmission(1, ManyTasks);
    JobSpec spec = *repeating.spec;
    spec.repeats = 50;
    spec.period = Milliseconds(100);
    repeating.spec = spec;
    REQUIRE(isAccepted(bench.call(repeating)));
    bench.advance(20'000);
    const Job &job = bench.leader().store().jobs.at(JobId(makeId(1)));
    CHECK(job.occurrencesBegun > 0);
    CHECK(storedBytes(job) <= toBytes(Mebibytes(4)));
}
