#pragma once

#include "control/jobs/cell_leader.h"
#include "tests/control/jobs/leased_worker.h"
#include "tests/control/jobs/loaded_sender.h"
#include "tests/control/jobs/run_witness.h"
#include "tests/control/jobs/virtual_processor.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace gentiancross::tests {

/** Size of a cell whose leader makes all calls to workers itself, and its processor share. */
struct LoadedCellOptions
{
    int workers = 350;
    /** The leader's share of a core, in thousandths. */
    std::int64_t processorPermille = 400;
    std::uint32_t seed = 1;
};

/**
 * Simulates a leader in virtual time with limited processor time, which every event and every call
 * consumes, together with workers that follow the lease protocol.
 */
class LoadedCell
{
public:
    explicit LoadedCell(const LoadedCellOptions &options);

    /** Runs for \a span while \a tasksPerSecond tasks per second are submitted. */
    void run(std::chrono::seconds span, double tasksPerSecond);

    [[nodiscard]] const RunWitness &witness() const { return m_witness; }
    [[nodiscard]] const LoadedSender &sender() const { return m_sender; }
    [[nodiscard]] std::size_t tasksAccepted() const { return m_tasksAccepted; }
    /** The share of the jobs submitted at \a since or later that completed within \a span. */
    [[nodiscard]] double ratioServedWithin(std::chrono::milliseconds span,
                                           VirtualTime::Span since = {}) const;
    [[nodiscard]] VirtualTime::Span now() const { return m_time.now(); }
    /** The longest wait of an event for the control thread. */
    [[nodiscard]] VirtualTime::Span longestControlWait() const { return m_longestControlWait; }

private:
    struct Job
    {
        VirtualTime::Span acceptedAt;
        std::optional<VirtualTime::Span> completedAt;
    };

    void addWorkers();
    /** Runs \a action on the control thread, then processes the leader's decisions. */
    void postToControl(VirtualTime::Span cost, VirtualTime::Action action);
    void processDecisions();
    void completeCommit();
    void recordCompletedJobs();
    void tick();
    void sendHeartbeat(const WorkerIncarnation &incarnation);
    void submitArrivals();
    void submitJob();
    [[nodiscard]] VirtualTime::Span durationOf(const JobTaskRef &task) const;

    LoadedCellOptions m_options;
    std::minstd_rand m_random;
    VirtualTime m_time;
    VirtualProcessor m_processor;
    RunWitness m_witness;
    std::map<WorkerIncarnation, LeasedWorker> m_workers;
    LoadedSender m_sender;
    Outbox m_out{false};
    CellLeader m_leader;
    std::optional<DecisionBatch> m_committing;
    double m_tasksPerSecond = 0;
    std::map<JobId, Job> m_jobs;
    std::set<JobId> m_openJobs;
    std::size_t m_tasksAccepted = 0;
    VirtualTime::Span m_longestControlWait{0};
};

} // namespace gentiancross::tests
