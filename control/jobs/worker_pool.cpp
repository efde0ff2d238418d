#include "control/jobs/worker_pool.h"

#include <algorithm>
#include <limits>

namespace gentiancross {

namespace {

/** Heartbeats come every 1.5 s; a worker that misses two in a row gets no new work. */
constexpr Milliseconds MaxHeartbeatAge{3500};
/** Lowest rate of a worker's clock relative to this host's, in thousandths. */
constexpr std::int64_t SlowestClockPermille = 980;
/** Covers rounding to milliseconds on both clocks. */
constexpr std::int64_t ClockMarginMilliseconds = 50;
/** How long after its last contact with a quorum a former leader may have granted leases. */
constexpr Milliseconds FormerLeaderMargin{800};

/** Covers the workers that end within the time for which their orders can be in transit. */
constexpr std::size_t MaxRemovedNames = 10'000;

/** A list of 500 ends is truncated and may lack newer ones. */
constexpr std::uint64_t MaxUnacknowledgedEnds = 400;
/** A lapsing lease loses work, so a lease lapses only once the list is long. */
constexpr std::uint64_t UnacknowledgedEndsBeforeLapse = 200;
/** Bounds for a lease that is to lapse: long enough for the start to arrive, short enough to lose
 * little work. */
constexpr Milliseconds MinLapsingLease{100};
constexpr Milliseconds MaxLapsingLease{600};

} // namespace

PooledWorker &WorkerPool::addOrUpdate(Instant now, const WorkerReport &report)
{
    const auto [found, isNew] = m_workers.try_emplace(report.incarnation);
    PooledWorker &worker = found->second;
    const bool hasSameCapacity = worker.report.pool == report.pool
            && worker.report.capacity == report.capacity && worker.report.labels == report.labels;
    m_areCapacitiesCurrent = m_areCapacitiesCurrent && !isNew && hasSameCapacity;
    worker.report = report;
    worker.isEvacuated = m_evacuatedDataCentres.contains(report.dataCentre);
    if (isNew) {
        worker.lastHeartbeat = now;
        worker.revision = m_lastRevision;
    }
    return worker;
}

void WorkerPool::setEvacuated(const DataCentreId &dataCentre, bool isEvacuated)
{
    if (isEvacuated)
        m_evacuatedDataCentres.insert(dataCentre);
    else
        m_evacuatedDataCentres.erase(dataCentre);
    for (auto &[incarnation, worker] : m_workers) {
        if (worker.report.dataCentre == dataCentre)
            worker.isEvacuated = isEvacuated;
    }
}

void WorkerPool::remove(const WorkerIncarnation &incarnation)
{
    const auto found = m_workers.find(incarnation);
    if (found == m_workers.end())
        return;
    if (!found->second.isClaim()) {
        if (m_removedNames.size() >= MaxRemovedNames)
            m_removedNames.erase(m_removedNames.begin());
        m_removedNames.insert(incarnation.worker);
    }
    m_workers.erase(found);
    m_areCapacitiesCurrent = false;
}

bool WorkerPool::canHold(const PoolId &pool, const StepSpec &step)
{
    if (!m_areCapacitiesCurrent) {
        m_capacities.clear();
        for (const auto &[incarnation, worker] : m_workers) {
            if (!worker.isClaim())
                m_capacities.add(worker.report);
        }
        m_areCapacitiesCurrent = true;
    }
    return m_capacities.canHold(pool, step);
}

PooledWorker *WorkerPool::find(const WorkerIncarnation &incarnation)
{
    const auto found = m_workers.find(incarnation);
    return found == m_workers.end() ? nullptr : &found->second;
}

PooledWorker *WorkerPool::findNewestIncarnation(const WorkerId &worker)
{
    constexpr Milliseconds Never{std::numeric_limits<std::int64_t>::max()};
    auto after = m_workers.upper_bound({worker, Never});
    while (after != m_workers.begin() && std::prev(after)->first.worker == worker) {
        --after;
        if (!after->second.isClaim())
            return &after->second;
    }
    return nullptr;
}

std::vector<WorkerIncarnation> WorkerPool::conflictsWith(const WorkerReport &report) const
{
    std::vector<WorkerIncarnation> conflicts;
    for (const auto &[incarnation, worker] : m_workers) {
        const bool isSamePlace = incarnation.worker == report.incarnation.worker
                || worker.report.address == report.address;
        if (isSamePlace && incarnation != report.incarnation)
            conflicts.push_back(incarnation);
    }
    return conflicts;
}

bool WorkerPool::isSuperseded(const WorkerReport &report) const
{
    const std::vector<WorkerIncarnation> conflicts = conflictsWith(report);
    return std::any_of(conflicts.begin(), conflicts.end(), [&](const WorkerIncarnation &other) {
        return other.born > report.incarnation.born
                && m_workers.at(other).proof == IncarnationProof::Answer;
    });
}

void WorkerPool::confirm(PooledWorker &worker)
{
    m_areCapacitiesCurrent = m_areCapacitiesCurrent && !worker.isClaim();
    worker.proof = IncarnationProof::Answer;
}

void WorkerPool::open(PooledWorker &worker, const JobTaskRef &task, OpenRun run)
{
    worker.reserved += run.reserved;
    if (run.isLongRunning)
        worker.longRunningReserved += run.reserved;
    worker.tailTargets += run.hasTailTarget ? 1 : 0;
    if (run.isBestEffort)
        worker.bestEffortCores += run.requested.cores;
    worker.runs.insert_or_assign(task, std::move(run));
}

void WorkerPool::close(PooledWorker &worker, const JobTaskRef &task)
{
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end())
        return;
    worker.reserved -= found->second.reserved;
    if (found->second.isLongRunning)
        worker.longRunningReserved -= found->second.reserved;
    worker.tailTargets -= found->second.hasTailTarget ? 1 : 0;
    if (found->second.isBestEffort)
        worker.bestEffortCores -= found->second.requested.cores;
    worker.runs.erase(found);
}

void WorkerPool::setClock(PooledWorker &worker, Instant now, std::int64_t clock)
{
    worker.clock = clock;
    worker.clockAt = now;
}

void WorkerPool::advanceClock(PooledWorker &worker, Instant at, std::int64_t clock)
{
    if (clock > minClock(worker, at).value_or(-1))
        setClock(worker, at, clock);
}

std::optional<std::int64_t> WorkerPool::minClock(const PooledWorker &worker, Instant now)
{
    if (!worker.clock.has_value())
        return std::nullopt;
    return *worker.clock + (now - worker.clockAt).value() * SlowestClockPermille / 1000;
}

Milliseconds WorkerPool::minAge(const PooledWorker &worker, Instant now,
                                std::optional<std::int64_t> clock)
{
    const std::optional<std::int64_t> current = minClock(worker, now);
    if (!current.has_value() || !clock.has_value())
        return Milliseconds(0);
    return Milliseconds(std::max<std::int64_t>(*current - *clock, 0));
}

bool WorkerPool::isOwnClock(const PooledWorker &worker, Instant now,
                            std::optional<std::int64_t> clock)
{
    return clock.has_value() && worker.aliveAt.has_value()
            && *clock > (now - *worker.aliveAt).value() + ClockMarginMilliseconds;
}

std::optional<std::int64_t> WorkerPool::grant(PooledWorker &worker, Instant now,
                                              Milliseconds length)
{
    const std::optional<std::int64_t> clock = minClock(worker, now);
    if (!clock.has_value())
        return std::nullopt;
    // A successor assumes that no lease is longer than LeaseLength.
    const std::int64_t until = *clock + length.value();
    worker.grantedUntil = std::max(worker.grantedUntil, until);
    return worker.grantedUntil;
}

void WorkerPool::raiseRevision(PooledWorker &worker)
{
    m_lastRevision = m_lastRevision.next();
    worker.revision = m_lastRevision;
}

Milliseconds WorkerPool::longestLease()
{
    return Milliseconds(MaxLease.value() * 1000 / SlowestClockPermille);
}

void WorkerPool::recordForeignLease(PooledWorker &worker, Instant now)
{
    worker.foreignLeaseUntil = now + longestLease();
}

bool WorkerPool::isLapsed(const PooledWorker &worker, Instant now) const
{
    const std::int64_t inherited
            = (LeaseLength + FormerLeaderMargin).value() * 1000 / SlowestClockPermille;
    if ((now - m_takenOver).value() < inherited || now < worker.foreignLeaseUntil)
        return false;
    if (worker.grantedUntil == 0)
        return true;
    const std::optional<std::int64_t> clock = minClock(worker, now);
    return clock.has_value() && *clock - ClockMarginMilliseconds > worker.grantedUntil;
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
    // Otherwise the lease of a worker that does not answer would never end.
    if (worker.isOnlyPolled() || worker.isLeaseWithheld)
        return false;
    // An idle worker is asked for its list to see that its lease has lapsed.
    if (worker.hasUnacknowledgeableEnd && worker.runs.empty())
        return false;
    return !needsLeaseLapse(worker)
            || std::any_of(worker.runs.begin(), worker.runs.end(),
                           [](const auto &entry) { return !entry.second.shouldLapse; });
}

bool WorkerPool::mustWithholdLease(const PooledWorker &worker)
{
    return worker.hasUnacknowledgeableEnd && !worker.isOnlyPolled() && !worker.runs.empty()
            && worker.unacknowledgedEndCount() >= MaxUnacknowledgedEnds
            && std::all_of(worker.runs.begin(), worker.runs.end(),
                           [](const auto &entry) { return entry.second.isLongRunning; });
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

bool WorkerPool::canAcceptRun(const PooledWorker &worker, const StepSpec &step)
{
    if (worker.isLeaseWithheld)
        return false;
    if (!needsLeaseLapse(worker))
        return true;
    const bool hasLongRunning
            = std::any_of(worker.runs.begin(), worker.runs.end(),
                          [](const auto &entry) { return entry.second.isLongRunning; });
    return worker.unacknowledgedEndCount() < MaxUnacknowledgedEnds
            && (hasLongRunning || shouldLapse(worker, step));
}

bool WorkerPool::isUsable(const PooledWorker &worker, Instant now)
{
    return worker.isAnnounced && !worker.report.isDraining && !worker.isOnlyPolled()
            && !worker.hasUnexpectedRun && !worker.isContested && !worker.isAcknowledgementOverdue
            && !worker.isEvacuated && worker.clock.has_value()
            && now - worker.lastHeartbeat < MaxHeartbeatAge && now >= worker.avoidUntil;
}

} // namespace gentiancross
