#pragma once

#include "control/raft_consensus.h"

#include <map>

namespace gentiancross {

/**
 * Brings this host's own commands into the agreed log: repeats each, under one name, until it is
 * seen applied. Thread safety: owned by the control thread.
 */
class Proposer
{
public:
    Proposer(const HostDirectory &directory, Identity identity, RaftConsensus &agreement);

    /** Starts to propose; returns the name under which the command will be applied. */
    ProposalId propose(Instant now, const ReplicatedCommand &command, Outbox &out);
    void tick(Instant now, Outbox &out);
    /** Stops repeating a proposal. */
    void applied(const ProposalId &proposal);
    [[nodiscard]] bool isPending(const ProposalId &proposal) const
    {
        return m_pending.contains(proposal);
    }

private:
    struct Pending
    {
        ReplicatedCommand command;
        Instant lastSent;
    };

    void send(Instant now, const ProposalId &proposal, Pending &pending, Outbox &out);

    const HostDirectory &m_directory;
    Identity m_identity;
    RaftConsensus &m_agreement;
    std::uint64_t m_next = 1;
    std::map<ProposalId, Pending> m_pending;
};

} // namespace gentiancross
