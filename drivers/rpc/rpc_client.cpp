#include "drivers/rpc/rpc_client.h"

#include <curl/curl.h>
#include <jsonrpccpp/client.h>

namespace gentiancross {

namespace {

constexpr long ConnectTimeoutMilliseconds = 700;
constexpr long HttpOk = 200;

size_t collect(char *data, size_t size, size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

/** Carries the library's texts over HTTP; the library's own connector opens a connection for each.
 */
class Connector final : public jsonrpc::IClientConnector
{
public:
    explicit Connector(const RpcTarget &target)
        : m_easy(curl_easy_init())
    {
        m_headers = curl_slist_append(m_headers, "Content-Type: application/json");
        m_headers = curl_slist_append(m_headers, "Accept:");
        m_headers = curl_slist_append(m_headers, "Expect:");
        m_headers = curl_slist_append(m_headers, ("X-Fleet-Secret: " + target.secret).c_str());
        curl_easy_setopt(m_easy, CURLOPT_URL, target.url.c_str());
        curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headers);
        curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
        curl_easy_setopt(m_easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMilliseconds);
        curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, target.timeoutMilliseconds);
        curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &collect);
    }

    Connector(const Connector &) = delete;
    Connector &operator=(const Connector &) = delete;

    ~Connector() override
    {
        curl_easy_cleanup(m_easy);
        curl_slist_free_all(m_headers);
    }

    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, message.data());
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(message.size()));
        curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, &result);
        const CURLcode code = curl_easy_perform(m_easy);
        if (code != CURLE_OK)
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                            curl_easy_strerror(code));
        long status = 0;
        curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
        if (status != HttpOk)
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                            "the peer answered " + std::to_string(status));
    }

private:
    CURL *m_easy;
    curl_slist *m_headers = nullptr;
};

} // namespace

class RpcClient::Implementation
{
public:
    explicit Implementation(const RpcTarget &target)
        : m_connector(target)
        , m_client(m_connector)
    {}

    std::string notify(const std::string &method, const std::string &text)
    {
        try {
            Json::Value byPosition(Json::arrayValue);
            byPosition.append(text);
            m_client.CallNotification(method, byPosition);
        } catch (const jsonrpc::JsonRpcException &exception) {
            return exception.what();
        }
        return std::string();
    }

private:
    Connector m_connector;
    jsonrpc::Client m_client;
};

RpcClient::RpcClient(const RpcTarget &target)
    : m_implementation(new Implementation(target))
{}

RpcClient::~RpcClient() = default;

std::string RpcClient::notify(const std::string &method, const std::string &text)
{
    return m_implementation->notify(method, text);
}

} // namespace gentiancross
