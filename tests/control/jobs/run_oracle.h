#pragma once

#include "core/job_records.h"

#include <map>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** Checks by the naive reading of the platform's rules what emulated workers did. */
class RunOracle
{
public:
    void recordSubmission(const JobId &id, const JobSpec &spec, std::uint32_t maxAttempts);
    void recordStart(const WorkerIncarnation &incarnation, const Resources &capacity,
                     const JobTaskRef &task, RunNumber run);
    /** Returns the number of the end, for `recordAcknowledgement`. */
    std::size_t recordEnd(const WorkerIncarnation &incarnation, const JobTaskRef &task,
                          RunNumber run, RunEnding ending);
    /** The worker was told to forget the end, and no lease had lapsed there since. */
    void recordAcknowledgement(std::size_t end);
    /** Whatever ran there is gone without an end. */
    void recordDeath(const WorkerIncarnation &incarnation);
    /** The job was checkReportedState as over. */
    void checkReportedState(const JobId &id, JobState state);
    /** Where runs of the task are at work. */
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
    /** Noted ends of the kind before \a eventNumber. */
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
