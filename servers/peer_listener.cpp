#include "servers/peer_listener.h"

#include "drivers/random.h"

namespace gentiancross {

namespace {

constexpr char SecretHeader[] = "x-fleet-secret";
constexpr int HttpForbidden = 403;

} // namespace

PeerListener::PeerListener(PeerLink &link, std::string fleetSecret)
    : m_link(link)
    , m_fleetSecret(std::move(fleetSecret))
    , m_listener(*this, HttpListener::MaxPeerBodyBytes)
{}

absl::Status PeerListener::start(const std::string &ip, std::uint16_t port)
{
    return m_listener.start(ip, port);
}

void PeerListener::handleRequest(HttpToken token, HttpRequest request)
{
    HttpResponse response;
    if (!isSameSecret(request.header(SecretHeader), m_fleetSecret)) {
        response.status = HttpForbidden;
        response.body = std::make_shared<const std::string>("the fleet's secret is wrong\n");
    } else {
        response.headers["Content-Type"] = "application/json";
        response.body = std::make_shared<const std::string>(m_link.dispatch(request.body));
    }
    m_listener.respond(token, std::move(response));
}

} // namespace gentiancross
