#include "control/scheduler.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <tuple>

using namespace gentiancross;

namespace {

constexpr int Teams = 12;
constexpr int Workers = 6;
/** Items of a team that a scheduler tries behind one that does not fit. */
constexpr int LookAhead = 16;

/** Requests whose names tell what they are; limits in the hands of a test. */
class NumberedRequests final : public SchedulerContext
{
public:
    NumberedRequests()
    {
        for (const std::int64_t cores : {1, 2, 5, 9}) {
            for (const std::int64_t accelerators : {0, 1}) {
                WorkSpec spec;
                spec.kind = cores == 9 ? WorkKind::Service : WorkKind::Batch;
                spec.perTask = {MilliCores(cores * 1000), Mebibytes(cores * 10),
                                Accelerators(accelerators), Slots(1)};
                if (cores == 2)
                    spec.selector["disk"] = "fast";
                m_specs.push_back(spec);
            }
        }
    }

    [[nodiscard]] std::size_t count() const { return m_specs.size(); }
    [[nodiscard]] const WorkSpec &spec(std::size_t number) const { return m_specs[number]; }
    void setLimit(const TeamId &team, MilliCores limit) { m_limits[team] = limit; }
    void useFor(const Scheduler &scheduler) { m_scheduler = &scheduler; }

    [[nodiscard]] const WorkSpec &specOf(const QueueItem &item) const override
    {
        return m_specs[std::stoul(item.request.value())];
    }
    [[nodiscard]] std::int64_t weightOf(const TeamId &team) const override
    {
        return 1 + static_cast<std::int64_t>(team.value().back() % 3);
    }
    [[nodiscard]] MilliCores headroomOf(const TeamId &team) const override
    {
        const auto found = m_limits.find(team);
        const MilliCores limit = found == m_limits.end() ? MilliCores(30'000) : found->second;
        return limit - m_scheduler->runningOf(team).cores;
    }
    [[nodiscard]] std::set<RackId> racksOf(const QueueItem &) const override { return {}; }

private:
    std::vector<WorkSpec> m_specs;
    std::map<TeamId, MilliCores> m_limits;
    const Scheduler *m_scheduler = nullptr;
};

bool canStart(const Scheduler &scheduler, const SchedulerContext &context, const TeamId &team,
              const QueueItem &item)
{
    const WorkSpec &spec = context.specOf(item);
    if (spec.perTask.cores > context.headroomOf(team))
        return false;
    const std::set<RackId> noRacks;
    for (std::size_t index = 0; index < scheduler.workers().size(); ++index) {
        if (isEligible(scheduler.workers().at(WorkerOrdinal(index)),
                       {spec.perTask, spec.selector, noRacks}))
            return true;
    }
    return false;
}

/** Whose item goes next, by a look at each team, item and worker. */
std::optional<std::pair<TeamId, QueueKey>> naiveNext(const Scheduler &scheduler,
                                                     const SchedulerContext &context)
{
    std::vector<Turn> turns;
    for (const auto &[team, queue] : scheduler.queues().queues()) {
        const bool isUrgent = queue.items.begin()->first.precedence == Precedence::Urgent;
        turns.push_back({!isUrgent, scheduler.rankOfTeam(context, team), team});
    }
    std::sort(turns.begin(), turns.end());
    for (const Turn &turn : turns) {
        int tried = 0;
        for (const auto &[key, item] : scheduler.queues().queues().at(turn.team).items) {
            if (++tried > LookAhead)
                break;
            if (canStart(scheduler, context, turn.team, item))
                return std::pair(turn.team, key);
        }
    }
    return std::nullopt;
}

/** A scheduler to which things happen at random. */
class RandomEvents
{
public:
    explicit RandomEvents(std::uint32_t seed)
        : m_random(seed)
    {
        m_requests.useFor(m_scheduler);
        for (int worker = 0; worker < Workers; ++worker)
            putWorker(worker, true);
    }

    void step()
    {
        switch (m_random() % 8) {
        case 0:
            putWorker(static_cast<int>(m_random() % Workers), m_random() % 3 != 0);
            break;
        case 1:
            m_requests.setLimit(anyTeam(),
                                MilliCores(static_cast<std::int64_t>(m_random() % 40) * 1000));
            m_scheduler.markTeamsChanged();
            break;
        case 2:
        case 3:
            endOne();
            break;
        case 4:
            cancelOne();
            break;
        default:
            queueOne();
        }
    }

    /** Decides until nothing more can start; false if a decision is not the naive one. */
    bool decidesAsNaive()
    {
        while (true) {
            const auto expected = naiveNext(m_scheduler, m_requests);
            const std::vector<Decision> decisions = m_scheduler.decide(m_requests, 1);
            if (decisions.empty() || !expected.has_value())
                return decisions.empty() && !expected.has_value();
            const Decision &decision = decisions.front();
            if (std::pair(decision.team, decision.key) != *expected)
                return false;
            m_running.push_back(decision);
        }
    }

private:
    TeamId anyTeam() { return TeamId("team" + std::to_string(m_random() % Teams)); }

    void putWorker(int worker, bool usable)
    {
        const Labels labels = worker % 2 == 0 ? Labels{{"disk", "fast"}} : Labels{};
        m_scheduler.putWorker(
                WorkerId("w" + std::to_string(worker)), RackId("r"), labels,
                {MilliCores(16'000), Mebibytes(120), Accelerators(worker % 3), Slots(6)}, usable);
    }

    void queueOne()
    {
        const std::size_t number = m_random() % m_requests.count();
        const auto precedence = static_cast<Precedence>(m_random() % 3);
        m_scheduler.enqueue(anyTeam(), {RequestId(std::to_string(number)), 0, false},
                            m_requests.spec(number), precedence);
    }

    void cancelOne()
    {
        const TeamId team = anyTeam();
        const auto queue = m_scheduler.queues().queues().find(team);
        if (queue != m_scheduler.queues().queues().end())
            m_scheduler.queues().remove(team, QueueKey(queue->second.items.begin()->first));
    }

    void endOne()
    {
        if (m_running.empty())
            return;
        std::swap(m_running[m_random() % m_running.size()], m_running.back());
        const Decision ended = m_running.back();
        m_running.pop_back();
        const WorkKind kind = m_requests.specOf(ended.item).kind;
        m_scheduler.release(ended.team, ended.placements.front().worker, ended.perTask,
                            lifetimeOf(kind));
    }

    std::minstd_rand m_random;
    NumberedRequests m_requests;
    Scheduler m_scheduler{Policies::standard()};
    std::vector<Decision> m_running;
};

} // namespace

TEST_CASE("The kept order decides as a look at each team, item and worker does")
{
    const std::uint32_t seed = GENERATE(range(1U, 21U));
    CAPTURE(seed);
    RandomEvents day(seed);
    for (int step = 0; step < 1500; ++step) {
        day.step();
        CAPTURE(step);
        REQUIRE(day.decidesAsNaive());
    }
}

TEST_CASE("Shapes that callers make up do not fill the memory, and work of any shape starts")
{
    ShapeRegistry shapes;
    WorkSpec spec;
    for (std::size_t made = 0; made < ShapeRegistry::MaxShapes; ++made) {
        spec.perTask.memory = Mebibytes(static_cast<std::int64_t>(made));
        REQUIRE(shapes.numberOf(spec) != 0);
    }
    spec.perTask.memory = Mebibytes(1'000'000);
    CHECK(shapes.numberOf(spec) == 0);
    spec.perTask.memory = Mebibytes(7);
    CHECK(shapes.numberOf(spec) == 8);
    shapes.markUnfit(0);
    // Any growth may make room for what has no number.
    CHECK(shapes.onCapacityIncreased({WorkerId("w"), RackId("r"), {}, {}, true}));
    CHECK_FALSE(shapes.isUnfit(0));
}
