#pragma once

#include "control/outbox.h"
#include "control/proposer.h"
#include "control/replicated_state.h"

#include <map>

namespace gentiancross {

/** A team's running and queued cores in one data centre. */
struct TeamDemand
{
    MilliCores used;
    MilliCores queued;
};

/**
 * Manages a data centre's allotment of every team's upper limit; called by DataCentreAuthority. The
 * allotments of all data centres never add up to more than the limit: the cores to be released are
 * taken out of the headroom here before the command that releases them is proposed. Thread safety:
 * owned by the control thread.
 */
class LimitEscrow
{
public:
    LimitEscrow(DataCentreId dataCentre, Epoch epoch, const ReplicatedState &state,
                Proposer &proposer);

    /** The cores that the team may still start here, given that it uses \a used. */
    [[nodiscard]] MilliCores headroom(const TeamId &team, MilliCores used) const;

    /** Proposes to request a larger allotment or to release idle cores, for each team. \a demand
     * has an entry for every team that uses or wants cores. */
    void balance(Instant now, const std::map<TeamId, TeamDemand> &demand, Outbox &out);

    /** Must be called when a log entry is applied; ignores proposals that are not its own. */
    void onProposalApplied(const ProposalId &proposal);

private:
    struct MoveState
    {
        MilliCores releasing;
        std::optional<ProposalId> proposal;
        Instant lastMove;
        ObjectVersion serial;
    };

    void balanceTeam(Instant now, const TeamId &name, const TeamData &team,
                     const TeamDemand &demand, Outbox &out);
    [[nodiscard]] MilliCores computeRelease(const TeamData &team, MilliCores allotment,
                                            const TeamDemand &demand) const;

    DataCentreId m_dataCentre;
    Epoch m_epoch;
    const ReplicatedState &m_state;
    Proposer &m_proposer;
    std::map<TeamId, MoveState> m_moveStates;
    std::map<ProposalId, TeamId> m_teamsByProposal;
};

} // namespace gentiancross
