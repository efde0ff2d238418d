#pragma once

#include "core/job_calls.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace gentiancross {

/** What became of an order, as its leader learned. */
enum class OrderResult {
    /** Carried out, or of no effect because a later one was. */
    Answered,
    /** The worker did not take it. */
    Refused,
    /** It reached the worker after its lease's end. */
    Late,
    /** The worker has seen a later leader's order. */
    Fenced,
    /** It never left its host, since its validity was over. */
    Expired,
    /** It may have been carried out. */
    Unanswered,
};

/** How it became known that a run is over. */
enum class RunEndSource {
    /** The worker listed the end. */
    Listed,
    /** The leader concluded it. */
    Concluded,
    /** As Concluded, of a run that an earlier leader had ordered. */
    ConcludedInherited,
};

/** Events that are counted by themselves. */
enum class CellEvent {
    FirstStart,
    /** A start of a task that was started before. */
    LaterStart,
    /** A start without an answer was sent again, to the same worker. */
    StartRepeated,
    /** The lease of a worker with runs lapsed although its heartbeats came. */
    LeaseOfHeardWorkerLapsed,
    /** The lease of a worker with runs lapsed, and no heartbeat came either. */
    LeaseOfSilentWorkerLapsed,
    /** An end was listed after a later run of its task had been ordered. */
    EndAfterLaterRun,
    /** An end can't be noted before an earlier one of the same worker. */
    EndHeldBack,
    /** A worker listed as many ends as a list holds. */
    EndListFull,
    /** A worker listed a run that its leader takes for over. */
    UnexpectedRun,
    /** A delegate got an order of a former leader or for its former process. */
    OrderDropped,
    /** An order was given up because its delegate said nothing. */
    OrderOverdue,
    /** An answer came after its order had been given up. */
    AnswerDiscarded,
    LeadershipGained,
    LeadershipLost,
    /** A connection to a worker was opened. */
    ConnectionOpened,
};

/** Spans that are measured. */
enum class Span {
    /** From the decision on a start to its being durable. */
    StartDurable,
    /** From a start's first order to the listed end of its run. */
    RunEnded,
    /** From a listed end to its being durable, so that the worker may forget it. */
    EndDurable,
    /** From one tick of the control thread to the next. */
    TickGap,
};

/** Spans of a single order. */
enum class OrderSpan {
    /** From the order to its bytes leaving the host that calls the worker. */
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

/** Something to count or to measure. No decision depends on it. */
using Measurement = std::variant<OrderCounted, OrderResultCounted, RunEndCounted, EventCounted,
                                 SpanMeasured, OrderSpanMeasured>;
using Measurements = std::vector<Measurement>;

} // namespace gentiancross
