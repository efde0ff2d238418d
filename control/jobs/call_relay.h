#pragma once

#include "control/outbox.h"
#include "core/job_calls.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace gentiancross {

/**
 * Owns the calls from outside that this host has taken: forwards them to the cell's leader and the
 * answers to the callers. Every host has one, since callers connect to any host. While the host
 * leads, it decides its calls itself, and they stay here until they are answered: a leader that
 * loses its place forwards them to the next one. Each call is answered once, by its deadline,
 * unless its caller has disconnected. Thread safety: owned by the control thread.
 */
class CallRelay
{
public:
    /** \a seeds are the hosts that are first asked for the leader. */
    CallRelay(HostId self, LeaderQuery query, const std::vector<HostId> &seeds);

    /** Forwards a call. During an election the call is queued until the next leader is known; if
     * the election takes too long, nobody can decide, and calls are refused at once. */
    void receive(Instant now, const CellCallReceived &event, Outbox &out);
    /** Keeps a call that this host decides itself, as the leader. */
    void keep(Instant now, const CellCallReceived &event);
    void receive(Instant now, const HostId &from, const LeaderReport &message, Outbox &out);
    /** Delivers an answer to its caller. Returns the call; empty if the caller has disconnected or
     * has already got another answer. */
    std::optional<CellCall> receive(RelayCallResponse message, Outbox &out);
    /** Drops the call of a caller that has disconnected. */
    void forgetExchange(ExchangeId exchange) { m_pending.erase(exchange); }
    /** Call at each tick while another host leads, or none. */
    void tick(Instant now, Outbox &out);
    /** Call at each tick while this host leads. */
    void tickLeader(Instant now, Outbox &out);
    /** Returns the pending calls, which this host decides from now on, since it has become the
     * leader. */
    std::vector<std::pair<ExchangeId, CellCall>> beginToLead(Instant now, Term term);
    /** Looks for the next leader; this host was confirmed as leader at \a confirmedAt last. */
    void endLeading(Instant now, Instant confirmedAt);
    /** Answers all pending calls, since the process is about to exit. */
    void answerAll(Outbox &out);

    /** Sets the hosts that can call the adviser and have lately sent this keeper a query. */
    void setAdviserCallers(std::vector<HostLastHeard> callers)
    {
        m_query.adviserCallers = std::move(callers);
    }

    /** True if a host has lately confirmed that it leads. */
    [[nodiscard]] bool hasLeader(Instant now) const;
    /** Precondition: hasLeader. */
    [[nodiscard]] const HostId &leader() const { return *m_leader; }
    [[nodiscard]] const std::set<HostId> &keepers() const { return m_keepers; }
    void addKeeper(const HostId &host);

private:
    struct Pending
    {
        CellCall call;
        Instant receivedAt;
        Instant deadline;
        /** When it was last sent to a leader; empty before. */
        std::optional<Instant> sentAt;
        /** True if it is shed, and the same submission was on its way to the leader before. */
        bool isShedRepetition = false;
        /** True once it was sent to another host, on the way to which it may overtake the earlier
         * submission. This host itself decides in the order of arrival. */
        bool wasForwarded = false;
    };

    /** Refuses a call that no leader can decide on. */
    void refuse(ExchangeId exchange, const CellCall &call, Outbox &out);
    /** Answers that nobody knows whether the call was executed. */
    static void answerUnknown(ExchangeId exchange, Outbox &out);
    /** True if this host has sent the same submission to a leader and got no answer for it, so that
     * the job may run. */
    [[nodiscard]] bool mayBeAccepted(const CellCall &call) const;
    [[nodiscard]] Pending makePending(Instant now, const CellCallReceived &event) const;
    /** Records that a leader has the call from now on. */
    void recordSent(Instant now, Pending &pending);
    void send(Instant now, ExchangeId exchange, Pending &pending, Outbox &out);
    /** Answers a call that no leader has answered in time. */
    void answerUndecided(ExchangeId exchange, const Pending &pending, Outbox &out);
    /** Answers the calls whose deadline has passed, or all if there \a isOutage. */
    void expire(Instant now, bool isOutage, Outbox &out);
    /** The follower that this host queries instead of the leader; empty if there is none. */
    [[nodiscard]] std::optional<HostId> chooseFollower() const;
    void sendQuery(Instant now, const HostId &keeper, Outbox &out);
    void queryLeader(Instant now, Outbox &out);

    HostId m_self;
    LeaderQuery m_query;
    std::set<HostId> m_keepers;
    std::optional<HostId> m_leader;
    /** The newest term in which a host has confirmed that it leads. */
    Term m_leaderTerm;
    Instant m_leaderHeardAt;
    Instant m_nextQuery;
    Instant m_nextAllKeepersQuery;
    std::map<ExchangeId, Pending> m_pending;
    /** When submissions were sent to a leader that has not answered, by host and path. Their
     * callers may be gone, and send them again. */
    std::map<std::pair<std::string, std::string>, Instant> m_unansweredSubmissions;
};

} // namespace gentiancross
