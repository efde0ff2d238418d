#pragma once

#include "core/ids.h"
#include "core/job_records.h"
#include "core/ledger.h"
#include "core/units.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace gentiancross {

/** What became of a command when it was applied; every replica computes the same. */
struct ApplyResult
{
    bool accepted = false;
    /** True if the command was made from a version that is not the newest. */
    bool conflict = false;
    std::string message;
    ObjectVersion version;
    LogIndex index;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.accepted, self.conflict, self.message, self.version, self.index);
    }
};

/** The last command that moved a data centre's part of a limit. */
struct AllotmentChangeId
{
    Epoch epoch;
    ObjectVersion serial;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.epoch, self.serial);
    }

    auto operator<=>(const AllotmentChangeId &) const = default;
};

/** A team, its keys, its share, and how its limit is divided over the data centres. */
struct TeamData
{
    std::int64_t weight = 1;
    ObjectVersion version;
    /** The limit that the operator asked for. It is in force once the allotments fit into it. */
    MilliCores limitTarget;
    std::map<KeyId, KeyHash> keys;
    /** Withdrawn keys stay withdrawn; their names are not given out again. */
    std::set<KeyId> revokedKeys;
    std::map<DataCentreId, MilliCores> allotments;
    std::map<DataCentreId, MilliCores> wanted;
    std::map<DataCentreId, AllotmentChangeId> marks;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.weight, self.version, self.limitTarget, self.keys, self.revokedKeys,
                        self.allotments, self.wanted, self.lastAllotmentChanges);
    }

    /** The sum of all allotments. */
    [[nodiscard]] MilliCores allotted() const
    {
        MilliCores sum;
        for (const auto &[dataCentre, part] : allotments)
            sum += part;
        return sum;
    }

    /** The limit that certainly holds now. */
    [[nodiscard]] MilliCores limitInForce() const { return std::max(limitTarget, allotted()); }
};

/** Who decides for a data centre, and which replicas hold all that was promised. */
struct AuthorityData
{
    Epoch epoch;
    ReplicaId replica;
    SessionId session;
    ObjectVersion revision;
    std::set<ReplicaId> inSync;
    /** True if an operator declared the state of the former authority lost. */
    bool lost = false;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.epoch, self.replica, self.session, self.revision, self.inSync,
                        self.lost);
    }
};

/** The results of the last commands, so that a resend gets the first answer. */
struct ResultHistory
{
    std::map<ProposalId, ApplyResult> results;
    std::vector<ProposalId> order;
    std::uint64_t oldest = 0;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.results, self.order, self.oldest);
    }

    /** The result of \a proposal, or null if it was never applied or is too long ago. */
    [[nodiscard]] const ApplyResult *find(const ProposalId &proposal) const
    {
        const auto found = results.find(proposal);
        return found == results.end() ? nullptr : &found->second;
    }

    /** Remembers a result; forgets the oldest beyond \a capacity. */
    void remember(const ProposalId &proposal, const ApplyResult &result, std::size_t capacity)
    {
        if (order.size() < capacity) {
            order.push_back(proposal);
        } else {
            results.erase(order[oldest]);
            order[oldest] = proposal;
            oldest = (oldest + 1) % capacity;
        }
        results.insert_or_assign(proposal, result);
    }
};

/** All that the entry hosts agree on. */
struct ReplicatedData
{
    std::map<TeamId, TeamData> teams;
    std::map<DataCentreId, AuthorityData> authorities;
    ResultHistory operatorResults;
    ResultHistory internalResults;
    /** What counts as a wait that is too long, where operators have set it. */
    std::map<WorkClass, Milliseconds> waitLimits;
    /** Configuration, jobs and workers of a cell that keeps them in the log itself. */
    JobStoreData jobs;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.teams, self.authorities, self.operatorResults, self.internalResults,
                        self.waitLimits, self.jobs);
    }
};

} // namespace gentiancross
