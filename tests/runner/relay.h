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

/** One direction in which bytes can be carried or held back. */
struct RelayRoute
{
    std::string name;
    std::string listenIp;
    std::string targetIp;
    std::uint16_t port = 0;
};

/**
 * Carries TCP connections between entry hosts, and holds bytes back while a route is cut: nothing
 * is refused or closed, as in a silent network partition. What was held is carried on after the
 * heal. One thread, which waits in poll. Thread safety: setCut from any thread.
 */
class Relay
{
public:
    Relay() = default;
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;
    ~Relay();

    /** Returns false if an address can't be had. */
    bool start(const std::vector<RelayRoute> &routes);
    void setCut(const std::string &route, bool cut);
    /** Closes the route's connections without an end, as a reset does. */
    void reset(const std::string &route);
    /** The bytes carried on a route, both ways. */
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
        /** Bytes read from an end that its counterpart has not taken yet. */
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
