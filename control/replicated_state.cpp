#include "control/replicated_state.h"

#include "control/jobs/job_store.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace gentiancross {

namespace {

constexpr std::size_t MaxOperatorResults = 4096;
constexpr std::size_t MaxInternalResults = 512;

ApplyResult accept(ObjectVersion version = {})
{
    return {.accepted = true, .conflict = false, .message = {}, .version = version, .index = {}};
}

ApplyResult refuse(std::string message)
{
    return {.accepted = false,
            .conflict = false,
            .message = std::move(message),
            .version = {},
            .index = {}};
}

ApplyResult conflict(std::string message, ObjectVersion version = {})
{
    return {.accepted = false,
            .conflict = true,
            .message = std::move(message),
            .version = version,
            .index = {}};
}

bool isOperatorProposal(const ProposalId &proposal)
{
    return proposal.value().starts_with(OperatorProposalPrefix);
}

bool hasDurable(const std::set<ReplicaId> &replicas)
{
    return std::any_of(replicas.begin(), replicas.end(), isDurable);
}

} // namespace

// The messages of results are stored in the replicated state, so their texts must not change.
ApplyResult ReplicatedState::apply(const LogEntry &entry)
{
    ResultHistory &history
            = isOperatorProposal(entry.proposal) ? m_data.operatorResults : m_data.internalResults;
    if (!entry.proposal.isEmpty()) {
        const ApplyResult *first = history.find(entry.proposal);
        if (first != nullptr)
            return *first;
    }
    ApplyResult result = accept();
    if (const auto *command = std::get_if<ReplicatedCommand>(&entry.payload))
        result = std::visit([this](const auto &typed) { return applyCommand(typed); }, *command);
    result.index = entry.index;
    if (!entry.proposal.isEmpty()) {
        const bool fromOperator = isOperatorProposal(entry.proposal);
        history.remember(entry.proposal, result,
                         fromOperator ? MaxOperatorResults : MaxInternalResults);
    }
    return result;
}

void ReplicatedState::restore(ReplicatedData data)
{
    m_data = std::move(data);
    rebuildKeyIndex();
}

std::optional<TeamId> ReplicatedState::teamOfKey(const KeyHash &hash) const
{
    const auto found = m_teamsByKey.find(hash);
    if (found == m_teamsByKey.end())
        return std::nullopt;
    return found->second;
}

MilliCores ReplicatedState::allotment(const TeamId &team, const DataCentreId &dataCentre) const
{
    const auto found = m_data.teams.find(team);
    if (found == m_data.teams.end())
        return {};
    const auto part = found->second.allotments.find(dataCentre);
    return part == found->second.allotments.end() ? MilliCores() : part->second;
}

const AuthorityData *ReplicatedState::authority(const DataCentreId &dataCentre) const
{
    const auto found = m_data.authorities.find(dataCentre);
    return found == m_data.authorities.end() ? nullptr : &found->second;
}

ApplyResult ReplicatedState::applyCommand(const JobChanges &command)
{
    for (const JobRecord &record : command.records)
        jobstore::apply(m_data.jobs, record, nullptr);
    return accept();
}

ApplyResult ReplicatedState::applyCommand(const PutTeam &command)
{
    if (command.team.isEmpty())
        return refuse("a team needs a name");
    if (command.weight < 1 || command.limit < MilliCores(0))
        return refuse("a team's weight must be 1 or more and its limit 0 or more");
    const auto found = m_data.teams.find(command.team);
    const ObjectVersion current
            = found == m_data.teams.end() ? ObjectVersion() : found->second.version;
    if (command.expected != current)
        return conflict("the team has changed since version "
                                + std::to_string(command.expected.value()),
                        current);
    TeamData &team = m_data.teams[command.team];
    team.weight = command.weight;
    team.limitTarget = command.limit;
    team.version = current.next();
    if (current == ObjectVersion())
        setInitialAllotments(team);
    distributeFreeAllotment(team);
    return accept(team.version);
}

ApplyResult ReplicatedState::applyCommand(const GrantKey &command)
{
    const auto found = m_data.teams.find(command.team);
    if (found == m_data.teams.end())
        return refuse("there is no team " + command.team.value());
    TeamData &team = found->second;
    if (team.revokedKeys.contains(command.key))
        return conflict("the key was withdrawn; grant one with a new name");
    if (team.keys.contains(command.key))
        return conflict("the key's name is in use");
    if (m_teamsByKey.contains(command.hash))
        return conflict("the same secret is granted under another name");
    team.keys.emplace(command.key, command.hash);
    m_teamsByKey.emplace(command.hash, command.team);
    return accept();
}

ApplyResult ReplicatedState::applyCommand(const RevokeKey &command)
{
    const auto found = m_data.teams.find(command.team);
    if (found == m_data.teams.end())
        return refuse("there is no team " + command.team.value());
    TeamData &team = found->second;
    const auto key = team.keys.find(command.key);
    if (key == team.keys.end())
        return refuse("the team has no key " + command.key.value());
    m_teamsByKey.erase(key->second);
    team.keys.erase(key);
    team.revokedKeys.insert(command.key);
    return accept();
}

ApplyResult ReplicatedState::applyCommand(const TakeAuthority &command)
{
    AuthorityData &authority = m_data.authorities[command.dataCentre];
    if (authority.epoch != command.from)
        return conflict("the authority's epoch has moved on");
    const bool mayTake = authority.inSync.empty() || authority.lost
            || authority.inSync.contains(command.replica);
    if (!mayTake)
        return refuse("the replica does not hold all that was promised");
    if (authority.lost)
        authority.inSync.clear();
    std::set<ReplicaId> inSync = authority.inSync;
    inSync.erase(authority.replica);
    inSync.insert(command.replica);
    // The former authority stays in the set if it has the only copy that survives a restart.
    if (!hasDurable(inSync) && !authority.replica.isEmpty() && !authority.lost)
        inSync.insert(authority.replica);
    authority.inSync = std::move(inSync);
    authority.epoch = authority.epoch.next();
    authority.replica = command.replica;
    authority.session = command.session;
    authority.revision = {};
    authority.lost = false;
    return accept();
}

ApplyResult ReplicatedState::applyCommand(const SetInSync &command)
{
    const auto found = m_data.authorities.find(command.dataCentre);
    if (found == m_data.authorities.end() || found->second.epoch != command.epoch)
        return conflict("the authority's epoch has moved on");
    AuthorityData &authority = found->second;
    if (command.revision != authority.revision.next())
        return conflict("the in-sync set has been changed since");
    if (!command.replicas.contains(authority.replica))
        return refuse("the authority itself is always in sync");
    if (hasDurable(authority.inSync) && !hasDurable(command.replicas))
        return refuse("the in-sync set would lose its last durable replica");
    authority.inSync = command.replicas;
    authority.revision = command.revision;
    return accept();
}

ApplyResult ReplicatedState::applyCommand(const MoveAllotment &command)
{
    const auto authority = m_data.authorities.find(command.dataCentre);
    if (authority == m_data.authorities.end() || authority->second.epoch != command.epoch)
        return conflict("the authority's epoch has moved on");
    const auto found = m_data.teams.find(command.team);
    if (found == m_data.teams.end())
        return refuse("there is no team " + command.team.value());
    TeamData &team = found->second;
    const AllotmentChangeId mark{command.epoch, command.serial};
    if (team.lastAllotmentChanges[command.dataCentre] >= mark)
        return conflict("a later command has moved the allotment");
    team.lastAllotmentChanges[command.dataCentre] = mark;
    MilliCores &part = team.allotments[command.dataCentre];
    part -= std::min(part, std::max(command.release, MilliCores(0)));
    if (command.wanted > part)
        team.wanted[command.dataCentre] = command.wanted;
    else
        team.wanted.erase(command.dataCentre);
    distributeFreeAllotment(team);
    return accept();
}

ApplyResult ReplicatedState::applyCommand(const DeclareAuthorityLost &command)
{
    const auto found = m_data.authorities.find(command.dataCentre);
    if (found == m_data.authorities.end())
        return refuse("there is no data centre " + command.dataCentre.value());
    if (found->second.epoch != command.epoch)
        return conflict("the authority's epoch has moved on");
    found->second.lost = true;
    return accept();
}

ApplyResult ReplicatedState::applyCommand(const SetWaitLimit &command)
{
    if (!command.work.team.isEmpty() && !m_data.teams.contains(command.work.team))
        return refuse("there is no team " + command.work.team.value());
    if (command.limit == Milliseconds(0)) {
        m_data.waitLimits.erase(command.work);
        return accept();
    }
    // Only for these bounds is the number of longer waits known exactly.
    if (std::find(WaitBounds.begin(), WaitBounds.end(), command.limit) == WaitBounds.end()) {
        std::string bounds;
        for (const Milliseconds bound : WaitBounds)
            absl::StrAppend(&bounds, " ", bound.value());
        return refuse("the limit must be one of, in milliseconds:" + bounds);
    }
    m_data.waitLimits[command.work] = command.limit;
    return accept();
}

void ReplicatedState::setInitialAllotments(TeamData &team)
{
    const auto parts = static_cast<std::int64_t>(m_data.authorities.size());
    if (parts == 0)
        return;
    for (const auto &[dataCentre, authority] : m_data.authorities)
        team.allotments[dataCentre] = team.limitTarget / parts;
}

void ReplicatedState::distributeFreeAllotment(TeamData &team)
{
    MilliCores pool = team.limitTarget - team.allotted();
    while (pool > MilliCores(0) && !team.wanted.empty()) {
        const auto requests = static_cast<std::int64_t>(team.wanted.size());
        // Each round allots at least one unit, so the loop terminates.
        const MilliCores fairPart = std::max(pool / requests, MilliCores(1));
        for (auto request = team.wanted.begin();
             request != team.wanted.end() && pool > MilliCores(0);) {
            MilliCores &part = team.allotments[request->first];
            const MilliCores given = std::min({request->second - part, fairPart, pool});
            part += given;
            pool -= given;
            request = part >= request->second ? team.wanted.erase(request) : std::next(request);
        }
    }
}

void ReplicatedState::rebuildKeyIndex()
{
    m_teamsByKey.clear();
    for (const auto &[name, team] : m_data.teams) {
        for (const auto &[key, hash] : team.keys)
            m_teamsByKey.emplace(hash, name);
    }
}

} // namespace gentiancross
