#pragma once

#include "core/job_calls.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace gentiancross {

/** The outcome of an order as known to its leader. */
enum class OrderResult {
    /** Carried out, or superseded by a later order. */
    Answered,
    /** The worker did not accept it. */
    Refused,
    /** It reached the worker after the end of its lease. */
    Late,
    /** The worker has seen an order of a later leader. */
    Fenced,
    /** It never left its host, since its validity had expired. */
    Expired,
    /** It may have been carried out. */
    Unanswered,
};

/** How the leader learned that a run is over. */
enum class RunEndSource {
    /** The worker reported the completion. */
    Listed,
    /** The leader concluded it. */
    Concluded,
    /** As Concluded, for a run that an earlier leader had ordered. */
    ConcludedInherited,
};

/** Events that have a counter of their own. */
enum class CellEvent {
    FirstStart,
    /** A start of a task that was started before. */
    LaterStart,
    /** An unanswered start was sent again to the same worker. */
    StartRepeated,
    /** The lease of a worker with runs lapsed although its heartbeats arrived. */
    LeaseOfHeardWorkerLapsed,
    /** The lease of a worker with runs lapsed, and no heartbeats arrived either. */
    LeaseOfSilentWorkerLapsed,
    /** A completion was reported after a later run of its task had been ordered. */
    EndAfterLaterRun,
    /** A completion can't be acknowledged before an earlier one of the same worker. */
    EndHeldBack,
    /** A worker reported as many completions as one report can hold. */
    EndListFull,
    /** A worker reported a run that its leader considers over. */
    UnexpectedRun,
    /** A delegate received an order of a former leader or for its own former process. */
    OrderDropped,
    /** An order was abandoned because its delegate did not respond. */
    OrderOverdue,
    /** An answer arrived after its order had been abandoned. */
    AnswerDiscarded,
    LeadershipGained,
    LeadershipLost,
    /** A connection to a worker was opened. */
    ConnectionOpened,
    /** A worker has started again under its name. */
    WorkerRestarted,
    /** A run was taken for one that may be executing in the worker's next incarnation. */
    RunMoved,
    /** An answer may come from another incarnation than the one that was called. */
    UnidentifiedAnswer,
    /** A worker confirmed that it is the incarnation which a contested heartbeat had claimed. */
    ClaimConfirmed,
    /** An answer contradicted such a claim, or nobody confirmed it. */
    ClaimDropped,
    /** A heartbeat or a leave call could not be the worker's own and was refused or ignored. */
    WorkerMessageRefused,
    /** An acknowledgement of ends waits for starts that the next incarnation may still execute. */
    AcknowledgementOverdue,
    /** A worker refused an acknowledgement, since a later start has reached it first. */
    AcknowledgementFenced,
    /** A completion that came after a later run can be acknowledged, since the worker's lease has
     * lapsed in between. */
    LateEndReleased,
    /** The lease of a worker with long-running tasks was left to lapse for that. */
    LeaseWithheld,
    /** A best-effort run was stopped, so that a task with a latency target finds a worker. */
    BestEffortEvicted,
    /** A worker was found to be faster or slower than the others, or no longer. */
    SpeedClassChanged,
    /** The operator's order to start nothing more in a data centre was accepted. */
    EvacuationBegun,
    /** Such an order was withdrawn. */
    EvacuationEnded,
    /** An order to begin or finish an evacuation was refused. */
    EvacuationOrderRefused,
    /** A start was decided for a worker in an evacuated data centre and was not sent. */
    EvacuatedStartAbandoned,
    /** A submission was refused because a host on its way had no memory to hold it. */
    SubmissionShed,
    /** A submission was refused because the stored jobs take all the memory for them. */
    SubmissionRefusedStoreFull,
    /** A submission was refused because those of its team take too much of it. */
    SubmissionRefusedTeamFull,
    /** A voter of the log has been silent for as long as it may. */
    VoterSilent,
    /** A silent voter has been replaced, and the change is committed. */
    VoterReplaced,
    /** A voter was proposed in addition to the others. */
    VoterAdded,
};

/** Time spans that are measured. */
enum class Span {
    /** From the decision on a start until it is durable. */
    StartDurable,
    /** From the first order of a start to the reported completion of its run. */
    RunEnded,
    /** From a reported completion until it is durable, so that the worker may drop it. */
    EndDurable,
    /** From one tick of the control thread to the next. */
    TickGap,
    /** From the last reply of a voter until its replacement is committed. */
    VoterReplaced,
};

/** Time spans of a single order. */
enum class OrderSpan {
    /** From the order until it leaves the host that calls the worker. */
    Sent,
    /** From the order to its answer at the leader. */
    Answered,
};

struct OrderCounted
{
    OrderKind kind = OrderKind::LeaseRenewal;
};

struct OrderResultCounted
{
    OrderKind kind = OrderKind::LeaseRenewal;
    OrderResult result = OrderResult::Answered;
};

struct RunEndCounted
{
    RunEnding ending = RunEnding::Lost;
    RunEndSource source = RunEndSource::Listed;
};

struct EventCounted
{
    CellEvent event = CellEvent::FirstStart;
    std::uint32_t count = 1;
};

struct SpanMeasured
{
    Span span = Span::TickGap;
    Milliseconds length;
};

struct OrderSpanMeasured
{
    OrderKind kind = OrderKind::LeaseRenewal;
    OrderSpan span = OrderSpan::Sent;
    Milliseconds length;
};

/** What the control thread has handled; the kinds of which its time is measured. */
enum class EventKind {
    Tick,
    /** Records of this host are on disk. */
    Sync,
    /** A caller's call about a job. */
    JobCall,
    Configuration,
    /** A heartbeat or a leave call of a worker. */
    Heartbeat,
    /** Heartbeats that another keeper has acknowledged. */
    HeartbeatsReport,
    /** The answer of a worker that this host has called, by kind of order. */
    StartAnswer,
    StopAnswer,
    RenewalAnswer,
    /** Answers of workers that another keeper has called. */
    WorkerAnswers,
    /** Orders that the leader has passed to this host. */
    WorkerOrders,
    /** A request to the adviser or its answer. */
    Advice,
    /** Messages of the replicated log. */
    Log,
    /** Messages by which hosts find the leader, and answers to relayed calls. */
    Relay,
    Other,
};

/** Events of one kind that the control thread has handled since the last such measurement. */
struct EventsHandled
{
    EventKind kind = EventKind::Other;
    std::uint64_t events = 0;
    Microseconds busy;
};

enum class ProcessorPart {
    ControlThread,
    Process,
};

/** Processor time used since the last such measurement. */
struct ProcessorUsed
{
    ProcessorPart part = ProcessorPart::Process;
    Microseconds time;
};

/** A count or a measurement for the metrics. No decision depends on it. */
using Measurement = std::variant<OrderCounted, OrderResultCounted, RunEndCounted, EventCounted,
                                 SpanMeasured, OrderSpanMeasured, EventsHandled, ProcessorUsed>;
using Measurements = std::vector<Measurement>;

} // namespace gentiancross
