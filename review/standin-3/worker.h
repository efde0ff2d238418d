#pragma once

// Workers as the users' PROTOCOL page describes them, for the review's scripts. A task's time of
// work stands in its job's spec: "ms=N".

#include "cell.h"

#include <condition_variable>
#include <utility>

namespace review {

/** What the workers have done, for the check of a case. Thread safe. */
class Runs
{
public:
    struct Run
    {
        std::string task;
        std::uint64_t run = 0;
        std::string worker;
        Ms begin = 0;
        /** -1 while it is at work. */
        Ms end = -1;
        std::string how;
    };

    void begin(Ms now, const std::string &task, std::uint64_t run, const std::string &worker)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({task, run, worker, now, -1, ""});
    }

    void end(Ms now, const std::string &task, std::uint64_t run, const std::string &worker,
             const std::string &how)
    {
        const std::lock_guard lock(m_mutex);
        for (Run &each : m_runs) {
            if (each.task == task && each.run == run && each.worker == worker && each.end < 0) {
                each.end = now;
                each.how = how;
            }
        }
    }

    std::vector<Run> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
};

struct WorkerOptions
{
    std::string id;
    Address address;
    std::string service = "pool";
    std::string zone;
    std::string rack;
    std::string kind = "a";
    std::int64_t cpu = 32000;
    std::int64_t memMb = 65536;
    Ms stopMs = 100;
    /** How long after its start it sends its first heartbeat. */
    Ms firstHeartbeat = 0;
};

class Worker
{
public:
    Worker(Record &record, Runs &runs, std::vector<Address> control, WorkerOptions options)
        : m_record(record)
        , m_runs(runs)
        , m_control(std::move(control))
        , m_options(std::move(options))
    {
        m_heartbeats = std::thread([this] { sendHeartbeats(); });
        m_ticks = std::thread([this] {
            while (!m_over) {
                tick();
                sleepMs(5);
            }
        });
    }

    ~Worker()
    {
        m_over = true;
        m_changed.notify_all();
        crash();
        m_heartbeats.join();
        m_ticks.join();
    }

    const std::string &id() const { return m_options.id; }

    /** Begins a new incarnation: it runs nothing, has seen no token, and its counts start anew. */
    bool start()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_born = std::max(wallMs(), m_born + 1);
            m_startedAt = steadyMs();
            m_sequence = 0;
            m_fence = 0;
            m_leaseUntil = 0;
            m_lastEnd = 0;
            m_isUp = true;
            m_isDraining = false;
        }
        m_server = std::make_unique<HttpServer>(
                m_options.address, [this](const HttpRequest &request) { return handle(request); });
        return m_server->start();
    }

    /** Ends at once; its port refuses connections until it starts again. */
    void crash()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_isUp)
                return;
            m_isUp = false;
            for (const auto &[task, run] : m_running)
                m_runs.end(m_record.now(), task, run.number, id(), "crash");
            m_running.clear();
            m_highest.clear();
            m_ends.clear();
        }
        m_changed.notify_all();
        m_server->stop();
    }

    /** Called for each order; if it returns a time, the order gets no answer and is carried out
     * that much later, by whatever incarnation is there then. Set it before start(). */
    using Delay = std::function<std::optional<Ms>(Worker &, const std::string &, const Json::Value &)>;
    void setDelay(Delay delay) { m_delay = std::move(delay); }

private:
    struct Running
    {
        std::uint64_t number = 0;
        Ms endsAt = 0;
        bool isStopping = false;
    };

    struct End
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };

    struct Late
    {
        Ms at = 0;
        std::string path;
        Json::Value json;
    };

    Ms clock() const { return steadyMs() - m_startedAt; }

    static Ms workOf(const std::string &spec)
    {
        const std::size_t found = spec.find("ms=");
        return found == std::string::npos ? 1000 : std::stoll(spec.substr(found + 3));
    }

    HttpAnswer answer(int status, Json::Value json) const
    {
        json["clock_ms"] = Json::Int64(clock());
        json["born"] = Json::Int64(m_born);
        return {status, toText(json)};
    }

    HttpAnswer refuse(const char *reason) const
    {
        Json::Value json;
        json["reason"] = reason;
        return answer(409, json);
    }

    std::optional<HttpAnswer> handle(const HttpRequest &request)
    {
        if (request.method == "GET")
            return HttpAnswer{200, "{}"};
        if (request.message.header("target-instance") != id())
            return HttpAnswer{421, "{}"};
        const Json::Value json = parseJson(request.message.body);
        if (m_delay) {
            const std::optional<Ms> later = m_delay(*this, request.path, json);
            if (later.has_value()) {
                const std::lock_guard lock(m_mutex);
                m_record.line("%s: %s gets no answer, carried out %lld ms later: %s", id().c_str(),
                              request.path.c_str(), static_cast<long long>(*later),
                              request.message.body.c_str());
                m_late.push_back({steadyMs() + *later, request.path, json});
                return std::nullopt;
            }
        }
        return execute(request.path, json, true);
    }

    std::optional<HttpAnswer> execute(const std::string &path, const Json::Value &json, bool waits)
    {
        std::unique_lock lock(m_mutex);
        if (!m_isUp)
            return std::nullopt;
        const std::uint64_t fence = json.get("fence", 0).asUInt64();
        if (fence < m_fence)
            return refuse("fence");
        m_fence = fence;
        if (path == "/run-start")
            return startRun(json);
        if (path == "/run-stop")
            return stopRun(json);
        return hold(json, waits, lock);
    }

    void extendLease(const Json::Value &json)
    {
        const Ms until = json.get("until_ms", 0).asInt64();
        m_leaseUntil = std::max(m_leaseUntil, std::min<Ms>(until, clock() + 10'000));
    }

    HttpAnswer startRun(const Json::Value &json)
    {
        const std::string task = json["task"].asString();
        const std::uint64_t run = json["run"].asUInt64();
        const auto running = m_running.find(task);
        if (running != m_running.end() && running->second.number == run) {
            extendLease(json);
            return answer(200, {});
        }
        const auto highest = m_highest.find(task);
        if (running != m_running.end() || (highest != m_highest.end() && run <= highest->second)) {
            extendLease(json);
            return refuse("old");
        }
        if (json["until_ms"].asInt64() <= clock())
            return refuse("late");
        extendLease(json);
        m_running[task] = {run, clock() + workOf(json["spec"].asString()), false};
        m_runs.begin(m_record.now(), task, run, id());
        m_record.line("%s (born %lld): starts %s run %llu", id().c_str(),
                      static_cast<long long>(m_born), task.c_str(),
                      static_cast<unsigned long long>(run));
        return answer(200, {});
    }

    HttpAnswer stopRun(const Json::Value &json)
    {
        const std::string task = json["task"].asString();
        const std::uint64_t run = json["run"].asUInt64();
        const auto running = m_running.find(task);
        if (running != m_running.end() && running->second.number <= run
            && !std::exchange(running->second.isStopping, true))
            running->second.endsAt = clock() + m_options.stopMs;
        m_highest[task] = std::max(m_highest[task], run);
        return answer(200, {});
    }

    std::optional<HttpAnswer> hold(const Json::Value &json, bool waits,
                                   std::unique_lock<std::mutex> &lock)
    {
        extendLease(json);
        const std::uint64_t lastSeen = json.get("last_seen", 0).asUInt64();
        std::erase_if(m_ends, [lastSeen](const End &end) { return end.number <= lastSeen; });
        const Ms wait = json.get("wait_ms", 0).asInt64();
        const Ms born = m_born;
        if (waits && wait > 0)
            m_changed.wait_for(lock, std::chrono::milliseconds(wait),
                               [&] { return !m_ends.empty() || !m_isUp || m_born != born; });
        if (!m_isUp || m_born != born)
            return std::nullopt;
        Json::Value lists;
        lists["running"] = Json::Value(Json::arrayValue);
        lists["ended"] = Json::Value(Json::arrayValue);
        for (const auto &[task, run] : m_running) {
            Json::Value row;
            row.append(task);
            row.append(Json::UInt64(run.number));
            row.append("");
            row.append(100);
            row.append(1);
            lists["running"].append(row);
        }
        for (const End &end : m_ends) {
            if (lists["ended"].size() >= 500)
                break;
            Json::Value row;
            row.append(Json::UInt64(end.number));
            row.append(end.task);
            row.append(Json::UInt64(end.run));
            row.append(end.how);
            row.append("");
            lists["ended"].append(row);
        }
        return answer(200, lists);
    }

    void tick()
    {
        std::vector<Late> due;
        {
            const std::lock_guard lock(m_mutex);
            if (!m_isUp)
                return;
            const Ms now = clock();
            const bool hasLapsed = now >= m_leaseUntil;
            for (auto running = m_running.begin(); running != m_running.end();) {
                const auto &[task, run] = *running;
                if (!hasLapsed && now < run.endsAt) {
                    ++running;
                    continue;
                }
                const char *how = run.isStopping ? "stopped" : now >= run.endsAt ? "done" : "lapsed";
                m_ends.push_back({++m_lastEnd, task, run.number, how});
                m_highest[task] = std::max(m_highest[task], run.number);
                m_runs.end(m_record.now(), task, run.number, id(), how);
                m_record.line("%s: %s run %llu ended %s", id().c_str(), task.c_str(),
                              static_cast<unsigned long long>(run.number), how);
                running = m_running.erase(running);
                m_changed.notify_all();
            }
            const Ms at = steadyMs();
            for (const Late &late : m_late) {
                if (late.at <= at)
                    due.push_back(late);
            }
            std::erase_if(m_late, [at](const Late &late) { return late.at <= at; });
        }
        for (const Late &late : due) {
            const std::optional<HttpAnswer> result = execute(late.path, late.json, false);
            m_record.line("%s: carried out late: %s %s run %llu: %d", id().c_str(),
                          late.path.c_str(), late.json["task"].asString().c_str(),
                          static_cast<unsigned long long>(late.json["run"].asUInt64()),
                          result.has_value() ? result->status : 0);
        }
    }

    void sendHeartbeats()
    {
        std::size_t turn = std::hash<std::string>()(id());
        std::optional<Address> told;
        Ms born = 0;
        Ms next = 0;
        while (!m_over) {
            Json::Value json;
            {
                const std::lock_guard lock(m_mutex);
                if (m_isUp && m_born != born) {
                    born = m_born;
                    next = m_startedAt + m_options.firstHeartbeat;
                    told.reset();
                }
                if (m_isUp && steadyMs() >= next) {
                    json["service"] = m_options.service;
                    json["addr"] = m_options.address.text();
                    json["zone"] = m_options.zone;
                    json["version"] = "v1";
                    json["slots"] = 8;
                    json["state"] = "ready";
                    json["cold_left_ms"] = 0;
                    json["capacity"]["cpu"] = Json::Int64(m_options.cpu);
                    json["capacity"]["mem_mb"] = Json::Int64(m_options.memMb);
                    json["capacity"]["gpu"] = 0;
                    json["labels"].append(m_options.kind);
                    json["labels"].append(m_options.rack);
                    json["clock_ms"] = Json::Int64(clock());
                    json["born"] = Json::Int64(m_born);
                    json["seq"] = Json::UInt64(++m_sequence);
                }
            }
            if (json.isNull()) {
                sleepMs(5);
                continue;
            }
            const Address to = told.has_value() ? *told : m_control[turn % m_control.size()];
            const HttpAnswer answer = httpCall(to, "POST", "/instances/" + id() + "/heartbeat",
                                               toText(json), 1000);
            if (answer.status >= 200 && answer.status < 300) {
                const Json::Value reply = parseJson(answer.body);
                if (reply["heartbeat_addr"].isString()
                    && !reply["heartbeat_addr"].asString().empty())
                    told = parseAddress(reply["heartbeat_addr"].asString());
                next = steadyMs() + 1500;
            } else {
                told.reset();
                ++turn;
                next = steadyMs() + 200;
            }
        }
    }

    Record &m_record;
    Runs &m_runs;
    std::vector<Address> m_control;
    WorkerOptions m_options;
    Delay m_delay;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_over = false;
    bool m_isUp = false;
    bool m_isDraining = false;
    Ms m_born = 0;
    Ms m_startedAt = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    Ms m_leaseUntil = 0;
    std::map<std::string, Running> m_running;
    std::map<std::string, std::uint64_t> m_highest;
    std::vector<End> m_ends;
    std::uint64_t m_lastEnd = 0;
    std::vector<Late> m_late;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_heartbeats;
    std::thread m_ticks;
};

/** A configuration with one queue, which has no advice, and one tenant without a cap. */
inline std::string smallConfiguration(int version)
{
    return R"({"version":)" + std::to_string(version)
            + R"(,"routes":[{"name":"r-check","host":"jobs.example","path_prefix":"/q/",)"
              R"("kind":"unsafe","timeout_ms":3000,"target_runtime_ms":250,"priority":0,)"
              R"("service":"pool","max_attempts":3,"stretch":1.5,"public":false}],)"
              R"("services":[{"name":"pool","health_path":"/health","max_conns":64,)"
              R"("protocol":"h1","tls":false,"enforces_capacity":false,"spare":false}],)"
              R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
              R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
              R"("tenants":[{"name":"alpha","api_keys":["key-of-alpha"],"priority":1,)"
              R"("weight":10,"cap":{"cpu":0,"mem_mb":0,"gpu":0}}]})";
}

/** A client's call of a job, with the retries that the pages give it. */
inline HttpAnswer callJob(Cell &cell, Record &record, const std::string &method,
                          const std::string &job, const std::string &body = "")
{
    HttpAnswer answer;
    for (int attempt = 0; attempt < 5; ++attempt) {
        const std::vector<Host *> entries = cell.entries();
        answer = httpCall(entries[std::size_t(attempt) % entries.size()]->front, method,
                          "/q/" + job, body, 3000,
                          {{"Host", "jobs.example"},
                           {"Authorization", "Token key-of-alpha"},
                           {"Deadline-Ms", "3000"}});
        record.line("client: %s %s: %d %s", method.c_str(), job.c_str(), answer.status,
                    answer.body.c_str());
        const bool isUnclear = answer.status == 0 || answer.status >= 500 || answer.status == 429;
        if (!isUnclear)
            break;
        sleepMs(500);
    }
    return answer;
}

} // namespace review
