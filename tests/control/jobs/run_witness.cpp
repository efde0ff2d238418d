#include "tests/control/jobs/run_witness.h"

namespace gentiancross::tests {

void RunWitness::begun(const JobTaskRef &task, RunNumber, const WorkerIncarnation &life)
{
    ++m_starts;
    bool isTwice = !m_atWork[task].empty();
    m_atWork[task].insert(life);
    if (m_done.contains(task)) {
        for (auto &[worker, ends] : m_doneEnds) {
            for (End &end : ends) {
                if (end.task != task)
                    continue;
                ++end.startsAfter;
                isTwice = isTwice || end.isNoted;
            }
        }
    }
    if (isTwice)
        ++m_runsTwice;
}

void RunWitness::ended(const JobTaskRef &task, RunNumber, const WorkerIncarnation &life,
                       CompletionNumber number, RunEnding ending)
{
    m_atWork[task].erase(life);
    if (ending != RunEnding::Done)
        return;
    m_done.insert(task);
    m_doneEnds[life].push_back({number, task});
}

void RunWitness::noted(const WorkerIncarnation &life, CompletionNumber number)
{
    for (End &end : m_doneEnds[life]) {
        if (end.number > number || end.isNoted || end.isLapsedSince)
            continue;
        end.isNoted = true;
        m_runsTwice += end.startsAfter;
    }
}

void RunWitness::lapsed(const WorkerIncarnation &life)
{
    ++m_leasesLapsed;
    for (End &end : m_doneEnds[life])
        end.isLapsedSince = end.isLapsedSince || !end.isNoted;
}

} // namespace gentiancross::tests
