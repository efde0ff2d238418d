#include "control/waiting_work.h"

#include "core/error.h"

namespace gentiancross {

namespace {

constexpr std::size_t MaxQueuedShortTasksPerTeam = 512;
constexpr std::size_t MaxQueuedItemsPerTeam = 20'000;

Precedence precedenceOf(const WorkSpec &spec)
{
    if (spec.urgent)
        return Precedence::Urgent;
    return spec.kind == WorkKind::Short ? Precedence::Short : Precedence::Job;
}

/** Tasks that one item of a queue stands for. */
std::int64_t tasksPerItem(const WorkSpec &spec)
{
    return spec.kind == WorkKind::Gang ? spec.taskCount : 1;
}

} // namespace

absl::Status WaitingWork::checkQueueCapacity(const TeamId &team, const WorkSpec &spec) const
{
    const bool isShort = spec.kind == WorkKind::Short;
    const auto shorts = m_shorts.find(team);
    const std::size_t queuedShort = shorts == m_shorts.end() ? 0 : shorts->second;
    const std::size_t queued
            = isShort ? queuedShort : m_scheduler.queues().sizeOf(team) - queuedShort;
    const std::size_t items = spec.kind == WorkKind::Gang ? 1 : spec.taskCount;
    if (queued + items > (isShort ? MaxQueuedShortTasksPerTeam : MaxQueuedItemsPerTeam))
        return makeError(absl::StatusCode::kResourceExhausted, Step::Queue, "",
                         "the team's queue is full");
    return absl::OkStatus();
}

void WaitingWork::addTask(const RequestId &request, const RequestFacts &facts, std::uint32_t task,
                          Places &places)
{
    const bool isGang = facts.spec.kind == WorkKind::Gang;
    places[task] = m_scheduler.enqueue(facts.team, {request, task, isGang}, facts.spec,
                                       precedenceOf(facts.spec));
    count(facts, tasksPerItem(facts.spec), 1);
}

void WaitingWork::addAll(Instant now, const RequestId &request, const RequestFacts &facts,
                         Places &places)
{
    const bool isGang = facts.spec.kind == WorkKind::Gang;
    if (isGang)
        m_gangs.add(now, request);
    const std::uint32_t items = isGang ? 1 : facts.spec.taskCount;
    for (std::uint32_t task = 0; task < items; ++task)
        addTask(request, facts, task, places);
}

void WaitingWork::removeAll(const RequestId &request, const RequestFacts &facts, Places &places)
{
    for (const auto &[task, key] : places) {
        m_scheduler.queues().remove(facts.team, key);
        count(facts, -tasksPerItem(facts.spec), -1);
    }
    places.clear();
    m_gangs.remove(request);
}

void WaitingWork::recordStart(const Decision &decision, const RequestFacts &facts, Places &places)
{
    places.erase(decision.item.wholeGang ? 0 : decision.item.task);
    count(facts, -static_cast<std::int64_t>(decision.placements.size()), -1);
    m_gangs.remove(decision.item.request);
}

void WaitingWork::count(const RequestFacts &facts, std::int64_t tasks, int shorts)
{
    m_cores[facts.team] += facts.spec.perTask.cores * tasks;
    if (facts.spec.kind == WorkKind::Short)
        m_shorts[facts.team] += static_cast<std::size_t>(shorts);
}

} // namespace gentiancross
