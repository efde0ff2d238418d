#pragma once

#include "control/replication_progress.h"
#include "core/replicated_commands.h"

#include <optional>
#include <set>

namespace gentiancross {

/** Whose word counts in the log, by its membership. All functions are reentrant. */
namespace voting {

/** True if a store that holds the log up to \a held lacks so little that it may get a vote. */
bool hasCaughtUp(LogIndex held, LogIndex commit);

/** True if the replica has a vote; while a change is under way, in either set. */
bool isVoter(const Membership &membership, const ReplicaId &replica);

/** True if these are a majority; while a change is under way, of both sets. */
bool isQuorum(const Membership &membership, const std::set<ReplicaId> &replicas);

/**
 * True if the host's store counts in every majority. \a present is the store that it has now; any
 * of its stores will do if that is not known.
 */
bool counts(const Membership &membership, const HostId &host,
            const std::optional<ReplicaId> &present);

/** The newest moment whose message a quorum has answered, \a self among them. */
Instant quorumAnsweredAt(const Membership &membership, const ReplicaId &self,
                         const ReplicationProgress &progress, Instant now);

/**
 * The change that puts a host's new store in the place of the one it lost, if there is such a host
 * and its new store answers and has caught up with \a commit. Precondition: no change is under way.
 */
std::optional<Membership> repair(const Membership &membership, const ReplicationProgress &progress,
                                 Instant now, Milliseconds answeredWithin, LogIndex commit);

} // namespace voting

} // namespace gentiancross
