#pragma once

#include "core/daily_report.h"
#include "core/peer_messages.h"
#include "core/replicated_commands.h"
#include "core/work.h"

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace gentiancross {

/** An answer's bytes, shared so that they are never copied on their way. */
using Body = std::shared_ptr<const std::string>;

/** Time has passed; sent several times a second. */
struct Ticked
{};

/** Everything that was durable when the process started, in the order it was written. */
struct Recovered
{
    std::vector<JournalRecord> records;
    /** True if the store has never held a record. */
    bool fresh = false;
};

/** All that was persisted up to this token is synced. */
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

/** Who sent an exchange; `forwarded` if another entry host passed it on. */
struct CallerIdentity
{
    KeyHash key;
    bool forwarded = false;
};

struct SubmitReceived
{
    ExchangeId exchange;
    CallerIdentity caller;
    /** As the caller gave it; empty if it gave none. */
    std::string requestName;
    WorkSpec spec;
    /** True if an earlier attempt to bring it to its authority may still arrive there. */
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

/** An operator's change, named so that a resend is applied once. */
struct OperatorChangeReceived
{
    ExchangeId exchange;
    CallerIdentity caller;
    std::string requestName;
    std::variant<ReplicatedCommand, std::set<HostId>> change;
    /** False if the operator wants the answer as soon as the change is agreed. */
    bool waitForForce = true;
};

enum class QueryKind { Teams, Workers, Members, Load, Timeline };

struct QueryReceived
{
    ExchangeId exchange;
    CallerIdentity caller;
    QueryKind kind = QueryKind::Members;
};

/** An operator asks for the evening page of a day. */
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

/** What became of a call that the target link made. */
enum class CallOutcome {
    /** The whole answer came. */
    Answered,
    /** The peer answered that it did not take the work. */
    Refused,
    /** Nothing left this host. */
    NotSent,
    /** Something was sent and no whole answer came. */
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

/** The end of a forwarded exchange; if it was answered, its caller has the answer already. */
struct ForwardEnded
{
    ExchangeId exchange;
    /** The attempt's number, as ForwardExchange gave it. */
    std::uint32_t attempt = 0;
    CallOutcome outcome = CallOutcome::NotSent;
    int httpStatus = 0;
    absl::Status error;
};

/** The caller has gone away; no answer can reach it. */
struct ExchangeClosed
{
    ExchangeId exchange;
};

struct ShutdownRequested
{};

/** The settings name these hosts as keepers to begin with. */
struct SeedsRead
{
    std::vector<HostId> seeds;
};

/** A call from outside to the cell. */
struct CellCallReceived
{
    ExchangeId exchange;
    CellCall call;
    /** The caller waits no longer than this. */
    Milliseconds timeout;
};

using EventPayload
        = std::variant<Ticked, Recovered, Synced, PeerMessageReceived, SubmitReceived,
                       StatusReceived, CancelReceived, AnnouncementReceived, OperatorChangeReceived,
                       QueryReceived, DailyReportRequested, ReadinessRequested, CallEnded,
                       ForwardEnded, ExchangeClosed, ShutdownRequested, CellCallReceived,
                       WorkerAnswer, AdviceResponse, SeedsRead>;

/** One thing that happened, and when; the only input of the reducers. */
struct Event
{
    Instant now;
    Milliseconds wall;
    EventPayload payload;
};

} // namespace gentiancross
