#pragma once

#include "control/request_facts.h"
#include "control/scheduler.h"
#include "control/waiting_gangs.h"

#include <absl/status/status.h>

#include <cstdint>
#include <map>

namespace gentiancross {

/**
 * Adds the work of requests to the scheduler's queues and removes it, and counts the waiting work
 * by team. Called by RequestTracker. Thread safety: owned by the control thread.
 */
class WaitingWork
{
public:
    /** The queued tasks of one request and their queue keys; a gang is queued as task 0. */
    using Places = std::map<std::uint32_t, QueueKey>;

    explicit WaitingWork(Scheduler &scheduler)
        : m_scheduler(scheduler)
    {}

    /** Error: ResourceExhausted if the work would exceed the limit of the team's queue. */
    [[nodiscard]] absl::Status checkQueueCapacity(const TeamId &team, const WorkSpec &spec) const;

    void addTask(const RequestId &request, const RequestFacts &facts, std::uint32_t task,
                 Places &places);
    /** Queues all tasks of the request, or the gang as a whole. */
    void addAll(Instant now, const RequestId &request, const RequestFacts &facts, Places &places);
    void removeAll(const RequestId &request, const RequestFacts &facts, Places &places);
    /** Must be called after a decision of the scheduler, which has removed the item from its queue.
     */
    void recordStart(const Decision &decision, const RequestFacts &facts, Places &places);

    /** The cores that each team's waiting work declares. */
    [[nodiscard]] const std::map<TeamId, MilliCores> &cores() const { return m_waitingCores; }
    [[nodiscard]] const WaitingGangs &gangs() const { return m_gangs; }

private:
    void addToCounts(const RequestFacts &facts, std::int64_t tasks, int items);

    Scheduler &m_scheduler;
    WaitingGangs m_gangs;
    std::map<TeamId, MilliCores> m_waitingCores;
    std::map<TeamId, std::size_t> m_shortTasks;
};

} // namespace gentiancross
