#pragma once

#include "core/clock.h"
#include "drivers/http_client.h"
#include "drivers/http_listener.h"
#include "servers/event_sink.h"
#include "servers/metrics.h"
#include "servers/peer_link.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace gentiancross {

/** The IP addresses and ports on which the front end listens. */
struct FrontendAddresses
{
    std::string callerIp;
    std::uint16_t callerPort = 0;
    std::string peerIp;
    std::uint16_t peerPort = 0;
};

/**
 * The HTTP front end of an entry host. Owns the open exchanges, a public listener, and a listener
 * for the fleet's hosts, which must present the fleet's secret. Decodes requests of callers,
 * operators, workers and other entry hosts into events, and encodes answers and forwarded requests
 * as HTTP. Contains no scheduling decisions.
 * Thread safety: carryOut from any thread.
 */
class HttpFrontend final : public EffectHandler
{
public:
    HttpFrontend(FrontendAddresses addresses, PeerAddresses peers, HttpClient &client,
                 PeerLink &peerLink, const Clock &clock, EventSink &events, Metrics &metrics,
                 ConnectionBudget &budget);
    ~HttpFrontend() override;

    /** Opens both listeners. Error: Unavailable, with the address that could not be bound. */
    absl::Status start();
    void stop();
    /** Handles Reply and ForwardExchange effects. */
    void carryOut(Effect effect) override;

private:
    class Endpoint;

    struct Exchange
    {
        Endpoint *endpoint = nullptr;
        HttpToken token = 0;
        std::shared_ptr<const HttpRequest> request;
        Instant since;
    };

    HeadVerdict inspectHead(const Endpoint &endpoint, const HttpRequest &head) const;
    void handleRequest(Endpoint &endpoint, HttpToken token, HttpRequest request);
    void handleAbandoned(Endpoint &endpoint, HttpToken token);
    bool tryAnswerDirectly(Endpoint &endpoint, HttpToken token, const HttpRequest &request);
    void respond(ExchangeId exchange, HttpResponse response);
    void forward(const ForwardExchange &effect);
    void handleForwardResult(const ForwardExchange &effect, HttpResult result);

    FrontendAddresses m_addresses;
    PeerAddresses m_peers;
    HttpClient &m_client;
    PeerLink &m_peerLink;
    const Clock &m_clock;
    EventSink &m_events;
    Metrics &m_metrics;
    ConnectionBudget &m_budget;
    std::unique_ptr<Endpoint> m_callerEndpoint;
    std::unique_ptr<Endpoint> m_peerEndpoint;
    std::mutex m_mutex;
    std::uint64_t m_nextExchange = 1;
    std::unordered_map<ExchangeId, Exchange> m_exchanges;
};

} // namespace gentiancross
