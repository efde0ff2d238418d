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
    void submitted(const JobId &id, const JobSpec &spec, std::uint32_t maxAttempts);
    void started(const WorkerIncarnation &life, const Resources &capacity, const JobTaskRef &task,
                 RunNumber run);
    /** Returns the number of the end, for `noted`. */
    std::size_t ended(const WorkerIncarnation &life, const JobTaskRef &task, RunNumber run,
                      RunEnding ending);
    /** The worker was told to forget the end, and no lease had lapsed there since. */
    void noted(std::size_t end);
    /** Whatever ran there is gone without an end. */
    void died(const WorkerIncarnation &life);
    /** The job was shown as over. */
    void shown(const JobId &id, JobState state);
    /** Where runs of the task are at work. */
    [[nodiscard]] std::size_t runsAtWork(const JobTaskRef &task) const;

    [[nodiscard]] const std::vector<std::string> &faults() const { return m_faults; }
    void addFault(const JobTaskRef &task, const std::string &what);

private:
    struct End
    {
        JobTaskRef task;
        RunEnding ending;
        std::uint64_t moment;
        bool isNoted;
    };

    struct History
    {
        std::map<WorkerIncarnation, RunNumber> running;
        std::vector<std::uint64_t> starts;
        std::vector<std::size_t> ends;
    };

    struct Submitted
    {
        JobSpec spec;
        std::uint32_t maxAttempts;
    };

    [[nodiscard]] const StepSpec &stepOf(const JobTaskRef &task) const;
    [[nodiscard]] bool hasEnded(const JobTaskRef &task, RunEnding ending) const;
    /** Noted ends of the kind before \a moment. */
    [[nodiscard]] std::uint32_t notedBefore(const JobTaskRef &task, RunEnding ending,
                                            std::uint64_t moment) const;
    void checkStart(const JobTaskRef &task, std::uint64_t moment);

    std::uint64_t m_moment = 0;
    std::map<JobId, Submitted> m_jobs;
    std::map<JobTaskRef, History> m_tasks;
    std::map<WorkerIncarnation, Resources> m_used;
    std::vector<End> m_ends;
    std::vector<std::string> m_faults;
};

} // namespace gentiancross::tests
