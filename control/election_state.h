#pragma once

#include "control/outbox.h"
#include "core/journal_records.h"
#include "core/replicated_commands.h"

#include <set>

namespace gentiancross {

/**
 * A replica's current term, its vote in that term, and the votes that it has received as a
 * candidate. Owned by RaftConsensus. Changes of the term and the vote are persisted before they
 * take effect. Thread safety: owned by the control thread.
 */
class ElectionState
{
public:
    explicit ElectionState(ReplicaId self)
        : m_self(std::move(self))
    {}

    /** Replays a durable record. */
    void recover(const VoteRecord &record) { m_vote = record; }
    [[nodiscard]] Term term() const { return m_vote.term; }
    /** The term and the vote, which must survive a restart. */
    [[nodiscard]] const VoteRecord &record() const { return m_vote; }

    /** Advances to a later term, in which no vote has been given yet; ignores other terms. */
    void advanceTerm(Term term, Outbox &out);
    /** Advances to the next term as a candidate and votes for itself. */
    void becomeCandidate(Outbox &out);
    /** Gives this term's vote to the candidate; returns false if it was given to another one. */
    bool grantVote(const ReplicaId &candidate, Outbox &out);

    /** Starts a new count of votes with its own vote. */
    void beginVoteCount()
    {
        m_receivedVotes = {m_self};
        m_recentlyRestarted.clear();
    }
    void countVote(const ReplicaId &voter) { m_receivedVotes.insert(voter); }
    /** Marks a voter that restarted recently: it cannot tell whether it heard from a leader before
     * its restart. */
    void markRestarted(const ReplicaId &voter) { m_recentlyRestarted.insert(voter); }
    void endVoteCount() { m_receivedVotes.clear(); }
    /** True if the votes received form a quorum. */
    [[nodiscard]] bool hasWon(const Membership &membership) const;
    /** True if the pre-votes received show that no leader is active any more: they come from a
     * quorum that has not restarted recently, or from all voters, a former leader among them. */
    [[nodiscard]] bool isLeaderless(const Membership &membership) const;

private:
    ReplicaId m_self;
    VoteRecord m_vote;
    std::set<ReplicaId> m_receivedVotes;
    std::set<ReplicaId> m_recentlyRestarted;
};

} // namespace gentiancross
