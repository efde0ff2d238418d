#include "tests/runner/fleet_conditions.h"

#include "drivers/codec.h"
#include "tests/runner/sender.h"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <set>

namespace gentiancross::tests {

namespace {

constexpr Milliseconds QueryTimeout{1500};
constexpr int HttpOk = 200;
constexpr std::size_t AuthorityPrefix = 10;
constexpr std::size_t MirrorPrefix = 7;

} // namespace

std::string keyOf(const std::string &team, const std::string &name)
{
    return "secret-of-" + team + '-' + name;
}

std::string FleetConditions::resolveHost(const std::string &word) const
{
    if (word.starts_with("authority:"))
        return m_fleet.authorityOf(word.substr(AuthorityPrefix));
    if (word.starts_with("mirror:"))
        return mirrorOf(word.substr(MirrorPrefix));
    if (word == "leader")
        return m_fleet.leader();
    const auto named = m_names.find(word);
    return named == m_names.end() ? word : named->second;
}

std::string FleetConditions::mirrorOf(const std::string &dataCentre) const
{
    const std::string authority = m_fleet.authorityOf(dataCentre);
    for (const FleetHost &host : m_fleet.hosts()) {
        if (host.dataCentre == dataCentre && host.name != authority)
            return host.name;
    }
    return {};
}

std::vector<std::string> FleetConditions::resolveHosts(const std::string &word) const
{
    std::vector<std::string> hosts;
    for (const FleetHost &host : m_fleet.hosts()) {
        if (word == "all" || host.dataCentre == word)
            hosts.push_back(host.name);
    }
    if (!hosts.empty())
        return hosts;
    for (const auto part : absl::StrSplit(word, ','))
        hosts.push_back(resolveHost(std::string(part)));
    return hosts;
}

const std::map<std::string, FleetConditions::Condition> &FleetConditions::conditions()
{
    static const std::map<std::string, Condition> known = {
            {"ready", &FleetConditions::areReady},
            {"unready", &FleetConditions::areReady},
            {"authority", &FleetConditions::hasAuthority},
            {"leader", &FleetConditions::hasLeader},
            {"in-sync", &FleetConditions::isInSync},
            {"applied", &FleetConditions::haveApplied},
            {"voter", &FleetConditions::isVoter},
            {"workers", &FleetConditions::hasWorkers},
            {"limit", &FleetConditions::hasLimit},
            {"outcome", &FleetConditions::hasOutcome},
    };
    return known;
}

bool FleetConditions::isTrue(const ScenarioLine &line)
{
    const auto condition = conditions().find(line.word(0));
    return condition != conditions().end() && (this->*condition->second)(line);
}

bool FleetConditions::ask(const std::string &host, const std::string &path, const std::string &key,
                          Json::Value &json) const
{
    if (host.empty() || !m_fleet.isRunning(host))
        return false;
    const HttpResult result
            = callAndWait("GET", m_fleet.entry(host), path, key, {}, {}, false, QueryTimeout);
    return result.outcome == CallOutcome::Answered && codec::parseJson(*result.response.body, json)
            && json.isObject();
}

bool FleetConditions::isReady(const std::string &host) const
{
    const HttpResult result
            = callAndWait("GET", m_fleet.entry(host), "/readyz", {}, {}, {}, false, QueryTimeout);
    return result.outcome == CallOutcome::Answered && result.response.status == HttpOk;
}

bool FleetConditions::isDifferentHost(const std::string &host, const ScenarioLine &line) const
{
    const std::string other = line.option("not");
    return !host.empty() && (other.empty() || host != resolveHost(other));
}

bool FleetConditions::areReady(const ScenarioLine &line) const
{
    const bool wanted = line.word(0) == "ready";
    const std::vector<std::string> hosts = resolveHosts(line.word(1));
    return std::all_of(hosts.begin(), hosts.end(),
                       [&](const std::string &host) { return isReady(host) == wanted; });
}

bool FleetConditions::hasAuthority(const ScenarioLine &line) const
{
    return isDifferentHost(m_fleet.authorityOf(line.word(1)), line);
}

bool FleetConditions::hasLeader(const ScenarioLine &line) const
{
    return isDifferentHost(m_fleet.leader(), line);
}

bool FleetConditions::isInSync(const ScenarioLine &line) const
{
    Json::Value json;
    if (!ask(m_fleet.authorityOf(line.word(1)), "/v1/members", OperatorKey, json))
        return false;
    for (const Json::Value &authority : json["authorities"]) {
        if (authority["data_centre"].asString() == line.word(1))
            return static_cast<std::int64_t>(authority["in_sync"].size())
                    == line.number64("count", 2)
                    && arePresent(authority["in_sync"])
                    && (line.word(2) != "near"
                        || areInDataCentre(line.word(1), authority["in_sync"]));
    }
    return false;
}

bool FleetConditions::arePresent(const Json::Value &replicas) const
{
    // A set that still names a store which was lost has yet to be repaired.
    Json::Value json;
    if (!ask(m_fleet.leader(), "/v1/members", OperatorKey, json))
        return false;
    std::set<std::string> present;
    for (const Json::Value &member : json["members"])
        present.insert(member["replica"].asString());
    return std::all_of(replicas.begin(), replicas.end(), [&](const Json::Value &replica) {
        return present.contains(replica.asString());
    });
}

bool FleetConditions::areInDataCentre(const std::string &dataCentre,
                                      const Json::Value &replicas) const
{
    return std::all_of(replicas.begin(), replicas.end(), [&](const Json::Value &replica) {
        const std::string name = replica.asString();
        return std::any_of(
                m_fleet.hosts().begin(), m_fleet.hosts().end(), [&](const FleetHost &host) {
                    return host.dataCentre == dataCentre && name.starts_with(host.name + '#');
                });
    });
}

bool FleetConditions::haveApplied(const ScenarioLine &) const
{
    // Every running host has applied what the leader has committed.
    Json::Value json;
    if (!ask(m_fleet.leader(), "/v1/members", OperatorKey, json))
        return false;
    return std::all_of(json["members"].begin(), json["members"].end(),
                       [&](const Json::Value &member) {
                           return !m_fleet.isRunning(member["host"].asString())
                                   || member["applied"].asUInt64() >= json["commit"].asUInt64();
                       });
}

bool FleetConditions::isVoter(const ScenarioLine &line) const
{
    Json::Value json;
    if (!ask(m_fleet.leader(), "/v1/members", OperatorKey, json))
        return false;
    const std::string host = resolveHost(line.word(1));
    return std::any_of(json["members"].begin(), json["members"].end(),
                       [&](const Json::Value &member) {
                           return member["host"].asString() == host && member["voter"].asBool();
                       });
}

bool FleetConditions::hasWorkers(const ScenarioLine &line) const
{
    Json::Value json;
    if (!ask(m_fleet.authorityOf(line.word(1)), "/v1/workers", OperatorKey, json))
        return false;
    const std::string state = line.option("state", "usable");
    const auto count = std::count_if(
            json["workers"].begin(), json["workers"].end(),
            [&](const Json::Value &worker) { return worker["state"].asString() == state; });
    return count >= line.number64("count", 1);
}

bool FleetConditions::hasLimit(const ScenarioLine &line) const
{
    Json::Value json;
    if (!ask(resolveHost(line.option("via", "leader")), "/v1/teams", OperatorKey, json))
        return false;
    return std::any_of(json["teams"].begin(), json["teams"].end(), [&](const Json::Value &team) {
        return team["team"].asString() == line.word(1)
                && team["limit_millicores"].asInt64() == line.number64("is", 0);
    });
}

bool FleetConditions::hasOutcome(const ScenarioLine &line) const
{
    Json::Value json;
    const std::string host = resolveHost(line.option("via", m_fleet.hosts().front().name));
    const std::string key = keyOf(line.option("team", "alpha"), line.option("key", "k1"));
    return ask(host, "/v1/requests/" + line.word(1), key, json)
            && json["outcome"].asString() == line.option("is")
            && json["tasks_running"].asInt64() >= line.number64("running", 0);
}

} // namespace gentiancross::tests
