#include "servers/http_frontend.h"

#include "core/error.h"
#include "drivers/random.h"
#include "servers/answer_encoder.h"
#include "servers/connection_monitor.h"
#include "servers/request_decoder.h"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <vector>

namespace gentiancross {

namespace {

constexpr char SecretHeader[] = "x-fleet-secret";
constexpr char OutcomeHeader[] = "x-outcome";
constexpr int HttpForbidden = 403;
/** Added to the time-out of a forwarded call, so that the other host can still report that the
 * deadline has passed there. */
constexpr Milliseconds ForwardTimeoutMargin{400};

/** Headers of a caller's request that are forwarded with it. */
constexpr std::array<const char *, 4> ForwardedRequestHeaders
        = {"authorization", "content-type", "idempotency-key", "prefer"};
/** Headers of another host's response that are returned to the caller. */
constexpr std::array<const char *, 4> ReturnedResponseHeaders
        = {"content-type", "x-request-name", "x-outcome", "retry-after"};

HttpResponse textResponse(int status, const std::string &text, const char *type = "text/plain")
{
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = type;
    response.body = std::make_shared<const std::string>(text);
    return response;
}

/** Returns the route label for metrics. Unknown paths share one label, so that callers can't create
 * an unbounded number of series. */
std::string metricRouteOf(const HttpRequest &request)
{
    constexpr std::array<const char *, 9> KnownRoutes
            = {"requests", "announcements", "teams",  "members",    "workers",
               "load",     "timeline",      "report", "wait-limits"};
    const std::vector<std::string> path = absl::StrSplit(request.path, '/', absl::SkipEmpty());
    const bool isKnown = path.size() >= 2 && path[0] == "v1"
            && std::find(KnownRoutes.begin(), KnownRoutes.end(), path[1]) != KnownRoutes.end();
    return isKnown ? path[1] : "other";
}

/** Classifies the result of a forwarded call. A response that only tells this host to try elsewhere
 * is not an answer for the caller. */
CallOutcome outcomeOfForward(const ForwardExchange &effect, const HttpResult &result)
{
    if (result.outcome != CallOutcome::Answered)
        return result.outcome;
    if (result.response.status == HttpUnprocessable && effect.mayGoElsewhere)
        return CallOutcome::Refused;
    if (result.response.status != HttpMisdirected)
        return CallOutcome::Answered;
    // A host that lost its authority may have accepted the work before that, so only an explicit
    // "not run" counts as refused.
    const auto outcome = result.response.headers.find(OutcomeHeader);
    const bool wasNotRun = outcome != result.response.headers.end()
            && outcome->second == outcomeName(Outcome::NotRun);
    return wasNotRun ? CallOutcome::Refused : CallOutcome::Broken;
}

} // namespace

/** One listener, and whether it is the one for the fleet's hosts. */
class HttpFrontend::Endpoint final : public HttpHandler
{
public:
    Endpoint(HttpFrontend &frontend, bool isPeerEndpoint, ConnectionBudget &budget)
        : m_frontend(frontend)
        , m_isPeerEndpoint(isPeerEndpoint)
        , m_listener(*this,
                     isPeerEndpoint ? HttpListener::MaxPeerBodyBytes
                                    : HttpListener::MaxCallerBodyBytes,
                     budget)
    {}

    HeadVerdict inspectHead(const HttpRequest &head) override
    {
        return m_frontend.inspectHead(*this, head);
    }

    void handleRequest(HttpToken token, HttpRequest request) override
    {
        m_frontend.handleRequest(*this, token, std::move(request));
    }

    void handleDisconnect(HttpToken token) override { m_frontend.handleAbandoned(*this, token); }

    HttpListener &listener() { return m_listener; }
    [[nodiscard]] bool isPeerEndpoint() const { return m_isPeerEndpoint; }

private:
    HttpFrontend &m_frontend;
    bool m_isPeerEndpoint;
    HttpListener m_listener;
};

HttpFrontend::HttpFrontend(FrontendAddresses addresses, PeerAddresses peers, HttpClient &client,
                           PeerLink &peerLink, const Clock &clock, EventSink &events,
                           Metrics &metrics, ConnectionBudget &budget)
    : m_addresses(std::move(addresses))
    , m_peers(std::move(peers))
    , m_client(client)
    , m_peerLink(peerLink)
    , m_clock(clock)
    , m_events(events)
    , m_metrics(metrics)
    , m_budget(budget)
    , m_callerEndpoint(std::make_unique<Endpoint>(*this, false, budget))
    , m_peerEndpoint(std::make_unique<Endpoint>(*this, true, budget))
{}

HttpFrontend::~HttpFrontend() = default;

absl::Status HttpFrontend::start()
{
    absl::Status status
            = m_peerEndpoint->listener().start(m_addresses.peerIp, m_addresses.peerPort);
    if (!status.ok())
        return status;
    return m_callerEndpoint->listener().start(m_addresses.callerIp, m_addresses.callerPort);
}

void HttpFrontend::stop()
{
    m_callerEndpoint->listener().stop();
    m_peerEndpoint->listener().stop();
}

HeadVerdict HttpFrontend::inspectHead(const Endpoint &endpoint, const HttpRequest &head) const
{
    if (!endpoint.isPeerEndpoint())
        return {};
    if (isSameSecret(head.header(SecretHeader), m_peers.fleetSecret))
        return {std::nullopt, true};
    return {textResponse(HttpForbidden, "the fleet's secret is wrong\n"), false};
}

bool HttpFrontend::tryAnswerDirectly(Endpoint &endpoint, HttpToken token,
                                     const HttpRequest &request)
{
    if (endpoint.isPeerEndpoint() && request.path == "/rpc") {
        endpoint.listener().respond(
                token, textResponse(200, m_peerLink.dispatch(request.body), "application/json"));
        return true;
    }
    if (request.path == "/healthz") {
        endpoint.listener().respond(token, textResponse(200, "alive\n"));
        return true;
    }
    if (request.path == "/metrics") {
        endpoint.listener().respond(token,
                                    textResponse(200,
                                                 m_metrics.text() + connectionMetricsText(m_budget),
                                                 "text/plain; version=0.0.4"));
        return true;
    }
    return false;
}

void HttpFrontend::handleRequest(Endpoint &endpoint, HttpToken token, HttpRequest request)
{
    if (tryAnswerDirectly(endpoint, token, request))
        return;
    ExchangeId exchange;
    auto shared = std::make_shared<const HttpRequest>(std::move(request));
    {
        const std::lock_guard lock(m_mutex);
        exchange = ExchangeId(m_nextExchange++);
        m_exchanges.emplace(exchange, Exchange{&endpoint, token, shared, m_clock.now()});
    }
    absl::StatusOr<EventPayload> event
            = decodeRequest(*shared, {exchange, endpoint.isPeerEndpoint(), m_peers.fleetSecret});
    if (event.ok()) {
        m_events.post(*std::move(event));
        return;
    }
    ErrorAnswer answer;
    answer.error = event.status();
    respond(exchange, encodeAnswer(answer));
}

void HttpFrontend::handleAbandoned(Endpoint &endpoint, HttpToken token)
{
    ExchangeId closed;
    {
        const std::lock_guard lock(m_mutex);
        const auto found
                = std::find_if(m_exchanges.begin(), m_exchanges.end(), [&](const auto &entry) {
                      return entry.second.endpoint == &endpoint && entry.second.token == token;
                  });
        if (found == m_exchanges.end())
            return;
        closed = found->first;
        m_exchanges.erase(found);
    }
    m_events.post(ExchangeClosed{closed});
}

void HttpFrontend::respond(ExchangeId exchange, HttpResponse response)
{
    Exchange entry;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_exchanges.find(exchange);
        if (found == m_exchanges.end())
            return;
        entry = std::move(found->second);
        m_exchanges.erase(found);
    }
    m_metrics.recordExchange(metricRouteOf(*entry.request), response.status,
                             m_clock.now() - entry.since);
    entry.endpoint->listener().respond(entry.token, std::move(response));
}

void HttpFrontend::carryOut(Effect effect)
{
    if (const auto *reply = std::get_if<Reply>(&effect))
        respond(reply->exchange, encodeAnswer(reply->answer));
    else if (const auto *forwarded = std::get_if<ForwardExchange>(&effect))
        forward(*forwarded);
}

void HttpFrontend::forward(const ForwardExchange &effect)
{
    std::shared_ptr<const HttpRequest> request;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_exchanges.find(effect.exchange);
        if (found == m_exchanges.end())
            return;
        request = found->second.request;
    }
    HttpCall call;
    call.method = request->method;
    call.url = "http://" + m_peers.addresses.at(effect.to) + request->path;
    for (const char *name : ForwardedRequestHeaders) {
        if (request->headers.contains(name))
            call.headers[name] = request->header(name);
    }
    call.headers[SecretHeader] = m_peers.fleetSecret;
    if (!effect.requestName.empty())
        call.headers[RequestNameHeader] = effect.requestName;
    if (!request->body.empty())
        call.body = Body(request, &request->body);
    call.headers[RemainingTimeHeader] = std::to_string(effect.timeout.value());
    call.timeout = effect.timeout + ForwardTimeoutMargin;
    if (effect.hasEarlierAttempt)
        call.headers[EarlierAttemptHeader] = "yes";
    m_client.start(std::move(call), [this, effect](HttpResult result) {
        handleForwardResult(effect, std::move(result));
    });
}

void HttpFrontend::handleForwardResult(const ForwardExchange &effect, HttpResult result)
{
    ForwardEnded event;
    event.exchange = effect.exchange;
    event.attempt = effect.attempt;
    event.outcome = outcomeOfForward(effect, result);
    event.httpStatus = result.response.status;
    event.error = result.error;
    if (event.outcome == CallOutcome::Answered) {
        HttpResponse response;
        response.status = result.response.status;
        for (const char *name : ReturnedResponseHeaders) {
            const auto found = result.response.headers.find(name);
            if (found != result.response.headers.end())
                response.headers[name] = found->second;
        }
        response.body = std::move(result.response.body);
        respond(effect.exchange, std::move(response));
    }
    m_events.post(std::move(event));
}

} // namespace gentiancross
