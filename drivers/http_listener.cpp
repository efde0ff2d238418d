#include "drivers/http_listener.h"

#include "core/error.h"
#include "drivers/system_clock.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <microhttpd.h>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>

namespace gentiancross {

namespace {

/** Above the budget's limit, so that the budget chooses what is closed before the library stops
 * accepting connections. */
constexpr std::size_t SpareConnections = 64;
constexpr unsigned int IdleTimeoutSeconds = 120;
constexpr std::chrono::seconds FlushTimeout{5};
constexpr int PayloadTooLarge = 413;
constexpr int ServiceUnavailable = 503;
/** A body of a declared length starts with at most this capacity, since the rest may never come. */
constexpr std::size_t InitialBodyBytes = 64 << 10;
/** What a header field costs in a map, beyond its text. */
constexpr std::size_t HeaderFieldBytes = 128;
/** Of a body that is too large, as much as this times the limit is discarded before the connection
 * is closed: a client that sends its body before it reads would not see an earlier refusal. */
constexpr std::size_t DiscardFactor = 2;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return text;
}

MHD_Result collectHeader(void *target, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<Headers *>(target)->insert_or_assign(lowerCase(name),
                                                     value == nullptr ? "" : value);
    return MHD_YES;
}

MHD_Result collectQuery(void *target, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<std::map<std::string, std::string> *>(target)->insert_or_assign(
            name, value == nullptr ? "" : value);
    return MHD_YES;
}

std::size_t headBytes(const HttpRequest &request)
{
    std::size_t bytes = request.path.size();
    for (const auto *fields : {&request.headers, &request.query}) {
        for (const auto &[name, value] : *fields)
            bytes += HeaderFieldBytes + name.size() + value.size();
    }
    return bytes;
}

HttpResponse makeRefusal(int status, const std::string &message)
{
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = "application/problem+json";
    response.body = std::make_shared<const std::string>(
            absl::StrCat(R"({"step":"decode","message":")", message, R"(","outcome":"not run"})"));
    return response;
}

/** An accepted socket, which the budget may shut down; the library then closes it. */
class AcceptedConnection final : public ClosableConnection
{
public:
    explicit AcceptedConnection(int socket)
        : m_socket(socket)
    {}

    void abort() override { ::shutdown(m_socket, SHUT_RDWR); }

    [[nodiscard]] ConnectionId id() const { return m_id; }
    void setId(ConnectionId id) { m_id = id; }

private:
    int m_socket;
    ConnectionId m_id;
};

std::string clientAddressOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *const info
            = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    std::array<char, INET_ADDRSTRLEN> text = {};
    if (info == nullptr || info->client_addr == nullptr || info->client_addr->sa_family != AF_INET)
        return std::string();
    const auto *const address = reinterpret_cast<const sockaddr_in *>(info->client_addr);
    ::inet_ntop(AF_INET, &address->sin_addr, text.data(), text.size());
    return text.data();
}

ConnectionId connectionIdOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *const info
            = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return static_cast<const AcceptedConnection *>(info->socket_context)->id();
}

} // namespace

class HttpListener::Implementation
{
public:
    Implementation(HttpHandler &handler, std::size_t maxBodyBytes, ConnectionBudget &budget)
        : m_handler(handler)
        , m_maxBodyBytes(maxBodyBytes)
        , m_budget(budget)
    {}

    absl::Status start(const std::string &ip, std::uint16_t port);
    void releaseRequest(HttpToken token);
    void respond(HttpToken token, HttpResponse response);
    void stop();

private:
    struct Exchange
    {
        HttpToken token = 0;
        ConnectionId connection;
        HttpRequest request;
        std::size_t headBytes = 0;
        /** As the client declared it; 0 for a chunked body. */
        std::size_t declaredBytes = 0;
        std::size_t receivedBytes = 0;
        bool isTooLarge = false;
        bool isDispatched = false;
    };

    struct PendingRequest
    {
        MHD_Connection *connection = nullptr;
        ConnectionId id;
        std::optional<HttpResponse> response;
    };

    static MHD_Result onAccess(void *self, MHD_Connection *connection, const char *url,
                               const char *method, const char *version, const char *data,
                               size_t *size, void **context);
    static void onCompleted(void *self, MHD_Connection *connection, void **context,
                            MHD_RequestTerminationCode code);
    static void onConnection(void *self, MHD_Connection *connection, void **context,
                             MHD_ConnectionNotificationCode code);
    [[nodiscard]] HttpResponse bodyTooLarge() const;
    MHD_Result receive(Exchange &exchange, const char *data, std::size_t size);
    /** Reserves capacity for the body; false if the budget does not allow it. */
    bool reserve(Exchange &exchange, std::size_t bytes);
    MHD_Result beginRequest(MHD_Connection *connection, const char *url, const char *method,
                            void **context);
    MHD_Result dispatch(MHD_Connection *connection, Exchange &exchange);
    MHD_Result sendResponse(MHD_Connection *connection, const Exchange &exchange);
    MHD_Result queueResponse(MHD_Connection *connection, const HttpResponse &response);

    HttpHandler &m_handler;
    std::size_t m_maxBodyBytes;
    ConnectionBudget &m_budget;
    const SystemClock m_clock;
    MHD_Daemon *m_daemon = nullptr;
    std::mutex m_mutex;
    HttpToken m_nextToken = 1;
    std::unordered_map<HttpToken, PendingRequest> m_pending;
    /** Number of dispatched requests whose response has not been sent completely. */
    std::size_t m_unfinished = 0;
    std::condition_variable m_allSent;
    bool m_stopping = false;
};

absl::Status HttpListener::Implementation::start(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    const std::string peer = ip + ':' + std::to_string(port);
    if (::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1)
        return makeError(absl::StatusCode::kInvalidArgument, Step::Network, peer,
                         "not an IP number");
    m_daemon = MHD_start_daemon(
            MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME
                    | MHD_USE_SUPPRESS_DATE_NO_CLOCK,
            port, nullptr, nullptr, &Implementation::onAccess, this, MHD_OPTION_SOCK_ADDR,
            reinterpret_cast<sockaddr *>(&address), MHD_OPTION_NOTIFY_COMPLETED,
            &Implementation::onCompleted, this, MHD_OPTION_NOTIFY_CONNECTION,
            &Implementation::onConnection, this, MHD_OPTION_CONNECTION_LIMIT,
            static_cast<unsigned int>(m_budget.limits().connections + SpareConnections),
            MHD_OPTION_CONNECTION_TIMEOUT, IdleTimeoutSeconds, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
            ConnectionPoolBytes, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (m_daemon == nullptr)
        return makeError(absl::StatusCode::kUnavailable, Step::Network, peer,
                         "cannot listen: the address is in use or not this host's");
    return absl::OkStatus();
}

MHD_Result HttpListener::Implementation::onAccess(void *self, MHD_Connection *connection,
                                                  const char *url, const char *method, const char *,
                                                  const char *data, size_t *size, void **context)
{
    auto *const implementation = static_cast<Implementation *>(self);
    if (*context == nullptr)
        return implementation->beginRequest(connection, url, method, context);
    auto &exchange = *static_cast<Exchange *>(*context);
    if (*size > 0)
        return implementation->receive(exchange, data, std::exchange(*size, 0));
    if (exchange.isDispatched)
        return implementation->sendResponse(connection, exchange);
    return implementation->dispatch(connection, exchange);
}

MHD_Result HttpListener::Implementation::beginRequest(MHD_Connection *connection, const char *url,
                                                      const char *method, void **context)
{
    *context = new Exchange; // Deleted in onCompleted.
    auto &exchange = *static_cast<Exchange *>(*context);
    HttpRequest &request = exchange.request;
    request.method = method;
    request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectQuery, &request.query);
    exchange.connection = connectionIdOf(connection);
    exchange.headBytes = headBytes(request);
    m_budget.enter(exchange.connection, ConnectionPhase::Receiving, m_clock.now());
    HeadVerdict verdict = m_handler.inspectHead(request);
    if (verdict.isTrusted)
        m_budget.trust(exchange.connection);
    if (verdict.refusal.has_value()) {
        m_budget.count(Rejection::Secret);
        return queueResponse(connection, *verdict.refusal);
    }
    // The library has refused lengths that are no numbers.
    if (!absl::SimpleAtoi(request.header("content-length"), &exchange.declaredBytes))
        exchange.declaredBytes = 0;
    if (exchange.declaredBytes > m_maxBodyBytes) {
        m_budget.count(Rejection::BodySize);
        exchange.isTooLarge = true;
        if (exchange.declaredBytes > DiscardFactor * m_maxBodyBytes
            || !request.header("expect").empty())
            return queueResponse(connection, bodyTooLarge());
        return MHD_YES;
    }
    if (reserve(exchange, std::min(exchange.declaredBytes, InitialBodyBytes)))
        return MHD_YES;
    HttpResponse busy = makeRefusal(ServiceUnavailable, "the host has no memory for the request");
    busy.headers["Retry-After"] = "1";
    return queueResponse(connection, busy);
}

HttpResponse HttpListener::Implementation::bodyTooLarge() const
{
    return makeRefusal(PayloadTooLarge,
                       absl::StrCat("the body is larger than ", m_maxBodyBytes, " bytes"));
}

bool HttpListener::Implementation::reserve(Exchange &exchange, std::size_t bytes)
{
    std::string &body = exchange.request.body;
    body.reserve(bytes);
    return m_budget.hold(exchange.connection, exchange.headBytes + body.capacity(), m_clock.now());
}

MHD_Result HttpListener::Implementation::receive(Exchange &exchange, const char *data,
                                                 std::size_t size)
{
    std::string &body = exchange.request.body;
    exchange.receivedBytes += size;
    if (!exchange.isTooLarge && exchange.receivedBytes > m_maxBodyBytes) {
        exchange.isTooLarge = true;
        m_budget.count(Rejection::BodySize);
        body = std::string();
        reserve(exchange, 0);
    }
    if (exchange.isTooLarge)
        return exchange.receivedBytes > DiscardFactor * m_maxBodyBytes ? MHD_NO : MHD_YES;
    if (exchange.receivedBytes > body.capacity()) {
        const std::size_t limit
                = exchange.declaredBytes > 0 ? exchange.declaredBytes : m_maxBodyBytes;
        const std::size_t doubled = std::min(2 * body.capacity(), limit);
        if (!reserve(exchange, std::max(doubled, exchange.receivedBytes)))
            return MHD_NO;
    }
    body.append(data, size);
    return MHD_YES;
}

void HttpListener::Implementation::onConnection(void *self, MHD_Connection *connection,
                                                void **context, MHD_ConnectionNotificationCode code)
{
    auto *const implementation = static_cast<Implementation *>(self);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        const MHD_ConnectionInfo *const info
                = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        auto accepted = std::make_unique<AcceptedConnection>(info->connect_fd);
        accepted->setId(implementation->m_budget.add(clientAddressOf(connection), *accepted,
                                                     implementation->m_clock.now()));
        *context = accepted.release(); // Deleted when the library closes the connection.
        return;
    }
    // The library closes the socket after this call, so the budget never shuts down another one.
    const std::unique_ptr<AcceptedConnection> accepted(static_cast<AcceptedConnection *>(*context));
    implementation->m_budget.remove(accepted->id());
}

MHD_Result HttpListener::Implementation::dispatch(MHD_Connection *connection, Exchange &exchange)
{
    if (exchange.isTooLarge)
        return queueResponse(connection, bodyTooLarge());
    m_budget.enter(exchange.connection, ConnectionPhase::Deciding, m_clock.now());
    exchange.isDispatched = true;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return MHD_NO;
        ++m_unfinished;
        exchange.token = m_nextToken++;
        m_pending[exchange.token] = {connection, exchange.connection, std::nullopt};
        // Suspended before the handler can respond, since respond() resumes the connection.
        MHD_suspend_connection(connection);
    }
    m_handler.handleRequest(exchange.token, std::move(exchange.request));
    return MHD_YES;
}

MHD_Result HttpListener::Implementation::sendResponse(MHD_Connection *connection,
                                                      const Exchange &exchange)
{
    std::optional<HttpResponse> response;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_pending.find(exchange.token);
        if (found == m_pending.end())
            return MHD_NO;
        response = std::move(found->second.response);
        m_pending.erase(found);
    }
    if (!response.has_value())
        return MHD_NO;
    return queueResponse(connection, *response);
}

MHD_Result HttpListener::Implementation::queueResponse(MHD_Connection *connection,
                                                       const HttpResponse &response)
{
    const std::size_t size = response.body == nullptr ? 0 : response.body->size();
    const ConnectionId id = connectionIdOf(connection);
    m_budget.enter(id, ConnectionPhase::Answering, m_clock.now());
    if (!m_budget.hold(id, size, m_clock.now()))
        return MHD_NO;
    // The library keeps a reference to the body instead of a copy.
    auto body = std::make_unique<Body>(response.body);
    MHD_Response *const raw = MHD_create_response_from_buffer_with_free_callback_cls(
            size, size == 0 ? nullptr : const_cast<char *>(response.body->data()),
            [](void *held) { delete static_cast<Body *>(held); }, body.get());
    if (raw == nullptr)
        return MHD_NO;
    static_cast<void>(body.release()); // Deleted by the callback.
    for (const auto &[name, value] : response.headers)
        MHD_add_response_header(raw, name.c_str(), value.c_str());
    const MHD_Result result
            = MHD_queue_response(connection, static_cast<unsigned int>(response.status), raw);
    MHD_destroy_response(raw);
    return result;
}

void HttpListener::Implementation::onCompleted(void *self, MHD_Connection *, void **context,
                                               MHD_RequestTerminationCode)
{
    auto *const implementation = static_cast<Implementation *>(self);
    const std::unique_ptr<Exchange> exchange(static_cast<Exchange *>(*context));
    *context = nullptr;
    if (exchange == nullptr)
        return;
    const Instant now = implementation->m_clock.now();
    implementation->m_budget.enter(exchange->connection, ConnectionPhase::Idle, now);
    implementation->m_budget.hold(exchange->connection, 0, now);
    if (!exchange->isDispatched)
        return;
    {
        const std::lock_guard lock(implementation->m_mutex);
        if (exchange->token != 0 && --implementation->m_unfinished == 0)
            implementation->m_allSent.notify_all();
        if (implementation->m_pending.erase(exchange->token) == 0)
            return;
    }
    implementation->m_handler.handleDisconnect(exchange->token);
}

void HttpListener::Implementation::releaseRequest(HttpToken token)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pending.find(token);
    if (found != m_pending.end())
        m_budget.hold(found->second.id, 0, m_clock.now());
}

void HttpListener::Implementation::respond(HttpToken token, HttpResponse response)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pending.find(token);
    if (found == m_pending.end() || found->second.response.has_value())
        return;
    // Counted here, since the listener's thread may be far behind those that answer. If the budget
    // does not allow the answer, it closes the connection.
    const Instant now = m_clock.now();
    m_budget.enter(found->second.id, ConnectionPhase::Answering, now);
    if (response.body != nullptr && !m_budget.hold(found->second.id, response.body->size(), now))
        response.body = nullptr;
    found->second.response = std::move(response);
    MHD_resume_connection(found->second.connection);
}

void HttpListener::Implementation::stop()
{
    if (m_daemon == nullptr)
        return;
    // The port is released first; responses that were already given are still sent completely.
    const MHD_socket listening = MHD_quiesce_daemon(m_daemon);
    {
        std::unique_lock lock(m_mutex);
        m_stopping = true;
        // The library requires that no connection is suspended when it stops.
        for (auto &[token, pending] : m_pending) {
            if (!pending.response.has_value())
                MHD_resume_connection(pending.connection);
        }
        m_allSent.wait_for(lock, FlushTimeout, [this] { return m_unfinished == 0; });
    }
    MHD_stop_daemon(m_daemon);
    if (listening != MHD_INVALID_SOCKET)
        ::close(listening);
    m_daemon = nullptr;
}

HttpListener::HttpListener(HttpHandler &handler, std::size_t maxBodyBytes, ConnectionBudget &budget)
    : m_implementation(std::make_unique<Implementation>(handler, maxBodyBytes, budget))
{}

HttpListener::HttpListener(HttpHandler &handler, std::size_t maxBodyBytes)
    : m_ownBudget(std::make_unique<ConnectionBudget>(deriveConnectionLimits()))
    , m_implementation(std::make_unique<Implementation>(handler, maxBodyBytes, *m_ownBudget))
{}

HttpListener::~HttpListener()
{
    stop();
}

absl::Status HttpListener::start(const std::string &ip, std::uint16_t port)
{
    return m_implementation->start(ip, port);
}

void HttpListener::releaseRequest(HttpToken token)
{
    m_implementation->releaseRequest(token);
}

void HttpListener::respond(HttpToken token, HttpResponse response)
{
    m_implementation->respond(token, std::move(response));
}

void HttpListener::stop()
{
    m_implementation->stop();
}

} // namespace gentiancross
