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

/** Creates a team or changes its share and limit. `expected` is 0 for a new team. */
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

/** Makes a replica the authority of a data centre, if the epoch is still `from`. */
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

/** Names the replicas that hold everything the authority has promised. */
struct SetInSync
{
    DataCentreId dataCentre;
    Epoch epoch;
    /** One more than the revision that the set replaces; a late duplicate does not match. */
    ObjectVersion revision;
    std::set<ReplicaId> replicas;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.epoch, self.revision, self.replicas);
    }
};

/** Gives back a part of a team's limit, or asks for more of it. */
struct MoveAllotment
{
    DataCentreId dataCentre;
    Epoch epoch;
    /** Grows with each of the authority's commands for the team; a late duplicate does not. */
    ObjectVersion serial;
    TeamId team;
    MilliCores release;
    /** The size that the data centre would like its allotment to have; 0 to withdraw a wish. */
    MilliCores wanted;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.epoch, self.serial, self.team, self.release,
                        self.wanted);
    }
};

/** An operator's word that a data centre's authority will not come back with its state. */
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

/** Sets how long work may wait before the evening page calls it too long. */
struct SetWaitLimit
{
    /** An empty team stands for all that have no limit of their own. */
    WorkClass work;
    /** One of WaitBounds, or 0 to go back to what holds otherwise. */
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

/** An entry that has no effect but to commit earlier terms' entries. */
struct NoOperation
{
    template <typename Self>
    static auto fields(Self &)
    {
        return std::tuple<>();
    }
};

/** The voters of the log; `outgoing` is not empty while a change is under way (joint consensus). */
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

/** One entry of the agreed log. */
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

/** Entries don't change, so the log, messages under way and what was applied share them. */
using SharedEntry = std::shared_ptr<const LogEntry>;

} // namespace gentiancross
