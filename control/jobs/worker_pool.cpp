#include "control/jobs/worker_pool.h"

#include <algorithm>
#include <limits>

namespace gentiancross {

namespace {

/** Beats come every 1.5 s; two missed ones in a row, and no new work goes to the worker. */
constexpr Milliseconds MaxHeartbeatAge{3500};
/** A worker's clock may be slow by this many parts of a thousand. */
constexpr std::int64_t SlowestClockPermille = 980;
/** Covers rounding to milliseconds on both clocks. */
constexpr std::int64_t ClockMargin = 50;
/** A former leader may have granted leases for this long after its last contact with a quorum. */
constexpr Milliseconds FormerLeaderMargin{800};

/** A list of 500 ends may lack newer ones. */
constexpr std::uint64_t MaxUnacknowledgedEnds = 400;
/** Work is lost when a lease lapses, so that it waits until the list gets long. */
constexpr std::uint64_t UnacknowledgedEndsBeforeLapse = 200;
/** A lease that is to lapse: time for the start to arrive, and for little work to be lost. */
constexpr Milliseconds MinLapsingLease{100};
constexpr Milliseconds MaxLapsingLease{600};

} // namespace

PooledWorker &WorkerPool::put(Instant now, const WorkerReport &report)
{
    const auto [found, isNew] = m_workers.try_emplace(report.incarnation);
    PooledWorker &worker = found->second;
    worker.report = report;
    if (isNew)
        worker.lastBeat = now;
    return worker;
}

PooledWorker *WorkerPool::find(const WorkerIncarnation &life)
{
    const auto found = m_workers.find(life);
    return found == m_workers.end() ? nullptr : &found->second;
}

PooledWorker *WorkerPool::findNewestIncarnation(const WorkerId &worker)
{
    constexpr Milliseconds Never{std::numeric_limits<std::int64_t>::max()};
    const auto after = m_workers.upper_bound({worker, Never});
    if (after == m_workers.begin() || std::prev(after)->first.worker != worker)
        return nullptr;
    return &std::prev(after)->second;
}

void WorkerPool::open(PooledWorker &worker, const JobTaskRef &task, OpenRun run)
{
    worker.reserved += run.reserved;
    worker.tailTargets += run.hasTailTarget ? 1 : 0;
    if (run.isBestEffort)
        worker.bestEffortCores += run.full.cores;
    worker.runs.insert_or_assign(task, std::move(run));
}

void WorkerPool::close(PooledWorker &worker, const JobTaskRef &task)
{
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end())
        return;
    worker.reserved -= found->second.reserved;
    worker.tailTargets -= found->second.hasTailTarget ? 1 : 0;
    if (found->second.isBestEffort)
        worker.bestEffortCores -= found->second.full.cores;
    worker.runs.erase(found);
}

void WorkerPool::setClock(PooledWorker &worker, Instant now, std::int64_t clock)
{
    worker.clock = clock;
    worker.clockAt = now;
}

void WorkerPool::advanceClock(PooledWorker &worker, Instant at, std::int64_t clock)
{
    if (!worker.clock.has_value() || clock > minClock(worker, at))
        setClock(worker, at, clock);
}

std::int64_t WorkerPool::minClock(const PooledWorker &worker, Instant now)
{
    return *worker.clock + (now - worker.clockAt).value() * SlowestClockPermille / 1000;
}

std::optional<std::int64_t> WorkerPool::grant(PooledWorker &worker, Instant now,
                                              Milliseconds length)
{
    if (!worker.clock.has_value())
        return std::nullopt;
    // A successor reckons with leases of no more than their length.
    const std::int64_t until = minClock(worker, now) + length.value();
    worker.grantedUntil = std::max(worker.grantedUntil, until);
    return worker.grantedUntil;
}

void WorkerPool::recordForeignLease(PooledWorker &worker, Instant now)
{
    worker.foreignLeaseUntil
            = now + Milliseconds(LongestLease.value() * 1000 / SlowestClockPermille);
}

bool WorkerPool::isLapsed(const PooledWorker &worker, Instant now) const
{
    const std::int64_t inherited
            = (LeaseLength + FormerLeaderMargin).value() * 1000 / SlowestClockPermille;
    if ((now - m_takenOver).value() < inherited || now < worker.foreignLeaseUntil)
        return false;
    if (worker.grantedUntil == 0)
        return true;
    return minClock(worker, now) - ClockMargin > worker.grantedUntil;
}

bool WorkerPool::needsLeaseLapse(const PooledWorker &worker)
{
    return worker.hasUnacknowledgeableEnd
            && worker.unacknowledgedEndCount() >= UnacknowledgedEndsBeforeLapse;
}

bool WorkerPool::hasUnacknowledgeableEndOf(const JobId &job) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&job](const auto &entry) {
        return entry.second.hasUnacknowledgeableEnd && entry.second.unacknowledgeableEndJob == job;
    });
}

bool WorkerPool::mayRenew(const PooledWorker &worker)
{
    // The lease of a worker that does not answer would never be over.
    if (worker.isFailing)
        return false;
    return !needsLeaseLapse(worker)
            || std::any_of(worker.runs.begin(), worker.runs.end(),
                           [](const auto &entry) { return !entry.second.shouldLapse; });
}

bool WorkerPool::shouldLapse(const PooledWorker &worker, const StepSpec &step)
{
    return needsLeaseLapse(worker) && worker.runs.empty() && !step.isLongRunning && !step.isGang;
}

Milliseconds WorkerPool::leaseLength(const OpenRun &run, const StepSpec &step)
{
    return run.shouldLapse ? std::clamp(step.estimate / 2, MinLapsingLease, MaxLapsingLease)
                           : LeaseLength;
}

bool WorkerPool::mayTake(const PooledWorker &worker, const StepSpec &step)
{
    if (!needsLeaseLapse(worker))
        return true;
    const bool hasLasting
            = std::any_of(worker.runs.begin(), worker.runs.end(),
                          [](const auto &entry) { return entry.second.isLongRunning; });
    return worker.unacknowledgedEndCount() < MaxUnacknowledgedEnds
            && (hasLasting || shouldLapse(worker, step));
}

bool WorkerPool::isUsable(const PooledWorker &worker, Instant now)
{
    return worker.isAnnounced && !worker.report.isDraining && !worker.isFailing
            && worker.clock.has_value() && now - worker.lastHeartbeat < MaxHeartbeatAge
            && now >= worker.avoidUntil;
}

} // namespace gentiancross
