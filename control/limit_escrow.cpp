#include "control/limit_escrow.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** At most one move of a team's part in this time. */
constexpr Milliseconds MoveInterval{300};
/** A data centre keeps this fraction of an even part, so that it can serve some work when cut off.
 */
constexpr std::int64_t ReserveDivisor = 8;

/** What is allotted beyond a limit that was lowered. */
MilliCores excessOf(const TeamData &team)
{
    return std::max(team.allotted() - team.limitTarget, MilliCores());
}

bool othersWant(const TeamData &team, const DataCentreId &own)
{
    return std::any_of(team.wanted.begin(), team.wanted.end(),
                       [&](const auto &wish) { return wish.first != own; });
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
    const auto part = m_parts.find(team);
    const MilliCores releasing = part == m_parts.end() ? MilliCores() : part->second.releasing;
    const auto data = m_state.data().teams.find(team);
    // Room that an end leaves goes to the lowered limit first, or what waits would take it all.
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
    const auto wish = team.wanted.find(m_dataCentre);
    const MilliCores wanted = needed > allotment ? needed : MilliCores();
    const MilliCores registered = wish == team.wanted.end() ? MilliCores() : wish->second;
    const bool isKept = wanted > MilliCores() && excessOf(team) == MilliCores();
    const MilliCores release = isKept ? MilliCores() : idleToRelease(team, allotment, demand);
    if (release == MilliCores() && wanted == registered)
        return;
    Part &part = m_parts[name];
    if (part.proposal.has_value() || now - part.lastMove < MoveInterval)
        return;
    part.lastMove = now;
    part.releasing = release;
    part.serial = part.serial.next();
    part.proposal = m_proposer.propose(
            now, MoveAllotment{m_dataCentre, m_epoch, part.serial, name, release, wanted}, out);
    m_moves.emplace(*part.proposal, name);
}

MilliCores LimitEscrow::idleToRelease(const TeamData &team, MilliCores allotment,
                                      const TeamDemand &demand) const
{
    const MilliCores unused = std::max(allotment - demand.used, MilliCores());
    const MilliCores excess = excessOf(team);
    // A lowered limit is drawn back as fast as what runs allows, whatever waits.
    if (excess > MilliCores())
        return std::min(unused, excess);
    if (!othersWant(team, m_dataCentre))
        return {};
    const auto dataCentres = static_cast<std::int64_t>(
            std::max<std::size_t>(m_state.data().authorities.size(), 1));
    const MilliCores reserve = team.limitTarget / (dataCentres * ReserveDivisor);
    const MilliCores kept = std::max(demand.used + demand.queued, reserve);
    return std::max(allotment - kept, MilliCores());
}

void LimitEscrow::onProposalApplied(const ProposalId &proposal)
{
    const auto move = m_moves.find(proposal);
    if (move == m_moves.end())
        return;
    Part &part = m_parts[move->second];
    part.releasing = {};
    part.proposal.reset();
    m_moves.erase(move);
}

} // namespace gentiancross
