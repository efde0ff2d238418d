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

/** What one process of stand-in workers is made of. */
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
 * Serves many stand-in workers on one address, each below its own path, over plain sockets so that
 * answers can be cut short or doubled. "/witness" tells what was seen, "/control" sets a mode.
 */
class StandinServer
{
public:
    explicit StandinServer(StandinOptions options);

    /** Serves until the process ends. Returns false if the address can't be had. */
    bool run();

private:
    struct Request;

    void runAnnounceLoop();
    void announce(std::size_t index, std::size_t turn);
    std::string chooseEntry(std::size_t index, std::size_t turn);
    void announced(std::size_t index, std::size_t turn, const HttpResult &result);
    void serve(int socket);
    static bool readRequest(int socket, Request &request);
    void answer(int socket, const Request &request);
    void answerOrder(int socket, const Request &request, StandinWorker &worker);
    std::string control(const std::string &body);
    std::string witness() const;

    StandinOptions m_options;
    std::vector<std::unique_ptr<StandinWorker>> m_workers;
    std::mutex m_mutex;
    /** Where each worker was told to announce itself; empty for any entry host. */
    std::vector<std::string> m_announceTo;
    HttpClient m_client;
};

} // namespace gentiancross::tests
