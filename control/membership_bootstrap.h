#pragma once

#include "control/host_directory.h"
#include "control/outbox.h"
#include "core/peer_messages.h"

#include <map>
#include <optional>

namespace gentiancross {

/**
 * Determines the log's first membership for RaftConsensus by exchanging Hello messages: once every
 * initial voter has reported a store that never held a record, all of them derive the same set. A
 * store that is lost later cannot start a second log, since the other stores are no longer fresh.
 * Thread safety: owned by the control thread.
 */
class MembershipBootstrap
{
public:
    MembershipBootstrap(const HostDirectory &directory, ReplicaId replica);

    /** Sets whether this host's store has never held a record. */
    void setFresh(bool fresh) { m_fresh = fresh; }
    /** Sends Hello to the other hosts periodically; returns the membership once it is known. */
    std::optional<Membership> tick(Instant now, Outbox &out);
    /** Records a Hello; replies to a new host or store unless \a isBootstrapped. */
    void receive(const HostId &from, const Hello &message, bool isBootstrapped, Outbox &out);

private:
    [[nodiscard]] Hello makeHello() const;

    const HostDirectory &m_directory;
    ReplicaId m_replica;
    bool m_fresh = false;
    Instant m_nextHelloAt;
    std::map<HostId, Hello> m_hellos;
};

} // namespace gentiancross
