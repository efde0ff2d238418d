#include "tests/control/jobs/run_witness.h"

namespace gentiancross::tests {

void RunWitness::recordStart(const JobTaskRef &task, RunNumber,
                             const WorkerIncarnation &incarnation)
{
    ++m_starts;
    bool isDuplicate = !m_running[task].empty();
    m_running[task].insert(incarnation);
    if (m_done.contains(task)) {
        for (auto &[worker, ends] : m_doneEnds) {
            for (End &end : ends) {
                if (end.task != task)
                    continue;
                ++end.startsAfter;
                isDuplicate = isDuplicate || end.isAcknowledged;
            }
        }
    }
    if (isDuplicate)
        ++m_duplicateRuns;
}

void RunWitness::recordEnd(const JobTaskRef &task, RunNumber, const WorkerIncarnation &incarnation,
                           CompletionNumber number, RunEnding ending)
{
    m_running[task].erase(incarnation);
    if (ending != RunEnding::Done)
        return;
    m_done.insert(task);
    m_doneEnds[incarnation].push_back({number, task});
}

void RunWitness::recordAcknowledgement(const WorkerIncarnation &incarnation,
                                       CompletionNumber number)
{
    for (End &end : m_doneEnds[incarnation]) {
        if (end.number > number || end.isAcknowledged || end.hasLapsedSince)
            continue;
        end.isAcknowledged = true;
        m_duplicateRuns += end.startsAfter;
    }
}

void RunWitness::recordLeaseLapse(const WorkerIncarnation &incarnation)
{
    ++m_lapsedLeases;
    for (End &end : m_doneEnds[incarnation])
        end.hasLapsedSince = end.hasLapsedSince || !end.isAcknowledged;
}

} // namespace gentiancross::tests
