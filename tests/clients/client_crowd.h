#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace gentiancross::tests {

/** What each client of a crowd sends, and whether it reads answers. */
struct ClientScript
{
    /** Each JobNumberMark in it is replaced by a number that no other request of the crowd has. */
    std::string wire;
    /** From this offset on, one byte is sent per TrickleInterval. */
    std::size_t trickleFrom = std::string::npos;
    bool readsAnswers = true;
    /** What follows this offset is not sent before ClientCrowd::release. */
    std::size_t waitAt = std::string::npos;

    static constexpr char JobNumberMark[] = "################";
};

/**
 * Sends the same bytes over many connections from a thread of its own, keeps the connections open
 * after the last byte, and replaces those that the server closes. Thread safety: one thread.
 */
class ClientCrowd
{
public:
    static constexpr std::chrono::milliseconds TrickleInterval{1000};

    /** Connects to \a ip and \a port from the addresses in \a sourceIps, in turn. */
    ClientCrowd(ClientScript script, std::size_t size, std::string ip, std::uint16_t port,
                std::vector<std::string> sourceIps);
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;
    ~ClientCrowd();

    void start();
    void stop();
    /** Lets the clients send what follows ClientScript::waitAt. */
    void release() { m_isReleased = true; }
    /** How many connections the server has closed so far. */
    [[nodiscard]] std::size_t closedConnections() const { return m_closed; }

private:
    using Time = std::chrono::steady_clock::time_point;

    struct Client
    {
        int socket = -1;
        /** With its own job numbers; empty if the script has none. */
        std::string wire;
        std::size_t sent = 0;
        Time nextAction;
    };

    void run();
    void connect(Client &client, const std::string &sourceIp);
    [[nodiscard]] const std::string &wireOf(const Client &client) const;
    /** How much of the wire may be sent at present. */
    [[nodiscard]] std::size_t sendableBytes(const Client &client) const;
    /** Reads and sends what is possible; closes the client's socket if the server has. */
    void serve(Client &client, short readiness, Time now);
    bool send(Client &client, Time now) const;
    static bool discardAnswers(int socket);
    [[nodiscard]] bool wantsToSend(const Client &client, Time now) const;

    ClientScript m_script;
    std::string m_ip;
    std::uint16_t m_port;
    std::vector<std::string> m_sourceIps;
    std::vector<Client> m_clients;
    std::uint64_t m_lastJobNumber = 0;
    std::atomic<bool> m_isStopping = false;
    std::atomic<bool> m_isReleased = false;
    std::atomic<std::size_t> m_closed = 0;
    std::thread m_thread;
};

} // namespace gentiancross::tests
