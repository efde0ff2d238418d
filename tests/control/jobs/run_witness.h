#pragma once

#include "core/jobs.h"

#include <map>
#include <set>
#include <vector>

namespace gentiancross::tests {

/**
 * Records the actual events on workers, and counts duplicate runs and lapsed leases. Duplicate runs
 * are defined as in the rules of the platform.
 */
class RunWitness
{
public:
    void recordStart(const JobTaskRef &task, RunNumber run, const WorkerIncarnation &incarnation);
    void recordEnd(const JobTaskRef &task, RunNumber run, const WorkerIncarnation &incarnation,
                   CompletionNumber number, RunEnding ending);
    /** A leader has informed the worker that it may discard its completions up to \a number. */
    void recordAcknowledgement(const WorkerIncarnation &incarnation, CompletionNumber number);
    /** All runs on the worker were killed. */
    void recordLeaseLapse(const WorkerIncarnation &incarnation);

    /** Starts while another run of the task was active, or after an acknowledged completion. */
    [[nodiscard]] std::size_t duplicateRuns() const { return m_duplicateRuns; }
    /** How often a lease expired on a worker with active runs. */
    [[nodiscard]] std::size_t lapsedLeases() const { return m_lapsedLeases; }
    [[nodiscard]] std::size_t starts() const { return m_starts; }
    [[nodiscard]] bool isDone(const JobTaskRef &task) const { return m_done.contains(task); }
    [[nodiscard]] std::size_t tasksDone() const { return m_done.size(); }

private:
    struct End
    {
        CompletionNumber number;
        JobTaskRef task;
        /** Starts of the task since this end. */
        std::size_t startsAfter = 0;
        bool hasLapsedSince = false;
        bool isAcknowledged = false;
    };

    std::map<JobTaskRef, std::set<WorkerIncarnation>> m_running;
    std::set<JobTaskRef> m_done;
    std::map<WorkerIncarnation, std::vector<End>> m_doneEnds;
    std::size_t m_duplicateRuns = 0;
    std::size_t m_lapsedLeases = 0;
    std::size_t m_starts = 0;
};

} // namespace gentiancross::tests
