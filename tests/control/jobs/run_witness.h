#pragma once

#include "core/jobs.h"

#include <map>
#include <set>
#include <vector>

namespace gentiancross::tests {

/**
 * Sees what workers really do, and counts what the platform's rules forbid or deplore. Its rule on
 * tasks that run twice is that of the platform.
 */
class RunWitness
{
public:
    void recordStart(const JobTaskRef &task, RunNumber run, const WorkerIncarnation &incarnation);
    void recordEnd(const JobTaskRef &task, RunNumber run, const WorkerIncarnation &incarnation,
                   CompletionNumber number, RunEnding ending);
    /** A leader has told the worker that it may forget its ends up to \a number. */
    void recordAcknowledgement(const WorkerIncarnation &incarnation, CompletionNumber number);
    /** Everything that ran there was killed. */
    void recordLeaseLapse(const WorkerIncarnation &incarnation);

    /** Starts while another run of the task was at work, or after an end that counts. */
    [[nodiscard]] std::size_t duplicateRuns() const { return m_duplicateRuns; }
    /** How often a lease ran out under what ran on a worker. */
    [[nodiscard]] std::size_t lapsedLeases() const { return m_lapsedLeases; }
    [[nodiscard]] std::size_t starts() const { return m_starts; }
    [[nodiscard]] bool isDone(const JobTaskRef &task) const { return m_done.contains(task); }
    [[nodiscard]] std::size_t tasksDone() const { return m_done.size(); }

private:
    struct End
    {
        CompletionNumber number;
        JobTaskRef task;
        /** Starts of the task since. */
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
