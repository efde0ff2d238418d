#pragma once

#include "control/membership/voter_options.h"
#include "control/membership/voter_plan.h"
#include "control/outbox.h"
#include "control/raft_consensus.h"

#include <cstdint>
#include <map>

namespace gentiancross {

/**
 * Keeps the log's voters alive while this host leads: finds the silent ones and proposes to replace
 * them. Each plan is made from the present state alone, so that a proposal that is lost, or a spare
 * that fails meanwhile, leaves nothing behind. Owned by CellRoot. Thread safety: owned by the
 * control thread.
 */
class VoterSupervisor
{
public:
    /** \a raft must outlive this object. \a session makes the proposals of this process unique. */
    VoterSupervisor(RaftConsensus &raft, SessionId session, VoterOptions options);

    /** Checks the voters now and then. Call at each tick; does nothing unless this host leads. */
    void tick(Instant now, Outbox &out);

private:
    [[nodiscard]] VoterStatus observe(Instant now) const;
    /** Logs voters that have become silent or respond again. */
    void reportSilence(Instant now, const VoterStatus &status, Outbox &out);
    /** Logs silent voters whose replacement is committed. */
    void reportReplacements(Instant now, Outbox &out);
    void propose(Instant now, const VoterPlan &plan, Outbox &out);

    RaftConsensus &m_raft;
    SessionId m_session;
    VoterOptions m_options;
    Instant m_nextCheck;
    std::uint64_t m_proposals = 0;
    /** The voters that were found silent, with the time at which they were last heard. */
    std::map<ReplicaId, Instant> m_silentSince;
};

} // namespace gentiancross
