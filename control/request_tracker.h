#pragma once

#include "control/deferred_replies.h"
#include "control/request_retention.h"
#include "control/retry_budget.h"
#include "control/task_tracker.h"
#include "control/timeline.h"
#include "control/waiting_work.h"

#include <absl/status/status.h>

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace gentiancross {

/** Counts since this authority took over. */
struct RequestCounts
{
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t ended = 0;
};

/**
 * Owns the active requests of a data centre, from acceptance to their single outcome. Called by a
 * DataCentreAuthority; TaskTracker reports the ends of tasks to it.
 *
 * A request is accepted once per name; a resend is answered with the state of the first one. An
 * outcome never claims more than is certain: "not run" only if no worker ever took a task on,
 * "unknown" if work that must run at most once may have run without its answer coming back.
 * Thread safety: owned by the control thread.
 */
class RequestTracker final : public TaskObserver
{
public:
    RequestTracker(const DataCentreCopy &copy, Scheduler &scheduler, RecordWriter &records,
                   Timeline &timeline);

    /** Sets the task tracker; call once, before anything else. */
    void setTasks(TaskTracker *tasks) { m_tasks = tasks; }

    /** Sets the time of the event that is about to be handled. */
    void beginEvent(Instant now, Milliseconds wall)
    {
        m_now = now;
        m_wall = wall;
    }

    /** Adopts the requests in the copy, which an earlier authority accepted. */
    void adoptAll(Instant now);

    /**
     * Accepts a request, or attaches a resend to the first one. Errors: ResourceExhausted if the
     * team's queue is full, FailedPrecondition if the work could never fit, AlreadyExists if the
     * name was used for different work, Unavailable unless \a isDurable, that is, unless records
     * survive the loss of a process.
     */
    absl::Status submit(Instant now, ExchangeId exchange, const TeamId &team,
                        const RequestId &request, const WorkSpec &spec, bool isDurable,
                        Outbox &out);
    /** Answers with the current state, without waiting for the outcome. Error: NotFound, also if
     * the request belongs to another team. */
    absl::Status status(ExchangeId exchange, const TeamId &team, const RequestId &request);
    /** Ends the request as soon as none of its tasks runs. Same error as status. */
    absl::Status cancel(ExchangeId exchange, const TeamId &team, const RequestId &request,
                        Outbox &out);

    /** Starts the tasks of a scheduling decision. */
    void onStartDecided(const Decision &decision, Outbox &out);
    void tick(Instant now, Outbox &out);
    /** Sends the answers whose records are promised. */
    void sendPromised(RecordSequence promised, Outbox &out)
    {
        m_deferredReplies.sendUpTo(promised, out);
    }
    /** The caller has disconnected. Its request continues, unless it is short, cannot be asked for
     * again and has no task on a worker. */
    void exchangeClosed(ExchangeId exchange, Outbox &out);

    void taskEnded(Instant now, const TaskRef &task, const TaskEnd &end, Outbox &out) override;
    void taskAnswerLost(Instant now, const TaskRef &task, Outbox &out) override;

    /** Precondition: the item is queued. */
    [[nodiscard]] const WorkSpec &specOf(const QueueItem &item) const;
    /** True if the request's tasks may be stopped and restarted: idempotent batch work. */
    [[nodiscard]] bool mayBeInterrupted(const RequestId &request) const;
    /** The work that waits to be started. */
    [[nodiscard]] const WaitingWork &waiting() const { return m_waiting; }
    [[nodiscard]] const RequestCounts &counts() const { return m_counts; }
    /** Exchanges that wait for an answer. */
    [[nodiscard]] std::vector<ExchangeId> waitingExchanges() const;

private:
    struct ActiveRequest
    {
        std::set<ExchangeId> waiting;
        Instant deadline;
        WaitingWork::Places queued;
        std::set<std::uint32_t> done;
        bool cancelled = false;
        /** An earlier authority accepted it. */
        bool isAdopted = false;
        /** The gang lost a task; all its tasks are being stopped, then it is queued again. */
        bool isRestartingGang = false;
        bool everRan = false;
        bool isOverdue = false;
        int failures = 0;
    };

    ActiveRequest *findActive(const RequestId &request);
    const RequestFacts *findOwned(const TeamId &team, const RequestId &request) const;
    absl::Status checkAdmission(Instant now, const TeamId &team, const WorkSpec &spec) const;
    void enqueueTask(const RequestId &request, ActiveRequest &active, std::uint32_t task);
    void enqueueAll(const RequestId &request, ActiveRequest &active);
    void dequeueAll(const RequestId &request, ActiveRequest &active);
    void endRequest(const RequestId &request, Outcome outcome, const std::string &reason,
                    const Body &body, Outbox &out);
    void finishIfIdle(const RequestId &request, Outbox &out);
    void handleShortEnd(Instant now, const RequestId &request, ActiveRequest &active,
                        const TaskEnd &end, Outbox &out);
    void handleJobTaskEnd(const TaskRef &task, ActiveRequest &active, const TaskEnd &end,
                          Outbox &out);
    void retryOrEnd(const TaskRef &task, ActiveRequest &active, const TaskEnd &end, Outbox &out);
    void handleGangTaskEnd(const TaskRef &task, ActiveRequest &active, const TaskEnd &end,
                           Outbox &out);
    void adopt(Instant now, const RequestId &request, const RequestFacts &facts);
    void endAdopted(Outbox &out);
    void endExpired(Instant now, Outbox &out);
    void forgetExpired(Instant now, Outbox &out);
    void awaitOutcome(ExchangeId exchange, const RequestId &request, ActiveRequest &active);
    /** Sends the current state as soon as the records behind it are promised. */
    void answerWhenPromised(ExchangeId exchange, const RequestId &request);
    [[nodiscard]] RequestAnswer answerOf(const RequestId &request, const RequestFacts &facts,
                                         const Body &body) const;

    const DataCentreCopy &m_copy;
    Scheduler &m_scheduler;
    RecordWriter &m_records;
    Timeline &m_timeline;
    TaskTracker *m_tasks = nullptr;
    std::map<RequestId, ActiveRequest> m_active;
    std::set<std::pair<Instant, RequestId>> m_deadlines;
    WaitingWork m_waiting;
    DeferredReplies m_deferredReplies;
    RequestRetention m_retention;
    RetryBudget m_retries;
    RequestCounts m_counts;
    /** Adopted requests whose outcome is known but not recorded yet. */
    std::map<RequestId, Outcome> m_adoptedOutcomes;
    std::unordered_map<ExchangeId, RequestId> m_exchanges;
    /** Until then there may be workers that have not announced themselves yet. */
    Instant m_workersKnownFrom;
    Instant m_now;
    Milliseconds m_wall;
};

} // namespace gentiancross
