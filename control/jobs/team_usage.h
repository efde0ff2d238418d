#pragma once

#include "core/job_records.h"

#include <map>

namespace gentiancross {

/**
 * Counts what each team has running, and compares it with the team's cap in the newest
 * configuration. Owned by `StartPlanner`. Thread safety: owned by the control thread.
 */
class TeamUsage
{
public:
    /** \a store must outlive this object. */
    explicit TeamUsage(const JobStoreData &store)
        : m_store(store)
    {}

    /** Counts a run of a task of \a step. */
    void add(const TeamId &team, const StepSpec &step);
    /** Precondition: the run was added. */
    void remove(const TeamId &team, const StepSpec &step);

    /** True if the team may have \a more running beside what it has. False without a
     * configuration. */
    [[nodiscard]] bool isWithinCap(const TeamId &team, const Resources &more) const;
    /** What the team has running; nothing for an unknown team. */
    [[nodiscard]] Resources running(const TeamId &team) const;
    /** The part of it that long-running tasks use. */
    [[nodiscard]] Resources longRunning(const TeamId &team) const;
    /** The team's cap, where 0 means no limit. */
    [[nodiscard]] Resources cap(const TeamId &team) const;

private:
    const JobStoreData &m_store;
    std::map<TeamId, Resources> m_running;
    std::map<TeamId, Resources> m_longRunning;
};

} // namespace gentiancross
