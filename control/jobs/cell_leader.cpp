#include "control/jobs/cell_leader.h"

#include "control/jobs/heartbeat_check.h"
#include "control/placement/speed_cost_policy.h"
#include "core/job_size.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace gentiancross {

namespace {

/** Upper bound for the age of an inherited job, since wall clocks can jump. */
constexpr Milliseconds MaxInheritedAge{60'000};

} // namespace

CellLeader::CellLeader(Instant now, LeaderOptions options, JobStoreData store)
    : m_options(std::move(options))
    , m_now(now)
    , m_store(std::move(store))
    , m_storedWork(m_options.storedWork)
    , m_pool(now)
    , m_advice(m_options.self, AdviceRequestId(m_options.fence.value() << IdBitsPerFence))
    , m_callHandler(m_store, m_storedWork, *this)
    , m_evacuations(now, m_options.dataCentres, m_store, m_pool, *this)
    , m_admission(std::make_unique<DelayAdmission>(AdmissionSettings{.validity = OrderValidity}))
    , m_runs(m_options.fence, m_store, m_pool, m_advice, *m_admission, *this)
    , m_planner(m_store, m_pool, m_advice, *m_admission, std::make_unique<SpeedCostPolicy>(),
                std::make_unique<DeadlineStepOrder>())
{
    m_loggedLimit = m_admission->limit();
    Milliseconds newest;
    for (const auto &[id, job] : m_store.jobs)
        newest = std::max(newest, job.acceptedAt);
    std::set<WorkerId> leftNames;
    for (const WorkerIncarnation &left : m_store.leftWorkers)
        leftNames.insert(left.worker);
    for (const auto &[incarnation, report] : m_store.workers) {
        PooledWorker &worker = m_pool.addOrUpdate(now, report);
        worker.nextLeaseRenewal = now;
        worker.isNameReused = leftNames.contains(incarnation.worker);
    }
    for (const auto &[id, job] : m_store.jobs) {
        for (const auto &[number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const std::vector<TaskProgress> &tasks = occurrence.steps[step];
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    if (!tasks[index].mayStillRun)
                        continue;
                    const JobTaskRef task{{id, number, step}, index};
                    onRunOpened(task, job, tasks[index]);
                    PooledWorker *const worker = m_pool.find(tasks[index].worker);
                    if (worker == nullptr)
                        continue;
                    // An earlier leader sent the start. A worker that has seen this leader's fence
                    // rejects it, but the worker's next incarnation has seen no fence.
                    OpenRun &run = worker->runs.at(task);
                    run.wasSent = true;
                    run.isInherited = true;
                    run.wasAcknowledged = true;
                    run.mayArriveLate = true;
                    run.startCopies.add(now);
                }
            }
        }
        m_planner.jobInherited(id, job, estimateArrival(job, newest));
        m_callHandler.inherit(id, job);
        onJobChanged(id, job);
    }
}

Instant CellLeader::estimateArrival(const Job &job, Milliseconds newest) const
{
    return m_now - std::min(newest - job.acceptedAt, MaxInheritedAge);
}

void CellLeader::apply(JobRecord record)
{
    jobstore::apply(m_store, record, this);
    if (const auto *const ended = std::get_if<EvacuationEnded>(&record))
        m_decisions.endedEvacuations.push_back(ended->dataCentre);
    m_decisions.records.push_back(std::move(record));
}

void CellLeader::onRunBegun(const JobTaskRef &task)
{
    m_callHandler.recordBegun(task.step.job);
}

void CellLeader::onRunTimed(PooledWorker &worker, const JobTaskRef &task, const OpenRun &,
                            Milliseconds taken)
{
    const StepSpec &step = m_store.jobs.at(task.step.job).spec.steps[task.step.step];
    m_speeds.addRun(m_now, worker, task.step, step, taken);
}

void CellLeader::acknowledgeEnds(const WorkerIncarnation &incarnation, CompletionNumber number)
{
    m_decisions.acknowledgedEnds[incarnation] = number;
    if (!m_decisions.firstEndAt.has_value())
        m_decisions.firstEndAt = m_now;
}

void CellLeader::answer(const CallOrigin &origin, CallAnswer answer)
{
    m_decisions.answers.push_back({origin, std::move(answer)});
}

void CellLeader::onRunOpened(const JobTaskRef &task, const Job &job, const TaskProgress &progress)
{
    const StepSpec &step = job.spec.steps[task.step.step];
    m_planner.runOpened(task, job, progress.worker);
    PooledWorker *const worker = m_pool.find(progress.worker);
    if (worker == nullptr)
        return;
    OpenRun run;
    run.run = progress.lastRun;
    run.reserved = step.reserved();
    run.requested = step.perTask;
    run.hasTailTarget = step.hasTailTarget();
    run.isBestEffort = step.isBestEffort;
    run.isLongRunning = step.isLongRunning;
    run.needsTicket = job.terms.advice.has_value();
    run.shouldLapse = WorkerPool::shouldLapse(*worker, step);
    WorkerPool::open(*worker, task, std::move(run));
}

void CellLeader::onRunClosed(const JobTaskRef &task, const Job &job, const TaskProgress &progress)
{
    m_planner.runClosed(task, job, progress.worker);
    if (PooledWorker *const worker = m_pool.find(progress.worker))
        WorkerPool::close(*worker, task);
}

void CellLeader::onJobChanged(const JobId &id, const Job &job)
{
    m_callHandler.updateWaiting(id, job);
    m_storedWork.set(id, job.terms.team, storedBytes(job));
    if (!job.isOver() && !m_planner.knowsJob(id)) {
        m_shares.update(m_now, m_store.document);
        m_planner.jobArrived(id, job, m_shares.recordArrival(m_now, job.terms.team));
    }
    if (job.occurrencesBegun < job.spec.repeats && !job.isOver())
        m_repeatingJobs.insert(id);
    else
        m_repeatingJobs.erase(id);
    m_planner.jobChanged(m_now, id, job);
    if (job.isOver() && m_endedIds.insert(id).second)
        m_endedJobs.emplace_back(m_now, id);
}

void CellLeader::onStartDecided(const JobTaskRef &task, RunNumber run,
                                const WorkerIncarnation &worker)
{
    apply(RunOrdered{task, run, worker});
    m_decisions.starts.push_back({task, run});
    if (!m_decisions.firstStartAt.has_value())
        m_decisions.firstStartAt = m_now;
}

void CellLeader::onEvictionDecided(const Eviction &eviction)
{
    m_runs.requestStop(m_now, eviction.worker, eviction.task);
}

void CellLeader::receive(Instant now, Milliseconds wall, const CallOrigin &origin,
                         const CellCall &call, Outbox &out)
{
    m_now = now;
    std::visit([&](const auto &typed) { handle(now, wall, origin, typed, out); }, call);
}

void CellLeader::receive(Instant now, const WorkerAnswer &answer, Outbox &out)
{
    m_now = now;
    m_runs.receive(now, answer, out);
}

void CellLeader::startReady(Instant now, Outbox &out)
{
    m_now = now;
    m_planner.plan(now, *this, out);
}

void CellLeader::handle(Instant, Milliseconds wall, const CallOrigin &origin, const JobCall &call,
                        Outbox &out)
{
    m_callHandler.handle(wall, origin, call, out);
}

void CellLeader::handle(Instant, Milliseconds, const CallOrigin &origin,
                        const PutConfiguration &call, Outbox &out)
{
    m_callHandler.handle(origin, call, out);
    m_planner.markChanged();
}

void CellLeader::handle(Instant, Milliseconds, const CallOrigin &origin,
                        const GetConfiguration &call, Outbox &)
{
    m_callHandler.handle(origin, call);
}

void CellLeader::handle(Instant now, Milliseconds, const CallOrigin &origin,
                        const BeginEvacuation &call, Outbox &out)
{
    m_evacuations.handle(now, origin, call, out);
    m_planner.markChanged();
}

void CellLeader::handle(Instant now, Milliseconds, const CallOrigin &origin,
                        const EndEvacuation &call, Outbox &out)
{
    m_evacuations.handle(now, origin, call, out);
}

void CellLeader::handle(Instant, Milliseconds, const CallOrigin &origin, const ListEvacuations &,
                        Outbox &)
{
    m_evacuations.list(origin);
}

void CellLeader::handle(Instant now, Milliseconds wall, const CallOrigin &origin,
                        const WorkerHeartbeat &call, Outbox &out)
{
    const WorkerIncarnation &incarnation = call.report.incarnation;
    const HeartbeatAccepted taken{m_options.heartbeatAddress};
    PooledWorker *worker = m_pool.find(incarnation);
    const bool isNew = worker == nullptr;
    if (isNew && (hasLeft(incarnation) || m_pool.isSuperseded(call.report))) {
        out.note(incarnation.worker.value(), "late heartbeat ignored: the incarnation is over");
        answer(origin, taken);
        return;
    }
    const bool isContested = isNew && !m_pool.conflictsWith(call.report).empty();
    if (isContested && !heartbeatcheck::isPlausibleBirth(incarnation.born, wall)) {
        refuse(origin, incarnation, "its birth is in the future", out);
        return;
    }
    if (!isNew && !heartbeatcheck::isSamePlace(*worker, call.report)) {
        refuse(origin, incarnation, "it changes the address, pool or data centre", out);
        return;
    }
    if (!isNew && call.sequence <= worker->lastSequence && worker->lastSequence != 0) {
        answer(origin, taken);
        return;
    }
    if (!isNew
        && !heartbeatcheck::isPlausibleSequence(worker->lastSequence, call.sequence,
                                                now - worker->lastHeartbeat)) {
        refuse(origin, incarnation, "its sequence number jumps", out);
        return;
    }
    WorkerReport report = call.report;
    report.isDraining = report.isDraining || (!isNew && worker->report.isDraining);
    const bool changed = isNew || worker->report.isDraining != report.isDraining
            || !(worker->report.capacity == report.capacity)
            || worker->report.labels != report.labels;
    if (changed) {
        out.note(incarnation.worker.value(),
                 absl::StrCat(isNew ? "worker registered" : "worker updated",
                              ": address=", report.address, " draining=", report.isDraining));
        // A successor must not use what may be another writer's.
        if (!isContested && (isNew || !worker->isClaim()))
            apply(WorkerReported{report});
    }
    worker = &m_pool.addOrUpdate(now, report);
    if (changed || !worker->isAnnounced)
        m_planner.markChanged();
    worker->isAnnounced = true;
    worker->lastHeartbeat = now;
    worker->lastSequence = call.sequence;
    recordClock(*worker, now, call.clock, out);
    if (isContested)
        m_runs.verifyClaim(now, *worker, out);
    else if (isNew && isNameReused(incarnation))
        m_runs.verifySuccessor(now, *worker, out);
    answer(origin, taken);
}

void CellLeader::refuse(const CallOrigin &origin, const WorkerIncarnation &incarnation,
                        const char *reason, Outbox &out)
{
    out.add(LogLine{
            true, incarnation.worker.value(),
            absl::StrCat("heartbeat refused: ", reason, ": born=", incarnation.born.value())});
    out.count(CellEvent::WorkerMessageRefused);
    answer(origin, CallRefused{Refusal::Malformed, reason, {}});
}

void CellLeader::recordClock(PooledWorker &worker, Instant at, std::int64_t clock, Outbox &out)
{
    // Leases of open runs end by the clock in the worker's own answers only.
    if (worker.clock.has_value() && !worker.runs.empty())
        return;
    if (heartbeatcheck::isPlausibleClock(worker, at, clock))
        WorkerPool::advanceClock(worker, at, clock);
    else
        out.add(LogLine{true, worker.report.incarnation.worker.value(),
                        absl::StrCat("clock of a heartbeat ignored: clock=", clock,
                                     " last=", *worker.clock)});
}

bool CellLeader::hasLeft(const WorkerIncarnation &incarnation) const
{
    const std::vector<WorkerIncarnation> &left = m_store.leftWorkers;
    return std::find(left.begin(), left.end(), incarnation) != left.end();
}

bool CellLeader::isNameReused(const WorkerIncarnation &incarnation)
{
    const std::vector<WorkerIncarnation> &left = m_store.leftWorkers;
    const auto isOther = [&incarnation](const WorkerIncarnation &other) {
        return other.worker == incarnation.worker && other != incarnation;
    };
    return m_pool.wasRemoved(incarnation.worker) || std::any_of(left.begin(), left.end(), isOther)
            || std::any_of(m_pool.all().begin(), m_pool.all().end(),
                           [&isOther](const auto &entry) { return isOther(entry.first); });
}

UnknownIncarnationsReport CellLeader::receive(Instant now, const HeartbeatsReport &seen,
                                              Outbox &out)
{
    UnknownIncarnationsReport unknown;
    for (const AcknowledgedHeartbeat &heartbeat : seen.heartbeats) {
        PooledWorker *const worker = m_pool.find(heartbeat.incarnation);
        if (worker == nullptr || !worker->isAnnounced) {
            unknown.incarnations.push_back(heartbeat.incarnation);
            continue;
        }
        if (heartbeat.sequence <= worker->lastSequence)
            continue;
        if (!heartbeatcheck::isPlausibleSequence(worker->lastSequence, heartbeat.sequence,
                                                 now - worker->lastHeartbeat)) {
            out.add(LogLine{true, heartbeat.incarnation.worker.value(),
                            "heartbeat ignored: its sequence number jumps"});
            continue;
        }
        worker->lastSequence = heartbeat.sequence;
        const Instant sentAt = now - std::max(heartbeat.age, Milliseconds(0));
        worker->lastHeartbeat = std::max(worker->lastHeartbeat, sentAt);
        recordClock(*worker, sentAt, heartbeat.clock, out);
    }
    return unknown;
}

void CellLeader::handle(Instant now, Milliseconds, const CallOrigin &origin,
                        const WorkerLeave &call, Outbox &out)
{
    std::vector<WorkerIncarnation> ended;
    for (const auto &[incarnation, worker] : m_pool.all()) {
        // A worker leaves only after draining; otherwise the call is from an earlier incarnation.
        if (incarnation.worker == call.worker && worker.report.isDraining && !worker.isClaim())
            ended.push_back(incarnation);
    }
    for (const WorkerIncarnation &incarnation : ended) {
        // The call names no incarnation, so it may be a late one of the former. If it is not, the
        // runs end with the lease.
        if (isNameReused(incarnation)) {
            out.add(LogLine{true, incarnation.worker.value(),
                            "leave ignored: the name has been used before"});
            out.count(CellEvent::WorkerMessageRefused);
            continue;
        }
        if (m_pool.find(incarnation)->mayStartRunInNextIncarnation(now)) {
            out.note(incarnation.worker.value(),
                     "leave deferred: a start may still arrive, and its runs end with the lease");
            continue;
        }
        m_runs.endIncarnation(incarnation, "it has left the cell", out);
        apply(WorkerLeft{incarnation});
    }
    answer(origin, CallDone{});
}

void CellLeader::tick(Instant now, Milliseconds wall, Outbox &out)
{
    m_now = now;
    m_advice.tick(now, out);
    beginDueOccurrences(wall);
    forgetExpiredJobs();
    m_runs.tick(now, out);
    m_speeds.tick(now, m_pool, out);
    m_evacuations.tick(now, out);
    logAdmissionLimit(out);
    m_storedWorkLog.tick(now, m_storedWork, out);
    // Workers become usable again and tickets expire with time, without any event.
    m_planner.markChanged();
}

bool CellLeader::canBeginOccurrence(const Job &job) const
{
    std::uint64_t tasks = 0;
    for (const StepSpec &step : job.spec.steps)
        tasks += step.count;
    const std::uint64_t underWay = job.occurrencesBegun - job.occurrencesDone;
    return (underWay + 1) * tasks <= MaxTasksPerJob
            && m_storedWork.check(job.terms.team, occurrenceBytes(job.spec))
            == AdmissionVerdict::Accept;
}

void CellLeader::logAdmissionLimit(Outbox &out)
{
    const std::size_t limit = m_admission->limit();
    if (limit == m_loggedLimit)
        return;
    out.add(LogLine{limit < m_loggedLimit, "leader",
                    absl::StrCat("limit of concurrent starts changed: limit=", limit,
                                 " before=", m_loggedLimit)});
    m_loggedLimit = limit;
}

void CellLeader::beginDueOccurrences(Milliseconds wall)
{
    const std::set<JobId> timed = m_repeatingJobs;
    for (const JobId &id : timed) {
        const Job &job = m_store.jobs.at(id);
        const Milliseconds due
                = job.spec.firstDue + job.spec.period * std::int64_t(job.occurrencesBegun);
        if (wall >= due && canBeginOccurrence(job))
            apply(OccurrenceBegun{id});
    }
}

void CellLeader::forgetExpiredJobs()
{
    JobsForgotten forgotten;
    while (!m_endedJobs.empty() && m_now - m_endedJobs.front().first > m_options.jobRetention) {
        const JobId id = std::move(m_endedJobs.front().second);
        m_endedJobs.pop_front();
        const auto job = m_store.jobs.find(id);
        if (job == m_store.jobs.end())
            continue;
        if (jobstore::hasOpenRun(job->second) || m_pool.hasUnacknowledgeableEndOf(id)) {
            m_endedJobs.emplace_back(m_now, id);
            continue;
        }
        m_endedIds.erase(id);
        forgotten.jobs.push_back(id);
    }
    for (const JobId &id : forgotten.jobs)
        m_storedWork.remove(id);
    if (!forgotten.jobs.empty())
        apply(std::move(forgotten));
    std::optional<Milliseconds> untilRelease;
    if (!m_endedJobs.empty())
        untilRelease = m_endedJobs.front().first + m_options.jobRetention - m_now;
    m_storedWork.setNextRelease(untilRelease);
}

std::pair<PooledWorker *, OpenRun *> CellLeader::findUnsentRun(const DecidedStart &start)
{
    const TaskProgress *const progress = jobstore::find(m_store, start.task);
    if (progress == nullptr || !progress->mayStillRun)
        return {};
    PooledWorker *const worker = m_pool.find(progress->worker);
    if (worker == nullptr)
        return {};
    const auto run = worker->runs.find(start.task);
    if (run == worker->runs.end() || run->second.run != start.run || run->second.wasSent)
        return {};
    return {worker, &run->second};
}

bool CellLeader::canSendStart(Instant now, const DecidedStart &start)
{
    const JobTaskRef &task = start.task;
    const auto [worker, run] = findUnsentRun(start);
    if (run == nullptr || !m_runs.isWanted(task) || worker->isOnlyPolled()
        || worker->hasUnexpectedRun || worker->isEvacuated)
        return false;
    if (!m_store.jobs.at(task.step.job).terms.advice.has_value())
        return true;
    const std::string *const ticket
            = m_advice.adviceFor(now, task.step).ticketToSend(worker->report.incarnation.worker);
    if (ticket == nullptr)
        return false;
    run->ticket = *ticket;
    return true;
}

void CellLeader::carryOut(Instant now, const DecisionBatch &decisions, Outbox &out)
{
    m_now = now;
    if (decisions.firstStartAt.has_value())
        out.measure(SpanMeasured{Span::StartDurable, now - *decisions.firstStartAt});
    if (decisions.firstEndAt.has_value())
        out.measure(SpanMeasured{Span::EndDurable, now - *decisions.firstEndAt});
    for (const DataCentreId &dataCentre : decisions.endedEvacuations) {
        m_evacuations.recordEndDurable(dataCentre);
        m_planner.markChanged();
    }
    // An acknowledgement waits for the starts before it, so it goes ahead of these.
    for (const auto &[incarnation, number] : decisions.acknowledgedEnds) {
        PooledWorker *const worker = m_pool.find(incarnation);
        if (worker == nullptr)
            continue;
        worker->acknowledgedEnd = std::max(worker->acknowledgedEnd, number);
        m_runs.sendDueOrders(now, *worker, out);
    }
    std::set<std::pair<StepRef, RunNumber>> incompleteGangs;
    for (const DecidedStart &start : decisions.starts) {
        const StepRef &step = start.task.step;
        const auto job = m_store.jobs.find(step.job);
        if (job != m_store.jobs.end() && job->second.spec.steps[step.step].isGang
            && !canSendStart(now, start))
            incompleteGangs.emplace(step, start.run);
    }
    std::set<WorkerIncarnation> touched;
    for (const DecidedStart &start : decisions.starts) {
        const JobTaskRef &task = start.task;
        const auto [worker, run] = findUnsentRun(start);
        if (run == nullptr)
            continue;
        const WorkerIncarnation incarnation = worker->report.incarnation;
        if (incompleteGangs.contains({task.step, start.run}) || !canSendStart(now, start)) {
            // The order has not left this host, so there is nothing to stop.
            if (worker->isEvacuated)
                out.count(CellEvent::EvacuatedStartAbandoned);
            m_runs.endRun(incarnation, task, RunEnding::NotStarted, out);
            continue;
        }
        out.count(run->run == RunNumber(1) ? CellEvent::FirstStart : CellEvent::LaterStart);
        m_runs.orderStart(now, *worker, task, out);
        touched.insert(incarnation);
    }
    for (const WorkerIncarnation &incarnation : touched) {
        if (PooledWorker *const worker = m_pool.find(incarnation))
            m_runs.sendDueOrders(now, *worker, out);
    }
}

} // namespace gentiancross
