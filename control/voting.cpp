#include "control/voting.h"

#include <algorithm>

namespace gentiancross::voting {

namespace {

/** A new voter may lag behind the leader by this many entries when it is admitted. */
constexpr std::uint64_t CatchUpSlack = 64;

bool hasMajority(const std::set<ReplicaId> &group, const std::set<ReplicaId> &present)
{
    const auto count = std::count_if(group.begin(), group.end(), [&](const ReplicaId &replica) {
        return present.contains(replica);
    });
    return static_cast<std::size_t>(count) * 2 > group.size();
}

} // namespace

bool hasCaughtUp(LogIndex held, LogIndex commit)
{
    return held.value() + CatchUpSlack >= commit.value();
}

bool isVoter(const Membership &membership, const ReplicaId &replica)
{
    return membership.voters.contains(replica) || membership.outgoing.contains(replica);
}

bool isQuorum(const Membership &membership, const std::set<ReplicaId> &replicas)
{
    if (!hasMajority(membership.voters, replicas))
        return false;
    return membership.outgoing.empty() || hasMajority(membership.outgoing, replicas);
}

bool counts(const Membership &membership, const HostId &host,
            const std::optional<ReplicaId> &present)
{
    const auto holds = [&](const std::set<ReplicaId> &voters) {
        return std::any_of(voters.begin(), voters.end(), [&](const ReplicaId &voter) {
            return hostOf(voter) == host && present.value_or(voter) == voter;
        });
    };
    return holds(membership.voters) && (membership.outgoing.empty() || holds(membership.outgoing));
}

Instant quorumAnsweredAt(const Membership &membership, const ReplicaId &self,
                         const ReplicationProgress &progress, Instant now)
{
    if (isQuorum(membership, {self}))
        return now;
    for (const Instant moment : progress.answeredSendTimes()) {
        std::set<ReplicaId> replicas = progress.answeredSince(moment);
        replicas.insert(self);
        if (isQuorum(membership, replicas))
            return moment;
    }
    return {};
}

std::optional<Membership> repair(const Membership &membership, const ReplicationProgress &progress,
                                 Instant now, Milliseconds answeredWithin, LogIndex commit)
{
    for (const ReplicaId &voter : membership.voters) {
        const FollowerProgress *host = progress.find(hostOf(voter));
        if (host == nullptr || !host->replica.has_value())
            continue;
        if (*host->replica == voter || !isDurable(*host->replica))
            continue;
        // The host came back with another store: the voter is gone for good and its successor has
        // caught up.
        if (!hasCaughtUp(host->match, commit) || now - host->lastReply >= answeredWithin)
            continue;
        Membership change{membership.voters, membership.voters};
        change.voters.erase(voter);
        change.voters.insert(*host->replica);
        return change;
    }
    return std::nullopt;
}

} // namespace gentiancross::voting
