#include "control/worker_table.h"

#include <algorithm>

namespace gentiancross {

namespace {

constexpr int FailuresUntilQuarantine = 3;
constexpr Milliseconds InitialQuarantineTime{5'000};
constexpr Milliseconds MaxQuarantineTime{300'000};
constexpr int MaxQuarantineDoublings = 6;

} // namespace

AnnouncementResult WorkerTable::recordAnnouncement(Instant now, const Announcement &announcement)
{
    const auto [found, isNew] = m_workers.try_emplace(announcement.worker);
    WorkerState &state = found->second;
    const bool sameSession = !isNew && state.last.session == announcement.session;
    if (sameSession && announcement.workerNow <= state.last.workerNow)
        return AnnouncementResult::Stale;
    state.last = announcement;
    state.receivedAt = now;
    return sameSession ? AnnouncementResult::Accepted : AnnouncementResult::NewSession;
}

const WorkerState *WorkerTable::find(const WorkerId &worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? nullptr : &found->second;
}

bool WorkerTable::isUsable(Instant now, const WorkerId &worker, std::size_t tasksThere) const
{
    const WorkerState *state = find(worker);
    if (state == nullptr || state->last.leaving || state->last.epoch != m_epoch)
        return false;
    if (now - state->receivedAt > WorkerTimeout || now < state->quarantinedUntil)
        return false;
    return !state->onProbation || tasksThere == 0;
}

std::string WorkerTable::describe(Instant now, const WorkerId &worker) const
{
    const WorkerState *state = find(worker);
    if (state == nullptr)
        return "unknown";
    if (now - state->receivedAt > WorkerTimeout)
        return "silent";
    if (state->last.leaving)
        return "leaving";
    if (now < state->quarantinedUntil)
        return "aside";
    if (state->last.epoch != m_epoch)
        return "unconfirmed";
    return state->onProbation ? "on trial" : "usable";
}

void WorkerTable::recordStartSuccess(const WorkerId &worker)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    found->second.consecutiveFailedStarts = 0;
    found->second.quarantineCount = 0;
    found->second.onProbation = false;
}

bool WorkerTable::recordStartFailure(Instant now, const WorkerId &worker)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return false;
    WorkerState &state = found->second;
    // Only tasks ordered before the quarantine can fail during it, so it is not extended for them.
    if (now < state.quarantinedUntil)
        return false;
    ++state.consecutiveFailedStarts;
    if (state.consecutiveFailedStarts < FailuresUntilQuarantine && !state.onProbation)
        return false;
    const int doublings = std::min(state.quarantineCount, MaxQuarantineDoublings);
    state.quarantinedUntil
            = now + std::min(InitialQuarantineTime * (1LL << doublings), MaxQuarantineTime);
    ++state.quarantineCount;
    state.consecutiveFailedStarts = 0;
    state.onProbation = true;
    return true;
}

} // namespace gentiancross
