#pragma once

#include "drivers/http_client.h"
#include "tests/soak/emulated_worker.h"
#include "tests/soak/soak_random.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace gentiancross::tests {

/**
 * Advice service of the emulated platform: answers which workers may run a step. A fixed part of
 * the pairs of step and worker is unfit. Called by the hosts over HTTP.
 */
class EmulatedAdviser final : public HttpHandler
{
public:
    EmulatedAdviser(std::string ip, std::uint16_t port);

    bool start() { return m_http.start(m_ip, m_port).ok(); }
    void stop() { m_http.stop(); }

    void handleRequest(HttpToken token, HttpRequest request) override;
    void handleDisconnect(HttpToken) override {}

private:
    std::string m_ip;
    std::uint16_t m_port;
    HttpListener m_http;
};

/** How a heartbeat of another writer differs from that of a healthy worker. */
struct ForeignHeartbeat
{
    /** Which field makes it invalid; any number. */
    std::int64_t defect = 0;
    /** True for another worker's id at the healthy worker's address. */
    bool hasOtherId = false;
    /** Added to the birth time. */
    std::int64_t birthShiftMs = 0;
};

struct PlatformOptions
{
    int workers = 12;
    std::int64_t capacityMillicores = 16'000;
    /** The first three octets of the addresses of the workers and the adviser. */
    std::string addressPrefix;
    /** "ip:port" of the keepers that heartbeats are sent to. */
    std::vector<std::string> controlAddresses;
};

/**
 * Owns the emulated workers and the adviser of a soak, and sends the workers' heartbeats from a
 * thread of its own. Called by Soak. Thread safety: one thread, except where a method says
 * otherwise.
 */
class EmulatedPlatform
{
public:
    EmulatedPlatform(PlatformOptions options, InvariantChecker &checker);
    EmulatedPlatform(const EmulatedPlatform &) = delete;
    EmulatedPlatform &operator=(const EmulatedPlatform &) = delete;
    ~EmulatedPlatform();

    /** Returns false if an address cannot be bound. */
    bool start();
    /** Safe from any thread. */
    std::vector<std::unique_ptr<EmulatedWorker>> &workers() { return m_workers; }
    [[nodiscard]] std::string adviserAddress() const;
    /** Safe from any thread. Sends the next heartbeat of a worker ahead of its time. */
    void sendHeartbeat(std::size_t index);
    /** Safe from any thread. Sends what another writer says about a worker. */
    void sendForeignHeartbeat(std::size_t index, const ForeignHeartbeat &foreign);
    /** Safe from any thread. Sends heartbeats to these keepers from now on. */
    void setControlAddresses(std::vector<std::string> addresses);
    /** Safe from any thread. Sends the leave call of the worker's incarnation born at \a bornMs. */
    void sendLeave(std::size_t index, std::int64_t bornMs);

private:
    void run();
    void post(std::size_t index, const std::string &path, const std::string &body,
              HttpClient::Completion completion);

    PlatformOptions m_options;
    /** Guards the control addresses in the options. */
    std::mutex m_addressMutex;
    EmulatedAdviser m_adviser;
    std::vector<std::unique_ptr<EmulatedWorker>> m_workers;
    /** By worker, how many heartbeats have failed; each failure moves on to the next address. */
    std::vector<std::atomic<std::size_t>> m_controlTurns;
    HttpClient m_client;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace gentiancross::tests
