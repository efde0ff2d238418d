#include "control/election_state.h"

#include "control/voting.h"

#include <algorithm>
#include <iterator>

namespace gentiancross {

void ElectionState::adopt(Term term, Outbox &out)
{
    if (term <= m_given.term)
        return;
    m_given = {term, std::nullopt};
    out.persist(m_given);
}

void ElectionState::stand(Outbox &out)
{
    m_given = {m_given.term.next(), m_self};
    out.persist(m_given);
    beginVoteCount();
}

bool ElectionState::give(const ReplicaId &candidate, Outbox &out)
{
    if (m_given.votedFor.has_value())
        return *m_given.votedFor == candidate;
    m_given.votedFor = candidate;
    out.persist(m_given);
    return true;
}

bool ElectionState::hasWon(const Membership &membership) const
{
    return voting::isQuorum(membership, m_votes);
}

bool ElectionState::isLeaderless(const Membership &membership) const
{
    const auto hasVote = [this](const ReplicaId &voter) { return m_votes.contains(voter); };
    if (std::all_of(membership.voters.begin(), membership.voters.end(), hasVote)
        && std::all_of(membership.outgoing.begin(), membership.outgoing.end(), hasVote))
        return true;
    std::set<ReplicaId> remembering;
    std::set_difference(m_votes.begin(), m_votes.end(), m_recentlyRestarted.begin(),
                        m_recentlyRestarted.end(), std::inserter(remembering, remembering.end()));
    return voting::isQuorum(membership, remembering);
}

} // namespace gentiancross
