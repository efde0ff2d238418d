#include "tests/soak/emulated_worker.h"

#include "drivers/codec.h"

#include <absl/strings/str_split.h>

#include <algorithm>

namespace gentiancross::tests {

namespace {

constexpr std::size_t LargestOrder = 1 << 20;
constexpr std::int64_t LongestLease = 10'000;
constexpr int WorkersPerRack = 6;
constexpr int MostEndsListed = 500;

} // namespace

std::string encodePayload(const std::vector<SoakStep> &steps)
{
    Json::Value json(Json::arrayValue);
    for (const SoakStep &step : steps) {
        Json::Value row(Json::arrayValue);
        row.append(Json::Int64(step.cores));
        row.append(Json::Int64(step.runMs));
        json.append(row);
    }
    return codec::formatJson(json);
}

EmulatedWorker::EmulatedWorker(int number, std::string ip, std::uint16_t port,
                               std::int64_t capacity, Observations &observations)
    : m_id("i-" + std::to_string(number))
    , m_ip(std::move(ip))
    , m_port(port)
    , m_capacity(capacity)
    , m_observations(observations)
    , m_http(*this, LargestOrder)
    , m_born(m_clock.wallTime().value())
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

std::int64_t EmulatedWorker::clock() const
{
    return (m_clock.now() - m_startedAt).value();
}

std::int64_t EmulatedWorker::used() const
{
    std::int64_t cores = 0;
    for (const auto &[task, run] : m_runs)
        cores += run.cores;
    return cores;
}

std::string EmulatedWorker::nextBeat()
{
    const std::lock_guard lock(m_mutex);
    if (m_fault == WorkerFault::Silent)
        return {};
    Json::Value json;
    json["service"] = "pool";
    json["addr"] = m_ip + ':' + std::to_string(m_port);
    json["zone"] = "z1";
    json["state"] = "ready";
    json["capacity"]["cpu"] = Json::Int64(m_capacity);
    json["capacity"]["mem_mb"] = 1'000'000;
    json["labels"].append("a");
    json["labels"].append("r" + std::to_string(std::stoi(m_id.substr(2)) / WorkersPerRack));
    json["clock_ms"] = Json::Int64(clock());
    json["born"] = Json::Int64(m_born);
    json["seq"] = Json::UInt64(++m_sequence);
    return codec::formatJson(json);
}

void EmulatedWorker::crash()
{
    const std::lock_guard lock(m_mutex);
    m_observations.note("crash of " + m_id);
    for (const auto &[task, run] : m_runs)
        m_observations.runOver(task, m_id, false);
    m_runs.clear();
    m_over.clear();
    m_ends.clear();
    m_held.clear();
    m_hold.reset();
    m_lastEnd = 0;
    m_fence = 0;
    m_sequence = 0;
    m_leaseUntil = 0;
    m_born = std::max(m_clock.wallTime().value(), m_born + 1);
    m_startedAt = m_clock.now();
}

void EmulatedWorker::setFault(WorkerFault fault)
{
    const std::lock_guard lock(m_mutex);
    m_fault = fault;
    if (fault != WorkerFault::None)
        return;
    // What was held back is carried out late.
    for (const auto &[token, request] : std::exchange(m_held, {}))
        handle(token, request);
}

void EmulatedWorker::tick()
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t now = clock();
    std::vector<std::pair<std::string, const char *>> over;
    for (const auto &[task, run] : m_runs) {
        if (now >= run.endsAt)
            over.emplace_back(task, "done");
        else if (now >= m_leaseUntil)
            over.emplace_back(task, "lapsed");
    }
    for (const auto &[task, how] : over)
        end(task, how);
    if (m_hold.has_value() && (now >= m_hold->until || !m_ends.empty())
        && m_fault == WorkerFault::None)
        answerHold(std::exchange(m_hold, std::nullopt)->token);
}

void EmulatedWorker::end(const std::string &task, const char *how)
{
    const Run run = m_runs.at(task);
    m_runs.erase(task);
    m_over[task] = std::max(m_over[task], run.number);
    m_ends.push_back({++m_lastEnd, task, run.number, how});
    m_observations.runOver(task, m_id, std::string(how) == "done");
}

void EmulatedWorker::handleRequest(HttpToken token, HttpRequest request)
{
    const std::lock_guard lock(m_mutex);
    if (m_fault == WorkerFault::Silent)
        m_held.emplace_back(token, std::move(request));
    else
        handle(token, request);
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
        hold(token, json);
    else
        answer(token, 404, {});
}

void EmulatedWorker::answer(HttpToken token, int status, Json::Value json)
{
    json["clock_ms"] = Json::Int64(clock());
    json["born"] = Json::Int64(m_born);
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
    const std::int64_t until = json.get("until_ms", 0).asInt64();
    m_leaseUntil = std::max(m_leaseUntil, std::min(until, clock() + LongestLease));
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
    const auto over = m_over.find(task);
    if (running != m_runs.end() || (over != m_over.end() && run <= over->second)) {
        extendLease(json);
        refuse(token, "old");
        return;
    }
    if (json["until_ms"].asInt64() <= clock()) {
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
    m_runs[task] = {run, step[0].asInt64(), clock() + step[1].asInt64()};
    m_observations.runBegun(task, run, m_id);
    m_observations.workerUse(m_id, used(), m_capacity);
    answer(token, 200, {});
}

void EmulatedWorker::stopRun(HttpToken token, const Json::Value &json)
{
    const std::string task = json["task"].asString();
    const std::uint64_t run = json["run"].asUInt64();
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.number <= run)
        end(task, "stopped");
    m_over[task] = std::max(m_over[task], run);
    answer(token, 200, {});
}

void EmulatedWorker::hold(HttpToken token, const Json::Value &json)
{
    extendLease(json);
    const std::uint64_t seen = json.get("last_seen", 0).asUInt64();
    for (const End &end : m_ends) {
        if (end.number <= seen && std::string(end.how) == "done")
            m_observations.endNoted(end.task);
    }
    std::erase_if(m_ends, [seen](const End &end) { return end.number <= seen; });
    if (m_hold.has_value())
        answerHold(std::exchange(m_hold, std::nullopt)->token);
    const std::int64_t wait = json.get("wait_ms", 0).asInt64();
    if (wait == 0 || !m_ends.empty())
        answerHold(token);
    else
        m_hold = {token, clock() + wait};
}

void EmulatedWorker::answerHold(HttpToken token)
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
        row.append(Json::Int64(run.cores));
        json["running"].append(row);
    }
    for (const End &end : m_ends) {
        if (json["ended"].size() >= MostEndsListed)
            break;
        Json::Value row(Json::arrayValue);
        row.append(Json::UInt64(end.number));
        row.append(end.task);
        row.append(Json::UInt64(end.run));
        row.append(end.how);
        row.append("");
        json["ended"].append(row);
    }
    answer(token, 200, json);
}

} // namespace gentiancross::tests
