#pragma once

#include "drivers/http_client.h"
#include "tests/soak/emulated_worker.h"
#include "tests/soak/soak_random.h"

#include <atomic>
#include <memory>
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

private:
    void run();
    void sendHeartbeat(std::size_t index);

    PlatformOptions m_options;
    EmulatedAdviser m_adviser;
    std::vector<std::unique_ptr<EmulatedWorker>> m_workers;
    /** By worker, how many heartbeats have failed; each failure moves on to the next address. */
    std::vector<std::atomic<std::size_t>> m_controlTurns;
    HttpClient m_client;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace gentiancross::tests
