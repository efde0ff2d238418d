#pragma once

#include <json/json.h>

#include <memory>
#include <string>

namespace gentiancross {

/** Address of a peer, and the credentials and timeout for calls to it. */
struct RpcTarget
{
    std::string url;
    /** Sent with each call, so that the peer recognises a host of the fleet. */
    std::string secret;
    long timeoutMilliseconds = 0;
};

/**
 * Sends JSON-RPC notifications to one peer over a persistent connection. Called by PeerLink.
 * Blocks the calling thread until the peer has responded or the timeout has passed.
 * Thread safety: one thread at a time.
 */
class RpcClient
{
public:
    explicit RpcClient(const RpcTarget &target);
    RpcClient(const RpcClient &) = delete;
    RpcClient &operator=(const RpcClient &) = delete;
    ~RpcClient();

    /**
     * Sends \a json, the text of one JSON value, as the only parameter of \a method. The call is
     * composed as text: the library's client copies and encodes each parameter several times, which
     * is costly for a leader that sends a thousand calls a second. Returns an empty string, or a
     * description of the error; the peer may have received a call that failed.
     */
    std::string notify(const std::string &method, const std::string &json);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace gentiancross
