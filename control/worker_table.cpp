#include "control/worker_table.h"

#include <algorithm>

namespace gentiancross {

namespace {

constexpr int FailuresUntilAside = 3;
constexpr Milliseconds FirstTimeAside{5'000};
constexpr Milliseconds LongestTimeAside{300'000};
constexpr int MostDoublings = 6;

} // namespace

AnnouncementFate WorkerTable::announced(Instant now, const Announcement &announcement)
{
    const auto [found, isNew] = m_workers.try_emplace(announcement.worker);
    WorkerState &state = found->second;
    const bool sameSession = !isNew && state.last.session == announcement.session;
    if (sameSession && announcement.workerNow <= state.last.workerNow)
        return AnnouncementFate::Stale;
    state.last = announcement;
    state.receivedAt = now;
    return sameSession ? AnnouncementFate::Accepted : AnnouncementFate::NewSession;
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
    if (now - state->receivedAt > WorkerTimeout || now < state->asideUntil)
        return false;
    return !state->onTrial || tasksThere == 0;
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
    if (now < state->asideUntil)
        return "aside";
    if (state->last.epoch != m_epoch)
        return "unconfirmed";
    return state->onTrial ? "on trial" : "usable";
}

void WorkerTable::startSucceeded(const WorkerId &worker)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    found->second.failures = 0;
    found->second.timesAside = 0;
    found->second.onTrial = false;
}

bool WorkerTable::startFailed(Instant now, const WorkerId &worker)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return false;
    WorkerState &state = found->second;
    // What it was given before it was put aside says nothing more.
    if (now < state.asideUntil)
        return false;
    ++state.failures;
    if (state.failures < FailuresUntilAside && !state.onTrial)
        return false;
    const int doublings = std::min(state.timesAside, MostDoublings);
    state.asideUntil = now + std::min(FirstTimeAside * (1LL << doublings), LongestTimeAside);
    ++state.timesAside;
    state.failures = 0;
    state.onTrial = true;
    return true;
}

} // namespace gentiancross
