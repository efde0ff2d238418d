#include "tests/control/jobs/run_oracle.h"

#include "tests/control/jobs/model_trace.h"

#include <algorithm>

namespace gentiancross::tests {

void RunOracle::addFault(const JobTaskRef &task, const std::string &what)
{
    m_faults.push_back(what + ": task=" + describe(task));
}

void RunOracle::submitted(const JobId &id, const JobSpec &spec, std::uint32_t maxAttempts)
{
    m_jobs.try_emplace(id, Submitted{spec, maxAttempts});
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

std::uint32_t RunOracle::notedBefore(const JobTaskRef &task, RunEnding ending,
                                     std::uint64_t moment) const
{
    const std::vector<std::size_t> &ends = m_tasks.at(task).ends;
    return static_cast<std::uint32_t>(
            std::count_if(ends.begin(), ends.end(), [&](std::size_t number) {
                const End &end = m_ends[number];
                return end.isNoted && end.ending == ending && end.moment < moment;
            }));
}

void RunOracle::checkStart(const JobTaskRef &task, std::uint64_t moment)
{
    if (stepOf(task).isLongRunning)
        return;
    if (notedBefore(task, RunEnding::Done, moment) > 0)
        addFault(task, "a start after an end that counts");
    if (notedBefore(task, RunEnding::Failed, moment) >= m_jobs.at(task.step.job).maxAttempts)
        addFault(task, "a start after the last attempt");
}

void RunOracle::started(const WorkerIncarnation &life, const Resources &capacity,
                        const JobTaskRef &task, RunNumber run)
{
    ++m_moment;
    const auto job = m_jobs.find(task.step.job);
    if (job == m_jobs.end()) {
        addFault(task, "a start that nobody asked for");
        return;
    }
    History &history = m_tasks[task];
    if (!history.running.empty())
        addFault(task, "two runs at a time");
    history.running[life] = run;
    history.starts.push_back(m_moment);
    checkStart(task, m_moment);
    for (const std::uint32_t earlier : stepOf(task).after) {
        for (std::uint32_t index = 0; index < job->second.spec.steps[earlier].count; ++index) {
            JobTaskRef before{task.step, index};
            before.step.step = earlier;
            if (!hasEnded(before, RunEnding::Done))
                addFault(task, "a start before an earlier step was done");
        }
    }
    Resources &used = m_used[life];
    used += stepOf(task).perTask;
    if (!used.fitsIn(capacity))
        addFault(task, "a start beyond its worker's capacity");
}

std::size_t RunOracle::ended(const WorkerIncarnation &life, const JobTaskRef &task, RunNumber,
                             RunEnding ending)
{
    History &history = m_tasks[task];
    history.running.erase(life);
    m_used[life] -= stepOf(task).perTask;
    m_ends.push_back({task, ending, ++m_moment, false});
    history.ends.push_back(m_ends.size() - 1);
    return m_ends.size() - 1;
}

void RunOracle::noted(std::size_t number)
{
    End &end = m_ends[number];
    end.isNoted = true;
    for (const std::uint64_t start : m_tasks.at(end.task).starts) {
        if (start > end.moment)
            checkStart(end.task, start);
    }
}

void RunOracle::died(const WorkerIncarnation &life)
{
    ++m_moment;
    m_used.erase(life);
    for (auto &[task, history] : m_tasks)
        history.running.erase(life);
}

void RunOracle::shown(const JobId &id, JobState state)
{
    const Submitted &job = m_jobs.at(id);
    bool hasFailed = false;
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < job.spec.steps[step].count; ++index) {
            const JobTaskRef task{{id, 0, step}, index};
            if (state == JobState::Completed && !hasEnded(task, RunEnding::Done))
                addFault(task, "shown as completed before its end");
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
        addFault({{id, 0, 0}, 0}, "shown as failed without cause");
}

std::size_t RunOracle::runsAtWork(const JobTaskRef &task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? 0 : found->second.running.size();
}

} // namespace gentiancross::tests
