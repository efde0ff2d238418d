#include "tests/control/jobs/leader_bench.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

const std::string jobA = "00000000000000aa";
const std::string jobB = "00000000000000bb";
const std::string keyless;

bool isDone(const CallAnswer &answer)
{
    return std::holds_alternative<CallDone>(answer);
}

std::optional<Refusal> refusalOf(const CallAnswer &answer)
{
    const auto *const refused = std::get_if<CallRefused>(&answer);
    return refused == nullptr ? std::nullopt : std::optional<Refusal>(refused->refusal);
}

JobCall makeCall(JobVerb verb, const std::string &key, const std::string &path = "/q/" + jobA)
{
    JobSpec spec;
    spec.steps = {makeStep(1, 100)};
    const auto given = key.empty() ? std::nullopt : std::optional<ApiKey>(ApiKey(key));
    return JobCall{verb, "h", path, given, spec, {}};
}

CallAnswer call(LeaderBench &bench, JobVerb verb, const std::string &key,
                const std::string &path = "/q/" + jobA)
{
    return bench.call(makeCall(verb, key, path));
}

/** The length of the queue, as callers are told it. */
std::uint64_t waitingIn(LeaderBench &bench)
{
    return std::get<QueueLengthReport>(call(bench, JobVerb::Status, "key-of-alpha", "/q/")).waiting;
}

/** Submits job A, as the entry host does once and then again. */
CallAnswer submitFromHost(LeaderBench &bench)
{
    const CallOrigin origin{HostId("entry"), ExchangeId(1000), SessionId("process")};
    return bench.call(makeCall(JobVerb::Submit, "key-of-alpha"), origin);
}

/** Replaces the key of team alpha by "new-key". */
ConfigDocument withReplacedKey()
{
    ConfigDocument document = makeDocument();
    document.version = DocumentVersion(2);
    document.teams[0].keys = {ApiKey("new-key")};
    return document;
}

} // namespace

// Guards against a caller being told that its key is unknown while its job runs: the answer to the
// entry host was lost, and the key was withdrawn before the entry host's repetition.
TEST_CASE("A repeated submission is accepted after its key was withdrawn")
{
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("w");
    REQUIRE(isDone(submitFromHost(bench)));
    bench.configure(withReplacedKey());
    CHECK(isDone(submitFromHost(bench)));
    CHECK(bench.takeStarts().size() == 1);
    // The next leader knows it from the log.
    LeaderBench successor(bench.leader().store());
    CHECK(isDone(submitFromHost(successor)));
    CHECK(bench.leader().store().jobs.size() == 1);
}

// Guards against 404 for a job that runs, after its queue was removed or replaced.
TEST_CASE("A repeated submission is accepted after its queue was removed or replaced")
{
    LeaderBench bench;
    bench.configure();
    REQUIRE(isDone(submitFromHost(bench)));
    ConfigDocument document = withReplacedKey();
    document.queues[0].queue = QueueId("renamed");
    bench.configure(document);
    CHECK(isDone(submitFromHost(bench)));
    document.version = DocumentVersion(3);
    document.queues.clear();
    bench.configure(document);
    CHECK(isDone(submitFromHost(bench)));
    CHECK(refusalOf(call(bench, JobVerb::Submit, "key-of-alpha", "/q/" + jobB))
          == Refusal::NoSuchQueue);
}

// Guards against a withdrawn or guessed key showing more than the repeated call itself had stored.
TEST_CASE("A withdrawn key reads and cancels nothing, and other keys don't find the job")
{
    LeaderBench bench;
    bench.configure();
    REQUIRE(isDone(call(bench, JobVerb::Submit, "key-of-alpha")));
    bench.configure(withReplacedKey());
    CHECK(refusalOf(call(bench, JobVerb::Status, "key-of-alpha")) == Refusal::UnknownKey);
    CHECK(refusalOf(call(bench, JobVerb::Cancel, "key-of-alpha")) == Refusal::UnknownKey);
    CHECK(refusalOf(call(bench, JobVerb::Submit, "key-of-alpha", "/q/" + jobB))
          == Refusal::UnknownKey);
    CHECK(refusalOf(call(bench, JobVerb::Submit, keyless)) == Refusal::UnknownKey);
    CHECK(refusalOf(call(bench, JobVerb::Submit, "guessed")) == Refusal::UnknownKey);
    CHECK(refusalOf(call(bench, JobVerb::Submit, "key-of-alpha", "/x/" + jobA))
          == Refusal::NoSuchQueue);
    CHECK(bench.leader().store().jobs.size() == 1);
}

// Guards against a withdrawn key that still works: the caller repeats a call that was accepted.
TEST_CASE("A caller's own repetition of a submission needs a key that is valid now")
{
    LeaderBench bench;
    bench.configure();
    REQUIRE(isDone(submitFromHost(bench)));
    CHECK(isDone(call(bench, JobVerb::Submit, "key-of-alpha")));
    bench.configure(withReplacedKey());
    CHECK(refusalOf(call(bench, JobVerb::Submit, "key-of-alpha")) == Refusal::UnknownKey);
    CHECK(isDone(call(bench, JobVerb::Submit, "new-key")));
    CHECK(bench.leader().store().jobs.size() == 1);
}

// Guards against a queue length that leaves out jobs whose starts no worker has executed yet.
TEST_CASE("A job counts as waiting until a worker confirms that a task of it has begun")
{
    LeaderBench bench;
    bench.configure();
    bench.sendHeartbeat("w");
    CHECK(waitingIn(bench) == 0);
    REQUIRE(isDone(call(bench, JobVerb::Submit, "key-of-alpha")));
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 1);
    CHECK(waitingIn(bench) == 1);
    bench.answer(starts[0], WorkerVerdict::NoAnswer);
    CHECK(waitingIn(bench) == 1);
    // The next leader does not know whether the worker has executed the start.
    LeaderBench successor(bench.leader().store());
    successor.sendHeartbeat("w");
    CHECK(waitingIn(successor) == 1);
    SECTION("the worker answers a repetition")
    {
        bench.advance(200);
        bench.answer(bench.takeStarts().at(0), WorkerVerdict::Done);
        CHECK(waitingIn(bench) == 0);
    }
    SECTION("the worker lists the run")
    {
        successor.answerLeaseRenewal("w", {ReportedRun{makeTask(jobA, 0, 0), RunNumber(1)}});
        CHECK(waitingIn(successor) == 0);
    }
    SECTION("the worker lists the end of the run")
    {
        successor.answerLeaseRenewal("w", {},
                                     {ReportedCompletion{CompletionNumber(1), makeTask(jobA, 0, 0),
                                                         RunNumber(1), RunEnding::Failed}});
        CHECK(waitingIn(successor) == 0);
        LeaderBench third(successor.leader().store());
        CHECK(waitingIn(third) == 0);
    }
    SECTION("the job is cancelled")
    {
        call(bench, JobVerb::Cancel, "key-of-alpha");
        CHECK(waitingIn(bench) == 0);
    }
}
