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

/** Says who a host is; sent until the log has a first membership. */
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

/** A request for a vote, or, with `preVote`, whether one would be given. */
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
    /** The voter has started so recently that it may have promised a leader not to replace it. */
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
    /** The leader's clock when it sent this; echoed. */
    Instant sentAt;
    /** The receiver's own time of a question that a quorum stood behind after it came. */
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
    /** On success the last index held durably; else the index to try next. */
    LogIndex index;
    LogIndex applied;
    /** As the request said; 0 if there was none. */
    Instant sentAt;
    /** The sender's own clock; comes back as `confirmed`. */
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
    /** The sender's clock; comes back in the reply. */
    Instant sentAt;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.leader, self.term, self.snapshot, self.sentAt);
    }
};

/** Asks the leader to append a command; repeated until it is seen applied. */
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

/** Records of a data centre for a mirror; with none it only renews the authority's lease. */
struct MirrorAppend
{
    DataCentreId dataCentre;
    Epoch epoch;
    ReplicaId authority;
    /** The authority's clock when it sent this; echoed, and meaningful to the authority alone. */
    Instant sentAt;
    /** The sequence before the first record. */
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

/** A mirror's answer; it promises not to succeed the authority for one lease from now on. */
struct MirrorReply
{
    DataCentreId dataCentre;
    Epoch epoch;
    ReplicaId replica;
    Instant sentAt;
    RecordSequence held;
    /** True if the mirror holds a full copy up to `held`. */
    bool synced = false;
    /** True if records before those of the message are missing here. */
    bool hasGap = false;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.epoch, self.replica, self.sentAt, self.held,
                        self.synced, self.hasGap);
    }
};

/** Asks a mirror to succeed an authority that is shutting down, at once. */
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

/** Asks for the ledgers of the data centres that the host decides for. */
struct LedgerQuery
{
    std::uint64_t question = 0;
    HalfHour first;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.queryId, self.first);
    }
};

struct LedgerReport
{
    std::uint64_t question = 0;
    DataCentreDay day;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.queryId, self.day);
    }
};

/**
 * A mirror's promise alone, while what it was sent is not synced yet: it binds the running process,
 * so it needs no disk, and a disk that hangs does not end the authority's lease.
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

/** Asks a voter to stand for election at once, since its leader is shutting down. */
struct TimeoutNow
{
    Term term;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.term);
    }
};

/** A heartbeat that said nothing new. */
struct AcknowledgedHeartbeat
{
    WorkerIncarnation incarnation;
    std::uint64_t sequence = 0;
    /** The worker's monotonic clock when it sent it. */
    std::int64_t clock = 0;
    /** How long ago it came. */
    Milliseconds age;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.incarnation, self.sequence, self.clock, self.age);
    }
};

/** Heartbeats that the sender has acknowledged on the leader's behalf. */
struct HeartbeatsReport
{
    std::vector<AcknowledgedHeartbeat> beats;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.heartbeats);
    }
};

/** Lives among them that the leader does not know. */
struct UnknownIncarnationsReport
{
    std::vector<WorkerIncarnation> lives;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.incarnations);
    }
};

/** Orders that the receiver is to send to workers on the leader's behalf. */
struct WorkerOrders
{
    /** The process that they are for: their times are on its clock. */
    SessionId session;
    std::vector<CallWorker> calls;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.session, self.calls);
    }
};

/** What became of such orders. */
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
