#pragma once

#include "control/admission/memory_plan.h"
#include "control/admission/stored_work.h"
#include "control/admission/stored_work_log.h"
#include "control/evacuation/evacuation_handler.h"
#include "control/jobs/advice_coordinator.h"
#include "control/jobs/call_handler.h"
#include "control/jobs/job_store.h"
#include "control/jobs/run_tracker.h"
#include "control/jobs/start_admission.h"
#include "control/jobs/start_planner.h"
#include "control/jobs/worker_pool.h"
#include "control/outbox.h"
#include "control/overload/team_shares.h"
#include "control/placement/speed_learner.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace gentiancross {

struct OriginAnswer
{
    CallOrigin origin;
    CallAnswer answer;
};

/** A start that leaves once the record of just this run is durable. */
struct DecidedStart
{
    JobTaskRef task;
    RunNumber run;
};

/** Effects that wait until their records are durable: answers to callers, start orders, and
 * acknowledgements that let workers forget listed ends. */
struct DecisionBatch
{
    std::vector<JobRecord> records;
    std::vector<OriginAnswer> answers;
    std::vector<DecidedStart> starts;
    std::map<WorkerIncarnation, CompletionNumber> acknowledgedEnds;
    /** Data centres in which work may be started again. */
    std::vector<DataCentreId> endedEvacuations;
    /** When the first start was decided and when the first end was recorded. */
    std::optional<Instant> firstStartAt;
    std::optional<Instant> firstEndAt;

    [[nodiscard]] bool isEmpty() const
    {
        return records.empty() && answers.empty() && starts.empty() && acknowledgedEnds.empty();
    }
};

/** Default retention in milliseconds: two minutes after a job's end, the platform's `status_s`,
 * plus some time for late resends. */
constexpr std::int64_t DefaultJobRetentionMilliseconds = 150'000;

/** Construction parameters of `CellLeader`. */
struct LeaderOptions
{
    HostId self;
    Fence fence;
    /** Address to which workers send heartbeats to this host. */
    std::string heartbeatAddress;
    /** How long a job is kept after its end. */
    Milliseconds jobRetention{DefaultJobRetentionMilliseconds};
    /** The cell's data centres, or a part of them; empty if none is known. */
    std::set<DataCentreId> dataCentres;
    /** What the stored jobs may take in memory. */
    Bytes storedWork = deriveMemoryPlan(DefaultKeeperMemory).storedWork;
};

/**
 * Makes all decisions for a cell while its host leads the cell's log: handles calls, tracks the
 * workers and starts tasks. Owned and called by `CellRoot`. Works on a copy of the job state that
 * is ahead of the replicated log; every effect that depends on a record is held back until the
 * record is durable (`takeDecisions`, `carryOut`). Thread safety: owned by the control thread.
 */
class CellLeader final : private JobStoreObserver,
                         private StartHandler,
                         private CallDecisionHandler,
                         private RunResultHandler
{
public:
    CellLeader(Instant now, LeaderOptions options, JobStoreData store);

    /** Handles a call; its answer is part of the decisions. */
    void receive(Instant now, Milliseconds wall, const CallOrigin &origin, const CellCall &call,
                 Outbox &out);
    void receive(Instant now, const WorkerAnswer &answer, Outbox &out);
    void receive(Instant now, const AdviceResponse &response, Outbox &out)
    {
        m_advice.receive(now, response, out);
        m_planner.markChanged();
    }
    void recordAdviserContact(Instant now, const HostId &host)
    {
        m_advice.recordHostSeen(now, host);
    }
    /** Processes heartbeats that a keeper has acknowledged; returns the unknown incarnations. */
    UnknownIncarnationsReport receive(Instant now, const HeartbeatsReport &seen, Outbox &out);
    /** Renews leases, repeats orders, detects lost runs and begins due occurrences. */
    void tick(Instant now, Milliseconds wall, Outbox &out);
    /** Decides the starts that are possible now. */
    void startReady(Instant now, Outbox &out);
    /** Returns the decisions made since the last call. */
    DecisionBatch takeDecisions() { return std::exchange(m_decisions, {}); }
    [[nodiscard]] bool hasDecisions() const { return !m_decisions.isEmpty(); }
    /** Sends the orders of \a decisions, whose records are durable. The caller sends answers. */
    void carryOut(Instant now, const DecisionBatch &decisions, Outbox &out);

    /** Replaces the cell's data centres by the settings. */
    void setDataCentres(std::set<DataCentreId> dataCentres)
    {
        m_evacuations.setConfigured(std::move(dataCentres));
    }

    [[nodiscard]] const JobStoreData &store() const { return m_store; }

private:
    void onRunOpened(const JobTaskRef &task, const Job &job, const TaskProgress &progress) override;
    void onRunClosed(const JobTaskRef &task, const Job &job, const TaskProgress &progress) override;
    void onJobChanged(const JobId &id, const Job &job) override;
    void onStepChanged(const StepRef &step, const Job &job) override
    {
        m_planner.stepChanged(m_now, step, job);
    }
    void onStartDecided(const JobTaskRef &task, RunNumber run,
                        const WorkerIncarnation &worker) override;
    void onEvictionDecided(const Eviction &eviction) override;

    void apply(JobRecord record) override;
    void answer(const CallOrigin &origin, CallAnswer answer) override;
    void onRunBegun(const JobTaskRef &task) override;
    void onRunTimed(PooledWorker &worker, const JobTaskRef &task, const OpenRun &run,
                    Milliseconds taken) override;
    void acknowledgeEnds(const WorkerIncarnation &incarnation, CompletionNumber number) override;
    void onWorkerUsable() override { m_planner.markChanged(); }

    void handle(Instant now, Milliseconds wall, const CallOrigin &origin, const JobCall &call,
                Outbox &out);
    void handle(Instant now, Milliseconds wall, const CallOrigin &origin,
                const PutConfiguration &call, Outbox &out);
    void handle(Instant now, Milliseconds wall, const CallOrigin &origin,
                const GetConfiguration &call, Outbox &out);
    void handle(Instant now, Milliseconds wall, const CallOrigin &origin,
                const WorkerHeartbeat &call, Outbox &out);
    void handle(Instant now, Milliseconds wall, const CallOrigin &origin, const WorkerLeave &call,
                Outbox &out);

    void handle(Instant now, Milliseconds wall, const CallOrigin &origin,
                const BeginEvacuation &call, Outbox &out);
    void handle(Instant now, Milliseconds wall, const CallOrigin &origin, const EndEvacuation &call,
                Outbox &out);
    void handle(Instant now, Milliseconds wall, const CallOrigin &origin,
                const ListEvacuations &call, Outbox &out);

    /** Refuses a heartbeat that can't be the worker's own. */
    void refuse(const CallOrigin &origin, const WorkerIncarnation &incarnation, const char *reason,
                Outbox &out);
    /** Takes the clock reading of a heartbeat sent at \a at, unless it can't be the worker's. */
    static void recordClock(PooledWorker &worker, Instant at, std::int64_t clock, Outbox &out);
    /** True if this incarnation has announced its end. */
    [[nodiscard]] bool hasLeft(const WorkerIncarnation &incarnation) const;
    /** True if another incarnation with the same name is known, or was until its end. */
    [[nodiscard]] bool isNameReused(const WorkerIncarnation &incarnation);
    /** False while the occurrences in progress already have as many tasks as a job may have, or
     * the stored jobs leave no room for another one. */
    [[nodiscard]] bool canBeginOccurrence(const Job &job) const;
    void beginDueOccurrences(Milliseconds wall);
    void forgetExpiredJobs();
    void logAdmissionLimit(Outbox &out);
    /** The decided run, which was not sent yet, with its worker; null if it is over. A later run of
     * the task may be open by then, whose record is not durable. */
    [[nodiscard]] std::pair<PooledWorker *, OpenRun *> findUnsentRun(const DecidedStart &start);
    /** True if the worker may still be told to start the run. Takes its newest ticket over, since
     * the one of the decision may have expired while the record became durable. */
    [[nodiscard]] bool canSendStart(Instant now, const DecidedStart &start);
    /** Estimates on this host's clock when an earlier leader accepted the job; \a newest is the
     * latest acceptance time of all jobs. */
    [[nodiscard]] Instant estimateArrival(const Job &job, Milliseconds newest) const;

    LeaderOptions m_options;
    /** Time of the call in progress. */
    Instant m_now;
    JobStoreData m_store;
    StoredWork m_storedWork;
    StoredWorkLog m_storedWorkLog;
    WorkerPool m_pool;
    AdviceCoordinator m_advice;
    CallHandler m_callHandler;
    EvacuationHandler m_evacuations;
    std::unique_ptr<StartAdmission> m_admission;
    /** The limit of concurrent starts that was logged last. */
    std::size_t m_loggedLimit = 0;
    SpeedLearner m_speeds;
    RunTracker m_runs;
    TeamShares m_shares;
    StartPlanner m_planner;
    DecisionBatch m_decisions;
    /** Jobs with occurrences that have not begun yet. */
    std::set<JobId> m_repeatingJobs;
    /** Jobs that are over, with the time of their end, in the order in which they expire. */
    std::deque<std::pair<Instant, JobId>> m_endedJobs;
    std::set<JobId> m_endedIds;
};

} // namespace gentiancross
