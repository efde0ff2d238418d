#include "control/raft_consensus.h"

#include "control/voting.h"
#include "core/error.h"
#include "core/record_size.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** The size limit of a message's entries; the entry that reaches it is still included. A larger
 * message might not be answered before it counts as lost; in transit it takes about ten times as
 * much memory. */
constexpr std::size_t MaxBytesPerMessage = 256 << 10;
/** A compaction retains up to this many entries and bytes in memory for hosts that lag a little: a
 * few seconds' worth under load. */
constexpr std::size_t MaxRetainedEntries = 256;
constexpr std::size_t MaxRetainedBytes = 4 << 20;
constexpr std::size_t MaxEntriesPerMessage = 256;
/** A host that has not replied for this many resend timeouts is considered silent. */
constexpr std::int64_t MaxUnansweredResends = 2;
/** After a restart the minimum election timeout is divided by this. */
constexpr std::int64_t RestartTimeoutDivisor = 4;

absl::Status notLeader(const std::optional<HostId> &leader)
{
    const std::string peer = leader.has_value() ? leader->value() : std::string();
    return makeError(absl::StatusCode::kUnavailable, Step::Agreement, peer,
                     "this host does not lead the log");
}

} // namespace

RaftConsensus::RaftConsensus(const HostDirectory &directory, Identity identity, std::uint64_t seed,
                             RaftTiming timing)
    : m_directory(directory)
    , m_identity(std::move(identity))
    , m_timing(timing)
    , m_bootstrap(directory, m_identity.replica)
    , m_election(m_identity.replica)
    , m_random(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1))
    , m_durableIndex(directory.own().hasStore)
    , m_progress(directory,
                 {timing.heartbeatInterval, timing.resendTimeout, timing.commitDelay,
                  timing.learnerInterval})
{}

void RaftConsensus::recover(const JournalRecord &record)
{
    if (const auto *vote = std::get_if<VoteRecord>(&record)) {
        m_election.recover(*vote);
    } else if (const auto *entry = std::get_if<LogEntry>(&record)) {
        m_log.append(std::make_shared<const LogEntry>(*entry));
    } else if (const auto *truncation = std::get_if<TruncateRecord>(&record)) {
        m_log.truncate(truncation->from);
    } else if (const auto *snapshot = std::get_if<SnapshotRecord>(&record)) {
        m_log.truncate(LogIndex(0));
        m_log.compact(snapshot->index, snapshot->term);
        m_baseMembership = snapshot->membership;
        m_state.restore(snapshot->state);
        m_commitIndex = snapshot->index;
        m_appliedIndex = snapshot->index;
    }
}

void RaftConsensus::recovered(Instant now, bool fresh)
{
    m_bootstrap.setFresh(fresh);
    if (!fresh)
        m_restartedAt = now;
    m_durableIndex.reset(m_log.lastIndex());
    refreshMembership(now);
    // After a restart there may be no leader to wait for. If there is one, its voters refuse the
    // pre-vote or not all of them answer.
    std::uniform_int_distribution<std::int64_t> spread(0, m_timing.electionTimeoutSpread.value());
    m_electionDeadline = now + m_timing.minElectionTimeout / RestartTimeoutDivisor
            + Milliseconds(spread(m_random));
}

void RaftConsensus::tick(Instant now, Outbox &out)
{
    if (m_membership.voters.empty()) {
        tickBootstrap(now, out);
        return;
    }
    if (isLeader()) {
        tickLeader(now, out);
        return;
    }
    if (voting::isVoter(m_membership, m_identity.replica) && now >= m_electionDeadline)
        startPreVote(now, out);
}

void RaftConsensus::tickBootstrap(Instant now, Outbox &out)
{
    const std::optional<Membership> first = m_bootstrap.tick(now, out);
    if (!first.has_value())
        return;
    // Every initial voter writes the same first entry, in a term without an elected leader.
    storeEntry(
            std::make_shared<const LogEntry>(LogEntry{LogIndex(1), Term(1), ProposalId(), *first}),
            out);
    m_bootstrap.setFresh(false);
    m_election.advanceTerm(Term(1), out);
    refreshMembership(now);
    resetElectionTimer(now);
}

void RaftConsensus::receive(Instant, const HostId &from, const Hello &message, Outbox &out)
{
    m_bootstrap.receive(from, message, !m_membership.voters.empty(), out);
}

bool RaftConsensus::hasContact(Instant now) const
{
    return m_leader.has_value() && now - m_lastContact < m_timing.minElectionTimeout;
}

bool RaftConsensus::mayHaveForgottenLeader(Instant now) const
{
    return m_restartedAt.has_value() && now - *m_restartedAt < m_timing.minElectionTimeout;
}

void RaftConsensus::resetElectionTimer(Instant now)
{
    std::uniform_int_distribution<std::int64_t> spread(0, m_timing.electionTimeoutSpread.value());
    m_electionDeadline = now + m_timing.minElectionTimeout + Milliseconds(spread(m_random));
}

void RaftConsensus::becomeFollower(Instant now, Term term, std::optional<HostId> leader,
                                   Outbox &out)
{
    m_election.advanceTerm(term, out);
    m_role = Role::Follower;
    m_leader = std::move(leader);
    m_election.endVoteCount();
    resetElectionTimer(now);
}

void RaftConsensus::startPreVote(Instant now, Outbox &out)
{
    m_role = Role::PreCandidate;
    m_leader.reset();
    m_election.beginVoteCount();
    if (mayHaveForgottenLeader(now))
        m_election.markRestarted(m_identity.replica);
    resetElectionTimer(now);
    if (m_election.isLeaderless(m_membership)) {
        startElection(now, out);
        return;
    }
    requestVotes(term().next(), true, out);
}

void RaftConsensus::startElection(Instant now, Outbox &out)
{
    m_role = Role::Candidate;
    m_election.becomeCandidate(out);
    resetElectionTimer(now);
    if (m_election.hasWon(m_membership)) {
        becomeLeader(now, out);
        return;
    }
    requestVotes(term(), false, out);
}

void RaftConsensus::requestVotes(Term term, bool preVote, Outbox &out)
{
    const VoteRequest request{m_identity.replica, term, m_log.lastIndex(), m_log.lastTerm(),
                              preVote};
    std::set<ReplicaId> voters = m_membership.voters;
    voters.insert(m_membership.outgoing.begin(), m_membership.outgoing.end());
    for (const ReplicaId &voter : voters) {
        if (voter != m_identity.replica)
            out.sendAfterSync(hostOf(voter), request);
    }
}

void RaftConsensus::receive(Instant now, const HostId &from, const VoteRequest &message,
                            Outbox &out)
{
    // A host without a store cannot persist its vote, so it never votes.
    if (!m_directory.own().hasStore)
        return;
    const bool upToDate = m_log.isCandidateUpToDate(message.lastIndex, message.lastTerm);
    if (message.preVote) {
        const bool granted = message.term > term() && upToDate && !isLeader() && !hasContact(now);
        // A refusal carries this host's term; otherwise a candidate with an older term could never
        // win.
        const Term replyTerm = granted ? message.term : term();
        out.sendAfterSync(from,
                          VoteReply{m_identity.replica, replyTerm, granted, true,
                                    mayHaveForgottenLeader(now)});
        return;
    }
    if (message.term > term())
        becomeFollower(now, message.term, std::nullopt, out);
    const bool mayGive = message.term == term() && upToDate && m_role == Role::Follower;
    const bool isFirst = !m_election.record().votedFor.has_value();
    const bool granted = mayGive && m_election.grantVote(message.candidate, out);
    if (granted && isFirst)
        resetElectionTimer(now);
    out.sendAfterSync(from, VoteReply{m_identity.replica, term(), granted, false, false});
}

void RaftConsensus::receive(Instant now, const HostId &, const VoteReply &message, Outbox &out)
{
    if (!message.granted) {
        if (message.term > term())
            becomeFollower(now, message.term, std::nullopt, out);
        return;
    }
    const bool isExpected = message.preVote
            ? m_role == Role::PreCandidate && message.term == term().next()
            : m_role == Role::Candidate && message.term == term();
    if (!isExpected)
        return;
    m_election.countVote(message.voter);
    if (message.mayHaveForgotten)
        m_election.markRestarted(message.voter);
    if (message.preVote && m_election.isLeaderless(m_membership))
        startElection(now, out);
    else if (!message.preVote && m_election.hasWon(m_membership))
        becomeLeader(now, out);
}

void RaftConsensus::becomeLeader(Instant now, Outbox &out)
{
    m_role = Role::Leader;
    m_leader = m_directory.self;
    m_lastContact = now;
    m_progress.reset(now, m_log.lastIndex().next());
    m_contacts.beginTerm(now);
    appendInCurrentTerm(now, {{}, {}, ProposalId(), NoOperation()}, out);
}

void RaftConsensus::appendInCurrentTerm(Instant now, LogEntry entry, Outbox &out)
{
    entry.index = m_log.lastIndex().next();
    entry.term = term();
    storeEntry(std::make_shared<const LogEntry>(std::move(entry)), out);
    refreshMembership(now);
    replicateAll(now, false, out);
}

void RaftConsensus::storeEntry(SharedEntry entry, Outbox &out)
{
    out.persist(*entry);
    m_log.append(std::move(entry));
    m_durableIndex.onStored(out.currentToken(), m_log.lastIndex());
}

void RaftConsensus::truncateFrom(LogIndex index, Outbox &out)
{
    out.persist(TruncateRecord{index});
    m_log.truncate(index);
    m_durableIndex.onTruncated(index, m_log.lastIndex());
}

void RaftConsensus::refreshMembership(Instant now)
{
    Membership newest = m_log.newestMembership().value_or(m_baseMembership);
    if (newest == m_membership)
        return;
    m_membership = std::move(newest);
    for (const std::set<ReplicaId> &group : {m_membership.voters, m_membership.outgoing}) {
        for (const ReplicaId &voter : group) {
            if (hostOf(voter) != m_directory.self)
                addHost(now, hostOf(voter));
        }
    }
}

void RaftConsensus::tickLeader(Instant now, Outbox &out)
{
    updateQuorumContact(now, out);
    if (!isLeader())
        return;
    confirmContacts(now, out);
    replicateAll(now, false, out);
    repairMembership(now, out);
}

void RaftConsensus::updateQuorumContact(Instant now, Outbox &out)
{
    std::set<ReplicaId> present = m_progress.respondingWithin(now, m_timing.minElectionTimeout);
    present.insert(m_identity.replica);
    if (voting::isQuorum(m_membership, present))
        m_lastContact = now;
    // A leader that has lost its quorum must step down, so that it stops answering as leader.
    else if (now - m_lastContact > m_timing.minElectionTimeout + m_timing.electionTimeoutSpread)
        becomeFollower(now, term(), std::nullopt, out);
}

void RaftConsensus::confirmContacts(Instant now, Outbox &out)
{
    // A quorum that replied had not elected a later leader by then, so contact queries received
    // before that time can be confirmed.
    const Instant moment
            = voting::quorumAnsweredAt(m_membership, m_identity.replica, m_progress, now);
    m_confirmedContact = std::max(m_confirmedContact, moment);
    // A newly joined host serves no requests until its contact is confirmed, so the confirmation is
    // sent at once.
    for (const HostId &host : m_progress.confirmQueriesBefore(moment))
        replicate(now, host, out);
}

void RaftConsensus::replicateAll(Instant now, bool force, Outbox &out)
{
    const std::vector<HostId> hosts = force
            ? m_progress.allHosts()
            : m_progress.dueHosts(now, m_log.lastIndex(), m_commitIndex, m_membership);
    for (const HostId &host : hosts) {
        if (force)
            m_progress.at(host).inFlight = false;
        replicate(now, host, out);
    }
}

void RaftConsensus::replicate(Instant now, const HostId &host, Outbox &out)
{
    FollowerProgress &progress = m_progress.at(host);
    // The original message may still be in transit, so a resend carries no entries and only asks
    // for the match index.
    const bool isResend = progress.inFlight && !progress.isSnapshotInFlight;
    progress.inFlight = true;
    progress.isSnapshotInFlight = false;
    progress.lastSent = now;
    if (!isResend)
        progress.awaitedSentAt = now;
    progress.sentCommitIndex = m_commitIndex;
    const LogIndex previous(progress.nextIndex.value() - 1);
    const std::optional<Term> previousTerm = m_log.termAt(previous);
    if (!previousTerm.has_value()) {
        progress.isSnapshotInFlight = true;
        out.send(host, InstallSnapshot{m_identity.replica, term(), makeSnapshot(), now});
        return;
    }
    AppendRequest request{m_identity.replica, term(), previous, *previousTerm,
                          m_commitIndex,      {},     now,      progress.confirmedQuery};
    // Messages to a silent host accumulate in transit, so entries are withheld until its next
    // reply.
    const bool isSilent = now - progress.lastReply > m_timing.resendTimeout * MaxUnansweredResends;
    std::size_t bytes = 0;
    for (LogIndex index = progress.nextIndex; !isSilent && !isResend && index <= m_log.lastIndex()
         && bytes < MaxBytesPerMessage && request.entries.size() < MaxEntriesPerMessage;
         index = index.next()) {
        request.entries.push_back(m_log.sharedAt(index));
        bytes += encodedBytes(*request.entries.back());
    }
    out.send(host, std::move(request));
}

bool RaftConsensus::rejectStaleTerm(const HostId &from, Term other, Outbox &out) const
{
    if (other >= term())
        return false;
    out.sendAfterSync(
            from,
            AppendReply{
                    m_identity.replica, term(), false, m_log.lastIndex(), m_appliedIndex, {}, {}});
    return true;
}

void RaftConsensus::receive(Instant now, const HostId &from, const AppendRequest &message,
                            Outbox &out)
{
    if (rejectStaleTerm(from, message.term, out))
        return;
    if (!isConsistentWithLog(message)) {
        out.add(LogLine{true, from.value(),
                        "AppendRequest rejected: its entries leave a gap or conflict with "
                        "committed entries"});
        return;
    }
    becomeFollower(now, message.term, from, out);
    m_lastContact = now;
    if (message.confirmed <= now)
        m_confirmedContact = std::max(m_confirmedContact, message.confirmed);
    const std::optional<Term> heldTerm = m_log.termAt(message.previousIndex);
    const bool isBeforeBase = message.previousIndex < m_log.baseIndex();
    if (!isBeforeBase && heldTerm != message.previousTerm) {
        const LogIndex hint(std::min(message.previousIndex.value() - 1, m_log.lastIndex().value()));
        out.sendAfterSync(from, makeReply(now, message.sentAt, false, hint));
        return;
    }
    if (storeReceivedEntries(message.entries, out))
        refreshMembership(now);
    const LogIndex matched(message.previousIndex.value() + message.entries.size());
    m_commitIndex = std::max(m_commitIndex, std::min(message.commit, matched));
    applyCommitted();
    out.sendAfterSync(from, makeReply(now, message.sentAt, true, matched));
}

bool RaftConsensus::isConsistentWithLog(const AppendRequest &message) const
{
    LogIndex index = message.previousIndex;
    for (const SharedEntry &entry : message.entries) {
        index = index.next();
        const std::optional<Term> held = m_log.termAt(index);
        const bool isCommitted = held.has_value() && index <= m_commitIndex;
        if (entry->index != index || (isCommitted && held != entry->term))
            return false;
    }
    return true;
}

bool RaftConsensus::storeReceivedEntries(const std::vector<SharedEntry> &entries, Outbox &out)
{
    bool changed = false;
    for (const SharedEntry &entry : entries) {
        if (entry->index <= m_log.baseIndex())
            continue;
        const std::optional<Term> held = m_log.termAt(entry->index);
        if (held == entry->term)
            continue;
        if (held.has_value())
            truncateFrom(entry->index, out);
        storeEntry(entry, out);
        changed = true;
    }
    if (changed)
        m_bootstrap.setFresh(false);
    return changed;
}

AppendReply RaftConsensus::makeReply(Instant now, Instant sentAt, bool success,
                                     LogIndex index) const
{
    return {m_identity.replica, term(), success, index, m_appliedIndex, sentAt, now};
}

void RaftConsensus::receive(Instant now, const HostId &from, const InstallSnapshot &message,
                            Outbox &out)
{
    if (rejectStaleTerm(from, message.term, out))
        return;
    becomeFollower(now, message.term, from, out);
    m_lastContact = now;
    const SnapshotRecord &snapshot = message.snapshot;
    if (m_log.termAt(snapshot.index) == snapshot.term) {
        // The log already contains the snapshot; later entries may have been acknowledged and must
        // be kept.
        m_commitIndex = std::max(m_commitIndex, snapshot.index);
        applyCommitted();
    } else if (snapshot.index > m_commitIndex) {
        m_bootstrap.setFresh(false);
        m_log.truncate(LogIndex(0));
        m_log.compact(snapshot.index, snapshot.term);
        m_durableIndex.reset(snapshot.index);
        m_baseMembership = snapshot.membership;
        m_state.restore(snapshot.state);
        m_commitIndex = snapshot.index;
        m_appliedIndex = snapshot.index;
        refreshMembership(now);
        out.persist(snapshot);
    }
    out.sendAfterSync(from, makeReply(now, message.sentAt, true, snapshot.index));
}

void RaftConsensus::receive(Instant now, const HostId &, const TimeoutNow &message, Outbox &out)
{
    const bool isVoter = voting::isVoter(m_membership, m_identity.replica);
    if (message.term == term() && isVoter && !isLeader())
        startElection(now, out);
}

void RaftConsensus::transferLeadership(Outbox &out) const
{
    std::optional<HostId> best;
    LogIndex most;
    for (const ReplicaId &voter : m_membership.voters) {
        const FollowerProgress *progress = m_progress.find(hostOf(voter));
        if (progress == nullptr || progress->replica != voter || progress->matchIndex < most)
            continue;
        best = hostOf(voter);
        most = progress->matchIndex;
    }
    if (best.has_value())
        out.send(*best, TimeoutNow{term()});
}

void RaftConsensus::receive(Instant now, const HostId &from, const AppendReply &message,
                            Outbox &out)
{
    if (message.term > term()) {
        becomeFollower(now, message.term, std::nullopt, out);
        return;
    }
    if (!isLeader() || message.term != term())
        return;
    if (message.index > m_log.lastIndex() || message.sentAt > now) {
        out.add(LogLine{true, from.value(),
                        "AppendReply rejected: it acknowledges entries beyond the end of the "
                        "log or a request with a send time in the future"});
        return;
    }
    const FollowerProgress *progress = m_progress.recordReply(now, from, message);
    if (progress == nullptr)
        return;
    m_contacts.recordReply(now, message.replica);
    confirmContacts(now, out);
    if (message.success)
        advanceCommit(now, out);
    if (isLeader() && m_progress.isDue(now, from, m_log.lastIndex(), m_commitIndex, m_membership))
        replicate(now, from, out);
}

void RaftConsensus::synced(Instant now, SyncToken token, Outbox &out)
{
    m_durableIndex.onSynced(token);
    if (isLeader())
        advanceCommit(now, out);
}

void RaftConsensus::advanceCommit(Instant now, Outbox &out)
{
    const LogIndex before = m_commitIndex;
    for (LogIndex index = m_commitIndex.next(); index <= m_log.lastIndex(); index = index.next()) {
        std::set<ReplicaId> holders = m_progress.holdersOf(index);
        if (m_durableIndex.index() >= index)
            holders.insert(m_identity.replica);
        if (!voting::isQuorum(m_membership, holders))
            break;
        // Entries of earlier terms are committed only together with an entry of this term.
        if (m_log.at(index).term == term())
            m_commitIndex = index;
    }
    if (m_commitIndex == before)
        return;
    applyCommitted();
    finishMembershipChange(now, out);
    // A host with a message in flight gets the new commit index after its reply; sending more
    // before that would repeat the same entries for each commit.
    if (isLeader())
        replicateAll(now, false, out);
}

void RaftConsensus::applyCommitted()
{
    while (m_appliedIndex < m_commitIndex) {
        m_appliedIndex = m_appliedIndex.next();
        const SharedEntry &entry = m_log.sharedAt(m_appliedIndex);
        const ApplyResult result = m_state.apply(*entry);
        m_newlyApplied.push_back({entry, result});
    }
}

void RaftConsensus::finishMembershipChange(Instant now, Outbox &out)
{
    const std::optional<Membership> committed = m_log.membershipAt(m_commitIndex);
    if (!committed.has_value() || *committed != m_membership)
        return;
    if (!m_membership.outgoing.empty()) {
        appendInCurrentTerm(now, {{}, {}, ProposalId(), Membership{m_membership.voters, {}}}, out);
        return;
    }
    if (!voting::isVoter(m_membership, m_identity.replica)) {
        // The other hosts must learn that the change is committed before this host steps down.
        replicateAll(now, true, out);
        becomeFollower(now, term(), std::nullopt, out);
    }
}

absl::Status RaftConsensus::propose(Instant now, const ProposalId &proposal,
                                    const ReplicatedCommand &command, Outbox &out)
{
    if (!isLeader())
        return notLeader(m_leader);
    if (!m_log.containsProposalAfter(m_appliedIndex, proposal))
        appendInCurrentTerm(now, {{}, {}, proposal, command}, out);
    return absl::OkStatus();
}

LogIndex RaftConsensus::append(Instant now, ReplicatedCommand command, Outbox &out)
{
    appendInCurrentTerm(now, {{}, {}, ProposalId(), std::move(command)}, out);
    return m_log.lastIndex();
}

void RaftConsensus::addHost(Instant now, const HostId &host)
{
    m_progress.addHost(host, now, m_log.lastIndex().next());
}

std::vector<ReplicaId> RaftConsensus::caughtUpReplicas(Instant now, Milliseconds span) const
{
    std::vector<ReplicaId> replicas;
    for (const ReplicaId &replica : m_progress.respondingWithin(now, span)) {
        const FollowerProgress *const progress = m_progress.find(hostOf(replica));
        if (isDurable(replica) && voting::hasCaughtUp(progress->matchIndex, m_commitIndex))
            replicas.push_back(replica);
    }
    return replicas;
}

bool RaftConsensus::isProposed(const ProposalId &proposal) const
{
    return m_log.containsProposalAfter(m_appliedIndex, proposal)
            || m_state.data().operatorResults.find(proposal) != nullptr;
}

absl::Status RaftConsensus::proposeVoters(Instant now, const ProposalId &proposal,
                                          const std::set<HostId> &hosts, Outbox &out)
{
    if (!isLeader())
        return notLeader(m_leader);
    if (isProposed(proposal))
        return absl::OkStatus();
    std::set<ReplicaId> voters;
    for (const HostId &host : hosts) {
        const auto staying
                = std::find_if(m_membership.voters.begin(), m_membership.voters.end(),
                               [&host](const ReplicaId &voter) { return hostOf(voter) == host; });
        const std::optional<ReplicaId> replica
                = staying == m_membership.voters.end() ? replicaOf(host) : *staying;
        if (!replica.has_value())
            return makeError(absl::StatusCode::kFailedPrecondition, Step::Agreement, host.value(),
                             "the host has not answered");
        voters.insert(*replica);
    }
    return proposeMembership(now, proposal, std::move(voters), out);
}

absl::Status RaftConsensus::proposeMembership(Instant now, const ProposalId &proposal,
                                              std::set<ReplicaId> voters, Outbox &out)
{
    if (!isLeader())
        return notLeader(m_leader);
    if (isProposed(proposal))
        return absl::OkStatus();
    const std::string self = m_directory.self.value();
    if (voters.empty())
        return makeError(absl::StatusCode::kInvalidArgument, Step::Agreement, self,
                         "name at least one voter");
    if (!m_membership.outgoing.empty())
        return makeError(absl::StatusCode::kAborted, Step::Agreement, self,
                         "another membership change is under way");
    for (const ReplicaId &voter : voters) {
        if (!isDurable(voter))
            return makeError(absl::StatusCode::kFailedPrecondition, Step::Agreement,
                             hostOf(voter).value(), "the host has no store");
    }
    appendInCurrentTerm(now, {{}, {}, proposal, Membership{std::move(voters), m_membership.voters}},
                        out);
    return absl::OkStatus();
}

bool RaftConsensus::canChangeMembership() const
{
    // Only one change at a time, and only after an entry of this term is committed. Uncommitted
    // entries of other kinds are allowed, since under load there always are some.
    const Membership committed = m_log.membershipAt(m_commitIndex).value_or(m_baseMembership);
    return isLeader() && m_membership.outgoing.empty() && committed == m_membership
            && m_log.termAt(m_commitIndex) == term();
}

void RaftConsensus::repairMembership(Instant now, Outbox &out)
{
    if (!canChangeMembership())
        return;
    const std::optional<Membership> change = voting::findStoreReplacement(
            m_membership, m_progress, now, m_timing.minElectionTimeout, m_commitIndex);
    if (!change.has_value())
        return;
    out.add(LogLine{true, "voters", "replacing a lost store as voter by its host's new store"});
    appendInCurrentTerm(now, {{}, {}, ProposalId(), *change}, out);
}

std::vector<AppliedEntry> RaftConsensus::takeApplied()
{
    return std::exchange(m_newlyApplied, {});
}

SnapshotRecord RaftConsensus::makeSnapshot() const
{
    return {m_appliedIndex, m_log.termAt(m_appliedIndex).value_or(m_log.baseTerm()),
            m_log.membershipAt(m_appliedIndex).value_or(m_baseMembership), m_state.data()};
}

std::vector<JournalRecord> RaftConsensus::compact()
{
    SnapshotRecord snapshot = makeSnapshot();
    const LogIndex base
            = m_log.chooseCompactionBase(m_appliedIndex, MaxRetainedEntries, MaxRetainedBytes);
    m_baseMembership = m_log.membershipAt(base).value_or(m_baseMembership);
    m_log.compact(base, m_log.termAt(base).value_or(snapshot.term));
    m_compactedBytes = m_log.bytes();
    std::vector<JournalRecord> records;
    records.emplace_back(std::move(snapshot));
    records.emplace_back(m_election.record());
    for (LogIndex index = m_appliedIndex.next(); index <= m_log.lastIndex(); index = index.next())
        records.emplace_back(m_log.at(index));
    return records;
}

std::optional<ReplicaId> RaftConsensus::replicaOf(const HostId &host) const
{
    if (host == m_directory.self)
        return m_identity.replica;
    const FollowerProgress *progress = m_progress.find(host);
    return progress == nullptr ? std::nullopt : progress->replica;
}

bool RaftConsensus::isVoting(const HostId &host) const
{
    const std::optional<ReplicaId> present = isLeader() ? replicaOf(host) : std::nullopt;
    // An uncommitted change may still be truncated, so the committed membership must agree.
    const Membership committed = m_log.membershipAt(m_commitIndex).value_or(m_baseMembership);
    return voting::countsInEveryMajority(m_membership, host, present)
            && voting::countsInEveryMajority(committed, host, present);
}

std::optional<Instant> RaftConsensus::lastReplyOf(const HostId &host) const
{
    const FollowerProgress *progress = m_progress.find(host);
    if (progress == nullptr)
        return std::nullopt;
    return progress->lastReply;
}

LogIndex RaftConsensus::appliedBy(const HostId &host) const
{
    if (host == m_directory.self)
        return m_appliedIndex;
    const FollowerProgress *progress = m_progress.find(host);
    return progress == nullptr ? LogIndex() : progress->appliedIndex;
}

} // namespace gentiancross
