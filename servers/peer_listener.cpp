#include "servers/peer_listener.h"

#include "drivers/random.h"

namespace gentiancross {

namespace {

constexpr char SecretHeader[] = "x-fleet-secret";
constexpr int HttpForbidden = 403;

} // namespace

PeerListener::PeerListener(PeerLink &link, std::string fleetSecret, ConnectionBudget &budget)
    : m_link(link)
    , m_fleetSecret(std::move(fleetSecret))
    , m_listener(*this, HttpListener::MaxPeerBodyBytes, budget)
{}

absl::Status PeerListener::start(const std::string &ip, std::uint16_t port)
{
    return m_listener.start(ip, port);
}

HeadVerdict PeerListener::inspectHead(const HttpRequest &head)
{
    if (isSameSecret(head.header(SecretHeader), m_fleetSecret))
        return {std::nullopt, true};
    HttpResponse response;
    response.status = HttpForbidden;
    response.body = std::make_shared<const std::string>("the fleet's secret is wrong\n");
    return {std::move(response), false};
}

void PeerListener::handleRequest(HttpToken token, HttpRequest request)
{
    HttpResponse response;
    response.headers["Content-Type"] = "application/json";
    response.body = std::make_shared<const std::string>(m_link.dispatch(request.body));
    m_listener.respond(token, std::move(response));
}

} // namespace gentiancross
