#pragma once

#include "drivers/http_listener.h"
#include "servers/peer_link.h"

namespace gentiancross {

/** Accepts calls from other hosts, checks the fleet's secret and passes the calls to the peer link.
 * Thread safety: any thread. */
class PeerListener final : private HttpHandler
{
public:
    /** \a link and \a budget must outlive this object. */
    PeerListener(PeerLink &link, std::string fleetSecret, ConnectionBudget &budget);

    /** Errors as HttpListener::start. */
    absl::Status start(const std::string &ip, std::uint16_t port);
    void stop() { m_listener.stop(); }

private:
    /** Refuses a wrong secret before the body is read, so that only hosts may send large bodies. */
    HeadVerdict inspectHead(const HttpRequest &head) override;
    void handleRequest(HttpToken token, HttpRequest request) override;
    void handleDisconnect(HttpToken) override {}

    PeerLink &m_link;
    std::string m_fleetSecret;
    HttpListener m_listener;
};

} // namespace gentiancross
