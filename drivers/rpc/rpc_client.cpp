#include "drivers/rpc/rpc_client.h"

#include "drivers/rpc/rpc_envelope.h"

#include <curl/curl.h>

namespace gentiancross {

namespace {

constexpr long ConnectTimeoutMilliseconds = 700;
constexpr long HttpOk = 200;

size_t collectResponse(char *data, size_t size, size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

} // namespace

class RpcClient::Implementation
{
public:
    explicit Implementation(const RpcTarget &target)
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
        curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &collectResponse);
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    ~Implementation()
    {
        curl_easy_cleanup(m_easy);
        curl_slist_free_all(m_headers);
    }

    std::string notify(const std::string &method, const std::string &json)
    {
        const std::string call = rpcenvelope::wrap(method, json);
        // A notification has no result, so the body of the response is ignored.
        std::string result;
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, call.data());
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.size()));
        curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, &result);
        const CURLcode code = curl_easy_perform(m_easy);
        if (code != CURLE_OK)
            return curl_easy_strerror(code);
        long status = 0;
        curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
        return status == HttpOk ? std::string()
                                : "peer responded with HTTP status " + std::to_string(status);
    }

private:
    CURL *m_easy;
    curl_slist *m_headers = nullptr;
};

RpcClient::RpcClient(const RpcTarget &target)
    : m_implementation(new Implementation(target))
{}

RpcClient::~RpcClient() = default;

std::string RpcClient::notify(const std::string &method, const std::string &json)
{
    return m_implementation->notify(method, json);
}

} // namespace gentiancross
