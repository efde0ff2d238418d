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

/** The result of applying a command; every replica computes the same one. */
struct ApplyResult
{
    bool accepted = false;
    /** True if the command was based on an outdated version. */
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

/** Identifies the last command that changed a data centre's allotment; detects duplicates. */
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

/** A team: its keys, its weight, and how its limit is divided among the data centres. */
struct TeamData
{
    std::int64_t weight = 1;
    ObjectVersion version;
    /** The limit set by the operator. It is in force once the sum of allotments fits into it. */
    MilliCores limitTarget;
    std::map<KeyId, KeyHash> keys;
    /** Revoked keys stay revoked; their names are not reused. */
    std::set<KeyId> revokedKeys;
    std::map<DataCentreId, MilliCores> allotments;
    std::map<DataCentreId, MilliCores> wanted;
    std::map<DataCentreId, AllotmentChangeId> lastAllotmentChanges;

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

    /** The limit that is guaranteed at present. */
    [[nodiscard]] MilliCores limitInForce() const { return std::max(limitTarget, allotted()); }
};

/** The authority of a data centre, and the replicas that hold all that it has acknowledged. */
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

/** The results of the most recent commands, so that a resend gets the original answer. */
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

    /** The result of \a proposal, or null if it was never applied or has been evicted. */
    [[nodiscard]] const ApplyResult *find(const ProposalId &proposal) const
    {
        const auto found = results.find(proposal);
        return found == results.end() ? nullptr : &found->second;
    }

    /** Stores a result; evicts the oldest one beyond \a capacity. */
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

/** The state machine of the replicated log that the entry hosts share. */
struct ReplicatedData
{
    std::map<TeamId, TeamData> teams;
    std::map<DataCentreId, AuthorityData> authorities;
    ResultHistory operatorResults;
    ResultHistory internalResults;
    /** The wait limits that operators have set for the daily report. */
    std::map<WorkClass, Milliseconds> waitLimits;
    /** Configuration, jobs and workers, for a cell that stores them in this log. */
    JobStoreData jobs;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.teams, self.authorities, self.operatorResults, self.internalResults,
                        self.waitLimits, self.jobs);
    }
};

} // namespace gentiancross
