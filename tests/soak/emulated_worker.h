#pragma once

#include "drivers/http_listener.h"
#include "drivers/system_clock.h"
#include "tests/soak/invariant_checker.h"

#include <json/json.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** What is wrong with an emulated worker. */
enum class WorkerFault {
    None,
    /** It answers nothing; what it is told it does when it is well again. */
    Silent,
};

/**
 * A worker that speaks the platform's calls: starts, stops and holds, with leases, fences and
 * numbered ends. Thread safety: all methods may be called from any thread.
 */
class EmulatedWorker final : public HttpHandler
{
public:
    EmulatedWorker(int number, std::string ip, std::uint16_t port, std::int64_t capacity,
                   Observations &observations);

    bool start();
    void stop();

    /** Ends tasks and leases, answers holds whose time has come. Call every few milliseconds. */
    void tick();
    /** Everything that runs is gone; a new life begins. */
    void crash();
    void setFault(WorkerFault fault);

    [[nodiscard]] std::string id() const { return m_id; }
    /** The body of the next heartbeat; empty while the worker is silent. */
    std::string nextBeat();

    void handleRequest(HttpToken token, HttpRequest request) override;
    void handleDisconnect(HttpToken) override {}

private:
    struct Run
    {
        std::uint64_t number = 0;
        std::int64_t cores = 0;
        std::int64_t endsAt = 0;
    };

    struct End
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        const char *how = "";
    };

    struct WaitingHold
    {
        HttpToken token = 0;
        std::int64_t until = 0;
    };

    [[nodiscard]] std::int64_t clock() const;
    void handle(HttpToken token, const HttpRequest &request);
    void answer(HttpToken token, int status, Json::Value json);
    void refuse(HttpToken token, const char *reason);
    void startRun(HttpToken token, const Json::Value &json);
    void stopRun(HttpToken token, const Json::Value &json);
    void hold(HttpToken token, const Json::Value &json);
    void answerHold(HttpToken token);
    void end(const std::string &task, const char *how);
    void extendLease(const Json::Value &json);
    [[nodiscard]] std::int64_t used() const;

    std::string m_id;
    std::string m_ip;
    std::uint16_t m_port;
    std::int64_t m_capacity;
    Observations &m_observations;
    SystemClock m_clock;
    HttpListener m_http;
    std::mutex m_mutex;
    std::int64_t m_born = 0;
    Instant m_startedAt;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::map<std::string, Run> m_runs;
    /** The highest run of each task that has ended or was stopped here. */
    std::map<std::string, std::uint64_t> m_over;
    std::vector<End> m_ends;
    std::uint64_t m_lastEnd = 0;
    std::optional<WaitingHold> m_hold;
    WorkerFault m_fault = WorkerFault::None;
    std::vector<std::pair<HttpToken, HttpRequest>> m_held;
};

/** What a step of a job asks for and takes, as the job's payload tells it. */
std::string encodePayload(const std::vector<SoakStep> &steps);

} // namespace gentiancross::tests
