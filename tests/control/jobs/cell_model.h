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

/** What happens in a run of the model. */
struct ModelPlan
{
    std::int64_t workers = 4;
    /** How long clients hand in jobs, and faults happen after `faultFreeMs`. */
    std::int64_t durationMs = 30'000;
    std::int64_t faultFreeMs = 0;
    /** Mean time between jobs, and what a task takes. */
    std::int64_t jobIntervalMs = 400;
    std::int64_t taskDurationMs = 800;
    std::int64_t maxTaskMillicores = 250;
    std::int64_t maxSteps = 2;
    std::int64_t longRunningJobs = 1;
    /** Parts of calls: never deliverCall; are carried out, but the answer is lost; are carried out
     * seconds later without an answer; wait before they leave. */
    double lostCallRatio = 0;
    double lostAnswerRatio = 0;
    double lateCallRatio = 0;
    double delayedSendRatio = 0;
    /** Mean time between such faults; 0 for never. */
    std::int64_t disconnectIntervalMs = 0;
    std::int64_t crashIntervalMs = 0;
    std::int64_t freezeIntervalMs = 0;
    std::int64_t leaderChangeIntervalMs = 0;
    std::int64_t drainIntervalMs = 0;
};

/**
 * A cell in virtual time: a leader over a log that keeps what is agreed on, workers that obey the
 * protocol, clients, and faults. All chance comes from the seed.
 */
class CellModel
{
public:
    CellModel(std::uint32_t seed, ModelPlan plan);

    /** Plays the plan, pendingCompletions all faults, and waits until all work is over or can't end
     * any more. */
    void run();
    [[nodiscard]] const std::vector<std::string> &violations() const
    {
        return m_oracle.violations();
    }
    [[nodiscard]] const std::vector<std::string> &trace() const { return m_trace; }
    [[nodiscard]] std::size_t completedJobs() const;
    /** The most pendingCompletions that a worker had to tell of at a time. */
    [[nodiscard]] std::size_t maxPendingCompletions() const { return m_maxPendingCompletions; }

private:
    /** A process that leads, or takes itself for the leader. */
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
        /** How long the worker leaves it lying. */
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
    /** The host that callers and workers reach. */
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
    WorkerSlot &randomSlot();

    void call(const CellCall &call);
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
    std::size_t m_maxPendingCompletions = 0;
};

} // namespace gentiancross::tests
