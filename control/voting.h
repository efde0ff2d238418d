#pragma once

#include "control/replication_progress.h"
#include "core/replicated_commands.h"

#include <optional>
#include <set>

namespace gentiancross {

/** Quorum rules of the replicated log under a membership, used by RaftConsensus and the classes it
 * owns. All functions are reentrant. */
namespace voting {

/** True if a store that holds the log up to \a held lags so little that it may become a voter. */
bool hasCaughtUp(LogIndex held, LogIndex commit);

/** True if the replica is a voter; during joint consensus, in either set. */
bool isVoter(const Membership &membership, const ReplicaId &replica);

/** True if the replicas form a majority; during joint consensus, of both sets. */
bool isQuorum(const Membership &membership, const std::set<ReplicaId> &replicas);

/**
 * True if a store of the host is a voter in every set that needs a majority. \a present is the
 * host's current store; if it is not known, any of the host's stores is accepted.
 */
bool countsInEveryMajority(const Membership &membership, const HostId &host,
                           const std::optional<ReplicaId> &present);

/** The latest time such that a quorum, including \a self, has replied to messages sent at or after
 * it. */
Instant quorumAnsweredAt(const Membership &membership, const ReplicaId &self,
                         const ReplicationProgress &progress, Instant now);

/**
 * Returns the membership change that replaces a host's lost store by its new one, if there is such
 * a host and its new store is responding and has caught up with \a commit. Precondition: no
 * membership change is in progress.
 */
std::optional<Membership> findStoreReplacement(const Membership &membership,
                                               const ReplicationProgress &progress, Instant now,
                                               Milliseconds answeredWithin, LogIndex commit);

} // namespace voting

} // namespace gentiancross
