#include "control/jobs/run_tracker.h"

#include "control/jobs/run_names.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace gentiancross {

namespace {

/** Long-poll time of a lease renewal. Workers report ends at once; this only bounds the age of a
 * lease and of a list. */
constexpr Milliseconds RenewalPollWait{900};
/** Time-out of an order: some round trips on a loaded link. */
constexpr Milliseconds OrderTimeout{700};
constexpr Milliseconds RetryDelay{150};
/** A silent worker without runs is only polled to find out whether it can be used again. */
constexpr Milliseconds IdleRetryDelay{600};
constexpr Milliseconds StopRetryDelay{400};
/** Check interval of an executing run; it bounds the delay until a cancelled job's run is
 * stopped. */
constexpr Milliseconds ExecutingCheckInterval{200};
/** After this many unanswered orders in a row the worker gets no new runs. */
constexpr std::uint32_t MaxUnansweredOrders = 2;
constexpr Milliseconds RefusalCooldown{600};
/** A worker lists at most this many ends, oldest first; a full list may lack newer ones. */
constexpr std::size_t MaxEndsListed = 500;
/** Covers rounding to milliseconds on both clocks. */
constexpr std::int64_t ClockMarginMilliseconds = 50;
/** A worker with ends that must not be acknowledged answers at once, so it is polled at this
 * interval. */
constexpr Milliseconds WithheldEndPollInterval{300};
/** An acknowledgement that is sent later after a list may meet the worker's next incarnation. It
 * covers the time in which an end becomes durable. */
constexpr Milliseconds MaxListAgeForAcknowledgement{200};
/** How long a renewal waits for the answers to starts, so that it can carry an acknowledgement. */
constexpr Milliseconds MaxRenewalDelay{100};
/** After this time the worker gets no further starts until its acknowledgement was sent. */
constexpr Milliseconds MaxAcknowledgementWait{300};

/** Polls the worker before it is used again. Orders that were sent to it before are refused once it
 * has executed the poll. */
void requireList(Instant now, WorkerPool &pool, PooledWorker &worker)
{
    worker.isUnverified = true;
    worker.nextLeaseRenewal = now;
    pool.raiseRevision(worker);
}

} // namespace

RunTracker::RunTracker(Fence fence, const JobStoreData &store, WorkerPool &pool,
                       AdviceCoordinator &advice, StartAdmission &admission,
                       RunResultHandler &results)
    : m_fence(fence)
    , m_store(store)
    , m_pool(pool)
    , m_advice(advice)
    , m_admission(admission)
    , m_results(results)
    , m_ends(store, pool, results)
    , m_lastCall(fence.value() << IdBitsPerFence)
{}

void RunTracker::requestStop(Instant now, const WorkerIncarnation &incarnation,
                             const JobTaskRef &task)
{
    PooledWorker *const worker = m_pool.find(incarnation);
    if (worker == nullptr || !worker->runs.contains(task))
        return;
    OpenRun &run = worker->runs.at(task);
    run.isStopping = true;
    run.nextAttempt = now;
}

void RunTracker::endRun(const WorkerIncarnation &incarnation, const JobTaskRef &task,
                        RunEnding ending, Outbox &out)
{
    PooledWorker *const worker = m_pool.find(incarnation);
    if (worker == nullptr || !worker->runs.contains(task))
        return;
    const OpenRun &run = worker->runs.at(task);
    RunMetrics::recordConcludedEnd(run, ending, out);
    out.note(task.step.job.value(),
             absl::StrCat("run ended: task=", nameOf(task), " run=", run.run.value(),
                          " worker=", incarnation.worker.value(), " how=", nameOf(ending)));
    m_results.apply(RunEnded{task, run.run, ending, run.checkpoint});
}

void RunTracker::endRuns(const WorkerIncarnation &incarnation, RunEnding ending, Outbox &out)
{
    std::vector<JobTaskRef> tasks;
    for (const auto &[task, run] : m_pool.find(incarnation)->runs)
        tasks.push_back(task);
    for (const JobTaskRef &task : tasks)
        endRun(incarnation, task, ending, out);
}

void RunTracker::endIncarnation(const WorkerIncarnation &incarnation, const char *reason,
                                Outbox &out)
{
    removeIncarnation(incarnation, WorkerIncarnationEnded{incarnation}, reason, out);
}

void RunTracker::removeIncarnation(const WorkerIncarnation &incarnation, JobRecord record,
                                   const char *reason, Outbox &out)
{
    const PooledWorker *const worker = m_pool.find(incarnation);
    if (worker == nullptr)
        return;
    if (worker->isClaim()) {
        // It has neither a record nor runs.
        out.add(LogLine{true, incarnation.worker.value(),
                        absl::StrCat("claim dropped: ", reason, ": born=", incarnation.born.value(),
                                     " address=", worker->report.address)});
        out.count(CellEvent::ClaimDropped);
        m_pool.remove(incarnation);
        return;
    }
    out.note(incarnation.worker.value(), absl::StrCat("worker is gone: ", reason));
    endRuns(incarnation, RunEnding::Lost, out);
    m_results.apply(std::move(record));
    m_pool.remove(incarnation);
}

void RunTracker::verifyClaim(Instant now, PooledWorker &worker, Outbox &out)
{
    const WorkerIncarnation &incarnation = worker.report.incarnation;
    out.note(incarnation.worker.value(),
             absl::StrCat("claim is verified: born=", incarnation.born.value(),
                          " address=", worker.report.address));
    worker.proof = IncarnationProof::None;
    // If the claim is true, orders for the former incarnation must not be executed after the poll.
    requireList(now, m_pool, worker);
    for (const WorkerIncarnation &other : m_pool.conflictsWith(worker.report)) {
        PooledWorker &contested = *m_pool.find(other);
        if (other.worker == incarnation.worker && contested.report.address == worker.report.address)
            contested.isContested = true;
    }
    sendDueOrders(now, worker, out);
}

void RunTracker::verifySuccessor(Instant now, PooledWorker &worker, Outbox &out)
{
    worker.isNameReused = true;
    requireList(now, m_pool, worker);
    WorkerPool::recordForeignLease(worker, now);
    sendDueOrders(now, worker, out);
}

bool RunTracker::checkClaim(Instant now, PooledWorker &claimant, const WorkerAnswer &answer,
                            Outbox &out)
{
    const WorkerIncarnation incarnation = claimant.report.incarnation;
    const bool isSuperseded = m_pool.isSuperseded(claimant.report);
    if (!isSuperseded && answer.verdict == WorkerVerdict::Done && answer.born == incarnation.born) {
        claimant.nextLeaseRenewal = now + RetryDelay;
        confirmClaim(now, claimant, answer.running, out);
        return true;
    }
    resumeContested(claimant);
    if (isSuperseded || answer.verdict == WorkerVerdict::OtherIncarnation
        || (answer.born.has_value() && *answer.born != incarnation.born)) {
        endIncarnation(incarnation, "another incarnation has answered", out);
        return false;
    }
    if (answer.verdict == WorkerVerdict::Fenced)
        m_pool.raiseRevision(claimant);
    claimant.nextLeaseRenewal = now + IdleRetryDelay;
    return answer.verdict != WorkerVerdict::Done; // A list without a birth may be anybody's.
}

void RunTracker::resumeContested(const PooledWorker &claimant)
{
    for (const WorkerIncarnation &other : m_pool.conflictsWith(claimant.report)) {
        PooledWorker &worker = *m_pool.find(other);
        if (other.worker != claimant.report.incarnation.worker || worker.isClaim())
            continue;
        worker.isContested = false;
        if (worker.revision <= claimant.revision)
            m_pool.raiseRevision(worker);
    }
}

void RunTracker::confirmClaim(Instant now, PooledWorker &claimant,
                              const std::vector<ReportedRun> &running, Outbox &out)
{
    const WorkerIncarnation incarnation = claimant.report.incarnation;
    out.note(incarnation.worker.value(),
             absl::StrCat("claim confirmed: born=", incarnation.born.value(),
                          " address=", claimant.report.address));
    out.count(CellEvent::ClaimConfirmed);
    m_pool.confirm(claimant);
    m_results.apply(WorkerReported{claimant.report});
    for (const WorkerIncarnation &other : m_pool.conflictsWith(claimant.report)) {
        const bool isLaterClaim = m_pool.find(other)->isClaim() && other.born > incarnation.born;
        if (!isLaterClaim)
            replaceIncarnation(now, other, incarnation, running, out);
    }
}

bool RunTracker::mayGrantLate(const PooledWorker &worker) const
{
    return worker.hasUnansweredGrant
            || std::any_of(m_calls.begin(), m_calls.end(), [&worker](const auto &entry) {
                   const Call &call = entry.second;
                   return call.incarnation == worker.report.incarnation && call.leaseUntil > 0;
               });
}

void RunTracker::replaceIncarnation(Instant now, const WorkerIncarnation &old,
                                    const WorkerIncarnation &next,
                                    const std::vector<ReportedRun> &running, Outbox &out)
{
    PooledWorker *const worker = m_pool.find(old);
    if (worker == nullptr)
        return;
    if (worker->isClaim()) {
        endIncarnation(old, "another incarnation has been confirmed", out);
        return;
    }
    std::set<JobTaskRef> listed;
    for (const ReportedRun &each : running)
        listed.insert(each.task);
    std::map<JobTaskRef, OpenRun> moved;
    for (const auto &[task, run] : worker->runs) {
        // An answer to a start does not state which incarnation has executed it.
        const bool mayBeThere = run.wasSent && (!run.wasListed || run.mayArriveLate);
        if (old.worker == next.worker && (mayBeThere || listed.contains(task)))
            moved.emplace(task, run);
    }
    if (old.worker == next.worker) {
        out.count(CellEvent::WorkerRestarted);
        PooledWorker &successor = *m_pool.find(next);
        successor.isNameReused = true;
        if (!moved.empty() || mayGrantLate(*worker))
            WorkerPool::recordForeignLease(successor, now);
        // Orders for the former incarnation that are still in flight must not reach the next one.
        // It refuses them once it has executed the poll of its claim.
        if (successor.revision <= worker->revision)
            requireList(now, m_pool, successor);
    }
    for (const auto &[task, former] : moved) {
        out.note(task.step.job.value(),
                 absl::StrCat("run may be executing in the next incarnation: task=", nameOf(task),
                              " run=", former.run.value(), " worker=", next.worker.value(),
                              " born=", next.born.value()));
        out.count(CellEvent::RunMoved);
        m_results.apply(RunMoved{task, former.run, next});
        OpenRun &run = m_pool.find(next)->runs.at(task);
        run.wasSent = true;
        run.mayArriveLate = true;
        run.isStopping = true;
        run.isInherited = former.isInherited;
        run.startCopies = former.startCopies;
        // An earlier leader's copies were not counted.
        if (former.isInherited)
            run.startCopies.makeUntraceable();
    }
    // Its heartbeats and leave calls that are still in transit must not count.
    removeIncarnation(old, WorkerLeft{old}, "replaced by another incarnation", out);
    sendDueOrders(now, *m_pool.find(next), out);
}

void RunTracker::receive(Instant now, const WorkerAnswer &answer, Outbox &out)
{
    m_metrics.recordAnswer(now, answer, out);
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
    if (worker->isClaim() && !checkClaim(now, *worker, answer, out))
        return;
    if (!worker->isClaim() && answer.born == call.incarnation.born)
        m_pool.confirm(*worker);
    if (answer.born.has_value() && *answer.born < call.incarnation.born) {
        // The worker has restarted after its wall clock was set back. Its lists and end numbers are
        // not those of the incarnation that is tracked.
        WorkerAnswer unidentified;
        unidentified.call = answer.call;
        unidentified.error = "the answer states an earlier birth time";
        out.count(CellEvent::UnidentifiedAnswer);
        apply(now, *worker, call, unidentified, out);
        return;
    }
    const bool wasUsable = WorkerPool::isUsable(*worker, now);
    apply(now, *worker, call, answer, out);
    // The incarnation may have been replaced.
    PooledWorker *const after = m_pool.find(call.incarnation);
    if (after == nullptr)
        return;
    if (after->acknowledgementWaitsSince.has_value() && !after->hasUnsettledStart(now)) {
        after->nextLeaseRenewal = now;
        sendDueRenewal(now, *after, out);
    }
    if (!wasUsable && WorkerPool::isUsable(*after, now))
        m_results.onWorkerUsable();
}

void RunTracker::apply(Instant now, PooledWorker &worker, const Call &call,
                       const WorkerAnswer &answer, Outbox &out)
{
    const bool isOtherIncarnation = answer.born.has_value() && *answer.born > call.incarnation.born;
    if (answer.verdict == WorkerVerdict::OtherIncarnation || isOtherIncarnation) {
        handleOtherIncarnation(now, call, answer, out);
        return;
    }
    if (answer.verdict == WorkerVerdict::NotSent) {
        handleNotSent(now, call, out);
        return;
    }
    if (hasClockRestarted(call, answer)) {
        handleUnidentifiedAnswer(now, call, out);
        return;
    }
    worker.deliveredLeaseUntil = std::max(worker.deliveredLeaseUntil, call.leaseUntil);
    const Milliseconds age = WorkerPool::minAge(worker, now, answer.clock);
    recordAnswer(now, worker, call, answer, out);
    if (call.kind == OrderKind::Start)
        handleStartAnswer(now, call, answer, out);
    else if (call.kind == OrderKind::Stop)
        handleStopAnswer(now, call, answer);
    else
        handleRenewalAnswer(now, call, answer, age, out);
}

bool RunTracker::hasClockRestarted(const Call &call, const WorkerAnswer &answer)
{
    return call.kind != OrderKind::LeaseRenewal && answer.clock.has_value()
            && call.minClock.has_value()
            && *answer.clock + ClockMarginMilliseconds < *call.minClock;
}

void RunTracker::handleUnidentifiedAnswer(Instant now, const Call &call, Outbox &out)
{
    PooledWorker &worker = *m_pool.find(call.incarnation);
    out.add(LogLine{true, call.incarnation.worker.value(),
                    "worker's clock has begun anew: another incarnation may have answered"});
    out.count(CellEvent::UnidentifiedAnswer);
    requireList(now, m_pool, worker);
    WorkerPool::recordForeignLease(worker, now);
    if (OpenRun *const run = runOf(call)) {
        run->mayArriveLate = true;
        run->nextAttempt = now + RetryDelay;
    }
    sendDueOrders(now, worker, out);
}

void RunTracker::handleNotSent(Instant now, const Call &call, Outbox &out)
{
    out.add(LogLine{true, call.incarnation.worker.value(),
                    "order not sent: its validity had expired"});
    withdrawGrant(call);
    if (call.kind == OrderKind::LeaseRenewal) {
        m_pool.find(call.incarnation)->nextLeaseRenewal = now;
        return;
    }
    OpenRun *const run = runOf(call);
    if (run == nullptr)
        return;
    run->nextAttempt = now;
    if (call.kind == OrderKind::Start)
        run->startCopies.withdraw();
    // No order of this run has been sent before, so the next one counts as the first.
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

void RunTracker::handleOtherIncarnation(Instant now, const Call &call, const WorkerAnswer &answer,
                                        Outbox &out)
{
    if (call.leaseUntil > 0)
        m_pool.find(call.incarnation)->hasUnansweredGrant = true;
    const bool hasSameName = answer.verdict != WorkerVerdict::OtherIncarnation;
    if (!hasSameName) {
        endIncarnation(call.incarnation, "another worker answered at its address", out);
        return;
    }
    const WorkerIncarnation next{call.incarnation.worker, *answer.born};
    WorkerReport report = m_pool.find(call.incarnation)->report;
    PooledWorker *const claimant = m_pool.find(next);
    if (claimant != nullptr && claimant->isClaim()) {
        if (claimant->report.address == report.address) {
            claimant->nextLeaseRenewal = now;
            confirmClaim(now, *claimant, answer.running, out);
            return;
        }
        endIncarnation(next, "it has answered at another address", out);
    }
    if (m_pool.find(next) == nullptr) {
        // It gets no orders until its own heartbeat has reported its resources.
        report.incarnation = next;
        report.isDraining = false;
        m_results.apply(WorkerReported{report});
        m_pool.addOrUpdate(now, report).isAnnounced = false;
    }
    m_pool.confirm(*m_pool.find(next));
    replaceIncarnation(now, call.incarnation, next, answer.running, out);
}

void RunTracker::recordAnswer(Instant now, PooledWorker &worker, const Call &call,
                              const WorkerAnswer &answer, Outbox &out)
{
    if (answer.verdict == WorkerVerdict::NoAnswer) {
        out.add(LogLine{true, call.incarnation.worker.value(),
                        "worker did not answer: " + answer.error});
        if (call.leaseUntil > 0)
            worker.hasUnansweredGrant = true;
        // A single order may be lost in transit; a missing list is stronger evidence of a failure.
        if (call.kind == OrderKind::LeaseRenewal
            || ++worker.unansweredOrders >= MaxUnansweredOrders) {
            worker.isFailing = true;
            worker.isUnverified = true;
        }
        return;
    }
    if (call.kind != OrderKind::LeaseRenewal && WorkerPool::isOwnClock(worker, now, answer.clock))
        worker.aliveAt = std::max(worker.aliveAt.value_or(call.sentAt), call.sentAt);
    worker.unansweredOrders = 0;
    if (worker.isFailing)
        out.note(call.incarnation.worker.value(), "worker answers again");
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

void RunTracker::handleStartAnswer(Instant now, const Call &call, const WorkerAnswer &answer,
                                   Outbox &out)
{
    OpenRun *const found = runOf(call);
    if (found == nullptr)
        return;
    OpenRun &run = *found;
    PooledWorker &worker = *m_pool.find(call.incarnation);
    settleStart(now, worker, run, answer);
    // A stop that became due meanwhile does not wait.
    run.nextAttempt = run.isStopping ? now : now + RetryDelay;
    switch (answer.verdict) {
    case WorkerVerdict::Done:
        m_results.onRunBegun(call.task);
        [[fallthrough]];
    case WorkerVerdict::Superseded:
        run.wasAcknowledged = true;
        worker.nextLeaseRenewal = std::min(worker.nextLeaseRenewal, now + RetryDelay);
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
        m_advice.dropTicket(call.task.step, call.incarnation.worker);
    else if (answer.verdict == WorkerVerdict::Refused)
        worker.avoidUntil = now + RefusalCooldown;
    if (run.mayArriveLate)
        run.isStopping = true; // After a stop the worker refuses a start that arrives late.
    else
        endRun(call.incarnation, call.task, RunEnding::NotStarted, out);
    if (m_store.jobs.at(call.task.step.job).spec.steps[call.task.step.step].isGang)
        stopGang(now, call.task.step, call.run, out);
}

void RunTracker::stopGang(Instant now, const StepRef &step, RunNumber run, Outbox &out)
{
    const Job &job = m_store.jobs.at(step.job);
    for (std::uint32_t index = 0; index < job.spec.steps[step.step].count; ++index) {
        const JobTaskRef task{step, index};
        const TaskProgress *const progress = jobstore::find(m_store, task);
        PooledWorker *const worker = progress == nullptr ? nullptr : m_pool.find(progress->worker);
        if (worker == nullptr)
            continue;
        const auto member = worker->runs.find(task);
        if (member == worker->runs.end() || member->second.run != run || member->second.isStopping)
            continue;
        requestStop(now, progress->worker, task);
        sendDueOrders(now, *worker, out);
    }
}

void RunTracker::settleStart(Instant now, const PooledWorker &worker, OpenRun &run,
                             const WorkerAnswer &answer)
{
    if (answer.verdict == WorkerVerdict::NoAnswer)
        return;
    run.startCopies.recordAnswer();
    // A copy that was refused is not executed later, whichever incarnation has refused it.
    const bool wasExecuted
            = answer.verdict == WorkerVerdict::Done || answer.verdict == WorkerVerdict::Superseded;
    if (!wasExecuted || WorkerPool::isOwnClock(worker, now, answer.clock))
        run.startCopies.settle();
}

void RunTracker::handleStopAnswer(Instant now, const Call &call, const WorkerAnswer &answer)
{
    OpenRun *const found = runOf(call);
    if (found == nullptr)
        return;
    OpenRun &run = *found;
    run.nextAttempt
            = now + (answer.verdict == WorkerVerdict::NoAnswer ? RetryDelay : StopRetryDelay);
    if (answer.verdict == WorkerVerdict::Done)
        run.wasAcknowledged = true;
}

void RunTracker::handleRenewalAnswer(Instant now, const Call &call, const WorkerAnswer &answer,
                                     Milliseconds age, Outbox &out)
{
    PooledWorker &worker = *m_pool.find(call.incarnation);
    const Milliseconds retryDelay = worker.runs.empty() ? IdleRetryDelay : RetryDelay;
    worker.nextLeaseRenewal
            = now + (answer.verdict == WorkerVerdict::Done ? Milliseconds(0) : retryDelay);
    if (answer.verdict == WorkerVerdict::Fenced && call.revision < worker.revision) {
        // A start that was sent later has arrived earlier.
        if (call.acknowledgedEnd > CompletionNumber())
            out.count(CellEvent::AcknowledgementFenced);
        worker.nextLeaseRenewal = now;
        sendDueRenewal(now, worker, out);
    }
    if (answer.verdict != WorkerVerdict::Done)
        return;
    worker.aliveAt = std::max(worker.aliveAt.value_or(call.sentAt), call.sentAt);
    // A list that was asked for earlier may come from the incarnation before.
    if (call.revision == worker.revision)
        worker.isUnverified = false;
    worker.listedAt = now - age;
    worker.droppedEnd = std::max(worker.droppedEnd, call.acknowledgedEnd);
    m_ends.recordEnds(now, call.sentAt, worker, answer.ended, out);
    const bool hasWaitingEnd
            = std::any_of(answer.ended.begin(), answer.ended.end(),
                          [&worker](const auto &end) { return end.number > worker.recordedEnd; });
    if (worker.hasUnacknowledgeableEnd || hasWaitingEnd)
        worker.nextLeaseRenewal = now + WithheldEndPollInterval;
    reconcileRuns(now, worker, call, answer, out);
    if (worker.hasNewAcknowledgement() && worker.hasUnsettledStart(now))
        worker.nextLeaseRenewal = now + WithheldEndPollInterval;
}

void RunTracker::reconcileRuns(Instant now, PooledWorker &worker, const Call &call,
                               const WorkerAnswer &answer, Outbox &out)
{
    std::set<JobTaskRef> present;
    worker.hasUnexpectedRun = false;
    for (const ReportedRun &listed : answer.running) {
        const auto found = worker.runs.find(listed.task);
        if (found == worker.runs.end() || found->second.run != listed.run) {
            const bool isKnown = found != worker.runs.end() && found->second.run > listed.run;
            if (found == worker.runs.end() || isKnown) {
                worker.hasUnexpectedRun = true;
                out.count(CellEvent::UnexpectedRun);
                orderStop(now, worker, listed.task, listed.run, out);
            }
            continue;
        }
        present.insert(listed.task);
        if (!found->second.wasListed)
            m_results.onRunBegun(listed.task);
        found->second.wasAcknowledged = true;
        found->second.wasListed = true;
        found->second.startCopies.settleListed();
        found->second.checkpoint = listed.checkpoint;
    }
    if (answer.ended.size() >= MaxEndsListed) {
        out.count(CellEvent::EndListFull);
        return;
    }
    std::set<std::pair<JobTaskRef, RunNumber>> waitingEnds;
    for (const ReportedCompletion &end : answer.ended) {
        if (end.number > worker.recordedEnd)
            waitingEnds.emplace(end.task, end.run);
    }
    std::vector<JobTaskRef> lost;
    for (const auto &[task, run] : worker.runs) {
        const auto before = call.acknowledged.find(task);
        const bool wasAcknowledgedBefore
                = before != call.acknowledged.end() && before->second == run.run;
        if (!present.contains(task) && wasAcknowledgedBefore && run.wasAcknowledged
            && !worker.mustStayOpen(run, call.sentAt) && !waitingEnds.contains({task, run.run}))
            lost.push_back(task);
    }
    for (const JobTaskRef &task : lost)
        endRun(worker.report.incarnation, task, RunEnding::Lost, out);
}

void RunTracker::tick(Instant now, Outbox &out)
{
    endLapsedRuns(now, out);
    updateWithheldLeases(out);
    for (auto &[incarnation, worker] : m_pool.all())
        sendDueOrders(now, worker, out);
}

void RunTracker::endLapsedRuns(Instant now, Outbox &out)
{
    constexpr Milliseconds MaxWorkerSilence{15'000};
    std::vector<WorkerIncarnation> gone;
    for (auto &[incarnation, worker] : m_pool.all()) {
        const bool isSilent = now - worker.lastHeartbeat > MaxWorkerSilence;
        if ((worker.runs.empty() && !isSilent) || !m_pool.isLapsed(worker, now))
            continue;
        std::size_t staying = 0;
        for (auto &[task, run] : worker.runs) {
            if (!outlastsLease(now, worker, run))
                continue;
            if (!std::exchange(run.isStopping, true))
                out.note(task.step.job.value(),
                         absl::StrCat("lapsed run stays open: its start may still arrive: task=",
                                      nameOf(task), " run=", run.run.value(),
                                      " worker=", incarnation.worker.value()));
            ++staying;
        }
        if (staying > 0 && staying == worker.runs.size())
            continue;
        RunMetrics::recordLapsedLease(now, worker, out);
        // A start that arrives late would be executed beside the task's next run once the worker
        // has a lease again.
        const bool mayStartLate
                = std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto &entry) {
                      return entry.second.wasSent
                              && (!entry.second.wasAcknowledged || entry.second.mayArriveLate);
                  });
        endLapsedRuns(now, worker, out);
        if (mayStartLate)
            m_pool.raiseRevision(worker);
        if (isSilent && staying == 0)
            gone.push_back(incarnation);
    }
    for (const WorkerIncarnation &incarnation : gone)
        endIncarnation(incarnation, "no heartbeat and no answer", out);
}

bool RunTracker::outlastsLease(Instant now, const PooledWorker &worker, const OpenRun &run)
{
    // A third incarnation, which the leader has not heard of, may hold a lease that came with a
    // late start.
    return worker.mustStayOpen(run, now - WorkerPool::longestLease())
            || run.mayStartInNextIncarnation(now);
}

void RunTracker::endLapsedRuns(Instant now, const PooledWorker &worker, Outbox &out)
{
    std::vector<JobTaskRef> tasks;
    for (const auto &[task, run] : worker.runs) {
        if (run.wasSent && !outlastsLease(now, worker, run))
            tasks.push_back(task);
    }
    for (const JobTaskRef &task : tasks)
        endRun(worker.report.incarnation, task, RunEnding::Lapsed, out);
}

void RunTracker::updateWithheldLeases(Outbox &out)
{
    PooledWorker *next = nullptr;
    bool isAnyWithheld = false;
    for (auto &[incarnation, worker] : m_pool.all()) {
        if (worker.isLeaseWithheld && !worker.hasUnacknowledgeableEnd) {
            worker.isLeaseWithheld = false;
            out.note(incarnation.worker.value(),
                     "lease is granted again: its ends are acknowledged");
            m_results.onWorkerUsable();
        }
        isAnyWithheld = isAnyWithheld || worker.isLeaseWithheld;
        if (next == nullptr && WorkerPool::mustWithholdLease(worker) && isDisruptionAllowed(worker))
            next = &worker;
    }
    if (isAnyWithheld || next == nullptr)
        return;
    next->isLeaseWithheld = true;
    out.count(CellEvent::LeaseWithheld);
    out.add(LogLine{true, next->report.incarnation.worker.value(),
                    absl::StrCat("lease is left to lapse: ends can't be acknowledged: count=",
                                 next->unacknowledgedEndCount(), " runs=", next->runs.size())});
}

bool RunTracker::isDisruptionAllowed(const PooledWorker &worker)
{
    std::map<StepRef, std::uint32_t> away;
    for (const auto &[task, run] : worker.runs)
        ++away[task.step];
    for (auto &[step, count] : away) {
        const Job &job = m_store.jobs.at(step.job);
        const std::uint32_t budget = job.spec.steps[step.step].disruptionBudget;
        if (budget == 0)
            continue; // The step has none.
        for (const TaskProgress &task : job.occurrences.at(step.occurrence).steps[step.step]) {
            const PooledWorker *const host = task.mayStillRun ? m_pool.find(task.worker) : nullptr;
            if (host != &worker && (host == nullptr || host->isOnlyPolled()))
                ++count;
        }
        if (count > budget)
            return false;
    }
    return true;
}

bool RunTracker::isWanted(const JobTaskRef &task) const
{
    const auto job = m_store.jobs.find(task.step.job);
    if (job == m_store.jobs.end() || job->second.isOver())
        return false;
    const TaskProgress *const progress = jobstore::find(m_store, task);
    return progress != nullptr && !progress->isDone;
}

void RunTracker::sendDueOrders(Instant now, PooledWorker &worker, Outbox &out)
{
    for (auto &[task, run] : worker.runs) {
        if (!run.wasSent || run.isCallInFlight || now < run.nextAttempt)
            continue;
        // The repetition could start the task long after the worker has begun to drain.
        run.isStopping = run.isStopping || worker.mustStopUnanswered(run);
        if (run.isStopping || !isWanted(task)) {
            run.isCallInFlight = true;
            orderStop(now, worker, task, run.run, out);
        } else if (worker.mayRepeatStart(run)) {
            orderStart(now, worker, task, out);
        } else if (run.wasAcknowledged) {
            run.nextAttempt = now + ExecutingCheckInterval;
        }
    }
    sendDueRenewal(now, worker, out);
}

bool RunTracker::updateAcknowledgementWait(Instant now, PooledWorker &worker, Outbox &out)
{
    if (!worker.hasNewAcknowledgement()) {
        worker.acknowledgementWaitsSince.reset();
        worker.isAcknowledgementOverdue = false;
        return false;
    }
    if (!worker.hasUnsettledStart(now))
        return false;
    if (!worker.acknowledgementWaitsSince.has_value())
        worker.acknowledgementWaitsSince = now;
    // Waiting for copies that are under way without an answer does not end with fewer starts.
    const bool canEnd = std::any_of(worker.runs.begin(), worker.runs.end(), [now](const auto &it) {
        const OpenRun &run = it.second;
        return run.mayDelayAcknowledgement(now)
                && (run.isCallInFlight || run.startCopies.canBeListed());
    });
    const bool wasOverdue = worker.isAcknowledgementOverdue;
    worker.isAcknowledgementOverdue = canEnd
            && (wasOverdue || now - *worker.acknowledgementWaitsSince > MaxAcknowledgementWait);
    if (worker.isAcknowledgementOverdue && !wasOverdue) {
        out.count(CellEvent::AcknowledgementOverdue);
        out.note(worker.report.incarnation.worker.value(),
                 absl::StrCat("acknowledgement waits for starts: end=",
                              worker.acknowledgedEnd.value()));
    }
    return true;
}

void RunTracker::sendDueRenewal(Instant now, PooledWorker &worker, Outbox &out)
{
    const bool mustWait = updateAcknowledgementWait(now, worker, out);
    const bool hasSendableAcknowledgement = worker.hasNewAcknowledgement()
            && now - worker.listedAt <= MaxListAgeForAcknowledgement;
    const bool hasPendingAcknowledgement
            = worker.acknowledgedEnd < worker.acknowledgeableEnd && !hasSendableAcknowledgement;
    if (worker.isLeaseRenewalInFlight || now < worker.nextLeaseRenewal || hasPendingAcknowledgement)
        return;
    const bool hasStartInFlight
            = std::any_of(worker.runs.begin(), worker.runs.end(), [now](const auto &entry) {
                  return entry.second.isCallInFlight && entry.second.mayDelayAcknowledgement(now);
              });
    if (mustWait && hasStartInFlight
        && now - worker.acknowledgementWaitsSince.value_or(now) < MaxRenewalDelay)
        return;
    // A worker that did not answer is polled until it does; otherwise it would not be used again.
    if (!worker.runs.empty() || !worker.clock.has_value() || worker.isOnlyPolled()
        || worker.hasUnexpectedRun || worker.isAcknowledgementOverdue
        || (worker.hasUnacknowledgeableEnd && m_pool.isLapsed(worker, now)))
        renewLease(now, worker, out);
}

void RunTracker::renewLease(Instant now, PooledWorker &worker, Outbox &out)
{
    const bool isRecentlyListed = now - worker.listedAt <= MaxListAgeForAcknowledgement;
    // The next incarnation must refuse an acknowledgement that follows a start.
    const bool isAcknowledging = worker.hasNewAcknowledgement() && !worker.isOnlyPolled()
            && isRecentlyListed && !worker.hasUnsettledStart(now);
    // Without a recent list the worker is listed again at once, and the acknowledgement follows.
    const bool isLongPoll = !worker.isOnlyPolled() && worker.clock.has_value()
            && (!worker.hasNewAcknowledgement() || isAcknowledging);
    Call call;
    for (const auto &[task, run] : worker.runs) {
        if (run.wasAcknowledged && run.wasSent)
            call.acknowledged.emplace(task, run.run);
    }
    // Repeating an acknowledgement would be of no use to this incarnation, and the next one would
    // drop ends that nobody has seen.
    if (isAcknowledging) {
        call.acknowledgedEnd = worker.acknowledgedEnd;
        worker.acknowledgementRevision = worker.revision;
        worker.acknowledgementWaitsSince.reset();
        if (std::exchange(worker.isAcknowledgementOverdue, false))
            m_results.onWorkerUsable();
    }
    CallWorker effect = makeCall(now, worker,
                                 OrderLeaseRenewal{call.acknowledgedEnd,
                                                   isLongPoll ? RenewalPollWait : Milliseconds(0)});
    effect.leaseUntil
            = WorkerPool::mayRenew(worker) ? WorkerPool::grant(worker, now).value_or(0) : 0;
    effect.timeout = OrderTimeout + (isLongPoll ? RenewalPollWait : Milliseconds(0));
    worker.isLeaseRenewalInFlight = true;
    send(now, worker, std::move(effect), std::move(call), out);
}

CallWorker RunTracker::makeCall(Instant now, const PooledWorker &worker, WorkerOrder order)
{
    CallWorker call;
    call.call = CallId(++m_lastCall);
    call.address = worker.report.address;
    call.incarnation = worker.report.incarnation;
    call.fence = m_fence;
    call.revision = worker.revision;
    call.order = std::move(order);
    call.validUntil = now + OrderValidity;
    call.timeout = OrderTimeout;
    return call;
}

void RunTracker::send(Instant now, const PooledWorker &worker, CallWorker effect, Call call,
                      Outbox &out)
{
    call.kind = kindOf(effect.order);
    call.incarnation = effect.incarnation;
    call.leaseUntil = effect.leaseUntil;
    call.revision = effect.revision;
    call.sentAt = now;
    call.minClock = WorkerPool::minClock(worker, now);
    m_calls.emplace(effect.call, std::move(call));
    m_metrics.recordOrder(now, effect, out);
    out.add(std::move(effect));
}

void RunTracker::orderStart(Instant now, PooledWorker &worker, const JobTaskRef &task, Outbox &out)
{
    OpenRun &run = worker.runs.at(task);
    // A repetition does not extend the lease, or that of a worker that does not answer would never
    // end.
    const bool isRepetition = run.startedAt.has_value() && worker.grantedUntil > 0;
    run.wasSent = true;
    const Job &job = m_store.jobs.at(task.step.job);
    const Milliseconds length = WorkerPool::leaseLength(run, job.spec.steps.at(task.step.step));
    const std::optional<std::int64_t> until
            = isRepetition ? worker.grantedUntil : WorkerPool::grant(worker, now, length);
    if (!until.has_value())
        return;
    // The next incarnation must refuse an acknowledgement that arrives after the start.
    if (worker.acknowledgementRevision >= worker.revision)
        m_pool.raiseRevision(worker);
    run.startCopies.add(now);
    CallWorker effect = makeCall(now, worker,
                                 OrderStart{task, run.run,
                                            std::make_shared<const std::string>(job.spec.payload),
                                            jobstore::find(m_store, task)->checkpoint, run.ticket});
    effect.leaseUntil = *until;
    // Repetitions go to silent workers; other starts may use their share of the admission limit.
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
    Call call;
    call.task = task;
    call.run = run.run;
    send(now, worker, std::move(effect), std::move(call), out);
}

void RunTracker::orderStop(Instant now, PooledWorker &worker, const JobTaskRef &task, RunNumber run,
                           Outbox &out)
{
    out.note(task.step.job.value(),
             absl::StrCat("stop ordered: task=", nameOf(task), " run=", run.value(),
                          " worker=", worker.report.incarnation.worker.value()));
    Call call;
    call.task = task;
    call.run = run;
    send(now, worker, makeCall(now, worker, OrderStop{task, run}), std::move(call), out);
}

} // namespace gentiancross
