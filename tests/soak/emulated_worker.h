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

/** Fault that is injected into an emulated worker. */
enum class WorkerFault {
    None,
    /** Sends no responses or heartbeats; requests received meanwhile are handled on recovery. */
    Silent,
    /** Refuses some orders without executing them, and executes others without a response. */
    LosesResponses,
    /** Executes some requests without a response: part of them at once, the others up to seconds
     * later, in whichever incarnation is there by then. */
    ExecutesLate,
};

/**
 * A worker that serves the platform's calls (run start, run stop, lease renewal) with leases,
 * fences and numbered completions. Reports its runs to the InvariantChecker. Owned by
 * EmulatedPlatform. Thread safety: all methods may be called from any thread.
 */
class EmulatedWorker final : public HttpHandler
{
public:
    EmulatedWorker(int number, std::string ip, std::uint16_t port, std::int64_t capacityMillicores,
                   InvariantChecker &checker);

    bool start();
    void stop();

    /**
     * Ends runs that are complete or whose lease has lapsed, and answers a due lease renewal. Call
     * every few milliseconds.
     */
    void tick();
    /** Drops all runs and state; a new incarnation begins. */
    void crash();
    void setFault(WorkerFault fault);

    [[nodiscard]] std::string id() const { return m_id; }
    /** When the present incarnation started, by the wall clock in milliseconds. */
    std::int64_t bornMs();
    /** A draining worker says so in its heartbeats and continues to serve. */
    void setDraining(bool isDraining);
    /** The body of the next heartbeat; empty while the worker is silent. */
    std::string nextHeartbeatBody();
    /** The content of the latest heartbeat, for one that another writer derives from it. */
    Json::Value lastHeartbeat();

    void handleRequest(HttpToken token, HttpRequest request) override;
    void handleDisconnect(HttpToken) override {}

private:
    struct Run
    {
        std::uint64_t number = 0;
        std::int64_t millicores = 0;
        std::int64_t endsAtMs = 0;
    };

    struct Completion
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        const char *ending = "";
        /** How often the task had started by then, on any worker. */
        std::uint64_t startsBefore = 0;
        /** True if the lease has lapsed since the end. */
        bool hasLapsed = false;
    };

    struct PendingRenewal
    {
        HttpToken token = 0;
        std::int64_t untilMs = 0;
    };

    /** A request that is executed without a response at \a at. */
    struct LateRequest
    {
        Instant at;
        HttpRequest request;
        std::int64_t bornMs = 0;
    };

    [[nodiscard]] std::int64_t clockMs() const;
    [[nodiscard]] Json::Value heartbeat() const;
    void handle(HttpToken token, const HttpRequest &request);
    /** Handles a request under `WorkerFault::ExecutesLate`. */
    void handleLate(HttpToken token, const HttpRequest &request);
    void executeDueRequests();
    /** Handles a request under `WorkerFault::LosesResponses`. */
    void handleUnreliably(HttpToken token, const HttpRequest &request);
    void answer(HttpToken token, int status, Json::Value json);
    void refuse(HttpToken token, const char *reason);
    void startRun(HttpToken token, const Json::Value &json);
    void stopRun(HttpToken token, const Json::Value &json);
    void renewLease(HttpToken token, const Json::Value &json);
    void answerRenewal(HttpToken token);
    void endRun(const std::string &task, const char *ending);
    void extendLease(const Json::Value &json);
    [[nodiscard]] std::int64_t usedMillicores() const;

    std::string m_id;
    std::string m_ip;
    std::uint16_t m_port;
    std::int64_t m_capacityMillicores;
    InvariantChecker &m_checker;
    SystemClock m_clock;
    HttpListener m_http;
    std::mutex m_mutex;
    std::int64_t m_bornMs = 0;
    Instant m_startedAt;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::map<std::string, Run> m_runs;
    /** By task, the highest run that has ended or was stopped on this worker. */
    std::map<std::string, std::uint64_t> m_highestEndedRuns;
    std::vector<Completion> m_completions;
    std::uint64_t m_lastCompletion = 0;
    std::optional<PendingRenewal> m_pendingRenewal;
    WorkerFault m_fault = WorkerFault::None;
    /** Number of requests handled under `WorkerFault::LosesResponses`. */
    std::uint64_t m_unreliableRequests = 0;
    /** True while the responses of the request being handled are not sent. */
    bool m_isResponseLost = false;
    std::vector<std::pair<HttpToken, HttpRequest>> m_delayedRequests;
    bool m_isDraining = false;
    /** These outlast the incarnation to which they were sent. */
    std::vector<LateRequest> m_lateRequests;
    /** How the request being handled is executed. */
    Delivery m_delivery = Delivery::Answered;
};

/** Encodes the resources and run times of a job's steps as the payload that workers read. */
std::string encodePayload(const std::vector<SoakStep> &steps);

} // namespace gentiancross::tests
