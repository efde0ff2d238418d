#include "control/jobs/run_tracker.h"

#include "control/jobs/run_names.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace gentiancross {

namespace {

/** A worker tells of ends at once; this only bounds how old a lease and a list may get. */
constexpr Milliseconds HoldWait{900};
/** What an order's answer may take: some round trips of a loaded link. */
constexpr Milliseconds OrderTimeout{700};
constexpr Milliseconds RetryPause{150};
/** A silent worker on which nothing runs is only asked whether it is to be used again. */
constexpr Milliseconds IdleRetryPause{600};
constexpr Milliseconds StopPause{400};
/** How often a run that is at work is looked at: a cancelled job's runs are stopped this late. */
constexpr Milliseconds SettledPause{200};
/** So many orders in a row without an answer, and the worker gets no new ones. */
constexpr std::uint32_t SilentOrders = 2;
constexpr Milliseconds RefusedPause{600};
/** A worker lists its oldest ends first, so many at a time; a longer list may lack newer ones. */
constexpr std::size_t MostEndsListed = 500;
/** A worker that has ends which must not be noted answers at once; it is asked this often. */
constexpr Milliseconds UnnotedPause{300};

} // namespace

RunTracker::RunTracker(Fence fence, const JobStoreData &book, WorkerPool &pool,
                       AdviceCoordinator &advice, StartAdmission &admission, RunResultHandler &sink)
    : m_fence(fence)
    , m_book(book)
    , m_pool(pool)
    , m_advice(advice)
    , m_admission(admission)
    , m_sink(sink)
    , m_ends(book, pool, sink)
    , m_lastCall(fence.value() << IdBitsPerFence)
{}

void RunTracker::endRun(const WorkerIncarnation &life, const JobTaskRef &task, RunEnding ending,
                        Outbox &out)
{
    PooledWorker *const worker = m_pool.find(life);
    if (worker == nullptr || !worker->runs.contains(task))
        return;
    const OpenRun &run = worker->runs.at(task);
    RunMetrics::endConcluded(run, ending, out);
    out.note(task.step.job.value(),
             absl::StrCat("run ended: task=", nameOf(task), " run=", run.run.value(),
                          " worker=", life.worker.value(), " how=", nameOf(ending)));
    m_sink.apply(RunEnded{task, run.run, ending, run.checkpoint});
}

void RunTracker::endRuns(const WorkerIncarnation &life, RunEnding ending, Outbox &out)
{
    std::vector<JobTaskRef> tasks;
    for (const auto &[task, run] : m_pool.find(life)->runs)
        tasks.push_back(task);
    for (const JobTaskRef &task : tasks)
        endRun(life, task, ending, out);
}

void RunTracker::endIncarnation(const WorkerIncarnation &life, const char *reason, Outbox &out)
{
    PooledWorker *const worker = m_pool.find(life);
    if (worker == nullptr)
        return;
    out.note(life.worker.value(), absl::StrCat("worker is gone: ", reason));
    endRuns(life, RunEnding::Lost, out);
    m_sink.apply(WorkerIncarnationEnded{life});
    m_pool.remove(life);
}

void RunTracker::replaceIncarnation(Instant now, const WorkerIncarnation &old,
                                    const WorkerIncarnation &next,
                                    const std::vector<ReportedRun> &running, Outbox &out)
{
    PooledWorker *const worker = m_pool.find(old);
    if (worker == nullptr)
        return;
    std::set<JobTaskRef> listed;
    for (const ReportedRun &each : running)
        listed.insert(each.task);
    std::map<JobTaskRef, RunNumber> moved;
    for (const auto &[task, run] : worker->runs) {
        const bool mayArrive = run.wasSent && (!run.wasAcknowledged || run.mayArriveLate);
        if (old.worker == next.worker && (mayArrive || listed.contains(task)))
            moved.emplace(task, run.run);
    }
    for (const auto &[task, number] : moved) {
        out.note(task.step.job.value(),
                 absl::StrCat("run may be at work in the next life: task=", nameOf(task),
                              " run=", number.value(), " worker=", next.worker.value(),
                              " born=", next.born.value()));
        m_sink.apply(RunMoved{task, number, next});
        OpenRun &run = m_pool.find(next)->runs.at(task);
        run.wasSent = true;
        run.mayArriveLate = true;
        run.isStopping = true;
    }
    if (!moved.empty())
        WorkerPool::recordForeignLease(*m_pool.find(next), now);
    endIncarnation(old, "another life is at its place", out);
    follow(now, *m_pool.find(next), out);
}

void RunTracker::receive(Instant now, const WorkerAnswer &answer, Outbox &out)
{
    m_meter.answered(now, answer, out);
    const auto found = m_calls.find(answer.call);
    if (found == m_calls.end())
        return;
    const Call call = std::move(found->second);
    m_calls.erase(found);
    m_admission.onCallAnswered(now, answer.call, answer.verdict);
    PooledWorker *const worker = m_pool.find(call.incarnation);
    if (worker == nullptr)
        return;
    if (call.kind == OrderKind::LeaseRenewal)
        worker->isLeaseRenewalInFlight = false;
    const bool isOtherBirth = answer.born.has_value() && *answer.born > call.incarnation.born;
    if (answer.verdict == WorkerVerdict::OtherIncarnation || isOtherBirth) {
        otherLifeAnswered(now, call, answer, out);
        return;
    }
    if (answer.verdict == WorkerVerdict::NotSent) {
        notSent(now, call, out);
        return;
    }
    worker->deliveredLeaseUntil = std::max(worker->deliveredLeaseUntil, call.leaseUntil);
    noteAnswer(now, *worker, call, answer, out);
    if (call.kind == OrderKind::Start)
        startAnswered(now, call, answer, out);
    else if (call.kind == OrderKind::Stop)
        stopAnswered(now, call, answer);
    else
        holdAnswered(now, call, answer, out);
}

void RunTracker::notSent(Instant now, const Call &call, Outbox &out)
{
    out.add(LogLine{true, call.incarnation.worker.value(), "order not sent: it was too old"});
    withdrawGrant(call);
    if (call.kind == OrderKind::LeaseRenewal) {
        m_pool.find(call.incarnation)->nextLeaseRenewal = now;
        return;
    }
    OpenRun *const run = runOf(call);
    if (run == nullptr)
        return;
    run->nextAttempt = now;
    // Nothing has left before, so the next order is the first one.
    if (call.kind == OrderKind::Start && !run->mayArriveLate)
        run->startedAt.reset();
}

void RunTracker::withdrawGrant(const Call &call)
{
    PooledWorker &worker = *m_pool.find(call.incarnation);
    if (call.leaseUntil < worker.grantedUntil)
        return;
    std::int64_t until = worker.deliveredLeaseUntil;
    for (const auto &[id, other] : m_calls) {
        if (other.incarnation == call.incarnation)
            until = std::max(until, other.leaseUntil);
    }
    worker.grantedUntil = until;
}

void RunTracker::otherLifeAnswered(Instant now, const Call &call, const WorkerAnswer &answer,
                                   Outbox &out)
{
    const bool hasSameName = answer.verdict != WorkerVerdict::OtherIncarnation;
    if (!hasSameName) {
        endIncarnation(call.incarnation, "another worker answers at its address", out);
        return;
    }
    const WorkerIncarnation next{call.incarnation.worker, *answer.born};
    if (m_pool.find(next) == nullptr) {
        // It gets nothing before its own beat has told what it has.
        WorkerReport report = m_pool.find(call.incarnation)->report;
        report.incarnation = next;
        report.isDraining = false;
        m_sink.apply(WorkerReported{report});
        m_pool.addOrUpdate(now, report).isAnnounced = false;
    }
    replaceIncarnation(now, call.incarnation, next, answer.running, out);
}

void RunTracker::noteAnswer(Instant now, PooledWorker &worker, const Call &call,
                            const WorkerAnswer &answer, Outbox &out)
{
    if (answer.verdict == WorkerVerdict::NoAnswer) {
        out.add(LogLine{true, call.incarnation.worker.value(), "no answer: " + answer.error});
        // One order may get lost on the way; a list that does not come says more.
        if (call.kind == OrderKind::LeaseRenewal || ++worker.unansweredOrders >= SilentOrders)
            worker.isFailing = true;
        return;
    }
    worker.unansweredOrders = 0;
    if (worker.isFailing)
        out.note(call.incarnation.worker.value(), "answers again");
    worker.isFailing = false;
    if (answer.clock.has_value())
        WorkerPool::setClock(worker, now, *answer.clock);
}

OpenRun *RunTracker::runOf(const Call &call)
{
    PooledWorker &worker = *m_pool.find(call.incarnation);
    const auto found = worker.runs.find(call.task);
    if (found == worker.runs.end() || found->second.run != call.run)
        return nullptr;
    found->second.isCallInFlight = false;
    return &found->second;
}

void RunTracker::startAnswered(Instant now, const Call &call, const WorkerAnswer &answer,
                               Outbox &out)
{
    OpenRun *const found = runOf(call);
    if (found == nullptr)
        return;
    OpenRun &run = *found;
    PooledWorker &worker = *m_pool.find(call.incarnation);
    run.nextAttempt = now + RetryPause;
    switch (answer.verdict) {
    case WorkerVerdict::Done:
    case WorkerVerdict::Superseded:
        run.wasAcknowledged = true;
        worker.nextLeaseRenewal = std::min(worker.nextLeaseRenewal, now + RetryPause);
        return;
    case WorkerVerdict::NoAnswer:
        run.mayArriveLate = true;
        return;
    case WorkerVerdict::Fenced:
        return;
    default:
        break;
    }
    out.note(call.task.step.job.value(),
             absl::StrCat("start refused: task=", nameOf(call.task),
                          " worker=", call.incarnation.worker.value(), " reason=", answer.error));
    if (answer.verdict == WorkerVerdict::NoTicket)
        m_advice.drop(call.task.step, call.incarnation.worker);
    else if (answer.verdict == WorkerVerdict::Refused)
        worker.avoidUntil = now + RefusedPause;
    if (run.mayArriveLate)
        run.isStopping = true; // A stop makes the worker refuse the copy that may come yet.
    else
        endRun(call.incarnation, call.task, RunEnding::NotStarted, out);
}

void RunTracker::stopAnswered(Instant now, const Call &call, const WorkerAnswer &answer)
{
    OpenRun *const found = runOf(call);
    if (found == nullptr)
        return;
    OpenRun &run = *found;
    run.nextAttempt = now + (answer.verdict == WorkerVerdict::NoAnswer ? RetryPause : StopPause);
    if (answer.verdict == WorkerVerdict::Done)
        run.wasAcknowledged = true;
}

void RunTracker::holdAnswered(Instant now, const Call &call, const WorkerAnswer &answer,
                              Outbox &out)
{
    PooledWorker &worker = *m_pool.find(call.incarnation);
    const Milliseconds retryPause = worker.runs.empty() ? IdleRetryPause : RetryPause;
    worker.nextLeaseRenewal
            = now + (answer.verdict == WorkerVerdict::Done ? Milliseconds(0) : retryPause);
    if (answer.verdict != WorkerVerdict::Done)
        return;
    m_ends.take(now, worker, answer.ended, out);
    if (worker.hasUnacknowledgeableEnd)
        worker.nextLeaseRenewal = now + UnnotedPause;
    takeRunning(now, worker, call, answer, out);
}

void RunTracker::takeRunning(Instant now, PooledWorker &worker, const Call &call,
                             const WorkerAnswer &answer, Outbox &out)
{
    std::set<JobTaskRef> present;
    for (const ReportedRun &listed : answer.running) {
        const auto found = worker.runs.find(listed.task);
        if (found == worker.runs.end() || found->second.run != listed.run) {
            const bool isKnown = found != worker.runs.end() && found->second.run > listed.run;
            if (found == worker.runs.end() || isKnown) {
                out.count(CellEvent::UnexpectedRun);
                orderStop(now, worker, listed.task, listed.run, out);
            }
            continue;
        }
        present.insert(listed.task);
        found->second.wasAcknowledged = true;
        found->second.checkpoint = listed.checkpoint;
    }
    if (answer.ended.size() >= MostEndsListed) {
        out.count(CellEvent::EndListFull);
        return;
    }
    std::vector<JobTaskRef> lost;
    for (const auto &[task, run] : worker.runs) {
        const auto settled = call.settled.find(task);
        const bool wasSettled = settled != call.settled.end() && settled->second == run.run;
        if (!present.contains(task) && wasSettled && run.wasAcknowledged)
            lost.push_back(task);
    }
    for (const JobTaskRef &task : lost)
        endRun(worker.report.incarnation, task, RunEnding::Lost, out);
}

void RunTracker::tick(Instant now, Outbox &out)
{
    endLapsed(now, out);
    for (auto &[life, worker] : m_pool.all())
        follow(now, worker, out);
}

void RunTracker::endLapsed(Instant now, Outbox &out)
{
    constexpr Milliseconds ForgottenAfter{15'000};
    std::vector<WorkerIncarnation> gone;
    for (auto &[life, worker] : m_pool.all()) {
        const bool isSilent = now - worker.lastHeartbeat > ForgottenAfter;
        if ((worker.runs.empty() && !isSilent) || !m_pool.isLapsed(worker, now))
            continue;
        RunMetrics::leaseLapsed(now, worker, out);
        endSent(life, worker, RunEnding::Lapsed, out);
        if (isSilent)
            gone.push_back(life);
    }
    for (const WorkerIncarnation &life : gone)
        endIncarnation(life, "no beat and no answer", out);
}

void RunTracker::endSent(const WorkerIncarnation &life, const PooledWorker &worker,
                         RunEnding ending, Outbox &out)
{
    std::vector<JobTaskRef> tasks;
    for (const auto &[task, run] : worker.runs) {
        if (run.wasSent)
            tasks.push_back(task);
    }
    for (const JobTaskRef &task : tasks)
        endRun(life, task, ending, out);
}

bool RunTracker::isWanted(const JobTaskRef &task) const
{
    const auto job = m_book.jobs.find(task.step.job);
    if (job == m_book.jobs.end() || job->second.isOver())
        return false;
    const TaskProgress *const progress = jobstore::find(m_book, task);
    return progress != nullptr && !progress->isDone;
}

void RunTracker::follow(Instant now, PooledWorker &worker, Outbox &out)
{
    for (auto &[task, run] : worker.runs) {
        if (!run.wasSent || run.isCallInFlight || now < run.nextAttempt)
            continue;
        if (run.isStopping || !isWanted(task)) {
            run.isCallInFlight = true;
            orderStop(now, worker, task, run.run, out);
        } else if (!run.wasAcknowledged && !worker.isFailing) {
            orderStart(now, worker, task, out);
        } else if (run.wasAcknowledged) {
            run.nextAttempt = now + SettledPause;
        }
    }
    const bool hasNews = worker.acknowledgedEnd < worker.acknowledgeableEnd;
    if (worker.isLeaseRenewalInFlight || now < worker.nextLeaseRenewal || hasNews)
        return;
    // A worker that gave no answer is asked until it does, or it would not be used again.
    if (!worker.runs.empty() || !worker.clock.has_value() || worker.isFailing)
        hold(now, worker, out);
}

void RunTracker::hold(Instant now, PooledWorker &worker, Outbox &out)
{
    // A silent worker may have started anew: what it is sent must do its next life no harm.
    const bool waits = !worker.isFailing && worker.clock.has_value();
    Call call{OrderKind::LeaseRenewal, worker.report.incarnation, {}, {}, {}, 0};
    for (const auto &[task, run] : worker.runs) {
        if (run.wasAcknowledged && run.wasSent)
            call.settled.emplace(task, run.run);
    }
    CallWorker effect = callTo(
            now, worker,
            OrderLeaseRenewal{worker.isFailing ? CompletionNumber() : worker.acknowledgedEnd,
                              waits ? HoldWait : Milliseconds(0)});
    effect.leaseUntil
            = WorkerPool::mayRenew(worker) ? WorkerPool::grant(worker, now).value_or(0) : 0;
    effect.timeout = OrderTimeout + (waits ? HoldWait : Milliseconds(0));
    call.leaseUntil = effect.leaseUntil;
    m_calls.emplace(effect.call, std::move(call));
    worker.isLeaseRenewalInFlight = true;
    m_meter.ordered(now, effect, out);
    out.add(std::move(effect));
}

CallWorker RunTracker::callTo(Instant now, const PooledWorker &worker, WorkerOrder order)
{
    CallWorker call;
    call.call = CallId(++m_lastCall);
    call.address = worker.report.address;
    call.incarnation = worker.report.incarnation;
    call.fence = m_fence;
    call.order = std::move(order);
    call.validUntil = now + OrderValidity;
    call.timeout = OrderTimeout;
    return call;
}

void RunTracker::orderStart(Instant now, PooledWorker &worker, const JobTaskRef &task, Outbox &out)
{
    OpenRun &run = worker.runs.at(task);
    // A repetition extends no lease: of a worker that does not answer it would never be over.
    const bool isRepetition = run.startedAt.has_value() && worker.grantedUntil > 0;
    run.wasSent = true;
    const Job &job = m_book.jobs.at(task.step.job);
    const Milliseconds length = WorkerPool::leaseLength(run, job.spec.steps.at(task.step.step));
    const std::optional<std::int64_t> until
            = isRepetition ? worker.grantedUntil : WorkerPool::grant(worker, now, length);
    if (!until.has_value())
        return;
    CallWorker effect = callTo(now, worker,
                               OrderStart{task, run.run,
                                          std::make_shared<const std::string>(job.spec.payload),
                                          jobstore::find(m_book, task)->checkpoint, run.ticket});
    effect.leaseUntil = *until;
    m_calls.emplace(effect.call,
                    Call{OrderKind::Start, worker.report.incarnation, task, run.run, {}, *until});
    // Repetitions go to silent workers, whose share of the admission others may use.
    if (!isRepetition)
        m_admission.onStartOrdered(now, effect.call);
    out.note(task.step.job.value(),
             absl::StrCat(
                     isRepetition ? "start repeated: task=" : "start ordered: task=", nameOf(task),
                     " run=", run.run.value(), " worker=", worker.report.incarnation.worker.value(),
                     " lease_until=", *until));
    run.isCallInFlight = true;
    if (!run.startedAt.has_value())
        run.startedAt = now;
    if (isRepetition)
        out.count(CellEvent::StartRepeated);
    m_meter.ordered(now, effect, out);
    out.add(std::move(effect));
}

void RunTracker::orderStop(Instant now, PooledWorker &worker, const JobTaskRef &task, RunNumber run,
                           Outbox &out)
{
    CallWorker effect = callTo(now, worker, OrderStop{task, run});
    m_calls.emplace(effect.call,
                    Call{OrderKind::Stop, worker.report.incarnation, task, run, {}, 0});
    out.note(task.step.job.value(),
             absl::StrCat("stop ordered: task=", nameOf(task), " run=", run.value(),
                          " worker=", worker.report.incarnation.worker.value()));
    m_meter.ordered(now, effect, out);
    out.add(std::move(effect));
}

} // namespace gentiancross
