#include "control/scheduler.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace gentiancross;

namespace {

/** Requests and limits in the hands of a test. */
class Requests final : public SchedulerContext
{
public:
    void add(const std::string &request, const WorkSpec &spec)
    {
        m_specs[RequestId(request)] = spec;
    }
    void setHeadroom(std::int64_t millicores) { m_headroom = MilliCores(millicores); }
    void setWeight(const std::string &team, std::int64_t weight)
    {
        m_weights[TeamId(team)] = weight;
    }

    [[nodiscard]] const WorkSpec &specOf(const QueueItem &item) const override
    {
        return m_specs.at(item.request);
    }
    [[nodiscard]] std::int64_t weightOf(const TeamId &team) const override
    {
        const auto found = m_weights.find(team);
        return found == m_weights.end() ? 1 : found->second;
    }
    [[nodiscard]] MilliCores headroomOf(const TeamId &) const override { return m_headroom; }
    [[nodiscard]] std::set<RackId> racksOf(const QueueItem &) const override { return {}; }

private:
    std::map<RequestId, WorkSpec> m_specs;
    std::map<TeamId, std::int64_t> m_weights;
    MilliCores m_headroom{1'000'000'000};
};

WorkSpec spec(std::int64_t cores, WorkKind kind = WorkKind::Batch, std::uint32_t tasks = 1)
{
    WorkSpec spec;
    spec.kind = kind;
    spec.taskCount = tasks;
    spec.perTask = {MilliCores(cores), Mebibytes(100), Accelerators(0), Slots(1)};
    return spec;
}

void addWorkers(Scheduler &scheduler, int count, std::int64_t cores = 32'000, int slots = 8)
{
    for (int index = 0; index < count; ++index) {
        const std::string name = "w" + std::to_string(index);
        scheduler.putWorker(WorkerId(name), RackId("r" + std::to_string(index / 6)), {},
                            {MilliCores(cores), Mebibytes(64'000), Accelerators(0), Slots(slots)},
                            true);
    }
}

} // namespace

TEST_CASE("When all want more, teams hold what runs in the ratio of their weights")
{
    Scheduler scheduler(Policies::standard());
    Requests requests;
    requests.add("a", spec(1000));
    requests.setWeight("heavy", 3);
    addWorkers(scheduler, 50);
    for (int index = 0; index < 500; ++index) {
        for (const char *team : {"heavy", "light"})
            scheduler.queues().add(TeamId(team), {RequestId("a"), 0, false}, Precedence::Job);
    }
    while (!scheduler.decide(requests, 1).empty()) {
    }
    CHECK(scheduler.runningOf(TeamId("heavy")).slots == Slots(300));
    CHECK(scheduler.runningOf(TeamId("light")).slots == Slots(100));
}

TEST_CASE("A gang starts whole or not at all, and leaves nothing reserved behind")
{
    Scheduler scheduler(Policies::standard());
    Requests requests;
    requests.add("gang", spec(20'000, WorkKind::Gang, 5));
    requests.add("small", spec(1000));
    addWorkers(scheduler, 4);
    scheduler.queues().add(TeamId("t"), {RequestId("gang"), 0, true}, Precedence::Job);
    scheduler.queues().add(TeamId("t"), {RequestId("small"), 0, false}, Precedence::Job);
    const auto decisions = scheduler.decide(requests, 10);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().item.request == RequestId("small"));
    CHECK(scheduler.runningOf(TeamId("t")).cores == MilliCores(1000));
    addWorkers(scheduler, 5);
    const auto later = scheduler.decide(requests, 10);
    REQUIRE(later.size() == 1);
    CHECK(later.front().placements.size() == 5);
}

TEST_CASE("Workers drain for a gang that waits, and short requests go on there")
{
    Scheduler scheduler(Policies::standard());
    Requests requests;
    requests.add("gang", spec(32'000, WorkKind::Gang, 2));
    requests.add("job", spec(8'000));
    requests.add("short", spec(8'000, WorkKind::Short));
    addWorkers(scheduler, 2);
    const Resources job = spec(8'000).perTask;
    scheduler.reserve(TeamId("a"), WorkerId("w0"), job);
    scheduler.reserve(TeamId("a"), WorkerId("w1"), job);
    scheduler.queues().add(TeamId("g"), {RequestId("gang"), 0, true}, Precedence::Job);
    scheduler.holdWorkersFor(requests, RequestId("gang"));
    scheduler.queues().add(TeamId("a"), {RequestId("job"), 0, false}, Precedence::Job);
    scheduler.queues().add(TeamId("b"), {RequestId("short"), 0, false}, Precedence::Short);
    const auto first = scheduler.decide(requests, 10);
    REQUIRE(first.size() == 1);
    CHECK(first.front().item.request == RequestId("short"));
    scheduler.release(TeamId("b"), first.front().placements.front().worker, job);
    scheduler.release(TeamId("a"), WorkerId("w0"), job);
    scheduler.release(TeamId("a"), WorkerId("w1"), job);
    const auto second = scheduler.decide(requests, 10);
    REQUIRE(second.size() == 1);
    CHECK(second.front().item.request == RequestId("gang"));
    scheduler.holdWorkersFor(requests, std::nullopt);
}

TEST_CASE("Room is held on full workers too")
{
    Scheduler scheduler(Policies::standard());
    Requests requests;
    requests.add("gang", spec(32'000, WorkKind::Gang, 2));
    requests.add("job", spec(4'000));
    addWorkers(scheduler, 2);
    const Resources job = spec(4'000).perTask;
    for (int index = 0; index < 8; ++index) {
        scheduler.reserve(TeamId("a"), WorkerId("w0"), job);
        scheduler.reserve(TeamId("a"), WorkerId("w1"), job);
    }
    scheduler.holdWorkersFor(requests, RequestId("gang"));
    scheduler.queues().add(TeamId("a"), {RequestId("job"), 0, false}, Precedence::Job);
    scheduler.release(TeamId("a"), WorkerId("w0"), job);
    CHECK(scheduler.decide(requests, 10).empty());
    scheduler.holdWorkersFor(requests, std::nullopt);
    CHECK(scheduler.decide(requests, 10).size() == 1);
}

TEST_CASE("Urgent work goes before other teams' and short work before jobs")
{
    Scheduler scheduler(Policies::standard());
    Requests requests;
    requests.add("job", spec(32'000));
    requests.add("urgent", spec(32'000));
    requests.add("short", spec(32'000, WorkKind::Short));
    addWorkers(scheduler, 1);
    scheduler.queues().add(TeamId("a"), {RequestId("job"), 0, false}, Precedence::Job);
    scheduler.queues().add(TeamId("a"), {RequestId("short"), 0, false}, Precedence::Short);
    scheduler.queues().add(TeamId("z"), {RequestId("urgent"), 0, false}, Precedence::Urgent);
    CHECK(scheduler.decide(requests, 1).front().item.request == RequestId("urgent"));
    scheduler.release(TeamId("z"), WorkerId("w0"), spec(32'000).perTask);
    CHECK(scheduler.decide(requests, 1).front().item.request == RequestId("short"));
}

TEST_CASE("A team over its limit waits, and the others do not wait for it")
{
    Scheduler scheduler(Policies::standard());
    Requests requests;
    requests.add("job", spec(1000));
    requests.setHeadroom(999);
    addWorkers(scheduler, 1);
    scheduler.queues().add(TeamId("a"), {RequestId("job"), 0, false}, Precedence::Job);
    CHECK(scheduler.decide(requests, 10).empty());
    CHECK(scheduler.queues().size() == 1);
}

TEST_CASE("Replicas of a service spread over racks")
{
    Scheduler scheduler(Policies::standard());
    Requests requests;
    requests.add("watch", spec(1000, WorkKind::Service, 3));
    addWorkers(scheduler, 18);
    std::set<std::string> workers;
    for (std::uint32_t task = 0; task < 3; ++task)
        scheduler.queues().add(TeamId("t"), {RequestId("watch"), task, false}, Precedence::Job);
    for (const Decision &decision : scheduler.decide(requests, 10))
        workers.insert(decision.placements.front().worker.value());
    CHECK(workers.size() == 3);
}

// The naive version looks at every worker. Where it finds a place, the index must find one too.
TEST_CASE("The index finds a place exactly when a scan of all workers does")
{
    const std::uint32_t seed = GENERATE(range(1U, 21U));
    CAPTURE(seed);
    std::minstd_rand random(seed);
    WorkerIndex index;
    const PackingPlacement packing;
    const SpreadPlacement spreading;
    const FirstFitPlacement naive;
    constexpr int Count = 60;
    for (int worker = 0; worker < Count; ++worker) {
        const std::string zone = worker % 3 == 0 ? "a" : "b";
        index.put({WorkerId("w" + std::to_string(worker)),
                   RackId("r" + std::to_string(worker / 6)),
                   {{"zone", zone}},
                   {},
                   true});
    }
    const std::set<RackId> noRacks;
    for (int step = 0; step < 2000; ++step) {
        const Resources free{MilliCores(static_cast<std::int64_t>(random() % 32) * 1000),
                             Mebibytes(static_cast<std::int64_t>(random() % 64) * 1000),
                             Accelerators(static_cast<std::int64_t>(random() % 3)),
                             Slots(static_cast<std::int64_t>(random() % 4))};
        index.update(WorkerOrdinal(random() % Count), free, random() % 5 != 0);
        const Labels selector = random() % 2 == 0 ? Labels{} : Labels{{"zone", "a"}};
        const Resources need{MilliCores(static_cast<std::int64_t>(random() % 40) * 1000),
                             Mebibytes(static_cast<std::int64_t>(random() % 70) * 1000),
                             Accelerators(static_cast<std::int64_t>(random() % 4)), Slots(1)};
        const PlacementNeed wanted{need, selector, noRacks};
        const bool fits = naive.choose(index, wanted).has_value();
        const auto packed = packing.choose(index, wanted);
        const auto spread = spreading.choose(index, wanted);
        CHECK(packed.has_value() == fits);
        CHECK(spread.has_value() == fits);
        if (packed.has_value())
            CHECK(isEligible(index.at(*packed), wanted));
        if (spread.has_value())
            CHECK(isEligible(index.at(*spread), wanted));
    }
}

TEST_CASE("Whatever starts and ends, no worker holds more than it has")
{
    const std::uint32_t seed = GENERATE(range(1U, 11U));
    CAPTURE(seed);
    std::minstd_rand random(seed);
    Scheduler scheduler(Policies::standard());
    Requests requests;
    addWorkers(scheduler, 12);
    struct Held
    {
        TeamId team;
        WorkerId worker;
        Resources resources;
    };
    std::vector<Held> held;
    for (int step = 0; step < 1000; ++step) {
        const std::string name = "r" + std::to_string(step);
        const bool isGang = random() % 5 == 0;
        const auto tasks = static_cast<std::uint32_t>(isGang ? 1 + random() % 8 : 1);
        const auto cores = static_cast<std::int64_t>(random() % 16 + 1) * 1000;
        requests.add(name, spec(cores, isGang ? WorkKind::Gang : WorkKind::Batch, tasks));
        const TeamId team("t" + std::to_string(random() % 4));
        scheduler.queues().add(team, {RequestId(name), 0, isGang}, Precedence::Job);
        for (const Decision &decision : scheduler.decide(requests, 3)) {
            for (const TaskPlacement &placement : decision.placements)
                held.push_back(
                        {decision.team, placement.worker, requests.specOf(decision.item).perTask});
        }
        while (held.size() > 60 || (!held.empty() && random() % 3 == 0)) {
            const std::size_t victim = random() % held.size();
            scheduler.release(held[victim].team, held[victim].worker, held[victim].resources);
            held.erase(held.begin() + static_cast<std::ptrdiff_t>(victim));
        }
        std::map<WorkerId, Resources> sums;
        for (const Held &each : held)
            sums[each.worker] += each.resources;
        for (const auto &[worker, sum] : sums) {
            CHECK(sum.fitsIn({MilliCores(32'000), Mebibytes(64'000), Accelerators(0), Slots(8)}));
            CHECK(sum == scheduler.reservedOn(worker));
        }
    }
}

TEST_CASE("Work that uses more than it declares is given what it was seen to use")
{
    Scheduler scheduler(Policies::standard());
    Requests requests;
    requests.add("small", spec(1'000));
    addWorkers(scheduler, 1, 16'000, 100);
    const auto start = [&] {
        scheduler.enqueue(TeamId("t"), {RequestId("small"), 0, false}, spec(1'000),
                          Precedence::Job);
        return scheduler.decide(requests, 1);
    };
    const auto first = start();
    REQUIRE(first.size() == 1);
    CHECK(first.front().perTask.cores == MilliCores(1'000));
    const std::uint32_t shape = first.front().item.shape;
    const auto see = [&](std::int64_t now, std::int64_t cores) {
        scheduler.recordUsage(Instant(now), TeamId("t"), shape, MilliCores(cores), Mebibytes(50));
    };
    see(1'000'000, 4'000);
    CHECK(start().front().perTask.cores == MilliCores(4'000));
    // Usage lags: what is seen of a task that has just begun takes nothing back.
    see(1'000'500, 0);
    CHECK(start().front().perTask.cores == MilliCores(4'000));
    CHECK(scheduler.runningOf(TeamId("t")).cores == MilliCores(9'000));
    // A peak is forgotten after a while without another.
    see(1'700'000, 500);
    see(2'400'000, 500);
    CHECK(start().front().perTask.cores == MilliCores(1'000));
    // What no worker could ever give is not waited for.
    see(2'400'000, 99'000);
    CHECK(start().front().perTask.cores == MilliCores(1'000));
}

TEST_CASE("What one team's work was seen to use says nothing of another team's")
{
    Scheduler scheduler(Policies::standard());
    Requests requests;
    requests.add("small", spec(1'000));
    addWorkers(scheduler, 1);
    scheduler.enqueue(TeamId("a"), {RequestId("small"), 0, false}, spec(1'000), Precedence::Job);
    const std::uint32_t shape = scheduler.decide(requests, 1).front().item.shape;
    scheduler.recordUsage(Instant(1'000'000), TeamId("a"), shape, MilliCores(4'000), Mebibytes(0));
    scheduler.enqueue(TeamId("b"), {RequestId("small"), 0, false}, spec(1'000), Precedence::Job);
    CHECK(scheduler.decide(requests, 1).front().perTask.cores == MilliCores(1'000));
}

// A gang was given what its tasks were seen to use if one worker had room for one of them.
TEST_CASE("A gang is not made to wait for room that could never hold all of it")
{
    Scheduler scheduler(Policies::standard());
    Requests requests;
    requests.add("gang", spec(1'000, WorkKind::Gang, 4));
    addWorkers(scheduler, 1);
    const auto start = [&] {
        scheduler.enqueue(TeamId("t"), {RequestId("gang"), 0, true}, spec(1'000, WorkKind::Gang, 4),
                          Precedence::Job);
        return scheduler.decide(requests, 1);
    };
    const auto first = start();
    REQUIRE(first.size() == 1);
    scheduler.recordUsage(Instant(1'000'000), TeamId("t"), first.front().item.shape,
                          MilliCores(20'000), Mebibytes(0));
    const auto second = start();
    REQUIRE(second.size() == 1);
    CHECK(second.front().perTask.cores == MilliCores(1'000));
}

TEST_CASE("Packing leaves processors and memory where they can be used together")
{
    Scheduler scheduler(Policies::standard());
    Requests requests;
    const auto add = [&](const std::string &name, std::int64_t memory) {
        WorkSpec work = spec(8'000);
        work.perTask.memory = Mebibytes(memory);
        requests.add(name, work);
        scheduler.enqueue(TeamId("t"), {RequestId(name), 0, false}, work, Precedence::Job);
    };
    const auto addWorker = [&](const std::string &name, std::int64_t memory) {
        scheduler.putWorker(WorkerId(name), RackId("r"), {},
                            {MilliCores(8'000), Mebibytes(memory), Accelerators(0), Slots(8)},
                            true);
    };
    addWorker("large", 16'000);
    addWorker("small", 4'000);
    add("little", 4'000);
    add("much", 16'000);
    CHECK(scheduler.decide(requests, 2).size() == 2);
}

TEST_CASE("Room is held for a gang beside services, which never make any")
{
    Scheduler scheduler(Policies::standard());
    Requests requests;
    addWorkers(scheduler, 2, 32'000, 32);
    requests.add("gang", spec(4'000, WorkKind::Gang, 8));
    requests.add("job", spec(4'000));
    const Resources service = spec(1'000).perTask;
    const Resources job = spec(4'000).perTask;
    for (const char *worker : {"w0", "w1"}) {
        scheduler.reserve(TeamId("s"), WorkerId(worker), service, TaskLifetime::LongRunning);
        for (int index = 0; index < 7; ++index)
            scheduler.reserve(TeamId("a"), WorkerId(worker), job);
    }
    scheduler.queues().add(TeamId("g"), {RequestId("gang"), 0, true}, Precedence::Job);
    scheduler.holdWorkersFor(requests, RequestId("gang"));
    // Neither worker alone will ever hold all of it, so what ends on either one is kept.
    scheduler.release(TeamId("a"), WorkerId("w0"), job);
    scheduler.release(TeamId("a"), WorkerId("w1"), job);
    scheduler.queues().add(TeamId("a"), {RequestId("job"), 0, false}, Precedence::Job);
    CHECK(scheduler.decide(requests, 10).empty());
    for (int index = 0; index < 6; ++index)
        scheduler.release(TeamId("a"), WorkerId("w0"), job);
    const std::vector<Decision> started = scheduler.decide(requests, 10);
    REQUIRE(!started.empty());
    CHECK(started.front().placements.size() == 8);
}
