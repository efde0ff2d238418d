#include "control/reclaimer.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace gentiancross {

namespace {

constexpr Milliseconds ThrottleAfter{1000};
constexpr Milliseconds StopAfter{2000};
/** Bounds what one look may start to take back. */
constexpr std::size_t MaxReclaimsPerPass = 512;

} // namespace

Reclaimer::Reclaimer(Scheduler &scheduler, TaskTracker &tasks, const RequestTracker &requests)
    : m_scheduler(scheduler)
    , m_tasks(tasks)
    , m_requests(requests)
{}

void Reclaimer::advance(Instant now, const SchedulerContext &context)
{
    advanceSteps(now);
    const std::optional<Holding> poor = neediest(context);
    const std::optional<Holding> rich = richest(context);
    if (!poor.has_value() || !rich.has_value() || poor->team == rich->team)
        return;
    const TeamQueues::Queue &queue = m_scheduler.queues().queues().at(poor->team);
    const WorkSpec &needed = context.specOf(queue.items.begin()->second);
    const std::size_t wanted
            = std::min(tasksUntilEven(context, *poor, *rich, needed), queue.items.size());
    // What is on its way back counts as moved already, or more than the share would be taken.
    const std::size_t coming = reclaimsFor(poor->team);
    if (wanted <= coming)
        return;
    const std::size_t most = std::min(wanted - coming, MaxReclaimsPerPass);
    for (const TaskRef &victim : selectVictims(rich->team, needed, most)) {
        m_reclaims[victim] = {poor->team, now};
        m_tasks.reclaim(victim, ReclaimStep::Checkpoint);
    }
}

std::size_t Reclaimer::tasksUntilEven(const SchedulerContext &context, const Holding &poor,
                                      const Holding &rich, const WorkSpec &needed) const
{
    const double step = m_scheduler.shareOf(needed.perTask);
    const double nearer = step / static_cast<double>(context.weightOf(poor.team))
            + step / static_cast<double>(context.weightOf(rich.team));
    const double distance = rich.rank - poor.rank;
    if (distance <= 0.0 || nearer <= 0.0)
        return 0;
    return static_cast<std::size_t>(distance / nearer);
}

void Reclaimer::advanceSteps(Instant now)
{
    for (auto reclaim = m_reclaims.begin(); reclaim != m_reclaims.end();) {
        const auto &[task, state] = *reclaim;
        const bool isWanted = m_scheduler.queues().sizeOf(state.beneficiary) > 0;
        if (!m_tasks.isTracked(task) || !isWanted) {
            m_tasks.reclaim(task, ReclaimStep::None);
            reclaim = m_reclaims.erase(reclaim);
            continue;
        }
        const Milliseconds waited = now - state.since;
        if (waited >= StopAfter)
            m_tasks.stop(task);
        else if (waited >= ThrottleAfter)
            m_tasks.reclaim(task, ReclaimStep::Throttle);
        ++reclaim;
    }
}

std::optional<Reclaimer::Holding> Reclaimer::neediest(const SchedulerContext &context) const
{
    std::optional<Holding> found;
    for (const auto &[team, queue] : m_scheduler.queues().queues()) {
        const WorkSpec &head = context.specOf(queue.items.begin()->second);
        // A team that waits for its own limit would gain nothing by others' room.
        if (head.kind == WorkKind::Gang || head.perTask.cores > context.headroomOf(team))
            continue;
        const double rank = m_scheduler.rankOfTeam(context, team);
        if (!found.has_value() || rank < found->rank)
            found = Holding{team, rank};
    }
    return found;
}

std::optional<Reclaimer::Holding> Reclaimer::richest(const SchedulerContext &context) const
{
    std::optional<Holding> found;
    for (const auto &[team, running] : m_scheduler.running()) {
        const double rank = m_scheduler.rankOfTeam(context, team);
        if (!found.has_value() || rank > found->rank)
            found = Holding{team, rank};
    }
    return found;
}

std::size_t Reclaimer::reclaimsFor(const TeamId &team) const
{
    std::size_t count = 0;
    for (const auto &[task, reclaim] : m_reclaims)
        count += reclaim.beneficiary == team ? 1 : 0;
    return count;
}

std::vector<TaskRef> Reclaimer::selectVictims(const TeamId &team, const WorkSpec &needed,
                                              std::size_t most) const
{
    std::vector<std::pair<Instant, TaskRef>> candidates;
    m_tasks.visitRunning(team, [&](const TaskRef &task, const WorkerId &worker, Instant startedAt) {
        if (m_reclaims.contains(task) || !m_requests.mayBeInterrupted(task.request))
            return;
        const Resources &freed = m_requests.specOf({task.request, 0, false}).perTask;
        if (m_scheduler.wouldFitWithout(worker, freed, needed))
            candidates.emplace_back(startedAt, task);
    });
    const std::size_t count = std::min(most, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), [](const auto &first, const auto &second) {
                          return std::tie(second.first, first.second)
                                  < std::tie(first.first, second.second);
                      });
    std::vector<TaskRef> newest;
    for (std::size_t index = 0; index < count; ++index)
        newest.push_back(candidates[index].second);
    return newest;
}

} // namespace gentiancross
