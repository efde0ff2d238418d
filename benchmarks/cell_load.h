#pragma once

#include "control/jobs/cell_leader.h"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gentiancross::benchmarks {

/** Size of a deployment and the rates of its load. */
struct CellShape
{
    int workers = 48;
    /** Capacity of a worker; the sizes alternate by factors as on the platform (1, 1, 1/2, 2). */
    std::int64_t workerMillicores = 32'000;
    double shortJobsPerSecond = 14.5;
    /** Mean number of tasks in a step of a short job. */
    double shortWidth = 6;
    std::int64_t shortMillicores = 2500;
    double longJobsPerSecond = 1.5;
    /** Mean number of tasks in a step of a long job. */
    double longWidth = 13;
    std::int64_t longMillicores = 5500;
    Milliseconds shortRun{800};
    Milliseconds longRun{3800};
    /** Hosts that can call the adviser. */
    int callers = 10;
};

/**
 * Runs a cell leader in virtual time under the load of a deployment: jobs of one or two steps in
 * which every start needs a ticket of the adviser, workers that answer after a round trip, and
 * commits that take as long as a disk sync and a quorum. Measures only the leader's own processor
 * time. Called by measureCell().
 */
class CellLoad
{
public:
    CellLoad(const CellShape &shape, std::uint32_t seed);

    void run(Milliseconds span);
    /** Multiplies the rates of both kinds of jobs from now on. */
    void setRateFactor(double factor) { m_rateFactor = factor; }

    [[nodiscard]] std::uint64_t starts() const { return m_starts; }
    /** Processor time that the leader has used. */
    [[nodiscard]] double busySeconds() const { return m_busySeconds; }
    /** Number of steps of which a task has started. */
    [[nodiscard]] std::size_t stepsStarted() const { return m_stepsStarted.size(); }
    /** Calls to the adviser, and the time that it takes for them. */
    [[nodiscard]] std::uint64_t adviserCalls() const { return m_adviserCalls; }
    [[nodiscard]] double adviserSeconds() const { return m_adviserSeconds; }
    /** By short or by long job, the time in milliseconds from acceptance to the first start, or
     * until now. */
    [[nodiscard]] std::vector<double> waits(bool areShort = true) const;

private:
    using Action = std::function<void()>;

    struct ScheduledEvent
    {
        Instant at;
        std::uint64_t number = 0;
        Action action;

        bool operator>(const ScheduledEvent &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    struct Worker
    {
        WorkerReport report;
        std::uint64_t sequence = 0;
        std::map<JobTaskRef, RunNumber> running;
        std::vector<ReportedCompletion> ended;
        CompletionNumber lastCompletion;
        /** Long poll of the lease renewal that waits for a completion. */
        std::optional<CallWorker> pendingRenewal;
    };

    void schedule(Milliseconds delay, Action action);
    /** Calls the leader, adds its processor time, then applies the effects. */
    void callLeader(const Action &call);
    void completeCommit();
    void applyEffect(Effect effect);
    void deliverOrder(const CallWorker &call);
    void startRun(Worker &worker, const OrderStart &order);
    void endRun(const WorkerIncarnation &incarnation, const JobTaskRef &task, RunNumber run);
    void answerRenewal(Worker &worker);
    /** Answers a request that \a host passes on to the adviser. */
    void advise(const HostId &host, const AdviceRequest &request);
    void sendHeartbeat(const WorkerIncarnation &incarnation);
    void scheduleArrival(bool isShort);
    /** For arrivals only. */
    [[nodiscard]] double drawExponential(double mean);

    CellShape m_shape;
    std::minstd_rand m_random;
    /** Separate, so that the same jobs arrive whatever the leader decides. */
    std::minstd_rand m_arrivals;
    Instant m_now{100'000};
    Milliseconds m_wall{1'000'000'000};
    Outbox m_out{false};
    CellLeader m_leader;
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> m_events;
    std::uint64_t m_lastEvent = 0;
    std::map<WorkerIncarnation, Worker> m_workers;
    std::optional<DecisionBatch> m_pendingCommit;
    std::map<JobId, Instant> m_accepted;
    std::map<JobId, Milliseconds> m_waits;
    std::set<JobId> m_shortJobs;
    std::uint64_t m_jobs = 0;
    std::uint64_t m_starts = 0;
    double m_busySeconds = 0.0;
    double m_rateFactor = 1.0;
    std::set<StepRef> m_stepsStarted;
    std::uint64_t m_adviserCalls = 0;
    double m_adviserSeconds = 0.0;
    /** When the adviser has answered all calls of a host; it serves one at a time for each. */
    std::map<HostId, Instant> m_callerFree;
};

} // namespace gentiancross::benchmarks
