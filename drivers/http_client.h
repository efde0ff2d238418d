#pragma once

#include "core/events.h"
#include "drivers/http_types.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace gentiancross {

/** An HTTP request to send, with its timeout and conditions for sending. */
struct HttpCall
{
    std::string method;
    std::string url;
    std::map<std::string, std::string> headers;
    Body body;
    Milliseconds timeout;
    /** Called right before the request is sent; if it returns false, the call is not sent. Empty
     * for calls that do not expire. Runs on the client's thread and must not block. */
    std::function<bool()> isValid;
    /** For calls that must not be sent twice: if a reused connection breaks, the library may resend
     * the request on another one. */
    bool freshConnection = false;
};

/** The result of a call. `outcome` is never `Refused`; callers derive that from the HTTP status. */
struct HttpResult
{
    CallOutcome outcome = CallOutcome::NotSent;
    HttpResponse response;
    absl::Status error;
    /** True if the call was no longer valid when it was due to be sent; its outcome is `NotSent`.
     */
    bool hasExpired = false;
    /** True if the library sent the request again after a reused connection had broken. The peer
     * may have executed the first copy, whatever it answered to the second. */
    bool wasResent = false;
    /** Number of connections opened for the call. */
    std::uint32_t newConnections = 0;
};

/**
 * Makes HTTP calls on a thread of its own, using libcurl's multi interface. The thread waits in
 * epoll, so calls that are waiting for a response use no processor time. Thread safety: all methods
 * may be called from any thread.
 */
class HttpClient
{
public:
    /** Called once for each call, on the client's thread; must not block. */
    using Completion = std::function<void(HttpResult)>;

    /** Opens at most \a maxConnectionsPerPeer connections to one address; further calls to it wait
     * for a free one. 0 means no limit. */
    explicit HttpClient(long maxConnectionsPerPeer = 0);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    ~HttpClient();

    /** Starts a call. A response is complete only if it declares its length or is chunked. */
    void start(HttpCall call, Completion completion);
    /** Aborts all running calls, calling their completions, and ends the thread. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace gentiancross
