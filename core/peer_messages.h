#pragma once

#include "core/job_calls.h"
#include "core/journal_records.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace gentiancross {

/** Introduces a host; sent until the log has its first membership. */
struct Hello
{
    ReplicaId replica;
    bool hasStore = false;
    /** True if the sender's store has never held a log. */
    bool fresh = false;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.replica, self.hasStore, self.fresh);
    }
};

/** Requests a vote or, with `preVote`, asks whether one would be granted. */
struct VoteRequest
{
    ReplicaId candidate;
    Term term;
    LogIndex lastIndex;
    Term lastTerm;
    bool preVote = false;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.candidate, self.term, self.lastIndex, self.lastTerm, self.preVote);
    }
};

struct VoteReply
{
    ReplicaId voter;
    Term term;
    bool granted = false;
    bool preVote = false;
    /**
     * The voter started so recently that a promise to a leader not to replace it, made before its
     * restart, may still be in force.
     */
    bool mayHaveForgotten = false;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.voter, self.term, self.granted, self.preVote, self.mayHaveForgotten);
    }
};

struct AppendRequest
{
    ReplicaId leader;
    Term term;
    LogIndex previousIndex;
    Term previousTerm;
    LogIndex commit;
    std::vector<SharedEntry> entries;
    /** The leader's clock at sending; echoed in the reply. */
    Instant sentAt;
    /** The receiver's own time of its newest contact query (`askedAt`) that a quorum has confirmed
     * by answering the leader after the query arrived. */
    Instant confirmed;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.leader, self.term, self.previousIndex, self.previousTerm, self.commit,
                        self.entries, self.sentAt, self.confirmed);
    }
};

struct AppendReply
{
    ReplicaId replica;
    Term term;
    bool success = false;
    /** On success the last durable index; otherwise the index to try next. */
    LogIndex index;
    LogIndex applied;
    /** Echoed from the request; 0 if there was none. */
    Instant sentAt;
    /** The time of this contact query on the sender's clock; returned as `confirmed`. */
    Instant askedAt;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.replica, self.term, self.success, self.index, self.applied,
                        self.sentAt, self.askedAt);
    }
};

struct InstallSnapshot
{
    ReplicaId leader;
    Term term;
    SnapshotRecord snapshot;
    /** The sender's clock; echoed in the reply. */
    Instant sentAt;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.leader, self.term, self.snapshot, self.sentAt);
    }
};

/** Asks the leader to append a command; repeated until the sender sees it applied. */
struct Propose
{
    ProposalId proposal;
    ReplicatedCommand command;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.proposal, self.command);
    }
};

/** Sends a data centre's records to a mirror; without any it only renews the authority's lease. */
struct MirrorAppend
{
    DataCentreId dataCentre;
    Epoch epoch;
    ReplicaId authority;
    /** The authority's clock at sending; echoed, and meaningful only to the authority. */
    Instant sentAt;
    /** The sequence number before that of the first record. */
    RecordSequence previous;
    std::optional<CopyPiece> piece;
    std::vector<DataCentreRecord> records;
    /** Where workers of the data centre reach the authority. */
    std::string callerAddress;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.epoch, self.authority, self.sentAt, self.previous,
                        self.piece, self.records, self.callerAddress);
    }
};

/** A mirror's reply; it promises not to succeed the authority for one lease from now on. */
struct MirrorReply
{
    DataCentreId dataCentre;
    Epoch epoch;
    ReplicaId replica;
    Instant sentAt;
    RecordSequence held;
    /** True if the mirror holds a full copy up to `held`. */
    bool synced = false;
    /** True if records before those of the message are missing at the mirror. */
    bool hasGap = false;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.epoch, self.replica, self.sentAt, self.held,
                        self.synced, self.hasGap);
    }
};

/** Asks a mirror to succeed at once the authority, which is shutting down. */
struct HandOver
{
    DataCentreId dataCentre;
    Epoch epoch;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.epoch);
    }
};

/** Queries the ledgers of the data centres for which the receiver is the authority. */
struct LedgerQuery
{
    std::uint64_t queryId = 0;
    HalfHour first;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.queryId, self.first);
    }
};

struct LedgerReport
{
    std::uint64_t queryId = 0;
    DataCentreDay day;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.queryId, self.day);
    }
};

/**
 * Only the promise of a MirrorReply, sent before the received records are synced. It binds the
 * running process, so it needs no disk, and a disk that hangs does not end the authority's lease.
 */
struct MirrorLease
{
    DataCentreId dataCentre;
    Epoch epoch;
    ReplicaId replica;
    Instant sentAt;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.epoch, self.replica, self.sentAt);
    }
};

/** Asks a voter to start an election at once, since its leader is shutting down. */
struct TimeoutNow
{
    Term term;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.term);
    }
};

/** A heartbeat whose content was unchanged. */
struct AcknowledgedHeartbeat
{
    WorkerIncarnation incarnation;
    std::uint64_t sequence = 0;
    /** The worker's monotonic clock at sending, in milliseconds. */
    std::int64_t clock = 0;
    /** Time since its arrival. */
    Milliseconds age;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.incarnation, self.sequence, self.clock, self.age);
    }
};

/** Reports heartbeats that the sender has acknowledged on the leader's behalf. */
struct HeartbeatsReport
{
    std::vector<AcknowledgedHeartbeat> heartbeats;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.heartbeats);
    }
};

/** Answers a HeartbeatsReport with the incarnations in it that the leader does not know. */
struct UnknownIncarnationsReport
{
    std::vector<WorkerIncarnation> incarnations;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.incarnations);
    }
};

/** Orders for the receiver to send to workers on the leader's behalf. */
struct WorkerOrders
{
    /** The receiving process; the times in the orders are on its clock. */
    SessionId session;
    std::vector<CallWorker> calls;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.session, self.calls);
    }
};

/** The outcomes of orders sent on the leader's behalf. */
struct WorkerAnswers
{
    std::vector<WorkerAnswer> answers;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.answers);
    }
};

using PeerMessage
        = std::variant<Hello, VoteRequest, VoteReply, AppendRequest, AppendReply, InstallSnapshot,
                       Propose, MirrorAppend, MirrorReply, HandOver, LedgerQuery, LedgerReport,
                       MirrorLease, LeaderQuery, LeaderReport, RelayCallRequest, RelayCallResponse,
                       AdviceRequest, AdviceResponse, TimeoutNow, WorkerOrders, WorkerAnswers,
                       HeartbeatsReport, UnknownIncarnationsReport>;

} // namespace gentiancross
