#pragma once

#include "core/ids.h"
#include "core/job_records.h"
#include "core/ledger.h"
#include "core/units.h"

#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include <memory>

namespace gentiancross {

/** Creates a team or changes its weight and limit. `expected` is 0 for a new team. */
struct PutTeam
{
    TeamId team;
    ObjectVersion expected;
    std::int64_t weight = 1;
    MilliCores limit;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.team, self.expected, self.weight, self.limit);
    }
};

struct GrantKey
{
    TeamId team;
    KeyId key;
    KeyHash hash;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.team, self.key, self.hash);
    }
};

struct RevokeKey
{
    TeamId team;
    KeyId key;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.team, self.key);
    }
};

/** Makes a replica the authority of a data centre if the current epoch is still `from`. */
struct TakeAuthority
{
    DataCentreId dataCentre;
    Epoch from;
    ReplicaId replica;
    SessionId session;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.from, self.replica, self.session);
    }
};

/** Replaces the set of replicas that hold everything the authority has acknowledged. */
struct SetInSync
{
    DataCentreId dataCentre;
    Epoch epoch;
    /** One more than the revision of the replaced set, so a late duplicate is not applied. */
    ObjectVersion revision;
    std::set<ReplicaId> replicas;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.epoch, self.revision, self.replicas);
    }
};

/** Releases part of a data centre's allotment of a team's limit, or requests a larger one. */
struct MoveAllotment
{
    DataCentreId dataCentre;
    Epoch epoch;
    /** Increases with each of the authority's commands for the team; detects late duplicates. */
    ObjectVersion serial;
    TeamId team;
    MilliCores release;
    /** The allotment size that the data centre requests; 0 withdraws the request. */
    MilliCores wanted;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.epoch, self.serial, self.team, self.release,
                        self.wanted);
    }
};

/** An operator's declaration that a data centre's authority will not return with its state. */
struct DeclareAuthorityLost
{
    DataCentreId dataCentre;
    Epoch epoch;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.epoch);
    }
};

/** Sets how long work may wait before the daily report counts the wait as too long. */
struct SetWaitLimit
{
    /** An empty team applies to all teams without a limit of their own. */
    WorkClass work;
    /** One of WaitBounds, or 0 to remove the limit so that the default applies again. */
    Milliseconds limit;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.work, self.limit);
    }
};

using ReplicatedCommand
        = std::variant<PutTeam, GrantKey, RevokeKey, TakeAuthority, SetInSync, MoveAllotment,
                       DeclareAuthorityLost, SetWaitLimit, JobChanges>;

/** An entry without effect of its own; committing it commits the entries of earlier terms. */
struct NoOperation
{
    template <typename Self>
    static auto fields(Self &)
    {
        return std::tuple<>();
    }
};

/** The voters of the log; `outgoing` is non-empty during a membership change (joint consensus). */
struct Membership
{
    std::set<ReplicaId> voters;
    std::set<ReplicaId> outgoing;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.voters, self.outgoing);
    }

    bool operator==(const Membership &) const = default;
};

/** One entry of the replicated log. */
struct LogEntry
{
    LogIndex index;
    Term term;
    ProposalId proposal;
    std::variant<NoOperation, Membership, ReplicatedCommand> payload;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.index, self.term, self.proposal, self.payload);
    }
};

/** Entries are immutable, so the log, messages in flight and the apply step share them. */
using SharedEntry = std::shared_ptr<const LogEntry>;

} // namespace gentiancross
