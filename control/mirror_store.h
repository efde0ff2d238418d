#pragma once

#include "control/data_centre_copy.h"
#include "control/proposer.h"
#include "control/raft_consensus.h"

#include <map>
#include <optional>
#include <vector>

namespace gentiancross {

/**
 * This host's copies of data centres' states, and its claims to succeed authorities that are gone.
 *
 * A claim waits until this host has answered no heartbeat of the authority for a lease (with
 * drift); after claiming it answers none of the old epoch any more.
 * Thread safety: owned by the control thread.
 */
class MirrorStore
{
public:
    MirrorStore(const HostDirectory &directory, Identity identity, RaftConsensus &agreement,
                Proposer &proposer);

    /** Takes one durable record up again; call in the order of writing. */
    void recover(const JournalRecord &record);
    /** Ends the recovery; answers of an earlier run may have been given until now. */
    void recovered(Instant now);

    void receive(Instant now, const HostId &from, const MirrorAppend &message, Outbox &out);
    void receive(Instant now, const HostId &from, const HandOver &message, Outbox &out);
    void tick(Instant now, Outbox &out);

    /** The copy of \a dataCentre, which is made if there is none. */
    DataCentreCopy &copyOf(const DataCentreId &dataCentre) { return m_mirrored[dataCentre].copy; }
    /** Where the data centre's authority takes workers, if it has told lately. */
    [[nodiscard]] std::optional<std::string> authorityAddress(Instant now,
                                                              const DataCentreId &dataCentre) const;
    /** The records that rebuild all copies. */
    [[nodiscard]] std::vector<JournalRecord> compact() const;
    [[nodiscard]] std::size_t recordCount() const;
    /** Stops claiming; for a host that is shutting down. */
    void stopClaiming() { m_mayClaim = false; }

private:
    struct Mirrored
    {
        DataCentreCopy copy;
        Instant lastAnswered;
        Instant lastHeard;
        /** When the lease was last renewed ahead of the disk. */
        Instant lastRenewed;
        std::string callerAddress;
        std::optional<ProposalId> claim;
        Epoch claimedFrom;
    };

    [[nodiscard]] bool mayClaim(Instant now, const DataCentreId &dataCentre,
                                const Mirrored &mirrored, const AuthorityData *authority) const;
    [[nodiscard]] bool mayClaimInitially(Instant now, const DataCentreId &dataCentre) const;
    /** Renews the authority's lease without waiting for what is not synced, if anything is. */
    void renewLeaseBeforeSync(Instant now, const HostId &from, const MirrorAppend &message,
                              Mirrored &mirrored, Outbox &out) const;
    void claim(Instant now, const DataCentreId &dataCentre, Mirrored &mirrored, Epoch from,
               Outbox &out);

    const HostDirectory &m_directory;
    Identity m_identity;
    RaftConsensus &m_agreement;
    Proposer &m_proposer;
    std::map<DataCentreId, Mirrored> m_mirrored;
    Instant m_startedAt;
    /** When this host first was in contact with the log. */
    std::optional<Instant> m_firstContactAt;
    bool m_mayClaim = true;
};

} // namespace gentiancross
