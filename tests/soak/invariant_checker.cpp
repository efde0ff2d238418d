#include "tests/soak/invariant_checker.h"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <iostream>

namespace gentiancross::tests {

namespace {

/** Task names have the form JOB.OCCURRENCE.STEP.INDEX. */
std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

std::size_t stepOf(const std::string &task)
{
    const std::vector<std::string> parts = absl::StrSplit(task, '.');
    return parts.size() == 4 ? std::stoul(parts[2]) : 0;
}

std::string textOf(Delivery delivery)
{
    switch (delivery) {
    case Delivery::Answered:
        return "";
    case Delivery::Unanswered:
        return " without a response";
    case Delivery::NextIncarnation:
        return " late in the next incarnation";
    }
    return "";
}

} // namespace

InvariantChecker::InvariantChecker(const std::string &path)
    : m_begin(m_clock.now())
    , m_file(path)
{}

void InvariantChecker::write(const std::string &what)
{
    m_file << (m_clock.now() - m_begin).value() << ' ' << what << '\n' << std::flush;
}

void InvariantChecker::addViolation(const std::string &what)
{
    write("BROKEN " + what);
    std::cerr << "BROKEN " << what << '\n';
    m_violations.push_back(what);
    ++m_eventCounts["BROKEN " + what.substr(0, what.find(':'))];
}

void InvariantChecker::recordSubmission(const std::string &job, const std::vector<SoakStep> &steps)
{
    const std::lock_guard lock(m_mutex);
    ObservedJob &seen = m_jobs[job];
    seen.steps = steps;
    seen.sentAtMs = m_clock.now().value();
    write("submitted " + job);
}

void InvariantChecker::recordAttempt(const std::string &job)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[job].hasOpenAttempt = true;
}

void InvariantChecker::recordAttemptEnd(const std::string &job)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[job].hasOpenAttempt = false;
}

void InvariantChecker::recordAcceptance(const std::string &job)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[job].isAccepted = true;
    m_jobs[job].mayRun = true;
    write("accepted " + job);
}

void InvariantChecker::recordUncertainOutcome(const std::string &job)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[job].mayRun = true;
    write("outcome unknown " + job);
}

void InvariantChecker::recordRejection(const std::string &job)
{
    const std::lock_guard lock(m_mutex);
    ObservedJob &seen = m_jobs[job];
    seen.isRejected = true;
    seen.hasOpenAttempt = false;
    write("rejected " + job);
    if (seen.startedAtMs >= 0 && !seen.mayRun)
        addViolation("rejected job had already started: " + job);
}

void InvariantChecker::recordCancellation(const std::string &job)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[job].isCancelled = true;
    write("cancelled " + job);
}

void InvariantChecker::recordShownState(const std::string &job, const std::string &state)
{
    const std::lock_guard lock(m_mutex);
    ObservedJob &seen = m_jobs[job];
    if (state == "completed" && !seen.isCompleted) {
        seen.isCompleted = true;
        write("completed " + job);
        for (std::size_t step = 0; step < seen.steps.size(); ++step) {
            if (seen.completedTasks[step].size() < std::size_t(seen.steps[step].count))
                addViolation("job reported as completed with unfinished tasks: " + job);
        }
    }
    if (state == "gone" && seen.isAccepted)
        addViolation("accepted job reported as unknown: " + job);
    if ((state == "failed" || state == "cancelled") && !seen.isCancelled)
        addViolation("job reported as " + state + " without a cancellation: " + job);
}

void InvariantChecker::checkOrder(const ObservedJob &job, const std::string &task)
{
    const std::size_t step = stepOf(task);
    if (step >= job.steps.size() || !job.steps[step].waitsForPrevious)
        return;
    const auto earlier = job.completedTasks.find(step - 1);
    if (earlier == job.completedTasks.end()
        || earlier->second.size() < std::size_t(job.steps[step - 1].count))
        addViolation("task started before the previous step completed: " + task);
}

void InvariantChecker::recordRunStart(const std::string &task, std::uint64_t run,
                                      const std::string &worker, Delivery delivery)
{
    const std::lock_guard lock(m_mutex);
    ++m_startCount;
    ++m_startsByTask[task];
    ++m_eventCounts["start" + textOf(delivery)];
    write("start " + task + " run " + std::to_string(run) + " on " + worker + textOf(delivery));
    const auto found = m_jobs.find(jobOf(task));
    if (found == m_jobs.end()) {
        addViolation("task started for a job that no client submitted: " + task);
        return;
    }
    ObservedJob &job = found->second;
    if (job.startedAtMs < 0)
        job.startedAtMs = m_clock.now().value();
    if (job.isRejected && !job.mayRun && !job.hasOpenAttempt)
        addViolation("task of a rejected job started: " + task);
    std::map<std::string, Delivery> &runningOn = m_runningOn[task];
    if (!runningOn.empty()) {
        const auto &[other, otherDelivery] = *runningOn.begin();
        addViolation("task runs on two workers at once" + textOf(std::max(delivery, otherDelivery))
                     + ": " + task + " on " + worker + " and " + other);
    }
    if (m_acknowledgedTasks.contains(task))
        addViolation("task started again after its completion was acknowledged" + textOf(delivery)
                     + ": " + task);
    checkOrder(job, task);
    runningOn[worker] = delivery;
}

std::uint64_t InvariantChecker::recordRunEnd(const std::string &task, const std::string &worker,
                                             bool isDone)
{
    const std::lock_guard lock(m_mutex);
    write((isDone ? "done " : "ended ") + task + " on " + worker);
    m_runningOn[task].erase(worker);
    if (isDone)
        m_jobs[jobOf(task)].completedTasks[stepOf(task)].insert(task);
    return m_startsByTask[task];
}

void InvariantChecker::recordAcknowledgement(const AcknowledgedCompletion &completion)
{
    const std::lock_guard lock(m_mutex);
    const std::string kind = std::string("acknowledgement")
            + (completion.hasLapsed ? " after a lapse" : "") + textOf(completion.delivery);
    ++m_eventCounts[kind];
    write(kind + " of " + completion.task);
    // Such a completion never counts (the platform's rules, "Jobs", TWICE).
    if (completion.hasLapsed)
        return;
    m_acknowledgedTasks.insert(completion.task);
    if (m_startsByTask[completion.task] > completion.startsBefore)
        addViolation("task started again before its earlier completion was acknowledged: "
                     + completion.task);
}

void InvariantChecker::checkCapacity(const std::string &worker, std::int64_t millicores,
                                     std::int64_t capacityMillicores)
{
    const std::lock_guard lock(m_mutex);
    if (millicores > capacityMillicores)
        addViolation("worker over its capacity: " + worker + " with " + std::to_string(millicores)
                     + " of " + std::to_string(capacityMillicores) + " millicores");
}

void InvariantChecker::recordEvent(const std::string &what)
{
    const std::lock_guard lock(m_mutex);
    write(what);
}

void InvariantChecker::reportViolation(const std::string &what)
{
    const std::lock_guard lock(m_mutex);
    addViolation(what);
}

std::set<std::string> InvariantChecker::unfinishedJobs() const
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> jobs;
    for (const auto &[id, job] : m_jobs) {
        if (job.isAccepted && !job.isCancelled && !job.isCompleted)
            jobs.insert(id);
    }
    return jobs;
}

std::vector<std::string> InvariantChecker::violations() const
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}

std::uint64_t InvariantChecker::startCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_startCount;
}

std::map<std::string, std::uint64_t> InvariantChecker::eventCounts() const
{
    const std::lock_guard lock(m_mutex);
    return m_eventCounts;
}

std::vector<double> InvariantChecker::startDelaysMs() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<double> startDelaysMs;
    for (const auto &[id, job] : m_jobs) {
        if (job.isAccepted && job.startedAtMs >= 0)
            startDelaysMs.push_back(double(job.startedAtMs - job.sentAtMs));
    }
    return startDelaysMs;
}

} // namespace gentiancross::tests
