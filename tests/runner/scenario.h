#pragma once

#include "tests/runner/entry_verbs.h"
#include "tests/runner/fleet.h"
#include "tests/runner/fleet_conditions.h"
#include "tests/runner/page_check.h"
#include "tests/runner/promise_check.h"
#include "tests/runner/scenario_line.h"
#include "tests/runner/sender.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace gentiancross::tests {

/** What a run needs besides its file. */
struct ScenarioSettings
{
    std::string binary;
    std::string standin;
    std::string folder;
    int net = 1;
    std::uint64_t seed = 1;
    bool verbose = true;
};

/**
 * Runs one scenario file against real processes; docs/SCENARIOS.md describes the language.
 * Thread safety: one thread.
 */
class Scenario final : private ScenarioReporter
{
public:
    explicit Scenario(ScenarioSettings settings);
    ~Scenario() override;

    /** Runs the file; returns the failures, one line each. */
    std::vector<std::string> run(const std::string &path);

private:
    using Verb = void (Scenario::*)(const ScenarioLine &);

    static const std::map<std::string, Verb> &verbs();
    void execute(const ScenarioLine &line);
    void fail(const ScenarioLine &line, const std::string &what) override;
    void say(const std::string &what) const override;

    void fleetVerb(const ScenarioLine &line);
    void workersVerb(const ScenarioLine &line);
    void startVerb(const ScenarioLine &line);
    void killVerb(const ScenarioLine &line);
    void freezeVerb(const ScenarioLine &line);
    void thawVerb(const ScenarioLine &line);
    void termVerb(const ScenarioLine &line);
    void endedVerb(const ScenarioLine &line);
    void cutVerb(const ScenarioLine &line);
    void healVerb(const ScenarioLine &line);
    void loseDiskVerb(const ScenarioLine &line);
    void damageDiskVerb(const ScenarioLine &line);
    void controlVerb(const ScenarioLine &line);
    void sendVerb(const ScenarioLine &line);
    void awaitVerb(const ScenarioLine &line);
    void expectVerb(const ScenarioLine &line);
    void pauseVerb(const ScenarioLine &line);
    void untilVerb(const ScenarioLine &line);
    void checkVerb(const ScenarioLine &line);
    void markVerb(const ScenarioLine &line);
    void memoryVerb(const ScenarioLine &line);
    void measureVerb(const ScenarioLine &line);
    void runsVerb(const ScenarioLine &line);
    void limitVerb(const ScenarioLine &line);
    void stormVerb(const ScenarioLine &line);
    void tableVerb(const ScenarioLine &line);
    void pageVerb(const ScenarioLine &line);

    SendPlan parseSendPlan(const ScenarioLine &line);
    /** The time that the line's option since= names; 0 without one. */
    std::int64_t resolveSince(const ScenarioLine &line);
    void setCuts(const ScenarioLine &line, bool cut);
    /** Keeps what was seen for whoever looks for the cause of a broken promise. */
    void saveDiagnostics(const WorkerObservations &sightings);

    ScenarioSettings m_settings;
    std::unique_ptr<Fleet> m_fleet;
    std::unique_ptr<FleetConditions> m_conditions;
    std::unique_ptr<EntryVerbs> m_entryVerbs;
    std::unique_ptr<Sender> m_sender;
    PromiseContext m_context;
    std::map<std::string, std::int64_t> m_marks;
    /** Sends that go on while other lines run. */
    std::vector<std::thread> m_background;
    std::vector<std::string> m_failures;
    std::int64_t m_startedAt = 0;
};

} // namespace gentiancross::tests
