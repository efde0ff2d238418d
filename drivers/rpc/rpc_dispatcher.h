#pragma once

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace gentiancross {

/**
 * Decodes JSON-RPC calls of one notification and calls a function with the text of its only
 * parameter, an array. Calls composed by RpcClient are unwrapped as text, which saves two of three
 * parses; all others are passed to libjsonrpccpp, which returns an error for invalid ones. The
 * calls arrive through HttpListener, since the library's own server listens on every address.
 * Thread safety: one thread at a time. Compiled as C++14, as the library's headers require.
 * Called by PeerLink.
 */
class RpcDispatcher
{
public:
    using Receiver = std::function<void(const std::string &)>;

    RpcDispatcher(const std::string &method, Receiver receiver);
    RpcDispatcher(const RpcDispatcher &) = delete;
    RpcDispatcher &operator=(const RpcDispatcher &) = delete;
    ~RpcDispatcher();

    /** Returns the response text; empty if the notification was accepted. */
    std::string dispatch(const std::string &request);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace gentiancross
