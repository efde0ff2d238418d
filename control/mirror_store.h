#pragma once

#include "control/data_centre_copy.h"
#include "control/proposer.h"
#include "control/raft_consensus.h"

#include <map>
#include <optional>
#include <vector>

namespace gentiancross {

/**
 * Owns this host's copies of data centre states and its claims to succeed failed authorities.
 * HostReducer passes it the messages of authorities, ticks and recovered journal records.
 *
 * A claim waits until this host has answered no heartbeat of the authority for one lease period,
 * clock drift included. After claiming, the host no longer answers messages of the old epoch.
 * Thread safety: owned by the control thread.
 */
class MirrorStore
{
public:
    MirrorStore(const HostDirectory &directory, Identity identity, RaftConsensus &raft,
                Proposer &proposer);

    /** Replays one durable journal record. Call in the order in which they were written. */
    void recover(const JournalRecord &record);
    /** Ends the recovery. Earlier runs of this host may have answered authorities until \a now. */
    void finishRecovery(Instant now);

    void receive(Instant now, const HostId &from, const MirrorAppend &message, Outbox &out);
    void receive(Instant now, const HostId &from, const HandOver &message, Outbox &out);
    void tick(Instant now, Outbox &out);

    /** Returns the copy of \a dataCentre, creating it if there is none. */
    DataCentreCopy &copyOf(const DataCentreId &dataCentre) { return m_mirrored[dataCentre].copy; }
    /** The address at which the data centre's authority serves callers and workers, if one of its
     * messages arrived within the last lease period. */
    [[nodiscard]] std::optional<std::string> authorityAddress(Instant now,
                                                              const DataCentreId &dataCentre) const;
    /** Returns the journal records that rebuild all copies. */
    [[nodiscard]] std::vector<JournalRecord> compact() const;
    [[nodiscard]] std::size_t recordCount() const;
    /** Makes no more claims. Called when the host shuts down. */
    void stopClaiming() { m_mayClaim = false; }

private:
    struct Mirrored
    {
        DataCentreCopy copy;
        Instant lastAnswered;
        Instant lastHeard;
        /** When the lease was last renewed before a disk sync had completed. */
        Instant lastRenewed;
        std::string callerAddress;
        std::optional<ProposalId> claim;
        Epoch claimedFrom;
    };

    [[nodiscard]] bool mayClaim(Instant now, const DataCentreId &dataCentre,
                                const Mirrored &mirrored, const AuthorityData *authority) const;
    [[nodiscard]] bool mayClaimInitially(Instant now, const DataCentreId &dataCentre) const;
    /** Renews the authority's lease at once if the reply has to wait for a disk sync. */
    void renewLeaseBeforeSync(Instant now, const HostId &from, const MirrorAppend &message,
                              Mirrored &mirrored, Outbox &out) const;
    void claim(Instant now, const DataCentreId &dataCentre, Mirrored &mirrored, Epoch from,
               Outbox &out);

    const HostDirectory &m_directory;
    Identity m_identity;
    RaftConsensus &m_raft;
    Proposer &m_proposer;
    std::map<DataCentreId, Mirrored> m_mirrored;
    Instant m_startedAt;
    /** When this host first had contact with the log's leader and a committed entry. */
    std::optional<Instant> m_firstContactAt;
    bool m_mayClaim = true;
};

} // namespace gentiancross
