#include "tests/runner/entry_verbs.h"

#include "drivers/codec.h"
#include "tests/standins/standin_worker.h"

#include <absl/strings/str_split.h>

#include <algorithm>

namespace gentiancross::tests {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpAccepted = 202;

std::string bodyOf(const HttpResult &result)
{
    return result.response.body == nullptr ? std::string() : *result.response.body;
}

} // namespace

const std::map<std::string, EntryVerbs::Verb> &EntryVerbs::verbs()
{
    static const std::map<std::string, Verb> known = {
            {"team", &EntryVerbs::teamVerb},       {"key", &EntryVerbs::keyVerb},
            {"voters", &EntryVerbs::votersVerb},   {"status", &EntryVerbs::statusVerb},
            {"cancel", &EntryVerbs::cancelVerb},   {"declare-lost", &EntryVerbs::declareLostVerb},
            {"changes", &EntryVerbs::changesVerb},
    };
    return known;
}

std::string EntryVerbs::resolveEntryAddress(const ScenarioLine &line) const
{
    return m_fleet.entry(
            m_conditions.resolveHost(line.option("via", m_fleet.hosts().front().name)));
}

HttpResult EntryVerbs::operatorCall(const ScenarioLine &line, const std::string &method,
                                    const std::string &path, const std::string &body)
{
    HttpResult result = callAndWait(method, resolveEntryAddress(line), path, OperatorKey, body,
                                    line.option("name"));
    requireStatus(line, result);
    m_scenarioReporter.say("  answered " + std::to_string(result.response.status) + ' '
                           + bodyOf(result));
    return result;
}

HttpResult EntryVerbs::requestCall(const ScenarioLine &line, const std::string &method)
{
    const std::string key = keyOf(line.option("team", "alpha"), line.option("key", "k1"));
    HttpResult result = callAndWait(method, resolveEntryAddress(line),
                                    "/v1/requests/" + line.word(0), key, {});
    requireStatus(line, result);
    return result;
}

void EntryVerbs::requireStatus(const ScenarioLine &line, const HttpResult &result)
{
    const std::int64_t wanted = line.number64("status", HttpOk);
    if (result.response.status == wanted && result.outcome == CallOutcome::Answered)
        return;
    m_scenarioReporter.fail(line,
                            "answered " + std::to_string(result.response.status) + " instead of "
                                    + std::to_string(wanted) + ": " + bodyOf(result));
}

void EntryVerbs::teamVerb(const ScenarioLine &line)
{
    Json::Value json;
    const std::int64_t limit = line.number64("limit", 1'000'000);
    json["limit_millicores"] = Json::Int64(limit);
    json["weight"] = Json::Int64(line.number64("weight", 1));
    json["expected_version"] = Json::Int64(line.number64("expected", 0));
    const std::string team = line.word(0);
    m_context.highestLimit[team] = std::max(m_context.highestLimit[team], limit);
    operatorCall(line, "PUT", "/v1/teams/" + team, codec::formatJson(json));
}

void EntryVerbs::keyVerb(const ScenarioLine &line)
{
    const std::string team = line.word(1);
    const std::string key = line.word(2);
    const std::string path = "/v1/teams/" + team + "/keys/" + key;
    if (line.word(0) == "withdraw") {
        const HttpResult result = operatorCall(line, "DELETE", path, {});
        if (result.response.status == HttpOk)
            m_context.withdrawnAt.emplace(keyOf(team, key), monotonicNowMs());
        return;
    }
    Json::Value json;
    json["secret"] = keyOf(team, key);
    operatorCall(line, "PUT", path, codec::formatJson(json));
}

void EntryVerbs::votersVerb(const ScenarioLine &line)
{
    Json::Value json;
    for (const auto part : absl::StrSplit(line.word(0), ','))
        json["voters"].append(std::string(part));
    operatorCall(line, "PUT", "/v1/members", codec::formatJson(json));
}

void EntryVerbs::statusVerb(const ScenarioLine &line)
{
    const std::string body = bodyOf(requestCall(line, "GET"));
    m_scenarioReporter.say("  " + body);
    Json::Value json;
    const bool isJson = codec::parseJson(body, json) && json.isObject();
    const std::string wanted = line.option("outcome");
    if (!wanted.empty() && (!isJson || json["outcome"].asString() != wanted))
        m_scenarioReporter.fail(line, "the outcome is not " + wanted + ": " + body);
}

void EntryVerbs::cancelVerb(const ScenarioLine &line)
{
    requestCall(line, "DELETE");
}

void EntryVerbs::declareLostVerb(const ScenarioLine &line)
{
    Json::Value json;
    json["epoch"] = Json::Int64(line.number64("epoch", 1));
    operatorCall(line, "POST", "/v1/data-centres/" + line.word(0) + "/declare-lost",
                 codec::formatJson(json));
}

void EntryVerbs::changesVerb(const ScenarioLine &line)
{
    const std::string team = line.word(0);
    const std::int64_t from = line.number64("from", 1);
    for (std::int64_t version = from; version < from + line.number64("count", 1); ++version) {
        Json::Value json;
        json["limit_millicores"] = Json::Int64(1000 + version);
        json["expected_version"] = Json::Int64(version);
        const std::string name = "change-" + team + '-' + std::to_string(version);
        const HttpResult result = callAndWait("PUT", m_fleet.entry(m_fleet.hosts().front().name),
                                              "/v1/teams/" + team, OperatorKey,
                                              codec::formatJson(json), name, true);
        const bool isTaken
                = result.response.status == HttpOk || result.response.status == HttpAccepted;
        if (!isTaken) {
            m_scenarioReporter.fail(line,
                                    "change " + name + " was answered "
                                            + std::to_string(result.response.status));
            return;
        }
    }
}

} // namespace gentiancross::tests
