#pragma once

#include "control/durable_index_tracker.h"
#include "control/election_state.h"
#include "control/host_directory.h"
#include "control/membership/replica_contacts.h"
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

/** Timeouts and intervals of the replicated log; the same on all hosts of one log. */
struct RaftTiming
{
    /** A follower that has not heard from its leader for the minimum timeout plus a random part of
     * the spread starts an election. */
    Milliseconds minElectionTimeout{1600};
    Milliseconds electionTimeoutSpread{800};
    /** A leader with nothing new to send sends a message this often. */
    Milliseconds heartbeatInterval{700};
    /** A message that has not been answered for this long is considered lost. */
    Milliseconds resendTimeout{1500};
    /** A new commit index is sent with the next entries; a message that carries nothing else is
     * sent no sooner than this after the last message. */
    Milliseconds commitDelay{0};
    /** Entries for learners are batched over this interval. */
    Milliseconds learnerInterval{0};
};

/** An applied entry and the result of applying it. */
struct AppliedEntry
{
    SharedEntry entry;
    ApplyResult result;
};

/**
 * One host's part in the Raft group, owned by HostReducer: elections with pre-votes, log
 * replication, membership changes by joint consensus, and snapshots. Hosts outside the membership
 * are learners: they receive the log but do not vote.
 *
 * Follows D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapters 3, 4 and 9.6.
 * A vote is never refused because a leader is believed to be alive; a pre-vote is, but only on this
 * host's own evidence (see docs/DESIGN.md).
 * Thread safety: owned by the control thread.
 */
class RaftConsensus
{
public:
    RaftConsensus(const HostDirectory &directory, Identity identity, std::uint64_t seed,
                  RaftTiming timing = {});

    /** Replays one durable record. Call in the order of writing, before any other event. */
    void recover(const JournalRecord &record);
    /** Ends recovery. \a fresh is true if the store has never held a record. */
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

    /** Asks the voter with the highest match index to start an election at once. Precondition:
     * leader. */
    void transferLeadership(Outbox &out) const;

    /**
     * Appends a command. Error: Unavailable if this host is not the leader.
     * A proposal that is already in the log is not appended again.
     */
    absl::Status propose(Instant now, const ProposalId &proposal, const ReplicatedCommand &command,
                         Outbox &out);

    /** Appends a command without a proposal id, which is therefore not deduplicated; returns its
     * index. Precondition: leader. */
    LogIndex append(Instant now, ReplicatedCommand command, Outbox &out);

    /** Starts replicating to a host that is not named in the settings. */
    void addHost(Instant now, const HostId &host);

    /** Starts a membership change to the durable replicas of \a hosts. A host that is a voter stays
     * with the replica that the membership names, whether it responds or not. Errors: those of
     * proposeMembership(), and FailedPrecondition if a new voter has not replied in this term. */
    absl::Status proposeVoters(Instant now, const ProposalId &proposal,
                               const std::set<HostId> &hosts, Outbox &out);
    /** Starts a membership change to \a voters. Errors: those of propose(), InvalidArgument if
     * there are none, FailedPrecondition if one has no store, Aborted if another change is in
     * progress. */
    absl::Status proposeMembership(Instant now, const ProposalId &proposal,
                                   std::set<ReplicaId> voters, Outbox &out);
    /** True if this host leads, the newest membership is committed and no change is in progress. */
    [[nodiscard]] bool canChangeMembership() const;

    /** Returns the entries applied since the last call. */
    std::vector<AppliedEntry> takeApplied();

    /** Returns the records that represent the whole state, and drops applied entries from memory.
     */
    std::vector<JournalRecord> compact();

    [[nodiscard]] const ReplicatedState &state() const { return m_state; }
    [[nodiscard]] bool isLeader() const { return m_role == Role::Leader; }
    /** The current leader, if known to this host. */
    [[nodiscard]] std::optional<HostId> leader() const { return m_leader; }
    /** This host's own replica of the log. */
    [[nodiscard]] const ReplicaId &replica() const { return m_identity.replica; }
    [[nodiscard]] Term term() const { return m_election.term(); }
    [[nodiscard]] const RaftTiming &timing() const { return m_timing; }
    [[nodiscard]] LogIndex commitIndex() const { return m_commitIndex; }
    [[nodiscard]] LogIndex appliedIndex() const { return m_appliedIndex; }
    /** True if an entry of the current term has been applied, and so everything that was committed
     * before it. */
    [[nodiscard]] bool hasAppliedCurrentTerm() const
    {
        return m_log.termAt(m_appliedIndex) == term();
    }
    /** The number of entries held in memory. */
    [[nodiscard]] std::size_t logSize() const { return m_log.size(); }
    /** The approximate size in a journal of the entries appended since the last compaction. */
    [[nodiscard]] std::size_t bytesSinceCompaction() const
    {
        return m_log.bytes() - std::min(m_log.bytes(), m_compactedBytes);
    }
    [[nodiscard]] const Membership &membership() const { return m_membership; }
    /** When this host last heard from the leader that it follows or, as leader, from a quorum. */
    [[nodiscard]] Instant lastContact() const { return m_lastContact; }
    /**
     * A time at which this host was certainly in contact with a quorum: any later leader was
     * elected after it. Measured on this host's own clock and independent of message delays.
     */
    [[nodiscard]] Instant confirmedContact() const { return m_confirmedContact; }
    /** The durable replicas of other hosts that have replied within \a span and lag only a little
     * behind the commit index. Precondition: leader. */
    [[nodiscard]] std::vector<ReplicaId> caughtUpReplicas(Instant now, Milliseconds span) const;
    /** The hosts that have not applied \a index yet. Precondition: leader. */
    [[nodiscard]] std::set<HostId> hostsBehind(LogIndex index) const
    {
        return m_progress.hostsBehind(index);
    }
    /** The replica id in the host's last reply. Precondition: leader. */
    [[nodiscard]] std::optional<ReplicaId> replicaOf(const HostId &host) const;
    /**
     * True if the host's vote counts towards every quorum. The leader knows the store that a host
     * has now, so there a store that replaces a lost one counts only once the membership names it.
     */
    [[nodiscard]] bool isVoting(const HostId &host) const;
    /** When the replica last replied in this term, or when this host began to lead. Precondition:
     * leader. */
    [[nodiscard]] Instant lastContactWith(const ReplicaId &replica) const
    {
        return m_contacts.lastContact(replica);
    }
    /** When the host last replied, or the latest time at which it may have replied to an earlier
     * leader. Precondition: leader. */
    [[nodiscard]] std::optional<Instant> lastReplyOf(const HostId &host) const;
    /** The last index that the host is known to have applied. Precondition: leader. */
    [[nodiscard]] LogIndex appliedBy(const HostId &host) const;

private:
    enum class Role { Follower, PreCandidate, Candidate, Leader };

    [[nodiscard]] bool hasContact(Instant now) const;
    /** True if, shortly before its restart, this host may have answered a leader that still relies
     * on the answer. */
    [[nodiscard]] bool mayHaveForgottenLeader(Instant now) const;
    void resetElectionTimer(Instant now);
    void becomeFollower(Instant now, Term term, std::optional<HostId> leader, Outbox &out);
    void startPreVote(Instant now, Outbox &out);
    void startElection(Instant now, Outbox &out);
    void becomeLeader(Instant now, Outbox &out);
    void requestVotes(Term term, bool preVote, Outbox &out);
    void appendInCurrentTerm(Instant now, LogEntry entry, Outbox &out);
    void storeEntry(SharedEntry entry, Outbox &out);
    void truncateFrom(LogIndex index, Outbox &out);
    /** False if the entries are not consecutive or conflict with committed entries. */
    [[nodiscard]] bool isConsistentWithLog(const AppendRequest &message) const;
    bool storeReceivedEntries(const std::vector<SharedEntry> &entries, Outbox &out);
    /** Takes over the newest membership of the log, and replicates to all of its hosts. */
    void refreshMembership(Instant now);
    void replicate(Instant now, const HostId &host, Outbox &out);
    [[nodiscard]] SnapshotRecord makeSnapshot() const;
    void confirmContacts(Instant now, Outbox &out);
    void replicateAll(Instant now, bool force, Outbox &out);
    void tickLeader(Instant now, Outbox &out);
    void tickBootstrap(Instant now, Outbox &out);
    void repairMembership(Instant now, Outbox &out);
    /** True if the proposal is in the log or has been applied. */
    [[nodiscard]] bool isProposed(const ProposalId &proposal) const;
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
    /** The size of the entries that the last compaction retained. */
    std::size_t m_compactedBytes = 0;
    Membership m_membership;
    LogIndex m_commitIndex;
    LogIndex m_appliedIndex;
    DurableIndexTracker m_durableIndex;

    Instant m_electionDeadline;
    Instant m_lastContact;
    /** When this host recovered its durable records; empty for a new store. */
    std::optional<Instant> m_restartedAt;
    Instant m_confirmedContact;
    ReplicationProgress m_progress;
    ReplicaContacts m_contacts;
    std::vector<AppliedEntry> m_newlyApplied;
};

} // namespace gentiancross
