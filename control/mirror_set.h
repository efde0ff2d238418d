#pragma once

#include "control/data_centre_copy.h"
#include "control/host_directory.h"
#include "control/lease_times.h"
#include "control/outbox.h"
#include "core/replicated_data.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace gentiancross {

/**
 * Replicates an authority's records to the mirrors of its data centre, and owns the in-sync set,
 * the promised sequence and the authority's lease. Owned by a DataCentreAuthority.
 *
 * A record is promised once every required replica holds it. Only an in-sync replica can succeed
 * the authority, and with every reply it promises not to do so for one lease period. So the lease
 * is valid as long as all in-sync replicas reply, even if the authority is cut off from the log.
 * Thread safety: owned by the control thread.
 */
class MirrorSet
{
public:
    /** \a held is the last record that the copy holds; \a out shows whether it is synced here. */
    MirrorSet(const HostDirectory &directory, Identity identity, DataCentreId dataCentre,
              const AuthorityData &authority, RecordSequence held, Instant now, const Outbox &out);

    /** Queues a record that the copy has just applied and that the current event persists. */
    void recordAppended(const DataCentreRecord &record, RecordSequence sequence, const Outbox &out);
    void synced(SyncToken token);
    void receive(Instant now, const HostId &from, const MirrorReply &reply);
    /** Extends the lease only. It does not count as a reply, so a mirror whose disk hangs is still
     * removed from the in-sync set. */
    void receive(const HostId &from, const MirrorLease &lease);
    /** Sends each mirror the records it lacks, or a heartbeat if one is due. */
    void flush(Instant now, const DataCentreCopy &copy, Outbox &out);
    /** Adopts the in-sync set that has been agreed in the log. */
    void updateAgreed(const AuthorityData &authority);

    /** Returns the in-sync set to propose and marks it as proposed, or nothing if no change is
     * needed. */
    std::optional<SetInSync> nextChange(Instant now);

    /** The authority may act only before this instant. */
    [[nodiscard]] Instant leaseEnd() const;
    /** The last promised record: all up to it survive as long as one in-sync replica does. */
    [[nodiscard]] RecordSequence promised() const { return m_promised; }
    /** True if some in-sync replica is durable, that is, outlives its process. */
    [[nodiscard]] bool hasDurableReplica() const;
    /** The host of the in-sync replica to hand over to, if there is one besides this; one in the
     * data centre is preferred. */
    [[nodiscard]] std::optional<HostId> successor() const;

private:
    struct Mirror
    {
        std::optional<ReplicaId> replica;
        RecordSequence acked;
        RecordSequence sent;
        bool synced = false;
        /** True until a reply shows that the full copy sent at `copySentAt` arrived or was lost. */
        bool isCopyInFlight = false;
        Instant copySentAt;
        std::optional<Instant> answeredUpTo;
        Instant lastReply;
        Instant lastSent;
        /** When a gap was last found; replies to earlier messages report the same gap again. */
        Instant rewoundAt;
    };

    struct Unsynced
    {
        SyncToken token;
        RecordSequence sequence;
    };

    void chooseMirrors(Instant now);
    /** Drops mirrors outside the data centre that are not required. Called when a disk within the
     * data centre answers. */
    void dropRemoteMirrors();
    void sendTo(Instant now, const HostId &host, Mirror &mirror, const DataCentreCopy &copy,
                Outbox &out);
    void sendCopy(Instant now, const HostId &host, Mirror &mirror, const DataCentreCopy &copy,
                  Outbox &out) const;
    [[nodiscard]] MirrorAppend makeMessage(Instant now, RecordSequence previous) const;
    [[nodiscard]] std::set<ReplicaId> required() const;
    void chooseJoining(Instant now);
    [[nodiscard]] bool mayBeInSync(Instant now, const Mirror &mirror) const;
    [[nodiscard]] RecordSequence heldByAllRequired() const;
    void advancePromised();
    [[nodiscard]] const Mirror *mirrorOf(const ReplicaId &replica) const;
    [[nodiscard]] bool isAnswering(Instant now, const Mirror &mirror) const;

    const HostDirectory &m_directory;
    Identity m_identity;
    DataCentreId m_dataCentre;
    AuthorityData m_agreed;
    std::optional<std::set<ReplicaId>> m_proposed;
    /** Replicas that are catching up before they are proposed. Records are promised only once these
     * hold them too, but they need not renew the lease. */
    std::set<ReplicaId> m_joining;
    std::map<HostId, Mirror> m_mirrors;
    std::deque<DataCentreRecord> m_recent;
    Instant m_createdAt;
    RecordSequence m_last;
    RecordSequence m_ownSynced;
    RecordSequence m_promised;
    std::deque<Unsynced> m_unsynced;
};

} // namespace gentiancross
