#pragma once

#include "core/daily_report.h"
#include "core/peer_messages.h"
#include "core/replicated_commands.h"
#include "core/work.h"

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace gentiancross {

/** The bytes of an answer, shared so that passing them on makes no copy. */
using Body = std::shared_ptr<const std::string>;

/** Marks the passing of time; posted several times a second. */
struct Ticked
{};

/** All records that were durable when the process started, in the order of writing. */
struct Recovered
{
    std::vector<JournalRecord> records;
    /** True if the store has never held a record. */
    bool fresh = false;
};

/** Everything persisted up to this token is synced to disk. */
struct Synced
{
    SyncToken token;
};

struct PeerMessageReceived
{
    HostId from;
    PeerMessage message;
    std::uint64_t logicalTime = 0;
};

/** The sender of an exchange; `forwarded` if it came by way of another entry host. */
struct CallerIdentity
{
    KeyHash key;
    bool forwarded = false;
};

struct SubmitReceived
{
    ExchangeId exchange;
    CallerIdentity caller;
    /** The name chosen by the caller; empty if it gave none. */
    std::string requestName;
    WorkSpec spec;
    /** True if an earlier attempt to forward it to its authority may still arrive there. */
    bool hasEarlierAttempt = false;
};

struct StatusReceived
{
    ExchangeId exchange;
    CallerIdentity caller;
    RequestId request;
};

struct CancelReceived
{
    ExchangeId exchange;
    CallerIdentity caller;
    RequestId request;
};

struct AnnouncementReceived
{
    ExchangeId exchange;
    bool forwarded = false;
    Announcement announcement;
};

/** An operator's change; its name makes a resend idempotent. */
struct OperatorChangeReceived
{
    ExchangeId exchange;
    CallerIdentity caller;
    std::string requestName;
    std::variant<ReplicatedCommand, std::set<HostId>> change;
    /** False if the operator wants the answer as soon as the change is committed. */
    bool waitForForce = true;
};

enum class QueryKind { Teams, Workers, Members, Load, Timeline };

struct QueryReceived
{
    ExchangeId exchange;
    CallerIdentity caller;
    QueryKind kind = QueryKind::Members;
};

/** An operator requests the daily report of a day. */
struct DailyReportRequested
{
    ExchangeId exchange;
    CallerIdentity caller;
    ReportDay day;
    ReportFormat format = ReportFormat::Html;
};

struct ReadinessRequested
{
    ExchangeId exchange;
};

/** The outcome of an outgoing call. */
enum class CallOutcome {
    /** The complete answer was received. */
    Answered,
    /** The peer answered that it did not accept the work. */
    Refused,
    /** No byte of the call left this host. */
    NotSent,
    /** Something was sent, but no complete answer was received. */
    Broken,
};

struct CallEnded
{
    CallId call;
    CallOutcome outcome = CallOutcome::NotSent;
    int httpStatus = 0;
    Body body;
    absl::Status error;
};

/** The end of a forwarded exchange; an answer has already been passed to the caller. */
struct ForwardEnded
{
    ExchangeId exchange;
    /** The attempt number given in ForwardExchange. */
    std::uint32_t attempt = 0;
    CallOutcome outcome = CallOutcome::NotSent;
    int httpStatus = 0;
    absl::Status error;
};

/** The caller has closed its connection; no answer can reach it. */
struct ExchangeClosed
{
    ExchangeId exchange;
};

struct ShutdownRequested
{};

/** The settings were read; `seeds` are the initial keepers that they name. */
struct SeedsRead
{
    std::vector<HostId> seeds;
    /** The cell's data centres by the settings; empty if these list none. */
    std::set<DataCentreId> dataCentres;
};

/** An external call to the cell. */
struct CellCallReceived
{
    ExchangeId exchange;
    CellCall call;
    /** How long the caller waits at most. */
    Milliseconds timeout;
};

using EventPayload
        = std::variant<Ticked, Recovered, Synced, PeerMessageReceived, SubmitReceived,
                       StatusReceived, CancelReceived, AnnouncementReceived, OperatorChangeReceived,
                       QueryReceived, DailyReportRequested, ReadinessRequested, CallEnded,
                       ForwardEnded, ExchangeClosed, ShutdownRequested, CellCallReceived,
                       WorkerAnswer, AdviceResponse, SeedsRead>;

/** Something that happened, with its time; the only input of the reducers. */
struct Event
{
    Instant now;
    Milliseconds wall;
    EventPayload payload;
};

} // namespace gentiancross
