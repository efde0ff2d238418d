#include "control/jobs/call_relay.h"

#include "control/evacuation/order_age.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace gentiancross {

namespace {

constexpr Milliseconds LeaderQueryInterval{500};
/** Query interval without a leader: a takeover ends sooner than the next regular query. */
constexpr Milliseconds LeaderSearchInterval{200};
/** A leader that is silent for longer may have been replaced: two query intervals and a round trip.
 */
constexpr Milliseconds MaxLeaderSilence{1300};
/** Delay before an unanswered call is sent again; the link's own time-out is a second. */
constexpr Milliseconds ResendAfter{1100};
/** Hosts without a log query a follower instead of the leader, which keeps most of these queries
 * off the leader. They query the leader too if what the follower reports is older than this. */
constexpr Milliseconds MaxFollowerReportAge{600};
/** All keepers are queried this often, since a new leader announces itself to the hosts that it
 * knows from their queries. */
constexpr Milliseconds AllKeepersInterval{4000};
/** How long a call waits for the next leader; an election and a first commit take less. */
constexpr Milliseconds MaxTakeoverTime{1200};
/** Without a quorum nothing is decided until hosts are back, which takes some seconds. */
constexpr Milliseconds OutageRetryDelay{1000};
/** Longer than a caller goes on to send a submission again that got no answer. */
constexpr Milliseconds MaxResubmissionAge{60'000};

/** Identifies the job of a submission; empty for other calls. */
std::optional<std::pair<std::string, std::string>> submissionKey(const CellCall &call)
{
    const auto *const job = std::get_if<JobCall>(&call);
    if (job == nullptr || job->verb != JobVerb::Submit)
        return std::nullopt;
    return std::pair(job->host, job->path);
}

} // namespace

CallRelay::CallRelay(HostId self, LeaderQuery query, const std::vector<HostId> &seeds)
    : m_self(std::move(self))
    , m_query(std::move(query))
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
    return m_leader.has_value() && now - m_leaderHeardAt < MaxLeaderSilence;
}

void CallRelay::receive(Instant now, const CellCallReceived &event, Outbox &out)
{
    const bool isTakeover = now - m_leaderHeardAt < MaxLeaderSilence + MaxTakeoverTime;
    if (!hasLeader(now) && !isTakeover) {
        refuse(event.exchange, event.call, out);
        return;
    }
    Pending pending = makePending(now, event);
    if (hasLeader(now))
        send(now, event.exchange, pending, out);
    m_pending.emplace(event.exchange, std::move(pending));
}

void CallRelay::keep(Instant now, const CellCallReceived &event)
{
    Pending pending = makePending(now, event);
    recordSent(now, pending);
    m_pending.emplace(event.exchange, std::move(pending));
}

CallRelay::Pending CallRelay::makePending(Instant now, const CellCallReceived &event) const
{
    const auto *const job = std::get_if<JobCall>(&event.call);
    const bool isShed = job != nullptr && job->isShed;
    return {event.call, now, now + event.timeout, std::nullopt,
            isShed && mayBeAccepted(event.call)};
}

bool CallRelay::mayBeAccepted(const CellCall &call) const
{
    const auto key = submissionKey(call);
    return key.has_value() && m_unansweredSubmissions.contains(*key);
}

void CallRelay::refuse(ExchangeId exchange, const CellCall &call, Outbox &out)
{
    if (mayBeAccepted(call)) {
        answerUnknown(exchange, out);
        return;
    }
    out.add(AnswerCall{exchange,
                       CallRefused{Refusal::Unavailable, "no leader is known", OutageRetryDelay}});
    out.add(LogLine{true, "relay",
                    absl::StrCat("refused: exchange=", exchange.value(), " no leader is known")});
}

void CallRelay::answerUnknown(ExchangeId exchange, Outbox &out)
{
    out.add(AnswerCall{exchange, CallRefused{Refusal::Unknown, "the leader has not answered", {}}});
    out.add(LogLine{
            true, "relay",
            absl::StrCat("unknown: exchange=", exchange.value(), " the leader has not answered")});
}

void CallRelay::recordSent(Instant now, Pending &pending)
{
    pending.sentAt = now;
    if (const auto key = submissionKey(pending.call))
        m_unansweredSubmissions[*key] = now;
}

void CallRelay::send(Instant now, ExchangeId exchange, Pending &pending, Outbox &out)
{
    recordSent(now, pending);
    pending.wasForwarded = true;
    CellCall call = evacuation::withAge(pending.call, now - pending.receivedAt);
    out.send(*m_leader, RelayCallRequest{exchange, std::move(call), m_query.session});
}

void CallRelay::receive(Instant now, const HostId &from, const LeaderReport &message, Outbox &out)
{
    for (const HostId &keeper : message.keepers)
        addKeeper(keeper);
    if (!message.decides) {
        if (m_leader == from)
            m_leader.reset();
        // A follower's report only prolongs a leader that has itself confirmed that it leads.
        const bool isConfirmation = message.leader.has_value() && message.leader == m_leader
                && message.leaderAge.has_value();
        if (isConfirmation)
            m_leaderHeardAt = std::max(m_leaderHeardAt, now - *message.leaderAge);
        // Only a hint: the reported host is queried before calls are sent to it.
        if (message.leader.has_value() && *message.leader != m_self && !hasLeader(now))
            sendQuery(now, *message.leader, out);
        return;
    }
    // A message of a former leader can arrive after one of its successor.
    if (message.term < m_leaderTerm)
        return;
    m_leaderTerm = message.term;
    const bool isNew = m_leader != from;
    m_leader = from;
    m_leaderHeardAt = now;
    if (!isNew)
        return;
    for (auto &[exchange, pending] : m_pending)
        send(now, exchange, pending, out);
}

std::optional<CellCall> CallRelay::receive(RelayCallResponse message, Outbox &out)
{
    // The exchange id in an answer to a former process of this host may belong to another call.
    const auto found = message.session == m_query.session ? m_pending.find(message.exchange)
                                                          : m_pending.end();
    if (found == m_pending.end())
        return std::nullopt;
    CellCall call = std::move(found->second.call);
    const bool mayOvertake = found->second.isShedRepetition && found->second.wasForwarded;
    m_pending.erase(found);
    if (mayOvertake && std::holds_alternative<CallRefused>(message.answer)) {
        // The earlier submission may be accepted later.
        answerUnknown(message.exchange, out);
        return call;
    }
    if (const auto key = submissionKey(call))
        m_unansweredSubmissions.erase(*key);
    out.add(AnswerCall{message.exchange, std::move(message.answer)});
    return call;
}

void CallRelay::tick(Instant now, Outbox &out)
{
    const bool isOutage
            = !hasLeader(now) && now - m_leaderHeardAt >= MaxLeaderSilence + MaxTakeoverTime;
    // In an outage the caller should try another host instead of waiting for its deadline.
    expire(now, isOutage, out);
    std::erase_if(m_unansweredSubmissions,
                  [now](const auto &entry) { return now - entry.second > MaxResubmissionAge; });
    if (hasLeader(now)) {
        for (auto &[exchange, pending] : m_pending) {
            if (!pending.sentAt.has_value() || now - *pending.sentAt >= ResendAfter)
                send(now, exchange, pending, out);
        }
    }
    if (now >= m_nextQuery)
        queryLeader(now, out);
}

void CallRelay::tickLeader(Instant now, Outbox &out)
{
    expire(now, false, out);
    std::erase_if(m_unansweredSubmissions,
                  [now](const auto &entry) { return now - entry.second > MaxResubmissionAge; });
}

std::vector<std::pair<ExchangeId, CellCall>> CallRelay::beginToLead(Instant now, Term term)
{
    m_leader.reset();
    m_leaderTerm = std::max(m_leaderTerm, term);
    std::vector<std::pair<ExchangeId, CellCall>> calls;
    for (auto &[exchange, pending] : m_pending) {
        recordSent(now, pending);
        calls.emplace_back(exchange, evacuation::withAge(pending.call, now - pending.receivedAt));
    }
    return calls;
}

void CallRelay::endLeading(Instant now, Instant confirmedAt)
{
    m_leaderHeardAt = std::max(m_leaderHeardAt, confirmedAt);
    m_nextQuery = now;
}

void CallRelay::answerAll(Outbox &out)
{
    for (const auto &[exchange, pending] : m_pending)
        answerUndecided(exchange, pending, out);
    m_pending.clear();
}

void CallRelay::answerUndecided(ExchangeId exchange, const Pending &pending, Outbox &out)
{
    if (pending.sentAt.has_value())
        answerUnknown(exchange, out);
    else
        refuse(exchange, pending.call, out);
}

void CallRelay::expire(Instant now, bool isOutage, Outbox &out)
{
    for (auto pending = m_pending.begin(); pending != m_pending.end();) {
        if (now < pending->second.deadline && !isOutage) {
            ++pending;
            continue;
        }
        answerUndecided(pending->first, pending->second, out);
        pending = m_pending.erase(pending);
    }
}

std::optional<HostId> CallRelay::chooseFollower() const
{
    // Keepers are few and exchange messages with the leader anyway, so they query it directly.
    if (m_query.isKeeper || m_keepers.size() < 2)
        return std::nullopt;
    std::vector<HostId> followers(m_keepers.begin(), m_keepers.end());
    std::erase(followers, *m_leader);
    if (followers.empty())
        return std::nullopt;
    return followers[std::hash<HostId>()(m_self) % followers.size()];
}

void CallRelay::sendQuery(Instant now, const HostId &keeper, Outbox &out)
{
    m_query.sentAt = now;
    out.send(keeper, m_query);
}

void CallRelay::queryLeader(Instant now, Outbox &out)
{
    if (hasLeader(now) && now < m_nextAllKeepersQuery) {
        m_nextQuery = now + LeaderQueryInterval;
        const std::optional<HostId> asked = chooseFollower();
        if (asked.has_value())
            sendQuery(now, *asked, out);
        if (!asked.has_value() || now - m_leaderHeardAt > MaxFollowerReportAge)
            sendQuery(now, *m_leader, out);
        return;
    }
    m_nextQuery = now + (hasLeader(now) ? LeaderQueryInterval : LeaderSearchInterval);
    m_nextAllKeepersQuery = now + AllKeepersInterval;
    for (const HostId &keeper : m_keepers)
        sendQuery(now, keeper, out);
}

} // namespace gentiancross
