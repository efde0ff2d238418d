#pragma once

#include "control/outbox.h"
#include "control/raft_consensus.h"

#include <map>
#include <optional>
#include <set>

namespace gentiancross {

/**
 * Operators' changes: each is applied once under its name, and answered as accepted only when it is
 * in force on every host, or on all but hosts that have been cut off for so long that they honour
 * no key any more. Thread safety: owned by the control thread.
 */
class OperatorChangeCoordinator
{
public:
    OperatorChangeCoordinator(const HostDirectory &directory, RaftConsensus &agreement,
                              KeyHash operatorKey, Milliseconds keyGrace);

    void receive(Instant now, const OperatorChangeReceived &event, Outbox &out);
    void receive(Instant now, const ForwardEnded &event, Outbox &out);
    void applied(Instant now, const AppliedEntry &applied);
    /** Answers what is settled and sends what is due; to be called after every event. */
    void advance(Instant now, Outbox &out);
    void exchangeClosed(ExchangeId exchange) { m_pending.erase(exchange); }
    [[nodiscard]] bool isOperator(const CallerIdentity &caller) const;
    /** Precondition: leader. Hosts without contact that may still honour old keys are left in. */
    [[nodiscard]] std::set<HostId> missing(Instant now, LogIndex index) const;

private:
    struct Pending
    {
        OperatorChangeReceived event;
        ProposalId proposal;
        Instant deadline;
        Instant nextTry;
        bool underWay = false;
        bool mayBeTaken = false;
        std::uint32_t attempt = 0;
        HostId forwardedTo;
        std::optional<ApplyResult> result;
        /** On the leader: when the change was applied. */
        Instant appliedAt;
    };

    void pursue(Instant now, ExchangeId exchange, Pending &pending, Outbox &out);
    void abandonFormerLeader(Pending &pending) const;
    void proposeHere(Instant now, ExchangeId exchange, Pending &pending, Outbox &out);
    bool answerIfSettled(Instant now, ExchangeId exchange, const Pending &pending,
                         Outbox &out) const;
    void giveUp(ExchangeId exchange, const Pending &pending, Outbox &out) const;

    const HostDirectory &m_directory;
    RaftConsensus &m_agreement;
    KeyHash m_operatorKey;
    Milliseconds m_keyGrace;
    std::map<ExchangeId, Pending> m_pending;
};

} // namespace gentiancross
