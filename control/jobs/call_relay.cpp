#include "control/jobs/call_relay.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace gentiancross {

namespace {

constexpr Milliseconds AskInterval{500};
/** Without a leader, a host asks more often: a takeover ends sooner than its next regular turn. */
constexpr Milliseconds SearchInterval{200};
/** A leader that has said nothing for so long may have lost its place: two asks and a round trip.
 */
constexpr Milliseconds LeaderAge{1300};
/** A call without an answer goes out again; the link's own time-out is a second. */
constexpr Milliseconds ResendAfter{1100};
/** Hosts without a log ask a follower whether it hears the leader, which spares the leader most of
 * them; the leader itself only when the follower's word is older than this. */
constexpr Milliseconds WitnessAge{600};
/** Keepers must know the hosts that a new leader is to tell of itself. */
constexpr Milliseconds RoundInterval{4000};
/** An election and a first commit take less; a call waits no longer for the next leader. */
constexpr Milliseconds TakeoverTime{1200};
/** Without a quorum, nothing is decided until hosts come back; that takes some seconds. */
constexpr Milliseconds OutageRetry{1000};

} // namespace

CallRelay::CallRelay(HostId self, LeaderQuery introduction, const std::vector<HostId> &seeds)
    : m_self(std::move(self))
    , m_introduction(std::move(introduction))
{
    for (const HostId &seed : seeds)
        addKeeper(seed);
}

void CallRelay::addKeeper(const HostId &host)
{
    if (host != m_self)
        m_keepers.insert(host);
}

bool CallRelay::hasLeader(Instant now) const
{
    return m_leader.has_value() && now - m_leaderHeard < LeaderAge;
}

void CallRelay::receive(Instant now, const CellCallReceived &event, Outbox &out)
{
    const bool isTakeover = now - m_leaderHeard < LeaderAge + TakeoverTime;
    if (!hasLeader(now) && !isTakeover) {
        refuse(event.exchange, out);
        return;
    }
    Pending pending{event.call, now + event.timeout, std::nullopt};
    if (hasLeader(now))
        send(now, event.exchange, pending, out);
    m_pending.emplace(event.exchange, std::move(pending));
}

void CallRelay::refuse(ExchangeId exchange, Outbox &out)
{
    out.add(AnswerCall{exchange,
                       CallRefused{Refusal::Unavailable, "no leader is known", OutageRetry}});
    out.add(LogLine{true, "relay",
                    absl::StrCat("refused: exchange=", exchange.value(), " no leader is known")});
}

void CallRelay::send(Instant now, ExchangeId exchange, Pending &pending, Outbox &out)
{
    pending.sentAt = now;
    out.send(*m_leader, RelayCallRequest{exchange, pending.call, m_introduction.session});
}

void CallRelay::receive(Instant now, const HostId &from, const LeaderReport &message, Outbox &out)
{
    for (const HostId &keeper : message.keepers)
        addKeeper(keeper);
    if (!message.decides) {
        if (m_leader == from)
            m_leader.reset();
        // A follower's word keeps a leader known that has said itself that it decides.
        const bool isWitness = message.leader.has_value() && message.leader == m_leader
                && message.leaderAge.has_value();
        if (isWitness)
            m_leaderHeard = std::max(m_leaderHeard, now - *message.leaderAge);
        // Only a hint: the host named is asked before anything is sent there.
        if (message.leader.has_value() && *message.leader != m_self && !hasLeader(now))
            introduce(now, *message.leader, out);
        return;
    }
    // The word of a former leader can be overtaken on its way.
    if (message.term < m_leaderTerm)
        return;
    m_leaderTerm = message.term;
    const bool isNew = m_leader != from;
    m_leader = from;
    m_leaderHeard = now;
    if (!isNew)
        return;
    for (auto &[exchange, pending] : m_pending)
        send(now, exchange, pending, out);
}

std::optional<CellCall> CallRelay::receive(const RelayCallResponse &message, Outbox &out)
{
    // An answer to a former process of this host has the number of another caller's call.
    const auto found = message.session == m_introduction.session ? m_pending.find(message.exchange)
                                                                 : m_pending.end();
    if (found == m_pending.end())
        return std::nullopt;
    CellCall call = std::move(found->second.call);
    m_pending.erase(found);
    out.add(AnswerCall{message.exchange, message.answer});
    return call;
}

void CallRelay::tick(Instant now, Outbox &out)
{
    expire(now, out);
    if (hasLeader(now)) {
        for (auto &[exchange, pending] : m_pending) {
            if (!pending.sentAt.has_value() || now - *pending.sentAt >= ResendAfter)
                send(now, exchange, pending, out);
        }
    }
    if (now >= m_nextAsk)
        askWhoLeads(now, out);
}

std::vector<std::pair<ExchangeId, CellCall>> CallRelay::takePending()
{
    std::vector<std::pair<ExchangeId, CellCall>> calls;
    for (auto &[exchange, pending] : m_pending)
        calls.emplace_back(exchange, std::move(pending.call));
    m_pending.clear();
    return calls;
}

void CallRelay::expire(Instant now, Outbox &out)
{
    const bool isOutage = !hasLeader(now) && now - m_leaderHeard >= LeaderAge + TakeoverTime;
    for (auto pending = m_pending.begin(); pending != m_pending.end();) {
        const bool wasSent = pending->second.sentAt.has_value();
        // In an outage the caller does better to ask elsewhere than to wait for its deadline.
        if (now < pending->second.deadline && !isOutage) {
            ++pending;
            continue;
        }
        if (wasSent) {
            out.add(AnswerCall{pending->first,
                               CallRefused{Refusal::Unknown, "the leader has not answered", {}}});
            out.add(LogLine{true, "relay",
                            absl::StrCat("unknown: exchange=", pending->first.value(),
                                         " the leader has not answered")});
        } else {
            refuse(pending->first, out);
        }
        pending = m_pending.erase(pending);
    }
}

std::optional<HostId> CallRelay::witness() const
{
    // Keepers are few and work for the leader, so it hears from them itself.
    if (m_introduction.isKeeper || m_keepers.size() < 2)
        return std::nullopt;
    std::vector<HostId> followers(m_keepers.begin(), m_keepers.end());
    std::erase(followers, *m_leader);
    if (followers.empty())
        return std::nullopt;
    return followers[std::hash<HostId>()(m_self) % followers.size()];
}

void CallRelay::introduce(Instant now, const HostId &keeper, Outbox &out)
{
    m_introduction.sentAt = now;
    out.send(keeper, m_introduction);
}

void CallRelay::askWhoLeads(Instant now, Outbox &out)
{
    if (hasLeader(now) && now < m_nextRound) {
        m_nextAsk = now + AskInterval;
        const std::optional<HostId> asked = witness();
        if (asked.has_value())
            introduce(now, *asked, out);
        if (!asked.has_value() || now - m_leaderHeard > WitnessAge)
            introduce(now, *m_leader, out);
        return;
    }
    m_nextAsk = now + (hasLeader(now) ? AskInterval : SearchInterval);
    m_nextRound = now + RoundInterval;
    for (const HostId &keeper : m_keepers)
        introduce(now, keeper, out);
}

} // namespace gentiancross
