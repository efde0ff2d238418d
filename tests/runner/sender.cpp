#include "tests/runner/sender.h"

#include "drivers/codec.h"
#include "tests/standins/standin_worker.h"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <thread>

namespace gentiancross::tests {

namespace {

constexpr Milliseconds CallSlack{8'000};
constexpr int HttpOk = 200;

std::string bodyOf(const SendPlan &plan, const std::string &nonce)
{
    Json::Value payload;
    payload["run_ms"] = Json::Int64(plan.runMs);
    payload["answer_bytes"] = Json::Int64(plan.answerBytes);
    payload["nonce"] = nonce;
    payload["fault"] = plan.fault;
    payload["filling"] = std::string(static_cast<std::size_t>(plan.payloadBytes), 'x');
    Json::Value json;
    json["kind"] = plan.kind;
    json["resources"]["millicores"] = Json::Int64(plan.millicores);
    json["resources"]["accelerators"] = Json::Int64(plan.accelerators);
    json["resources"]["slots"] = 1;
    json["tasks"] = plan.tasks;
    json["deadline_ms"] = Json::Int64(plan.deadlineMs);
    json["idempotent"] = !plan.once;
    json["urgent"] = plan.urgent;
    json["payload"] = codec::formatJson(payload);
    for (const auto part : absl::StrSplit(plan.selector, ',', absl::SkipEmpty())) {
        const std::pair<std::string, std::string> label = absl::StrSplit(part, ':');
        json["selector"][label.first] = label.second;
    }
    return codec::formatJson(json);
}

std::string header(const HttpResponse &response, const std::string &name)
{
    const auto found = response.headers.find(name);
    return found == response.headers.end() ? std::string() : found->second;
}

} // namespace

void Sender::send(const std::string &tag, const SendPlan &plan)
{
    for (int number = 0; number < plan.count; ++number) {
        for (int copy = 0; copy < plan.times; ++copy)
            sendOne(tag, plan, number, copy);
        if (plan.gapMs > 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(plan.gapMs));
    }
}

void Sender::sendOne(const std::string &tag, const SendPlan &plan, int number, int copy)
{
    SentRequest request;
    request.tag = tag;
    // Resends under one name are the same work.
    const std::string batch = plan.namePrefix.empty() ? tag : plan.namePrefix;
    request.nonce = std::to_string(m_seed) + '-' + batch + '-' + std::to_string(number);
    request.key = plan.key;
    request.team = plan.team;
    request.kind = plan.kind;
    request.once = plan.once;
    request.entry = plan.entries[static_cast<std::size_t>(number + copy) % plan.entries.size()];
    request.sentAt = monotonicNowMs();
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + request.entry + "/v1/requests";
    call.headers["Authorization"] = "Bearer " + plan.key;
    call.headers["Content-Type"] = "application/json";
    if (!plan.namePrefix.empty()) {
        request.name = plan.namePrefix + std::to_string(number);
        call.headers["Idempotency-Key"] = request.name;
    }
    call.body = std::make_shared<const std::string>(bodyOf(plan, request.nonce));
    call.timeout = Milliseconds(plan.deadlineMs) + CallSlack;
    call.freshConnection = true;
    std::size_t index = 0;
    {
        const std::lock_guard lock(m_mutex);
        index = m_requests.size();
        m_requests.push_back(std::move(request));
    }
    m_client.start(std::move(call),
                   [this, index, bytes = plan.answerBytes](const HttpResult &result) {
                       ended(index, bytes, result);
                   });
}

void Sender::ended(std::size_t index, std::int64_t answerBytes, const HttpResult &result)
{
    const std::lock_guard lock(m_mutex);
    SentRequest &request = m_requests[index];
    request.endedAt = monotonicNowMs();
    request.answered = result.outcome == CallOutcome::Answered;
    if (request.answered) {
        request.status = result.response.status;
        request.body = *result.response.body;
        request.requestName = header(result.response, "x-request-name");
        request.outcome = header(result.response, "x-outcome");
        Json::Value json;
        if (request.outcome.empty() && codec::parseJson(request.body, json) && json.isObject())
            request.outcome = json.get("outcome", "none").asString();
        if (request.status == HttpOk && request.kind == "short" && request.outcome == "done") {
            const std::string whole = "begin " + request.nonce + '\n'
                    + std::string(static_cast<std::size_t>(answerBytes), 'x') + "\nend "
                    + request.nonce + '\n';
            request.isOwnAnswer = request.body == whole;
        }
    }
    m_changed.notify_all();
}

void Sender::await(const std::string &tag)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] {
        return std::all_of(m_requests.begin(), m_requests.end(), [&](const SentRequest &request) {
            return request.endedAt != 0 || (!tag.empty() && request.tag != tag);
        });
    });
}

std::vector<SentRequest> Sender::requests(const std::string &tag)
{
    const std::lock_guard lock(m_mutex);
    std::vector<SentRequest> found;
    for (const SentRequest &request : m_requests) {
        if (tag.empty() || request.tag == tag)
            found.push_back(request);
    }
    return found;
}

HttpResult callAndWait(const std::string &method, const std::string &address,
                       const std::string &path, const std::string &key, const std::string &body,
                       const std::string &name, bool respondAsync, Milliseconds timeout)
{
    HttpClient client;
    HttpCall call;
    call.method = method;
    call.url = "http://" + address + path;
    call.headers["Authorization"] = "Bearer " + key;
    call.headers["Content-Type"] = "application/json";
    if (!name.empty())
        call.headers["Idempotency-Key"] = name;
    if (respondAsync)
        call.headers["Prefer"] = "respond-async";
    if (!body.empty())
        call.body = std::make_shared<const std::string>(body);
    call.timeout = timeout;
    call.freshConnection = true;
    std::promise<HttpResult> promise;
    client.start(std::move(call), [&](HttpResult result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

} // namespace gentiancross::tests
