#pragma once

#include "control/jobs/start_planner.h"
#include "control/placement/speed_learner.h"
#include "tests/control/jobs/job_fixture.h"

#include <functional>

namespace gentiancross::tests {

/** A start that was decided. */
struct PlacedStart
{
    JobTaskRef task;
    WorkerId worker;
    Instant at;

    bool operator==(const PlacedStart &) const = default;
};

/**
 * A planner and its workers without network and log: each decided start begins at once, and each
 * run ends as done after the time that the test gives it. The speed of workers is learned from
 * these runs. Queries to the adviser are kept and not answered.
 */
class PlacementCell final : private JobStoreObserver, private StartHandler
{
public:
    /** Returns how long a run takes that has just started on the worker. */
    using DurationOf = std::function<Milliseconds(const JobTaskRef &, const PooledWorker &)>;

    PlacementCell(std::unique_ptr<WorkerCostPolicy> policy, DurationOf durationOf);

    PooledWorker &addWorker(const std::string &name, std::int64_t millicores,
                            const std::string &rack = "r");
    void submit(const JobAccepted &job);
    /** Ends the runs that are due up to \a until and starts what can start, in order of time. */
    void runUntil(Instant until);

    [[nodiscard]] Instant now() const { return m_now; }
    [[nodiscard]] PooledWorker &worker(const std::string &name);
    [[nodiscard]] const Job &job(const std::string &id) const { return m_store.jobs.at(JobId(id)); }
    [[nodiscard]] const std::vector<PlacedStart> &starts() const { return m_starts; }
    [[nodiscard]] const std::vector<AdviceRequest> &queries() const { return m_queries; }
    /** When each job was completed. */
    [[nodiscard]] const std::map<JobId, Instant> &ends() const { return m_ends; }

private:
    void onRunOpened(const JobTaskRef &task, const Job &job, const TaskProgress &progress) override;
    void onRunClosed(const JobTaskRef &task, const Job &job, const TaskProgress &progress) override;
    void onJobChanged(const JobId &id, const Job &job) override;
    void onStepChanged(const StepRef &step, const Job &job) override;
    void onStartDecided(const JobTaskRef &task, RunNumber run,
                        const WorkerIncarnation &worker) override;
    void onEvictionDecided(const Eviction &) override {}

    void plan();
    void endRun(const PlacedStart &start);

    DurationOf m_durationOf;
    Instant m_now{100'000};
    JobStoreData m_store;
    WorkerPool m_pool{Instant()};
    AdviceCoordinator m_advice{HostId("self")};
    DelayAdmission m_admission{{.initialLimit = 4096}};
    SpeedLearner m_speeds;
    StartPlanner m_planner;
    Outbox m_out{false};
    std::multimap<Instant, PlacedStart> m_running;
    std::vector<PlacedStart> m_starts;
    std::vector<AdviceRequest> m_queries;
    std::map<JobId, Instant> m_ends;
};

} // namespace gentiancross::tests
