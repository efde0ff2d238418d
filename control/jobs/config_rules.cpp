#include "control/jobs/config_rules.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace gentiancross::configrules {

std::optional<std::string> findDefect(const ConfigDocument &document)
{
    std::set<PoolId> pools;
    for (const PoolConfig &pool : document.pools)
        pools.insert(pool.pool);
    std::unordered_map<std::string_view, std::unordered_set<std::string_view>> places;
    for (const QueueConfig &queue : document.queues) {
        if (!pools.contains(queue.pool))
            return "queue \"" + queue.queue.value() + "\" names the unknown pool \""
                    + queue.pool.value() + '"';
        if (!places[queue.host].insert(queue.pathPrefix).second)
            return "queue \"" + queue.queue.value() + "\" has the address of another queue";
        if (queue.timeout <= Milliseconds(0))
            return "queue \"" + queue.queue.value() + "\" has no timeout";
    }
    std::set<ApiKey> keys;
    for (const TeamConfig &team : document.teams) {
        for (const ApiKey &key : std::set<ApiKey>(team.keys.begin(), team.keys.end())) {
            if (!keys.insert(key).second)
                return "team \"" + team.team.value() + "\" has a key of another team";
        }
    }
    return std::nullopt;
}

std::optional<CallAnswer> answerUnchanged(const PutConfiguration &call, const SharedDocument &held)
{
    std::optional<std::string> defect
            = call.document.has_value() ? findDefect(*call.document) : call.defect;
    if (defect.has_value())
        return CallRefused{Refusal::Malformed, std::move(*defect), {}};
    if (held.has_value() && call.document->version <= held->version)
        return CallDone{};
    return std::nullopt;
}

std::optional<QueueMatch> findQueue(const ConfigDocument &document, const std::string &host,
                                    const std::string &path)
{
    const QueueConfig *best = nullptr;
    for (const QueueConfig &queue : document.queues) {
        if (queue.host != host || !path.starts_with(queue.pathPrefix))
            continue;
        if (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    if (best == nullptr)
        return std::nullopt;
    return QueueMatch{best, path.substr(best->pathPrefix.size())};
}

const TeamConfig *findTeam(const ConfigDocument &document, const ApiKey &key)
{
    const auto found = std::find_if(
            document.teams.begin(), document.teams.end(), [&key](const TeamConfig &team) {
                return std::find(team.keys.begin(), team.keys.end(), key) != team.keys.end();
            });
    return found == document.teams.end() ? nullptr : &*found;
}

} // namespace gentiancross::configrules
