#pragma once

#include "control/request_facts.h"
#include "control/scheduler.h"
#include "control/waiting_gangs.h"

#include <absl/status/status.h>

#include <cstdint>
#include <map>

namespace gentiancross {

/**
 * The requests' way into the scheduler's queues and out of them, and what waits there by team.
 * Thread safety: owned by the control thread.
 */
class WaitingWork
{
public:
    /** The tasks of one request that are queued, and their places; a gang is queued as task 0. */
    using Places = std::map<std::uint32_t, QueueKey>;

    explicit WaitingWork(Scheduler &scheduler)
        : m_scheduler(scheduler)
    {}

    /** Error: ResourceExhausted if the team's queue has no room for the work. */
    [[nodiscard]] absl::Status checkQueueCapacity(const TeamId &team, const WorkSpec &spec) const;

    void addTask(const RequestId &request, const RequestFacts &facts, std::uint32_t task,
                 Places &places);
    /** Queues all tasks, or the gang as a whole. */
    void addAll(Instant now, const RequestId &request, const RequestFacts &facts, Places &places);
    void removeAll(const RequestId &request, const RequestFacts &facts, Places &places);
    /** The scheduler has taken the item out of its queue. */
    void recordStart(const Decision &decision, const RequestFacts &facts, Places &places);

    /** What teams have waiting, as far as it needs processors. */
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
