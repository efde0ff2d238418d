#pragma once

#include "drivers/http_client.h"
#include "tests/soak/emulated_worker.h"
#include "tests/soak/soak_random.h"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace gentiancross::tests {

/** Says which workers may run a step; part of them may not. */
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
    std::int64_t capacity = 16'000;
    /** The first three parts of the workers' addresses. */
    std::string net;
    /** Control addresses that heartbeats go to. */
    std::vector<std::string> controls;
};

/** The workers of a soak, their heartbeats and the adviser. Thread safety: as said. */
class EmulatedPlatform
{
public:
    EmulatedPlatform(PlatformOptions options, Observations &observations);
    EmulatedPlatform(const EmulatedPlatform &) = delete;
    EmulatedPlatform &operator=(const EmulatedPlatform &) = delete;
    ~EmulatedPlatform();

    /** Returns false if an address can't be had. */
    bool start();
    /** Safe from any thread. */
    std::vector<std::unique_ptr<EmulatedWorker>> &workers() { return m_workers; }
    [[nodiscard]] std::string adviserAddress() const;

private:
    void run();
    void beat(std::size_t index);

    PlatformOptions m_options;
    EmulatedAdviser m_adviser;
    std::vector<std::unique_ptr<EmulatedWorker>> m_workers;
    /** Which control address each worker calls next. */
    std::vector<std::atomic<std::size_t>> m_turns;
    HttpClient m_client;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace gentiancross::tests
