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

    void add(const TeamId &team, const Resources &resources) { m_running[team] += resources; }
    /** Precondition: the resources were added. */
    void remove(const TeamId &team, const Resources &resources) { m_running[team] -= resources; }

    /** True if the team may have \a more running beside what it has. False without a
     * configuration. */
    [[nodiscard]] bool isWithinCap(const TeamId &team, const Resources &more) const;
    /** What the team has running; nothing for an unknown team. */
    [[nodiscard]] Resources running(const TeamId &team) const;
    /** The team's cap, where 0 means no limit. */
    [[nodiscard]] Resources cap(const TeamId &team) const;

private:
    const JobStoreData &m_store;
    std::map<TeamId, Resources> m_running;
};

} // namespace gentiancross
