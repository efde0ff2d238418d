#pragma once

#include "drivers/http_client.h"
#include "tests/standins/standin_worker.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gentiancross::tests {

/** Settings of one process of stand-in workers. */
struct StandinOptions
{
    std::string dataCentre;
    std::string ip;
    std::uint16_t port = 0;
    int count = 1;
    int workersPerRack = 6;
    std::int64_t announceMs = 500;
    std::vector<std::string> entries;
    StandinCapacity capacity;
};

/**
 * Serves the stand-in workers of a process on one address, each below its own path "/w/N". It uses
 * plain sockets so that answers can be truncated or sent twice. "/witness" returns the run records
 * and violations, "/control" sets a mode or restarts workers, and "/direct" performs work without a
 * start order.
 */
class StandinServer
{
public:
    explicit StandinServer(StandinOptions options);

    /** Serves until the process ends. Returns false if it cannot listen on the address. */
    bool run();

private:
    struct Request;

    void runAnnounceLoop();
    void announce(std::size_t index, std::size_t turn);
    std::string chooseEntry(std::size_t index, std::size_t turn);
    void handleAnnouncementReply(std::size_t index, std::size_t turn, const HttpResult &result);
    void serve(int socket);
    static bool readRequest(int socket, Request &request);
    void answer(int socket, const Request &request);
    void answerOrder(int socket, const Request &request, StandinWorker &worker);
    std::string control(const std::string &body);
    std::string recordsAsText() const;

    StandinOptions m_options;
    std::vector<std::unique_ptr<StandinWorker>> m_workers;
    std::mutex m_mutex;
    /** The entry host that each worker was redirected to; empty for any entry host. */
    std::vector<std::string> m_announceTo;
    HttpClient m_client;
};

} // namespace gentiancross::tests
