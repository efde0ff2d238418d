#pragma once

#include "core/job_records.h"

#include <absl/status/status.h>

#include <memory>
#include <variant>

namespace gentiancross {

/** Why a call was refused. */
enum class Refusal {
    /** No queue serves this address. */
    NoSuchQueue,
    /** The key is missing or unknown. */
    UnknownKey,
    /** The call can't be parsed or asks for something impossible. */
    Malformed,
    /** There is no such job, or it was removed after its retention period. */
    NoSuchJob,
    /** No leader can decide at present; the call had no effect. */
    Unavailable,
    /** The result is not known: the call may have taken effect. */
    Unknown,
    /** The method does not exist here. */
    NoSuchMethod,
    /** The cell has no such data centre. */
    NoSuchDataCentre,
};

enum class JobVerb { Submit, Status, Cancel };

/** A caller's call; the current configuration maps its host and path to a queue. */
struct JobCall
{
    JobVerb verb = JobVerb::Status;
    std::string host;
    std::string path;
    std::optional<ApiKey> key;
    /** For Submit; empty if the body could not be parsed or the call was shed. */
    SharedJobSpec spec;
    /** Why the body could not be parsed. */
    std::string defect;
    /** True if a host on the way had no memory for the specification. */
    bool isShed = false;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.verb, self.host, self.path, self.key, self.spec, self.defect,
                        self.isShed);
    }
};

/** Installs an operator's new configuration. */
struct PutConfiguration
{
    /** Empty if it could not be parsed completely. */
    SharedDocument document;
    std::string defect;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.document, self.defect);
    }
};

struct GetConfiguration
{
    template <typename Self>
    static auto fields(Self &)
    {
        return std::tuple<>();
    }
};

/** A worker's heartbeat. */
struct WorkerHeartbeat
{
    WorkerReport report;
    /** The worker's monotonic clock, in milliseconds. */
    std::int64_t clock = 0;
    /** Increases with each heartbeat of one incarnation, so that a late one is recognised. */
    std::uint64_t sequence = 0;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.report, self.clock, self.sequence);
    }
};

/** A worker announces that it shuts down now. */
struct WorkerLeave
{
    WorkerId worker;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.worker);
    }
};

/** The operator orders that nothing more is started in a data centre. */
struct BeginEvacuation
{
    DataCentreId dataCentre;
    /** How long ago the call reached the host that relays it. */
    Milliseconds age;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.age);
    }
};

/** The operator withdraws that order. */
struct EndEvacuation
{
    DataCentreId dataCentre;
    /** How long ago the call reached the host that relays it. */
    Milliseconds age;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.age);
    }
};

struct ListEvacuations
{
    template <typename Self>
    static auto fields(Self &)
    {
        return std::tuple<>();
    }
};

/** An external call that only the cell's leader decides. */
using CellCall = std::variant<JobCall, PutConfiguration, GetConfiguration, WorkerHeartbeat,
                              WorkerLeave, BeginEvacuation, EndEvacuation, ListEvacuations>;

struct CallRefused
{
    Refusal refusal = Refusal::Unavailable;
    std::string reason;
    /** When to retry; 0 if not known. */
    Milliseconds retryAfter;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.refusal, self.reason, self.retryAfter);
    }
};

struct CallDone
{
    template <typename Self>
    static auto fields(Self &)
    {
        return std::tuple<>();
    }
};

struct JobStateReport
{
    JobState state = JobState::Queued;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.state);
    }
};

struct QueueLengthReport
{
    /** Accepted jobs without any started task. */
    std::uint64_t waiting = 0;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.waiting);
    }
};

struct ConfigurationReport
{
    std::string source;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.source);
    }
};

/** The heartbeat was accepted; the next ones should go to `heartbeatAddress`. */
struct HeartbeatAccepted
{
    std::string heartbeatAddress;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.heartbeatAddress);
    }
};

/** An evacuated data centre, and what is still there. */
struct EvacuatedDataCentre
{
    DataCentreId dataCentre;
    std::uint64_t workers = 0;
    /** Runs that may still be running on them. */
    std::uint64_t runs = 0;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.workers, self.runs);
    }
};

struct EvacuationList
{
    std::vector<EvacuatedDataCentre> evacuated;
    /** Workers in the other data centres; while there are none, all work waits. */
    std::uint64_t workersElsewhere = 0;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.evacuated, self.workersElsewhere);
    }
};

using CallAnswer = std::variant<CallRefused, CallDone, JobStateReport, QueueLengthReport,
                                ConfigurationReport, HeartbeatAccepted, EvacuationList>;

/** A host, and the time since a message from it last arrived. */
struct HostLastHeard
{
    HostId host;
    Milliseconds age;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.host, self.age);
    }
};

/** Asks a host whether it is the leader, or which host is. */
struct LeaderQuery
{
    /** True if the sender stores the cell's log on disk. */
    bool isKeeper = false;
    /** True if the sender can call the adviser for the leader. */
    bool callsAdviser = false;
    /** The sender's process. */
    SessionId session;
    /** The sender's clock. */
    Instant sentAt;
    /** Where workers reach the sender, if it is a keeper. */
    std::string heartbeatAddress;
    /** Set by keepers: hosts that can call the adviser and have recently queried the sender. */
    std::vector<HostLastHeard> adviserCallers;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.isKeeper, self.callsAdviser, self.session, self.sentAt,
                        self.heartbeatAddress, self.adviserCallers);
    }
};

struct LeaderReport
{
    std::optional<HostId> leader;
    /** True if the sender itself is the active leader at present. */
    bool decides = false;
    std::vector<HostId> keepers;
    /** How long ago the sender heard from the leader, if it follows one. */
    std::optional<Milliseconds> leaderAge;
    /** The log's term as the sender knows it. */
    Term term;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.leader, self.decides, self.keepers, self.leaderAge, self.term);
    }
};

/** Relays a call to the leader. */
struct RelayCallRequest
{
    ExchangeId exchange;
    CellCall call;
    /** The process that relays it; repeated in the response. */
    SessionId session;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.exchange, self.call, self.session);
    }
};

struct RelayCallResponse
{
    ExchangeId exchange;
    CallAnswer answer;
    /** The process that relayed the call. */
    SessionId session;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.exchange, self.answer, self.session);
    }
};

/** Asks the adviser which of these workers may run the step. */
struct AdviceRequest
{
    AdviceRequestId id;
    StepRef step;
    std::vector<WorkerId> workers;
    Milliseconds timeout;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.id, self.step, self.workers, self.timeout);
    }
};

struct Ticket
{
    WorkerId worker;
    std::string ticket;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.worker, self.ticket);
    }
};

struct AdviceResponse
{
    AdviceRequestId id;
    /** False if the adviser gave no answer, so that nothing is known of the workers. */
    bool answered = false;
    std::vector<Ticket> good;
    Milliseconds validity;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.id, self.answered, self.good, self.validity);
    }
};

/** Orders a worker to start a run. */
struct OrderStart
{
    JobTaskRef task;
    RunNumber run;
    std::shared_ptr<const std::string> payload;
    std::string checkpoint;
    std::string ticket;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.task, self.run, self.payload, self.checkpoint, self.ticket);
    }
};

/** Orders a worker to stop a run. */
struct OrderStop
{
    JobTaskRef task;
    RunNumber run;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.task, self.run);
    }
};

/**
 * Renews the lease of everything that runs on a worker, by long poll, and asks for running runs and
 * completions.
 */
struct OrderLeaseRenewal
{
    /** Completions up to this number are durable; the worker may drop them. */
    CompletionNumber durableUpTo;
    /** How long the worker may wait for a completion before it answers. */
    Milliseconds wait;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.durableUpTo, self.wait);
    }
};

using WorkerOrder = std::variant<OrderStart, OrderStop, OrderLeaseRenewal>;

/** The alternatives of WorkerOrder, in the same sequence. */
enum class OrderKind { Start, Stop, LeaseRenewal };

[[nodiscard]] inline OrderKind kindOf(const WorkerOrder &order)
{
    return static_cast<OrderKind>(order.index());
}

/** An order that waits longer than this to be sent is dropped; its leader then decides again. */
constexpr Milliseconds OrderValidity{400};

/** Sends an order to a worker, unless `validUntil` has passed on the calling host's clock. */
struct CallWorker
{
    CallId call;
    std::string address;
    WorkerIncarnation incarnation;
    Fence fence;
    /** End of the lease of everything that runs there, on the worker's clock in milliseconds. */
    std::int64_t leaseUntil = 0;
    WorkerOrder order;
    Instant validUntil;
    Milliseconds timeout;
    FenceRevision revision;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.call, self.address, self.incarnation, self.fence, self.leaseUntil,
                        self.order, self.validUntil, self.timeout, self.revision);
    }
};

/** Bits of a fencing token that hold the revision. A token stays below 2^53, so that it is exact in
 * JSON. */
constexpr int BitsPerFenceRevision = 32;

/** The order's fencing token. Reentrant. */
[[nodiscard]] inline FencingToken fencingTokenOf(const CallWorker &call)
{
    return FencingToken((call.fence.value() << BitsPerFenceRevision) + call.revision.value());
}

/** A run that a worker reports as running. */
struct ReportedRun
{
    JobTaskRef task;
    RunNumber run;
    std::string checkpoint;
    std::int64_t percent = 0;
    /** Tail latency (ms) of a long-running task with a latency target, else used millicores. */
    std::int64_t tailMsOrMillicores = 0;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.task, self.run, self.checkpoint, self.percent,
                        self.tailMsOrMillicores);
    }
};

struct ReportedCompletion
{
    CompletionNumber number;
    JobTaskRef task;
    RunNumber run;
    RunEnding ending = RunEnding::Lost;
    std::string checkpoint;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.number, self.task, self.run, self.ending, self.checkpoint);
    }
};

/** A worker's answer to an order. */
enum class WorkerVerdict {
    Done,
    /** The worker has seen a higher fence. */
    Fenced,
    /** The run number is not higher than one that was stopped or has ended there. */
    Superseded,
    /** The order arrived after the end of its lease. */
    Late,
    NoFreeCapacity,
    /** The adviser's ticket is missing or no longer valid. */
    NoTicket,
    /** Refused for another reason; nothing was done. */
    Refused,
    /** Another incarnation answers at the address. */
    OtherIncarnation,
    /** The order had expired before it could be sent; it never left this host. */
    NotSent,
    /** Unknown: the order may be carried out. */
    NoAnswer,
};

/** The time and connections that a call took on the host that made it. */
struct CallCost
{
    OrderKind kind = OrderKind::LeaseRenewal;
    /** Time from the order until the call left the host; empty if it never left. */
    std::optional<Milliseconds> sentAfter;
    std::uint32_t newConnections = 0;
};

/** The answer to any order. */
struct WorkerAnswer
{
    CallId call;
    WorkerVerdict verdict = WorkerVerdict::NoAnswer;
    /** The worker's clock in milliseconds; absent if the answer has none. */
    std::optional<std::int64_t> clock;
    /** Birth time of the incarnation that answered, if the answer states it. */
    std::optional<Milliseconds> born;
    std::vector<ReportedRun> running;
    std::vector<ReportedCompletion> ended;
    std::string error;
    /** Known only to the host that made the call; not sent to the leader. */
    CallCost cost;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.call, self.verdict, self.clock, self.born, self.running, self.ended,
                        self.error);
    }
};

} // namespace gentiancross
