#include "tests/control/jobs/job_fixture.h"
#include "tests/control/jobs/simulated_cell.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

/** How long a process is suspended: longer than every lease and time limit of a cell. */
constexpr std::int64_t PauseMs = 5000;

PutConfiguration makePut(std::uint64_t version, const std::vector<std::string> &keys)
{
    ConfigDocument document;
    document.version = DocumentVersion(version);
    document.source = "version " + std::to_string(version);
    QueueConfig queue;
    queue.queue = QueueId("checks");
    queue.host = "h";
    queue.pathPrefix = "/q/";
    queue.timeout = Milliseconds(3000);
    queue.pool = PoolId("pool");
    document.queues = {queue};
    document.pools = {{PoolId("pool"), false}};
    TeamConfig team;
    team.team = TeamId("alpha");
    for (const std::string &key : keys)
        team.keys.emplace_back(key);
    document.teams = {team};
    return {document, {}};
}

JobCall makeSubmit(int number, const std::string &key)
{
    JobSpec spec;
    spec.steps = {makeStep(1, 100)};
    const std::string digits = std::to_string(number);
    return {JobVerb::Submit, "h",  "/q/" + std::string(16 - digits.size(), '0') + digits,
            ApiKey(key),     spec, {}};
}

WorkerHeartbeat makeHeartbeat(const std::string &worker, std::int64_t born, std::uint64_t sequence)
{
    WorkerHeartbeat heartbeat;
    heartbeat.report.incarnation = makeIncarnation(worker, born);
    heartbeat.report.pool = PoolId("pool");
    heartbeat.report.address = worker + ":1";
    heartbeat.report.capacity = {MilliCores(1000), Mebibytes(5000), Accelerators(0), Slots(0)};
    heartbeat.clock = 1000;
    heartbeat.sequence = sequence;
    return heartbeat;
}

bool isDone(const CallAnswer *answer)
{
    return answer != nullptr && std::holds_alternative<CallDone>(*answer);
}

std::string sourceOf(const CallAnswer *answer)
{
    const auto *report = answer == nullptr ? nullptr : std::get_if<ConfigurationReport>(answer);
    return report == nullptr ? std::string() : report->source;
}

/** A cell with one worker, the keys "old" and "new", and one active run. */
struct Cell
{
    Cell()
        : group(4, 1)
    {
        group.advance(4000);
        const ExchangeId put = group.call("k1", makePut(1, {"old", "new"}));
        group.wait(put, 2000);
        REQUIRE(isDone(group.answer(put)));
        leader = group.leader().value_or("");
        REQUIRE_FALSE(leader.empty());
        group.call(leader, makeHeartbeat("w", 1, 1));
        const ExchangeId submit = group.call("e1", makeSubmit(1, "old"));
        group.wait(submit, 1000);
        REQUIRE(isDone(group.answer(submit)));
        group.advance(500);
    }

    /** Returns the orders that any host has sent since the last call. */
    std::vector<CallWorker> takeAllOrders()
    {
        std::vector<CallWorker> all;
        for (const char *host : {"k1", "k2", "k3", "k4"}) {
            for (CallWorker &order : group.takeOrders(host))
                all.push_back(std::move(order));
        }
        return all;
    }

    std::optional<CallWorker> findOrder(std::size_t orderIndex)
    {
        std::optional<CallWorker> found;
        for (const CallWorker &order : takeAllOrders()) {
            if (order.order.index() == orderIndex)
                found = order;
        }
        return found;
    }

    SimulatedCell group;
    std::string leader;
};

/** The index of OrderStart in the variant WorkerOrder. */
constexpr std::size_t StartOrderIndex = 0;

} // namespace

// Guards against a leader that was suspended and then acts on a lease that expired meanwhile.
TEST_CASE("A resumed leader sends no orders, even if a worker's new incarnation is reported first")
{
    Cell cell;
    const std::optional<CallWorker> start = cell.findOrder(StartOrderIndex);
    REQUIRE(start.has_value());
    cell.group.pauseProcess(cell.leader);
    // The start may reach the worker's next incarnation, where its former leader would stop it.
    cell.group.call(cell.leader, makeHeartbeat("w", 2, 1));
    cell.group.advance(PauseMs);
    cell.takeAllOrders();
    const Fence former = start->fence;
    cell.group.resumeProcess(cell.leader);
    for (const CallWorker &order : cell.takeAllOrders())
        CHECK(order.fence != former);
    cell.group.advance(2000);
    for (const CallWorker &order : cell.takeAllOrders())
        CHECK(order.fence != former);
}

TEST_CASE("A resumed leader stops no runs because of a list that arrived meanwhile")
{
    Cell cell;
    std::optional<CallWorker> renewal;
    cell.takeAllOrders();
    for (int step = 0; step < 40 && !renewal.has_value(); ++step) {
        cell.group.advance(50);
        for (const CallWorker &order : cell.takeAllOrders()) {
            if (std::holds_alternative<OrderLeaseRenewal>(order.order)) {
                renewal = order;
                continue;
            }
            WorkerAnswer done;
            done.call = order.call;
            done.verdict = WorkerVerdict::Done;
            done.clock = 1000;
            cell.group.deliverEvent(cell.leader, std::move(done));
        }
    }
    REQUIRE(renewal.has_value());
    cell.group.pauseProcess(cell.leader);
    WorkerAnswer list;
    list.call = renewal->call;
    list.verdict = WorkerVerdict::Done;
    list.clock = 1000;
    ReportedRun other;
    other.task = makeTask("0000000000000009", 0, 0);
    other.run = RunNumber(1);
    list.running.push_back(other);
    cell.group.deliverEvent(cell.leader, std::move(list));
    cell.group.advance(PauseMs);
    cell.takeAllOrders();
    cell.group.resumeProcess(cell.leader);
    for (const CallWorker &order : cell.takeAllOrders())
        CHECK(order.fence != renewal->fence);
}

TEST_CASE("A resumed leader accepts no withdrawn key and shows no replaced configuration")
{
    Cell cell;
    cell.group.pauseProcess(cell.leader);
    const ExchangeId submit = cell.group.call(cell.leader, makeSubmit(2, "old"));
    const ExchangeId get = cell.group.call(cell.leader, GetConfiguration{});
    const std::string other = cell.leader == "k1" ? "k2" : "k1";
    cell.group.advance(3000);
    const ExchangeId put = cell.group.call(other, makePut(2, {"new"}));
    cell.group.wait(put, 2000);
    REQUIRE(isDone(cell.group.answer(put)));
    cell.group.advance(PauseMs);
    cell.group.resumeProcess(cell.leader);
    cell.group.advance(3000);
    CHECK_FALSE(isDone(cell.group.answer(submit)));
    CHECK(sourceOf(cell.group.answer(get)) != "version 1");
    const ExchangeId query = cell.group.call(cell.leader, GetConfiguration{});
    cell.group.wait(query, 2000);
    CHECK(sourceOf(cell.group.answer(query)) == "version 2");
}

TEST_CASE("A resumed entry host forwards nothing to an outdated leader")
{
    Cell cell;
    cell.group.pauseProcess("e1");
    cell.group.advance(1000);
    for (const char *keeper : {"k1", "k2", "k3", "k4"})
        cell.group.crash(keeper);
    const ExchangeId submit = cell.group.call("e1", makeSubmit(3, "new"));
    cell.group.advance(PauseMs);
    const ExchangeId later = cell.group.call("e1", makeSubmit(4, "new"));
    cell.group.resumeProcess("e1");
    CHECK_FALSE(isDone(cell.group.answer(submit)));
    CHECK_FALSE(isDone(cell.group.answer(later)));
    CHECK_FALSE(cell.group.isReady("e1"));
}

TEST_CASE("A resumed keeper sends no order that expired meanwhile")
{
    Cell cell;
    cell.takeAllOrders();
    // The leader's orders are sent through other keepers; each of them is suspended once.
    for (const char *keeper : {"k1", "k2", "k3", "k4"}) {
        if (keeper == cell.leader)
            continue;
        cell.group.pauseProcess(keeper);
        cell.group.advance(PauseMs);
        cell.group.takeOrders(keeper);
        cell.group.resumeProcess(keeper);
        for (const CallWorker &order : cell.group.takeOrders(keeper))
            CHECK(order.validUntil <= cell.group.now());
        cell.group.advance(2000);
    }
}
