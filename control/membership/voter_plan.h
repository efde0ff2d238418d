#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace gentiancross {

/** A voter that the leader has not heard from for some time. */
struct SilentVoter
{
    ReplicaId replica;
    Milliseconds silence;
};

/** What the leader of a log knows of its voters and of the replicas that could replace them. */
struct VoterStatus
{
    std::set<ReplicaId> voters;
    std::vector<SilentVoter> silent;
    /** Durable replicas on hosts without a vote, which respond and have caught up. */
    std::vector<ReplicaId> spares;
};

struct VoterReplacement
{
    /** Empty if the successor is an additional voter. */
    std::optional<SilentVoter> former;
    ReplicaId successor;
};

/** A membership to propose, and how it differs from the present one. */
struct VoterPlan
{
    std::set<ReplicaId> voters;
    std::vector<VoterReplacement> replacements;
};

/**
 * Plans the next membership: replaces silent voters by spares, the longest silent one first, then
 * adds spares up to \a wanted voters. All changes that are possible now are made at once, since the
 * next loss may come before a second change. Returns nothing if there is nothing to change, or if
 * the voters that respond would not be a majority of the new ones. Reentrant.
 */
std::optional<VoterPlan> planVoters(const VoterStatus &status, std::size_t wanted);

} // namespace gentiancross
