#pragma once

#include "tests/runner/scenario_line.h"

#include <string>

namespace gentiancross::tests {

/** Where the parts of a scenario say what they see. Thread safety: one thread. */
class ScenarioReporter
{
public:
    ScenarioReporter() = default;
    ScenarioReporter(const ScenarioReporter &) = delete;
    ScenarioReporter &operator=(const ScenarioReporter &) = delete;
    virtual ~ScenarioReporter() = default;

    /** The line does not hold; the scenario ends with it. */
    virtual void fail(const ScenarioLine &line, const std::string &what) = 0;
    virtual void say(const std::string &what) const = 0;
};

} // namespace gentiancross::tests
