#include "control/proposer.h"

namespace gentiancross {

namespace {

constexpr Milliseconds RepeatAfter{600};

} // namespace

Proposer::Proposer(const HostDirectory &directory, Identity identity, RaftConsensus &agreement)
    : m_directory(directory)
    , m_identity(std::move(identity))
    , m_agreement(agreement)
{}

ProposalId Proposer::propose(Instant now, const ReplicatedCommand &command, Outbox &out)
{
    ProposalId proposal(m_identity.session.value() + '/' + std::to_string(m_next++));
    Pending &pending = m_pending[proposal];
    pending.command = command;
    send(now, proposal, pending, out);
    return proposal;
}

void Proposer::tick(Instant now, Outbox &out)
{
    for (auto &[proposal, pending] : m_pending) {
        if (now - pending.lastSent >= RepeatAfter)
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
    if (m_agreement.isLeader()) {
        // A leader that has just stepped down is asked again at the next repeat.
        m_agreement.propose(now, proposal, pending.command, out).IgnoreError();
        return;
    }
    const std::optional<HostId> leader = m_agreement.leader();
    if (leader.has_value() && *leader != m_directory.self)
        out.send(*leader, Propose{proposal, pending.command});
}

} // namespace gentiancross
