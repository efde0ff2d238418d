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
 * Forwards calls from outside to the cell's leader, and its answers to the callers. Every host has
 * one, since callers connect to any host. Thread safety: owned by the control thread.
 */
class CallRelay
{
public:
    /** \a seeds are the hosts that are first asked for the leader. */
    CallRelay(HostId self, LeaderQuery query, const std::vector<HostId> &seeds);

    /** Forwards a call. During an election the call is queued until the next leader is known; if
     * the election takes too long, nobody can decide, and calls are refused at once. */
    void receive(Instant now, const CellCallReceived &event, Outbox &out);
    void receive(Instant now, const HostId &from, const LeaderReport &message, Outbox &out);
    /** Delivers an answer to its caller. Returns the call; empty if the caller has disconnected or
     * has already got another answer. */
    std::optional<CellCall> receive(const RelayCallResponse &message, Outbox &out);
    /** Drops the call of a caller that has disconnected. */
    void forgetExchange(ExchangeId exchange) { m_pending.erase(exchange); }
    void tick(Instant now, Outbox &out);
    /** Removes and returns the pending calls, for a host that has become the leader. */
    std::vector<std::pair<ExchangeId, CellCall>> takePending(Instant now);

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
        /** True if it is shed, and the same submission was on its way to the leader before, which
         * it may overtake. */
        bool mayOvertake = false;
    };

    /** Refuses a call that no leader can decide on. */
    void refuse(ExchangeId exchange, const CellCall &call, Outbox &out);
    /** Answers that nobody knows whether the call was executed. */
    static void answerUnknown(ExchangeId exchange, Outbox &out);
    /** True if this host has sent the same submission to a leader and got no answer for it, so that
     * the job may run. */
    [[nodiscard]] bool mayBeAccepted(const CellCall &call) const;
    void send(Instant now, ExchangeId exchange, Pending &pending, Outbox &out);
    void expire(Instant now, Outbox &out);
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
