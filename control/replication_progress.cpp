#include "control/replication_progress.h"

#include "control/voting.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** A learner that misses this many entries gets them without waiting for its next batch. */
constexpr std::uint64_t LearnerBatch = 64;
/** Sent sooner, a second copy would reach a host that still decodes and writes the first one, and
 * keep it from doing anything else. */
constexpr Milliseconds SnapshotResend{6000};

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

void ReplicationProgress::restart(Instant now, LogIndex next)
{
    for (auto &[host, progress] : m_hosts) {
        progress = FollowerProgress();
        progress.next = next;
        // Until it answers, the former leader may have heard from it as late as now.
        progress.lastReply = now;
    }
}

void ReplicationProgress::add(const HostId &host, Instant now, LogIndex next)
{
    const auto [found, isNew] = m_hosts.try_emplace(host);
    if (!isNew)
        return;
    found->second.next = next;
    found->second.lastReply = now;
}

FollowerProgress *ReplicationProgress::answered(Instant now, const HostId &from,
                                                const AppendReply &reply)
{
    const auto found = m_hosts.find(from);
    if (found == m_hosts.end())
        return nullptr;
    FollowerProgress &progress = found->second;
    // Another store under the same host's name holds nothing that the former one acknowledged.
    if (progress.replica.has_value() && *progress.replica != reply.replica) {
        FollowerProgress fresh;
        fresh.next = progress.next;
        fresh.lastSent = progress.lastSent;
        fresh.awaited = progress.awaited;
        fresh.inFlight = progress.inFlight;
        fresh.isSnapshotInFlight = progress.isSnapshotInFlight;
        progress = std::move(fresh);
    }
    progress.replica = reply.replica;
    progress.answeredSentAt = std::max(progress.answeredSentAt, reply.sentAt);
    if (!progress.asked.has_value()) {
        progress.asked = reply.askedAt;
        progress.contactQueryReceivedAt = now;
    }
    progress.lastReply = now;
    // A host that stood still answers all that waited for it; each such answer would send the same
    // entries once more.
    if (reply.sentAt >= progress.awaited) {
        progress.inFlight = false;
        progress.isSnapshotInFlight = false;
    }
    progress.applied = reply.applied;
    if (reply.success) {
        progress.match = std::max(progress.match, reply.index);
        progress.next = std::max(progress.next, progress.match.next());
    } else {
        progress.next = std::max(reply.index.next(), LogIndex(1));
        progress.match = std::min(progress.match, reply.index);
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
        return sinceSent >= (progress.isSnapshotInFlight ? SnapshotResend : m_timing.resendTimeout);
    if (sinceSent >= m_timing.heartbeat)
        return true;
    // A host whose store is not known yet may have a vote.
    const bool isLearner
            = progress.replica.has_value() && !voting::isVoter(membership, *progress.replica);
    const bool isNear = progress.next.value() + LearnerBatch > last.value();
    if (isLearner && isNear && sinceSent < m_timing.learnerInterval)
        return false;
    const bool hasEntries = progress.next <= last;
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
        if (progress.replica.has_value() && progress.match >= index)
            holders.insert(*progress.replica);
    }
    return holders;
}

std::set<ReplicaId> ReplicationProgress::answering(Instant now, Milliseconds span) const
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
        if (!progress.asked.has_value() || progress.contactQueryReceivedAt >= moment)
            continue;
        if (progress.confirmed == Instant())
            first.push_back(host);
        progress.confirmed = *progress.asked;
        progress.asked.reset();
    }
    return first;
}

std::set<HostId> ReplicationProgress::behind(LogIndex index) const
{
    std::set<HostId> behind;
    for (const auto &[host, progress] : m_hosts) {
        if (progress.applied < index)
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
