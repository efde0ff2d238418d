#include "core/request_name.h"
#include "tests/control/solo_host.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using tests::SoloHost;

namespace {

CallEnded answered(const StartTask &start, const std::string &body)
{
    CallEnded event;
    event.call = start.call;
    event.outcome = CallOutcome::Answered;
    event.httpStatus = 200;
    event.body = std::make_shared<const std::string>(body);
    return event;
}

CallEnded ended(const StartTask &start, CallOutcome outcome)
{
    CallEnded event;
    event.call = start.call;
    event.outcome = outcome;
    return event;
}

/** Returns a trace of the effects, for comparing two runs. */
std::string traceOf(const SoloHost &host)
{
    std::string trace;
    for (const Effect &effect : host.effects()) {
        trace += std::to_string(effect.index());
        if (const auto *start = std::get_if<StartTask>(&effect))
            trace += start->order.task.value() + '@' + start->worker.value();
        if (const auto *persist = std::get_if<Persist>(&effect))
            trace += '+' + std::to_string(persist->records.size());
        trace += ' ';
    }
    return trace;
}

} // namespace

TEST_CASE("A start order is sent only after the record of the start is synced")
{
    SoloHost host;
    host.prepare();
    host.setAutoSync(false);
    host.submit("x", false);
    CHECK(host.count<Persist>() == 1);
    CHECK(host.count<StartTask>() == 0);
    host.sync();
    REQUIRE(host.count<StartTask>() == 1);
    CHECK(host.last<StartTask>()->order.task == TaskId("hobart:t:x/0/1"));
}

TEST_CASE("The full answer reaches its caller, and a resend gets the same answer")
{
    SoloHost host;
    host.prepare();
    const ExchangeId first = host.submit("x", false);
    host.feed(answered(*host.last<StartTask>(), "marks"));
    const auto *answer = host.answerTo<RequestAnswer>(first);
    REQUIRE(answer != nullptr);
    CHECK(answer->outcome == Outcome::Done);
    CHECK(*answer->result == "marks");
    const ExchangeId second = host.submit("x", false);
    answer = host.answerTo<RequestAnswer>(second);
    REQUIRE(answer != nullptr);
    CHECK(*answer->result == "marks");
    CHECK(host.count<StartTask>() == 1);
}

TEST_CASE("A resend of a pending request waits for the outcome of the first")
{
    SoloHost host;
    host.prepare();
    const ExchangeId first = host.submit("x", false);
    const ExchangeId second = host.submit("x", false);
    CHECK(host.count<StartTask>() == 1);
    host.feed(answered(*host.last<StartTask>(), "marks"));
    CHECK(host.answerTo<RequestAnswer>(first)->outcome == Outcome::Done);
    CHECK(host.answerTo<RequestAnswer>(second)->outcome == Outcome::Done);
}

TEST_CASE("A request name cannot be reused for different work")
{
    SoloHost host;
    host.prepare();
    host.submit("x", false);
    const ExchangeId second = host.submit("x", true);
    const auto *answer = host.answerTo<ErrorAnswer>(second);
    REQUIRE(answer != nullptr);
    CHECK(absl::IsAlreadyExists(answer->error));
}

TEST_CASE("A request with a wrong key is refused and has no effect")
{
    SoloHost host;
    host.prepare();
    const ExchangeId exchange = host.submit("x", false, "guess");
    const auto *answer = host.answerTo<ErrorAnswer>(exchange);
    REQUIRE(answer != nullptr);
    CHECK(absl::IsUnauthenticated(answer->error));
    CHECK(answer->notRun);
    CHECK(host.count<Persist>() == 0);
    CHECK(host.count<StartTask>() == 0);
}

TEST_CASE("At-most-once work is not started again when its answer is lost")
{
    SoloHost host;
    host.prepare();
    const ExchangeId exchange = host.submit("x", false);
    const StartTask start = *host.last<StartTask>();
    host.feed(ended(start, CallOutcome::Broken));
    CHECK(host.answerTo<RequestAnswer>(exchange) == nullptr);
    host.advance(Milliseconds(500));
    host.announce({}, {start.order.task.value()});
    const auto *answer = host.answerTo<RequestAnswer>(exchange);
    REQUIRE(answer != nullptr);
    CHECK(answer->outcome == Outcome::Unknown);
    CHECK(host.count<StartTask>() == 1);
}

TEST_CASE("A lost start order counts as not run only when it can no longer arrive")
{
    SoloHost host;
    host.prepare();
    host.submit("x", false);
    const StartTask start = *host.last<StartTask>();
    host.feed(ended(start, CallOutcome::Broken));
    // The worker does not list the task, but the order may still be on its way.
    host.advance(Milliseconds(500));
    host.announce();
    CHECK(host.count<StartTask>() == 1);
    // Past the order's maximum age the worker would refuse it, so a second attempt is safe.
    host.advance(Milliseconds(1500));
    host.announce();
    REQUIRE(host.count<StartTask>() == 2);
    CHECK(host.last<StartTask>()->order.task == TaskId("hobart:t:x/0/2"));
}

TEST_CASE("Idempotent work is started again only when it certainly runs nowhere")
{
    SoloHost host;
    host.prepare();
    host.submit("x", true);
    const StartTask start = *host.last<StartTask>();
    host.feed(ended(start, CallOutcome::Broken));
    host.advance(Milliseconds(2000));
    host.announce({start.order.task.value()});
    CHECK(host.count<StartTask>() == 1);
    // The worker stops reporting; the lease expires on its own clock, however slow that is.
    host.run(190);
    CHECK(host.count<StartTask>() == 1);
    host.run(60);
    host.announce();
    host.advance(Milliseconds(50));
    host.announce();
    CHECK(host.count<StartTask>() == 2);
}

TEST_CASE("Tasks started before a restart are not started again")
{
    SoloHost host;
    host.prepare();
    host.submit("x", false);
    REQUIRE(host.count<StartTask>() == 1);
    host.clearEffects();
    host.restart();
    host.run(60);
    host.announce();
    host.advance(Milliseconds(50));
    host.announce();
    CHECK(host.count<StartTask>() == 0);
    const ExchangeId again = host.submit("x", false);
    const auto *answer = host.answerTo<RequestAnswer>(again);
    REQUIRE(answer != nullptr);
    CHECK(answer->outcome == Outcome::Unknown);
}

TEST_CASE("Accepted requests that were never started are started after a restart")
{
    SoloHost host;
    host.prepare(0);
    host.submit("x", false);
    CHECK(host.count<StartTask>() == 0);
    host.restart();
    host.run(60);
    OperatorChangeReceived raise;
    raise.exchange = ExchangeId(900);
    raise.caller.key = KeyHash("operator");
    raise.requestName = "raise";
    raise.change = ReplicatedCommand(PutTeam{TeamId("t"), ObjectVersion(1), 1, MilliCores(50'000)});
    host.feed(raise);
    host.announce();
    host.advance(Milliseconds(50));
    host.announce();
    host.run(20);
    host.announce();
    CHECK(host.count<StartTask>() == 1);
}

TEST_CASE("A team's running work never exceeds its limit")
{
    SoloHost host;
    host.prepare(3000);
    for (int index = 0; index < 6; ++index)
        host.submit("x" + std::to_string(index), true);
    host.run(10);
    CHECK(host.count<StartTask>() == 3);
    host.feed(answered(*host.last<StartTask>(), "done"));
    CHECK(host.count<StartTask>() == 4);
}

TEST_CASE("A lowered limit takes effect as running work ends, whatever the queue length")
{
    // More work is queued than the team may run, and each completion at once frees capacity for the
    // next start.
    SoloHost host;
    host.prepare(6000);
    for (int index = 0; index < 40; ++index)
        host.submit("x" + std::to_string(index), true);
    host.run(10);
    REQUIRE(host.count<StartTask>() == 6);
    host.changeTeam("lower", PutTeam{TeamId("t"), ObjectVersion(1), 1, MilliCores(2000)});
    std::vector<StartTask> running;
    for (const Effect &effect : host.effects()) {
        if (const auto *start = std::get_if<StartTask>(&effect))
            running.push_back(*start);
    }
    host.clearEffects();
    for (int ended = 0; ended < 4; ++ended)
        host.feed(answered(running[std::size_t(ended)], "done"));
    CHECK(host.count<StartTask>() == 0);
    host.run(20);
    // Two tasks are still running, which is the new limit.
    CHECK(host.count<StartTask>() == 0);
    host.feed(answered(running[4], "done"));
    CHECK(host.count<StartTask>() == 1);
    host.feed(answered(running[5], "done"));
    CHECK(host.count<StartTask>() == 2);
}

TEST_CASE("A leaving worker is given no new work")
{
    SoloHost host;
    host.prepare();
    host.setLeaving(true);
    host.advance(Milliseconds(50));
    host.announce();
    host.submit("x", true);
    host.run(20);
    CHECK(host.count<StartTask>() == 0);
    host.setLeaving(false);
    host.announce();
    CHECK(host.count<StartTask>() == 1);
}

TEST_CASE("The same events give the same effects")
{
    const auto script = [](SoloHost &host) {
        host.prepare();
        for (int index = 0; index < 20; ++index)
            host.submit("x" + std::to_string(index), index % 2 == 0);
        host.feed(answered(*host.last<StartTask>(), "done"));
        host.run(30);
        host.announce();
        host.feed(ShutdownRequested{});
        host.run(60);
    };
    SoloHost first;
    SoloHost second;
    script(first);
    script(second);
    CHECK(traceOf(first) == traceOf(second));
}

TEST_CASE("A burst of cancellations leaves no caller waiting")
{
    SoloHost host;
    host.prepare(1000);
    for (int index = 0; index < 300; ++index)
        host.submit("x" + std::to_string(index), true);
    std::vector<ExchangeId> cancels;
    for (int index = 0; index < 300; ++index) {
        CancelReceived event;
        event.exchange = ExchangeId(static_cast<std::uint64_t>(5000 + index));
        event.caller.key = KeyHash("k");
        event.request = RequestId("hobart:t:x" + std::to_string(index));
        cancels.push_back(event.exchange);
        host.feed(event);
    }
    int notRun = 0;
    for (const ExchangeId exchange : cancels) {
        const auto *answer = host.answerTo<RequestAnswer>(exchange);
        notRun += answer != nullptr && answer->outcome == Outcome::NotRun ? 1 : 0;
    }
    // All but the running request, which ends when its worker reports it.
    CHECK(notRun == 299);
}

TEST_CASE("A caller of an authority without a lease gets an error after its deadline")
{
    SoloHost host(tests::Companion::Mirror);
    host.prepare();
    // The mirror stops answering while the disk hangs, so the log cannot remove it from the in-sync
    // set.
    host.setAutoSync(false);
    host.setMirrorAnswering(false);
    const ExchangeId exchange = host.submit("x", true);
    host.run(20 * 20);
    CHECK(host.answerTo<ErrorAnswer>(exchange) == nullptr);
    host.run(2 * 20);
    const auto *answer = host.answerTo<ErrorAnswer>(exchange);
    REQUIRE(answer != nullptr);
    CHECK(absl::IsUnavailable(answer->error));
    CHECK_FALSE(answer->notRun);
    CHECK(host.count<StartTask>() == 0);
}

TEST_CASE("A start order delayed beyond its deadline ends its request as not run")
{
    SoloHost host;
    host.prepare();
    host.setAutoSync(false);
    std::vector<ExchangeId> exchanges;
    exchanges.reserve(4);
    for (int index = 0; index < 4; ++index)
        exchanges.push_back(
                host.submit("a-name-too-long-to-be-kept-in-place-" + std::to_string(index), true));
    // The disk hangs for longer than callers wait, and then recovers.
    host.advance(Milliseconds(20'050));
    host.setAutoSync(true);
    host.sync();
    host.run(20);
    CHECK(host.count<StartTask>() == 0);
    for (const ExchangeId exchange : exchanges) {
        const auto *answer = host.answerTo<RequestAnswer>(exchange);
        REQUIRE(answer != nullptr);
        CHECK(answer->outcome == Outcome::NotRun);
    }
    // The worker's capacity is free again.
    host.announce();
    host.submit("next", true);
    CHECK(host.count<StartTask>() == 1);
}

TEST_CASE("A caller gets the outcome not run only once a successor would know it too")
{
    SoloHost host;
    host.prepare(0);
    host.setAutoSync(false);
    const std::string name = GENERATE(std::string(), std::string("named"));
    const ExchangeId exchange = host.submit(name, true);
    host.sync();
    host.run(20 * 20 + 2);
    CHECK(host.answerTo<RequestAnswer>(exchange) == nullptr);
    host.sync();
    const auto *answer = host.answerTo<RequestAnswer>(exchange);
    REQUIRE(answer != nullptr);
    CHECK(answer->outcome == Outcome::NotRun);
}

TEST_CASE("A start whose record is unsynced at the deadline ends as not run, not as unknown")
{
    SoloHost host;
    host.prepare();
    host.setAutoSync(false);
    const ExchangeId exchange = host.submit("x", true);
    host.run(20 * 20 + 8);
    CHECK(host.answerTo<RequestAnswer>(exchange) == nullptr);
    host.sync();
    const auto *answer = host.answerTo<RequestAnswer>(exchange);
    REQUIRE(answer != nullptr);
    CHECK(answer->outcome == Outcome::NotRun);
    CHECK(host.count<StartTask>() == 0);
}

TEST_CASE("An answer that was not stored is never reported as complete to a retrying entry host")
{
    SoloHost host;
    host.prepare();
    // Entry hosts retry under the name that they generated if an answer was lost in transit.
    const auto forward = [&](std::uint64_t exchange) {
        SubmitReceived event;
        event.exchange = ExchangeId(exchange);
        event.caller = {KeyHash("k"), true};
        event.requestName = std::string("hobart:t:") + AutomaticNamePrefix + "other-1";
        event.spec.perTask = {MilliCores(1000), Mebibytes(0), Accelerators(0), Slots(1)};
        host.feed(event);
        return event.exchange;
    };
    const ExchangeId first = forward(7001);
    host.feed(answered(*host.last<StartTask>(), "marks"));
    REQUIRE(host.answerTo<RequestAnswer>(first) != nullptr);
    CHECK(*host.answerTo<RequestAnswer>(first)->result == "marks");
    const auto *again = host.answerTo<RequestAnswer>(forward(7002));
    REQUIRE(again != nullptr);
    CHECK(again->outcome == Outcome::Unknown);
    CHECK(host.count<StartTask>() == 1);
}

// Guards against an authority that was paused and then starts work on an expired lease.
TEST_CASE("An authority that was paused starts nothing on a lease that expired meanwhile")
{
    SoloHost host(tests::Companion::Mirror);
    host.prepare();
    host.setMirrorAnswering(false);
    const Instant before = host.workerClock() - Milliseconds(5'000'000);
    host.advance(Milliseconds(5000));
    host.submit("x", true);
    // A reply that the mirror sent before the pause arrives now.
    MirrorReply late{DataCentreId("hobart"),
                     Epoch(1),
                     makeReplica(HostId("mirror"), false, "1"),
                     before,
                     RecordSequence(1000),
                     true,
                     false};
    host.feed(PeerMessageReceived{HostId("mirror"), std::move(late), 0});
    CHECK(host.count<StartTask>() == 0);
    // Once the mirror replies to a new message, the authority may start work again.
    host.setMirrorAnswering(true);
    host.run(20);
    host.announce();
    host.announce();
    CHECK(host.count<StartTask>() == 1);
}

// Guards against a crash: a snapshot without the host's own data centre ended the host that
// installed it.
TEST_CASE("A log snapshot without the host's own data centre does not end the host")
{
    SoloHost host;
    host.prepare();
    InstallSnapshot message;
    message.leader = makeReplica(HostId("solo"), true, "2");
    message.term = Term(99);
    message.snapshot.index = LogIndex(1'000'000);
    message.snapshot.term = Term(99);
    host.feed(PeerMessageReceived{HostId("solo"), message, 0});
    host.submit("x", true);
    CHECK(host.count<StartTask>() == 0);
}
