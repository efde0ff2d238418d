#include "control/election_state.h"

#include "control/voting.h"

#include <algorithm>
#include <iterator>

namespace gentiancross {

void ElectionState::advanceTerm(Term term, Outbox &out)
{
    if (term <= m_vote.term)
        return;
    m_vote = {term, std::nullopt};
    out.persist(m_vote);
}

void ElectionState::becomeCandidate(Outbox &out)
{
    m_vote = {m_vote.term.next(), m_self};
    out.persist(m_vote);
    beginVoteCount();
}

bool ElectionState::grantVote(const ReplicaId &candidate, Outbox &out)
{
    if (m_vote.votedFor.has_value())
        return *m_vote.votedFor == candidate;
    m_vote.votedFor = candidate;
    out.persist(m_vote);
    return true;
}

bool ElectionState::hasWon(const Membership &membership) const
{
    return voting::isQuorum(membership, m_receivedVotes);
}

bool ElectionState::isLeaderless(const Membership &membership) const
{
    const auto hasVote = [this](const ReplicaId &voter) { return m_receivedVotes.contains(voter); };
    if (std::all_of(membership.voters.begin(), membership.voters.end(), hasVote)
        && std::all_of(membership.outgoing.begin(), membership.outgoing.end(), hasVote))
        return true;
    std::set<ReplicaId> notRestarted;
    std::set_difference(m_receivedVotes.begin(), m_receivedVotes.end(), m_recentlyRestarted.begin(),
                        m_recentlyRestarted.end(), std::inserter(notRestarted, notRestarted.end()));
    return voting::isQuorum(membership, notRestarted);
}

} // namespace gentiancross
