#include "control/jobs/run_end_recorder.h"

#include "control/jobs/run_metrics.h"
#include "control/jobs/run_names.h"

#include <absl/strings/str_cat.h>

namespace gentiancross {

namespace {

/** A worker that fails runs of so many jobs in a row gets no more for a while; one run in fifty
 * fails on sound workers. */
constexpr std::uint32_t FailuresInRow = 3;
constexpr Milliseconds FailingPause{4000};

} // namespace

RunEndRecorder::RunEndRecorder(const JobStoreData &book, WorkerPool &pool, RunResultHandler &sink)
    : m_book(book)
    , m_pool(pool)
    , m_sink(sink)
{}

void RunEndRecorder::take(Instant now, PooledWorker &worker,
                          const std::vector<ReportedCompletion> &ended, Outbox &out)
{
    const WorkerIncarnation life = worker.report.incarnation;
    for (const ReportedCompletion &end : ended) {
        if (end.number <= worker.recordedEnd)
            continue;
        worker.recordedEnd = end.number;
        RunMetrics::endListed(now, worker, end, out);
        out.note(end.task.step.job.value(),
                 absl::StrCat("run ended: task=", nameOf(end.task), " run=", end.run.value(),
                              " worker=", life.worker.value(), " how=", nameOf(end.ending)));
        if (end.ending == RunEnding::Done) {
            notePace(now, worker, end);
            worker.consecutiveFailures = 0;
        } else if (end.ending == RunEnding::Failed) {
            noteFailure(now, worker, end.task.step.job, out);
        }
        noteWhetherNotable(worker, end, out);
        m_sink.apply(RunEnded{end.task, end.run, end.ending, end.checkpoint});
        if (!worker.hasUnacknowledgeableEnd) {
            worker.acknowledgeableEnd = end.number;
            m_sink.acknowledgeEnds(life, end.number);
        }
    }
}

void RunEndRecorder::noteWhetherNotable(PooledWorker &worker, const ReportedCompletion &end,
                                        Outbox &out)
{
    // Everything that ran was killed after the ends before this one, so none of them was in time.
    if (end.ending == RunEnding::Lapsed)
        worker.hasUnacknowledgeableEnd = false;
    const bool counts = end.ending == RunEnding::Done || end.ending == RunEnding::Failed;
    if (!counts || worker.hasUnacknowledgeableEnd || !mustBeKept(end))
        return;
    worker.hasUnacknowledgeableEnd = true;
    worker.unacknowledgeableEndJob = end.task.step.job;
    out.count(CellEvent::EndAfterLaterRun);
    out.add(LogLine{true, end.task.step.job.value(),
                    absl::StrCat("end not noted: task=", nameOf(end.task), " run=", end.run.value(),
                                 " worker=", worker.report.incarnation.worker.value(),
                                 " last_run=", jobstore::find(m_book, end.task)->lastRun.value())});
}

bool RunEndRecorder::mustBeKept(const ReportedCompletion &end)
{
    const TaskProgress *const progress = jobstore::find(m_book, end.task);
    if (progress == nullptr)
        return false;
    const Job &job = m_book.jobs.at(end.task.step.job);
    const StepSpec &step = job.spec.steps[end.task.step.step];
    if (step.isLongRunning || progress->lastRun < end.run)
        return false;
    if (progress->lastRun == end.run) {
        // The run was closed without its end, so the failure does not count in the book.
        return end.ending == RunEnding::Failed && !progress->mayStillRun && !progress->isDone
                && !job.isOver();
    }
    if (end.ending != RunEnding::Done || step.isGang || progress->lastRun != end.run.next())
        return true;
    // A start that has not left yet is given up, since the task is done.
    PooledWorker *const worker = m_pool.find(progress->worker);
    if (worker == nullptr || !worker->runs.contains(end.task))
        return true;
    const OpenRun &next = worker->runs.at(end.task);
    return next.run != progress->lastRun || next.wasSent;
}

void RunEndRecorder::noteFailure(Instant now, PooledWorker &worker, const JobId &job, Outbox &out)
{
    if (worker.lastFailedJob == job && worker.consecutiveFailures > 0)
        return;
    worker.lastFailedJob = job;
    if (++worker.consecutiveFailures < FailuresInRow)
        return;
    worker.avoidUntil = now + FailingPause;
    out.add(LogLine{true, worker.report.incarnation.worker.value(),
                    absl::StrCat("avoided for a while: runs of jobs that failed in a row=",
                                 worker.consecutiveFailures)});
}

void RunEndRecorder::notePace(Instant now, PooledWorker &worker, const ReportedCompletion &end)
{
    const auto run = worker.runs.find(end.task);
    if (run == worker.runs.end() || run->second.run != end.run
        || !run->second.startedAt.has_value())
        return;
    const StepSpec &step = m_book.jobs.at(end.task.step.job).spec.steps[end.task.step.step];
    // Best-effort runs take as long as others let them.
    if (step.estimate <= Milliseconds(0) || step.isBestEffort || step.isLongRunning)
        return;
    const Milliseconds taken = now - *run->second.startedAt;
    worker.pace.addRun(taken, step.estimate);
    m_pool.averagePace().addRun(taken, step.estimate);
}

} // namespace gentiancross
