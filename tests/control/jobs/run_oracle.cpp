#include "tests/control/jobs/run_oracle.h"

#include "tests/control/jobs/model_trace.h"

#include <algorithm>

namespace gentiancross::tests {

void RunOracle::addViolation(const JobTaskRef &task, const std::string &what)
{
    m_violations.push_back(what + ": task=" + describe(task));
}

void RunOracle::recordSubmission(const JobId &id, const JobSpec &spec, std::uint32_t maxAttempts)
{
    m_jobs.try_emplace(id, SubmittedJob{spec, maxAttempts});
}

const StepSpec &RunOracle::stepOf(const JobTaskRef &task) const
{
    return m_jobs.at(task.step.job).spec.steps.at(task.step.step);
}

bool RunOracle::hasEnded(const JobTaskRef &task, RunEnding ending) const
{
    const auto found = m_tasks.find(task);
    return found != m_tasks.end()
            && std::any_of(found->second.ends.begin(), found->second.ends.end(),
                           [&](std::size_t end) { return m_ends[end].ending == ending; });
}

std::uint32_t RunOracle::acknowledgedBefore(const JobTaskRef &task, RunEnding ending,
                                            std::uint64_t eventNumber) const
{
    const std::vector<std::size_t> &ends = m_tasks.at(task).ends;
    return static_cast<std::uint32_t>(
            std::count_if(ends.begin(), ends.end(), [&](std::size_t number) {
                const End &end = m_ends[number];
                return end.isAcknowledged && end.ending == ending && end.eventNumber < eventNumber;
            }));
}

void RunOracle::checkStart(const JobTaskRef &task, std::uint64_t eventNumber)
{
    if (stepOf(task).isLongRunning)
        return;
    if (acknowledgedBefore(task, RunEnding::Done, eventNumber) > 0)
        addViolation(task, "a start after an acknowledged completion");
    if (acknowledgedBefore(task, RunEnding::Failed, eventNumber)
        >= m_jobs.at(task.step.job).maxAttempts)
        addViolation(task, "a start after the last permitted attempt");
}

void RunOracle::recordStart(const WorkerIncarnation &incarnation, const Resources &capacity,
                            const JobTaskRef &task, RunNumber run)
{
    ++m_eventNumber;
    const auto job = m_jobs.find(task.step.job);
    if (job == m_jobs.end()) {
        addViolation(task, "a start of a job that was not submitted");
        return;
    }
    History &history = m_tasks[task];
    if (!history.running.empty())
        addViolation(task, "two concurrent runs");
    history.running[incarnation] = run;
    history.starts.push_back(m_eventNumber);
    checkStart(task, m_eventNumber);
    for (const std::uint32_t earlier : stepOf(task).after) {
        for (std::uint32_t index = 0; index < job->second.spec.steps[earlier].count; ++index) {
            JobTaskRef before{task.step, index};
            before.step.step = earlier;
            if (!hasEnded(before, RunEnding::Done))
                addViolation(task, "a start before an earlier step had completed");
        }
    }
    Resources &used = m_used[incarnation];
    used += stepOf(task).perTask;
    if (!used.fitsIn(capacity))
        addViolation(task, "a start beyond the worker's capacity");
}

std::size_t RunOracle::recordEnd(const WorkerIncarnation &incarnation, const JobTaskRef &task,
                                 RunNumber, RunEnding ending)
{
    History &history = m_tasks[task];
    history.running.erase(incarnation);
    m_used[incarnation] -= stepOf(task).perTask;
    m_ends.push_back({task, ending, ++m_eventNumber, false});
    history.ends.push_back(m_ends.size() - 1);
    return m_ends.size() - 1;
}

void RunOracle::recordAcknowledgement(std::size_t number)
{
    End &end = m_ends[number];
    end.isAcknowledged = true;
    for (const std::uint64_t start : m_tasks.at(end.task).starts) {
        if (start > end.eventNumber)
            checkStart(end.task, start);
    }
}

void RunOracle::recordDeath(const WorkerIncarnation &incarnation)
{
    ++m_eventNumber;
    m_used.erase(incarnation);
    for (auto &[task, history] : m_tasks)
        history.running.erase(incarnation);
}

void RunOracle::checkReportedState(const JobId &id, JobState state)
{
    const SubmittedJob &job = m_jobs.at(id);
    bool hasFailed = false;
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < job.spec.steps[step].count; ++index) {
            const JobTaskRef task{{id, 0, step}, index};
            if (state == JobState::Completed && !hasEnded(task, RunEnding::Done))
                addViolation(task, "job reported as completed before the task had completed");
            const auto found = m_tasks.find(task);
            const auto isFailed
                    = [&](std::size_t end) { return m_ends[end].ending == RunEnding::Failed; };
            if (found != m_tasks.end()
                && std::count_if(found->second.ends.begin(), found->second.ends.end(), isFailed)
                        >= std::int64_t(job.maxAttempts))
                hasFailed = true;
        }
    }
    if (state == JobState::Failed && !hasFailed)
        addViolation({{id, 0, 0}, 0},
                     "job reported as failed without a task that used up its attempts");
}

std::size_t RunOracle::activeRuns(const JobTaskRef &task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? 0 : found->second.running.size();
}

} // namespace gentiancross::tests
