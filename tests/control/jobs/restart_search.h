#pragma once

#include "tests/control/jobs/restart_scenario.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace gentiancross::tests {

/**
 * Explores all sequences of events of a `RestartScenario`, depth-first. A leader can't be copied,
 * so each sequence is replayed from its start; a state that was reached before is not explored
 * again. Thread safety: single thread.
 */
class RestartSearch
{
public:
    RestartSearch(const ScenarioStart &start, std::size_t maxEvents)
        : m_start(start)
        , m_maxEvents(maxEvents)
    {}

    /** Explores the sequences that are up to `maxEvents` long. */
    void run() { explore({}); }

    /** Number of distinct states. */
    [[nodiscard]] std::size_t visited() const { return m_states.size(); }
    /** Number of states in which the worker has restarted. */
    [[nodiscard]] std::size_t visitedAfterRestart() const { return m_visitedAfterRestart; }
    [[nodiscard]] std::size_t violations() const { return m_violations; }
    /** The first violation, with the events that led to it. */
    [[nodiscard]] const std::string &example() const { return m_example; }

private:
    void explore(const std::vector<RestartScenario::Event> &events);

    ScenarioStart m_start;
    std::size_t m_maxEvents;
    std::set<std::size_t> m_states;
    std::size_t m_visitedAfterRestart = 0;
    std::size_t m_violations = 0;
    std::string m_example;
};

} // namespace gentiancross::tests
