#pragma once

#include "control/host_directory.h"
#include "core/peer_messages.h"
#include "core/replicated_commands.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gentiancross {

/** A leader's knowledge of one other host's log. */
struct FollowerProgress
{
    /** The store named in the host's last reply. */
    std::optional<ReplicaId> replica;
    LogIndex nextIndex{1};
    LogIndex matchIndex;
    LogIndex appliedIndex;
    Instant lastReply;
    Instant lastSent;
    /** True until the newest message that is not a resend has been answered. */
    bool inFlight = false;
    /** When that message was sent; replies to earlier messages do not acknowledge it. */
    Instant awaitedSentAt;
    /** The message in flight is a snapshot, which takes its receiver far longer than entries. */
    bool isSnapshotInFlight = false;
    /** The commit index in the last message. */
    LogIndex sentCommitIndex;
    /** The send time of the newest message that the host has answered. */
    Instant answeredSentAt;
    /** The unconfirmed contact query: the time on the host's own clock when it asked, and the time
     * on this host's clock when the query arrived. */
    std::optional<Instant> contactQuery;
    Instant contactQueryReceivedAt;
    /** The host's own time of its newest contact query that a quorum has confirmed. */
    Instant confirmedQuery;
};

/** Timeouts and intervals for sending to the other hosts. */
struct ReplicationTiming
{
    /** With nothing new to send, a message follows the last one after this interval. */
    Milliseconds heartbeatInterval;
    /** A message that has not been answered for this long is considered lost. */
    Milliseconds resendTimeout;
    /** The minimum time between the last message and one that carries only a new commit index. */
    Milliseconds commitDelay;
    /** The minimum time between two messages to a learner. */
    Milliseconds learnerInterval;
};

/**
 * Tracks the progress of the other hosts' logs on the leader and decides when each host is due a
 * message. Owned by RaftConsensus. Thread safety: owned by the control thread.
 */
class ReplicationProgress
{
public:
    ReplicationProgress(const HostDirectory &directory, const ReplicationTiming &timing);

    /** Resets all progress; a new leader sends entries from \a next on. */
    void reset(Instant now, LogIndex next);
    /** Starts tracking another host; does nothing if it is tracked already. */
    void addHost(const HostId &host, Instant now, LogIndex next);
    /** Records a reply; returns null if the host is not tracked. */
    FollowerProgress *recordReply(Instant now, const HostId &from, const AppendReply &reply);
    /** Precondition: the host is tracked. */
    FollowerProgress &at(const HostId &host) { return m_hosts.at(host); }

    /** The hosts that are due a message now: new entries or commit index, a resend or a heartbeat.
     */
    [[nodiscard]] std::vector<HostId> dueHosts(Instant now, LogIndex last, LogIndex commit,
                                               const Membership &membership) const;
    /** True if the host is one of them. Precondition: it is tracked. */
    [[nodiscard]] bool isDue(Instant now, const HostId &host, LogIndex last, LogIndex commit,
                             const Membership &membership) const;
    [[nodiscard]] std::vector<HostId> allHosts() const;
    /** The stores that hold the entry durably. */
    [[nodiscard]] std::set<ReplicaId> holdersOf(LogIndex index) const;
    /** The stores that have replied within \a span. */
    [[nodiscard]] std::set<ReplicaId> respondingWithin(Instant now, Milliseconds span) const;
    /** The send times of the newest answered message of each host, newest first. */
    [[nodiscard]] std::vector<Instant> answeredSendTimes() const;
    /** The stores that have answered a message sent at \a moment or later. */
    [[nodiscard]] std::set<ReplicaId> answeredSince(Instant moment) const;
    /** Confirms the contact queries received before \a moment; returns the hosts for which it is
     * the first confirmation. */
    std::vector<HostId> confirmQueriesBefore(Instant moment);
    /** The hosts that have not applied \a index yet. */
    [[nodiscard]] std::set<HostId> hostsBehind(LogIndex index) const;
    /** The host's progress, or null if it is not tracked. */
    [[nodiscard]] const FollowerProgress *find(const HostId &host) const;

private:
    ReplicationTiming m_timing;
    std::map<HostId, FollowerProgress> m_hosts;
};

} // namespace gentiancross
