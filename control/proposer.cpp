#include "control/proposer.h"

namespace gentiancross {

namespace {

constexpr Milliseconds RetryInterval{600};

} // namespace

Proposer::Proposer(const HostDirectory &directory, Identity identity, RaftConsensus &raft)
    : m_directory(directory)
    , m_identity(std::move(identity))
    , m_raft(raft)
{}

ProposalId Proposer::propose(Instant now, const ReplicatedCommand &command, Outbox &out)
{
    ProposalId proposal(m_identity.session.value() + '/' + std::to_string(m_nextNumber++));
    Pending &pending = m_pending[proposal];
    pending.command = command;
    send(now, proposal, pending, out);
    return proposal;
}

void Proposer::tick(Instant now, Outbox &out)
{
    for (auto &[proposal, pending] : m_pending) {
        if (now - pending.lastSent >= RetryInterval)
            send(now, proposal, pending, out);
    }
}

void Proposer::applied(const ProposalId &proposal)
{
    m_pending.erase(proposal);
}

void Proposer::send(Instant now, const ProposalId &proposal, Pending &pending, Outbox &out)
{
    pending.lastSent = now;
    if (m_raft.isLeader()) {
        // An error means that this host has just stepped down; the next retry sends the command
        // again.
        m_raft.propose(now, proposal, pending.command, out).IgnoreError();
        return;
    }
    const std::optional<HostId> leader = m_raft.leader();
    if (leader.has_value() && *leader != m_directory.self)
        out.send(*leader, Propose{proposal, pending.command});
}

} // namespace gentiancross
