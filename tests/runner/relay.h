#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace gentiancross::tests {

/** The connections that one host opens to another; each route can be cut on its own. */
struct RelayRoute
{
    std::string name;
    std::string listenIp;
    std::string targetIp;
    std::uint16_t port = 0;
};

/**
 * Forwards TCP connections between hosts, and stops forwarding while a route is cut: no connection
 * is refused or closed, as in a silent network partition. Bytes held back are delivered once the
 * route is restored. Owns the sockets and one thread, which waits in poll. Used by Fleet and the
 * soak test. Thread safety: setCut, reset and bytesCarried may be called from any thread.
 */
class Relay
{
public:
    Relay() = default;
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;
    ~Relay();

    /** Returns false if it cannot listen on one of the addresses. */
    bool start(const std::vector<RelayRoute> &routes);
    void setCut(const std::string &route, bool cut);
    /** Aborts the route's connections with a TCP reset. */
    void reset(const std::string &route);
    /** Bytes carried over a route's connections, in both directions. */
    std::uint64_t bytesCarried(const std::string &route);

private:
    struct Listening
    {
        RelayRoute route;
        int socket = -1;
    };

    struct Link
    {
        std::string route;
        int ends[2] = {-1, -1};
        /** Bytes read from an end that are not yet written to the other end. */
        std::string waiting[2];
        bool closed = false;
    };

    void run();
    void accept(Listening &listening);
    void pump(Link &link, bool forward);
    void closeLink(Link &link);
    bool isCut(const std::string &route);
    void resetRequestedRoutes();

    std::vector<Listening> m_listening;
    std::vector<std::unique_ptr<Link>> m_links;
    std::mutex m_mutex;
    std::map<std::string, bool> m_cut;
    std::set<std::string> m_routesToReset;
    std::map<std::string, std::uint64_t> m_carried;
    std::thread m_thread;
    std::atomic<bool> m_stopping = false;
};

} // namespace gentiancross::tests
