#include "tests/runner/relay.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace gentiancross::tests {

namespace {

constexpr int PollMilliseconds = 50;
constexpr int Backlog = 128;
constexpr std::size_t ChunkSize = 65'536;

sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

} // namespace

Relay::~Relay()
{
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
    for (const Listening &listening : m_listening)
        ::close(listening.socket);
    for (const auto &link : m_links)
        closeLink(*link);
}

bool Relay::start(const std::vector<RelayRoute> &routes)
{
    for (const RelayRoute &route : routes) {
        Listening listening{route,
                            ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)};
        const int yes = 1;
        ::setsockopt(listening.socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        const sockaddr_in address = addressOf(route.listenIp, route.port);
        const bool isOpen = ::bind(listening.socket, reinterpret_cast<const sockaddr *>(&address),
                                   sizeof(address))
                        == 0
                && ::listen(listening.socket, Backlog) == 0;
        m_listening.push_back(listening);
        if (!isOpen)
            return false;
    }
    m_thread = std::thread([this] { run(); });
    return true;
}

void Relay::setCut(const std::string &route, bool cut)
{
    const std::lock_guard lock(m_mutex);
    m_cut[route] = cut;
}

void Relay::reset(const std::string &route)
{
    const std::lock_guard lock(m_mutex);
    m_routesToReset.insert(route);
}

void Relay::resetRequestedRoutes()
{
    std::set<std::string> routes;
    {
        const std::lock_guard lock(m_mutex);
        routes.swap(m_routesToReset);
    }
    for (auto &link : m_links) {
        if (!routes.contains(link->route))
            continue;
        // Without lingering, closing sends a reset.
        const linger none{1, 0};
        for (const int end : link->ends)
            ::setsockopt(end, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
        closeLink(*link);
    }
}

bool Relay::isCut(const std::string &route)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_cut.find(route);
    return found != m_cut.end() && found->second;
}

std::uint64_t Relay::bytesCarried(const std::string &route)
{
    const std::lock_guard lock(m_mutex);
    return m_carried[route];
}

void Relay::run()
{
    while (!m_stopping) {
        resetRequestedRoutes();
        std::erase_if(m_links, [](const auto &link) { return link->closed; });
        std::vector<pollfd> waits;
        std::vector<std::pair<Link *, int>> owners;
        for (const Listening &listening : m_listening)
            waits.push_back({listening.socket, POLLIN, 0});
        for (auto &link : m_links) {
            if (isCut(link->route))
                continue;
            for (int end = 0; end < 2; ++end) {
                const bool canRead = link->waiting[end].size() < ChunkSize;
                const bool mustWrite = !link->waiting[1 - end].empty();
                const int events = (canRead ? POLLIN : 0) | (mustWrite ? POLLOUT : 0);
                waits.push_back({link->ends[end], static_cast<short>(events), 0});
                owners.emplace_back(link.get(), end);
            }
        }
        ::poll(waits.data(), waits.size(), PollMilliseconds);
        for (std::size_t index = 0; index < owners.size(); ++index) {
            auto [link, end] = owners[index];
            const short seen = waits[m_listening.size() + index].revents;
            if (!link->closed && seen != 0)
                pump(*link, end == 0);
        }
        for (std::size_t index = 0; index < m_listening.size(); ++index) {
            if ((waits[index].revents & POLLIN) != 0)
                accept(m_listening[index]);
        }
        std::erase_if(m_links, [](const auto &link) { return link->closed; });
    }
}

void Relay::accept(Listening &listening)
{
    const int from = ::accept4(listening.socket, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (from < 0)
        return;
    const int to = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(listening.route.targetIp, listening.route.port);
    if (::connect(to, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(from);
        ::close(to);
        return;
    }
    ::fcntl(to, F_SETFL, O_NONBLOCK);
    const int yes = 1;
    ::setsockopt(from, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    ::setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    auto link = std::make_unique<Link>();
    link->route = listening.route.name;
    link->ends[0] = from;
    link->ends[1] = to;
    m_links.push_back(std::move(link));
}

void Relay::pump(Link &link, bool forward)
{
    const int end = forward ? 0 : 1;
    std::string &out = link.waiting[1 - end];
    if (!out.empty()) {
        const ssize_t sent = ::send(link.ends[end], out.data(), out.size(), MSG_NOSIGNAL);
        if (sent > 0)
            out.erase(0, static_cast<std::size_t>(sent));
    }
    char chunk[ChunkSize];
    const ssize_t got = ::recv(link.ends[end], chunk, sizeof(chunk), 0);
    if (got == 0 || (got < 0 && errno != EAGAIN)) {
        // What was read before the end still goes out; the link then closes as a whole.
        std::string &rest = link.waiting[end];
        if (!rest.empty())
            ::send(link.ends[1 - end], rest.data(), rest.size(), MSG_NOSIGNAL);
        closeLink(link);
        return;
    }
    if (got < 0)
        return;
    {
        const std::lock_guard lock(m_mutex);
        m_carried[link.route] += static_cast<std::uint64_t>(got);
    }
    std::string &in = link.waiting[end];
    in.append(chunk, static_cast<std::size_t>(got));
    const ssize_t sent = ::send(link.ends[1 - end], in.data(), in.size(), MSG_NOSIGNAL);
    if (sent > 0)
        in.erase(0, static_cast<std::size_t>(sent));
}

void Relay::closeLink(Link &link)
{
    if (link.closed)
        return;
    link.closed = true;
    ::close(link.ends[0]);
    ::close(link.ends[1]);
}

} // namespace gentiancross::tests
