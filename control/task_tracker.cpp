#include "control/task_tracker.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** A failure sooner than this after the order counts against the worker. */
constexpr Milliseconds FastFailureLimit{1000};
constexpr Milliseconds RefreshInterval{500};
/** Time that a call may take beyond the deadline of its request. */
constexpr Milliseconds CallTimeoutMargin{500};
/** Time within which a worker answers the order to start a task of a job. */
constexpr Milliseconds StartOrderTimeout{3000};
constexpr char DeadlinePassedReason[] = "the deadline passed before the start";

TaskId taskIdOf(const TaskRef &task, std::uint32_t attempt)
{
    return TaskId(task.request.value() + '/' + std::to_string(task.task) + '/'
                  + std::to_string(attempt));
}

} // namespace

TaskTracker::TaskTracker(Epoch epoch, Scheduler &scheduler, RecordWriter &records,
                         TaskObserver &observer, std::uint64_t &lastCall)
    : m_epoch(epoch)
    , m_scheduler(scheduler)
    , m_records(records)
    , m_observer(observer)
    , m_lastCall(lastCall)
    , m_workers(epoch)
{}

TaskTracker::Run &TaskTracker::insert(const TaskStart &start)
{
    Run &run = m_runs[start.task];
    run.start = start;
    run.id = taskIdOf(start.task, start.attempt);
    m_byId[run.id] = start.task;
    m_byWorker[start.worker].insert(start.task);
    return run;
}

void TaskTracker::adopt(Instant now, const TaskStart &start)
{
    Run &run = insert(start);
    run.phase = Phase::Uncertain;
    // By then every lease granted by the former authority has expired on any clock.
    run.adoptedUntil = now + withDrift(withDrift(TaskLease + StartOrderMaxAge));
    m_scheduler.reserve(start.team, start.worker, start.resources, start.lifetime);
}

void TaskTracker::start(const TaskStart &start, Outbox &out)
{
    Run &run = insert(start);
    const WorkerState *worker = m_workers.find(start.worker);
    if (worker != nullptr)
        run.session = worker->last.session;
    const RecordSequence sequence
            = m_records.append(TaskStarting{start.task.request, start.task.task, start.attempt,
                                            start.worker, start.decidedAtWall, start.waitedFor},
                               out);
    m_unsentStarts.push_back({sequence, start.task, start.attempt});
}

void TaskTracker::sendPromised(Instant now, RecordSequence promised, Instant leaseEnd, Outbox &out)
{
    while (!m_unsentStarts.empty() && m_unsentStarts.front().sequence <= promised
           && now < leaseEnd) {
        const UnsentStart unsent = m_unsentStarts.front();
        m_unsentStarts.pop_front();
        const auto found = m_runs.find(unsent.task);
        if (found == m_runs.end() || found->second.start.attempt != unsent.attempt)
            continue;
        sendOrder(now, found->second, leaseEnd, out);
    }
}

void TaskTracker::sendOrder(Instant now, Run &run, Instant leaseEnd, Outbox &out)
{
    const WorkerState *worker = m_workers.find(run.start.worker);
    const bool isSameSession = worker != nullptr && worker->last.session == run.session;
    const bool isLate = run.start.answerWithResult && now >= run.start.deadline;
    if (!isSameSession || run.isStopRequested || isLate) {
        const std::string reason = isLate ? DeadlinePassedReason : "the worker went away";
        end(now, run.start.task, {HasRun::No, false, nullptr, reason}, out);
        return;
    }
    const Instant workerClock = worker->workerClockLowerBound(now);
    run.notAfter = workerClock + StartOrderMaxAge;
    run.leaseUntil = workerClock + TaskLease;
    run.phase = Phase::Ordered;
    run.call = CallId(++m_lastCall);
    run.orderedAt = now;
    m_calls[run.call] = run.start.task;
    ++m_openCalls[run.start.worker];
    ++m_startsSent;
    const Milliseconds timeout = run.start.answerWithResult
            ? run.start.deadline - now + CallTimeoutMargin
            : StartOrderTimeout;
    StartOrder order{run.id,
                     run.start.team,
                     m_epoch,
                     run.session,
                     run.notAfter,
                     run.leaseUntil,
                     run.start.resources,
                     run.start.answerWithResult,
                     run.start.payload};
    out.add(StartTask{run.call, worker->last.address, run.start.worker, std::move(order), leaseEnd,
                      timeout});
    refreshWorker(now, run.start.worker);
}

void TaskTracker::stop(const TaskRef &task)
{
    const auto found = m_runs.find(task);
    if (found != m_runs.end())
        found->second.isStopRequested = true;
}

void TaskTracker::stopAll(const RequestId &request)
{
    // The tasks of a request are adjacent in the map.
    for (auto run = m_runs.lower_bound({request, 0});
         run != m_runs.end() && run->first.request == request; ++run)
        run->second.isStopRequested = true;
}

bool TaskTracker::tracksAnyOf(const RequestId &request) const
{
    const auto run = m_runs.lower_bound({request, 0});
    return run != m_runs.end() && run->first.request == request;
}

void TaskTracker::endUnsent(Instant now, const TaskRef &task, Outbox &out)
{
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.phase == Phase::Recorded)
        end(now, task, {HasRun::No, false, nullptr, DeadlinePassedReason}, out);
}

void TaskTracker::reclaim(const TaskRef &task, ReclaimStep step)
{
    const auto found = m_runs.find(task);
    if (found != m_runs.end())
        found->second.reclaim = step;
}

void TaskTracker::visitRunning(
        const TeamId &team,
        const std::function<void(const TaskRef &, const WorkerId &, Instant)> &visit) const
{
    for (const auto &[task, run] : m_runs) {
        if (run.phase == Phase::Running && run.start.team == team)
            visit(task, run.start.worker, run.orderedAt);
    }
}

bool TaskTracker::isRunning(const TaskRef &task) const
{
    const auto found = m_runs.find(task);
    return found != m_runs.end() && found->second.phase == Phase::Running;
}

bool TaskTracker::callEnded(Instant now, const CallEnded &event, Outbox &out)
{
    const auto found = m_calls.find(event.call);
    if (found == m_calls.end())
        return false;
    const TaskRef task = found->second;
    m_calls.erase(found);
    const auto held = m_runs.find(task);
    if (held == m_runs.end() || held->second.call != event.call)
        return true;
    Run &run = held->second;
    --m_openCalls[run.start.worker];
    run.call = CallId();
    refreshWorker(now, run.start.worker);
    const std::string reason(event.error.message());
    if (event.outcome == CallOutcome::NotSent || event.outcome == CallOutcome::Refused) {
        end(now, task, {HasRun::No, false, nullptr, reason}, out);
    } else if (event.outcome == CallOutcome::Broken) {
        run.phase = Phase::Uncertain;
        m_observer.taskAnswerLost(now, task, out);
    } else if (run.start.answerWithResult) {
        end(now, task, {HasRun::Yes, event.httpStatus == 200, event.body, reason}, out);
    } else {
        run.phase = Phase::Running;
    }
    return true;
}

void TaskTracker::end(Instant now, const TaskRef &name, const TaskEnd &end, Outbox &out)
{
    const auto found = m_runs.find(name);
    const Run run = found->second;
    // \a name usually refers into the run that is erased below.
    const TaskRef &task = run.start.task;
    m_runs.erase(found);
    m_byId.erase(run.id);
    const auto onWorker = m_byWorker.find(run.start.worker);
    onWorker->second.erase(task);
    if (onWorker->second.empty())
        m_byWorker.erase(onWorker);
    if (run.call != CallId()) {
        m_calls.erase(run.call);
        --m_openCalls[run.start.worker];
    }
    m_scheduler.release(run.start.team, run.start.worker, run.start.resources, run.start.lifetime);
    const bool mayHaveRun = end.hasRun != HasRun::No;
    m_records.append(
            TaskEnded{task.request, task.task, run.start.attempt, mayHaveRun, end.succeeded}, out);
    updateWorkerHealth(now, run, end, out);
    TaskEnd observed = end;
    observed.stopped = run.isStopRequested;
    m_observer.taskEnded(now, task, observed, out);
}

void TaskTracker::updateWorkerHealth(Instant now, const Run &run, const TaskEnd &end, Outbox &out)
{
    if (end.succeeded) {
        m_workers.recordStartSuccess(run.start.worker);
        return;
    }
    const bool wasOrdered = run.phase != Phase::Recorded;
    const bool failedFast = now - run.orderedAt < FastFailureLimit;
    if (!wasOrdered || run.isStopRequested || !failedFast || run.adoptedUntil.has_value())
        return;
    if (m_workers.recordStartFailure(now, run.start.worker))
        out.add(LogLine{true, run.start.worker.value(),
                        "the worker is put aside: its tasks fail right after their start"});
    refreshWorker(now, run.start.worker);
}

AnnouncementReply TaskTracker::announced(Instant now, const Announcement &announcement, Outbox &out)
{
    AnnouncementReply reply;
    reply.epoch = m_epoch;
    reply.leaseUntil = announcement.workerNow + TaskLease;
    const AnnouncementResult result = m_workers.recordAnnouncement(now, announcement);
    // An outdated announcement must not renew a lease that a later one was refused.
    if (result == AnnouncementResult::Stale) {
        reply.leaseUntil = announcement.workerNow;
        return reply;
    }
    // Only a worker that has accepted this epoch is authoritative on which tasks do not run.
    if (announcement.epoch == m_epoch)
        reconcile(now, announcement, reply, out);
    else if (announcement.epoch > m_epoch)
        reply.leaseUntil = announcement.workerNow;
    refreshWorker(now, announcement.worker);
    return reply;
}

void TaskTracker::reconcile(Instant now, const Announcement &announcement, AnnouncementReply &reply,
                            Outbox &out)
{
    endFinished(now, announcement, reply, out);
    std::set<TaskRef> listed;
    for (const RunningTask &running : announcement.running) {
        const auto known = m_byId.find(running.task);
        if (known == m_byId.end()) {
            reply.stop.push_back(running.task);
            continue;
        }
        Run &run = m_runs.at(known->second);
        listed.insert(known->second);
        if (run.phase == Phase::Uncertain)
            run.phase = Phase::Running;
        run.session = announcement.session;
        recordUsage(now, run, running);
        if (run.isStopRequested) {
            reply.stop.push_back(running.task);
            continue;
        }
        run.leaseUntil = std::max(run.leaseUntil, reply.leaseUntil);
        run.adoptedUntil.reset();
        if (run.reclaim == ReclaimStep::Checkpoint)
            reply.checkpoint.push_back(running.task);
        else if (run.reclaim == ReclaimStep::Throttle)
            reply.throttle.push_back(running.task);
    }
    const auto onWorker = m_byWorker.find(announcement.worker);
    if (onWorker == m_byWorker.end())
        return;
    const std::set<TaskRef> held = onWorker->second;
    for (const TaskRef &task : held) {
        if (!listed.contains(task))
            reconcileUnlisted(now, announcement, task, out);
    }
}

void TaskTracker::recordUsage(Instant now, Run &run, const RunningTask &running)
{
    m_scheduler.recordUsage(now, run.start.team, run.start.shape, running.usedCores,
                            running.usedMemory);
    // Capacity in use is not free, whatever the request declared.
    Resources extra;
    extra.cores = std::max(running.usedCores - run.start.resources.cores, MilliCores(0));
    extra.memory = std::max(running.usedMemory - run.start.resources.memory, Mebibytes(0));
    if (extra == Resources())
        return;
    m_scheduler.reserve(run.start.team, run.start.worker, extra, run.start.lifetime);
    run.start.resources += extra;
}

void TaskTracker::endFinished(Instant now, const Announcement &announcement,
                              AnnouncementReply &reply, Outbox &out)
{
    for (const FinishedTask &finished : announcement.finished) {
        const auto known = m_byId.find(finished.task);
        if (known == m_byId.end()) {
            reply.acknowledged.push_back(finished.task);
            continue;
        }
        const Run &run = m_runs.at(known->second);
        // The answer of a short request is still in transit and carries more than the report.
        if (run.phase == Phase::Ordered)
            continue;
        reply.acknowledged.push_back(finished.task);
        end(now, known->second, {HasRun::Yes, finished.succeeded, nullptr, "ended on its worker"},
            out);
    }
}

void TaskTracker::reconcileUnlisted(Instant now, const Announcement &announcement,
                                    const TaskRef &task, Outbox &out)
{
    const Run &run = m_runs.at(task);
    if (run.phase == Phase::Recorded)
        return;
    const bool isAdopted = run.session.isEmpty();
    const bool restarted = !isAdopted && run.session != announcement.session;
    if (restarted) {
        end(now, task, {HasRun::Unknown, false, nullptr, "the worker restarted"}, out);
        return;
    }
    // The order may be in transit until the worker's clock has passed its validity; that of an
    // adopted task cannot be, since the worker accepts only orders of this epoch by now.
    if (run.phase == Phase::Ordered || (!isAdopted && announcement.workerNow <= run.notAfter))
        return;
    const HasRun hasRun = isAdopted       ? HasRun::Unknown
            : run.phase == Phase::Running ? HasRun::Yes
                                          : HasRun::No;
    end(now, task, {hasRun, false, nullptr, "the worker does not run the task"}, out);
}

bool TaskTracker::isLapsed(Instant now, const Run &run) const
{
    if (run.adoptedUntil.has_value())
        return now > *run.adoptedUntil;
    const WorkerState *worker = m_workers.find(run.start.worker);
    if (worker == nullptr || run.phase == Phase::Recorded)
        return false;
    // A new session of the worker has none of the previous session's tasks.
    if (worker->last.session != run.session)
        return true;
    return worker->workerClockLowerBound(now) > run.leaseUntil;
}

void TaskTracker::endLapsedLeases(Instant now, const WorkerId &worker, Outbox &out)
{
    const auto onWorker = m_byWorker.find(worker);
    if (onWorker == m_byWorker.end())
        return;
    const std::set<TaskRef> held = onWorker->second;
    for (const TaskRef &task : held) {
        const Run &run = m_runs.at(task);
        if (isLapsed(now, run))
            end(now, task,
                {HasRun::Unknown, false, nullptr, "the lease ran out on a silent worker"}, out);
    }
}

void TaskTracker::tick(Instant now, Outbox &out)
{
    std::vector<WorkerId> silent;
    for (const auto &[worker, tasks] : m_byWorker) {
        const WorkerState *state = m_workers.find(worker);
        if (state == nullptr || now - state->receivedAt > WorkerTimeout)
            silent.push_back(worker);
    }
    std::sort(silent.begin(), silent.end());
    for (const WorkerId &worker : silent)
        endLapsedLeases(now, worker, out);
    // Other changes refresh the worker at once; only the passing of time needs this refresh.
    if (now < m_nextRefresh)
        return;
    m_nextRefresh = now + RefreshInterval;
    for (const auto &[worker, state] : m_workers.workers())
        refreshWorker(now, worker);
}

void TaskTracker::refreshWorker(Instant now, const WorkerId &worker)
{
    const WorkerState *state = m_workers.find(worker);
    if (state == nullptr)
        return;
    const auto open = m_openCalls.find(worker);
    const bool hasConnection
            = open == m_openCalls.end() || Slots(open->second) < state->last.connections;
    const bool usable = hasConnection && m_workers.isUsable(now, worker, tasksOn(worker));
    m_scheduler.putWorker(worker, state->last.rack, state->last.labels, state->last.capacity,
                          usable);
}

std::size_t TaskTracker::tasksOn(const WorkerId &worker) const
{
    const auto found = m_byWorker.find(worker);
    return found == m_byWorker.end() ? 0 : found->second.size();
}

} // namespace gentiancross
