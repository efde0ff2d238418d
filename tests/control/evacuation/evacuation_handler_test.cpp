#include "tests/control/evacuation/evacuation_bench.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

bool isRefused(const CallAnswer &answer, Refusal refusal)
{
    const auto *refused = std::get_if<CallRefused>(&answer);
    return refused != nullptr && refused->refusal == refusal;
}

} // namespace

TEST_CASE("An order that repeats what is in force is acknowledged without a record")
{
    LeaderBench bench;
    bench.advance(1000);
    CellLeader &leader = bench.leader();
    Outbox out(false);
    const auto recordsOf = [&](const CellCall &call) {
        leader.receive(bench.now(), {}, {HostId("self"), ExchangeId(1), {}}, call, out);
        const DecisionBatch decisions = leader.takeDecisions();
        REQUIRE(decisions.answers.size() == 1);
        CHECK(std::holds_alternative<CallDone>(decisions.answers[0].answer));
        leader.carryOut(bench.now(), decisions, out);
        return decisions.records.size();
    };
    const DataCentreId a("a");
    CHECK(recordsOf(EndEvacuation{a, {}}) == 0);
    CHECK(recordsOf(BeginEvacuation{a, {}}) == 1);
    CHECK(recordsOf(BeginEvacuation{a, {}}) == 0);
    CHECK(recordsOf(EndEvacuation{a, {}}) == 1);
    CHECK(recordsOf(EndEvacuation{a, {}}) == 0);
    // A new order after the end can't be told from a late retry, so the last one to arrive counts.
    CHECK(recordsOf(BeginEvacuation{a, {}}) == 1);
}

// Guards against an old order that takes effect after a newer one: a keeper that could not reach
// the leader has held it meanwhile, and the operator has gone on elsewhere.
TEST_CASE("An order that reached its host before the one in force does not replace it")
{
    EvacuationBench bench;
    bench.advance(2000);
    REQUIRE(bench.begin("a"));
    bench.advance(1000);
    REQUIRE(bench.finish("a"));
    bench.advance(500);
    CHECK(isRefused(bench.call(BeginEvacuation{DataCentreId("a"), Milliseconds(700)}),
                    Refusal::Unavailable));
    CHECK(bench.list().evacuated.empty());
    CHECK(bench.begin("a", 300));
    // A retry shows that everything that came before it is older.
    bench.advance(1000);
    CHECK(bench.begin("a"));
    CHECK_FALSE(bench.finish("a", 100));
    CHECK(bench.list().evacuated.size() == 1);
    // Data centres don't affect each other.
    CHECK(bench.begin("b", 1500));
}

TEST_CASE("A new leader, which knows no times of earlier orders, replaces none by an older one")
{
    EvacuationBench former;
    REQUIRE(former.begin("a"));
    EvacuationBench bench({}, former.leader().store());
    bench.advance(500);
    CHECK_FALSE(bench.finish("a", 600));
    CHECK(bench.begin("a", 600));
    CHECK(bench.finish("a", 100));
}

TEST_CASE("Only data centres that may belong to the cell are evacuated")
{
    EvacuationBench bench;
    bench.heartbeat("w1");
    CHECK(bench.begin("any"));
    bench.leader().setDataCentres({DataCentreId("a")});
    CHECK(bench.begin("a"));
    CHECK(bench.begin("w"));
    CHECK(isRefused(bench.call(BeginEvacuation{DataCentreId("b"), {}}), Refusal::NoSuchDataCentre));
    CHECK(isRefused(bench.call(EndEvacuation{DataCentreId("b"), {}}), Refusal::NoSuchDataCentre));
    // What is in force can be withdrawn whatever the settings say by then.
    CHECK(bench.finish("any"));
}

TEST_CASE("With all data centres evacuated work waits, and the list says so")
{
    EvacuationBench bench;
    bench.heartbeat("a1");
    bench.heartbeat("b1");
    REQUIRE(bench.begin("a"));
    CHECK(bench.list().workersElsewhere == 1);
    REQUIRE(bench.begin("b"));
    bench.submit("00000000000000aa", {makeStep(1, 100)});
    CHECK(bench.list().workersElsewhere == 0);
    CHECK(bench.list().evacuated.size() == 2);
    CHECK(bench.takeStarts().empty());
    REQUIRE(bench.finish("b"));
    bench.heartbeat("b1");
    CHECK(bench.takeStartedWorkers() == std::set<std::string>{"b1"});
}
