#pragma once

#include "core/replicated_commands.h"
#include "core/replicated_data.h"

#include <optional>
#include <unordered_map>

namespace gentiancross {

/**
 * The state machine built from the replicated log, owned by RaftConsensus; changed only by
 * applying the log's entries in order. Thread safety: owned by the control thread.
 */
class ReplicatedState
{
public:
    /** Applies one entry. A proposal that was applied before changes nothing and returns its
     * original result. */
    ApplyResult apply(const LogEntry &entry);

    /** Replaces the whole state by \a data. */
    void restore(ReplicatedData data);

    [[nodiscard]] const ReplicatedData &data() const { return m_data; }

    /** The team whose key has this hash, if the key is granted and not withdrawn. */
    [[nodiscard]] std::optional<TeamId> teamOfKey(const KeyHash &hash) const;

    /** The share of the team's limit that is allotted to a data centre; 0 if there is none. */
    [[nodiscard]] MilliCores allotment(const TeamId &team, const DataCentreId &dataCentre) const;

    /** The data centre's authority, or null if it never had one. */
    [[nodiscard]] const AuthorityData *authority(const DataCentreId &dataCentre) const;

private:
    ApplyResult applyCommand(const JobChanges &command);
    ApplyResult applyCommand(const PutTeam &command);
    ApplyResult applyCommand(const GrantKey &command);
    ApplyResult applyCommand(const RevokeKey &command);
    ApplyResult applyCommand(const TakeAuthority &command);
    ApplyResult applyCommand(const SetInSync &command);
    ApplyResult applyCommand(const MoveAllotment &command);
    ApplyResult applyCommand(const DeclareAuthorityLost &command);
    ApplyResult applyCommand(const SetWaitLimit &command);
    void distributeFreeAllotment(TeamData &team);
    void setInitialAllotments(TeamData &team);
    void rebuildKeyIndex();

    ReplicatedData m_data;
    std::unordered_map<KeyHash, TeamId> m_teamsByKey;
};

/** The prefix of proposal ids of operators; their results are stored separately from internal ones.
 */
inline constexpr char OperatorProposalPrefix[] = "op:";

} // namespace gentiancross
