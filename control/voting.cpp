#include "control/voting.h"

#include <algorithm>

namespace gentiancross::voting {

namespace {

/** The number of entries by which a new voter may lag behind the leader when it is admitted. */
constexpr std::uint64_t MaxCatchUpLag = 64;

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
    return held.value() + MaxCatchUpLag >= commit.value();
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

bool countsInEveryMajority(const Membership &membership, const HostId &host,
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

std::optional<Membership> findStoreReplacement(const Membership &membership,
                                               const ReplicationProgress &progress, Instant now,
                                               Milliseconds answeredWithin, LogIndex commit)
{
    for (const ReplicaId &voter : membership.voters) {
        const FollowerProgress *host = progress.find(hostOf(voter));
        if (host == nullptr || !host->replica.has_value())
            continue;
        if (*host->replica == voter || !isDurable(*host->replica))
            continue;
        // The host has come back with another store, so the old voter is lost permanently. Its
        // replacement must have caught up and be responding.
        if (!hasCaughtUp(host->matchIndex, commit) || now - host->lastReply >= answeredWithin)
            continue;
        Membership change{membership.voters, membership.voters};
        change.voters.erase(voter);
        change.voters.insert(*host->replica);
        return change;
    }
    return std::nullopt;
}

} // namespace gentiancross::voting
