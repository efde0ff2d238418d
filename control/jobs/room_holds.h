#pragma once

#include "control/jobs/start_policy.h"

#include <map>

namespace gentiancross {

/**
 * Limits how long a step that does not start may keep room from the steps behind it. It holds room
 * for one term, passes for one term, and so on, so that neither it nor a stream of smaller tasks is
 * starved. Owned by `StartPlanner`. Thread safety: owned by the control thread.
 */
class RoomHolds
{
public:
    /** True if the step may claim room that its tasks don't fit in yet. */
    [[nodiscard]] bool mayHold(Instant now, const ReadyStep &ready) const;
    /** Records that the step waits for room; its first term begins with the first such call. */
    void recordWaiting(Instant now, const StepRef &step) { m_waitingSince.try_emplace(step, now); }
    /** How long the step has waited for room. */
    [[nodiscard]] Milliseconds waitedFor(Instant now, const StepRef &step) const;
    /** Ends the wait of a step that has started. */
    void end(const StepRef &step) { m_waitingSince.erase(step); }
    void endJob(const JobId &job);

private:
    std::map<StepRef, Instant> m_waitingSince;
};

} // namespace gentiancross
