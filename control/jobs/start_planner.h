#pragma once

#include "control/jobs/advice_coordinator.h"
#include "control/jobs/advice_lookahead.h"
#include "control/jobs/best_effort_evictor.h"
#include "control/jobs/job_store.h"
#include "control/jobs/ready_queue.h"
#include "control/jobs/room_holds.h"
#include "control/jobs/start_admission.h"
#include "control/jobs/start_policy.h"
#include "control/jobs/team_usage.h"
#include "control/jobs/worker_pool.h"
#include "control/outbox.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace gentiancross {

/** Receives each start from the `StartPlanner`. It must update the state before it returns, so that
 * the next decision takes the start into account. */
class StartHandler
{
public:
    StartHandler() = default;
    StartHandler(const StartHandler &) = delete;
    StartHandler &operator=(const StartHandler &) = delete;
    virtual ~StartHandler() = default;

    /** Called when the task is to run on \a worker, which has a ticket for it if it needs one. */
    virtual void onStartDecided(const JobTaskRef &task, RunNumber run,
                                const WorkerIncarnation &worker)
            = 0;
    /** Called when a best-effort run is to be stopped for a task with a latency target. */
    virtual void onEvictionDecided(const Eviction &eviction) = 0;
};

/**
 * Decides which tasks start on which workers, in the order of the steps' ranks and within the
 * teams' caps and the admission limit, and which steps the adviser is queried for. Called by
 * `CellLeader`. Thread safety: owned by the control thread.
 */
class StartPlanner
{
public:
    /** All must outlive this object. */
    StartPlanner(const JobStoreData &store, WorkerPool &pool, AdviceCoordinator &advice,
                 StartAdmission &admission, std::unique_ptr<WorkerCostPolicy> costPolicy,
                 std::unique_ptr<StepOrder> order);

    /** A run counts against its team's cap from its order to its end. */
    void runOpened(const JobTaskRef &task, const Job &job, const WorkerIncarnation &worker);
    void runClosed(const JobTaskRef &task, const Job &job, const WorkerIncarnation &worker);
    /** Updates the queue after a change of the whole job: it is new, has begun an occurrence or is
     * over. \a now is the arrival time of a new job or occurrence. */
    void jobChanged(Instant now, const JobId &id, const Job &job);
    /** Updates the queue after the end of a run of \a step. Precondition: the job is not over, and
     * `jobChanged` has been called for it. */
    void stepChanged(Instant now, const StepRef &step, const Job &job);
    /** Records that an earlier leader accepted the job at \a arrivedAt. Precondition: `jobChanged`
     * has not been called for the job yet. */
    void jobInherited(const JobId &id, const Job &job, Instant arrivedAt);
    /** Records the standing of a new job. Precondition: `jobChanged` has not been called for the
     * job yet. */
    void jobArrived(const JobId &id, const Job &job, ShareStanding standing)
    {
        m_queue.addArrived(id, job, standing);
    }
    [[nodiscard]] bool knowsJob(const JobId &id) const { return m_queue.knowsJob(id); }

    /** Requests a new plan after a change that may let a step start: free capacity, workers,
     * advice, caps or time. */
    void markChanged() { m_hasChanged = true; }
    /** Decides all starts that are possible now, if anything has changed since the last plan.
     * Queries to the adviser go to \a out. */
    void plan(Instant now, StartHandler &handler, Outbox &out);

private:
    /** Additional constraints on the worker of one task. */
    struct PlacementConstraints
    {
        /** The required rack; null for any. */
        const RackId *rack = nullptr;
        /** The worker on which the task failed last; null if it has not failed. */
        const WorkerIncarnation *failedOn = nullptr;
        /** Tasks of the same step already placed in this gang, by worker. */
        std::map<WorkerIncarnation, std::uint32_t> planned;
        PlacementPreference preference;
    };

    void planStep(Instant now, const ReadyStep &ready, AdviceLookahead &lookahead,
                  StartHandler &handler, Outbox &out);
    /** Both start what can start of the step, and return true if the team's cap or the admission
     * limit holds the rest back. */
    bool planTasks(Instant now, const ReadyStep &ready, const Job &job, StartHandler &handler);
    bool planGang(Instant now, const ReadyStep &ready, const Job &job, StartHandler &handler);
    /** Stops best-effort runs if the waiting tasks of a step with a latency target need it. */
    void evictBestEffort(Instant now, const ReadyStep &ready, const Job &job, std::uint64_t tasks,
                         StartHandler &handler, Outbox &out);
    /** True if the workers with a valid ticket for the step have room for \a tasks of its tasks. */
    [[nodiscard]] bool hasRoomWithTickets(Instant now, const StepRef &ref, const Job &job,
                                          std::uint64_t tasks);
    /** By rack, how many of the gang's members its workers have room for at most. */
    [[nodiscard]] std::map<RackId, std::uint64_t> findGangRoom(Instant now, const Job &job,
                                                               const StepSpec &step);
    /** False once the admission allows no more starts in this plan. */
    bool isAdmitted();
    /** The usable workers of the job's pool, if the step needs tickets those with a valid one. They
     * stay the same while starts are decided, so one look-up serves all tasks of a step. */
    [[nodiscard]] std::vector<PooledWorker *> findWorkers(Instant now, const StepRef &ref,
                                                          const Job &job);
    bool placeGang(Instant now, const ReadyStep &ready, const Job &job, const RackId *rack,
                   std::vector<WorkerIncarnation> &places);
    /** False while a request for an expired step would take the adviser's time from other steps.
     */
    bool mayRequestAdvice(Instant now, const ReadyStep &ready);
    /** \a usable are the workers that are usable now, of all pools. */
    void requestAdvice(Instant now, const ReadyStep &ready, const Job &job,
                       const std::vector<const PooledWorker *> &usable, Outbox &out);
    /** Returns the best of \a workers, which `findWorkers` has returned; null if there is none. */
    [[nodiscard]] PooledWorker *choose(Instant now, const StepRef &ref, const Job &job,
                                       const std::vector<PooledWorker *> &workers,
                                       const PlacementConstraints &constraints);
    /** Cost of running the step's next task on \a worker; nullopt if it may not run there.
     * Precondition: `findWorkers` has returned the worker. */
    [[nodiscard]] std::optional<std::int64_t> costOn(Instant now, const PooledWorker &worker,
                                                     const StepRef &ref, const Job &job,
                                                     const PlacementConstraints &constraints);

    const JobStoreData &m_store;
    WorkerPool &m_pool;
    AdviceCoordinator &m_advice;
    StartAdmission &m_admission;
    std::unique_ptr<WorkerCostPolicy> m_costPolicy;
    TeamUsage m_usage;
    ReadyQueue m_queue;
    RoomHolds m_holds;
    BestEffortEvictor m_evictor;
    /** Number of running tasks of a step on each worker. */
    std::map<StepRef, std::map<WorkerIncarnation, std::uint32_t>> m_tasksPerWorker;
    bool m_hasChanged = true;
    /** Number of starts that may still be decided in this plan. */
    std::size_t m_startsLeft = 0;
    /** True if a step that is not expired needs advice to start, as found in this plan. */
    bool m_isAdviceAwaited = false;
    /** The expired step for which advice was requested last. */
    std::optional<StepRef> m_expiredQuery;
    /** True if the last plan deferred starts because the admission limit was reached. */
    bool m_hasDeferredStarts = false;
};

} // namespace gentiancross
