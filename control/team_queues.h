#pragma once

#include "core/ids.h"
#include "core/ledger.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <unordered_set>
#include <utility>

namespace gentiancross {

/** One decision to make: a task, or all tasks of a gang together. */
struct QueueItem
{
    RequestId request;
    std::uint32_t task = 0;
    /** True if all tasks of the request start together or not at all. */
    bool wholeGang = false;
    /** The shape of its tasks, as the scheduler numbers them; 0 if it has no number. */
    std::uint32_t shape = 0;
    /** Why the scheduler passed it over when it last looked at it. */
    mutable WaitCause waitCause = WaitCause::OwnTeam;
};

/** What goes first within a team. */
enum class Precedence : std::uint8_t { Urgent, Short, Job };

/** An item's place in its team's queue: by precedence, then by arrival. */
struct QueueKey
{
    Precedence precedence = Precedence::Job;
    std::uint64_t arrival = 0;

    auto operator<=>(const QueueKey &) const = default;
};

/** What waits, by team. Thread safety: owned by the control thread. */
class TeamQueues
{
public:
    using Items = std::map<QueueKey, QueueItem>;

    struct Queue
    {
        Items items;
    };

    /** Adds an item behind those of its precedence; returns its place. */
    QueueKey add(const TeamId &team, const QueueItem &item, Precedence precedence);
    /** Removes the item; no error if it is not there. */
    void remove(const TeamId &team, const QueueKey &key);

    /** Notes that the team's turn may have changed, as add and remove do. */
    void touch(const TeamId &team) { m_changed.insert(team); }
    /** The teams whose turn may have changed since the last call. */
    std::unordered_set<TeamId> takeChanged() { return std::exchange(m_changed, {}); }

    [[nodiscard]] const std::map<TeamId, Queue> &queues() const { return m_queues; }
    [[nodiscard]] std::size_t sizeOf(const TeamId &team) const;
    [[nodiscard]] std::size_t size() const { return m_size; }

private:
    std::map<TeamId, Queue> m_queues;
    std::unordered_set<TeamId> m_changed;
    std::uint64_t m_nextArrival = 1;
    std::size_t m_size = 0;
};

} // namespace gentiancross
