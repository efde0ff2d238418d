#pragma once

#include "control/jobs/worker_pace.h"
#include "core/job_calls.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gentiancross {

/** What a leader knows of a run that may be at work. */
struct OpenRun
{
    RunNumber run;
    Resources reserved;
    /** What it counts against its team's cap and against best-effort room. */
    Resources full;
    bool hasTailTarget = false;
    bool isBestEffort = false;
    /** It has no end of its own. */
    bool isLongRunning = false;
    /** Its lease is not renewed, so that the worker's ends can be noted again. */
    bool shouldLapse = false;
    /** Its order is durable and was sent, by this leader or an earlier one. */
    bool wasSent = false;
    /** An earlier leader ordered it. */
    bool isInherited = false;
    /** The worker has answered an order about it, so a list without it is proof that it ended. */
    bool wasAcknowledged = false;
    /** A copy of the start may still be under way, to this life or the worker's next. */
    bool mayArriveLate = false;
    bool isCallInFlight = false;
    bool isStopping = false;
    Instant nextAttempt;
    /** When the worker was first told to start it; empty for runs of an earlier leader. */
    std::optional<Instant> startedAt;
    std::string ticket;
    /** The newest checkpoint that the worker has listed. */
    std::string checkpoint;
};

/** A life of a worker as its leader sees it. */
struct PooledWorker
{
    WorkerReport report;
    Resources reserved;
    /** Cores that best-effort runs would use. */
    MilliCores bestEffortCores;
    std::uint32_t tailTargets = 0;
    std::map<JobTaskRef, OpenRun> runs;
    /** False for a life that has only answered yet: what it has is not known. */
    bool isAnnounced = true;
    Instant lastBeat;
    std::uint64_t lastSequence = 0;
    /** The worker's clock as of `clockAt` on this host's. */
    std::optional<std::int64_t> clock;
    Instant clockAt;
    /** The latest lease end that this leader has granted, on the worker's clock. */
    std::int64_t grantedUntil = 0;
    /** The latest lease end in a call that may have reached the worker and is over. */
    std::int64_t deliveredLeaseUntil = 0;
    /** On this host's clock: until then a lease that an earlier life was granted may hold here. */
    Instant foreignLeaseUntil;
    /** The newest end that was taken in. */
    CompletionNumber recorded;
    /** The newest end that the worker may forget once it is durable. */
    CompletionNumber notable;
    CompletionNumber noted;
    /** True if the worker has listed an end after `notable` that it must not forget. It ends with a
     * lease that lapses while something runs. */
    bool hasUnacknowledgeableEnd = false;
    /** Whose end that is; the book has to tell a successor why it must not be noted. */
    JobId unacknowledgeableEndJob;
    bool isLeaseRenewalInFlight = false;
    Instant nextLeaseRenewal;
    /** True from a call without an answer to the next answer. */
    bool isFailing = false;
    /** Orders without an answer since the last answer. */
    std::uint32_t unansweredOrders = 0;
    /** Failed runs since the last that was done. */
    std::uint32_t consecutiveFailures = 0;
    /** Whose run failed last: one job that can't be done says nothing of the worker. */
    JobId lastFailedJob;
    Instant avoidUntil;
    WorkerPace pace;

    /** How many ends the worker lists again and again. */
    [[nodiscard]] std::uint64_t unacknowledgedEndCount() const
    {
        return recorded.value() - noted.value();
    }
    [[nodiscard]] Resources room() const
    {
        Resources room = report.capacity;
        room -= reserved;
        return room;
    }
};

/** The workers of a cell and what runs on them. Thread safety: owned by the control thread. */
class WorkerPool
{
public:
    /** How long a worker may go on without word from its leader. Four times what a change of
     * leaders takes; what ran on a lost worker waits for as long before it runs elsewhere. */
    static constexpr Milliseconds LeaseLength{3000};

    /** The longest lease that a worker takes, whatever it is granted (the platform's
     * `hold_max_ms`). */
    static constexpr Milliseconds LongestLease{10'000};

    explicit WorkerPool(Instant takenOver)
        : m_takenOver(takenOver)
    {}

    /** Adds a life or takes its new report. */
    PooledWorker &put(Instant now, const WorkerReport &report);
    void remove(const WorkerIncarnation &life) { m_workers.erase(life); }
    [[nodiscard]] PooledWorker *find(const WorkerIncarnation &life);
    /** The newest life under the name; null if there is none. */
    [[nodiscard]] PooledWorker *findNewestIncarnation(const WorkerId &worker);
    [[nodiscard]] std::map<WorkerIncarnation, PooledWorker> &all() { return m_workers; }
    /** The pace of all workers together. */
    [[nodiscard]] WorkerPace &averagePace() { return m_averagePace; }

    static void open(PooledWorker &worker, const JobTaskRef &task, OpenRun run);
    static void close(PooledWorker &worker, const JobTaskRef &task);

    /** Takes the worker's clock in, as told at \a now. */
    static void setClock(PooledWorker &worker, Instant now, std::int64_t clock);
    /** Takes the clock of a heartbeat that came in at \a at, unless more is known. */
    static void advanceClock(PooledWorker &worker, Instant at, std::int64_t clock);
    /** The end of a lease granted now, on the worker's clock; nothing if its clock is not known. */
    static std::optional<std::int64_t> grant(PooledWorker &worker, Instant now,
                                             Milliseconds length = LeaseLength);
    /** False if the worker's lease is to run out. */
    [[nodiscard]] static bool mayRenew(const PooledWorker &worker);
    /** True if a new run of the step there is to lapse: the list of ends that can't be noted is
     * long, and nothing else is lost. */
    [[nodiscard]] static bool shouldLapse(const PooledWorker &worker, const StepSpec &step);
    /** How long the lease of a new run of the step is to be there. */
    [[nodiscard]] static Milliseconds leaseLength(const OpenRun &run, const StepSpec &step);
    /** An order for an earlier life may have reached this one, with a lease by another clock. */
    static void recordForeignLease(PooledWorker &worker, Instant now);
    /** True if a worker keeps an end of the job that must not be noted. */
    [[nodiscard]] bool hasUnacknowledgeableEndOf(const JobId &job) const;
    /** True if whatever ran on the worker when it last heard of a leader has certainly ended. */
    [[nodiscard]] bool isLapsed(const PooledWorker &worker, Instant now) const;
    /** True if new runs may be ordered there. */
    [[nodiscard]] static bool isUsable(const PooledWorker &worker, Instant now);
    /** False if the worker's list of ends that can't be noted is too long for a run of the step. */
    [[nodiscard]] static bool mayTake(const PooledWorker &worker, const StepSpec &step);

private:
    /** True if the worker gets no new work but a run whose lease is to lapse. */
    [[nodiscard]] static bool needsLeaseLapse(const PooledWorker &worker);
    /** What the worker's clock shows at least. Precondition: it was told. */
    [[nodiscard]] static std::int64_t minClock(const PooledWorker &worker, Instant now);

    Instant m_takenOver;
    std::map<WorkerIncarnation, PooledWorker> m_workers;
    WorkerPace m_averagePace;
};

} // namespace gentiancross
