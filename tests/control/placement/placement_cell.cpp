#include "tests/control/placement/placement_cell.h"

namespace gentiancross::tests {

PlacementCell::PlacementCell(std::unique_ptr<WorkerCostPolicy> policy, DurationOf durationOf)
    : m_durationOf(std::move(durationOf))
    , m_planner(m_store, m_pool, m_advice, m_admission, std::move(policy),
                std::make_unique<DeadlineStepOrder>())
{
    ConfigDocument document;
    document.teams = {{TeamId("alpha"), {}, 1, {}}};
    m_store.document = document;
}

PooledWorker &PlacementCell::addWorker(const std::string &name, std::int64_t millicores,
                                       const std::string &rack)
{
    WorkerReport report;
    report.incarnation = makeIncarnation(name);
    report.pool = PoolId("pool");
    report.rack = RackId(rack);
    report.capacity.cores = MilliCores(millicores);
    report.capacity.memory = Mebibytes(1'000'000);
    PooledWorker &worker = m_pool.addOrUpdate(m_now, report);
    WorkerPool::setClock(worker, m_now, 1);
    return worker;
}

PooledWorker &PlacementCell::worker(const std::string &name)
{
    return *m_pool.find(makeIncarnation(name));
}

void PlacementCell::submit(const JobAccepted &job)
{
    jobstore::apply(m_store, job, this);
    plan();
}

void PlacementCell::runUntil(Instant until)
{
    while (!m_running.empty() && m_running.begin()->first <= until) {
        m_now = m_running.begin()->first;
        const PlacedStart start = m_running.begin()->second;
        m_running.erase(m_running.begin());
        endRun(start);
        plan();
    }
    m_now = until;
    plan();
}

void PlacementCell::endRun(const PlacedStart &start)
{
    const StepRef &ref = start.task.step;
    const StepSpec &step = m_store.jobs.at(ref.job).spec.steps[ref.step];
    PooledWorker &runsOn = worker(start.worker.value());
    const Milliseconds taken = m_now - start.at;
    runsOn.pace.addRun(taken, step.estimate);
    m_pool.averagePace().addRun(taken, step.estimate);
    // The members of a gang end together.
    if (!step.isGang)
        m_speeds.addRun(m_now, runsOn, ref, step, taken);
    const RunNumber run = jobstore::find(m_store, start.task)->lastRun;
    jobstore::apply(m_store, RunEnded{start.task, run, RunEnding::Done, {}}, this);
}

void PlacementCell::plan()
{
    for (auto &[incarnation, worker] : m_pool.all())
        worker.lastHeartbeat = m_now;
    m_speeds.tick(m_now, m_pool, m_out);
    m_planner.markChanged();
    m_planner.plan(m_now, *this, m_out);
    for (const Effect &effect : m_out.take()) {
        if (const auto *query = std::get_if<AdviceRequest>(&effect))
            m_queries.push_back(*query);
    }
    m_out.takeMeasurements();
}

void PlacementCell::onRunOpened(const JobTaskRef &task, const Job &job,
                                const TaskProgress &progress)
{
    const StepSpec &step = job.spec.steps[task.step.step];
    m_planner.runOpened(task, job, progress.worker);
    PooledWorker &worker = *m_pool.find(progress.worker);
    OpenRun run;
    run.run = progress.lastRun;
    run.reserved = step.reserved();
    run.requested = step.perTask;
    run.startedAt = m_now;
    WorkerPool::open(worker, task, run);
    m_starts.push_back({task, progress.worker.worker, m_now});
    m_running.emplace(m_now + m_durationOf(task, worker), m_starts.back());
}

void PlacementCell::onRunClosed(const JobTaskRef &task, const Job &job,
                                const TaskProgress &progress)
{
    m_planner.runClosed(task, job, progress.worker);
    WorkerPool::close(*m_pool.find(progress.worker), task);
}

void PlacementCell::onJobChanged(const JobId &id, const Job &job)
{
    m_planner.jobChanged(m_now, id, job);
    if (job.isOver())
        m_ends.emplace(id, m_now);
}

void PlacementCell::onStepChanged(const StepRef &step, const Job &job)
{
    m_planner.stepChanged(m_now, step, job);
}

void PlacementCell::onStartDecided(const JobTaskRef &task, RunNumber run,
                                   const WorkerIncarnation &worker)
{
    jobstore::apply(m_store, RunOrdered{task, run, worker}, this);
}

} // namespace gentiancross::tests
