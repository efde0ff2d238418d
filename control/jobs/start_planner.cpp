#include "control/jobs/start_planner.h"

#include "control/jobs/run_names.h"
#include "control/jobs/task_fit.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <tuple>

namespace gentiancross {

namespace {

/** A query names enough workers for the step to find free capacity on those approved. */
constexpr std::size_t MinQueriedWorkers = 10;
constexpr std::size_t MaxQueriedWorkers = 28;
/** The workers with a ticket are enough if they could run this many times the waiting tasks once
 * their present runs have ended, since other steps have tickets for them too. */
constexpr std::uint64_t ApprovedRoomFactor = 4;
/** A step that has enough such workers waits this long for them, most of a short run. After that
 * advice is requested for workers that have room now. */
constexpr Milliseconds MaxWaitForApproved{500};
/** Advice is requested for at most this many times the admission limit: further tickets would
 * expire before their starts. */
constexpr std::size_t AdviceAheadFactor = 4;
/** Outweighs data in another rack: a slow worker is used only when no other has free capacity. */
constexpr std::int64_t SlowWorkerCost = 10'000'000;
/** A task prefers a slow worker to the one on which it has failed. */
constexpr std::int64_t FailedWorkerCost = 20'000'000;
/** After this time best-effort runs are stopped for the first start of a task with a latency
 * target. */
constexpr Milliseconds MaxWaitForWorker{2000};

/** The tasks of the step that neither run nor are done. */
std::uint64_t countIdleTasks(const StepRef &ref, const Job &job)
{
    const std::vector<TaskProgress> &tasks = job.occurrences.at(ref.occurrence).steps[ref.step];
    return static_cast<std::uint64_t>(
            std::count_if(tasks.begin(), tasks.end(), [](const TaskProgress &task) {
                return !task.mayStillRun && !task.isDone;
            }));
}

} // namespace

StartPlanner::StartPlanner(const JobStoreData &store, WorkerPool &pool, AdviceCoordinator &advice,
                           StartAdmission &admission, std::unique_ptr<WorkerCostPolicy> costPolicy,
                           std::unique_ptr<StepOrder> order)
    : m_store(store)
    , m_pool(pool)
    , m_advice(advice)
    , m_admission(admission)
    , m_costPolicy(std::move(costPolicy))
    , m_usage(store)
    , m_queue(std::move(order))
    , m_evictor(store, pool, advice)
{}

void StartPlanner::runOpened(const JobTaskRef &task, const Job &job,
                             const WorkerIncarnation &worker)
{
    m_usage.add(job.terms.team, job.spec.steps[task.step.step]);
    m_holds.end(task.step);
    ++m_tasksPerWorker[task.step][worker];
}

void StartPlanner::runClosed(const JobTaskRef &task, const Job &job,
                             const WorkerIncarnation &worker)
{
    markChanged();
    m_usage.remove(job.terms.team, job.spec.steps[task.step.step]);
    const auto found = m_tasksPerWorker.find(task.step);
    if (found == m_tasksPerWorker.end())
        return;
    if (--found->second[worker] == 0)
        found->second.erase(worker);
    if (found->second.empty())
        m_tasksPerWorker.erase(found);
}

void StartPlanner::jobInherited(const JobId &id, const Job &job, Instant arrivedAt)
{
    m_queue.addInherited(id, job, arrivedAt);
}

void StartPlanner::jobChanged(Instant now, const JobId &id, const Job &job)
{
    markChanged();
    m_queue.updateJob(now, id, job);
    if (job.isOver()) {
        m_advice.forgetJob(id);
        m_holds.endJob(id);
    }
}

void StartPlanner::stepChanged(Instant now, const StepRef &step, const Job &job)
{
    markChanged();
    m_queue.updateStep(now, step, job);
}

void StartPlanner::plan(Instant now, StartHandler &handler, Outbox &out)
{
    if (!m_hasChanged && !m_hasDeferredStarts)
        return;
    m_startsLeft = m_admission.availableStarts(now);
    if (!m_hasChanged && m_startsLeft == 0)
        return;
    m_hasChanged = false;
    m_hasDeferredStarts = false;
    m_isAdviceAwaited = false;
    m_queue.updateRanks(now, m_store);
    if (m_queue.steps().empty())
        return;
    AdviceLookahead lookahead(now, m_usage, m_pool);
    // Iterates over a copy, because starts change the set.
    const std::vector<ReadyStep> turns(m_queue.steps().begin(), m_queue.steps().end());
    for (const ReadyStep &ready : turns) {
        const bool isAheadEnough = lookahead.isExhausted()
                || lookahead.claimedTasks() >= m_admission.limit() * AdviceAheadFactor;
        if (m_startsLeft == 0 && isAheadEnough) {
            m_hasDeferredStarts = true;
            return;
        }
        planStep(now, ready, lookahead, handler, out);
    }
}

void StartPlanner::planStep(Instant now, const ReadyStep &ready, AdviceLookahead &lookahead,
                            StartHandler &handler, Outbox &out)
{
    const auto found = m_store.jobs.find(ready.step.job);
    if (found == m_store.jobs.end() || found->second.isOver())
        return;
    const Job &job = found->second;
    const StepSpec &step = job.spec.steps[ready.step.step];
    // Steps that fit no worker stay in the queue, and may be many.
    if (!m_pool.canHold(job.terms.pool, step))
        return;
    const bool isHeldBack = step.isGang ? planGang(now, ready, job, handler)
                                        : planTasks(now, ready, job, handler);
    const std::vector<std::uint32_t> idle = idleTasks(ready.step, ready.reason, job);
    if (idle.empty()) {
        m_queue.updateStep(now, ready.step, job);
        return;
    }
    const bool mayStartSoon = lookahead.claim(job, step, m_advice.adviceFor(now, ready.step),
                                              idle.size(), m_holds.mayHold(now, ready));
    if (mayStartSoon)
        m_holds.recordWaiting(now, ready.step);
    if (!isHeldBack)
        evictBestEffort(now, ready, job, idle.size(), handler, out);
    if (!job.terms.advice.has_value() || !mayStartSoon)
        return;
    // Further tickets would not let it start any earlier.
    if (isHeldBack && hasRoomWithTickets(now, ready.step, job, idle.size()))
        return;
    if (mayRequestAdvice(now, ready))
        requestAdvice(now, ready, job, lookahead.usableWorkers(), out);
}

bool StartPlanner::mayRequestAdvice(Instant now, const ReadyStep &ready)
{
    if (ready.lateness != Lateness::Expired) {
        m_isAdviceAwaited = true;
        return true;
    }
    // Hosts that would be idle may be used. Beyond that one query at a time goes on, since steps
    // that wait for advice need not ever get it.
    const bool isQueryInFlight = m_expiredQuery.has_value() && m_advice.isQuerying(*m_expiredQuery);
    if (m_isAdviceAwaited && isQueryInFlight && !m_advice.hasSpareHosts(now))
        return false;
    m_expiredQuery = ready.step;
    return true;
}

bool StartPlanner::planTasks(Instant now, const ReadyStep &ready, const Job &job,
                             StartHandler &handler)
{
    const StepRef &ref = ready.step;
    const StepSpec &step = job.spec.steps[ref.step];
    const PlacementPreference preference = m_costPolicy->preferenceOf(now, ready, step);
    std::optional<std::vector<PooledWorker *>> workers;
    for (const std::uint32_t index : idleTasks(ref, ready.reason, job)) {
        if (!m_usage.isWithinCap(job.terms.team, step.perTask) || !isAdmitted())
            return true;
        const TaskProgress &task = job.occurrences.at(ref.occurrence).steps[ref.step][index];
        // Running it on another worker shows whether the task or the worker is at fault.
        const WorkerIncarnation *const failedOn = task.failures > 0 ? &task.worker : nullptr;
        if (!workers.has_value())
            workers = findWorkers(now, ref, job);
        const PooledWorker *const worker
                = choose(now, ref, job, *workers, {nullptr, failedOn, {}, preference});
        if (worker == nullptr)
            return false;
        const WorkerIncarnation incarnation = worker->report.incarnation;
        --m_startsLeft;
        handler.onStartDecided({ref, index}, task.lastRun.next(), incarnation);
    }
    return false;
}

bool StartPlanner::planGang(Instant now, const ReadyStep &ready, const Job &job,
                            StartHandler &handler)
{
    const StepRef &ref = ready.step;
    const StepSpec &step = job.spec.steps[ref.step];
    if (!hasIdleTasks(ref, ready.reason, job))
        return false;
    Resources all;
    for (std::uint32_t index = 0; index < step.count; ++index)
        all += step.perTask;
    if (!m_usage.isWithinCap(job.terms.team, all) || !isAdmitted())
        return true;
    const std::map<RackId, std::uint64_t> roomByRack = findGangRoom(now, job, step);
    std::uint64_t room = 0;
    for (const auto &[rack, members] : roomByRack)
        room += members;
    // Placing the members one by one is costly, so it is not tried in vain.
    if (room < step.count)
        return false;
    std::vector<WorkerIncarnation> places;
    bool isPlaced = false;
    if (step.prefersOneRack) {
        for (const auto &[rack, members] : roomByRack)
            isPlaced = isPlaced
                    || (members >= step.count && placeGang(now, ready, job, &rack, places));
    }
    if (!isPlaced && !placeGang(now, ready, job, nullptr, places))
        return false;
    // A gang is never split, even if it exceeds the remaining starts.
    m_startsLeft -= std::min<std::size_t>(m_startsLeft, step.count);
    // All members of a gang share one run number, higher than any earlier number of a member.
    RunNumber last;
    for (const TaskProgress &task : job.occurrences.at(ref.occurrence).steps[ref.step])
        last = std::max(last, task.lastRun);
    for (std::uint32_t index = 0; index < step.count; ++index)
        handler.onStartDecided({ref, index}, last.next(), places[index]);
    return false;
}

void StartPlanner::evictBestEffort(Instant now, const ReadyStep &ready, const Job &job,
                                   std::uint64_t tasks, StartHandler &handler, Outbox &out)
{
    const StepSpec &step = job.spec.steps[ready.step.step];
    // A restart must be at work again soon; a first start may find a worker that becomes free.
    const bool isDue = ready.reason == WaitReason::Restart
            || m_holds.waitedFor(now, ready.step) >= MaxWaitForWorker;
    if (!isDue || step.isGang || !step.hasTailTarget())
        return;
    for (const Eviction &eviction : m_evictor.makeRoom(now, ready.step, job, tasks)) {
        out.note(eviction.task.step.job.value(),
                 absl::StrCat("best-effort run evicted: task=", nameOf(eviction.task), " worker=",
                              eviction.worker.worker.value(), " for_job=", ready.step.job.value()));
        out.count(CellEvent::BestEffortEvicted);
        handler.onEvictionDecided(eviction);
    }
}

bool StartPlanner::hasRoomWithTickets(Instant now, const StepRef &ref, const Job &job,
                                      std::uint64_t tasks)
{
    const StepSpec &step = job.spec.steps[ref.step];
    std::uint64_t room = 0;
    for (const PooledWorker *const worker : findWorkers(now, ref, job)) {
        if (costOn(now, *worker, ref, job, {}).has_value())
            room += step.isBestEffort ? 1 : wholeTasksOnWorker(worker->freeCapacity(), step);
    }
    return room >= tasks;
}

std::map<RackId, std::uint64_t> StartPlanner::findGangRoom(Instant now, const Job &job,
                                                           const StepSpec &step)
{
    std::map<RackId, std::uint64_t> room;
    for (const auto &[incarnation, worker] : m_pool.all()) {
        if (!WorkerPool::isUsable(worker, now) || !couldRunWhenIdle(worker, job.terms.pool, step))
            continue;
        room[worker.report.rack] += wholeTasksOnWorker(worker.freeCapacity(), step);
    }
    return room;
}

bool StartPlanner::isAdmitted()
{
    if (m_startsLeft > 0)
        return true;
    m_hasDeferredStarts = true;
    m_admission.onStartDeferred();
    return false;
}

bool StartPlanner::placeGang(Instant now, const ReadyStep &ready, const Job &job,
                             const RackId *rack, std::vector<WorkerIncarnation> &places)
{
    const StepRef &ref = ready.step;
    const StepSpec &step = job.spec.steps[ref.step];
    const PlacementPreference preference = m_costPolicy->preferenceOf(now, ready, step);
    const std::vector<PooledWorker *> workers = findWorkers(now, ref, job);
    std::map<WorkerIncarnation, std::uint32_t> planned;
    places.clear();
    while (places.size() < step.count) {
        PooledWorker *const worker
                = choose(now, ref, job, workers, {rack, nullptr, planned, preference});
        if (worker == nullptr)
            break;
        places.push_back(worker->report.incarnation);
        ++planned[worker->report.incarnation];
        // Reserved until the whole gang is placed or the attempt is abandoned.
        worker->reserved += step.reserved();
    }
    for (const WorkerIncarnation &incarnation : places)
        m_pool.find(incarnation)->reserved -= step.reserved();
    return places.size() == step.count;
}

std::vector<PooledWorker *> StartPlanner::findWorkers(Instant now, const StepRef &ref,
                                                      const Job &job)
{
    std::vector<PooledWorker *> workers;
    const auto consider = [&](PooledWorker &worker) {
        if (worker.report.pool == job.terms.pool && WorkerPool::isUsable(worker, now))
            workers.push_back(&worker);
    };
    if (!job.terms.advice.has_value()) {
        for (auto &[incarnation, worker] : m_pool.all())
            consider(worker);
        return workers;
    }
    // Only the workers with a ticket may run it, which are few in a large pool.
    m_advice.adviceFor(now, ref).forEachTicketHolder([&](const WorkerId &name) {
        if (PooledWorker *const worker = m_pool.findNewestIncarnation(name))
            consider(*worker);
    });
    return workers;
}

PooledWorker *StartPlanner::choose(Instant now, const StepRef &ref, const Job &job,
                                   const std::vector<PooledWorker *> &workers,
                                   const PlacementConstraints &constraints)
{
    PooledWorker *best = nullptr;
    std::int64_t bestCost = 0;
    for (PooledWorker *const worker : workers) {
        const std::optional<std::int64_t> cost = costOn(now, *worker, ref, job, constraints);
        if (cost.has_value() && (best == nullptr || *cost < bestCost)) {
            best = worker;
            bestCost = *cost;
        }
    }
    return best;
}

std::optional<std::int64_t> StartPlanner::costOn(Instant now, const PooledWorker &worker,
                                                 const StepRef &ref, const Job &job,
                                                 const PlacementConstraints &constraints)
{
    const StepSpec &step = job.spec.steps[ref.step];
    const WorkerIncarnation &incarnation = worker.report.incarnation;
    if (!canRunOn(worker, step))
        return std::nullopt;
    if (step.isBestEffort && now < worker.keptFromBestEffortUntil)
        return std::nullopt;
    if (constraints.rack != nullptr && worker.report.rack != *constraints.rack)
        return std::nullopt;
    if (step.maxPerWorker > 0) {
        const auto spread = m_tasksPerWorker.find(ref);
        const auto more = constraints.planned.find(incarnation);
        std::uint32_t here = more == constraints.planned.end() ? 0 : more->second;
        if (spread != m_tasksPerWorker.end() && spread->second.contains(incarnation))
            here += spread->second.at(incarnation);
        if (here >= step.maxPerWorker)
            return std::nullopt;
    }
    std::int64_t cost = m_costPolicy->cost(worker, step)
            + m_costPolicy->preferenceCost(worker, constraints.preference);
    if (isSlow(worker.pace, m_pool.averagePace()))
        cost += SlowWorkerCost;
    if (constraints.failedOn != nullptr && *constraints.failedOn == incarnation)
        cost += FailedWorkerCost;
    return cost;
}

void StartPlanner::requestAdvice(Instant now, const ReadyStep &ready, const Job &job,
                                 const std::vector<const PooledWorker *> &usable, Outbox &out)
{
    const StepRef &ref = ready.step;
    if (!m_advice.canQuery(now, ref, *job.terms.advice))
        return;
    const StepSpec &step = job.spec.steps[ref.step];
    const PlacementPreference preference = m_costPolicy->preferenceOf(now, ready, step);
    const std::uint64_t idle = countIdleTasks(ref, job);
    std::uint64_t approved = 0;
    for (const PooledWorker *const worker : findWorkers(now, ref, job))
        approved += wholeTasksOnWorker(worker->capacityBesideLongRunning(), step);
    const bool hasEnoughApproved = approved >= idle * ApprovedRoomFactor;
    if (hasEnoughApproved && m_holds.waitedFor(now, ref) < MaxWaitForApproved)
        return;
    const Advice advice = m_advice.adviceFor(now, ref);
    std::vector<std::pair<std::int64_t, const WorkerId *>> candidates;
    for (const PooledWorker *const each : usable) {
        const PooledWorker &worker = *each;
        const WorkerId &name = worker.report.incarnation.worker;
        const bool isFree = canRunOn(worker, step);
        if (!couldRunWhenIdle(worker, job.terms.pool, step) || (hasEnoughApproved && !isFree)
            || advice.isUnsuitable(name) || advice.ticket(name) != nullptr)
            continue;
        const std::int64_t far
                = !step.dataRack.empty() && worker.report.rack.value() != step.dataRack ? 1 : 0;
        const bool slow = isSlow(worker.pace, m_pool.averagePace());
        const std::int64_t unfit = (isFree ? 0 : 1) + (slow ? 2 : 0);
        constexpr std::int64_t Rank = 1'000'000'000;
        candidates.emplace_back((far + unfit) * Rank
                                        + m_costPolicy->preferenceCost(worker, preference)
                                        - worker.freeCapacity().cores.value(),
                                &name);
    }
    if (candidates.empty())
        return;
    const std::size_t wanted = std::min(
            std::clamp<std::size_t>(std::size_t(idle) * 2, MinQueriedWorkers, MaxQueriedWorkers),
            candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + std::ptrdiff_t(wanted),
                      candidates.end(), [](const auto &first, const auto &second) {
                          return std::tie(first.first, *first.second)
                                  < std::tie(second.first, *second.second);
                      });
    std::vector<WorkerId> workers;
    for (std::size_t index = 0; index < wanted; ++index)
        workers.push_back(*candidates[index].second);
    m_advice.query(now, ref, *job.terms.advice, std::move(workers), out);
}

} // namespace gentiancross
