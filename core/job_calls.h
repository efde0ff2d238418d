#pragma once

#include "core/job_records.h"

#include <absl/status/status.h>

#include <memory>
#include <variant>

namespace gentiancross {

/** Why a call was not carried out. */
enum class Refusal {
    /** No queue serves this address. */
    NoSuchQueue,
    /** The key is missing or unknown. */
    UnknownKey,
    /** The call can't be read or asks for something impossible. */
    Malformed,
    /** There is no such job, or it is too long ago. */
    NoSuchJob,
    /** Nobody can decide at present; the call had no effect. */
    NotNow,
    /** The answer is not known: the call may have had its effect. */
    Unknown,
    /** The method does not exist here. */
    NoSuchCall,
};

enum class JobVerb { Submit, Look, Cancel };

/** A caller's call; the queue is found by the newest configuration. */
struct JobCall
{
    JobVerb verb = JobVerb::Status;
    std::string host;
    std::string path;
    std::optional<ApiKey> key;
    /** For Submit; empty if it could not be read. */
    std::optional<JobSpec> spec;
    /** Why the body could not be read. */
    std::string defect;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.verb, self.host, self.path, self.key, self.spec, self.defect);
    }
};

/** An operator's new configuration. */
struct PutConfiguration
{
    /** Empty if it could not be read in full. */
    std::optional<ConfigDocument> document;
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
    /** The worker's monotonic clock. */
    std::int64_t clock = 0;
    /** Grows with each beat of one life, so that a late one can be told. */
    std::uint64_t sequence = 0;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.report, self.clock, self.sequence);
    }
};

/** A worker says that it ends now. */
struct WorkerLeave
{
    WorkerId worker;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.worker);
    }
};

/** A call from outside that only the cell's leader decides. */
using CellCall
        = std::variant<JobCall, PutConfiguration, GetConfiguration, WorkerHeartbeat, WorkerLeave>;

struct CallRefused
{
    Refusal refusal = Refusal::Unavailable;
    std::string reason;
    /** When it is worth asking again; 0 if that is not known. */
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
    /** Accepted jobs of which no task has started. */
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

/** A beat was taken in; the worker does best to send the next ones to `heartbeatAddress`. */
struct HeartbeatAccepted
{
    std::string heartbeatAddress;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.heartbeatAddress);
    }
};

using CallAnswer = std::variant<CallRefused, CallDone, JobStateReport, QueueLengthReport,
                                ConfigurationReport, HeartbeatAccepted>;

/** A host, and how long ago it was heard. */
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

/** Asks a host whether it leads, or who does. */
struct LeaderQuery
{
    /** True if the sender keeps the cell's log on a disk. */
    bool isKeeper = false;
    /** True if the sender can call the adviser for the leader. */
    bool callsAdviser = false;
    /** The process that asks. */
    SessionId session;
    /** The sender's clock. */
    Instant sentAt;
    /** Where workers reach the sender, if it is a keeper. */
    std::string heartbeatAddress;
    /** The hosts that can call the adviser and have lately asked the sender, a keeper. */
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
    /** True if the sender itself decides at present. */
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

/** Passes a call on to the leader. */
struct RelayCallRequest
{
    ExchangeId exchange;
    CellCall call;
    /** The process that sends it. */
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
    /** The process that sent the call. */
    SessionId session;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.exchange, self.answer, self.session);
    }
};

/** Which of these workers may run the step? */
struct AdviceRequest
{
    AdviceRequestId ask;
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
    AdviceRequestId ask;
    /** False if the adviser gave no answer; then nothing is known. */
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

/** Extends the lease of all that runs on a worker and asks what runs and what has ended. */
struct OrderLeaseRenewal
{
    /** Ends up to here are durable and may be forgotten. */
    CompletionNumber noted;
    /** How long the worker may wait for an end before it answers. */
    Milliseconds wait;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.noted, self.wait);
    }
};

using WorkerOrder = std::variant<OrderStart, OrderStop, OrderLeaseRenewal>;

/** The alternatives of WorkerOrder, in their order. */
enum class OrderKind { Start, Stop, Hold };

[[nodiscard]] inline OrderKind kindOf(const WorkerOrder &order)
{
    return static_cast<OrderKind>(order.index());
}

/** An order that waits longer on its way to the network is decided anew. */
constexpr Milliseconds OrderValidity{400};

/** Sends an order to a worker, unless `validUntil` has passed on the calling host's clock. */
struct CallWorker
{
    CallId call;
    std::string address;
    WorkerIncarnation incarnation;
    Fence fence;
    /** On the worker's clock: everything that runs there may run until then. */
    std::int64_t leaseUntil = 0;
    WorkerOrder order;
    Instant validUntil;
    Milliseconds timeout;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.call, self.address, self.incarnation, self.fence, self.leaseUntil,
                        self.order, self.validUntil, self.timeout);
    }
};

/** A run that a worker says is at work. */
struct ReportedRun
{
    JobTaskRef task;
    RunNumber run;
    std::string checkpoint;
    std::int64_t percent = 0;
    /** Tail of response times in ms of a lasting task with a target, else thousandths of a core. */
    std::int64_t figure = 0;

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

/** What a worker answered to an order. */
enum class WorkerVerdict {
    Done,
    /** A higher fence has been seen there. */
    Fenced,
    /** The run is not higher than one that was stopped or has ended there. */
    Superseded,
    /** The order came after its lease's end. */
    Late,
    NoFreeCapacity,
    /** The ticket is missing or no longer valid. */
    NoTicket,
    /** Refused for another reason; nothing was done. */
    Refused,
    /** Another life answers at the address. */
    OtherIncarnation,
    /** The order was too old when its turn to be sent came; it never left this host. */
    NotSent,
    /** Nothing can be said: the order may be carried out. */
    NoAnswer,
};

/** What a call took on the host that made it. */
struct CallCost
{
    OrderKind kind = OrderKind::LeaseRenewal;
    /** From the order to the call's bytes leaving the host; empty if they never left. */
    std::optional<Milliseconds> sentAfter;
    std::uint32_t newConnections = 0;
};

/** The answer to any order. */
struct WorkerAnswer
{
    CallId call;
    WorkerVerdict verdict = WorkerVerdict::NoAnswer;
    /** The worker's clock; absent if it told none. */
    std::optional<std::int64_t> clock;
    /** When the life that answered began, where the answer says so. */
    std::optional<Milliseconds> born;
    std::vector<ReportedRun> running;
    std::vector<ReportedCompletion> ended;
    std::string error;
    /** Known to the host that made the call; not passed on. */
    CallCost cost;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.call, self.verdict, self.clock, self.born, self.running, self.ended,
                        self.error);
    }
};

} // namespace gentiancross
