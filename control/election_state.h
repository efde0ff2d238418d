#pragma once

#include "control/outbox.h"
#include "core/journal_records.h"
#include "core/replicated_commands.h"

#include <set>

namespace gentiancross {

/**
 * A replica's term, the vote that it gave in it, and the votes that it was given. Whatever binds it
 * is persisted before it takes effect. Thread safety: owned by the control thread.
 */
class ElectionState
{
public:
    explicit ElectionState(ReplicaId self)
        : m_self(std::move(self))
    {}

    /** Takes a durable record up again. */
    void recover(const VoteRecord &record) { m_given = record; }
    [[nodiscard]] Term term() const { return m_given.term; }
    /** What must survive a restart. */
    [[nodiscard]] const VoteRecord &record() const { return m_given; }

    /** Goes on to the term, if it is a later one; no vote is given in it yet. */
    void adopt(Term term, Outbox &out);
    /** Goes on to the next term as a candidate, with its own vote. */
    void stand(Outbox &out);
    /** Gives this term's vote to the candidate; false if another has it. */
    bool give(const ReplicaId &candidate, Outbox &out);

    /** Begins to count votes, its own first; those counted before are void. */
    void beginVoteCount()
    {
        m_votes = {m_self};
        m_recentlyRestarted.clear();
    }
    void count(const ReplicaId &voter) { m_votes.insert(voter); }
    /** The voter's word for a leader's silence reaches back to its own start only. */
    void markRestarted(const ReplicaId &voter) { m_recentlyRestarted.insert(voter); }
    void endVoteCount() { m_votes.clear(); }
    /** True if the votes counted are a quorum. */
    [[nodiscard]] bool hasWon(const Membership &membership) const;
    /** True if the pre-votes counted show that no leader acts any more: a quorum remembers, or all
     * voters, a former leader among them, say so. */
    [[nodiscard]] bool isLeaderless(const Membership &membership) const;

private:
    ReplicaId m_self;
    VoteRecord m_given;
    std::set<ReplicaId> m_votes;
    std::set<ReplicaId> m_recentlyRestarted;
};

} // namespace gentiancross
