#include "control/reclaimer.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace gentiancross {

namespace {

constexpr Milliseconds ThrottleAfter{1000};
constexpr Milliseconds StopAfter{2000};
/** The most reclaims that one call of advance() may start. */
constexpr std::size_t MaxReclaimsPerPass = 512;

} // namespace

Reclaimer::Reclaimer(Scheduler &scheduler, TaskTracker &tasks, const RequestTracker &requests)
    : m_scheduler(scheduler)
    , m_tasks(tasks)
    , m_requests(requests)
{}

void Reclaimer::advance(Instant now, const SchedulerContext &context)
{
    advanceReclaims(now);
    const std::optional<TeamRank> beneficiary = findBeneficiary(context);
    const std::optional<TeamRank> donor = findDonor(context);
    if (!beneficiary.has_value() || !donor.has_value() || beneficiary->team == donor->team)
        return;
    const TeamQueues::Queue &queue = m_scheduler.queues().queues().at(beneficiary->team);
    const WorkSpec &needed = context.specOf(queue.items.begin()->second);
    const std::size_t wanted = std::min(countTasksToBalance(context, *beneficiary, *donor, needed),
                                        queue.items.size());
    // Reclaims in progress count as moved already; otherwise more than the fair share would be
    // taken.
    const std::size_t pending = countReclaimsFor(beneficiary->team);
    if (wanted <= pending)
        return;
    const std::size_t maxVictims = std::min(wanted - pending, MaxReclaimsPerPass);
    for (const TaskRef &victim : selectVictims(donor->team, needed, maxVictims)) {
        m_reclaims[victim] = {beneficiary->team, now};
        m_tasks.reclaim(victim, ReclaimStep::Checkpoint);
    }
}

std::size_t Reclaimer::countTasksToBalance(const SchedulerContext &context,
                                           const TeamRank &beneficiary, const TeamRank &donor,
                                           const WorkSpec &needed) const
{
    const double taskShare = m_scheduler.shareOf(needed.perTask);
    const double gapClosedPerTask
            = taskShare / static_cast<double>(context.weightOf(beneficiary.team))
            + taskShare / static_cast<double>(context.weightOf(donor.team));
    const double gap = donor.rank - beneficiary.rank;
    if (gap <= 0.0 || gapClosedPerTask <= 0.0)
        return 0;
    return static_cast<std::size_t>(gap / gapClosedPerTask);
}

void Reclaimer::advanceReclaims(Instant now)
{
    for (auto reclaim = m_reclaims.begin(); reclaim != m_reclaims.end();) {
        const auto &[task, state] = *reclaim;
        const bool isWanted = m_scheduler.queues().sizeOf(state.beneficiary) > 0;
        if (!m_tasks.isTracked(task) || !isWanted) {
            m_tasks.reclaim(task, ReclaimStep::None);
            reclaim = m_reclaims.erase(reclaim);
            continue;
        }
        const Milliseconds waited = now - state.startedAt;
        if (waited >= StopAfter)
            m_tasks.stop(task);
        else if (waited >= ThrottleAfter)
            m_tasks.reclaim(task, ReclaimStep::Throttle);
        ++reclaim;
    }
}

std::optional<Reclaimer::TeamRank> Reclaimer::findBeneficiary(const SchedulerContext &context) const
{
    std::optional<TeamRank> found;
    for (const auto &[team, queue] : m_scheduler.queues().queues()) {
        const WorkSpec &head = context.specOf(queue.items.begin()->second);
        // A team that waits for its own limit would gain nothing from capacity of other teams.
        if (head.kind == WorkKind::Gang || head.perTask.cores > context.headroomOf(team))
            continue;
        const double rank = m_scheduler.rankOfTeam(context, team);
        if (!found.has_value() || rank < found->rank)
            found = TeamRank{team, rank};
    }
    return found;
}

std::optional<Reclaimer::TeamRank> Reclaimer::findDonor(const SchedulerContext &context) const
{
    std::optional<TeamRank> found;
    for (const auto &[team, running] : m_scheduler.running()) {
        const double rank = m_scheduler.rankOfTeam(context, team);
        if (!found.has_value() || rank > found->rank)
            found = TeamRank{team, rank};
    }
    return found;
}

std::size_t Reclaimer::countReclaimsFor(const TeamId &team) const
{
    std::size_t count = 0;
    for (const auto &[task, reclaim] : m_reclaims)
        count += reclaim.beneficiary == team ? 1 : 0;
    return count;
}

std::vector<TaskRef> Reclaimer::selectVictims(const TeamId &team, const WorkSpec &needed,
                                              std::size_t maxVictims) const
{
    std::vector<std::pair<Instant, TaskRef>> candidates;
    m_tasks.visitRunning(team, [&](const TaskRef &task, const WorkerId &worker, Instant startedAt) {
        if (m_reclaims.contains(task) || !m_requests.mayBeInterrupted(task.request))
            return;
        const Resources &freed = m_requests.specOf({task.request, 0, false}).perTask;
        if (m_scheduler.wouldFitWithout(worker, freed, needed))
            candidates.emplace_back(startedAt, task);
    });
    const std::size_t count = std::min(maxVictims, candidates.size());
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
