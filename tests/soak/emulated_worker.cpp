#include "tests/soak/emulated_worker.h"

#include "drivers/codec.h"

#include <absl/strings/str_split.h>

#include <algorithm>

namespace gentiancross::tests {

namespace {

constexpr std::size_t MaxOrderBytes = 1 << 20;
constexpr std::int64_t MaxLeaseMs = 10'000;
constexpr int WorkersPerRack = 6;
constexpr int MaxCompletionsListed = 500;

} // namespace

std::string encodePayload(const std::vector<SoakStep> &steps)
{
    Json::Value json(Json::arrayValue);
    for (const SoakStep &step : steps) {
        Json::Value row(Json::arrayValue);
        row.append(Json::Int64(step.millicores));
        row.append(Json::Int64(step.runMs));
        json.append(row);
    }
    return codec::formatJson(json);
}

EmulatedWorker::EmulatedWorker(int number, std::string ip, std::uint16_t port,
                               std::int64_t capacityMillicores, InvariantChecker &checker)
    : m_id("i-" + std::to_string(number))
    , m_ip(std::move(ip))
    , m_port(port)
    , m_capacityMillicores(capacityMillicores)
    , m_checker(checker)
    , m_http(*this, MaxOrderBytes)
    , m_bornMs(m_clock.wallTime().value())
    , m_startedAt(m_clock.now())
{}

bool EmulatedWorker::start()
{
    return m_http.start(m_ip, m_port).ok();
}

void EmulatedWorker::stop()
{
    m_http.stop();
}

std::int64_t EmulatedWorker::clockMs() const
{
    return (m_clock.now() - m_startedAt).value();
}

std::int64_t EmulatedWorker::usedMillicores() const
{
    std::int64_t millicores = 0;
    for (const auto &[task, run] : m_runs)
        millicores += run.millicores;
    return millicores;
}

std::int64_t EmulatedWorker::bornMs()
{
    const std::lock_guard lock(m_mutex);
    return m_bornMs;
}

void EmulatedWorker::setDraining(bool isDraining)
{
    const std::lock_guard lock(m_mutex);
    m_isDraining = isDraining;
}

Json::Value EmulatedWorker::lastHeartbeat()
{
    const std::lock_guard lock(m_mutex);
    return heartbeat();
}

std::string EmulatedWorker::nextHeartbeatBody()
{
    const std::lock_guard lock(m_mutex);
    if (m_fault == WorkerFault::Silent)
        return {};
    ++m_sequence;
    return codec::formatJson(heartbeat());
}

Json::Value EmulatedWorker::heartbeat() const
{
    Json::Value json;
    json["service"] = "pool";
    json["addr"] = m_ip + ':' + std::to_string(m_port);
    json["zone"] = "z1";
    json["state"] = m_isDraining ? "draining" : "ready";
    json["capacity"]["cpu"] = Json::Int64(m_capacityMillicores);
    json["capacity"]["mem_mb"] = 1'000'000;
    json["labels"].append("a");
    json["labels"].append("r" + std::to_string(std::stoi(m_id.substr(2)) / WorkersPerRack));
    json["clock_ms"] = Json::Int64(clockMs());
    json["born"] = Json::Int64(m_bornMs);
    json["seq"] = Json::UInt64(m_sequence);
    return json;
}

void EmulatedWorker::crash()
{
    const std::lock_guard lock(m_mutex);
    m_checker.recordEvent("crash of " + m_id);
    for (const auto &[task, run] : m_runs)
        m_checker.recordRunEnd(task, m_id, false);
    m_runs.clear();
    m_highestEndedRuns.clear();
    m_completions.clear();
    m_delayedRequests.clear();
    m_pendingRenewal.reset();
    m_lastCompletion = 0;
    m_fence = 0;
    m_sequence = 0;
    m_leaseUntilMs = 0;
    m_bornMs = std::max(m_clock.wallTime().value(), m_bornMs + 1);
    m_startedAt = m_clock.now();
}

void EmulatedWorker::setFault(WorkerFault fault)
{
    const std::lock_guard lock(m_mutex);
    m_fault = fault;
    if (fault != WorkerFault::None)
        return;
    // Requests delayed by the fault are handled late, as after a real stall.
    for (const auto &[token, request] : std::exchange(m_delayedRequests, {}))
        handle(token, request);
}

void EmulatedWorker::tick()
{
    const std::lock_guard lock(m_mutex);
    executeDueRequests();
    const std::int64_t now = clockMs();
    if (now >= m_leaseUntilMs) {
        for (Completion &completion : m_completions)
            completion.hasLapsed = true;
    }
    std::vector<std::pair<std::string, const char *>> ended;
    for (const auto &[task, run] : m_runs) {
        if (now >= run.endsAtMs)
            ended.emplace_back(task, "done");
        else if (now >= m_leaseUntilMs)
            ended.emplace_back(task, "lapsed");
    }
    for (const auto &[task, ending] : ended)
        endRun(task, ending);
    if (m_pendingRenewal.has_value() && (now >= m_pendingRenewal->untilMs || !m_completions.empty())
        && (m_fault == WorkerFault::None || m_fault == WorkerFault::ExecutesLate))
        answerRenewal(std::exchange(m_pendingRenewal, std::nullopt)->token);
}

void EmulatedWorker::endRun(const std::string &task, const char *ending)
{
    const Run run = m_runs.at(task);
    m_runs.erase(task);
    m_highestEndedRuns[task] = std::max(m_highestEndedRuns[task], run.number);
    const std::uint64_t starts = m_checker.recordRunEnd(task, m_id, std::string(ending) == "done");
    m_completions.push_back({++m_lastCompletion, task, run.number, ending, starts});
}

void EmulatedWorker::handleRequest(HttpToken token, HttpRequest request)
{
    const std::lock_guard lock(m_mutex);
    if (m_fault == WorkerFault::Silent)
        m_delayedRequests.emplace_back(token, std::move(request));
    else if (m_fault == WorkerFault::LosesResponses)
        handleUnreliably(token, request);
    else if (m_fault == WorkerFault::ExecutesLate)
        handleLate(token, request);
    else
        handle(token, request);
}

void EmulatedWorker::handleUnreliably(HttpToken token, const HttpRequest &request)
{
    constexpr int StatusUnavailable = 503;
    const std::uint64_t kind = m_unreliableRequests++ % 3;
    if (kind == 0 && request.path != "/hold") {
        answer(token, StatusUnavailable, {});
        return;
    }
    m_isResponseLost = kind == 1;
    handle(token, request);
    m_isResponseLost = false;
}

void EmulatedWorker::handleLate(HttpToken token, const HttpRequest &request)
{
    constexpr std::uint64_t MaxDelayMs = 3000;
    constexpr std::uint64_t DelayStepMs = 787;
    const std::uint64_t number = m_unreliableRequests++;
    if (number % 4 == 0) {
        handle(token, request);
        return;
    }
    const Milliseconds delay(std::int64_t(number * DelayStepMs % MaxDelayMs));
    m_lateRequests.push_back(
            {m_clock.now() + (number % 4 == 1 ? Milliseconds(0) : delay), request, m_bornMs});
    executeDueRequests();
}

void EmulatedWorker::executeDueRequests()
{
    constexpr HttpToken NoToken = 0;
    const Instant now = m_clock.now();
    const auto due
            = std::stable_partition(m_lateRequests.begin(), m_lateRequests.end(),
                                    [now](const LateRequest &late) { return late.at > now; });
    const std::vector<LateRequest> requests(due, m_lateRequests.end());
    m_lateRequests.erase(due, m_lateRequests.end());
    m_isResponseLost = true;
    for (const LateRequest &late : requests) {
        m_delivery = late.bornMs == m_bornMs ? Delivery::Unanswered : Delivery::NextIncarnation;
        handle(NoToken, late.request);
    }
    m_delivery = Delivery::Answered;
    m_isResponseLost = false;
}

void EmulatedWorker::handle(HttpToken token, const HttpRequest &request)
{
    Json::Value json;
    if (!codec::parseJson(request.body, json) || !json.isObject()) {
        answer(token, 400, {});
        return;
    }
    if (request.header("target-instance") != m_id) {
        answer(token, 421, {});
        return;
    }
    const std::uint64_t fence = json.get("fence", 0).asUInt64();
    if (fence < m_fence) {
        refuse(token, "fence");
        return;
    }
    m_fence = fence;
    if (request.path == "/run-start")
        startRun(token, json);
    else if (request.path == "/run-stop")
        stopRun(token, json);
    else if (request.path == "/hold")
        renewLease(token, json);
    else
        answer(token, 404, {});
}

void EmulatedWorker::answer(HttpToken token, int status, Json::Value json)
{
    if (m_isResponseLost)
        return;
    json["clock_ms"] = Json::Int64(clockMs());
    json["born"] = Json::Int64(m_bornMs);
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = std::make_shared<const std::string>(codec::formatJson(json));
    m_http.respond(token, std::move(response));
}

void EmulatedWorker::refuse(HttpToken token, const char *reason)
{
    Json::Value json;
    json["reason"] = reason;
    answer(token, 409, json);
}

void EmulatedWorker::extendLease(const Json::Value &json)
{
    const std::int64_t untilMs = json.get("until_ms", 0).asInt64();
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, clockMs() + MaxLeaseMs));
}

void EmulatedWorker::startRun(HttpToken token, const Json::Value &json)
{
    const std::string task = json["task"].asString();
    const std::uint64_t run = json["run"].asUInt64();
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.number == run) {
        extendLease(json);
        answer(token, 200, {});
        return;
    }
    const auto ended = m_highestEndedRuns.find(task);
    if (running != m_runs.end() || (ended != m_highestEndedRuns.end() && run <= ended->second)) {
        extendLease(json);
        refuse(token, "old");
        return;
    }
    if (json["until_ms"].asInt64() <= clockMs()) {
        refuse(token, "late");
        return;
    }
    const std::vector<std::string> parts = absl::StrSplit(task, '.');
    Json::Value steps;
    if (parts.size() != 4 || !codec::parseJson(json["spec"].asString(), steps)) {
        answer(token, 400, {});
        return;
    }
    const Json::Value &step = steps[static_cast<Json::ArrayIndex>(std::stoul(parts[2]))];
    extendLease(json);
    m_runs[task] = {run, step[0].asInt64(), clockMs() + step[1].asInt64()};
    m_checker.recordRunStart(task, run, m_id, m_delivery);
    m_checker.checkCapacity(m_id, usedMillicores(), m_capacityMillicores);
    answer(token, 200, {});
}

void EmulatedWorker::stopRun(HttpToken token, const Json::Value &json)
{
    const std::string task = json["task"].asString();
    const std::uint64_t run = json["run"].asUInt64();
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.number <= run)
        endRun(task, "stopped");
    m_highestEndedRuns[task] = std::max(m_highestEndedRuns[task], run);
    answer(token, 200, {});
}

void EmulatedWorker::renewLease(HttpToken token, const Json::Value &json)
{
    extendLease(json);
    const std::uint64_t lastSeen = json.get("last_seen", 0).asUInt64();
    for (const Completion &completion : m_completions) {
        if (completion.number <= lastSeen && std::string(completion.ending) == "done")
            m_checker.recordAcknowledgement(
                    {completion.task, completion.startsBefore, completion.hasLapsed, m_delivery});
    }
    std::erase_if(m_completions, [lastSeen](const Completion &completion) {
        return completion.number <= lastSeen;
    });
    if (m_delivery != Delivery::Answered)
        return;
    if (m_pendingRenewal.has_value())
        answerRenewal(std::exchange(m_pendingRenewal, std::nullopt)->token);
    const std::int64_t waitMs = json.get("wait_ms", 0).asInt64();
    if (waitMs == 0 || !m_completions.empty())
        answerRenewal(token);
    else
        m_pendingRenewal = {token, clockMs() + waitMs};
}

void EmulatedWorker::answerRenewal(HttpToken token)
{
    Json::Value json;
    json["running"] = Json::Value(Json::arrayValue);
    json["ended"] = Json::Value(Json::arrayValue);
    for (const auto &[task, run] : m_runs) {
        Json::Value row(Json::arrayValue);
        row.append(task);
        row.append(Json::UInt64(run.number));
        row.append("");
        row.append(100);
        row.append(Json::Int64(run.millicores));
        json["running"].append(row);
    }
    for (const Completion &completion : m_completions) {
        if (json["ended"].size() >= MaxCompletionsListed)
            break;
        Json::Value row(Json::arrayValue);
        row.append(Json::UInt64(completion.number));
        row.append(completion.task);
        row.append(Json::UInt64(completion.run));
        row.append(completion.ending);
        row.append("");
        json["ended"].append(row);
    }
    answer(token, 200, json);
}

} // namespace gentiancross::tests
