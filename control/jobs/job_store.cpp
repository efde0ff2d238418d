#include "control/jobs/job_store.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** Departed workers are remembered because heartbeats that were in flight arrive within seconds.
 * This bound covers some hours of departures on an ordinary day. */
constexpr std::size_t MaxLeftWorkers = 1000;

/** Applies one record; a record that no longer matches the state changes nothing. */
class Applier
{
public:
    Applier(JobStoreData &data, JobStoreObserver *observer)
        : m_data(data)
        , m_observer(observer)
    {}

    void operator()(const DocumentAccepted &record)
    {
        if (!record.document.has_value())
            return;
        if (m_data.document.has_value() && m_data.document->version >= record.document->version)
            return;
        m_data.document.forgetText();
        m_data.document = record.document;
    }

    void operator()(const JobAccepted &record)
    {
        if (!jobstore::isRunnable(record.spec))
            return;
        const auto [found, isNew] = m_data.jobs.try_emplace(record.id);
        if (!isNew)
            return;
        Job &job = found->second;
        job.terms = record.terms;
        job.submittedBy = record.submittedBy;
        job.spec = record.spec;
        job.acceptedAt = record.acceptedAt;
        if (job.spec.repeats == 0)
            beginOccurrence(job);
        changed(record.id, job);
    }

    void operator()(const JobCancelled &record)
    {
        const auto found = m_data.jobs.find(record.id);
        if (found == m_data.jobs.end() || found->second.isOver())
            return;
        end(found->second, JobState::Cancelled);
        changed(record.id, found->second);
    }

    void operator()(const OccurrenceBegun &record)
    {
        const auto found = m_data.jobs.find(record.id);
        if (found == m_data.jobs.end() || found->second.isOver()
            || found->second.occurrencesBegun >= found->second.spec.repeats)
            return;
        beginOccurrence(found->second);
        changed(record.id, found->second);
    }

    void operator()(const RunOrdered &record)
    {
        Job *const job = findJob(record.task);
        TaskProgress *const task = findTask(record.task);
        if (task == nullptr || record.run <= task->lastRun)
            return;
        const StepRef &ref = record.task.step;
        if (job->spec.steps[ref.step].isGang)
            inheritFailures(job->occurrences.at(ref.occurrence).steps[ref.step], *task);
        task->lastRun = record.run;
        task->mayStillRun = true;
        task->worker = record.worker;
        if (job->state == JobState::Queued)
            job->state = JobState::Running;
        if (m_observer != nullptr)
            m_observer->onRunOpened(record.task, *job, *task);
    }

    void operator()(const RunEnded &record)
    {
        Job *const job = findJob(record.task);
        TaskProgress *const task = findTask(record.task);
        if (task == nullptr || record.run > task->lastRun)
            return;
        const StepSpec &step = job->spec.steps[record.task.step.step];
        if (record.ending == RunEnding::Done && !step.isLongRunning) {
            finish(record, *job, step);
            return;
        }
        if (record.run != task->lastRun || !task->mayStillRun)
            return;
        close(record.task, *job, *task);
        if (task->isDone)
            return;
        if (!record.checkpoint.empty())
            keepCheckpoint(record, *job, step);
        if (record.ending == RunEnding::Failed)
            countFailure(record, *job, step);
        runEnded(record.task.step, *job);
    }

    void operator()(const WorkerReported &record)
    {
        m_data.workers.insert_or_assign(record.report.incarnation, record.report);
    }

    void operator()(const WorkerIncarnationEnded &record)
    {
        m_data.workers.erase(record.incarnation);
    }

    void operator()(const WorkerLeft &record)
    {
        m_data.workers.erase(record.incarnation);
        m_data.leftWorkers.push_back(record.incarnation);
        if (m_data.leftWorkers.size() > MaxLeftWorkers)
            m_data.leftWorkers.erase(m_data.leftWorkers.begin());
    }

    void operator()(const RunMoved &record)
    {
        Job *const job = findJob(record.task);
        TaskProgress *const task = findTask(record.task);
        if (task == nullptr || !task->mayStillRun || task->lastRun != record.run)
            return;
        close(record.task, *job, *task);
        task->mayStillRun = true;
        task->worker = record.worker;
        if (m_observer != nullptr)
            m_observer->onRunOpened(record.task, *job, *task);
    }

    void operator()(const JobsForgotten &record)
    {
        for (const JobId &id : record.jobs) {
            const auto found = m_data.jobs.find(id);
            const bool isForgotten = found != m_data.jobs.end() && found->second.isOver()
                    && !jobstore::hasOpenRun(found->second);
            if (isForgotten)
                m_data.jobs.erase(found);
        }
    }

    void operator()(const EvacuationBegun &record)
    {
        m_data.evacuatedDataCentres.insert(record.dataCentre);
    }

    void operator()(const EvacuationEnded &record)
    {
        m_data.evacuatedDataCentres.erase(record.dataCentre);
    }

private:
    /** Ends the job. Nothing of it will start any more, so the payload of starts is dropped. */
    static void end(Job &job, JobState state)
    {
        job.state = state;
        job.spec.payload = std::string();
    }

    static void beginOccurrence(Job &job)
    {
        Occurrence occurrence;
        for (const StepSpec &step : job.spec.steps)
            occurrence.steps.emplace_back(step.count);
        job.occurrences.emplace(job.occurrencesBegun, std::move(occurrence));
        ++job.occurrencesBegun;
    }

    Job *findJob(const JobTaskRef &task)
    {
        const auto found = m_data.jobs.find(task.step.job);
        return found == m_data.jobs.end() ? nullptr : &found->second;
    }

    TaskProgress *findTask(const JobTaskRef &task)
    {
        return const_cast<TaskProgress *>(jobstore::find(m_data, task));
    }

    void close(const JobTaskRef &ref, const Job &job, TaskProgress &task)
    {
        if (!task.mayStillRun)
            return;
        if (m_observer != nullptr)
            m_observer->onRunClosed(ref, job, task);
        task.mayStillRun = false;
    }

    /**
     * Marks a task as done; for a gang, the end of one member marks all. If the run was wrongly
     * taken for lost, a later run may still be executing; its capacity stays reserved until that
     * run ends.
     */
    void finish(const RunEnded &record, Job &job, const StepSpec &step)
    {
        const JobTaskRef &ref = record.task;
        std::vector<TaskProgress> &tasks
                = job.occurrences.at(ref.step.occurrence).steps[ref.step.step];
        const bool wasDone = tasks[ref.index].isDone;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
            if (!step.isGang && index != ref.index)
                continue;
            if (tasks[index].lastRun == record.run)
                close({ref.step, index}, job, tasks[index]);
            tasks[index].isDone = true;
        }
        if (!wasDone)
            finishOccurrence(ref.step, job);
        runEnded(ref.step, job);
    }

    void finishOccurrence(const StepRef &ref, Job &job)
    {
        const auto found = job.occurrences.find(ref.occurrence);
        const auto &steps = found->second.steps;
        if (!std::all_of(steps.begin(), steps.end(), &jobstore::isStepDone))
            return;
        ++job.occurrencesDone;
        if (job.isOver() || job.occurrencesDone < std::max(1U, job.spec.repeats))
            return;
        end(job, JobState::Completed);
    }

    /** A gang resumes from the checkpoint of any member, and all must resume from the same one. */
    static void keepCheckpoint(const RunEnded &record, Job &job, const StepSpec &step)
    {
        std::vector<TaskProgress> &tasks
                = job.occurrences.at(record.task.step.occurrence).steps[record.task.step.step];
        if (!step.isGang) {
            tasks[record.task.index].checkpoint = record.checkpoint;
            return;
        }
        for (TaskProgress &task : tasks)
            task.checkpoint = record.checkpoint;
    }

    /** Gives a gang's member that starts the number of the gang's failed runs. In a run each member
     * counts its own failure, so the run counts once however many of them fail. */
    static void inheritFailures(const std::vector<TaskProgress> &gang, TaskProgress &member)
    {
        for (const TaskProgress &task : gang)
            member.failures = std::max(member.failures, task.failures);
    }

    static void countFailure(const RunEnded &record, Job &job, const StepSpec &step)
    {
        TaskProgress &task = job.occurrences.at(record.task.step.occurrence)
                                     .steps[record.task.step.step][record.task.index];
        ++task.failures;
        if (!step.isLongRunning && task.failures >= job.terms.maxAttempts && !job.isOver())
            end(job, JobState::Failed);
    }

    void changed(const JobId &id, const Job &job)
    {
        if (m_observer != nullptr)
            m_observer->onJobChanged(id, job);
    }

    void runEnded(const StepRef &step, const Job &job)
    {
        if (job.isOver())
            changed(step.job, job);
        else if (m_observer != nullptr)
            m_observer->onStepChanged(step, job);
    }

    JobStoreData &m_data;
    JobStoreObserver *m_observer;
};

} // namespace

namespace jobstore {

bool isRunnable(const JobSpec &spec)
{
    std::uint64_t tasks = 0;
    for (std::uint32_t number = 0; number < spec.steps.size(); ++number) {
        const StepSpec &step = spec.steps[number];
        tasks += step.count;
        if (std::any_of(step.after.begin(), step.after.end(),
                        [number](std::uint32_t earlier) { return earlier >= number; }))
            return false;
    }
    return tasks <= MaxTasksPerJob;
}

void apply(JobStoreData &data, const JobRecord &record, JobStoreObserver *observer)
{
    std::visit(Applier(data, observer), record);
}

bool hasOpenRun(const Job &job)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const std::vector<TaskProgress> &tasks : occurrence.steps) {
            if (std::any_of(tasks.begin(), tasks.end(),
                            [](const TaskProgress &task) { return task.mayStillRun; }))
                return true;
        }
    }
    return false;
}

bool isStepDone(const std::vector<TaskProgress> &tasks)
{
    return std::all_of(tasks.begin(), tasks.end(),
                       [](const TaskProgress &task) { return task.isDone; });
}

bool isStepReady(const Job &job, const Occurrence &occurrence, std::uint32_t step)
{
    const std::vector<std::uint32_t> &after = job.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
        return isStepDone(occurrence.steps[earlier]);
    });
}

const TaskProgress *find(const JobStoreData &data, const JobTaskRef &task)
{
    const auto job = data.jobs.find(task.step.job);
    if (job == data.jobs.end())
        return nullptr;
    const auto occurrence = job->second.occurrences.find(task.step.occurrence);
    if (occurrence == job->second.occurrences.end())
        return nullptr;
    const auto &steps = occurrence->second.steps;
    if (task.step.step >= steps.size() || task.index >= steps[task.step.step].size())
        return nullptr;
    return &steps[task.step.step][task.index];
}

} // namespace jobstore

} // namespace gentiancross
