#pragma once

#include "core/events.h"
#include "drivers/http_types.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace gentiancross {

/** A call to make. */
struct HttpCall
{
    std::string method;
    std::string url;
    std::map<std::string, std::string> headers;
    Body body;
    Milliseconds timeout;
    /** Asked right before the call's bytes leave; a call that is no longer valid is not sent. Empty
     * for calls that stay valid. Runs on the client's thread and must not block. */
    std::function<bool()> isValid;
    /** For calls that must not be sent twice: an old connection that dies may make the library send
     * again. */
    bool freshConnection = false;
};

/** What became of a call. Never `Refused`; that is for the caller to read from the status. */
struct HttpResult
{
    CallOutcome outcome = CallOutcome::NotSent;
    HttpResponse response;
    absl::Status error;
    /** True if the call was no longer valid when it was to be sent; its outcome is `NotSent`. */
    bool hasExpired = false;
    /** Connections that were opened for the call. */
    std::uint32_t newConnections = 0;
};

/**
 * Makes HTTP calls on one thread of its own, on libcurl's multi interface; the thread waits in
 * epoll, so that calls that wait for their answers cost nothing meanwhile. Thread safety: all
 * methods may be called from any thread.
 */
class HttpClient
{
public:
    /** Called once a call, on the client's thread; must not block. */
    using Completion = std::function<void(HttpResult)>;

    /** Keeps at most \a maxConnectionsPerPeer connections to one address, further calls to it wait
     * for one; 0 for no bound. */
    explicit HttpClient(long maxConnectionsPerPeer = 0);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    ~HttpClient();

    /** Starts a call. An answer counts as whole only if its length or its end was told. */
    void start(HttpCall call, Completion completion);
    /** Ends all calls as broken and the thread. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace gentiancross
