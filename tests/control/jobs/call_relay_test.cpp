#include "control/jobs/call_relay.h"
#include "tests/control/jobs/job_fixture.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

constexpr Instant Now{100'000};
/** Longer than a relay takes to notice that there is no leader. */
constexpr Milliseconds Outage{5000};
const HostId keeper("keeper");

CellCallReceived submissionOf(std::uint64_t exchange, const std::string &job)
{
    JobSpec spec;
    spec.steps = {makeStep(1, 100)};
    return {ExchangeId(exchange),
            JobCall{JobVerb::Submit, "h", "/q/" + job, ApiKey("key"), spec, {}},
            Milliseconds(3000)};
}

/** Sends the submission to the keeper, which leads. */
void relayToLeader(CallRelay &relay, const CellCallReceived &submission, Outbox &out)
{
    LeaderReport report;
    report.decides = true;
    relay.receive(Now, keeper, report, out);
    relay.receive(Now, submission, out);
}

std::optional<Refusal> refusalOf(ExchangeId exchange, Outbox &out)
{
    for (const Effect &effect : out.take()) {
        const auto *const answer = std::get_if<AnswerCall>(&effect);
        if (answer != nullptr && answer->exchange == exchange)
            return std::get<CallRefused>(answer->answer).refusal;
    }
    return std::nullopt;
}

} // namespace

// Guards against a caller that is told that its job never runs while it runs: its first attempt had
// reached the leader, its connection was reset, and it sent the job again during an outage.
TEST_CASE(
        "A submission that was sent to a leader without an answer is not refused as without effect")
{
    Outbox out(false);
    CallRelay relay(HostId("entry"), {}, {keeper});
    relayToLeader(relay, submissionOf(1, "00000000000000aa"), out);
    SECTION("its caller has disconnected")
    {
        relay.forgetExchange(ExchangeId(1));
    }
    SECTION("its caller was told that the result is unknown")
    {
        relay.tick(Now + Outage, out);
        CHECK(refusalOf(ExchangeId(1), out) == Refusal::Unknown);
    }
    relay.receive(Now + Outage, submissionOf(2, "00000000000000aa"), out);
    CHECK(refusalOf(ExchangeId(2), out) == Refusal::Unknown);
    relay.receive(Now + Outage, submissionOf(3, "00000000000000bb"), out);
    CHECK(refusalOf(ExchangeId(3), out) == Refusal::Unavailable);
}

// Guards against the same where the second attempt was shed, and its small message overtakes the
// first attempt's large one.
TEST_CASE("A shed submission that may overtake an earlier one is not refused as without effect")
{
    Outbox out(false);
    CallRelay relay(HostId("entry"), {}, {keeper});
    relayToLeader(relay, submissionOf(1, "00000000000000aa"), out);
    relay.forgetExchange(ExchangeId(1));
    const auto answerShed = [&](std::uint64_t exchange, const std::string &job, CallAnswer answer) {
        CellCallReceived shed = submissionOf(exchange, job);
        std::get<JobCall>(shed.call).spec = {};
        std::get<JobCall>(shed.call).isShed = true;
        relay.receive(Now, shed, out);
        out.take();
        relay.receive(RelayCallResponse{ExchangeId(exchange), std::move(answer), {}}, out);
    };
    const CallRefused refusal{Refusal::Unavailable, "too many large jobs", Milliseconds(1000)};
    answerShed(2, "00000000000000aa", refusal);
    CHECK(refusalOf(ExchangeId(2), out) == Refusal::Unknown);
    answerShed(3, "00000000000000bb", refusal);
    CHECK(refusalOf(ExchangeId(3), out) == Refusal::Unavailable);
    answerShed(4, "00000000000000aa", CallDone{});
    const Effects effects = out.take();
    REQUIRE(effects.size() == 1);
    CHECK(std::holds_alternative<CallDone>(std::get<AnswerCall>(effects.front()).answer));
}

// Guards against an unknown result where the host that decides has itself refused the call.
TEST_CASE("A shed submission that the leading host refuses itself is refused as without effect")
{
    Outbox out(false);
    CallRelay relay(HostId("leader"), {}, {keeper});
    relay.keep(Now, submissionOf(1, "00000000000000aa"));
    relay.forgetExchange(ExchangeId(1));
    CellCallReceived shed = submissionOf(2, "00000000000000aa");
    std::get<JobCall>(shed.call).isShed = true;
    relay.keep(Now, shed);
    const CallRefused refusal{Refusal::Unavailable, "too many large jobs", Milliseconds(1000)};
    SECTION("while it leads")
    {
        relay.receive(RelayCallResponse{ExchangeId(2), refusal, {}}, out);
        CHECK(refusalOf(ExchangeId(2), out) == Refusal::Unavailable);
    }
    SECTION("but not by the next leader, to which it may overtake the first one")
    {
        relay.endLeading(Now, Now);
        LeaderReport report;
        report.decides = true;
        relay.receive(Now, keeper, report, out);
        out.take();
        relay.receive(RelayCallResponse{ExchangeId(2), refusal, {}}, out);
        CHECK(refusalOf(ExchangeId(2), out) == Refusal::Unknown);
    }
}

TEST_CASE("A submission that the leader has answered is refused truly in a later outage")
{
    Outbox out(false);
    CallRelay relay(HostId("entry"), {}, {keeper});
    relayToLeader(relay, submissionOf(1, "00000000000000aa"), out);
    RelayCallResponse response;
    response.exchange = ExchangeId(1);
    response.answer = CallRefused{Refusal::Unavailable, "queue is full", {}};
    relay.receive(response, out);
    out.take();
    relay.receive(Now + Outage, submissionOf(2, "00000000000000aa"), out);
    CHECK(refusalOf(ExchangeId(2), out) == Refusal::Unavailable);
}
