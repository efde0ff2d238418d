#include "tests/standins/standin_worker.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace gentiancross::tests {

namespace {

using namespace std::chrono_literals;

/** The head of an answer names its request, so that a caller can tell its own. */
std::string makeAnswer(const SimulatedTask &pretence)
{
    std::string answer = "begin " + pretence.nonce + '\n';
    answer.append(static_cast<std::size_t>(pretence.answerBytes), 'x');
    answer += "\nend " + pretence.nonce + '\n';
    return answer;
}

constexpr std::int64_t UsageLagMs = 1'000;

/** Checkpoints outlive attempts and workers, as on a platform that stores them. */
class CheckpointStore
{
public:
    void save(const std::string &task, std::int64_t progress)
    {
        const std::lock_guard lock(m_mutex);
        m_progress[taskOf(task)] += progress;
    }

    std::int64_t progressOf(const std::string &task)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_progress.find(taskOf(task));
        return found == m_progress.end() ? 0 : found->second;
    }

private:
    static std::string taskOf(const std::string &attempt)
    {
        return attempt.substr(0, attempt.rfind('/'));
    }

    std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_progress;
};

CheckpointStore &checkpoints()
{
    static CheckpointStore store;
    return store;
}

} // namespace

std::int64_t monotonicNowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
}

StandinWorker::StandinWorker(std::string name, std::string address, std::string dataCentre,
                             std::string rack, StandinCapacity capacity)
    : m_name(std::move(name))
    , m_address(std::move(address))
    , m_dataCentre(std::move(dataCentre))
    , m_rack(std::move(rack))
    , m_capacity(capacity)
{
    restart();
}

std::int64_t StandinWorker::clock() const
{
    return monotonicNowMs() + m_clockOffset;
}

void StandinWorker::restart()
{
    const std::lock_guard lock(m_mutex);
    for (auto &[task, run] : m_running)
        m_runRecords[run.witness].endedAt = monotonicNowMs();
    m_running.clear();
    m_finished.clear();
    m_epoch = 0;
    m_session
            = m_name + '.' + std::to_string(monotonicNowMs()) + '.' + std::to_string(++m_sessions);
    // Workers' clocks have nothing to do with those of the entry hosts.
    m_clockOffset = static_cast<std::int64_t>(m_sessions) * 1'000'003;
    m_changed.notify_all();
}

void StandinWorker::setMode(const std::string &mode)
{
    const std::lock_guard lock(m_mutex);
    m_mode = mode;
}

bool StandinWorker::isSilent() const
{
    const std::lock_guard lock(m_mutex);
    return m_mode == "silent";
}

void StandinWorker::breach(const std::string &what)
{
    m_breaches.push_back(m_name + ": " + what);
}

void StandinWorker::connectionChanged(int change)
{
    const std::lock_guard lock(m_mutex);
    m_connections += change;
    if (m_connections > m_capacity.connections)
        breach("more connections than it has");
}

std::string StandinWorker::refusal(const Json::Value &order) const
{
    if (order["session"].asString() != m_session)
        return "another session of this worker";
    if (order["epoch"].asUInt64() < m_epoch)
        return "an epoch that has ended";
    if (clock() > order["not_after_ms"].asInt64())
        return "the order came too late";
    return {};
}

void StandinWorker::begin(const Json::Value &order, const std::string &nonce)
{
    const std::string task = order["task"].asString();
    const Json::Value &reserved = order["reserved"];
    m_epoch = std::max<std::uint64_t>(m_epoch, order["epoch"].asUInt64());
    if (++m_starts[task] > 1)
        breach("task " + task + " started twice");
    Run run;
    run.witness = m_runRecords.size();
    run.millicores = reserved["millicores"].asInt64();
    run.memoryMib = reserved["memory_mib"].asInt64();
    run.accelerators = reserved["accelerators"].asInt64();
    run.slots = reserved["slots"].asInt64();
    run.leaseUntil = order["lease_until_ms"].asInt64();
    run.startedAt = clock();
    m_runRecords.push_back({task, order["team"].asString(), nonce, order["epoch"].asUInt64(),
                            run.millicores, monotonicNowMs(), 0});
    m_running[task] = run;
    std::int64_t cores = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;
    std::int64_t slots = 0;
    for (const auto &[name, each] : m_running) {
        cores += each.millicores;
        memory += each.memoryMib;
        accelerators += each.accelerators;
        slots += each.slots;
    }
    if (cores > m_capacity.millicores || memory > m_capacity.memoryMib
        || accelerators > m_capacity.accelerators || slots > m_capacity.slots)
        breach("runs more than it has, with " + task);
}

bool StandinWorker::waitForEnd(std::unique_lock<std::mutex> &lock, const std::string &task,
                               std::int64_t runMs, const std::string &session)
{
    m_running.at(task).endsAt
            = clock() + std::max<std::int64_t>(runMs - checkpoints().progressOf(task), 0);
    while (m_session == session && m_running.contains(task)) {
        const Run &run = m_running.at(task);
        if (run.stop || clock() >= run.leaseUntil)
            return false;
        if (clock() >= run.endsAt)
            return true;
        const std::int64_t left = std::min(run.endsAt, run.leaseUntil) - clock();
        m_changed.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(left, 1)));
    }
    return false;
}

void StandinWorker::saveProgress(const std::string &task)
{
    const auto found = m_running.find(task);
    if (found != m_running.end())
        checkpoints().save(task, clock() - found->second.startedAt);
}

void StandinWorker::throttle(const std::string &task)
{
    const auto found = m_running.find(task);
    if (found == m_running.end() || found->second.throttled)
        return;
    // At half the speed what is left takes twice as long.
    found->second.throttled = true;
    found->second.endsAt += found->second.endsAt - clock();
}

void StandinWorker::finish(const std::string &task, bool succeeded)
{
    const auto found = m_running.find(task);
    if (found == m_running.end())
        return;
    m_runRecords[found->second.witness].endedAt = monotonicNowMs();
    m_running.erase(found);
    m_finished[task] = succeeded;
}

OrderResult StandinWorker::order(const Json::Value &order, const SimulatedTask &pretence)
{
    std::unique_lock lock(m_mutex);
    const std::string reason = refusal(order);
    if (!reason.empty())
        return {409, reason};
    const std::string task = order["task"].asString();
    const std::string session = m_session;
    begin(order, pretence.nonce);
    if (m_mode == "black-hole" || pretence.fault == "fail") {
        finish(task, false);
        return {500, "the task failed"};
    }
    if (!order["answer_with_result"].asBool()) {
        std::thread([this, task, session, runMs = pretence.runMs] {
            std::unique_lock inner(m_mutex);
            const bool succeeded = waitForEnd(inner, task, runMs, session);
            if (m_session == session)
                finish(task, succeeded);
        }).detach();
        return {200, "started\n"};
    }
    const bool succeeded = waitForEnd(lock, task, pretence.runMs, session);
    if (m_session == session)
        finish(task, succeeded);
    if (m_session != session)
        return {0, {}};
    if (!succeeded)
        return {500, "the task was stopped"};
    return {200, makeAnswer(pretence)};
}

Json::Value StandinWorker::announcement()
{
    const std::lock_guard lock(m_mutex);
    Json::Value json;
    json["worker"] = m_name;
    json["address"] = m_address;
    json["data_centre"] = m_dataCentre;
    json["rack"] = m_rack;
    json["capacity"]["millicores"] = Json::Int64(m_capacity.millicores);
    json["capacity"]["memory_mib"] = Json::Int64(m_capacity.memoryMib);
    json["capacity"]["accelerators"] = Json::Int64(m_capacity.accelerators);
    json["capacity"]["slots"] = Json::Int64(m_capacity.slots);
    json["connections"] = Json::Int64(m_capacity.connections);
    json["labels"]["data_centre"] = m_dataCentre;
    json["session"] = m_session;
    json["now_ms"] = Json::Int64(clock());
    json["epoch"] = Json::UInt64(m_epoch);
    json["leaving"] = m_mode == "leaving";
    json["running"] = Json::Value(Json::arrayValue);
    json["finished"] = Json::Value(Json::arrayValue);
    for (const auto &[task, run] : m_running) {
        Json::Value item;
        item["task"] = task;
        item["team"] = m_runRecords[run.witness].team;
        // Usage is seen late, as from a real platform.
        const bool isSeen = clock() - run.startedAt >= UsageLagMs;
        item["used_millicores"]
                = Json::Int64(isSeen ? run.millicores / (run.throttled ? 10 : 1) : 0);
        item["used_memory_mib"] = Json::Int64(isSeen ? run.memoryMib : 0);
        json["running"].append(item);
    }
    for (const auto &[task, succeeded] : m_finished) {
        Json::Value item;
        item["task"] = task;
        item["succeeded"] = succeeded;
        json["finished"].append(item);
    }
    return json;
}

bool StandinWorker::announced(const Json::Value &reply)
{
    const std::lock_guard lock(m_mutex);
    if (reply["epoch"].asUInt64() < m_epoch)
        return false;
    const bool isNewEpoch = reply["epoch"].asUInt64() > m_epoch;
    m_epoch = reply["epoch"].asUInt64();
    std::vector<std::string> stopped;
    for (const Json::Value &task : reply["stop"])
        stopped.push_back(task.asString());
    for (auto &[task, run] : m_running) {
        run.stop = run.stop || std::find(stopped.begin(), stopped.end(), task) != stopped.end();
        if (!run.stop)
            run.leaseUntil
                    = std::max<std::int64_t>(run.leaseUntil, reply["lease_until_ms"].asInt64());
    }
    for (const Json::Value &task : reply["checkpoint"])
        saveProgress(task.asString());
    for (const Json::Value &task : reply["throttle"])
        throttle(task.asString());
    for (const Json::Value &task : reply["acknowledged"])
        m_finished.erase(task.asString());
    m_changed.notify_all();
    return isNewEpoch;
}

void StandinWorker::appendRecords(Json::Value &runs, Json::Value &breaches) const
{
    const std::lock_guard lock(m_mutex);
    for (const RunWitness &run : m_runRecords) {
        Json::Value item;
        item["task"] = run.task;
        item["team"] = run.team;
        item["nonce"] = run.nonce;
        item["epoch"] = Json::UInt64(run.epoch);
        item["worker"] = m_name;
        item["millicores"] = Json::Int64(run.millicores);
        item["started"] = Json::Int64(run.startedAt);
        item["ended"] = Json::Int64(run.endedAt);
        runs.append(item);
    }
    for (const std::string &breach : m_breaches)
        breaches.append(breach);
}

} // namespace gentiancross::tests
