#pragma once

#include "control/outbox.h"
#include "core/job_calls.h"

#include <map>
#include <optional>
#include <set>

namespace gentiancross {

/**
 * Brings calls from outside to the cell's leader, and its answers back. Every host has one, since
 * callers come in everywhere. Thread safety: owned by the control thread.
 */
class CallRelay
{
public:
    /** \a seeds are asked first who leads. */
    CallRelay(HostId self, LeaderQuery introduction, const std::vector<HostId> &seeds);

    /** Passes a call on. While another leader is being elected the call waits for it; if that takes
     * longer, nobody can decide, and the call is refused at once. */
    void receive(Instant now, const CellCallReceived &event, Outbox &out);
    void receive(Instant now, const HostId &from, const LeaderReport &message, Outbox &out);
    /** Passes an answer on. Returns the call, unless its caller has gone or was told something
     * else.
     */
    std::optional<CellCall> receive(const RelayCallResponse &message, Outbox &out);
    /** The caller has gone away. */
    void closed(ExchangeId exchange) { m_pending.erase(exchange); }
    void tick(Instant now, Outbox &out);
    /** The calls that wait, for a host that decides them itself from now on. */
    std::vector<std::pair<ExchangeId, CellCall>> takePending();

    /** The hosts that can call the adviser and have lately asked this host, a keeper. */
    void setAdviserCallers(std::vector<HostLastHeard> callers)
    {
        m_introduction.adviserCallers = std::move(callers);
    }

    /** True if a leader has said so lately. */
    [[nodiscard]] bool hasLeader(Instant now) const;
    /** Precondition: hasLeader. */
    [[nodiscard]] const HostId &leader() const { return *m_leader; }
    [[nodiscard]] const std::set<HostId> &keepers() const { return m_keepers; }
    void addKeeper(const HostId &host);

private:
    struct Pending
    {
        CellCall call;
        Instant deadline;
        /** Empty until it is sent. */
        std::optional<Instant> sentAt;
    };

    static void refuse(ExchangeId exchange, Outbox &out);
    void send(Instant now, ExchangeId exchange, Pending &pending, Outbox &out);
    void expire(Instant now, Outbox &out);
    [[nodiscard]] std::optional<HostId> witness() const;
    void introduce(Instant now, const HostId &keeper, Outbox &out);
    void askWhoLeads(Instant now, Outbox &out);

    HostId m_self;
    LeaderQuery m_introduction;
    std::set<HostId> m_keepers;
    std::optional<HostId> m_leader;
    /** The newest term in which a leader has said that it decides. */
    Term m_leaderTerm;
    Instant m_leaderHeard;
    Instant m_nextAsk;
    Instant m_nextRound;
    std::map<ExchangeId, Pending> m_pending;
};

} // namespace gentiancross
