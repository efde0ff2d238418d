#pragma once

// HTTP over loopback TCP for the review's stand-ins, and a relay that can cut a link.

#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Ms = std::int64_t;

inline Ms steadyMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline Ms wallMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(Ms ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct Address
{
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ':' + std::to_string(port); }
    auto operator<=>(const Address &) const = default;
};

inline Address parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return {text.substr(0, colon), std::stoi(text.substr(colon + 1))};
}

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in out = {};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

/** Returns a listening socket, or -1. */
inline int listenOn(const Address &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in name = socketAddress(address);
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) != 0
        || ::listen(socket, 512) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

/** Returns a connected socket, or -1. */
inline int connectTo(const Address &address, Ms timeout)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in name = socketAddress(address);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) != 0) {
        pollfd wait{socket, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS || ::poll(&wait, 1, static_cast<int>(timeout)) != 1
            || ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(socket);
            return -1;
        }
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

/** Waits until the socket is readable or writable; false when the time is over. */
inline bool waitFor(int socket, short events, Ms deadline)
{
    pollfd wait{socket, events, 0};
    return ::poll(&wait, 1, static_cast<int>(std::max<Ms>(deadline - steadyMs(), 0))) == 1;
}

inline bool sendAll(int socket, const std::string &bytes, Ms deadline)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent,
                                     MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0)
            sent += static_cast<std::size_t>(count);
        else if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            if (!waitFor(socket, POLLOUT, deadline))
                return false;
        } else
            return false;
    }
    return true;
}

struct HttpMessage
{
    std::string firstLine;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

/** Reads one message; \a rest holds the bytes behind it. False if it does not come whole. */
inline bool readMessage(int socket, std::string &rest, HttpMessage &message, Ms deadline)
{
    const auto more = [&] {
        char buffer[16384];
        if (!waitFor(socket, POLLIN, deadline))
            return false;
        const ssize_t count = ::recv(socket, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (count <= 0)
            return count < 0 && (errno == EAGAIN || errno == EINTR);
        rest.append(buffer, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = std::string::npos;
    while ((end = rest.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return false;
    }
    message = {};
    std::size_t line = rest.find("\r\n");
    message.firstLine = rest.substr(0, line);
    while (line < end) {
        const std::size_t next = rest.find("\r\n", line + 2);
        const std::string field = rest.substr(line + 2, next - line - 2);
        const std::size_t colon = field.find(':');
        if (colon != std::string::npos) {
            std::string name = field.substr(0, colon);
            for (char &letter : name)
                letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
            const std::size_t begin = field.find_first_not_of(' ', colon + 1);
            message.headers[name] = begin == std::string::npos ? "" : field.substr(begin);
        }
        line = next;
    }
    const std::string length = message.header("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (rest.size() < end + 4 + size) {
        if (!more())
            return false;
    }
    message.body = rest.substr(end + 4, size);
    rest.erase(0, end + 4 + size);
    return true;
}

struct HttpAnswer
{
    /** 0 if no answer came. */
    int status = 0;
    std::string body;
};

/** Sends one request on a connection of its own. */
inline HttpAnswer httpCall(const Address &to, const std::string &method, const std::string &path,
                           const std::string &body, Ms timeout,
                           const std::map<std::string, std::string> &headers = {})
{
    const Ms deadline = steadyMs() + timeout;
    const int socket = connectTo(to, timeout);
    if (socket < 0)
        return {};
    std::string text = method + ' ' + path + " HTTP/1.1\r\n";
    if (!headers.contains("Host"))
        text += "Host: " + to.text() + "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "Connection: close\r\n";
    if (method != "GET" && method != "DELETE")
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n";
    text += "\r\n" + (method == "GET" || method == "DELETE" ? std::string() : body);
    HttpAnswer answer;
    HttpMessage message;
    std::string rest;
    if (sendAll(socket, text, deadline) && readMessage(socket, rest, message, deadline)
        && message.firstLine.size() > 12) {
        answer.status = std::stoi(message.firstLine.substr(9, 3));
        answer.body = message.body;
    }
    ::close(socket);
    return answer;
}

struct HttpRequest
{
    std::string method;
    std::string path;
    HttpMessage message;
};

/** Serves each connection by a thread. The handler returns nothing to leave a request unanswered.
 */
class HttpServer
{
public:
    using Handler = std::function<std::optional<HttpAnswer>(const HttpRequest &)>;

    HttpServer(Address address, Handler handler)
        : m_address(std::move(address))
        , m_handler(std::move(handler))
    {}
    ~HttpServer() { stop(); }

    bool start()
    {
        m_stopping = false;
        m_listening = listenOn(m_address);
        if (m_listening < 0)
            return false;
        m_thread = std::thread([this] { accept(); });
        return true;
    }

    /** Resets all connections; the port answers no more. */
    void stop()
    {
        if (!m_thread.joinable())
            return;
        m_stopping = true;
        m_thread.join();
        ::close(m_listening);
        for (std::thread &thread : m_threads)
            thread.join();
        m_threads.clear();
    }

private:
    void accept()
    {
        while (!m_stopping) {
            if (!waitFor(m_listening, POLLIN, steadyMs() + 20))
                continue;
            const int socket = ::accept4(m_listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket >= 0)
                m_threads.emplace_back([this, socket] { serve(socket); });
        }
    }

    void serve(int socket)
    {
        std::string rest;
        while (!m_stopping) {
            if (rest.empty() && !waitFor(socket, POLLIN, steadyMs() + 20))
                continue;
            HttpRequest request;
            if (!readMessage(socket, rest, request.message, steadyMs() + 2000))
                break;
            const std::string &line = request.message.firstLine;
            const std::size_t space = line.find(' ');
            request.method = line.substr(0, space);
            request.path = line.substr(space + 1, line.find(' ', space + 1) - space - 1);
            const std::optional<HttpAnswer> answer = m_handler(request);
            if (m_stopping)
                break;
            if (!answer.has_value()) {
                // The caller is left without an answer until it gives up.
                char byte = 0;
                while (!m_stopping
                       && !(waitFor(socket, POLLIN, steadyMs() + 20)
                            && ::recv(socket, &byte, 1, MSG_DONTWAIT) == 0)) {
                }
                break;
            }
            const std::string text = "HTTP/1.1 " + std::to_string(answer->status)
                    + " X\r\nContent-Type: application/json\r\nContent-Length: "
                    + std::to_string(answer->body.size()) + "\r\n\r\n" + answer->body;
            if (!sendAll(socket, text, steadyMs() + 2000))
                break;
        }
        if (m_stopping) {
            const linger reset{1, 0};
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        }
        ::close(socket);
    }

    Address m_address;
    Handler m_handler;
    std::atomic<bool> m_stopping = false;
    int m_listening = -1;
    std::thread m_thread;
    std::vector<std::thread> m_threads;
};

/** Forwards the connections to one address. While it is cut, it holds all bytes back, as a silent
 * partition does; what it held is delivered when it is healed. */
class Relay
{
public:
    Relay(Address from, Address to)
        : m_from(std::move(from))
        , m_to(std::move(to))
    {}
    ~Relay()
    {
        m_stopping = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    bool start()
    {
        m_listening = listenOn(m_from);
        if (m_listening < 0)
            return false;
        m_thread = std::thread([this] { run(); });
        return true;
    }

    void setCut(bool cut) { m_cut = cut; }

private:
    struct Link
    {
        int ends[2] = {-1, -1};
        std::string waiting[2];
        bool closed = false;
    };

    void run()
    {
        while (!m_stopping) {
            if (m_cut) {
                sleepMs(5);
                continue;
            }
            std::vector<pollfd> polls{{m_listening, POLLIN, 0}};
            for (const auto &link : m_links) {
                for (int end = 0; end < 2; ++end)
                    polls.push_back({link->ends[end],
                                     static_cast<short>(POLLIN
                                                        | (link->waiting[end].empty() ? 0
                                                                                      : POLLOUT)),
                                     0});
            }
            ::poll(polls.data(), polls.size(), 5);
            if (m_cut)
                continue;
            for (auto &link : m_links) {
                pump(*link, 0);
                pump(*link, 1);
            }
            std::erase_if(m_links, [](const auto &link) {
                if (link->closed) {
                    ::close(link->ends[0]);
                    ::close(link->ends[1]);
                }
                return link->closed;
            });
            if (polls[0].revents != 0)
                accept();
        }
        for (auto &link : m_links) {
            ::close(link->ends[0]);
            ::close(link->ends[1]);
        }
        ::close(m_listening);
    }

    void accept()
    {
        const int near = ::accept4(m_listening, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (near < 0)
            return;
        const int far = connectTo(m_to, 200);
        if (far < 0) {
            const linger reset{1, 0};
            ::setsockopt(near, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            ::close(near);
            return;
        }
        const int on = 1;
        ::setsockopt(near, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        m_links.push_back(std::make_unique<Link>());
        m_links.back()->ends[0] = near;
        m_links.back()->ends[1] = far;
    }

    static void pump(Link &link, int from)
    {
        const int to = 1 - from;
        char buffer[65536];
        const ssize_t count = ::recv(link.ends[from], buffer, sizeof(buffer), MSG_DONTWAIT);
        if (count > 0)
            link.waiting[to].append(buffer, static_cast<std::size_t>(count));
        else if (count == 0 || (errno != EAGAIN && errno != EINTR))
            link.closed = true;
        while (!link.waiting[to].empty()) {
            const ssize_t sent = ::send(link.ends[to], link.waiting[to].data(),
                                        link.waiting[to].size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent <= 0)
                break;
            link.waiting[to].erase(0, static_cast<std::size_t>(sent));
        }
    }

    Address m_from;
    Address m_to;
    std::atomic<bool> m_cut = false;
    std::atomic<bool> m_stopping = false;
    int m_listening = -1;
    std::thread m_thread;
    std::vector<std::unique_ptr<Link>> m_links;
};

} // namespace review
