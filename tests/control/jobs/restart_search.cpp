#include "tests/control/jobs/restart_search.h"

#include <functional>

namespace gentiancross::tests {

void RestartSearch::explore(const std::vector<RestartScenario::Event> &events)
{
    RestartScenario scenario(m_start);
    for (const RestartScenario::Event &event : events)
        scenario.apply(event);
    if (!scenario.violations().empty()) {
        if (++m_violations == 1)
            m_example = scenario.violations().front() + "\n" + scenario.trace();
        return;
    }
    if (!m_states.insert(std::hash<std::string>()(scenario.state())).second)
        return;
    m_visitedAfterRestart += scenario.hasRestarted() ? 1 : 0;
    if (events.size() >= m_maxEvents)
        return;
    for (const RestartScenario::Event &event : scenario.possibleEvents()) {
        std::vector<RestartScenario::Event> next = events;
        next.push_back(event);
        explore(next);
    }
}

} // namespace gentiancross::tests
