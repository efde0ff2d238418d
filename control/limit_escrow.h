#pragma once

#include "control/agreed_state.h"
#include "control/outbox.h"
#include "control/proposer.h"

#include <map>

namespace gentiancross {

/** What a team uses and waits for in one data centre. */
struct TeamDemand
{
    MilliCores used;
    MilliCores queued;
};

/**
 * A data centre's part of every team's upper limit. The parts never add up to more than the limit:
 * what this data centre gives back is out of its use before the command to give it back is
 * proposed. Thread safety: owned by the control thread.
 */
class LimitEscrow
{
public:
    LimitEscrow(DataCentreId dataCentre, Epoch epoch, const AgreedState &state, Proposer &proposer);

    /** What the team may still start here, given that it uses \a used. */
    [[nodiscard]] MilliCores headroom(const TeamId &team, MilliCores used) const;

    /** Asks for more, or gives back what is idle. \a demand names each team that uses or wants
     * some. */
    void balance(Instant now, const std::map<TeamId, TeamDemand> &demand, Outbox &out);

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
    const AgreedState &m_state;
    Proposer &m_proposer;
    std::map<TeamId, MoveState> m_moveStates;
    std::map<ProposalId, TeamId> m_teamsByProposal;
};

} // namespace gentiancross
