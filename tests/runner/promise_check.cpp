#include "tests/runner/promise_check.h"

#include "drivers/codec.h"
#include "tests/standins/standin_worker.h"

#include <algorithm>
#include <set>

namespace gentiancross::tests {

namespace {

/** "Within seconds", as the target puts it for configuration. */
constexpr std::int64_t WithdrawalMs = 6'000;

/** The task's name without its attempt. */
std::string taskOf(const std::string &attempt)
{
    return attempt.substr(0, attempt.rfind('/'));
}

void checkSinglePlacement(const WorkerObservations &sightings, std::vector<std::string> &broken)
{
    std::map<std::string, std::vector<const ObservedRun *>> byTask;
    for (const ObservedRun &run : sightings.runs)
        byTask[taskOf(run.task)].push_back(&run);
    for (auto &[task, runs] : byTask) {
        std::sort(runs.begin(), runs.end(), [](const ObservedRun *a, const ObservedRun *b) {
            return a->startedAt < b->startedAt;
        });
        for (std::size_t index = 1; index < runs.size(); ++index) {
            if (runs[index]->startedAt < runs[index - 1]->endedAt)
                broken.push_back("two places: " + runs[index - 1]->task + " on "
                                 + runs[index - 1]->worker + " and " + runs[index]->task + " on "
                                 + runs[index]->worker);
        }
    }
}

void checkRequest(const SentRequest &request, const std::vector<const ObservedRun *> &runs,
                  const PromiseContext &context, std::vector<std::string> &broken)
{
    if (!request.isOwnAnswer)
        broken.push_back("not its own whole answer: " + request.nonce);
    if (request.once && request.kind == "short" && runs.size() > 1)
        broken.push_back("ran more than once: " + request.nonce);
    for (const ObservedRun *run : runs) {
        if (request.outcome == "not run" && run->startedAt <= request.endedAt)
            broken.push_back("told \"not run\", but ran: " + request.nonce + " as " + run->task
                             + ", via " + request.entry + ": " + request.body);
        const auto withdrawn = context.withdrawnAt.find(request.key);
        const bool isTooLate = withdrawn != context.withdrawnAt.end()
                && request.sentAt > withdrawn->second + WithdrawalMs;
        if (isTooLate)
            broken.push_back("ran for a withdrawn key: " + request.nonce);
    }
    if (request.outcome == "done" && runs.empty())
        broken.push_back("told \"done\", but never ran: " + request.nonce);
}

} // namespace

WorkerObservations collectObservations(const std::vector<std::string> &addresses)
{
    WorkerObservations sightings;
    for (const std::string &address : addresses) {
        const HttpResult result = callAndWait("GET", address, "/witness", {}, {});
        Json::Value json;
        if (result.outcome != CallOutcome::Answered
            || !codec::parseJson(*result.response.body, json)) {
            sightings.breaches.push_back("no witness from " + address);
            continue;
        }
        const std::int64_t now = monotonicNowMs();
        for (const Json::Value &run : json["runs"]) {
            const std::int64_t ended = run["ended"].asInt64();
            sightings.runs.push_back({run["task"].asString(), run["team"].asString(),
                                      run["nonce"].asString(), run["worker"].asString(),
                                      run["epoch"].asUInt64(), run["millicores"].asInt64(),
                                      run["started"].asInt64(), ended == 0 ? now : ended});
        }
        for (const Json::Value &breach : json["breaches"])
            sightings.breaches.push_back(breach.asString());
    }
    return sightings;
}

std::int64_t maxRunningMillicores(const WorkerObservations &sightings, const std::string &team,
                                  std::int64_t since)
{
    // At the same millisecond an end goes before a start.
    std::vector<std::pair<std::int64_t, std::int64_t>> changes;
    for (const ObservedRun &run : sightings.runs) {
        if (run.team != team || run.endedAt < since)
            continue;
        changes.emplace_back(std::max(run.startedAt, since), run.millicores);
        changes.emplace_back(run.endedAt, -run.millicores);
    }
    std::sort(changes.begin(), changes.end());
    std::int64_t running = 0;
    std::int64_t most = 0;
    for (const auto &[at, change] : changes) {
        running += change;
        most = std::max(most, running);
    }
    return most;
}

std::vector<std::string> checkPromises(const WorkerObservations &sightings,
                                       const std::vector<SentRequest> &requests,
                                       const PromiseContext &context)
{
    std::vector<std::string> broken = sightings.breaches;
    checkSinglePlacement(sightings, broken);
    std::map<std::string, std::vector<const ObservedRun *>> byNonce;
    for (const ObservedRun &run : sightings.runs)
        byNonce[run.nonce].push_back(&run);
    for (const SentRequest &request : requests)
        checkRequest(request, byNonce[request.nonce], context, broken);
    for (const auto &[team, limit] : context.highestLimit) {
        const std::int64_t most = maxRunningMillicores(sightings, team, 0);
        if (most > limit)
            broken.push_back("team " + team + " ran " + std::to_string(most)
                             + " millicores over its limit of " + std::to_string(limit));
    }
    return broken;
}

} // namespace gentiancross::tests
