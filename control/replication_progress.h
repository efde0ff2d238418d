#pragma once

#include "control/host_directory.h"
#include "core/peer_messages.h"
#include "core/replicated_commands.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gentiancross {

/** What a leader knows of one other host's log. */
struct FollowerProgress
{
    /** The store that the host last answered as. */
    std::optional<ReplicaId> replica;
    LogIndex next{1};
    LogIndex match;
    LogIndex applied;
    Instant lastReply;
    Instant lastSent;
    /** True until the newest message that carries news is answered. */
    bool inFlight = false;
    /** When that message was sent; answers to earlier ones say nothing of it. */
    Instant awaited;
    /** What is under way is a whole state, which takes its receiver far longer than entries. */
    bool isSnapshotInFlight = false;
    /** The commit index that the last message told. */
    LogIndex sentCommitIndex;
    /** When the newest message that it has answered was sent. */
    Instant answeredSentAt;
    /** The host's own time when it asked, and this host's when that came, until it is confirmed. */
    std::optional<Instant> asked;
    Instant contactQueryReceivedAt;
    /** The host's own time of the newest question that a quorum stood behind. */
    Instant confirmed;
};

/** When a leader sends to the other hosts. */
struct ReplicationTiming
{
    /** Without news a message is sent this long after the last one. */
    Milliseconds heartbeat;
    /** A message without an answer for this long counts as lost. */
    Milliseconds resendTimeout;
    /** The least time between the last message and one that carries a commit index alone. */
    Milliseconds commitDelay;
    /** The least time between two messages to a host without a vote. */
    Milliseconds learnerInterval;
};

/**
 * What a leader knows of the other hosts' logs, and when each is to be sent something.
 * Thread safety: owned by the control thread.
 */
class ReplicationProgress
{
public:
    ReplicationProgress(const HostDirectory &directory, const ReplicationTiming &timing);

    /** Forgets all; a new leader sends entries from \a next on. */
    void restart(Instant now, LogIndex next);
    /** Follows another host; does nothing if it is followed already. */
    void add(const HostId &host, Instant now, LogIndex next);
    /** Takes an answer in; returns null if the host is not known. */
    FollowerProgress *answered(Instant now, const HostId &from, const AppendReply &reply);
    /** Precondition: the host is known. */
    FollowerProgress &at(const HostId &host) { return m_hosts.at(host); }

    /** The hosts that are to be sent something now: news, a repetition or a heartbeat. */
    [[nodiscard]] std::vector<HostId> dueHosts(Instant now, LogIndex last, LogIndex commit,
                                               const Membership &membership) const;
    /** True if the host is one of them. Precondition: it is known. */
    [[nodiscard]] bool isDue(Instant now, const HostId &host, LogIndex last, LogIndex commit,
                             const Membership &membership) const;
    [[nodiscard]] std::vector<HostId> allHosts() const;
    /** The stores that hold the entry durably. */
    [[nodiscard]] std::set<ReplicaId> holdersOf(LogIndex index) const;
    /** The stores that have answered within \a span. */
    [[nodiscard]] std::set<ReplicaId> answering(Instant now, Milliseconds span) const;
    /** The moments whose messages were answered, newest first. */
    [[nodiscard]] std::vector<Instant> answeredSendTimes() const;
    /** The stores that have answered a message sent at \a moment or later. */
    [[nodiscard]] std::set<ReplicaId> answeredSince(Instant moment) const;
    /** Confirms the questions that came before \a moment; returns the hosts that had none before.
     */
    std::vector<HostId> confirmQueriesBefore(Instant moment);
    /** Hosts that have not applied \a index yet. */
    [[nodiscard]] std::set<HostId> behind(LogIndex index) const;
    /** The host's progress, or null if it is not known. */
    [[nodiscard]] const FollowerProgress *find(const HostId &host) const;

private:
    ReplicationTiming m_timing;
    std::map<HostId, FollowerProgress> m_hosts;
};

} // namespace gentiancross
