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

/** A cell whose leader makes all calls to workers itself, and what it may use. */
struct LoadedCellOptions
{
    int workers = 350;
    /** The leader's part of a core, in thousandths. */
    std::int64_t processorPermille = 400;
    std::uint32_t seed = 1;
};

/**
 * A leader in virtual time whose every event and call costs processor time of which there is a
 * limited amount; its workers keep their leases.
 */
class LoadedCell
{
public:
    explicit LoadedCell(const LoadedCellOptions &options);

    /** Runs on while so many tasks a second are handed in. */
    void run(std::chrono::seconds span, double tasksPerSecond);

    [[nodiscard]] const RunWitness &witness() const { return m_witness; }
    [[nodiscard]] const LoadedSender &sender() const { return m_sender; }
    [[nodiscard]] std::size_t tasksAccepted() const { return m_tasksAccepted; }
    /** The part of all jobs that were handed in which were completed within \a span. */
    [[nodiscard]] double ratioServedWithin(std::chrono::milliseconds span) const;
    /** The longest time that an event waited for the control thread. */
    [[nodiscard]] VirtualTime::Span longestControlWait() const { return m_longestControlWait; }

private:
    struct Job
    {
        VirtualTime::Span acceptedAt;
        std::optional<VirtualTime::Span> completedAt;
    };

    void addWorkers();
    /** Has the control thread call the leader, and carries out what it decides. */
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
