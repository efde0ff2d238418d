#pragma once

#include "core/job_records.h"

#include <map>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** Checks the events of emulated workers against a direct reading of the platform's rules. */
class RunOracle
{
public:
    void recordSubmission(const JobId &id, const JobSpec &spec, std::uint32_t maxAttempts);
    void recordStart(const WorkerIncarnation &incarnation, const Resources &capacity,
                     const JobTaskRef &task, RunNumber run);
    /** Returns the index of the end, to be passed to `recordAcknowledgement`. */
    std::size_t recordEnd(const WorkerIncarnation &incarnation, const JobTaskRef &task,
                          RunNumber run, RunEnding ending);
    /** The leader acknowledged the end, and no lease has lapsed on the worker since that end. */
    void recordAcknowledgement(std::size_t end);
    /** All runs of the worker were lost without an end. */
    void recordDeath(const WorkerIncarnation &incarnation);
    /** Checks the final state that was reported for the job. */
    void checkReportedState(const JobId &id, JobState state);
    /** Number of active runs of the task. */
    [[nodiscard]] std::size_t activeRuns(const JobTaskRef &task) const;

    [[nodiscard]] const std::vector<std::string> &violations() const { return m_violations; }
    void addViolation(const JobTaskRef &task, const std::string &what);

private:
    struct End
    {
        JobTaskRef task;
        RunEnding ending;
        std::uint64_t eventNumber;
        bool isAcknowledged;
    };

    struct History
    {
        std::map<WorkerIncarnation, RunNumber> running;
        std::vector<std::uint64_t> starts;
        std::vector<std::size_t> ends;
    };

    struct SubmittedJob
    {
        JobSpec spec;
        std::uint32_t maxAttempts;
    };

    [[nodiscard]] const StepSpec &stepOf(const JobTaskRef &task) const;
    [[nodiscard]] bool hasEnded(const JobTaskRef &task, RunEnding ending) const;
    /** Number of acknowledged ends of this kind before \a eventNumber. */
    [[nodiscard]] std::uint32_t acknowledgedBefore(const JobTaskRef &task, RunEnding ending,
                                                   std::uint64_t eventNumber) const;
    void checkStart(const JobTaskRef &task, std::uint64_t eventNumber);

    std::uint64_t m_eventNumber = 0;
    std::map<JobId, SubmittedJob> m_jobs;
    std::map<JobTaskRef, History> m_tasks;
    std::map<WorkerIncarnation, Resources> m_used;
    std::vector<End> m_ends;
    std::vector<std::string> m_violations;
};

} // namespace gentiancross::tests
