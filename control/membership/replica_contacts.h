#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>

namespace gentiancross {

/**
 * Records when a leader has last heard from each replica. A replica that has not replied counts as
 * heard when the leader took over, so that every member of the log has a contact, whether its host
 * is known by other means or not. Owned by RaftConsensus. Thread safety: owned by the control
 * thread.
 */
class ReplicaContacts
{
public:
    /** Forgets all replies; called when this host becomes the leader. */
    void beginTerm(Instant now);
    /** Records a reply of the replica. */
    void recordReply(Instant now, const ReplicaId &replica) { m_replies[replica] = now; }
    /** The last reply in this term, or the time at which the leader took over. */
    [[nodiscard]] Instant lastContact(const ReplicaId &replica) const;

private:
    Instant m_termBegan;
    std::map<ReplicaId, Instant> m_replies;
};

} // namespace gentiancross
