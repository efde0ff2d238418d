#pragma once

#include "control/lease_times.h"
#include "core/work.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace gentiancross {

/** What the authority knows about one worker. */
struct WorkerState
{
    Announcement last;
    Instant receivedAt;
    /** Consecutive starts that failed at once or were refused. */
    int consecutiveFailedStarts = 0;
    /** Until then no work is placed on the worker; its outward state is then "aside". */
    Instant quarantinedUntil;
    /** Quarantines since the last start that succeeded; each is longer than the last, up to a
     * maximum. */
    int quarantineCount = 0;
    /** True from a quarantine until the worker has run a task successfully; until then it gets only
     * one task at a time. */
    bool onProbation = false;

    /** A lower bound of what the worker's own clock reads now, allowing for clock drift. */
    [[nodiscard]] Instant workerClockLowerBound(Instant now) const
    {
        const Milliseconds elapsed = now - receivedAt;
        return last.workerNow + (elapsed - elapsed / ClockDriftDivisor);
    }
};

/** What recordAnnouncement() did with an announcement. */
enum class AnnouncementResult { Accepted, Stale, NewSession };

/**
 * Tracks the workers of a data centre by their announcements: clocks, sessions and health. Owned
 * and called by TaskTracker.
 * Thread safety: owned by the control thread.
 */
class WorkerTable
{
public:
    explicit WorkerTable(Epoch epoch)
        : m_epoch(epoch)
    {}

    /** Records an announcement, unless a later one of the same session has already arrived. */
    AnnouncementResult recordAnnouncement(Instant now, const Announcement &announcement);

    /** The worker's state, or null if it never announced itself. */
    [[nodiscard]] const WorkerState *find(const WorkerId &worker) const;

    /**
     * True if new work may be placed on the worker: it is not silent, leaving or quarantined, and
     * it has confirmed this authority's epoch, so that orders of an earlier authority can no longer
     * start tasks there.
     */
    [[nodiscard]] bool isUsable(Instant now, const WorkerId &worker, std::size_t tasksThere) const;

    /** The worker's state as shown to operators: usable, silent, leaving, aside, unconfirmed,
     * on trial, unknown. */
    [[nodiscard]] std::string describe(Instant now, const WorkerId &worker) const;

    /** Records a start that succeeded, which ends the worker's probation. */
    void recordStartSuccess(const WorkerId &worker);
    /** Records a start that failed at once or was refused; true if the worker is now quarantined.
     */
    bool recordStartFailure(Instant now, const WorkerId &worker);

    [[nodiscard]] const std::unordered_map<WorkerId, WorkerState> &workers() const
    {
        return m_workers;
    }

private:
    Epoch m_epoch;
    std::unordered_map<WorkerId, WorkerState> m_workers;
};

} // namespace gentiancross
