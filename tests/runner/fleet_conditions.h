#pragma once

#include "tests/runner/fleet.h"
#include "tests/runner/scenario_line.h"

#include <map>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** The secret of a team's key in scenarios. */
std::string keyOf(const std::string &team, const std::string &name);

/**
 * What "until" can wait for, asked of a running fleet, and the words that stand for hosts.
 * Thread safety: one thread.
 */
class FleetConditions
{
public:
    explicit FleetConditions(Fleet &fleet)
        : m_fleet(fleet)
    {}

    /** True if the condition of the line holds now; false for an unknown one too. */
    bool isTrue(const ScenarioLine &line);
    /** Gives a host a name that later words can use. */
    void name(const std::string &name, const std::string &host) { m_names[name] = host; }
    /** The host that a word stands for now. */
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
    /** True if each of the replicas is the store that its host has now. */
    bool arePresent(const Json::Value &replicas) const;
    /** True if all \a replicas are of hosts of the data centre itself. */
    bool areInDataCentre(const std::string &dataCentre, const Json::Value &replicas) const;
    bool haveApplied(const ScenarioLine &line) const;
    bool isVoter(const ScenarioLine &line) const;
    bool hasWorkers(const ScenarioLine &line) const;
    bool hasLimit(const ScenarioLine &line) const;
    bool hasOutcome(const ScenarioLine &line) const;
    [[nodiscard]] bool isReady(const std::string &host) const;
    [[nodiscard]] bool isDifferentHost(const std::string &host, const ScenarioLine &line) const;
    /** What an entry host answers to a query, if it answers in JSON. */
    [[nodiscard]] bool ask(const std::string &host, const std::string &path, const std::string &key,
                           Json::Value &json) const;

    Fleet &m_fleet;
    std::map<std::string, std::string> m_names;
};

} // namespace gentiancross::tests
