#include "control/jobs/run_end_recorder.h"

#include "control/jobs/run_metrics.h"
#include "control/jobs/run_names.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace gentiancross {

namespace {

/** A worker that fails runs of this many jobs in a row gets no new runs for a while. On
 * healthy workers one run in fifty fails. */
constexpr std::uint32_t MaxConsecutiveFailures = 3;
constexpr Milliseconds FailureCooldown{4000};

} // namespace

RunEndRecorder::RunEndRecorder(const JobStoreData &store, WorkerPool &pool,
                               RunResultHandler &results)
    : m_store(store)
    , m_pool(pool)
    , m_results(results)
{}

void RunEndRecorder::recordEnds(Instant now, Instant askedAt, PooledWorker &worker,
                                const std::vector<ReportedCompletion> &ended, Outbox &out)
{
    const WorkerIncarnation incarnation = worker.report.incarnation;
    // Without a lease nothing has run since, so all ends in the list come before the lapse.
    const bool hasLeaseLapsed = m_pool.isLapsed(worker, now);
    if (hasLeaseLapsed && worker.hasUnacknowledgeableEnd)
        releaseLapsedEnds(worker, out);
    std::vector<ReportedCompletion> ordered = ended;
    std::sort(ordered.begin(), ordered.end(),
              [](const auto &first, const auto &second) { return first.number < second.number; });
    for (const ReportedCompletion &end : ordered) {
        if (end.number <= worker.recordedEnd)
            continue;
        if (mustWait(worker, end, askedAt))
            break;
        worker.recordedEnd = end.number;
        RunMetrics::recordListedEnd(now, worker, end, out);
        out.note(end.task.step.job.value(),
                 absl::StrCat("run ended: task=", nameOf(end.task), " run=", end.run.value(),
                              " worker=", incarnation.worker.value(), " how=", nameOf(end.ending)));
        if (end.ending == RunEnding::Done) {
            recordPace(now, worker, end);
            worker.consecutiveFailures = 0;
            m_failures.recordSuccess(end.task.step.job);
        } else if (end.ending == RunEnding::Failed) {
            recordFailure(now, worker, end.task.step.job, out);
        }
        updateAcknowledgeable(worker, end, hasLeaseLapsed, out);
        m_results.onRunBegun(end.task);
        m_results.apply(RunEnded{end.task, end.run, end.ending, end.checkpoint});
        if (!worker.hasUnacknowledgeableEnd) {
            worker.acknowledgeableEnd = end.number;
            m_results.acknowledgeEnds(incarnation, end.number);
        }
    }
}

void RunEndRecorder::releaseLapsedEnds(PooledWorker &worker, Outbox &out)
{
    const WorkerIncarnation &incarnation = worker.report.incarnation;
    worker.hasUnacknowledgeableEnd = false;
    worker.acknowledgeableEnd = worker.recordedEnd;
    m_results.acknowledgeEnds(incarnation, worker.recordedEnd);
    out.count(CellEvent::LateEndReleased);
    out.note(incarnation.worker.value(),
             absl::StrCat("late ends acknowledged, since the lease has lapsed after them: end=",
                          worker.recordedEnd.value()));
}

bool RunEndRecorder::mustWait(PooledWorker &worker, const ReportedCompletion &end, Instant askedAt)
{
    const auto found = worker.runs.find(end.task);
    if (found == worker.runs.end() || found->second.run != end.run)
        return false;
    found->second.startCopies.settleListed();
    return worker.mustStayOpen(found->second, askedAt);
}

void RunEndRecorder::updateAcknowledgeable(PooledWorker &worker, const ReportedCompletion &end,
                                           bool hasLeaseLapsed, Outbox &out)
{
    // All runs were killed at the lapse, after the ends listed before it, so none of those ends was
    // in time.
    if (end.ending == RunEnding::Lapsed)
        worker.hasUnacknowledgeableEnd = false;
    const bool counts = end.ending == RunEnding::Done || end.ending == RunEnding::Failed;
    if (!counts || worker.hasUnacknowledgeableEnd || !mustStayListed(end))
        return;
    if (hasLeaseLapsed) {
        out.count(CellEvent::LateEndReleased);
        out.note(end.task.step.job.value(),
                 absl::StrCat("late end acknowledged, since the lease has lapsed after it: task=",
                              nameOf(end.task), " run=", end.run.value(),
                              " worker=", worker.report.incarnation.worker.value()));
        return;
    }
    worker.hasUnacknowledgeableEnd = true;
    worker.unacknowledgeableEndJob = end.task.step.job;
    out.count(CellEvent::EndAfterLaterRun);
    out.add(LogLine{
            true, end.task.step.job.value(),
            absl::StrCat("end not acknowledged: task=", nameOf(end.task), " run=", end.run.value(),
                         " worker=", worker.report.incarnation.worker.value(),
                         " last_run=", jobstore::find(m_store, end.task)->lastRun.value())});
}

bool RunEndRecorder::mustStayListed(const ReportedCompletion &end)
{
    const TaskProgress *const progress = jobstore::find(m_store, end.task);
    if (progress == nullptr)
        return false;
    const Job &job = m_store.jobs.at(end.task.step.job);
    const StepSpec &step = job.spec.steps[end.task.step.step];
    if (step.isLongRunning || progress->lastRun < end.run)
        return false;
    if (progress->lastRun == end.run) {
        // The run was closed before its end was listed, so the job store does not count the
        // failure.
        return end.ending == RunEnding::Failed && !progress->mayStillRun && !progress->isDone
                && !job.isOver();
    }
    if (end.ending != RunEnding::Done || step.isGang || progress->lastRun != end.run.next())
        return true;
    // A start that has not been sent is dropped, since the task is done.
    PooledWorker *const worker = m_pool.find(progress->worker);
    if (worker == nullptr || !worker->runs.contains(end.task))
        return true;
    const OpenRun &next = worker->runs.at(end.task);
    return next.run != progress->lastRun || next.wasSent;
}

void RunEndRecorder::recordFailure(Instant now, PooledWorker &worker, const JobId &job, Outbox &out)
{
    const FailureAttribution::Verdict verdict
            = m_failures.recordFailure(job, worker.report.incarnation.worker);
    if (verdict.exonerated.has_value()) {
        out.note(job.value(),
                 absl::StrCat("job fails on several workers, which are not at fault: ", "first=",
                              verdict.exonerated->value(),
                              " then=", worker.report.incarnation.worker.value()));
        exonerate(now, *verdict.exonerated);
    }
    if (verdict.cause == FailureCause::Job)
        return;
    if (worker.lastFailedJob == job && worker.consecutiveFailures > 0)
        return;
    worker.lastFailedJob = job;
    if (++worker.consecutiveFailures < MaxConsecutiveFailures)
        return;
    worker.avoidUntil = now + FailureCooldown;
    out.add(LogLine{true, worker.report.incarnation.worker.value(),
                    absl::StrCat("worker avoided for a while: consecutive job failures=",
                                 worker.consecutiveFailures)});
}

void RunEndRecorder::exonerate(Instant now, const WorkerId &name)
{
    PooledWorker *const worker = m_pool.findNewestIncarnation(name);
    if (worker == nullptr || worker->consecutiveFailures == 0)
        return;
    if (worker->consecutiveFailures-- < MaxConsecutiveFailures || now >= worker->avoidUntil)
        return;
    worker->avoidUntil = now;
    m_results.onWorkerUsable();
}

void RunEndRecorder::recordPace(Instant now, PooledWorker &worker, const ReportedCompletion &end)
{
    const auto run = worker.runs.find(end.task);
    if (run == worker.runs.end() || run->second.run != end.run
        || !run->second.startedAt.has_value())
        return;
    const StepSpec &step = m_store.jobs.at(end.task.step.job).spec.steps[end.task.step.step];
    // The time of best-effort runs depends on the load that other runs cause.
    if (step.isBestEffort || step.isLongRunning)
        return;
    const Milliseconds taken = now - *run->second.startedAt;
    if (step.estimate > Milliseconds(0)) {
        worker.pace.addRun(taken, step.estimate);
        m_pool.averagePace().addRun(taken, step.estimate);
    }
    const bool mayHaveResumed = step.checkpoints && end.run != RunNumber(1);
    if (!step.isGang && !mayHaveResumed)
        m_results.onRunTimed(worker, end.task, run->second, taken);
}

} // namespace gentiancross
