#include "control/jobs/call_relay.h"

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
/** A takeover is over after about so long. */
constexpr Milliseconds TakeoverTime{1000};

} // namespace

CallRelay::CallRelay(HostId self, LeaderAsk introduction, const std::vector<HostId> &seeds)
    : m_self(std::move(self))
    , m_introduction(introduction)
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
    if (!hasLeader(now)) {
        out.add(AnswerCall{event.exchange,
                           CallRefused{Refusal::NotNow, "no leader is known", TakeoverTime}});
        return;
    }
    Pending pending{event.call, now + event.patience, {}, {}};
    send(now, event.exchange, pending, out);
    m_pending.emplace(event.exchange, std::move(pending));
}

void CallRelay::send(Instant now, ExchangeId exchange, Pending &pending, Outbox &out)
{
    pending.sentTo = *m_leader;
    pending.sentAt = now;
    out.send(*m_leader, CallRelayed{exchange, pending.call});
}

void CallRelay::receive(Instant now, const HostId &from, const LeaderTold &message, Outbox &out)
{
    for (const HostId &keeper : message.keepers)
        addKeeper(keeper);
    if (!message.decides) {
        if (m_leader == from)
            m_leader.reset();
        // Only a hint: the host named is asked before anything is sent there.
        if (message.leader.has_value() && *message.leader != m_self && !hasLeader(now))
            out.send(*message.leader, m_introduction);
        return;
    }
    const bool isNew = m_leader != from;
    m_leader = from;
    m_leaderHeard = now;
    if (!isNew)
        return;
    for (auto &[exchange, pending] : m_pending)
        send(now, exchange, pending, out);
}

void CallRelay::receive(const CallAnswered &message, Outbox &out)
{
    if (m_pending.erase(message.exchange) > 0)
        out.add(AnswerCall{message.exchange, message.answer});
}

void CallRelay::tick(Instant now, Outbox &out)
{
    expire(now, out);
    if (hasLeader(now)) {
        for (auto &[exchange, pending] : m_pending) {
            if (now - pending.sentAt >= ResendAfter)
                send(now, exchange, pending, out);
        }
    }
    if (now >= m_nextAsk)
        askWhoLeads(now, out);
}

void CallRelay::expire(Instant now, Outbox &out)
{
    for (auto pending = m_pending.begin(); pending != m_pending.end();) {
        if (now < pending->second.deadline) {
            ++pending;
            continue;
        }
        out.add(AnswerCall{pending->first,
                           CallRefused{Refusal::Unknown, "the leader has not answered", {}}});
        pending = m_pending.erase(pending);
    }
}

void CallRelay::askWhoLeads(Instant now, Outbox &out)
{
    if (hasLeader(now)) {
        m_nextAsk = now + AskInterval;
        out.send(*m_leader, m_introduction);
        return;
    }
    m_nextAsk = now + SearchInterval;
    for (const HostId &keeper : m_keepers)
        out.send(keeper, m_introduction);
}

} // namespace gentiancross
