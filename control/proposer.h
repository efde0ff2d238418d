#pragma once

#include "control/raft_consensus.h"

#include <map>

namespace gentiancross {

/**
 * Proposes this host's own commands to the replicated log and retries each under the same proposal
 * id until it has been applied. Thread safety: owned by the control thread.
 */
class Proposer
{
public:
    Proposer(const HostDirectory &directory, Identity identity, RaftConsensus &raft);

    /** Starts proposing a command; returns the proposal id under which it will be applied. */
    ProposalId propose(Instant now, const ReplicatedCommand &command, Outbox &out);
    void tick(Instant now, Outbox &out);
    /** Stops retrying a proposal. */
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
    RaftConsensus &m_raft;
    std::uint64_t m_nextNumber = 1;
    std::map<ProposalId, Pending> m_pending;
};

} // namespace gentiancross
