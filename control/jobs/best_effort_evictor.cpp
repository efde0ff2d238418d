#include "control/jobs/best_effort_evictor.h"

#include "control/jobs/start_policy.h"
#include "control/jobs/task_fit.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** Covers a stop, a commit and a new answer of the adviser. */
constexpr Milliseconds KeepTime{3000};

} // namespace

BestEffortEvictor::BestEffortEvictor(const JobStoreData &store, WorkerPool &pool,
                                     AdviceCoordinator &advice)
    : m_store(store)
    , m_pool(pool)
    , m_advice(advice)
{}

std::vector<Eviction> BestEffortEvictor::makeRoom(Instant now, const StepRef &ref, const Job &job,
                                                  std::uint64_t tasks)
{
    const StepSpec &step = job.spec.steps[ref.step];
    std::uint64_t room = 0;
    std::vector<PooledWorker *> candidates;
    for (PooledWorker *const worker : findWorkers(now, ref, job)) {
        const std::uint64_t here = roomOn(*worker, step);
        if (now < worker->keptFromBestEffortUntil)
            room += here;
        else if (here > 0)
            candidates.push_back(worker);
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const PooledWorker *first, const PooledWorker *second) {
                  return first->bestEffortCores < second->bestEffortCores;
              });
    std::vector<Eviction> evictions;
    for (PooledWorker *const worker : candidates) {
        if (room >= tasks)
            break;
        room += roomOn(*worker, step);
        worker->keptFromBestEffortUntil = now + KeepTime;
        for (const auto &[task, run] : worker->runs) {
            if (run.isBestEffort)
                evictions.push_back({task, worker->report.incarnation});
        }
    }
    return evictions;
}

std::vector<PooledWorker *> BestEffortEvictor::findWorkers(Instant now, const StepRef &ref,
                                                           const Job &job)
{
    const StepSpec &step = job.spec.steps[ref.step];
    const Advice advice = m_advice.adviceFor(now, ref);
    std::vector<PooledWorker *> workers;
    for (auto &[incarnation, worker] : m_pool.all()) {
        const bool isApproved
                = !job.terms.advice.has_value() || advice.ticket(incarnation.worker) != nullptr;
        if (isApproved && WorkerPool::isUsable(worker, now)
            && WorkerPool::canAcceptRun(worker, step)
            && couldRunWhenIdle(worker, job.terms.pool, step))
            workers.push_back(&worker);
    }
    return workers;
}

std::uint64_t BestEffortEvictor::roomOn(const PooledWorker &worker, const StepSpec &step) const
{
    Resources free = worker.freeCapacity();
    for (const auto &[task, run] : worker.runs) {
        if (!run.isBestEffort)
            continue;
        if (!mayStop(task, run))
            return 0;
        free += run.reserved;
    }
    return wholeTasksOnWorker(free, step);
}

bool BestEffortEvictor::mayStop(const JobTaskRef &task, const OpenRun &run) const
{
    const StepSpec &step = m_store.jobs.at(task.step.job).spec.steps[task.step.step];
    return run.wasSent && step.disruptionBudget == 0;
}

} // namespace gentiancross
