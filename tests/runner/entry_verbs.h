#pragma once

#include "tests/runner/fleet.h"
#include "tests/runner/fleet_conditions.h"
#include "tests/runner/promise_check.h"
#include "tests/runner/scenario_reporter.h"
#include "tests/runner/sender.h"

#include <map>
#include <string>

namespace gentiancross::tests {

/**
 * The verbs that make one call each to an entry host: operators' changes, and what callers ask of
 * single requests. Thread safety: one thread.
 */
class EntryVerbs
{
public:
    EntryVerbs(Fleet &fleet, const FleetConditions &conditions, PromiseContext &context,
               ScenarioReporter &voice)
        : m_fleet(fleet)
        , m_conditions(conditions)
        , m_context(context)
        , m_scenarioReporter(voice)
    {}

    [[nodiscard]] static bool knows(const std::string &verb) { return verbs().contains(verb); }
    /** Precondition: the line's verb is known. */
    void execute(const ScenarioLine &line) { (this->*verbs().at(line.verb))(line); }

private:
    using Verb = void (EntryVerbs::*)(const ScenarioLine &);

    static const std::map<std::string, Verb> &verbs();
    void teamVerb(const ScenarioLine &line);
    void keyVerb(const ScenarioLine &line);
    void votersVerb(const ScenarioLine &line);
    void statusVerb(const ScenarioLine &line);
    void cancelVerb(const ScenarioLine &line);
    void declareLostVerb(const ScenarioLine &line);
    void changesVerb(const ScenarioLine &line);

    [[nodiscard]] std::string resolveEntryAddress(const ScenarioLine &line) const;
    HttpResult operatorCall(const ScenarioLine &line, const std::string &method,
                            const std::string &path, const std::string &body);
    HttpResult requestCall(const ScenarioLine &line, const std::string &method);
    void requireStatus(const ScenarioLine &line, const HttpResult &result);

    Fleet &m_fleet;
    const FleetConditions &m_conditions;
    PromiseContext &m_context;
    ScenarioReporter &m_scenarioReporter;
};

} // namespace gentiancross::tests
