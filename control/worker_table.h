#pragma once

#include "control/lease_times.h"
#include "core/work.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace gentiancross {

/** What the authority knows of one worker. */
struct WorkerState
{
    Announcement last;
    Instant receivedAt;
    /** Starts in a row that failed at once or were refused. */
    int failures = 0;
    Instant quarantinedUntil;
    int quarantineCount = 0;
    /** True until a worker that was put aside has run one task well. */
    bool onProbation = false;

    /** The worker's own clock reads at least this now. */
    [[nodiscard]] Instant workerClockLowerBound(Instant now) const
    {
        const Milliseconds elapsed = now - receivedAt;
        return last.workerNow + (elapsed - elapsed / ClockDriftDivisor);
    }
};

/** What became of an announcement. */
enum class AnnouncementResult { Accepted, Stale, NewSession };

/**
 * The workers of a data centre, by what they announce: their clocks, sessions, health.
 * Thread safety: owned by the control thread.
 */
class WorkerTable
{
public:
    explicit WorkerTable(Epoch epoch)
        : m_epoch(epoch)
    {}

    /** Takes an announcement in, unless a later one of the same session came first. */
    AnnouncementResult announced(Instant now, const Announcement &announcement);

    /** The worker, or null if it never announced itself. */
    [[nodiscard]] const WorkerState *find(const WorkerId &worker) const;

    /**
     * True if new work may be placed there: it is not silent, leaving or set aside, and it obeys
     * this authority, so that no order of an earlier one can start any more.
     */
    [[nodiscard]] bool isUsable(Instant now, const WorkerId &worker, std::size_t tasksThere) const;

    /** A word for people: usable, silent, leaving, aside, unconfirmed. */
    [[nodiscard]] std::string describe(Instant now, const WorkerId &worker) const;

    /** Notes that a start went well, or that it failed at once or was refused. */
    void recordStartSuccess(const WorkerId &worker);
    /** Returns true if the worker is put aside now. */
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
