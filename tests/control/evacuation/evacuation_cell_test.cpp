#include "tests/control/jobs/leader_bench.h"
#include "tests/control/jobs/simulated_cell.h"
#include "tests/control/jobs/solo_cell.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

constexpr std::int64_t AckMs = 5000;
const CellCall beginA = BeginEvacuation{DataCentreId("a"), {}};
const CellCall endA = EndEvacuation{DataCentreId("a"), {}};

/** A founded cell of four keepers, and an operator who knows them. */
struct Cell
{
    explicit Cell(std::uint64_t seed = 1)
        : group(4, seed)
    {
        group.advance(4000);
    }

    bool isDone(ExchangeId exchange)
    {
        const CallAnswer *const answer = group.answer(exchange);
        return answer != nullptr && std::holds_alternative<CallDone>(*answer);
    }
    bool order(const std::string &host, const CellCall &call)
    {
        const ExchangeId exchange = group.call(host, call);
        group.wait(exchange, AckMs);
        return isDone(exchange);
    }
    /** Moves on to the next keeper after a second or an error. */
    bool orderWithRetries(const CellCall &call)
    {
        const std::int64_t until = group.now().value() + AckMs;
        for (int attempt = 0; group.now().value() < until; ++attempt) {
            const ExchangeId exchange
                    = group.call("k" + std::to_string(attempt % 4 + 1), call, 1800);
            group.wait(exchange, 1000);
            if (isDone(exchange))
                return true;
            group.advance(100);
        }
        return false;
    }
    /** The evacuated data centres; "?" if nobody answers. */
    std::set<std::string> list(const std::string &host = "k2")
    {
        const ExchangeId exchange = group.call(host, ListEvacuations{});
        group.wait(exchange, 3000);
        const CallAnswer *const answer = group.answer(exchange);
        if (answer == nullptr || !std::holds_alternative<EvacuationList>(*answer))
            return {"?"};
        std::set<std::string> names;
        for (const EvacuatedDataCentre &each : std::get<EvacuationList>(*answer).evacuated)
            names.insert(each.dataCentre.value());
        return names;
    }

    SimulatedCell group;
};

using Names = std::set<std::string>;

std::size_t countStarts(SoloCell &cell)
{
    return std::size_t(
            std::count_if(cell.orders().begin(), cell.orders().end(), [](const CallWorker &order) {
                return std::holds_alternative<OrderStart>(order.order);
            }));
}

} // namespace

TEST_CASE("Any keeper takes orders, two evacuations at once, and one again after its end")
{
    Cell cell;
    const ExchangeId first = cell.group.call("k1", beginA);
    const ExchangeId second = cell.group.call("k4", BeginEvacuation{DataCentreId("b"), {}});
    cell.group.wait(first, AckMs);
    cell.group.wait(second, AckMs);
    CHECK(cell.isDone(first));
    CHECK(cell.isDone(second));
    CHECK(cell.list() == Names{"a", "b"});
    CHECK(cell.order("k3", beginA));
    CHECK(cell.order("k2", endA));
    CHECK(cell.list() == Names{"b"});
    CHECK(cell.order("k4", beginA));
    CHECK(cell.list() == Names{"a", "b"});
}

TEST_CASE("An evacuation beside a configuration survives a power loss, and both are in force")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Cell cell(seed);
        const ExchangeId put = cell.group.call("k1", PutConfiguration{makeDocument(), {}});
        const ExchangeId begin = cell.group.call("k2", beginA);
        cell.group.wait(begin, AckMs);
        cell.group.wait(put, AckMs);
        CHECK(cell.isDone(begin));
        CHECK(cell.isDone(put));
        for (const char *host : {"k1", "k2", "k3", "k4"})
            cell.group.crash(host);
        cell.group.advance(1000);
        for (const char *host : {"k1", "k2", "k3", "k4"})
            cell.group.restart(host);
        cell.group.advance(4000);
        CHECK(cell.list() == Names{"a"});
        const ExchangeId get = cell.group.call("k3", GetConfiguration{});
        cell.group.wait(get, 3000);
        CHECK(std::holds_alternative<ConfigurationReport>(*cell.group.answer(get)));
    }
}

TEST_CASE("An order is acknowledged in time although the leader is lost at any moment of it")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Cell cell(seed);
        const std::optional<std::string> leader = cell.group.leader();
        REQUIRE(leader.has_value());
        const CellCall call = seed % 2 == 0 ? beginA : endA;
        if (seed % 2 != 0)
            REQUIRE(cell.order(*leader, beginA));
        cell.group.call(*leader == "k1" ? "k2" : "k1", call, 1800);
        cell.group.advance(static_cast<std::int64_t>(seed) * 10 - 10);
        cell.group.crash(*leader);
        CHECK(cell.orderWithRetries(call));
        CHECK(cell.list(*leader == "k2" ? "k3" : "k2") == (seed % 2 == 0 ? Names{"a"} : Names()));
    }
}

TEST_CASE("While the keepers are partitioned only the side with the majority acknowledges")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Cell cell(seed);
        const std::optional<std::string> leader = cell.group.leader();
        REQUIRE(leader.has_value());
        cell.group.partition({{*leader}});
        const ExchangeId minority
                = cell.group.call(*leader, BeginEvacuation{DataCentreId("b"), {}}, 1800);
        const std::string other = *leader == "k1" ? "k2" : "k1";
        cell.group.advance(2500);
        CHECK(cell.order(other, beginA));
        CHECK_FALSE(cell.isDone(minority));
        cell.group.heal();
        cell.group.advance(3000);
        CHECK_FALSE(cell.isDone(minority));
        for (const char *host : {"k1", "k2", "k3", "k4"})
            CHECK(cell.list(host) == Names{"a"});
    }
}

// Guards against a keeper that was cut off from the leader when it took an order, and passes it on
// after the operator has ordered the opposite elsewhere.
TEST_CASE("A keeper that was cut off does not undo a later order")
{
    Cell cell;
    const std::optional<std::string> leader = cell.group.leader();
    REQUIRE(leader.has_value());
    const std::string isolated = *leader == "k4" ? "k3" : "k4";
    cell.group.partition({{isolated}});
    const ExchangeId late = cell.group.call(isolated, beginA, 1800);
    cell.group.advance(50);
    REQUIRE(cell.order(*leader, beginA));
    REQUIRE(cell.order(*leader, endA));
    cell.group.heal();
    cell.group.wait(late, 2000);
    REQUIRE(cell.group.answer(late) != nullptr);
    CHECK(std::get<CallRefused>(*cell.group.answer(late)).refusal == Refusal::Unavailable);
    CHECK(cell.list(*leader).empty());
}

// Guards against an evacuation that ends with the leader's own data centre, or stops its keeper.
TEST_CASE("The data centre of the leader is evacuated, and the order survives its restart")
{
    SoloCell cell;
    cell.call(PutConfiguration{makeDocument(), {}});
    cell.call(BeginEvacuation{DataCentreId("hobart"), {}});
    CHECK(std::holds_alternative<CallDone>(cell.lastAnswer()));
    cell.restart();
    WorkerHeartbeat heartbeat;
    heartbeat.report.incarnation = makeIncarnation("w");
    heartbeat.report.pool = PoolId("pool");
    heartbeat.report.address = "w:1";
    heartbeat.report.dataCentre = DataCentreId("hobart");
    heartbeat.report.capacity = {MilliCores(1000), Mebibytes(1000), Accelerators(0), {}};
    heartbeat.clock = cell.now().value();
    heartbeat.sequence = 1;
    cell.call(heartbeat);
    JobSpec spec;
    spec.steps = {makeStep(1, 100)};
    cell.call(
            JobCall{JobVerb::Submit, "h", "/q/00000000000000aa", ApiKey("key-of-alpha"), spec, {}});
    CHECK(std::holds_alternative<CallDone>(cell.lastAnswer()));
    cell.advance(1000);
    CHECK(countStarts(cell) == 0);
    cell.call(EndEvacuation{DataCentreId("hobart"), {}});
    CHECK(countStarts(cell) == 1);
}
