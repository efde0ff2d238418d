#pragma once

#include "control/outbox.h"
#include "control/raft_consensus.h"

#include <map>
#include <optional>
#include <set>

namespace gentiancross {

/**
 * Owns the operators' changes in progress; called by HostReducer. Each change is applied once
 * under its request name. It is answered as accepted and in force everywhere only when every host
 * has applied it, except for hosts that have been cut off for so long that they no longer accept
 * any key; a host that may still accept keys is listed in the answer. Thread safety: owned by the
 * control thread.
 */
class OperatorChangeCoordinator
{
public:
    OperatorChangeCoordinator(const HostDirectory &directory, RaftConsensus &raft,
                              KeyHash operatorKey, Milliseconds keyGrace);

    void receive(Instant now, const OperatorChangeReceived &event, Outbox &out);
    void receive(Instant now, const ForwardEnded &event, Outbox &out);
    void applied(Instant now, const AppliedEntry &applied);
    /** Answers completed changes, and proposes or forwards those that are due. Call after every
     * event. */
    void advance(Instant now, Outbox &out);
    void exchangeClosed(ExchangeId exchange) { m_pending.erase(exchange); }
    [[nodiscard]] bool isOperator(const CallerIdentity &caller) const;
    /** The hosts on which the entry at \a index is not in force: those that have not applied it
     * and, even if unreachable, may still accept old keys. Precondition: leader. */
    [[nodiscard]] std::set<HostId> hostsNotInForce(Instant now, LogIndex index) const;

private:
    struct Pending
    {
        OperatorChangeReceived event;
        ProposalId proposal;
        Instant deadline;
        Instant nextAttemptAt;
        bool isForwarded = false;
        bool mayBeApplied = false;
        std::uint32_t attempt = 0;
        HostId forwardedTo;
        std::optional<ApplyResult> result;
        /** On the leader: when the change was applied. */
        Instant appliedAt;
    };

    void proposeOrForward(Instant now, ExchangeId exchange, Pending &pending, Outbox &out);
    void abandonFormerLeader(Pending &pending) const;
    void proposeHere(Instant now, ExchangeId exchange, Pending &pending, Outbox &out);
    bool answerIfSettled(Instant now, ExchangeId exchange, const Pending &pending,
                         Outbox &out) const;
    void answerTimeout(ExchangeId exchange, const Pending &pending, Outbox &out) const;

    const HostDirectory &m_directory;
    RaftConsensus &m_raft;
    KeyHash m_operatorKey;
    Milliseconds m_keyGrace;
    std::map<ExchangeId, Pending> m_pending;
};

} // namespace gentiancross
