#include "control/replication_progress.h"

#include "control/voting.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** A learner that lags by this many entries gets them without waiting for its next batch. */
constexpr std::uint64_t MaxLearnerBatchLag = 64;
/** If resent sooner, a second copy would reach a host that is still decoding and writing the first
 * one, and block it from doing anything else. */
constexpr Milliseconds SnapshotResendTimeout{6000};

} // namespace

ReplicationProgress::ReplicationProgress(const HostDirectory &directory,
                                         const ReplicationTiming &timing)
    : m_timing(timing)
{
    for (const auto &[host, info] : directory.hosts) {
        if (host != directory.self)
            m_hosts.emplace(host, FollowerProgress());
    }
}

void ReplicationProgress::reset(Instant now, LogIndex next)
{
    for (auto &[host, progress] : m_hosts) {
        progress = FollowerProgress();
        progress.nextIndex = next;
        // Until it replies, assume that the former leader heard from it as late as now.
        progress.lastReply = now;
    }
}

void ReplicationProgress::addHost(const HostId &host, Instant now, LogIndex next)
{
    const auto [found, isNew] = m_hosts.try_emplace(host);
    if (!isNew)
        return;
    found->second.nextIndex = next;
    found->second.lastReply = now;
}

FollowerProgress *ReplicationProgress::recordReply(Instant now, const HostId &from,
                                                   const AppendReply &reply)
{
    const auto found = m_hosts.find(from);
    if (found == m_hosts.end())
        return nullptr;
    FollowerProgress &progress = found->second;
    // A new store of the same host holds nothing that the former store acknowledged.
    if (progress.replica.has_value() && *progress.replica != reply.replica) {
        FollowerProgress fresh;
        fresh.nextIndex = progress.nextIndex;
        fresh.lastSent = progress.lastSent;
        fresh.awaitedSentAt = progress.awaitedSentAt;
        fresh.inFlight = progress.inFlight;
        fresh.isSnapshotInFlight = progress.isSnapshotInFlight;
        progress = std::move(fresh);
    }
    progress.replica = reply.replica;
    progress.answeredSentAt = std::max(progress.answeredSentAt, reply.sentAt);
    if (!progress.contactQuery.has_value()) {
        progress.contactQuery = reply.askedAt;
        progress.contactQueryReceivedAt = now;
    }
    progress.lastReply = now;
    // A host that was paused answers all the messages that accumulated for it; without this check
    // each of these replies would cause the same entries to be sent again.
    if (reply.sentAt >= progress.awaitedSentAt) {
        progress.inFlight = false;
        progress.isSnapshotInFlight = false;
    }
    progress.appliedIndex = reply.applied;
    if (reply.success) {
        progress.matchIndex = std::max(progress.matchIndex, reply.index);
        progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex.next());
    } else {
        progress.nextIndex = std::max(reply.index.next(), LogIndex(1));
        progress.matchIndex = std::min(progress.matchIndex, reply.index);
    }
    return &progress;
}

std::vector<HostId> ReplicationProgress::dueHosts(Instant now, LogIndex last, LogIndex commit,
                                                  const Membership &membership) const
{
    std::vector<HostId> due;
    for (const auto &[host, progress] : m_hosts) {
        if (isDue(now, host, last, commit, membership))
            due.push_back(host);
    }
    return due;
}

bool ReplicationProgress::isDue(Instant now, const HostId &host, LogIndex last, LogIndex commit,
                                const Membership &membership) const
{
    const FollowerProgress &progress = m_hosts.at(host);
    const Milliseconds sinceSent = now - progress.lastSent;
    if (progress.inFlight)
        return sinceSent
                >= (progress.isSnapshotInFlight ? SnapshotResendTimeout : m_timing.resendTimeout);
    if (sinceSent >= m_timing.heartbeatInterval)
        return true;
    // A host whose store is not known yet may be a voter.
    const bool isLearner
            = progress.replica.has_value() && !voting::isVoter(membership, *progress.replica);
    const bool isNear = progress.nextIndex.value() + MaxLearnerBatchLag > last.value();
    if (isLearner && isNear && sinceSent < m_timing.learnerInterval)
        return false;
    const bool hasEntries = progress.nextIndex <= last;
    return hasEntries || (progress.sentCommitIndex < commit && sinceSent >= m_timing.commitDelay);
}

std::vector<HostId> ReplicationProgress::allHosts() const
{
    std::vector<HostId> hosts;
    for (const auto &[host, progress] : m_hosts)
        hosts.push_back(host);
    return hosts;
}

std::set<ReplicaId> ReplicationProgress::holdersOf(LogIndex index) const
{
    std::set<ReplicaId> holders;
    for (const auto &[host, progress] : m_hosts) {
        if (progress.replica.has_value() && progress.matchIndex >= index)
            holders.insert(*progress.replica);
    }
    return holders;
}

std::set<ReplicaId> ReplicationProgress::respondingWithin(Instant now, Milliseconds span) const
{
    std::set<ReplicaId> present;
    for (const auto &[host, progress] : m_hosts) {
        if (progress.replica.has_value() && now - progress.lastReply < span)
            present.insert(*progress.replica);
    }
    return present;
}

std::vector<Instant> ReplicationProgress::answeredSendTimes() const
{
    std::vector<Instant> moments;
    for (const auto &[host, progress] : m_hosts)
        moments.push_back(progress.answeredSentAt);
    std::sort(moments.rbegin(), moments.rend());
    return moments;
}

std::set<ReplicaId> ReplicationProgress::answeredSince(Instant moment) const
{
    std::set<ReplicaId> replicas;
    for (const auto &[host, progress] : m_hosts) {
        if (progress.replica.has_value() && progress.answeredSentAt >= moment)
            replicas.insert(*progress.replica);
    }
    return replicas;
}

std::vector<HostId> ReplicationProgress::confirmQueriesBefore(Instant moment)
{
    std::vector<HostId> first;
    for (auto &[host, progress] : m_hosts) {
        if (!progress.contactQuery.has_value() || progress.contactQueryReceivedAt >= moment)
            continue;
        if (progress.confirmedQuery == Instant())
            first.push_back(host);
        progress.confirmedQuery = *progress.contactQuery;
        progress.contactQuery.reset();
    }
    return first;
}

std::set<HostId> ReplicationProgress::hostsBehind(LogIndex index) const
{
    std::set<HostId> behind;
    for (const auto &[host, progress] : m_hosts) {
        if (progress.appliedIndex < index)
            behind.insert(host);
    }
    return behind;
}

const FollowerProgress *ReplicationProgress::find(const HostId &host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second;
}

} // namespace gentiancross
