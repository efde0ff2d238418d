#pragma once

#include "core/events.h"
#include "core/measurements.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace gentiancross {

/** The answer to a submit, status or cancel: what is known of the request. */
struct RequestAnswer
{
    RequestId request;
    Outcome outcome = Outcome::Pending;
    std::string reason;
    /** The worker's whole answer, if the request has one and it was kept. */
    Body result;
    std::uint32_t tasksRunning = 0;
    std::uint32_t tasksDone = 0;
    std::uint32_t taskCount = 0;
    /** True if the submitter need not wait for the end. */
    bool acceptedForLater = false;
};

/** An error answer; `retryAfter` says when it may be worth asking again. */
struct ErrorAnswer
{
    absl::Status error;
    /** True if the request certainly did not run. */
    bool notRun = true;
    std::optional<Milliseconds> retryAfter;
    /** True if another host decides this; a forwarding host then tries again. */
    bool misdirected = false;
};

/** The answer to an operator's change. */
struct ChangeAnswer
{
    bool accepted = false;
    bool conflict = false;
    std::string message;
    ObjectVersion version;
    LogIndex index;
    /** Hosts in which the change is not in force yet. */
    std::set<HostId> missing;
};

struct TeamView
{
    TeamId team;
    std::int64_t weight = 1;
    ObjectVersion version;
    MilliCores limit;
    MilliCores limitTarget;
    std::map<DataCentreId, MilliCores> allotments;
    std::set<KeyId> keys;
    MilliCores runningHere;
    std::uint32_t queuedHere = 0;
};

struct WorkerView
{
    WorkerId worker;
    std::string address;
    RackId rack;
    Resources capacity;
    Resources reserved;
    std::string state;
};

struct MemberView
{
    HostId host;
    DataCentreId dataCentre;
    ReplicaId replica;
    bool voter = false;
    bool leader = false;
    LogIndex applied;
};

struct AuthorityView
{
    DataCentreId dataCentre;
    Epoch epoch;
    ReplicaId replica;
    std::set<ReplicaId> inSync;
};

struct TeamsAnswer
{
    std::vector<TeamView> teams;
};

struct WorkersAnswer
{
    DataCentreId dataCentre;
    std::vector<WorkerView> workers;
};

struct MembersAnswer
{
    HostId self;
    Term term;
    LogIndex commit;
    std::vector<MemberView> members;
    std::vector<AuthorityView> authorities;
};

/** One step in the life of a request, key or change, for the time line. */
struct TimelineEntry
{
    HostId host;
    std::uint64_t order = 0;
    Milliseconds wall;
    std::string subject;
    std::string what;
};

struct TimelineAnswer
{
    std::vector<TimelineEntry> entries;
};

struct LoadAnswer
{
    bool authority = false;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t started = 0;
    std::uint64_t ended = 0;
    std::uint64_t queued = 0;
    std::uint64_t running = 0;
    std::uint64_t workers = 0;
};

struct ReadinessAnswer
{
    bool ready = false;
    std::string reason;
};

/** The evening page, to be written in the format that was asked for. */
struct DailyReportAnswer
{
    DailyReport page;
    ReportFormat format = ReportFormat::Html;
};

using Answer = std::variant<RequestAnswer, ErrorAnswer, ChangeAnswer, TeamsAnswer, WorkersAnswer,
                            MembersAnswer, TimelineAnswer, LoadAnswer, ReadinessAnswer,
                            AnnouncementReply, DailyReportAnswer>;

/** Answers an exchange. */
struct Reply
{
    ExchangeId exchange;
    Answer answer;
};

/** Passes an exchange, as it came, to another entry host, and its answer back. */
struct ForwardExchange
{
    ExchangeId exchange;
    HostId to;
    /** The request's full name, so that the other host takes a resend for the same request. */
    std::string requestName;
    Milliseconds timeout;
    std::uint32_t attempt = 0;
    /** True if an earlier attempt may still arrive. */
    bool hasEarlierAttempt = false;
    /** True if "could never fit" is not to be answered yet, since another data centre may do. */
    bool mayGoElsewhere = false;
};

struct SendToPeer
{
    HostId to;
    PeerMessage message;
    /** The sender's logical time, so that time lines of all hosts can be merged causally. */
    std::uint64_t logicalTime = 0;
};

/** Sends an order to a worker, unless `validUntil` has passed on this host's clock. */
struct StartTask
{
    CallId call;
    std::string address;
    WorkerId worker;
    StartOrder order;
    Instant validUntil;
    Milliseconds timeout;
};

/** Writes records, then syncs, then reports Synced with the token. */
struct Persist
{
    SyncToken token;
    /** True to put the records in place of everything that was written before. */
    bool replaceAll = false;
    std::vector<JournalRecord> records;
};

/** A line for the operator's log. */
struct LogLine
{
    bool warning = false;
    std::string subject;
    std::string what;
};

/** Answers a call from outside to the cell. */
struct AnswerCall
{
    ExchangeId exchange;
    CallAnswer answer;
};

/** What was counted and measured since the last such effect. */
struct Measured
{
    Instant at;
    Measurements measurements;
};

/** The process may end now. */
struct Exit
{};

using Effect = std::variant<Reply, ForwardExchange, SendToPeer, StartTask, Persist, LogLine, Exit,
                            AnswerCall, CallWorker, AdviceRequest, Measured>;
using Effects = std::vector<Effect>;

} // namespace gentiancross
