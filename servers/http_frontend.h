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

/** Where the front listens, as "ip" and port. */
struct FrontendAddresses
{
    std::string callerIp;
    std::uint16_t callerPort = 0;
    std::string peerIp;
    std::uint16_t peerPort = 0;
};

/**
 * The front: turns HTTP requests of callers, operators, workers and other entry hosts into events,
 * and answers and forwards into HTTP. Decides nothing. Has a listener for all and one for the
 * fleet's hosts, which must show the fleet's secret.
 * Thread safety: carryOut from any thread.
 */
class HttpFrontend final : public EffectHandler
{
public:
    HttpFrontend(FrontendAddresses addresses, PeerAddresses peers, HttpClient &client,
                 PeerLink &peerLink, const Clock &clock, EventSink &events, Metrics &metrics);
    ~HttpFrontend() override;

    /** Opens both listeners. Error: Unavailable with the address that can't be had. */
    absl::Status start();
    void stop();
    /** Takes Reply and ForwardExchange effects. */
    void carryOut(Effect effect) override;

private:
    class Side;

    struct Exchange
    {
        Side *side = nullptr;
        HttpToken token = 0;
        std::shared_ptr<const HttpRequest> request;
        Instant since;
    };

    void received(Side &side, HttpToken token, HttpRequest request);
    void abandoned(Side &side, HttpToken token);
    bool tryAnswerDirectly(Side &side, HttpToken token, const HttpRequest &request);
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
    std::unique_ptr<Side> m_callerSide;
    std::unique_ptr<Side> m_peerSide;
    std::mutex m_mutex;
    std::uint64_t m_nextExchange = 1;
    std::unordered_map<ExchangeId, Exchange> m_exchanges;
};

} // namespace gentiancross
