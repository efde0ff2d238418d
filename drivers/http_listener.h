#pragma once

#include "drivers/http_types.h"

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <string>

namespace gentiancross {

/** Names one request between its arrival and its answer. */
using HttpToken = std::uint64_t;

/** Takes whole requests from a listener, on the listener's thread; must not block. */
class HttpHandler
{
public:
    HttpHandler() = default;
    HttpHandler(const HttpHandler &) = delete;
    HttpHandler &operator=(const HttpHandler &) = delete;
    virtual ~HttpHandler() = default;

    /** A whole request has come; it waits until it is answered with HttpListener::respond. */
    virtual void handleRequest(HttpToken token, HttpRequest request) = 0;
    /** The request's connection is gone; no answer can be given any more. */
    virtual void handleDisconnect(HttpToken token) = 0;
};

/**
 * An HTTP server on one address, on libmicrohttpd, with one thread that waits in epoll. Requests
 * that wait for an answer hold no thread. Thread safety: all methods may be called from any thread.
 */
class HttpListener
{
public:
    static constexpr std::size_t MaxCallerBodyBytes = 8 << 20;
    /** What a caller may send grows on its way between hosts, where bytes travel as text. */
    static constexpr std::size_t MaxPeerBodyBytes = 32 << 20;

    /** Requests with a body larger than \a largestBody bytes are refused with 413. */
    HttpListener(HttpHandler &handler, std::size_t largestBody);
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;
    ~HttpListener();

    /** Listens on \a ip only. Error: Unavailable with the address if it cannot be had. */
    absl::Status start(const std::string &ip, std::uint16_t port);
    /** Answers a request; does nothing if it is gone or was answered before. */
    void respond(HttpToken token, HttpResponse response);
    /** Closes all connections. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace gentiancross
