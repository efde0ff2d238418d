#pragma once

#include "control/durable_index_tracker.h"
#include "control/election_state.h"
#include "control/host_directory.h"
#include "control/membership_bootstrap.h"
#include "control/outbox.h"
#include "control/raft_log.h"
#include "control/replicated_state.h"
#include "control/replication_progress.h"
#include "core/peer_messages.h"

#include <absl/status/status.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace gentiancross {

/** How soon a log's hosts act. All hosts of one log have the same. */
struct RaftTiming
{
    /** A follower that hears nothing of its leader for this long, and up to the spread longer,
     * stands for election. */
    Milliseconds minElectionTimeout{1600};
    Milliseconds electionTimeoutSpread{800};
    /** A leader with no news sends this often. */
    Milliseconds heartbeat{700};
    /** A message without an answer for this long counts as lost. */
    Milliseconds resendTimeout{1500};
    /** A new commit index travels with the next entries; a message of its own follows the last one
     * no sooner than this. */
    Milliseconds commitDelay{0};
    /** Learners get the entries of so long a time in one batch. */
    Milliseconds learnerInterval{0};
};

/** An entry that has just been applied, and what became of it. */
struct AppliedEntry
{
    SharedEntry entry;
    ApplyResult result;
};

/**
 * The agreed log's part in one host: elections with pre-votes, replication, joint changes of the
 * membership, snapshots. Hosts outside the membership are learners: they get the log, but no vote.
 *
 * Follows D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapters 3, 4 and 9.6.
 * A vote is never refused for believing a leader alive; a pre-vote is, but only on this host's own
 * evidence (see docs/DESIGN.md).
 * Thread safety: owned by the control thread.
 */
class RaftConsensus
{
public:
    RaftConsensus(const HostDirectory &directory, Identity identity, std::uint64_t seed,
                  RaftTiming timing = {});

    /** Takes one durable record up again; call in the order of writing, before any other event. */
    void recover(const JournalRecord &record);
    /** Ends the recovery. \a fresh is true if the store has never held a record. */
    void recovered(Instant now, bool fresh);

    void tick(Instant now, Outbox &out);
    void synced(Instant now, SyncToken token, Outbox &out);

    void receive(Instant now, const HostId &from, const Hello &message, Outbox &out);
    void receive(Instant now, const HostId &from, const VoteRequest &message, Outbox &out);
    void receive(Instant now, const HostId &from, const VoteReply &message, Outbox &out);
    void receive(Instant now, const HostId &from, const AppendRequest &message, Outbox &out);
    void receive(Instant now, const HostId &from, const AppendReply &message, Outbox &out);
    void receive(Instant now, const HostId &from, const InstallSnapshot &message, Outbox &out);
    void receive(Instant now, const HostId &from, const TimeoutNow &message, Outbox &out);

    /** Asks the voter that holds most to lead at once. Precondition: leader. */
    void handOver(Outbox &out) const;

    /**
     * Appends a command. Error: Unavailable if this host does not lead.
     * A proposal that is in the log already is not appended twice.
     */
    absl::Status propose(Instant now, const ProposalId &proposal, const ReplicatedCommand &command,
                         Outbox &out);

    /** Appends a command that is proposed once only. Precondition: leader. Returns its index. */
    LogIndex append(Instant now, ReplicatedCommand command, Outbox &out);

    /** A host that settings do not name may hold the log from now on. */
    void addHost(Instant now, const HostId &host);

    /** Starts a change of the membership to the durable replicas of \a hosts, with the same errors.
     */
    absl::Status proposeVoters(Instant now, const ProposalId &proposal,
                               const std::set<HostId> &hosts, Outbox &out);

    /** The entries applied since the last call. */
    std::vector<AppliedEntry> takeApplied();

    /** The records that stand for the whole state; drops the applied entries from memory. */
    std::vector<JournalRecord> compact();

    [[nodiscard]] const ReplicatedState &state() const { return m_state; }
    [[nodiscard]] bool isLeader() const { return m_role == Role::Leader; }
    /** The current leader as far as this host knows. */
    [[nodiscard]] std::optional<HostId> leader() const { return m_leader; }
    [[nodiscard]] Term term() const { return m_election.term(); }
    [[nodiscard]] const RaftTiming &timing() const { return m_timing; }
    [[nodiscard]] LogIndex commitIndex() const { return m_commit; }
    [[nodiscard]] LogIndex appliedIndex() const { return m_applied; }
    /** True if what is applied includes an entry of the current term, and so all that was ever
     * committed before it. */
    [[nodiscard]] bool hasAppliedCurrentTerm() const { return m_log.termAt(m_applied) == term(); }
    /** Entries held in memory. */
    [[nodiscard]] std::size_t logSize() const { return m_log.size(); }
    /** About what the entries since the last compaction take in a journal. */
    [[nodiscard]] std::size_t bytesSinceCompaction() const
    {
        return m_log.bytes() - std::min(m_log.bytes(), m_compactedBytes);
    }
    [[nodiscard]] const Membership &membership() const { return m_membership; }
    /** When this host last heard from a leader that it follows, or, as leader, from a quorum. */
    [[nodiscard]] Instant lastContact() const { return m_lastContact; }
    /**
     * A moment at which this host was certainly connected with a quorum: a later leader was elected
     * after it. On this host's own clock, however long messages were under way.
     */
    [[nodiscard]] Instant confirmedContact() const { return m_confirmedContact; }
    /** Precondition: leader. The host has answered in this term and lacks little of what is
     * committed. */
    [[nodiscard]] bool isCaughtUp(const HostId &host) const;
    /** Precondition: leader. Hosts that have not applied \a index yet. */
    [[nodiscard]] std::set<HostId> hostsBehind(LogIndex index) const
    {
        return m_progress.behind(index);
    }
    /** Precondition: leader. The replica that each host last answered as. */
    [[nodiscard]] std::optional<ReplicaId> replicaOf(const HostId &host) const;
    /**
     * True if the host's vote counts, so that the log needs it. On the leader, which knows the
     * store that a host has now, a store that took a lost one's place counts once it is agreed on.
     */
    [[nodiscard]] bool isVoting(const HostId &host) const;
    /** Precondition: leader. When the host last answered, or may last have answered an earlier
     * leader. */
    [[nodiscard]] std::optional<Instant> lastReplyOf(const HostId &host) const;
    /** Precondition: leader. */
    [[nodiscard]] LogIndex appliedBy(const HostId &host) const;

private:
    enum class Role { Follower, PreCandidate, Candidate, Leader };

    [[nodiscard]] bool hasContact(Instant now) const;
    /** True if this host may have heard a leader before its start that acts on that still. */
    [[nodiscard]] bool mayHaveForgotten(Instant now) const;
    void resetElectionTimer(Instant now);
    void follow(Instant now, Term term, std::optional<HostId> leader, Outbox &out);
    void startPreVote(Instant now, Outbox &out);
    void startElection(Instant now, Outbox &out);
    void becomeLeader(Instant now, Outbox &out);
    void requestVotes(Term term, bool preVote, Outbox &out);
    void appendInCurrentTerm(Instant now, LogEntry entry, Outbox &out);
    void storeEntry(SharedEntry entry, Outbox &out);
    void truncateFrom(LogIndex index, Outbox &out);
    /** False if the entries do not follow each other or differ from what is committed. */
    [[nodiscard]] bool isSound(const AppendRequest &message) const;
    bool storeReceived(const std::vector<SharedEntry> &entries, Outbox &out);
    void refreshMembership();
    void replicate(Instant now, const HostId &host, Outbox &out);
    [[nodiscard]] SnapshotRecord makeSnapshot() const;
    void confirmContacts(Instant now, Outbox &out);
    void replicateAll(Instant now, bool force, Outbox &out);
    void tickLeader(Instant now, Outbox &out);
    void tickBootstrap(Instant now, Outbox &out);
    void repairMembership(Instant now, Outbox &out);
    void updateQuorumContact(Instant now, Outbox &out);
    void advanceCommit(Instant now, Outbox &out);
    void applyCommitted();
    void finishMembershipChange(Instant now, Outbox &out);
    bool rejectStaleTerm(const HostId &from, Term other, Outbox &out) const;
    [[nodiscard]] AppendReply makeReply(Instant now, Instant sentAt, bool success,
                                        LogIndex index) const;

    const HostDirectory &m_directory;
    Identity m_identity;
    RaftTiming m_timing;
    MembershipBootstrap m_bootstrap;
    ElectionState m_election;
    std::minstd_rand m_random;

    Role m_role = Role::Follower;
    std::optional<HostId> m_leader;
    RaftLog m_log;
    ReplicatedState m_state;
    Membership m_baseMembership;
    /** What the entries took that the last compaction left. */
    std::size_t m_compactedBytes = 0;
    Membership m_membership;
    LogIndex m_commit;
    LogIndex m_applied;
    DurableIndexTracker m_synced;

    Instant m_electionDeadline;
    Instant m_lastContact;
    /** When this host took its durable records up again; nothing for a new store. */
    std::optional<Instant> m_restartedAt;
    Instant m_confirmedContact;
    ReplicationProgress m_progress;
    std::vector<AppliedEntry> m_newlyApplied;
};

} // namespace gentiancross
