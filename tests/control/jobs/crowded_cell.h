#pragma once

#include "control/jobs/cell_leader.h"
#include "tests/control/jobs/leased_worker.h"
#include "tests/control/jobs/run_witness.h"
#include "tests/control/jobs/virtual_processor.h"

#include <map>
#include <random>

namespace gentiancross::tests {

/** Size of the long-running job of a `CrowdedCell`, and the seed of everything random. */
struct CrowdedCellOptions
{
    int workers = 4;
    std::uint32_t longRunningTasks = 2;
    MilliCores longRunningCores{4000};
    std::uint32_t seed = 1;
};

/**
 * Simulates a leader in virtual time, without processor cost, whose workers run one long-running
 * job and short jobs of a more urgent queue. Both queues require advice. Each long-running task
 * fails once, some seconds after its first start.
 */
class CrowdedCell
{
public:
    /** Capacity of each worker. */
    static constexpr MilliCores WorkerCores{8000};
    /** Request and mean duration of a short task. */
    static constexpr MilliCores ShortTaskCores{2000};
    static constexpr std::chrono::milliseconds ShortTaskDuration{1000};

    explicit CrowdedCell(const CrowdedCellOptions &options);

    /** Runs for \a span while \a jobsPerSecond short jobs of one task are submitted. */
    void run(std::chrono::seconds span, double jobsPerSecond);

    [[nodiscard]] const RunWitness &witness() const { return m_witness; }
    [[nodiscard]] std::size_t shortTasksDone() const;
    /** Number of long-running tasks that have started again after their failure. */
    [[nodiscard]] std::size_t restarts() const;
    /** The longest time that a long-running task was down after the end of a run. */
    [[nodiscard]] std::chrono::milliseconds longestDowntime() const;

private:
    struct LongRunningTask
    {
        std::uint32_t starts = 0;
        VirtualTime::Span endsAt{0};
        VirtualTime::Span longestDowntime{0};
    };

    void addWorkers();
    void submitLongRunningJob();
    void submitArrivals();
    void submitShortJob();
    void submit(const std::string &path, StepSpec step);
    void sendHeartbeat(const WorkerIncarnation &incarnation);
    void tick();
    void processDecisions();
    void carryOut(const CallWorker &call);
    void carryOut(const AdviceRequest &request);
    /** Called at each start on a worker. */
    LeasedWorker::RunCourse recordStart(const JobTaskRef &task);

    CrowdedCellOptions m_options;
    std::minstd_rand m_random;
    VirtualTime m_time;
    RunWitness m_witness;
    std::map<WorkerIncarnation, LeasedWorker> m_workers;
    Outbox m_out{false};
    CellLeader m_leader;
    double m_jobsPerSecond = 0;
    std::uint64_t m_shortJobs = 0;
    std::map<JobTaskRef, LongRunningTask> m_longRunning;
};

} // namespace gentiancross::tests
