#pragma once

#include "core/replicated_commands.h"
#include "core/replicated_data.h"

#include <optional>
#include <unordered_map>

namespace gentiancross {

/**
 * The agreed state, changed only by applying the log's entries in order.
 * Thread safety: owned by the control thread.
 */
class ReplicatedState
{
public:
    /** Applies one entry. A proposal that was applied before changes nothing and gets its first
     * result. */
    ApplyResult apply(const LogEntry &entry);

    /** Puts \a data in place of everything that was applied. */
    void restore(ReplicatedData data);

    [[nodiscard]] const ReplicatedData &data() const { return m_data; }

    /** The team whose key has this hash, if the key is granted and not withdrawn. */
    [[nodiscard]] std::optional<TeamId> teamOfKey(const KeyHash &hash) const;

    /** The team's part of its limit in a data centre; 0 if it has none. */
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

/** Proposals of operators are named with this prefix; their results are kept apart from internal
 * ones. */
inline constexpr char OperatorProposalPrefix[] = "op:";

} // namespace gentiancross
