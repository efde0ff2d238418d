#include "control/request_tracker.h"

#include "control/adoption.h"
#include "core/error.h"
#include "core/request_name.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** Larger answers are sent to the caller but not kept for resends. */
constexpr std::size_t MaxKeptAnswerBytes = 65'536;
/** Time within which every live worker has announced itself to a new authority. */
constexpr Milliseconds WorkerDiscoveryTime{5'000};
/** Time after the deadline for which an answer in transit is awaited. */
constexpr Milliseconds AnswerGrace{300};
/** A gang fails at this many failures, a batch request at this many plus one per ten tasks. */
constexpr int MaxTaskFailures = 3;
/** A deadline that is never reached. */
constexpr Milliseconds NoDeadline{1LL << 50};

absl::Status noDurableReplica()
{
    return makeError(absl::StatusCode::kUnavailable, Step::Journal, "",
                     "no durable replica of the data centre's state is in sync");
}

} // namespace

RequestTracker::RequestTracker(const DataCentreCopy &copy, Scheduler &scheduler,
                               RecordWriter &records, Timeline &timeline)
    : m_copy(copy)
    , m_scheduler(scheduler)
    , m_records(records)
    , m_timeline(timeline)
    , m_waiting(scheduler)
{}

RequestTracker::ActiveRequest *RequestTracker::findActive(const RequestId &request)
{
    const auto found = m_active.find(request);
    return found == m_active.end() ? nullptr : &found->second;
}

const RequestFacts *RequestTracker::findOwned(const TeamId &team, const RequestId &request) const
{
    const RequestFacts *facts = m_copy.find(request);
    return facts != nullptr && facts->team == team ? facts : nullptr;
}

void RequestTracker::adoptAll(Instant now)
{
    m_now = now;
    m_workersKnownFrom = now + WorkerDiscoveryTime;
    for (const auto &[request, facts] : m_copy.requests()) {
        for (std::uint32_t index = 0; index < facts.tasks.size(); ++index) {
            const TaskFacts &task = facts.tasks[index];
            if (task.worker.isEmpty())
                continue;
            TaskStart start{{request, index},   task.attempt, task.worker, facts.team,
                            facts.spec.perTask, false,        {},          now};
            start.lifetime = lifetimeOf(facts.spec.kind);
            m_tasks->adopt(now, start);
        }
        if (facts.outcome != Outcome::Pending) {
            m_retention.keep(m_now, request);
            continue;
        }
        adopt(now, request, facts);
    }
}

void RequestTracker::adopt(Instant now, const RequestId &request, const RequestFacts &facts)
{
    ActiveRequest &active = m_active[request];
    active.isAdopted = true;
    active.deadline = now + (facts.spec.kind == WorkKind::Short ? facts.spec.deadline : NoDeadline);
    m_deadlines.emplace(active.deadline, request);
    Adoption plan = planAdoption(facts);
    active.everRan = plan.everRan;
    active.done = std::move(plan.done);
    if (plan.outcome.has_value())
        m_adoptedOutcomes[request] = *plan.outcome;
    if (plan.isGangStartable)
        enqueueAll(request, active);
    for (const std::uint32_t task : plan.startable)
        enqueueTask(request, active, task);
}

void RequestTracker::endAdopted(Outbox &out)
{
    for (const auto &[request, outcome] : std::exchange(m_adoptedOutcomes, {}))
        endRequest(request, outcome, "its authority was lost when it ended", nullptr, out);
}

absl::Status RequestTracker::checkAdmission(Instant now, const TeamId &team,
                                            const WorkSpec &spec) const
{
    if (now >= m_workersKnownFrom && !m_scheduler.couldEverFit(spec))
        return makeError(absl::StatusCode::kFailedPrecondition, Step::Placement, "",
                         "no worker of the data centre could ever run this");
    return m_waiting.checkQueueCapacity(team, spec);
}

absl::Status RequestTracker::submit(Instant now, ExchangeId exchange, const TeamId &team,
                                    const RequestId &request, const WorkSpec &spec, bool isDurable,
                                    Outbox &out)
{
    const RequestFacts *known = m_copy.find(request);
    if (known != nullptr) {
        if (known->team != team || !isSameWork(known->spec, spec))
            return makeError(absl::StatusCode::kAlreadyExists, Step::Admission, "",
                             "the request's name was used for other work");
        if (known->outcome == Outcome::Pending && spec.kind == WorkKind::Short)
            awaitOutcome(exchange, request, m_active[request]);
        else
            answerWhenPromised(exchange, request);
        return absl::OkStatus();
    }
    absl::Status admitted = isDurable ? checkAdmission(now, team, spec) : noDurableReplica();
    if (!admitted.ok()) {
        ++m_counts.refused;
        return admitted;
    }
    ++m_counts.accepted;
    m_retries.addFirstAttempt();
    m_records.append(RequestAccepted{request, team, spec, m_wall}, out);
    ActiveRequest &active = m_active[request];
    active.deadline = now + (spec.kind == WorkKind::Short ? spec.deadline : NoDeadline);
    m_deadlines.emplace(active.deadline, request);
    m_timeline.note(request.value(), "accepted for team " + team.value());
    enqueueAll(request, active);
    if (spec.kind == WorkKind::Short)
        awaitOutcome(exchange, request, active);
    else
        answerWhenPromised(exchange, request);
    return absl::OkStatus();
}

absl::Status RequestTracker::status(ExchangeId exchange, const TeamId &team,
                                    const RequestId &request)
{
    const RequestFacts *facts = findOwned(team, request);
    if (facts == nullptr)
        return makeError(absl::StatusCode::kNotFound, Step::Admission, "",
                         "there is no such request");
    answerWhenPromised(exchange, request);
    return absl::OkStatus();
}

absl::Status RequestTracker::cancel(ExchangeId exchange, const TeamId &team,
                                    const RequestId &request, Outbox &out)
{
    const RequestFacts *facts = findOwned(team, request);
    if (facts == nullptr)
        return makeError(absl::StatusCode::kNotFound, Step::Admission, "",
                         "there is no such request");
    ActiveRequest *active = findActive(request);
    if (facts->outcome != Outcome::Pending || active == nullptr) {
        answerWhenPromised(exchange, request);
        return absl::OkStatus();
    }
    active->cancelled = true;
    awaitOutcome(exchange, request, *active);
    m_timeline.note(request.value(), "cancelled");
    dequeueAll(request, *active);
    m_tasks->stopAll(request);
    finishIfIdle(request, out);
    return absl::OkStatus();
}

void RequestTracker::answerWhenPromised(ExchangeId exchange, const RequestId &request)
{
    RequestAnswer answer = answerOf(request, *m_copy.find(request), nullptr);
    const bool isAnswerLost = isAutomatic(request) && answer.outcome == Outcome::Done
            && m_copy.find(request)->spec.kind == WorkKind::Short && answer.result == nullptr;
    if (isAnswerLost) {
        // Only an entry host that got no answer asks again under an automatic name. Its caller
        // would take the missing body for the whole answer.
        answer.outcome = Outcome::Unknown;
        answer.reason = "it ran, and its answer was lost on the way";
    }
    m_deferredReplies.defer(m_records.last(), exchange, std::move(answer));
}

void RequestTracker::awaitOutcome(ExchangeId exchange, const RequestId &request,
                                  ActiveRequest &active)
{
    active.waiting.insert(exchange);
    m_exchanges[exchange] = request;
}

void RequestTracker::enqueueTask(const RequestId &request, ActiveRequest &active,
                                 std::uint32_t task)
{
    m_waiting.addTask(request, *m_copy.find(request), task, active.queued);
}

void RequestTracker::enqueueAll(const RequestId &request, ActiveRequest &active)
{
    active.isRestartingGang = false;
    m_waiting.addAll(m_now, request, *m_copy.find(request), active.queued);
}

void RequestTracker::dequeueAll(const RequestId &request, ActiveRequest &active)
{
    m_waiting.removeAll(request, *m_copy.find(request), active.queued);
}

const WorkSpec &RequestTracker::specOf(const QueueItem &item) const
{
    return m_copy.find(item.request)->spec;
}

bool RequestTracker::mayBeInterrupted(const RequestId &request) const
{
    const RequestFacts *facts = m_copy.find(request);
    return facts != nullptr && facts->spec.kind == WorkKind::Batch && facts->spec.idempotent;
}

void RequestTracker::onStartDecided(const Decision &decision, Outbox &out)
{
    const RequestId &request = decision.item.request;
    const RequestFacts &facts = *m_copy.find(request);
    ActiveRequest &active = m_active[request];
    m_waiting.recordStart(decision, facts, active.queued);
    // A copy, since recording the first start modifies the facts.
    const WorkSpec spec = facts.spec;
    for (const TaskPlacement &placement : decision.placements) {
        const std::uint32_t attempt = m_copy.find(request)->tasks[placement.task].attempt + 1;
        m_timeline.note(request.value(),
                        "task " + std::to_string(placement.task) + " attempt "
                                + std::to_string(attempt) + " placed on "
                                + placement.worker.value());
        m_tasks->start({{request, placement.task},
                        attempt,
                        placement.worker,
                        decision.team,
                        decision.perTask,
                        spec.kind == WorkKind::Short,
                        spec.payload,
                        active.deadline,
                        m_wall,
                        active.isAdopted ? WaitCause::AuthorityMoved : decision.item.waitCause,
                        decision.item.shape,
                        lifetimeOf(spec.kind)},
                       out);
    }
}

void RequestTracker::taskAnswerLost(Instant, const TaskRef &task, Outbox &)
{
    m_timeline.note(task.request.value(),
                    "the answer of task " + std::to_string(task.task) + " was lost");
    const RequestFacts *facts = m_copy.find(task.request);
    // Idempotent work is stopped so that it can be retried soon; other work is left to finish.
    if (facts != nullptr && facts->spec.kind == WorkKind::Short && facts->spec.idempotent)
        m_tasks->stop(task);
}

void RequestTracker::taskEnded(Instant now, const TaskRef &task, const TaskEnd &end, Outbox &out)
{
    const char *const how = end.hasRun == HasRun::No ? " did not run"
            : end.succeeded                          ? " is done"
                                                     : " ended";
    m_timeline.note(task.request.value(), "task " + std::to_string(task.task) + how);
    ActiveRequest *active = findActive(task.request);
    if (active == nullptr)
        return;
    active->everRan = active->everRan || end.hasRun != HasRun::No;
    const RequestFacts &facts = *m_copy.find(task.request);
    if (active->cancelled) {
        finishIfIdle(task.request, out);
        return;
    }
    if (facts.spec.kind == WorkKind::Short)
        handleShortEnd(now, task.request, *active, end, out);
    else
        handleJobTaskEnd(task, *active, end, out);
}

void RequestTracker::handleShortEnd(Instant now, const RequestId &request, ActiveRequest &active,
                                    const TaskEnd &end, Outbox &out)
{
    const WorkSpec &spec = m_copy.find(request)->spec;
    if (end.hasRun == HasRun::Yes && end.body != nullptr) {
        endRequest(request, end.succeeded ? Outcome::Done : Outcome::Failed, end.reason, end.body,
                   out);
        return;
    }
    const bool mayRetry = spec.idempotent || !active.everRan;
    if (!mayRetry) {
        endRequest(request, Outcome::Unknown, end.reason, nullptr, out);
        return;
    }
    if (now >= active.deadline || !m_retries.tryTake()) {
        endRequest(request, active.everRan ? Outcome::Unknown : Outcome::NotRun, end.reason,
                   nullptr, out);
        return;
    }
    enqueueTask(request, active, 0);
}

void RequestTracker::handleJobTaskEnd(const TaskRef &task, ActiveRequest &active,
                                      const TaskEnd &end, Outbox &out)
{
    const RequestFacts &facts = *m_copy.find(task.request);
    if (end.succeeded && facts.spec.kind != WorkKind::Service) {
        active.done.insert(task.task);
        if (active.done.size() == facts.spec.taskCount)
            endRequest(task.request, Outcome::Done, {}, nullptr, out);
        return;
    }
    if (facts.spec.kind == WorkKind::Gang)
        handleGangTaskEnd(task, active, end, out);
    else
        retryOrEnd(task, active, end, out);
}

void RequestTracker::retryOrEnd(const TaskRef &task, ActiveRequest &active, const TaskEnd &end,
                                Outbox &out)
{
    const RequestFacts &facts = *m_copy.find(task.request);
    if (end.hasRun != HasRun::No && !facts.spec.idempotent) {
        const Outcome outcome = end.hasRun == HasRun::Yes ? Outcome::Failed : Outcome::Unknown;
        dequeueAll(task.request, active);
        m_tasks->stopAll(task.request);
        endRequest(task.request, outcome, end.reason, nullptr, out);
        return;
    }
    const bool countsAsFailure
            = end.hasRun == HasRun::Yes && !end.stopped && facts.spec.kind == WorkKind::Batch;
    active.failures += countsAsFailure ? 1 : 0;
    if (active.failures >= MaxTaskFailures + static_cast<int>(facts.spec.taskCount) / 10) {
        dequeueAll(task.request, active);
        m_tasks->stopAll(task.request);
        endRequest(task.request, Outcome::Failed, "tasks failed too often", nullptr, out);
        return;
    }
    enqueueTask(task.request, active, task.task);
}

void RequestTracker::handleGangTaskEnd(const TaskRef &task, ActiveRequest &active,
                                       const TaskEnd &end, Outbox &out)
{
    const RequestFacts &facts = *m_copy.find(task.request);
    if (end.hasRun != HasRun::No && !facts.spec.idempotent) {
        m_tasks->stopAll(task.request);
        endRequest(task.request, Outcome::Failed, end.reason, nullptr, out);
        return;
    }
    // A gang runs as a whole or not at all: the other tasks are stopped, then all are queued again.
    if (!active.isRestartingGang && end.hasRun == HasRun::Yes)
        ++active.failures;
    active.isRestartingGang = true;
    m_tasks->stopAll(task.request);
    if (m_tasks->tracksAnyOf(task.request))
        return;
    if (active.failures >= MaxTaskFailures) {
        endRequest(task.request, Outcome::Failed, end.reason, nullptr, out);
        return;
    }
    active.done.clear();
    enqueueAll(task.request, active);
}

void RequestTracker::finishIfIdle(const RequestId &request, Outbox &out)
{
    const ActiveRequest &active = m_active.at(request);
    if (m_tasks->tracksAnyOf(request))
        return;
    if (active.everRan)
        endRequest(request, Outcome::Cancelled, "cancelled", nullptr, out);
    else
        endRequest(request, Outcome::NotRun, "cancelled before it ran", nullptr, out);
}

void RequestTracker::endRequest(const RequestId &request, Outcome outcome,
                                const std::string &reason, const Body &body, Outbox &out)
{
    std::optional<Blob> kept;
    if (body != nullptr && !isAutomatic(request) && body->size() <= MaxKeptAnswerBytes)
        kept = Blob{*body};
    const RecordSequence sequence = m_records.append(
            RequestEnded{request, outcome, reason, std::move(kept), m_wall}, out);
    ++m_counts.ended;
    const ActiveRequest active = std::move(m_active.at(request));
    m_active.erase(request);
    m_deadlines.erase({active.deadline, request});
    const RequestAnswer answer = answerOf(request, *m_copy.find(request), body);
    for (const ExchangeId exchange : active.waiting) {
        m_exchanges.erase(exchange);
        // No caller asks for an automatic name again, so its answer need not be durable before it
        // is sent. But a successor that did not know of a "not run" would run the request.
        if (isAutomatic(request) && outcome != Outcome::NotRun)
            out.add(Reply{exchange, answer});
        else
            m_deferredReplies.defer(sequence, exchange, answer);
    }
    m_retention.keep(m_now, request);
}

RequestAnswer RequestTracker::answerOf(const RequestId &request, const RequestFacts &facts,
                                       const Body &body) const
{
    RequestAnswer answer;
    answer.request = request;
    answer.outcome = facts.outcome;
    answer.reason = facts.reason;
    answer.result = body;
    if (body == nullptr && facts.answer.has_value())
        answer.result = std::make_shared<const std::string>(facts.answer->bytes);
    answer.taskCount = facts.spec.taskCount;
    answer.acceptedForLater = facts.spec.kind != WorkKind::Short;
    for (std::uint32_t task = 0; task < facts.tasks.size(); ++task) {
        answer.tasksRunning += m_tasks->isRunning({request, task}) ? 1 : 0;
        answer.tasksDone += facts.tasks[task].ended ? 1 : 0;
    }
    return answer;
}

void RequestTracker::exchangeClosed(ExchangeId exchange, Outbox &out)
{
    const auto found = m_exchanges.find(exchange);
    if (found == m_exchanges.end())
        return;
    const RequestId request = found->second;
    m_exchanges.erase(found);
    ActiveRequest &active = m_active.at(request);
    active.waiting.erase(exchange);
    const bool isWanted = !active.waiting.empty() || !isAutomatic(request);
    if (isWanted || m_copy.find(request)->spec.kind != WorkKind::Short
        || m_tasks->tracksAnyOf(request))
        return;
    // Nobody can ask for the answer any more, so the capacity goes to requests still waiting.
    dequeueAll(request, active);
    endRequest(request, active.everRan ? Outcome::Unknown : Outcome::NotRun, "the caller went away",
               nullptr, out);
}

std::vector<ExchangeId> RequestTracker::waitingExchanges() const
{
    std::vector<ExchangeId> waiting = m_deferredReplies.exchanges();
    for (const auto &[request, active] : m_active)
        waiting.insert(waiting.end(), active.waiting.begin(), active.waiting.end());
    return waiting;
}

void RequestTracker::tick(Instant now, Outbox &out)
{
    endAdopted(out);
    endExpired(now, out);
    forgetExpired(now, out);
}

void RequestTracker::endExpired(Instant now, Outbox &out)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const RequestId request = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        dequeueAll(request, m_active.at(request));
        // Only short requests have a deadline, and they have a single task.
        m_tasks->endUnsent(now, {request, 0}, out);
        if (!m_active.contains(request))
            continue;
        ActiveRequest &active = m_active.at(request);
        if (m_tasks->tracksAnyOf(request) && !active.isOverdue) {
            // A task that was started just before the deadline is most likely about to answer.
            active.isOverdue = true;
            active.deadline = now + AnswerGrace;
            m_deadlines.emplace(active.deadline, request);
            continue;
        }
        if (!m_tasks->tracksAnyOf(request)) {
            const Outcome outcome = active.everRan ? Outcome::Unknown : Outcome::NotRun;
            endRequest(request, outcome, "the deadline passed", nullptr, out);
            continue;
        }
        if (active.waiting.empty())
            continue;
        // The caller gets what is known now; the outcome is recorded when the task ends.
        RequestAnswer answer = answerOf(request, *m_copy.find(request), nullptr);
        answer.outcome = Outcome::Unknown;
        answer.reason = "the deadline passed while the work may be running";
        for (const ExchangeId exchange : active.waiting) {
            m_exchanges.erase(exchange);
            out.add(Reply{exchange, answer});
        }
        active.waiting.clear();
    }
}

void RequestTracker::forgetExpired(Instant now, Outbox &out)
{
    for (const RequestId &request : m_retention.takeDue(now)) {
        if (m_copy.find(request) == nullptr)
            continue;
        if (m_tasks->tracksAnyOf(request))
            m_retention.keepLonger(now, request);
        else
            m_records.append(RequestForgotten{request}, out);
    }
}

} // namespace gentiancross
