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
    /** How long clients hand in jobs, and faults happen after `calm`. */
    std::int64_t length = 30'000;
    std::int64_t calm = 0;
    /** Mean time between jobs, and what a task takes. */
    std::int64_t jobPause = 400;
    std::int64_t taskTime = 800;
    std::int64_t cores = 250;
    std::int64_t steps = 2;
    std::int64_t lastingJobs = 1;
    /** Parts of calls: never arrive; are carried out, but the answer is lost; are carried out
     * seconds later without an answer; wait before they leave. */
    double lostCalls = 0;
    double lostAnswers = 0;
    double lateCalls = 0;
    double heldCalls = 0;
    /** Mean time between such faults; 0 for never. */
    std::int64_t cutPause = 0;
    std::int64_t crashPause = 0;
    std::int64_t freezePause = 0;
    std::int64_t leaderPause = 0;
    std::int64_t drainPause = 0;
};

/**
 * A cell in virtual time: a leader over a log that keeps what is agreed on, workers that obey the
 * protocol, clients, and faults. All chance comes from the seed.
 */
class CellModel
{
public:
    CellModel(std::uint32_t seed, ModelPlan plan);

    /** Plays the plan, ends all faults, and waits until all work is over or can't end any more. */
    void play();
    [[nodiscard]] const std::vector<std::string> &faults() const { return m_oracle.faults(); }
    [[nodiscard]] const std::vector<std::string> &trace() const { return m_trace; }
    [[nodiscard]] std::size_t jobsDone() const;
    /** The most ends that a worker had to tell of at a time. */
    [[nodiscard]] std::size_t mostEndsKept() const { return m_mostEndsKept; }

private:
    /** A process that leads, or takes itself for the leader. */
    struct Host
    {
        std::unique_ptr<CellLeader> leader;
        Fence fence;
        bool commits = true;
        Instant actsUntil;
        bool isCommitting = false;
        std::vector<JobRecord> underWay;
        Outbox out{false};
    };

    struct Place
    {
        std::string address;
        std::shared_ptr<ModelWorker> worker;
        Instant cutUntil;
        Instant calmUntil;
        std::int64_t names = 0;
        std::string name;
    };

    struct Sent
    {
        Fence fence;
        CallWorker call;
        bool isAnswered = false;
        bool isUnheard = false;
        /** How long the worker leaves it lying. */
        std::int64_t heldBack = 0;
    };

    using SentCall = std::shared_ptr<Sent>;
    using Action = std::function<void()>;

    void at(std::int64_t delay, Action action);
    void passUntil(Instant until);
    void repeat(std::int64_t pause, std::int64_t spread, const Action &action);
    [[nodiscard]] bool hasFaults() const;
    void note(const std::string &line);

    Host *hostOf(Fence fence);
    /** The host that callers and workers reach. */
    Host *current();
    void lead(JobStoreData book);
    void changeLeader();
    void pump(Host &host);
    void commit(Host &host);
    void tick();

    void send(Host &host, const CallWorker &call);
    void arrive(const SentCall &sent);
    void execute(const SentCall &sent, const std::weak_ptr<ModelWorker> &life);
    void wait(const SentCall &sent, const std::weak_ptr<ModelWorker> &worker, Instant until);
    void reply(const SentCall &sent, WorkerAnswer answer);
    void deliver(const SentCall &sent, WorkerAnswer answer, std::int64_t delay);

    void bear(Place &place, bool isSameName);
    void beat(Place &place);
    void crash(Place &place);
    void drain(Place &place);
    Place &anyPlace();

    void call(const CellCall &call);
    void configure();
    void submit(bool isLongRunning);
    void checkJobs(bool isEnd);

    SoakRandom m_random;
    ModelPlan m_plan;
    RunOracle m_oracle;
    Instant m_now{1'000'000};
    Instant m_begin{1'000'000};
    std::multimap<Instant, Action> m_actions;
    std::vector<std::string> m_trace;
    JobStoreData m_durable;
    std::map<Fence, Host> m_hosts;
    Fence m_lastFence;
    std::vector<Place> m_places;
    std::map<JobId, JobSpec> m_specs;
    std::uint64_t m_lastExchange = 0;
    std::size_t m_mostEndsKept = 0;
};

} // namespace gentiancross::tests
