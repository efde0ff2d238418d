#include "benchmarks/waiting_simulation.h"

#include <algorithm>
#include <cmath>

namespace gentiancross::benchmarks {

namespace {

constexpr int Workers = 60;
constexpr int WorkersPerRack = 6;
constexpr int Teams = 6;
constexpr std::int64_t WorkerCores = 32'000;
constexpr std::int64_t WorkerSlots = 16;
constexpr std::uint32_t GangSize = 8;
constexpr Milliseconds HoldInterval{250};
constexpr std::size_t MostDecisions = 256;

WorkSpec makeSpec(WorkKind kind, std::int64_t cores, std::uint32_t tasks = 1)
{
    WorkSpec spec;
    spec.kind = kind;
    spec.taskCount = tasks;
    spec.perTask = {MilliCores(cores), Mebibytes(0), Accelerators(0), Slots(1)};
    return spec;
}

} // namespace

WaitingRun::WaitingRun(Policies policies, double load, bool isFirstCome, std::uint32_t seed)
    : m_random(seed)
    , m_scheduler(std::move(policies))
    , m_isFirstCome(isFirstCome)
{
    m_kinds = {
            {"short", 0.90, Milliseconds(200), makeSpec(WorkKind::Short, 1'000), Precedence::Short},
            {"urgent", 0.04, Milliseconds(200), makeSpec(WorkKind::Short, 1'000),
             Precedence::Urgent},
            {"batch", 0.04, Milliseconds(60'000), makeSpec(WorkKind::Batch, 4'000),
             Precedence::Job},
            {"service", 0.01, Milliseconds(900'000), makeSpec(WorkKind::Service, 2'000),
             Precedence::Job},
            {"gang", 0.01, Milliseconds(60'000), makeSpec(WorkKind::Gang, 4'000, GangSize),
             Precedence::Job},
    };
    double work = 0.0;
    for (const Kind &kind : m_kinds)
        work += kind.part * static_cast<double>(kind.spec.perTask.cores.value())
                * kind.spec.taskCount * static_cast<double>(kind.length.value());
    m_arrivalsPerMillisecond = load * Workers * WorkerCores / work;
    for (int index = 0; index < Workers; ++index)
        m_scheduler.putWorker(
                WorkerId("w" + std::to_string(index)),
                RackId("r" + std::to_string(index / WorkersPerRack)), {},
                {MilliCores(WorkerCores), Mebibytes(0), Accelerators(0), Slots(WorkerSlots)}, true);
}

Milliseconds WaitingRun::timeToNextArrival()
{
    std::exponential_distribution<double> gap(m_arrivalsPerMillisecond);
    return Milliseconds(static_cast<std::int64_t>(std::ceil(gap(m_random))));
}

void WaitingRun::run(Milliseconds span)
{
    const Instant end = m_now + span;
    Instant arrival = m_now + timeToNextArrival();
    Instant hold = m_now;
    while (m_now < end) {
        m_now = std::min(arrival, hold);
        if (!m_ends.empty())
            m_now = std::min(m_now, m_ends.top().at);
        while (!m_ends.empty() && m_ends.top().at <= m_now) {
            const End &ended = m_ends.top();
            m_scheduler.release(ended.team, ended.worker, ended.resources, ended.stay);
            m_ends.pop();
        }
        if (arrival <= m_now) {
            arrive();
            arrival = m_now + timeToNextArrival();
        }
        if (hold <= m_now) {
            if (!m_isFirstCome)
                m_scheduler.holdWorkersFor(*this, m_gangs.longest(m_now));
            hold = m_now + HoldInterval;
        }
        decide();
    }
}

void WaitingRun::arrive()
{
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    double left = draw(m_random);
    std::size_t kind = 0;
    while (kind + 1 < m_kinds.size() && left >= m_kinds[kind].part)
        left -= m_kinds[kind++].part;
    const RequestId request("r" + std::to_string(++m_lastRequest));
    const TeamId team("team" + std::to_string(m_random() % Teams));
    m_waiting[request] = {kind, m_now};
    const WorkSpec &spec = m_kinds[kind].spec;
    const bool isGang = spec.kind == WorkKind::Gang;
    if (isGang)
        m_gangs.add(m_now, request);
    m_scheduler.enqueue(team, {request, 0, isGang}, spec,
                        m_isFirstCome ? Precedence::Job : m_kinds[kind].precedence);
}

void WaitingRun::decide()
{
    for (const Decision &decision : m_scheduler.decide(*this, MostDecisions)) {
        const Request request = m_waiting.at(decision.item.request);
        const Kind &kind = m_kinds[request.kind];
        m_waits[kind.name].push_back(static_cast<double>((m_now - request.arrival).value()));
        for (const TaskPlacement &placement : decision.placements)
            m_ends.push({m_now + kind.length, decision.team, placement.worker, decision.perTask,
                         lifetimeOf(kind.spec.kind)});
        m_waiting.erase(decision.item.request);
        m_gangs.remove(decision.item.request);
    }
}

std::map<std::string, std::vector<double>> WaitingRun::waits() const
{
    std::map<std::string, std::vector<double>> waits = m_waits;
    for (const auto &[name, request] : m_waiting)
        waits[m_kinds[request.kind].name].push_back(
                static_cast<double>((m_now - request.arrival).value()));
    return waits;
}

const WorkSpec &WaitingRun::specOf(const QueueItem &item) const
{
    return m_kinds[m_waiting.at(item.request).kind].spec;
}

MilliCores WaitingRun::headroomOf(const TeamId &) const
{
    return MilliCores(std::int64_t{Workers} * WorkerCores);
}

} // namespace gentiancross::benchmarks
