#include "control/replication_progress.h"

#include <algorithm>

namespace gentiancross {

ReplicationProgress::ReplicationProgress(const HostDirectory &directory, Milliseconds heartbeat,
                                         Milliseconds resendAfter)
    : m_heartbeat(heartbeat)
    , m_resendAfter(resendAfter)
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
        progress = std::move(fresh);
    }
    progress.replica = reply.replica;
    progress.answeredSentAt = std::max(progress.answeredSentAt, reply.sentAt);
    if (!progress.asked.has_value()) {
        progress.asked = reply.askedAt;
        progress.askedReceivedAt = now;
    }
    progress.lastReply = now;
    progress.inFlight = false;
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

std::vector<HostId> ReplicationProgress::dueHosts(Instant now, LogIndex last, LogIndex commit) const
{
    std::vector<HostId> due;
    for (const auto &[host, progress] : m_hosts) {
        const bool hasNews = progress.next <= last || progress.toldCommit < commit;
        const bool isLost = progress.inFlight && now - progress.lastSent >= m_resendAfter;
        const bool isHeartbeatDue = now - progress.lastSent >= m_heartbeat;
        if (isLost || (!progress.inFlight && (hasNews || isHeartbeatDue)))
            due.push_back(host);
    }
    return due;
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

std::vector<Instant> ReplicationProgress::answeredMoments() const
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

std::vector<HostId> ReplicationProgress::confirmBefore(Instant moment)
{
    std::vector<HostId> first;
    for (auto &[host, progress] : m_hosts) {
        if (!progress.asked.has_value() || progress.askedReceivedAt >= moment)
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
