#pragma once

#include "control/outbox.h"
#include "control/proposer.h"
#include "control/replicated_state.h"

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
    LimitEscrow(DataCentreId dataCentre, Epoch epoch, const ReplicatedState &state,
                Proposer &proposer);

    /** What the team may still start here, given that it uses \a used. */
    [[nodiscard]] MilliCores headroom(const TeamId &team, MilliCores used) const;

    /** Asks for more, or gives back what is idle. \a demand names each team that uses or wants
     * some. */
    void balance(Instant now, const std::map<TeamId, TeamDemand> &demand, Outbox &out);

    void applied(const ProposalId &proposal);

private:
    struct Part
    {
        MilliCores releasing;
        std::optional<ProposalId> proposal;
        Instant lastMove;
        ObjectVersion serial;
    };

    void balanceTeam(Instant now, const TeamId &name, const TeamData &team,
                     const TeamDemand &demand, Outbox &out);
    [[nodiscard]] MilliCores idleToRelease(const TeamData &team, MilliCores allotment,
                                           const TeamDemand &demand) const;

    DataCentreId m_dataCentre;
    Epoch m_epoch;
    const ReplicatedState &m_state;
    Proposer &m_proposer;
    std::map<TeamId, Part> m_parts;
    std::map<ProposalId, TeamId> m_moves;
};

} // namespace gentiancross
