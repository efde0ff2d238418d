#include "tests/soak/invariant_checker.h"

#include <absl/strings/str_split.h>

#include <iostream>

namespace gentiancross::tests {

namespace {

/** A task's name is JOB.OCCURRENCE.STEP.INDEX. */
std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

std::size_t stepOf(const std::string &task)
{
    const std::vector<std::string> parts = absl::StrSplit(task, '.');
    return parts.size() == 4 ? std::stoul(parts[2]) : 0;
}

} // namespace

Observations::Observations(const std::string &path)
    : m_begin(m_clock.now())
    , m_file(path)
{}

void Observations::write(const std::string &what)
{
    m_file << (m_clock.now() - m_begin).value() << ' ' << what << '\n' << std::flush;
}

void Observations::breach(const std::string &what)
{
    write("BROKEN " + what);
    std::cerr << "BROKEN " << what << '\n';
    m_breaches.push_back(what);
}

void Observations::submitted(const std::string &job, const std::vector<SoakStep> &steps)
{
    const std::lock_guard lock(m_mutex);
    SeenJob &seen = m_jobs[job];
    seen.steps = steps;
    seen.sentAt = m_clock.now().value();
    write("sent " + job);
}

void Observations::attempted(const std::string &job)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[job].isUnderWay = true;
}

void Observations::attemptOver(const std::string &job)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[job].isUnderWay = false;
}

void Observations::accepted(const std::string &job)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[job].isAccepted = true;
    m_jobs[job].mayRun = true;
    write("accepted " + job);
}

void Observations::uncertain(const std::string &job)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[job].mayRun = true;
    write("no answer " + job);
}

void Observations::rejected(const std::string &job)
{
    const std::lock_guard lock(m_mutex);
    SeenJob &seen = m_jobs[job];
    seen.isRejected = true;
    seen.isUnderWay = false;
    write("rejected " + job);
    if (seen.startedAt >= 0 && !seen.mayRun)
        breach("a rejected job has run: " + job);
}

void Observations::cancelled(const std::string &job)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[job].isCancelled = true;
    write("cancelled " + job);
}

void Observations::shown(const std::string &job, const std::string &state)
{
    const std::lock_guard lock(m_mutex);
    SeenJob &seen = m_jobs[job];
    if (state == "completed" && !seen.isCompleted) {
        seen.isCompleted = true;
        write("completed " + job);
        for (std::size_t step = 0; step < seen.steps.size(); ++step) {
            if (seen.done[step].size() < std::size_t(seen.steps[step].count))
                breach("shown as completed with tasks that are not done: " + job);
        }
    }
    if (state == "gone" && seen.isAccepted)
        breach("an accepted job is not known: " + job);
    if ((state == "failed" || state == "cancelled") && !seen.isCancelled)
        breach("shown as " + state + " without cause: " + job);
}

void Observations::checkOrder(const SeenJob &job, const std::string &task)
{
    const std::size_t step = stepOf(task);
    if (step >= job.steps.size() || !job.steps[step].isLater)
        return;
    const auto earlier = job.done.find(step - 1);
    if (earlier == job.done.end()
        || earlier->second.size() < std::size_t(job.steps[step - 1].count))
        breach("started before the step that it waits for was done: " + task);
}

void Observations::runBegun(const std::string &task, std::uint64_t run, const std::string &worker)
{
    const std::lock_guard lock(m_mutex);
    ++m_starts;
    write("start " + task + " run " + std::to_string(run) + " on " + worker);
    const auto found = m_jobs.find(jobOf(task));
    if (found == m_jobs.end()) {
        breach("nobody sent the job of " + task);
        return;
    }
    SeenJob &job = found->second;
    if (job.startedAt < 0)
        job.startedAt = m_clock.now().value();
    if (job.isRejected && !job.mayRun && !job.isUnderWay)
        breach("a rejected job runs: " + task);
    if (!m_running[task].empty())
        breach("runs in two places: " + task + " on " + worker + " and "
               + *m_running[task].begin());
    if (m_noted.contains(task))
        breach("started after its end was noted: " + task);
    checkOrder(job, task);
    m_running[task].insert(worker);
}

void Observations::runOver(const std::string &task, const std::string &worker, bool done)
{
    const std::lock_guard lock(m_mutex);
    write((done ? "done " : "over ") + task + " on " + worker);
    m_running[task].erase(worker);
    if (done)
        m_jobs[jobOf(task)].done[stepOf(task)].insert(task);
}

void Observations::endNoted(const std::string &task)
{
    const std::lock_guard lock(m_mutex);
    m_noted.insert(task);
}

void Observations::workerUse(const std::string &worker, std::int64_t cores, std::int64_t capacity)
{
    const std::lock_guard lock(m_mutex);
    if (cores > capacity)
        breach("over its capacity: " + worker + " with " + std::to_string(cores));
}

void Observations::note(const std::string &what)
{
    const std::lock_guard lock(m_mutex);
    write(what);
}

void Observations::broken(const std::string &what)
{
    const std::lock_guard lock(m_mutex);
    breach(what);
}

std::set<std::string> Observations::unfinished() const
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> jobs;
    for (const auto &[id, job] : m_jobs) {
        if (job.isAccepted && !job.isCancelled && !job.isCompleted)
            jobs.insert(id);
    }
    return jobs;
}

std::vector<std::string> Observations::breaches() const
{
    const std::lock_guard lock(m_mutex);
    return m_breaches;
}

std::uint64_t Observations::starts() const
{
    const std::lock_guard lock(m_mutex);
    return m_starts;
}

std::vector<double> Observations::waits() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<double> waits;
    for (const auto &[id, job] : m_jobs) {
        if (job.isAccepted && job.startedAt >= 0)
            waits.push_back(double(job.startedAt - job.sentAt));
    }
    return waits;
}

} // namespace gentiancross::tests
