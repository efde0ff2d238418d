#pragma once

#include "tests/runner/fleet.h"
#include "tests/runner/scenario_line.h"

#include <map>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** The secret that scenarios use for a team's key. */
std::string keySecret(const std::string &team, const std::string &name);

/**
 * Evaluates the conditions of the verb "until" against a running fleet, and resolves the words that
 * stand for hosts. Used by Scenario and EntryVerbs. Thread safety: one thread.
 */
class FleetConditions
{
public:
    explicit FleetConditions(Fleet &fleet)
        : m_fleet(fleet)
    {}

    /** Returns whether the line's condition holds now; false for an unknown condition. */
    bool isTrue(const ScenarioLine &line);
    /** Binds a name to a host, for use in later lines. */
    void bindName(const std::string &name, const std::string &host) { m_names[name] = host; }
    /** The host that a word stands for at present. */
    [[nodiscard]] std::string resolveHost(const std::string &word) const;
    [[nodiscard]] std::vector<std::string> resolveHosts(const std::string &word) const;

private:
    /** The data centre's host that is not its authority. */
    [[nodiscard]] std::string mirrorOf(const std::string &dataCentre) const;
    using Condition = bool (FleetConditions::*)(const ScenarioLine &) const;

    static const std::map<std::string, Condition> &conditions();
    bool areReady(const ScenarioLine &line) const;
    bool hasAuthority(const ScenarioLine &line) const;
    bool hasLeader(const ScenarioLine &line) const;
    bool isInSync(const ScenarioLine &line) const;
    /** Returns whether each replica is the store that its host has at present. */
    bool arePresent(const Json::Value &replicas) const;
    /** Returns whether all \a replicas belong to hosts of the data centre itself. */
    bool areInDataCentre(const std::string &dataCentre, const Json::Value &replicas) const;
    bool haveApplied(const ScenarioLine &line) const;
    bool isVoter(const ScenarioLine &line) const;
    bool hasWorkers(const ScenarioLine &line) const;
    bool hasLimit(const ScenarioLine &line) const;
    bool hasOutcome(const ScenarioLine &line) const;
    [[nodiscard]] bool isReady(const std::string &host) const;
    [[nodiscard]] bool isDifferentHost(const std::string &host, const ScenarioLine &line) const;
    /** Sends a GET query to an entry host. Returns false unless it answers with a JSON object. */
    [[nodiscard]] bool queryJson(const std::string &host, const std::string &path,
                                 const std::string &key, Json::Value &json) const;

    Fleet &m_fleet;
    std::map<std::string, std::string> m_names;
};

} // namespace gentiancross::tests
