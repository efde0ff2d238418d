#pragma once

#include "control/jobs/capacity_index.h"
#include "control/jobs/start_copies.h"
#include "control/jobs/worker_pace.h"
#include "control/placement/worker_speed.h"
#include "core/job_calls.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gentiancross {

/** A run that may be executing, as tracked by the leader. */
struct OpenRun
{
    RunNumber run;
    Resources reserved;
    /** The full request, which counts against the team's cap and against best-effort capacity. */
    Resources requested;
    bool hasTailTarget = false;
    bool isBestEffort = false;
    /** True if the task runs until it is cancelled. */
    bool isLongRunning = false;
    /** True if the start carries a ticket, which is valid for one incarnation only, so that the
     * next one refuses a late copy. */
    bool needsTicket = false;
    /** True if the lease is not renewed, so that the worker's ends can be acknowledged again. */
    bool shouldLapse = false;
    /** True if the start order is durable and was sent, by this leader or an earlier one. */
    bool wasSent = false;
    /** True if an earlier leader ordered it. */
    bool isInherited = false;
    /** True once the worker has answered an order for the run, so that its absence from a later
     * list proves that it has ended. */
    bool wasAcknowledged = false;
    /** True once a list of this incarnation has contained the run. Only lists state which
     * incarnation they come from; an answered start may have been executed by the next one. */
    bool wasListed = false;
    /** True if a copy of the start may still reach this incarnation of the worker or the next. */
    bool mayArriveLate = false;
    StartCopies startCopies;
    bool isCallInFlight = false;
    bool isStopping = false;
    Instant nextAttempt;
    /** When the start was first ordered; empty for runs of an earlier leader. */
    std::optional<Instant> startedAt;
    std::string ticket;
    /** The latest checkpoint that the worker has reported. */
    std::string checkpoint;

    /** True if the next incarnation may still execute the start and then drop its end. Ends of
     * long-running tasks are never final, so they do no harm there. */
    [[nodiscard]] bool mayDelayAcknowledgement(Instant now) const
    {
        return !isLongRunning && !startCopies.areSettled(now);
    }
    /** True if a copy of the start is in transit that the next incarnation would execute. Left out
     * are long-running tasks, which must be at work again before that is certain. */
    [[nodiscard]] bool mayStartInNextIncarnation(Instant now) const
    {
        return wasSent && !needsTicket && !isLongRunning && startCopies.mayArrive(now);
    }
};

/** What proves that an incarnation exists. */
enum class IncarnationProof {
    /** Its own heartbeats, which no other incarnation contests. */
    Heartbeat,
    /** Nothing yet: its heartbeat has the name or the address of another incarnation. */
    None,
    /** An answer of the worker itself that states its birth. */
    Answer,
};

/** An incarnation of a worker, as tracked by the leader. */
struct PooledWorker
{
    WorkerReport report;
    IncarnationProof proof = IncarnationProof::Heartbeat;
    Resources reserved;
    /** What long-running runs have reserved, which is free again at no known time. */
    Resources longRunningReserved;
    /** Cores that best-effort runs have requested. */
    MilliCores bestEffortCores;
    std::uint32_t tailTargets = 0;
    /** Until this time it gets no best-effort tasks, so that one with a latency target finds it. */
    Instant keptFromBestEffortUntil;
    std::map<JobTaskRef, OpenRun> runs;
    /** False for an incarnation that has answered calls but sent no heartbeat, so that its capacity
     * is unknown. */
    bool isAnnounced = true;
    Instant lastHeartbeat;
    std::uint64_t lastSequence = 0;
    /** Reading of the worker's clock, taken at `clockAt` on this host's clock. */
    std::optional<std::int64_t> clock;
    Instant clockAt;
    /** Latest lease end that this leader has granted, on the worker's clock. */
    std::int64_t grantedUntil = 0;
    /** Latest lease end in a completed call that may have reached the worker. */
    std::int64_t deliveredLeaseUntil = 0;
    /** True once a call that grants a lease has got no answer of this incarnation. */
    bool hasUnansweredGrant = false;
    /** Until this time on this host's clock, a lease granted to an earlier incarnation may be in
     * force here. */
    Instant foreignLeaseUntil;
    /** Number of the newest end that was recorded. */
    CompletionNumber recordedEnd;
    /** Number of the newest end that the worker may forget once its record is durable. */
    CompletionNumber acknowledgeableEnd;
    CompletionNumber acknowledgedEnd;
    /** Number of the newest end that the worker has certainly dropped. */
    CompletionNumber droppedEnd;
    /** When it made its newest list, or later. */
    Instant listedAt;
    /** A time at which this incarnation was certainly alive; empty if there was no list yet. */
    std::optional<Instant> aliveAt;
    /** The newest revision that an acknowledgement was sent with. */
    std::optional<FenceRevision> acknowledgementRevision;
    /** Since when an acknowledgement has waited for starts to be settled; empty if none waits. */
    std::optional<Instant> acknowledgementWaitsSince;
    /** True if an acknowledgement has waited so long that the worker gets no further starts until
     * it was sent. */
    bool isAcknowledgementOverdue = false;
    /** True if the worker has listed an end after `acknowledgeableEnd` that it must not forget.
     * Cleared once its lease has certainly lapsed after that end. */
    bool hasUnacknowledgeableEnd = false;
    /** Job of that end; the job is kept so that a successor knows why the end must not be
     * acknowledged. */
    JobId unacknowledgeableEndJob;
    /** True while its lease is left to lapse for that, although long-running tasks run there. */
    bool isLeaseWithheld = false;
    bool isLeaseRenewalInFlight = false;
    Instant nextLeaseRenewal;
    /** True from an unanswered call until the next answer. */
    bool isFailing = false;
    /** True while the next incarnation under the same name may be answering, or earlier orders may
     * still arrive at this one; cleared by a list of this incarnation. */
    bool isUnverified = false;
    /** True while a claim with its name and address is asked for: if the claim is true, new runs
     * would reach the next incarnation. */
    bool isContested = false;
    /** True if another incarnation has used its name, so that a further one may follow. */
    bool isNameReused = false;
    /** Raised to invalidate orders that may still arrive. */
    FenceRevision revision;
    /** True if its newest list contains a run that is not tracked; the run uses capacity until it
     * has been stopped. */
    bool hasUnexpectedRun = false;
    /** Number of unanswered orders since the last answer. */
    std::uint32_t unansweredOrders = 0;
    /** Number of failed runs since the last successful one. */
    std::uint32_t consecutiveFailures = 0;
    /** Job of the run that failed last; failures of one job do not indicate a faulty worker. */
    JobId lastFailedJob;
    Instant avoidUntil;
    /** True while the operator has ordered that nothing is started in its data centre. */
    bool isEvacuated = false;
    WorkerPace pace;
    WorkerSpeed speed;

    /** True if the worker is only asked for its lists: it gets no run and no lease, and no end is
     * acknowledged, since the next incarnation would take each of these as its own. */
    [[nodiscard]] bool isOnlyPolled() const { return isFailing || isUnverified || isClaim(); }
    /** True if it has only been claimed, by a heartbeat that may be another writer's. */
    [[nodiscard]] bool isClaim() const { return proof == IncarnationProof::None; }
    /** True if an unanswered start of \a run may be sent to it again. */
    [[nodiscard]] bool mayRepeatStart(const OpenRun &run) const
    {
        return !run.wasAcknowledged && !isOnlyPolled() && !isEvacuated;
    }
    /** True if \a run, whose start got no answer, is to be stopped because the start may not be
     * repeated. In an evacuated data centre a run that has begun is to continue, so it is stopped
     * only if a list that was made since the start was sent lacks it. */
    [[nodiscard]] bool mustStopUnanswered(const OpenRun &run) const
    {
        return !run.wasAcknowledged
                && (report.isDraining || (isEvacuated && listedAt > run.startCopies.lastSentAt()));
    }
    [[nodiscard]] bool hasNewAcknowledgement() const { return acknowledgedEnd > droppedEnd; }
    /** True if an acknowledgement that is sent now could follow a start in the next incarnation. */
    [[nodiscard]] bool hasUnsettledStart(Instant now) const
    {
        return std::any_of(runs.begin(), runs.end(), [now](const auto &entry) {
            return entry.second.mayDelayAcknowledgement(now);
        });
    }
    /** True if a copy of the start may be under way at \a at. A further incarnation under the name,
     * which has seen no fencing token, would execute it beside the task's next run, or after an end
     * that was acknowledged. Precondition: the run is open here. */
    [[nodiscard]] bool mustStayOpen(const OpenRun &run, Instant at) const
    {
        return isNameReused && run.wasSent && run.mayDelayAcknowledgement(at);
    }
    /** True if the next incarnation under the name may execute the start of a run. */
    [[nodiscard]] bool mayStartRunInNextIncarnation(Instant now) const
    {
        return std::any_of(runs.begin(), runs.end(), [now](const auto &entry) {
            return entry.second.mayStartInNextIncarnation(now);
        });
    }
    /** Number of ends that the worker keeps listing until they are acknowledged. */
    [[nodiscard]] std::uint64_t unacknowledgedEndCount() const
    {
        return recordedEnd.value() - acknowledgedEnd.value();
    }
    /** What is free once all runs have ended that end by themselves. */
    [[nodiscard]] Resources capacityBesideLongRunning() const
    {
        Resources beside = report.capacity;
        beside -= longRunningReserved;
        return beside;
    }
    [[nodiscard]] Resources freeCapacity() const
    {
        Resources free = report.capacity;
        free -= reserved;
        return free;
    }
};

/** Tracks the workers of a cell, the runs on them and their leases. Owned by `CellLeader`, which
 * shares it with the planner and the run tracking. Thread safety: owned by the control thread. */
class WorkerPool
{
public:
    /** How long a worker may continue without contact to the leader: four times the duration of a
     * leader change. Runs of a lost worker wait for this time before they start elsewhere. */
    static constexpr Milliseconds LeaseLength{3000};

    /** The longest lease that a worker accepts, whatever it is granted (the platform's
     * `hold_max_ms`). */
    static constexpr Milliseconds MaxLease{10'000};

    /** `MaxLease` on this host's clock, if the worker's is as slow as it may be. */
    static Milliseconds longestLease();

    explicit WorkerPool(Instant takenOver)
        : m_takenOver(takenOver)
    {}

    /** Adds an incarnation or updates its report. */
    PooledWorker &addOrUpdate(Instant now, const WorkerReport &report);
    void remove(const WorkerIncarnation &incarnation);
    /** Excludes the workers of the data centre from new runs, or includes them again; also those
     * that are added later. */
    void setEvacuated(const DataCentreId &dataCentre, bool isEvacuated);
    /** True if an incarnation of the worker, other than a claim, has been removed. */
    [[nodiscard]] bool wasRemoved(const WorkerId &worker) const
    {
        return m_removedNames.contains(worker);
    }
    /** True if a worker of \a pool could run a task of the step if it were idle and usable, claims
     * left out. Takes no longer with more workers, unless their reports have changed since the last
     * call. */
    [[nodiscard]] bool canHold(const PoolId &pool, const StepSpec &step);
    [[nodiscard]] PooledWorker *find(const WorkerIncarnation &incarnation);
    /** The newest incarnation of the worker, claims left out; null if there is none. */
    [[nodiscard]] PooledWorker *findNewestIncarnation(const WorkerId &worker);
    /** The other incarnations with the name or the address of \a report, claims included. */
    [[nodiscard]] std::vector<WorkerIncarnation> conflictsWith(const WorkerReport &report) const;
    /** True if a later incarnation with the name or the address of \a report has proved itself. */
    [[nodiscard]] bool isSuperseded(const WorkerReport &report) const;
    /** Records that the worker itself has stated the birth of this incarnation. */
    void confirm(PooledWorker &worker);
    [[nodiscard]] std::map<WorkerIncarnation, PooledWorker> &all() { return m_workers; }
    /** The pace averaged over all workers. */
    [[nodiscard]] WorkerPace &averagePace() { return m_averagePace; }

    static void open(PooledWorker &worker, const JobTaskRef &task, OpenRun run);
    static void close(PooledWorker &worker, const JobTaskRef &task);

    /** Stores a reading of the worker's clock, received at \a now. */
    static void setClock(PooledWorker &worker, Instant now, std::int64_t clock);
    /** Stores the clock reading of a heartbeat received at \a at, unless a later clock value is
     * already certain. */
    static void advanceClock(PooledWorker &worker, Instant at, std::int64_t clock);
    /** Grants a lease; returns its end on the worker's clock, or nullopt if the clock is unknown.
     */
    static std::optional<std::int64_t> grant(PooledWorker &worker, Instant now,
                                             Milliseconds length = LeaseLength);
    /** False if the worker's lease must run out. */
    [[nodiscard]] static bool mayRenew(const PooledWorker &worker);
    /** True if nothing but a lapse of its lease, and so of the long-running tasks there, lets the
     * worker be used again. */
    [[nodiscard]] static bool mustWithholdLease(const PooledWorker &worker);
    /** True if the lease of a new run of the step is to lapse: the list of ends that cannot be
     * acknowledged is long, and no other run would be lost. */
    [[nodiscard]] static bool shouldLapse(const PooledWorker &worker, const StepSpec &step);
    /** Length of the lease for a new run of the step. */
    [[nodiscard]] static Milliseconds leaseLength(const OpenRun &run, const StepSpec &step);
    /** Invalidates the orders that were sent so far: once the worker has executed a later one, it
     * refuses them. */
    void raiseRevision(PooledWorker &worker);
    /** Records that an order for an earlier incarnation may have reached this one, with a lease on
     * another clock. */
    static void recordForeignLease(PooledWorker &worker, Instant now);
    /** True if a worker lists an end of the job that must not be acknowledged. */
    [[nodiscard]] bool hasUnacknowledgeableEndOf(const JobId &job) const;
    /** True if every run that was on the worker at its last contact with a leader has certainly
     * ended.
     */
    [[nodiscard]] bool isLapsed(const PooledWorker &worker, Instant now) const;
    /** Lower bound of the worker's clock at \a now; empty if the clock is unknown. */
    [[nodiscard]] static std::optional<std::int64_t> minClock(const PooledWorker &worker,
                                                              Instant now);
    /** How long ago the worker's clock showed \a clock, at least; 0 if that is unknown. */
    [[nodiscard]] static Milliseconds minAge(const PooledWorker &worker, Instant now,
                                             std::optional<std::int64_t> clock);
    /** True if \a clock, received at \a now, is a reading of this incarnation's clock: a later
     * one's clock began after `aliveAt`. */
    [[nodiscard]] static bool isOwnClock(const PooledWorker &worker, Instant now,
                                         std::optional<std::int64_t> clock);
    /** True if the worker may be given new runs. */
    [[nodiscard]] static bool isUsable(const PooledWorker &worker, Instant now);
    /** False if the worker's list of ends that cannot be acknowledged is too long for a run of the
     * step.
     */
    [[nodiscard]] static bool canAcceptRun(const PooledWorker &worker, const StepSpec &step);

private:
    /** True if the worker gets no new work except a run whose lease is to lapse. */
    [[nodiscard]] static bool needsLeaseLapse(const PooledWorker &worker);

    Instant m_takenOver;
    /** The highest revision of any worker. Revisions are not reused, since a worker that was
     * removed and registers again has seen its former ones. */
    FenceRevision m_lastRevision;
    std::map<WorkerIncarnation, PooledWorker> m_workers;
    std::set<WorkerId> m_removedNames;
    std::set<DataCentreId> m_evacuatedDataCentres;
    CapacityIndex m_capacities;
    bool m_areCapacitiesCurrent = true;
    WorkerPace m_averagePace;
};

} // namespace gentiancross
