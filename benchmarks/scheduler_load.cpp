#include "benchmarks/scheduler_load.h"

#include <algorithm>

namespace gentiancross::benchmarks {

namespace {

constexpr std::int64_t WorkerCores = 32'000;
constexpr std::int64_t WorkerMemory = 65'536;
constexpr std::int64_t WorkerSlots = 16;
constexpr int WorkersPerRack = 6;

WorkSpec shape(std::int64_t cores, std::int64_t memory, std::int64_t accelerators, WorkKind kind)
{
    WorkSpec spec;
    spec.kind = kind;
    spec.perTask = {MilliCores(cores), Mebibytes(memory), Accelerators(accelerators), Slots(1)};
    return spec;
}

} // namespace

SchedulerLoad::SchedulerLoad(Policies policies, const LoadSize &size, std::uint32_t seed)
    : m_random(seed)
    , m_scheduler(std::move(policies))
{
    m_shapes = {shape(1000, 1024, 0, WorkKind::Short),   shape(2000, 4096, 0, WorkKind::Batch),
                shape(4000, 2048, 0, WorkKind::Batch),   shape(1000, 8192, 0, WorkKind::Batch),
                shape(3000, 4096, 0, WorkKind::Service), shape(4000, 8192, 1, WorkKind::Batch)};
    for (std::size_t index = 0; index < m_shapes.size(); ++index)
        m_names.emplace_back(std::to_string(index));
    for (int index = 0; index < size.teams; ++index)
        m_teams.emplace_back("team" + std::to_string(index));
    for (int index = 0; index < size.workers; ++index) {
        // As in the target there are as many accelerators as workers, eight to a host that has
        // them.
        const std::int64_t accelerators = index % 8 == 0 ? 8 : 0;
        m_scheduler.putWorker(WorkerId("w" + std::to_string(index)),
                              RackId("r" + std::to_string(index / WorkersPerRack)), {},
                              {MilliCores(WorkerCores), Mebibytes(WorkerMemory),
                               Accelerators(accelerators), Slots(WorkerSlots)},
                              true);
        m_total += MilliCores(WorkerCores);
    }
}

void SchedulerLoad::queueRandom()
{
    queue(m_random() % m_teams.size(), m_random() % ShapeCount);
}

void SchedulerLoad::queue(std::size_t team, std::size_t shape)
{
    m_scheduler.enqueue(m_teams[team], {m_names[shape], 0, false}, m_shapes[shape],
                        Precedence::Job);
}

bool SchedulerLoad::endRandom()
{
    if (m_running.empty())
        return false;
    std::swap(m_running[m_random() % m_running.size()], m_running.back());
    const Running ended = m_running.back();
    m_running.pop_back();
    m_used -= m_shapes[ended.shape].perTask.cores;
    const WorkSpec &spec = m_shapes[ended.shape];
    m_scheduler.release(ended.team, ended.worker, spec.perTask, lifetimeOf(spec.kind));
    return true;
}

std::size_t SchedulerLoad::decide(std::size_t most)
{
    const std::vector<Decision> decisions = m_scheduler.decide(*this, most);
    for (const Decision &decision : decisions) {
        const std::size_t shape = std::stoul(decision.item.request.value());
        m_running.push_back({decision.team, decision.placements.front().worker, shape});
        m_used += m_shapes[shape].perTask.cores;
    }
    return decisions.size();
}

void SchedulerLoad::fill(double part)
{
    const auto wanted = static_cast<std::int64_t>(part * static_cast<double>(m_total.value()));
    while (m_used.value() < wanted) {
        for (std::size_t index = 0; index < m_teams.size(); ++index)
            queue(index, m_random() % ShapeCount);
        if (decide(m_teams.size()) == 0)
            return;
    }
}

Resources SchedulerLoad::runningOf(std::size_t team) const
{
    return m_scheduler.runningOf(m_teams[team]);
}

const WorkSpec &SchedulerLoad::specOf(const QueueItem &item) const
{
    return m_shapes[static_cast<std::size_t>(item.request.value().front() - '0')];
}

std::int64_t SchedulerLoad::weightOf(const TeamId &) const
{
    return 1;
}

MilliCores SchedulerLoad::headroomOf(const TeamId &) const
{
    return m_total;
}

std::set<RackId> SchedulerLoad::racksOf(const QueueItem &) const
{
    return {};
}

} // namespace gentiancross::benchmarks
