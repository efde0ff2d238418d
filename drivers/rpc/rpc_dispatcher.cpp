#include "drivers/rpc/rpc_dispatcher.h"

#include "drivers/log.h"
#include "drivers/rpc/rpc_envelope.h"

#include <jsonrpccpp/server.h>

#include <exception>

namespace gentiancross {

namespace {

constexpr char ParseErrorResponse[]
        = R"({"jsonrpc":"2.0","error":{"code":-32700,"message":"parse error"},"id":null})";

/** Passes requests that were received by HttpListener to the library. */
class InProcessConnector final : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }

    bool SendResponse(const std::string &response, void *) override
    {
        m_response = response;
        return true;
    }

    std::string dispatch(const std::string &request)
    {
        m_response.clear();
        OnRequest(request);
        return m_response;
    }

private:
    std::string m_response;
};

} // namespace

class RpcDispatcher::Implementation
{
public:
    Implementation(const std::string &method, Receiver receiver)
        : m_method(method)
        , m_receiver(receiver)
        , m_server(m_connector, method, std::move(receiver))
    {}

    std::string dispatch(const std::string &request)
    {
        std::string parameter;
        if (!rpcenvelope::unwrap(m_method, request, parameter))
            return dispatchThroughLibrary(request);
        m_receiver(parameter);
        return std::string();
    }

private:
    std::string dispatchThroughLibrary(const std::string &request)
    {
        try {
            return m_connector.dispatch(request);
        } catch (const std::exception &error) {
            // The library's reader throws if nesting exceeds its limit.
            logWarning("rpc", std::string("cannot parse a JSON-RPC call: ") + error.what());
            return ParseErrorResponse;
        }
    }

    class Server final : public jsonrpc::AbstractServer<Server>
    {
    public:
        Server(InProcessConnector &connector, const std::string &method, Receiver receiver)
            : jsonrpc::AbstractServer<Server>(connector)
            , m_receiver(std::move(receiver))
        {
            bindAndAddNotification(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_POSITION, "batch",
                                                      jsonrpc::JSON_ARRAY, nullptr),
                                   &Server::receive);
        }

    private:
        void receive(const Json::Value &parameters)
        {
            m_receiver(Json::writeString(Json::StreamWriterBuilder(), parameters[0]));
        }

        Receiver m_receiver;
    };

    std::string m_method;
    Receiver m_receiver;
    // Declared before the server, which keeps a reference to it.
    InProcessConnector m_connector;
    Server m_server;
};

RpcDispatcher::RpcDispatcher(const std::string &method, Receiver receiver)
    : m_implementation(new Implementation(method, std::move(receiver)))
{}

RpcDispatcher::~RpcDispatcher() = default;

std::string RpcDispatcher::dispatch(const std::string &request)
{
    return m_implementation->dispatch(request);
}

} // namespace gentiancross
