#pragma once

#include "control/jobs/advice_coordinator.h"
#include "control/jobs/job_store.h"
#include "control/jobs/start_admission.h"
#include "control/jobs/start_policy.h"
#include "control/jobs/worker_pool.h"
#include "control/outbox.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gentiancross {

/** Takes the starts that were decided; each counts before the next is decided. */
class StartHandler
{
public:
    StartHandler() = default;
    StartHandler(const StartHandler &) = delete;
    StartHandler &operator=(const StartHandler &) = delete;
    virtual ~StartHandler() = default;

    /** The task is to run on the worker; \a ticket is empty where none is needed. */
    virtual void startDecided(const JobTaskRef &task, RunNumber run,
                              const WorkerIncarnation &worker, const std::string &ticket)
            = 0;
};

/**
 * Decides what starts where: which steps have their turn, within which caps, on which workers, and
 * what the adviser is asked. Thread safety: owned by the control thread.
 */
class StartPlanner
{
public:
    /** All must outlive this object. */
    StartPlanner(const JobStoreData &book, WorkerPool &pool, AdviceCoordinator &advice,
                 StartAdmission &admission, std::unique_ptr<WorkerCostPolicy> choice,
                 std::unique_ptr<StepOrder> order);

    /** A run counts from its order to its end. */
    void runOpened(const JobTaskRef &task, const Job &job, const WorkerIncarnation &worker);
    void runClosed(const JobTaskRef &task, const Job &job, const WorkerIncarnation &worker);
    /** Looks at the job's steps again. A job or occurrence that is new arrives at \a now. */
    void jobChanged(Instant now, const JobId &id, const Job &job);
    /** The job was accepted at \a arrivedAt by an earlier leader. Precondition: its steps have not
     * been looked at yet. */
    void jobInherited(const JobId &id, const Job &job, Instant arrivedAt);

    /** Something has changed that may let a step start: room, workers, advice, caps, time. */
    void markChanged() { m_hasChanged = true; }
    /** Decides all that can start now, if anything has changed since the last time. Questions to
     * the adviser go to \a out. */
    void plan(Instant now, StartHandler &sink, Outbox &out);

private:
    /** What else holds for the worker of one task. */
    struct Limits
    {
        /** The only rack that will do; null for any. */
        const RackId *rack = nullptr;
        /** Where the task has failed last; null if it has not. */
        const WorkerIncarnation *failedOn = nullptr;
        /** Tasks of the same step that are about to start, by worker. */
        std::map<WorkerIncarnation, std::uint32_t> planned;
    };

    /** Ranks steps anew whose latest start has passed. */
    void updateRanks(Instant now);
    void planStep(Instant now, const ReadyStep &ready, StartHandler &sink, Outbox &out);
    void planTasks(Instant now, const StepRef &ref, const Job &job, StartHandler &sink);
    void planGang(Instant now, const StepRef &ref, const Job &job, StartHandler &sink);
    /** False once all that may start now was decided. */
    bool isAdmitted();
    bool placeGang(Instant now, const StepRef &ref, const Job &job, const RackId *rack,
                   std::vector<WorkerIncarnation> &places);
    void requestAdvice(Instant now, const StepRef &ref, const Job &job, Outbox &out);
    [[nodiscard]] PooledWorker *choose(Instant now, const StepRef &ref, const Job &job,
                                       const Limits &limits);
    /** What it costs to run the step's next task there; nothing if it may not. */
    [[nodiscard]] std::optional<std::int64_t> costOn(Instant now, const PooledWorker &worker,
                                                     const StepRef &ref, const Job &job,
                                                     const Limits &limits);
    [[nodiscard]] bool isWithinCap(const TeamId &team, const Resources &more) const;
    [[nodiscard]] std::string ticketOf(Instant now, const StepRef &ref, const Job &job,
                                       const WorkerIncarnation &life) const;

    const JobStoreData &m_book;
    WorkerPool &m_pool;
    AdviceCoordinator &m_advice;
    StartAdmission &m_admission;
    std::unique_ptr<WorkerCostPolicy> m_costPolicy;
    std::unique_ptr<StepOrder> m_order;
    /** When the occurrences of a job arrived, by this host's clock: the wall clock may jump. */
    std::map<JobId, std::map<std::uint32_t, Instant>> m_arrivals;
    std::map<TeamId, Resources> m_running;
    std::set<ReadyStep> m_ready;
    std::map<JobId, std::vector<ReadyStep>> m_readyStepsByJob;
    /** How many tasks of a step each worker runs. */
    std::map<StepRef, std::map<WorkerIncarnation, std::uint32_t>> m_tasksPerWorker;
    /** Cores that steps ahead in the order wait for, and how many are worth asking about. */
    bool m_hasChanged = true;
    MilliCores m_waitingCores;
    MilliCores m_adviceCoreBudget;
    /** Starts that may still be decided in this plan. */
    std::size_t m_startsLeft = 0;
    /** The last plan left starts out for which there was no admission. */
    bool m_hasDeferredStarts = false;
    /** Tasks of the steps that had their turn in this plan and did not start. */
    std::size_t m_waitingTasks = 0;
};

} // namespace gentiancross
