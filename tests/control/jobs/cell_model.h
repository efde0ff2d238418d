#pragma once

#include "control/jobs/cell_leader.h"
#include "tests/control/jobs/model_worker.h"
#include "tests/control/jobs/run_oracle.h"
#include "tests/soak/soak_random.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** Load and faults of one run of `CellModel`. */
struct ModelPlan
{
    std::int64_t workers = 4;
    /** How long clients submit jobs. Faults are injected from `faultFreeMs` until then. */
    std::int64_t durationMs = 30'000;
    std::int64_t faultFreeMs = 0;
    /** Mean interval between jobs, and mean duration of a task. */
    std::int64_t jobIntervalMs = 400;
    std::int64_t taskDurationMs = 800;
    std::int64_t maxTaskMillicores = 250;
    std::int64_t maxSteps = 2;
    std::int64_t longRunningJobs = 1;
    /** Share of calls to workers that are lost; that are executed, but whose answer is lost; that
     * are executed seconds later without an answer; and whose sending is delayed. */
    double lostCallRatio = 0;
    double lostAnswerRatio = 0;
    double lateCallRatio = 0;
    double delayedSendRatio = 0;
    /** How late such calls are executed. */
    std::int64_t minLateMs = 500;
    std::int64_t maxLateMs = 5000;
    /** Share of crashed workers that start again under their name. */
    double sameNameRatio = 0.6;
    /** Mean interval between faults of a kind; 0 disables them. */
    std::int64_t disconnectIntervalMs = 0;
    std::int64_t crashIntervalMs = 0;
    std::int64_t freezeIntervalMs = 0;
    std::int64_t leaderChangeIntervalMs = 0;
    std::int64_t drainIntervalMs = 0;
    /** Heartbeats of another writer, with the name or the address of a healthy worker. */
    std::int64_t foreignHeartbeatIntervalMs = 0;
    /** Share of workers that leave whose leave call arrives seconds later, after they have started
     * again under their name. */
    double lateLeaveRatio = 0;
    /** Mean interval between the operator's orders to begin or finish an evacuation. */
    std::int64_t evacuationIntervalMs = 0;
};

/**
 * Simulates a cell in virtual time: a leader on top of a log that keeps committed records, workers
 * that follow the protocol, clients, and faults. All random decisions derive from the seed.
 */
class CellModel
{
public:
    CellModel(std::uint32_t seed, ModelPlan plan);

    /** Executes the plan, then stops all faults and waits until all work has ended or cannot end
     * any more. */
    void run();
    [[nodiscard]] const std::vector<std::string> &violations() const
    {
        return m_oracle.violations();
    }
    [[nodiscard]] const std::vector<std::string> &trace() const { return m_trace; }
    [[nodiscard]] std::size_t completedJobs() const;
    /** The largest number of unacknowledged completions that a worker held at a time. */
    [[nodiscard]] std::size_t maxPendingCompletions() const { return m_maxPendingCompletions; }

private:
    /** A process that is the leader, or still believes to be. */
    struct Host
    {
        std::unique_ptr<CellLeader> leader;
        Fence fence;
        bool canCommit = true;
        Instant activeUntil;
        bool isCommitting = false;
        std::vector<JobRecord> pendingRecords;
        Outbox out{false};
    };

    struct WorkerSlot
    {
        std::string address;
        std::shared_ptr<ModelWorker> worker;
        Instant disconnectedUntil;
        Instant faultFreeUntil;
        std::int64_t nameCount = 0;
        std::string name;
    };

    struct InFlightCall
    {
        Fence fence;
        CallWorker call;
        bool isAnswered = false;
        bool isAnswerLost = false;
        /** Delay between arrival at the worker and execution. */
        std::int64_t processingDelayMs = 0;
    };

    using InFlightCallPtr = std::shared_ptr<InFlightCall>;
    using Action = std::function<void()>;

    void schedule(std::int64_t delayMs, Action action);
    void advanceUntil(Instant until);
    void repeat(std::int64_t intervalMs, std::int64_t jitterMs, const Action &action);
    [[nodiscard]] bool hasFaults() const;
    void addTrace(const std::string &line);

    Host *findHost(Fence fence);
    /** The newest leader, to which callers and workers connect. */
    Host *currentLeader();
    void startLeader(JobStoreData store);
    void changeLeader();
    void processDecisions(Host &host);
    void commit(Host &host);
    void tick();

    void send(Host &host, const CallWorker &call);
    void deliverCall(const InFlightCallPtr &sent);
    void executeCall(const InFlightCallPtr &sent, const std::weak_ptr<ModelWorker> &incarnation);
    void awaitCompletions(const InFlightCallPtr &sent, const std::weak_ptr<ModelWorker> &worker,
                          Instant until);
    void sendAnswer(const InFlightCallPtr &sent, WorkerAnswer answer);
    void deliverAnswer(const InFlightCallPtr &sent, WorkerAnswer answer, std::int64_t delayMs);

    void startWorker(WorkerSlot &slot, bool isSameName);
    void sendHeartbeat(WorkerSlot &slot);
    void crash(WorkerSlot &slot);
    void drain(WorkerSlot &slot);
    void sendForeignHeartbeat();
    /** Begins the evacuation of a data centre, or finishes the one in force. */
    void changeEvacuation();
    /** Orders it again until the order is acknowledged, as the operator does. */
    void orderEvacuation(const CellCall &order, const DataCentreId &dataCentre);
    /** Checks that a start leaves the evacuated data centre out. */
    void checkEvacuation(const CallWorker &call);
    WorkerSlot &randomSlot();

    ExchangeId call(const CellCall &call);
    void configure();
    void submit(bool isLongRunning);
    void checkJobs(bool isFinal);

    SoakRandom m_random;
    ModelPlan m_plan;
    RunOracle m_oracle;
    Instant m_now{1'000'000};
    Instant m_startedAt{1'000'000};
    std::multimap<Instant, Action> m_actions;
    std::vector<std::string> m_trace;
    JobStoreData m_durable;
    std::map<Fence, Host> m_hosts;
    Fence m_lastFence;
    std::vector<WorkerSlot> m_slots;
    std::map<JobId, JobSpec> m_specs;
    std::uint64_t m_lastExchange = 0;
    /** Calls that were answered as done. */
    std::set<ExchangeId> m_doneCalls;
    /** The data centre that is evacuated, and when the order was acknowledged. */
    std::optional<std::pair<DataCentreId, Instant>> m_evacuated;
    bool m_isOrderingEvacuation = false;
    std::size_t m_maxPendingCompletions = 0;
};

} // namespace gentiancross::tests
