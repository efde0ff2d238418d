#pragma once

#include "tests/runner/scenario_line.h"

#include <string>

namespace gentiancross::tests {

/**
 * Reports progress and failures of a scenario on behalf of the classes that execute its lines.
 * Thread safety: one thread.
 */
class ScenarioReporter
{
public:
    ScenarioReporter() = default;
    ScenarioReporter(const ScenarioReporter &) = delete;
    ScenarioReporter &operator=(const ScenarioReporter &) = delete;
    virtual ~ScenarioReporter() = default;

    /** Records a failure of the line; the scenario ends after this line. */
    virtual void fail(const ScenarioLine &line, const std::string &what) = 0;
    virtual void print(const std::string &what) const = 0;
};

} // namespace gentiancross::tests
