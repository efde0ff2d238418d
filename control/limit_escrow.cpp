#include "control/limit_escrow.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** The shortest time between two moves of one team's allotment. */
constexpr Milliseconds MinMoveInterval{300};
/** Each data centre keeps an even share of the limit divided by this, so that it can run some work
 * when it is cut off. */
constexpr std::int64_t ReserveDivisor = 8;

/** The cores still allotted beyond a limit that was lowered. */
MilliCores excessOf(const TeamData &team)
{
    return std::max(team.allotted() - team.limitTarget, MilliCores());
}

bool isWantedElsewhere(const TeamData &team, const DataCentreId &own)
{
    return std::any_of(team.wanted.begin(), team.wanted.end(),
                       [&](const auto &want) { return want.first != own; });
}

} // namespace

LimitEscrow::LimitEscrow(DataCentreId dataCentre, Epoch epoch, const ReplicatedState &state,
                         Proposer &proposer)
    : m_dataCentre(std::move(dataCentre))
    , m_epoch(epoch)
    , m_state(state)
    , m_proposer(proposer)
{}

MilliCores LimitEscrow::headroom(const TeamId &team, MilliCores used) const
{
    const auto moveState = m_moveStates.find(team);
    const MilliCores releasing
            = moveState == m_moveStates.end() ? MilliCores() : moveState->second.releasing;
    const auto data = m_state.data().teams.find(team);
    // Cores freed by ending tasks serve the lowered limit first; otherwise waiting work would take
    // them all.
    const MilliCores excess
            = data == m_state.data().teams.end() ? MilliCores() : excessOf(data->second);
    return m_state.allotment(team, m_dataCentre) - std::max(releasing, excess) - used;
}

void LimitEscrow::balance(Instant now, const std::map<TeamId, TeamDemand> &demand, Outbox &out)
{
    for (const auto &[name, team] : m_state.data().teams) {
        const auto found = demand.find(name);
        balanceTeam(now, name, team, found == demand.end() ? TeamDemand() : found->second, out);
    }
}

void LimitEscrow::balanceTeam(Instant now, const TeamId &name, const TeamData &team,
                              const TeamDemand &demand, Outbox &out)
{
    const MilliCores allotment = m_state.allotment(name, m_dataCentre);
    const MilliCores needed = std::min(demand.used + demand.queued, team.limitTarget);
    const auto want = team.wanted.find(m_dataCentre);
    const MilliCores wanted = needed > allotment ? needed : MilliCores();
    const MilliCores registered = want == team.wanted.end() ? MilliCores() : want->second;
    const bool keepsAllotment = wanted > MilliCores() && excessOf(team) == MilliCores();
    const MilliCores release
            = keepsAllotment ? MilliCores() : computeRelease(team, allotment, demand);
    if (release == MilliCores() && wanted == registered)
        return;
    MoveState &moveState = m_moveStates[name];
    if (moveState.proposal.has_value() || now - moveState.lastMove < MinMoveInterval)
        return;
    moveState.lastMove = now;
    moveState.releasing = release;
    moveState.serial = moveState.serial.next();
    moveState.proposal = m_proposer.propose(
            now, MoveAllotment{m_dataCentre, m_epoch, moveState.serial, name, release, wanted},
            out);
    m_teamsByProposal.emplace(*moveState.proposal, name);
}

MilliCores LimitEscrow::computeRelease(const TeamData &team, MilliCores allotment,
                                       const TeamDemand &demand) const
{
    const MilliCores unused = std::max(allotment - demand.used, MilliCores());
    const MilliCores excess = excessOf(team);
    // After a limit is lowered, all unused excess is released at once, whatever work waits.
    if (excess > MilliCores())
        return std::min(unused, excess);
    if (!isWantedElsewhere(team, m_dataCentre))
        return {};
    const auto dataCentres = static_cast<std::int64_t>(
            std::max<std::size_t>(m_state.data().authorities.size(), 1));
    const MilliCores reserve = team.limitTarget / (dataCentres * ReserveDivisor);
    const MilliCores kept = std::max(demand.used + demand.queued, reserve);
    return std::max(allotment - kept, MilliCores());
}

void LimitEscrow::onProposalApplied(const ProposalId &proposal)
{
    const auto found = m_teamsByProposal.find(proposal);
    if (found == m_teamsByProposal.end())
        return;
    MoveState &moveState = m_moveStates[found->second];
    moveState.releasing = {};
    moveState.proposal.reset();
    m_teamsByProposal.erase(found);
}

} // namespace gentiancross
