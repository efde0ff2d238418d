#pragma once

#include "control/host_directory.h"
#include "control/outbox.h"
#include "core/peer_messages.h"

#include <map>
#include <optional>

namespace gentiancross {

/**
 * Finds the log's first membership: once every initial voter has shown a store that never held a
 * record, each of them arrives at the same set. A store that was lost later never leads to a second
 * log, since the others are not fresh any more. Thread safety: owned by the control thread.
 */
class MembershipBootstrap
{
public:
    MembershipBootstrap(const HostDirectory &directory, ReplicaId replica);

    /** Says whether this host's store has never held a record. */
    void setFresh(bool fresh) { m_fresh = fresh; }
    /** Greets the others from time to time; returns the membership when it is known. */
    std::optional<Membership> tick(Instant now, Outbox &out);
    /** Takes a greeting in; answers news, unless \a isFounded. */
    void receive(const HostId &from, const Hello &message, bool isFounded, Outbox &out);

private:
    [[nodiscard]] Hello own() const;

    const HostDirectory &m_directory;
    ReplicaId m_replica;
    bool m_fresh = false;
    Instant m_nextHello;
    std::map<HostId, Hello> m_hellos;
};

} // namespace gentiancross
