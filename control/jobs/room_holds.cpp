#include "control/jobs/room_holds.h"

namespace gentiancross {

namespace {

/** Longer than most runs take, so that a large task finds room when they end. */
constexpr Milliseconds HoldTerm{10'000};
/** Long-running tasks behind must be at work again within 6 s. */
constexpr Milliseconds RestartHoldTerm{2000};

} // namespace

bool RoomHolds::mayHold(Instant now, const ReadyStep &ready) const
{
    const auto found = m_waitingSince.find(ready.step);
    if (found == m_waitingSince.end())
        return true;
    const Milliseconds term = ready.reason == WaitReason::Restart ? RestartHoldTerm : HoldTerm;
    return (now - found->second).value() / term.value() % 2 == 0;
}

Milliseconds RoomHolds::waitedFor(Instant now, const StepRef &step) const
{
    const auto found = m_waitingSince.find(step);
    return found == m_waitingSince.end() ? Milliseconds(0) : now - found->second;
}

void RoomHolds::endJob(const JobId &job)
{
    auto next = m_waitingSince.lower_bound(StepRef{job, 0, 0});
    while (next != m_waitingSince.end() && next->first.job == job)
        next = m_waitingSince.erase(next);
}

} // namespace gentiancross
