#include "tests/control/jobs/founded_cell.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

constexpr std::int64_t TimeoutMs = 1800;
/** Two ticks: the deadline is found at the first one after it. */
constexpr std::int64_t TickMarginMs = 100;

/** A call made while the leader is cut off, and when it must have its answer. */
struct OpenCall
{
    ExchangeId exchange;
    Instant deadline;
};

/** Makes a call of each kind at the host. */
std::vector<OpenCall> makeCalls(SimulatedCell &group, const std::string &host, int number)
{
    WorkerHeartbeat heartbeat;
    heartbeat.report.incarnation = {WorkerId("w" + std::to_string(number)), Milliseconds(1)};
    heartbeat.report.address = "worker:" + std::to_string(number);
    heartbeat.sequence = 1;
    const std::vector<CellCall> kinds = {GetConfiguration{}, makePut(1000U + std::uint64_t(number)),
                                         makeSubmit(number), makeLook(number),
                                         heartbeat,          ListEvacuations{}};
    std::vector<OpenCall> calls;
    calls.reserve(kinds.size());
    for (const CellCall &kind : kinds)
        calls.push_back({group.call(host, kind, TimeoutMs),
                         group.now() + Milliseconds(TimeoutMs + TickMarginMs)});
    return calls;
}

} // namespace

TEST_CASE("Calls that a leader has taken are answered by their deadline when it loses its place")
{
    // Guards against exchanges without an owner: a leader that was cut off dropped the calls it had
    // taken itself, their connections stayed open for good, and the keeper refused further reads of
    // the configuration because of them.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        FoundedCell cell(3, seed);
        int number = 0;
        std::size_t unanswered = 0;
        for (int cut = 0; cut < 12; ++cut) {
            const std::optional<std::string> leader = cell.group.leader();
            REQUIRE(leader.has_value());
            cell.group.cutIncoming(*leader);
            std::vector<OpenCall> open;
            for (int call = 0; call < 10; ++call) {
                for (const OpenCall &made : makeCalls(cell.group, *leader, ++number))
                    open.push_back(made);
                cell.group.advance(250);
            }
            cell.group.heal();
            cell.group.advance(4500);
            for (const OpenCall &call : open) {
                const std::optional<Instant> answered = cell.group.answeredAt(call.exchange);
                unanswered += answered.has_value() && *answered <= call.deadline ? 0 : 1;
            }
        }
        CHECK(unanswered == 0);
        CHECK(cell.submit("e1", 9000, 3000));
    }
}

TEST_CASE("Calls of a leader that loses its place are decided by the next leader")
{
    // The same fault: whoever waits at the former leader gets the next leader's answer, not only an
    // unknown result.
    FoundedCell cell(3);
    const std::optional<std::string> leader = cell.group.leader();
    REQUIRE(leader.has_value());
    cell.group.cutIncoming(*leader);
    const ExchangeId submitted = cell.group.call(*leader, makeSubmit(1), 6000);
    const ExchangeId read = cell.group.call(*leader, GetConfiguration{}, 6000);
    // Longer than an election takes, shorter than an outage, in which callers are answered at once.
    cell.group.advance(1800);
    cell.group.heal();
    CHECK(cell.group.wait(submitted, 3000).has_value());
    CHECK(cell.group.wait(read, 3000).has_value());
    CHECK(isDone(cell.group.answer(submitted)));
    CHECK(sourceOf(cell.group.answer(read)) == "version 1");
    CHECK(cell.knows("e1", 1));
}

TEST_CASE("A leader that exits answers the calls that it could not decide")
{
    FoundedCell cell(3);
    const std::optional<std::string> leader = cell.group.leader();
    REQUIRE(leader.has_value());
    cell.group.cutIncoming(*leader);
    const ExchangeId submitted = cell.group.call(*leader, makeSubmit(1), 60'000);
    cell.group.shutDown(*leader);
    cell.group.advance(2500);
    REQUIRE(cell.group.hasExited(*leader));
    const CallAnswer *const answer = cell.group.answer(submitted);
    REQUIRE(answer != nullptr);
    REQUIRE(std::holds_alternative<CallRefused>(*answer));
    CHECK(std::get<CallRefused>(*answer).refusal == Refusal::Unknown);
}
