#pragma once

#include "drivers/connection_budget.h"
#include "drivers/http_types.h"

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace gentiancross {

/** Identifies one request between its arrival and its response. */
using HttpToken = std::uint64_t;

/** What a handler makes of a request whose body has not been read. */
struct HeadVerdict
{
    /** Sent at once; the request's body is not read. */
    std::optional<HttpResponse> refusal;
    /** True if the request comes from one of the process's own peers, whose connections are not
     * closed for lack of room. */
    bool isTrusted = false;
};

/** Handles complete requests from an HttpListener, on the listener's thread; must not block. */
class HttpHandler
{
public:
    HttpHandler() = default;
    HttpHandler(const HttpHandler &) = delete;
    HttpHandler &operator=(const HttpHandler &) = delete;
    virtual ~HttpHandler() = default;

    /** Called with the request's header before its body is read. */
    virtual HeadVerdict inspectHead(const HttpRequest &) { return {}; }
    /** Called for each complete request, which waits until HttpListener::respond is called. */
    virtual void handleRequest(HttpToken token, HttpRequest request) = 0;
    /** Called if the connection is lost before a response was sent; none can be sent any more. */
    virtual void handleDisconnect(HttpToken token) = 0;
};

/**
 * An HTTP server on one address, based on libmicrohttpd, with one thread that waits in epoll.
 * Requests that wait for a response occupy no thread. Thread safety: all methods may be called from
 * any thread.
 */
class HttpListener
{
public:
    static constexpr std::size_t MaxCallerBodyBytes = 8 << 20;
    /** Larger than a caller's body, since bytes are encoded as text between hosts. */
    static constexpr std::size_t MaxPeerBodyBytes = 32 << 20;

    /** Requests with a body of more than \a maxBodyBytes are refused with status 413. The
     * connections count against \a budget, which must outlive this object. */
    HttpListener(HttpHandler &handler, std::size_t maxBodyBytes, ConnectionBudget &budget);
    /** The same, with a budget of its own with default limits. */
    HttpListener(HttpHandler &handler, std::size_t maxBodyBytes);
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;
    ~HttpListener();

    /** Listens on \a ip only. Errors: InvalidArgument if \a ip is not an IP address, Unavailable
     * with the address if it cannot be bound. */
    absl::Status start(const std::string &ip, std::uint16_t port);
    /** Stops counting the bytes of a request that its handler does not keep. To be called before
     * the request can be answered. */
    void releaseRequest(HttpToken token);
    /** Responds to a request. Does nothing if its connection is lost or it was answered before. */
    void respond(HttpToken token, HttpResponse response);
    /** Stops listening, waits for given responses to be sent, up to a time limit, and closes all
     * connections. */
    void stop();

private:
    class Implementation;
    /** Null if the budget is shared. Declared first, since the implementation uses it. */
    std::unique_ptr<ConnectionBudget> m_ownBudget;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace gentiancross
