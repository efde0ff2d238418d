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

/** A deployment and its load. */
struct CellShape
{
    int workers = 48;
    /** Each worker's processors; their sizes alternate as on the platform (1, 1, 1/2, 2). */
    std::int64_t millicores = 32'000;
    /** Short jobs a second, and how wide one is on average. */
    double shortJobs = 14.5;
    double shortWidth = 6;
    std::int64_t shortCores = 2500;
    /** Long jobs a second. */
    double longJobs = 1.5;
    double longWidth = 13;
    std::int64_t longCores = 5500;
    /** Hosts that can call the adviser. */
    int callers = 10;
};

/**
 * A leader in virtual time under the load of a deployment: jobs of one or two steps whose every
 * start needs the adviser's ticket, workers that answer after a round trip, commits that take a
 * disk's time. Only the leader's own processor time is measured.
 */
class CellLoad
{
public:
    CellLoad(const CellShape &shape, std::uint32_t seed);

    void run(Milliseconds span);

    [[nodiscard]] std::uint64_t starts() const { return m_starts; }
    /** Processor seconds that the leader took. */
    [[nodiscard]] double busySeconds() const { return m_busy; }
    /** From acceptance to the first start, for short jobs, in milliseconds. */
    [[nodiscard]] std::vector<double> waits() const;

private:
    using Action = std::function<void()>;

    struct Timed
    {
        Instant at;
        std::uint64_t number = 0;
        Action action;

        bool operator>(const Timed &other) const
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
        CompletionNumber lastEnd;
        /** The question that waits for an end. */
        std::optional<CallWorker> hold;
    };

    void at(Milliseconds delay, Action action);
    /** Calls the leader, then carries out what it decided. */
    void drive(const Action &call);
    void commit();
    void carryOut(Effect effect);
    void order(const CallWorker &call);
    void start(Worker &worker, const OrderStart &order);
    void end(const WorkerIncarnation &life, const JobTaskRef &task, RunNumber run);
    void answerHold(Worker &worker);
    void advise(const AdviceRequest &ask);
    void beat(const WorkerIncarnation &life);
    void arrive(bool isShort);
    [[nodiscard]] double drawn(double mean);

    CellShape m_shape;
    std::minstd_rand m_random;
    Instant m_now{100'000};
    Milliseconds m_wall{1'000'000'000};
    Outbox m_out{false};
    CellLeader m_leader;
    std::priority_queue<Timed, std::vector<Timed>, std::greater<>> m_events;
    std::uint64_t m_lastEvent = 0;
    std::map<WorkerIncarnation, Worker> m_workers;
    std::optional<DecisionBatch> m_underWay;
    std::map<JobId, Instant> m_accepted;
    std::map<JobId, Milliseconds> m_waits;
    std::set<JobId> m_shortJobs;
    std::uint64_t m_jobs = 0;
    std::uint64_t m_starts = 0;
    double m_busy = 0.0;
};

} // namespace gentiancross::benchmarks
