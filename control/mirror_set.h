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
 * The authority's side of mirroring: sends its records to the replicas of its data centre, knows
 * which records are promised, and holds the lease that the in-sync replicas renew.
 *
 * A successor is always one of the in-sync replicas, and each of them promises with every answer
 * not to succeed for a lease. So the lease holds while all of them answer, cut off or not.
 * Thread safety: owned by the control thread.
 */
class MirrorSet
{
public:
    /**  held is the last record that the copy holds;  out tells whether it is synced here. */
    MirrorSet(const HostDirectory &directory, Identity identity, DataCentreId dataCentre,
              const AuthorityData &authority, RecordSequence held, Instant now, const Outbox &out);

    /** Notes a record that the copy has just applied and this event persists. */
    void recordAppended(const DataCentreRecord &record, RecordSequence sequence, const Outbox &out);
    void synced(SyncToken token);
    void receive(Instant now, const HostId &from, const MirrorReply &reply);
    /** Counts for the lease alone: a mirror whose disk hangs is still taken out of the set. */
    void receive(const HostId &from, const MirrorLease &lease);
    /** Sends what mirrors lack, and heartbeats. */
    void flush(Instant now, const DataCentreCopy &copy, Outbox &out);
    /** The agreed in-sync set is now this one. */
    void agreed(const AuthorityData &authority);

    /** The in-sync set to propose, or nothing if the present one is right. Marks it as proposed. */
    std::optional<SetInSync> nextChange(Instant now);

    /** The authority may act before this point. */
    [[nodiscard]] Instant leaseEnd() const;
    /** Records up to here survive the loss of any replica but the last. */
    [[nodiscard]] RecordSequence promised() const { return m_promised; }
    /** True if some replica that must hold each record outlives its process. */
    [[nodiscard]] bool hasDurableReplica() const;
    /** The in-sync replica best suited to succeed at once, if there is another. */
    [[nodiscard]] std::optional<HostId> successor() const;

private:
    struct Mirror
    {
        std::optional<ReplicaId> replica;
        RecordSequence acked;
        RecordSequence sent;
        bool synced = false;
        /** True until an answer shows that the whole state, sent at `copySentAt`, came or was lost.
         */
        bool isCopyInFlight = false;
        Instant copySentAt;
        std::optional<Instant> answeredUpTo;
        Instant lastReply;
        Instant lastSent;
        /** When it was last found to lack records; answers to earlier messages say nothing new. */
        Instant rewoundAt;
    };

    struct Unsynced
    {
        SyncToken token;
        RecordSequence sequence;
    };

    void chooseMirrors(Instant now);
    /** Mirrors elsewhere are kept only as long as the data centre has no disk that answers. */
    void dropRemoteMirrors();
    void sendTo(Instant now, const HostId &host, Mirror &mirror, const DataCentreCopy &copy,
                Outbox &out);
    void sendCopy(Instant now, const HostId &host, Mirror &mirror, const DataCentreCopy &copy,
                  Outbox &out) const;
    [[nodiscard]] MirrorAppend makeMessage(Instant now, RecordSequence previous) const;
    [[nodiscard]] std::set<ReplicaId> required() const;
    void chooseJoining(Instant now);
    [[nodiscard]] bool mayBeInSync(Instant now, const Mirror &mirror) const;
    [[nodiscard]] RecordSequence heldByAll() const;
    void advancePromised();
    [[nodiscard]] const Mirror *mirrorOf(const ReplicaId &replica) const;
    [[nodiscard]] bool isAnswering(Instant now, const Mirror &mirror) const;

    const HostDirectory &m_directory;
    Identity m_identity;
    DataCentreId m_dataCentre;
    AuthorityData m_agreed;
    std::optional<std::set<ReplicaId>> m_proposed;
    /** Replicas that are to be proposed; they must hold what is promised, but need not renew the
     * lease. */
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
