#include "drivers/http_listener.h"

#include "core/error.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <microhttpd.h>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <unistd.h>
#include <unordered_map>

namespace gentiancross {

namespace {

constexpr unsigned int MostConnections = 4096;
constexpr unsigned int IdleSeconds = 120;
/** Each waiting caller holds this much; it bounds what its headers may take. */
constexpr std::size_t ConnectionMemory = 8 << 10;
constexpr std::chrono::seconds LongestFlush{5};
constexpr int PayloadTooLarge = 413;

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

} // namespace

class HttpListener::Implementation
{
public:
    Implementation(HttpHandler &handler, std::size_t largestBody)
        : m_handler(handler)
        , m_largestBody(largestBody)
    {}

    absl::Status start(const std::string &ip, std::uint16_t port);
    void respond(HttpToken token, HttpResponse response);
    void stop();

private:
    struct Exchange
    {
        HttpToken token = 0;
        HttpRequest request;
        bool tooLarge = false;
        bool handedOver = false;
    };

    struct Waiting
    {
        MHD_Connection *connection = nullptr;
        std::optional<HttpResponse> response;
    };

    static MHD_Result onAccess(void *self, MHD_Connection *connection, const char *url,
                               const char *method, const char *version, const char *data,
                               size_t *size, void **context);
    static void onCompleted(void *self, MHD_Connection *connection, void **context,
                            MHD_RequestTerminationCode code);
    MHD_Result begin(MHD_Connection *connection, const char *url, const char *method,
                     void **context);
    MHD_Result handOver(MHD_Connection *connection, Exchange &exchange);
    MHD_Result answer(MHD_Connection *connection, const Exchange &exchange);
    static MHD_Result queue(MHD_Connection *connection, const HttpResponse &response);

    HttpHandler &m_handler;
    std::size_t m_largestBody;
    MHD_Daemon *m_daemon = nullptr;
    std::mutex m_mutex;
    HttpToken m_nextToken = 1;
    std::unordered_map<HttpToken, Waiting> m_waiting;
    /** Requests whose answer has not left whole yet. */
    std::size_t m_open = 0;
    std::condition_variable m_allLeft;
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
            &Implementation::onCompleted, this, MHD_OPTION_CONNECTION_LIMIT, MostConnections,
            MHD_OPTION_CONNECTION_TIMEOUT, IdleSeconds, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
            ConnectionMemory, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
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
        return implementation->begin(connection, url, method, context);
    auto &exchange = *static_cast<Exchange *>(*context);
    if (*size > 0) {
        exchange.tooLarge = exchange.tooLarge
                || exchange.request.body.size() + *size > implementation->m_largestBody;
        if (!exchange.tooLarge)
            exchange.request.body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (exchange.handedOver)
        return implementation->answer(connection, exchange);
    return implementation->handOver(connection, exchange);
}

MHD_Result HttpListener::Implementation::begin(MHD_Connection *connection, const char *url,
                                               const char *method, void **context)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->request.method = method;
    exchange->request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader,
                              &exchange->request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectQuery,
                              &exchange->request.query);
    *context = exchange.release(); // Given back in onCompleted.
    return MHD_YES;
}

MHD_Result HttpListener::Implementation::handOver(MHD_Connection *connection, Exchange &exchange)
{
    if (exchange.tooLarge) {
        HttpResponse response;
        response.status = PayloadTooLarge;
        response.headers["Content-Type"] = "application/problem+json";
        response.body = std::make_shared<const std::string>(
                R"({"step":"decode","message":"the body is larger than )"
                + std::to_string(m_largestBody) + R"( bytes","outcome":"not run"})");
        return queue(connection, response);
    }
    exchange.handedOver = true;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return MHD_NO;
        ++m_open;
        exchange.token = m_nextToken++;
        m_waiting[exchange.token].connection = connection;
        // Suspended before anybody can answer, so that the answer's resume finds it so.
        MHD_suspend_connection(connection);
    }
    m_handler.handleRequest(exchange.token, std::move(exchange.request));
    return MHD_YES;
}

MHD_Result HttpListener::Implementation::answer(MHD_Connection *connection,
                                                const Exchange &exchange)
{
    std::optional<HttpResponse> response;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_waiting.find(exchange.token);
        if (found == m_waiting.end())
            return MHD_NO;
        response = std::move(found->second.response);
        m_waiting.erase(found);
    }
    if (!response.has_value())
        return MHD_NO;
    return queue(connection, *response);
}

MHD_Result HttpListener::Implementation::queue(MHD_Connection *connection,
                                               const HttpResponse &response)
{
    const std::size_t size = response.body == nullptr ? 0 : response.body->size();
    void *const data = size == 0 ? nullptr : const_cast<char *>(response.body->data());
    MHD_Response *const raw = MHD_create_response_from_buffer(size, data, MHD_RESPMEM_MUST_COPY);
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
    if (exchange == nullptr || !exchange->handedOver)
        return;
    {
        const std::lock_guard lock(implementation->m_mutex);
        if (exchange->token != 0 && --implementation->m_open == 0)
            implementation->m_allLeft.notify_all();
        if (implementation->m_waiting.erase(exchange->token) == 0)
            return;
    }
    implementation->m_handler.handleDisconnect(exchange->token);
}

void HttpListener::Implementation::respond(HttpToken token, HttpResponse response)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_waiting.find(token);
    if (found == m_waiting.end() || found->second.response.has_value())
        return;
    found->second.response = std::move(response);
    MHD_resume_connection(found->second.connection);
}

void HttpListener::Implementation::stop()
{
    if (m_daemon == nullptr)
        return;
    // The port is given up first; what was answered still goes out whole.
    const MHD_socket listening = MHD_quiesce_daemon(m_daemon);
    {
        std::unique_lock lock(m_mutex);
        m_stopping = true;
        // The library wants no suspended connection left when it stops.
        for (auto &[token, waiting] : m_waiting) {
            if (!waiting.response.has_value())
                MHD_resume_connection(waiting.connection);
        }
        m_allLeft.wait_for(lock, LongestFlush, [this] { return m_open == 0; });
    }
    MHD_stop_daemon(m_daemon);
    if (listening != MHD_INVALID_SOCKET)
        ::close(listening);
    m_daemon = nullptr;
}

HttpListener::HttpListener(HttpHandler &handler, std::size_t largestBody)
    : m_implementation(std::make_unique<Implementation>(handler, largestBody))
{}

HttpListener::~HttpListener()
{
    stop();
}

absl::Status HttpListener::start(const std::string &ip, std::uint16_t port)
{
    return m_implementation->start(ip, port);
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
