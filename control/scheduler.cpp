#include "control/scheduler.h"

#include <algorithm>
#include <utility>

namespace gentiancross {

namespace {

/** How many items of one team are tried before the team's turn passes. */
constexpr int LookAhead = 16;

} // namespace

Policies Policies::standard()
{
    return {std::make_unique<DominantShareQueue>(), std::make_unique<PackingPlacement>(),
            std::make_unique<SpreadPlacement>()};
}

Policies Policies::naive()
{
    return {std::make_unique<ArrivalQueue>(), std::make_unique<FirstFitPlacement>(),
            std::make_unique<FirstFitPlacement>()};
}

Scheduler::Scheduler(Policies policies)
    : m_policies(std::move(policies))
{}

void Scheduler::putWorker(const WorkerId &worker, const RackId &rack, const Labels &labels,
                          const Resources &capacity, bool usable)
{
    WorkerCapacity &state = m_workerCapacities[worker];
    if (state.usable != usable || state.capacity != capacity) {
        if (state.usable)
            m_total -= state.capacity;
        if (usable)
            m_total += capacity;
        markTeamsChanged();
    }
    const bool descriptionChanged = !state.known || state.rack != rack || state.labels != labels
            || state.capacity != capacity;
    state.rack = rack;
    state.labels = labels;
    state.capacity = capacity;
    state.usable = usable;
    state.known = true;
    if (descriptionChanged)
        m_workers.put({worker, rack, labels, {}, false});
    if (refreshIndex(worker, state))
        onCapacityIncreased(worker);
}

bool Scheduler::refreshIndex(const WorkerId &worker, const WorkerCapacity &state)
{
    if (!state.known)
        return false;
    Resources free = state.capacity;
    free -= state.reserved;
    return m_workers.update(m_workers.ordinalOf(worker), free, state.usable);
}

void Scheduler::onCapacityIncreased(const WorkerId &worker)
{
    if (m_shapes.onCapacityIncreased(m_workers.at(m_workers.ordinalOf(worker))))
        m_areAllTurnsStale = true;
}

void Scheduler::reserve(const TeamId &team, const WorkerId &worker, const Resources &resources,
                        TaskLifetime lifetime)
{
    addReservation(team, worker, resources, lifetime);
    m_queues.touch(team);
}

void Scheduler::release(const TeamId &team, const WorkerId &worker, const Resources &resources,
                        TaskLifetime lifetime)
{
    if (subtractReservation(team, worker, resources, lifetime))
        onCapacityIncreased(worker);
    m_queues.touch(team);
}

void Scheduler::addReservation(const TeamId &team, const WorkerId &worker,
                               const Resources &resources, TaskLifetime lifetime)
{
    WorkerCapacity &state = m_workerCapacities[worker];
    state.reserved += resources;
    if (lifetime == TaskLifetime::LongRunning)
        state.longRunning += resources;
    m_running[team] += resources;
    refreshIndex(worker, state);
}

bool Scheduler::subtractReservation(const TeamId &team, const WorkerId &worker,
                                    const Resources &resources, TaskLifetime lifetime)
{
    WorkerCapacity &state = m_workerCapacities[worker];
    state.reserved -= resources;
    if (lifetime == TaskLifetime::LongRunning)
        state.longRunning -= resources;
    const auto running = m_running.find(team);
    if (running != m_running.end()) {
        running->second -= resources;
        if (running->second == Resources())
            m_running.erase(running);
    }
    return refreshIndex(worker, state);
}

Resources Scheduler::reservedOn(const WorkerId &worker) const
{
    const auto found = m_workerCapacities.find(worker);
    return found == m_workerCapacities.end() ? Resources() : found->second.reserved;
}

Resources Scheduler::runningOf(const TeamId &team) const
{
    const auto found = m_running.find(team);
    return found == m_running.end() ? Resources() : found->second;
}

double Scheduler::rankOfTeam(const SchedulerContext &context, const TeamId &team) const
{
    return m_policies.queue->rank({runningOf(team), context.weightOf(team), 0}, m_total);
}

double Scheduler::shareOf(const Resources &resources) const
{
    return m_policies.queue->rank({resources, 1, 0}, m_total);
}

bool Scheduler::wouldFitWithout(const WorkerId &worker, const Resources &freed,
                                const WorkSpec &needed) const
{
    const auto found = m_workerCapacities.find(worker);
    if (found == m_workerCapacities.end())
        return false;
    const WorkerCapacity &state = found->second;
    Resources left = state.capacity;
    left -= state.reserved;
    left += freed;
    const std::set<RackId> noRacks;
    return isEligible({worker, state.rack, state.labels, left, state.usable},
                      {needed.perTask, needed.selector, noRacks});
}

void Scheduler::holdWorkersFor(const SchedulerContext &context,
                               const std::optional<RequestId> &gang)
{
    if (m_heldFor == gang)
        return;
    releaseHeldWorkers();
    m_heldFor = gang;
    m_areAllTurnsStale = true;
    if (gang.has_value())
        holdWorkers(context.specOf({*gang, 0, true}));
}

void Scheduler::holdWorkers(const WorkSpec &spec)
{
    // Workers with the most free capacity drain soonest. The index leaves out full workers, which
    // are candidates too, so all workers are sorted here.
    std::vector<std::pair<MilliCores, WorkerOrdinal>> candidates;
    for (std::size_t index = 0; index < m_workers.size(); ++index)
        candidates.emplace_back(m_workers.at(WorkerOrdinal(index)).free.cores,
                                WorkerOrdinal(index));
    std::sort(candidates.rbegin(), candidates.rend());
    std::uint32_t fittingTasks = 0;
    for (const auto &[cores, ordinal] : candidates) {
        if (fittingTasks >= spec.taskCount)
            break;
        // Services never drain, however long the worker is held.
        const IndexedWorker &worker = m_workers.at(ordinal);
        const WorkerCapacity &state = m_workerCapacities.at(worker.id);
        Resources drained = state.capacity;
        drained -= state.longRunning;
        const std::uint32_t more = countFittingTasks(drained, worker, spec, spec.perTask);
        if (more == 0)
            continue;
        fittingTasks += more;
        m_heldWorkers.push_back(ordinal);
        m_workers.setHeld(ordinal, true);
    }
}

std::uint32_t Scheduler::countFittingTasks(Resources free, const IndexedWorker &worker,
                                           const WorkSpec &spec, const Resources &perTask)
{
    const std::set<RackId> noRacks;
    std::uint32_t taskCount = 0;
    while (taskCount < spec.taskCount
           && isEligible({worker.id, worker.rack, worker.labels, free, worker.usable},
                         {perTask, spec.selector, noRacks})) {
        free -= perTask;
        ++taskCount;
    }
    return taskCount;
}

void Scheduler::releaseHeldWorkers()
{
    for (const WorkerOrdinal ordinal : m_heldWorkers) {
        m_workers.setHeld(ordinal, false);
        onCapacityIncreased(m_workers.at(ordinal).id);
    }
    m_heldWorkers.clear();
}

bool Scheduler::couldEverFit(const WorkSpec &spec, const Resources &perTask) const
{
    const std::uint32_t wanted = spec.kind == WorkKind::Gang ? spec.taskCount : 1;
    std::uint32_t fittingTasks = 0;
    for (const auto &[id, state] : m_workerCapacities) {
        if (!state.known)
            continue;
        const IndexedWorker worker{id, state.rack, state.labels, {}, true};
        fittingTasks += countFittingTasks(state.capacity, worker, spec, perTask);
        if (fittingTasks >= wanted)
            return true;
    }
    return false;
}

std::vector<Decision> Scheduler::decide(const SchedulerContext &context, std::size_t maxDecisions)
{
    std::vector<Decision> decisions;
    while (decisions.size() < maxDecisions) {
        refreshTurns(context);
        const Turn *turn = m_order.first();
        if (turn == nullptr)
            break;
        const TeamId team = turn->team;
        Decision decision;
        if (!tryTeam(context, team, decision)) {
            // The team can start nothing until its queue, its limit or the free capacity changes.
            m_order.remove(team);
            continue;
        }
        m_queues.remove(team, decision.key);
        decisions.push_back(std::move(decision));
    }
    return decisions;
}

void Scheduler::refreshTurns(const SchedulerContext &context)
{
    for (const TeamId &team : m_queues.takeChanged())
        refreshTurn(context, team);
    if (!std::exchange(m_areAllTurnsStale, false))
        return;
    for (const auto &[team, queue] : m_queues.queues())
        refreshTurn(context, team);
}

void Scheduler::refreshTurn(const SchedulerContext &context, const TeamId &team)
{
    const auto queue = m_queues.queues().find(team);
    if (queue == m_queues.queues().end()) {
        m_order.remove(team);
        return;
    }
    const QueueKey &head = queue->second.items.begin()->first;
    const double rank = m_policies.queue->rank(
            {runningOf(team), context.weightOf(team), head.arrival}, m_total);
    m_order.put({head.precedence != Precedence::Urgent, rank, team});
}

bool Scheduler::tryTeam(const SchedulerContext &context, const TeamId &team, Decision &decision)
{
    const TeamQueues::Queue &queue = m_queues.queues().at(team);
    int tried = 0;
    for (const auto &[key, item] : queue.items) {
        if (++tried > LookAhead)
            return false;
        decision = {team, key, item, {}, {}};
        if (tryItem(context, team, decision))
            return true;
        item.waitCause = decision.item.waitCause;
    }
    return false;
}

bool Scheduler::tryItem(const SchedulerContext &context, const TeamId &team, Decision &decision)
{
    const WaitCause previousCause = decision.item.waitCause;
    decision.item.waitCause = WaitCause::FreeCapacity;
    if (isKnownUnfit(decision.item))
        return false;
    const WorkSpec &spec = context.specOf(decision.item);
    const std::uint32_t count = decision.item.wholeGang ? spec.taskCount : 1;
    decision.perTask = needOf(team, decision.item, spec);
    const Resources &need = decision.perTask;
    if (need.cores * count > context.headroomOf(team)) {
        decision.item.waitCause = WaitCause::TeamLimit;
        return false;
    }
    const PlacementPolicy &policy = placementFor(spec.kind);
    std::set<RackId> racks = context.racksOf(decision.item);
    for (std::uint32_t index = 0; index < count; ++index) {
        const bool mayUseHeld = spec.kind == WorkKind::Short || decision.item.request == m_heldFor;
        const auto ordinal = policy.choose(m_workers, {need, spec.selector, racks, mayUseHeld});
        if (!ordinal.has_value()) {
            // The tasks of a gang start all together or not at all.
            for (const TaskPlacement &placed : decision.placements)
                subtractReservation(team, placed.worker, need, lifetimeOf(spec.kind));
            // A shape is registered with its declared resources. That this team's larger measured
            // need does not fit does not make the shape itself unfit.
            m_shapes.markUnfit(need == spec.perTask ? decision.item.shape : 0);
            return false;
        }
        const IndexedWorker &worker = m_workers.at(*ordinal);
        racks.insert(worker.rack);
        decision.placements.push_back(
                {decision.item.wholeGang ? index : decision.item.task, worker.id});
        addReservation(team, worker.id, need, lifetimeOf(spec.kind));
    }
    m_queues.touch(team);
    decision.item.waitCause = previousCause;
    return true;
}

Resources Scheduler::needOf(const TeamId &team, const QueueItem &item, const WorkSpec &spec) const
{
    const Resources need = m_usage.raiseToPeaks(team, item.shape, spec.perTask);
    if (need == spec.perTask)
        return need;
    return couldEverFit(spec, need) ? need : spec.perTask;
}

bool Scheduler::isKnownUnfit(const QueueItem &item) const
{
    // The gang that workers are held for may fit where another request of its shape does not.
    return item.shape != 0 && item.request != m_heldFor && m_shapes.isUnfit(item.shape);
}

QueueKey Scheduler::enqueue(const TeamId &team, QueueItem item, const WorkSpec &spec,
                            Precedence precedence)
{
    item.shape = m_shapes.registerShape(spec);
    return m_queues.add(team, item, precedence);
}

const PlacementPolicy &Scheduler::placementFor(WorkKind kind) const
{
    return kind == WorkKind::Service ? *m_policies.spreading : *m_policies.packing;
}

} // namespace gentiancross
