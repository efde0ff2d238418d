#include "tests/clients/client_crowd.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace gentiancross::tests {

namespace {

constexpr int PollTimeoutMs = 10;
constexpr std::size_t SendBytes = 64 << 10;
/** Small, so that answers that are not read stay in the server. */
constexpr int ReceiveBufferBytes = 4 << 10;
constexpr std::chrono::milliseconds ReconnectInterval{200};

sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** Replaces the marks in \a wire by numbers after \a last; empty if there are none. */
std::string withJobNumbers(const std::string &wire, std::uint64_t &last)
{
    const std::string_view mark = ClientScript::JobNumberMark;
    std::size_t position = wire.find(mark);
    if (position == std::string::npos)
        return {};
    std::string numbered = wire;
    for (; position != std::string::npos; position = wire.find(mark, position + mark.size()))
        numbered.replace(position, mark.size(), absl::StrCat(absl::Hex(++last, absl::kZeroPad16)));
    return numbered;
}

bool isTemporary(int error)
{
    return error == EAGAIN || error == EINPROGRESS || error == ENOTCONN || error == EINTR;
}

} // namespace

ClientCrowd::ClientCrowd(ClientScript script, std::size_t size, std::string ip, std::uint16_t port,
                         std::vector<std::string> sourceIps)
    : m_script(std::move(script))
    , m_ip(std::move(ip))
    , m_port(port)
    , m_sourceIps(std::move(sourceIps))
    , m_clients(size)
{}

ClientCrowd::~ClientCrowd()
{
    stop();
}

void ClientCrowd::start()
{
    m_thread = std::thread([this] { run(); });
}

void ClientCrowd::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
    for (Client &client : m_clients) {
        if (client.socket >= 0)
            ::close(client.socket);
        client.socket = -1;
    }
}

const std::string &ClientCrowd::wireOf(const Client &client) const
{
    return client.wire.empty() ? m_script.wire : client.wire;
}

std::size_t ClientCrowd::sendableBytes(const Client &client) const
{
    const std::size_t size = wireOf(client).size();
    return m_isReleased ? size : std::min(size, m_script.waitAt);
}

void ClientCrowd::connect(Client &client, const std::string &sourceIp)
{
    client.sent = 0;
    client.wire = withJobNumbers(m_script.wire, m_lastJobNumber);
    client.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (!m_script.readsAnswers)
        ::setsockopt(client.socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
                     sizeof(ReceiveBufferBytes));
    const sockaddr_in source = addressOf(sourceIp, 0);
    const sockaddr_in target = addressOf(m_ip, m_port);
    // A failure shows as an error of the socket when it is polled.
    static_cast<void>(
            ::bind(client.socket, reinterpret_cast<const sockaddr *>(&source), sizeof(source)));
    static_cast<void>(
            ::connect(client.socket, reinterpret_cast<const sockaddr *>(&target), sizeof(target)));
}

bool ClientCrowd::wantsToSend(const Client &client, Time now) const
{
    return client.sent < sendableBytes(client)
            && (client.sent < m_script.trickleFrom || now >= client.nextAction);
}

bool ClientCrowd::send(Client &client, Time now) const
{
    const bool isTrickling = client.sent >= m_script.trickleFrom;
    const std::size_t end
            = isTrickling ? client.sent + 1 : std::min(m_script.trickleFrom, sendableBytes(client));
    const ssize_t count = ::send(client.socket, wireOf(client).data() + client.sent,
                                 std::min(end - client.sent, SendBytes), MSG_NOSIGNAL);
    if (count < 0)
        return isTemporary(errno);
    client.sent += static_cast<std::size_t>(count);
    if (isTrickling)
        client.nextAction = now + TrickleInterval;
    return true;
}

bool ClientCrowd::discardAnswers(int socket)
{
    std::array<char, 16 << 10> buffer;
    const ssize_t count = ::recv(socket, buffer.data(), buffer.size(), 0);
    return count > 0 || (count < 0 && isTemporary(errno));
}

void ClientCrowd::serve(Client &client, short readiness, Time now)
{
    bool isOpen = (readiness & (POLLERR | POLLHUP)) == 0;
    if (isOpen && (readiness & POLLIN) != 0)
        isOpen = discardAnswers(client.socket);
    if (isOpen && (readiness & POLLOUT) != 0)
        isOpen = send(client, now);
    if (isOpen)
        return;
    ::close(client.socket);
    client.socket = -1;
    client.nextAction = now + ReconnectInterval;
    ++m_closed;
}

void ClientCrowd::run()
{
    std::vector<pollfd> polled(m_clients.size());
    while (!m_isStopping) {
        const Time now = std::chrono::steady_clock::now();
        for (std::size_t index = 0; index < m_clients.size(); ++index) {
            Client &client = m_clients[index];
            if (client.socket < 0 && now >= client.nextAction)
                connect(client, m_sourceIps[index % m_sourceIps.size()]);
            short events = m_script.readsAnswers ? POLLIN : 0;
            if (wantsToSend(client, now))
                events |= POLLOUT;
            polled[index] = {client.socket, events, 0};
        }
        ::poll(polled.data(), polled.size(), PollTimeoutMs);
        for (std::size_t index = 0; index < m_clients.size(); ++index) {
            if (m_clients[index].socket >= 0 && polled[index].revents != 0)
                serve(m_clients[index], polled[index].revents, now);
        }
    }
}

} // namespace gentiancross::tests
