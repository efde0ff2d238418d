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

CallEnded ended(const StartTask &start, CallOutcome fate)
{
    CallEnded event;
    event.call = start.call;
    event.outcome = fate;
    return event;
}

/** A trace of effects that two runs can be compared by. */
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

TEST_CASE("An order leaves only after the record of its start is synced")
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

TEST_CASE("The whole answer reaches its caller, and a resend gets the same")
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

TEST_CASE("A resend of a request under way waits for the first one's outcome")
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

TEST_CASE("One name can't stand for two kinds of work")
{
    SoloHost host;
    host.prepare();
    host.submit("x", false);
    const ExchangeId second = host.submit("x", true);
    const auto *answer = host.answerTo<ErrorAnswer>(second);
    REQUIRE(answer != nullptr);
    CHECK(absl::IsAlreadyExists(answer->error));
}

TEST_CASE("A wrong key gets nothing but a refusal")
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

TEST_CASE("Work that must run once is not started again when its answer is lost")
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

TEST_CASE("A lost order counts as not run only when it can't arrive any more")
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
    // Past the order's window the worker would refuse it: now a second attempt is safe.
    host.advance(Milliseconds(1500));
    host.announce();
    REQUIRE(host.count<StartTask>() == 2);
    CHECK(host.last<StartTask>()->order.task == TaskId("hobart:t:x/0/2"));
}

TEST_CASE("Work that may run again does so only when it certainly runs nowhere")
{
    SoloHost host;
    host.prepare();
    host.submit("x", true);
    const StartTask start = *host.last<StartTask>();
    host.feed(ended(start, CallOutcome::Broken));
    host.advance(Milliseconds(2000));
    host.announce({start.order.task.value()});
    CHECK(host.count<StartTask>() == 1);
    // The worker falls silent; its lease runs out on its own clock, however slow that is.
    host.run(190);
    CHECK(host.count<StartTask>() == 1);
    host.run(60);
    host.announce();
    host.advance(Milliseconds(50));
    host.announce();
    CHECK(host.count<StartTask>() == 2);
}

TEST_CASE("A restart does not start again what was started before it")
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

TEST_CASE("What was accepted but never started is started after a restart")
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

TEST_CASE("A team's running work never passes its limit")
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

TEST_CASE("A lowered limit is in force as soon as what runs allows, whatever waits")
{
    // Pattern: more waits than the team may run, and each end makes room for the next start at
    // once.
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
    // Two are still at work, which is what the team may have now.
    CHECK(host.count<StartTask>() == 0);
    host.feed(answered(running[4], "done"));
    CHECK(host.count<StartTask>() == 1);
    host.feed(answered(running[5], "done"));
    CHECK(host.count<StartTask>() == 2);
}

TEST_CASE("A leaving worker gets nothing more")
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

TEST_CASE("A wave of cancellations leaves nothing waiting")
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
    // All but the one that runs, which ends when its worker says so.
    CHECK(notRun == 299);
}

TEST_CASE("A caller of an authority that can't decide any more is told so after its deadline")
{
    SoloHost host(tests::Companion::Mirror);
    host.prepare();
    // The mirror falls silent while the disk hangs, so that the log can't let it go.
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

TEST_CASE("An order that is held up beyond its deadline ends its request as not run")
{
    SoloHost host;
    host.prepare();
    host.setAutoSync(false);
    std::vector<ExchangeId> exchanges;
    exchanges.reserve(4);
    for (int index = 0; index < 4; ++index)
        exchanges.push_back(
                host.submit("a-name-too-long-to-be-kept-in-place-" + std::to_string(index), true));
    // The disk hangs for longer than callers wait, and then goes on.
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
    // The worker's room is free again.
    host.announce();
    host.submit("next", true);
    CHECK(host.count<StartTask>() == 1);
}

TEST_CASE("A caller is told not run only when a successor would know it too")
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

TEST_CASE("A start that waits for its record at the deadline is given up, not left unknown")
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

TEST_CASE("An answer that was not kept is never told as whole to an entry host that asks again")
{
    SoloHost host;
    host.prepare();
    // Entry hosts ask again under the name that they made, if an answer was lost on its way.
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

// Guards against an authority that stood still and then starts work on a lease that ran out.
TEST_CASE("An authority that stood still starts nothing on a lease that ran out meanwhile")
{
    SoloHost host(tests::Companion::Mirror);
    host.prepare();
    host.setMirrorAnswering(false);
    const Instant before = host.workerClock() - Milliseconds(5'000'000);
    host.advance(Milliseconds(5000));
    host.submit("x", true);
    // What the mirror had answered before comes now.
    MirrorReply late{DataCentreId("hobart"),
                     Epoch(1),
                     makeReplica(HostId("mirror"), false, "1"),
                     before,
                     RecordSequence(1000),
                     true,
                     false};
    host.feed(PeerMessageReceived{HostId("mirror"), std::move(late), 0});
    CHECK(host.count<StartTask>() == 0);
    // With the mirror's word for a new question it may start again.
    host.setMirrorAnswering(true);
    host.run(20);
    host.announce();
    host.announce();
    CHECK(host.count<StartTask>() == 1);
}

// Guards against a state without the own data centre, which ended the host that took it in.
TEST_CASE("A state of the log that knows nothing of the own data centre ends no host")
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
